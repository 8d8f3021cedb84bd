//! Deduplication of replica terminations that several processes observe, none of which observes all of them.
//!
//! A replica can restart under the same identity. Unless its record states its start time, its messages do not
//! distinguish one run from the next, so terminations are told apart by time: a request sent at one moment whose
//! connection is found closed at a later one proves a termination in between. Two disjoint intervals are two
//! terminations. Overlapping intervals are treated as one: counting one termination twice makes innocent requests
//! look guilty until an operator lifts the verdict, whereas counting two as one costs one more replica and is
//! corrected by the next termination.
//!
//! The process that observes a termination gives it a globally unique name. A process that receives a report compares
//! its interval with the terminations it has recorded. Intervals are sent as ages because clocks differ between
//! processes.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::time::Moment;

/// Longest time that a report of a termination can be in transit; connections between processes time out sooner.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(500);
/// Terminations kept per replica; the oldest is dropped first.
const MAX_TERMINATIONS_PER_REPLICA: usize = 32;

/// Interval in which a termination happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// Time at which the process was still running or had not started.
    pub not_before: Moment,
    /// Time by which the process had terminated.
    pub not_after: Moment,
}

impl Interval {
    /// Returns the interval of a termination that is known only to have happened before `now`.
    pub const fn before(now: Moment) -> Self {
        Self { not_before: Moment::ZERO, not_after: now }
    }

    fn overlaps(&self, other: &Interval) -> bool {
        self.not_before <= other.not_after && other.not_before <= self.not_after
    }

    /// Returns the intersection of both intervals.
    fn intersection(&self, other: &Interval) -> Interval {
        Interval { not_before: self.not_before.max(other.not_before), not_after: self.not_after.min(other.not_after) }
    }
}

/// Interval in transit between processes, with ages in place of moments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntervalAge {
    start_age: Duration,
    end_age: Duration,
}

impl IntervalAge {
    /// Converts `interval` for sending at `now`.
    pub fn of(interval: &Interval, now: Moment) -> Self {
        Self { start_age: now.since(interval.not_before), end_age: now.since(interval.not_after) }
    }

    /// Converts back to an interval at the receive time `now`. The interval is widened by the longest transit time
    /// because the actual one is unknown.
    pub fn interval(&self, now: Moment) -> Interval {
        Interval { not_before: now - self.start_age - MAX_TRANSIT_TIME, not_after: now - self.end_age }
    }
}

/// Parsed name of a terminated run.
struct RunName<'a> {
    replica: &'a str,
    /// Start time of the run, if its record stated it and this is the first termination that `author` observed of it.
    start_ms: Option<u64>,
    /// Process that observed the termination; `None` if the name has another format.
    author: Option<&'a str>,
}

impl<'a> RunName<'a> {
    /// Parses a name; a name in another format counts as the name of a replica.
    fn parse(name: &'a str) -> Self {
        let (run, author) = match name.rsplit_once('~') {
            Some((run, suffix)) => (run, suffix.rsplit_once('-').map(|(author, _)| author)),
            None => (name, None),
        };
        let (replica, start_ms) = match run.rsplit_once('@') {
            Some((replica, start_ms)) => (replica, start_ms.parse().ok()),
            None => (run, None),
        };
        Self { replica, start_ms, author }
    }
}

/// One termination with all names that processes gave it.
#[derive(Clone, Debug)]
struct Termination {
    /// The first name is the one used in this process.
    names: Vec<Name>,
    interval: Interval,
}

impl Termination {
    fn start_ms(&self) -> Option<u64> {
        self.names.iter().find_map(|name| RunName::parse(name).start_ms)
    }

    /// Returns whether a reported termination may be this one. One process never gives two names to one termination.
    fn may_match(&self, run: &RunName, interval: &Interval) -> bool {
        let has_same_author = |name: &Name| run.author.is_some() && RunName::parse(name).author == run.author;
        let has_other_start = self.start_ms().zip(run.start_ms).is_some_and(|(own, other)| own != other);
        self.interval.overlaps(interval) && !has_other_start && !self.names.iter().any(has_same_author)
    }
}

