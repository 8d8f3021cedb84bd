//! Callers of a soak, and the records of the requests that they sent.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::platform::client::{self, Connection, Outcome, RequestSpec};
use crate::platform::site::HOST;

/// Range of the time that a caller waits before each request, in milliseconds.
const THINK_TIME_MS: (u64, u64) = (5, 60);
/// Body of the requests that crash engines.
pub const FATAL_BODY: &str = "fatal work";
/// Id of the prompt part that crashes engines.
pub const FATAL_PART: &str = "dead0001";
/// Range of the time that the caller of fatal requests waits before each of them, in milliseconds.
const FATAL_THINK_TIME_MS: (u64, u64) = (100, 400);
/// Bounds the requests on one connection.
const MAX_REQUESTS_PER_CONNECTION: u32 = 40;

/// Kind of a request, by the route that it takes in the site's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// Short prompt with a streamed response.
    Prompt,
    /// Prompt that exceeds the memory of one engine.
    LongPrompt,
    /// Call that may run at most once.
    Pay,
    /// Call that may be retried.
    Look,
}

/// Phase of a round, which decides how a request may end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Faults are injected or still have effects; responses may be lost.
    #[default]
    Faults,
    /// Only maintenance takes place; each request that runs gets its response.
    Maintenance,
    /// No faults are injected, and the effects of earlier ones are over; each request succeeds.
    FaultFree,
}

/// Record of a request and its outcome.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Request id.
    pub id: String,
    /// Route of the request.
    pub route: Route,
    /// Index of the entry that received the request.
    pub entry: usize,
    /// Number of the API key in the request.
    pub key_number: u64,
    /// Time at which the request was sent.
    pub sent_at: Instant,
    /// Phase just before the request was sent.
    pub phase: Phase,
    /// Outcome for the caller.
    pub outcome: Outcome,
}

/// State shared by the callers and the fault injector.
#[derive(Default)]
pub struct SharedState {
    records: Mutex<Vec<RequestRecord>>,
    next_request_number: AtomicU64,
    /// Number of the newest API key.
    pub newest_key: AtomicU64,
    phase: Mutex<Phase>,
    /// Whether some requests use a key that is not the newest one.
    pub uses_stale_keys: AtomicBool,
    /// Maximum number of keys that are newer than a stale one, or 0 for one.
    pub max_key_age: AtomicU64,
    /// Whether callers stop after their present requests.
    pub is_stopping: AtomicBool,
}

impl SharedState {
    fn phase(&self) -> Phase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the phase for requests that are sent from now on.
    pub fn set_phase(&self, phase: Phase) {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner) = phase;
    }

    /// Removes and returns the records of all requests so far.
    pub fn take_records(&self) -> Vec<RequestRecord> {
        std::mem::take(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn add_record(&self, record: RequestRecord) {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }
}

/// Returns the API key with this number.
pub fn api_key(number: u64) -> String {
    format!("key-{number}")
}

/// Builds a request for a route, with this request id and API key.
fn build_request(route: Route, id: &str, key: &str) -> RequestSpec {
    let prompt = |tokens: u32| {
        let usage = format!("{tokens},400");
        RequestSpec::new("POST", "/prompt/1", id, key)
            .with_header("token-usage", &usage)
            .with_header("deadline-ms", "2500")
            .with_header("prompt-prefix", &format!("aaaa0001:40,{id}:{tokens}"))
    };
    match route {
        Route::Prompt => prompt(500),
        Route::LongPrompt => prompt(700_000),
        Route::Pay => RequestSpec::new("POST", "/pay/1", id, key).with_header("deadline-ms", "2000"),
        Route::Look => RequestSpec::new("GET", "/look/1", id, key).with_header("deadline-ms", "2000"),
    }
}

/// What a fatal request has in common with all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FatalKind {
    /// The whole request, which is repeated.
    Request,
    /// One part of the prompt; no two prompts are alike.
    Part,
}

