//! Memory for response data that callers have not read yet: decides which replicas are read further, and which callers
//! are evicted.
//!
//! This handles many callers that read slowly or not at all, beside callers that read at once. Data is buffered so
//! that a replica finishes its response, and is free for the next request, before a slow caller has read it. Each
//! caller has a bound, so that a replica is not read faster than its caller for long. All callers together have a bound
//! as well, since the process would otherwise run out of memory and end the streams of all callers.
//!
//! A caller that has read everything always has room, so it is not affected by the others: the total exceeds its bound
//! by at most one read per caller. When the total is exhausted, stalled callers are evicted. Callers that keep reading
//! are never evicted; their replicas are read further as they make progress.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::invariant;
use crate::time::Moment;

/// Time after which a caller that has unread data and reads nothing counts as stalled. Several retransmissions fit into
/// it, so that a lossy link alone does not stall a caller.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Memory that a buffered chunk takes beside its data, in bytes: its entries in
/// the channel of the stream and in the queue of this module.
pub const CHUNK_OVERHEAD_BYTES: u64 = 96;

/// Bounds on buffered data, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bytes for one caller.
    pub per_caller: u64,
    /// Bytes for all callers together.
    pub total: u64,
}

/// Identifies the stream of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(u64);

/// Removal of a caller that stalled while the total was exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// Stream that is to be aborted.
    pub stream: StreamId,
    /// Buffered bytes of the stream.
    pub bytes: u64,
    /// Time for which its oldest chunk has waited.
    pub unread_for: Duration,
}

/// Data that was received together from a replica.
#[derive(Clone, Copy, Debug)]
struct Chunk {
    received_at: Moment,
    bytes: u64,
}

/// Unread data of one caller.
#[derive(Debug)]
struct Backlog {
    chunks: VecDeque<Chunk>,
    bytes: u64,
    last_read_at: Moment,
}

impl Backlog {
    /// Returns the time since which the caller could have read data and has read none, or `None` if it has read all.
    fn idle_since(&self) -> Option<Moment> {
        self.chunks.front().map(|oldest| oldest.received_at.max(self.last_read_at))
    }

    /// Returns the arrival time of the oldest chunk, or the latest possible time if there is none.
    fn oldest(&self) -> Moment {
        self.chunks.front().map_or(Moment::from_micros(u64::MAX), |oldest| oldest.received_at)
    }
}

/// Counts the buffered data of all callers.
#[derive(Debug)]
pub struct RelayBuffer {
    bounds: Bounds,
    backlogs: HashMap<StreamId, Backlog>,
    total: u64,
    last_id: u64,
    /// Earliest time at which a caller can have stalled.
    next_stall_at: Moment,
}

impl RelayBuffer {
    /// Creates an empty buffer.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, backlogs: HashMap::new(), total: 0, last_id: 0, next_stall_at: Moment::ZERO }
    }

    /// Adds the stream of a caller.
    pub fn open(&mut self, now: Moment) -> StreamId {
        self.last_id += 1;
        let stream = StreamId(self.last_id);
        self.backlogs.insert(stream, Backlog { chunks: VecDeque::new(), bytes: 0, last_read_at: now });
        stream
    }

    /// Removes a stream and its buffered data. Does nothing if it was removed before.
    pub fn close(&mut self, stream: StreamId) {
        if let Some(backlog) = self.backlogs.remove(&stream) {
            self.total -= backlog.bytes;
        }
    }

    /// Returns whether more data of a stream may be read from its replica.
    pub fn has_room(&self, stream: StreamId) -> bool {
        let bytes = self.unread_bytes(stream);
        bytes == 0 || (bytes < self.bounds.per_caller && !self.is_exhausted())
    }

    /// Adds data that arrived for a caller.
    pub fn push(&mut self, stream: StreamId, bytes: usize, now: Moment) {
        let Some(backlog) = self.backlogs.get_mut(&stream) else { return };
        let bytes = bytes as u64 + CHUNK_OVERHEAD_BYTES;
        backlog.chunks.push_back(Chunk { received_at: now, bytes });
        backlog.bytes += bytes;
        self.total += bytes;
    }

    /// Removes the oldest chunk of a stream, which the caller has read.
    pub fn record_read(&mut self, stream: StreamId, now: Moment) {
        let Some(backlog) = self.backlogs.get_mut(&stream) else { return };
        let Some(chunk) = backlog.chunks.pop_front() else { return };
        backlog.last_read_at = now;
        backlog.bytes -= chunk.bytes;
        self.total -= chunk.bytes;
    }

    /// Removes stalled callers while the total is exhausted: first those whose oldest data has waited longest, and
    /// among them those with the most data.
    pub fn evict_stalled(&mut self, now: Moment) -> Vec<Eviction> {
        let mut evictions = Vec::new();
        if !self.is_exhausted() || now < self.next_stall_at {
            return evictions;
        }
        for stream in self.stalled(now) {
            if !self.is_exhausted() {
                break;
            }
            let backlog = &self.backlogs[&stream];
            evictions.push(Eviction { stream, bytes: backlog.bytes, unread_for: now.since(backlog.oldest()) });
            self.close(stream);
        }
        let idle_times = self.backlogs.values().filter_map(Backlog::idle_since);
        self.next_stall_at = idle_times.min().map_or(now, |idle_since| idle_since.min(now)) + STALL_TIMEOUT;
        invariant!(
            self.total == self.backlogs.values().map(|backlog| backlog.bytes).sum::<u64>(),
            "the total is the sum of all buffered data"
        );
        evictions
    }

    /// Returns the buffered bytes of a stream.
    pub fn unread_bytes(&self, stream: StreamId) -> u64 {
        self.backlogs.get(&stream).map_or(0, |backlog| backlog.bytes)
    }

    /// Returns the buffered bytes of all callers.
    pub fn total_bytes(&self) -> u64 {
        self.total
    }

    fn is_exhausted(&self) -> bool {
        self.total >= self.bounds.total
    }

    /// Returns the stalled streams in the order in which they are evicted.
    fn stalled(&self, now: Moment) -> Vec<StreamId> {
        let is_stalled =
            |backlog: &Backlog| backlog.idle_since().is_some_and(|since| now.since(since) >= STALL_TIMEOUT);
        let mut streams: Vec<StreamId> =
            self.backlogs.iter().filter(|(_, backlog)| is_stalled(backlog)).map(|(stream, _)| *stream).collect();
        streams.sort_by_key(|stream| {
            let backlog = &self.backlogs[stream];
            (backlog.oldest(), Reverse(backlog.bytes), *stream)
        });
        streams
    }
}
