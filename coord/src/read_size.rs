//! Size of the parts in which a log is read while its server or the network is slow.
//!
//! A read that does not end in time is lost together with all that came. The same read again ends no sooner, so after one
//! that timed out the next read asks for a smaller part, and after that for more time. A part that comes quickly makes the
//! next one larger again.

use std::time::Duration;

/// Size of a part that a slow server is asked for, in KiB. The largest record of 256 KiB fits into it, with its length
/// and its key: some servers answer nothing where the first record does not fit.
const REDUCED_KIB: u32 = 320;
/// Factor by which the timeout grows if not even a smaller part came in time. A server that is silent looks the same as a
/// slow one, and its return is noticed only when the call ends.
const TIMEOUT_FACTOR: u32 = 2;
/// Share of the timeout within which a part has to come for the next one to be larger: less than the ratio of the two
/// sizes.
const QUICK_SHARE: f64 = 0.25;
/// Share of the timeout from which a part counts as slow.
const SLOW_SHARE: f64 = 0.5;

/// What a read asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// Parts of the size that the server chooses.
    #[default]
    Whole,
    /// Smaller parts.
    Reduced,
    /// Smaller parts, and more time for each.
    Patient,
}

/// Size of the parts in which one reader reads its log.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadSize {
    step: Step,
    /// Whether the newest part took so long that it is better not to read many of them.
    is_last_slow: bool,
}

impl ReadSize {
    /// Returns the maximum size of the next part in KiB, or `None` if the server chooses it.
    pub fn max_kib(&self) -> Option<u32> {
        self.is_reduced().then_some(REDUCED_KIB)
    }

    /// Returns the timeout of the next read, if that of other reads is `timeout`.
    pub fn timeout(&self, timeout: Duration) -> Duration {
        if self.step == Step::Patient { timeout * TIMEOUT_FACTOR } else { timeout }
    }

    /// Returns the timeout of a read of the newest records in place of the rest of the log. They may be larger than a part,
    /// and a server that answered a part is not silent.
    pub fn newest_timeout(&self, timeout: Duration) -> Duration {
        if self.is_reduced() { self.timeout(timeout) * TIMEOUT_FACTOR } else { timeout }
    }

    /// Returns whether parts are smaller than the server would choose.
    pub fn is_reduced(&self) -> bool {
        self.step > Step::Whole
    }

    /// Returns whether the rest of the log takes long: parts are reduced, or the newest one took half of the timeout.
    pub fn is_slow(&self) -> bool {
        self.is_reduced() || self.is_last_slow
    }

    /// Records that a read did not end in time.
    pub fn record_timeout(&mut self) {
        self.step = if self.is_reduced() { Step::Patient } else { Step::Reduced };
    }

    /// Records a part that took `elapsed`, where the timeout of reads is `timeout`. An answer with the rest of the log says
    /// nothing about how long a larger one takes.
    pub fn record_part(&mut self, elapsed: Duration, timeout: Duration) {
        self.is_last_slow = elapsed >= timeout.mul_f64(SLOW_SHARE);
        if elapsed < timeout.mul_f64(QUICK_SHARE) {
            self.step = if self.step == Step::Patient { Step::Reduced } else { Step::Whole };
        }
    }
}
