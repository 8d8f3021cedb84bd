//! HTTP server of the engine stand-in: prompts, spans, load reports, load orders and fault injection.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use bytes::Bytes;
use coord::fence::{Fence, Guard};
use coord::prefix::Chain;
use futures_util::stream;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

use super::model::{Event, Id, Model, Prompt, Sizes};
use crate::text;

/// Mutable state of the engine, which a restart discards.
struct Inner {
    model: Model,
    outputs: HashMap<Id, mpsc::UnboundedSender<(u64, bool)>>,
    spans_ready: HashMap<Id, bool>,
    span_names: HashMap<String, Id>,
    guard: Guard,
    loaded: Loaded,
    orders: u64,
}

/// Model, adapters and role set by the last accepted order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Loaded {
    /// Version of the model.
    pub version: String,
    /// Adapters loaded with the model.
    pub adapters: Vec<String>,
    /// Role of the engine.
    pub role: String,
}

/// Load that the engine reports at `/load`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Load {
    /// Number of running sequences.
    pub running: usize,
    /// Number of waiting prompts.
    pub waiting: usize,
    /// Reserved KV memory, in tokens.
    pub held_tokens: u64,
    /// Prompt tokens of running sequences that are not prefilled yet.
    pub prefill_left: u64,
}

/// Engine stand-in, shared by its step loop and its HTTP handlers.
pub struct Engine {
    inner: Mutex<Inner>,
    work: Notify,
    progress: watch::Sender<u64>,
    frozen_until: Mutex<Instant>,
    lagging: Mutex<Load>,
    checks_fence: bool,
    load_lag: Duration,
}

