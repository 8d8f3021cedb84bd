//! Callers of a soak: what they send, and what came of it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::platform::client::{self, Ask, Connection, Seen};
use crate::platform::site::HOST;

/// Pause of a caller between two requests, in milliseconds.
const THINK: (u64, u64) = (5, 60);
/// The body of work under which engines end.
pub const FATAL: &str = "fatal work";
/// Pause of the caller that comes with it, in milliseconds.
const FATAL_PAUSE: (u64, u64) = (100, 400);
/// Requests of one kept connection, at most.
const KEPT: u32 = 40;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// A short prompt, answered by a stream.
    Prompt,
    /// A prompt beyond the memory of one engine.
    LongPrompt,
    /// A call that may run once.
    Pay,
    /// A call that may repeat.
    Look,
}

/// What goes on while a request is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Faults, or what is left of them: an answer may be lost.
    #[default]
    Faults,
    /// Planned work only: what was taken is answered.
    Planned,
    /// Nothing: everything is served.
    Calm,
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub struct Line {
    /// The request's id.
    pub id: String,
    /// What it asked for.
    pub route: Route,
    /// The entry that it was sent to.
    pub entry: usize,
    /// Number of the key that it carried.
    pub key: u64,
    /// When it was sent.
    pub sent: Instant,
    /// What went on then.
    pub phase: Phase,
    /// What came back.
    pub seen: Seen,
}

/// What callers and injector share.
#[derive(Default)]
pub struct Shared {
    lines: Mutex<Vec<Line>>,
    next: AtomicU64,
    /// Number of the newest key.
    pub key: AtomicU64,
    phase: Mutex<Phase>,
    /// Whether callers use old keys too.
    pub stale_keys: AtomicBool,
    /// Whether callers end after their present requests.
    pub over: AtomicBool,
}

impl Shared {
    fn phase(&self) -> Phase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes what goes on from now on.
    pub fn enter(&self, phase: Phase) {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner) = phase;
    }

    /// What callers saw so far; it is noted no more.
    pub fn lines(&self) -> Vec<Line> {
        std::mem::take(&mut self.lines.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn note(&self, line: Line) {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }
}

/// The key of this number.
pub fn key(number: u64) -> String {
    format!("key-{number}")
}

/// A request under an id, with a key.
fn ask(route: Route, id: &str, key: &str) -> Ask {
    let prompt = |tokens: u32| {
        let usage = format!("{tokens},400");
        Ask::new("POST", "/prompt/1", id, key).with("token-usage", &usage).with("deadline-ms", "2500")
    };
    match route {
        Route::Prompt => prompt(500),
        Route::LongPrompt => prompt(700_000),
        Route::Pay => Ask::new("POST", "/pay/1", id, key).with("deadline-ms", "2000"),
        Route::Look => Ask::new("GET", "/look/1", id, key).with("deadline-ms", "2000"),
    }
}

/// A caller that comes again and again with the same fatal work, on a connection of its own each time. What it sees is
/// not noted: nobody owes it an answer.
pub async fn fatal_caller(shared: Arc<Shared>, addresses: Vec<String>, mut random: SmallRng) {
    while !shared.over.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(FATAL_PAUSE.0..FATAL_PAUSE.1))).await;
        let id = format!("fatal-{}", shared.next.fetch_add(1, Ordering::Relaxed));
        let mut ask = ask(Route::Prompt, &id, &key(shared.key.load(Ordering::Relaxed)));
        ask.body = FATAL.into();
        let address = &addresses[random.random_range(0..addresses.len())];
        // A connection that does not come up is one try less.
        let _ = tokio::time::timeout(Duration::from_secs(4), client::send(address, HOST, &ask)).await;
    }
}

/// A caller that keeps its connection for some requests, until the process behind it is gone.
pub async fn caller(shared: Arc<Shared>, addresses: Vec<String>, mut random: SmallRng) {
    let mut kept: Option<(usize, Connection, u32)> = None;
    let mut phase = shared.phase();
    while !shared.over.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(THINK.0..THINK.1))).await;
        if std::mem::replace(&mut phase, shared.phase()) != phase {
            // A way that lost bytes resets its connections once it is healed.
            kept = None;
        }
        let (entry, mut connection, used) = match kept.take().filter(|(_, open, used)| open.is_open() && *used < KEPT) {
            Some(kept) => kept,
            None => {
                let entry = random.random_range(0..addresses.len());
                let opened = tokio::time::timeout(Duration::from_secs(1), Connection::open(&addresses[entry])).await;
                let Ok(Ok(connection)) = opened else { continue };
                (entry, connection, 0)
            }
        };
        let newest = shared.key.load(Ordering::Relaxed);
        let stale = shared.stale_keys.load(Ordering::Relaxed) && random.random_bool(0.2);
        let number = if stale { newest.saturating_sub(1) } else { newest };
        let route = match random.random_range(0..20) {
            0 => Route::LongPrompt,
            1..9 => Route::Prompt,
            9..14 => Route::Pay,
            _ => Route::Look,
        };
        let id = format!("soak-{}", shared.next.fetch_add(1, Ordering::Relaxed));
        let sent = Instant::now();
        let ask = ask(route, &id, &key(number));
        let mut seen = Seen::default();
        let exchange = connection.exchange(HOST, &ask, &mut seen);
        // Longer than any deadline that is sent: an answer that is due is not cut off here.
        let _ = tokio::time::timeout(Duration::from_secs(4), exchange).await;
        seen.took = sent.elapsed();
        let answered = seen.whole && seen.header("connection") != "close";
        shared.note(Line { id, route, entry, key: number, sent, phase, seen });
        if answered {
            kept = Some((entry, connection, used + 1));
        }
    }
}
