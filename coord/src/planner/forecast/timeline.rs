//! Predicts when engines have capacity for one prompt after the other.
//!
//! Prompts are scheduled in the order in which they are served. Each takes its engines and its slot for the predicted
//! time, so that short and long prompts compete for the same engines.

use crate::planner::policy::{PASSES_TO_FIRST_EVENT, Policy};
use crate::planner::wait_queue::Prompt;

/// Requirements of a prompt. Times are in milliseconds from the time of the forecast.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    pub prompt: Prompt,
    /// Number of passes until the answer ends.
    pub passes: f64,
    /// Time at which its caller has sent it: zero, or the time of a promised return.
    pub earliest_ms: f64,
    /// Time from then to its first-event target.
    pub slack_ms: f64,
    /// Time from then to its deadline.
    pub remaining_ms: f64,
}

/// Predicted service of a prompt. Times are in milliseconds from the time of the forecast.
#[derive(Clone, Debug)]
pub struct Prediction {
    pub start_ms: f64,
    pub first_event_ms: f64,
    /// Indexes of the engines, the decoding one first.
    engines: Vec<usize>,
}

/// Sequence that takes a slot and memory until its answer ends.
#[derive(Clone, Copy, Debug)]
pub struct Occupant {
    pub ends_ms: f64,
    pub tokens: u64,
}

/// Predicted load of one engine.
#[derive(Clone, Debug)]
pub struct Outlook {
    /// Time at which its pending prefill ends, in milliseconds.
    pub free_ms: f64,
    /// Time at which its rate limit admits the next request, in milliseconds.
    pub admits_ms: f64,
    pub pass_ms: f64,
    pub slowdown: f64,
    /// Prefill that fits between two events of its answers if none is pending, in milliseconds.
    pub budget_ms: f64,
    /// Whether the engine may join a team.
    pub can_join: bool,
    pub max_sequences: usize,
    pub max_tokens: u64,
    /// Sequences in the order of their ends.
    pub occupants: Vec<Occupant>,
}

impl Outlook {
    /// Returns when a slot and memory for `tokens` tokens are free; `None` if never.
    fn slot_ms(&self, tokens: u64) -> Option<f64> {
        let mut held_tokens: u64 = self.occupants.iter().map(|occupant| occupant.tokens).sum();
        let mut sequences = self.occupants.len();
        let mut at_ms = 0.0;
        let mut occupants = self.occupants.iter();
        while sequences >= self.max_sequences || held_tokens.saturating_add(tokens) > self.max_tokens {
            let occupant = occupants.next()?;
            held_tokens -= occupant.tokens;
            sequences -= 1;
            at_ms = occupant.ends_ms;
        }
        Some(at_ms)
    }

    /// Returns when the engine can start a prefill of `ms` milliseconds without exceeding a gap target, with at most
    /// `max_pending_ms` milliseconds of prefill ahead of it.
    fn prefill_start_ms(&self, ms: f64, max_pending_ms: f64) -> f64 {
        if self.budget_ms < ms {
            let last_end_ms = self.occupants.last().map_or(0.0, |occupant| occupant.ends_ms);
            return last_end_ms.max(self.free_ms);
        }
        self.free_ms - (self.budget_ms - ms).min(max_pending_ms)
    }

    fn add_prefill(&mut self, start_ms: f64, ms: f64) {
        self.free_ms = self.free_ms.max(start_ms) + ms;
    }

    fn add_occupant(&mut self, occupant: Occupant) {
        let at = self.occupants.partition_point(|other| other.ends_ms <= occupant.ends_ms);
        self.occupants.insert(at, occupant);
    }
}

/// Predicted loads of the eligible engines of a service.
#[derive(Clone, Debug)]
pub struct Timeline<'a> {
    pub engines: Vec<Outlook>,
    pub policy: &'a Policy,
    /// Time before which no long prompt starts, in milliseconds.
    pub settled_ms: f64,
    /// Learned ratio of the durations of answers to those that their passes take.
    pub duration_factor: f64,
}

