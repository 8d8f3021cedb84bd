//! Background of lost and completed requests, against which a loss is judged.
//!
//! A request that a replica loses says little while others are lost all the time, and much while all others complete.
//! [`Background::surprise`] tells how improbable the loss of a sound request was at a moment.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Proof;
use crate::name::Name;
use crate::time::Moment;

/// Length of the intervals in which requests are counted.
const BIN: Duration = Duration::from_millis(100);
/// Number of bins before and after the one of a loss that tell how many others were lost around then.
const WIDE_BINS: u64 = 20;
/// The same where the bins further away are noisier.
const MIDDLE_BINS: u64 = 5;
/// The same for others that were lost at the same moment. Requests that are lost together, with a failure domain or a
/// network, are lost for the same reason.
const NARROW_BINS: u64 = 1;
/// Number of bins that are kept: those around losses that are still weighed.
const MAX_BINS: usize = 120;
/// Bounds the remembered runs; the older half is forgotten.
const MAX_RUNS: usize = 1_024;

/// Requests that ended within one bin.
#[derive(Clone, Copy, Debug, Default)]
struct Bin {
    number: u64,
    completed: u32,
    lost: Lost,
    /// Completed requests that [`Background::take_progress`] has not returned.
    unreported_completed: u32,
    /// The same for lost requests that are reported in no other way.
    unreported_lost: u32,
}

impl Lost {
    fn add(&mut self, other: Lost) {
        self.requests = self.requests.saturating_add(other.requests);
        self.runs = self.runs.saturating_add(other.runs);
    }

    fn subtract(&mut self, other: Lost) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.runs = self.runs.saturating_sub(other.runs);
    }
}

/// Requests that ended recently at one process, by the age of their bin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress(Vec<ProgressBin>);

/// What was lost within one bin.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lost {
    requests: u32,
    /// Runs whose first lost request is among them.
    runs: u32,
}

/// What a loss tells against its background.
#[derive(Clone, Copy, Debug)]
pub(super) struct Surprise {
    /// Natural logarithm of the inverse of the probability that a sound request was lost then.
    pub nats: f64,
    /// Number of other runs that were lost around then.
    pub other_runs: u32,
}

/// Requests of one bin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ProgressBin {
    age: u8,
    completed: u32,
    lost: u32,
}

/// Run of a replica that terminated, or may have.
#[derive(Clone, Debug)]
struct Run {
    at: Moment,
    /// Requests that were lost with it, by the bin in which they are counted.
    lost: BTreeMap<u64, Lost>,
    is_proven: bool,
}

/// Requests that ended in the recent past, whatever they were.
#[derive(Clone, Debug, Default)]
pub(super) struct Background {
    bins: VecDeque<Bin>,
    runs: BTreeMap<Name, Run>,
}

impl Background {
    /// Counts a request that completed here.
    pub fn record_completion(&mut self, now: Moment) {
        if let Some(bin) = self.bin_at(now) {
            bin.completed += 1;
            bin.unreported_completed += 1;
        }
    }

    /// Counts a request that was lost here and is not reported as an event.
    pub fn count_loss(&mut self, now: Moment) {
        if let Some(bin) = self.bin_at(now) {
            bin.lost.requests += 1;
            bin.unreported_lost += 1;
        }
    }

    /// Records what is known of a run. `is_new` tells that the report is the first one of a lost request.
    pub fn record_loss(&mut self, run: &Name, at: Moment, proof: Proof, is_new: bool) {
        let known = self.runs.entry(run.clone()).or_insert(Run { at, lost: BTreeMap::new(), is_proven: false });
        known.is_proven |= proof == Proof::Proven;
        known.at = known.at.min(at);
        let number = bin_number(at);
        let is_first = known.lost.is_empty();
        if is_new && let Some(bin) = self.bin(number) {
            let lost = Lost { requests: 1, runs: u32::from(is_first) };
            bin.lost.add(lost);
            let known = self.runs.get_mut(run);
            known.into_iter().for_each(|known| known.lost.entry(number).or_default().add(lost));
        }
        self.forget_older_runs();
    }

    /// Takes the requests that were lost with a run out of the background, since their cause is known.
    pub fn explain(&mut self, run: &Name) {
        let Some(known) = self.runs.get_mut(run) else { return };
        let explained = std::mem::take(&mut known.lost);
        for (number, lost) in explained {
            if let Some(bin) = self.bin(number) {
                bin.lost.subtract(lost);
            }
        }
    }

    /// Returns the requests that ended here since the last call and within the time that tells about a loss.
    pub fn take_progress(&mut self, now: Moment) -> Progress {
        let newest = bin_number(now);
        let mut progress = Vec::new();
        for bin in &mut self.bins {
            let completed = std::mem::take(&mut bin.unreported_completed);
            let lost = std::mem::take(&mut bin.unreported_lost);
            let age = newest.saturating_sub(bin.number);
            if completed + lost > 0 && age <= WIDE_BINS {
                progress.push(ProgressBin { age: age as u8, completed, lost });
            }
        }
        Progress(progress)
    }

