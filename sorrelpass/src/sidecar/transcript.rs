//! The answer of a call that runs once, kept so that every later attempt gets the same.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use tokio::sync::watch;

/// Frames as they were sent; clones share them.
#[derive(Clone)]
pub struct Transcript {
    frames: Arc<Mutex<Vec<Bytes>>>,
    progress: Arc<watch::Sender<Progress>>,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct Progress {
    frames: usize,
    closed: bool,
}

impl Transcript {
    /// An empty transcript.
    pub fn new() -> Self {
        Self { frames: Arc::default(), progress: Arc::new(watch::channel(Progress::default()).0) }
    }

    /// Adds an encoded frame.
    pub fn push(&self, frame: Bytes) {
        let mut frames = self.lock();
        frames.push(frame);
        let count = frames.len();
        drop(frames);
        self.progress.send_modify(|progress| progress.frames = count);
    }

    /// No frame follows.
    pub fn close(self) {
        self.progress.send_modify(|progress| progress.closed = true);
    }

    /// The frame number `index`, waiting for it; `None` after the last.
    pub async fn frame(&self, index: usize) -> Option<Bytes> {
        let mut progress = self.progress.subscribe();
        let ready = progress.wait_for(|progress| progress.frames > index || progress.closed).await;
        drop(ready);
        self.lock().get(index).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Bytes>> {
        self.frames.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
