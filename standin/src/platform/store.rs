//! Stand-in for the platform's store: a log of topics with one partition each, which can be compacted to the newest
//! record of each key.
//!
//! Each client connects through a listener of its own, and each listener has its own fault, so that some clients get
//! errors while others are served.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::body::{Body, Bytes, HttpBody as _};
use axum::extract::State;
use axum::http::{HeaderName, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Buf;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use super::query::Query;

/// Fault that a listener injects into its calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Calls are served normally.
    #[default]
    None,
    /// Calls are not run and get 503.
    Unavailable,
    /// Calls are not run and get 429.
    TooManyRequests,
    /// Calls are accepted, but not run, and get no response.
    Unresponsive,
    /// Appends are run but get no response; reads are served normally.
    DropResponses,
}

/// Records in a response with the newest record of each key, unless [`Store::set_records_per_page`] sets another number.
const RECORDS_PER_PAGE: usize = 500;
/// Bounds the records in the response to a read, in KiB, unless the call names another bound.
const DEFAULT_MAX_KB: u64 = 1_024;
/// Bytes of a record's length in the response to a read.
const LENGTH_BYTES: usize = 4;
/// Nanoseconds in a second.
const NS_PER_S: u64 = 1_000_000_000;

/// Response header with the store's era: the number of times that it was restored from an older snapshot.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");

/// Record of a topic; an empty value marks the key as removed.
#[derive(Clone, Debug)]
struct Record {
    key: Vec<u8>,
    value: Bytes,
}

/// Topic with its only partition.
#[derive(Clone, Default)]
struct Topic {
    /// Offset of the first record that `/log-read` can return.
    first_offset: u64,
    records: Vec<Record>,
    /// Newest record of each key before that offset, with its own offset.
    compacted: BTreeMap<Vec<u8>, (u64, Bytes)>,
}

impl Topic {
    /// Returns the offset that the next record will get.
    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    /// Returns the newest value of each key that is not removed, with its offset.
    fn compacted_records(&self) -> BTreeMap<Vec<u8>, (u64, Bytes)> {
        let mut compacted = self.compacted.clone();
        for (index, record) in self.records.iter().enumerate() {
            if record.value.is_empty() {
                compacted.remove(&record.key);
            } else {
                compacted.insert(record.key.clone(), (self.first_offset + index as u64, record.value.clone()));
            }
        }
        compacted
    }
}

/// State of the store, which all its listeners share.
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    records_per_page: AtomicUsize,
    /// Bounds the number of records in the response to a read.
    records_per_read: AtomicUsize,
    /// Time that each byte of a response takes, in nanoseconds.
    ns_per_byte: AtomicU64,
    /// Number of restores from an older snapshot.
    era: AtomicU64,
    changed: Notify,
}

/// Snapshot of all topics of the store.
pub struct Snapshot(HashMap<String, Topic>);

impl Snapshot {
    /// Removes a topic from the snapshot, as if nothing had been written to it before the snapshot was taken.
    pub fn without_topic(mut self, topic: &str) -> Self {
        self.0.remove(topic);
        self
    }
}

/// Listener through which one client reaches the store, with a fault of its own.
pub struct StoreListener {
    /// Address on which it listens, `ip:port`.
    pub address: String,
    fault: Mutex<Fault>,
    /// Fault that replaces the present one later.
    scheduled_fault: Mutex<Option<ScheduledFault>>,
    call_count: Mutex<u64>,
    store: Arc<Store>,
}

