//! State of all engines at one moment, computed once for all prompts that are placed at that moment.

use std::cell::OnceCell;

use super::engine::Engine;
use super::job::Job;
use super::place::ExcludedEngines;
use super::policy::{MAX_TEAM_SLOWDOWN, Policy};
use crate::quarantine::Fingerprint;
use crate::time::Moment;

/// State of one engine when the snapshot was taken.
#[derive(Clone, Copy, Debug)]
pub struct EngineState {
    /// Prefill that is pending, in milliseconds.
    pub pending_ms: f64,
    /// Time until a new prefill could start, in milliseconds.
    pub wait_ms: f64,
    /// Prefill that fits in before the gap between two events of a decoding answer exceeds its target, in
    /// milliseconds.
    pub prefill_budget_ms: f64,
    /// Duration of a pass without prefill, in milliseconds.
    pub pass_ms: f64,
    /// Smallest gap target among the answers that decode here, in milliseconds; infinite if there is none.
    pub min_gap_target_ms: f64,
    /// KV memory in use, in tokens.
    pub context_tokens: u64,
    /// KV memory that can still be granted, in tokens.
    pub free_memory: u64,
    /// Sequences that decode here, or will once their prompts are prefilled.
    pub sequence_count: usize,
    /// Sequences whose prompts are short.
    pub short_sequence_count: usize,
    /// Time at which the last sequence whose prompt is short is expected to end.
    pub short_until: Moment,
    /// Whether one more answer may decode here.
    pub has_slot: bool,
    /// Whether its circuit breaker admits a request now; true for an engine without a breaker.
    pub breaker_admits: bool,
    /// Whether its circuit breaker is half-open, so that the next request is a trial.
    pub is_half_open: bool,
    /// Whether its announced rate limit, if any, admits one more request now.
    pub is_within_limit: bool,
    /// Fingerprint of a request at this engine that is suspected of crashing engines.
    pub suspect: Option<Fingerprint>,
    /// Slowdown factor; 1.0 is nominal speed.
    pub slowdown: f64,
}

impl EngineState {
    /// Computes the state of an engine at `now`.
    fn of(engine: &Engine, policy: &Policy, now: Moment) -> Self {
        let (pass_ms, min_gap_target_ms, context_tokens) =
            (engine.pass_ms(), engine.min_gap_target_ms(), engine.context_tokens());
        let pending_ms = engine.pending_ms(now);
        let profile = engine.profile();
        let grantable_memory = (profile.memory as f64 * policy.memory_share) as u64;
        Self {
            pending_ms,
            wait_ms: pending_ms + pass_ms,
            prefill_budget_ms: min_gap_target_ms * policy.gap_share - pass_ms - pending_ms,
            pass_ms,
            min_gap_target_ms,
            context_tokens,
            free_memory: grantable_memory.saturating_sub(context_tokens),
            sequence_count: engine.sequence_count(),
            short_sequence_count: engine.short_sequence_count(),
            short_until: engine.short_until(),
            has_slot: (engine.sequence_count() as f64) < f64::from(profile.slots) * policy.slot_share,
            breaker_admits: engine.breaker.is_none_or(|breaker| breaker.allows_request(now)),
            is_half_open: engine.breaker.is_some_and(|breaker| breaker.is_half_open(now)),
            is_within_limit: engine.limit.is_none_or(|limit| limit.allows_request(now)),
            suspect: engine.suspect(),
            slowdown: engine.slowdown(),
        }
    }

    /// Returns whether the engine is so slow that it would hold up a team.
    pub fn is_slow(&self) -> bool {
        self.slowdown > MAX_TEAM_SLOWDOWN
    }

    /// Returns whether the engine has a slot and memory for the answer of a job.
    pub fn fits(&self, job: &Job) -> bool {
        self.has_slot && self.free_memory >= job.memory_tokens()
    }
}

/// Engines that can prefill a part of a long prompt now.
#[derive(Clone, Debug)]
pub struct PrefillEngines {
    /// Indexes of the engines in the fleet, shortest wait first.
    pub by_wait: Vec<usize>,
    /// Prefill budgets of the same engines, in milliseconds, largest first.
    budgets_ms: Vec<f64>,
}

impl PrefillEngines {
    /// Returns the number of engines whose prefill budget is at least `ms` milliseconds.
    pub fn count_with_budget(&self, ms: f64) -> usize {
        self.budgets_ms.partition_point(|budget| *budget >= ms)
    }
}

/// Rules that exclude engines at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Eligibility {
    /// Whether engines that failed recently are excluded.
    excludes_failing: bool,
    /// Whether engines that run a suspected request are excluded.
    excludes_suspects: bool,
}

