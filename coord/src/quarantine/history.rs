//! Prompt parts with which prompts completed or had their first event.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Fingerprint;
use crate::time::Moment;

/// Time for which a completed prompt keeps its parts from being accused.
const RECENT: Duration = Duration::from_secs(2);
/// Bounds the parts whose completions, and those whose first events, are remembered, at about 50 bytes each; the older
/// half is forgotten.
const MAX_PARTS: usize = 8_192;

/// Times of completed prompts and of first events by part; a time is zero if only another process knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    completed: BTreeMap<Fingerprint, Moment>,
    answered: BTreeMap<Fingerprint, Moment>,
}

impl History {
    pub fn is_completed(&self, part: Fingerprint) -> bool {
        self.completed.contains_key(&part)
    }

    pub fn is_answered(&self, part: Fingerprint) -> bool {
        self.answered.contains_key(&part)
    }

    /// Returns whether a prompt with the part completed within [`RECENT`] before `time`, or later.
    pub fn has_just_completed(&self, part: Fingerprint, time: Moment) -> bool {
        self.completed.get(&part).is_some_and(|at| *at != Moment::ZERO && *at + RECENT > time)
    }

    pub fn record_completed(&mut self, part: Fingerprint, now: Moment) {
        self.completed.insert(part, now);
        forget_older_half(&mut self.completed);
    }

    /// Records what another process knows. Returns whether it is new.
    pub fn note_completed(&mut self, part: Fingerprint) -> bool {
        let is_new = !self.completed.contains_key(&part);
        self.completed.entry(part).or_insert(Moment::ZERO);
        forget_older_half(&mut self.completed);
        is_new
    }

    /// Records the first event of a prompt. Returns whether it is the first one known with the part.
    pub fn record_answered(&mut self, part: Fingerprint, at: Moment) -> bool {
        let known_at = self.answered.get(&part).copied();
        self.answered.insert(part, known_at.map_or(at, |known_at| known_at.max(at)));
        forget_older_half(&mut self.answered);
        known_at.is_none()
    }
}

/// Forgets the parts with the older half of the times if there are too many.
fn forget_older_half(times: &mut BTreeMap<Fingerprint, Moment>) {
    if times.len() <= MAX_PARTS {
        return;
    }
    let mut sorted: Vec<Moment> = times.values().copied().collect();
    sorted.sort_unstable();
    let median = sorted[sorted.len() / 2];
    times.retain(|_, at| *at > median);
}
