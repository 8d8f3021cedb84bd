//! State of all engines at one moment, computed once for all prompts that are placed at that moment.

use std::cell::OnceCell;

use super::engine::Engine;
use super::job::Job;
use super::place::Barred;
use super::policy::{MOST_TEAM_PACE, Policy};
use crate::quarantine::Work;
use crate::time::Moment;

/// State of one engine at one moment.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Prefill that is pending, in milliseconds.
    pub pending_ms: f64,
    /// Time until a new prefill could start, in milliseconds.
    pub wait_ms: f64,
    /// Prefill that fits in before the gap between two events of a decoding answer exceeds its limit, in
    /// milliseconds.
    pub room_ms: f64,
    /// Duration of a pass without prefill, in milliseconds.
    pub pass_ms: f64,
    /// Smallest gap limit among the answers that decode here, in milliseconds; infinite if there is none.
    pub gap_ms: f64,
    /// Tokens that its memory holds.
    pub context: u64,
    /// Tokens of its memory that can still be granted.
    pub free_memory: u64,
    /// Answers that decode here, or will once their prompts are prefilled.
    pub seats: usize,
    /// Answers among them whose prompts are short.
    pub short_seats: usize,
    /// Whether one more answer may decode here.
    pub has_slot: bool,
    /// Whether its circuit breaker admits requests.
    pub admits: bool,
    /// Whether the next request to it is a trial request of its circuit breaker.
    pub on_trial: bool,
    /// Whether its announced rate limit, if any, admits one more request now.
    pub within_limit: bool,
    /// Work at this engine that is suspected of crashing engines.
    pub suspect: Option<Work>,
    /// Slowdown factor; 1.0 is nominal speed.
    pub pace: f64,
}

impl View {
    /// Computes the state of an engine at `now`.
    fn of(engine: &Engine, policy: &Policy, now: Moment) -> Self {
        let (pass_ms, gap_ms, context) = (engine.pass_ms(), engine.gap_ms(), engine.context());
        let pending_ms = engine.pending_ms(now);
        let figures = engine.figures();
        let grantable = (figures.memory as f64 * policy.memory_share) as u64;
        Self {
            pending_ms,
            wait_ms: pending_ms + pass_ms,
            room_ms: gap_ms * policy.pause_share - pass_ms - pending_ms,
            pass_ms,
            gap_ms,
            context,
            free_memory: grantable.saturating_sub(context),
            seats: engine.seats(),
            short_seats: engine.short_seats(),
            has_slot: (engine.seats() as f64) < f64::from(figures.slots) * policy.slot_share,
            admits: engine.breaker.is_none_or(|breaker| breaker.admits(now)),
            on_trial: engine.breaker.is_some_and(|breaker| breaker.is_on_trial(now)),
            within_limit: engine.limit.is_none_or(|limit| limit.admits(now)),
            suspect: engine.suspect(),
            pace: engine.pace(),
        }
    }

    /// Returns whether the engine is so slow that it would hold up a team.
    pub fn is_slow(&self) -> bool {
        self.pace > MOST_TEAM_PACE
    }

    /// Returns whether the engine has a slot and memory for the answer of a job.
    pub fn fits(&self, job: &Job) -> bool {
        self.has_slot && self.free_memory >= job.needs()
    }
}

/// Engines that can prefill a part of a long prompt now.
#[derive(Clone, Debug)]
pub struct Open {
    /// Their indexes in the fleet, shortest wait first.
    pub by_wait: Vec<usize>,
    /// Their prefill budgets in milliseconds, largest first.
    rooms: Vec<f64>,
}

impl Open {
    /// Returns the number of engines whose prefill budget is at least `ms` milliseconds.
    pub fn roomy(&self, ms: f64) -> usize {
        self.rooms.partition_point(|room| *room >= ms)
    }
}

/// Rules that exclude engines at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Choosable {
    /// Whether engines that failed recently are excluded.
    leaves_out: bool,
    /// Whether engines that run a suspect are excluded.
    leaves_suspects_alone: bool,
}

impl Choosable {
    /// Returns the rules for a suspect, which may share an engine with other suspects.
    pub fn for_suspect(self) -> Self {
        Self { leaves_suspects_alone: false, ..self }
    }

