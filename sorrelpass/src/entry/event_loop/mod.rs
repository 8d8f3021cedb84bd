//! The event loop of an entry: it owns the endpoint membership, the configuration, the rate limits and the
//! retry budget.

mod message;
mod rate_limiter;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use axum::http::StatusCode;
use coord::budget::Budget;
use coord::intent::{ALL_WORKSPACES, Config, Intent, Workspace};
use coord::membership::{Members, Sample, Vm};
use coord::name::Name;
use coord::pick::Picker;
use coord::time::micros;

pub use self::message::*;
use self::rate_limiter::{Limit, RateLimiters};
use crate::config::Entry;
use crate::failure::Failure;
use crate::plugin::{self, PickerPlugin};
use crate::{channel, event, metric, util};

/// Maximum number of unused retries that the retry budget accumulates.
const MAX_SAVED_RETRIES: f64 = 100.0;
/// `Retry-After` for requests that arrive before the configuration has been read.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

struct EventLoop {
    settings: Entry,
    config: Arc<Config>,
    workspace_by_key: HashMap<Name, Arc<Workspace>>,
    members: Members,
    picker: Box<dyn Picker>,
    retry_budget: Budget,
    rate_limiters: RateLimiters,
}

/// Runs the event loop until all command senders are dropped.
pub async fn run(settings: Entry, mut commands: channel::Receiver<Command>) {
    let mut event_loop = EventLoop::new(settings);
    while let Some(command) = commands.recv().await {
        event_loop.handle_command(command);
    }
}

impl EventLoop {
    fn new(settings: Entry) -> Self {
        let picker = plugin::find::<PickerPlugin>(settings.picker, |plugin| plugin.name);
        let picker =
            picker.map_or_else(|| Box::new(coord::pick::LeastOutstanding) as Box<_>, |plugin| (plugin.build)());
        let hash = xxhash_rust::xxh3::xxh3_64(settings.process.name.as_bytes());
        let sample = Sample { max_endpoints: settings.max_endpoints_per_service, hash };
        Self {
            config: Arc::default(),
            workspace_by_key: HashMap::new(),
            members: Members::new(settings.process.failure_domain.clone(), micros(settings.cross_domain_delay), sample),
            picker,
            retry_budget: Budget::new(settings.retry_share, MAX_SAVED_RETRIES),
            rate_limiters: RateLimiters::new(util::now()),
            settings,
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Admit(admission, reply) => drop(reply.send(self.admit(&admission))),
            Command::FindTargets(query, reply) => drop(reply.send(self.find_targets(&query))),
            Command::TargetsByDomain(query, reply) => drop(reply.send(self.targets_by_domain(&query))),
            Command::Locate(endpoint, reply) => drop(reply.send(self.locate(&endpoint))),
            Command::SidecarReachable { endpoint, incarnation, is_draining } => {
                self.members.record_response(&endpoint, incarnation, is_draining)
            }
            Command::SidecarUnreachable(endpoint) => self.members.record_failure(&endpoint, util::now()),
            Command::AttemptStarted(endpoint, tokens) => self.members.record_start(&endpoint, tokens),
            Command::AttemptEnded(endpoint, tokens) => self.members.record_end(&endpoint, tokens),
            Command::TakeRetry(reply) => drop(reply.send(self.retry_budget.try_retry())),
            Command::UpdateConfig(config) => self.update_config(config),
            Command::UpdateVms(vms) => self.update_vms(vms),
            Command::ListModels(key, reply) => drop(reply.send(self.list_models(&key))),
            Command::Status(reply) => drop(reply.send(self.status())),
            Command::ListEndpoints(reply) => drop(reply.send(self.list_endpoints())),
            Command::SetShares(shares) => self.rate_limiters.set_shares(&shares, util::now()),
            Command::TakeDemands(reply) => drop(reply.send(self.rate_limiters.take_demands(util::now()))),
        }
    }

