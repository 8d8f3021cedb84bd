//! The platform's services behind traits: the append-only log and the VM list.
//!
//! Clients register themselves as plug-ins. This module only transports data; it must not hold any serving logic.

pub mod http;

use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;
use coord::membership::Vm;
use coord::time::Moment;
use eyre::Result;

/// Future that a trait object returns. It need not be `Send`, since each client is used on one thread only.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + 'a>>;

/// Record read from the log.
#[derive(Clone, Debug)]
pub struct Record {
    /// Offset of the record in its stream.
    pub offset: u64,
    /// Time at which the log accepted the record, on the log's clock.
    pub appended_at: Moment,
    /// Bytes that were appended.
    pub payload: Bytes,
}

/// Result of one read from the log.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Records in order of offset.
    pub records: Vec<Record>,
    /// Oldest offset that the log still retains.
    pub oldest: u64,
    /// Offset that follows the newest record.
    pub end: u64,
}

/// Client of the platform's append-only log.
pub trait Log: Send {
    /// Appends to `stream` and returns the offset. The record may have been stored even if an error is returned.
    fn append<'a>(&'a self, stream: &'a str, payload: Bytes) -> BoxFuture<'a, u64>;

    /// Reads `stream` from `offset` on; waits up to `wait_ms` if there is no record yet.
    fn read<'a>(&'a self, stream: &'a str, offset: u64, wait_ms: u64) -> BoxFuture<'a, Batch>;
}

/// Result of one read of the VM list.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// VMs of the list.
    pub vms: Vec<Vm>,
    /// Number of items that are no VM and that `vms` lacks. Another writer may be their source.
    pub unreadable_items: usize,
}

/// Client of the platform's VM list.
pub trait VmList: Send {
    /// Returns all VMs. The list lags behind the actual state.
    fn list(&self) -> BoxFuture<'_, Listing>;
}
