//! Rules by which accumulated evidence leads to a verdict.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::suspect::{Counting, MAX_REQUESTS, Suspect, Verdict};
use super::{Accusation, Cause, Event, Fingerprint, Proof, SUSPECT_LOSSES, SUSPECT_POINTS, State, loss_event};
use crate::name::Name;
use crate::time::Moment;

/// Points that condemn a request: three proven terminations with strong evidence, or five of any weight.
const REQUEST_POINTS: f64 = 5.0;
/// Losses at which a request is condemned even if another one was on the same replicas each time. It exceeds the four
/// sends that one caller causes with a request and its repetition, at two sends each.
const CERTAIN_LOSSES: usize = 5;
/// Losses at which a request is condemned even if a suspected part that it does not contain was on the same replicas.
/// Such a part is condemned by then, or a prompt with it has completed.
const CERTAIN_LOSSES_BESIDE_PART: usize = 10;

/// Points that condemn a part with which no prompt is known to have completed: four proven terminations with strong
/// evidence.
const PART_POINTS: f64 = 7.0;
/// Points that condemn a part with which prompts completed earlier.
const SOUND_PART_POINTS: f64 = 16.0;
/// Losses that condemn a part while too few prompts complete, if no prompt with it ever had an event. Where engines
/// terminate soon after each start, every second prompt may have no event yet; ten of them in a row are then a chance of
/// one in a thousand.
const SILENT_PART_LOSSES: usize = 10;
/// Different prompts that the losses under a part must be spread over. Repeats of a single prompt are condemned by its
/// content.
const MIN_PROMPTS: usize = 3;
/// Different times that the losses under a part must be spread over, so that a loss of many engines at once condemns
/// nothing.
const MIN_MOMENTS: usize = 3;
/// Proven terminations count in full against a part that was on at least one in this many of all engines that terminated
/// since its first loss. Engines that fail for another reason mostly do so without it.
const MAX_TERMINATIONS_PER_OWN: usize = 4;
/// Prompts that must have completed since the first loss, all of them without the part: an outage in which nothing
/// completes condemns nothing.
const MIN_COMPLETIONS: u64 = 3;
/// Prompts that must have had their first event since the first loss, none of them with the part, where too few
/// completed.
const MIN_ANSWERS: u64 = 3;

/// Losses from which a suspect may explain losses that other suspects share with it.
const LEADING_LOSSES: usize = 4;
/// Bounds the suspects that explain losses of others: as many causes as may terminate replicas at the same time.
const MAX_LEADING: usize = 3;

/// Bounds the parts whose losses are sent at a time. The loss of a failure domain makes many parts suspected at once,
/// and all processes receive what is sent.
const MAX_RELAYED_PARTS: usize = 8;
/// Bounds the losses that are sent for a part: more than those that condemn a whole request whatever else was there.
const MAX_RELAYED_LOSSES: usize = 16;
/// Time since a part's newest loss after which the losses of another part are sent in place of its own.
const RELAY_TIME: Duration = Duration::from_secs(10);

impl State {
    /// Weighs the evidence anew and condemns the causes for which it suffices. Returns the verdicts, and the evidence and
    /// suspicions to send to peers. Only a process that no other one leads decides, since it has the evidence of all.
    pub fn review(&mut self, now: Moment) -> Vec<Event> {
        self.weigh_suspects(now);
        let mut relayed = self.relay_evidence(now);
        let suspects = &self.suspects;
        let loss_count = |cause: &Cause| suspects.get(cause).map_or(0, |suspect| suspect.losses.len());
        self.repeated.retain(|cause| loss_count(cause) >= SUSPECT_LOSSES);
        let mut candidates: Vec<(Cause, usize)> =
            self.repeated.iter().map(|cause| (*cause, loss_count(cause))).collect();
        candidates.sort_by_key(|(cause, losses)| (std::cmp::Reverse(*losses), *cause));
        for (cause, _) in candidates {
            // Each verdict takes evidence off the causes after it.
            if self.is_guilty(cause) {
                relayed.extend(self.condemn(cause));
            }
        }
        relayed
    }

