//! Stand-in for the append-only log, with offsets, an append rate limit, retention and fault injection.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

/// Limits of a log stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Append limit per second, over all streams.
    pub appends_per_s: f64,
    /// Retention period of records.
    pub retention: Duration,
    /// Maximum number of records in the response to a read.
    pub max_read_records: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { appends_per_s: 300.0, retention: Duration::from_secs(24 * 3_600), max_read_records: 1_000 }
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
    /// Maximum number of records in the response to a read, if it differs from that of the limits.
    max_read_records: Option<usize>,
}

struct LogState {
    streams: HashMap<String, Stream>,
    append_tokens: f64,
    refilled_at: Instant,
    outage_until: Instant,
    delay: Duration,
    lose_answers: u32,
    max_read_records: usize,
    append_count: u64,
    read_count: u64,
}

/// Log stand-in, shared by its HTTP handlers.
pub struct Log {
    limits: Limits,
    state: Mutex<LogState>,
    changes: watch::Sender<u64>,
}

impl Log {
    /// Creates an empty log.
    pub fn new(limits: Limits) -> Arc<Self> {
        let now = Instant::now();
        let state = LogState {
            streams: HashMap::new(),
            append_tokens: limits.appends_per_s,
            refilled_at: now,
            outage_until: now,
            delay: Duration::ZERO,
            lose_answers: 0,
            max_read_records: limits.max_read_records,
            append_count: 0,
            read_count: 0,
        };
        Arc::new(Self { limits, state: Mutex::new(state), changes: watch::channel(0).0 })
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Applies the injected faults to a call; an error is the status with which the call fails.
    async fn apply_faults(&self) -> Result<(), StatusCode> {
        let (outage_until, delay) = {
            let state = self.lock();
            (state.outage_until, state.delay)
        };
        if outage_until > Instant::now() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        Ok(())
    }
}

fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the routes of a log stand-in.
pub fn router(log: Arc<Log>) -> Router {
    Router::new()
        .route("/streams/{stream}", post(append).get(read))
        .route("/fault", post(inject_fault))
        .route("/counts", get(get_counts))
        .layer(DefaultBodyLimit::max(4 * 1_024 * 1_024))
        .with_state(log)
}

#[derive(Deserialize)]
struct AppendBody {
    payload: Box<RawValue>,
}

async fn append(State(log): State<Arc<Log>>, Path(stream): Path<String>, Json(append): Json<AppendBody>) -> Response {
    if let Err(status) = log.apply_faults().await {
        return status.into_response();
    }
    let (offset, is_response_lost) = {
        let mut state = log.lock();
        let now = Instant::now();
        let refill = (now - state.refilled_at).as_secs_f64() * log.limits.appends_per_s;
        state.append_tokens = (state.append_tokens + refill).min(log.limits.appends_per_s);
        state.refilled_at = now;
        if state.append_tokens < 1.0 {
            return StatusCode::TOO_MANY_REQUESTS.into_response();
        }
        state.append_tokens -= 1.0;
        state.append_count += 1;
        let is_response_lost = state.lose_answers > 0;
        state.lose_answers = state.lose_answers.saturating_sub(1);
        let stream = state.streams.entry(stream).or_default();
        let offset = stream.end;
        stream.end += 1;
        stream.records.push_back(Record { offset, at_ms: unix_time_ms(), payload: Arc::from(append.payload) });
        let oldest_kept_ms = unix_time_ms().saturating_sub(log.limits.retention.as_millis() as u64);
        while stream.records.front().is_some_and(|record| record.at_ms < oldest_kept_ms) {
            stream.records.pop_front();
        }
        (offset, is_response_lost)
    };
    log.changes.send_modify(|count| *count += 1);
    if is_response_lost {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(json!({ "offset": offset })).into_response()
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

async fn read(State(log): State<Arc<Log>>, Path(stream): Path<String>, Query(read): Query<ReadQuery>) -> Response {
    if let Err(status) = log.apply_faults().await {
        return status.into_response();
    }
    log.lock().read_count += 1;
    let deadline = Instant::now() + Duration::from_millis(read.wait_ms);
    let mut changes = log.changes.subscribe();
    loop {
        let batch = read_batch(&log, &stream, read.from);
        if !batch.0 || Instant::now() >= deadline {
            return Json(batch.1).into_response();
        }
        let _ = tokio::time::timeout_at(deadline, changes.changed()).await;
        if let Err(status) = log.apply_faults().await {
            return status.into_response();
        }
    }
}

/// Response to a read.
#[derive(Default, Serialize)]
struct Batch {
    entries: Vec<BatchRecord>,
    oldest: u64,
    end: u64,
}

#[derive(Serialize)]
struct BatchRecord {
    offset: u64,
    at_ms: u64,
    /// Payload as it was appended, which need not be text that this process could decode.
    payload: Arc<RawValue>,
}

/// Returns the response to a read, and whether it is empty, in which case the read may wait for records.
fn read_batch(log: &Log, stream: &str, from: u64) -> (bool, Batch) {
    let state = log.lock();
    let Some(stream) = state.streams.get(stream) else { return (true, Batch::default()) };
    let oldest = stream.records.front().map_or(stream.end, |record| record.offset);
    let skip = from.saturating_sub(oldest) as usize;
    let records = stream.records.iter().skip(skip).take(state.max_read_records);
    let entries: Vec<BatchRecord> = records
        .map(|record| BatchRecord { offset: record.offset, at_ms: record.at_ms, payload: record.payload.clone() })
        .collect();
    let is_empty = entries.is_empty() && from >= oldest;
    (is_empty, Batch { entries, oldest, end: stream.end })
}

async fn inject_fault(State(log): State<Arc<Log>>, Json(faults): Json<Faults>) -> StatusCode {
    let mut state = log.lock();
    state.outage_until = Instant::now() + Duration::from_millis(faults.outage_ms);
    state.delay = Duration::from_millis(faults.slow_ms);
    state.lose_answers = faults.lose_answers;
    state.max_read_records = faults.max_read_records.unwrap_or(log.limits.max_read_records);
    for stream in state.streams.values_mut() {
        stream.records.retain(|record| record.offset >= faults.trim_before);
    }
    if let Some(stream) = state.streams.get_mut(&faults.trim_stream) {
        stream.records.clear();
    }
    drop(state);
    // Wakes waiting reads, so that the fault applies to them immediately.
    log.changes.send_modify(|count| *count += 1);
    StatusCode::NO_CONTENT
}

async fn get_counts(State(log): State<Arc<Log>>) -> Json<Value> {
    let state = log.lock();
    let end_offsets: HashMap<&String, u64> = state.streams.iter().map(|(name, stream)| (name, stream.end)).collect();
    Json(json!({ "appends": state.append_count, "reads": state.read_count, "ends": end_offsets }))
}
