//! Learns by how much first events come later than predicted.
//!
//! Short prompts are packed until the predicted first event meets its target. Where predictions are too early, prompts
//! that were packed up to the target itself are late, so that packing keeps a margin: the error that nine in ten
//! recent predictions did not exceed.

use std::collections::VecDeque;
use std::time::Duration;

use super::Planner;
use super::granted::GrantedJob;
use crate::time::Moment;

/// Share of the predictions whose error the margin covers.
const COVERED_SHARE: f64 = 0.9;
/// Minimum number of recent errors for a margin: the upper quantile of fewer is their maximum.
const MIN_ERRORS: usize = 10;
/// Maximum number of recent errors.
const MAX_ERRORS: usize = 128;
/// Age above which an error is discarded: short answers of its time have ended, so that the load has changed.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Largest margin as a share of the time until the target. A larger one would leave no engine to pack prompts on.
const MAX_MARGIN_SHARE: f64 = 0.5;

/// Predicted and actual time of a first event.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    /// Time of the first event.
    observed_at: Moment,
    /// Predicted time from the grant to the first event, in milliseconds.
    predicted_ms: f64,
    /// Actual time from the grant to the first event, in milliseconds.
    actual_ms: f64,
}

impl Outcome {
    fn error_ms(&self) -> f64 {
        self.actual_ms - self.predicted_ms
    }
}

/// Summary of the recent predictions of a planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Number of recent predictions.
    pub count: usize,
    /// Mean of the predicted times from the grant to the first event, in milliseconds.
    pub predicted_ms: f64,
    /// Mean of the actual times, in milliseconds.
    pub actual_ms: f64,
    /// Margin that packing keeps, in milliseconds.
    pub margin_ms: f64,
}

/// Recent predictions of first events.
#[derive(Debug, Default)]
pub struct Predictions {
    recent: VecDeque<Outcome>,
    margin_ms: f64,
}

impl Predictions {
    /// Records a first event that was predicted `predicted_ms` and came `actual_ms` after the grant.
    pub fn record(&mut self, predicted_ms: f64, actual_ms: f64, now: Moment) {
        if self.recent.len() == MAX_ERRORS {
            self.recent.pop_front();
        }
        self.recent.push_back(Outcome { observed_at: now, predicted_ms, actual_ms });
        self.expire(now);
        self.margin_ms = self.quantile_ms();
    }

    /// Records the first event of a short prompt. Overdue and postponed ones do not count: their delay comes from a
    /// slow engine or from a process that was suspended, and not from the load.
    pub(super) fn record_first_event(&mut self, job: &GrantedJob, now: Moment) {
        if job.is_short && !job.is_postponed && !job.is_overdue(now) {
            self.record(job.expected_ms, now.since(job.granted_at).as_secs_f64() * 1e3, now);
        }
    }

    /// Forgets outcomes that are too old.
    pub fn expire(&mut self, now: Moment) {
        let count = self.recent.len();
        while self.recent.front().is_some_and(|outcome| now.since(outcome.observed_at) > MAX_AGE) {
            self.recent.pop_front();
        }
        if self.recent.len() < count {
            self.margin_ms = self.quantile_ms();
        }
    }

    /// Forgets all outcomes.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the margin for a first event whose target is `remaining_ms` away, in milliseconds.
    pub fn margin_ms(&self, remaining_ms: f64) -> f64 {
        self.margin_ms.min(remaining_ms * MAX_MARGIN_SHARE)
    }

    /// Returns the summary of the recent predictions; `None` if there is none.
    pub fn summary(&self) -> Option<Summary> {
        let count = self.recent.len();
        let mean = |ms: fn(&Outcome) -> f64| self.recent.iter().map(ms).sum::<f64>() / count as f64;
        (count > 0).then(|| Summary {
            count,
            predicted_ms: mean(|outcome| outcome.predicted_ms),
            actual_ms: mean(|outcome| outcome.actual_ms),
            margin_ms: self.margin_ms,
        })
    }

    /// Returns the upper quantile of the recent errors, in milliseconds; zero if it is negative or there are fewer than
    /// [`MIN_ERRORS`].
    fn quantile_ms(&self) -> f64 {
        if self.recent.len() < MIN_ERRORS {
            return 0.0;
        }
        let mut errors: Vec<f64> = self.recent.iter().map(Outcome::error_ms).collect();
        let rank = (errors.len() as f64 * COVERED_SHARE).ceil() as usize - 1;
        let (_, quantile, _) = errors.select_nth_unstable_by(rank, f64::total_cmp);
        quantile.max(0.0)
    }
}

impl Planner {
    /// Returns the summary of the recent predictions of short prompts; `None` if there is none.
    pub fn prediction_error(&self) -> Option<Summary> {
        self.predictions.summary()
    }
}