    /// Weighs the losses of suspects with new evidence against their background.
    fn weigh_suspects(&mut self, now: Moment) {
        if self.pending.is_empty() {
            return;
        }
        let leading = self.leading_suspects();
        let Self { suspects, background, pending, .. } = self;
        for cause in pending.iter() {
            let Some(suspect) = suspects.get_mut(cause) else { continue };
            let losses = suspect.losses.len();
            let is_stronger =
                |(other, known): &&(Cause, BTreeMap<Name, Accusation>)| other != cause && known.len() > losses;
            let explains = |run: &Name, accusation: &Accusation| {
                let mut known = leading.iter().filter(is_stronger).filter_map(|(_, losses)| losses.get(run));
                known.any(|other| other.request != accusation.request)
            };
            let shared = suspect.losses.iter().filter(|(run, accusation)| explains(run, accusation));
            let shared: BTreeSet<Name> = shared.map(|(run, _)| run.clone()).collect();
            let others = leading.iter().filter(|(other, _)| other != cause).flat_map(|(_, losses)| losses.keys());
            let others: BTreeSet<&Name> = others.filter(|run| !suspect.losses.contains_key(*run)).collect();
            suspect.weigh(background, &others, &shared, now);
        }
    }

    /// Returns the losses of the few suspects with the most of them that no request is known to have completed with.
    fn leading_suspects(&self) -> Vec<(Cause, BTreeMap<Name, Accusation>)> {
        let is_leading = |suspect: &Suspect| !suspect.is_sound && suspect.losses.len() >= LEADING_LOSSES;
        let repeated = self.repeated.iter().filter_map(|cause| self.suspects.get_key_value(cause));
        let mut leading: Vec<(&Cause, &Suspect)> = repeated.filter(|(_, suspect)| is_leading(suspect)).collect();
        leading.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.losses.len()));
        leading.truncate(MAX_LEADING);
        leading.into_iter().map(|(cause, suspect)| (*cause, suspect.losses.clone())).collect()
    }

    /// Returns the losses of suspects that peers have not received, and the parts that they are asked about.
    fn relay_evidence(&mut self, now: Moment) -> Vec<Event> {
        let is_recent = |suspect: &Suspect| suspect.losses.values().any(|loss| loss.at + RELAY_TIME > now);
        let Self { suspects, relayed_parts, pending, .. } = self;
        relayed_parts.retain(|part| suspects.get(&Cause::Part(*part)).is_some_and(is_recent));
        let mut relayed = Vec::new();
        for cause in pending.iter() {
            let Some(suspect) = suspects.get_mut(cause) else { continue };
            let max_losses = match *cause {
                Cause::Request(_) if suspect.points(Counting::Guarded) < SUSPECT_POINTS => continue,
                Cause::Request(_) => usize::MAX,
                Cause::Part(_) if suspect.losses.len() < SUSPECT_LOSSES => continue,
                Cause::Part(part) => {
                    let is_new = !std::mem::replace(&mut suspect.is_announced, true);
                    relayed.extend(is_new.then_some(Event::Suspected(part)));
                    if relayed_parts.len() >= MAX_RELAYED_PARTS && !relayed_parts.contains(&part) {
                        continue;
                    }
                    relayed_parts.insert(part);
                    MAX_RELAYED_LOSSES
                }
            };
            let unsent = suspect.take_unsent(max_losses);
            relayed.extend(unsent.iter().map(|(run, accusation)| loss_event(*cause, suspect, run, accusation)));
        }
        let is_open = |cause: &Cause, suspect: &Suspect| suspect.is_recent(matches!(cause, Cause::Request(_)), now);
        pending.retain(|cause| suspects.get(cause).is_some_and(|suspect| is_open(cause, suspect)));
        relayed
    }

    fn is_guilty(&self, cause: Cause) -> bool {
        let Some(suspect) = self.suspects.get(&cause) else { return false };
        match cause {
            Cause::Request(request) => {
                suspect.points(Counting::Guarded) >= REQUEST_POINTS && self.is_certain(request, suspect)
            }
            Cause::Part(part) => self.is_guilty_part(part, suspect),
        }
    }

    /// Returns whether nothing else was on all replicas that were lost under a request, so that only this one can be the
    /// cause. With many losses a request is condemned whatever else was there.
    fn is_certain(&self, request: Fingerprint, suspect: &Suspect) -> bool {
        let count = suspect.losses.len();
        let covers = |other: &Suspect| other.covers(suspect);
        let is_other = |cause: &Cause| *cause != Cause::Request(request);
        let mut others = self.suspects.iter().filter(|(cause, _)| is_other(cause));
        let has_other = others.any(|(cause, other)| matches!(cause, Cause::Request(_)) && covers(other));
        let is_other_part = |cause: &Cause, other: &Suspect| {
            matches!(cause, Cause::Part(_))
                && (2..MAX_REQUESTS).contains(&other.requests.len())
                && !other.requests.contains(&request)
        };
        let mut parts = self.suspects.iter().filter(|(cause, other)| is_other_part(cause, other));
        let has_part = parts.any(|(_, other)| other.losses.len() >= SUSPECT_LOSSES && covers(other));
        (!has_other || count >= CERTAIN_LOSSES) && (!has_part || count >= CERTAIN_LOSSES_BESIDE_PART)
    }

    fn is_guilty_part(&self, part: Fingerprint, suspect: &Suspect) -> bool {
        let min_points = if suspect.is_sound { SOUND_PART_POINTS } else { PART_POINTS };
        // The cheaper conditions come first: in an outage many parts have much evidence.
        suspect.points(Counting::Full) >= min_points
            && self.can_serve_others(part, suspect)
            && suspect.points(self.counting(suspect)) >= min_points
            && suspect.request_count() >= MIN_PROMPTS
            && suspect.moment_count() >= MIN_MOMENTS
            && !self.is_explained_by_others(part, suspect)
    }

    /// Returns how much proven terminations count against a part: in full if it was on a substantial share of all that
    /// happened meanwhile.
    fn counting(&self, suspect: &Suspect) -> Counting {
        let own = suspect.losses.values().filter(|accusation| accusation.proof == Proof::Proven).count();
        let all = self.background.proven_since(suspect.first_at(), |run| !self.is_attributed(run));
        if own * MAX_TERMINATIONS_PER_OWN >= all { Counting::Full } else { Counting::Weighed }
    }

    /// Returns whether engines serve prompts without the part. Prompts that completed show it. While each engine
    /// terminates before any prompt completes, first events show it, if no prompt with the part is known to have had one.
    fn can_serve_others(&self, part: Fingerprint, suspect: &Suspect) -> bool {
        let has_others_answered = self.answers - suspect.answers_before >= MIN_ANSWERS;
        let is_ever_silent = !self.history.is_answered(part) && suspect.losses.len() >= SILENT_PART_LOSSES;
        self.completions - suspect.completions_before >= MIN_COMPLETIONS || (is_ever_silent && has_others_answered)
    }

    /// Returns whether another part, at least as likely the cause, was on all engines that were lost under this one. As
    /// long as there is little evidence, several such parts together suffice: prompts that share a first part may contain
    /// different fatal parts.
    fn is_explained_by_others(&self, part: Fingerprint, suspect: &Suspect) -> bool {
        let is_other = |cause: &Cause| matches!(cause, Cause::Part(other) if *other != part);
        let is_as_likely = |other: &Suspect| other.rank() >= suspect.rank() && other.request_count() > 1;
        let others = self.suspects.iter().filter(|(cause, _)| is_other(cause)).map(|(_, other)| other);
        let others: Vec<&Suspect> = others.filter(|other| is_as_likely(other)).collect();
        if others.iter().any(|other| other.request_count() >= MIN_PROMPTS && other.covers(suspect)) {
            return true;
        }
        let is_in_others = |run: &Name| others.iter().any(|other| other.losses.contains_key(run));
        suspect.points(Counting::Full) < SOUND_PART_POINTS && suspect.earlier_runs().all(is_in_others)
    }
}

/// Returns the condemned requests whose verdict rests on losses that another cause explains.
pub(super) fn unsupported_verdicts(
    condemned: &BTreeMap<Cause, Verdict>,
    explained: &BTreeMap<Name, Accusation>,
) -> Vec<Cause> {
    let is_unsupported = |verdict: &Verdict| {
        let remaining = verdict.losses.iter().filter(|(run, _)| !explained.contains_key(*run));
        let points: u32 = remaining.map(|(_, accusation)| accusation.weight.points()).sum();
        verdict.losses.keys().any(|run| explained.contains_key(run)) && f64::from(points) < REQUEST_POINTS
    };
    let requests = condemned.iter().filter(|(cause, _)| matches!(cause, Cause::Request(_)));
    requests.filter(|(_, verdict)| is_unsupported(verdict)).map(|(cause, _)| *cause).collect()
}
