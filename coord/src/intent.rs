//! Intents: what operators ask for, and the configuration that results.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Largest deadline that an intent may allow, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 24 * 3_600 * 1_000;
/// The workspace name that stands for all.
pub const ALL_WORKSPACES: &str = "*";

/// Which model serves which workspaces, from which endpoints, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The model's name, as callers give it.
    pub model: Name,
    /// The service whose endpoints serve it.
    pub service: Name,
    /// The version to load; empty leaves it to the engine.
    #[serde(default = "empty")]
    pub version: Name,
    /// Adapters to load beside the model.
    #[serde(default)]
    pub adapters: Vec<Name>,
    /// Workspaces that may use it; `*` is all.
    pub workspaces: Vec<Name>,
    /// Larger goes first.
    #[serde(default)]
    pub priority: u8,
    /// Failure domains it may run in; empty is all.
    #[serde(default)]
    pub failure_domains: Vec<Name>,
    /// Time allowed when the caller says none, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Longest time a caller may ask for, in milliseconds.
    #[serde(default = "default_ceiling")]
    pub deadline_ceiling_ms: u64,
    /// Longest prompt, in tokens.
    #[serde(default = "default_context")]
    pub context_tokens: u64,
    /// Bytes of text per token, to tell a prompt's length before the engine does.
    #[serde(default = "default_bytes_per_token")]
    pub bytes_per_token: f64,
}

fn empty() -> Name {
    Arc::from("")
}
const fn default_deadline() -> u64 {
    30_000
}
const fn default_ceiling() -> u64 {
    600_000
}
const fn default_context() -> u64 {
    1_100_000
}
const fn default_bytes_per_token() -> f64 {
    4.0
}
const fn default_weight() -> f64 {
    1.0
}

/// A customer: its key and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The workspace's name.
    pub name: Name,
    /// Hex BLAKE3 digest of the bearer key; the key itself is never stored.
    pub key_digest: Name,
    /// Weight in fair sharing.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Requests a second over all entries; none is no limit.
    #[serde(default)]
    pub requests_per_s: Option<f64>,
    /// Prompt tokens a second over all entries; none is no limit.
    #[serde(default)]
    pub tokens_per_s: Option<f64>,
}

/// A plain service that the system routes to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// Whether any call may be sent again without harm.
    #[serde(default)]
    pub repeatable: bool,
    /// Time allowed when the caller says none, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
}

/// What one change touches; two plans race if they touch the same item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// An intent, by model.
    Intent(Name),
    /// A workspace.
    Workspace(Name),
    /// A plain service.
    Service(Name),
    /// An endpoint's drain.
    Drain(Name),
}

/// One change of the configuration.
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
    /// Drains an endpoint.
    Drain(Name),
    /// Takes a drain back.
    Undrain(Name),
}

/// A fault in a change, for the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The change's place in the plan, from zero.
    pub change: usize,
    /// The field.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl Change {
    /// What the change touches.
    pub fn item(&self) -> Item {
        match self {
            Change::PutIntent(intent) => Item::Intent(intent.model.clone()),
            Change::DeleteIntent(model) => Item::Intent(model.clone()),
            Change::PutWorkspace(workspace) => Item::Workspace(workspace.name.clone()),
            Change::DeleteWorkspace(name) => Item::Workspace(name.clone()),
            Change::PutService(service) => Item::Service(service.name.clone()),
            Change::DeleteService(name) => Item::Service(name.clone()),
            Change::Drain(endpoint) | Change::Undrain(endpoint) => Item::Drain(endpoint.clone()),
        }
    }

    /// Every fault in the change, which stands at `index` in its plan.
    pub fn faults(&self, index: usize) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut fault = |bad: bool, field: &str, reason: &str| {
            if bad {
                faults.push(Fault { change: index, field: field.to_owned(), reason: reason.to_owned() });
            }
        };
        match self {
            Change::PutIntent(intent) => {
                fault(intent.model.is_empty(), "model", "must not be empty");
                fault(intent.service.is_empty(), "service", "must not be empty");
                fault(intent.workspaces.is_empty(), "workspaces", "must name at least one workspace, or \"*\"");
                fault(intent.deadline_ms == 0, "deadline_ms", "must be at least 1");
                fault(
                    intent.deadline_ms > intent.deadline_ceiling_ms,
                    "deadline_ms",
                    "must not exceed deadline_ceiling_ms",
                );
                fault(intent.deadline_ceiling_ms > MAX_DEADLINE_MS, "deadline_ceiling_ms", "must not exceed a day");
                fault(intent.context_tokens == 0, "context_tokens", "must be at least 1");
                let bytes = intent.bytes_per_token;
                fault(!(0.1..=64.0).contains(&bytes), "bytes_per_token", "must lie between 0.1 and 64");
            }
            Change::PutWorkspace(workspace) => {
                fault(workspace.name.is_empty(), "name", "must not be empty");
                let hex =
                    workspace.key_digest.len() == 64 && workspace.key_digest.bytes().all(|b| b.is_ascii_hexdigit());
                fault(!hex, "key_digest", "must be 64 hexadecimal digits (BLAKE3 of the key)");
                fault(
                    !(workspace.weight > 0.0 && workspace.weight <= 1_000.0),
                    "weight",
                    "must lie between 0 and 1000",
                );
                fault(
                    workspace.requests_per_s.is_some_and(|rate| rate.is_nan() || rate <= 0.0),
                    "requests_per_s",
                    "must be above 0",
                );
                fault(
                    workspace.tokens_per_s.is_some_and(|rate| rate.is_nan() || rate <= 0.0),
                    "tokens_per_s",
                    "must be above 0",
                );
            }
            Change::PutService(service) => {
                fault(service.name.is_empty(), "name", "must not be empty");
                fault(service.deadline_ms == 0, "deadline_ms", "must be at least 1");
                fault(service.deadline_ms > MAX_DEADLINE_MS, "deadline_ms", "must not exceed a day");
            }
            Change::DeleteIntent(name) | Change::DeleteWorkspace(name) | Change::DeleteService(name) => {
                fault(name.is_empty(), "name", "must not be empty");
            }
            Change::Drain(endpoint) | Change::Undrain(endpoint) => {
                fault(endpoint.is_empty(), "endpoint", "must not be empty");
            }
        }
        faults
    }

    /// The change in words, against `config`.
    pub fn in_words(&self, config: &Config) -> String {
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

/// The configuration in force at a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Log offset just after the last record that changed it; 0 is nothing yet.
    pub revision: u64,
    /// Intents by model.
    pub intents: BTreeMap<Name, Arc<Intent>>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Name, Arc<Workspace>>,
    /// Plain services by name.
    pub services: BTreeMap<Name, Arc<Service>>,
    /// Endpoints that operators drain.
    pub drained: BTreeSet<Name>,
}

impl Config {
    /// Applies one change.
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
