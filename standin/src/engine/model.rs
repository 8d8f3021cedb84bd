//! The engine's time model: steps that decode one token for each running sequence
//! and prefill one chunk of the most urgent prompt. It does no I/O.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coord::prefix::{Cache, Chain};

/// Sizes and speeds of an engine.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Prompt tokens prefilled a second.
    pub prefill_per_s: f64,
    /// Time of a step that decodes nothing.
    pub step: Duration,
    /// Additional time of a step for each sequence it decodes.
    pub per_sequence: Duration,
    /// Most prompt tokens prefilled in one step.
    pub chunk: u64,
    /// KV memory, in tokens.
    pub memory: u64,
    /// Most sequences at once.
    pub slots: usize,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// How many times faster than real time it runs.
    pub speed: f64,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            prefill_per_s: 30_000.0,
            step: Duration::from_millis(18),
            per_sequence: Duration::from_micros(60),
            chunk: 768,
            memory: 400_000,
            slots: 64,
            cache_blocks: 4_096,
            speed: 1.0,
        }
    }
}

/// Share of the shorter of decode and prefill that a step cannot overlap with the other.
const NOT_OVERLAPPED: f64 = 0.25;

/// Number of a sequence within its engine.
pub type Id = u64;

/// A prompt for the engine.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The caller's name for it.
    pub request: String,
    /// Larger goes first.
    pub priority: i32,
    /// Tokens to prefill, output tokens of an earlier attempt among them.
    pub tokens: u64,
    /// Tokens of it that stand in spans on other engines and take no memory here.
    pub remote: u64,
    /// Output tokens given by an earlier attempt.
    pub resume_after: u64,
    /// Output tokens in all; 0 for a span, which gives none.
    pub output: u64,
    /// Prefix chain, for the cache.
    pub chain: Chain,
}

#[derive(Debug)]
struct Sequence {
    prompt: Prompt,
    memory: u64,
    prefill_left: u64,
    given: u64,
}

/// Something that a step brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Output token number `index` of a sequence.
    Token {
        /// The sequence.
        id: Id,
        /// The token's number in the answer.
        index: u64,
        /// Whether it is the last.
        last: bool,
    },
    /// A span is prefilled; its memory stays held.
    SpanReady(Id),
}

/// The engine.
pub struct Model {
    sizes: Sizes,
    waiting: BTreeMap<(std::cmp::Reverse<i32>, Id), Prompt>,
    running: BTreeMap<Id, Sequence>,
    spans: HashMap<Id, u64>,
    cache: Cache,
    held: u64,
    next: Id,
}

impl Model {
    /// An idle engine.
    pub fn new(sizes: Sizes) -> Self {
        let cache = Cache::new(sizes.cache_blocks);
        Self {
            sizes,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            spans: HashMap::new(),
            cache,
            held: 0,
            next: 1,
        }
    }

    /// Takes a prompt; `None` if it can never fit.
    pub fn submit(&mut self, prompt: Prompt) -> Option<Id> {
        if needed(&prompt) > self.sizes.memory {
            return None;
        }
        let id = self.next;
        self.next += 1;
        self.waiting.insert((std::cmp::Reverse(prompt.priority), id), prompt);
        self.admit();
        Some(id)
    }

    /// Stops a sequence or frees a span.
    pub fn cancel(&mut self, id: Id) {
        self.waiting.retain(|(_, other), _| *other != id);
        if let Some(sequence) = self.running.remove(&id) {
            self.held -= sequence.memory;
        }
        if let Some(memory) = self.spans.remove(&id) {
            self.held -= memory;
        }
        self.admit();
    }

    /// Whether a step has anything to do.
    pub fn is_busy(&self) -> bool {
        !self.running.is_empty()
    }

