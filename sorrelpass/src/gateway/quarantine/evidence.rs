//! Evidence collection: whether the run of a replica terminated during a request, or only the connection was lost.

use std::rc::Rc;
use std::time::Duration;

use coord::contact::SURVIVAL_TIME;
use coord::name::Name;
use coord::probe::{self, ProbeResult};
use coord::quarantine::{Event, Loss, Proof, Weight};
use coord::roster::{Availability, Record, Replica};
use coord::termination::Interval;
use coord::time::Moment;
use platform::connection::Question;
use tokio::sync::oneshot;

use super::super::now;
use super::super::state::Gateway;
use super::super::upstream;
use super::{Identity, Source, apply_events, review};
use crate::{event, metric};

/// Time that a request waits for the probe of its replica before it is sent again: a few one-way latencies within a
/// region. Behind a network partition the probe does not complete in time, and yields no evidence.
const PROBE_WAIT: Duration = Duration::from_millis(25);
/// Delays before a replica that still listens is probed again. A process that ends closes its connections and its
/// listener one after the other, on a busy VM some milliseconds apart.
const REPROBE_DELAYS: [Duration; 3] = [Duration::from_millis(10), Duration::from_millis(40), Duration::from_millis(40)];
/// Time after a presumed loss at which its evidence is weighed with what was lost beside it.
const REVIEW_DELAY: Duration = Duration::from_millis(200);
/// Number of replicas with known terminations above which replicas without a record in the store are forgotten.
const MAX_REPLICAS_WITH_TERMINATIONS: usize = 1_024;

/// What the end of a request without a response says, if its replica terminated.
#[derive(Clone, Debug)]
pub(super) struct Evidence {
    /// Request id that the caller sent.
    pub request: Name,
    /// What the quarantine recognizes the request by.
    pub identity: Identity,
    /// Replica that the request was sent to.
    pub record: Record,
    /// Weight of the evidence against the request if the replica terminated.
    pub weight: Weight,
    /// Whether the replica is an engine.
    pub is_engine: bool,
}

