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

use super::model::{Capacity, Event, Prompt, SequenceId, TimingModel};
use crate::text;

/// Mutable state of the engine, which a restart discards.
struct EngineState {
    model: TimingModel,
    outputs: HashMap<SequenceId, mpsc::UnboundedSender<(u64, bool)>>,
    ready_spans: HashMap<SequenceId, bool>,
    span_ids: HashMap<String, SequenceId>,
    /// Items that are no id of a span or request, which the engine lists among these and does not free.
    odd_items: Vec<Value>,
    fence_guard: Guard,
    loaded: LoadedModel,
    order_count: u64,
}

/// Model, adapters and role set by the last accepted order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Version of the model.
    pub version: String,
    /// Adapters loaded with the model.
    pub adapters: Vec<String>,
    /// Role of the engine.
    pub role: String,
}

/// Load that the engine reports at `/load`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
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
    state: Mutex<EngineState>,
    work_available: Notify,
    steps_run: watch::Sender<u64>,
    suspended_until: Mutex<Instant>,
    reported_load: Mutex<LoadReport>,
    checks_fence: bool,
    load_report_delay: Duration,
}

impl Engine {
    /// Creates an idle engine that refreshes its reported load every `load_report_delay`. It rejects orders with an
    /// old fence if `checks_fence` is set.
    pub fn new(capacity: Capacity, checks_fence: bool, load_report_delay: Duration) -> Arc<Self> {
        let state = EngineState {
            model: TimingModel::new(capacity),
            outputs: HashMap::new(),
            ready_spans: HashMap::new(),
            span_ids: HashMap::new(),
            odd_items: Vec::new(),
            fence_guard: Guard::default(),
            loaded: LoadedModel::default(),
            order_count: 0,
        };
        Arc::new(Self {
            state: Mutex::new(state),
            work_available: Notify::new(),
            steps_run: watch::channel(0).0,
            suspended_until: Mutex::new(Instant::now()),
            reported_load: Mutex::default(),
            checks_fence,
            load_report_delay,
        })
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Waits until an injected suspension ends.
    async fn wait_until_resumed(&self) {
        loop {
            let until = *self.suspended_until.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            if until <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(until).await;
        }
    }

    /// Runs steps for the life of the process.
    pub async fn run(self: Arc<Self>) {
        tokio::spawn(self.clone().report_load());
        let mut step_end = Instant::now();
        loop {
            self.wait_until_resumed().await;
            if !self.lock().model.is_busy() {
                self.work_available.notified().await;
                step_end = Instant::now();
                continue;
            }
            let (time, events) = self.lock().model.step();
            // Steps are scheduled from the model's clock, at most 50 ms in the past, so that coarse timers do not
            // lower the token rate.
            step_end = (step_end + time).max(Instant::now() - Duration::from_millis(50));
            tokio::time::sleep_until(step_end).await;
            self.emit(events);
        }
    }

    fn emit(&self, events: Vec<Event>) {
        let mut state = self.lock();
        for event in events {
            match event {
                Event::Token { id, index, last } => {
                    let is_delivered = state.outputs.get(&id).is_some_and(|output| output.send((index, last)).is_ok());
                    if last || !is_delivered {
                        state.outputs.remove(&id);
                    }
                    if !is_delivered && !last {
                        state.model.cancel(id);
                    }
                }
                Event::SpanReady(id) => drop(state.ready_spans.insert(id, true)),
            }
        }
        drop(state);
        self.steps_run.send_modify(|count| *count += 1);
    }

    async fn report_load(self: Arc<Self>) {
        loop {
            tokio::time::sleep(self.load_report_delay).await;
            let load = self.load();
            *self.reported_load.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = load;
        }
    }

    fn load(&self) -> LoadReport {
        let state = self.lock();
        LoadReport {
            running: state.model.running(),
            waiting: state.model.waiting(),
            held_tokens: state.model.reserved(),
            prefill_left: state.model.remaining_prefill(),
        }
    }

    fn submit(&self, prompt: Prompt) -> Option<(SequenceId, mpsc::UnboundedReceiver<(u64, bool)>)> {
        let mut state = self.lock();
        let id = state.model.submit(prompt)?;
        let (output, receiver) = mpsc::unbounded_channel();
        state.outputs.insert(id, output);
        drop(state);
        self.work_available.notify_one();
        Some((id, receiver))
    }

    fn cancel(&self, id: SequenceId) {
        let mut state = self.lock();
        state.outputs.remove(&id);
        state.model.cancel(id);
    }
}

/// Cancels a sequence when dropped, so that a disconnected client frees its memory.
struct CancelOnDrop {
    engine: Arc<Engine>,
    id: SequenceId,
    is_armed: bool,
}

impl CancelOnDrop {
    fn new(engine: Arc<Engine>, id: SequenceId) -> Self {
        Self { engine, id, is_armed: true }
    }

    /// Keeps the sequence when the guard is dropped.
    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if self.is_armed {
            self.engine.cancel(self.id);
        }
    }
}

