//! Intents, which operators submit, and the configuration that results from them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Largest deadline that an intent may allow, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 24 * 3_600 * 1_000;
/// Workspace name that stands for every workspace.
pub const ALL_WORKSPACES: &str = "*";

/// Assignment of a model to the workspaces that may use it and to the endpoints that serve it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// Name of the model in callers' requests.
    pub model: Name,
    /// Service whose endpoints serve the model.
    pub service: Name,
    /// Model version to load; if empty, the engine chooses.
    #[serde(default = "default_version")]
    pub version: Name,
    /// Adapters to load together with the model.
    #[serde(default)]
    pub adapters: Vec<Name>,
    /// Workspaces that may use the model; `*` stands for all.
    pub workspaces: Vec<Name>,
    /// Scheduling priority; larger values go first.
    #[serde(default)]
    pub priority: u8,
    /// Failure domains in which the model may run; empty allows all.
    #[serde(default)]
    pub failure_domains: Vec<Name>,
    /// Deadline in milliseconds for requests that state none.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum deadline that a caller may request, in milliseconds.
    #[serde(default = "default_deadline_ceiling_ms")]
    pub deadline_ceiling_ms: u64,
    /// Maximum prompt length, in tokens.
    #[serde(default = "default_context_tokens")]
    pub context_tokens: u64,
    /// Bytes of text per token, to estimate a prompt's length before the engine tokenises it.
    #[serde(default = "default_bytes_per_token")]
    pub bytes_per_token: f64,
}

fn default_version() -> Name {
    Arc::from("")
}
const fn default_deadline_ms() -> u64 {
    30_000
}
const fn default_deadline_ceiling_ms() -> u64 {
    600_000
}
const fn default_context_tokens() -> u64 {
    1_100_000
}
const fn default_bytes_per_token() -> f64 {
    4.0
}
const fn default_weight() -> f64 {
    1.0
}

/// Customer with its API key and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Unique name of the workspace.
    pub name: Name,
    /// Hex BLAKE3 digest of the bearer key; the key itself is never stored.
    pub key_digest: Name,
    /// Weight in fair sharing between workspaces.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Limit in requests per second over all entries; `None` means unlimited.
    #[serde(default)]
    pub requests_per_s: Option<f64>,
    /// Limit in prompt tokens per second over all entries; `None` means unlimited.
    #[serde(default)]
    pub tokens_per_s: Option<f64>,
}

/// Plain service, without an inference engine, that the system routes requests to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name of the service.
    pub name: Name,
    /// Whether every request to the service is idempotent and may be sent again.
    #[serde(default)]
    pub repeatable: bool,
    /// Deadline in milliseconds for requests that state none.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

/// Object that a change modifies; two plans conflict if they modify the same object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// Intent, by model name.
    Intent(Name),
    /// Workspace, by name.
    Workspace(Name),
    /// Plain service, by name.
    Service(Name),
    /// Drain state of an endpoint, by endpoint name.
    Drain(Name),
}

/// Single change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Creates or replaces an intent.
    PutIntent(Arc<Intent>),
    /// Deletes the intent of a model.
    DeleteIntent(Name),
    /// Creates or replaces a workspace.
    PutWorkspace(Arc<Workspace>),
    /// Deletes a workspace.
    DeleteWorkspace(Name),
    /// Creates or replaces a plain service.
    PutService(Arc<Service>),
    /// Deletes a plain service.
    DeleteService(Name),
    /// Drains an endpoint: it finishes its requests and receives no new ones.
    Drain(Name),
    /// Cancels the drain of an endpoint.
    Undrain(Name),
}

/// Validation error in a change, as reported to the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidationError {
    /// Index of the change in the plan, from zero.
    pub change: usize,
    /// Name of the invalid field.
    pub field: String,
    /// Rule that the field violates.
    pub reason: String,
}

impl Change {
    /// Returns the object that the change modifies.
    pub fn item(&self) -> Resource {
        match self {
            Change::PutIntent(intent) => Resource::Intent(intent.model.clone()),
            Change::DeleteIntent(model) => Resource::Intent(model.clone()),
            Change::PutWorkspace(workspace) => Resource::Workspace(workspace.name.clone()),
            Change::DeleteWorkspace(name) => Resource::Workspace(name.clone()),
            Change::PutService(service) => Resource::Service(service.name.clone()),
            Change::DeleteService(name) => Resource::Service(name.clone()),
            Change::Drain(endpoint) | Change::Undrain(endpoint) => Resource::Drain(endpoint.clone()),
        }
    }

