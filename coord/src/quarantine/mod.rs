//! Quarantine of requests, and of parts that prompts share, under which replicas terminate.
//!
//! A faulty request can terminate every replica that starts to run it, and so can a part of prompts that otherwise
//! differ. How a termination shows depends on the machine: the port refuses connections, a proxy in front goes on
//! accepting, nothing answers, or another process takes the place at once. A [`Loss`] is therefore graded evidence
//! against everything that was on the replica, most of which is innocent: a termination that is proven counts in full,
//! and any other loss as far as it is surprising against the background of all requests. Evidence adds up over
//! losses until a cause is *condemned*: no replica receives its requests until an operator lifts the verdict. A request
//! that completes clears itself and its parts.
//!
//! Processes exchange [`Event`]s, which can arrive in any order, late or repeatedly. The process that the others report
//! to decides with [`State::review`]; a process that nobody leads decides for itself. Evidence does not expire with time.

mod background;
mod fingerprint;
mod history;
mod rules;
mod suspect;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use self::background::Background;
pub use self::background::Progress;
pub use self::fingerprint::{Cause, Fingerprint, ParseFingerprintError, SharedPart};
use self::history::History;
pub use self::suspect::{Accusation, Proof, Weight};
use self::suspect::{Counting, Suspect, Verdict};
use crate::invariant;
use crate::name::Name;
use crate::time::Moment;

/// Points from which a request is isolated from others, and from which other processes receive the evidence.
const SUSPECT_POINTS: f64 = 2.0;
/// Points of evidence against a request that is persisted beyond the lifetime of all processes. One more termination
/// condemns the request, whichever process observes it.
const PERSISTENT_POINTS: f64 = 4.0;
/// Losses under a part from which on other processes are asked whether prompts with it completed.
const SUSPECT_LOSSES: usize = 2;
/// Bounds the suspects: enough for 250 terminations of replicas with 16 requests each, at about 1 MB.
const MAX_SUSPECTS: usize = 4_096;
/// Bounds the verdicts; each takes 32 bytes plus the names of a few replicas.
const MAX_VERDICTS: usize = 4_096;
/// Bounds the losses that are attributed to a verdict.
const MAX_VERDICT_LOSSES: usize = 1_024;
/// Bounds the losses that a process sends to a new peer, of the most suspicious causes first. The leader receives them
/// from all processes.
const MAX_SYNCED_LOSSES: usize = 256;

/// Loss of a request whose connection to a replica ended without a complete response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// Name of the run of the replica that may have terminated, unique among all runs of all replicas.
    pub run: Name,
    /// Fingerprint of the whole request.
    pub request: Fingerprint,
    /// Shared parts of the prompt.
    pub parts: Vec<SharedPart>,
    /// Strength of the evidence if the replica terminated.
    pub weight: Weight,
    /// Whether the replica terminated.
    pub proof: Proof,
}

/// Event that a process observes and sends to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A replica lost a request.
    Lost(Loss),
    /// The replica of a presumed termination was seen to run on.
    Refuted(Name),
    /// Several engines were lost under the part. A process that knows of a completed prompt with it answers.
    Suspected(Fingerprint),
    /// A prompt with the part completed some time ago.
    Sound(Fingerprint),
    /// A prompt with the suspected part had its first event.
    Answered(Fingerprint),
    /// A request of the cause has just completed.
    Cleared(Cause),
    /// Requests of the cause are no longer sent.
    Condemned(Cause),
    /// The verdict was wrong, or an operator lifted it.
    Lifted(Cause),
}

/// Status of a cause in the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// The evidence is below the suspicion threshold.
    Clear,
    /// Requests are sent, but isolated from others.
    Suspect,
    /// Requests are rejected.
    Condemned,
}