/// Returns the routes of an engine stand-in.
pub fn router(engine: Arc<Engine>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/completions", post(completions))
        .route("/spans/{name}", post(prefill_span))
        .route("/spans/{name}", delete(free_span))
        .route("/kv", get(get_kv))
        .route("/cancel/{name}", post(cancel_request))
        .route("/load", get(get_load))
        .route("/health", get(get_health))
        .route("/orders", post(apply_order))
        .route("/loaded", get(get_loaded))
        .route("/fault", post(inject_fault))
        .layer(DefaultBodyLimit::disable())
        .with_state(engine)
}

#[derive(Deserialize)]
struct CompletionRequest<'a> {
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

fn header_number<T: std::str::FromStr + Default>(headers: &HeaderMap, name: &str) -> T {
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or_default()
}

async fn chat(State(engine): State<Arc<Engine>>, headers: HeaderMap, body: Bytes) -> Response {
    run_completion(engine, &headers, &body, true).await
}

async fn completions(State(engine): State<Arc<Engine>>, headers: HeaderMap, body: Bytes) -> Response {
    run_completion(engine, &headers, &body, false).await
}

async fn run_completion(engine: Arc<Engine>, headers: &HeaderMap, body: &Bytes, is_chat: bool) -> Response {
    engine.wait_until_resumed().await;
    let completion: CompletionRequest = match serde_json::from_slice(body) {
        Ok(completion) => completion,
        Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    };
    let Some(prompt_json) = (if is_chat { completion.messages } else { completion.prompt }) else {
        return (StatusCode::BAD_REQUEST, "no prompt").into_response();
    };
    let bytes = prompt_json.get().as_bytes();
    let resume_after: u64 = header_number(headers, "x-resume-after");
    let seed: u64 = header_number(headers, "x-span-digest");
    let remote_tokens: u64 = header_number(headers, "x-span-tokens");
    // A prompt whose context is held in spans carries only the digest and token count of that context.
    let digest = if remote_tokens > 0 { seed } else { text::prompt_digest(bytes, 0) };
    let local_tokens = if remote_tokens > 0 { 0 } else { (bytes.len() / text::BYTES_PER_TOKEN) as u64 };
    let output = completion.max_completion_tokens.or(completion.max_tokens).unwrap_or(16 + digest % 48);
    let prompt_tokens = local_tokens + remote_tokens;
    let prompt = Prompt {
        request: headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("-").to_owned(),
        priority: header_number(headers, "x-priority"),
        tokens: prompt_tokens + resume_after,
        remote_tokens,
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
    let guard = CancelOnDrop::new(engine, id);
    let event_writer = EventWriter { is_chat, model: completion.model, digest, prompt_tokens, tokens_written: 0 };
    let events = stream::unfold(Some((guard, event_writer, outputs)), |state| async move {
        let (guard, mut event_writer, mut outputs) = state?;
        let first = outputs.recv().await?;
        let mut bytes = Vec::new();
        let mut last = event_writer.token(first, &mut bytes);
        // Tokens that are already available are written in the same frame.
        while !last && let Ok(more) = outputs.try_recv() {
            last = event_writer.token(more, &mut bytes);
        }
        let next = if last { None } else { Some((guard, event_writer, outputs)) };
        Some((Ok::<Bytes, std::convert::Infallible>(Bytes::from(bytes)), next))
    });
    ([(header::CONTENT_TYPE, "text/event-stream")], Body::from_stream(events)).into_response()
}

struct EventWriter {
    is_chat: bool,
    model: String,
    digest: u64,
    prompt_tokens: u64,
    tokens_written: u64,
}

impl EventWriter {
    /// Writes the event of a token, and after the last token the usage and the end marker. Returns whether the
    /// token was the last.
    fn token(&mut self, (index, last): (u64, bool), buffer: &mut Vec<u8>) -> bool {
        self.tokens_written += 1;
        let token = text::response_token(self.digest, index);
        let content = if self.is_chat {
            format!("\"delta\":{{\"content\":\"{token}\"}}")
        } else {
            format!("\"text\":\"{token}\"")
        };
        let finish_reason = if last { "\"length\"" } else { "null" };
        let model = &self.model;
        let line = format!(
            "data: {{\"id\":\"e\",\"model\":\"{model}\",\"choices\":[{{\"index\":0,{content},\"finish_reason\":{finish_reason}}}]}}\n\n"
        );
        buffer.extend_from_slice(line.as_bytes());
        if last {
            let usage = json!({ "prompt_tokens": self.prompt_tokens, "completion_tokens": index + 1, "total_tokens": self.prompt_tokens + index + 1 });
            buffer.extend_from_slice(
                format!("data: {{\"choices\":[],\"usage\":{usage}}}\n\ndata: [DONE]\n\n").as_bytes(),
            );
        }
        last
    }
}

#[derive(Deserialize)]
struct SpanQuery {
    /// Digest of the preceding spans.
    #[serde(default)]
    digest: u64,
}

/// Prefills a span of a prompt and keeps its memory reserved until the span is freed.
async fn prefill_span(
    State(engine): State<Arc<Engine>>,
    Path(name): Path<String>,
    Query(query): Query<SpanQuery>,
    body: Bytes,
) -> Response {
    engine.wait_until_resumed().await;
    let tokens = (body.len() / text::BYTES_PER_TOKEN) as u64;
    let prompt = Prompt {
        request: name.clone(),
        priority: 0,
        tokens,
        remote_tokens: 0,
        resume_after: 0,
        output: 0,
        chain: Chain::default(),
    };
    let Some(id) = engine.lock().model.submit(prompt) else {
        return (StatusCode::UNPROCESSABLE_ENTITY, "the span exceeds the engine's memory").into_response();
    };
    engine.lock().span_ids.insert(name, id);
    engine.work_available.notify_one();
    let guard = CancelOnDrop::new(engine.clone(), id);
    let mut steps_run = engine.steps_run.subscribe();
    while !engine.lock().ready_spans.contains_key(&id) {
        let _ = steps_run.changed().await;
    }
    // A prefilled span stays reserved until it is freed by name, even if the client disconnects.
    guard.disarm();
    Json(json!({ "tokens": tokens, "digest": text::prompt_digest(&body, query.digest) })).into_response()
}

async fn free_span(State(engine): State<Arc<Engine>>, Path(name): Path<String>) -> StatusCode {
    engine.wait_until_resumed().await;
    if engine.lock().odd_items.iter().any(|item| *item == *name) {
        return StatusCode::NOT_FOUND;
    }
    let id = engine.lock().span_ids.remove(&name);
    if let Some(id) = id {
        engine.lock().ready_spans.remove(&id);
        engine.cancel(id);
        engine.work_available.notify_one();
    }
    StatusCode::NO_CONTENT
}

async fn get_kv(State(engine): State<Arc<Engine>>) -> Json<Value> {
    engine.wait_until_resumed().await;
    let state = engine.lock();
    let with_odd_items =
        |ids: Vec<String>| [state.odd_items.clone(), ids.into_iter().map(Value::from).collect()].concat();
    let requests = with_odd_items(state.model.requests().into_iter().map(|(_, request)| request).collect());
    let spans = with_odd_items(state.span_ids.keys().cloned().collect());
    Json(json!({ "held_tokens": state.model.reserved(), "requests": requests, "spans": spans }))
}

async fn cancel_request(State(engine): State<Arc<Engine>>, Path(name): Path<String>) -> StatusCode {
    engine.wait_until_resumed().await;
    let ids: Vec<SequenceId> =
        engine.lock().model.requests().into_iter().filter(|(_, request)| *request == name).map(|(id, _)| id).collect();
    ids.into_iter().for_each(|id| engine.cancel(id));
    StatusCode::NO_CONTENT
}

async fn get_load(State(engine): State<Arc<Engine>>) -> Json<LoadReport> {
    engine.wait_until_resumed().await;
    Json(engine.reported_load.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone())
}

async fn get_health(State(engine): State<Arc<Engine>>) -> &'static str {
    engine.wait_until_resumed().await;
    "ok\n"
}

