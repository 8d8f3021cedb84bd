//! Integrity of streamed answers: frames are numbered from zero, and a seal with their count and digest ends the
//! answer.

use xxhash_rust::xxh3::Xxh3;

use crate::name::Attempt;

/// Frame count and digest that the sender appends to an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seal {
    /// Number of frames sent.
    pub count: u64,
    /// XXH3 digest over the bytes of all frames, in order.
    pub digest: u64,
}

/// Numbers and hashes the frames of one attempt, at the sender and at the receiver.
#[derive(Clone)]
pub struct FrameDigest {
    count: u64,
    digest: Xxh3,
}

impl Default for FrameDigest {
    fn default() -> Self {
        Self::new()
    }
}

impl FrameDigest {
    /// Creates the digest of an empty answer.
    pub fn new() -> Self {
        Self { count: 0, digest: Xxh3::new() }
    }

    /// Adds a frame and returns its number.
    pub fn push(&mut self, bytes: &[u8]) -> u64 {
        let number = self.count;
        self.digest.update(bytes);
        self.count += 1;
        number
    }

    /// Returns the count and digest of the frames added so far.
    pub fn seal(&self) -> Seal {
        Seal { count: self.count, digest: self.digest.digest() }
    }
}

/// Result of checking a received frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The frame is the next one of the live attempt; forward it.
    Pass,
    /// The frame belongs to another attempt or is a duplicate; drop it.
    Drop,
    /// At least one frame before this one is missing, so the answer cannot be complete.
    Gap,
}

/// Accepts the frames of the live attempt, in order, and rejects all others.
pub struct Receiver {
    live: Attempt,
    digest: FrameDigest,
}

impl Receiver {
    /// Creates a receiver for the frames of attempt `live`.
    pub fn new(live: Attempt) -> Self {
        Self { live, digest: FrameDigest::new() }
    }

    /// Checks a frame, and adds it to the count and digest if the verdict is [`Verdict::Pass`].
    pub fn accept(&mut self, attempt: Attempt, number: u64, bytes: &[u8]) -> Verdict {
        if attempt != self.live || number < self.digest.count {
            return Verdict::Drop;
        }
        if number > self.digest.count {
            return Verdict::Gap;
        }
        self.digest.push(bytes);
        Verdict::Pass
    }

    /// Returns the number of frames accepted.
    pub fn count(&self) -> u64 {
        self.digest.count
    }

    /// Returns whether `seal` comes from the live attempt and matches the frames accepted, so that the answer is
    /// complete.
    pub fn is_complete(&self, attempt: Attempt, seal: Seal) -> bool {
        attempt == self.live && self.digest.seal() == seal
    }
}
