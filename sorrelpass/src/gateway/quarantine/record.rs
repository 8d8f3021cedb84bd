//! Stored form of the quarantine: one record for each request fingerprint.

use coord::name::Name;
use coord::quarantine::{Event, Fingerprint, State, Status, Weight};
use coord::termination::{Interval, Terminations};
use coord::time::Moment;
use eyre::{Result, WrapErr};
use platform::store::KeyedRecord;
use serde::{Deserialize, Serialize};

/// Maximum length of a record that is decoded, in bytes. It is enough for the names of some dozens of replicas.
const MAX_RECORD_BYTES: usize = 16 * 1_024;

/// Evidence and verdict for one request fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Whether requests with the fingerprint are no longer sent.
    pub condemned: bool,
    /// Terminations of replicas during requests with the fingerprint.
    pub ends: Vec<Termination>,
}

/// A termination of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Termination {
    /// Name of the run that terminated.
    pub run: Name,
    /// Weight of the evidence.
    pub weight: Weight,
}

impl Record {
    /// Returns the evidence and verdict of a register for a fingerprint.
    pub fn for_fingerprint(register: &State, fingerprint: Fingerprint) -> Self {
        let terminations = register
            .evidence(fingerprint)
            .chain(register.terminations(fingerprint))
            .map(|(run, weight)| Termination { run: run.clone(), weight });
        Self { condemned: register.status(fingerprint) == Status::Condemned, ends: terminations.collect() }
    }

    /// Replaces the names of the runs with the names that they have in this process. The record was read at `now`, and
    /// does not contain the times of the terminations.
    pub fn with_local_run_names(self, terminations: &mut Terminations, now: Moment) -> Self {
        let rename = |termination: Termination| Termination {
            run: terminations.record_reported(&termination.run, Interval::before(now)),
            ..termination
        };
        Self { ends: self.ends.into_iter().map(rename).collect(), ..self }
    }

    /// Encodes the record for the store.
    pub fn encode(&self) -> Result<Vec<u8>> {
        serde_json::to_vec(self).wrap_err("step=encode-quarantine")
    }

    /// Returns the record as events for a register.
    pub fn events(&self, fingerprint: Fingerprint) -> Vec<Event> {
        if self.condemned {
            return vec![Event::Condemned(fingerprint)];
        }
        let to_event = |termination: &Termination| Event::Terminated {
            fingerprint,
            run: termination.run.clone(),
            weight: termination.weight,
        };
        self.ends.iter().map(to_event).collect()
    }
}

/// Decodes a record of the quarantine topic into the fingerprint and its entry. The entry is `None` if the record was
/// removed.
pub fn decode(record: &KeyedRecord) -> Result<(Fingerprint, Option<Record>)> {
    let fingerprint = record.key.parse().wrap_err("step=decode-quarantine")?;
    let Some(value) = &record.value else { return Ok((fingerprint, None)) };
    eyre::ensure!(
        value.len() <= MAX_RECORD_BYTES,
        "step=decode-quarantine work={fingerprint}: the record has {} bytes, more than {MAX_RECORD_BYTES}",
        value.len()
    );
    let entry = serde_json::from_slice(value).wrap_err_with(|| format!("step=decode-quarantine work={fingerprint}"))?;
    Ok((fingerprint, Some(entry)))
}
