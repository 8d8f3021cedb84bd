//! Admission queue: prompts wait here until engines are granted to them.
//!
//! Each entry has a planner for every service with engines. While another entry is the leader, which plans for all
//! entries, prompts are submitted to it. The local planner then only follows the grants, so that it can take over at
//! once when the leader is lost. [`follower`] has the connection to the leader, [`leader`] the connections to
//! followers, and this module has the prompts of this entry.

mod follower;
mod leader;
mod prediction;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use coord::distance::Distances;
use coord::engine::Profile;
use coord::name::Name;
use coord::planner::{Features, HeldBack, Id, Job, Planner, Policy, Reason, Rejection, ReservationCounts, Team};
use coord::quarantine::Fingerprint;
use coord::time::Moment;
use tokio::sync::{Notify, mpsc, oneshot};

use self::follower::LeaderChannel;
use super::now;
use super::peer_protocol::{FollowerMessage, HEARTBEAT_INTERVAL, LeaderMessage, Placement, PromptSpec};
use crate::{metric, util};

/// Interval at which waiting prompts are checked without a triggering event. Engines become free at times that the
/// planner's model predicts, which is accurate to a few milliseconds.
const PLAN_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which waiting prompts find no engines, without interruption, after which the log explains why. It is longer
/// than one pass of a full engine.
const EXPLAIN_AFTER: Duration = Duration::from_millis(200);
/// Minimum interval between two such log lines.
const EXPLAIN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the process checks whether it was suspended.
const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two checks for which the process counts as suspended. Followers give up an unresponsive leader
/// one heartbeat later.
const MIN_SUSPENSION: Duration = HEARTBEAT_INTERVAL.saturating_mul(2);
/// Entry number of this process in prompt ids. Followers have the number of their connection.
const OWN_ENTRY: u64 = 0;

/// A prompt that waits for a grant.
struct WaitingPrompt {
    service: Name,
    job: Job,
    sender: oneshot::Sender<Result<Lease, PlacementError>>,
}

/// Reason why a prompt got no engines.
#[derive(Clone, Copy, Debug)]
pub enum PlacementError {
    /// The prompt was withdrawn from the queue.
    Withdrawn,
    /// The prompt waited for the maximum time, or no replica accepts requests.
    Exhausted,
    /// The prompt could not be placed before its deadline. Contains what the caller is told.
    Refused(Rejection),
}

impl PlacementError {
    /// Returns the name of the reason in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            PlacementError::Withdrawn => "withdrawn",
            PlacementError::Exhausted => "exhausted",
            PlacementError::Refused(rejection) => rejection.reason.as_str(),
        }
    }

    /// Returns the retry delay for the caller, if it is known.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            PlacementError::Refused(rejection) => Some(rejection.retry_after),
            PlacementError::Withdrawn | PlacementError::Exhausted => None,
        }
    }
}

/// A prompt whose engines have been granted.
struct GrantedPrompt {
    service: Name,
    job: Job,
    team: Team,
    /// Whether the first event of the stream has not arrived yet.
    is_prefilling: bool,
}

/// Admission queue of an entry, with its planners.
pub struct Queue {
    /// Policy of the planners.
    policy: Policy,
    /// Failure domain of this entry.
    failure_domain: Name,
    /// Planners by service.
    planners: RefCell<HashMap<Name, Planner>>,
    /// Fingerprints of requests that are suspected of crashing engines.
    suspects: RefCell<Vec<Fingerprint>>,
    /// Waiting prompts of this entry, by number.
    waiting: RefCell<HashMap<u64, WaitingPrompt>>,
    /// Granted prompts of this entry, by number.
    running: RefCell<HashMap<u64, GrantedPrompt>>,
    /// Connection to the leader, or `None` while this entry plans for itself.
    leader: RefCell<Option<LeaderChannel>>,
    /// Followers of this entry, by their local number.
    followers: RefCell<HashMap<u64, mpsc::Sender<LeaderMessage>>>,
    /// Failure domains of the followers, by their local number.
    follower_locations: RefCell<HashMap<u64, Name>>,
    next_number: Cell<u64>,
    next_follower: Cell<u64>,
    /// Time of the last log line that explains why prompts wait.
    last_explained: Cell<Moment>,
    /// Time of the last report of the prediction error.
    last_prediction_report: Cell<Moment>,
    /// Time of the last check for a suspension, or `None` while no first events are expected.
    last_check: Cell<Option<Moment>>,
    /// Notified when a prefill starts, after which its first event is expected.
    prefill_started: Notify,
    /// Notified when an event may allow a prompt to start.
    plan_requested: Notify,
}

