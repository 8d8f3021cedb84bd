//! HTTP API for callers: prompts in the OpenAI format, calls to plain services, and tickets.

use std::time::Duration;

use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Path, Request as HttpRequest, State};
use axum::http::{HeaderMap, Method, StatusCode, Uri, header};
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

use super::event_loop::{AdmissionRequest, AdmittedRequest, Command, RequestKind, TargetQuery};
use super::prompt::{ApiFormat, Prompt};
use super::reply::{self, AnswerParts};
use super::route::{self, GangPrompt, Request, RunPolicy};
use super::{HandlerState, body, operator_api, ticket, upstream};
use crate::failure::Failure;
use crate::wire::{Call, QuoteRequest};
use crate::{event, metric, util};

/// Number of parts of an answer that are buffered for a caller that reads slowly.
const PART_CHANNEL_CAPACITY: usize = 64;
/// Header with the key of a call that may run at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 512;
/// Header with the time allowed for the complete answer, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Maximum length of a request id that is accepted from a caller.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Position of the path at a service among the parts between the slashes of `/services/{service}/{*path}`.
const SERVICE_PATH_INDEX: usize = 3;
/// `Retry-After` while the entry is shutting down or no endpoint accepts calls.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Builds the router of an entry's public listener: the APIs for callers and for operators.
pub fn router(app: HandlerState) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat_completions))
        .route("/v1/completions", post(completions))
        .route("/v1/models", get(list_models))
        .route("/v1/models/{model}", get(get_model))
        .route("/v1/tickets", post(issue_ticket))
        .route("/services/{service}", any(handle_service_root))
        .route("/services/{service}/{*path}", any(handle_service_path))
        .route("/v1/intents", post(operator_api::submit_plan).get(operator_api::get_intents))
        .route("/v1/plans/{id}/confirm", post(operator_api::confirm_plan))
        .route("/v1/status", get(operator_api::get_status))
        .route("/v1/endpoints", get(operator_api::get_endpoints))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(operator_api::get_readiness))
        .route("/metrics", get(|| async { metric::render() }))
        .fallback(|| async { Failure::new(StatusCode::NOT_FOUND, "not_found", "there is no such path") })
        .method_not_allowed_fallback(|| async {
            Failure::new(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", "the path does not take this method")
        })
        // Body sizes are limited by the setting `max_body_bytes` instead.
        .layer(DefaultBodyLimit::disable())
        .with_state(app)
}

/// Returns the request id sent by the caller if it is safe to log, otherwise a new one.
fn choose_request_id(headers: &HeaderMap) -> Name {
    let given = headers.get(&reply::REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    let is_loggable = |id: &&str| {
        !id.is_empty()
            && id.len() <= MAX_REQUEST_ID_BYTES
            && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
    };
    given.filter(is_loggable).map_or_else(|| Name::from(format!("{:032x}", rand::random::<u128>())), Name::from)
}

fn bearer_key_digest(headers: &HeaderMap) -> Result<String, Failure> {
    let missing =
        || Failure::new(StatusCode::UNAUTHORIZED, "missing_key", "the Authorization header must carry a bearer key");
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok()).ok_or_else(missing)?;
    let key = value.strip_prefix("Bearer ").map(str::trim).filter(|key| !key.is_empty()).ok_or_else(missing)?;
    Ok(blake3::hash(key.as_bytes()).to_hex().to_string())
}

fn parse_deadline(headers: &HeaderMap, admitted: &AdmittedRequest, arrived_at: Moment) -> Result<Moment, Failure> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(arrived_at + admitted.deadline) };
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    let max = admitted.max_deadline;
    match millis.map(Duration::from_millis) {
        Some(duration) if !duration.is_zero() && duration <= max => Ok(arrived_at + duration),
        _ => {
            let message = format!("X-Deadline-Ms must be a whole number from 1 to {}", max.as_millis());
            Err(Failure::bad_request("invalid_deadline", message))
        }
    }
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<Name>, Failure> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES => Ok(Some(Name::from(key))),
        _ => Err(Failure::bad_request(
            "invalid_key",
            format!("Idempotency-Key must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} printable bytes"),
        )),
    }
}

