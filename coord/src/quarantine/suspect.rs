//! Evidence against one cause, and the verdict that it may lead to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use super::background::Background;
use crate::name::Name;
use crate::time::Moment;

/// Gap between two losses that belong to different times. Replicas that fail together are found within a shorter time.
const MOMENT_GAP: Duration = Duration::from_millis(200);
/// Surprise from which a loss counts as much as a proven termination: a chance of one in 300.
const FULL_SURPRISE: f64 = 5.7;
/// Share of a proven termination that counts at least against a request. The four sends of one caller then condemn nothing
/// by chance while replicas terminate for other reasons.
const NOISY_SHARE: f64 = 0.6;
/// Other runs that are lost around the time of a loss from which on replicas are lost for other reasons.
const MIN_OTHER_RUNS: u32 = 3;
/// Time after which the background of a loss is known: reports of others that were lost with it have arrived.
const SETTLING_TIME: Duration = Duration::from_millis(150);
/// Time after which the background of a loss no longer changes.
const WEIGHING_TIME: Duration = Duration::from_secs(4);
/// Bounds the remembered losses of a cause, a multiple of what a verdict needs; the oldest is forgotten.
const MAX_LOSSES: usize = 64;
/// Bounds the remembered prompts with a part. With more of them it is unknown which prompts contain the part.
pub(super) const MAX_REQUESTS: usize = 128;

/// Strength of the evidence that the loss of a request provides against it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Weight {
    /// The request may only have been queued on the replica, or had run for a while.
    Faint,
    /// The replica had started the request and produced no output for it yet.
    Strong,
}

impl Weight {
    /// Returns the points that the evidence adds.
    pub const fn points(self) -> u32 {
        match self {
            Weight::Faint => 1,
            Weight::Strong => 2,
        }
    }
}

/// Whether the replica of a lost request terminated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Proof {
    /// Only the connection is known to have ended. The loss counts as far as it is improbable that a sound request was
    /// lost then.
    Presumed,
    /// The process does not serve any more, or another one has taken its place.
    #[default]
    Proven,
}

impl Proof {
    /// Returns the name that log lines use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Proof::Presumed => "presumed",
            Proof::Proven => "proven",
        }
    }
}

/// Loss of one request with a run of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Accusation {
    /// Strength of the evidence if the replica terminated.
    pub weight: Weight,
    /// Whether the replica terminated.
    pub proof: Proof,
    /// Fingerprint of the whole request.
    pub request: Fingerprint,
    /// Time of the loss.
    pub at: Moment,
    /// Share of a full surprise that the loss is against its background, from 0 to 1.
    pub(super) surprise: f64,
    /// Whether replicas were lost for other reasons around then.
    pub(super) is_noisy: bool,
}

/// How much proven terminations count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Counting {
    /// Each counts in full.
    Full,
    /// Each counts in full. Where replicas are lost for other reasons, it counts as far as it is surprising, but at least
    /// [`NOISY_SHARE`].
    Guarded,
    /// Each counts as far as it is surprising, as a presumed termination does.
    Weighed,
}

impl Accusation {
    fn points(&self, counting: Counting) -> f64 {
        let share = match (self.proof, counting) {
            (Proof::Presumed, _) | (Proof::Proven, Counting::Weighed) => self.surprise,
            (Proof::Proven, Counting::Guarded) if self.is_noisy => self.surprise.max(NOISY_SHARE),
            (Proof::Proven, Counting::Guarded | Counting::Full) => 1.0,
        };
        f64::from(self.weight.points()) * share
    }
}

/// Evidence against a cause that is not condemned.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    /// Losses by run.
    pub losses: BTreeMap<Name, Accusation>,
    /// Lost requests, at most [`MAX_REQUESTS`].
    pub requests: BTreeSet<Fingerprint>,
    /// Run of the most recently reported loss.
    pub newest_run: Name,
    /// Smallest depth of a part in a prompt; zero for a request.
    pub depth: u8,
    /// Whether a prompt with the part completed earlier.
    pub is_sound: bool,
    /// Whether other processes were asked about the part.
    pub is_announced: bool,
    /// Losses that other processes have received.
    pub relayed_runs: BTreeSet<Name>,
    /// Number of losses that were sent, also of those forgotten since.
    pub relayed_count: usize,
    /// Completed prompts at the first loss.
    pub completions_before: u64,
    /// Prompts with a first event at the first loss.
    pub answers_before: u64,
    /// Sequence number of insertion, for eviction of the oldest.
    pub sequence: u64,
}

