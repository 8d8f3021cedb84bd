//! Request bodies that tell whether they were read to their end.
//!
//! An HTTP/1 connection ends behind an answer whose request was not read, since the rest of the body would pass for the
//! next request. The answer has to say so: a caller that sends its next request there loses that one.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

/// A body that notes when its end was read.
pub struct Watched<B> {
    inner: B,
    unread: Unread,
}

/// Whether a body still has parts that were not read.
#[derive(Clone, Debug)]
pub struct Unread(Arc<AtomicBool>);

impl Unread {
    /// Whether it has.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn over(&self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

impl<B: Body> Watched<B> {
    /// Watches `inner`.
    pub fn new(inner: B) -> Self {
        let unread = Unread(Arc::new(AtomicBool::new(!inner.is_end_stream())));
        Self { inner, unread }
    }

    /// Tells whether the body was read, also once it is gone.
    pub fn unread(&self) -> Unread {
        self.unread.clone()
    }
}

impl<B: Body + Unpin> Body for Watched<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) || self.inner.is_end_stream() {
            self.unread.over();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
