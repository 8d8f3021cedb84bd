//! The event loop of an entry: it owns the endpoint membership, the configuration, the rate limits and the
//! retry budget.

mod message;
mod meter;

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
use self::meter::{Limit, Meters};
use crate::config::Entry;
use crate::failure::Failure;
use crate::plugin::{self, PickerPlugin};
use crate::{event, metric, ring, util};

/// Largest number of unused retries that the retry budget accumulates.
const RETRY_CAP: f64 = 100.0;
/// `Retry-After` for requests that arrive before the configuration has been read.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

struct Kernel {
    settings: Entry,
    config: Arc<Config>,
    by_key: HashMap<Name, Arc<Workspace>>,
    members: Members,
    picker: Box<dyn Picker>,
    budget: Budget,
    meters: Meters,
}

/// Runs the event loop until all command senders are dropped.
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
        let hash = xxhash_rust::xxh3::xxh3_64(settings.process.name.as_bytes());
        let sample = Sample { most: settings.sample, hash };
        Self {
            config: Arc::default(),
            by_key: HashMap::new(),
            members: Members::new(settings.process.failure_domain.clone(), micros(settings.distance), sample),
            picker,
            budget: Budget::new(settings.retry_share, RETRY_CAP),
            meters: Meters::new(util::now()),
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
            Command::Shares(shares) => self.meters.share(&shares, util::now()),
            Command::Demands(reply) => drop(reply.send(self.meters.demands(util::now()))),
        }
    }

    fn configure(&mut self, config: Arc<Config>) {
        coord::invariant!(config.revision >= self.config.revision, "an entry never applies an older revision");
        metric::revision(config.revision);
        event!("config", revision = config.revision);
        self.by_key =
            config.workspaces.values().map(|workspace| (workspace.key_digest.clone(), workspace.clone())).collect();
        self.meters.configure(config.workspaces.values().map(AsRef::as_ref), util::now());
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

    /// Takes the request from this entry's shares of its workspace's rate limits.
    fn meter(&mut self, admitted: &Admitted) -> Result<(), Failure> {
        let taken = self.meters.take(&admitted.workspace.name, admitted.prompt_tokens as f64, util::now());
        taken.map_err(|(limit, wait)| {
            let what = match limit {
                Limit::Requests => "requests",
                Limit::Tokens => "prompt tokens",
            };
            let message = format!("the workspace's limit of {what} a second is used up");
            Failure::new(StatusCode::TOO_MANY_REQUESTS, "workspace_limit", message).after(wait)
        })
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