    /// Returns all validation errors of the change, which has position `index` in its plan.
    pub fn validate(&self, index: usize) -> Vec<ValidationError> {
        let mut faults = Vec::new();
        let mut check = |is_invalid: bool, field: &str, reason: &str| {
            if is_invalid {
                faults.push(ValidationError { change: index, field: field.to_owned(), reason: reason.to_owned() });
            }
        };
        match self {
            Change::PutIntent(intent) => {
                check(intent.model.is_empty(), "model", "must not be empty");
                check(intent.service.is_empty(), "service", "must not be empty");
                check(intent.workspaces.is_empty(), "workspaces", "must name at least one workspace, or \"*\"");
                check(intent.deadline_ms == 0, "deadline_ms", "must be at least 1");
                check(
                    intent.deadline_ms > intent.deadline_ceiling_ms,
                    "deadline_ms",
                    "must not exceed deadline_ceiling_ms",
                );
                check(intent.deadline_ceiling_ms > MAX_DEADLINE_MS, "deadline_ceiling_ms", "must not exceed a day");
                check(intent.context_tokens == 0, "context_tokens", "must be at least 1");
                let bytes_per_token = intent.bytes_per_token;
                check(!(0.1..=64.0).contains(&bytes_per_token), "bytes_per_token", "must lie between 0.1 and 64");
            }
            Change::PutWorkspace(workspace) => {
                check(workspace.name.is_empty(), "name", "must not be empty");
                let is_hex_digest =
                    workspace.key_digest.len() == 64 && workspace.key_digest.bytes().all(|b| b.is_ascii_hexdigit());
                check(!is_hex_digest, "key_digest", "must be 64 hexadecimal digits (BLAKE3 of the key)");
                check(
                    !(workspace.weight > 0.0 && workspace.weight <= 1_000.0),
                    "weight",
                    "must lie between 0 and 1000",
                );
                check(
                    workspace.requests_per_s.is_some_and(|rate| rate.is_nan() || rate <= 0.0),
                    "requests_per_s",
                    "must be above 0",
                );
                check(
                    workspace.tokens_per_s.is_some_and(|rate| rate.is_nan() || rate <= 0.0),
                    "tokens_per_s",
                    "must be above 0",
                );
            }
            Change::PutService(service) => {
                check(service.name.is_empty(), "name", "must not be empty");
                check(service.deadline_ms == 0, "deadline_ms", "must be at least 1");
                check(service.deadline_ms > MAX_DEADLINE_MS, "deadline_ms", "must not exceed a day");
            }
            Change::DeleteIntent(name) | Change::DeleteWorkspace(name) | Change::DeleteService(name) => {
                check(name.is_empty(), "name", "must not be empty");
            }
            Change::Drain(endpoint) | Change::Undrain(endpoint) => {
                check(endpoint.is_empty(), "endpoint", "must not be empty");
            }
        }
        faults
    }

    /// Describes the change relative to `config` in one line for operators.
    pub fn describe(&self, config: &Config) -> String {
        let verb = |exists: bool| if exists { "replace" } else { "create" };
        match self {
            Change::PutIntent(intent) => {
                let verb = verb(config.intents.contains_key(&intent.model));
                format!("{verb} intent {}: served by {}, priority {}", intent.model, intent.service, intent.priority)
            }
            Change::DeleteIntent(model) => format!("delete intent {model}"),
            Change::PutWorkspace(workspace) => {
                let verb = verb(config.workspaces.contains_key(&workspace.name));
                format!("{verb} workspace {}, weight {}", workspace.name, workspace.weight)
            }
            Change::DeleteWorkspace(name) => format!("delete workspace {name}"),
            Change::PutService(service) => {
                let verb = verb(config.services.contains_key(&service.name));
                let kind = if service.repeatable { "repeatable" } else { "not repeatable" };
                format!("{verb} service {}, {kind}", service.name)
            }
            Change::DeleteService(name) => format!("delete service {name}"),
            Change::Drain(endpoint) => format!("drain endpoint {endpoint}"),
            Change::Undrain(endpoint) => format!("take back the drain of endpoint {endpoint}"),
        }
    }
}

/// Configuration in force at a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Offset just after the last log record that changed the configuration; 0 before any change.
    pub revision: u64,
    /// Intents by model name.
    pub intents: BTreeMap<Name, Arc<Intent>>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Name, Arc<Workspace>>,
    /// Plain services by name.
    pub services: BTreeMap<Name, Arc<Service>>,
    /// Endpoints that operators have drained.
    pub drained: BTreeSet<Name>,
}

impl Config {
    /// Applies one change without validating it.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::PutIntent(intent) => drop(self.intents.insert(intent.model.clone(), intent.clone())),
            Change::DeleteIntent(model) => drop(self.intents.remove(model)),
            Change::PutWorkspace(workspace) => drop(self.workspaces.insert(workspace.name.clone(), workspace.clone())),
            Change::DeleteWorkspace(name) => drop(self.workspaces.remove(name)),
            Change::PutService(service) => drop(self.services.insert(service.name.clone(), service.clone())),
            Change::DeleteService(name) => drop(self.services.remove(name)),
            Change::Drain(endpoint) => drop(self.drained.insert(endpoint.clone())),
            Change::Undrain(endpoint) => drop(self.drained.remove(endpoint)),
        }
    }
}
