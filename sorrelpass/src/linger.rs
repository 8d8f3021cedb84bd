//! Closing a caller's connection without taking back the refusal that was just written to it.
//!
//! A refusal may be written while its caller still sends: a head or a body that is too large is not
//! read to its end. Closing a socket with unread bytes resets it, and the reset can reach the caller
//! before the refusal does. So what still comes is read and thrown away for a while. Only behind a
//! refusal: a request that crosses any other close must stay unread, so that its caller may repeat it.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// Longest time for which bytes are thrown away: some ways across a continent, and far below any grace.
const LINGER: Duration = Duration::from_secs(1);
/// Most bytes that are thrown away: four times the largest body seen in a configuration.
const MOST_BYTES: usize = 16 << 20;
/// Bytes read at once.
const SCRATCH: usize = 8 * 1_024;
/// How an HTTP/1 answer that refuses its request begins.
const REFUSAL: &[u8] = b"HTTP/1.1 4";
/// How any HTTP/1 answer begins.
const ANSWER: &[u8] = b"HTTP/1.1 ";

/// A connection that lingers when it is shut down behind a refusal.
pub struct Linger<S> {
    inner: S,
    /// Whether the last answer written refused its request.
    refused: bool,
    /// Bytes that may still be thrown away; none before the connection is shut down.
    left: Option<usize>,
    /// Ends the wait for more.
    until: Option<Pin<Box<Sleep>>>,
}

impl<S> Linger<S> {
    /// A connection over `inner`.
    pub fn new(inner: S) -> Self {
        Self { inner, refused: false, left: None, until: None }
    }

    /// Takes notice of an answer's beginning; the server writes each answer's head at the start of a write.
    fn note(&mut self, written: &[u8]) {
        if written.starts_with(ANSWER) {
            self.refused = written.starts_with(REFUSAL);
        }
    }
}

impl<S: AsyncRead + Unpin> Linger<S> {
    /// Throws away what comes, until the caller closes or the wait is over.
    fn poll_discard(&mut self, left: usize, cx: &mut Context<'_>) -> Poll<()> {
        let mut left = left;
        while left > 0 {
            let mut scratch = [0; SCRATCH];
            let mut buffer = ReadBuf::new(&mut scratch);
            match Pin::new(&mut self.inner).poll_read(cx, &mut buffer) {
                Poll::Pending => break,
                // The caller is gone, one way or the other.
                Poll::Ready(Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(())) if buffer.filled().is_empty() => return Poll::Ready(()),
                Poll::Ready(Ok(())) => left = left.saturating_sub(buffer.filled().len()),
            }
        }
        self.left = Some(left);
        if left == 0 {
            return Poll::Ready(());
        }
        let until = self.until.get_or_insert_with(|| Box::pin(tokio::time::sleep(LINGER)));
        until.as_mut().poll(cx)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Linger<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Linger<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        self.note(bytes);
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        if let Some(first) = bytes.first() {
            self.note(first);
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
        let left = match self.left {
            Some(left) => left,
            None => {
                ready!(Pin::new(&mut self.inner).poll_shutdown(cx))?;
                if self.refused { MOST_BYTES } else { 0 }
            }
        };
        self.poll_discard(left, cx).map(Ok)
    }
}