/// Sends requests that crash engines, each on a new connection, until the soak stops. Their outcomes are not recorded,
/// since no guarantee covers them.
pub async fn run_fatal_caller(shared: Arc<SharedState>, addresses: Vec<String>, mut rng: SmallRng, kind: FatalKind) {
    while !shared.is_stopping.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(rng.random_range(FATAL_THINK_TIME_MS.0..FATAL_THINK_TIME_MS.1))).await;
        let id = format!("fatal-{}", shared.next_request_number.fetch_add(1, Ordering::Relaxed));
        let mut spec = build_request(Route::Prompt, &id, &api_key(shared.newest_key.load(Ordering::Relaxed)));
        match kind {
            FatalKind::Request => spec.body = FATAL_BODY.into(),
            FatalKind::Part => {
                spec.body = id.clone().into();
                spec.headers.retain(|(name, _)| *name != "prompt-prefix");
                spec = spec.with_header("prompt-prefix", &format!("aaaa0001:40,{FATAL_PART}:100,{id}:360"));
            }
        }
        let address = &addresses[rng.random_range(0..addresses.len())];
        // A failed connection only means one request less.
        let _ = tokio::time::timeout(Duration::from_secs(4), client::send(address, HOST, &spec)).await;
    }
}

/// Sends requests of random routes until the soak stops, and records their outcomes. Each connection to a random entry
/// is used for some requests, until the entry closes it or the phase changes.
pub async fn run_caller(shared: Arc<SharedState>, addresses: Vec<String>, mut rng: SmallRng) {
    let mut idle_connection: Option<(usize, Connection, u32)> = None;
    let mut phase = shared.phase();
    while !shared.is_stopping.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(rng.random_range(THINK_TIME_MS.0..THINK_TIME_MS.1))).await;
        if std::mem::replace(&mut phase, shared.phase()) != phase {
            // A proxy that dropped bytes resets its connections once the fault is cleared.
            idle_connection = None;
        }
        let (entry, mut connection, request_count) =
            match idle_connection.take().filter(|(_, connection, request_count)| {
                connection.is_open() && *request_count < MAX_REQUESTS_PER_CONNECTION
            }) {
                Some(reused) => reused,
                None => {
                    let entry = rng.random_range(0..addresses.len());
                    let opened =
                        tokio::time::timeout(Duration::from_secs(1), Connection::open(&addresses[entry])).await;
                    let Ok(Ok(connection)) = opened else { continue };
                    (entry, connection, 0)
                }
            };
        let newest_key = shared.newest_key.load(Ordering::Relaxed);
        let is_stale = shared.uses_stale_keys.load(Ordering::Relaxed) && rng.random_bool(0.2);
        let key_age = match (is_stale, shared.max_key_age.load(Ordering::Relaxed)) {
            (false, _) => 0,
            (true, 0) => 1,
            (true, max_key_age) => rng.random_range(1..=max_key_age),
        };
        let key = newest_key.saturating_sub(key_age);
        let route = match rng.random_range(0..20) {
            0 => Route::LongPrompt,
            1..9 => Route::Prompt,
            9..14 => Route::Pay,
            _ => Route::Look,
        };
        let id = format!("soak-{}", shared.next_request_number.fetch_add(1, Ordering::Relaxed));
        let sent_at = Instant::now();
        let spec = build_request(route, &id, &api_key(key));
        let mut outcome = Outcome::default();
        let exchange = connection.exchange(HOST, &spec, &mut outcome);
        // The timeout exceeds all deadlines in the requests, so that it never cuts off a response that is due.
        let _ = tokio::time::timeout(Duration::from_secs(4), exchange).await;
        outcome.elapsed = sent_at.elapsed();
        let is_reusable = outcome.is_complete && outcome.header("connection") != "close";
        shared.add_record(RequestRecord { id, route, entry, key_number: key, sent_at, phase, outcome });
        if is_reusable {
            idle_connection = Some((entry, connection, request_count + 1));
        }
    }
}
