//! Timing model of the engine. Each step decodes one token for every decoding sequence and prefills one chunk of
//! the prompt with the highest priority. The model does no I/O.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coord::prefix::{Cache, Chain};

/// Capacity and speed of an engine.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Prefill rate, in prompt tokens per second.
    pub prefill_per_s: f64,
    /// Base time of a step that decodes, before the time per sequence.
    pub decode_base_time: Duration,
    /// Additional time of a step for each sequence that it decodes.
    pub decode_time_per_sequence: Duration,
    /// Maximum number of prompt tokens prefilled in one step.
    pub max_prefill_chunk: u64,
    /// KV memory, in tokens.
    pub memory: u64,
    /// Maximum number of concurrent sequences.
    pub slots: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Factor by which the engine runs faster than real time.
    pub speed: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            prefill_per_s: 30_000.0,
            decode_base_time: Duration::from_millis(18),
            decode_time_per_sequence: Duration::from_micros(60),
            max_prefill_chunk: 768,
            memory: 400_000,
            slots: 64,
            cache_blocks: 4_096,
            speed: 1.0,
        }
    }
}

/// Share of the shorter of decode and prefill that a step cannot overlap with the longer one.
const NON_OVERLAPPING_SHARE: f64 = 0.25;

/// Identifies a sequence or span within its engine.
pub type SequenceId = u64;

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
    pub remote_tokens: u64,
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
    remaining_prefill: u64,
    emitted: u64,
}

/// Result of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A sequence emitted an output token.
    Token {
        /// Sequence that emitted the token.
        id: SequenceId,
        /// Zero-based index of the token in the response.
        index: u64,
        /// Whether the token is the last of the response.
        last: bool,
    },
    /// A span is prefilled; its memory stays reserved until the span is cancelled.
    SpanReady(SequenceId),
}

/// Scheduler state of an engine: waiting prompts, running sequences, spans and KV memory.
pub struct TimingModel {
    capacity: Capacity,
    waiting: BTreeMap<(std::cmp::Reverse<i32>, SequenceId), Prompt>,
    running: BTreeMap<SequenceId, Sequence>,
    spans: HashMap<SequenceId, u64>,
    cache: Cache,
    reserved: u64,
    next_id: SequenceId,
}

impl TimingModel {
    /// Creates an idle engine.
    pub fn new(capacity: Capacity) -> Self {
        let cache = Cache::new(capacity.cache_blocks);
        Self {
            capacity,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            spans: HashMap::new(),
            cache,
            reserved: 0,
            next_id: 1,
        }
    }