impl Eligibility {
    /// Returns the rules for a suspected request, which may share an engine with other suspects.
    pub fn allow_suspects(self) -> Self {
        Self { excludes_suspects: false, ..self }
    }

    /// Returns the rules with recently failed engines allowed. Used where all rules together leave few engines:
    /// trying a failed engine is better than holding the prompt.
    pub fn allow_failing(self) -> Self {
        Self { excludes_failing: false, ..self }
    }

    /// Returns whether an engine is eligible. An exhausted rate limit always excludes an engine, however few are
    /// left.
    pub fn is_eligible(&self, state: &EngineState) -> bool {
        state.is_within_limit
            && (!self.excludes_failing || state.breaker_admits)
            && !(self.excludes_suspects && state.suspect.is_some())
    }
}

/// Rule that excludes an engine from short prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// The engine's rate limit is exhausted.
    RateLimited,
    /// The engine failed too often recently.
    Failing,
    /// A trial request is in flight at the engine.
    TrialInFlight,
    /// The engine runs a request that is suspected of crashing engines.
    Suspect,
    /// All slots of the engine are granted.
    Full,
    /// The engine's pending prefill would already exceed the gap target of an answer that it decodes.
    Prefilling,
}

impl Exclusion {
    /// Returns the name of the rule in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Exclusion::RateLimited => "limited",
            Exclusion::Failing => "failing",
            Exclusion::TrialInFlight => "on-trial",
            Exclusion::Suspect => "suspect",
            Exclusion::Full => "full",
            Exclusion::Prefilling => "reading",
        }
    }
}

/// Number of engines by state, logged to explain why prompts wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Engines of the service.
    pub engines: usize,
    /// Eligible engines.
    pub eligible: usize,
    /// Engines whose circuit breakers admit no request.
    pub failing: usize,
    /// Engines whose circuit breakers are half-open.
    pub half_open: usize,
    /// Engines whose rate limits are exhausted.
    pub rate_limited: usize,
    /// Engines without a free slot.
    pub full: usize,
    /// Engines with pending prefill.
    pub prefilling: usize,
}

/// State of all engines when the snapshot was taken.
#[derive(Debug, Default)]
pub struct FleetSnapshot {
    states: Vec<EngineState>,
    /// Number of engines whose circuit breakers admit requests.
    admitting: usize,
    /// Number of engines whose circuit breakers are half-open.
    half_open: usize,
    /// Number of engines that run a suspected request.
    with_suspect: usize,
    slow: usize,
    /// Engines that can prefill for entries without excluded engines, computed on first use.
    prefill_engines: OnceCell<PrefillEngines>,
}

impl FleetSnapshot {
    /// Recomputes the state of all engines.
    pub fn refresh(&mut self, engines: &[Engine], policy: &Policy, now: Moment) {
        self.states.clear();
        self.states.extend(engines.iter().map(|engine| EngineState::of(engine, policy, now)));
        self.admitting = self.states.iter().filter(|state| state.breaker_admits).count();
        self.half_open = self.states.iter().filter(|state| state.is_half_open).count();
        self.slow = self.states.iter().filter(|state| state.is_slow()).count();
        self.with_suspect = self.states.iter().filter(|state| state.suspect.is_some()).count();
        self.prefill_engines.take();
    }

    /// Recomputes the state of the engine at `index`.
    pub fn update(&mut self, index: usize, engine: &Engine, policy: &Policy, now: Moment) {
        let state = EngineState::of(engine, policy, now);
        let previous = std::mem::replace(&mut self.states[index], state);
        self.admitting = self.admitting + usize::from(state.breaker_admits) - usize::from(previous.breaker_admits);
        self.half_open = self.half_open + usize::from(state.is_half_open) - usize::from(previous.is_half_open);
        self.with_suspect =
            self.with_suspect + usize::from(state.suspect.is_some()) - usize::from(previous.suspect.is_some());
        self.prefill_engines.take();
    }

    /// Returns the states in the order of the fleet.
    pub fn states(&self) -> &[EngineState] {
        &self.states
    }

    pub fn count_engines(&self, policy: &Policy) -> EngineCounts {
        let eligibility = self.eligibility(policy);
        let count =
            |predicate: &dyn Fn(&EngineState) -> bool| self.states.iter().filter(|state| predicate(state)).count();
        EngineCounts {
            engines: self.states.len(),
            eligible: count(&|state| eligibility.is_eligible(state)),
            failing: self.states.len() - self.admitting,
            half_open: self.half_open,
            rate_limited: count(&|state| !state.is_within_limit),
            full: count(&|state| !state.has_slot),
            prefilling: count(&|state| state.pending_ms > 0.0),
        }
    }

