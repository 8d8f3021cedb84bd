//! Splits streams of server-sent events into complete events, so that only complete events are relayed.

use bytes::{Bytes, BytesMut};

/// Bounds an event, in bytes: a quarter of the largest response that is buffered. A replica in trouble may send bytes that
/// are no event without end.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// Complete server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Raw bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
    /// Value of the `id:` line, or `None` if there is none or it is not a number.
    pub id: Option<u64>,
}

/// Buffers the bytes of a stream and splits them into events. Lines may end with LF, CRLF or CR.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that belong to the search state below.
    searched_bytes: usize,
    /// Whether a line that is not empty precedes the end of the searched bytes.
    has_line: bool,
    /// Whether the searched bytes end with a line end.
    at_line_start: bool,
}

impl Splitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer. Returns `None` if there is none.
    pub fn next(&mut self) -> Option<Event> {
        let end = self.find_event_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.reset_search();
        Some(Event { id: event_id(&bytes), bytes })
    }

    /// Returns whether the bytes after the last complete event are too many for one event.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns whether a stream that ends here is broken off: its last line has no end, or the last event lacks the
    /// empty line after it. Empty lines and complete comments after the last event belong to no event.
    pub fn is_inside_event(&self) -> bool {
        let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
        let Some(last) = self.buffer.last() else { return false };
        let mut lines = self.buffer[..].split(is_line_end);
        !is_line_end(last) || lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.reset_search();
        self.buffer.split().freeze()
    }

    /// Discards the incomplete event at the end of an interrupted stream.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.reset_search();
    }

    /// Returns the position after the empty line that ends the first event. The LF of an empty line that ends with CRLF
    /// may arrive later; it then precedes the next event.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.buffer.get(self.searched_bytes).copied() {
            let is_after_cr = self.searched_bytes > 0 && self.buffer[self.searched_bytes - 1] == b'\r';
            self.searched_bytes += 1;
            match byte {
                // The second byte of a CRLF ends no further line.
                b'\n' if is_after_cr => {}
                b'\r' | b'\n' if self.has_line && self.at_line_start => return Some(self.event_end()),
                b'\r' | b'\n' => self.at_line_start = true,
                _ => (self.has_line, self.at_line_start) = (true, false),
            }
        }
        None
    }

    /// Returns the end of the event whose empty line was just searched, with the LF of a CRLF if it has arrived.
    fn event_end(&self) -> usize {
        let ends_with_crlf =
            self.buffer[..self.searched_bytes].ends_with(b"\r") && self.buffer.get(self.searched_bytes) == Some(&b'\n');
        self.searched_bytes + usize::from(ends_with_crlf)
    }

    fn reset_search(&mut self) {
        (self.searched_bytes, self.has_line, self.at_line_start) = (0, false, false);
    }
}

/// Parses the number in the `id:` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let mut lines = text.split(['\r', '\n']);
    lines.find_map(|line| line.strip_prefix("id:")).and_then(|value| value.trim().parse().ok())
}
