//! Which endpoint to try first: candidates by rendezvous and chance, then a choice among them.

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::Name;
use crate::scheduler::Quote;

/// The rendezvous score of `name` for `hash`; the highest scores are chosen.
pub fn rendezvous(hash: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), hash)
}

/// The `count` names that rendezvous hashing chooses for `hash`, best first.
pub fn chosen<'a>(hash: u64, names: impl Iterator<Item = &'a Name>, count: usize) -> Vec<Name> {
    let mut scored: Vec<(u64, &Name)> = names.map(|name| (rendezvous(hash, name), name)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().take(count).map(|(_, name)| name.clone()).collect()
}

/// What an entry knows of one endpoint when it picks.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: Name,
    /// Attempts of this entry that the endpoint has not ended.
    pub outstanding: u32,
    /// Prefill and output tokens of those attempts.
    pub active_tokens: u64,
    /// Extra time to reach its failure domain, in microseconds.
    pub distance: u64,
}

/// A way of picking.
pub trait Picker: Send {
    /// Candidates to try, best first, at most `count`.
    fn candidates(&mut self, all: &[Candidate], hash: Option<u64>, count: usize, random: &mut dyn Rng) -> Vec<Name>;

    /// Whether the candidates are asked for a quote before one is chosen.
    fn asks(&self) -> bool {
        false
    }
}

/// One after the other: a baseline.
#[derive(Default)]
pub struct RoundRobin {
    next: usize,
}

impl Picker for RoundRobin {
    fn candidates(&mut self, all: &[Candidate], _: Option<u64>, count: usize, _: &mut dyn Rng) -> Vec<Name> {
        self.next = self.next.wrapping_add(1);
        let start = self.next;
        let count = count.min(all.len());
        (0..count).map(|step| all[(start + step) % all.len()].endpoint.clone()).collect()
    }
}

/// Fewest attempts outstanding: a baseline.
pub struct LeastOutstanding;

impl Picker for LeastOutstanding {
    fn candidates(&mut self, all: &[Candidate], _: Option<u64>, count: usize, random: &mut dyn Rng) -> Vec<Name> {
        sorted_by(all, count, random, |candidate| u64::from(candidate.outstanding))
    }
}

/// Fewest active tokens, as the slot tracker accounts them: a baseline.
///
/// After "Standalone Slot Tracker (NVIDIA Dynamo KV router)": prefill tokens and
/// decode load of the active requests are added up per worker.
pub struct ActiveTokens;

impl Picker for ActiveTokens {
    fn candidates(&mut self, all: &[Candidate], _: Option<u64>, count: usize, random: &mut dyn Rng) -> Vec<Name> {
        sorted_by(all, count, random, |candidate| candidate.active_tokens)
    }
}

fn sorted_by(all: &[Candidate], count: usize, random: &mut dyn Rng, load: impl Fn(&Candidate) -> u64) -> Vec<Name> {
    let mut order: Vec<(u64, u64, &Name)> =
        all.iter().map(|candidate| (load(candidate), random.next_u64(), &candidate.endpoint)).collect();
    order.sort_unstable();
    order.into_iter().take(count).map(|(_, _, name)| name.clone()).collect()
}

/// Asks a few candidates for their expected time to first token.
///
/// The first candidates are those that rendezvous hashing gives for the prompt's
/// prefix, where its cache is likely; the rest are two-choice samples by load.
pub struct Quoted {
    /// Candidates by prefix.
    pub by_prefix: usize,
}

impl Picker for Quoted {
    fn candidates(&mut self, all: &[Candidate], hash: Option<u64>, count: usize, random: &mut dyn Rng) -> Vec<Name> {
        let mut picked = match hash {
            Some(hash) => chosen(hash, all.iter().map(|candidate| &candidate.endpoint), self.by_prefix.min(count)),
            None => Vec::new(),
        };
        let rest: Vec<&Candidate> = all.iter().filter(|candidate| !picked.contains(&candidate.endpoint)).collect();
        let mut left: Vec<&Candidate> = rest;
        while picked.len() < count && !left.is_empty() {
            let first = random.random_range(0..left.len());
            let second = random.random_range(0..left.len());
            let better = if lighter(left[second], left[first]) { second } else { first };
            picked.push(left.swap_remove(better).endpoint.clone());
        }
        picked
    }

    fn asks(&self) -> bool {
        true
    }
}

fn lighter(one: &Candidate, other: &Candidate) -> bool {
    (one.distance, one.outstanding) < (other.distance, other.outstanding)
}

/// An endpoint's answer to a question for a quote.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The endpoint that answered.
    pub endpoint: Name,
    /// What it expects.
    pub quote: Quote,
    /// Extra time to reach it, in microseconds.
    pub distance: u64,
}

/// The offers in the order in which to try them: open ones first, then by expected time.
pub fn rank_offers(mut offers: Vec<Offer>) -> Vec<Offer> {
    offers.sort_by_key(|offer| {
        let ttft = crate::time::micros(offer.quote.ttft + offer.quote.harm) + offer.distance;
        (!offer.quote.open, ttft, offer.quote.outstanding)
    });
    offers
}