    /// Adds the requests that ended at another process. Returns the number of those that completed.
    pub fn add_progress(&mut self, progress: &Progress, now: Moment) -> u64 {
        let newest = bin_number(now);
        for reported in &progress.0 {
            if let Some(bin) = self.bin(newest.saturating_sub(reported.age.into())) {
                bin.completed = bin.completed.saturating_add(reported.completed);
                bin.lost.requests = bin.lost.requests.saturating_add(reported.lost);
            }
        }
        progress.0.iter().map(|bin| u64::from(bin.completed)).sum()
    }

    /// Returns the number of runs that terminated at `from` or later beyond doubt, and for which `is_other` holds.
    pub fn proven_since(&self, from: Moment, is_other: impl Fn(&Name) -> bool) -> usize {
        self.runs.iter().filter(|(name, run)| run.is_proven && run.at >= from && is_other(name)).count()
    }

    /// Returns what was lost with `runs`, by bin.
    pub fn lost_with<'a>(&self, runs: impl Iterator<Item = &'a Name>) -> BTreeMap<u64, Lost> {
        let mut lost: BTreeMap<u64, Lost> = BTreeMap::new();
        for (number, count) in runs.filter_map(|name| self.runs.get(name)).flat_map(|run| &run.lost) {
            lost.entry(*number).or_default().add(*count);
        }
        lost
    }

    /// Returns what a loss at `at` tells. The losses that are `explained` do not count.
    pub fn surprise(&self, at: Moment, explained: &BTreeMap<u64, Lost>) -> Surprise {
        let center = bin_number(at);
        let (lost, completed) = self.count(center, WIDE_BINS, explained);
        let (middle_lost, middle_completed) = self.count(center, MIDDLE_BINS, explained);
        let (narrow_lost, narrow_completed) = self.count(center, NARROW_BINS, explained);
        let calm = loss_probability(lost, completed).min(loss_probability(middle_lost, middle_completed));
        let moment = if narrow_lost.requests > 0 { loss_probability(narrow_lost, narrow_completed) } else { 0.0 };
        Surprise { nats: -calm.max(moment).ln(), other_runs: lost.runs }
    }

    /// Returns what was lost and is not explained, and the completed requests, up to `reach` bins around `center`.
    fn count(&self, center: u64, reach: u64, explained: &BTreeMap<u64, Lost>) -> (Lost, u32) {
        let near = center.saturating_sub(reach)..=center + reach;
        let from = self.bins.partition_point(|bin| bin.number < *near.start());
        let (mut lost, mut completed) = (Lost::default(), 0u32);
        for bin in self.bins.range(from..).take_while(|bin| near.contains(&bin.number)) {
            lost.add(bin.lost);
            completed = completed.saturating_add(bin.completed);
        }
        explained.range(near).for_each(|(_, explained)| lost.subtract(*explained));
        (lost, completed)
    }

    /// Returns the bin of a moment, or `None` if it is no longer kept.
    fn bin_at(&mut self, at: Moment) -> Option<&mut Bin> {
        self.bin(bin_number(at))
    }

    fn bin(&mut self, number: u64) -> Option<&mut Bin> {
        let newest = self.bins.back().map(|bin| bin.number);
        if newest.is_none_or(|newest| newest < number) {
            self.bins.push_back(Bin { number, ..Bin::default() });
            let is_old = |bin: &Bin| bin.number + MAX_BINS as u64 <= number;
            while self.bins.front().is_some_and(is_old) {
                self.bins.pop_front();
            }
            return self.bins.back_mut();
        }
        match self.bins.binary_search_by_key(&number, |bin| bin.number) {
            Ok(index) => self.bins.get_mut(index),
            Err(0) if self.bins.len() >= MAX_BINS => None,
            Err(index) => {
                self.bins.insert(index, Bin { number, ..Bin::default() });
                self.bins.get_mut(index)
            }
        }
    }

    fn forget_older_runs(&mut self) {
        if self.runs.len() <= MAX_RUNS {
            return;
        }
        let mut times: Vec<Moment> = self.runs.values().map(|run| run.at).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.runs.retain(|_, run| run.at > median);
    }
}

fn bin_number(at: Moment) -> u64 {
    at.as_micros() / crate::time::micros(BIN)
}

/// Estimates the probability of a loss by the rule of succession: without any observation it is one half.
fn loss_probability(lost: Lost, completed: u32) -> f64 {
    let lost = f64::from(lost.requests);
    (lost + 1.0) / (lost + f64::from(completed) + 2.0)
}
