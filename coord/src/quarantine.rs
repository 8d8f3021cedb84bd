//! Quarantine of requests that repeatedly coincide with replica terminations.
//!
//! A faulty request can terminate every replica that starts to run it. All repetitions of a request share a
//! [`Fingerprint`]. Each termination is evidence against the fingerprints of all requests on the replica, most
//! of them innocent; a fingerprint that is present again at the next termination accumulates evidence. A fingerprint
//! with enough evidence is *condemned*: no replica receives its requests until an operator lifts the verdict. A
//! complete successful answer clears it.
//!
//! Processes exchange evidence and verdicts as [`Event`], which can arrive in any order, late or repeatedly. A
//! [`State`] that received a verdict keeps it, whatever else arrives. Entries do not expire with time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::invariant;
use crate::name::Name;

/// BLAKE3 key-derivation context of the fingerprints.
const FINGERPRINT_CONTEXT: &str = "sorrelpass quarantine fingerprint of work 1";
/// Points at which a fingerprint is condemned: three terminations with [`Weight::Strong`] evidence, or five of any
/// weight.
const CONDEMNED_POINTS: u32 = 5;
/// Number of terminations at which a fingerprint is condemned even if another one was on the same replicas each time.
/// It exceeds the four sends that one caller causes with a request and its repetition, at two sends each.
const CERTAIN_TERMINATIONS: usize = 5;
/// Number of terminations at which a fingerprint is condemned even if a suspected part that it does not contain was on the
/// same replicas. Such a part is condemned by then, or a prompt with it has completed.
const CERTAIN_TERMINATIONS_BESIDE_PART: usize = 10;
/// Points at which requests are isolated from others.
const SUSPECT_POINTS: u32 = 2;
/// Points at which evidence is persisted beyond the lifetime of all processes: strong evidence from two terminations.
/// One more termination condemns the fingerprint, whichever process observes it.
const PERSISTENT_POINTS: u32 = 4;
/// Maximum number of suspects; enough for 250 terminations of replicas with 16 requests each, at about 1 MB.
const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of verdicts; each takes 32 bytes plus the names of a few replicas.
const MAX_VERDICTS: usize = 4_096;

/// Fingerprint of a request, equal for each repetition, whichever entry receives it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Returns the fingerprint of a request from its parts. Each part is prefixed with its length, so that different
    /// lists of parts never yield the same input. The hash uses its own context, so that hashes of the same text from
    /// other sources do not reveal the fingerprint.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(FINGERPRINT_CONTEXT);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut fingerprint = Self([0; 16]);
        fingerprint.0.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        fingerprint
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Work({self})")
    }
}

/// Error for a text that is not a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseFingerprintError;

impl fmt::Display for ParseFingerprintError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a fingerprint is 32 hexadecimal digits")
    }
}

impl std::error::Error for ParseFingerprintError {}

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, ParseFingerprintError> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseFingerprintError);
        }
        u128::from_str_radix(text, 16).map(|number| Self(number.to_be_bytes())).map_err(|_| ParseFingerprintError)
    }
}

/// Strength of the evidence that a termination provides against a request on the replica.
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
pub enum Event {
    /// A replica terminated while it held a request with the fingerprint.
    Terminated {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Name of the terminated run, unique among all runs of all replicas.
        run: Name,
        /// Strength of the evidence.
        weight: Weight,
    },
    /// A request with the fingerprint completed successfully.
    Cleared(Fingerprint),
    /// The fingerprint is condemned.
    Condemned(Fingerprint),
    /// An operator lifted the verdict or the suspicion.
    Lifted(Fingerprint),
}

impl Event {
    /// Returns the fingerprint that the event concerns.
    pub const fn fingerprint(&self) -> Fingerprint {
        match self {
            Event::Terminated { fingerprint, .. } => *fingerprint,
            Event::Cleared(fingerprint) | Event::Condemned(fingerprint) | Event::Lifted(fingerprint) => *fingerprint,
        }
    }
}

/// Status of a fingerprint in the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// The evidence is below the suspicion threshold.
    Clear,
    /// Requests are sent, but isolated from others.
    Suspect,
    /// Requests are rejected.
    Condemned,
}

/// Evidence against a fingerprint that is not condemned.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Evidence by terminated run.
    terminations: BTreeMap<Name, Weight>,
    /// Run of the most recently reported termination.
    newest_run: Name,
    /// Sequence number of insertion, for eviction of the oldest.
    sequence: u64,
}

impl Suspect {
    fn points(&self) -> u32 {
        self.terminations.values().map(|weight| weight.points()).sum()
    }
}

/// Part of several requests that may have terminated replicas; see [`part_quarantine`](crate::part_quarantine).
#[derive(Clone, Debug, Default)]
pub struct SharedCause {
    /// Runs that terminated under the part.
    pub runs: BTreeSet<Name>,
    /// Fingerprints of the requests that contain the part.
    pub works: BTreeSet<Fingerprint>,
}

