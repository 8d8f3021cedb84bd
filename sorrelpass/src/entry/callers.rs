//! HTTP API for callers: prompts in the OpenAI format, calls to plain services, and tickets.

use std::time::Duration;

use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Path, Request as HttpRequest, State};
use axum::http::{HeaderMap, Method, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use axum::{Json, Router};
use coord::claim::{Binding, Key};
use coord::name::Name;
use coord::prefix::Chain;
use coord::time::Moment;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;

use super::kernel::{Admission, Admitted, Command, Search, Wanted};
use super::prompt::{Form, Prompt};
use super::reply::{self, Parts};
use super::route::{self, Long, Once, Request};
use super::{App, body, operators, ticket, upstream};
use crate::failure::Failure;
use crate::wire::{Ask, Call};
use crate::{event, metric, util};

/// Number of parts of an answer that are buffered for a caller that reads slowly.
const PART_RING: usize = 64;
/// Header with the key of a call that may run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_KEY: usize = 512;
/// Header with the time allowed for the whole answer, in milliseconds.
const DEADLINE: &str = "x-deadline-ms";
/// Maximum length of a request id that is accepted from a caller.
const MAX_ID: usize = 128;
/// `Retry-After` while the entry is shutting down or no endpoint accepts calls.
const STOPPING_RETRY: Duration = Duration::from_millis(500);

/// Builds the router of an entry's public listener: the APIs for callers and for operators.
pub fn router(app: App) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/completions", post(text))
        .route("/v1/models", get(models))
        .route("/v1/models/{model}", get(model))
        .route("/v1/tickets", post(tickets))
        .route("/services/{service}", any(service_root))
        .route("/services/{service}/{*path}", any(service))
        .route("/v1/intents", post(operators::plan).get(operators::intents))
        .route("/v1/plans/{id}/confirm", post(operators::confirm))
        .route("/v1/status", get(operators::status))
        .route("/v1/endpoints", get(operators::endpoints))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(operators::ready))
        .route("/metrics", get(|| async { metric::text() }))
        .fallback(|| async { Failure::new(StatusCode::NOT_FOUND, "not_found", "there is no such path") })
        .method_not_allowed_fallback(|| async {
            Failure::new(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", "the path does not take this method")
        })
        // Body sizes are limited by the setting `max_body_bytes` instead.
        .layer(DefaultBodyLimit::disable())
        .with_state(app)
}

/// Returns the request id sent by the caller if it is safe to log, otherwise a new one.
fn request_id(headers: &HeaderMap) -> Name {
    let given = headers.get(&reply::REQUEST_ID).and_then(|value| value.to_str().ok());
    let fit = |id: &&str| {
        !id.is_empty() && id.len() <= MAX_ID && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
    };
    given.filter(fit).map_or_else(|| Name::from(format!("{:032x}", rand::random::<u128>())), Name::from)
}

fn key_digest(headers: &HeaderMap) -> Result<String, Failure> {
    let missing =
        || Failure::new(StatusCode::UNAUTHORIZED, "missing_key", "the Authorization header must carry a bearer key");
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok()).ok_or_else(missing)?;
    let key = value.strip_prefix("Bearer ").map(str::trim).filter(|key| !key.is_empty()).ok_or_else(missing)?;
    Ok(blake3::hash(key.as_bytes()).to_hex().to_string())
}

fn deadline(headers: &HeaderMap, admitted: &Admitted, arrived: Moment) -> Result<Moment, Failure> {
    let Some(value) = headers.get(DEADLINE) else { return Ok(arrived + admitted.deadline) };
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    let most = admitted.ceiling;
    match millis.map(Duration::from_millis) {
        Some(span) if !span.is_zero() && span <= most => Ok(arrived + span),
        _ => {
            let message = format!("X-Deadline-Ms must be a whole number from 1 to {}", most.as_millis());
            Err(Failure::bad_request("invalid_deadline", message))
        }
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Name>, Failure> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY => Ok(Some(Name::from(key))),
        _ => Err(Failure::bad_request(
            "invalid_key",
            format!("Idempotency-Key must have 1 to {MAX_KEY} printable bytes"),
        )),
    }
}

async fn admit(app: &App, headers: &HeaderMap, wanted: Wanted) -> Result<Admitted, Failure> {
    let admission = Admission { key_digest: key_digest(headers)?, wanted };
    let admitted = app.shared.ask(|reply| Command::Admit(admission, reply)).await;
    admitted.map_err(|error| Failure::busy("stopping", error.to_string(), STOPPING_RETRY))?
}

/// Spawns the task that runs a request, and returns the receiver of its answer.
fn start(app: &App, request: impl FnOnce(mpsc::Sender<Result<upstream::Part, Failure>>) -> Request) -> Parts {
    let (parts, receiver) = mpsc::channel(PART_RING);
    tokio::spawn(route::run(app.clone(), request(parts)));
    receiver
}

