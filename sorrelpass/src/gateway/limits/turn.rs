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

use super::super::link::{Report, Turn};
use super::super::now;
use super::super::state::Gateway;

/// Timeout for the leader's answer, which takes a few one-way latencies within a region. A leader that is silent for longer
/// is suspended or partitioned. The request then goes to another replica, or waits for the share of the limit that this
/// entry may use by itself.
const ANSWERED: Duration = Duration::from_millis(100);

type Answer = Result<Turn, Duration>;

/// Permit requests that have not been answered.
#[derive(Default)]
pub struct Wishes {
    next: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
}

impl Wishes {
    /// Adds a permit request. Returns its number and the receiver of its answer.
    fn add(&self) -> (u64, oneshot::Receiver<Answer>) {
        let number = self.next.get();
        self.next.set(number + 1);
        let (answer, answered) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, answer);
        (number, answered)
    }

    /// Completes a permit request, if it still waits for an answer.
    pub fn answer(&self, number: u64, turn: Answer) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&number) {
            // The caller may have disconnected.
            let _ = waiting.send(turn);
        }
    }

    /// Drops all permit requests, because the leader that they were sent to no longer answers.
    pub fn clear(&self) {
        self.waiting.borrow_mut().clear();
    }
}

/// Takes a permit of one of `replicas`, which are in order of preference, that is due within `most_wait`. Otherwise
/// returns the time until the first permit is due.
pub async fn take(gateway: &Gateway, replicas: Vec<Name>, most_wait: Duration) -> Answer {
    let limits = &gateway.limits;
    let now = now();
    let is_held = |name: &Name| limits.held.borrow().get(name).is_some_and(|until| *until > now + most_wait);
    let asked: Vec<Name> = replicas.iter().filter(|name| !is_held(name)).cloned().collect();
    let answer =
        if asked.is_empty() { Err(soonest(gateway, &replicas)) } else { ask(gateway, &asked, most_wait).await };
    if let (Err(after), false) = (&answer, asked.is_empty()) {
        let mut held = limits.held.borrow_mut();
        held.extend(asked.into_iter().map(|name| (name, now + *after)));
    }
    answer
}

/// Requests a permit from the leader, or grants it locally if this entry has no leader.
async fn ask(gateway: &Gateway, replicas: &[Name], most_wait: Duration) -> Answer {
    let limits = &gateway.limits;
    if gateway.desk.has_leader() {
        let (number, answered) = limits.wishes.add();
        let wish = Report::Turn { number, replicas: replicas.to_vec(), most_wait };
        if gateway.desk.report(wish) {
            let outcome = tokio::time::timeout(ANSWERED, answered).await;
            limits.wishes.waiting.borrow_mut().remove(&number);
            if let Ok(Ok(answer)) = outcome {
                return answer;
            }
        }
        if gateway.desk.has_leader() {
            return Err(ANSWERED);
        }
    }
    limits.turn(replicas, most_wait)
}

/// Returns the time until the first of the replicas has a permit, according to earlier answers.
fn soonest(gateway: &Gateway, replicas: &[Name]) -> Duration {
    let held = gateway.limits.held.borrow();
    let until = replicas.iter().filter_map(|name| held.get(name)).min();
    until.map_or(Duration::ZERO, |until| until.since(now()))
}
