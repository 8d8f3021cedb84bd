//! The recorded answer of a call that may run at most once, from which each later attempt is served.

use std::sync::{Arc, Mutex, MutexGuard};

use coord::name::{Attempt, ExecutionStatus};
use tokio::sync::watch;

use crate::wire::Frame;

/// Memory that a recorded frame takes beside its content, in bytes.
const FRAME_OVERHEAD_BYTES: u64 = 128;

/// Recorded frames of an answer; clones share them.
#[derive(Clone)]
pub struct Transcript {
    frames: Arc<Mutex<Vec<Frame>>>,
    progress: Arc<watch::Sender<Progress>>,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct Progress {
    frame_count: usize,
    is_closed: bool,
}

impl Transcript {
    /// Creates an empty transcript.
    pub fn new() -> Self {
        Self { frames: Arc::default(), progress: Arc::new(watch::channel(Progress::default()).0) }
    }

    /// Creates the transcript of a call whose answer was recorded and is no longer kept.
    pub fn dropped() -> Self {
        let transcript = Self::new();
        let message = "the call ran before, and its answer is no longer kept".to_owned();
        let step = "read-kept".to_owned();
        transcript.push(Frame::Failed { ran: ExecutionStatus::Unknown, step, message, status: None });
        transcript.clone().close();
        transcript
    }

    /// Returns the memory that the recorded frames take, in bytes.
    pub fn bytes(&self) -> u64 {
        let content = |frame: &Frame| if let Frame::Chunk { bytes, .. } = frame { bytes.len() as u64 } else { 0 };
        self.lock().iter().map(|frame| FRAME_OVERHEAD_BYTES + content(frame)).sum()
    }

    /// Appends a frame.
    pub fn push(&self, frame: Frame) {
        let mut frames = self.lock();
        frames.push(frame);
        let count = frames.len();
        drop(frames);
        self.progress.send_modify(|progress| progress.frame_count = count);
    }

    /// Marks the end of the frames.
    pub fn close(self) {
        self.progress.send_modify(|progress| progress.is_closed = true);
    }

    /// Waits for the frame with the given index and returns it, addressed to `attempt`; `None` after the
    /// last frame.
    pub async fn wait_for_frame(&self, index: usize, attempt: Attempt) -> Option<Frame> {
        let mut progress = self.progress.subscribe();
        let ready = progress.wait_for(|progress| progress.frame_count > index || progress.is_closed).await;
        drop(ready);
        let frame = self.lock().get(index).cloned()?;
        Some(frame.with_attempt(attempt))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Frame>> {
        self.frames.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
