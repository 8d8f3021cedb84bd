//! Long random runs of the scheduler, checked against a small model.
//!
//! The invariants inside the scheduler panic in tests. The model adds checks that need an outside view: nothing
//! starts twice, nothing starts after it was cancelled, and the memory in use equals the requests of started jobs and
//! held spans.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coord::claim::Key;
use coord::estimate::Estimate;
use coord::name::Attempt;
use coord::queue::{Fifo, Job, Order, Slack};
use coord::scheduler::{Action, CancelOutcome, KeyState, Limits, Scheduler};
use coord::time::Moment;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const MEMORY_TOKENS: u64 = 10_000;
const SLOTS: usize = 4;

/// Attempts and spans used so far, from which the next step is chosen.
#[derive(Clone, Debug, Default)]
struct RequestLog {
    next_id: u128,
    attempts: Vec<u128>,
    spans: Vec<u128>,
}

#[derive(Clone, Debug)]
enum Step {
    Offer { attempt: u128, prompt: u64, output: u64, time_left_ms: u64, workspace: u8 },
    OfferDuplicate(u128),
    Claim { attempt: u128, key: u8 },
    FirstToken(u128),
    Finish(u128),
    Cancel(u128),
    ReserveSpan { span: u128, tokens: u64, lease_ms: u64 },
    ReleaseSpan(u128),
    SetUnhealthy(bool),
    AdvanceTime(u64),
}

struct Model;

fn select_any(known_ids: &[u128]) -> BoxedStrategy<u128> {
    if known_ids.is_empty() { Just(0).boxed() } else { prop::sample::select(known_ids.to_vec()).boxed() }
}

impl ReferenceStateMachine for Model {
    type State = RequestLog;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<RequestLog> {
        Just(RequestLog { next_id: 1, ..RequestLog::default() }).boxed()
    }

    fn transitions(state: &RequestLog) -> BoxedStrategy<Step> {
        let next_id = state.next_id;
        let attempt = select_any(&state.attempts);
        let span = select_any(&state.spans);
        prop_oneof![
            6 => (1..6_000u64, 0..500u64, 1..20_000u64, 0..3u8).prop_map(
                move |(prompt, output, time_left_ms, workspace)| {
                    Step::Offer { attempt: next_id, prompt, output, time_left_ms, workspace }
                }
            ),
            1 => attempt.clone().prop_map(Step::OfferDuplicate),
            1 => (attempt.clone(), 0..4u8).prop_map(|(attempt, key)| Step::Claim { attempt, key }),
            3 => attempt.clone().prop_map(Step::FirstToken),
            4 => attempt.clone().prop_map(Step::Finish),
            2 => attempt.prop_map(Step::Cancel),
            // Cancels an attempt before it is offered, as when messages are reordered.
            1 => (1..4u128).prop_map(move |distance| Step::Cancel(next_id + distance)),
            2 => (1..8_000u64, 1..3_000u64)
                .prop_map(move |(tokens, lease_ms)| Step::ReserveSpan { span: next_id, tokens, lease_ms }),
            1 => span.prop_map(Step::ReleaseSpan),
            1 => any::<bool>().prop_map(Step::SetUnhealthy),
            4 => (1..2_000u64).prop_map(Step::AdvanceTime),
        ]
        .boxed()
    }

    fn apply(mut state: RequestLog, step: &Step) -> RequestLog {
        match step {
            Step::Offer { attempt, .. } => state.attempts.push(*attempt),
            Step::ReserveSpan { span, .. } => state.spans.push(*span),
            _ => {}
        }
        state.next_id += 1;
        state
    }
}

struct Harness {
    scheduler: Scheduler,
    now: Moment,
    jobs: BTreeMap<u128, Job>,
    running: BTreeSet<u128>,
    started: BTreeSet<u128>,
    cancelled: BTreeSet<u128>,
    spans: BTreeMap<u128, u64>,
    key_owners: BTreeMap<u8, u128>,
}

