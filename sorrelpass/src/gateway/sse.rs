//! Splits streams of server-sent events into complete events, so that only complete events are relayed.

use bytes::{Bytes, BytesMut};

/// Complete server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Raw bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
    /// Value of the `id:` line, or `None` if there is none or it is not a number.
    pub id: Option<u64>,
}

/// Buffers the bytes of a stream and splits them into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that are known not to contain the end of an event.
    searched_bytes: usize,
}

impl Splitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer. Returns `None` if there is none.
    pub fn next(&mut self) -> Option<Event> {
        let Some(end) = self.event_end() else {
            // The last three bytes may be the start of the sequence that ends an event.
            self.searched_bytes = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.searched_bytes = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(Event { id: event_id(&bytes), bytes })
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.searched_bytes = 0;
        self.buffer.split().freeze()
    }

    /// Discards the incomplete event at the end of an interrupted stream.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.searched_bytes = 0;
    }

    /// Returns the position after the empty line that ends the first event. Lines may end with LF or CRLF.
    fn event_end(&self) -> Option<usize> {
        let bytes = &self.buffer[..];
        (self.searched_bytes..bytes.len()).find_map(|at| {
            let tail = &bytes[at..];
            if tail.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            tail.starts_with(b"\n\r\n").then_some(at + 3)
        })
    }
}

/// Parses the number in the `id:` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id:")).and_then(|value| value.trim().parse().ok())
}