    /// Returns the rules with recently failed engines allowed. Used where all rules together leave few engines:
    /// trying a failed engine is better than holding the prompt.
    pub fn with_failing(self) -> Self {
        Self { leaves_out: false, ..self }
    }

    /// Returns whether an engine is eligible. An exhausted rate limit always excludes an engine, however few are
    /// left.
    pub fn admits(&self, view: &View) -> bool {
        view.within_limit
            && (!self.leaves_out || view.admits)
            && !(self.leaves_suspects_alone && view.suspect.is_some())
    }
}

/// Rule that excludes an engine from short prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bar {
    /// Its rate limit is exhausted.
    Limited,
    /// It failed too often recently.
    Failing,
    /// A trial request is in flight there.
    OnTrial,
    /// It runs work that is suspected of crashing engines.
    Suspect,
    /// All its slots are granted.
    Full,
    /// Its pending prefill would already exceed the gap limit of an answer that decodes there.
    Reading,
}

impl Bar {
    /// Returns the name of the rule in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Bar::Limited => "limited",
            Bar::Failing => "failing",
            Bar::OnTrial => "on-trial",
            Bar::Suspect => "suspect",
            Bar::Full => "full",
            Bar::Reading => "reading",
        }
    }
}

/// Number of engines by state, logged to explain why prompts wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// All engines.
    pub engines: usize,
    /// Eligible engines.
    pub choosable: usize,
    /// Engines whose circuit breakers admit no request.
    pub failing: usize,
    /// Engines whose next request is a trial request.
    pub on_trial: usize,
    /// Engines whose rate limits are exhausted.
    pub limited: usize,
    /// Engines without a free slot.
    pub full: usize,
    /// Engines with pending prefill.
    pub reading: usize,
}

/// State of all engines at one moment.
#[derive(Debug, Default)]
pub struct Board {
    views: Vec<View>,
    /// Number of engines whose circuit breakers admit requests.
    admitted: usize,
    /// Number of engines whose next request is a trial request.
    on_trial: usize,
    /// Number of engines that run a suspect.
    with_suspect: usize,
    /// Number of slow engines.
    slow: usize,
    /// Prefill candidates for entries without excluded engines, computed on first use.
    open: OnceCell<Open>,
}

impl Board {
    /// Recomputes the state of all engines.
    pub fn refresh(&mut self, engines: &[Engine], policy: &Policy, now: Moment) {
        self.views.clear();
        self.views.extend(engines.iter().map(|engine| View::of(engine, policy, now)));
        self.admitted = self.views.iter().filter(|view| view.admits).count();
        self.on_trial = self.views.iter().filter(|view| view.on_trial).count();
        self.slow = self.views.iter().filter(|view| view.is_slow()).count();
        self.with_suspect = self.views.iter().filter(|view| view.suspect.is_some()).count();
        self.open.take();
    }

    /// Recomputes the state of the engine at `index`.
    pub fn update(&mut self, index: usize, engine: &Engine, policy: &Policy, now: Moment) {
        let view = View::of(engine, policy, now);
        let old = std::mem::replace(&mut self.views[index], view);
        self.admitted = self.admitted + usize::from(view.admits) - usize::from(old.admits);
        self.on_trial = self.on_trial + usize::from(view.on_trial) - usize::from(old.on_trial);
        self.with_suspect =
            self.with_suspect + usize::from(view.suspect.is_some()) - usize::from(old.suspect.is_some());
        self.open.take();
    }

    /// Returns the states in the order of the fleet.
    pub fn views(&self) -> &[View] {
        &self.views
    }

    /// Counts the engines by state.
    pub fn tally(&self, policy: &Policy) -> Tally {
        let choosable = self.choosable(policy);
        let count = |is: &dyn Fn(&View) -> bool| self.views.iter().filter(|view| is(view)).count();
        Tally {
            engines: self.views.len(),
            choosable: count(&|view| choosable.admits(view)),
            failing: self.views.len() - self.admitted,
            on_trial: self.on_trial,
            limited: count(&|view| !view.within_limit),
            full: count(&|view| !view.has_slot),
            reading: count(&|view| view.pending_ms > 0.0),
        }
    }

