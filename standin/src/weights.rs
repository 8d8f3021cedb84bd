//! The weight store stand-in: a load takes time, and only so many run at once.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::get;
use tokio::sync::Semaphore;

/// A running weight store stand-in.
pub struct Weights {
    takes: Duration,
    at_once: Semaphore,
}

impl Weights {
    /// A store that serves `at_once` loads of `takes` each.
    pub fn new(takes: Duration, at_once: usize) -> Arc<Self> {
        Arc::new(Self { takes, at_once: Semaphore::new(at_once) })
    }
}

/// All routes of a weight store stand-in.
pub fn router(weights: Arc<Weights>) -> Router {
    Router::new().route("/weights/{model}/{version}", get(load)).with_state(weights)
}

async fn load(State(weights): State<Arc<Weights>>, Path(_): Path<(String, String)>) -> StatusCode {
    let Ok(_permit) = weights.at_once.try_acquire() else { return StatusCode::TOO_MANY_REQUESTS };
    tokio::time::sleep(weights.takes).await;
    StatusCode::OK
}
