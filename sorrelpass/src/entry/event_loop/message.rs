//! Commands to the event loop of an entry, and its replies.

use std::sync::Arc;
use std::time::Duration;

use coord::intent::{Config, Workspace};
use coord::membership::Vm;
use coord::name::{Incarnation, Name};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::failure::Failure;

/// What a request is addressed to.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// A prompt for a model.
    Model {
        /// Name of the model.
        model: Name,
        /// Length of the prompt text, in bytes of JSON.
        prompt_bytes: u64,
        /// Maximum number of output tokens.
        output_tokens: u64,
    },
    /// A call to a plain service, which has no model engine.
    Service {
        /// Name of the service.
        service: Name,
    },
}

/// A caller's request for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// BLAKE3 digest of the bearer key, in hexadecimal.
    pub key_digest: String,
    /// Model or service that the request is addressed to.
    pub kind: RequestKind,
}

/// An endpoint that a request may be sent to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Address of the endpoint's sidecar.
    pub address: Name,
    /// Additional latency to reach the endpoint, in microseconds: 0 within this entry's failure domain.
    pub distance: u64,
}

/// An admitted request, with the settings of its intent or service.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// Workspace that the bearer key belongs to.
    pub workspace: Arc<Workspace>,
    /// Service whose endpoints can run the request.
    pub service: Name,
    /// Failure domains that the request may run in; empty allows all.
    pub domains: Vec<Name>,
    /// Priority set by the intent; 0 for a plain call.
    pub priority: u8,
    /// Estimated number of prompt tokens; 0 for a plain call.
    pub prompt_tokens: u64,
    /// Bytes of prompt text per token, used for estimates.
    pub bytes_per_token: f64,
    /// Time allowed for the complete answer if the caller sets no deadline.
    pub deadline: Duration,
    /// Maximum deadline that the caller may set.
    pub max_deadline: Duration,
    /// Whether the request may be run more than once without harm.
    pub is_repeatable: bool,
}

/// Query for endpoints that can run a request.
#[derive(Clone, Debug)]
pub struct TargetQuery {
    /// Service whose endpoints are wanted.
    pub service: Name,
    /// Failure domains to search; empty searches all.
    pub domains: Vec<Name>,
    /// Hash of the prompt's prefix, if there is one; it favours endpoints that are likely to have the
    /// prefix cached.
    pub prefix_hash: Option<u64>,
    /// Endpoints to leave out because they have been tried.
    pub excluded: Vec<Name>,
}

/// Endpoints that can run a request.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    /// Endpoints in order of preference.
    pub targets: Vec<Target>,
    /// Whether to request quotes from the endpoints before choosing one.
    pub needs_quotes: bool,
}

/// Commands to the event loop.
pub enum Command {
    /// Checks the bearer key, the model or service, and the workspace's rate limits of a request.
    Admit(AdmissionRequest, oneshot::Sender<Result<AdmittedRequest, Failure>>),
    /// Selects endpoints for a request.
    FindTargets(TargetQuery, oneshot::Sender<Candidates>),
    /// Lists a service's endpoints by failure domain, nearest domain first.
    TargetsByDomain(TargetQuery, oneshot::Sender<Vec<Vec<Target>>>),
    /// Looks up an endpoint; replies `None` if it is not in the VM list.
    Locate(Name, oneshot::Sender<Option<Target>>),
    /// Records that a sidecar answered a quote request.
    SidecarReachable {
        /// Name of the sidecar's endpoint.
        endpoint: Name,
        /// Incarnation of the sidecar process.
        incarnation: Incarnation,
        /// Whether the sidecar refuses new work.
        is_draining: bool,
    },
    /// Records that an endpoint's sidecar could not be reached.
    SidecarUnreachable(Name),
    /// Records the start of an attempt at an endpoint, with its number of tokens.
    AttemptStarted(Name, u64),
    /// Records the end of an attempt at an endpoint, with the same number of tokens.
    AttemptEnded(Name, u64),
    /// Takes one retry from the retry budget; replies `false` if the budget is spent.
    TakeRetry(oneshot::Sender<bool>),
    /// Replaces the configuration.
    UpdateConfig(Arc<Config>),
    /// Replaces the VM list.
    UpdateVms(Vec<Vm>),
    /// Lists the models that the workspace of a bearer key may use; takes the key's digest.
    ListModels(String, oneshot::Sender<Result<Vec<Name>, Failure>>),
    /// Returns the state shown by `/v1/status`.
    Status(oneshot::Sender<Status>),
    /// Returns the endpoints shown by `/v1/endpoints`.
    ListEndpoints(oneshot::Sender<Vec<Endpoint>>),
    /// Sets this entry's shares of the workspaces' rate limits, as assigned by the owners of the limits.
    SetShares(Vec<LimitShare>),
    /// Returns the demand of each limited workspace since the last call, and resets the counters.
    TakeDemands(oneshot::Sender<Vec<WorkspaceDemand>>),
}

/// One entry's share of a workspace's rate limits.
#[derive(Clone, Debug, PartialEq, Serialize, serde::Deserialize)]
pub struct LimitShare {
    /// Name of the workspace.
    pub workspace: Name,
    /// Requests per second allowed at this entry; `None` if the workspace has no such limit.
    pub requests_per_s: Option<f64>,
    /// Prompt tokens per second allowed at this entry; `None` if the workspace has no such limit.
    pub tokens_per_s: Option<f64>,
}

/// Rates at which a workspace sent requests to one entry, including refused ones.
#[derive(Clone, Debug, PartialEq, Serialize, serde::Deserialize)]
pub struct WorkspaceDemand {
    /// Name of the workspace.
    pub workspace: Name,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Prompt tokens per second.
    pub tokens_per_s: f64,
}

/// JSON body of `/v1/status`.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the entry.
    pub entry: Name,
    /// Failure domain of the entry.
    pub failure_domain: Name,
    /// Incarnation of the entry process.
    pub incarnation: String,
    /// Revision of the configuration in use; 0 before the first one has been read.
    pub revision: u64,
    /// Number of endpoints in the VM list.
    pub endpoints: usize,
    /// Number of those endpoints that refuse new work.
    pub leaving: usize,
    /// Number of invariant violations in this process.
    pub breaches: u64,
}

/// JSON object of one endpoint in `/v1/endpoints`.
#[derive(Clone, Debug, Serialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Service that the endpoint belongs to.
    pub service: Name,
    /// Failure domain of the endpoint.
    pub failure_domain: Name,
    /// Address of the endpoint's sidecar.
    pub address: Name,
    /// Incarnation of the sidecar; `None` until it has answered once.
    pub incarnation: Option<String>,
    /// Whether the endpoint refuses new work.
    pub leaving: bool,
    /// Number of this entry's unfinished attempts at the endpoint.
    pub outstanding: u32,
}
