//! HTTP API for operators: plans, confirmations, and views of the state in use.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use coord::intent::{Change, Config, ValidationError};
use coord::membership::Role;
use coord::name::{ExecutionStatus, Name};
use coord::replay::{Record, Verdict};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::oneshot;

use super::event_loop::Command;
use super::{HandlerState, Shared, config_log};
use crate::failure::Failure;
use crate::{event, util};

/// Maximum size of a plan.
const MAX_PLAN_BYTES: usize = 4 * 1_024 * 1_024;
/// `Retry-After` while the log is unavailable.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(1);

/// JSON body of `POST /v1/intents`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanRequest {
    changes: Vec<Change>,
    /// Revision that the plan is based on; the newest revision if absent.
    #[serde(default)]
    base: Option<u64>,
}

/// JSON answer to `POST /v1/intents`.
#[derive(Debug, Serialize)]
struct PlanResponse {
    plan: Name,
    base: u64,
    changes: Vec<String>,
    placement: Vec<String>,
    warnings: Vec<String>,
}

/// Checks the operator key. Without a configured key, every request is allowed.
fn authorize(shared: &Shared, headers: &HeaderMap) -> Result<(), Failure> {
    let invalid_key =
        || Failure::new(StatusCode::UNAUTHORIZED, "invalid_operator_key", "the operator key is missing or wrong");
    let Some(secret) = &shared.settings.operator_secret else { return Ok(()) };
    let given_key = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok()).ok_or_else(invalid_key)?;
    let given_key = given_key.strip_prefix("Bearer ").ok_or_else(invalid_key)?;
    // Digests are compared, so that the response time does not leak the secret.
    if blake3::hash(given_key.as_bytes()) == blake3::hash(secret.bytes()) { Ok(()) } else { Err(invalid_key()) }
}

/// Handles `POST /v1/intents`: appends a plan and returns its id and its effects.
pub async fn submit_plan(State(app): State<HandlerState>, headers: HeaderMap, body: Body) -> Result<Response, Failure> {
    authorize(&app.shared, &headers)?;
    let body = super::body::read_up_to(&app.shared, body, MAX_PLAN_BYTES).await?;
    let request: PlanRequest = serde_json::from_slice(&body.bytes)
        .map_err(|error| Failure::bad_request("invalid_plan", format!("the plan cannot be read: {error}")))?;
    let config = app.shared.config.borrow().clone();
    validate(&request, &config)?;
    let base = request.base.unwrap_or(config.revision);
    let id = Name::from(format!("plan-{:032x}", rand::random::<u128>()));
    let record = Record::Plan { id: id.clone(), base, changes: request.changes.clone() };
    let (reply, answer) = oneshot::channel();
    app.shared.log.send(config_log::Command::AppendPlan(record, reply)).await.map_err(|_| entry_stopping())?;
    answer.await.map_err(|_| entry_stopping())?.map_err(|error| log_unavailable(&error))?;
    event!("plan", plan = %id, base, changes = request.changes.len());
    let plan = PlanResponse {
        plan: id,
        base,
        changes: request.changes.iter().map(|change| change.describe(&config)).collect(),
        placement: describe_placement(&app.shared, &request.changes),
        warnings: collect_warnings(&app.shared, &request.changes, &config),
    };
    Ok((StatusCode::CREATED, Json(plan)).into_response())
}

fn validate(request: &PlanRequest, config: &Config) -> Result<(), Failure> {
    if request.changes.is_empty() {
        return Err(Failure::bad_request("invalid_plan", "the plan has no changes"));
    }
    if request.base.is_some_and(|base| base > config.revision) {
        let message = format!("the base is newer than revision {} in force here", config.revision);
        return Err(Failure::bad_request("invalid_plan", message));
    }
    let faults: Vec<ValidationError> =
        request.changes.iter().enumerate().flat_map(|(index, change)| change.validate(index)).collect();
    if faults.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> =
        faults.iter().map(|fault| format!("change {}: {} {}", fault.change, fault.field, fault.reason)).collect();
    Err(Failure::bad_request("invalid_plan", lines.join("; ")))
}

