//! Deduplication of replica terminations that several processes observe, none of which observes all of them.
//!
//! A replica can restart under the same identity. Unless its record states its start time, its messages do not
//! distinguish one run from the next, so terminations are told apart by time: a request sent at one moment whose
//! connection is found closed at a later one proves a termination in between. Two disjoint intervals are two
//! terminations. Overlapping intervals are treated as one: counting one termination twice makes innocent work look
//! guilty until an operator lifts the verdict, whereas counting two as one costs one more replica and is corrected by
//! the next termination.
//!
//! The process that observes a termination gives it a globally unique name. A process that receives a report matches
//! its interval against the terminations it knows. Intervals are sent as ages because clocks differ between
//! processes.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::time::Moment;

/// Longest time that a report of a termination can be in transit; connections between processes time out sooner.
const LONGEST_WAY: Duration = Duration::from_millis(500);
/// Terminations kept per replica; the oldest is dropped first.
const MOST_ENDS: usize = 32;

/// Interval in which a termination happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Time at which the process was still running or had not started.
    pub after: Moment,
    /// Time by which the process had terminated.
    pub by: Moment,
}

impl Span {
    /// Returns the interval of a termination that is known only to have happened before `now`.
    pub const fn before(now: Moment) -> Self {
        Self { after: Moment::ZERO, by: now }
    }

    fn overlaps(&self, other: &Span) -> bool {
        self.after <= other.by && other.after <= self.by
    }

    /// Returns the intersection of both intervals.
    fn narrowed(&self, other: &Span) -> Span {
        Span { after: self.after.max(other.after), by: self.by.min(other.by) }
    }
}

/// Interval in transit between processes, with ages in place of moments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Age {
    after: Duration,
    by: Duration,
}

impl Age {
    /// Converts `span` for sending at `now`.
    pub fn of(span: &Span, now: Moment) -> Self {
        Self { after: now.since(span.after), by: now.since(span.by) }
    }

    /// Converts back to an interval at the receive time `now`. The interval is widened by the longest transit time
    /// because the actual one is unknown.
    pub fn span(&self, now: Moment) -> Span {
        Span { after: now - self.after - LONGEST_WAY, by: now - self.by }
    }
}

/// Parsed name of a terminated run.
struct Run<'a> {
    replica: &'a str,
    /// Start time of the run, if its record stated it and this is the first termination that `author` observed of it.
    born: Option<u64>,
    /// Process that observed the termination; `None` if the name has another format.
    author: Option<&'a str>,
}

impl<'a> Run<'a> {
    /// Parses a name; a name in another format counts as the name of a replica.
    fn parse(name: &'a str) -> Self {
        let (run, author) = match name.rsplit_once('~') {
            Some((run, seen)) => (run, seen.rsplit_once('-').map(|(author, _)| author)),
            None => (name, None),
        };
        let (replica, born) = match run.rsplit_once('@') {
            Some((replica, born)) => (replica, born.parse().ok()),
            None => (run, None),
        };
        Self { replica, born, author }
    }
}

/// One termination with all names that processes gave it.
#[derive(Clone, Debug)]
struct End {
    /// The first name is the one used in this process.
    names: Vec<Name>,
    span: Span,
}

impl End {
    fn born(&self) -> Option<u64> {
        self.names.iter().find_map(|name| Run::parse(name).born)
    }

    /// Returns whether a reported termination may be this one. One process never gives two names to one termination.
    fn may_be(&self, run: &Run, span: &Span) -> bool {
        let by_author = |name: &Name| run.author.is_some() && Run::parse(name).author == run.author;
        let other_start = self.born().zip(run.born).is_some_and(|(own, other)| own != other);
        self.span.overlaps(span) && !other_start && !self.names.iter().any(by_author)
    }
}

/// Terminations of replica processes that this process knows of.
#[derive(Debug)]
pub struct Ends {
    /// Unique part, after the replica, of the names that this process generates.
    author: Name,
    next: u64,
    /// Terminations by replica, in the order in which they became known.
    replicas: BTreeMap<Name, Vec<End>>,
}

impl Ends {
    /// Creates an empty set. `author` must be unique among processes and contain neither `-` nor `~`.
    pub fn new(author: impl fmt::Display) -> Self {
        Self { author: author.to_string().into(), next: 0, replicas: BTreeMap::new() }
    }

    /// Records a termination observed by this process. `born` is the start time in the replica's record. Returns the
    /// name of the terminated run and whether the termination was unknown.
    pub fn saw(&mut self, replica: &Name, born: Option<u64>, span: Span) -> (Name, bool) {
        let known = self.replicas.entry(replica.clone()).or_default();
        let overlapping = known.iter_mut().filter(|end| end.span.overlaps(&span));
        // The request was running on the first run that terminated after it was sent.
        if let Some(end) = overlapping.min_by_key(|end| end.span.by) {
            end.span = end.span.narrowed(&span);
            return (end.names[0].clone(), false);
        }
        // A record shows a restart late: if a termination with this start time is known already, the start time
        // belongs to an earlier run.
        let born = born.filter(|born| !known.iter().any(|end| end.born() == Some(*born)));
        let start = born.map_or_else(String::new, |born| format!("@{born}"));
        let run: Name = format!("{replica}{start}~{}-{}", self.author, self.next).into();
        self.next += 1;
        add(known, End { names: vec![run.clone()], span });
        (run, true)
    }

    /// Records a termination reported by another process, and returns its name in this process.
    pub fn heard(&mut self, name: &Name, span: Span) -> Name {
        let run = Run::parse(name);
        let known = self.replicas.entry(run.replica.into()).or_default();
        if let Some(end) = known.iter().find(|end| end.names.contains(name)) {
            return end.names[0].clone();
        }
        let candidates = known.iter_mut().filter(|end| end.may_be(&run, &span));
        if let Some(end) = candidates.min_by_key(|end| end.span.by) {
            end.span = end.span.narrowed(&span);
            end.names.push(name.clone());
            return end.names[0].clone();
        }
        add(known, End { names: vec![name.clone()], span });
        name.clone()
    }

    /// Returns the interval in which a run terminated, or `None` if the run is unknown.
    pub fn span(&self, run: &Name) -> Option<Span> {
        let known = self.replicas.get(Run::parse(run).replica)?;
        known.iter().find(|end| end.names.contains(run)).map(|end| end.span)
    }

    /// Returns the number of replicas with a known termination.
    pub fn replicas(&self) -> usize {
        self.replicas.len()
    }

    /// Drops the terminations of replicas for which `known` returns `false`.
    pub fn keep(&mut self, known: impl Fn(&str) -> bool) {
        self.replicas.retain(|replica, _| known(replica));
    }
}

/// Appends a termination and drops the oldest one if the list is full.
fn add(known: &mut Vec<End>, end: End) {
    if known.len() >= MOST_ENDS {
        known.remove(0);
    }
    known.push(end);
}
