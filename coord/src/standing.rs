//! Who leads of several processes: the most powerful, and among equals the one that was there first.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

/// Least share of a core that counts, and what powers are multiples of.
const LEAST_CORES: f64 = 0.01;
/// Least link that counts, in Mbit/s: as much as 0.01 of a core can make use of where both were seen to be scarce
/// (0.09 of a core with 20 Mbit/s).
const LEAST_MBPS: f64 = 2.0;

/// How much a process can take on, in doublings of the least; 0 if it is not told.
///
/// Coarse on purpose: one that comes back takes over from one that has half of its power or less, and not from one that
/// is about as good.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Power(pub u8);

impl Power {
    /// The power of a process with a share of a core and a link of so many Mbit/s; what is scarcer decides.
    pub fn of(cores: f64, link_mbps: f64) -> Self {
        let doublings = |amount: f64, least: f64| (amount / least).max(1.0).log2() as u8;
        Self(doublings(cores, LEAST_CORES).min(doublings(link_mbps, LEAST_MBPS)))
    }
}

/// What the order of succession goes by; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Standing {
    power: Reverse<Power>,
    announced: u64,
}

impl Standing {
    /// The standing of a process of some power whose announcement is at an offset of the log.
    pub fn new(power: Power, announced: u64) -> Self {
        Self { power: Reverse(power), announced }
    }

    /// Its power.
    pub fn power(&self) -> Power {
        self.power.0
    }
}
