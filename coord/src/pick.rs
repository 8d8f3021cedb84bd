//! Endpoint selection: candidates come from rendezvous hashing and random sampling, and a policy chooses among them.

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::Name;
use crate::scheduler::Quote;

/// Returns the rendezvous score of `name` for `hash`; the names with the highest scores are selected.
pub fn rendezvous(hash: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), hash)
}

/// Returns the `count` names with the highest rendezvous scores for `hash`, best first.
pub fn highest_ranked<'a>(hash: u64, names: impl Iterator<Item = &'a Name>, count: usize) -> Vec<Name> {
    let mut scored: Vec<(u64, &Name)> = names.map(|name| (rendezvous(hash, name), name)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().take(count).map(|(_, name)| name.clone()).collect()
}

/// Endpoint as known to an entry at selection time.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Number of this entry's unfinished attempts at the endpoint.
    pub outstanding: u32,
    /// Prefill and output tokens of the unfinished attempts.
    pub active_tokens: u64,
    /// Additional latency to the endpoint's failure domain, in microseconds.
    pub distance: u64,
}

/// Endpoint selection policy.
pub trait Picker: Send {
    /// Returns at most `count` candidates in order of preference.
    fn candidates(
        &mut self,
        endpoints: &[Candidate],
        hash: Option<u64>,
        count: usize,
        random: &mut dyn Rng,
    ) -> Vec<Name>;

    /// Returns whether the candidates are asked for a quote before one is chosen.
    fn needs_quotes(&self) -> bool {
        false
    }
}

/// Baseline policy that cycles through the endpoints.
#[derive(Default)]
pub struct RoundRobin {
    next: usize,
}

impl Picker for RoundRobin {
    fn candidates(&mut self, endpoints: &[Candidate], _: Option<u64>, count: usize, _: &mut dyn Rng) -> Vec<Name> {
        self.next = self.next.wrapping_add(1);
        let start = self.next;
        let count = count.min(endpoints.len());
        (0..count).map(|step| endpoints[(start + step) % endpoints.len()].endpoint.clone()).collect()
    }
}

/// Baseline policy that prefers the endpoint with the fewest unfinished attempts.
pub struct LeastOutstanding;

impl Picker for LeastOutstanding {
    fn candidates(&mut self, endpoints: &[Candidate], _: Option<u64>, count: usize, random: &mut dyn Rng) -> Vec<Name> {
        order_by_load(endpoints, count, random, |candidate| u64::from(candidate.outstanding))
    }
}

/// Baseline policy that prefers the endpoint with the fewest active tokens.
///
/// It follows the "Standalone Slot Tracker" of the NVIDIA Dynamo KV router, which adds up the prefill tokens and the
/// decode load of the active requests per worker.
pub struct ActiveTokens;

impl Picker for ActiveTokens {
    fn candidates(&mut self, endpoints: &[Candidate], _: Option<u64>, count: usize, random: &mut dyn Rng) -> Vec<Name> {
        order_by_load(endpoints, count, random, |candidate| candidate.active_tokens)
    }
}

fn order_by_load(
    endpoints: &[Candidate],
    count: usize,
    random: &mut dyn Rng,
    load: impl Fn(&Candidate) -> u64,
) -> Vec<Name> {
    let mut order: Vec<(u64, u64, &Name)> =
        endpoints.iter().map(|candidate| (load(candidate), random.next_u64(), &candidate.endpoint)).collect();
    order.sort_unstable();
    order.into_iter().take(count).map(|(_, _, name)| name.clone()).collect()
}

/// Policy that asks a few candidates for their expected time to first token.
///
/// The first candidates come from rendezvous hashing of the prompt's prefix, because their caches probably hold it.
/// The others are the less loaded of two random endpoints each.
pub struct Quoted {
    /// Number of candidates selected by prefix.
    pub by_prefix: usize,
}

impl Picker for Quoted {
    fn candidates(
        &mut self,
        endpoints: &[Candidate],
        hash: Option<u64>,
        count: usize,
        random: &mut dyn Rng,
    ) -> Vec<Name> {
        let mut picked = match hash {
            Some(hash) => {
                highest_ranked(hash, endpoints.iter().map(|candidate| &candidate.endpoint), self.by_prefix.min(count))
            }
            None => Vec::new(),
        };
        let others: Vec<&Candidate> =
            endpoints.iter().filter(|candidate| !picked.contains(&candidate.endpoint)).collect();
        let mut remaining: Vec<&Candidate> = others;
        while picked.len() < count && !remaining.is_empty() {
            let first = random.random_range(0..remaining.len());
            let second = random.random_range(0..remaining.len());
            let better = if is_less_loaded(remaining[second], remaining[first]) { second } else { first };
            picked.push(remaining.swap_remove(better).endpoint.clone());
        }
        picked
    }

    fn needs_quotes(&self) -> bool {
        true
    }
}

fn is_less_loaded(first: &Candidate, second: &Candidate) -> bool {
    (first.distance, first.outstanding) < (second.distance, second.outstanding)
}

/// Quote of one endpoint.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Name of the endpoint that sent the quote.
    pub endpoint: Name,
    /// Estimate that the endpoint returned.
    pub quote: Quote,
    /// Additional latency to the endpoint, in microseconds.
    pub distance: u64,
}

/// Sorts the offers by preference: endpoints that accept work first, then by expected time to first token.
pub fn rank_offers(mut offers: Vec<Offer>) -> Vec<Offer> {
    offers.sort_by_key(|offer| {
        let ttft = crate::time::micros(offer.quote.ttft + offer.quote.interference) + offer.distance;
        (!offer.quote.is_accepting, ttft, offer.quote.outstanding)
    });
    offers
}