/// Adds the request id to the response, and logs a failure.
fn finish(id: &Name, answer: Result<Response, Failure>) -> Response {
    if let Err(failure) = &answer {
        event!("answer", request = %id, status = failure.status.as_u16(), code = failure.code, ran = failure.ran.as_str());
    }
    reply::with_id(id, answer.map_err(IntoResponse::into_response).unwrap_or_else(|response| response))
}

async fn chat(State(app): State<App>, headers: HeaderMap, body: Body) -> Response {
    let id = request_id(&headers);
    finish(&id, prompt(&app, &id, Form::Chat, &headers, body).await)
}

async fn text(State(app): State<App>, headers: HeaderMap, body: Body) -> Response {
    let id = request_id(&headers);
    finish(&id, prompt(&app, &id, Form::Text, &headers, body).await)
}

async fn prompt(app: &App, id: &Name, form: Form, headers: &HeaderMap, body: Body) -> Result<Response, Failure> {
    let arrived = util::now();
    // Rejects requests without a bearer key before their body takes any memory.
    key_digest(headers)?;
    let held = body::read(&app.shared.settings, &app.shared.body_budget, headers, body).await?;
    let prompt = body::parse(&app.shared.parse, form, &held.bytes).await?;
    let wanted = Wanted::Model {
        model: prompt.model.clone(),
        prompt_bytes: prompt.prompt_bytes,
        output_tokens: prompt.output_tokens,
    };
    let admitted = admit(app, headers, wanted).await?;
    let deadline = deadline(headers, &admitted, arrived)?;
    event!("request", request = %id, workspace = %admitted.workspace.name, model = %prompt.model,
        prompt_tokens = admitted.prompt_tokens, output_tokens = prompt.output_tokens);
    let once = once(app, headers, &admitted)?.unwrap_or(Once::Repeatable);
    let parts = start(app, |parts| Request {
        id: id.clone(),
        call: prompt_call(&prompt),
        body: prompt.body.clone(),
        long: Some(Long { text: prompt.text.clone(), shell: prompt.shell() }),
        chain: prompt.chain.clone(),
        output_tokens: prompt.output_tokens,
        once,
        deadline,
        parts,
        admitted,
        _budget: held.share,
    });
    reply::prompt(id, &prompt, parts).await
}

fn prompt_call(prompt: &Prompt) -> Call {
    Call {
        method: "POST".to_owned(),
        path: prompt.form.path().to_owned(),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        resume_after: 0,
        prompt: true,
    }
}

/// Returns the run policy that the caller's idempotency key or ticket asks for; `None` without the header.
fn once(app: &App, headers: &HeaderMap, admitted: &Admitted) -> Result<Option<Once>, Failure> {
    let Some(key) = idempotency_key(headers)? else { return Ok(None) };
    let workspace = admitted.workspace.name.clone();
    if !ticket::is_ticket(&key) {
        return Ok(Some(Once::Claimed(Key { workspace, key })));
    }
    let Some(secret) = &app.shared.settings.ticket_secret else { return Err(no_tickets()) };
    let opened = ticket::open(secret, &workspace, &key).map_err(|fault| {
        let reason = match fault {
            ticket::Fault::Forged => "is not one of ours",
            ticket::Fault::OtherWorkspace => "belongs to another workspace",
            ticket::Fault::Expired => "has expired; whether it ran is no longer known",
        };
        let ran = if fault == ticket::Fault::Expired { coord::name::Ran::Unknown } else { coord::name::Ran::No };
        Failure::bad_request("invalid_ticket", format!("the ticket {reason}")).ran(ran)
    })?;
    Ok(Some(Once::Ticket(Key { workspace, key }, opened.binding)))
}

fn no_tickets() -> Failure {
    Failure::new(StatusCode::NOT_IMPLEMENTED, "no_tickets", "this entry has no ticket secret in its settings")
}

async fn service_root(state: State<App>, Path(name): Path<String>, request: HttpRequest) -> Response {
    service(state, Path((name, String::new())), request).await
}

async fn service(State(app): State<App>, Path((name, path)): Path<(String, String)>, request: HttpRequest) -> Response {
    let id = request_id(request.headers());
    finish(&id, call(&app, &id, &name, &path, request).await)
}

