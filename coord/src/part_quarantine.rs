//! Quarantine of prompt parts under which engines terminate, whatever else the prompts hold.
//!
//! [`quarantine`](crate::quarantine) recognizes one request by its content. Prompts that share a part are all different,
//! so such a part is not found there: each prompt terminates only the engines of its own sends. Here each
//! termination is evidence against the shared parts of the prompts that had just started on the engine, most of which
//! are innocent. A prompt that completes clears its parts. A part is condemned after several terminations under
//! different prompts at different times, none of which completed, if it was on a substantial share of all engines that
//! terminated meanwhile while prompts without it completed. Terminations of a verdict are held against no other part.
//!
//! Evidence is exchanged as [`Event`], in any order and repeatedly.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::quarantine::{Fingerprint, SharedCause};
use crate::time::Moment;

/// Terminations under a part from which on other processes are asked whether prompts with it completed.
const SUSPECT_TERMINATIONS: usize = 2;
/// Terminations that condemn a part under which no prompt is known to have completed.
const MIN_TERMINATIONS: usize = 4;
/// Terminations that condemn a part under which prompts completed earlier.
const MIN_TERMINATIONS_OF_SOUND: usize = 8;
/// Terminations that condemn a part while too few prompts complete. Where engines terminate soon after each start, every
/// second prompt may have no event yet; ten of them in a row are then a chance of one in a thousand.
const MIN_TERMINATIONS_OF_SILENT: usize = 10;
/// Different prompts that the terminations must be spread over. Repeats of a single prompt are condemned by its content.
const MIN_PROMPTS: usize = 3;
/// Different times that the terminations must be spread over, so that a loss of many engines at once condemns nothing.
const MIN_MOMENTS: usize = 3;
/// Gap between two terminations that belong to different times. Engines that fail together are found within a shorter
/// time.
const MOMENT_GAP: Duration = Duration::from_millis(200);
/// A condemned part was on at least one in this many of the engines that terminated since its first termination.
/// Engines that fail for another reason mostly do so without it.
const MAX_TERMINATIONS_PER_OWN: usize = 4;
/// Prompts that must have completed since the first termination, all of them without the part: an outage in which
/// nothing completes condemns nothing.
const MIN_COMPLETIONS: u64 = 3;
/// Prompts that must have had their first event since the first termination, none of them with the part, where too few
/// completed.
const MIN_ANSWERS: u64 = 3;
/// Time for which a completed prompt keeps its parts from being suspected.
const RECENT: Duration = Duration::from_secs(2);
/// Bounds the parts that this process suspects, and those that others do. Of the former the one with the fewest
/// terminations is evicted, the oldest first among equals.
const MAX_SUSPECTS: usize = 1_024;
/// Bounds the parts whose evidence is sent at a time. The loss of a failure domain makes many parts suspected at once, and
/// all processes receive what is sent.
const MAX_EXPLAINED_PARTS: usize = 8;
/// Bounds the pieces of evidence that are sent for a part: more than the terminations that condemn a whole request whatever
/// else was there.
const MAX_EVIDENCE_SENT: usize = 16;
/// Time since a part's newest termination after which the evidence of another part is sent in place of its own.
const EXPLANATION_TIME: Duration = Duration::from_secs(10);
/// Bounds the remembered prompts with a suspected part. With more of them it is unknown which prompts contain the part.
const MAX_WORKS: usize = 128;
/// Bounds the verdicts; the oldest is evicted.
const MAX_VERDICTS: usize = 1_024;
/// Bounds the remembered terminations; the older half is forgotten.
const MAX_RUNS: usize = 1_024;
/// Bounds the parts whose completions, and those whose first events, are remembered, at about 50 bytes each; the older
/// half is forgotten.
const MAX_COMPLETED: usize = 8_192;

/// Part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SharedPart {
    /// Fingerprint of the part, the same in all prompts to a service.
    pub fingerprint: Fingerprint,
    /// Number of parts before it in the prompt. Parts that come later are shared by fewer prompts.
    pub depth: u8,
}

