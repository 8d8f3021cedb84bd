//! Stand-in for the platform's VM list, in which changes show after a delay.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::{get, post, put};
use axum::{Json, Router};
use coord::membership::Vm;
use serde::Deserialize;
use tokio::time::Instant;

/// VM list stand-in, shared by its HTTP handlers.
pub struct Vms {
    lag: Duration,
    inner: Mutex<Inner>,
}

struct Inner {
    /// Changes that do not show yet: the time from which each shows, and the VM, `None` for a removal.
    pending: Vec<(Instant, String, Option<Vm>)>,
    shown: BTreeMap<String, Vm>,
    outage_until: Instant,
}

impl Vms {
    /// Creates an empty list in which changes show after `lag`.
    pub fn new(lag: Duration) -> Arc<Self> {
        let inner = Inner { pending: Vec::new(), shown: BTreeMap::new(), outage_until: Instant::now() };
        Arc::new(Self { lag, inner: Mutex::new(inner) })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn change(&self, name: String, vm: Option<Vm>) {
        let shows = Instant::now() + self.lag;
        self.lock().pending.push((shows, name, vm));
    }
}

impl Inner {
    fn settle(&mut self) {
        let now = Instant::now();
        for (_, name, vm) in self.pending.extract_if(.., |(shows, ..)| *shows <= now) {
            match vm {
                Some(vm) => drop(self.shown.insert(name, vm)),
                None => drop(self.shown.remove(&name)),
            }
        }
    }
}

/// Returns the routes of a VM list stand-in.
pub fn router(vms: Arc<Vms>) -> Router {
    Router::new()
        .route("/vms", get(list))
        .route("/vms/{name}", put(register).delete(remove))
        .route("/fault", post(fault))
        .with_state(vms)
}

async fn list(State(vms): State<Arc<Vms>>) -> Result<Json<Vec<Vm>>, StatusCode> {
    let mut inner = vms.lock();
    if inner.outage_until > Instant::now() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    inner.settle();
    Ok(Json(inner.shown.values().cloned().collect()))
}

async fn register(State(vms): State<Arc<Vms>>, Path(name): Path<String>, Json(vm): Json<Vm>) -> StatusCode {
    vms.change(name, Some(vm));
    StatusCode::NO_CONTENT
}

async fn remove(State(vms): State<Arc<Vms>>, Path(name): Path<String>) -> StatusCode {
    vms.change(name, None);
    StatusCode::NO_CONTENT
}

#[derive(Deserialize)]
struct Fault {
    outage_ms: u64,
}

async fn fault(State(vms): State<Arc<Vms>>, Json(fault): Json<Fault>) -> StatusCode {
    vms.lock().outage_until = Instant::now() + Duration::from_millis(fault.outage_ms);
    StatusCode::NO_CONTENT
}
