//! Reservations of engine memory for a prompt that does not fit into the memory of one engine.
//!
//! A reservation covers all engines or fails: if one engine refuses its part, the other parts are released at once. A
//! reservation has a short lifetime and is renewed while the prompt needs it, so that it expires if this process
//! dies. An engine may still execute a request that got no response seconds later, so the release is repeated for
//! that long.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use coord::name::Name;
use futures_util::future::join_all;
use platform::memory::{self, ReserveOutcome};
use tokio::task::JoinHandle;

use crate::{event, util, warn_event};

/// Number of renewals within the lifetime of a reservation: the reservation survives two lost renewals.
const RENEWALS_PER_LIFETIME: u32 = 3;
/// Bounds the time for an engine's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a failed release is retried.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after which an engine no longer executes a request that got no response.
const MAX_EXECUTION_DELAY: Duration = Duration::from_secs(13);
/// Interval between releases that are repeated because the engine may still execute a request.
const REPEATED_RELEASE_INTERVAL: Duration = Duration::from_secs(2);

thread_local! {
    /// Number of the next reservation part of this process.
    static NEXT_NUMBER: Cell<u64> = const { Cell::new(0) };
}

/// Part of a reservation at one engine.
struct Part {
    engine: Name,
    id: Name,
    tokens: u64,
    /// Whether a request got no response, so that the engine may still execute it.
    is_uncertain: Cell<bool>,
}

/// Reservation of memory at several engines. Dropping it releases all parts.
pub struct Reservation {
    /// One part for each engine.
    parts: Vec<Rc<Part>>,
    renewals: Vec<JoinHandle<()>>,
}

/// Reserves memory for `request` at engines, given by address and number of tokens, for the time `lifetime`, and
/// renews the reservation until it is dropped. Returns `None` if an engine refuses or does not answer.
pub async fn acquire(request: &Name, demands: Vec<(Name, u64)>, lifetime: Duration) -> Option<Reservation> {
    let parts: Vec<Rc<Part>> = demands.into_iter().map(|(engine, tokens)| Rc::new(new_part(engine, tokens))).collect();
    let mut reservation = Reservation { parts, renewals: Vec::new() };
    let outcomes = join_all(reservation.parts.iter().map(|part| part.reserve(lifetime))).await;
    let held = outcomes.iter().filter(|is_reserved| **is_reserved).count();
    event!("memory", request = %request, engines = outcomes.len(), held, tokens = reservation.tokens());
    if held < outcomes.len() {
        return None;
    }
    let renew = |part: &Rc<Part>| tokio::task::spawn_local(part.clone().keep_renewing(lifetime));
    reservation.renewals = reservation.parts.iter().map(renew).collect();
    Some(reservation)
}

/// Creates a part with a new id. The id contains the incarnation of this process, so that no other incarnation renews
/// or releases the part.
fn new_part(engine: Name, tokens: u64) -> Part {
    let number = NEXT_NUMBER.replace(NEXT_NUMBER.get() + 1);
    Part { engine, id: format!("{}-{number}", util::incarnation()).into(), tokens, is_uncertain: Cell::new(false) }
}

impl Reservation {
    /// Returns the id of the part at `engine`, or `None` if the reservation does not include that engine.
    pub fn id(&self, engine: &str) -> Option<Name> {
        self.parts.iter().find(|part| *part.engine == *engine).map(|part| part.id.clone())
    }

    fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        for renewal in &self.renewals {
            renewal.abort();
        }
        for part in self.parts.drain(..) {
            tokio::task::spawn_local(part.release());
        }
    }
}

impl Part {
    /// Reserves the memory, or renews its reservation. Returns whether the memory is reserved.
    async fn reserve(&self, lifetime: Duration) -> bool {
        match memory::reserve(&self.engine, &self.id, self.tokens, lifetime, RESPONSE_TIMEOUT).await {
            Ok(ReserveOutcome::Reserved) => true,
            Ok(ReserveOutcome::Insufficient) => false,
            Err(error) => {
                self.is_uncertain.set(true);
                warn_event!("memory", peer = %self.engine, id = %self.id, error = %format!("{error:#}"));
                false
            }
        }
    }

    /// Renews the reservation until the task is aborted. A failed renewal does not end the reservation before it
    /// expires.
    async fn keep_renewing(self: Rc<Self>, lifetime: Duration) {
        loop {
            tokio::time::sleep(lifetime / RENEWALS_PER_LIFETIME).await;
            let is_reserved = self.reserve(lifetime).await;
            if !is_reserved {
                warn_event!("memory", peer = %self.engine, id = %self.id, outcome = "not renewed");
            }
        }
    }

    /// Releases the memory. Repeats that for as long as the engine may still execute a request that got no response.
    async fn release(self: Rc<Self>) {
        let started_at = util::now();
        loop {
            let outcome = memory::release(&self.engine, &self.id, RESPONSE_TIMEOUT).await;
            if let Err(error) = &outcome {
                warn_event!("memory", peer = %self.engine, id = %self.id, error = %format!("{error:#}"));
            }
            let is_expired = util::now().since(started_at) >= MAX_EXECUTION_DELAY;
            if is_expired || (outcome.is_ok() && !self.is_uncertain.get()) {
                return;
            }
            tokio::time::sleep(if outcome.is_ok() { REPEATED_RELEASE_INTERVAL } else { RELEASE_RETRY_DELAY }).await;
        }
    }
}
