//! The kernel thread of an entry: owns members, configuration, limits and the retry budget.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use axum::http::StatusCode;
use coord::budget::Budget;
use coord::intent::{ALL_WORKSPACES, Config, Intent, Workspace};
use coord::membership::{Members, Vm};
use coord::name::{Incarnation, Name};
use coord::pick::Picker;
use coord::quota::Bucket;
use coord::time::{Moment, micros};
use serde::Serialize;
use tokio::sync::oneshot;

use super::failure::Failure;
use crate::config::Entry;
use crate::plugin::{self, PickerPlugin};
use crate::{event, metric, ring, util};

/// Retries saved up at most.
const RETRY_CAP: f64 = 100.0;
/// When to come back if the configuration has not been read yet.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

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

struct Meter {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    asked_requests: f64,
    asked_tokens: f64,
}

struct Kernel {
    settings: Entry,
    config: Arc<Config>,
    by_key: HashMap<Name, Arc<Workspace>>,
    members: Members,
    picker: Box<dyn Picker>,
    budget: Budget,
    meters: HashMap<Name, Meter>,
    demands_since: Moment,
}

/// Runs the kernel until all senders are gone.
pub async fn run(settings: Entry, mut commands: ring::Receiver<Command>) {
    let mut kernel = Kernel::new(settings);
    while let Some(command) = commands.recv().await {
        kernel.handle(command);
    }
}

impl Kernel {
    fn new(settings: Entry) -> Self {
        let picker = plugin::find::<PickerPlugin>(settings.picker, |plugin| plugin.name);
        let picker = picker.map_or_else(|| Box::new(coord::pick::LeastOutstanding) as Box<_>, |plugin| (plugin.make)());
        Self {
            config: Arc::default(),
            by_key: HashMap::new(),
            members: Members::new(settings.process.failure_domain.clone(), micros(settings.distance)),
            picker,
            budget: Budget::new(settings.retry_share, RETRY_CAP),
            meters: HashMap::new(),
            demands_since: util::now(),
            settings,
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Admit(admission, reply) => drop(reply.send(self.admit(&admission))),
            Command::Find(search, reply) => drop(reply.send(self.find(&search))),
            Command::ByDomain(search, reply) => drop(reply.send(self.by_domain(&search))),
            Command::Locate(endpoint, reply) => drop(reply.send(self.locate(&endpoint))),
            Command::Heard { endpoint, incarnation, leaving } => self.members.heard(&endpoint, incarnation, leaving),
            Command::Failed(endpoint) => self.members.failed(&endpoint, util::now()),
            Command::Begin(endpoint, tokens) => self.members.begin(&endpoint, tokens),
            Command::End(endpoint, tokens) => self.members.end(&endpoint, tokens),
            Command::Retry(reply) => drop(reply.send(self.budget.spend())),
            Command::Config(config) => self.configure(config),
            Command::Vms(vms) => self.list(vms),
            Command::Models(key, reply) => drop(reply.send(self.models(&key))),
            Command::Status(reply) => drop(reply.send(self.status())),
            Command::Endpoints(reply) => drop(reply.send(self.endpoints())),
            Command::Shares(shares) => self.share(&shares),
            Command::Demands(reply) => drop(reply.send(self.demands())),
        }
    }

    fn configure(&mut self, config: Arc<Config>) {
        coord::invariant!(config.revision >= self.config.revision, "an entry never applies an older revision");
        metric::revision(config.revision);
        event!("config", revision = config.revision);
        self.by_key =
            config.workspaces.values().map(|workspace| (workspace.key_digest.clone(), workspace.clone())).collect();
        let now = util::now();
        let old = std::mem::take(&mut self.meters);
        self.meters = config.workspaces.values().filter_map(|workspace| meter(workspace, &old, now)).collect();
        self.config = config;
        self.mark_drained();
    }

    fn list(&mut self, vms: Vec<Vm>) {
        self.members.list(vms);
        self.mark_drained();
    }

    fn mark_drained(&mut self) {
        let drained = &self.config.drained;
        self.members.drain(|endpoint| drained.contains(endpoint));
    }

    fn workspace(&self, key_digest: &str) -> Result<&Arc<Workspace>, Failure> {
        if self.config.revision == 0 {
            return Err(Failure::busy("not_ready", "no configuration has been read yet", NOT_READY_RETRY));
        }
        let unknown = || Failure::new(StatusCode::UNAUTHORIZED, "invalid_key", "the bearer key names no workspace");
        self.by_key.get(key_digest).ok_or_else(unknown)
    }

