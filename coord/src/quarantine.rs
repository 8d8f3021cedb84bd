//! Quarantine of work that repeatedly coincides with replica terminations.
//!
//! A faulty request can terminate every replica that starts to run it. All requests for the same work share a
//! fingerprint, [`Work`]. Each termination is evidence against all work that ran on the replica, most of it innocent;
//! the work that is present again at the next termination accumulates evidence. Work with enough evidence is
//! *condemned*: no replica receives it until an operator lifts the verdict. A complete successful answer clears the
//! work.
//!
//! Processes exchange evidence and verdicts as [`News`], which can arrive in any order, late or repeatedly. A
//! [`Register`] that received a verdict keeps it, whatever else arrives. Entries do not expire with time.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::invariant;
use crate::name::Name;

/// BLAKE3 key-derivation context of the fingerprints.
const CONTEXT: &str = "sorrelpass quarantine fingerprint of work 1";
/// Points at which work is condemned: three terminations with [`Weight::Strong`] evidence, or five of any weight.
const CONDEMNED_POINTS: u32 = 5;
/// Number of terminations at which work is condemned even if other work was on the same replicas each time. It
/// exceeds the four sends that one caller causes with a request and its repetition, at two sends each.
const CERTAIN_ENDS: usize = 5;
/// Points at which work is isolated from other work.
const SUSPECT_POINTS: u32 = 2;
/// Points at which evidence is persisted beyond the lifetime of all processes: strong evidence from two terminations.
/// One more termination condemns the work, whichever process observes it.
const LASTING_POINTS: u32 = 4;
/// Maximum number of suspects; enough for 250 terminations of replicas with 16 requests each, at about 1 MB.
const MOST_SUSPECTS: usize = 4_096;
/// Maximum number of verdicts; each takes 32 bytes plus the names of a few replicas.
const MOST_CONDEMNED: usize = 4_096;

/// Fingerprint of the work that a request asks for; equal for each repetition, whichever entry receives it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Work(pub [u8; 16]);

impl Work {
    /// Returns the fingerprint of a request from its parts. Each part is prefixed with its length, so that different
    /// lists of parts never yield the same input. The hash uses its own context, so that hashes of the same text from
    /// other sources do not reveal the fingerprint.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut work = Self([0; 16]);
        work.0.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        work
    }
}

impl fmt::Display for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Work({self})")
    }
}

/// Error for a text that is not a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a fingerprint is 32 hexadecimal digits")
    }
}

impl std::error::Error for Malformed {}

impl FromStr for Work {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(Malformed);
        }
        u128::from_str_radix(text, 16).map(|number| Self(number.to_be_bytes())).map_err(|_| Malformed)
    }
}

/// Strength of the evidence that a termination provides against work on the replica.
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

/// Event that a process observes and sends to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// A replica terminated while it held a request for the work.
    Ended {
        /// Fingerprint of the work.
        work: Work,
        /// Name of the terminated run, unique among all runs of all replicas.
        run: Name,
        /// Strength of the evidence.
        weight: Weight,
    },
    /// A request for the work completed successfully.
    Cleared(Work),
    /// The work is condemned.
    Condemned(Work),
    /// An operator lifted the verdict or the suspicion.
    Lifted(Work),
}

impl News {
    /// Returns the work that the event concerns.
    pub const fn work(&self) -> Work {
        match self {
            News::Ended { work, .. } => *work,
            News::Cleared(work) | News::Condemned(work) | News::Lifted(work) => *work,
        }
    }
}

/// Status of work in the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// The evidence is below the suspicion threshold.
    Clear,
    /// The work is sent, but isolated from other work.
    Suspect,
    /// The work is rejected.
    Condemned,
}

/// Evidence against work that is not condemned.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Evidence by terminated run.
    ends: BTreeMap<Name, Weight>,
    /// Run of the most recently reported termination.
    newest: Name,
    /// Sequence number of insertion, for eviction of the oldest.
    order: u64,
}

impl Suspect {
    fn points(&self) -> u32 {
        self.ends.values().map(|weight| weight.points()).sum()
    }
}

/// Verdict against condemned work.
#[derive(Clone, Debug, Default)]
struct Verdict {
    /// Known runs that terminated under the work.
    ends: BTreeMap<Name, Weight>,
    /// Sequence number of insertion, for eviction of the oldest.
    order: u64,
}

/// Suspects and verdicts that one process knows of.
#[derive(Clone, Debug, Default)]
pub struct Register {
    suspects: BTreeMap<Work, Suspect>,
    condemned: BTreeMap<Work, Verdict>,
    next_order: u64,
}

impl Register {
    /// Returns the status of work.
    pub fn standing(&self, work: Work) -> Standing {
        if self.condemned.contains_key(&work) {
            return Standing::Condemned;
        }
        match self.suspects.get(&work) {
            Some(suspect) if suspect.points() >= SUSPECT_POINTS => Standing::Suspect,
            _ => Standing::Clear,
        }
    }

    /// Applies an event and returns the events to send to peers. The result is empty if the event was known or adds
    /// too little evidence.
    pub fn hear(&mut self, news: News) -> Vec<News> {
        match news {
            News::Ended { work, run, weight } => self.ended(work, run, weight),
            News::Cleared(work) => self.cleared(work),
            News::Condemned(work) => self.condemn(work),
            News::Lifted(work) => self.lift(work),
        }
    }

    /// Returns the known runs that terminated under condemned work, with the strength of the evidence.
    pub fn ends(&self, work: Work) -> impl Iterator<Item = (&Name, Weight)> {
        let ends = self.condemned.get(&work).map(|verdict| &verdict.ends);
        ends.into_iter().flatten().map(|(run, weight)| (run, *weight))
    }

