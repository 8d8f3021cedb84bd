//! The form in which the quarantine stands in the store: one record for each piece of work, under its fingerprint.

use coord::end::{Ends, Span};
use coord::name::Name;
use coord::quarantine::{News, Register, Standing, Weight, Work};
use coord::time::Moment;
use eyre::{Result, WrapErr};
use platform::store::Keyed;
use serde::{Deserialize, Serialize};

/// Longest record that is read, in bytes: the names of some dozens of replicas.
const MOST_BYTES: usize = 16 * 1_024;

/// What is known against one piece of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Whether it is sent no more.
    pub condemned: bool,
    /// Replicas that ended under it.
    pub ends: Vec<End>,
}

/// One end of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The run of the replica.
    pub run: Name,
    /// What that says against the work.
    pub weight: Weight,
}

impl Entry {
    /// What a register has against work.
    pub fn of(register: &Register, work: Work) -> Self {
        let ends =
            register.evidence(work).chain(register.ends(work)).map(|(run, weight)| End { run: run.clone(), weight });
        Self { condemned: register.standing(work) == Standing::Condemned, ends: ends.collect() }
    }

    /// The same with the names that its runs have here, as it was read at `now`. When they ended it does not tell.
    pub fn renamed(self, ends: &mut Ends, now: Moment) -> Self {
        let renamed = |end: End| End { run: ends.heard(&end.run, Span::before(now)), ..end };
        Self { ends: self.ends.into_iter().map(renamed).collect(), ..self }
    }

    /// Its form in the store.
    pub fn encode(&self) -> Result<Vec<u8>> {
        serde_json::to_vec(self).wrap_err("step=encode-quarantine")
    }

    /// What it tells a register.
    pub fn news(&self, work: Work) -> Vec<News> {
        if self.condemned {
            return vec![News::Condemned(work)];
        }
        let ended = |end: &End| News::Ended { work, run: end.run.clone(), weight: end.weight };
        self.ends.iter().map(ended).collect()
    }
}

/// Decodes one record of the topic: the work, and what is known against it; none if that was taken back.
pub fn decode(record: &Keyed) -> Result<(Work, Option<Entry>)> {
    let work = record.key.parse().wrap_err("step=decode-quarantine")?;
    let Some(value) = &record.value else { return Ok((work, None)) };
    eyre::ensure!(value.len() <= MOST_BYTES, "step=decode-quarantine work={work}: {} bytes", value.len());
    let entry = serde_json::from_slice(value).wrap_err_with(|| format!("step=decode-quarantine work={work}"))?;
    Ok((work, Some(entry)))
}