impl Engine {
    /// Creates an idle engine that refreshes its reported load every `load_lag`, and that rejects orders with an old
    /// fence if `checks_fence` is set.
    pub fn new(sizes: Sizes, checks_fence: bool, load_lag: Duration) -> Arc<Self> {
        let inner = Inner {
            model: Model::new(sizes),
            outputs: HashMap::new(),
            spans_ready: HashMap::new(),
            span_names: HashMap::new(),
            guard: Guard::default(),
            loaded: Loaded::default(),
            orders: 0,
        };
        Arc::new(Self {
            inner: Mutex::new(inner),
            work: Notify::new(),
            progress: watch::channel(0).0,
            frozen_until: Mutex::new(Instant::now()),
            lagging: Mutex::default(),
            checks_fence,
            load_lag,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Waits until an injected suspension ends.
    async fn thaw(&self) {
        loop {
            let until = *self.frozen_until.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            if until <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(until).await;
        }
    }

    /// Runs steps for the life of the process.
    pub async fn run(self: Arc<Self>) {
        tokio::spawn(self.clone().report());
        let mut clock = Instant::now();
        loop {
            self.thaw().await;
            if !self.lock().model.is_busy() {
                self.work.notified().await;
                clock = Instant::now();
                continue;
            }
            let (time, events) = self.lock().model.step();
            // Steps are scheduled from the model's clock, at most 50 ms in the past, so that coarse timers do not
            // lower the token rate.
            clock = (clock + time).max(Instant::now() - Duration::from_millis(50));
            tokio::time::sleep_until(clock).await;
            self.emit(events);
        }
    }

    fn emit(&self, events: Vec<Event>) {
        let mut inner = self.lock();
        for event in events {
            match event {
                Event::Token { id, index, last } => {
                    let taken = inner.outputs.get(&id).is_some_and(|output| output.send((index, last)).is_ok());
                    if last || !taken {
                        inner.outputs.remove(&id);
                    }
                    if !taken && !last {
                        inner.model.cancel(id);
                    }
                }
                Event::SpanReady(id) => drop(inner.spans_ready.insert(id, true)),
            }
        }
        drop(inner);
        self.progress.send_modify(|count| *count += 1);
    }

    async fn report(self: Arc<Self>) {
        loop {
            tokio::time::sleep(self.load_lag).await;
            let load = self.load();
            *self.lagging.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = load;
        }
    }

    fn load(&self) -> Load {
        let inner = self.lock();
        Load {
            running: inner.model.running(),
            waiting: inner.model.waiting(),
            held_tokens: inner.model.held(),
            prefill_left: inner.model.prefill_left(),
        }
    }

    fn submit(&self, prompt: Prompt) -> Option<(Id, mpsc::UnboundedReceiver<(u64, bool)>)> {
        let mut inner = self.lock();
        let id = inner.model.submit(prompt)?;
        let (output, receiver) = mpsc::unbounded_channel();
        inner.outputs.insert(id, output);
        drop(inner);
        self.work.notify_one();
        Some((id, receiver))
    }

    fn cancel(&self, id: Id) {
        let mut inner = self.lock();
        inner.outputs.remove(&id);
        inner.model.cancel(id);
    }
}

/// Cancels a sequence when dropped, so that a disconnected client frees its memory.
struct Guarded {
    engine: Arc<Engine>,
    id: Id,
    armed: bool,
}

impl Guarded {
    fn new(engine: Arc<Engine>, id: Id) -> Self {
        Self { engine, id, armed: true }
    }

    /// Keeps the sequence when the guard is dropped.
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for Guarded {
    fn drop(&mut self) {
        if self.armed {
            self.engine.cancel(self.id);
        }
    }
}

/// Returns the routes of an engine stand-in.
pub fn router(engine: Arc<Engine>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/completions", post(completions))
        .route("/spans/{name}", post(span))
        .route("/spans/{name}", delete(free_span))
        .route("/kv", get(kv))
        .route("/cancel/{name}", post(cancel))
        .route("/load", get(load))
        .route("/health", get(health))
        .route("/orders", post(order))
        .route("/loaded", get(loaded))
        .route("/fault", post(fault))
        .layer(DefaultBodyLimit::disable())
        .with_state(engine)
}

#[derive(Deserialize)]
struct Wanted<'a> {
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    model: String,
}

fn number<T: std::str::FromStr + Default>(headers: &HeaderMap, name: &str) -> T {
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or_default()
}

async fn chat(State(engine): State<Arc<Engine>>, headers: HeaderMap, body: Bytes) -> Response {
    prompt(engine, &headers, &body, true).await
}

async fn completions(State(engine): State<Arc<Engine>>, headers: HeaderMap, body: Bytes) -> Response {
    prompt(engine, &headers, &body, false).await
}

async fn prompt(engine: Arc<Engine>, headers: &HeaderMap, body: &Bytes, chat: bool) -> Response {
    engine.thaw().await;
    let wanted: Wanted = match serde_json::from_slice(body) {
        Ok(wanted) => wanted,
        Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    };
    let Some(raw) = (if chat { wanted.messages } else { wanted.prompt }) else {
        return (StatusCode::BAD_REQUEST, "no prompt").into_response();
    };
    let bytes = raw.get().as_bytes();
    let resume_after: u64 = number(headers, "x-resume-after");
    let seed: u64 = number(headers, "x-span-digest");
    let remote: u64 = number(headers, "x-span-tokens");
    // A prompt whose context is held in spans carries only the digest and token count of that context.
    let digest = if remote > 0 { seed } else { text::digest(bytes, 0) };
    let local = if remote > 0 { 0 } else { (bytes.len() / text::BYTES_PER_TOKEN) as u64 };
    let output = wanted.max_completion_tokens.or(wanted.max_tokens).unwrap_or(16 + digest % 48);
    let prompt_tokens = local + remote;
    let prompt = Prompt {
        request: headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("-").to_owned(),
        priority: number(headers, "x-priority"),
        tokens: prompt_tokens + resume_after,
        remote,
        resume_after,
        output,
        chain: Chain::of(bytes),
    };
    if resume_after >= output {
        return (StatusCode::BAD_REQUEST, "nothing is left to go on with").into_response();
    }
    let Some((id, outputs)) = engine.submit(prompt) else {
        return (StatusCode::UNPROCESSABLE_ENTITY, "the prompt exceeds the engine's memory").into_response();
    };
    let guard = Guarded::new(engine, id);
    let writer = Writer { chat, model: wanted.model, digest, prompt_tokens, given: 0 };
    let events = stream::unfold(Some((guard, writer, outputs)), |state| async move {
        let (guard, mut writer, mut outputs) = state?;
        let first = outputs.recv().await?;
        let mut bytes = Vec::new();
        let mut last = writer.token(first, &mut bytes);
        // Tokens that are already available are written in the same frame.
        while !last && let Ok(more) = outputs.try_recv() {
            last = writer.token(more, &mut bytes);
        }
        let next = if last { None } else { Some((guard, writer, outputs)) };
        Some((Ok::<Bytes, std::convert::Infallible>(Bytes::from(bytes)), next))
    });
    ([(header::CONTENT_TYPE, "text/event-stream")], Body::from_stream(events)).into_response()
}

struct Writer {
    chat: bool,
    model: String,
    digest: u64,
    prompt_tokens: u64,
    given: u64,
}

impl Writer {
    /// Writes the event of a token, and after the last token the usage and the end marker. Returns whether the
    /// token was the last.
    fn token(&mut self, (index, last): (u64, bool), out: &mut Vec<u8>) -> bool {
        self.given += 1;
        let token = text::token(self.digest, index);
        let part =
            if self.chat { format!("\"delta\":{{\"content\":\"{token}\"}}") } else { format!("\"text\":\"{token}\"") };
        let finish = if last { "\"length\"" } else { "null" };
        let model = &self.model;
        let line = format!(
            "data: {{\"id\":\"e\",\"model\":\"{model}\",\"choices\":[{{\"index\":0,{part},\"finish_reason\":{finish}}}]}}\n\n"
        );
        out.extend_from_slice(line.as_bytes());
        if last {
            let usage = json!({ "prompt_tokens": self.prompt_tokens, "completion_tokens": index + 1, "total_tokens": self.prompt_tokens + index + 1 });
            out.extend_from_slice(format!("data: {{\"choices\":[],\"usage\":{usage}}}\n\ndata: [DONE]\n\n").as_bytes());
        }
        last
    }
}

#[derive(Deserialize)]
struct SpanWanted {
    /// Digest of the preceding spans.
    #[serde(default)]
    digest: u64,
}

/// Prefills a span of a prompt and keeps its memory reserved until the span is freed.
async fn span(
    State(engine): State<Arc<Engine>>,
    Path(name): Path<String>,
    Query(wanted): Query<SpanWanted>,
    body: Bytes,
) -> Response {
    engine.thaw().await;
    let tokens = (body.len() / text::BYTES_PER_TOKEN) as u64;
    let prompt = Prompt {
        request: name.clone(),
        priority: 0,
        tokens,
        remote: 0,
        resume_after: 0,
        output: 0,
        chain: Chain::default(),
    };
    let Some(id) = engine.lock().model.submit(prompt) else {
        return (StatusCode::UNPROCESSABLE_ENTITY, "the span exceeds the engine's memory").into_response();
    };
    engine.lock().span_names.insert(name, id);
    engine.work.notify_one();
    let guard = Guarded::new(engine.clone(), id);
    let mut progress = engine.progress.subscribe();
    while !engine.lock().spans_ready.contains_key(&id) {
        let _ = progress.changed().await;
    }
    // A prefilled span stays reserved until it is freed by name, even if the client disconnects.
    guard.disarm();
    Json(json!({ "tokens": tokens, "digest": text::digest(&body, wanted.digest) })).into_response()
}

async fn free_span(State(engine): State<Arc<Engine>>, Path(name): Path<String>) -> StatusCode {
    engine.thaw().await;
    let id = engine.lock().span_names.remove(&name);
    if let Some(id) = id {
        engine.lock().spans_ready.remove(&id);
        engine.cancel(id);
        engine.work.notify_one();
    }
    StatusCode::NO_CONTENT
}

async fn kv(State(engine): State<Arc<Engine>>) -> Json<Value> {
    engine.thaw().await;
    let inner = engine.lock();
    let requests: Vec<String> = inner.model.requests().into_iter().map(|(_, request)| request).collect();
    let spans: Vec<&String> = inner.span_names.keys().collect();
    Json(json!({ "held_tokens": inner.model.held(), "requests": requests, "spans": spans }))
}

async fn cancel(State(engine): State<Arc<Engine>>, Path(name): Path<String>) -> StatusCode {
    engine.thaw().await;
    let found: Vec<Id> =
        engine.lock().model.requests().into_iter().filter(|(_, request)| *request == name).map(|(id, _)| id).collect();
    found.into_iter().for_each(|id| engine.cancel(id));
    StatusCode::NO_CONTENT
}

async fn load(State(engine): State<Arc<Engine>>) -> Json<Load> {
    engine.thaw().await;
    Json(engine.lagging.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone())
}

async fn health(State(engine): State<Arc<Engine>>) -> &'static str {
    engine.thaw().await;
    "ok\n"
}

#[derive(Deserialize)]
struct Order {
    fence: u64,
    #[serde(flatten)]
    loaded: Loaded,
}

/// Applies an order to load a model or change role. Rejects an order with an old fence if the engine checks fences.
async fn order(State(engine): State<Arc<Engine>>, Json(order): Json<Order>) -> StatusCode {
    engine.thaw().await;
    let mut inner = engine.lock();
    if engine.checks_fence && !inner.guard.admit(Fence(order.fence)) {
        return StatusCode::CONFLICT;
    }
    inner.orders += 1;
    inner.loaded = order.loaded;
    StatusCode::NO_CONTENT
}

async fn loaded(State(engine): State<Arc<Engine>>) -> Json<Value> {
    engine.thaw().await;
    let inner = engine.lock();
    Json(json!({ "loaded": inner.loaded, "orders": inner.orders, "fence": inner.guard.newest() }))
}

/// Fault to inject.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Fault {
    /// Suspends the engine and all its handlers for the given number of milliseconds.
    FreezeMs(u64),
    /// Exits the process immediately with status 1.
    Die,
}

async fn fault(State(engine): State<Arc<Engine>>, Json(fault): Json<Fault>) -> StatusCode {
    match fault {
        Fault::FreezeMs(ms) => {
            let until = Instant::now() + Duration::from_millis(ms);
            *engine.frozen_until.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = until;
        }
        Fault::Die => std::process::exit(1),
    }
    StatusCode::NO_CONTENT
}
