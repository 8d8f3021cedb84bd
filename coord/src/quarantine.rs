//! Requests under which replicas end, and when such work is sent no more.
//!
//! A request may end every replica that begins to run it. What it asks for is known by a fingerprint, [`Work`], which all
//! its repeats share. Each end of a replica is evidence against all work that ran there, most of it innocent: what counts is
//! who is there again when the next one ends. Work with enough evidence is *condemned*: no replica gets it any more, until
//! an operator lifts that. A whole answer of success clears it.
//!
//! Evidence and verdicts are [`News`] that processes pass on to each other in any order, late or more than once; a
//! [`Register`] that has heard of a verdict holds it, whatever else it has heard. Nothing is forgotten because time passes.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::invariant;
use crate::name::Name;

/// Key of the fingerprints.
const CONTEXT: &str = "sorrelpass quarantine fingerprint of work 1";
/// Points at which work is condemned: three ends with [`Weight::Strong`] evidence, or five with any.
const CONDEMNED_POINTS: u32 = 5;
/// Ends after which work is condemned although other work was on the same replicas each time: more than the four sends
/// that one caller causes with a request and its repeat, two each.
const CERTAIN_ENDS: usize = 5;
/// Points from which work is kept apart from other work.
const SUSPECT_POINTS: u32 = 2;
/// Points from which evidence is worth a record that outlasts all processes: strong evidence from two ends. One more
/// end condemns, wherever it is seen.
const LASTING_POINTS: u32 = 4;
/// Suspects that are kept: the victims of 250 ends of replicas with 16 requests each; some 1 MB.
const MOST_SUSPECTS: usize = 4_096;
/// Verdicts that are kept; 32 bytes and the names of a few replicas each.
const MOST_CONDEMNED: usize = 4_096;

/// Fingerprint of what a request asks for: the same for each repeat of it, through whichever entry it comes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Work(pub [u8; 16]);

impl Work {
    /// Fingerprint of a request by its parts. Each goes in behind its length, so that no two lists of parts run together.
    /// The hash has a key of its own: a text that is known elsewhere by its hash is not found by this one.
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

/// A text that is no fingerprint.
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

/// How much the end of a replica says against work that was there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Weight {
    /// It may only have waited there, or had run for a while.
    Faint,
    /// The replica had begun with it, and nothing had come of it yet.
    Strong,
}

impl Weight {
    /// What it counts.
    pub const fn points(self) -> u32 {
        match self {
            Weight::Faint => 1,
            Weight::Strong => 2,
        }
    }
}

/// What one process learns and tells others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// A replica ended under work.
    Ended {
        /// The work.
        work: Work,
        /// The run of the replica that ended, by a name that no other run of any replica has.
        run: Name,
        /// What that says against the work.
        weight: Weight,
    },
    /// Work came to a whole answer of success.
    Cleared(Work),
    /// Work is condemned.
    Condemned(Work),
    /// An operator lifted what stood against work.
    Lifted(Work),
}

impl News {
    /// The work that it is about.
    pub const fn work(&self) -> Work {
        match self {
            News::Ended { work, .. } => *work,
            News::Cleared(work) | News::Condemned(work) | News::Lifted(work) => *work,
        }
    }
}

/// Where work stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nothing that counts is known against it.
    Clear,
    /// It is sent, apart from other work.
    Suspect,
    /// It is sent no more.
    Condemned,
}

/// Evidence against work that is not condemned.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// By run of a replica that ended.
    ends: BTreeMap<Name, Weight>,
    /// The run whose end was heard of last.
    newest: Name,
    /// Its place in the order in which suspects came.
    order: u64,
}

impl Suspect {
    fn points(&self) -> u32 {
        self.ends.values().map(|weight| weight.points()).sum()
    }
}

/// A verdict.
#[derive(Clone, Debug, Default)]
struct Verdict {
    /// Runs of replicas that ended under the work, as far as is known here.
    ends: BTreeMap<Name, Weight>,
    /// Its place in the order in which verdicts came.
    order: u64,
}

/// What one process knows of work under which replicas end.
#[derive(Clone, Debug, Default)]
pub struct Register {
    suspects: BTreeMap<Work, Suspect>,
    condemned: BTreeMap<Work, Verdict>,
    next_order: u64,
}

impl Register {
    /// Where work stands.
    pub fn standing(&self, work: Work) -> Standing {
        if self.condemned.contains_key(&work) {
            return Standing::Condemned;
        }
        match self.suspects.get(&work) {
            Some(suspect) if suspect.points() >= SUSPECT_POINTS => Standing::Suspect,
            _ => Standing::Clear,
        }
    }

    /// Takes news in; returns what others should hear: nothing if all of it was known or counts for little.
    pub fn hear(&mut self, news: News) -> Vec<News> {
        match news {
            News::Ended { work, run, weight } => self.ended(work, run, weight),
            News::Cleared(work) => self.cleared(work),
            News::Condemned(work) => self.condemn(work),
            News::Lifted(work) => self.lift(work),
        }
    }

    /// Runs of replicas that ended under condemned work, as far as is known here.
    pub fn ends(&self, work: Work) -> impl Iterator<Item = (&Name, Weight)> {
        let ends = self.condemned.get(&work).map(|verdict| &verdict.ends);
        ends.into_iter().flatten().map(|(run, weight)| (run, *weight))
    }

    /// Evidence against work that is not condemned, by run of a replica.
    pub fn evidence(&self, work: Work) -> impl Iterator<Item = (&Name, Weight)> {
        let ends = self.suspects.get(&work).map(|suspect| &suspect.ends);
        ends.into_iter().flatten().map(|(run, weight)| (run, *weight))
    }

    /// All verdicts.
    pub fn condemned(&self) -> impl Iterator<Item = Work> {
        self.condemned.keys().copied()
    }

    /// Suspects, with their points.
    pub fn suspects(&self) -> impl Iterator<Item = (Work, u32)> {
        let counted = self.suspects.iter().map(|(work, suspect)| (*work, suspect.points()));
        counted.filter(|(_, points)| *points >= SUSPECT_POINTS)
    }

    /// Work against which what is known should outlast all processes. Where nobody else hears of it, that is all of it:
    /// the ends seen by three processes that hear nothing of each other condemn work as those seen by one.
    pub fn lasting(&self, unheard: bool) -> impl Iterator<Item = Work> {
        let least = if unheard { SUSPECT_POINTS } else { LASTING_POINTS };
        let suspects = self.suspects().filter(move |(_, points)| *points >= least).map(|(work, _)| work);
        self.condemned().chain(suspects)
    }

    /// All that another process should know that has heard nothing yet.
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

    /// Whether the end of a replica is blamed on condemned work: then nobody else on it is to blame. An innocent prompt
    /// that met the same work again and again is cleared by this when that is condemned.
    fn is_explained(&self, run: &Name) -> bool {
        self.condemned.values().any(|verdict| verdict.ends.contains_key(run))
    }

    /// Whether other work was on all the replicas that ended under this one, so that either may be to blame. Word that it
    /// was on the newest of them too may still be on its way.
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

    /// An answer that was under way when its work was condemned, and came to a good end, proves the verdict wrong.
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

    /// Keeps the state bounded: a suspect with the least against it goes first, then the oldest; of verdicts the oldest.
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
