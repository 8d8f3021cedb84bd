//! Buffers of response data that callers have not read yet, bounded in bytes for each caller and for all together.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coord::relay_buffer::{Bounds, Eviction, RelayBuffer, StreamId};
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt, stream};
use http_body_util::{BodyExt, StreamBody};
use tokio::sync::{mpsc, watch};

use super::caller_stream::{BodyFrame, CallerLoss, CallerStream};
use super::now;
use super::response::{Body, BodyError};
use crate::metric;

/// Buffered bytes for one caller. A response of a few thousand tokens fits, so that its replica is free for the next
/// request however slowly the caller reads.
const MAX_BYTES_PER_CALLER: u64 = 256 << 10;
/// Share of the process's memory for buffered data of all callers. The remainder is for requests, for responses that
/// are not streamed, and for the copy of the store.
const MEMORY_SHARE: f64 = 0.25;
/// Interval at which a stream without room looks for stalled callers: short against the time after which one has
/// stalled.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Change of the buffered bytes after which the metric is updated.
const METRIC_STEP_BYTES: u64 = 64 << 10;

/// Buffers of all callers.
pub struct RelayBuffers(Mutex<State>);

struct State {
    buffer: RelayBuffer,
    /// Status of each open stream. It is marked as changed when the caller has read data.
    statuses: HashMap<StreamId, watch::Sender<Option<Eviction>>>,
    /// Buffered bytes that the metric shows.
    reported_bytes: u64,
}

impl State {
    /// Evicts stalled callers while there is no room for all.
    fn evict_stalled(&mut self) {
        for eviction in self.buffer.evict_stalled(now()) {
            if let Some(status) = self.statuses.remove(&eviction.stream) {
                status.send_replace(Some(eviction));
            }
        }
        self.report();
    }

    /// Updates the metric of buffered bytes after a change that matters.
    fn report(&mut self) {
        let bytes = self.buffer.total_bytes();
        if bytes.abs_diff(self.reported_bytes) >= METRIC_STEP_BYTES || (bytes == 0 && self.reported_bytes > 0) {
            self.reported_bytes = bytes;
            metric::set_unread_bytes(bytes);
        }
    }
}

impl RelayBuffers {
    /// Creates the buffers of a process that may use `memory_bytes`.
    pub fn new(memory_bytes: u64) -> Self {
        let total = (memory_bytes as f64 * MEMORY_SHARE) as u64;
        let bounds = Bounds { per_caller: MAX_BYTES_PER_CALLER.min(total), total };
        Self(Mutex::new(State { buffer: RelayBuffer::new(bounds), statuses: HashMap::new(), reported_bytes: 0 }))
    }

    /// Opens a stream to a caller. Returns its two sides.
    pub fn open(self: &Arc<Self>) -> (Box<dyn CallerStream>, Body) {
        let mut state = self.lock();
        let stream = state.buffer.open(now());
        let (status_sender, status) = watch::channel(None);
        state.statuses.insert(stream, status_sender);
        let (sender, frames) = mpsc::unbounded_channel();
        let reader = BufferReader { buffers: self.clone(), stream, frames };
        let frames = stream::unfold(reader, |mut reader| async { Some((reader.next().await?, reader)) });
        let writer = BufferWriter { buffers: self.clone(), stream, frames: sender, status };
        (Box::new(writer), StreamBody::new(frames).boxed_unsync())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sending side of a buffered stream.
struct BufferWriter {
    buffers: Arc<RelayBuffers>,
    stream: StreamId,
    frames: mpsc::UnboundedSender<BodyFrame>,
    status: watch::Receiver<Option<Eviction>>,
}

impl BufferWriter {
    /// Returns why a send or a wait failed: the caller was evicted, or it closed its connection.
    fn loss(&self) -> CallerLoss {
        self.status.borrow().map_or(CallerLoss::Gone, CallerLoss::Evicted)
    }
}

impl CallerStream for BufferWriter {
    fn has_room(&self) -> bool {
        self.buffers.lock().buffer.has_room(self.stream)
    }

    fn wait_for_room(&self) -> LocalBoxFuture<'_, ()> {
        let mut status = self.status.clone();
        async move {
            loop {
                status.mark_unchanged();
                if self.has_room() {
                    return;
                }
                // A timeout or a closed channel leads to the same check as a change.
                let _ = tokio::time::timeout(RECHECK_INTERVAL, status.changed()).await;
                self.buffers.lock().evict_stalled();
            }
        }
        .boxed_local()
    }

    fn send(&self, frame: BodyFrame) -> LocalBoxFuture<'_, Result<(), CallerLoss>> {
        if self.status.borrow().is_some() {
            return std::future::ready(Err(self.loss())).boxed_local();
        }
        let bytes = frame.as_ref().ok().and_then(|frame| frame.data_ref()).map_or(0, |data| data.len());
        let mut state = self.buffers.lock();
        // Counted before the send, so that the reader never removes a frame that is not counted.
        state.buffer.push(self.stream, bytes, now());
        let result = self.frames.send(frame).map_err(|_| self.loss());
        state.evict_stalled();
        std::future::ready(result).boxed_local()
    }

    fn wait_for_loss(&self) -> LocalBoxFuture<'_, CallerLoss> {
        let mut status = self.status.clone();
        async move {
            tokio::select! {
                _ = status.wait_for(Option::is_some) => {}
                () = self.frames.closed() => {}
            }
            self.loss()
        }
        .boxed_local()
    }

    fn wait_until_read(&self) -> LocalBoxFuture<'_, Result<(), CallerLoss>> {
        let mut status = self.status.clone();
        async move {
            loop {
                status.mark_unchanged();
                if self.status.borrow().is_some() || self.frames.is_closed() {
                    return Err(self.loss());
                }
                if self.buffers.lock().buffer.unread_bytes(self.stream) == 0 {
                    return Ok(());
                }
                tokio::select! {
                    _ = status.changed() => {}
                    () = self.frames.closed() => {}
                }
            }
        }
        .boxed_local()
    }
}

/// Receiving side of a buffered stream. Dropping it discards the data that the caller has not read.
struct BufferReader {
    buffers: Arc<RelayBuffers>,
    stream: StreamId,
    frames: mpsc::UnboundedReceiver<BodyFrame>,
}

impl BufferReader {
    async fn next(&mut self) -> Option<BodyFrame> {
        let frame = self.frames.recv().await;
        let mut state = self.buffers.lock();
        let Some(status) = state.statuses.get(&self.stream) else {
            // The caller was evicted. The end of its data must not look like the end of a complete response.
            return Some(Err(BodyError));
        };
        status.send_modify(|_| {});
        let frame = frame?;
        state.buffer.record_read(self.stream, now());
        state.report();
        Some(frame)
    }
}

impl Drop for BufferReader {
    fn drop(&mut self) {
        let mut state = self.buffers.lock();
        state.buffer.close(self.stream);
        state.statuses.remove(&self.stream);
        state.report();
    }
}
