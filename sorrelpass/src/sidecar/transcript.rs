//! The answer of a call that runs once, kept so that every later attempt gets the same.

use std::sync::{Arc, Mutex, MutexGuard};

use coord::name::Attempt;
use tokio::sync::watch;

use crate::wire::Frame;

/// Frames as they were sent; clones share them.
#[derive(Clone)]
pub struct Transcript {
    frames: Arc<Mutex<Vec<Frame>>>,
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

    /// Adds a frame.
    pub fn push(&self, frame: Frame) {
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

    /// The frame number `index` as told to `attempt`, waiting for it; `None` after the last.
    pub async fn frame(&self, index: usize, attempt: Attempt) -> Option<Frame> {
        let mut progress = self.progress.subscribe();
        let ready = progress.wait_for(|progress| progress.frames > index || progress.closed).await;
        drop(ready);
        let frame = self.lock().get(index).cloned()?;
        Some(frame.told_to(attempt))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Frame>> {
        self.frames.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
