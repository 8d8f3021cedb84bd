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
    load_duration: Duration,
    permits: Semaphore,
}

impl Weights {
    /// Creates a store that serves up to `permits` concurrent loads, each of which takes `load_duration`, and rejects
    /// further loads with status 429.
    pub fn new(load_duration: Duration, permits: usize) -> Arc<Self> {
        Arc::new(Self { load_duration, permits: Semaphore::new(permits) })
    }
}

/// Returns the routes of a weight store stand-in.
pub fn router(weights: Arc<Weights>) -> Router {
    Router::new().route("/weights/{model}/{version}", get(load_weights)).with_state(weights)
}

async fn load_weights(State(weights): State<Arc<Weights>>, Path(_): Path<(String, String)>) -> StatusCode {
    let Ok(_permit) = weights.permits.try_acquire() else { return StatusCode::TOO_MANY_REQUESTS };
    tokio::time::sleep(weights.load_duration).await;
    StatusCode::OK
}
