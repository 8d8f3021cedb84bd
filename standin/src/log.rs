//! Stand-in for the append-only log, with offsets, an append rate limit, retention and fault injection.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

/// Limits of a log stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Append limit per second, over all streams.
    pub appends_per_s: f64,
    /// Retention period of records.
    pub retention: Duration,
    /// Maximum number of records in the response to a read.
    pub batch: usize,
}

impl Default for Sizes {
    fn default() -> Self {
        Self { appends_per_s: 300.0, retention: Duration::from_secs(24 * 3_600), batch: 1_000 }
    }
}

struct Record {
    offset: u64,
    at_ms: u64,
    payload: Arc<RawValue>,
}

#[derive(Default)]
struct Stream {
    records: VecDeque<Record>,
    end: u64,
}

/// Faults to inject; a request replaces the faults of the previous one.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Duration of an outage, in milliseconds, during which every call fails.
    outage_ms: u64,
    /// Additional delay of every call, in milliseconds.
    slow_ms: u64,
    /// Number of subsequent appends that are stored but answered with an error.
    lose_answers: u32,
    /// Offset before which all records of every stream are deleted.
    trim_before: u64,
    /// Stream whose records are all deleted.
    trim_stream: String,
}

struct Inner {
    streams: HashMap<String, Stream>,
    level: f64,
    filled: Instant,
    outage_until: Instant,
    slow: Duration,
    lose_answers: u32,
    appends: u64,
    reads: u64,
}

/// Log stand-in, shared by its HTTP handlers.
pub struct Log {
    sizes: Sizes,
    inner: Mutex<Inner>,
    news: watch::Sender<u64>,
}

impl Log {
    /// Creates an empty log.
    pub fn new(sizes: Sizes) -> Arc<Self> {
        let now = Instant::now();
        let inner = Inner {
            streams: HashMap::new(),
            level: sizes.appends_per_s,
            filled: now,
            outage_until: now,
            slow: Duration::ZERO,
            lose_answers: 0,
            appends: 0,
            reads: 0,
        };
        Arc::new(Self { sizes, inner: Mutex::new(inner), news: watch::channel(0).0 })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Applies the injected faults to a call; an error is the status with which the call fails.
    async fn suffer(&self) -> Result<(), StatusCode> {
        let (until, slow) = {
            let inner = self.lock();
            (inner.outage_until, inner.slow)
        };
        if until > Instant::now() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
        Ok(())
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the routes of a log stand-in.
pub fn router(log: Arc<Log>) -> Router {
    Router::new()
        .route("/streams/{stream}", post(append).get(read))
        .route("/fault", post(fault))
        .route("/counts", get(counts))
        .layer(DefaultBodyLimit::max(4 * 1_024 * 1_024))
        .with_state(log)
}

#[derive(Deserialize)]
struct Append {
    payload: Box<RawValue>,
}

async fn append(State(log): State<Arc<Log>>, Path(stream): Path<String>, Json(append): Json<Append>) -> Response {
    if let Err(status) = log.suffer().await {
        return status.into_response();
    }
    let (offset, lost) = {
        let mut inner = log.lock();
        let now = Instant::now();
        let gained = (now - inner.filled).as_secs_f64() * log.sizes.appends_per_s;
        inner.level = (inner.level + gained).min(log.sizes.appends_per_s);
        inner.filled = now;
        if inner.level < 1.0 {
            return StatusCode::TOO_MANY_REQUESTS.into_response();
        }
        inner.level -= 1.0;
        inner.appends += 1;
        let lost = inner.lose_answers > 0;
        inner.lose_answers = inner.lose_answers.saturating_sub(1);
        let stream = inner.streams.entry(stream).or_default();
        let offset = stream.end;
        stream.end += 1;
        stream.records.push_back(Record { offset, at_ms: wall_ms(), payload: Arc::from(append.payload) });
        let keep_from = wall_ms().saturating_sub(log.sizes.retention.as_millis() as u64);
        while stream.records.front().is_some_and(|record| record.at_ms < keep_from) {
            stream.records.pop_front();
        }
        (offset, lost)
    };
    log.news.send_modify(|count| *count += 1);
    if lost {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(json!({ "offset": offset })).into_response()
}

#[derive(Deserialize)]
struct Read {
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

async fn read(State(log): State<Arc<Log>>, Path(stream): Path<String>, Query(read): Query<Read>) -> Response {
    if let Err(status) = log.suffer().await {
        return status.into_response();
    }
    log.lock().reads += 1;
    let until = Instant::now() + Duration::from_millis(read.wait_ms);
    let mut news = log.news.subscribe();
    loop {
        let found = batch(&log, &stream, read.from);
        if !found.0 || Instant::now() >= until {
            return Json(found.1).into_response();
        }
        let _ = tokio::time::timeout_at(until, news.changed()).await;
        if let Err(status) = log.suffer().await {
            return status.into_response();
        }
    }
}

/// Returns the response to a read, and whether it is empty, in which case the read may wait for records.
fn batch(log: &Log, stream: &str, from: u64) -> (bool, Value) {
    let inner = log.lock();
    let Some(stream) = inner.streams.get(stream) else {
        return (true, json!({ "entries": [], "oldest": 0, "end": 0 }));
    };
    let oldest = stream.records.front().map_or(stream.end, |record| record.offset);
    let skip = from.saturating_sub(oldest) as usize;
    let records = stream.records.iter().skip(skip).take(log.sizes.batch);
    let entries: Vec<Value> = records
        .map(|record| json!({ "offset": record.offset, "at_ms": record.at_ms, "payload": record.payload }))
        .collect();
    let nothing = entries.is_empty() && from >= oldest;
    (nothing, json!({ "entries": entries, "oldest": oldest, "end": stream.end }))
}

async fn fault(State(log): State<Arc<Log>>, Json(faults): Json<Faults>) -> StatusCode {
    let mut inner = log.lock();
    inner.outage_until = Instant::now() + Duration::from_millis(faults.outage_ms);
    inner.slow = Duration::from_millis(faults.slow_ms);
    inner.lose_answers = faults.lose_answers;
    for stream in inner.streams.values_mut() {
        stream.records.retain(|record| record.offset >= faults.trim_before);
    }
    if let Some(stream) = inner.streams.get_mut(&faults.trim_stream) {
        stream.records.clear();
    }
    drop(inner);
    // Wakes waiting reads, so that the fault applies to them immediately.
    log.news.send_modify(|count| *count += 1);
    StatusCode::NO_CONTENT
}

async fn counts(State(log): State<Arc<Log>>) -> Json<Value> {
    let inner = log.lock();
    let ends: HashMap<&String, u64> = inner.streams.iter().map(|(name, stream)| (name, stream.end)).collect();
    Json(json!({ "appends": inner.appends, "reads": inner.reads, "ends": ends }))
}