impl Harness {
    fn new(order: Box<dyn Order>) -> Self {
        let limits = Limits {
            slots: SLOTS,
            memory_tokens: MEMORY_TOKENS,
            max_queued: 8,
            short_tokens: 500,
            short_share: 0.2,
            split_long_by_length: true,
            retention: Duration::from_secs(600),
        };
        let estimate = Estimate::new(10_000.0, Duration::from_millis(5));
        Self {
            scheduler: Scheduler::new(limits, estimate, order),
            now: Moment::from_millis(3_600_000),
            jobs: BTreeMap::new(),
            running: BTreeSet::new(),
            started: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            spans: BTreeMap::new(),
            key_owners: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Offer { attempt, prompt, output, time_left_ms, workspace } => {
                let job = Job {
                    attempt: Attempt(attempt),
                    workspace: format!("w{workspace}").into(),
                    weight: f64::from(workspace + 1),
                    prefill_tokens: prompt,
                    memory_tokens: prompt + output,
                    output_tokens: output,
                    priority: 0,
                    arrived: self.now,
                    deadline: self.now + Duration::from_millis(time_left_ms),
                    cost: self.scheduler.cost(prompt),
                };
                if self.scheduler.offer(job.clone(), self.now).is_ok() {
                    self.jobs.insert(attempt, job);
                }
            }
            Step::OfferDuplicate(attempt) => {
                if let Some(job) = self.jobs.get(&attempt).cloned() {
                    assert!(self.scheduler.offer(job, self.now).is_err(), "an attempt is accepted once");
                }
            }
            Step::Claim { attempt, key } => self.claim(attempt, key),
            Step::FirstToken(attempt) => self.scheduler.first_token(Attempt(attempt), self.now),
            Step::Finish(attempt) if self.running.remove(&attempt) => {
                self.scheduler.finish(Attempt(attempt), 3, self.now);
            }
            Step::Finish(_) => {}
            Step::Cancel(attempt) => self.cancel(attempt),
            Step::ReserveSpan { span, tokens, lease_ms } => {
                let until = self.now + Duration::from_millis(lease_ms);
                if self.scheduler.reserve_span(Attempt(span), tokens, until, self.now).is_ok() {
                    self.spans.insert(span, tokens);
                }
            }
            Step::ReleaseSpan(span) => {
                if self.scheduler.release_span(Attempt(span)) {
                    self.confirm_freed(span);
                }
            }
            Step::SetUnhealthy(is_unhealthy) => self.scheduler.set_unhealthy(is_unhealthy),
            Step::AdvanceTime(ms) => self.now = self.now + Duration::from_millis(ms),
        }
        for action in self.scheduler.advance(self.now) {
            self.apply_action(action);
        }
        let jobs: u64 = self.running.iter().map(|attempt| self.jobs[attempt].memory_tokens).sum();
        let spans: u64 = self.spans.values().sum();
        assert_eq!(
            self.scheduler.memory_held(),
            jobs + spans,
            "the memory in use is that of running jobs and held spans"
        );
        assert_eq!(self.scheduler.running(), self.running.len());
    }

    fn claim(&mut self, attempt: u128, key: u8) {
        let key_name = Key { workspace: "w".into(), key: format!("k{key}").into() };
        match self.scheduler.claim_key(&key_name, Attempt(attempt), self.now) {
            KeyState::First => assert_eq!(self.key_owners.insert(key, attempt), None, "a key is bound once"),
            KeyState::Running(owner) | KeyState::Done(owner) => assert_eq!(self.key_owners.get(&key), Some(&owner.0)),
        }
    }

    fn cancel(&mut self, attempt: u128) {
        match self.scheduler.cancel_unstarted(Attempt(attempt), None, self.now) {
            CancelOutcome::NotRun => {
                assert!(!self.started.contains(&attempt), "a started attempt is never reported as not run");
                self.cancelled.insert(attempt);
            }
            CancelOutcome::Started => assert!(self.started.contains(&attempt), "an unstarted attempt is cancellable"),
        }
    }

    fn confirm_freed(&mut self, span: u128) {
        self.spans.remove(&span);
        self.scheduler.confirm_span_freed(Attempt(span));
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Start(attempt, _) => {
                assert!(self.started.insert(attempt.0), "no attempt starts twice");
                assert!(!self.cancelled.contains(&attempt.0), "no attempt starts after it was cancelled");
                self.running.insert(attempt.0);
            }
            Action::Expire(attempt) => {
                assert!(!self.started.contains(&attempt.0));
                assert!(self.jobs[&attempt.0].deadline <= self.now);
                self.cancelled.insert(attempt.0);
            }
            Action::Evict(attempt) => {
                assert!(!self.started.contains(&attempt.0));
                self.cancelled.insert(attempt.0);
            }
            Action::Cancel(attempt) => {
                assert!(self.jobs[&attempt.0].deadline <= self.now);
                if self.running.remove(&attempt.0) {
                    self.scheduler.finish(attempt, 0, self.now);
                }
            }
            Action::FreeSpan(span) => self.confirm_freed(span.0),
        }
    }
}

struct SlackOrderTest;
struct FifoOrderTest;

impl StateMachineTest for SlackOrderTest {
    type SystemUnderTest = Harness;
    type Reference = Model;

    fn init_test(_: &RequestLog) -> Harness {
        Harness::new(Box::new(Slack { slowdown_weight: 2.0, ttft_weight: 1.0 }))
    }

    fn apply(mut harness: Harness, _: &RequestLog, step: Step) -> Harness {
        harness.step(step);
        harness
    }
}

impl StateMachineTest for FifoOrderTest {
    type SystemUnderTest = Harness;
    type Reference = Model;

    fn init_test(_: &RequestLog) -> Harness {
        Harness::new(Box::new(Fifo))
    }

    fn apply(mut harness: Harness, _: &RequestLog, step: Step) -> Harness {
        harness.step(step);
        harness
    }
}

/// Returns the proptest configuration; `SORRELPASS_LONG=1` runs a hundred times as many cases.
fn config() -> ProptestConfig {
    let cases = if std::env::var_os("SORRELPASS_LONG").is_some() { 20_000 } else { 200 };
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn the_scheduler_keeps_its_invariants_in_slack_order(sequential 1..200 => SlackOrderTest);

    #[test]
    fn the_scheduler_keeps_its_invariants_in_fifo_order(sequential 1..200 => FifoOrderTest);
}