/// Event that a process observes and sends to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// An engine terminated after it had started a prompt and before the prompt's first event.
    Terminated {
        /// Name of the terminated run, unique among all runs of all replicas.
        run: Name,
        /// Fingerprint of the whole prompt.
        work: Fingerprint,
        /// Shared parts of the prompt. The list is empty if the engine terminated under prompts that had events.
        parts: Vec<SharedPart>,
    },
    /// Several engines terminated under the part. A process that knows of a completed prompt with it answers.
    Suspected(Fingerprint),
    /// An engine terminated under a suspected part. The receiver takes it as another cause of what whole requests are
    /// accused of. It does not count it against the part, since it does not know which engines terminated without the
    /// part.
    Evidence {
        /// Fingerprint of the part.
        part: Fingerprint,
        /// Name of the terminated run.
        run: Name,
        /// Fingerprint of the whole prompt.
        work: Fingerprint,
    },
    /// A prompt with the part completed some time ago.
    Sound(Fingerprint),
    /// A prompt with the suspected part had its first event.
    Answered(Fingerprint),
    /// A prompt with the part has just completed.
    Cleared(Fingerprint),
    /// Prompts with the part are no longer sent.
    Condemned(Fingerprint),
    /// The verdict was wrong, or an operator lifted it.
    Lifted(Fingerprint),
}

/// Termination under a suspected part.
#[derive(Clone, Copy, Debug)]
struct Termination {
    work: Fingerprint,
    at: Moment,
}

/// Evidence against a part that is not condemned.
#[derive(Clone, Debug)]
struct Suspect {
    /// Terminations by run.
    terminations: BTreeMap<Name, Termination>,
    /// Prompts with the part on the terminated runs.
    works: BTreeSet<Fingerprint>,
    /// Run of the most recently reported termination.
    newest_run: Name,
    /// Smallest depth of the part in a prompt.
    depth: u8,
    /// Whether a prompt with the part completed earlier.
    is_sound: bool,
    /// Whether [`Event::Suspected`] was sent.
    is_announced: bool,
    /// Number of pieces of evidence sent.
    evidence_sent: usize,
    /// Completed prompts at the first termination.
    completions_before: u64,
    /// Prompts with a first event at the first termination.
    answers_before: u64,
    /// Sequence number of insertion, for eviction of the oldest.
    sequence: u64,
}

impl Suspect {
    fn prompt_count(&self) -> usize {
        self.terminations.values().map(|termination| termination.work).collect::<BTreeSet<_>>().len()
    }

    /// Returns the number of times that are [`MOMENT_GAP`] apart.
    fn moment_count(&self) -> usize {
        let mut times: Vec<Moment> = self.terminations.values().map(|termination| termination.at).collect();
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

    fn first_at(&self) -> Moment {
        self.terminations.values().map(|termination| termination.at).min().unwrap_or(Moment::ZERO)
    }

    /// Returns whether this part was on all engines that terminated under `other`. The newest termination is left out
    /// because its report for this part may still be in transit.
    fn covers(&self, other: &Suspect) -> bool {
        let mut runs = other.terminations.keys().filter(|run| **run != other.newest_run);
        runs.all(|run| self.terminations.contains_key(run))
    }

    /// Orders parts that were on the same engines by how likely each is the cause. A part that no prompt completed with
    /// comes first. A part deep in the prompt comes before those that more prompts share.
    fn rank(&self) -> (bool, u8) {
        (!self.is_sound, self.depth)
    }
}

/// Verdict against a condemned part.
#[derive(Clone, Debug, Default)]
struct Verdict {
    /// Runs that terminated under the part.
    runs: BTreeSet<Name>,
    /// Sequence number of insertion, for eviction of the oldest.
    sequence: u64,
}

/// Suspects and verdicts that one process has recorded.
#[derive(Clone, Debug, Default)]
pub struct State {
    suspects: BTreeMap<Fingerprint, Suspect>,
    condemned: BTreeMap<Fingerprint, Verdict>,
    /// Time of each termination, whatever ran on the engine.
    runs: BTreeMap<Name, Moment>,
    /// Time of the last completed prompt with each part; zero if only another process knows it.
    completed: BTreeMap<Fingerprint, Moment>,
    /// Time of the last prompt with each part that had its first event; zero if only another process knows it.
    answered: BTreeMap<Fingerprint, Moment>,
    /// Number of completed prompts.
    completions: u64,
    /// Number of prompts that had their first event.
    answers: u64,
    /// Suspected parts whose evidence is sent to other processes.
    explained: BTreeSet<Fingerprint>,
    /// Parts that another process suspects, with its evidence.
    watched: BTreeMap<Fingerprint, SharedCause>,
    next_sequence: u64,
}

impl State {
    /// Returns whether prompts with the part are no longer sent.
    pub fn is_condemned(&self, part: Fingerprint) -> bool {
        self.condemned.contains_key(&part)
    }

