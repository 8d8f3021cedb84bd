//! What goes into the kernel thread and comes out of it.

use std::sync::Arc;
use std::time::Duration;

use coord::intent::{Config, Workspace};
use coord::membership::Vm;
use coord::name::{Incarnation, Name};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::failure::Failure;

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum Wanted {
    /// A prompt to a model.
    Model {
        /// The model's name.
        model: Name,
        /// Bytes of prompt.
        prompt_bytes: u64,
        /// Most output tokens.
        output_tokens: u64,
    },
    /// A call to a plain service.
    Service {
        /// The service's name.
        service: Name,
    },
}

/// A caller's request, for admission.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Hex BLAKE3 digest of the bearer key.
    pub key_digest: String,
    /// What is asked for.
    pub wanted: Wanted,
}

/// An endpoint to try.
#[derive(Clone, Debug)]
pub struct Target {
    /// The endpoint.
    pub endpoint: Name,
    /// Its sidecar's address.
    pub address: Name,
    /// Extra microseconds to reach it.
    pub distance: u64,
}

/// What admission decided.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The workspace.
    pub workspace: Arc<Workspace>,
    /// The service whose endpoints serve it.
    pub service: Name,
    /// Failure domains allowed; empty is all.
    pub domains: Vec<Name>,
    /// The intent's priority.
    pub priority: u8,
    /// Prompt tokens, estimated.
    pub prompt_tokens: u64,
    /// Bytes of text per token.
    pub bytes_per_token: f64,
    /// Time allowed when the caller says none.
    pub deadline: Duration,
    /// Longest time the caller may ask for.
    pub ceiling: Duration,
    /// Whether any call may be sent again without harm.
    pub repeatable: bool,
}

/// A question for endpoints to try.
#[derive(Clone, Debug)]
pub struct Search {
    /// The service.
    pub service: Name,
    /// Failure domains allowed; empty is all.
    pub domains: Vec<Name>,
    /// The prompt's prefix.
    pub hash: Option<u64>,
    /// Endpoints already tried.
    pub exclude: Vec<Name>,
}

/// Endpoints to try.
#[derive(Clone, Debug, Default)]
pub struct Found {
    /// Best first.
    pub targets: Vec<Target>,
    /// Whether to ask them for quotes before choosing.
    pub asks: bool,
}

/// Commands to the kernel.
pub enum Command {
    /// May this run?
    Admit(Admission, oneshot::Sender<Result<Admitted, Failure>>),
    /// Where?
    Find(Search, oneshot::Sender<Found>),
    /// Endpoints of a service by failure domain, the nearest first.
    ByDomain(Search, oneshot::Sender<Vec<Vec<Target>>>),
    /// Where is this endpoint?
    Locate(Name, oneshot::Sender<Option<Target>>),
    /// A sidecar answered.
    Heard {
        /// The endpoint.
        endpoint: Name,
        /// The sidecar's incarnation.
        incarnation: Incarnation,
        /// Whether it refuses new work.
        leaving: bool,
    },
    /// A sidecar could not be reached.
    Failed(Name),
    /// An attempt was sent there.
    Begin(Name, u64),
    /// It is over.
    End(Name, u64),
    /// May a retry be sent?
    Retry(oneshot::Sender<bool>),
    /// The configuration changed.
    Config(Arc<Config>),
    /// The platform's list.
    Vms(Vec<Vm>),
    /// What models may this key use?
    Models(String, oneshot::Sender<Result<Vec<Name>, Failure>>),
    /// What is going on?
    Status(oneshot::Sender<Status>),
    /// All endpoints.
    Endpoints(oneshot::Sender<Vec<Endpoint>>),
    /// Local shares of the workspaces' limits, as worked out with the other entries.
    Shares(Vec<Share>),
    /// What each limited workspace asked for since the last report.
    Demands(oneshot::Sender<Vec<Demand>>),
}

/// An entry's share of a workspace's limits.
#[derive(Clone, Debug, PartialEq, Serialize, serde::Deserialize)]
pub struct Share {
    /// The workspace.
    pub workspace: Name,
    /// Requests a second here.
    pub requests_per_s: Option<f64>,
    /// Prompt tokens a second here.
    pub tokens_per_s: Option<f64>,
}

/// What a workspace asked for at one entry, as rates.
#[derive(Clone, Debug, PartialEq, Serialize, serde::Deserialize)]
pub struct Demand {
    /// The workspace.
    pub workspace: Name,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Prompt tokens a second.
    pub tokens_per_s: f64,
}

/// What `/v1/status` shows.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The entry's name.
    pub entry: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// This process's run.
    pub incarnation: String,
    /// The configuration's revision in force here.
    pub revision: u64,
    /// Endpoints known.
    pub endpoints: usize,
    /// Of them, those that are leaving.
    pub leaving: usize,
    /// Invariants breached in this process.
    pub breaches: u64,
}

/// What `/v1/endpoints` shows of one.
#[derive(Clone, Debug, Serialize)]
pub struct Endpoint {
    /// Its name.
    pub endpoint: Name,
    /// Its service.
    pub service: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Its sidecar's address.
    pub address: Name,
    /// The sidecar's incarnation, once heard of.
    pub incarnation: Option<String>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// This entry's unfinished attempts there.
    pub outstanding: u32,
}