impl Evidence {
    /// Probes whether the replica of a lost connection terminated, and records the evidence. The function returns after
    /// the first probe or a timeout, and further probes continue in the background.
    pub async fn probe_lost(self, gateway: Rc<Gateway>, interval: Interval) {
        let (first_probe_done, first_probe) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let mut results = Vec::new();
            let mut first_probe_done = Some(first_probe_done);
            while let Some(asks_process) = probe::next_probe(&results) {
                if let Some(delay) = results.len().checked_sub(1).and_then(|index| REPROBE_DELAYS.get(index)) {
                    tokio::time::sleep(*delay).await;
                }
                results.push(self.probe(&gateway, asks_process).await);
                // A termination is recorded before the request goes on. If the probe took too long, the receiver has timed
                // out.
                if results[0] != ProbeResult::Ended
                    && let Some(done) = first_probe_done.take()
                {
                    let _ = done.send(());
                }
            }
            let proof = if self.has_no_record(&gateway) { Proof::Proven } else { probe::proof_of_lost(&results) };
            self.record(&gateway, interval, proof).await;
        });
        // The background task also records a termination that it finds after the timeout.
        let _ = tokio::time::timeout(PROBE_WAIT, first_probe).await;
    }

    /// Records the end of a request that its replica left in silence until it was given up, unless the replica is busy: an
    /// engine answers beside its other work.
    pub async fn probe_silent(self, gateway: Rc<Gateway>, sent_at: Moment) {
        let result = self.probe(&gateway, true).await;
        let proof = if self.has_no_record(&gateway) { Some(Proof::Proven) } else { probe::proof_of_silent(result) };
        let Some(proof) = proof else { return };
        let interval = Interval { not_before: sent_at, not_after: now() };
        self.record(&gateway, interval, proof).await;
    }

    /// Probes the replica once. Requests that are lost together share a probe.
    async fn probe(&self, gateway: &Gateway, asks_process: bool) -> ProbeResult {
        let result =
            gateway.quarantine.probes.run(&self.record.id, asks_process, || self.ask(gateway, asks_process)).await;
        event!("probe", request = %self.request, work = %self.identity.work, peer = %self.record.id, liveness = result.as_str());
        result
    }

    async fn ask(&self, gateway: &Gateway, asks_process: bool) -> ProbeResult {
        let health_path = gateway.table().service(&self.record.service).and_then(|service| service.health_path.clone());
        let question = match (&health_path, asks_process) {
            (_, true) if self.is_engine => Question::Load,
            (Some(path), true) => Question::Health(path),
            _ => Question::Port,
        };
        upstream::probe_process(&self.record, question).await
    }

    /// Records the loss, and later what else is known of it.
    async fn record(&self, gateway: &Rc<Gateway>, interval: Interval, proof: Proof) {
        let Some(run) = self.record_loss(gateway, interval, proof) else { return };
        if proof == Proof::Proven {
            return;
        }
        tokio::time::sleep(REVIEW_DELAY).await;
        if self.has_no_record(gateway) {
            self.apply(gateway, run.clone(), Proof::Proven);
        }
        review(gateway);
        tokio::time::sleep(SURVIVAL_TIME.saturating_sub(REVIEW_DELAY)).await;
        if gateway.quarantine.contacts.borrow().has_survivor(&self.record.id, interval) {
            event!("run-on", request = %self.request, peer = %self.record.id, run = %run);
            apply_events(gateway, vec![Event::Refuted(run)], Source::Own);
        }
    }

    /// Returns whether the replica's record has vanished although it announced no end.
    fn has_no_record(&self, gateway: &Gateway) -> bool {
        let roster = gateway.roster.borrow();
        let is_gone = |replica: &Replica| replica.availability == Availability::Gone && !replica.record.leaving;
        roster.get(&self.record.id).is_none_or(is_gone)
    }

    /// Records the loss of the request. Returns the name of the run, or `None` if the loss is no evidence: a planned
    /// shutdown is none, and of many presumed losses at a time only their number counts.
    fn record_loss(&self, gateway: &Rc<Gateway>, interval: Interval, proof: Proof) -> Option<Name> {
        let known_draining = gateway.roster.borrow().get(&self.record.id).map(|replica| replica.record.leaving);
        if known_draining.unwrap_or(self.record.leaving) {
            return None;
        }
        if proof == Proof::Presumed && !gateway.quarantine.may_report_loss(&self.identity, gateway.entry_count()) {
            gateway.quarantine.state.borrow_mut().count_loss(now());
            return None;
        }
        let (run, is_new) = gateway.quarantine.terminations.borrow_mut().record_observed(
            &self.record.id,
            self.record.started_ms,
            interval,
        );
        if is_new && proof == Proof::Proven {
            metric::record_replica_termination();
        }
        forget_removed_replicas(gateway);
        self.apply(gateway, run.clone(), proof);
        Some(run)
    }

    fn apply(&self, gateway: &Rc<Gateway>, run: Name, proof: Proof) {
        event!("possible-end", request = %self.request, work = %self.identity.work, peer = %self.record.id, run = %run, proof = proof.as_str(), weight = ?self.weight);
        let (request, parts, weight) = (self.identity.work, self.identity.parts.to_vec(), self.weight);
        apply_events(gateway, vec![Event::Lost(Loss { run, request, parts, weight, proof })], Source::Own);
    }
}

/// Bounds the number of remembered terminations and contacts.
pub(super) fn forget_removed_replicas(gateway: &Gateway) {
    let roster = gateway.roster.borrow();
    let mut terminations = gateway.quarantine.terminations.borrow_mut();
    if terminations.replica_count() > MAX_REPLICAS_WITH_TERMINATIONS {
        terminations.retain(|replica| roster.get(replica).is_some());
    }
    let mut contacts = gateway.quarantine.contacts.borrow_mut();
    if contacts.replica_count() > MAX_REPLICAS_WITH_TERMINATIONS {
        contacts.retain(|replica| roster.get(replica).is_some());
    }
}