async fn admit(app: &HandlerState, headers: &HeaderMap, kind: RequestKind) -> Result<AdmittedRequest, Failure> {
    let admission = AdmissionRequest { key_digest: bearer_key_digest(headers)?, kind };
    let admitted = app.shared.call_event_loop(|reply| Command::Admit(admission, reply)).await;
    admitted.map_err(|error| Failure::unavailable("stopping", error.to_string(), RETRY_AFTER))?
}

/// Spawns the task that runs a request, and returns the receiver of its answer.
fn spawn_request(
    app: &HandlerState,
    request: impl FnOnce(mpsc::Sender<Result<upstream::AnswerPart, Failure>>) -> Request,
) -> AnswerParts {
    let (parts, receiver) = mpsc::channel(PART_CHANNEL_CAPACITY);
    tokio::spawn(route::run(app.clone(), request(parts)));
    receiver
}

/// Adds the request id to the response, and logs a failure.
fn finish_response(id: &Name, answer: Result<Response, Failure>) -> Response {
    if let Err(failure) = &answer {
        event!("answer", request = %id, status = failure.status.as_u16(), code = failure.code, ran = failure.ran.as_str());
    }
    reply::with_request_id(id, answer.map_err(IntoResponse::into_response).unwrap_or_else(|response| response))
}

async fn chat_completions(State(app): State<HandlerState>, headers: HeaderMap, body: Body) -> Response {
    let id = choose_request_id(&headers);
    finish_response(&id, run_prompt(&app, &id, ApiFormat::Chat, &headers, body).await)
}

async fn completions(State(app): State<HandlerState>, headers: HeaderMap, body: Body) -> Response {
    let id = choose_request_id(&headers);
    finish_response(&id, run_prompt(&app, &id, ApiFormat::Text, &headers, body).await)
}