/// Fault that begins once some reads of a topic were answered.
struct ScheduledFault {
    topic: String,
    /// Number of reads that are still answered.
    reads: u32,
    fault: Fault,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Store {
    /// Creates an empty store in era 0.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            topics: Mutex::default(),
            records_per_page: AtomicUsize::new(RECORDS_PER_PAGE),
            records_per_read: AtomicUsize::new(usize::MAX),
            ns_per_byte: AtomicU64::new(0),
            era: AtomicU64::new(0),
            changed: Notify::new(),
        })
    }

    /// Sets the number of records in a response with the newest record of each key.
    pub fn set_records_per_page(&self, records: usize) {
        self.records_per_page.store(records, Ordering::SeqCst);
    }

    /// Sets the maximum number of records in the response to a read, which tells the log's true end all the same.
    pub fn set_records_per_read(&self, records: usize) {
        self.records_per_read.store(records, Ordering::SeqCst);
    }

    /// Sets the bytes per second at which the store makes responses. Nothing of a response is sent before it is complete.
    pub fn set_response_rate(&self, bytes_per_s: u64) {
        self.ns_per_byte.store(NS_PER_S / bytes_per_s, Ordering::SeqCst);
    }

    /// Opens a listener without a fault on a free loopback port.
    pub async fn listen(self: &Arc<Self>) -> std::io::Result<Arc<StoreListener>> {
        let socket = TcpListener::bind("127.0.0.1:0").await?;
        let address = socket.local_addr()?.to_string();
        let listener = Arc::new(StoreListener {
            address,
            fault: Mutex::default(),
            scheduled_fault: Mutex::default(),
            call_count: Mutex::default(),
            store: self.clone(),
        });
        let router = Router::new()
            .route("/log-append", post(append))
            .route("/log-read", get(read))
            .route("/log-newest", get(read_compacted))
            .layer(axum::middleware::map_response_with_state(listener.clone(), finish_response))
            .with_state(listener.clone());
        tokio::spawn(async move { axum::serve(socket, router).await });
        Ok(listener)
    }

    /// Appends a record for a key and returns the end offset of the topic; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: impl Into<Bytes>) -> u64 {
        self.put_raw(topic, key.as_bytes(), value)
    }

    /// Appends a record as [`Store::put`] does, for a key that need not be valid UTF-8.
    pub fn put_raw(&self, topic: &str, key: &[u8], value: impl Into<Bytes>) -> u64 {
        let mut topics = lock(&self.topics);
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.push(Record { key: key.to_vec(), value: value.into() });
        let end_offset = topic.end_offset();
        drop(topics);
        self.changed.notify_waiters();
        end_offset
    }

    /// Takes a snapshot of all topics.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(lock(&self.topics).clone())
    }

    /// Restores the store from a snapshot and starts a new era. Records written since the snapshot are lost, and their
    /// offsets are assigned again.
    pub fn restore(&self, snapshot: Snapshot) {
        let mut topics = lock(&self.topics);
        *topics = snapshot.0;
        self.era.fetch_add(1, Ordering::SeqCst);
        drop(topics);
        self.changed.notify_waiters();
    }

    fn era(&self) -> u64 {
        self.era.load(Ordering::SeqCst)
    }

    /// Returns the newest value of a key; `None` if it was removed or never written.
    pub fn value(&self, topic: &str, key: &str) -> Option<Bytes> {
        let topics = lock(&self.topics);
        topics.get(topic)?.compacted_records().remove(key.as_bytes()).map(|(_, value)| value)
    }

    /// Returns the keys of a topic that are not removed, in the order of their newest records.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let topics = lock(&self.topics);
        let compacted = topics.get(topic).map(Topic::compacted_records).unwrap_or_default();
        let mut keys: Vec<(u64, Vec<u8>)> = compacted.into_iter().map(|(key, (offset, _))| (offset, key)).collect();
        keys.sort();
        keys.into_iter().map(|(_, key)| String::from_utf8_lossy(&key).into_owned()).collect()
    }

    /// Compacts a topic: drops all records except the newest of each key, which only `/log-newest` returns from then
    /// on.
    pub fn compact(&self, topic: &str) {
        let mut topics = lock(&self.topics);
        let Some(topic) = topics.get_mut(topic) else { return };
        topic.compacted = topic.compacted_records();
        topic.first_offset = topic.end_offset();
        topic.records.clear();
    }
}