    /// Returns the index of each excluded engine, with the first rule that excludes it from short prompts.
    pub fn exclusions(&self, policy: &Policy) -> impl Iterator<Item = (usize, Exclusion)> {
        let Eligibility { excludes_failing, excludes_suspects } = self.eligibility(policy);
        let exclusion = move |state: &EngineState| match state {
            _ if !state.is_within_limit => Some(Exclusion::RateLimited),
            _ if excludes_failing && !state.breaker_admits && state.sequence_count > 0 && state.is_half_open => {
                Some(Exclusion::TrialInFlight)
            }
            _ if excludes_failing && !state.breaker_admits => Some(Exclusion::Failing),
            _ if excludes_suspects && state.suspect.is_some() => Some(Exclusion::Suspect),
            _ if !state.has_slot => Some(Exclusion::Full),
            _ if state.prefill_budget_ms <= 0.0 => Some(Exclusion::Prefilling),
            _ => None,
        };
        self.states.iter().enumerate().filter_map(move |(index, state)| Some((index, exclusion(state)?)))
    }

    /// Returns the rules that are in force now.
    pub fn eligibility(&self, policy: &Policy) -> Eligibility {
        Eligibility {
            excludes_failing: self.excludes_failing(policy),
            excludes_suspects: self.excludes_suspects(policy),
        }
    }

    /// Returns whether recently failed engines are excluded, which requires that most engines remain: a failure that
    /// hits many engines at once has another cause.
    fn excludes_failing(&self, policy: &Policy) -> bool {
        self.admitting as f64 > self.states.len() as f64 * policy.min_usable_share
    }

    /// Returns whether engines that run a suspected request are excluded, which requires that most engines remain.
    fn excludes_suspects(&self, policy: &Policy) -> bool {
        self.with_suspect > 0 && !self.leaves_too_few(self.with_suspect, policy)
    }

    /// Returns whether long prompts must use half-open engines too, because too few engines remain without them.
    pub fn needs_half_open(&self, policy: &Policy) -> bool {
        self.leaves_too_few(self.half_open, policy)
    }

    /// Returns whether an engine is fast enough to join a team. Slow engines count as fast enough where too few
    /// others remain.
    pub fn is_fast_enough(&self, state: &EngineState, policy: &Policy) -> bool {
        !state.is_slow() || self.leaves_too_few(self.slow, policy)
    }

    /// Returns whether too few engines remain once all rules are applied: recently failed, with a suspected request,
    /// rate limit exhausted, or `excluded` for the entry. Each rule by itself considers only the engines that it
    /// excludes.
    pub fn leaves_few_usable(&self, excluded: &ExcludedEngines, policy: &Policy) -> bool {
        let is_usable = |state: &EngineState| state.breaker_admits && state.is_within_limit && state.suspect.is_none();
        let states = self.states.iter().enumerate();
        let unusable = states.filter(|(index, state)| !is_usable(state) || excluded.contains(*index)).count();
        self.leaves_too_few(unusable, policy)
    }

    /// Returns whether too few engines remain without `engines` of them.
    fn leaves_too_few(&self, engines: usize, policy: &Policy) -> bool {
        engines as f64 >= self.states.len() as f64 * (1.0 - policy.min_usable_share)
    }

    /// Returns those of `engines` that have almost no pending prefill.
    pub fn prefill_engines_among(&self, engines: impl Iterator<Item = usize>, policy: &Policy) -> PrefillEngines {
        let allow_half_open = self.needs_half_open(policy);
        // A failing engine would hold up the whole team, so trial requests are left to short prompts.
        let is_suitable = |state: &EngineState| {
            let is_almost_idle = state.pending_ms <= policy.max_pending_ms;
            is_almost_idle && (allow_half_open || !state.is_half_open) && self.is_fast_enough(state, policy)
        };
        let mut by_wait: Vec<usize> = engines.filter(|index| is_suitable(&self.states[*index])).collect();
        by_wait.sort_by(|a, b| self.states[*a].wait_ms.total_cmp(&self.states[*b].wait_ms));
        let mut budgets_ms: Vec<f64> = by_wait.iter().map(|index| self.states[*index].prefill_budget_ms).collect();
        budgets_ms.sort_by(|a, b| b.total_cmp(a));
        PrefillEngines { by_wait, budgets_ms }
    }

    /// Returns the engines that can prefill, among all eligible ones; computed once between two grants.
    pub fn prefill_engines(&self, policy: &Policy) -> &PrefillEngines {
        self.prefill_engines.get_or_init(|| {
            let eligibility = self.eligibility(policy);
            let is_suitable = |index: &usize| eligibility.is_eligible(&self.states[*index]);
            self.prefill_engines_among((0..self.states.len()).filter(is_suitable), policy)
        })
    }
}
