//! Jobs as the planner sees them, and the engines that it grants them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::policy::MAX_RESERVED_OUTPUT_TOKENS;
use crate::name::Name;
use crate::quarantine::Fingerprint;
use crate::time::Moment;

/// Identity of a job, unique within one planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// Entry that has the job: 0 for the planner's own process, otherwise the number of a connection.
    pub entry: u64,
    /// Number that the entry gave the job.
    pub number: u64,
}

/// Workspace of a job, as a hash of its name: unlike the name it can be copied, and it has the same size in messages
/// whatever the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Workspace(u64);

impl Workspace {
    /// Returns the workspace with the given name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Size, deadlines and priority of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Upper bound of the output tokens.
    pub max_output_tokens: u64,
    /// Target time of the first event.
    pub first_event_target: Moment,
    /// Gap target: longest time between two events that the caller accepts, in milliseconds; 0 if the caller sets
    /// none.
    pub gap_target_ms: f64,
    /// Time at which the caller gives up.
    pub deadline: Moment,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Fingerprint of the request, if it is known.
    pub fingerprint: Option<Fingerprint>,
    /// Workspace of the caller, if the request has one.
    pub workspace: Option<Workspace>,
}

impl Job {
    /// Returns the memory that the job takes, in tokens.
    pub(in crate::planner) fn memory_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_output_tokens.min(MAX_RESERVED_OUTPUT_TOKENS))
    }
}

/// Engine that prefills a part of a prompt for another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Helper {
    /// Name of the engine.
    pub engine: Name,
    /// Tokens of the prompt that the helper holds in memory until the answer is complete; 0 if it only prefills.
    pub held_tokens: u64,
}

/// Engines that serve one prompt together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Engine that receives the request and decodes the answer.
    pub decoder: Name,
    /// Engines that prefill parts of the prompt.
    pub helpers: Vec<Helper>,
}

impl Team {
    /// Returns a team without helpers.
    pub(super) fn without_helpers(engine: &Name) -> Self {
        Self { decoder: engine.clone(), helpers: Vec::new() }
    }

    /// Returns all engines of the team, the decoding engine first.
    pub fn engines(&self) -> impl Iterator<Item = &Name> + Clone {
        std::iter::once(&self.decoder).chain(self.helpers.iter().map(|helper| &helper.engine))
    }
}

/// Decision of the planner: the engines of one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Identity of the job.
    pub id: Id,
    /// Engines of the job.
    pub team: Team,
    /// Time after the grant from which on a missing first event will probably never come; `None` while the planner
    /// cannot predict the first event.
    pub unresponsive_after: Option<Duration>,
}
