//! Stored form of the quarantine of prompt parts: one record for each part.

use std::collections::BTreeSet;
use std::time::Duration;

use coord::name::Name;
use coord::part_quarantine::{Event, SharedPart, State};
use coord::quarantine::Fingerprint;
use coord::termination::{Interval, Terminations};
use coord::time::Moment;
use eyre::{Result, WrapErr};
use platform::store::KeyedRecord;
use serde::{Deserialize, Serialize};

/// Prefix of the store's keys of parts. Keys without it are fingerprints of whole requests.
pub const KEY_PREFIX: &str = "part-";

/// Returns the store's key of a part.
pub fn key(part: Fingerprint) -> String {
    format!("{KEY_PREFIX}{part}")
}

/// Evidence or verdict for one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Prompts with the part are no longer sent.
    Condemned {
        /// Runs that terminated under the part.
        runs: Vec<Name>,
    },
    /// Engines terminated under the part. Entries that exchange nothing else add up their evidence in this record.
    Suspected {
        /// Number of parts before it in the prompt.
        depth: u8,
        /// Whether a prompt with the part completed earlier.
        is_sound: bool,
        /// Terminations under the part.
        ends: Vec<Termination>,
    },
}

/// A termination of an engine under a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Termination {
    /// Name of the run that terminated.
    run: Name,
    /// Fingerprint of the whole prompt.
    work: Fingerprint,
    /// Time from the termination to the writing of the record.
    age: Duration,
}

/// Contents of a record, with the names that the runs have in this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stored {
    /// The part is condemned.
    Condemned,
    /// The part is suspected.
    Suspected {
        /// Whether a prompt with the part completed earlier.
        is_sound: bool,
        /// Runs that terminated under the part.
        runs: BTreeSet<Name>,
    },
}

impl Record {
    /// Returns the record of a part that is condemned or suspected at `now`.
    pub(super) fn of(state: &State, part: Fingerprint, now: Moment) -> Self {
        if state.is_condemned(part) {
            return Self::Condemned { runs: state.runs(part).cloned().collect() };
        }
        let ends =
            state.evidence(part).map(|(run, work, at)| Termination { run: run.clone(), work, age: now.since(at) });
        Self::Suspected { depth: state.depth(part), is_sound: state.is_sound(part), ends: ends.collect() }
    }

    /// Returns the runs that terminated under the part.
    pub fn runs(&self) -> Vec<&str> {
        match self {
            Self::Condemned { runs } => runs.iter().map(|run| &**run).collect(),
            Self::Suspected { ends, .. } => ends.iter().map(|end| &*end.run).collect(),
        }
    }

    /// Returns whether prompts with the part are no longer sent.
    pub const fn is_condemned(&self) -> bool {
        matches!(self, Self::Condemned { .. })
    }

    /// Replaces the names of the runs with the names that they have in this process. The record was read at `now`; how
    /// long it had been in the store is unknown.
    pub(super) fn with_local_run_names(mut self, terminations: &mut Terminations, now: Moment) -> Self {
        if let Self::Suspected { ends, .. } = &mut self {
            for end in ends {
                end.run = terminations.record_reported(&end.run, Interval::before(now - end.age));
            }
        }
        self
    }

    /// Returns what the store has for the part.
    pub(super) fn stored(&self) -> Stored {
        match self {
            Self::Condemned { .. } => Stored::Condemned,
            Self::Suspected { is_sound, ends, .. } => {
                Stored::Suspected { is_sound: *is_sound, runs: ends.iter().map(|end| end.run.clone()).collect() }
            }
        }
    }

    /// Returns the record as events for the state of this process.
    pub(super) fn into_events(self, part: Fingerprint) -> Vec<Event> {
        let (depth, is_sound, ends) = match self {
            Self::Condemned { .. } => return vec![Event::Condemned(part)],
            Self::Suspected { depth, is_sound, ends } => (depth, is_sound, ends),
        };
        let sound = is_sound.then_some(Event::Sound(part));
        let terminated = ends.into_iter().map(|end| Event::Terminated {
            run: end.run,
            work: end.work,
            parts: vec![SharedPart { fingerprint: part, depth }],
        });
        sound.into_iter().chain(terminated).collect()
    }

    /// Encodes the record for the store.
    pub fn encode(&self) -> Result<Vec<u8>> {
        serde_json::to_vec(self).wrap_err("step=encode-quarantine")
    }
}

impl Stored {
    /// Returns whether a state knows more about the part than the store.
    pub(super) fn lacks(&self, state: &State, part: Fingerprint) -> bool {
        match self {
            Self::Condemned => false,
            Self::Suspected { .. } if state.is_condemned(part) => true,
            Self::Suspected { is_sound, runs } => {
                (state.is_sound(part) && !is_sound) || state.evidence(part).any(|(run, ..)| !runs.contains(run))
            }
        }
    }
}

/// Decodes a record whose key is `part-` and `key`. The record is `None` if it was removed.
pub fn decode(key: &str, record: &KeyedRecord) -> Result<(Fingerprint, Option<Record>)> {
    let part = key.parse().wrap_err("step=decode-quarantine")?;
    let Some(value) = &record.value else { return Ok((part, None)) };
    let entry = serde_json::from_slice(value).wrap_err_with(|| format!("step=decode-quarantine part={part}"))?;
    Ok((part, Some(entry)))
}
