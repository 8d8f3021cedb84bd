//! Fingerprints of requests and of prompt parts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// BLAKE3 key-derivation context of the fingerprints.
const FINGERPRINT_CONTEXT: &str = "sorrelpass quarantine fingerprint of work 1";

/// Fingerprint of a request, equal for each repetition, whichever entry receives it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Returns the fingerprint of a request from its parts. Each part is prefixed with its length, so that different
    /// lists of parts never yield the same input. The hash uses its own context, so that hashes of the same text from
    /// other sources do not reveal the fingerprint.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(FINGERPRINT_CONTEXT);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut fingerprint = Self([0; 16]);
        fingerprint.0.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        fingerprint
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Work({self})")
    }
}

/// Error for a text that is not a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseFingerprintError;

impl fmt::Display for ParseFingerprintError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a fingerprint is 32 hexadecimal digits")
    }
}

impl std::error::Error for ParseFingerprintError {}

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, ParseFingerprintError> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseFingerprintError);
        }
        u128::from_str_radix(text, 16).map(|number| Self(number.to_be_bytes())).map_err(|_| ParseFingerprintError)
    }
}

/// Part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SharedPart {
    /// Fingerprint of the part, the same in all prompts to a service.
    pub fingerprint: Fingerprint,
    /// Number of parts before it in the prompt. Parts that come later are shared by fewer prompts.
    pub depth: u8,
}

/// What replicas may terminate under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// A whole request, whichever entry receives it.
    Request(Fingerprint),
    /// A part of prompts, whatever else they hold.
    Part(Fingerprint),
}

impl Cause {
    /// Returns the fingerprint of the request or the part.
    pub const fn fingerprint(self) -> Fingerprint {
        match self {
            Cause::Request(fingerprint) | Cause::Part(fingerprint) => fingerprint,
        }
    }

    /// Returns the kind as log lines name it.
    pub const fn kind(self) -> &'static str {
        match self {
            Cause::Request(_) => "request",
            Cause::Part(_) => "part",
        }
    }
}
