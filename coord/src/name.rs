//! Names and identifiers shared by several modules.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Shared immutable name of a workspace, model, service, endpoint or failure domain.
pub type Name = Arc<str>;

/// Identifier of one run of a process; it changes with each restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifier of one attempt of a request at one endpoint; unique across all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt(pub u128);

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Whether a request was executed, as far as proven.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExecutionStatus {
    /// The request was not executed and never will be.
    No,
    /// It is not known whether the request was executed.
    Unknown,
    /// The request was executed, and only part of its answer was delivered.
    Partial,
}

impl ExecutionStatus {
    /// Returns the value used on the wire and in headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            ExecutionStatus::No => "no",
            ExecutionStatus::Unknown => "unknown",
            ExecutionStatus::Partial => "partial",
        }
    }
}
