//! Engine memory held for one prompt that exceeds a single engine.
//!
//! All of it is had or none: what was had when a part is refused goes back at once. A hold is
//! short and renewed while the prompt needs it, so that it ends by itself if this process dies.
//! An order without an answer may be carried out seconds later; its release is repeated for as long.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use coord::name::Name;
use futures_util::future::join_all;
use platform::memory::{self, Outcome};
use tokio::task::JoinHandle;

use crate::{event, util, warn_event};

/// Renewals in the time of one hold: two may be lost without harm.
const RENEWALS: u32 = 3;
/// Time for an engine's answer to an order.
const PATIENCE: Duration = Duration::from_millis(400);
/// Pause before a release is tried again.
const RELEASE_PAUSE: Duration = Duration::from_millis(300);
/// An order without an answer is carried out within this time, if at all.
const LATE_ORDER: Duration = Duration::from_secs(13);
/// Pause between releases that are repeated for such an order.
const LATE_PAUSE: Duration = Duration::from_secs(2);

thread_local! {
    /// Number of the next piece of this process.
    static NEXT: Cell<u64> = const { Cell::new(0) };
}

/// Memory at one engine.
struct Piece {
    engine: Name,
    id: Name,
    tokens: u64,
    /// An order got no answer and may be carried out later.
    doubtful: Cell<bool>,
}

/// Memory at several engines; dropping it releases all.
pub struct Hold {
    /// One at each engine.
    pieces: Vec<Rc<Piece>>,
    renewals: Vec<JoinHandle<()>>,
}

/// Takes memory at engines, named by address, or none of it.
pub async fn take(request: &Name, wants: Vec<(Name, u64)>, span: Duration) -> Option<Hold> {
    let pieces: Vec<Rc<Piece>> = wants.into_iter().map(|(engine, tokens)| Rc::new(piece(engine, tokens))).collect();
    let mut hold = Hold { pieces, renewals: Vec::new() };
    let outcomes = join_all(hold.pieces.iter().map(|piece| piece.reserve(span))).await;
    let held = outcomes.iter().filter(|held| **held).count();
    event!("memory", request = %request, engines = outcomes.len(), held, tokens = hold.tokens());
    if held < outcomes.len() {
        return None;
    }
    let renew = |piece: &Rc<Piece>| tokio::task::spawn_local(piece.clone().renew(span));
    hold.renewals = hold.pieces.iter().map(renew).collect();
    Some(hold)
}

/// The id names this run of the process, so that no other run ever touches it.
fn piece(engine: Name, tokens: u64) -> Piece {
    let number = NEXT.replace(NEXT.get() + 1);
    Piece { engine, id: format!("{}-{number}", util::incarnation()).into(), tokens, doubtful: Cell::new(false) }
}

impl Hold {
    /// The name under which each engine holds its memory.
    pub fn id(&self, engine: &str) -> Option<Name> {
        self.pieces.iter().find(|piece| *piece.engine == *engine).map(|piece| piece.id.clone())
    }

    fn tokens(&self) -> u64 {
        self.pieces.iter().map(|piece| piece.tokens).sum()
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        for renewal in &self.renewals {
            renewal.abort();
        }
        for piece in self.pieces.drain(..) {
            tokio::task::spawn_local(piece.release());
        }
    }
}

impl Piece {
    /// Orders the memory, or renews it; says whether it is held.
    async fn reserve(&self, span: Duration) -> bool {
        match memory::reserve(&self.engine, &self.id, self.tokens, span, PATIENCE).await {
            Ok(Outcome::Held) => true,
            Ok(Outcome::NotFree) => false,
            Err(error) => {
                self.doubtful.set(true);
                warn_event!("memory", peer = %self.engine, id = %self.id, error = %format!("{error:#}"));
                false
            }
        }
    }

    /// Renews for ever; a renewal that fails leaves what is held until its time is over.
    async fn renew(self: Rc<Self>, span: Duration) {
        loop {
            tokio::time::sleep(span / RENEWALS).await;
            let held = self.reserve(span).await;
            if !held {
                warn_event!("memory", peer = %self.engine, id = %self.id, outcome = "not renewed");
            }
        }
    }

    /// Releases the memory, and again for as long as an order without an answer may still be carried out.
    async fn release(self: Rc<Self>) {
        let started = util::now();
        loop {
            let outcome = memory::release(&self.engine, &self.id, PATIENCE).await;
            if let Err(error) = &outcome {
                warn_event!("memory", peer = %self.engine, id = %self.id, error = %format!("{error:#}"));
            }
            let over = util::now().since(started) >= LATE_ORDER;
            if over || (outcome.is_ok() && !self.doubtful.get()) {
                return;
            }
            tokio::time::sleep(if outcome.is_ok() { LATE_PAUSE } else { RELEASE_PAUSE }).await;
        }
    }
}
