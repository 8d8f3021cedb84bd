//! Connections of callers as holders: their activity decides which of them is closed when too many are open.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use coord::connection::{Activity, Timeouts};
use coord::pool::{Bounds, Stage};
use rustix::process::{Resource, getrlimit};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

use crate::holder::{Holder, Holders, Shortage};
use crate::util;

/// Memory of a connection, in bytes: its task, its buffers, and what may have arrived and wait in its socket.
pub const CONNECTION_BYTES: usize = 96 << 10;
/// Part of it for a response that is ready, in bytes.
pub const COVERED_RESPONSE_BYTES: usize = 16 << 10;
/// Share of the process's memory for callers' connections.
const MEMORY_SHARE: f64 = 0.25;
/// Share of the process's descriptors for callers' connections. As many are for connections to replicas, and the
/// remainder for the store, peers, probes and files.
const DESCRIPTOR_SHARE: f64 = 0.4;
/// Time without progress after which an unfinished connection counts as stalled. While more are open than there is room
/// for, each one has this time, and a new one waits for it.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a connection is closed whose caller reads nothing of a response that is ready: beyond the
/// timeouts of callers.
pub const UNREAD_TIMEOUT: Duration = Duration::from_secs(120);
/// Shortest time between two checks of a connection's times.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the number of callers' connections of a process with `memory_bytes` and, if it is set, `descriptors`.
pub fn max_connections(memory_bytes: u64, descriptors: Option<u64>) -> u64 {
    let own = getrlimit(Resource::Nofile).current;
    let descriptors = descriptors.into_iter().chain(own).min().unwrap_or(u64::MAX);
    let by_memory = memory_bytes as f64 * MEMORY_SHARE / CONNECTION_BYTES as f64;
    by_memory.min(descriptors as f64 * DESCRIPTOR_SHARE).max(1.0) as u64
}

/// Creates the pool of a listener that may have `count` connections.
pub fn new_pool(name: &'static str, count: u64) -> Holders {
    Holders::new(name, Bounds::new(count, STALL_TIMEOUT))
}

/// A caller's connection.
pub struct Connection {
    holder: Holder,
    activity: Mutex<Activity>,
    /// Notified when the connection is to be closed although requests are active.
    aborted: Notify,
    /// Whether the last response left a part of its request unread.
    has_unread_body: Arc<AtomicBool>,
}

impl Connection {
    /// Admits a connection that was accepted, once there is room for it. Others may give way meanwhile. Fails if it gave
    /// way itself.
    pub async fn admit(pool: &Holders) -> std::result::Result<Arc<Self>, Shortage> {
        let holder = pool.open(Stage::Caller);
        holder.wait_to_grow(1).await?;
        let activity = Mutex::new(Activity::new(util::now()));
        Ok(Arc::new(Self { holder, activity, aborted: Notify::new(), has_unread_body: Arc::default() }))
    }

    /// Counts a request until the guard is dropped, which is when its response is complete.
    pub fn begin_request(self: &Arc<Self>, has_body: bool) -> RequestGuard {
        self.change(|activity| activity.begin_request(has_body));
        let is_receiving = Arc::new(AtomicBool::new(has_body));
        RequestGuard { body: BodyGuard { connection: self.clone(), is_receiving } }
    }

    /// Records that requests share the connection, which then counts as `units` connections. Returns whether there is
    /// room for that.
    pub fn set_multiplexed(&self, units: usize) -> bool {
        self.change(Activity::set_multiplexed);
        self.holder.grow_now(units)
    }

    /// Records that a response leaves a part of its request unread.
    pub fn set_unread_body(&self) {
        self.has_unread_body.store(true, Ordering::Relaxed);
    }

    /// Closes the connection although requests are active.
    pub fn abort(&self) {
        self.aborted.notify_one();
    }

    /// Waits until the connection is aborted.
    pub async fn aborted(&self) {
        self.aborted.notified().await;
    }

    /// Waits until the connection gives way. It has to be closed before anything else of it is read.
    pub fn eviction(&self) -> impl Future<Output = ()> + Send + use<> {
        self.holder.eviction()
    }

    /// Waits until one of the connection's times has passed.
    pub async fn wait_until_overdue(&self, timeouts: impl Fn() -> Timeouts) {
        loop {
            let timeouts = timeouts();
            let shortest = timeouts.head.min(timeouts.idle);
            let due_at = self.lock().due_at(&timeouts);
            let left = due_at.map_or(shortest, |due_at| due_at.since(util::now()));
            if left.is_zero() {
                return;
            }
            // What is due changes with each request, so it is checked again within the shortest time.
            tokio::time::sleep(left.min(shortest).max(MIN_CHECK_INTERVAL)).await;
        }
    }

    fn change(&self, change: impl FnOnce(&mut Activity)) {
        let mut activity = self.lock();
        change(&mut activity);
        self.holder.set_stage(activity.stage());
    }

    fn record_read(&self, bytes: usize) {
        self.change(|activity| activity.record_read(util::now()));
        self.holder.record_progress(bytes);
    }

    fn record_write(&self, written: &Poll<Result<usize>>) {
        self.change(|activity| activity.record_write(written.is_pending(), util::now()));
        if let Poll::Ready(Ok(bytes)) = written {
            self.holder.record_progress(*bytes);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Activity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts the body of a request as not arrived until it is ended.
#[derive(Clone)]
pub struct BodyGuard {
    connection: Arc<Connection>,
    is_receiving: Arc<AtomicBool>,
}

impl BodyGuard {
    /// Records that the body has arrived, or that it is not waited for any longer.
    pub fn end(&self) {
        if self.is_receiving.swap(false, Ordering::Relaxed) {
            self.connection.change(Activity::end_body);
        }
    }
}

/// Counts a request as active until it is dropped.
pub struct RequestGuard {
    body: BodyGuard,
}

impl RequestGuard {
    /// Returns the guard of the request's body.
    pub fn body(&self) -> &BodyGuard {
        &self.body
    }

    /// Returns the connection of the request.
    pub fn connection(&self) -> &Arc<Connection> {
        &self.body.connection
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.body.end();
        self.body.connection.change(|activity| activity.end_request(util::now()));
    }
}

/// Stream of a connection that records what its caller sends and reads.
pub struct MeteredStream<S> {
    inner: S,
    connection: Arc<Connection>,
}

impl<S> MeteredStream<S> {
    /// Wraps the stream of a connection.
    pub fn new(inner: S, connection: Arc<Connection>) -> Self {
        Self { inner, connection }
    }

    /// Returns the flag that the last response left a part of its request unread.
    pub fn unread_body(&self) -> Arc<AtomicBool> {
        self.connection.has_unread_body.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let filled = buffer.filled().len();
        let outcome = Pin::new(&mut self.inner).poll_read(cx, buffer);
        let bytes = buffer.filled().len() - filled;
        if bytes > 0 {
            self.connection.record_read(bytes);
        }
        outcome
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.connection.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bytes);
        self.connection.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