    fn update_config(&mut self, config: Arc<Config>) {
        coord::invariant!(config.revision >= self.config.revision, "an entry never applies an older revision");
        metric::set_config_revision(config.revision);
        event!("config", revision = config.revision);
        self.workspace_by_key =
            config.workspaces.values().map(|workspace| (workspace.key_digest.clone(), workspace.clone())).collect();
        self.rate_limiters.configure(config.workspaces.values().map(AsRef::as_ref), util::now());
        self.config = config;
        self.update_drained();
    }

    fn update_vms(&mut self, vms: Vec<Vm>) {
        self.members.apply_listing(vms);
        self.update_drained();
    }

    fn update_drained(&mut self) {
        let drained = &self.config.drained;
        self.members.set_drained(|endpoint| drained.contains(endpoint));
    }

    fn workspace_of_key(&self, key_digest: &str) -> Result<&Arc<Workspace>, Failure> {
        if self.config.revision == 0 {
            return Err(Failure::unavailable("not_ready", "no configuration has been read yet", NOT_READY_RETRY_AFTER));
        }
        let unknown_key = || Failure::new(StatusCode::UNAUTHORIZED, "invalid_key", "the bearer key names no workspace");
        self.workspace_by_key.get(key_digest).ok_or_else(unknown_key)
    }

    fn admit(&mut self, admission: &AdmissionRequest) -> Result<AdmittedRequest, Failure> {
        let workspace = self.workspace_of_key(&admission.key_digest)?.clone();
        let admitted = match &admission.kind {
            RequestKind::Model { model, prompt_bytes, output_tokens } => {
                self.admit_prompt(workspace, model, *prompt_bytes, *output_tokens)?
            }
            RequestKind::Service { service } => self.admit_call(workspace, service)?,
        };
        self.apply_rate_limits(&admitted)?;
        self.retry_budget.record_request();
        Ok(admitted)
    }

    fn admit_prompt(
        &self,
        workspace: Arc<Workspace>,
        model: &Name,
        prompt_bytes: u64,
        output_tokens: u64,
    ) -> Result<AdmittedRequest, Failure> {
        let unknown_model = || {
            let message = format!("no model {model:?} serves this workspace");
            Failure::new(StatusCode::NOT_FOUND, "model_not_found", message)
        };
        let intent = self
            .config
            .intents
            .get(model)
            .filter(|intent| allows_workspace(intent, &workspace))
            .ok_or_else(unknown_model)?;
        let prompt_tokens = (prompt_bytes as f64 / intent.bytes_per_token).ceil() as u64;
        if prompt_tokens + output_tokens > intent.context_tokens {
            let message = format!(
                "the prompt of about {prompt_tokens} tokens and {output_tokens} output tokens exceed {} tokens",
                intent.context_tokens
            );
            return Err(Failure::bad_request("context_length_exceeded", message));
        }
        Ok(AdmittedRequest {
            workspace,
            service: intent.service.clone(),
            domains: intent.failure_domains.clone(),
            priority: intent.priority,
            prompt_tokens,
            bytes_per_token: intent.bytes_per_token,
            deadline: Duration::from_millis(intent.deadline_ms),
            max_deadline: Duration::from_millis(intent.deadline_ceiling_ms),
            is_repeatable: true,
        })
    }

    fn admit_call(&self, workspace: Arc<Workspace>, service: &Name) -> Result<AdmittedRequest, Failure> {
        let unknown_service =
            || Failure::new(StatusCode::NOT_FOUND, "service_not_found", format!("there is no service {service:?}"));
        let service = self.config.services.get(service).ok_or_else(unknown_service)?;
        let deadline = Duration::from_millis(service.deadline_ms);
        Ok(AdmittedRequest {
            workspace,
            service: service.name.clone(),
            domains: Vec::new(),
            priority: 0,
            prompt_tokens: 0,
            bytes_per_token: 1.0,
            deadline,
            max_deadline: deadline.max(Duration::from_secs(600)),
            is_repeatable: service.repeatable,
        })
    }

