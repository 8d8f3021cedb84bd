//! Log offsets that keep increasing when the log is recovered from an older copy of itself.
//!
//! A recovered log assigns offsets again. Each recovery starts a new era, and a record of a later era is newer than
//! all records of earlier eras, whatever its offset. The era occupies the upper bits of the number, so that comparing
//! numbers compares write order. In era 0, of a log that was never recovered, the number equals the plain offset.

use std::fmt;

/// Bits of the plain offset; enough for nine years at a million records per second.
const PLAIN_BITS: u32 = 48;
const PLAIN_MASK: u64 = (1 << PLAIN_BITS) - 1;
/// Largest era that fits into the upper bits; later ones are indistinguishable from it.
const MAX_ERA: u64 = u64::MAX >> PLAIN_BITS;

/// Combines an era and a plain offset into one number.
pub fn encode(era: u64, plain: u64) -> u64 {
    (era.min(MAX_ERA) << PLAIN_BITS) | plain.min(PLAIN_MASK)
}

/// Returns the era of a number.
pub const fn era(number: u64) -> u64 {
    number >> PLAIN_BITS
}

/// Returns the plain offset of a number, as used by the log within its era.
pub const fn plain_offset(number: u64) -> u64 {
    number & PLAIN_MASK
}

/// Formats a number for log lines: the plain offset, prefixed with the era unless the era is 0.
pub struct Formatted(pub u64);

impl fmt::Display for Formatted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match era(self.0) {
            0 => write!(f, "{}", plain_offset(self.0)),
            era => write!(f, "{era}:{}", plain_offset(self.0)),
        }
    }
}