impl Suspect {
    /// Adds a loss, or what a further report proves of it.
    pub fn accuse(&mut self, run: &Name, accusation: Accusation) {
        if self.requests.len() < MAX_REQUESTS {
            self.requests.insert(accusation.request);
        }
        let Some(known) = self.losses.get_mut(run) else {
            self.losses.insert(run.clone(), accusation);
            self.newest_run = run.clone();
            self.forget_oldest();
            return;
        };
        known.weight = known.weight.max(accusation.weight);
        known.proof = known.proof.max(accusation.proof);
    }

    fn forget_oldest(&mut self) {
        if self.losses.len() <= MAX_LOSSES {
            return;
        }
        let oldest = self.losses.iter().min_by_key(|(_, accusation)| accusation.at).map(|(run, _)| run.clone());
        if let Some(oldest) = oldest {
            self.losses.remove(&oldest);
            self.relayed_runs.remove(&oldest);
        }
    }

    /// Returns whether the background of a loss that is weighed may still change. Proven terminations are weighed further
    /// against requests only, and only if there are several.
    pub fn is_recent(&self, is_request: bool, now: Moment) -> bool {
        let is_open = |accusation: &Accusation| {
            let is_weighed = accusation.proof == Proof::Presumed || (is_request && self.losses.len() > 1);
            is_weighed && now.since(accusation.at) <= WEIGHING_TIME
        };
        self.losses.values().any(is_open)
    }

    /// Weighs the losses against the background. The losses with `others`, which other suspects explain, are not part of
    /// the background. The runs of `shared` are those under which a stronger suspect explains the loss.
    pub fn weigh(&mut self, background: &Background, others: &BTreeSet<&Name>, shared: &BTreeSet<Name>, now: Moment) {
        let explained = background.lost_with(self.losses.keys().chain(others.iter().copied()));
        for (run, accusation) in &mut self.losses {
            let age = now.since(accusation.at);
            if age > WEIGHING_TIME {
                continue;
            }
            let surprise = background.surprise(accusation.at, &explained);
            accusation.is_noisy = surprise.other_runs >= MIN_OTHER_RUNS;
            let is_weighed = age >= SETTLING_TIME && !shared.contains(run);
            let share = (surprise.nats / FULL_SURPRISE).clamp(0.0, 1.0);
            accusation.surprise = if is_weighed { share } else { 0.0 };
        }
    }

    /// Returns the losses that other processes have not received, at most `max` of all, and marks them as sent.
    pub fn take_unsent(&mut self, max: usize) -> Vec<(Name, Accusation)> {
        let unsent = self.losses.iter().filter(|(run, _)| !self.relayed_runs.contains(*run));
        let unsent = unsent.take(max.saturating_sub(self.relayed_count));
        let unsent: Vec<(Name, Accusation)> = unsent.map(|(run, accusation)| (run.clone(), *accusation)).collect();
        self.relayed_runs.extend(unsent.iter().map(|(run, _)| run.clone()));
        self.relayed_count += unsent.len();
        unsent
    }

    /// Returns the points of all losses.
    pub fn points(&self, counting: Counting) -> f64 {
        self.losses.values().map(|accusation| accusation.points(counting)).sum()
    }

    /// Returns the number of different requests that were lost.
    pub fn request_count(&self) -> usize {
        self.losses.values().map(|accusation| accusation.request).collect::<BTreeSet<_>>().len()
    }

    /// Returns the number of times that are [`MOMENT_GAP`] apart.
    pub fn moment_count(&self) -> usize {
        let mut times: Vec<Moment> = self.losses.values().map(|accusation| accusation.at).collect();
        times.sort_unstable();
        let mut count = 0;
        let mut last = None;
        for at in times {
            if last.is_none_or(|last| at.since(last) >= MOMENT_GAP) {
                (count, last) = (count + 1, Some(at));
            }
        }
        count
    }

    pub fn first_at(&self) -> Moment {
        self.losses.values().map(|accusation| accusation.at).min().unwrap_or(Moment::ZERO)
    }

    /// Returns the losses but the newest one, whose report for another cause may still be in transit.
    pub fn earlier_runs(&self) -> impl Iterator<Item = &Name> {
        self.losses.keys().filter(|run| **run != self.newest_run)
    }

    /// Returns whether this cause was on all replicas that were lost under `other`.
    pub fn covers(&self, other: &Suspect) -> bool {
        other.earlier_runs().all(|run| self.losses.contains_key(run))
    }

    /// Orders parts that were on the same engines by how likely each is the cause. A part that no prompt completed with
    /// comes first. A part deep in the prompt comes before those that more prompts share.
    pub fn rank(&self) -> (bool, u8) {
        (!self.is_sound, self.depth)
    }
}

/// Verdict against a condemned cause.
#[derive(Clone, Debug, Default)]
pub(super) struct Verdict {
    /// Losses that are attributed to the cause, by run.
    pub losses: BTreeMap<Name, Accusation>,
    /// Sequence number of insertion, for eviction of the oldest.
    pub sequence: u64,
}
