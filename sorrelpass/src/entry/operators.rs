//! HTTP API for operators: plans, confirmations, and views of the state in use.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::{Body, Bytes};
use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use coord::intent::{Change, Config, Fault};
use coord::membership::Role;
use coord::name::{Name, Ran};
use coord::replay::{Record, Verdict};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::oneshot;

use super::kernel::Command;
use super::{App, Shared, log};
use crate::failure::Failure;
use crate::{event, util};

/// Maximum size of a plan.
const MAX_PLAN: usize = 4 * 1_024 * 1_024;
/// `Retry-After` while the log is unavailable.
const LOG_RETRY: Duration = Duration::from_secs(1);

/// JSON body of `POST /v1/intents`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Wanted {
    changes: Vec<Change>,
    /// Revision that the plan is based on; the newest revision if absent.
    #[serde(default)]
    base: Option<u64>,
}

/// JSON answer to `POST /v1/intents`.
#[derive(Debug, Serialize)]
struct Plan {
    plan: Name,
    base: u64,
    changes: Vec<String>,
    placement: Vec<String>,
    warnings: Vec<String>,
}

/// Checks the operator key. Without a configured key, every request is allowed.
fn authorize(shared: &Shared, headers: &HeaderMap) -> Result<(), Failure> {
    let wrong =
        || Failure::new(StatusCode::UNAUTHORIZED, "invalid_operator_key", "the operator key is missing or wrong");
    let Some(secret) = &shared.settings.operator_secret else { return Ok(()) };
    let given = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok()).ok_or_else(wrong)?;
    let given = given.strip_prefix("Bearer ").ok_or_else(wrong)?;
    // Digests are compared, so that the response time does not leak the secret.
    if blake3::hash(given.as_bytes()) == blake3::hash(secret.bytes()) { Ok(()) } else { Err(wrong()) }
}

/// Handles `POST /v1/intents`: appends a plan and returns its id and its effects.
pub async fn plan(State(app): State<App>, headers: HeaderMap, body: Body) -> Result<Response, Failure> {
    authorize(&app.shared, &headers)?;
    let too_large = |_| Failure::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", "the plan exceeds 4 MiB");
    let bytes: Bytes = axum::body::to_bytes(body, MAX_PLAN).await.map_err(too_large)?;
    let wanted: Wanted = serde_json::from_slice(&bytes)
        .map_err(|error| Failure::bad_request("invalid_plan", format!("the plan cannot be read: {error}")))?;
    let config = app.shared.config.borrow().clone();
    check(&wanted, &config)?;
    let base = wanted.base.unwrap_or(config.revision);
    let id = Name::from(format!("plan-{:032x}", rand::random::<u128>()));
    let record = Record::Plan { id: id.clone(), base, changes: wanted.changes.clone() };
    let (reply, answer) = oneshot::channel();
    app.shared.log.send(log::Command::Plan(record, reply)).await.map_err(|_| stopping())?;
    answer.await.map_err(|_| stopping())?.map_err(|error| log_out(&error))?;
    event!("plan", plan = %id, base, changes = wanted.changes.len());
    let plan = Plan {
        plan: id,
        base,
        changes: wanted.changes.iter().map(|change| change.in_words(&config)).collect(),
        placement: placement(&app.shared, &wanted.changes),
        warnings: warnings(&app.shared, &wanted.changes, &config),
    };
    Ok((StatusCode::CREATED, Json(plan)).into_response())
}

fn check(wanted: &Wanted, config: &Config) -> Result<(), Failure> {
    if wanted.changes.is_empty() {
        return Err(Failure::bad_request("invalid_plan", "the plan has no changes"));
    }
    if wanted.base.is_some_and(|base| base > config.revision) {
        let message = format!("the base is newer than revision {} in force here", config.revision);
        return Err(Failure::bad_request("invalid_plan", message));
    }
    let faults: Vec<Fault> =
        wanted.changes.iter().enumerate().flat_map(|(index, change)| change.faults(index)).collect();
    if faults.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> =
        faults.iter().map(|fault| format!("change {}: {} {}", fault.change, fault.field, fault.reason)).collect();
    Err(Failure::bad_request("invalid_plan", lines.join("; ")))
}

fn endpoints_of(shared: &Shared, service: &str) -> usize {
    let vms = shared.vms.borrow();
    vms.iter().filter(|vm| vm.role == Role::Endpoint && *vm.service == *service && !vm.leaving).count()
}