/// Terminations of replica processes that this process has recorded.
#[derive(Debug)]
pub struct Terminations {
    /// Unique part, after the replica, of the names that this process generates.
    author: Name,
    next_number: u64,
    /// Terminations by replica, in the order in which they were recorded.
    replicas: BTreeMap<Name, Vec<Termination>>,
}

impl Terminations {
    /// Creates an empty set. `author` must be unique among processes and contain neither `-` nor `~`.
    pub fn new(author: impl fmt::Display) -> Self {
        Self { author: author.to_string().into(), next_number: 0, replicas: BTreeMap::new() }
    }

    /// Records a termination observed by this process. `start_ms` is the start time in the replica's record. Returns the
    /// name of the terminated run and whether the termination is new.
    pub fn record_observed(&mut self, replica: &Name, start_ms: Option<u64>, interval: Interval) -> (Name, bool) {
        let terminations = self.replicas.entry(replica.clone()).or_default();
        let overlapping = terminations.iter_mut().filter(|termination| termination.interval.overlaps(&interval));
        // The request was running on the first run that terminated after it was sent.
        if let Some(termination) = overlapping.min_by_key(|termination| termination.interval.not_after) {
            termination.interval = termination.interval.intersection(&interval);
            return (termination.names[0].clone(), false);
        }
        // A record shows a restart late: if a termination with this start time is already recorded, the start time
        // belongs to an earlier run.
        let start_ms = start_ms
            .filter(|start_ms| !terminations.iter().any(|termination| termination.start_ms() == Some(*start_ms)));
        let start_suffix = start_ms.map_or_else(String::new, |start_ms| format!("@{start_ms}"));
        let run: Name = format!("{replica}{start_suffix}~{}-{}", self.author, self.next_number).into();
        self.next_number += 1;
        push_bounded(terminations, Termination { names: vec![run.clone()], interval });
        (run, true)
    }

    /// Records a termination reported by another process, and returns its name in this process.
    pub fn record_reported(&mut self, name: &Name, interval: Interval) -> Name {
        let run = RunName::parse(name);
        let terminations = self.replicas.entry(run.replica.into()).or_default();
        if let Some(termination) = terminations.iter().find(|termination| termination.names.contains(name)) {
            return termination.names[0].clone();
        }
        let candidates = terminations.iter_mut().filter(|termination| termination.may_match(&run, &interval));
        if let Some(termination) = candidates.min_by_key(|termination| termination.interval.not_after) {
            termination.interval = termination.interval.intersection(&interval);
            termination.names.push(name.clone());
            return termination.names[0].clone();
        }
        push_bounded(terminations, Termination { names: vec![name.clone()], interval });
        name.clone()
    }

    /// Returns the name that a run has in this process, or `None` if no such termination is recorded.
    pub fn local_name(&self, run: &Name) -> Option<Name> {
        let terminations = self.replicas.get(RunName::parse(run).replica)?;
        terminations.iter().find(|termination| termination.names.contains(run)).map(|known| known.names[0].clone())
    }

    /// Returns the interval in which a run terminated, or `None` if no such termination is recorded.
    pub fn interval(&self, run: &Name) -> Option<Interval> {
        let terminations = self.replicas.get(RunName::parse(run).replica)?;
        terminations.iter().find(|termination| termination.names.contains(run)).map(|termination| termination.interval)
    }

    /// Returns the number of replicas with a recorded termination.
    pub fn replica_count(&self) -> usize {
        self.replicas.len()
    }

    /// Drops the terminations of replicas for which `is_known` returns `false`.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.replicas.retain(|replica, _| is_known(replica));
    }
}

/// Appends a termination and drops the oldest one if the list is full.
fn push_bounded(terminations: &mut Vec<Termination>, termination: Termination) {
    if terminations.len() >= MAX_TERMINATIONS_PER_REPLICA {
        terminations.remove(0);
    }
    terminations.push(termination);
}
