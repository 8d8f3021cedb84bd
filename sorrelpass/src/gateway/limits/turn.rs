//! Turns at plain replicas that name a limit: asked of the entry that plans for all, which counts them.
//!
//! A limit of one request a second shared out over five entries is one in five seconds for each, whatever comes to them;
//! over 770 it is nothing at all. One entry that counts for all gives it to whoever asks, for 2 ms of waiting, and
//! nothing has to be shared out, taken back or kept for entries that are gone.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use coord::name::Name;
use tokio::sync::oneshot;

use super::super::link::{Report, Turn};
use super::super::now;
use super::super::state::Gateway;

/// Time for the answer of the entry that plans: some ways across a region. One that is silent for longer is frozen or cut
/// off; the call goes to another replica, or waits for what this entry may use of the limit by itself.
const ANSWERED: Duration = Duration::from_millis(100);

type Answer = Result<Turn, Duration>;

/// Turns that were asked for and not answered yet.
#[derive(Default)]
pub struct Wishes {
    next: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
}

impl Wishes {
    /// One more wish: its number, and where its answer comes.
    fn add(&self) -> (u64, oneshot::Receiver<Answer>) {
        let number = self.next.get();
        self.next.set(number + 1);
        let (answer, answered) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, answer);
        (number, answered)
    }

    /// Answers a wish, if it still waits.
    pub fn answer(&self, number: u64, turn: Answer) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&number) {
            // Its caller may have gone meanwhile.
            let _ = waiting.send(turn);
        }
    }

    /// Gives up all that wait: whoever was asked answers no more.
    pub fn clear(&self) {
        self.waiting.borrow_mut().clear();
    }
}

/// A turn at one of `replicas`, the best first, within `most_wait`, or the time until there is one.
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

/// Asks whoever counts.
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

/// Time until the first of replicas that were asked before has a turn.
fn soonest(gateway: &Gateway, replicas: &[Name]) -> Duration {
    let held = gateway.limits.held.borrow();
    let until = replicas.iter().filter_map(|name| held.get(name)).min();
    until.map_or(Duration::ZERO, |until| until.since(now()))
}
