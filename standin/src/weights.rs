//! Weight store stand-in with a fixed load time and a limit of concurrent loads.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::get;
use tokio::sync::Semaphore;

/// Weight store stand-in, shared by its HTTP handlers.
pub struct Weights {
    takes: Duration,
    at_once: Semaphore,
}

impl Weights {
    /// Creates a store that serves up to `at_once` concurrent loads, each for `takes`, and rejects further loads.
    pub fn new(takes: Duration, at_once: usize) -> Arc<Self> {
        Arc::new(Self { takes, at_once: Semaphore::new(at_once) })
    }
}

/// Returns the routes of a weight store stand-in.
pub fn router(weights: Arc<Weights>) -> Router {
    Router::new().route("/weights/{model}/{version}", get(load)).with_state(weights)
}

async fn load(State(weights): State<Arc<Weights>>, Path(_): Path<(String, String)>) -> StatusCode {
    let Ok(_permit) = weights.at_once.try_acquire() else { return StatusCode::TOO_MANY_REQUESTS };
    tokio::time::sleep(weights.takes).await;
    StatusCode::OK
}