async fn call(app: &App, id: &Name, service: &str, path: &str, request: HttpRequest) -> Result<Response, Failure> {
    let arrived = util::now();
    let (head, body) = request.into_parts();
    key_digest(&head.headers)?;
    let held = body::read(&app.shared.settings, &app.shared.body_budget, &head.headers, body).await?;
    let admitted = admit(app, &head.headers, Wanted::Service { service: Name::from(service) }).await?;
    let deadline = deadline(&head.headers, &admitted, arrived)?;
    event!("request", request = %id, workspace = %admitted.workspace.name, service, method = %head.method, path);
    let safe = matches!(head.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let default = if safe || admitted.repeatable { Once::Repeatable } else { Once::Own };
    let once = once(app, &head.headers, &admitted)?.unwrap_or(default);
    let query = head.uri.query().map_or(String::new(), |query| format!("?{query}"));
    let mut headers = crate::sidecar::plain::passed_on(&head.headers);
    // The bearer key authenticates callers to this system and must not reach the services behind it.
    headers.retain(|(name, _)| name != "authorization" && name != DEADLINE);
    headers.push((reply::REQUEST_ID.as_str().to_owned(), id.to_string()));
    headers.push(("x-workspace".to_owned(), admitted.workspace.name.to_string()));
    if !held.bytes.is_empty() {
        headers.push((header::CONTENT_LENGTH.as_str().to_owned(), held.bytes.len().to_string()));
    }
    let call = Call {
        method: head.method.to_string(),
        path: format!("/{path}{query}"),
        headers,
        resume_after: 0,
        prompt: false,
    };
    let parts = start(app, |parts| Request {
        id: id.clone(),
        call,
        body: vec![held.bytes.clone()],
        long: None,
        chain: Chain::default(),
        output_tokens: 0,
        once,
        deadline,
        parts,
        admitted,
        _budget: held.share,
    });
    reply::call(parts).await
}

async fn models(State(app): State<App>, headers: HeaderMap) -> Result<Response, Failure> {
    let names = served_models(&app, &headers).await?;
    let data: Vec<_> = names.iter().map(|name| model_json(name)).collect();
    Ok(Json(json!({ "object": "list", "data": data })).into_response())
}

async fn model(State(app): State<App>, Path(wanted): Path<String>, headers: HeaderMap) -> Result<Response, Failure> {
    let names = served_models(&app, &headers).await?;
    if names.iter().any(|name| **name == *wanted) {
        return Ok(Json(model_json(&wanted)).into_response());
    }
    Err(Failure::new(StatusCode::NOT_FOUND, "model_not_found", format!("no model {wanted:?} serves this workspace")))
}

fn model_json(name: &str) -> serde_json::Value {
    json!({ "id": name, "object": "model", "created": 0, "owned_by": "sorrelpass" })
}

async fn served_models(app: &App, headers: &HeaderMap) -> Result<Vec<Name>, Failure> {
    let digest = key_digest(headers)?;
    let names = app.shared.ask(|reply| Command::Models(digest, reply)).await;
    names.map_err(|error| Failure::busy("stopping", error.to_string(), STOPPING_RETRY))?
}

/// JSON body of `POST /v1/tickets`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketWanted {
    service: Name,
    #[serde(default)]
    life_ms: Option<u64>,
}

/// Handles `POST /v1/tickets`: issues an idempotency key that guarantees at-most-once execution even while
/// the log is unavailable.
async fn tickets(State(app): State<App>, headers: HeaderMap, body: axum::body::Bytes) -> Result<Response, Failure> {
    let secret = app.shared.settings.ticket_secret.clone().ok_or_else(no_tickets)?;
    let wanted: TicketWanted = serde_json::from_slice(&body)
        .map_err(|error| Failure::bad_request("invalid_json", format!("the body cannot be read: {error}")))?;
    let admitted = admit(&app, &headers, Wanted::Service { service: wanted.service }).await?;
    let life = wanted.life_ms.map_or(ticket::MOST_LIFE, Duration::from_millis).min(ticket::MOST_LIFE);
    let binding = best_endpoint(&app, &admitted).await?;
    let endpoint = binding.endpoint.clone();
    let key = ticket::mint(&secret, &admitted.workspace.name, binding, life);
    event!("ticket", workspace = %admitted.workspace.name, peer = %endpoint);
    let body = json!({ "key": key, "endpoint": endpoint, "life_ms": util::millis_up(life) });
    Ok((StatusCode::CREATED, Json(body)).into_response())
}

async fn best_endpoint(app: &App, admitted: &Admitted) -> Result<Binding, Failure> {
    let none = || Failure::busy("overloaded", "no endpoint takes calls now", STOPPING_RETRY);
    let search = Search {
        service: admitted.service.clone(),
        domains: admitted.domains.clone(),
        hash: None,
        exclude: Vec::new(),
    };
    let found = app.shared.ask(|reply| Command::Find(search, reply)).await.map_err(|_| none())?;
    let ask = Ask {
        workspace: admitted.workspace.name.clone(),
        weight: admitted.workspace.weight,
        prompt_tokens: 0,
        output_tokens: 0,
        priority: 0,
        left_micros: coord::time::micros(admitted.deadline),
        bytes_per_token: 1.0,
        chain: Chain::default(),
    };
    let asked = upstream::quotes(app, found.targets, &ask).await;
    let best = asked.into_iter().find(|asked| asked.offer.quote.open).ok_or_else(none)?;
    Ok(Binding { endpoint: best.target.endpoint, incarnation: best.incarnation })
}
