//! Load of a replica of a plain service, as each entry estimates it.
//!
//! This handles bursts that reach many entries at once: each entry sees only its own requests, and the load that a
//! replica reported in its last response, however old. Entries that compare the same old reports choose the same
//! replica, which refuses most of them, while the others have free slots.

use std::time::Duration;

use crate::time::Moment;

/// Half-life of a reported load. Requests to plain services take some tens of milliseconds, so that after a few
/// half-lives the requests in the report have ended.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(200);
/// Time for which a replica counts as full after a refusal; a few of its requests end within it.
const FULL_PERIOD: Duration = Duration::from_millis(50);

/// Load of one replica as one entry knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Number of outstanding requests of this entry.
    own_requests: u32,
    /// Number of requests of all entries in the last report.
    reported_requests: u32,
    /// Number of reported requests that other entries sent.
    others_requests: u32,
    reported_at: Moment,
    full_until: Moment,
}

impl Load {
    /// Records the start of a request of this entry.
    pub fn begin_request(&mut self) {
        self.own_requests += 1;
    }

    /// Records the end of a request of this entry.
    pub fn end_request(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Records the number of all entries' requests that the replica reported, while the request that it responds to
    /// still counts as outstanding.
    pub fn record_report(&mut self, requests: u32, now: Moment) {
        self.reported_requests = requests;
        self.others_requests = requests.saturating_sub(self.own_requests);
        self.reported_at = now;
    }

    /// Records that the replica refused a request.
    pub fn record_refusal(&mut self, now: Moment) {
        self.full_until = now + FULL_PERIOD;
    }

    /// Discards the reports and refusals of the replica after its restart.
    pub fn forget_reports(&mut self) {
        *self = Self { own_requests: self.own_requests, ..Self::default() };
    }

    /// Returns the number of outstanding requests of this entry.
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Returns the number of requests that the replica last reported.
    pub fn reported_requests(&self) -> u32 {
        self.reported_requests
    }

    /// Returns the rank of the replica at `now`; the lowest is selected first.
    pub fn rank(&self, now: Moment) -> Rank {
        let half_lives = now.since(self.reported_at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        let others = f64::from(self.others_requests) * (-half_lives).exp2();
        Rank { is_full: now < self.full_until, requests: self.own_requests.saturating_add(others.round() as u32) }
    }
}

/// Rank of a replica among those of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the replica refused a request a moment ago.
    pub is_full: bool,
    /// Estimated number of requests at the replica, in whole requests, so that old reports leave ties.
    pub requests: u32,
}
