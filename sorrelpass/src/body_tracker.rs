//! Request body that records whether it was read to its end.
//!
//! If the body of an HTTP/1 request was not read to its end, the connection is closed after the response, since the
//! rest of the body would be taken for the next request. The response has to announce this, as a caller would otherwise
//! send its next request on the connection and lose it.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

/// Body that records when its end was read.
pub struct TrackedBody<B> {
    inner: B,
    read_state: ReadState,
}

/// Shared flag: whether a body still has data that was not read.
#[derive(Clone, Debug)]
pub struct ReadState(Arc<AtomicBool>);

impl ReadState {
    /// Returns whether the body still has data that was not read.
    pub fn has_unread_data(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set_read(&self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

impl<B: Body> TrackedBody<B> {
    /// Wraps `inner`.
    pub fn new(inner: B) -> Self {
        let read_state = ReadState(Arc::new(AtomicBool::new(!inner.is_end_stream())));
        Self { inner, read_state }
    }

    /// Returns the flag of this body. It remains valid after the body was dropped.
    pub fn read_state(&self) -> ReadState {
        self.read_state.clone()
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = Pin::new(&mut self.inner).poll_frame(cx);
        if matches!(frame, Poll::Ready(None)) || self.inner.is_end_stream() {
            self.read_state.set_read();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