    /// Returns all condemned parts.
    pub fn condemned(&self) -> impl Iterator<Item = Fingerprint> {
        self.condemned.keys().copied()
    }

    /// Returns the runs that terminated under a condemned part.
    pub fn runs(&self, part: Fingerprint) -> impl Iterator<Item = &Name> {
        self.condemned.get(&part).map(|verdict| &verdict.runs).into_iter().flatten()
    }

    /// Returns the number of terminations under a part that is suspected.
    pub fn termination_count(&self, part: Fingerprint) -> usize {
        self.suspects.get(&part).map_or(0, |suspect| suspect.terminations.len())
    }

    /// Returns the suspected parts.
    pub fn suspects(&self) -> impl Iterator<Item = Fingerprint> {
        let suspects = self.suspects.iter().filter(|(_, suspect)| suspect.terminations.len() >= SUSPECT_TERMINATIONS);
        suspects.map(|(part, _)| *part)
    }

    /// Returns the parts of more than one prompt that this process or another suspects, as causes that whole requests are
    /// not condemned for.
    pub fn shared_causes(&self) -> Vec<SharedCause> {
        let mut causes = self.watched.clone();
        for part in self.suspects() {
            let Some(suspect) = self.suspects.get(&part) else { continue };
            let cause = causes.entry(part).or_default();
            cause.runs.extend(suspect.terminations.keys().cloned());
            cause.works.extend(&suspect.works);
        }
        causes.into_values().filter(|cause| (2..MAX_WORKS).contains(&cause.works.len())).collect()
    }

    /// Returns the terminations under a part that is not condemned: the run, the whole prompt and the time.
    pub fn evidence(&self, part: Fingerprint) -> impl Iterator<Item = (&Name, Fingerprint, Moment)> {
        let terminations = self.suspects.get(&part).map(|suspect| &suspect.terminations).into_iter().flatten();
        terminations.map(|(run, termination)| (run, termination.work, termination.at))
    }

    /// Returns the smallest known number of parts before a part that is not condemned.
    pub fn depth(&self, part: Fingerprint) -> u8 {
        self.suspects.get(&part).map_or(0, |suspect| suspect.depth)
    }

    /// Returns whether a prompt with a part that is not condemned completed before its first termination.
    pub fn is_sound(&self, part: Fingerprint) -> bool {
        self.suspects.get(&part).is_some_and(|suspect| suspect.is_sound)
    }

    /// Applies an event and returns the events to send to peers. `at` is the time of a termination.
    pub fn apply(&mut self, event: Event, at: Moment, now: Moment) -> Vec<Event> {
        match event {
            Event::Terminated { run, work, parts } => self.record_termination(&run, work, &parts, at),
            Event::Suspected(part) => self.answer_suspicion(part, now),
            Event::Evidence { part, run, work } => {
                self.note_evidence(part, run, work);
                Vec::new()
            }
            Event::Sound(part) => self.mark_sound(part),
            Event::Answered(part) => self.mark_answered(part, Moment::ZERO).into_iter().collect(),
            Event::Cleared(part) => {
                let cleared = self.clear(part, now);
                cleared.into_iter().chain(self.condemn_unexplained()).collect()
            }
            // This process has just seen that the verdict is wrong.
            Event::Condemned(part) if self.has_just_completed(part, now) => vec![Event::Lifted(part)],
            Event::Condemned(part) => self.condemn(part),
            Event::Lifted(part) => self.lift(part),
        }
    }

    /// Records a prompt that completed with at least one event, and clears its shared parts. Returns the events to send
    /// to peers.
    pub fn record_completion(&mut self, parts: &[SharedPart], now: Moment) -> Vec<Event> {
        self.completions += 1;
        let mut relayed = Vec::new();
        for part in parts {
            relayed.extend(self.clear(part.fingerprint, now));
        }
        if !relayed.is_empty() {
            relayed.extend(self.condemn_unexplained());
        }
        relayed
    }

    /// Records a prompt that had its first event. Returns the events to send to peers.
    pub fn record_answer(&mut self, parts: &[SharedPart], now: Moment) -> Vec<Event> {
        self.answers += 1;
        parts.iter().filter_map(|part| self.mark_answered(part.fingerprint, now)).collect()
    }

    /// Adds prompts that completed, and prompts that had their first event, at another process since its last report.
    pub fn add_progress(&mut self, completions: u64, answers: u64) {
        self.completions += completions;
        self.answers += answers;
    }