impl StoreListener {
    /// Sets the fault for calls that start from now on, and for the answers to reads that the store still holds.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.scheduled_fault) = None;
        *lock(&self.fault) = fault;
    }

    /// Serves calls without a fault until `reads` more reads of `topic` were answered with records; `fault` begins then.
    pub fn set_fault_after_reads(&self, topic: &str, reads: u32, fault: Fault) {
        self.set_fault(Fault::None);
        *lock(&self.scheduled_fault) = Some(ScheduledFault { topic: topic.to_owned(), reads, fault });
    }

    /// Counts a read of `topic` that is answered with records, and begins the scheduled fault after the last one.
    fn count_read(&self, topic: &str) {
        let mut scheduled = lock(&self.scheduled_fault);
        let Some(schedule) = scheduled.as_mut().filter(|schedule| schedule.topic == topic) else { return };
        schedule.reads = schedule.reads.saturating_sub(1);
        if schedule.reads == 0 {
            *lock(&self.fault) = schedule.fault;
            *scheduled = None;
        }
    }

    /// Returns the number of calls through this listener, including those that failed by its fault.
    pub fn call_count(&self) -> u64 {
        *lock(&self.call_count)
    }

    /// Counts a call and applies the present fault before the call runs. Returns the fault, or the error response that
    /// the fault demands.
    async fn begin_call(&self) -> Result<Fault, Response> {
        *lock(&self.call_count) += 1;
        self.apply_fault().await
    }

    /// Applies the present fault. Returns the fault, or the error response that it demands.
    async fn apply_fault(&self) -> Result<Fault, Response> {
        let fault = *lock(&self.fault);
        match fault {
            Fault::Unavailable => Err(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            Fault::TooManyRequests => Err(StatusCode::TOO_MANY_REQUESTS.into_response()),
            Fault::Unresponsive => {
                std::future::pending::<()>().await;
                Ok(fault)
            }
            Fault::None | Fault::DropResponses => Ok(fault),
        }
    }
}

/// Waits for as long as a response of this size takes, and adds the era, so that clients notice a restore.
async fn finish_response(State(listener): State<Arc<StoreListener>>, mut response: Response) -> Response {
    let ns = listener.store.ns_per_byte.load(Ordering::SeqCst) * response.body().size_hint().lower();
    tokio::time::sleep(Duration::from_nanos(ns)).await;
    response.headers_mut().insert(ERA_HEADER, HeaderValue::from(listener.store.era()));
    response
}

/// Appends all records of a body, or none if the body is invalid. The topic with the replicas' records is read-only
/// here.
async fn append(State(listener): State<Arc<StoreListener>>, query: Query, body: Bytes) -> Response {
    let fault = match listener.begin_call().await {
        Ok(fault) => fault,
        Err(response) => return response,
    };
    if query.text("topic") == "keyed.servers" {
        return StatusCode::FORBIDDEN.into_response();
    }
    let Some(records) = decode_records(body) else { return StatusCode::BAD_REQUEST.into_response() };
    let mut end_offset = 0;
    for (key, value) in records {
        end_offset = listener.store.put(&query.text("topic"), &key, value);
    }
    if fault == Fault::DropResponses {
        std::future::pending::<()>().await;
    }
    axum::Json(json!({ "offset": end_offset - 1, "end": end_offset })).into_response()
}

/// Decodes the keys and values of a body's records; `None` if the body is malformed or has no record.
fn decode_records(mut body: Bytes) -> Option<Vec<(String, Bytes)>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let len = usize::try_from(body.try_get_u32().ok()?).ok()?;
        let mut record = (len <= body.len()).then(|| body.split_to(len))?;
        let key_len = usize::from(record.try_get_u8().ok()?);
        let key = (key_len <= record.len()).then(|| record.split_to(key_len))?;
        records.push((String::from_utf8(key.to_vec()).ok()?, record));
    }
    (!records.is_empty()).then_some(records)
}

