//! Owner of a share of the engine time, and a hash map by owner that is fast enough to be read for each waiting prompt
//! at each event.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use super::job::{Job, Workspace};

/// Odd multiplier with evenly spread bits: 2^64 divided by the golden ratio.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Workspace at one priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    /// Priority of the requests; owners of different priorities do not share.
    pub priority: u32,
    /// Workspace of the requests; those without one count as one workspace.
    workspace: Option<Workspace>,
}

impl Owner {
    /// Returns the owner of a job.
    pub fn of(job: &Job) -> Self {
        Self { priority: job.priority, workspace: job.workspace }
    }
}

/// Hash map by owner.
pub type OwnerMap<V> = HashMap<Owner, V, BuildHasherDefault<OwnerHasher>>;

/// Hasher for owners. Workspaces are hashes already, so that one multiplication for each field suffices.
#[derive(Debug, Default)]
pub struct OwnerHasher(u64);

impl Hasher for OwnerHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.write_u64(u64::from(*byte)));
    }

    fn write_u32(&mut self, value: u32) {
        self.write_u64(u64::from(value));
    }

    fn write_usize(&mut self, value: usize) {
        self.write_u64(value as u64);
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = (self.0 ^ value).wrapping_mul(MULTIPLIER);
    }
}
