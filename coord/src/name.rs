//! Names and identities that more than one part speaks of.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A shared immutable name: a workspace, model, service, endpoint or failure domain.
pub type Name = Arc<str>;

/// One run of a process. A restarted process has a new incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One try at one request at one endpoint; unique over all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt(pub u128);

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Whether a request ran, as far as that is proven.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Proven: it did not run and never will.
    No,
    /// Nothing is proven.
    Unknown,
    /// It ran, and only part of the answer was passed on.
    Partial,
}

impl Ran {
    /// The word used on the wire and in headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Partial => "partial",
        }
    }
}
