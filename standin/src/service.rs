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
    takes: Duration,
    state: Mutex<Counts>,
}

struct Counts {
    runs: HashMap<String, u64>,
    frozen_until: Instant,
    lose_answers: u32,
}

impl Service {
    /// Creates a service whose calls last for `takes`.
    pub fn new(name: &str, takes: Duration) -> Arc<Self> {
        let state = Counts { runs: HashMap::new(), frozen_until: Instant::now(), lose_answers: 0 };
        Arc::new(Self { name: name.to_owned(), takes, state: Mutex::new(state) })
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn thaw(&self) {
        loop {
            let until = self.lock().frozen_until;
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
        .route("/health", get(health))
        .route("/runs", get(runs))
        .route("/fault", post(fault))
        .fallback(call)
        .with_state(service)
}

async fn health(State(service): State<Arc<Service>>) -> &'static str {
    service.thaw().await;
    "ok\n"
}

async fn runs(State(service): State<Arc<Service>>) -> Json<HashMap<String, u64>> {
    Json(service.lock().runs.clone())
}

/// Returns the key that a call is counted under: the caller's idempotency key, or the request id without one.
fn key(headers: &HeaderMap) -> String {
    let of = |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    of("idempotency-key").or_else(|| of("x-request-id")).unwrap_or_default()
}

async fn call(State(service): State<Arc<Service>>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let body = axum::body::to_bytes(body, usize::MAX).await.unwrap_or_else(|_| Bytes::new());
    service.thaw().await;
    let key = key(&head.headers);
    let run = {
        let mut state = service.lock();
        let runs = state.runs.entry(key.clone()).or_default();
        *runs += 1;
        *runs
    };
    tokio::time::sleep(service.takes).await;
    service.thaw().await;
    let lost = {
        let mut state = service.lock();
        let lost = state.lose_answers > 0;
        state.lose_answers = state.lose_answers.saturating_sub(1);
        lost
    };
    if lost {
        // The execution is counted, but the caller's connection breaks.
        let broken = futures_util::stream::iter([Err::<Bytes, _>(std::io::Error::other(
            "response dropped by an injected fault",
        ))]);
        return Response::new(axum::body::Body::from_stream(broken));
    }
    let status: u16 = if head.uri.path() == "/teapot" { 418 } else { 200 };
    let answer = json!({
        "service": service.name,
        "method": head.method.as_str(),
        "path": head.uri.path(),
        "query": head.uri.query(),
        "workspace": head.headers.get("x-workspace").and_then(|value| value.to_str().ok()),
        "key": key,
        "run": run,
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

async fn fault(State(service): State<Arc<Service>>, Json(fault): Json<Fault>) -> StatusCode {
    match fault {
        Fault::FreezeMs(ms) => service.lock().frozen_until = Instant::now() + Duration::from_millis(ms),
        Fault::LoseAnswers(count) => service.lock().lose_answers = count,
        Fault::Die => std::process::exit(1),
    }
    StatusCode::NO_CONTENT
}