    fn admit(&mut self, admission: &Admission) -> Result<Admitted, Failure> {
        let workspace = self.workspace(&admission.key_digest)?.clone();
        let admitted = match &admission.wanted {
            Wanted::Model { model, prompt_bytes, output_tokens } => {
                self.admit_prompt(workspace, model, *prompt_bytes, *output_tokens)?
            }
            Wanted::Service { service } => self.admit_call(workspace, service)?,
        };
        self.meter(&admitted)?;
        self.budget.earn();
        Ok(admitted)
    }

    fn admit_prompt(
        &self,
        workspace: Arc<Workspace>,
        model: &Name,
        prompt_bytes: u64,
        output_tokens: u64,
    ) -> Result<Admitted, Failure> {
        let unknown = || {
            let message = format!("no model {model:?} serves this workspace");
            Failure::new(StatusCode::NOT_FOUND, "model_not_found", message)
        };
        let intent = self.config.intents.get(model).filter(|intent| serves(intent, &workspace)).ok_or_else(unknown)?;
        let prompt_tokens = (prompt_bytes as f64 / intent.bytes_per_token).ceil() as u64;
        if prompt_tokens + output_tokens > intent.context_tokens {
            let message = format!(
                "the prompt of about {prompt_tokens} tokens and {output_tokens} output tokens exceed {} tokens",
                intent.context_tokens
            );
            return Err(Failure::bad_request("context_length_exceeded", message));
        }
        Ok(Admitted {
            workspace,
            service: intent.service.clone(),
            domains: intent.failure_domains.clone(),
            priority: intent.priority,
            prompt_tokens,
            bytes_per_token: intent.bytes_per_token,
            deadline: Duration::from_millis(intent.deadline_ms),
            ceiling: Duration::from_millis(intent.deadline_ceiling_ms),
            repeatable: true,
        })
    }

    fn admit_call(&self, workspace: Arc<Workspace>, service: &Name) -> Result<Admitted, Failure> {
        let unknown =
            || Failure::new(StatusCode::NOT_FOUND, "service_not_found", format!("there is no service {service:?}"));
        let service = self.config.services.get(service).ok_or_else(unknown)?;
        let deadline = Duration::from_millis(service.deadline_ms);
        Ok(Admitted {
            workspace,
            service: service.name.clone(),
            domains: Vec::new(),
            priority: 0,
            prompt_tokens: 0,
            bytes_per_token: 1.0,
            deadline,
            ceiling: deadline.max(Duration::from_secs(600)),
            repeatable: service.repeatable,
        })
    }

    /// Takes the request out of its workspace's local shares.
    fn meter(&mut self, admitted: &Admitted) -> Result<(), Failure> {
        let Some(meter) = self.meters.get_mut(&admitted.workspace.name) else { return Ok(()) };
        let now = util::now();
        let tokens = admitted.prompt_tokens as f64;
        meter.asked_requests += 1.0;
        meter.asked_tokens += tokens;
        let limited = |what: &str, wait| {
            let message = format!("the workspace's limit of {what} a second is used up");
            Failure::new(StatusCode::TOO_MANY_REQUESTS, "workspace_limit", message).after(wait)
        };
        if let Some(bucket) = &mut meter.requests {
            bucket.take(1.0, now).map_err(|wait| limited("requests", wait))?;
        }
        if let Some(bucket) = &mut meter.tokens {
            bucket.take(tokens, now).map_err(|wait| limited("prompt tokens", wait))?;
        }
        Ok(())
    }

    fn find(&mut self, search: &Search) -> Found {
        let mut all = self.members.candidates(&search.service, &search.domains, util::now());
        all.retain(|candidate| !search.exclude.contains(&candidate.endpoint));
        let count = self.settings.candidates;
        let names = self.picker.candidates(&all, search.hash, count, &mut rand::rng());
        Found { targets: names.iter().filter_map(|name| self.locate(name)).collect(), asks: self.picker.asks() }
    }

