//! Pacing of requests on a connection whose responses can take long.
//!
//! Only the response to the latest request counts because earlier ones describe an older state. Repeating a request
//! while its response is in transit discards that response; on a link that transfers a response more slowly than
//! requests are sent, no response would ever count.

use std::time::Duration;

use crate::time::Moment;

/// Time after which an outstanding response is considered lost because the peer failed. A snapshot of 24,000 replicas
/// takes a third of this time on the slowest link observed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Fraction of the request period after which a requester with incomplete data repeats its request.
const INCOMPLETE_PERIOD_FRACTION: f64 = 0.3;

/// State of the requests on one connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Poll {
    /// Number of the latest request; the first request has number 1.
    number: u64,
    /// Send time of the latest request while its response is outstanding.
    outstanding_since: Option<Moment>,
}

impl Poll {
    /// Returns whether another request may be sent at `now`.
    pub fn may_send(&self, now: Moment) -> bool {
        self.outstanding_since.is_none_or(|sent_at| now.since(sent_at) >= RESPONSE_TIMEOUT)
    }

    /// Records a request and returns its number.
    pub fn record_request(&mut self, now: Moment) -> u64 {
        self.number += 1;
        self.outstanding_since = Some(now);
        self.number
    }

    /// Records the response to request `number`. Returns the send time of the request if it is the latest one.
    pub fn record_response(&mut self, number: u64) -> Option<Moment> {
        if number == self.number { self.outstanding_since.take() } else { None }
    }

    /// Returns the delay before the next request of a process that sends one every `period`; `random` is uniform in
    /// 0..1.
    ///
    /// A requester that lacks any part of the data repeats its request early because its peer may receive that part
    /// soon. The first delay is randomised so that requesters that start together spread out: without it, the
    /// responses to 100 requesters, with a configuration of 20 KB, delayed grants on a link of 200 Mbit/s by 110 ms.
    pub fn next_delay(&self, period: Duration, is_complete: bool, random: f64) -> Duration {
        match is_complete {
            false => period.mul_f64(INCOMPLETE_PERIOD_FRACTION),
            true if self.is_unused() => period.mul_f64(random),
            true => period,
        }
    }

    /// Returns whether no request has been sent yet.
    pub fn is_unused(&self) -> bool {
        self.number == 0
    }
}
