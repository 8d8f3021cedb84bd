//! Bounded rings that join the threads of a process. A full ring is back-pressure, and is counted.

use tokio::sync::mpsc;

use crate::metric;

/// The sending end of a ring; clones send into the same ring.
pub struct Sender<T> {
    name: &'static str,
    inner: mpsc::Sender<T>,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self { name: self.name, inner: self.inner.clone() }
    }
}

/// The receiving end of a ring.
pub struct Receiver<T>(mpsc::Receiver<T>);

/// The other end of the ring is gone: its thread has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// A ring that holds `capacity` items.
pub fn pair<T>(name: &'static str, capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (inner, receiver) = mpsc::channel(capacity);
    (Sender { name, inner }, Receiver(receiver))
}

impl<T> Sender<T> {
    /// Sends, and waits while the ring is full.
    pub async fn send(&self, item: T) -> Result<(), Closed> {
        match self.inner.try_send(item) {
            Ok(()) => Ok(()),
            Err(mpsc::error::TrySendError::Closed(_)) => Err(Closed),
            Err(mpsc::error::TrySendError::Full(item)) => {
                metric::ring_full(self.name);
                self.inner.send(item).await.map_err(|_| Closed)
            }
        }
    }

    /// Sends from a drop handler or a plain thread; if the ring is full a task waits in its place.
    pub fn send_detached(&self, item: T)
    where
        T: Send + 'static,
    {
        let Err(mpsc::error::TrySendError::Full(item)) = self.inner.try_send(item) else { return };
        metric::ring_full(self.name);
        let inner = self.inner.clone();
        match tokio::runtime::Handle::try_current() {
            Ok(runtime) => drop(runtime.spawn(async move { inner.send(item).await })),
            Err(_) => drop(inner.blocking_send(item)),
        }
    }
}

impl<T> Receiver<T> {
    /// The next item; `None` once all senders are gone.
    pub async fn recv(&mut self) -> Option<T> {
        self.0.recv().await
    }
}