#[derive(Deserialize)]
struct LoadOrder {
    fence: u64,
    #[serde(flatten)]
    loaded: LoadedModel,
}

/// Applies an order to load a model or change role. Rejects an order with an old fence if the engine checks fences.
async fn apply_order(State(engine): State<Arc<Engine>>, Json(order): Json<LoadOrder>) -> StatusCode {
    engine.wait_until_resumed().await;
    let mut state = engine.lock();
    if engine.checks_fence && !state.fence_guard.admit(Fence(order.fence)) {
        return StatusCode::CONFLICT;
    }
    state.order_count += 1;
    state.loaded = order.loaded;
    StatusCode::NO_CONTENT
}

async fn get_loaded(State(engine): State<Arc<Engine>>) -> Json<Value> {
    engine.wait_until_resumed().await;
    let state = engine.lock();
    Json(json!({ "loaded": state.loaded, "orders": state.order_count, "fence": state.fence_guard.newest() }))
}

/// Fault to inject.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Fault {
    /// Suspends the engine and all its handlers for the given number of milliseconds.
    FreezeMs(u64),
    /// Lists these items among the ids of its spans and requests.
    OddItems(Vec<Value>),
    /// Exits the process immediately with status 1.
    Die,
}

async fn inject_fault(State(engine): State<Arc<Engine>>, Json(fault): Json<Fault>) -> StatusCode {
    match fault {
        Fault::FreezeMs(ms) => {
            let until = Instant::now() + Duration::from_millis(ms);
            *engine.suspended_until.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = until;
        }
        Fault::OddItems(items) => engine.lock().odd_items = items,
        Fault::Die => std::process::exit(1),
    }
    StatusCode::NO_CONTENT
}