    /// Returns the number of prompts that completed.
    pub fn completions(&self) -> u64 {
        self.completions
    }

    /// Returns the number of prompts that had their first event.
    pub fn answers(&self) -> u64 {
        self.answers
    }

    /// Returns the events that bring a new peer up to date.
    pub fn events(&self) -> Vec<Event> {
        let suspects = self.suspects.iter().flat_map(|(part, suspect)| {
            suspect.terminations.iter().map(|(run, termination)| Event::Terminated {
                run: run.clone(),
                work: termination.work,
                parts: vec![SharedPart { fingerprint: *part, depth: suspect.depth }],
            })
        });
        self.condemned().map(Event::Condemned).chain(suspects).collect()
    }

    fn record_termination(&mut self, run: &Name, work: Fingerprint, parts: &[SharedPart], at: Moment) -> Vec<Event> {
        let known_at = self.runs.entry(run.clone()).or_insert(at);
        *known_at = at.min(*known_at);
        forget_older_half(&mut self.runs, MAX_RUNS);
        if let Some(part) = parts.iter().find(|part| self.is_condemned(part.fingerprint)) {
            self.attribute(part.fingerprint, BTreeSet::from([run.clone()]));
            return Vec::new();
        }
        if self.is_attributed(run) {
            return Vec::new();
        }
        let mut relayed = Vec::new();
        for part in parts {
            relayed.extend(self.accuse(*part, run, Termination { work, at }));
        }
        self.evict();
        // Evidence against one part condemns no other.
        relayed.extend(self.condemn_guilty(parts.iter().map(|part| part.fingerprint)));
        relayed
    }

    /// Records a termination as evidence against one part.
    fn accuse(&mut self, part: SharedPart, run: &Name, termination: Termination) -> Vec<Event> {
        if self.has_just_completed(part.fingerprint, termination.at) {
            return Vec::new();
        }
        self.next_sequence += 1;
        let (sequence, completions_before, answers_before) = (self.next_sequence, self.completions, self.answers);
        let is_sound = self.completed.contains_key(&part.fingerprint);
        let suspect = self.suspects.entry(part.fingerprint).or_insert_with(|| Suspect {
            terminations: BTreeMap::new(),
            works: BTreeSet::new(),
            newest_run: run.clone(),
            depth: part.depth,
            is_sound,
            is_announced: false,
            evidence_sent: 0,
            completions_before,
            answers_before,
            sequence,
        });
        suspect.depth = suspect.depth.min(part.depth);
        if suspect.works.len() < MAX_WORKS {
            suspect.works.insert(termination.work);
        }
        if suspect.terminations.insert(run.clone(), termination).is_none() {
            suspect.newest_run = run.clone();
        }
        if suspect.terminations.len() < SUSPECT_TERMINATIONS {
            return Vec::new();
        }
        let is_new_suspect = !std::mem::replace(&mut suspect.is_announced, true);
        let announced = is_new_suspect.then_some(Event::Suspected(part.fingerprint));
        announced.into_iter().chain(self.explain(part.fingerprint, run, termination)).collect()
    }

    /// Returns the evidence against a suspected part to send to peers: the newest termination, or all if none was sent yet.
    fn explain(&mut self, part: Fingerprint, run: &Name, newest: Termination) -> Vec<Event> {
        let suspects = &mut self.suspects;
        let is_recent = |suspect: &Suspect| {
            suspect.terminations.values().any(|termination| termination.at + EXPLANATION_TIME > newest.at)
        };
        self.explained.retain(|part| suspects.get(part).is_some_and(is_recent));
        if self.explained.len() >= MAX_EXPLAINED_PARTS && !self.explained.contains(&part) {
            return Vec::new();
        }
        let Some(suspect) = suspects.get_mut(&part) else { return Vec::new() };
        let evidence = |run: &Name, work| Event::Evidence { part, run: run.clone(), work };
        let mut events = match self.explained.insert(part) {
            true => suspect.terminations.iter().map(|(run, known)| evidence(run, known.work)).collect(),
            false => vec![evidence(run, newest.work)],
        };
        events.truncate(MAX_EVIDENCE_SENT - suspect.evidence_sent.min(MAX_EVIDENCE_SENT));
        suspect.evidence_sent += events.len();
        events
    }

