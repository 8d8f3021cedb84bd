//! Stand-in for the platform's VM list, in which changes show after a delay. It takes any JSON as an item, as a list with
//! several writers does.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::{get, post, put};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::Value;
use tokio::time::Instant;

/// VM list stand-in, shared by its HTTP handlers.
pub struct Vms {
    delay: Duration,
    state: Mutex<ListState>,
}

struct ListState {
    /// Changes that do not show yet: the time from which each shows, and the VM, `None` for a removal.
    pending: Vec<(Instant, String, Option<Value>)>,
    visible: BTreeMap<String, Value>,
    outage_until: Instant,
}

impl Vms {
    /// Creates an empty list in which changes show after `delay`.
    pub fn new(delay: Duration) -> Arc<Self> {
        let state = ListState { pending: Vec::new(), visible: BTreeMap::new(), outage_until: Instant::now() };
        Arc::new(Self { delay, state: Mutex::new(state) })
    }

    fn lock(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn queue_change(&self, name: String, vm: Option<Value>) {
        let visible_at = Instant::now() + self.delay;
        self.lock().pending.push((visible_at, name, vm));
    }
}

impl ListState {
    fn apply_due_changes(&mut self) {
        let now = Instant::now();
        for (_, name, vm) in self.pending.extract_if(.., |(visible_at, ..)| *visible_at <= now) {
            match vm {
                Some(vm) => drop(self.visible.insert(name, vm)),
                None => drop(self.visible.remove(&name)),
            }
        }
    }
}

/// Returns the routes of a VM list stand-in.
pub fn router(vms: Arc<Vms>) -> Router {
    Router::new()
        .route("/vms", get(list_vms))
        .route("/vms/{name}", put(register).delete(remove))
        .route("/fault", post(inject_fault))
        .with_state(vms)
}

async fn list_vms(State(vms): State<Arc<Vms>>) -> Result<Json<Vec<Value>>, StatusCode> {
    let mut state = vms.lock();
    if state.outage_until > Instant::now() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    state.apply_due_changes();
    Ok(Json(state.visible.values().cloned().collect()))
}

async fn register(State(vms): State<Arc<Vms>>, Path(name): Path<String>, Json(vm): Json<Value>) -> StatusCode {
    vms.queue_change(name, Some(vm));
    StatusCode::NO_CONTENT
}

async fn remove(State(vms): State<Arc<Vms>>, Path(name): Path<String>) -> StatusCode {
    vms.queue_change(name, None);
    StatusCode::NO_CONTENT
}

#[derive(Deserialize)]
struct Fault {
    outage_ms: u64,
}

async fn inject_fault(State(vms): State<Arc<Vms>>, Json(fault): Json<Fault>) -> StatusCode {
    vms.lock().outage_until = Instant::now() + Duration::from_millis(fault.outage_ms);
    StatusCode::NO_CONTENT
}