/// Suspects and verdicts that one process has recorded.
#[derive(Clone, Debug, Default)]
pub struct State {
    suspects: BTreeMap<Cause, Suspect>,
    condemned: BTreeMap<Cause, Verdict>,
    background: Background,
    history: History,
    /// Number of completed requests.
    completions: u64,
    /// Number of prompts that had their first event.
    answers: u64,
    /// Suspects with several losses, and some that no longer have them.
    repeated: BTreeSet<Cause>,
    /// Suspects with evidence that is not weighed finally.
    pending: BTreeSet<Cause>,
    /// Parts that another process suspects.
    watched: BTreeSet<Fingerprint>,
    /// Suspected parts whose losses are sent to other processes.
    relayed_parts: BTreeSet<Fingerprint>,
    next_sequence: u64,
}

impl State {
    /// Returns the status of a cause as of the last review.
    pub fn status(&self, cause: Cause) -> Status {
        if self.is_condemned(cause) {
            return Status::Condemned;
        }
        match self.suspects.get(&cause) {
            Some(suspect) if suspect.points(Counting::Guarded) >= SUSPECT_POINTS => Status::Suspect,
            _ => Status::Clear,
        }
    }

    /// Returns whether requests of the cause are no longer sent.
    pub fn is_condemned(&self, cause: Cause) -> bool {
        self.condemned.contains_key(&cause)
    }

    /// Returns all condemned causes.
    pub fn condemned(&self) -> impl Iterator<Item = Cause> {
        self.condemned.keys().copied()
    }

