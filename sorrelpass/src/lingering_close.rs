//! Lingering close: closes a caller's connection such that the refusal just written to it still arrives.
//!
//! A refusal may be written while the caller is still sending, since headers or a body that are too large are not
//! read to their end. Closing a socket with unread bytes resets the connection, and the reset can reach the caller
//! before the refusal does. Therefore incoming bytes are read and discarded for a while before the socket is closed.
//! This happens only after a refusal, and after a promise that the request has not run while a part of it is unread: a
//! request that arrives during any other close must stay unread, so that its caller may retry it.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// Time for which incoming bytes are discarded at most: several round trips across a continent, and far below any grace
/// period of a shutdown.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that are discarded at most: four times the largest body limit seen in a configuration.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Size of the buffer into which discarded bytes are read.
const DISCARD_BUFFER_BYTES: usize = 8 * 1_024;
/// Start of an HTTP/1 response with a 4xx status, which refuses the request.
const REFUSAL_PREFIX: &[u8] = b"HTTP/1.1 4";
/// Start of an HTTP/1 response that promises that the request has not run.
const UNAVAILABLE_PREFIX: &[u8] = b"HTTP/1.1 503";
/// Start of any HTTP/1 response.
const RESPONSE_PREFIX: &[u8] = b"HTTP/1.1 ";

/// Connection that discards incoming bytes for a while when it is shut down after a refusal.
pub struct LingeringStream<S> {
    inner: S,
    /// Whether the last response written refused its request.
    is_refused: bool,
    /// Whether the last response left a part of its request unread.
    has_unread_body: Arc<AtomicBool>,
    /// Number of bytes that may still be discarded; `None` until the connection is shut down.
    remaining: Option<usize>,
    /// Fires when bytes are no longer discarded; `None` until the first wait for more bytes.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> LingeringStream<S> {
    /// Wraps the stream of a connection. `has_unread_body` tells whether the last response left a part of its request
    /// unread.
    pub fn new(inner: S, has_unread_body: Arc<AtomicBool>) -> Self {
        Self { inner, is_refused: false, has_unread_body, remaining: None, timer: None }
    }

    /// Records whether a response refuses its request. The server writes the head of each response at the start of a
    /// write.
    fn record_response(&mut self, written: &[u8]) {
        if written.starts_with(RESPONSE_PREFIX) {
            let is_unavailable = written.starts_with(UNAVAILABLE_PREFIX);
            let has_unread_body = self.has_unread_body.load(Ordering::Relaxed);
            self.is_refused = written.starts_with(REFUSAL_PREFIX) || (is_unavailable && has_unread_body);
        }
    }
}

impl<S: AsyncRead + Unpin> LingeringStream<S> {
    /// Discards incoming bytes until the caller closes the connection, `limit` bytes were read, or the timer fires.
    fn poll_discard(&mut self, limit: usize, cx: &mut Context<'_>) -> Poll<()> {
        let mut remaining = limit;
        while remaining > 0 {
            let mut bytes = [0; DISCARD_BUFFER_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.inner).poll_read(cx, &mut buffer) {
                Poll::Pending => break,
                // The caller has reset or closed the connection.
                Poll::Ready(Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(())) if buffer.filled().is_empty() => return Poll::Ready(()),
                Poll::Ready(Ok(())) => remaining = remaining.saturating_sub(buffer.filled().len()),
            }
        }
        self.remaining = Some(remaining);
        if remaining == 0 {
            return Poll::Ready(());
        }
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(DISCARD_TIMEOUT)));
        timer.as_mut().poll(cx)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LingeringStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LingeringStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        self.record_response(bytes);
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        if let Some(first) = bytes.first() {
            self.record_response(first);
        }
        Pin::new(&mut self.inner).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let limit = match self.remaining {
            Some(remaining) => remaining,
            None => {
                ready!(Pin::new(&mut self.inner).poll_shutdown(cx))?;
                if self.is_refused { MAX_DISCARDED_BYTES } else { 0 }
            }
        };
        self.poll_discard(limit, cx).map(Ok)
    }
}
