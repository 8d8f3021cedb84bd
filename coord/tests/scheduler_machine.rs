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
use coord::scheduler::{Action, Limits, Once, Scheduler, Voided};
use coord::time::Moment;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const MEMORY: u64 = 10_000;
const SLOTS: usize = 4;

/// Requests made so far, from which the next step is chosen.
#[derive(Clone, Debug, Default)]
struct Asked {
    next: u128,
    attempts: Vec<u128>,
    spans: Vec<u128>,
}

#[derive(Clone, Debug)]
enum Step {
    Offer { attempt: u128, prompt: u64, output: u64, left_ms: u64, workspace: u8 },
    OfferAgain(u128),
    Claim { attempt: u128, key: u8 },
    FirstToken(u128),
    Finish(u128),
    Void(u128),
    Hold { span: u128, tokens: u64, lease_ms: u64 },
    GiveUp(u128),
    Unhealthy(bool),
    Pass(u64),
}

struct Machine;

fn known(asked: &[u128]) -> BoxedStrategy<u128> {
    if asked.is_empty() { Just(0).boxed() } else { prop::sample::select(asked.to_vec()).boxed() }
}

impl ReferenceStateMachine for Machine {
    type State = Asked;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Asked> {
        Just(Asked { next: 1, ..Asked::default() }).boxed()
    }

    fn transitions(state: &Asked) -> BoxedStrategy<Step> {
        let next = state.next;
        let attempt = known(&state.attempts);
        let span = known(&state.spans);
        prop_oneof![
            6 => (1..6_000u64, 0..500u64, 1..20_000u64, 0..3u8).prop_map(move |(prompt, output, left_ms, workspace)| {
                Step::Offer { attempt: next, prompt, output, left_ms, workspace }
            }),
            1 => attempt.clone().prop_map(Step::OfferAgain),
            1 => (attempt.clone(), 0..4u8).prop_map(|(attempt, key)| Step::Claim { attempt, key }),
            3 => attempt.clone().prop_map(Step::FirstToken),
            4 => attempt.clone().prop_map(Step::Finish),
            2 => attempt.prop_map(Step::Void),
            // A cancellation that arrives before its attempt.
            1 => (1..4u128).prop_map(move |ahead| Step::Void(next + ahead)),
            2 => (1..8_000u64, 1..3_000u64).prop_map(move |(tokens, lease_ms)| Step::Hold { span: next, tokens, lease_ms }),
            1 => span.prop_map(Step::GiveUp),
            1 => any::<bool>().prop_map(Step::Unhealthy),
            4 => (1..2_000u64).prop_map(Step::Pass),
        ]
        .boxed()
    }

    fn apply(mut state: Asked, step: &Step) -> Asked {
        match step {
            Step::Offer { attempt, .. } => state.attempts.push(*attempt),
            Step::Hold { span, .. } => state.spans.push(*span),
            _ => {}
        }
        state.next += 1;
        state
    }
}

struct Run {
    scheduler: Scheduler,
    now: Moment,
    jobs: BTreeMap<u128, Job>,
    running: BTreeSet<u128>,
    started: BTreeSet<u128>,
    voided: BTreeSet<u128>,
    spans: BTreeMap<u128, u64>,
    holders: BTreeMap<u8, u128>,
}

