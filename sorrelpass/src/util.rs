//! Small helpers without a better home: clocks, threads with a runtime, identities.

use std::future::Future;
use std::sync::OnceLock;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coord::name::{Attempt, Incarnation};
use coord::time::Moment;
use eyre::{Result, WrapErr};
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

static START: OnceLock<Duration> = OnceLock::new();
static INCARNATION: OnceLock<Incarnation> = OnceLock::new();

/// Time since this process first asked, on a clock that never goes back and also counts while the VM is suspended: on
/// [`std::time::Instant`], which does not, a proof of a key that was taken away meanwhile would look young after it.
pub fn now() -> Moment {
    let now = since_boot();
    let elapsed = now.saturating_sub(*START.get_or_init(|| now));
    // An hour's head start keeps moments before the start representable.
    Moment::from_micros(coord::time::micros(elapsed)) + Duration::from_secs(3_600)
}

/// Time since the VM was booted, suspension included.
fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Wall-clock time since the Unix epoch.
pub fn wall() -> Moment {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Moment::from_micros(coord::time::micros(since))
}

/// This process's incarnation: start time in milliseconds and some chance.
pub fn incarnation() -> Incarnation {
    *INCARNATION.get_or_init(|| {
        let millis = wall().as_micros() / 1_000;
        Incarnation(millis << 20 | u64::from(rand::random::<u32>() & 0xf_ffff))
    })
}

/// A new attempt number.
pub fn attempt() -> Attempt {
    Attempt(rand::random())
}

/// Milliseconds in `span`, rounded up, so that a client never comes back too early.
pub fn millis_up(span: Duration) -> u64 {
    u64::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

/// Starts a thread for one duty with its own single-threaded runtime.
pub fn duty<F, Fut>(name: &str, run: F) -> Result<JoinHandle<()>>
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err_with(|| format!("step=start-thread duty={name}"))?;
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, run());
        })
        .wrap_err_with(|| format!("step=start-thread duty={name}"))
}

/// A span of up to half of `base` more than `base`, so that many processes do not act in step.
pub fn jitter(base: Duration) -> Duration {
    base.mul_f64(1.0 + rand::random::<f64>() / 2.0)
}

/// Runs a future to its end on a runtime of its own, for a plain thread.
pub fn with_runtime<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    runtime()?.block_on(future)
}

fn runtime() -> Result<Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().wrap_err("step=start-runtime")
}

/// SIGTERM and SIGINT, noted from the moment this is made: before it, either ends the process where it stands.
pub struct Termination {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
}

impl Termination {
    /// Watches for both signals. To be made before anyone can reach the process.
    pub fn watch() -> Result<Self> {
        let runtime = runtime()?;
        let entered = runtime.enter();
        let terminate = signal(SignalKind::terminate()).wrap_err("step=watch-signals")?;
        let interrupt = signal(SignalKind::interrupt()).wrap_err("step=watch-signals")?;
        drop(entered);
        Ok(Self { runtime, terminate, interrupt })
    }

    /// Waits for one of them; one that has come already counts.
    pub fn wait(mut self) {
        self.runtime.block_on(async {
            tokio::select! {
                _ = self.terminate.recv() => {}
                _ = self.interrupt.recv() => {}
            }
        });
    }
}
