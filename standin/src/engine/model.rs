//! Timing model of the engine. Each step decodes one token for every decoding sequence and prefills one chunk of
//! the prompt with the highest priority. The model does no I/O.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coord::prefix::{Cache, Chain};

/// Capacity and speed of an engine.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Prefill rate, in prompt tokens per second.
    pub prefill_per_s: f64,
    /// Base time of a step that decodes, before the time per sequence.
    pub step: Duration,
    /// Additional time of a step for each sequence that it decodes.
    pub per_sequence: Duration,
    /// Maximum number of prompt tokens prefilled in one step.
    pub chunk: u64,
    /// KV memory, in tokens.
    pub memory: u64,
    /// Maximum number of concurrent sequences.
    pub slots: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Factor by which the engine runs faster than real time.
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

/// Share of the shorter of decode and prefill that a step cannot overlap with the longer one.
const NOT_OVERLAPPED: f64 = 0.25;

/// Identifies a sequence or span within its engine.
pub type Id = u64;

/// A prompt submitted to the engine.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Request id given by the caller.
    pub request: String,
    /// Priority; prompts with a larger value are admitted and prefilled first.
    pub priority: i32,
    /// Tokens of the context, including remote spans and the output tokens of an earlier attempt.
    pub tokens: u64,
    /// Tokens of the context held in spans on other engines, which use no memory on this engine.
    pub remote: u64,
    /// Output tokens already emitted by an earlier attempt.
    pub resume_after: u64,
    /// Total output tokens; 0 for a span, which is only prefilled.
    pub output: u64,
    /// Prefix chain under which the prompt is looked up in the prefix cache.
    pub chain: Chain,
}

#[derive(Debug)]
struct Sequence {
    prompt: Prompt,
    memory: u64,
    prefill_left: u64,
    given: u64,
}

/// Result of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A sequence emitted an output token.
    Token {
        /// Sequence that emitted the token.
        id: Id,
        /// Zero-based index of the token in the response.
        index: u64,
        /// Whether the token is the last of the response.
        last: bool,
    },
    /// A span is prefilled; its memory stays reserved until the span is cancelled.
    SpanReady(Id),
}

/// Scheduler state of an engine: waiting prompts, running sequences, spans and KV memory.
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
    /// Creates an idle engine.
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

    /// Queues a prompt and returns its id, or `None` if the prompt exceeds the engine's total memory.
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

    /// Removes a waiting prompt or a running sequence, or frees a span.
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

    /// Returns whether any sequence is running.
    pub fn is_busy(&self) -> bool {
        !self.running.is_empty()
    }

    /// Runs one step and returns its duration and the events that take effect at its end.
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
        // Decoding is bound by memory bandwidth and prefill by compute, so they mostly overlap in one step.
        let time = decode.max(prefill) + decode.min(prefill).mul_f64(NOT_OVERLAPPED);
        for id in decoding {
            self.decode(id, &mut events);
        }
        self.admit();
        (time.div_f64(self.sizes.speed), events)
    }

    /// Prefills a chunk of the prompt with the highest priority and returns its id and the chunk's tokens.
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
            let cached = Chain::bytes(self.cache.shared(&prompt.chain)) / crate::text::BYTES_PER_TOKEN as u64;
            let local = prompt.tokens - prompt.remote;
            // The last token is always prefilled, even on a full cache hit, because decoding starts from its output.
            let prefill_left = local.saturating_sub(cached).max(1);
            let given = prompt.resume_after;
            self.running.insert(key.1, Sequence { prompt, memory, prefill_left, given });
        }
    }

    /// Returns the reserved KV memory, in tokens.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the number of running sequences.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting prompts.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the prompt tokens of running sequences that are not prefilled yet.
    pub fn prefill_left(&self) -> u64 {
        self.running.values().map(|sequence| sequence.prefill_left).sum()
    }

    /// Returns the ids and request ids of all running sequences and waiting prompts.
    pub fn requests(&self) -> Vec<(Id, String)> {
        let running = self.running.iter().map(|(id, sequence)| (*id, sequence.prompt.request.clone()));
        let waiting = self.waiting.iter().map(|((_, id), prompt)| (*id, prompt.request.clone()));
        running.chain(waiting).collect()
    }

    /// Returns the ids of the prefilled spans whose memory is reserved.
    pub fn spans(&self) -> Vec<Id> {
        self.spans.keys().copied().collect()
    }

    /// Returns the factor by which the engine runs faster than real time.
    pub fn speed(&self) -> f64 {
        self.sizes.speed
    }
}

/// Returns the KV memory, in tokens, that a prompt needs until its last output token.
fn needed(prompt: &Prompt) -> u64 {
    prompt.tokens - prompt.remote + prompt.output.saturating_sub(prompt.resume_after)
}