impl Run {
    fn new(order: Box<dyn Order>) -> Self {
        let limits = Limits {
            slots: SLOTS,
            memory_tokens: MEMORY,
            queue: 8,
            short_tokens: 500,
            short_share: 0.2,
            grade_long: true,
            window: Duration::from_secs(600),
        };
        let estimate = Estimate::new(10_000.0, Duration::from_millis(5));
        Self {
            scheduler: Scheduler::new(limits, estimate, order),
            now: Moment::from_millis(3_600_000),
            jobs: BTreeMap::new(),
            running: BTreeSet::new(),
            started: BTreeSet::new(),
            voided: BTreeSet::new(),
            spans: BTreeMap::new(),
            holders: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Offer { attempt, prompt, output, left_ms, workspace } => {
                let job = Job {
                    attempt: Attempt(attempt),
                    workspace: format!("w{workspace}").into(),
                    weight: f64::from(workspace + 1),
                    prefill_tokens: prompt,
                    memory_tokens: prompt + output,
                    output_tokens: output,
                    priority: 0,
                    arrived: self.now,
                    deadline: self.now + Duration::from_millis(left_ms),
                    cost: self.scheduler.cost(prompt),
                };
                if self.scheduler.offer(job.clone(), self.now).is_ok() {
                    self.jobs.insert(attempt, job);
                }
            }
            Step::OfferAgain(attempt) => {
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
            Step::Void(attempt) => self.void(attempt),
            Step::Hold { span, tokens, lease_ms } => {
                let until = self.now + Duration::from_millis(lease_ms);
                if self.scheduler.reserve(Attempt(span), tokens, until, self.now).is_ok() {
                    self.spans.insert(span, tokens);
                }
            }
            Step::GiveUp(span) => {
                if self.scheduler.give_up(Attempt(span)) {
                    self.freed(span);
                }
            }
            Step::Unhealthy(unhealthy) => self.scheduler.set_unhealthy(unhealthy),
            Step::Pass(ms) => self.now = self.now + Duration::from_millis(ms),
        }
        for action in self.scheduler.advance(self.now) {
            self.act(action);
        }
        let jobs: u64 = self.running.iter().map(|attempt| self.jobs[attempt].memory_tokens).sum();
        let spans: u64 = self.spans.values().sum();
        assert_eq!(self.scheduler.memory_held(), jobs + spans, "memory held is what was given out");
        assert_eq!(self.scheduler.running(), self.running.len());
    }

    fn claim(&mut self, attempt: u128, key: u8) {
        let name = Key { workspace: "w".into(), key: format!("k{key}").into() };
        match self.scheduler.once(&name, Attempt(attempt), self.now) {
            Once::First => assert_eq!(self.holders.insert(key, attempt), None, "a key is bound once"),
            Once::Running(holder) | Once::Done(holder) => assert_eq!(self.holders.get(&key), Some(&holder.0)),
        }
    }

    fn void(&mut self, attempt: u128) {
        match self.scheduler.void(Attempt(attempt), None, self.now) {
            Voided::NotRun => {
                assert!(!self.started.contains(&attempt), "what started is never told as not run");
                self.voided.insert(attempt);
            }
            Voided::Started => assert!(self.started.contains(&attempt), "what never started can be voided"),
        }
    }

    fn freed(&mut self, span: u128) {
        self.spans.remove(&span);
        self.scheduler.freed(Attempt(span));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start(attempt, _) => {
                assert!(self.started.insert(attempt.0), "nothing starts twice");
                assert!(!self.voided.contains(&attempt.0), "nothing starts after it was voided");
                self.running.insert(attempt.0);
            }
            Action::Expire(attempt) => {
                assert!(!self.started.contains(&attempt.0));
                assert!(self.jobs[&attempt.0].deadline <= self.now);
                self.voided.insert(attempt.0);
            }
            Action::Evict(attempt) => {
                assert!(!self.started.contains(&attempt.0));
                self.voided.insert(attempt.0);
            }
            Action::Cancel(attempt) => {
                assert!(self.jobs[&attempt.0].deadline <= self.now);
                if self.running.remove(&attempt.0) {
                    self.scheduler.finish(attempt, 0, self.now);
                }
            }
            Action::FreeSpan(span) => self.freed(span.0),
        }
    }
}

struct SlackRun;
struct FifoRun;

impl StateMachineTest for SlackRun {
    type SystemUnderTest = Run;
    type Reference = Machine;

    fn init_test(_: &Asked) -> Run {
        Run::new(Box::new(Slack { slowdown_weight: 2.0, ttft_weight: 1.0 }))
    }

    fn apply(mut run: Run, _: &Asked, step: Step) -> Run {
        run.step(step);
        run
    }
}

impl StateMachineTest for FifoRun {
    type SystemUnderTest = Run;
    type Reference = Machine;

    fn init_test(_: &Asked) -> Run {
        Run::new(Box::new(Fifo))
    }

    fn apply(mut run: Run, _: &Asked, step: Step) -> Run {
        run.step(step);
        run
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
    fn the_scheduler_keeps_its_promises_in_slack_order(sequential 1..200 => SlackRun);

    #[test]
    fn the_scheduler_keeps_its_promises_in_fifo_order(sequential 1..200 => FifoRun);
}
