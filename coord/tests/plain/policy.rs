//! The figures that the planner fixes, as it has them.

use std::time::Duration;

/// Time in which entries tell a planner that is new to them what they have at the engines. Those that meet a lost
/// planner at the same moment were seen to take 0.1 s to find the next one.
pub const SETTLING: Duration = Duration::from_millis(300);
/// A first event that takes this many times as long as the model has it shows that an engine is slow …
pub const SLOW: f64 = 2.5;
/// … if it also takes so much longer, in milliseconds: a pass of a full engine and some ways through the network.
pub const SLOW_BY_MS: f64 = 150.0;
/// A part that is overdue by this factor no longer counts as pending.
pub const OVERDUE: f64 = 3.0;
/// A part that is being read and not yet overdue has at least this share of its time left; set, not measured.
pub const LEAST_LEFT: f64 = 0.1;
/// Tokens in an engine's memory that weigh as much as a wait of 1 ms when one is chosen to hold short answers;
/// set, not measured.
pub const TOKENS_A_MS: f64 = 1e3;
/// Passes until a prompt that fits in has its first event, reading left out: on average half of the
/// one under way, and the one that reads it.
pub const PASSES_TO_FIRST_EVENT: f64 = 1.5;
/// A prompt that takes longer to read than this is long, in milliseconds: it would spend most of
/// the 200 ms that the shortest wanted pause seen leaves beside a pass.
pub const SHORT_READ_MS: f64 = 125.0;