/// Lease of the engines that a prompt was granted. Dropping it tells the planner that the prompt is complete.
///
/// The lease is created at the time of the grant, not when the waiting task receives it. The waiting task may be gone
/// or give up at the same time, and without a lease the engines would then count as taken for the rest of the process's
/// life.
pub struct Lease {
    queue: Weak<Queue>,
    number: u64,
    /// Granted engines, and the time after which they count as unresponsive.
    pub placement: Placement,
}

impl Lease {
    /// Returns the number by which the planner knows the prompt.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Reports that the engines are unresponsive.
    pub fn report_unresponsive(&self) {
        if let Some(queue) = self.queue.upgrade() {
            queue.record_unresponsive(self.number);
        }
    }

    /// Reports that the first event has arrived, so that prefill is complete.
    pub fn report_first_event(&self) {
        if let Some(queue) = self.queue.upgrade() {
            queue.record_first_event(self.number);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(queue) = self.queue.upgrade() {
            queue.finish_prompt(self.number);
        }
    }
}

/// Withdraws a waiting prompt on drop, when its caller no longer waits.
struct WithdrawGuard<'a>(&'a Queue, u64);

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        let Some(waiter) = self.0.waiting.borrow_mut().remove(&self.1) else { return };
        self.0.end_prompt(&waiter.service, self.1);
    }
}

impl Queue {
    /// Creates an admission queue without engines.
    pub fn new(policy: Policy, failure_domain: Name) -> Rc<Self> {
        Rc::new(Self {
            policy,
            failure_domain,
            planners: RefCell::default(),
            suspects: RefCell::default(),
            waiting: RefCell::default(),
            running: RefCell::default(),
            leader: RefCell::default(),
            followers: RefCell::default(),
            follower_locations: RefCell::default(),
            next_number: Cell::new(0),
            next_follower: Cell::new(OWN_ENTRY + 1),
            last_explained: Cell::default(),
            last_prediction_report: Cell::default(),
            last_check: Cell::default(),
            prefill_started: Notify::new(),
            plan_requested: Notify::new(),
        })
    }

    /// Sets the engines of a service, and the features that its planner uses.
    pub fn set_engines(
        &self,
        service: &Name,
        profile: &Arc<Profile>,
        engines: impl Iterator<Item = Name>,
        features: Features,
    ) {
        let engines: Vec<(Name, Arc<Profile>)> = engines.map(|name| (name, profile.clone())).collect();
        let mut planners = self.planners.borrow_mut();
        let planner = planners.entry(service.clone()).or_insert_with(|| self.new_planner());
        planner.set_engines(engines);
        planner.set_features(features);
    }

    /// Returns whether the planner of a service refuses each prompt that waits for too long.
    pub fn has_forecasts(&self, service: &Name) -> bool {
        self.planners.borrow().get(service).is_some_and(Planner::has_forecasts)
    }

    /// Returns whether engines of a service are reserved for long prompts.
    pub fn has_reservations(&self, service: &Name) -> bool {
        self.planners.borrow().get(service).is_some_and(|planner| planner.features().reservations)
    }

    fn new_planner(&self) -> Planner {
        let mut planner = Planner::new(self.policy, util::incarnation().0);
        planner.set_suspects(self.suspects.borrow().iter().copied());
        planner.set_entry_location(OWN_ENTRY, self.failure_domain.clone());
        for (entry, failure_domain) in &*self.follower_locations.borrow() {
            planner.set_entry_location(*entry, failure_domain.clone());
        }
        planner
    }

    /// Sets the delays between failure domains, and the failure domain of each engine of a service.
    pub fn set_locations(&self, service: &Name, distances: &Distances, engines: impl Iterator<Item = (Name, Name)>) {
        self.with_planner(service, |planner| planner.set_locations(distances.clone(), engines));
    }

