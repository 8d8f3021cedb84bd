//! Permits for plain replicas that set a rate limit. The leader grants and counts them for all entries.
//!
//! If a limit of one request per second were divided among five entries, each could send one request in five seconds,
//! regardless of its load. Among 770 entries no request would be possible. A leader that counts for all entries can
//! give the whole limit to any of them, at the cost of 2 ms of waiting, and no shares have to be assigned, revoked or
//! reserved for entries that are gone.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use coord::name::Name;
use tokio::sync::oneshot;

use super::super::now;
use super::super::peer_protocol::{FollowerMessage, Permit};
use super::super::state::Gateway;

/// Timeout for the leader's answer, which takes a few one-way latencies within a region. A leader that does not answer
/// for longer is suspended or partitioned. The request then goes to another replica, or waits for the share of the
/// limit that this entry may use by itself.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);

type PermitResult = Result<Permit, Duration>;

/// Permit requests that have not been answered.
#[derive(Default)]
pub struct PermitRequests {
    next_number: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<PermitResult>>>,
}

impl PermitRequests {
    /// Adds a permit request. Returns its number and the receiver of its answer.
    fn add(&self) -> (u64, oneshot::Receiver<PermitResult>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        (number, receiver)
    }

    /// Completes a permit request, if it still waits for an answer.
    pub fn complete(&self, number: u64, permit: PermitResult) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&number) {
            // The caller may have disconnected.
            let _ = sender.send(permit);
        }
    }

    /// Drops all permit requests, because the leader that they were sent to no longer answers.
    pub fn clear(&self) {
        self.waiting.borrow_mut().clear();
    }
}

/// Takes a permit of one of `replicas`, which are in order of preference, that is due within `max_wait`. Otherwise
/// returns the time until the first permit is due.
pub async fn take_permit(gateway: &Gateway, replicas: Vec<Name>, max_wait: Duration) -> PermitResult {
    let limits = &gateway.limits;
    let now = now();
    let has_no_permit =
        |name: &Name| limits.no_permit_until.borrow().get(name).is_some_and(|until| *until > now + max_wait);
    let candidates: Vec<Name> = replicas.iter().filter(|name| !has_no_permit(name)).cloned().collect();
    let result = if candidates.is_empty() {
        Err(next_known_permit(gateway, &replicas))
    } else {
        request_permit(gateway, &candidates, max_wait).await
    };
    if let (Err(delay), false) = (&result, candidates.is_empty()) {
        let mut no_permit_until = limits.no_permit_until.borrow_mut();
        no_permit_until.extend(candidates.into_iter().map(|name| (name, now + *delay)));
    }
    result
}

/// Requests a permit from the leader, or grants it locally if this entry has no leader.
async fn request_permit(gateway: &Gateway, replicas: &[Name], max_wait: Duration) -> PermitResult {
    let limits = &gateway.limits;
    if gateway.admission.has_leader() {
        let (number, receiver) = limits.permit_requests.add();
        let request = FollowerMessage::PermitRequest { number, replicas: replicas.to_vec(), max_wait };
        if gateway.admission.report_to_leader(request) {
            let outcome = tokio::time::timeout(PERMIT_TIMEOUT, receiver).await;
            limits.permit_requests.waiting.borrow_mut().remove(&number);
            if let Ok(Ok(result)) = outcome {
                return result;
            }
        }
        if gateway.admission.has_leader() {
            return Err(PERMIT_TIMEOUT);
        }
    }
    limits.grant_permit(replicas, max_wait)
}

/// Returns the time until the first of the replicas has a permit, according to earlier answers.
fn next_known_permit(gateway: &Gateway, replicas: &[Name]) -> Duration {
    let no_permit_until = gateway.limits.no_permit_until.borrow();
    let until = replicas.iter().filter_map(|name| no_permit_until.get(name)).min();
    until.map_or(Duration::ZERO, |until| until.since(now()))
}