    /// Records a termination under a part that another process suspects.
    fn note_evidence(&mut self, part: Fingerprint, run: Name, work: Fingerprint) {
        let Some(cause) = self.watched.get_mut(&part) else { return };
        if cause.works.len() < MAX_WORKS && cause.runs.len() < MAX_RUNS {
            cause.runs.insert(run);
            cause.works.insert(work);
        }
    }

    /// Returns what this process knows in favor of a part that another process suspects.
    fn answer_suspicion(&mut self, part: Fingerprint, now: Moment) -> Vec<Event> {
        if self.has_just_completed(part, now) {
            self.suspects.remove(&part);
            return vec![Event::Cleared(part)];
        }
        if self.watched.len() >= MAX_SUSPECTS {
            self.watched.pop_first();
        }
        self.watched.entry(part).or_default();
        let sound = self.completed.contains_key(&part).then_some(Event::Sound(part));
        let answered = self.answered.contains_key(&part).then_some(Event::Answered(part));
        sound.into_iter().chain(answered).collect()
    }

    /// Records that a prompt with the part had its first event. Returns the event to send to peers that may not know.
    fn mark_answered(&mut self, part: Fingerprint, at: Moment) -> Option<Event> {
        let known_at = self.answered.get(&part).copied();
        self.answered.insert(part, known_at.map_or(at, |known_at| known_at.max(at)));
        forget_older_half(&mut self.answered, MAX_COMPLETED);
        let is_suspected = self.suspects.contains_key(&part) || self.watched.contains_key(&part);
        (known_at.is_none() && is_suspected).then_some(Event::Answered(part))
    }

    /// Returns whether a prompt with the part completed within [`RECENT`] before `time`, or later.
    fn has_just_completed(&self, part: Fingerprint, time: Moment) -> bool {
        self.completed.get(&part).is_some_and(|at| *at != Moment::ZERO && *at + RECENT > time)
    }

    fn mark_sound(&mut self, part: Fingerprint) -> Vec<Event> {
        let is_new = !self.completed.contains_key(&part);
        self.completed.entry(part).or_insert(Moment::ZERO);
        forget_older_half(&mut self.completed, MAX_COMPLETED);
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.is_sound = true;
        }
        let mut relayed = Vec::new();
        relayed.extend(is_new.then_some(Event::Sound(part)));
        relayed.extend(self.condemn_unexplained());
        relayed
    }

    /// Clears a part with which a prompt completed. A prompt that was in flight when its part was condemned proves the
    /// verdict wrong.
    fn clear(&mut self, part: Fingerprint, now: Moment) -> Vec<Event> {
        self.completed.insert(part, now);
        forget_older_half(&mut self.completed, MAX_COMPLETED);
        if self.condemned.remove(&part).is_some() {
            self.watched.remove(&part);
            return vec![Event::Lifted(part)];
        }
        // Another process suspects a watched part, also if this one does not.
        let was_suspected = self.suspects.remove(&part).is_some() | self.watched.remove(&part).is_some();
        was_suspected.then_some(Event::Cleared(part)).into_iter().collect()
    }

    fn lift(&mut self, part: Fingerprint) -> Vec<Event> {
        self.watched.remove(&part);
        let was_recorded = self.suspects.remove(&part).is_some() | self.condemned.remove(&part).is_some();
        was_recorded.then_some(Event::Lifted(part)).into_iter().collect()
    }

    /// Condemns the suspects that are guilty now that another part explains less.
    fn condemn_unexplained(&mut self) -> Vec<Event> {
        let has_enough = |suspect: &Suspect| suspect.terminations.len() >= MIN_TERMINATIONS;
        let strong = self.suspects.iter().filter(|(_, suspect)| has_enough(suspect)).map(|(part, _)| *part);
        let strong: Vec<Fingerprint> = strong.collect();
        self.condemn_guilty(strong)
    }

    /// Condemns those of the parts whose evidence is sufficient. Each verdict takes evidence off the parts after it.
    fn condemn_guilty(&mut self, parts: impl IntoIterator<Item = Fingerprint>) -> Vec<Event> {
        let mut relayed = Vec::new();
        for part in parts {
            if self.is_guilty(part) {
                relayed.extend(self.condemn(part));
            }
        }
        relayed
    }

