//! The platform's services behind traits: the append-only log and the VM list.
//!
//! Clients register themselves as plug-ins. What may not live here: decisions.

pub mod http;

use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;
use coord::membership::Vm;
use coord::time::Moment;
use eyre::Result;

/// A future that a trait object returns; each duty runs on its own thread, so it need not be `Send`.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + 'a>>;

/// A record read from the log.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its offset.
    pub offset: u64,
    /// When the log took it.
    pub at: Moment,
    /// What was appended.
    pub payload: Bytes,
}

/// Records read from the log.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// The records, by offset.
    pub entries: Vec<Entry>,
    /// Oldest offset that the log still keeps.
    pub oldest: u64,
    /// Offset after the newest record.
    pub end: u64,
}

/// The platform's append-only log.
pub trait Log: Send {
    /// Appends to `stream`. An error does not say that the record is not there.
    fn append<'a>(&'a self, stream: &'a str, payload: Bytes) -> Pending<'a, u64>;

    /// Reads `stream` from `offset`, waiting up to `wait_ms` for a record.
    fn read<'a>(&'a self, stream: &'a str, offset: u64, wait_ms: u64) -> Pending<'a, Batch>;
}

/// The platform's list of VMs.
pub trait VmList: Send {
    /// All VMs; the list lags.
    fn list(&self) -> Pending<'_, Vec<Vm>>;
}
