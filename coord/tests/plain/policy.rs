//! Constants of the planner that the reference implementation repeats.

use std::time::Duration;

/// Length of the settling period, in which entries report their running jobs to a new planner. Entries that lose
/// their planner at the same moment take 0.1 s to find the next one.
pub const SETTLING_PERIOD: Duration = Duration::from_millis(300);
/// Factor by which the time to a first event must exceed the prediction to indicate a slow engine.
pub const SLOW_FACTOR: f64 = 2.5;
/// Time by which it must additionally exceed the prediction, in milliseconds. Covers a pass of a full engine and
/// several network hops.
pub const SLOW_MARGIN_MS: f64 = 150.0;
/// Factor by which a part must exceed its expected time to no longer count as pending.
pub const OVERDUE_FACTOR: f64 = 3.0;
/// Share of its expected time that a part still counts as pending, at least, while it is being prefilled and is not
/// overdue.
pub const MIN_PENDING_SHARE: f64 = 0.1;
/// Tokens in an engine's memory that weigh as much as 1 ms of waiting when an engine is selected to start serving
/// short prompts.
pub const TOKENS_PER_WAIT_MS: f64 = 1e3;
/// Passes until the first event of a prompt that is admitted, without its prefill: on average half of the pass under
/// way, and the pass that produces the event.
pub const PASSES_TO_FIRST_EVENT: f64 = 1.5;
/// Longest prefill of a short prompt, in milliseconds. A longer one would use most of the 200 ms that the strictest
/// observed gap target leaves beside a pass.
pub const MAX_SHORT_PREFILL_MS: f64 = 125.0;
