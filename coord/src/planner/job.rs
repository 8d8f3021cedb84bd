//! Prompts as the planner sees them, and the engines that it grants them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::policy::LIKELY_OUTPUT;
use crate::name::Name;
use crate::quarantine::Work;
use crate::time::Moment;

/// Identity of a job: the entry that has it, and the entry's number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// Who has the job: 0 for the planner's own process, else a connection.
    pub entry: u64,
    /// The entry's number for it.
    pub number: u64,
}

/// What a prompt asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Prompt tokens.
    pub prompt: u64,
    /// Most output tokens.
    pub output: u64,
    /// When its first event is wanted.
    pub aim: Moment,
    /// Longest pause that its caller wants between events, in milliseconds; 0 if none is told.
    pub gap_ms: f64,
    /// When its caller gives up.
    pub deadline: Moment,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// What it asks for, if that is known.
    pub work: Option<Work>,
}

impl Job {
    /// Memory that it takes, in tokens.
    pub(in crate::planner) fn needs(&self) -> u64 {
        self.prompt + self.output.min(LIKELY_OUTPUT)
    }
}

/// An engine that reads a part of a prompt for another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Helper {
    /// The engine.
    pub engine: Name,
    /// Tokens of the prompt that it also holds until the answer is over; 0 if it only reads.
    pub holds: u64,
}

/// The engines of one prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// The engine that gets the request and writes the answer.
    pub writer: Name,
    /// Engines that read parts of the prompt.
    pub helpers: Vec<Helper>,
}

impl Team {
    /// One engine that reads and writes all by itself.
    pub(super) fn alone(engine: &Name) -> Self {
        Self { writer: engine.clone(), helpers: Vec::new() }
    }

    /// All its engines, the writer first.
    pub fn engines(&self) -> impl Iterator<Item = &Name> + Clone {
        std::iter::once(&self.writer).chain(self.helpers.iter().map(|helper| &helper.engine))
    }
}

/// A decision: who reads and who writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The job.
    pub id: Id,
    /// Its engines.
    pub team: Team,
    /// If its first event takes longer it will probably never come; none where the planner cannot tell.
    pub silent_after: Option<Duration>,
}
