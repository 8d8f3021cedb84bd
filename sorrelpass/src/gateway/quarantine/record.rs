//! Stored form of the quarantine: one record for each request or part.

use std::time::Duration;

use coord::name::Name;
use coord::quarantine::{Accusation, Cause, Event, Fingerprint, Loss, Proof, SharedPart, State, Weight};
use coord::termination::{Interval, Terminations};
use coord::time::Moment;
use eyre::{Result, WrapErr};
use platform::store::KeyedRecord;
use serde::{Deserialize, Serialize};

/// Prefix of the store's keys of parts. Keys without it are fingerprints of whole requests.
pub const PART_PREFIX: &str = "part-";
/// Maximum length of a record that is decoded, in bytes. It is enough for [`MAX_ENDS`] terminations.
const MAX_RECORD_BYTES: usize = 32 * 1_024;
/// Bounds the terminations that a record names: a multiple of what a verdict needs.
const MAX_ENDS: usize = 64;

/// Evidence and verdict for one cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Whether requests of the cause are no longer sent.
    pub condemned: bool,
    /// Losses of replicas during requests of the cause.
    pub ends: Vec<End>,
    /// Number of parts before a part in the prompt.
    #[serde(default)]
    depth: u8,
    /// Whether a prompt with the part completed earlier.
    #[serde(default)]
    is_sound: bool,
}

/// A loss of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Name of the run that was lost.
    pub run: Name,
    /// Weight of the evidence.
    weight: Weight,
    /// Whether the run terminated.
    #[serde(default)]
    proof: Proof,
    /// Fingerprint of the whole request; `None` if the record is that of the request.
    #[serde(default)]
    request: Option<Fingerprint>,
    /// Time from the loss to the writing of the record.
    #[serde(default)]
    age: Duration,
}

/// Record of a part as versions before the common form wrote it.
#[derive(Deserialize)]
enum FormerRecord {
    Condemned { runs: Vec<Name> },
}

/// Record in either form.
#[derive(Deserialize)]
#[serde(untagged)]
enum AnyRecord {
    Current(Record),
    Former(FormerRecord),
}

/// Returns the store's key of a cause.
pub fn key(cause: Cause) -> String {
    match cause {
        Cause::Request(fingerprint) => fingerprint.to_string(),
        Cause::Part(fingerprint) => format!("{PART_PREFIX}{fingerprint}"),
    }
}

impl Record {
    /// Returns the evidence and verdict of a state for a cause at `now`.
    pub(super) fn of(state: &State, cause: Cause, now: Moment) -> Self {
        let to_end = |(run, accusation): (&Name, &Accusation)| End {
            run: run.clone(),
            weight: accusation.weight,
            proof: accusation.proof,
            request: (cause != Cause::Request(accusation.request)).then_some(accusation.request),
            age: now.since(accusation.at),
        };
        Self {
            condemned: state.is_condemned(cause),
            ends: state.losses(cause).take(MAX_ENDS).map(to_end).collect(),
            depth: state.depth(cause),
            is_sound: state.is_sound(cause),
        }
    }

    /// Replaces the names of the runs with the names that they have in this process. The record was read at `now`; how long
    /// it had been in the store is unknown.
    pub(super) fn with_local_run_names(mut self, terminations: &mut Terminations, now: Moment) -> Self {
        for end in &mut self.ends {
            end.run = terminations.record_reported(&end.run, Interval::before(now - end.age));
        }
        self
    }

    /// Returns the record as events for the state of this process.
    pub(super) fn events(&self, cause: Cause) -> Vec<Event> {
        if self.condemned {
            return vec![Event::Condemned(cause)];
        }
        let sound = match cause {
            Cause::Part(part) if self.is_sound => Some(Event::Sound(part)),
            _ => None,
        };
        sound.into_iter().chain(self.ends.iter().map(|end| self.loss(cause, end))).collect()
    }

    fn loss(&self, cause: Cause, end: &End) -> Event {
        let (request, parts) = match cause {
            Cause::Request(request) => (request, Vec::new()),
            Cause::Part(fingerprint) => {
                let part = SharedPart { fingerprint, depth: self.depth };
                (end.request.unwrap_or(fingerprint), vec![part])
            }
        };
        Event::Lost(Loss { run: end.run.clone(), request, parts, weight: end.weight, proof: end.proof })
    }

    /// Returns whether a newer record of the same cause tells more than this one.
    pub(super) fn lacks(&self, newer: &Record) -> bool {
        let is_known = |end: &End| {
            self.ends.iter().any(|own| own.run == end.run && own.weight >= end.weight && own.proof >= end.proof)
        };
        !self.condemned && (newer.condemned || (newer.is_sound && !self.is_sound) || !newer.ends.iter().all(is_known))
    }

    /// Encodes the record for the store.
    pub(super) fn encode(&self) -> Result<Vec<u8>> {
        serde_json::to_vec(self).wrap_err("step=encode-quarantine")
    }
}

/// Decodes a record of the quarantine topic into the cause and its entry. The entry is `None` if the record was removed.
pub fn decode(record: &KeyedRecord) -> Result<(Cause, Option<Record>)> {
    let cause = match record.key.strip_prefix(PART_PREFIX) {
        Some(key) => Cause::Part(key.parse().wrap_err("step=decode-quarantine")?),
        None => Cause::Request(record.key.parse().wrap_err("step=decode-quarantine")?),
    };
    let Some(value) = &record.value else { return Ok((cause, None)) };
    let fingerprint = cause.fingerprint();
    eyre::ensure!(
        value.len() <= MAX_RECORD_BYTES,
        "step=decode-quarantine {}={fingerprint}: the record has {} bytes, more than {MAX_RECORD_BYTES}",
        cause.kind(),
        value.len()
    );
    let decoded = serde_json::from_slice(value)
        .wrap_err_with(|| format!("step=decode-quarantine {}={fingerprint}", cause.kind()))?;
    let entry = match decoded {
        AnyRecord::Current(record) => record,
        AnyRecord::Former(FormerRecord::Condemned { runs }) => {
            let end =
                |run| End { run, weight: Weight::Strong, proof: Proof::Proven, request: None, age: Duration::ZERO };
            Record { condemned: true, ends: runs.into_iter().map(end).collect(), depth: 0, is_sound: false }
        }
    };
    Ok((cause, Some(entry)))
}
