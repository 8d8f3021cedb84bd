//! The time line: one logfmt line per event, stamped with a hybrid logical clock.
//!
//! Stamps travel with every call between our processes, so that merging the
//! logs of all processes by stamp gives a causal order.

use std::sync::{Mutex, OnceLock, PoisonError};

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use uhlc::{HLC, HLCBuilder, Timestamp};

/// Header that carries a stamp between our processes.
pub const HEADER: &str = "x-sorrelpass-clock";

static CLOCK: OnceLock<HLC> = OnceLock::new();
static PROCESS: OnceLock<String> = OnceLock::new();
/// Writes out what waits when it is dropped.
static WRITER: Mutex<Option<WorkerGuard>> = Mutex::new(None);

/// Lines that may wait for standard output; more are dropped and counted, so that no duty waits for a reader.
const WAITING_LINES: usize = 4_096;

fn clock() -> &'static HLC {
    CLOCK.get_or_init(|| HLCBuilder::new().build())
}

/// A new stamp, in a form that sorts as text: hexadecimal time, then the clock's id.
pub fn stamp() -> String {
    text(&clock().new_timestamp())
}

fn text(stamp: &Timestamp) -> String {
    format!("{:016x}/{}", stamp.get_time().as_u64(), stamp.get_id())
}

/// Takes notice of a stamp from another process. A stamp from far in the future is left out.
pub fn observe(stamp: &str) {
    let Some((time, id)) = stamp.split_once('/') else { return };
    let (Ok(time), Ok(id)) = (u64::from_str_radix(time, 16), id.parse()) else { return };
    let _ = clock().update_with_timestamp(&Timestamp::new(uhlc::NTP64(time), id));
}

/// Sets up logging for the process named `process`.
pub fn init(process: &str, level: &str) {
    let _ = PROCESS.set(process.to_owned());
    let filter = tracing_subscriber::EnvFilter::new(level);
    let (writer, guard) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(WAITING_LINES).finish(std::io::stdout());
    let lines = tracing_logfmt::builder().with_target(false).layer().with_writer(writer);
    let _ = tracing_subscriber::registry().with(filter).with(lines).try_init();
    *WRITER.lock().unwrap_or_else(PoisonError::into_inner) = Some(guard);
}

/// Writes out the lines that wait.
pub fn close() {
    drop(WRITER.lock().unwrap_or_else(PoisonError::into_inner).take());
}

/// The process's name, for log lines.
pub fn process() -> &'static str {
    PROCESS.get().map_or("-", String::as_str)
}

/// Logs one event: `event!("step", peer = …, request = …)`.
#[macro_export]
macro_rules! event {
    ($($fields:tt)*) => { $crate::log_event!(info, $($fields)*) };
}

/// Logs one event that is left out unless it is asked for.
#[macro_export]
macro_rules! debug_event {
    ($($fields:tt)*) => { $crate::log_event!(debug, $($fields)*) };
}

/// Logs one event that an operator should look at.
#[macro_export]
macro_rules! warn_event {
    ($($fields:tt)*) => { $crate::log_event!(warn, $($fields)*) };
}

/// Logs one event at a level, with the stamp and the process's names.
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
