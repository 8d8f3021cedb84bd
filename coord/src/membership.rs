//! Members as one entry sees them: a listed set, what use has shown, and who is leaving.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{Incarnation, Name};
use crate::pick::{Candidate, rendezvous};
use crate::time::Moment;

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name; for an endpoint VM, the endpoint's.
    pub name: Name,
    /// Address of the system's process on it, `ip:port`.
    pub address: Name,
    /// What the VM is for.
    pub role: Role,
    /// The service whose endpoint it holds, empty for an entry.
    pub service: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Whether it is on its way out.
    pub leaving: bool,
}

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It runs `sorrelpass entry`.
    Entry,
    /// It runs an endpoint with `sorrelpass sidecar` beside it.
    Endpoint,
}

/// First time for which an endpoint that failed is left alone.
const FIRST_PENALTY: Duration = Duration::from_millis(200);
/// Longest such time.
const LONGEST_PENALTY: Duration = Duration::from_secs(5);

/// One endpoint as an entry sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// As listed.
    pub vm: Vm,
    /// The sidecar's incarnation, once heard of.
    pub incarnation: Option<Incarnation>,
    /// The sidecar itself said that it is leaving.
    said_leaving: bool,
    /// An operator drains it.
    drained: bool,
    /// This entry's unfinished attempts there.
    outstanding: u32,
    /// Their prefill and output tokens.
    active_tokens: u64,
    failures: u32,
    shunned_until: Moment,
}

impl Member {
    fn new(vm: Vm) -> Self {
        Self {
            vm,
            incarnation: None,
            said_leaving: false,
            drained: false,
            outstanding: 0,
            active_tokens: 0,
            failures: 0,
            shunned_until: Moment::ZERO,
        }
    }

    /// Whether new work may go there.
    pub fn takes_work(&self, now: Moment) -> bool {
        !self.is_leaving() && self.shunned_until <= now
    }

    /// Whether it is leaving, by anyone's word.
    pub fn is_leaving(&self) -> bool {
        self.vm.leaving || self.said_leaving || self.drained
    }

    /// This entry's unfinished attempts there.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }
}

/// All endpoints that an entry may use.
#[derive(Debug)]
pub struct Members {
    home: Name,
    distance: u64,
    sample: Sample,
    members: BTreeMap<Name, Member>,
}

/// How many endpoints of one service a process uses, and which: its own choice by rendezvous, so
/// that what it remembers and connects to does not grow with the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Most endpoints of one service.
    pub most: usize,
    /// Hash of the process's name.
    pub hash: u64,
}

impl Members {
    /// No members yet; `home` is the entry's failure domain, `distance` the extra microseconds to others.
    pub fn new(home: Name, distance: u64, sample: Sample) -> Self {
        Self { home, distance, sample, members: BTreeMap::new() }
    }

    /// Takes the platform's list: new VMs come in, vanished ones go.
    pub fn list(&mut self, vms: impl IntoIterator<Item = Vm>) {
        let mut old = std::mem::take(&mut self.members);
        for vm in vms.into_iter().filter(|vm| vm.role == Role::Endpoint) {
            let member = match old.remove(&vm.name) {
                Some(mut member) if member.vm.address == vm.address => {
                    member.vm = vm;
                    member
                }
                _ => Member::new(vm),
            };
            self.members.insert(member.vm.name.clone(), member);
        }
    }

    /// Notes what operators drain.
    pub fn drain(&mut self, drained: impl Fn(&Name) -> bool) {
        for (name, member) in &mut self.members {
            member.drained = drained(name);
        }
    }

    /// Notes that the sidecar answered.
    pub fn heard(&mut self, endpoint: &Name, incarnation: Incarnation, leaving: bool) {
        let Some(member) = self.members.get_mut(endpoint) else { return };
        member.incarnation = Some(incarnation);
        member.said_leaving = leaving;
        member.failures = 0;
        member.shunned_until = Moment::ZERO;
    }

    /// Notes that the endpoint could not be reached: it is left alone for a growing while.
    pub fn failed(&mut self, endpoint: &Name, now: Moment) {
        let Some(member) = self.members.get_mut(endpoint) else { return };
        member.failures = (member.failures + 1).min(16);
        let penalty = FIRST_PENALTY * 2u32.pow(member.failures - 1);
        member.shunned_until = now + penalty.min(LONGEST_PENALTY);
    }

    /// Notes an attempt sent there.
    pub fn begin(&mut self, endpoint: &Name, tokens: u64) {
        let Some(member) = self.members.get_mut(endpoint) else { return };
        member.outstanding += 1;
        member.active_tokens += tokens;
    }

    /// Notes that the attempt is over.
    pub fn end(&mut self, endpoint: &Name, tokens: u64) {
        let Some(member) = self.members.get_mut(endpoint) else { return };
        member.outstanding = member.outstanding.saturating_sub(1);
        member.active_tokens = member.active_tokens.saturating_sub(tokens);
    }

    /// The endpoint's member.
    pub fn get(&self, endpoint: &str) -> Option<&Member> {
        self.members.get(endpoint)
    }

    /// All members, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Endpoints of `service` that take work now; when all are shunned, those that are not leaving.
    ///
    /// `domains` names the failure domains allowed; empty allows all.
    pub fn candidates(&self, service: &str, domains: &[Name], now: Moment) -> Vec<Candidate> {
        let fits = |member: &&Member| {
            *member.vm.service == *service
                && !member.is_leaving()
                && (domains.is_empty() || domains.contains(&member.vm.failure_domain))
        };
        let all: Vec<&Member> = self.members.values().filter(fits).collect();
        let ready: Vec<&Member> = all.iter().copied().filter(|member| member.takes_work(now)).collect();
        let from = if ready.is_empty() { all } else { ready };
        self.sampled(from).into_iter().map(|member| self.candidate(member)).collect()
    }

    /// Of more endpoints than the sample holds, those that rendezvous hashing gives this process.
    fn sampled<'a>(&self, mut from: Vec<&'a Member>) -> Vec<&'a Member> {
        if from.len() > self.sample.most {
            from.sort_by_cached_key(|member| Reverse(rendezvous(self.sample.hash, &member.vm.name)));
            from.truncate(self.sample.most);
        }
        from
    }

    fn candidate(&self, member: &Member) -> Candidate {
        Candidate {
            endpoint: member.vm.name.clone(),
            outstanding: member.outstanding,
            active_tokens: member.active_tokens,
            distance: if member.vm.failure_domain == self.home { 0 } else { self.distance },
        }
    }
}
