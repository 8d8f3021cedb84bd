//! Learns how far forecasts are from what happens.
//!
//! The error of predicted starts gives the margin by which a prediction must miss a limit before a prompt is refused.
//!
//! A forecast includes the queue but not the prompts that are still to arrive. Those that rank ahead of a late prompt
//! delay it, so that its predicted start moves away while it waits. This drift tells how much of the capacity is left
//! for callers that are told to return.

use std::time::Duration;

use crate::time::Moment;

/// Half-life of the learned values: long enough to cover dozens of starts, short enough to follow a burst.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Largest drift, in seconds per second. At a drift of 1, a prompt would never start.
const MAX_DRIFT: f64 = 0.9;
/// Observed time without drift that is assumed at first, in milliseconds.
const ASSUMED_OBSERVATION_MS: f64 = 500.0;
/// Weight of a new error in the mean error and the mean deviation.
const ERROR_WEIGHT: f64 = 0.1;
/// Number of mean deviations that the margin covers, as in the retransmission timer of TCP.
const COVERED_DEVIATIONS: f64 = 2.0;
/// Mean deviation before any start was observed, in milliseconds.
const INITIAL_DEVIATION_MS: f64 = 100.0;
/// Largest margin, in milliseconds. A larger one would let prompts wait that cannot be served usefully.
const MAX_MARGIN_MS: f64 = 1_000.0;

/// Decaying sums from which a drift is computed.
#[derive(Clone, Copy, Debug, Default)]
struct Drift {
    /// Time by which predicted starts moved away, in milliseconds.
    moved_ms: f64,
    /// Time over which they were observed, in milliseconds.
    observed_ms: f64,
    updated_at: Moment,
}

impl Drift {
    fn record(&mut self, moved_ms: f64, observed_ms: f64, now: Moment) {
        let decay = self.decay(now);
        self.moved_ms = self.moved_ms * decay + moved_ms;
        self.observed_ms = self.observed_ms * decay + observed_ms;
        self.updated_at = now;
    }

    /// Returns the drift in seconds per second; zero for starts that do not move away.
    fn rate(&self, now: Moment) -> f64 {
        let decay = self.decay(now);
        (self.moved_ms * decay / (self.observed_ms * decay + ASSUMED_OBSERVATION_MS)).clamp(0.0, MAX_DRIFT)
    }

    fn decay(&self, now: Moment) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Learned error of predicted starts.
#[derive(Clone, Copy, Debug)]
struct StartError {
    /// Mean of actual minus predicted starts, in milliseconds.
    mean_ms: f64,
    /// Mean deviation from the mean, in milliseconds.
    deviation_ms: f64,
}

impl Default for StartError {
    fn default() -> Self {
        Self { mean_ms: 0.0, deviation_ms: INITIAL_DEVIATION_MS }
    }
}

/// Learned errors of the forecasts for short or for long prompts.
#[derive(Clone, Copy, Debug, Default)]
struct ClassError {
    start: StartError,
    /// Drift of the predicted starts of late prompts, which those in time rank ahead of.
    drift: Drift,
}

/// Learned errors of the forecasts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Accuracy {
    short: ClassError,
    long: ClassError,
}

impl Accuracy {
    /// Records that the predicted start of a late prompt moved by `moved_ms` within `observed_ms`.
    pub fn record_drift(&mut self, is_short: bool, moved_ms: f64, observed_ms: f64, now: Moment) {
        self.errors_mut(is_short).drift.record(moved_ms, observed_ms, now);
    }

    /// Records by how much a prompt started after its predicted start, in milliseconds; negative if before.
    pub fn record_error(&mut self, is_short: bool, error_ms: f64) {
        let error = &mut self.errors_mut(is_short).start;
        error.deviation_ms += ((error_ms - error.mean_ms).abs() - error.deviation_ms) * ERROR_WEIGHT;
        error.mean_ms += (error_ms - error.mean_ms) * ERROR_WEIGHT;
    }

    /// Returns when a prompt that is predicted to start after `start_ms` is expected to do so, in milliseconds. A
    /// prompt that could start now has no error.
    pub fn correct(&self, is_short: bool, start_ms: f64) -> f64 {
        if start_ms <= 0.0 { start_ms } else { (start_ms + self.errors(is_short).start.mean_ms).max(0.0) }
    }

    /// Returns when there is capacity for a prompt that prompts still to arrive do not need, in milliseconds.
    pub fn spare_start_ms(&self, is_short: bool, start_ms: f64, now: Moment) -> f64 {
        start_ms / (1.0 - self.errors(is_short).drift.rate(now))
    }

    /// Returns the margin of a predicted start, in milliseconds.
    pub fn margin_ms(&self, is_short: bool) -> f64 {
        (self.errors(is_short).start.deviation_ms * COVERED_DEVIATIONS).min(MAX_MARGIN_MS)
    }

    fn errors(&self, is_short: bool) -> &ClassError {
        if is_short { &self.short } else { &self.long }
    }

    fn errors_mut(&mut self, is_short: bool) -> &mut ClassError {
        if is_short { &mut self.short } else { &mut self.long }
    }
}