fn count_endpoints(shared: &Shared, service: &str) -> usize {
    let vms = shared.vms.borrow();
    vms.iter().filter(|vm| vm.role == Role::Endpoint && *vm.service == *service && !vm.leaving).count()
}

fn describe_placement(shared: &Shared, changes: &[Change]) -> Vec<String> {
    let describe = |change: &Change| match change {
        Change::PutIntent(intent) => {
            let count = count_endpoints(shared, &intent.service);
            Some(format!("{} is served by {count} endpoints of {}", intent.model, intent.service))
        }
        Change::DeleteIntent(model) => Some(format!("{model} is served nowhere")),
        Change::Drain(endpoint) => Some(format!("{endpoint} takes no new work")),
        Change::Undrain(endpoint) => Some(format!("{endpoint} takes new work again")),
        _ => None,
    };
    changes.iter().filter_map(describe).collect()
}

fn collect_warnings(shared: &Shared, changes: &[Change], config: &Config) -> Vec<String> {
    let mut warnings = Vec::new();
    for change in changes {
        match change {
            Change::PutIntent(intent) if count_endpoints(shared, &intent.service) == 0 => {
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
pub async fn confirm_plan(
    State(app): State<HandlerState>,
    Path(id): Path<String>,
    headers: HeaderMap,
) -> Result<Response, Failure> {
    authorize(&app.shared, &headers)?;
    let plan = Name::from(id);
    let (reply, answer) = oneshot::channel();
    app.shared.log.send(config_log::Command::ConfirmPlan(plan.clone(), reply)).await.map_err(|_| entry_stopping())?;
    let verdict = answer.await.map_err(|_| entry_stopping())?.map_err(|error| log_unavailable(&error))?;
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

fn entry_stopping() -> Failure {
    Failure::unavailable("stopping", "the entry is stopping", LOG_RETRY_AFTER)
}

/// Returns the failure of an append whose outcome is unknown. The call can be repeated without harm.
fn log_unavailable(error: &eyre::Report) -> Failure {
    Failure::unavailable("log_unavailable", format!("{error:#}"), LOG_RETRY_AFTER).with_ran(ExecutionStatus::Unknown)
}

/// Handles `GET /v1/intents`: returns the configuration in use.
pub async fn get_intents(State(app): State<HandlerState>, headers: HeaderMap) -> Result<Response, Failure> {
    authorize(&app.shared, &headers)?;
    let config: Arc<Config> = app.shared.config.borrow().clone();
    Ok(Json(&*config).into_response())
}

/// Handles `GET /v1/status`: returns the state of this entry.
pub async fn get_status(State(app): State<HandlerState>, headers: HeaderMap) -> Result<Response, Failure> {
    authorize(&app.shared, &headers)?;
    let status = app.shared.call_event_loop(Command::Status).await.map_err(|_| entry_stopping())?;
    Ok(Json(status).into_response())
}

/// Handles `GET /v1/endpoints`: returns the endpoints known to this entry.
pub async fn get_endpoints(State(app): State<HandlerState>, headers: HeaderMap) -> Result<Response, Failure> {
    authorize(&app.shared, &headers)?;
    let endpoints = app.shared.call_event_loop(Command::ListEndpoints).await.map_err(|_| entry_stopping())?;
    Ok(Json(endpoints).into_response())
}

/// Handles `GET /readyz`: succeeds once a configuration and a VM list have been read, until shutdown
/// begins.
pub async fn get_readiness(State(app): State<HandlerState>) -> Response {
    let revision = app.shared.config.borrow().revision;
    let members = app.shared.vms.borrow().len();
    if *app.shared.stopping.borrow() || revision == 0 || members == 0 {
        let body =
            json!({ "ready": false, "revision": revision, "members": members, "at": util::incarnation().to_string() });
        return (StatusCode::SERVICE_UNAVAILABLE, Json(body)).into_response();
    }
    Json(json!({ "ready": true, "revision": revision, "members": members })).into_response()
}
