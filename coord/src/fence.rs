//! Fences: a number that only grows, so that a paused holder's late orders are void.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{Incarnation, Name};
use crate::time::Moment;

/// The log offset of the claim that won; larger is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence(pub u64);

/// Accepts orders under the newest fence seen and refuses older ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct Guard {
    newest: Fence,
}

impl Guard {
    /// Whether an order under `fence` may take effect; remembers the fence if so.
    pub fn admit(&mut self, fence: Fence) -> bool {
        if fence < self.newest {
            return false;
        }
        self.newest = fence;
        true
    }

    /// The newest fence seen.
    pub fn newest(&self) -> Fence {
        self.newest
    }
}

/// The controller lease of one failure domain, as replayed from the log.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    holder: Option<Holder>,
    guard: Guard,
}

/// Who holds a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The process's name.
    pub process: Name,
    /// The process's incarnation.
    pub incarnation: Incarnation,
    /// The fence it holds the lease under.
    pub fence: Fence,
    /// When the lease lapses unless renewed, in the log's time.
    pub until: Moment,
}

impl Lease {
    /// Replays a claim found at `offset`, stamped `at` by the log, for `term`.
    ///
    /// A claim wins if the lease is free, has lapsed, or is the holder's own renewal.
    pub fn replay(
        &mut self,
        process: &Name,
        incarnation: Incarnation,
        offset: u64,
        at: Moment,
        term: Duration,
    ) -> bool {
        let renewal =
            self.holder.as_ref().filter(|holder| holder.process == *process && holder.incarnation == incarnation);
        let fence = match renewal {
            Some(holder) if at <= holder.until => holder.fence,
            _ if self.holder.as_ref().is_some_and(|holder| at <= holder.until) => return false,
            _ => Fence(offset),
        };
        crate::invariant!(self.guard.admit(fence), "a lease's fence never goes back");
        self.holder = Some(Holder { process: process.clone(), incarnation, fence, until: at + term });
        true
    }

    /// Whether a record written under `fence` counts: only the newest claim's does.
    pub fn counts(&self, fence: Fence) -> bool {
        fence == self.guard.newest()
    }

    /// The last holder, lapsed or not.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }
}
