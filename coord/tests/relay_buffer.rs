//! Callers that do not read take bounded memory, and callers that read lose nothing.

use std::time::Duration;

use coord::relay_buffer::{Bounds, CHUNK_OVERHEAD_BYTES, RelayBuffer, STALL_TIMEOUT, StreamId};
use coord::time::Moment;
use proptest::prelude::*;

const BOUNDS: Bounds = Bounds { per_caller: 256 << 10, total: 16 << 20 };
const EVENT_BYTES: usize = 1_000;
const EVENT_MEMORY: u64 = EVENT_BYTES as u64 + CHUNK_OVERHEAD_BYTES;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Plays 30 s of 1,000 callers that read nothing beside 50 that read each event at once.
#[test]
fn callers_that_read_lose_nothing_beside_a_thousand_that_do_not() {
    let mut buffer = RelayBuffer::new(BOUNDS);
    let mut now = Moment::from_millis(1_000);
    let slow: Vec<StreamId> = (0..1_000).map(|_| buffer.open(now)).collect();
    let reading: Vec<StreamId> = (0..50).map(|_| buffer.open(now)).collect();
    let mut evicted = Vec::new();
    for step in 0..3_000 {
        now = now + EVENT_INTERVAL;
        // The slow callers' streams begin one after the other.
        for stream in slow.iter().take(step).filter(|stream| !evicted.contains(*stream)) {
            if buffer.has_room(*stream) {
                buffer.push(*stream, EVENT_BYTES, now);
            }
        }
        for stream in &reading {
            assert!(buffer.has_room(*stream), "a caller that reads waits for no other");
            buffer.push(*stream, EVENT_BYTES, now);
            buffer.record_read(*stream, now);
        }
        let overshoot = (slow.len() + reading.len()) as u64 * EVENT_MEMORY;
        assert!(buffer.total_bytes() <= BOUNDS.total + overshoot, "{} bytes", buffer.total_bytes());
        evicted.extend(buffer.evict_stalled(now).into_iter().map(|eviction| eviction.stream));
    }
    assert!(!evicted.is_empty(), "the total was exhausted");
    assert!(evicted.is_sorted(), "the caller whose data has waited longest is given up first");
    assert!(evicted.iter().all(|stream| slow.contains(stream)), "a caller that reads was given up");
}

#[test]
fn among_equally_old_callers_the_largest_is_given_up_first() {
    let mut buffer = RelayBuffer::new(Bounds { per_caller: 10_000, total: 5_000 });
    let start = Moment::from_millis(1_000);
    let (small, large) = (buffer.open(start), buffer.open(start));
    buffer.push(small, 1_000, start);
    buffer.push(large, 4_000, start);
    assert!(!buffer.has_room(small) && !buffer.has_room(large), "the total is exhausted");
    assert_eq!(buffer.evict_stalled(start + STALL_TIMEOUT / 2), vec![], "nobody has stalled yet");
    let evictions = buffer.evict_stalled(start + STALL_TIMEOUT);
    assert_eq!(evictions.iter().map(|eviction| eviction.stream).collect::<Vec<_>>(), vec![large]);
    assert_eq!((evictions[0].bytes, evictions[0].unread_for), (4_000 + CHUNK_OVERHEAD_BYTES, STALL_TIMEOUT));
    assert!(buffer.has_room(small));
}

#[test]
fn a_caller_at_its_own_bound_is_not_given_up() {
    let mut buffer = RelayBuffer::new(BOUNDS);
    let mut now = Moment::from_millis(1_000);
    let stream = buffer.open(now);
    while buffer.has_room(stream) {
        buffer.push(stream, EVENT_BYTES, now);
    }
    assert!(buffer.unread_bytes(stream) < BOUNDS.per_caller + EVENT_MEMORY);
    now = now + STALL_TIMEOUT * 100;
    assert_eq!(buffer.evict_stalled(now), vec![]);
    buffer.record_read(stream, now);
    assert!(buffer.has_room(stream));
}

/// Step of the randomised test. Streams are numbered modulo the number of open ones.
#[derive(Clone, Debug)]
enum Step {
    Open,
    Close(usize),
    Receive(usize, usize),
    Read(usize),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        1 => Just(Step::Open),
        1 => (0..64usize).prop_map(Step::Close),
        8 => (0..64usize, 1..3_000usize).prop_map(|(stream, bytes)| Step::Receive(stream, bytes)),
        4 => (0..64usize).prop_map(Step::Read),
        2 => (0..1_500u64).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 0..400)
}

proptest! {
    #[test]
    fn the_total_is_bounded_and_only_stalled_callers_are_given_up(steps in steps()) {
        const MAX_EVENT_MEMORY: u64 = 3_000 + CHUNK_OVERHEAD_BYTES;
        let bounds = Bounds { per_caller: 8_000, total: 20_000 };
        let mut buffer = RelayBuffer::new(bounds);
        let mut now = Moment::from_millis(1_000);
        // Each open stream, with the time of its last read, or of the first data after it had read everything.
        let mut streams: Vec<(StreamId, Moment)> = Vec::new();
        let mut max_open = 0;
        for step in steps {
            let count = streams.len().max(1);
            match step {
                Step::Open => streams.push((buffer.open(now), now)),
                Step::Close(index) if index % count < streams.len() => buffer.close(streams.remove(index % count).0),
                Step::Receive(index, bytes) if index % count < streams.len() => {
                    let (stream, idle_since) = &mut streams[index % count];
                    if buffer.unread_bytes(*stream) == 0 {
                        prop_assert!(buffer.has_room(*stream), "a caller that has read everything has room");
                        *idle_since = now;
                    }
                    if buffer.has_room(*stream) {
                        buffer.push(*stream, bytes, now);
                    }
                    prop_assert!(buffer.unread_bytes(*stream) <= bounds.per_caller + MAX_EVENT_MEMORY);
                }
                Step::Read(index) if index % count < streams.len() => {
                    let (stream, idle_since) = &mut streams[index % count];
                    buffer.record_read(*stream, now);
                    *idle_since = now;
                }
                Step::Pass(millis) => now = now + Duration::from_millis(millis),
                _ => {}
            }
            max_open = max_open.max(streams.len());
            let was_exhausted = buffer.total_bytes() >= bounds.total;
            for eviction in buffer.evict_stalled(now) {
                prop_assert!(was_exhausted, "nobody is given up while there is room");
                let index = streams.iter().position(|(stream, _)| *stream == eviction.stream);
                let (_, idle_since) = streams.remove(index.expect("an open stream"));
                prop_assert!(now.since(idle_since) >= STALL_TIMEOUT, "a caller that reads is not given up");
            }
            let has_stalled = streams.iter().any(|(stream, idle_since)| {
                buffer.unread_bytes(*stream) > 0 && now.since(*idle_since) >= STALL_TIMEOUT
            });
            prop_assert!(!has_stalled || buffer.total_bytes() < bounds.total, "a stalled caller keeps the total exhausted");
            let sum: u64 = streams.iter().map(|(stream, _)| buffer.unread_bytes(*stream)).sum();
            prop_assert_eq!(sum, buffer.total_bytes());
            prop_assert!(sum <= bounds.total + max_open as u64 * MAX_EVENT_MEMORY);
        }
    }
}
