//! Plain service stand-in, which responds to calls and counts the executions of each key.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Plain service stand-in, shared by its HTTP handlers.
pub struct Service {
    name: String,
    call_duration: Duration,
    state: Mutex<ServiceState>,
}

struct ServiceState {
    run_counts: HashMap<String, u64>,
    suspended_until: Instant,
    lose_answers: u32,
}

impl Service {
    /// Creates a service whose calls last for `call_duration`.
    pub fn new(name: &str, call_duration: Duration) -> Arc<Self> {
        let state = ServiceState { run_counts: HashMap::new(), suspended_until: Instant::now(), lose_answers: 0 };
        Arc::new(Self { name: name.to_owned(), call_duration, state: Mutex::new(state) })
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn wait_until_resumed(&self) {
        loop {
            let until = self.lock().suspended_until;
            if until <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(until).await;
        }
    }
}

/// Returns the routes of a service stand-in.
pub fn router(service: Arc<Service>) -> Router {
    Router::new()
        .route("/health", get(get_health))
        .route("/runs", get(get_runs))
        .route("/fault", post(inject_fault))
        .fallback(handle_call)
        .with_state(service)
}

async fn get_health(State(service): State<Arc<Service>>) -> &'static str {
    service.wait_until_resumed().await;
    "ok\n"
}

async fn get_runs(State(service): State<Arc<Service>>) -> Json<HashMap<String, u64>> {
    Json(service.lock().run_counts.clone())
}

/// Returns the key that a call is counted under: the caller's idempotency key, or the request id without one.
fn execution_key(headers: &HeaderMap) -> String {
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    header("idempotency-key").or_else(|| header("x-request-id")).unwrap_or_default()
}

async fn handle_call(State(service): State<Arc<Service>>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let body = axum::body::to_bytes(body, usize::MAX).await.unwrap_or_else(|_| Bytes::new());
    service.wait_until_resumed().await;
    let key = execution_key(&head.headers);
    let run_number = {
        let mut state = service.lock();
        let runs = state.run_counts.entry(key.clone()).or_default();
        *runs += 1;
        *runs
    };
    tokio::time::sleep(service.call_duration).await;
    service.wait_until_resumed().await;
    let is_response_lost = {
        let mut state = service.lock();
        let is_response_lost = state.lose_answers > 0;
        state.lose_answers = state.lose_answers.saturating_sub(1);
        is_response_lost
    };
    if is_response_lost {
        // The execution is counted, but the caller's connection breaks.
        let failing_body = futures_util::stream::iter([Err::<Bytes, _>(std::io::Error::other(
            "response dropped by an injected fault",
        ))]);
        return Response::new(axum::body::Body::from_stream(failing_body));
    }
    let status: u16 = if head.uri.path() == "/teapot" { 418 } else { 200 };
    let answer = json!({
        "service": service.name,
        "method": head.method.as_str(),
        "path": head.uri.path(),
        "query": head.uri.query(),
        "workspace": head.headers.get("x-workspace").and_then(|value| value.to_str().ok()),
        "key": key,
        "run": run_number,
        "body": String::from_utf8_lossy(&body),
    });
    (StatusCode::from_u16(status).unwrap_or_default(), [("x-service", service.name.clone())], Json::<Value>(answer))
        .into_response()
}

/// Fault to inject.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Fault {
    /// Suspends all calls for the given number of milliseconds.
    FreezeMs(u64),
    /// Executes the given number of subsequent calls, but breaks their connections instead of responding.
    LoseAnswers(u32),
    /// Exits the process immediately with status 1.
    Die,
}

async fn inject_fault(State(service): State<Arc<Service>>, Json(fault): Json<Fault>) -> StatusCode {
    match fault {
        Fault::FreezeMs(ms) => service.lock().suspended_until = Instant::now() + Duration::from_millis(ms),
        Fault::LoseAnswers(count) => service.lock().lose_answers = count,
        Fault::Die => std::process::exit(1),
    }
    StatusCode::NO_CONTENT
}
