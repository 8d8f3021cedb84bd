//! Event log: one logfmt line per event, with a timestamp of a hybrid logical clock.
//!
//! Calls between processes carry the timestamp of their sender, so that merging the logs of all processes by
//! timestamp gives a causal order.

use std::sync::{Mutex, OnceLock, PoisonError};

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use uhlc::{HLC, HLCBuilder, Timestamp};

/// Header that carries the timestamp of the sender in calls between processes.
pub const HEADER: &str = "x-sorrelpass-clock";

static CLOCK: OnceLock<HLC> = OnceLock::new();
static PROCESS: OnceLock<String> = OnceLock::new();
/// Guard of the log writer, which writes the buffered lines when it is dropped.
static WRITER_GUARD: Mutex<Option<WorkerGuard>> = Mutex::new(None);

/// Lines that may wait in the buffer before standard output. Further lines are dropped and counted, so that no thread
/// blocks on a slow reader of the log.
const MAX_BUFFERED_LINES: usize = 4_096;

fn clock() -> &'static HLC {
    CLOCK.get_or_init(|| HLCBuilder::new().build())
}

/// Returns a new timestamp as text that sorts by time: hexadecimal time, `/`, id of the clock.
pub fn stamp() -> String {
    format_timestamp(&clock().new_timestamp())
}

fn format_timestamp(timestamp: &Timestamp) -> String {
    format!("{:016x}/{}", timestamp.get_time().as_u64(), timestamp.get_id())
}

/// Advances the clock by a timestamp from another process. Ignores a malformed timestamp and one too far in the future.
pub fn observe(timestamp: &str) {
    let Some((time, id)) = timestamp.split_once('/') else { return };
    let (Ok(time), Ok(id)) = (u64::from_str_radix(time, 16), id.parse()) else { return };
    let _ = clock().update_with_timestamp(&Timestamp::new(uhlc::NTP64(time), id));
}

/// Starts logging to standard output for the process named `process`, with a `tracing` filter as level.
pub fn init(process: &str, level: &str) {
    let _ = PROCESS.set(process.to_owned());
    let filter = tracing_subscriber::EnvFilter::new(level);
    let (writer, guard) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_BUFFERED_LINES).finish(std::io::stdout());
    let layer = tracing_logfmt::builder().with_target(false).layer().with_writer(writer);
    let _ = tracing_subscriber::registry().with(filter).with(layer).try_init();
    *WRITER_GUARD.lock().unwrap_or_else(PoisonError::into_inner) = Some(guard);
}

/// Writes the buffered lines and stops the log writer.
pub fn close() {
    drop(WRITER_GUARD.lock().unwrap_or_else(PoisonError::into_inner).take());
}

/// Returns the name of the process, or `-` before [`init`].
pub fn process() -> &'static str {
    PROCESS.get().map_or("-", String::as_str)
}

/// Logs an event at level info: `event!("step", peer = …, request = …)`.
#[macro_export]
macro_rules! event {
    ($($fields:tt)*) => { $crate::log_event!(info, $($fields)*) };
}

/// Logs an event at level debug, which the default log level omits.
#[macro_export]
macro_rules! debug_event {
    ($($fields:tt)*) => { $crate::log_event!(debug, $($fields)*) };
}

/// Logs an event at level warn, for events that need the attention of an operator.
#[macro_export]
macro_rules! warn_event {
    ($($fields:tt)*) => { $crate::log_event!(warn, $($fields)*) };
}

/// Logs an event at the given level, with a timestamp and with the name and incarnation of the process.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $step:expr $(, $($fields:tt)*)?) => {
        tracing::$level!(
            hlc = $crate::timeline::stamp(),
            process = $crate::timeline::process(),
            incarnation = %$crate::util::incarnation(),
            step = $step
            $(, $($fields)*)?
        )
    };
}
