//! Chooses the target of the next attempt: a plain replica, or a team of engines for a prompt.

use std::rc::Rc;
use std::time::Duration;

use coord::name::Name;
use coord::planner::{self, Team};
use coord::roster::Record;
use coord::time::Moment;
use platform::dialect;

use super::super::belief::EMPTIED_RETRY;
use super::super::desk::{Lease, Unplaced};
use super::super::hold::{self, Hold};
use super::super::state::{Gateway, Phase};
use super::super::{limits, now, rests};
use super::Job;
use crate::{event, metric};

/// Fraction of the route's target latency that a request may wait for a permit of a rate-limited replica. The rest is
/// left for the replica; plain replicas take about a third of the target latency.
const WAIT_SHARE: f64 = 0.5;
/// Delay before a prompt is planned again because its memory could not be reserved or one of its engines is gone.
const REPLAN_PAUSE: Duration = Duration::from_millis(50);
/// Minimum time that a prompt may wait for engines, however late it is. A free engine is granted within a few
/// milliseconds.
const LEAST_WAIT: Duration = Duration::from_millis(100);

/// Maximum fraction of a backoff that is added to the retry delay of refused callers, so that they do not all retry at
/// the same time.
const REST_SPREAD: f64 = 0.25;
/// Minimum delay before the replicas are checked again.
const LEAST_PAUSE: Duration = Duration::from_millis(1);

/// Returns the retry delay of a caller that is refused because of a backoff, with random jitter.
fn spread(rest: Duration) -> Duration {
    rest.mul_f64(1.0 + rand::random_range(0.0..REST_SPREAD))
}

/// Destination of an attempt.
pub(super) struct Target {
    /// Replica that receives the request.
    pub record: Record,
    /// Engines that prefill parts of the prompt.
    pub helpers: Vec<dialect::Helper>,
    /// Guard of the request's slot at the replica.
    pub place: Place,
}

/// A request's slot at a replica, which is released on drop.
pub enum Place {
    /// Slot at a plain replica.
    Plain {
        /// Guard of the replica's count of outstanding requests.
        _count: Outstanding,
    },
    /// Slot at an engine.
    Engine {
        /// Lease of the granted engines.
        lease: Lease,
        /// Memory reservation at other engines, if the prompt exceeds the memory of one engine.
        _hold: Option<Hold>,
    },
}

impl Place {
    /// Returns the time without a response after which the engines count as unresponsive, or `None` if it cannot be
    /// predicted.
    pub(super) fn silent_after(&self) -> Option<Duration> {
        match self {
            Place::Engine { lease, .. } => lease.placement.silent_after,
            Place::Plain { .. } => None,
        }
    }

    /// Reports that the engines are unresponsive.
    pub(super) fn silent(&self) {
        if let Place::Engine { lease, .. } = self {
            lease.silent();
        }
    }

    /// Reports that the first event of the stream has arrived.
    pub fn first_event(&self) {
        if let Place::Engine { lease, .. } = self {
            lease.first_event();
        }
    }
}

/// Counts one outstanding request at a plain replica until it is dropped.
pub struct Outstanding {
    gateway: Rc<Gateway>,
    replica: Name,
}

impl Outstanding {
    fn begin(gateway: &Rc<Gateway>, replica: &Name) -> Self {
        gateway.placer.borrow_mut().begin(replica);
        Self { gateway: gateway.clone(), replica: replica.clone() }
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.gateway.placer.borrow_mut().end(&self.replica);
    }
}

/// A helper of a team, with the number of tokens for which it holds memory until the response is complete. The number
/// is 0 if the helper only prefills.
struct Found {
    helper: dialect::Helper,
    holds: u64,
}

impl Job {
    /// Chooses the target of the next attempt. A prompt waits here until engines are granted.
    pub(super) async fn target(&self) -> Result<Target, Unplaced> {
        match self.call.prompt_tokens {
            Some(tokens) if self.has_engines() => self.engine(tokens).await,
            _ => self.plain().await,
        }
    }

    pub(super) fn has_engines(&self) -> bool {
        self.gateway.table().service(&self.service).is_some_and(|service| service.engine.is_some())
    }