/// Verdict against a condemned fingerprint.
#[derive(Clone, Debug, Default)]
struct Verdict {
    /// Recorded runs that terminated under the fingerprint.
    terminations: BTreeMap<Name, Weight>,
    /// Sequence number of insertion, for eviction of the oldest.
    sequence: u64,
}

/// Suspects and verdicts that one process has recorded.
#[derive(Clone, Debug, Default)]
pub struct State {
    suspects: BTreeMap<Fingerprint, Suspect>,
    condemned: BTreeMap<Fingerprint, Verdict>,
    /// Suspected parts that requests share.
    shared_causes: Vec<SharedCause>,
    next_sequence: u64,
}

impl State {
    /// Returns the status of a fingerprint.
    pub fn status(&self, fingerprint: Fingerprint) -> Status {
        if self.condemned.contains_key(&fingerprint) {
            return Status::Condemned;
        }
        match self.suspects.get(&fingerprint) {
            Some(suspect) if suspect.points() >= SUSPECT_POINTS => Status::Suspect,
            _ => Status::Clear,
        }
    }

    /// Replaces the suspected parts that requests share.
    pub fn set_shared_causes(&mut self, causes: Vec<SharedCause>) {
        self.shared_causes = causes;
    }

    /// Applies an event and returns the events to send to peers. The result is empty if the event was already
    /// recorded or adds too little evidence.
    pub fn apply(&mut self, event: Event) -> Vec<Event> {
        match event {
            Event::Terminated { fingerprint, run, weight } => self.record_termination(fingerprint, run, weight),
            Event::Cleared(fingerprint) => self.clear(fingerprint),
            Event::Condemned(fingerprint) => self.condemn(fingerprint),
            Event::Lifted(fingerprint) => self.lift(fingerprint),
        }
    }

    /// Returns the recorded runs that terminated under a condemned fingerprint, with the strength of the evidence.
    pub fn terminations(&self, fingerprint: Fingerprint) -> impl Iterator<Item = (&Name, Weight)> {
        let terminations = self.condemned.get(&fingerprint).map(|verdict| &verdict.terminations);
        terminations.into_iter().flatten().map(|(run, weight)| (run, *weight))
    }

    /// Returns the evidence against a fingerprint that is not condemned, by terminated run.
    pub fn evidence(&self, fingerprint: Fingerprint) -> impl Iterator<Item = (&Name, Weight)> {
        let terminations = self.suspects.get(&fingerprint).map(|suspect| &suspect.terminations);
        terminations.into_iter().flatten().map(|(run, weight)| (run, *weight))
    }

    /// Returns all condemned fingerprints.
    pub fn condemned(&self) -> impl Iterator<Item = Fingerprint> {
        self.condemned.keys().copied()
    }