fn placement(shared: &Shared, changes: &[Change]) -> Vec<String> {
    let effect = |change: &Change| match change {
        Change::PutIntent(intent) => {
            let count = endpoints_of(shared, &intent.service);
            Some(format!("{} is served by {count} endpoints of {}", intent.model, intent.service))
        }
        Change::DeleteIntent(model) => Some(format!("{model} is served nowhere")),
        Change::Drain(endpoint) => Some(format!("{endpoint} takes no new work")),
        Change::Undrain(endpoint) => Some(format!("{endpoint} takes new work again")),
        _ => None,
    };
    changes.iter().filter_map(effect).collect()
}

fn warnings(shared: &Shared, changes: &[Change], config: &Config) -> Vec<String> {
    let mut warnings = Vec::new();
    for change in changes {
        match change {
            Change::PutIntent(intent) if endpoints_of(shared, &intent.service) == 0 => {
                warnings.push(format!("no endpoint of {} is listed now", intent.service));
            }
            Change::DeleteIntent(model) if !config.intents.contains_key(model) => {
                warnings.push(format!("there is no intent {model}"));
            }
            Change::Drain(endpoint) if !shared.vms.borrow().iter().any(|vm| vm.name == *endpoint) => {
                warnings.push(format!("no endpoint {endpoint} is listed now"));
            }
            _ => {}
        }
    }
    warnings
}

/// Handles `POST /v1/plans/{id}/confirm`: confirms a plan and returns the verdict.
pub async fn confirm(State(app): State<App>, Path(id): Path<String>, headers: HeaderMap) -> Result<Response, Failure> {
    authorize(&app.shared, &headers)?;
    let plan = Name::from(id);
    let (reply, answer) = oneshot::channel();
    app.shared.log.send(log::Command::Confirm(plan.clone(), reply)).await.map_err(|_| stopping())?;
    let verdict = answer.await.map_err(|_| stopping())?.map_err(|error| log_out(&error))?;
    event!("confirm", plan = %plan, verdict = ?verdict);
    Ok(match verdict {
        Verdict::Accepted { revision } => Json(json!({ "plan": plan, "revision": revision })).into_response(),
        Verdict::Conflict { item, winner } => {
            let message = format!("{item:?} was changed by {} at revision {}", winner.plan, winner.revision);
            let failure = Failure::new(StatusCode::CONFLICT, "conflict", message);
            let mut body = failure.body();
            body["winner"] = json!(winner);
            body["item"] = json!(item);
            (StatusCode::CONFLICT, Json(body)).into_response()
        }
        Verdict::UnknownPlan => {
            Failure::new(StatusCode::NOT_FOUND, "plan_not_found", format!("there is no plan {plan}")).into_response()
        }
    })
}

fn stopping() -> Failure {
    Failure::busy("stopping", "the entry is stopping", LOG_RETRY)
}

/// The outcome of the append is unknown; the call can be repeated without harm.
fn log_out(error: &eyre::Report) -> Failure {
    Failure::busy("log_unavailable", format!("{error:#}"), LOG_RETRY).ran(Ran::Unknown)
}

/// Handles `GET /v1/intents`: returns the configuration in use.
pub async fn intents(State(app): State<App>, headers: HeaderMap) -> Result<Response, Failure> {
    authorize(&app.shared, &headers)?;
    let config: Arc<Config> = app.shared.config.borrow().clone();
    Ok(Json(&*config).into_response())
}

/// Handles `GET /v1/status`: returns the state of this entry.
pub async fn status(State(app): State<App>, headers: HeaderMap) -> Result<Response, Failure> {
    authorize(&app.shared, &headers)?;
    let status = app.shared.ask(Command::Status).await.map_err(|_| stopping())?;
    Ok(Json(status).into_response())
}

/// Handles `GET /v1/endpoints`: returns the endpoints known to this entry.
pub async fn endpoints(State(app): State<App>, headers: HeaderMap) -> Result<Response, Failure> {
    authorize(&app.shared, &headers)?;
    let endpoints = app.shared.ask(Command::Endpoints).await.map_err(|_| stopping())?;
    Ok(Json(endpoints).into_response())
}

/// Handles `GET /readyz`: succeeds once a configuration and a VM list have been read, until shutdown
/// begins.
pub async fn ready(State(app): State<App>) -> Response {
    let revision = app.shared.config.borrow().revision;
    let members = app.shared.vms.borrow().len();
    if *app.shared.stopping.borrow() || revision == 0 || members == 0 {
        let body =
            json!({ "ready": false, "revision": revision, "members": members, "at": util::incarnation().to_string() });
        return (StatusCode::SERVICE_UNAVAILABLE, Json(body)).into_response();
    }
    Json(json!({ "ready": true, "revision": revision, "members": members })).into_response()
}
