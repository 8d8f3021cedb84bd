//! Order of succession among processes: the most capable one leads, and among equals the one announced first.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

/// Minimum share of a core that counts, and the unit of capacity.
const MIN_CORES: f64 = 0.01;
/// Minimum link rate that counts, in Mbit/s. It corresponds to 0.01 of a core, by the ratio at which both were
/// scarce: 0.09 of a core with 20 Mbit/s.
const MIN_LINK_MBPS: f64 = 2.0;

/// Capacity of a process, as the binary logarithm of a multiple of the minimum; 0 if unknown.
///
/// The scale is coarse on purpose: a returning process takes over from one with at most half of its capacity, but not
/// from one of similar capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Capacity(pub u8);

impl Capacity {
    /// Returns the capacity of a process with a share of a core and a link rate in Mbit/s; the scarcer resource
    /// decides.
    pub fn of(cores: f64, link_mbps: f64) -> Self {
        let doublings = |amount: f64, minimum: f64| (amount / minimum).max(1.0).log2() as u8;
        Self(doublings(cores, MIN_CORES).min(doublings(link_mbps, MIN_LINK_MBPS)))
    }
}

/// Rank in the order of succession; the smallest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    capacity: Reverse<Capacity>,
    announced_offset: u64,
}

impl Rank {
    /// Creates the rank of a process from its capacity and the log offset of its announcement.
    pub fn new(capacity: Capacity, announced_offset: u64) -> Self {
        Self { capacity: Reverse(capacity), announced_offset }
    }

    /// Returns the capacity of the process.
    pub fn capacity(&self) -> Capacity {
        self.capacity.0
    }
}