    /// Returns the evidence against work that is not condemned, by terminated run.
    pub fn evidence(&self, work: Work) -> impl Iterator<Item = (&Name, Weight)> {
        let ends = self.suspects.get(&work).map(|suspect| &suspect.ends);
        ends.into_iter().flatten().map(|(run, weight)| (run, *weight))
    }

    /// Returns all condemned work.
    pub fn condemned(&self) -> impl Iterator<Item = Work> {
        self.condemned.keys().copied()
    }

    /// Returns the suspects with their points.
    pub fn suspects(&self) -> impl Iterator<Item = (Work, u32)> {
        let counted = self.suspects.iter().map(|(work, suspect)| (*work, suspect.points()));
        counted.filter(|(_, points)| *points >= SUSPECT_POINTS)
    }

    /// Returns the work whose evidence is worth persisting. With `unheard`, when no peer receives the events, that
    /// includes all suspects: terminations observed by three isolated processes then condemn work just as those
    /// observed by one.
    pub fn lasting(&self, unheard: bool) -> impl Iterator<Item = Work> {
        let least = if unheard { SUSPECT_POINTS } else { LASTING_POINTS };
        let suspects = self.suspects().filter(move |(_, points)| *points >= least).map(|(work, _)| work);
        self.condemned().chain(suspects)
    }

    /// Returns the events that bring a new peer up to date.
    pub fn all(&self) -> Vec<News> {
        let condemned = self.condemned().map(News::Condemned);
        let suspects = self.suspects().flat_map(|(work, _)| {
            self.evidence(work).map(move |(run, weight)| News::Ended { work, run: run.clone(), weight })
        });
        condemned.chain(suspects).collect()
    }

    fn ended(&mut self, work: Work, run: Name, weight: Weight) -> Vec<News> {
        if self.condemned.contains_key(&work) || self.is_explained(&run) {
            return Vec::new();
        }
        self.next_order += 1;
        let order = self.next_order;
        let suspect = self.suspects.entry(work).or_insert_with(|| Suspect { order, ..Suspect::default() });
        let known = suspect.ends.insert(run.clone(), weight);
        suspect.newest = run.clone();
        if let Some(known) = known.filter(|known| *known >= weight) {
            suspect.ends.insert(run, known);
            return Vec::new();
        }
        let (points, ends) = (suspect.points(), suspect.ends.len());
        let mut told = Vec::new();
        if points >= SUSPECT_POINTS {
            told.push(News::Ended { work, run, weight });
        }
        if points >= CONDEMNED_POINTS && (ends >= CERTAIN_ENDS || !self.is_tied(work)) {
            told.extend(self.condemn(work));
        }
        self.evict();
        told
    }

    /// Returns whether the termination of `run` is attributed to condemned work, which exonerates all other work on
    /// that replica. Innocent work that repeatedly shared a replica with the condemned work is cleared this way.
    fn is_explained(&self, run: &Name) -> bool {
        self.condemned.values().any(|verdict| verdict.ends.contains_key(run))
    }

    /// Returns whether some other work was on all replicas that terminated under this work, so that either may be the
    /// cause. The newest termination is left out because its report for the other work may still be in transit.
    fn is_tied(&self, work: Work) -> bool {
        let Some(suspect) = self.suspects.get(&work) else { return false };
        let earlier: Vec<&Name> = suspect.ends.keys().filter(|run| **run != suspect.newest).collect();
        let mut others = self.suspects.iter().filter(|(other, _)| **other != work);
        others.any(|(_, other)| earlier.iter().all(|run| other.ends.contains_key(*run)))
    }

    fn condemn(&mut self, work: Work) -> Vec<News> {
        if self.condemned.contains_key(&work) {
            return Vec::new();
        }
        let ends = self.suspects.remove(&work).map(|suspect| suspect.ends).unwrap_or_default();
        for suspect in self.suspects.values_mut() {
            suspect.ends.retain(|run, _| !ends.contains_key(run));
        }
        self.suspects.retain(|_, suspect| !suspect.ends.is_empty());
        self.next_order += 1;
        self.condemned.insert(work, Verdict { ends, order: self.next_order });
        self.evict();
        vec![News::Condemned(work)]
    }

    /// Clears work after a complete successful answer. An answer that was in flight when its work was condemned
    /// proves the verdict wrong.
    fn cleared(&mut self, work: Work) -> Vec<News> {
        let told = match self.standing(work) {
            Standing::Clear => Vec::new(),
            Standing::Suspect => vec![News::Cleared(work)],
            Standing::Condemned => vec![News::Lifted(work)],
        };
        self.forget(work);
        told
    }

    fn lift(&mut self, work: Work) -> Vec<News> {
        let was_known = self.standing(work) != Standing::Clear;
        self.forget(work);
        if was_known { vec![News::Lifted(work)] } else { Vec::new() }
    }

    fn forget(&mut self, work: Work) {
        self.suspects.remove(&work);
        self.condemned.remove(&work);
    }

    /// Bounds the state: evicts the suspect with the fewest points, the oldest first among equals, and the oldest
    /// verdict.
    fn evict(&mut self) {
        while self.suspects.len() > MOST_SUSPECTS {
            let least = self.suspects.iter().min_by_key(|(_, suspect)| (suspect.points(), suspect.order));
            let Some(work) = least.map(|(work, _)| *work) else { break };
            self.suspects.remove(&work);
        }
        while self.condemned.len() > MOST_CONDEMNED {
            let oldest = self.condemned.iter().min_by_key(|(_, verdict)| verdict.order);
            let Some(work) = oldest.map(|(work, _)| *work) else { break };
            self.condemned.remove(&work);
        }
        invariant!(
            self.suspects.keys().all(|work| !self.condemned.contains_key(work)),
            "condemned work is no suspect any more"
        );
    }
}