    /// Queues a prompt and returns its id, or `None` if the prompt exceeds the engine's total memory.
    pub fn submit(&mut self, prompt: Prompt) -> Option<SequenceId> {
        if memory_needed(&prompt) > self.capacity.memory {
            return None;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.waiting.insert((std::cmp::Reverse(prompt.priority), id), prompt);
        self.admit();
        Some(id)
    }

    /// Removes a waiting prompt or a running sequence, or frees a span.
    pub fn cancel(&mut self, id: SequenceId) {
        self.waiting.retain(|(_, other), _| *other != id);
        if let Some(sequence) = self.running.remove(&id) {
            self.reserved -= sequence.memory;
        }
        if let Some(memory) = self.spans.remove(&id) {
            self.reserved -= memory;
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
        let decoding: Vec<SequenceId> =
            self.running.iter().filter(|(_, sequence)| sequence.remaining_prefill == 0).map(|(id, _)| *id).collect();
        let mut decode_time = Duration::ZERO;
        if !decoding.is_empty() {
            decode_time =
                self.capacity.decode_base_time + self.capacity.decode_time_per_sequence * decoding.len() as u32;
        }
        let mut prefill_time = Duration::ZERO;
        if let Some((id, chunk)) = self.prefill_chunk() {
            prefill_time = Duration::from_secs_f64(chunk as f64 / self.capacity.prefill_per_s);
            self.finish_prefill(id, &mut events);
        }
        // Decoding is bound by memory bandwidth and prefill by compute, so they mostly overlap in one step.
        let step_time = decode_time.max(prefill_time) + decode_time.min(prefill_time).mul_f64(NON_OVERLAPPING_SHARE);
        for id in decoding {
            self.decode_token(id, &mut events);
        }
        self.admit();
        (step_time.div_f64(self.capacity.speed), events)
    }

    /// Prefills a chunk of the prompt with the highest priority and returns its id and the chunk's tokens.
    fn prefill_chunk(&mut self) -> Option<(SequenceId, u64)> {
        let prefilling = self.running.iter_mut().filter(|(_, sequence)| sequence.remaining_prefill > 0);
        let (id, sequence) =
            prefilling.min_by_key(|(id, sequence)| (std::cmp::Reverse(sequence.prompt.priority), **id))?;
        let chunk = sequence.remaining_prefill.min(self.capacity.max_prefill_chunk);
        sequence.remaining_prefill -= chunk;
        Some((*id, chunk))
    }

    fn finish_prefill(&mut self, id: SequenceId, events: &mut Vec<Event>) {
        let Some(sequence) = self.running.get(&id).filter(|sequence| sequence.remaining_prefill == 0) else { return };
        self.cache.insert(&sequence.prompt.chain);
        if sequence.prompt.output > 0 {
            self.decode_token(id, events);
            return;
        }
        let memory = sequence.memory;
        self.running.remove(&id);
        self.spans.insert(id, memory);
        events.push(Event::SpanReady(id));
    }

    fn decode_token(&mut self, id: SequenceId, events: &mut Vec<Event>) {
        let Some(sequence) = self.running.get_mut(&id) else { return };
        let index = sequence.emitted;
        sequence.emitted += 1;
        let last = sequence.emitted >= sequence.prompt.output;
        events.push(Event::Token { id, index, last });
        if last {
            self.reserved -= sequence.memory;
            self.running.remove(&id);
        }
    }

    fn admit(&mut self) {
        while let Some((key, prompt)) = self.waiting.first_key_value() {
            let memory = memory_needed(prompt);
            if self.running.len() >= self.capacity.slots || self.reserved + memory > self.capacity.memory {
                return;
            }
            let (key, prompt) = (*key, prompt.clone());
            self.waiting.remove(&key);
            self.reserved += memory;
            let cached = Chain::bytes(self.cache.matching_blocks(&prompt.chain)) / crate::text::BYTES_PER_TOKEN as u64;
            let local_tokens = prompt.tokens - prompt.remote_tokens;
            // The last token is always prefilled, even on a full cache hit, because decoding starts from its output.
            let remaining_prefill = local_tokens.saturating_sub(cached).max(1);
            let emitted = prompt.resume_after;
            self.running.insert(key.1, Sequence { prompt, memory, remaining_prefill, emitted });
        }
    }

    /// Returns the reserved KV memory, in tokens.
    pub fn reserved(&self) -> u64 {
        self.reserved
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
    pub fn remaining_prefill(&self) -> u64 {
        self.running.values().map(|sequence| sequence.remaining_prefill).sum()
    }

    /// Returns the ids and request ids of all running sequences and waiting prompts.
    pub fn requests(&self) -> Vec<(SequenceId, String)> {
        let running = self.running.iter().map(|(id, sequence)| (*id, sequence.prompt.request.clone()));
        let waiting = self.waiting.iter().map(|((_, id), prompt)| (*id, prompt.request.clone()));
        running.chain(waiting).collect()
    }

    /// Returns the ids of the prefilled spans whose memory is reserved.
    pub fn spans(&self) -> Vec<SequenceId> {
        self.spans.keys().copied().collect()
    }

    /// Returns the factor by which the engine runs faster than real time.
    pub fn speed(&self) -> f64 {
        self.capacity.speed
    }
}

/// Returns the KV memory, in tokens, that a prompt needs until its last output token.
fn memory_needed(prompt: &Prompt) -> u64 {
    prompt.tokens - prompt.remote_tokens + prompt.output.saturating_sub(prompt.resume_after)
}