    /// Does one step; returns how long it takes and what it brings about at its end.
    pub fn step(&mut self) -> (Duration, Vec<Event>) {
        let mut events = Vec::new();
        let decoding: Vec<Id> =
            self.running.iter().filter(|(_, sequence)| sequence.prefill_left == 0).map(|(id, _)| *id).collect();
        let mut decode = Duration::ZERO;
        if !decoding.is_empty() {
            decode = self.sizes.step + self.sizes.per_sequence * decoding.len() as u32;
        }
        let mut prefill = Duration::ZERO;
        if let Some((id, chunk)) = self.prefill() {
            prefill = Duration::from_secs_f64(chunk as f64 / self.sizes.prefill_per_s);
            self.prefilled(id, &mut events);
        }
        // Decoding waits for memory and prefill for arithmetic, so in one step they mostly overlap.
        let time = decode.max(prefill) + decode.min(prefill).mul_f64(NOT_OVERLAPPED);
        for id in decoding {
            self.decode(id, &mut events);
        }
        self.admit();
        (time.div_f64(self.sizes.speed), events)
    }

    /// Prefills a chunk of the most urgent prompt.
    fn prefill(&mut self) -> Option<(Id, u64)> {
        let open = self.running.iter_mut().filter(|(_, sequence)| sequence.prefill_left > 0);
        let (id, sequence) = open.min_by_key(|(id, sequence)| (std::cmp::Reverse(sequence.prompt.priority), **id))?;
        let chunk = sequence.prefill_left.min(self.sizes.chunk);
        sequence.prefill_left -= chunk;
        Some((*id, chunk))
    }

    fn prefilled(&mut self, id: Id, events: &mut Vec<Event>) {
        let Some(sequence) = self.running.get(&id).filter(|sequence| sequence.prefill_left == 0) else { return };
        self.cache.insert(&sequence.prompt.chain);
        if sequence.prompt.output > 0 {
            self.decode(id, events);
            return;
        }
        let memory = sequence.memory;
        self.running.remove(&id);
        self.spans.insert(id, memory);
        events.push(Event::SpanReady(id));
    }

    fn decode(&mut self, id: Id, events: &mut Vec<Event>) {
        let Some(sequence) = self.running.get_mut(&id) else { return };
        let index = sequence.given;
        sequence.given += 1;
        let last = sequence.given >= sequence.prompt.output;
        events.push(Event::Token { id, index, last });
        if last {
            self.held -= sequence.memory;
            self.running.remove(&id);
        }
    }

    fn admit(&mut self) {
        while let Some((key, prompt)) = self.waiting.first_key_value() {
            let memory = needed(prompt);
            if self.running.len() >= self.sizes.slots || self.held + memory > self.sizes.memory {
                return;
            }
            let (key, prompt) = (*key, prompt.clone());
            self.waiting.remove(&key);
            self.held += memory;
            let cached = Chain::bytes(self.cache.matching_blocks(&prompt.chain)) / crate::text::BYTES_PER_TOKEN as u64;
            let local = prompt.tokens - prompt.remote;
            // The last token is always prefilled, so that there is something to go on from.
            let prefill_left = local.saturating_sub(cached).max(1);
            let given = prompt.resume_after;
            self.running.insert(key.1, Sequence { prompt, memory, prefill_left, given });
        }
    }

    /// KV memory held, in tokens.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Number of sequences running.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of prompts waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Prompt tokens still to be prefilled.
    pub fn prefill_left(&self) -> u64 {
        self.running.values().map(|sequence| sequence.prefill_left).sum()
    }

    /// Names of the requests running or waiting.
    pub fn requests(&self) -> Vec<(Id, String)> {
        let running = self.running.iter().map(|(id, sequence)| (*id, sequence.prompt.request.clone()));
        let waiting = self.waiting.iter().map(|((_, id), prompt)| (*id, prompt.request.clone()));
        running.chain(waiting).collect()
    }

    /// The spans held.
    pub fn spans(&self) -> Vec<Id> {
        self.spans.keys().copied().collect()
    }

    /// How many times faster than real time it runs.
    pub fn speed(&self) -> f64 {
        self.sizes.speed
    }
}

/// KV memory that a prompt needs from start to finish.
fn needed(prompt: &Prompt) -> u64 {
    prompt.tokens - prompt.remote + prompt.output.saturating_sub(prompt.resume_after)
}