    /// Chooses the best plain replica. A rate-limited replica is used if it has a permit at once. If all replicas are
    /// rate-limited, the request waits for the first permit that is available in time, or is refused.
    async fn plain(&self) -> Result<Target, Unplaced> {
        // Rate-limited replicas that have no permit now.
        let mut full: Vec<Name> = Vec::new();
        loop {
            let Some(record) = self.pick(&full) else {
                if !full.is_empty() {
                    return self.rationed(full).await;
                }
                self.rest_over().await?;
                continue;
            };
            if !self.gateway.limits.is_limited(&record.id) {
                return Ok(self.at(record));
            }
            let replica = record.id.clone();
            match limits::take(&self.gateway, vec![replica.clone()], Duration::ZERO).await {
                Ok(_) => return Ok(self.at(record)),
                Err(_) => full.push(replica),
            }
        }
    }

    /// Returns the best replica that has not been tried, is not in `full` and is not in backoff for this entry.
    fn pick(&self, full: &[Name]) -> Option<Record> {
        let roster = self.gateway.roster.borrow();
        let is_left_out = |id: &Name| self.tried.contains(id) || full.contains(id) || self.gateway.rests.is_resting(id);
        self.gateway.placer.borrow().pick(&roster, &self.service, self.route.repeat, |id| !is_left_out(id))
    }

    /// Opens a slot at a plain replica.
    fn at(&self, record: Record) -> Target {
        let place = Place::Plain { _count: Outstanding::begin(&self.gateway, &record.id) };
        Target { record, helpers: Vec::new(), place }
    }

    /// Returns how much longer a request may wait for a plain replica.
    fn most_wait(&self) -> Duration {
        (self.started + self.route.aim.mul_f64(WAIT_SHARE)).since(now())
    }

    /// Waits for the end of the first backoff of an untried replica. Returns an error if it ends too late.
    async fn rest_over(&self) -> Result<(), Unplaced> {
        let untried = |replica: &Name| !self.tried.contains(replica);
        let Some(left) = rests::soonest_of(&self.gateway, &self.service, untried) else {
            return Err(self.without_replicas());
        };
        if left > self.most_wait() {
            return Err(self.without_replicas());
        }
        event!("rest-wait", request = %self.call.id, wait_ms = left.as_millis());
        tokio::time::sleep(left.max(LEAST_PAUSE)).await;
        Ok(())
    }

    /// Waits for a permit of one of `full`, all of which are rate-limited. Returns an error if no permit is available
    /// in time.
    async fn rationed(&self, full: Vec<Name>) -> Result<Target, Unplaced> {
        let most_wait = self.most_wait();
        match limits::take(&self.gateway, full, most_wait).await {
            Ok(turn) => {
                event!("limit-wait", request = %self.call.id, peer = %turn.replica, wait_ms = turn.after.as_millis());
                metric::limit_wait();
                tokio::time::sleep(turn.after).await;
                let record = self.gateway.open_replica(&turn.replica);
                record.map(|record| self.at(record)).ok_or(Unplaced::Exhausted)
            }
            Err(after) => {
                let (limited, of) = self.in_need();
                event!("limit-refused", request = %self.call.id, service = %self.service, next_ms = after.as_millis(), limited, of);
                metric::limit_refusal();
                // The jitter prevents all refused callers from retrying at the same time, when only one permit is
                // available.
                Err(Unplaced::Refused(after.mul_f64(rand::random_range(1.0..2.0))))
            }
        }
    }

    /// Waits until engines are granted, for at most the time that the caller's deadline and the policy allow.
    async fn engine(&self, tokens: u64) -> Result<Target, Unplaced> {
        let prompt = self.prompt(tokens);
        let patience = self.route.patience().min(self.allowed).mul_f64(self.gateway.settings.policy.patience_share);
        let until = (self.started + patience).max(now() + LEAST_WAIT);
        loop {
            if self.gateway.roster.borrow().usable(&self.service).next().is_none() {
                return Err(self.without_replicas());
            }
            let left = until.since(now());
            let lease = tokio::select! {
                // Granted engines are used even if the wait has ended at the same time.
                biased;
                placed = self.gateway.desk.place(&self.service, prompt) => placed,
                () = tokio::time::sleep(left) => return Err(Unplaced::Exhausted),
                () = self.gateway.quarantine.condemned(self.work) => return Err(Unplaced::Exhausted),
                rest = self.all_rest_beyond(until) => return Err(Unplaced::Refused(spread(rest))),
                // The caller of a new request can still retry at another entry. A broken stream continues to wait,
                // since only this entry can resume it.
                () = self.gateway.reached(Phase::Closing), if self.sends == 0 => return Err(Unplaced::Exhausted),
            };
            let lease = match lease {
                Ok(lease) => lease,
                // Only this entry can resume a broken stream, so it plans again.
                Err(Unplaced::Refused(_)) if self.sends > 0 => {
                    tokio::time::sleep(REPLAN_PAUSE).await;
                    continue;
                }
                Err(unplaced) => {
                    let (limited, of) = self.in_need();
                    event!("unplaced", request = %self.call.id, reason = ?unplaced, waited_ms = now().since(self.started).as_millis(), limited, of);
                    return Err(unplaced);
                }
            };
            let held = match self.locate(&lease.placement.team) {
                Some((record, found)) => self.hold(found).await.map(|held| (record, held)),
                // The leader has not learned yet that an engine is gone.
                None => None,
            };
            let Some((record, (helpers, _hold))) = held else {
                drop(lease);
                tokio::time::sleep(REPLAN_PAUSE).await;
                continue;
            };
            return Ok(Target { record, helpers, place: Place::Engine { lease, _hold } });
        }
    }