    /// Returns the suspects with their points.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, u32)> {
        let counted = self.suspects.iter().map(|(fingerprint, suspect)| (*fingerprint, suspect.points()));
        counted.filter(|(_, points)| *points >= SUSPECT_POINTS)
    }

    /// Returns the fingerprints whose evidence is worth persisting. If this process is isolated, so that no peer
    /// receives its events, that includes all suspects: terminations observed by three isolated processes then
    /// condemn a fingerprint just as those observed by one.
    pub fn persistent(&self, is_isolated: bool) -> impl Iterator<Item = Fingerprint> {
        let min_points = if is_isolated { SUSPECT_POINTS } else { PERSISTENT_POINTS };
        let suspects =
            self.suspects().filter(move |(_, points)| *points >= min_points).map(|(fingerprint, _)| fingerprint);
        self.condemned().chain(suspects)
    }

    /// Returns the events that bring a new peer up to date.
    pub fn events(&self) -> Vec<Event> {
        let condemned = self.condemned().map(Event::Condemned);
        let suspects = self.suspects().flat_map(|(fingerprint, _)| {
            self.evidence(fingerprint).map(move |(run, weight)| Event::Terminated {
                fingerprint,
                run: run.clone(),
                weight,
            })
        });
        condemned.chain(suspects).collect()
    }

    fn record_termination(&mut self, fingerprint: Fingerprint, run: Name, weight: Weight) -> Vec<Event> {
        if self.condemned.contains_key(&fingerprint) || self.is_attributed(&run) {
            return Vec::new();
        }
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect { sequence, ..Suspect::default() });
        let previous = suspect.terminations.insert(run.clone(), weight);
        suspect.newest_run = run.clone();
        if let Some(previous) = previous.filter(|previous| *previous >= weight) {
            suspect.terminations.insert(run, previous);
            return Vec::new();
        }
        let points = suspect.points();
        let mut relayed = Vec::new();
        if points >= SUSPECT_POINTS {
            relayed.push(Event::Terminated { fingerprint, run, weight });
        }
        if points >= CONDEMNED_POINTS && self.is_certain(fingerprint) {
            relayed.extend(self.condemn(fingerprint));
        }
        self.evict();
        relayed
    }

    /// Returns whether the termination of `run` is attributed to a condemned fingerprint, which exonerates all other
    /// requests on that replica. An innocent request that repeatedly shared a replica with the condemned one is
    /// cleared this way.
    fn is_attributed(&self, run: &Name) -> bool {
        self.condemned.values().any(|verdict| verdict.terminations.contains_key(run))
    }

    /// Returns whether nothing else was on all replicas that terminated under a fingerprint, so that only this one can be
    /// the cause. The newest termination is left out because its report for another one may still be in transit. With
    /// many terminations a fingerprint is condemned whatever else was there.
    fn is_certain(&self, fingerprint: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return false };
        let earlier: Vec<&Name> = suspect.terminations.keys().filter(|run| **run != suspect.newest_run).collect();
        let count = suspect.terminations.len();
        let mut others = self.suspects.iter().filter(|(other, _)| **other != fingerprint);
        let has_other = others.any(|(_, other)| earlier.iter().all(|run| other.terminations.contains_key(*run)));
        let mut parts = self.shared_causes.iter().filter(|part| !part.works.contains(&fingerprint));
        let has_part = parts.any(|part| earlier.iter().all(|run| part.runs.contains(*run)));
        (!has_other || count >= CERTAIN_TERMINATIONS) && (!has_part || count >= CERTAIN_TERMINATIONS_BESIDE_PART)
    }

    /// Holds runs that terminated for another proven reason against no request. Returns the condemned fingerprints whose
    /// verdict the remaining evidence does not support.
    pub fn exonerate(&mut self, runs: &BTreeSet<Name>) -> Vec<Fingerprint> {
        for suspect in self.suspects.values_mut() {
            suspect.terminations.retain(|run, _| !runs.contains(run));
        }
        self.suspects.retain(|_, suspect| !suspect.terminations.is_empty());
        let is_unsupported = |verdict: &Verdict| {
            let remaining = verdict.terminations.iter().filter(|(run, _)| !runs.contains(*run));
            let points: u32 = remaining.map(|(_, weight)| weight.points()).sum();
            verdict.terminations.keys().any(|run| runs.contains(run)) && points < CONDEMNED_POINTS
        };
        let unsupported = self.condemned.iter().filter(|(_, verdict)| is_unsupported(verdict));
        unsupported.map(|(fingerprint, _)| *fingerprint).collect()
    }

    fn condemn(&mut self, fingerprint: Fingerprint) -> Vec<Event> {
        if self.condemned.contains_key(&fingerprint) {
            return Vec::new();
        }
        let terminations = self.suspects.remove(&fingerprint).map(|suspect| suspect.terminations).unwrap_or_default();
        for suspect in self.suspects.values_mut() {
            suspect.terminations.retain(|run, _| !terminations.contains_key(run));
        }
        self.suspects.retain(|_, suspect| !suspect.terminations.is_empty());
        self.next_sequence += 1;
        self.condemned.insert(fingerprint, Verdict { terminations, sequence: self.next_sequence });
        self.evict();
        vec![Event::Condemned(fingerprint)]
    }

    /// Clears a fingerprint after a complete successful answer. An answer that was in flight when its request was
    /// condemned proves the verdict wrong.
    fn clear(&mut self, fingerprint: Fingerprint) -> Vec<Event> {
        let relayed = match self.status(fingerprint) {
            Status::Clear => Vec::new(),
            Status::Suspect => vec![Event::Cleared(fingerprint)],
            Status::Condemned => vec![Event::Lifted(fingerprint)],
        };
        self.remove(fingerprint);
        relayed
    }

    fn lift(&mut self, fingerprint: Fingerprint) -> Vec<Event> {
        let was_recorded = self.status(fingerprint) != Status::Clear;
        self.remove(fingerprint);
        if was_recorded { vec![Event::Lifted(fingerprint)] } else { Vec::new() }
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
        self.condemned.remove(&fingerprint);
    }

    /// Bounds the state by evicting the suspect with the fewest points, the oldest first among equals, and the oldest
    /// verdict.
    fn evict(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let weakest = self.suspects.iter().min_by_key(|(_, suspect)| (suspect.points(), suspect.sequence));
            let Some(fingerprint) = weakest.map(|(fingerprint, _)| *fingerprint) else { break };
            self.suspects.remove(&fingerprint);
        }
        while self.condemned.len() > MAX_VERDICTS {
            let oldest = self.condemned.iter().min_by_key(|(_, verdict)| verdict.sequence);
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else { break };
            self.condemned.remove(&fingerprint);
        }
        invariant!(
            self.suspects.keys().all(|fingerprint| !self.condemned.contains_key(fingerprint)),
            "condemned work is no suspect any more"
        );
    }
}