    /// Records that an engine restarted under the same name.
    pub fn reset_engine(&self, service: &Name, engine: &Name) {
        self.with_planner(service, |planner| planner.reset_engine(engine));
        self.request_planning();
    }

    /// Sets the rate limit of an engine, in requests per second, and the fraction of it that this entry may grant.
    pub fn set_rate_limit(&self, engine: &Name, rate: Option<f64>, share: f64) {
        let now = now();
        self.planners.borrow_mut().values_mut().for_each(|planner| planner.set_limit(engine, rate, share, now));
        self.request_planning();
    }

    /// Restarts the accounting of rate limits, because this entry takes over from another one whose recent grants it
    /// does not know.
    pub fn reset_limit_accounting(&self) {
        let now = now();
        self.planners.borrow_mut().values_mut().for_each(|planner| planner.reset_limits(now));
    }

    /// Sets the fingerprints of requests that are suspected of crashing engines.
    pub fn set_suspects(&self, suspects: Vec<Fingerprint>) {
        let mut planners = self.planners.borrow_mut();
        planners.values_mut().for_each(|planner| planner.set_suspects(suspects.iter().copied()));
        *self.suspects.borrow_mut() = suspects;
        self.request_planning();
    }

    /// Waits until engines are granted to a prompt. Dropping the future withdraws the prompt.
    pub async fn request_engines(self: &Rc<Self>, service: &Name, job: Job) -> Result<Lease, PlacementError> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (sender, receiver) = oneshot::channel();
        let withdraw_guard = WithdrawGuard(self, number);
        self.waiting.borrow_mut().insert(number, WaitingPrompt { service: service.clone(), job, sender });
        let spec = PromptSpec::from_job(&job, now());
        if !self.report_to_leader(FollowerMessage::Submit { number, service: service.clone(), spec }) {
            self.with_planner(service, |planner| planner.submit(own_id(number), job));
            self.request_planning();
        }
        let result = receiver.await.map_err(|_| PlacementError::Withdrawn)?;
        drop(withdraw_guard);
        result
    }

    /// Refuses all prompts of this entry that wait for engines of a service.
    pub fn refuse_all(&self, service: &Name, reason: Reason, retry_after: Duration) {
        let is_of_service = |waiter: &WaitingPrompt| waiter.service == *service;
        let waiting = self.waiting.borrow();
        let numbers: Vec<u64> =
            waiting.iter().filter(|(_, waiter)| is_of_service(waiter)).map(|(number, _)| *number).collect();
        drop(waiting);
        for number in numbers {
            self.refuse_prompt(number, Rejection::new(reason, retry_after));
            self.end_prompt(service, number);
        }
    }

    /// Returns the engines to poll for their slowdown factor, with their services. The list is empty at a follower,
    /// since its leader polls for it.
    pub fn engines_to_poll(&self) -> Vec<(Name, Name)> {
        if self.has_leader() {
            return Vec::new();
        }
        let mut planners = self.planners.borrow_mut();
        let by_service = planners.iter_mut().map(|(service, planner)| (service, planner.engines_to_probe(now())));
        by_service.flat_map(|(service, engines)| engines.into_iter().map(|engine| (service.clone(), engine))).collect()
    }

    /// Sets the slowdown factor that an engine reports.
    pub fn record_slowdown(&self, service: &Name, engine: &Name, slowdown: f64) {
        self.with_planner(service, |planner| {
            if planner.set_slowdown(engine, slowdown) {
                crate::event!("pace", peer = &**engine, pace = slowdown);
            }
        });
    }

    /// Records that an engine failed a prompt. Services without engines have no planner at any entry, so their failures
    /// are ignored.
    pub fn record_failure(&self, service: &Name, engine: &str) {
        if !self.planners.borrow().contains_key(service) {
            return;
        }
        let engine = Name::from(engine);
        self.with_planner(service, |planner| planner.record_failure(OWN_ENTRY, &engine, now()));
        self.report_to_leader(FollowerMessage::Failed { service: service.clone(), engine });
    }

    /// Records that an engine asked this entry for a backoff. Services without engines have no planner at any entry, so
    /// their backoffs are ignored.
    pub fn record_backoff(&self, service: &Name, engine: &Name, backoff: Duration) {
        if !self.planners.borrow().contains_key(service) {
            return;
        }
        self.with_planner(service, |planner| planner.set_backoff(OWN_ENTRY, engine, backoff, now()));
        self.report_to_leader(FollowerMessage::EngineBackoff {
            service: service.clone(),
            engine: engine.clone(),
            backoff,
        });
    }

    /// Grants engines to waiting prompts after each event, and periodically while prompts wait.
    ///
    /// Simultaneous events are handled together: this task runs after all tasks that have received a message by the
    /// time of its wake-up. One planning pass for each of the 1,100 messages per second from 103 entries took the whole
    /// half core of the leader.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.plan_requested.notified().await;
            while self.grant_waiting() {
                tokio::select! {
                    () = self.plan_requested.notified() => {}
                    () = tokio::time::sleep(PLAN_INTERVAL) => {}
                }
            }
        }
    }

    /// Checks whether this process was suspended, while first events are expected. Otherwise no report can be late, and
    /// the checks would use CPU time of which an entry may have little.
    pub async fn watch_for_suspension(self: Rc<Self>) {
        loop {
            self.prefill_started.notified().await;
            self.last_check.set(Some(now()));
            while self.expects_first_events() {
                tokio::time::sleep(SUSPENSION_CHECK_INTERVAL).await;
                self.check_suspension();
            }
            self.last_check.set(None);
        }
    }

    /// Returns whether first events are expected, either at this entry or at its followers.
    fn expects_first_events(&self) -> bool {
        !self.followers.borrow().is_empty() || self.running.borrow().values().any(|running| running.is_prefilling)
    }

    /// Checks whether this process was suspended since the last check. After a suspension, all events that arrived in
    /// the meantime are read at once and appear late.
    fn check_suspension(&self) {
        let Some(last_check) = self.last_check.get() else { return };
        let now = now();
        self.last_check.set(Some(now));
        let suspension = now.since(last_check);
        if suspension < MIN_SUSPENSION {
            return;
        }
        crate::event!("suspended", for_ms = suspension.as_millis());
        self.planners.borrow_mut().values_mut().for_each(|planner| planner.postpone_first_events(None, suspension));
        self.report_to_leader(FollowerMessage::Suspended(suspension));
    }

    /// Wakes the task that grants engines.
    fn request_planning(&self) {
        self.plan_requested.notify_one();
    }

    /// Records that the first event of a granted prompt arrived.
    fn record_first_event(&self, number: u64) {
        let service = match self.running.borrow_mut().get_mut(&number) {
            Some(running) => {
                running.is_prefilling = false;
                running.service.clone()
            }
            None => return,
        };
        self.with_planner(&service, |planner| planner.record_first_event(own_id(number), now()));
        self.report_to_leader(FollowerMessage::FirstEvent { number, service });
        self.request_planning();
    }

    /// Records that the engines of a granted prompt are unresponsive.
    fn record_unresponsive(&self, number: u64) {
        let Some(service) = self.running.borrow().get(&number).map(|running| running.service.clone()) else { return };
        self.with_planner(&service, |planner| planner.mark_unresponsive(own_id(number), now()));
        self.report_to_leader(FollowerMessage::Unresponsive { number, service });
    }

    /// Records that a granted prompt is complete.
    fn finish_prompt(&self, number: u64) {
        let Some(running) = self.running.borrow_mut().remove(&number) else { return };
        self.end_prompt(&running.service, number);
    }

    /// Records that a prompt of this entry is complete or withdrawn.
    fn end_prompt(&self, service: &Name, number: u64) {
        self.with_planner(service, |planner| planner.finish(own_id(number), now()));
        self.report_to_leader(FollowerMessage::End { number, service: service.clone() });
        self.request_planning();
    }

    /// Calls `act` with the planner of a service, if the service has engines.
    fn with_planner(&self, service: &Name, act: impl FnOnce(&mut Planner)) {
        self.check_suspension();
        if let Some(planner) = self.planners.borrow_mut().get_mut(service) {
            act(planner);
        }
    }

    /// Starts a waiting prompt of this entry. Returns whether the prompt was still waiting. `by_leader` tells that the
    /// leader granted it, so that the local planner does not know it yet.
    fn start_prompt(self: &Rc<Self>, number: u64, placement: Placement, by_leader: bool) -> bool {
        let Some(waiter) = self.waiting.borrow_mut().remove(&number) else { return false };
        let WaitingPrompt { service, job, sender } = waiter;
        let team = placement.team.clone();
        if by_leader {
            self.with_planner(&service, |planner| planner.add_granted(own_id(number), &job, team.clone(), true, now()));
        }
        self.running.borrow_mut().insert(number, GrantedPrompt { service, job, team, is_prefilling: true });
        self.prefill_started.notify_one();
        let lease = Lease { queue: Rc::downgrade(self), number, placement };
        // If the waiting task is gone, the lease is dropped here and releases the engines.
        drop(sender.send(Ok(lease)));
        true
    }

    /// Grants engines to waiting prompts. Returns whether prompts still wait.
    fn grant_waiting(self: &Rc<Self>) -> bool {
        self.check_suspension();
        let mut grants = Vec::new();
        let mut refusals = Vec::new();
        let mut has_waiting = false;
        let mut held_back = HeldBack::default();
        for (service, planner) in self.planners.borrow_mut().iter_mut() {
            if planner.has_waiting() {
                let counts = planner.reservation_counts();
                grants.extend(planner.grant_ready(now()));
                refusals.extend(planner.refuse(now()));
                metric::record_promises(planner.take_promise_counts());
                if planner.has_forecasts() {
                    metric::set_forecast_margins(planner.forecast_margin(true), planner.forecast_margin(false));
                }
                has_waiting |= planner.has_waiting();
                held_back += planner.held_back();
                report_reservations(service, planner, counts);
            }
        }
        metric::set_held_back(held_back);
        self.log_waiting_reasons();
        self.report_prediction_error();
        for grant in grants {
            self.deliver_grant(grant);
        }
        for refusal in refusals {
            self.deliver_refusal(refusal);
        }
        has_waiting
    }

    /// Logs periodically why prompts wait.
    fn log_waiting_reasons(&self) {
        let now = now();
        if now.since(self.last_explained.get()) < EXPLAIN_INTERVAL {
            return;
        }
        for (service, planner) in &*self.planners.borrow() {
            let (held_time, waiting, counts) = planner.starvation(now);
            if held_time >= EXPLAIN_AFTER {
                self.last_explained.set(now);
                let exclusions: Vec<String> = planner
                    .exclusions()
                    .iter()
                    .map(|(engine, reason)| format!("{engine}:{}", reason.as_str()))
                    .collect();
                let margin_ms =
                    |is_short| planner.has_forecasts().then(|| planner.forecast_margin(is_short).as_millis());
                let held_back = planner.features().fair_shares.then(|| tracing::field::debug(planner.held_back()));
                crate::event!("prompts-waiting", service = %service, for_ms = held_time.as_millis(), waiting, held_back, short_margin_ms = margin_ms(true), long_margin_ms = margin_ms(false), counts = ?counts, exclusions = exclusions.join(" "));
            }
        }
    }
}

/// Logs the reservations that the last pump changed, and counts those since `previous`. The planner's entry knows a
/// prompt by its number; the entry that has the prompt logs the number with the request's id.
fn report_reservations(service: &Name, planner: &Planner, previous: ReservationCounts) {
    for change in planner.reservation_changes() {
        let Id { entry, number } = change.id;
        crate::event!("reservation", service = %service, entry, number, outcome = change.outcome.as_str(), engines = change.engines, starts_in_ms = change.starts_in.as_millis());
    }
    let counts = planner.reservation_counts();
    metric::record_reservations(&[
        ("made", counts.made - previous.made),
        ("kept", counts.kept - previous.kept),
        ("moved", counts.moved - previous.moved),
        ("given-up", counts.given_up - previous.given_up),
    ]);
}

fn own_id(number: u64) -> Id {
    Id { entry: OWN_ENTRY, number }
}