    /// Returns the error of a request that no replica of the service accepts now.
    fn without_replicas(&self) -> Unplaced {
        if self.gateway.roster.borrow().is_emptied(&self.service) {
            return Unplaced::Refused(EMPTIED_RETRY);
        }
        match rests::soonest(&self.gateway, &self.service) {
            Some(rest) if !rest.is_zero() => Unplaced::Refused(spread(rest)),
            _ => Unplaced::Exhausted,
        }
    }

    /// Waits until every engine of the service is in backoff for this entry beyond `until`. Returns the time until the
    /// first backoff ends.
    async fn all_rest_beyond(&self, until: Moment) -> Duration {
        loop {
            let asked = self.gateway.rests.asked();
            match rests::soonest(&self.gateway, &self.service) {
                Some(rest) if now() + rest > until && !rest.is_zero() => return rest,
                _ => asked.await,
            }
        }
    }

    /// Returns the number of rate-limited replicas of the service, and the number of its usable replicas.
    fn in_need(&self) -> (usize, usize) {
        let roster = self.gateway.roster.borrow();
        let limited = roster.usable(&self.service).filter(|record| self.gateway.limits.is_limited(&record.id)).count();
        (limited, roster.usable(&self.service).count())
    }

    /// Returns the planner's description of the prompt.
    fn prompt(&self, tokens: u64) -> planner::Job {
        let own_priority = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        planner::Job {
            prompt: tokens,
            output: self.call.output_tokens,
            aim: self.started + self.route.aim,
            gap_ms: self.route.gap_aim.as_secs_f64() * 1e3,
            deadline: self.deadline.min(self.started + self.route.patience()),
            priority: own_priority.unwrap_or(self.route.priority),
            work: Some(self.work),
        }
    }

    /// Returns the writer and the helpers of a team. Returns `None` if the writer, or a helper that must hold memory,
    /// no longer accepts requests.
    fn locate(&self, team: &Team) -> Option<(Record, Vec<Found>)> {
        let open = |id: &Name| self.gateway.open_replica(id);
        let mut found = Vec::new();
        for helper in &team.helpers {
            match open(&helper.engine) {
                Some(record) => {
                    let helper = Found {
                        helper: dialect::Helper { address: record.address, memory: None },
                        holds: helper.holds,
                    };
                    found.push(helper);
                }
                None if helper.holds > 0 => return None,
                None => {}
            }
        }
        Some((open(&team.writer)?, found))
    }

    /// Reserves the memory of a prompt at its helpers, either all of it or none. The reservation is absent if no helper
    /// needs to hold memory.
    async fn hold(&self, found: Vec<Found>) -> Option<(Vec<dialect::Helper>, Option<Hold>)> {
        let holders = found.iter().filter(|found| found.holds > 0);
        let wants: Vec<(Name, u64)> = holders.map(|found| (found.helper.address.clone(), found.holds)).collect();
        let mut helpers: Vec<dialect::Helper> = found.into_iter().map(|found| found.helper).collect();
        if wants.is_empty() {
            return Some((helpers, None));
        }
        let hold = hold::take(&self.call.id, wants, self.gateway.bounds().hold()).await?;
        for helper in &mut helpers {
            helper.memory = hold.id(&helper.address);
        }
        // Reserved memory is filled in the order of the list, so the helpers that hold memory come first.
        helpers.sort_by_key(|helper| helper.memory.is_none());
        Some((helpers, Some(hold)))
    }
}