    /// Returns the requests that are isolated from others, with their points.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, f64)> {
        let requests = self.suspects.iter().filter(|(cause, _)| matches!(cause, Cause::Request(_)));
        let counted = requests.map(|(cause, suspect)| (cause.fingerprint(), suspect.points(Counting::Guarded)));
        counted.filter(|(_, points)| *points >= SUSPECT_POINTS)
    }

    /// Returns the parts under which several engines were lost.
    pub fn suspected_parts(&self) -> impl Iterator<Item = Fingerprint> {
        let parts = self.suspects.iter().filter(|(cause, _)| matches!(cause, Cause::Part(_)));
        let suspected = parts.filter(|(_, suspect)| suspect.losses.len() >= SUSPECT_LOSSES);
        suspected.map(|(cause, _)| cause.fingerprint())
    }

    /// Returns the losses that are held against a cause, condemned or not, by run.
    pub fn losses(&self, cause: Cause) -> impl Iterator<Item = (&Name, &Accusation)> {
        let condemned = self.condemned.get(&cause).map(|verdict| &verdict.losses);
        let suspected = self.suspects.get(&cause).map(|suspect| &suspect.losses);
        condemned.or(suspected).into_iter().flatten()
    }

    /// Returns the points of the evidence against a cause that is not condemned.
    pub fn points(&self, cause: Cause) -> f64 {
        self.suspects.get(&cause).map_or(0.0, |suspect| suspect.points(Counting::Guarded))
    }

    /// Returns the smallest known number of parts before a part that is not condemned.
    pub fn depth(&self, cause: Cause) -> u8 {
        self.suspects.get(&cause).map_or(0, |suspect| suspect.depth)
    }

    /// Returns whether a prompt with a part that is not condemned completed before its first loss.
    pub fn is_sound(&self, cause: Cause) -> bool {
        self.suspects.get(&cause).is_some_and(|suspect| suspect.is_sound)
    }

    /// Returns the causes whose evidence is worth persisting. If this process is isolated, so that no peer receives its
    /// events, that includes all suspects: losses observed by three isolated processes then condemn a cause just as those
    /// observed by one.
    pub fn persistent(&self, is_isolated: bool) -> impl Iterator<Item = Cause> {
        let min_points = if is_isolated { SUSPECT_POINTS } else { PERSISTENT_POINTS };
        let requests = self.suspects().filter(move |(_, points)| *points >= min_points);
        let parts = self.suspected_parts().filter(move |_| is_isolated);
        let requests = requests.map(|(fingerprint, _)| Cause::Request(fingerprint));
        self.condemned().chain(requests).chain(parts.map(Cause::Part))
    }

    /// Returns whether a run was lost under a condemned cause.
    fn is_attributed(&self, run: &Name) -> bool {
        self.condemned.values().any(|verdict| verdict.losses.contains_key(run))
    }

    /// Applies an event and returns the events that follow from it. `at` is the time of a loss.
    pub fn apply(&mut self, event: Event, at: Moment, now: Moment) -> Vec<Event> {
        match event {
            Event::Lost(loss) => {
                self.record_loss(&loss, at);
                Vec::new()
            }
            Event::Refuted(run) => self.refute(&run),
            Event::Suspected(part) => self.answer_suspicion(part, now),
            Event::Sound(part) => self.mark_sound(part),
            Event::Answered(part) => self.mark_answered(part, Moment::ZERO).into_iter().collect(),
            Event::Cleared(cause) => self.clear(cause, now).into_iter().collect(),
            // This process has just seen that the verdict is wrong.
            Event::Condemned(cause @ Cause::Part(part)) if self.history.has_just_completed(part, now) => {
                vec![Event::Lifted(cause)]
            }
            Event::Condemned(cause) => self.condemn(cause),
            Event::Lifted(cause) => self.lift(cause),
        }
    }

    /// Records a request that completed on a replica, and clears it and its shared parts. Returns the events to send to
    /// peers.
    pub fn record_completion(&mut self, request: Fingerprint, parts: &[SharedPart], now: Moment) -> Vec<Event> {
        self.completions += 1;
        self.background.record_completion(now);
        let causes = parts.iter().map(|part| Cause::Part(part.fingerprint));
        let causes = std::iter::once(Cause::Request(request)).chain(causes);
        causes.filter_map(|cause| self.clear(cause, now)).collect()
    }

    /// Records a prompt that had its first event. Returns the events to send to peers.
    pub fn record_answer(&mut self, parts: &[SharedPart], now: Moment) -> Vec<Event> {
        self.answers += 1;
        parts.iter().filter_map(|part| self.mark_answered(part.fingerprint, now)).collect()
    }

    /// Records a lost request that is not reported as an event.
    pub fn count_loss(&mut self, now: Moment) {
        self.background.count_loss(now);
    }

    /// Returns what completed and was lost since the last call, for the process that decides.
    pub fn take_progress(&mut self, now: Moment) -> Progress {
        self.background.take_progress(now)
    }

    /// Adds what completed and was lost at another process since its last report.
    pub fn add_progress(&mut self, progress: &Progress, answers: u64, now: Moment) {
        self.completions += self.background.add_progress(progress, now);
        self.answers += answers;
    }

    /// Returns the number of prompts that had their first event.
    pub fn answers(&self) -> u64 {
        self.answers
    }

    /// Returns the events that bring a new peer up to date.
    pub fn events(&self) -> Vec<Event> {
        let mut suspects: Vec<(&Cause, &Suspect)> = self.suspects.iter().collect();
        suspects.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.losses.len()));
        let losses = suspects.into_iter().flat_map(|(cause, suspect)| {
            suspect.losses.iter().map(move |(run, accusation)| loss_event(*cause, suspect, run, accusation))
        });
        self.condemned().map(Event::Condemned).chain(losses.take(MAX_SYNCED_LOSSES)).collect()
    }

    fn record_loss(&mut self, loss: &Loss, at: Moment) {
        let request = Cause::Request(loss.request);
        let is_known = self.losses(request).any(|(run, _)| *run == loss.run);
        self.background.record_loss(&loss.run, at, loss.proof, !is_known);
        let accusation = Accusation {
            weight: loss.weight,
            proof: loss.proof,
            request: loss.request,
            at,
            surprise: 0.0,
            is_noisy: false,
        };
        let loss_of_run = || BTreeMap::from([(loss.run.clone(), accusation)]);
        let mut parts = loss.parts.iter().map(|part| Cause::Part(part.fingerprint));
        if let Some(condemned) = parts.find(|part| self.is_condemned(*part)) {
            self.attribute(condemned, loss_of_run());
            return;
        }
        let is_attributed = |kind: fn(&Cause) -> bool| {
            self.condemned.iter().any(|(cause, verdict)| kind(cause) && verdict.losses.contains_key(&loss.run))
        };
        if is_attributed(|cause| matches!(cause, Cause::Part(_))) {
            return;
        }
        let is_explained = is_attributed(|cause| matches!(cause, Cause::Request(_)));
        if self.is_condemned(request) {
            self.attribute(request, loss_of_run());
        } else if !is_explained {
            self.accuse(request, 0, &loss.run, accusation);
        }
        for part in &loss.parts {
            if !self.history.has_just_completed(part.fingerprint, at) {
                self.accuse(Cause::Part(part.fingerprint), part.depth, &loss.run, accusation);
            }
        }
        self.evict();
    }

    /// Records a loss as evidence against one cause.
    fn accuse(&mut self, cause: Cause, depth: u8, run: &Name, accusation: Accusation) {
        self.next_sequence += 1;
        let is_sound = matches!(cause, Cause::Part(part) if self.history.is_completed(part));
        let new_suspect = || Suspect {
            losses: BTreeMap::new(),
            requests: BTreeSet::new(),
            newest_run: run.clone(),
            depth,
            is_sound,
            is_announced: false,
            relayed_runs: BTreeSet::new(),
            relayed_count: 0,
            completions_before: self.completions,
            answers_before: self.answers,
            sequence: self.next_sequence,
        };
        let suspect = self.suspects.entry(cause).or_insert_with(new_suspect);
        suspect.depth = suspect.depth.min(depth);
        suspect.accuse(run, accusation);
        if suspect.losses.len() >= SUSPECT_LOSSES {
            self.repeated.insert(cause);
        }
        self.pending.insert(cause);
    }

    /// Holds a run against nothing, since it was seen to run on. A proven termination stands.
    fn refute(&mut self, run: &Name) -> Vec<Event> {
        let is_refuted = |known: &Name, accusation: &Accusation| known == run && accusation.proof == Proof::Presumed;
        let mut was_recorded = false;
        for suspect in self.suspects.values_mut() {
            let before = suspect.losses.len();
            suspect.losses.retain(|known, accusation| !is_refuted(known, accusation));
            was_recorded |= suspect.losses.len() < before;
        }
        self.drop_empty_suspects();
        was_recorded.then(|| Event::Refuted(run.clone())).into_iter().collect()
    }

    /// Returns what this process knows in favor of a part that another process suspects.
    fn answer_suspicion(&mut self, part: Fingerprint, now: Moment) -> Vec<Event> {
        if self.history.has_just_completed(part, now) {
            self.suspects.remove(&Cause::Part(part));
            return vec![Event::Cleared(Cause::Part(part))];
        }
        if self.watched.len() >= MAX_SUSPECTS {
            self.watched.pop_first();
        }
        self.watched.insert(part);
        let sound = self.history.is_completed(part).then_some(Event::Sound(part));
        let answered = self.history.is_answered(part).then_some(Event::Answered(part));
        sound.into_iter().chain(answered).collect()
    }

    /// Records that a prompt with the part had its first event. Returns the event to send to peers that may not know.
    fn mark_answered(&mut self, part: Fingerprint, at: Moment) -> Option<Event> {
        let is_new = self.history.record_answered(part, at);
        let is_suspected = self.suspects.contains_key(&Cause::Part(part)) || self.watched.contains(&part);
        (is_new && is_suspected).then_some(Event::Answered(part))
    }

    fn mark_sound(&mut self, part: Fingerprint) -> Vec<Event> {
        let is_new = self.history.note_completed(part);
        if let Some(suspect) = self.suspects.get_mut(&Cause::Part(part)) {
            suspect.is_sound = true;
        }
        is_new.then_some(Event::Sound(part)).into_iter().collect()
    }

    /// Clears a cause of which a request completed. A request that was in flight when its cause was condemned proves the
    /// verdict wrong.
    fn clear(&mut self, cause: Cause, now: Moment) -> Option<Event> {
        let mut is_watched = false;
        if let Cause::Part(part) = cause {
            self.history.record_completed(part, now);
            // Another process suspects a watched part, also if this one does not.
            is_watched = self.watched.remove(&part);
        }
        if self.condemned.remove(&cause).is_some() {
            return Some(Event::Lifted(cause));
        }
        let was_suspected = self.suspects.remove(&cause).is_some();
        (was_suspected || is_watched).then_some(Event::Cleared(cause))
    }

    fn lift(&mut self, cause: Cause) -> Vec<Event> {
        self.watched.remove(&cause.fingerprint());
        let was_recorded = self.suspects.remove(&cause).is_some() | self.condemned.remove(&cause).is_some();
        was_recorded.then_some(Event::Lifted(cause)).into_iter().collect()
    }

    /// Condemns a cause, and holds its losses against nothing else. Returns the verdict, and the earlier verdicts that the
    /// remaining evidence does not support.
    fn condemn(&mut self, cause: Cause) -> Vec<Event> {
        if self.is_condemned(cause) {
            return Vec::new();
        }
        self.watched.remove(&cause.fingerprint());
        let losses = self.suspects.remove(&cause).map(|suspect| suspect.losses).unwrap_or_default();
        let unsupported = match cause {
            Cause::Part(_) => rules::unsupported_verdicts(&self.condemned, &losses),
            Cause::Request(_) => Vec::new(),
        };
        self.next_sequence += 1;
        self.condemned.insert(cause, Verdict { losses: BTreeMap::new(), sequence: self.next_sequence });
        self.attribute(cause, losses);
        self.evict();
        invariant!(
            self.suspects.keys().all(|cause| !self.condemned.contains_key(cause)),
            "a condemned cause is no suspect any more"
        );
        let lifted = unsupported.into_iter().flat_map(|verdict| self.lift(verdict)).collect::<Vec<_>>();
        std::iter::once(Event::Condemned(cause)).chain(lifted).collect()
    }

    /// Attributes losses to a condemned cause. They are held against no other request, and those of a part against no other
    /// part either: an innocent request that repeatedly shared a replica with the condemned one is cleared this way. A
    /// request may be condemned wrongly before the part that it does not hold, so it takes nothing off parts.
    fn attribute(&mut self, cause: Cause, losses: BTreeMap<Name, Accusation>) {
        let exonerates_parts = matches!(cause, Cause::Part(_));
        for (other, suspect) in &mut self.suspects {
            if exonerates_parts || matches!(other, Cause::Request(_)) {
                suspect.losses.retain(|run, _| !losses.contains_key(run));
            }
        }
        self.drop_empty_suspects();
        losses.keys().for_each(|run| self.background.explain(run));
        if let Some(verdict) = self.condemned.get_mut(&cause) {
            verdict.losses.extend(losses);
            while verdict.losses.len() > MAX_VERDICT_LOSSES {
                verdict.losses.pop_first();
            }
        }
    }

    fn drop_empty_suspects(&mut self) {
        self.suspects.retain(|_, suspect| !suspect.losses.is_empty());
    }

    /// Bounds the state. If there are too many suspects, it evicts a quarter: those with the least evidence, the oldest first
    /// among equals. Of verdicts it evicts the oldest.
    fn evict(&mut self) {
        if self.suspects.len() > MAX_SUSPECTS {
            let weight = |suspect: &Suspect| suspect.losses.values().map(|loss| loss.weight.points()).sum::<u32>();
            let mut ranked: Vec<(u32, u64, Cause)> =
                self.suspects.iter().map(|(cause, suspect)| (weight(suspect), suspect.sequence, *cause)).collect();
            ranked.sort_unstable();
            ranked.iter().take(MAX_SUSPECTS / 4).for_each(|(.., cause)| drop(self.suspects.remove(cause)));
        }
        while self.condemned.len() > MAX_VERDICTS {
            let oldest = self.condemned.iter().min_by_key(|(_, verdict)| verdict.sequence);
            let Some(cause) = oldest.map(|(cause, _)| *cause) else { break };
            self.condemned.remove(&cause);
        }
    }
}

/// Returns the event that tells a peer of one loss under a cause.
fn loss_event(cause: Cause, suspect: &Suspect, run: &Name, accusation: &Accusation) -> Event {
    let parts = match cause {
        Cause::Request(_) => Vec::new(),
        Cause::Part(fingerprint) => vec![SharedPart { fingerprint, depth: suspect.depth }],
    };
    let Accusation { weight, proof, request, .. } = *accusation;
    Event::Lost(Loss { run: run.clone(), request, parts, weight, proof })
}
