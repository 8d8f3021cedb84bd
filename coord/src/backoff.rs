//! Backoff of replicas that rejected a request and asked this process to send nothing for a while.
//!
//! A backoff applies between one process and one replica; other processes may continue to send. Of several backoffs
//! the one that ends last applies, because each response is binding on its own.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::Name;
use crate::time::Moment;

/// End of the backoff by replica, for one process.
#[derive(Clone, Debug, Default)]
pub struct Backoffs(BTreeMap<Name, Moment>);

impl Backoffs {
    /// Records at `now` that a replica asks for a backoff of `period`.
    pub fn record(&mut self, replica: &Name, period: Duration, now: Moment) {
        self.0.retain(|_, until| *until > now);
        let until = self.0.entry(replica.clone()).or_default();
        *until = (*until).max(now + period);
    }

    /// Returns the time left in the backoff of a replica; zero if it may receive requests.
    pub fn time_left(&self, replica: &str, now: Moment) -> Duration {
        self.0.get(replica).map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Returns the replicas in backoff with the time left.
    pub fn active(&self, now: Moment) -> impl Iterator<Item = (&Name, Duration)> {
        let time_left = self.0.iter().map(move |(replica, until)| (replica, until.since(now)));
        time_left.filter(|(_, time_left)| !time_left.is_zero())
    }

    /// Returns the time until the first of `replicas` may receive a request, or `None` if there are no replicas.
    pub fn earliest_end<'a>(&self, replicas: impl Iterator<Item = &'a Name>, now: Moment) -> Option<Duration> {
        let mut earliest = None;
        for replica in replicas {
            let time_left = self.time_left(replica, now);
            if time_left.is_zero() {
                return Some(time_left);
            }
            earliest = Some(earliest.map_or(time_left, |earliest: Duration| earliest.min(time_left)));
        }
        earliest
    }

    /// Ends the backoff of a replica that is gone or has restarted.
    pub fn remove(&mut self, replica: &str) {
        self.0.remove(replica);
    }
}
