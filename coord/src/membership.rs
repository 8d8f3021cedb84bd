//! Endpoints as one entry sees them: the platform's list, combined with request outcomes and drain states.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{Incarnation, Name};
use crate::pick::{Candidate, rendezvous};
use crate::time::Moment;

/// VM as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM, which is also the name of the endpoint on it.
    pub name: Name,
    /// Address of this system's process on the VM, `ip:port`.
    pub address: Name,
    /// Kind of process that runs on the VM.
    pub role: Role,
    /// Service of the endpoint on the VM; empty for an entry.
    pub service: Name,
    /// Failure domain in which the VM runs.
    pub failure_domain: Name,
    /// Whether the VM is draining before its removal.
    pub leaving: bool,
}

/// Kind of process that runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The VM runs `sorrelpass entry`.
    Entry,
    /// The VM runs an endpoint with `sorrelpass sidecar` beside it.
    Endpoint,
}

/// Exclusion time after the first failure of an endpoint.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Upper bound of the exclusion time.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Endpoint as one entry sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Latest listing of the endpoint's VM.
    pub vm: Vm,
    /// Incarnation of the sidecar; `None` before its first response.
    pub incarnation: Option<Incarnation>,
    /// Whether the sidecar reported that it is draining.
    reported_draining: bool,
    /// Whether an operator drains the endpoint.
    drained: bool,
    /// Number of this entry's unfinished attempts at the endpoint.
    outstanding: u32,
    /// Prefill and output tokens of the unfinished attempts.
    active_tokens: u64,
    consecutive_failures: u32,
    excluded_until: Moment,
}

impl Member {
    fn new(vm: Vm) -> Self {
        Self {
            vm,
            incarnation: None,
            reported_draining: false,
            drained: false,
            outstanding: 0,
            active_tokens: 0,
            consecutive_failures: 0,
            excluded_until: Moment::ZERO,
        }
    }

    /// Returns whether the endpoint may receive new work.
    pub fn takes_work(&self, now: Moment) -> bool {
        !self.is_draining() && self.excluded_until <= now
    }

    /// Returns whether the platform, the sidecar or an operator drains the endpoint.
    pub fn is_draining(&self) -> bool {
        self.vm.leaving || self.reported_draining || self.drained
    }

    /// Returns the number of this entry's unfinished attempts at the endpoint.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }
}

/// Endpoints that an entry may use.
#[derive(Debug)]
pub struct Members {
    home_domain: Name,
    distance: u64,
    sample: Sample,
    members: BTreeMap<Name, Member>,
}

/// Bounded subset of each service's endpoints that a process uses. Each process selects its own by rendezvous
/// hashing, so that its state and connections do not grow with the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Maximum number of endpoints per service.
    pub max_endpoints: usize,
    /// Hash of the process's name.
    pub hash: u64,
}

impl Members {
    /// Creates an empty set. `home_domain` is the entry's failure domain, and `distance` is the additional latency to other
    /// domains, in microseconds.
    pub fn new(home_domain: Name, distance: u64, sample: Sample) -> Self {
        Self { home_domain, distance, sample, members: BTreeMap::new() }
    }

    /// Applies the platform's list: adds new VMs and removes missing ones.
    pub fn apply_listing(&mut self, vms: impl IntoIterator<Item = Vm>) {
        let mut previous = std::mem::take(&mut self.members);
        for vm in vms.into_iter().filter(|vm| vm.role == Role::Endpoint) {
            let member = match previous.remove(&vm.name) {
                Some(mut member) if member.vm.address == vm.address => {
                    member.vm = vm;
                    member
                }
                _ => Member::new(vm),
            };
            self.members.insert(member.vm.name.clone(), member);
        }
    }

    /// Updates the drain state of every endpoint; `drained` returns whether operators drain it.
    pub fn set_drained(&mut self, drained: impl Fn(&Name) -> bool) {
        for (name, member) in &mut self.members {
            member.drained = drained(name);
        }
    }

    /// Records a response of the sidecar, which ends the exclusion after failures.
    pub fn record_response(&mut self, endpoint: &Name, incarnation: Incarnation, leaving: bool) {
        let Some(member) = self.members.get_mut(endpoint) else { return };
        member.incarnation = Some(incarnation);
        member.reported_draining = leaving;
        member.consecutive_failures = 0;
        member.excluded_until = Moment::ZERO;
    }

    /// Records that the endpoint was unreachable, and excludes it for an exponentially growing time.
    pub fn record_failure(&mut self, endpoint: &Name, now: Moment) {
        let Some(member) = self.members.get_mut(endpoint) else { return };
        member.consecutive_failures = (member.consecutive_failures + 1).min(16);
        let retry_delay = INITIAL_RETRY_DELAY * 2u32.pow(member.consecutive_failures - 1);
        member.excluded_until = now + retry_delay.min(MAX_RETRY_DELAY);
    }

    /// Records the start of an attempt at the endpoint.
    pub fn record_start(&mut self, endpoint: &Name, tokens: u64) {
        let Some(member) = self.members.get_mut(endpoint) else { return };
        member.outstanding += 1;
        member.active_tokens += tokens;
    }

    /// Records the end of an attempt at the endpoint.
    pub fn record_end(&mut self, endpoint: &Name, tokens: u64) {
        let Some(member) = self.members.get_mut(endpoint) else { return };
        member.outstanding = member.outstanding.saturating_sub(1);
        member.active_tokens = member.active_tokens.saturating_sub(tokens);
    }

    /// Returns an endpoint by name.
    pub fn get(&self, endpoint: &str) -> Option<&Member> {
        self.members.get(endpoint)
    }

    /// Iterates over all endpoints in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the endpoints of `service` that take work now. If all are excluded after failures, returns every
    /// endpoint that is not draining.
    ///
    /// `domains` lists the allowed failure domains; an empty list allows all.
    pub fn candidates(&self, service: &str, domains: &[Name], now: Moment) -> Vec<Candidate> {
        let is_eligible = |member: &&Member| {
            *member.vm.service == *service
                && !member.is_draining()
                && (domains.is_empty() || domains.contains(&member.vm.failure_domain))
        };
        let eligible: Vec<&Member> = self.members.values().filter(is_eligible).collect();
        let ready: Vec<&Member> = eligible.iter().copied().filter(|member| member.takes_work(now)).collect();
        let pool = if ready.is_empty() { eligible } else { ready };
        self.select_sample(pool).into_iter().map(|member| self.to_candidate(member)).collect()
    }

    /// Reduces the list to the sample size by rendezvous hashing.
    fn select_sample<'a>(&self, mut pool: Vec<&'a Member>) -> Vec<&'a Member> {
        if pool.len() > self.sample.max_endpoints {
            pool.sort_by_cached_key(|member| Reverse(rendezvous(self.sample.hash, &member.vm.name)));
            pool.truncate(self.sample.max_endpoints);
        }
        pool
    }

    fn to_candidate(&self, member: &Member) -> Candidate {
        Candidate {
            endpoint: member.vm.name.clone(),
            outstanding: member.outstanding,
            active_tokens: member.active_tokens,
            distance: if member.vm.failure_domain == self.home_domain { 0 } else { self.distance },
        }
    }
}
