//! Helpers that all roles use: clocks, threads with a runtime, ids of processes and attempts, shutdown signals.

use std::future::Future;
use std::sync::OnceLock;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coord::name::{Attempt, Incarnation};
use coord::time::Moment;
use eyre::{Result, WrapErr};
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Digest of the sources from which this program was built, in hexadecimal.
pub const SOURCES: &str = env!("SORRELPASS_SOURCES");

static FIRST_CALL: OnceLock<Duration> = OnceLock::new();
static INCARNATION: OnceLock<Incarnation> = OnceLock::new();

/// Returns the time on a monotonic clock that also advances while the VM is suspended, counted from one hour before the
/// first call. [`std::time::Instant`] stands still during a suspension: after it, the verification of a key that was
/// revoked meanwhile would look recent.
pub fn now() -> Moment {
    let now = since_boot();
    let elapsed = now.saturating_sub(*FIRST_CALL.get_or_init(|| now));
    // The offset of one hour keeps moments before the start of the process representable.
    Moment::from_micros(coord::time::micros(elapsed)) + Duration::from_secs(3_600)
}

/// Returns the time since the VM was booted, including suspension.
fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Returns the wall-clock time since the Unix epoch.
pub fn wall_clock() -> Moment {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Moment::from_micros(coord::time::micros(since_epoch))
}

/// Returns the incarnation of this process: the wall-clock time of the first call in milliseconds, and 20 random bits.
pub fn incarnation() -> Incarnation {
    *INCARNATION.get_or_init(|| {
        let millis = wall_clock().as_micros() / 1_000;
        Incarnation(millis << 20 | u64::from(rand::random::<u32>() & 0xf_ffff))
    })
}

/// Returns a new random attempt id.
pub fn new_attempt() -> Attempt {
    Attempt(rand::random())
}

/// Returns a duration in milliseconds, rounded up, so that a client never retries too early.
pub fn millis_ceil(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

/// Starts a named thread that runs a future to its end on a single-threaded runtime of its own.
pub fn spawn_thread<F, Fut>(name: &str, run: F) -> Result<JoinHandle<()>>
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err_with(|| format!("step=start-thread thread={name}"))?;
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            let local_set = tokio::task::LocalSet::new();
            local_set.block_on(&runtime, run());
        })
        .wrap_err_with(|| format!("step=start-thread thread={name}"))
}

/// Returns a random duration between `base` and 1.5 times `base`, so that processes do not act in lockstep.
pub fn jitter(base: Duration) -> Duration {
    base.mul_f64(1.0 + rand::random::<f64>() / 2.0)
}

/// Runs a future to its end on a new runtime, for use in a thread without a runtime.
pub fn with_runtime<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    runtime()?.block_on(future)
}

fn runtime() -> Result<Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().wrap_err("step=start-runtime")
}

/// Handlers of SIGTERM and SIGINT. Until they are registered, either signal kills the process at once.
pub struct ShutdownSignals {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    /// Registers the handlers of both signals. Must be called before the process accepts connections.
    pub fn register() -> Result<Self> {
        let runtime = runtime()?;
        let runtime_guard = runtime.enter();
        let terminate = signal(SignalKind::terminate()).wrap_err("step=watch-signals")?;
        let interrupt = signal(SignalKind::interrupt()).wrap_err("step=watch-signals")?;
        drop(runtime_guard);
        Ok(Self { runtime, terminate, interrupt })
    }

    /// Waits for either signal. Returns at once if one arrived since the handlers were registered.
    pub fn wait(mut self) {
        self.runtime.block_on(async {
            tokio::select! {
                _ = self.terminate.recv() => {}
                _ = self.interrupt.recv() => {}
            }
        });
    }
}
