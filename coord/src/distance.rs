//! Network distances between failure domains.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use crate::name::Name;

/// Longest one-way delay that is accepted as valid; a delay between any two places on Earth is shorter.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// One-way delays between failure domains, as far as they are configured. A delay is the same in both directions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Distances {
    delays: BTreeMap<(Name, Name), Duration>,
    /// Pairs of failure domains whose configured delays are not valid, with the delays.
    rejected: BTreeMap<(Name, Name), String>,
}

/// Fault in the configured delays. The pair of failure domains counts as one without a configured delay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The delay is no valid number of milliseconds.
    Invalid {
        /// One of the two failure domains.
        from: Name,
        /// The other failure domain.
        to: Name,
        /// The delay as it is configured.
        delay: String,
    },
    /// Other delays of both failure domains are configured, but none between them.
    Missing {
        /// One of the two failure domains.
        from: Name,
        /// The other one.
        to: Name,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Invalid { from, to, delay } => {
                let max_ms = MAX_DELAY.as_millis();
                write!(
                    f,
                    "the delay between {from} and {to} is {delay}, not a number of milliseconds from 0 to {max_ms}"
                )
            }
            Fault::Missing { from, to } => write!(f, "no delay is configured between {from} and {to}"),
        }
    }
}

impl Distances {
    /// Sets the one-way delay between two failure domains; an earlier one is replaced. Returns whether the delay is
    /// valid; an invalid one is rejected, so that the pair has no delay.
    pub fn set_ms(&mut self, a: &Name, b: &Name, delay_ms: f64) -> bool {
        let is_valid = (0.0..=MAX_DELAY.as_secs_f64() * 1e3).contains(&delay_ms);
        if is_valid {
            self.set(a, b, Duration::from_secs_f64(delay_ms / 1e3));
        } else {
            self.reject(a, b, delay_ms.to_string());
        }
        is_valid
    }

    /// Sets the one-way delay between two failure domains; an earlier one is replaced.
    pub fn set(&mut self, a: &Name, b: &Name, delay: Duration) {
        let pair = key(a, b);
        self.rejected.remove(&pair);
        self.delays.insert(pair, delay);
    }

    /// Records that the configured `delay` between two failure domains is not valid.
    pub fn reject(&mut self, a: &Name, b: &Name, delay: String) {
        let pair = key(a, b);
        self.delays.remove(&pair);
        self.rejected.insert(pair, delay);
    }

    /// Returns the one-way delay between two failure domains: zero within a domain, `None` if it is not configured.
    pub fn one_way(&self, a: &Name, b: &Name) -> Option<Duration> {
        if a == b {
            return Some(Duration::ZERO);
        }
        self.delays.get(&key(a, b)).copied()
    }

    /// Returns the longest one-way delay between any two failure domains; zero if none is configured.
    pub fn max(&self) -> Duration {
        self.delays.values().copied().max().unwrap_or_default()
    }

    /// Returns the faults in the configured delays.
    pub fn faults(&self) -> Vec<Fault> {
        let invalid = self.rejected.iter().map(|((from, to), delay)| Fault::Invalid {
            from: from.clone(),
            to: to.clone(),
            delay: delay.clone(),
        });
        invalid.chain(self.missing()).collect()
    }

    /// Returns the pairs of the configured failure domains that have no delay at all.
    fn missing(&self) -> impl Iterator<Item = Fault> {
        let pairs = self.delays.keys().chain(self.rejected.keys());
        let domains: BTreeSet<&Name> = pairs.flat_map(|(a, b)| [a, b]).collect();
        let pairs = domains.iter().flat_map(|a| domains.range::<&Name, _>(a..).skip(1).map(|b| key(a, b)));
        let is_missing = |pair: &(Name, Name)| !self.delays.contains_key(pair) && !self.rejected.contains_key(pair);
        let missing: Vec<(Name, Name)> = pairs.filter(is_missing).collect();
        missing.into_iter().map(|(from, to)| Fault::Missing { from, to })
    }
}

/// Returns the same key for both directions.
fn key(a: &Name, b: &Name) -> (Name, Name) {
    if a <= b { (a.clone(), b.clone()) } else { (b.clone(), a.clone()) }
}