    /// Takes the request from this entry's shares of its workspace's rate limits.
    fn apply_rate_limits(&mut self, admitted: &AdmittedRequest) -> Result<(), Failure> {
        let result = self.rate_limiters.acquire(&admitted.workspace.name, admitted.prompt_tokens as f64, util::now());
        result.map_err(|(limit, wait)| {
            let unit = match limit {
                Limit::Requests => "requests",
                Limit::Tokens => "prompt tokens",
            };
            let message = format!("the workspace's limit of {unit} a second is used up");
            Failure::new(StatusCode::TOO_MANY_REQUESTS, "workspace_limit", message).with_retry_after(wait)
        })
    }

    fn find_targets(&mut self, query: &TargetQuery) -> Candidates {
        let mut candidates = self.members.candidates(&query.service, &query.domains, util::now());
        candidates.retain(|candidate| !query.excluded.contains(&candidate.endpoint));
        let max_candidates = self.settings.candidates;
        let names = self.picker.candidates(&candidates, query.prefix_hash, max_candidates, &mut rand::rng());
        Candidates {
            targets: names.iter().filter_map(|name| self.locate(name)).collect(),
            needs_quotes: self.picker.needs_quotes(),
        }
    }

    fn targets_by_domain(&self, query: &TargetQuery) -> Vec<Vec<Target>> {
        let candidates = self.members.candidates(&query.service, &query.domains, util::now());
        let mut domains: BTreeMap<(u64, Name), Vec<Target>> = BTreeMap::new();
        for candidate in candidates.iter().filter(|candidate| !query.excluded.contains(&candidate.endpoint)) {
            let Some(member) = self.members.get(&candidate.endpoint) else { continue };
            let domain = (candidate.distance, member.vm.failure_domain.clone());
            domains.entry(domain).or_default().extend(self.locate(&candidate.endpoint));
        }
        domains.into_values().collect()
    }

    fn locate(&self, endpoint: &Name) -> Option<Target> {
        let member = self.members.get(endpoint)?;
        let is_local = member.vm.failure_domain == self.settings.process.failure_domain;
        Some(Target {
            endpoint: endpoint.clone(),
            address: member.vm.address.clone(),
            distance: if is_local { 0 } else { micros(self.settings.cross_domain_delay) },
        })
    }

    fn list_models(&self, key_digest: &str) -> Result<Vec<Name>, Failure> {
        let workspace = self.workspace_of_key(key_digest)?;
        let served = self.config.intents.values().filter(|intent| allows_workspace(intent, workspace));
        Ok(served.map(|intent| intent.model.clone()).collect())
    }

    fn status(&self) -> Status {
        Status {
            entry: self.settings.process.name.clone(),
            failure_domain: self.settings.process.failure_domain.clone(),
            incarnation: util::incarnation().to_string(),
            revision: self.config.revision,
            endpoints: self.members.iter().count(),
            leaving: self.members.iter().filter(|member| member.is_draining()).count(),
            breaches: coord::invariant::breaches(),
        }
    }

    fn list_endpoints(&self) -> Vec<Endpoint> {
        self.members
            .iter()
            .map(|member| Endpoint {
                endpoint: member.vm.name.clone(),
                service: member.vm.service.clone(),
                failure_domain: member.vm.failure_domain.clone(),
                address: member.vm.address.clone(),
                incarnation: member.incarnation.map(|incarnation| incarnation.to_string()),
                leaving: member.is_draining(),
                outstanding: member.outstanding(),
            })
            .collect()
    }
}

fn allows_workspace(intent: &Intent, workspace: &Workspace) -> bool {
    intent.workspaces.iter().any(|name| **name == *ALL_WORKSPACES || *name == workspace.name)
}
