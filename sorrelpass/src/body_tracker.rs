//! Request body that records whether it was read to its end, and response body that its request lasts as long as.
//!
//! If the body of an HTTP/1 request was not read to its end, the connection is closed after the response, since the
//! rest of the body would be taken for the next request. The response has to announce this, as a caller would otherwise
//! send its next request on the connection and lose it.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use coord::time::Moment;
use hyper::body::{Body, Frame, SizeHint};

use crate::connection::{BodyGuard, RequestGuard};
use crate::util;

/// Body that records when its end was read.
pub struct TrackedBody<B> {
    inner: B,
    read_state: ReadState,
}

/// Shared flag: whether a body still has data that was not read.
#[derive(Clone)]
pub struct ReadState {
    is_unread: Arc<AtomicBool>,
    /// Guard that is ended with the body.
    guard: BodyGuard,
}

impl ReadState {
    /// Returns whether the body still has data that was not read.
    pub fn has_unread_data(&self) -> bool {
        self.is_unread.load(Ordering::Relaxed)
    }

    fn set_read(&self) {
        self.is_unread.store(false, Ordering::Relaxed);
        self.guard.end();
    }
}

impl<B: Body> TrackedBody<B> {
    /// Wraps `inner`, whose end ends `guard`.
    pub fn new(inner: B, guard: BodyGuard) -> Self {
        let is_unread = Arc::new(AtomicBool::new(!inner.is_end_stream()));
        Self { inner, read_state: ReadState { is_unread, guard } }
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

/// Response body that counts its request as active until it is dropped, which is when the connection has all of it.
pub struct GuardedBody<B> {
    inner: B,
    ready_since: Arc<ReadySince>,
    _guard: RequestGuard,
}

/// Time since which a response has had data for its caller that the connection does not take, or `None` while it has
/// none.
pub struct ReadySince(Mutex<Option<Moment>>);

impl ReadySince {
    /// Returns whether the caller has taken nothing of what was ready for it for `timeout`.
    pub fn is_overdue(&self, timeout: Duration) -> bool {
        let since = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        since.is_some_and(|since| util::now().since(since) >= timeout)
    }

    fn set(&self, since: Option<Moment>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = since;
    }
}

impl<B> GuardedBody<B> {
    /// Wraps the body of the response to the request that `guard` counts.
    pub fn new(inner: B, guard: RequestGuard) -> Self {
        let ready_since = Arc::new(ReadySince(Mutex::new(Some(util::now()))));
        Self { inner, ready_since, _guard: guard }
    }

    /// Returns since when data has been ready. It is dropped with the body.
    pub fn ready_since(&self) -> Weak<ReadySince> {
        Arc::downgrade(&self.ready_since)
    }
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = Pin::new(&mut self.inner).poll_frame(cx);
        // The connection asks again once its caller has room for more.
        self.ready_since.set(matches!(frame, Poll::Ready(Some(_))).then(util::now));
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
