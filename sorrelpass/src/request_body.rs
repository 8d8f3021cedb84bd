//! Buffers request bodies in memory that a pool bounds.
//!
//! A body is copied into one buffer, whose whole capacity counts: pieces kept as they arrive would take far more memory
//! than their content if they are small.

use std::time::Duration;

use bytes::Bytes;
use coord::pool::{Bounds, Stage};
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::holder::{Holder, Holders, MEMORY_STALL_TIMEOUT, Shortage};

/// Capacity for a body of unknown length at first, in bytes.
const INITIAL_CAPACITY_BYTES: usize = 4 * 1_024;
/// Size up to which a body is small, in bytes. Small ones get the part of the pool that is kept for them.
const SMALL_BODY_BYTES: usize = 64 * 1_024;
/// Bytes after which progress is recorded: a body may come in millions of pieces.
const PROGRESS_STEP_BYTES: usize = 1_024;
/// Share of a pool that is kept for small bodies.
const SMALL_RESERVE_SHARE: f64 = 0.125;

/// Limits on one body.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest size, in bytes.
    pub max_bytes: usize,
    /// Time for the whole body.
    pub timeout: Duration,
    /// Time for the next piece of it.
    pub gap_timeout: Duration,
}

/// Reason why a body was not read.
#[derive(Debug)]
pub enum ReadError {
    /// The body is larger than its limit.
    TooLarge,
    /// The connection broke, or the body is malformed.
    Broken(String),
    /// The body did not come in time.
    Slow,
    /// The process has no memory for it.
    Shortage(Shortage),
}

/// Body that was read to its end.
pub struct Buffered {
    /// Content of the body.
    pub bytes: Bytes,
    /// Memory of the body, to be dropped together with it.
    pub holder: Holder,
}

/// Creates a pool of `capacity` bytes, in which a body of `max_body_bytes` fits if it is alone.
pub fn new_pool(capacity: usize, max_body_bytes: usize) -> Holders {
    Holders::new("bodies", bounds(capacity, max_body_bytes))
}

/// Returns the bounds of a pool of `capacity` bytes, in which a body of `max_body_bytes` fits if it is alone.
pub fn bounds(capacity: usize, max_body_bytes: usize) -> Bounds {
    let spare = capacity.saturating_sub(max_body_bytes);
    let small_reserve = (capacity as f64 * SMALL_RESERVE_SHARE) as usize;
    Bounds {
        capacity: capacity as u64,
        small_reserve: small_reserve.min(spare) as u64,
        small_amount: SMALL_BODY_BYTES as u64,
        stall_timeout: MEMORY_STALL_TIMEOUT,
    }
}

/// Reads a body to its end. One that is announced with more than its limit is refused without reading any of it.
pub async fn read<B>(pool: &Holders, body: B, limits: &Limits) -> Result<Buffered, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let holder = pool.open(Stage::Caller);
    let mut buffer = Buffer { bytes: Vec::new(), holder, max_bytes: limits.max_bytes, unrecorded_bytes: 0 };
    if body.is_end_stream() {
        return Ok(buffer.close());
    }
    let read = buffer.read(body, limits);
    tokio::time::timeout(limits.timeout, read).await.map_err(|_| ReadError::Slow)??;
    Ok(buffer.close())
}

/// Body that is being read.
struct Buffer {
    bytes: Vec<u8>,
    holder: Holder,
    max_bytes: usize,
    /// Bytes that have arrived since progress was last recorded.
    unrecorded_bytes: usize,
}

impl Buffer {
    async fn read<B>(&mut self, mut body: B, limits: &Limits) -> Result<(), ReadError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: std::fmt::Display,
    {
        let hint = body.size_hint();
        if hint.lower() > self.max_bytes as u64 {
            return Err(ReadError::TooLarge);
        }
        let capacity = hint.exact().and_then(|bytes| usize::try_from(bytes).ok());
        self.reserve(capacity.unwrap_or(INITIAL_CAPACITY_BYTES.min(self.max_bytes))).await?;
        let mut eviction = std::pin::pin!(self.holder.eviction());
        loop {
            let frame = tokio::select! {
                // Eviction is checked first: a caller that drips must not read on.
                biased;
                () = eviction.as_mut() => return Err(ReadError::Shortage(Shortage::GaveWay)),
                frame = tokio::time::timeout(limits.gap_timeout, body.frame()) => frame.map_err(|_| ReadError::Slow)?,
            };
            match frame {
                None => return Ok(()),
                Some(Err(error)) => return Err(ReadError::Broken(error.to_string())),
                Some(Ok(frame)) => self.push(&frame.into_data().unwrap_or_default()).await?,
            }
        }
    }

    async fn push(&mut self, data: &[u8]) -> Result<(), ReadError> {
        let len = self.bytes.len() + data.len();
        if len > self.max_bytes {
            return Err(ReadError::TooLarge);
        }
        if len > self.bytes.capacity() {
            self.reserve(len.max(2 * self.bytes.capacity()).min(self.max_bytes)).await?;
        }
        self.bytes.extend_from_slice(data);
        self.unrecorded_bytes += data.len();
        if self.unrecorded_bytes >= PROGRESS_STEP_BYTES {
            self.holder.record_progress(std::mem::take(&mut self.unrecorded_bytes));
        }
        Ok(())
    }

    async fn reserve(&mut self, capacity: usize) -> Result<(), ReadError> {
        if !self.holder.can_ever_have(capacity) {
            return Err(ReadError::TooLarge);
        }
        let is_first = self.bytes.capacity() == 0;
        self.holder.grow(capacity, is_first).await.map_err(ReadError::Shortage)?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    fn close(mut self) -> Buffered {
        self.bytes.shrink_to_fit();
        self.holder.shrink(self.bytes.len());
        self.holder.set_stage(Stage::Process);
        Buffered { bytes: Bytes::from(self.bytes), holder: self.holder }
    }
}
