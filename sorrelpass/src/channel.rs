//! Bounded channels between the threads of a process. A full channel makes its senders wait, and a metric counts it.

use tokio::sync::mpsc;

use crate::metric;

/// Sending half of a channel. Clones send into the same channel.
pub struct Sender<T> {
    name: &'static str,
    inner: mpsc::Sender<T>,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self { name: self.name, inner: self.inner.clone() }
    }
}

/// Receiving half of a channel.
pub struct Receiver<T>(mpsc::Receiver<T>);

/// Error of a send whose receiver was dropped because its thread has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// Creates a channel that holds up to `capacity` items; `name` is its label in the metrics.
pub fn bounded<T>(name: &'static str, capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (inner, receiver) = mpsc::channel(capacity);
    (Sender { name, inner }, Receiver(receiver))
}

impl<T> Sender<T> {
    /// Sends an item; waits while the channel is full.
    pub async fn send(&self, item: T) -> Result<(), Closed> {
        match self.inner.try_send(item) {
            Ok(()) => Ok(()),
            Err(mpsc::error::TrySendError::Closed(_)) => Err(Closed),
            Err(mpsc::error::TrySendError::Full(item)) => {
                metric::record_full_channel(self.name);
                self.inner.send(item).await.map_err(|_| Closed)
            }
        }
    }

    /// Sends an item from a `Drop` implementation or a thread without a runtime. If the channel is full, a spawned task
    /// waits on behalf of the sender, or the thread blocks where there is no runtime. An error is ignored.
    pub fn send_detached(&self, item: T)
    where
        T: Send + 'static,
    {
        let Err(mpsc::error::TrySendError::Full(item)) = self.inner.try_send(item) else { return };
        metric::record_full_channel(self.name);
        let inner = self.inner.clone();
        match tokio::runtime::Handle::try_current() {
            Ok(runtime) => drop(runtime.spawn(async move { inner.send(item).await })),
            Err(_) => drop(inner.blocking_send(item)),
        }
    }
}

impl<T> Receiver<T> {
    /// Returns the next item, or `None` once the channel is empty and all senders were dropped.
    pub async fn recv(&mut self) -> Option<T> {
        self.0.recv().await
    }
}
