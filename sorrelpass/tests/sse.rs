//! Streams of server-sent events are split at their empty lines, however they arrive and whatever ends their lines.

#[path = "../src/gateway/sse.rs"]
mod sse;

use sse::{Event, Splitter};

/// Streams that are complete: the bytes and the ids of their events.
const COMPLETE: [(&str, &[Option<u64>]); 10] = [
    ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", &[Some(1), Some(2)]),
    ("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", &[Some(1), Some(2)]),
    ("id: 1\rdata: a\r\rid: 2\rdata: b\r\r", &[Some(1), Some(2)]),
    ("id: 1\rdata: a\r\n\rid: 2\ndata: b\n\r\n", &[Some(1), Some(2)]),
    ("id: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n\n", &[Some(1), Some(2)]),
    ("id: 1\ndata: a\n\n: comment\n\nid: 2\n\n", &[Some(1), None, Some(2)]),
    ("id: 1\ndata: a\n\n: the end\n", &[Some(1)]),
    ("versions: 4\nid: 1\ndata: a\n\nretry: 10\n\n", &[Some(1), None]),
    ("\n\n", &[]),
    ("", &[]),
];

fn split(pieces: &[&[u8]]) -> (Vec<Event>, Splitter) {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        events.extend(std::iter::from_fn(|| splitter.next()));
    }
    (events, splitter)
}

#[test]
fn a_complete_stream_is_relayed_unchanged_and_is_not_inside_an_event() {
    for (text, ids) in COMPLETE {
        let bytes = text.as_bytes();
        for first in 0..=bytes.len() {
            for second in first..=bytes.len() {
                let (events, mut splitter) = split(&[&bytes[..first], &bytes[first..second], &bytes[second..]]);
                assert!(!splitter.is_inside_event(), "{text:?} cut at {first} and {second}");
                assert_eq!(events.iter().map(|event| event.id).collect::<Vec<_>>(), ids, "{text:?}");
                let mut relayed: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
                relayed.extend(splitter.take_remainder());
                assert_eq!(relayed, bytes, "{text:?} cut at {first} and {second}");
            }
        }
    }
}

#[test]
fn a_stream_that_ends_anywhere_in_an_event_is_inside_it() {
    for line_end in ["\n", "\r\n", "\r"] {
        let event = format!("id: 7{line_end}data: piece{line_end}{line_end}");
        // A stream that ends with the CR of the empty line has all that makes its last event complete.
        let whole = event.len() - usize::from(line_end == "\r\n");
        for end in 1..whole {
            let text = [event.as_str(), &event[..end]].concat();
            let (events, splitter) = split(&[text.as_bytes()]);
            assert_eq!((events.len(), splitter.is_inside_event()), (1, true), "{text:?}");
        }
    }
}

#[test]
fn an_interrupted_stream_leaves_nothing_for_the_one_that_resumes_it() {
    let (_, mut splitter) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    splitter.clear();
    splitter.push(b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.next().map(|event| event.bytes), Some("id: 2\ndata: b\n\n".into()));
    assert!(!splitter.is_inside_event());
}

#[test]
fn bytes_that_are_no_event_and_do_not_end_are_overlong() {
    let mut splitter = Splitter::default();
    let piece = vec![b'#'; 1 << 20];
    let pushes = (0..64).take_while(|_| {
        splitter.push(&piece);
        splitter.next().is_none() && !splitter.is_overlong()
    });
    assert!((1..8).contains(&pushes.count()), "a few events of a megabyte are read, and not more");
    splitter.clear();
    assert!(!splitter.is_overlong());
}
