//! The bytes of bodies that an entry holds at the same time, bounded.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::failure::Failure;

/// Bytes that one permit stands for.
const PERMIT_BYTES: usize = 1_024;
/// For how long a body that does not fit waits for others to be over: half of the time after which its caller would come
/// back, and send all of it again.
const PATIENCE: Duration = Duration::from_millis(250);
/// When to come back if too many bodies are held.
pub const RETRY: Duration = Duration::from_millis(500);

/// A budget of bytes.
#[derive(Clone)]
pub struct Budget(Arc<Inner>);

struct Inner {
    permits: Arc<Semaphore>,
    /// Told when a part is given back.
    freed: Notify,
}

/// A part of a budget; dropping it gives it back.
pub struct Share {
    budget: Budget,
    /// None once it was given back.
    permit: Option<OwnedSemaphorePermit>,
}

impl Budget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Inner { permits: Arc::new(Semaphore::new(bytes / PERMIT_BYTES)), freed: Notify::new() }))
    }

    /// Takes a part at once, or says that there is none.
    pub fn take(&self, bytes: usize) -> Result<Share, Failure> {
        let permits = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX);
        let busy = |_| Failure::busy("bodies_in_flight", "too many large bodies are in flight", RETRY);
        let permit = self.0.permits.clone().try_acquire_many_owned(permits).map_err(busy)?;
        Ok(Share { budget: self.clone(), permit: Some(permit) })
    }

    /// Takes a part for a body of which nothing has been read; waits a little for others to be over.
    ///
    /// Most bodies are held for some milliseconds: without the wait a large one that comes beside short prompts is refused
    /// as often as it comes. It waits without a place in a queue, since those that fit meanwhile must not wait behind it.
    pub async fn take_soon(&self, bytes: usize) -> Result<Share, Failure> {
        let until = Instant::now() + PATIENCE;
        loop {
            let mut freed = std::pin::pin!(self.0.freed.notified());
            freed.as_mut().enable();
            match self.take(bytes) {
                Ok(share) => return Ok(share),
                Err(failure) if Instant::now() >= until => return Err(failure),
                // Whether something was given back or the time is over: one more look tells.
                Err(_) => drop(tokio::time::timeout_at(until, freed).await),
            }
        }
    }
}

impl Share {
    /// The bytes that it is for.
    pub fn bytes(&self) -> usize {
        self.permit.as_ref().map_or(0, |permit| permit.num_permits() * PERMIT_BYTES)
    }

    /// Takes so many bytes more, at once or not at all: who holds a part and waits for more may wait for another that does the same.
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
        // Given back before others look again.
        drop(self.permit.take());
        self.budget.0.freed.notify_waiters();
    }
}
