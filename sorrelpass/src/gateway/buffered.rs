//! Response that is buffered completely before its caller gets any of it.

use bytes::Bytes;
use coord::pool::Stage;
use eyre::{Result, eyre};
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::oneshot;

use super::call::CallerConnection;
use super::response::{Body, BodyError};
use crate::connection::COVERED_RESPONSE_BYTES;
use crate::holder::Holder;

/// Bytes of a large response that are handed over to the caller's connection at once.
const FRAME_BYTES: usize = 64 << 10;

/// Buffered response body and its memory.
pub struct Buffered {
    bytes: Bytes,
    memory: Holder,
}

impl Buffered {
    /// Reads a body to its end, and waits for memory where its size is more than a connection may have anyway.
    pub async fn read<B>(mut body: B, memory: Holder) -> Result<Self>
    where
        B: HttpBody<Data = Bytes> + Unpin,
        B::Error: std::fmt::Display,
    {
        let mut bytes = Vec::new();
        if let Some(length) = body.size_hint().exact() {
            reserve(&mut bytes, usize::try_from(length)?, &memory).await?;
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| eyre!("step=read-answer: {error}"))?;
            let data = frame.into_data().unwrap_or_default();
            if bytes.len() + data.len() > bytes.capacity() {
                let capacity = (2 * bytes.capacity()).max(bytes.len() + data.len());
                reserve(&mut bytes, capacity, &memory).await?;
            }
            bytes.extend_from_slice(&data);
        }
        Ok(Self { bytes: Bytes::from(bytes), memory })
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the body for the caller. The request stays active until the caller's connection has all of a large one;
    /// the connection is closed if the response gives way because its caller does not read.
    pub fn into_body(self, caller: Box<dyn CallerConnection>) -> Body {
        if self.bytes.len() <= COVERED_RESPONSE_BYTES {
            return Full::new(self.bytes).map_err(|never| match never {}).boxed_unsync();
        }
        self.memory.set_stage(Stage::Caller);
        let (sender, taken) = oneshot::channel::<()>();
        let eviction = self.memory.eviction();
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = eviction => caller.abort(),
                // The sender is dropped with the body.
                _ = taken => {}
            }
        });
        let length = self.bytes.len() as u64;
        let state = (self, sender);
        let frames = stream::unfold(state, |(mut response, sender)| async move {
            let data = response.take_frame()?;
            Some((Ok::<_, BodyError>(Frame::data(data)), (response, sender)))
        });
        SizedBody { inner: StreamBody::new(Box::pin(frames)), length }.boxed_unsync()
    }

    /// Removes the next bytes that the caller's connection has room for. That is the caller's progress.
    fn take_frame(&mut self) -> Option<Bytes> {
        if self.bytes.is_empty() {
            return None;
        }
        let data = self.bytes.split_to(self.bytes.len().min(FRAME_BYTES));
        self.memory.record_progress(data.len());
        Some(data)
    }
}

async fn reserve(bytes: &mut Vec<u8>, capacity: usize, memory: &Holder) -> Result<()> {
    if capacity > COVERED_RESPONSE_BYTES {
        if !memory.can_ever_have(capacity) {
            return Err(eyre!("step=reserve-memory: {capacity} bytes never fit"));
        }
        memory.wait_to_grow(capacity).await.map_err(|shortage| eyre!("step=reserve-memory: {shortage}"))?;
    }
    bytes.reserve_exact(capacity - bytes.len());
    Ok(())
}

/// Body of known length, so that its response states the length instead of being sent in chunks.
struct SizedBody<B> {
    inner: B,
    length: u64,
}

impl<B: HttpBody<Data = Bytes> + Unpin> HttpBody for SizedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<std::result::Result<Frame<Bytes>, B::Error>>> {
        std::pin::Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}
