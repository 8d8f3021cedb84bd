//! Whole answers: frames numbered from zero, closed by a count and a digest.

use xxhash_rust::xxh3::Xxh3;

use crate::name::Attempt;

/// Totals that the sender puts at the end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seal {
    /// Number of frames sent.
    pub count: u64,
    /// Digest over all frames' bytes in order.
    pub digest: u64,
}

/// Numbers and digests the frames of one attempt, on either side of the wire.
#[derive(Clone)]
pub struct Tally {
    count: u64,
    digest: Xxh3,
}

impl Default for Tally {
    fn default() -> Self {
        Self::new()
    }
}

impl Tally {
    /// A tally of no frames.
    pub fn new() -> Self {
        Self { count: 0, digest: Xxh3::new() }
    }

    /// Adds a frame and returns its number.
    pub fn add(&mut self, bytes: &[u8]) -> u64 {
        let number = self.count;
        self.digest.update(bytes);
        self.count += 1;
        number
    }

    /// The totals so far.
    pub fn seal(&self) -> Seal {
        Seal { count: self.count, digest: self.digest.digest() }
    }
}

/// What became of a frame at the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The next frame of the live attempt: pass it on.
    Pass,
    /// A frame of another attempt, or one seen before: drop it.
    Drop,
    /// A frame is missing before this one: the answer cannot be whole.
    Gap,
}

/// Receives the frames of the live attempt and refuses everything else.
pub struct Receiver {
    live: Attempt,
    tally: Tally,
}

impl Receiver {
    /// Receives frames of `live`.
    pub fn new(live: Attempt) -> Self {
        Self { live, tally: Tally::new() }
    }

    /// Judges a frame; it is counted only if the verdict is [`Verdict::Pass`].
    pub fn accept(&mut self, attempt: Attempt, number: u64, bytes: &[u8]) -> Verdict {
        if attempt != self.live || number < self.tally.count {
            return Verdict::Drop;
        }
        if number > self.tally.count {
            return Verdict::Gap;
        }
        self.tally.add(bytes);
        Verdict::Pass
    }

    /// Number of frames passed on.
    pub fn count(&self) -> u64 {
        self.tally.count
    }

    /// Whether the answer that `attempt` sealed is whole.
    pub fn is_whole(&self, attempt: Attempt, seal: Seal) -> bool {
        attempt == self.live && self.tally.seal() == seal
    }
}
