//! Bounds the memory that an entry uses for request bodies in flight.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::failure::Failure;

/// Bytes per semaphore permit.
const PERMIT_BYTES: usize = 1_024;
/// Longest time that a body waits for memory before it is refused: half of [`RETRY_AFTER`], the delay after
/// which its caller would send the whole body again.
const PATIENCE: Duration = Duration::from_millis(250);
/// `Retry-After` for bodies that do not fit into the memory budget.
pub const RETRY: Duration = Duration::from_millis(500);

/// Memory budget for request bodies; clones share it.
#[derive(Clone)]
pub struct Budget(Arc<Inner>);

struct Inner {
    permits: Arc<Semaphore>,
    /// Notified whenever a reservation is released.
    freed: Notify,
}

/// A reserved part of a memory budget, released on drop.
pub struct Share {
    budget: Budget,
    /// `None` once it has been released.
    permit: Option<OwnedSemaphorePermit>,
}

impl Budget {
    /// Creates a budget of `bytes` bytes, rounded down to whole permits.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Inner { permits: Arc::new(Semaphore::new(bytes / PERMIT_BYTES)), freed: Notify::new() }))
    }

    /// Reserves memory without waiting. Fails if the budget does not have it.
    pub fn take(&self, bytes: usize) -> Result<Share, Failure> {
        let permits = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX);
        let busy = |_| Failure::busy("bodies_in_flight", "too many large bodies are in flight", RETRY);
        let permit = self.0.permits.clone().try_acquire_many_owned(permits).map_err(busy)?;
        Ok(Share { budget: self.clone(), permit: Some(permit) })
    }

    /// Reserves memory for a body of which nothing has been read, waiting up to [`RESERVE_TIMEOUT`] for it.
    ///
    /// Most bodies are held for a few milliseconds. Without the wait, a large body that competes with short
    /// prompts would be refused on each attempt. The wait has no queue, so that smaller bodies that fit are
    /// not blocked by a larger one.
    pub async fn take_soon(&self, bytes: usize) -> Result<Share, Failure> {
        let until = Instant::now() + PATIENCE;
        loop {
            let mut freed = std::pin::pin!(self.0.freed.notified());
            freed.as_mut().enable();
            match self.take(bytes) {
                Ok(share) => return Ok(share),
                Err(failure) if Instant::now() >= until => return Err(failure),
                // Retries after a release and once more at the deadline.
                Err(_) => drop(tokio::time::timeout_at(until, freed).await),
            }
        }
    }
}

impl Share {
    /// Returns the number of bytes reserved.
    pub fn bytes(&self) -> usize {
        self.permit.as_ref().map_or(0, |permit| permit.num_permits() * PERMIT_BYTES)
    }

    /// Extends the reservation by `bytes` without waiting: two bodies that both hold memory and wait for
    /// more could deadlock.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Failure> {
        let mut more = self.budget.take(bytes)?;
        if let (Some(permit), Some(more)) = (&mut self.permit, more.permit.take()) {
            permit.merge(more);
        }
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        // Releases the permits before the notification, so that waiters find the memory available.
        drop(self.permit.take());
        self.budget.0.freed.notify_waiters();
    }
}
