//! Rate limits that replicas announce: the number of requests per second that a replica accepts from all entries
//! together.
//!
//! [`ReplicaLimits`] holds the limits that this process or its peers received. A replica reports its limit in each
//! response, and responses can overtake each other: one report is certainly newer than another only if its request
//! was sent after the other response arrived. While the order is unknown, the stricter limit is in force; the next
//! response settles it.
//!
//! [`TokenBucket`] counts the requests that may still be sent to a limited replica. [`GroupSize`] yields the share of a
//! limit that the entries of one leader may use.

mod group_size;
mod token_bucket;

use std::collections::BTreeMap;
use std::time::Duration;

pub use self::group_size::GroupSize;
pub use self::token_bucket::TokenBucket;

use crate::name::Name;
use crate::time::Moment;

/// Report of a replica's limit in one response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedReport {
    /// Requests per second accepted from all entries together; `None` if the replica has no limit.
    pub rate: Option<f64>,
    /// Send time of the request.
    pub requested_at: Moment,
    /// Arrival time of the response.
    pub received_at: Moment,
}

impl TimedReport {
    /// Returns whether this report is certainly newer than `other`.
    fn is_newer_than(&self, other: &TimedReport) -> bool {
        self.requested_at >= other.received_at
    }

    /// Returns whether this report allows fewer requests than `other`.
    fn is_stricter_than(&self, other: &TimedReport) -> bool {
        self.rate.unwrap_or(f64::INFINITY) < other.rate.unwrap_or(f64::INFINITY)
    }
}

/// Report in transit between entries, with ages in place of moments because clocks differ.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RelayedReport {
    /// Replica that reported the limit.
    pub replica: Name,
    /// Reported limit, as in [`TimedReport`].
    pub rate: Option<f64>,
    /// Time since the request was sent.
    pub requested_ago: Duration,
    /// Time since the response arrived.
    pub received_ago: Duration,
}

impl RelayedReport {
    /// Converts a report for sending at `now`.
    pub fn of(replica: &Name, report: &TimedReport, now: Moment) -> Self {
        let (requested_ago, received_ago) = (now.since(report.requested_at), now.since(report.received_at));
        Self { replica: replica.clone(), rate: report.rate, requested_ago, received_ago }
    }

    /// Converts back to moments at the receive time `now`. The transit time makes both moments later by the same
    /// amount.
    pub fn timed_report(&self, now: Moment) -> TimedReport {
        TimedReport { rate: self.rate, requested_at: now - self.requested_ago, received_at: now - self.received_ago }
    }
}

/// Limit of one replica.
#[derive(Clone, Copy, Debug)]
struct ReplicaLimit {
    /// Report in force; of several with the same limit, the oldest.
    report: TimedReport,
    /// Earliest start time of the current run of the replica; responses to earlier requests belong to a previous run.
    run_started: Moment,
}

/// Limits by replica. A replica that never reported a limit uses no memory.
#[derive(Debug, Default)]
pub struct ReplicaLimits(BTreeMap<Name, ReplicaLimit>);

impl ReplicaLimits {
    /// Records a report and returns whether the limit in force changed.
    ///
    /// Of reports with the same limit the first is kept, so that all entries that received the change hold the same
    /// one.
    pub fn apply(&mut self, replica: &Name, report: TimedReport) -> bool {
        let Some(limit) = self.0.get_mut(replica) else {
            if report.rate.is_some() {
                self.0.insert(replica.clone(), ReplicaLimit { report, run_started: Moment::ZERO });
            }
            return report.rate.is_some();
        };
        let is_from_current_run = report.requested_at >= limit.run_started;
        let takes_precedence = report.is_newer_than(&limit.report)
            || (!limit.report.is_newer_than(&report) && report.is_stricter_than(&limit.report));
        if !is_from_current_run || !takes_precedence || report.rate == limit.report.rate {
            return false;
        }
        limit.report = report;
        true
    }

    /// Returns the limit of a replica in requests per second, or `None` if it has no limit.
    pub fn rate(&self, replica: &str) -> Option<f64> {
        self.0.get(replica).and_then(|limit| limit.report.rate)
    }

    /// Returns the limited replicas with their limits in requests per second.
    pub fn limited(&self) -> impl Iterator<Item = (&Name, f64)> {
        self.0.iter().filter_map(|(replica, limit)| Some((replica, limit.report.rate?)))
    }

    /// Returns the reports that a peer needs: current limits and the withdrawal of earlier ones.
    pub fn relayed_reports(&self, now: Moment) -> Vec<RelayedReport> {
        self.0.iter().map(|(replica, limit)| RelayedReport::of(replica, &limit.report, now)).collect()
    }

    /// Returns the report in force of one replica in the form sent to peers.
    pub fn relayed_report(&self, replica: &str, now: Moment) -> Option<RelayedReport> {
        let (replica, limit) = self.0.get_key_value(replica)?;
        Some(RelayedReport::of(replica, &limit.report, now))
    }

    /// Discards the limit of a replica that restarted, since it belonged to the previous run. Returns whether the
    /// replica had a limit.
    pub fn reset_for_restart(&mut self, replica: &str, now: Moment) -> bool {
        let Some(limit) = self.0.get_mut(replica) else { return false };
        let was_limited = limit.report.rate.is_some();
        *limit =
            ReplicaLimit { report: TimedReport { rate: None, requested_at: now, received_at: now }, run_started: now };
        was_limited
    }

    /// Removes a replica that no longer exists.
    pub fn remove(&mut self, replica: &str) {
        self.0.remove(replica);
    }
}
