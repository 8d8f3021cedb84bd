//! Bounds the memory that an entry uses for request bodies in flight.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::failure::Failure;

/// Bytes per semaphore permit.
const PERMIT_BYTES: usize = 1_024;
/// Maximum time that a body waits for memory before it is refused: half of [`RETRY_AFTER`], the delay after
/// which its caller would send the whole body again.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(250);
/// `Retry-After` for bodies that do not fit into the memory budget.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Memory budget for request bodies; clones share it.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Inner>);

struct Inner {
    permits: Arc<Semaphore>,
    /// Notified whenever a reservation is released.
    released: Notify,
}

/// A reserved part of a memory budget, released on drop.
pub struct Reservation {
    budget: MemoryBudget,
    /// `None` once it has been released.
    permit: Option<OwnedSemaphorePermit>,
}

impl MemoryBudget {
    /// Creates a budget of `bytes` bytes, rounded down to whole permits.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Inner { permits: Arc::new(Semaphore::new(bytes / PERMIT_BYTES)), released: Notify::new() }))
    }

    /// Reserves memory without waiting. Fails if the budget does not have it.
    pub fn try_reserve(&self, bytes: usize) -> Result<Reservation, Failure> {
        let permits = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX);
        let budget_exhausted =
            |_| Failure::unavailable("bodies_in_flight", "too many large bodies are in flight", RETRY_AFTER);
        let permit = self.0.permits.clone().try_acquire_many_owned(permits).map_err(budget_exhausted)?;
        Ok(Reservation { budget: self.clone(), permit: Some(permit) })
    }

    /// Reserves memory for a body of which nothing has been read, waiting up to [`RESERVE_TIMEOUT`] for it.
    ///
    /// Most bodies are held for a few milliseconds. Without the wait, a large body that competes with short
    /// prompts would be refused on each attempt. The wait has no queue, so that smaller bodies that fit are
    /// not blocked by a larger one.
    pub async fn reserve(&self, bytes: usize) -> Result<Reservation, Failure> {
        let deadline = Instant::now() + RESERVE_TIMEOUT;
        loop {
            let mut released = std::pin::pin!(self.0.released.notified());
            released.as_mut().enable();
            match self.try_reserve(bytes) {
                Ok(reservation) => return Ok(reservation),
                Err(failure) if Instant::now() >= deadline => return Err(failure),
                // Retries after a release and once more at the deadline.
                Err(_) => drop(tokio::time::timeout_at(deadline, released).await),
            }
        }
    }
}

impl Reservation {
    /// Returns the number of bytes reserved.
    pub fn bytes(&self) -> usize {
        self.permit.as_ref().map_or(0, |permit| permit.num_permits() * PERMIT_BYTES)
    }

    /// Extends the reservation by `bytes` without waiting: two bodies that both hold memory and wait for
    /// more could deadlock.
    pub fn try_grow(&mut self, bytes: usize) -> Result<(), Failure> {
        let mut extra = self.budget.try_reserve(bytes)?;
        if let (Some(permit), Some(extra)) = (&mut self.permit, extra.permit.take()) {
            permit.merge(extra);
        }
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        // Releases the permits before the notification, so that waiters find the memory available.
        drop(self.permit.take());
        self.budget.0.released.notify_waiters();
    }
}
