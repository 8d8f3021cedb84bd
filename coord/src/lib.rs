//! Coordination components of a serving layer, for embedding in a process.
//!
//! Every component is sans-IO: it opens no socket, starts no thread, reads no clock and draws no global random
//! number. The caller passes the time as [`time::Moment`] and randomness as an argument, so that randomised tests can
//! drive each component deterministically. Components check their own invariants with [`invariant!`].
//!
//! Transports, serialisation formats, logging and threads belong to the embedding process, not to this crate.

pub mod answer;
pub mod backoff;
pub mod breaker;
pub mod budget;
pub mod claim;
pub mod connection;
pub mod contact;
pub mod delta;
pub mod demand;
pub mod distance;
pub mod engine;
pub mod estimate;
pub mod evacuation;
pub mod expiring_set;
pub mod fence;
pub mod intent;
pub mod invariant;
pub mod limit;
pub mod log_limit;
pub mod membership;
pub mod memory;
pub mod name;
pub mod offset;
pub mod pick;
pub mod placement;
pub mod planner;
pub mod poll;
pub mod pool;
pub mod prefix;
pub mod probe;
pub mod progress;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod read_size;
pub mod relay_buffer;
pub mod replay;
pub mod replica_load;
pub mod retained;
pub mod retry_delay;
pub mod roster;
pub mod route;
pub mod scheduler;
pub mod search;
pub mod span;
pub mod succession;
pub mod termination;
pub mod ticket;
pub mod time;