async fn run_prompt(
    app: &HandlerState,
    id: &Name,
    format: ApiFormat,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, Failure> {
    let arrived_at = util::now();
    // Rejects requests without a bearer key before their body takes any memory.
    bearer_key_digest(headers)?;
    let buffered = body::read(&app.shared, body).await?;
    let prompt = body::parse(&app.shared.parse, format, &buffered.bytes).await?;
    let kind = RequestKind::Model {
        model: prompt.model.clone(),
        prompt_bytes: prompt.prompt_bytes,
        output_tokens: prompt.output_tokens,
    };
    let admitted = admit(app, headers, kind).await?;
    let deadline = parse_deadline(headers, &admitted, arrived_at)?;
    event!("request", request = %id, workspace = %admitted.workspace.name, model = %prompt.model,
        prompt_tokens = admitted.prompt_tokens, output_tokens = prompt.output_tokens);
    let run_policy = requested_run_policy(app, headers, &admitted)?.unwrap_or(RunPolicy::Repeatable);
    let parts = spawn_request(app, |parts| Request {
        id: id.clone(),
        call: make_prompt_call(&prompt),
        body: prompt.body.clone(),
        gang_prompt: Some(GangPrompt { text: prompt.text.clone(), body_without_text: prompt.body_without_text() }),
        chain: prompt.chain.clone(),
        output_tokens: prompt.output_tokens,
        run_policy,
        deadline,
        parts,
        admitted,
        _body_memory: buffered.holder,
    });
    reply::prompt_response(id, &prompt, parts).await
}

fn make_prompt_call(prompt: &Prompt) -> Call {
    Call {
        method: "POST".to_owned(),
        path: prompt.format.path().to_owned(),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        resume_after: 0,
        prompt: true,
    }
}

/// Returns the run policy that the caller's idempotency key or ticket asks for; `None` without the header.
fn requested_run_policy(
    app: &HandlerState,
    headers: &HeaderMap,
    admitted: &AdmittedRequest,
) -> Result<Option<RunPolicy>, Failure> {
    let Some(key) = parse_idempotency_key(headers)? else { return Ok(None) };
    let workspace = admitted.workspace.name.clone();
    if !ticket::is_ticket(&key) {
        return Ok(Some(RunPolicy::OnceClaimedKey(Key { workspace, key })));
    }
    let Some(secret) = &app.shared.settings.ticket_secret else { return Err(tickets_unavailable()) };
    let verified = ticket::verify(secret, &workspace, &key).map_err(|error| {
        let reason = match error {
            ticket::TicketError::Forged => "is not one of ours",
            ticket::TicketError::OtherWorkspace => "belongs to another workspace",
            ticket::TicketError::Expired => "has expired; whether it ran is no longer known",
        };
        let ran = if error == ticket::TicketError::Expired {
            coord::name::ExecutionStatus::Unknown
        } else {
            coord::name::ExecutionStatus::No
        };
        Failure::bad_request("invalid_ticket", format!("the ticket {reason}")).with_ran(ran)
    })?;
    Ok(Some(RunPolicy::OnceTicket(Key { workspace, key }, verified.binding)))
}

fn tickets_unavailable() -> Failure {
    Failure::new(StatusCode::NOT_IMPLEMENTED, "no_tickets", "this entry has no ticket secret in its settings")
}

async fn handle_service_root(state: State<HandlerState>, Path(name): Path<String>, request: HttpRequest) -> Response {
    handle_service_path(state, Path((name, String::new())), request).await
}

async fn handle_service_path(
    State(app): State<HandlerState>,
    Path((name, _)): Path<(String, String)>,
    request: HttpRequest,
) -> Response {
    let id = choose_request_id(request.headers());
    finish_response(&id, call_service(&app, &id, &name, request).await)
}

/// Returns the part of a caller's path that the service gets, which follows the name of the service. Its escapes stay, since
/// what they stand for may end a path or not stand in one.
fn service_path(uri: &Uri) -> &str {
    uri.path().splitn(SERVICE_PATH_INDEX + 1, '/').nth(SERVICE_PATH_INDEX).unwrap_or_default()
}

async fn call_service(app: &HandlerState, id: &Name, service: &str, request: HttpRequest) -> Result<Response, Failure> {
    let arrived_at = util::now();
    let (head, body) = request.into_parts();
    let path = service_path(&head.uri);
    bearer_key_digest(&head.headers)?;
    let buffered = body::read(&app.shared, body).await?;
    let admitted = admit(app, &head.headers, RequestKind::Service { service: Name::from(service) }).await?;
    let deadline = parse_deadline(&head.headers, &admitted, arrived_at)?;
    event!("request", request = %id, workspace = %admitted.workspace.name, service, method = %head.method, path);
    let is_safe = matches!(head.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let default_policy =
        if is_safe || admitted.is_repeatable { RunPolicy::Repeatable } else { RunPolicy::OnceInternalKey };
    let run_policy = requested_run_policy(app, &head.headers, &admitted)?.unwrap_or(default_policy);
    let query = head.uri.query().map_or(String::new(), |query| format!("?{query}"));
    let mut headers = crate::sidecar::plain::forwarded_headers(&head.headers);
    // The bearer key authenticates callers to this system and must not reach the services behind it.
    headers.retain(|(name, _)| name != "authorization" && name != DEADLINE_HEADER);
    headers.push((reply::REQUEST_ID_HEADER.as_str().to_owned(), id.to_string()));
    headers.push(("x-workspace".to_owned(), admitted.workspace.name.to_string()));
    if !buffered.bytes.is_empty() {
        headers.push((header::CONTENT_LENGTH.as_str().to_owned(), buffered.bytes.len().to_string()));
    }
    let call = Call {
        method: head.method.to_string(),
        path: format!("/{path}{query}"),
        headers,
        resume_after: 0,
        prompt: false,
    };
    let parts = spawn_request(app, |parts| Request {
        id: id.clone(),
        call,
        body: vec![buffered.bytes.clone()],
        gang_prompt: None,
        chain: Chain::default(),
        output_tokens: 0,
        run_policy,
        deadline,
        parts,
        admitted,
        _body_memory: buffered.holder,
    });
    reply::service_response(parts).await
}

async fn list_models(State(app): State<HandlerState>, headers: HeaderMap) -> Result<Response, Failure> {
    let names = fetch_models(&app, &headers).await?;
    let data: Vec<_> = names.iter().map(|name| model_json(name)).collect();
    Ok(Json(json!({ "object": "list", "data": data })).into_response())
}

async fn get_model(
    State(app): State<HandlerState>,
    Path(requested): Path<String>,
    headers: HeaderMap,
) -> Result<Response, Failure> {
    let names = fetch_models(&app, &headers).await?;
    if names.iter().any(|name| **name == *requested) {
        return Ok(Json(model_json(&requested)).into_response());
    }
    Err(Failure::new(StatusCode::NOT_FOUND, "model_not_found", format!("no model {requested:?} serves this workspace")))
}

fn model_json(name: &str) -> serde_json::Value {
    json!({ "id": name, "object": "model", "created": 0, "owned_by": "sorrelpass" })
}

async fn fetch_models(app: &HandlerState, headers: &HeaderMap) -> Result<Vec<Name>, Failure> {
    let digest = bearer_key_digest(headers)?;
    let names = app.shared.call_event_loop(|reply| Command::ListModels(digest, reply)).await;
    names.map_err(|error| Failure::unavailable("stopping", error.to_string(), RETRY_AFTER))?
}

/// JSON body of `POST /v1/tickets`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketRequest {
    service: Name,
    #[serde(default)]
    life_ms: Option<u64>,
}

/// Handles `POST /v1/tickets`: issues an idempotency key that guarantees at-most-once execution even while
/// the log is unavailable.
async fn issue_ticket(State(app): State<HandlerState>, headers: HeaderMap, body: Body) -> Result<Response, Failure> {
    let secret = app.shared.settings.ticket_secret.clone().ok_or_else(tickets_unavailable)?;
    // Rejects requests without a bearer key before their body takes any memory.
    bearer_key_digest(&headers)?;
    let body = body::read(&app.shared, body).await?;
    let request: TicketRequest = serde_json::from_slice(&body.bytes)
        .map_err(|error| Failure::bad_request("invalid_json", format!("the body cannot be read: {error}")))?;
    let admitted = admit(&app, &headers, RequestKind::Service { service: request.service }).await?;
    let lifetime = request.life_ms.map_or(ticket::MAX_LIFETIME, Duration::from_millis).min(ticket::MAX_LIFETIME);
    let binding = select_endpoint(&app, &admitted).await?;
    let endpoint = binding.endpoint.clone();
    let key = ticket::issue(&secret, &admitted.workspace.name, binding, lifetime);
    event!("ticket", workspace = %admitted.workspace.name, peer = %endpoint);
    let body = json!({ "key": key, "endpoint": endpoint, "life_ms": util::millis_ceil(lifetime) });
    Ok((StatusCode::CREATED, Json(body)).into_response())
}

async fn select_endpoint(app: &HandlerState, admitted: &AdmittedRequest) -> Result<Binding, Failure> {
    let no_endpoint = || Failure::unavailable("overloaded", "no endpoint takes calls now", RETRY_AFTER);
    let query = TargetQuery {
        service: admitted.service.clone(),
        domains: admitted.domains.clone(),
        prefix_hash: None,
        excluded: Vec::new(),
    };
    let candidates =
        app.shared.call_event_loop(|reply| Command::FindTargets(query, reply)).await.map_err(|_| no_endpoint())?;
    let quote_request = QuoteRequest {
        workspace: admitted.workspace.name.clone(),
        weight: admitted.workspace.weight,
        prompt_tokens: 0,
        output_tokens: 0,
        priority: 0,
        time_left_micros: coord::time::micros(admitted.deadline),
        bytes_per_token: 1.0,
        chain: Chain::default(),
    };
    let quoted = upstream::request_quotes(app, candidates.targets, &quote_request).await;
    let best = quoted.into_iter().find(|quoted| quoted.offer.quote.is_accepting).ok_or_else(no_endpoint)?;
    Ok(Binding { endpoint: best.target.endpoint, incarnation: best.incarnation })
}