    fn by_domain(&self, search: &Search) -> Vec<Vec<Target>> {
        let all = self.members.candidates(&search.service, &search.domains, util::now());
        let mut domains: BTreeMap<(u64, Name), Vec<Target>> = BTreeMap::new();
        for candidate in all.iter().filter(|candidate| !search.exclude.contains(&candidate.endpoint)) {
            let Some(member) = self.members.get(&candidate.endpoint) else { continue };
            let domain = (candidate.distance, member.vm.failure_domain.clone());
            domains.entry(domain).or_default().extend(self.locate(&candidate.endpoint));
        }
        domains.into_values().collect()
    }

    fn locate(&self, endpoint: &Name) -> Option<Target> {
        let member = self.members.get(endpoint)?;
        let near = member.vm.failure_domain == self.settings.process.failure_domain;
        Some(Target {
            endpoint: endpoint.clone(),
            address: member.vm.address.clone(),
            distance: if near { 0 } else { micros(self.settings.distance) },
        })
    }

    fn models(&self, key_digest: &str) -> Result<Vec<Name>, Failure> {
        let workspace = self.workspace(key_digest)?;
        let served = self.config.intents.values().filter(|intent| serves(intent, workspace));
        Ok(served.map(|intent| intent.model.clone()).collect())
    }

    fn share(&mut self, shares: &[Share]) {
        let now = util::now();
        for share in shares {
            let Some(meter) = self.meters.get_mut(&share.workspace) else { continue };
            if let (Some(bucket), Some(rate)) = (&mut meter.requests, share.requests_per_s) {
                bucket.set_rate(rate, now);
            }
            if let (Some(bucket), Some(rate)) = (&mut meter.tokens, share.tokens_per_s) {
                bucket.set_rate(rate, now);
            }
        }
    }

    fn demands(&mut self) -> Vec<Demand> {
        let now = util::now();
        let span = now.since(self.demands_since).as_secs_f64().max(1e-3);
        self.demands_since = now;
        let active = self.meters.iter_mut().filter(|(_, meter)| meter.asked_requests > 0.0);
        active
            .map(|(workspace, meter)| Demand {
                workspace: workspace.clone(),
                requests_per_s: std::mem::take(&mut meter.asked_requests) / span,
                tokens_per_s: std::mem::take(&mut meter.asked_tokens) / span,
            })
            .collect()
    }

    fn status(&self) -> Status {
        Status {
            entry: self.settings.process.name.clone(),
            failure_domain: self.settings.process.failure_domain.clone(),
            incarnation: util::incarnation().to_string(),
            revision: self.config.revision,
            endpoints: self.members.iter().count(),
            leaving: self.members.iter().filter(|member| member.is_leaving()).count(),
            breaches: coord::invariant::breaches(),
        }
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        self.members
            .iter()
            .map(|member| Endpoint {
                endpoint: member.vm.name.clone(),
                service: member.vm.service.clone(),
                failure_domain: member.vm.failure_domain.clone(),
                address: member.vm.address.clone(),
                incarnation: member.incarnation.map(|incarnation| incarnation.to_string()),
                leaving: member.is_leaving(),
                outstanding: member.outstanding(),
            })
            .collect()
    }
}

fn serves(intent: &Intent, workspace: &Workspace) -> bool {
    intent.workspaces.iter().any(|name| **name == *ALL_WORKSPACES || *name == workspace.name)
}

/// The meter of a workspace that has limits, keeping its level where the limits stay.
fn meter(workspace: &Workspace, old: &HashMap<Name, Meter>, now: Moment) -> Option<(Name, Meter)> {
    if workspace.requests_per_s.is_none() && workspace.tokens_per_s.is_none() {
        return None;
    }
    let before = old.get(&workspace.name);
    let bucket = |rate: Option<f64>, before: Option<&Bucket>| {
        let rate = rate?;
        let mut bucket = before.cloned().unwrap_or_else(|| Bucket::new(rate, now));
        if before.is_none_or(|before| before.rate() > rate) {
            bucket.set_rate(rate, now);
        }
        Some(bucket)
    };
    let meter = Meter {
        requests: bucket(workspace.requests_per_s, before.and_then(|meter| meter.requests.as_ref())),
        tokens: bucket(workspace.tokens_per_s, before.and_then(|meter| meter.tokens.as_ref())),
        asked_requests: before.map_or(0.0, |meter| meter.asked_requests),
        asked_tokens: before.map_or(0.0, |meter| meter.asked_tokens),
    };
    Some((workspace.name.clone(), meter))
}
