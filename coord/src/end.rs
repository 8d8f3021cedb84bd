//! Which ends of replicas' processes are the same: several processes see one end, none of them all.
//!
//! A replica may start again under its identity, and where its record does not tell its start, nothing that it says tells
//! one run from the next. What tells them apart is time: a request that was sent at one moment, and whose connection was
//! found ended at another, shows an end between the two. Two such spans that have nothing in common are two ends. Spans
//! that overlap are taken for one: counted twice, one end would make innocent work look guilty, and that would stand until
//! an operator lifts it; two ends counted as one cost one more replica and are told apart by the next.
//!
//! Who sees an end gives it a name that nobody else gives; who hears of it finds by its span whether it is one that is known
//! already. Clocks differ, so that spans are passed on as ages.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::time::Moment;

/// For how long word of an end may be under way unnoticed: connections between processes are given up after less.
const LONGEST_WAY: Duration = Duration::from_millis(500);
/// Ends of one replica that are remembered, the newest.
const MOST_ENDS: usize = 32;

/// The time in which an end came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// The process ran then, or had not begun.
    pub after: Moment,
    /// It had ended by then.
    pub by: Moment,
}

impl Span {
    /// What is known of an end that was heard of at `now` and may have come about at any time before.
    pub const fn before(now: Moment) -> Self {
        Self { after: Moment::ZERO, by: now }
    }

    fn overlaps(&self, other: &Span) -> bool {
        self.after <= other.by && other.after <= self.by
    }

    /// The time that both have in common.
    fn narrowed(&self, other: &Span) -> Span {
        Span { after: self.after.max(other.after), by: self.by.min(other.by) }
    }
}

/// A span as it is passed on, with ages in place of moments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Age {
    after: Duration,
    by: Duration,
}

impl Age {
    /// The form of `span` that is sent at `now`.
    pub fn of(span: &Span, now: Moment) -> Self {
        Self { after: now.since(span.after), by: now.since(span.by) }
    }

    /// The span that was received at `now`. On its way it grew older by an unknown while.
    pub fn span(&self, now: Moment) -> Span {
        Span { after: now - self.after - LONGEST_WAY, by: now - self.by }
    }
}

/// The name of a run that ended, in its parts.
struct Run<'a> {
    replica: &'a str,
    /// When it was started, if its record told that and the end is the first that its author saw of it.
    born: Option<u64>,
    /// Who saw the end; none in names of another form.
    author: Option<&'a str>,
}

impl<'a> Run<'a> {
    /// Reads a name. One of another form is that of a replica.
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

/// One end, under all the names that it was given.
#[derive(Clone, Debug)]
struct End {
    /// The first is the one that it has here.
    names: Vec<Name>,
    span: Span,
}

impl End {
    fn born(&self) -> Option<u64> {
        self.names.iter().find_map(|name| Run::parse(name).born)
    }

    /// Whether an end of this name and span may be this one. Nobody gives one end two names.
    fn may_be(&self, run: &Run, span: &Span) -> bool {
        let by_author = |name: &Name| run.author.is_some() && Run::parse(name).author == run.author;
        let other_start = self.born().zip(run.born).is_some_and(|(own, other)| own != other);
        self.span.overlaps(span) && !other_start && !self.names.iter().any(by_author)
    }
}

/// Ends of replicas' processes that one process knows of.
#[derive(Debug)]
pub struct Ends {
    /// What the names that are given here begin with, behind the replica.
    author: Name,
    next: u64,
    /// By replica, in the order in which they became known.
    replicas: BTreeMap<Name, Vec<End>>,
}

impl Ends {
    /// Nothing known. No other process may have the same `author`, which has neither `-` nor `~` in it.
    pub fn new(author: impl fmt::Display) -> Self {
        Self { author: author.to_string().into(), next: 0, replicas: BTreeMap::new() }
    }

    /// Notes an end that was seen here, of a replica whose record tells when it was `born`; returns the name of the run
    /// that ended, and whether the end was not known.
    pub fn saw(&mut self, replica: &Name, born: Option<u64>, span: Span) -> (Name, bool) {
        let known = self.replicas.entry(replica.clone()).or_default();
        let overlapping = known.iter_mut().filter(|end| end.span.overlaps(&span));
        // A request was at the run that ended first after it was sent.
        if let Some(end) = overlapping.min_by_key(|end| end.span.by) {
            end.span = end.span.narrowed(&span);
            return (end.names[0].clone(), false);
        }
        // Records tell of a new start late: what ended before of the same start was an earlier run.
        let born = born.filter(|born| !known.iter().any(|end| end.born() == Some(*born)));
        let start = born.map_or_else(String::new, |born| format!("@{born}"));
        let run: Name = format!("{replica}{start}~{}-{}", self.author, self.next).into();
        self.next += 1;
        add(known, End { names: vec![run.clone()], span });
        (run, true)
    }

    /// Notes an end that another process told of; returns the name that it has here.
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

    /// When a run ended, if that is known here.
    pub fn span(&self, run: &Name) -> Option<Span> {
        let known = self.replicas.get(Run::parse(run).replica)?;
        known.iter().find(|end| end.names.contains(run)).map(|end| end.span)
    }

    /// Replicas that have ended, as far as is known.
    pub fn replicas(&self) -> usize {
        self.replicas.len()
    }

    /// Forgets the ends of replicas that are not among `known`.
    pub fn keep(&mut self, known: impl Fn(&str) -> bool) {
        self.replicas.retain(|replica, _| known(replica));
    }
}

/// Adds an end to those of its replica; the oldest is forgotten for it.
fn add(known: &mut Vec<End>, end: End) {
    if known.len() >= MOST_ENDS {
        known.remove(0);
    }
    known.push(end);
}
