//! Cooldown of replicas that rejected a request and asked this process to send nothing for a while.
//!
//! A cooldown applies between one process and one replica; other processes may continue to send. Of several cooldowns
//! the one that ends last applies, because each response is binding on its own.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::Name;
use crate::time::Moment;

/// End of the cooldown by replica, for one process.
#[derive(Clone, Debug, Default)]
pub struct Register(BTreeMap<Name, Moment>);

impl Register {
    /// Records at `now` that a replica asks for a cooldown of `rest`.
    pub fn hear(&mut self, replica: &Name, rest: Duration, now: Moment) {
        self.0.retain(|_, until| *until > now);
        let until = self.0.entry(replica.clone()).or_default();
        *until = (*until).max(now + rest);
    }

    /// Returns the remaining cooldown of a replica; zero if it may receive requests.
    pub fn left(&self, replica: &str, now: Moment) -> Duration {
        self.0.get(replica).map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Returns the replicas in cooldown with the remaining time.
    pub fn resting(&self, now: Moment) -> impl Iterator<Item = (&Name, Duration)> {
        let left = self.0.iter().map(move |(replica, until)| (replica, until.since(now)));
        left.filter(|(_, left)| !left.is_zero())
    }

    /// Returns the time until the first of `replicas` may receive a request, or `None` if there are no replicas.
    pub fn soonest<'a>(&self, replicas: impl Iterator<Item = &'a Name>, now: Moment) -> Option<Duration> {
        let mut soonest = None;
        for replica in replicas {
            let left = self.left(replica, now);
            if left.is_zero() {
                return Some(left);
            }
            soonest = Some(soonest.map_or(left, |soonest: Duration| soonest.min(left)));
        }
        soonest
    }

    /// Ends the cooldown of a replica that is gone or has restarted.
    pub fn forget(&mut self, replica: &str) {
        self.0.remove(replica);
    }
}