/// Reads records from an offset on, and waits up to `wait_ms` for the first one if there is none yet.
async fn read(State(listener): State<Arc<StoreListener>>, query: Query) -> Response {
    if let Err(response) = listener.begin_call().await {
        return response;
    }
    let (topic, from) = (query.text("topic"), query.number("from"));
    let max_kb = if query.bytes("max_kb").is_some() { query.number("max_kb") } else { DEFAULT_MAX_KB };
    let max_bytes = usize::try_from(max_kb * 1_024).unwrap_or(usize::MAX);
    let wait = Duration::from_millis(query.number("wait_ms"));
    let deadline = tokio::time::Instant::now() + wait;
    let era = listener.store.era();
    loop {
        let changed = listener.store.changed.notified();
        if listener.store.era() != era {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let is_expired = tokio::time::Instant::now() >= deadline;
        if let Some((response, has_records)) = read_response(&listener.store, &topic, from, max_bytes, is_expired) {
            // A client that is turned away while the store holds its read learns nothing from the answer.
            if let Err(refusal) = listener.apply_fault().await {
                return refusal;
            }
            if has_records {
                listener.count_read(&topic);
            }
            return response;
        }
        let _ = tokio::time::timeout_at(deadline, changed).await;
    }
}

/// Builds the response with the records from an offset on, and returns whether it holds any; `None` if there is no record
/// yet and the read's wait has not expired. Records beyond `max_bytes` are left out, but for the first one. An offset
/// outside the topic gets 410 with the first offset that can be read.
fn read_response(
    store: &Store,
    topic: &str,
    from: u64,
    max_bytes: usize,
    is_expired: bool,
) -> Option<(Response, bool)> {
    let topics = lock(&store.topics);
    let empty = Topic::default();
    let topic = topics.get(topic).unwrap_or(&empty);
    if from < topic.first_offset || from > topic.end_offset() {
        let body = axum::Json(json!({ "first": topic.first_offset }));
        return Some(((StatusCode::GONE, body).into_response(), false));
    }
    let skip = usize::try_from(from - topic.first_offset).unwrap_or(usize::MAX);
    let records = topic.records.get(skip..).unwrap_or_default();
    if records.is_empty() && !is_expired {
        return None;
    }
    let mut encoded = Vec::new();
    encoded.extend_from_slice(&topic.end_offset().to_be_bytes());
    encoded.extend_from_slice(&topic.first_offset.to_be_bytes());
    let head_bytes = encoded.len();
    for record in records.iter().take(store.records_per_read.load(Ordering::SeqCst)) {
        let len = 1 + record.key.len() + record.value.len();
        let is_first = encoded.len() == head_bytes;
        if !is_first && encoded.len() - head_bytes + LENGTH_BYTES + len > max_bytes {
            break;
        }
        encoded.extend_from_slice(&u32::try_from(len).unwrap_or(u32::MAX).to_be_bytes());
        encoded.push(u8::try_from(record.key.len()).unwrap_or(u8::MAX));
        encoded.extend_from_slice(&record.key);
        encoded.extend_from_slice(&record.value);
    }
    let has_records = encoded.len() > head_bytes;
    Some((Body::from(encoded).into_response(), has_records))
}

/// Reads one page of the newest records, in the order of their keys: those whose keys follow `after_rev`, or the first
/// ones without it.
async fn read_compacted(State(listener): State<Arc<StoreListener>>, query: Query) -> Response {
    if let Err(response) = listener.begin_call().await {
        return response;
    }
    let topics = lock(&listener.store.topics);
    let empty = Topic::default();
    let topic = topics.get(&query.text("topic")).unwrap_or(&empty);
    let start = query.bytes("after_rev").map_or(Bound::Unbounded, |key| Bound::Excluded(key.to_vec()));
    let compacted = topic.compacted_records();
    let mut unread = compacted.range((start, Bound::Unbounded));
    let items: Vec<_> = unread
        .by_ref()
        .take(listener.store.records_per_page.load(Ordering::SeqCst))
        .map(|(key, (offset, value))| json!({ "tls_key": String::from_utf8_lossy(key), "value": STANDARD.encode(value), "offset": offset }))
        .collect();
    let has_more = unread.next().is_some();
    axum::Json(json!({ "items": items, "more": has_more, "end": topic.end_offset() })).into_response()
}
