//! Streams of events: cutting them into whole events, so that only whole ones are passed on.

use bytes::{Bytes, BytesMut};

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, the empty line behind it included.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    /// Bytes of `rest` in which no event ends.
    searched: usize,
}

impl Splitter {
    /// Takes more bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next(&mut self) -> Option<Event> {
        let Some(end) = self.end() else {
            // The last three bytes may begin the end of an event.
            self.searched = self.rest.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let bytes = self.rest.split_to(end).freeze();
        Some(Event { id: id(&bytes), bytes })
    }

    /// Bytes behind the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.rest.split().freeze()
    }

    /// Forgets a part of an event that a broken stream left.
    pub fn clear(&mut self) {
        self.rest.clear();
        self.searched = 0;
    }

    /// Where the first event ends: behind an empty line, in either form of line ends.
    fn end(&self) -> Option<usize> {
        let bytes = &self.rest[..];
        (self.searched..bytes.len()).find_map(|at| {
            let tail = &bytes[at..];
            if tail.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            tail.starts_with(b"\n\r\n").then_some(at + 3)
        })
    }
}

/// The number in an event's `id:` line.
fn id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id:")).and_then(|value| value.trim().parse().ok())
}
