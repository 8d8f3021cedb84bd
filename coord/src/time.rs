//! Time as a parameter: moments in microseconds since an epoch that the caller chooses.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Point in time, in microseconds since an epoch that the embedding process chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Moment(u64);

impl Moment {
    /// The epoch itself.
    pub const ZERO: Moment = Moment(0);

    /// Creates the moment `micros` microseconds after the epoch.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates the moment `millis` milliseconds after the epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, span: Duration) -> Moment {
        Moment(self.0.saturating_add(micros(span)))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;

    fn sub(self, span: Duration) -> Moment {
        Moment(self.0.saturating_sub(micros(span)))
    }
}

/// Returns the whole microseconds in `span`, saturating at `u64::MAX`.
pub fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