    /// Returns the index of each excluded engine, with the first rule that excludes it from short prompts.
    pub fn bars(&self, policy: &Policy) -> impl Iterator<Item = (usize, Bar)> {
        let Choosable { leaves_out, leaves_suspects_alone } = self.choosable(policy);
        let bar = move |view: &View| match view {
            _ if !view.within_limit => Some(Bar::Limited),
            _ if leaves_out && !view.admits && view.seats > 0 && view.on_trial => Some(Bar::OnTrial),
            _ if leaves_out && !view.admits => Some(Bar::Failing),
            _ if leaves_suspects_alone && view.suspect.is_some() => Some(Bar::Suspect),
            _ if !view.has_slot => Some(Bar::Full),
            _ if view.room_ms <= 0.0 => Some(Bar::Reading),
            _ => None,
        };
        self.views.iter().enumerate().filter_map(move |(index, view)| Some((index, bar(view)?)))
    }

    /// Returns the rules that are in force now.
    pub fn choosable(&self, policy: &Policy) -> Choosable {
        Choosable { leaves_out: self.leaves_out(policy), leaves_suspects_alone: self.leaves_suspects_alone(policy) }
    }

    /// Returns whether recently failed engines are excluded, which requires that most engines remain: a failure that
    /// hits many engines at once has another cause.
    fn leaves_out(&self, policy: &Policy) -> bool {
        self.admitted as f64 > self.views.len() as f64 * policy.least_usable
    }

    /// Returns whether engines that run a suspect are excluded, which requires that most engines remain.
    fn leaves_suspects_alone(&self, policy: &Policy) -> bool {
        self.with_suspect > 0 && !self.is_too_many(self.with_suspect, policy)
    }

    /// Returns whether so many engines are on trial that long prompts must use them too.
    pub fn must_try(&self, policy: &Policy) -> bool {
        self.is_too_many(self.on_trial, policy)
    }

    /// Returns whether an engine is fast enough to join a team. Slow engines count as fast enough where too few
    /// others remain.
    pub fn is_fast_enough(&self, view: &View, policy: &Policy) -> bool {
        !view.is_slow() || self.is_too_many(self.slow, policy)
    }

    /// Returns whether too few engines remain once all rules are applied: recently failed, with a suspect, rate limit
    /// exhausted, or `barred` for the entry. Each rule by itself considers only the engines that it excludes.
    pub fn leaves_few(&self, barred: &Barred, policy: &Policy) -> bool {
        let is_left = |view: &View| view.admits && view.within_limit && view.suspect.is_none();
        let views = self.views.iter().enumerate();
        let out = views.filter(|(index, view)| !is_left(view) || barred.contains(*index)).count();
        self.is_too_many(out, policy)
    }

    /// Returns whether too few engines remain without `engines` of them.
    fn is_too_many(&self, engines: usize, policy: &Policy) -> bool {
        engines as f64 >= self.views.len() as f64 * (1.0 - policy.least_usable)
    }

    /// Returns those of `engines` that have almost no pending prefill.
    pub fn open_among(&self, engines: impl Iterator<Item = usize>, policy: &Policy) -> Open {
        let tries = self.must_try(policy);
        // A failing engine would hold up the whole team, so trial requests are left to short prompts.
        let may = |view: &View| {
            let is_open = view.pending_ms <= policy.start_pending_ms;
            is_open && (tries || !view.on_trial) && self.is_fast_enough(view, policy)
        };
        let mut by_wait: Vec<usize> = engines.filter(|index| may(&self.views[*index])).collect();
        by_wait.sort_by(|a, b| self.views[*a].wait_ms.total_cmp(&self.views[*b].wait_ms));
        let mut rooms: Vec<f64> = by_wait.iter().map(|index| self.views[*index].room_ms).collect();
        rooms.sort_by(|a, b| b.total_cmp(a));
        Open { by_wait, rooms }
    }

    /// Returns the prefill candidates among all eligible engines, computed once between two grants.
    pub fn open(&self, policy: &Policy) -> &Open {
        self.open.get_or_init(|| {
            let choosable = self.choosable(policy);
            let may = |index: &usize| choosable.admits(&self.views[*index]);
            self.open_among((0..self.views.len()).filter(may), policy)
        })
    }
}
