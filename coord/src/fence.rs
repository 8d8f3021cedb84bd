//! Fences: monotonically increasing tokens that invalidate the late orders of a lease holder that was paused past its
//! lease.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{Incarnation, Name};
use crate::time::Moment;

/// Log offset of the claim that acquired the lease; a larger fence is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence(pub u64);

/// Accepts orders with the newest fence seen so far and rejects orders with an older one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Guard {
    newest: Fence,
}

impl Guard {
    /// Returns whether an order with `fence` may take effect, and records the fence if so.
    pub fn admit(&mut self, fence: Fence) -> bool {
        if fence < self.newest {
            return false;
        }
        self.newest = fence;
        true
    }

    /// Returns the newest fence seen.
    pub fn newest(&self) -> Fence {
        self.newest
    }
}

/// Controller lease of one failure domain, as replayed from the log.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    holder: Option<Holder>,
    guard: Guard,
}

/// Holder of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Name of the process.
    pub process: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Fence under which the process holds the lease.
    pub fence: Fence,
    /// Expiry time of the lease unless renewed, in log time.
    pub until: Moment,
}

impl Lease {
    /// Replays a claim at `offset` with log timestamp `at` and duration `term`, and returns whether it succeeded.
    ///
    /// A claim succeeds if the lease is free or expired, or if the claim is the holder's own renewal.
    pub fn replay(
        &mut self,
        process: &Name,
        incarnation: Incarnation,
        offset: u64,
        at: Moment,
        term: Duration,
    ) -> bool {
        let renewing_holder =
            self.holder.as_ref().filter(|holder| holder.process == *process && holder.incarnation == incarnation);
        let fence = match renewing_holder {
            Some(holder) if at <= holder.until => holder.fence,
            _ if self.holder.as_ref().is_some_and(|holder| at <= holder.until) => return false,
            _ => Fence(offset),
        };
        crate::invariant!(self.guard.admit(fence), "a lease's fence never goes back");
        self.holder = Some(Holder { process: process.clone(), incarnation, fence, until: at + term });
        true
    }

    /// Returns whether a record written under `fence` is valid: only records of the newest successful claim are.
    pub fn is_current_fence(&self, fence: Fence) -> bool {
        fence == self.guard.newest()
    }

    /// Returns the most recent holder, even if its lease has expired.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }
}