impl Timeline<'_> {
    /// Predicts the service of a prompt; returns `None` if no engine can ever serve it.
    pub fn predict(&self, demand: &Demand) -> Option<Prediction> {
        if demand.prompt.is_short { self.predict_short(demand) } else { self.predict_long(demand) }
    }

    /// Schedules a prompt as predicted.
    pub fn schedule(&mut self, demand: &Demand, prediction: &Prediction) {
        let prefill_ms = demand.prompt.prefill_ms / prediction.engines.len() as f64;
        for index in &prediction.engines {
            let engine = &mut self.engines[*index];
            engine.add_prefill(prediction.start_ms, prefill_ms * engine.slowdown);
        }
        let Some(decoder) = prediction.engines.first().map(|index| &mut self.engines[*index]) else { return };
        let ends_ms = prediction.first_event_ms + demand.passes * decoder.pass_ms * self.duration_factor;
        decoder.add_occupant(Occupant { ends_ms, tokens: demand.prompt.job.memory_tokens() });
        if demand.prompt.job.gap_target_ms > 0.0 {
            let budget_ms = demand.prompt.job.gap_target_ms * self.policy.gap_share - decoder.pass_ms;
            decoder.budget_ms = decoder.budget_ms.min(budget_ms);
        }
    }

    fn predict_short(&self, demand: &Demand) -> Option<Prediction> {
        let tokens = demand.prompt.job.memory_tokens();
        let options = self.engines.iter().enumerate().filter_map(|(index, engine)| {
            let prefill_ms = demand.prompt.prefill_ms * engine.slowdown;
            let prefill_start_ms = engine.prefill_start_ms(prefill_ms, f64::INFINITY);
            let start_ms = prefill_start_ms.max(engine.admits_ms).max(demand.earliest_ms);
            let start_ms = start_ms.max(engine.slot_ms(tokens)?);
            let first_event_ms = start_ms.max(engine.free_ms) + prefill_ms + engine.pass_ms * PASSES_TO_FIRST_EVENT;
            Some((start_ms, first_event_ms, index))
        });
        let soonest = options.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.total_cmp(&b.1)));
        soonest.map(|(start_ms, first_event_ms, index)| Prediction { start_ms, first_event_ms, engines: vec![index] })
    }

    /// Predicts the service by the team that starts first.
    fn predict_long(&self, demand: &Demand) -> Option<Prediction> {
        let decoder = self.decoder_ms(demand)?;
        let not_before_ms = demand.earliest_ms.max(self.settled_ms).max(decoder);
        let max_parts = ((demand.prompt.prefill_ms / self.policy.min_part_ms) as usize).clamp(1, self.policy.max_parts);
        let members = self.engines.iter().filter(|engine| engine.can_join).count();
        let mut parts = self.min_parts(demand, max_parts).min(members);
        let mut best: Option<Prediction> = None;
        while parts > 0 && parts <= max_parts.min(members) {
            let prediction = self.predict_team(demand, parts, not_before_ms);
            // A larger team that can start at the same time produces its first event earlier.
            if best.as_ref().is_none_or(|best| prediction.first_event_ms < best.first_event_ms) {
                best = Some(prediction);
            }
            parts += (parts / 2).max(1);
        }
        best
    }

    fn predict_team(&self, demand: &Demand, parts: usize, not_before_ms: f64) -> Prediction {
        let part_ms = demand.prompt.prefill_ms / parts as f64;
        let joins = self.engines.iter().enumerate().filter(|(_, engine)| engine.can_join);
        let mut starts: Vec<(f64, usize)> = joins
            .map(|(index, engine)| {
                let start_ms = engine.prefill_start_ms(part_ms * engine.slowdown, self.policy.max_pending_ms);
                (start_ms.max(engine.admits_ms), index)
            })
            .collect();
        starts.select_nth_unstable_by(parts - 1, |a, b| a.0.total_cmp(&b.0));
        starts.truncate(parts);
        let start_ms = starts.iter().map(|(start_ms, _)| *start_ms).fold(not_before_ms, f64::max);
        let engines: Vec<usize> = starts.into_iter().map(|(_, index)| index).collect();
        let finish_ms = |index: &usize| {
            let engine = &self.engines[*index];
            start_ms.max(engine.free_ms) + part_ms * engine.slowdown + engine.pass_ms * PASSES_TO_FIRST_EVENT
        };
        let first_event_ms = engines.iter().map(finish_ms).fold(start_ms, f64::max);
        Prediction { start_ms, first_event_ms, engines }
    }

    /// Returns the smallest team that may start.
    fn min_parts(&self, demand: &Demand, max_parts: usize) -> usize {
        let in_time_ms = demand.slack_ms * self.policy.in_time_share;
        let useful_ms = demand.remaining_ms * self.policy.late_share;
        let limit_ms = if demand.prompt.prefill_ms / max_parts as f64 <= in_time_ms { in_time_ms } else { useful_ms };
        ((demand.prompt.prefill_ms / limit_ms.max(1.0)).ceil() as usize).clamp(1, max_parts)
    }

    /// Returns when an engine can hold the answer of a long prompt; `None` if never. Engines share the memory of a
    /// prompt that exceeds that of one.
    fn decoder_ms(&self, demand: &Demand) -> Option<f64> {
        let tokens = demand.prompt.job.memory_tokens();
        let earliest = |tokens| self.engines.iter().filter_map(|engine| engine.slot_ms(tokens)).min_by(f64::total_cmp);
        earliest(tokens).or_else(|| earliest(0).filter(|_| self.policy.shared_memory))
    }
}
