//! Activity of a caller's connection: for whom it waits, and until when.
//!
//! The times are the deployment's. A time that the caller names itself bounds nothing.

use std::time::Duration;

use crate::pool::Stage;
use crate::time::Moment;

/// Time after which a connection is closed.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time from the start of a connection to the first byte of its first request.
    pub first: Duration,
    /// Time from the first byte of a request head to its last one.
    pub head: Duration,
    /// Time without a request.
    pub idle: Duration,
    /// Time in which a caller reads nothing of a response that is ready. It is long, since such a connection gives way as
    /// soon as others need its part.
    pub unread: Duration,
}

/// Activity of a connection.
#[derive(Clone, Debug)]
pub struct Activity {
    /// Number of requests whose responses are not complete.
    active: u32,
    /// Number of those whose bodies have not arrived.
    receiving: u32,
    /// Whether data is ready that the caller does not read.
    is_blocked: bool,
    /// Whether a request has arrived.
    has_served: bool,
    /// Whether requests share the connection, so that bytes outside of requests are no start of a head.
    is_multiplexed: bool,
    /// Time of the first byte of a head that is not complete.
    head_since: Option<Moment>,
    /// End of the last request, or start of the connection.
    idle_since: Moment,
    /// Time at which the caller last read.
    written_at: Moment,
}

impl Activity {
    /// Creates the activity of a new connection.
    pub fn new(now: Moment) -> Self {
        Self {
            active: 0,
            receiving: 0,
            is_blocked: false,
            has_served: false,
            is_multiplexed: false,
            head_since: None,
            idle_since: now,
            written_at: now,
        }
    }

    /// Records that requests share the connection.
    pub fn set_multiplexed(&mut self) {
        self.is_multiplexed = true;
        self.head_since = None;
    }

    /// Records that bytes arrived.
    pub fn record_read(&mut self, now: Moment) {
        if self.active == 0 && !self.is_multiplexed {
            self.head_since.get_or_insert(now);
        }
    }

    /// Records whether a write had to wait for the caller, and otherwise that the caller has read.
    pub fn record_write(&mut self, is_blocked: bool, now: Moment) {
        if !is_blocked || !self.is_blocked {
            self.written_at = now;
        }
        self.is_blocked = is_blocked;
    }

    /// Records a request whose head has arrived, and whether a body is still to come.
    pub fn begin_request(&mut self, has_body: bool) {
        self.head_since = None;
        self.has_served = true;
        self.active += 1;
        self.receiving += u32::from(has_body);
    }

    /// Records that the body of a request has arrived, or that it is not waited for any longer.
    pub fn end_body(&mut self) {
        self.receiving -= 1;
    }

    /// Records that the response of a request is complete.
    pub fn end_request(&mut self, now: Moment) {
        self.active -= 1;
        self.idle_since = now;
    }

    /// Returns what the connection waits for.
    pub fn stage(&self) -> Stage {
        if self.is_blocked {
            return Stage::Caller;
        }
        if self.active > self.receiving {
            return Stage::Process;
        }
        let is_idle = self.active == 0 && self.has_served && self.head_since.is_none();
        if is_idle { Stage::Idle } else { Stage::Caller }
    }

    /// Returns the time at which the connection is to be closed if nothing changes until then. A body has the time of
    /// its request instead, and so has a response that is not ready.
    pub fn due_at(&self, timeouts: &Timeouts) -> Option<Moment> {
        if self.is_blocked {
            return Some(self.written_at + timeouts.unread);
        }
        if self.active > 0 {
            return None;
        }
        let idle = if self.has_served { timeouts.idle } else { timeouts.first };
        Some(self.head_since.map_or(self.idle_since + idle, |since| since + timeouts.head))
    }
}
