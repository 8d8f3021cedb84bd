//! Time as an argument: a moment in microseconds since an epoch of the caller's choice.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since the epoch that the embedding process chose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Moment(u64);

impl Moment {
    /// The epoch itself.
    pub const ZERO: Moment = Moment(0);

    /// A moment `micros` microseconds after the epoch.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// A moment `millis` milliseconds after the epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time from `earlier` to this moment, zero if `earlier` is later.
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

/// Whole microseconds in `span`, saturating.
pub fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