    fn is_guilty(&self, part: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get(&part) else { return false };
        let min_terminations = if suspect.is_sound { MIN_TERMINATIONS_OF_SOUND } else { MIN_TERMINATIONS };
        let count = suspect.terminations.len();
        if count < min_terminations || suspect.prompt_count() < MIN_PROMPTS || suspect.moment_count() < MIN_MOMENTS {
            return false;
        }
        let first_at = suspect.first_at();
        let all = self.runs.iter().filter(|(run, at)| **at >= first_at && !self.is_attributed(run)).count();
        count * MAX_TERMINATIONS_PER_OWN >= all
            && self.can_serve_others(part, suspect)
            && !self.is_explained_by_others(part, suspect)
    }

    /// Returns whether engines serve prompts without the part. Prompts that completed show it. While each engine
    /// terminates before any prompt completes, first events show it, if no prompt with the part is known to have had one.
    fn can_serve_others(&self, part: Fingerprint, suspect: &Suspect) -> bool {
        let has_others_answered = self.answers - suspect.answers_before >= MIN_ANSWERS;
        let has_answered = self.answered.contains_key(&part);
        let is_ever_silent = !has_answered && suspect.terminations.len() >= MIN_TERMINATIONS_OF_SILENT;
        self.completions - suspect.completions_before >= MIN_COMPLETIONS || (is_ever_silent && has_others_answered)
    }

    /// Returns whether a run terminated under a condemned part.
    pub fn is_attributed(&self, run: &Name) -> bool {
        self.condemned.values().any(|verdict| verdict.runs.contains(run))
    }

    /// Returns whether another part, at least as likely the cause, was on all engines that terminated under this one.
    /// As long as there is little evidence, several such parts together suffice: prompts that share a first part may
    /// contain different fatal parts.
    fn is_explained_by_others(&self, part: Fingerprint, suspect: &Suspect) -> bool {
        let is_as_likely = |other: &Suspect| other.rank() >= suspect.rank() && other.prompt_count() > 1;
        let others = self.suspects.iter().filter(|(other, _)| **other != part).map(|(_, other)| other);
        let others: Vec<&Suspect> = others.filter(|other| is_as_likely(other)).collect();
        if others.iter().any(|other| other.prompt_count() >= MIN_PROMPTS && other.covers(suspect)) {
            return true;
        }
        let mut earlier = suspect.terminations.keys().filter(|run| **run != suspect.newest_run);
        suspect.terminations.len() < MIN_TERMINATIONS_OF_SOUND
            && earlier.all(|run| others.iter().any(|other| other.terminations.contains_key(run)))
    }

    fn condemn(&mut self, part: Fingerprint) -> Vec<Event> {
        if self.is_condemned(part) {
            return Vec::new();
        }
        self.watched.remove(&part);
        let runs = self.suspects.remove(&part).map(|suspect| suspect.terminations.into_keys().collect());
        self.next_sequence += 1;
        self.condemned.insert(part, Verdict { runs: BTreeSet::new(), sequence: self.next_sequence });
        self.attribute(part, runs.unwrap_or_default());
        self.evict();
        vec![Event::Condemned(part)]
    }

    /// Attributes runs to a condemned part, and holds them against no other part.
    fn attribute(&mut self, part: Fingerprint, runs: BTreeSet<Name>) {
        for suspect in self.suspects.values_mut() {
            suspect.terminations.retain(|run, _| !runs.contains(run));
        }
        self.suspects.retain(|_, suspect| !suspect.terminations.is_empty());
        if let Some(verdict) = self.condemned.get_mut(&part) {
            verdict.runs.extend(runs);
            while verdict.runs.len() > MAX_RUNS {
                verdict.runs.pop_first();
            }
        }
    }

    fn evict(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let weakest =
                self.suspects.iter().min_by_key(|(_, suspect)| (suspect.terminations.len(), suspect.sequence));
            let Some(part) = weakest.map(|(part, _)| *part) else { break };
            self.suspects.remove(&part);
        }
        while self.condemned.len() > MAX_VERDICTS {
            let oldest = self.condemned.iter().min_by_key(|(_, verdict)| verdict.sequence);
            let Some(part) = oldest.map(|(part, _)| *part) else { break };
            self.condemned.remove(&part);
        }
    }
}

/// Forgets the entries with the older half of the times if there are more than `max`.
fn forget_older_half<K: Ord>(times: &mut BTreeMap<K, Moment>, max: usize) {
    if times.len() <= max {
        return;
    }
    let mut sorted: Vec<Moment> = times.values().copied().collect();
    sorted.sort_unstable();
    let median = sorted[sorted.len() / 2];
    times.retain(|_, at| *at > median);
}
