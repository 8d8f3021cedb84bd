//! Stream of response data to one caller, between the task that reads the replica and the caller's connection.

use bytes::Bytes;
use coord::relay_buffer::Eviction;
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::response::{Body, BodyError};

/// Number of events that wait for a caller that reads slowly. A full channel stops reading from the replica.
const CHANNEL_CAPACITY: usize = 16;

/// Frame of the response body to the caller. An error closes the caller's connection.
pub type BodyFrame = Result<Frame<Bytes>, BodyError>;

/// Reason why a caller receives no more data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerLoss {
    /// The caller closed its connection.
    Gone,
    /// The caller did not read, and its buffered data was discarded.
    Evicted(Eviction),
}

/// Sending side of the stream to a caller.
pub trait CallerStream {
    /// Returns whether more data may be read from the replica.
    fn has_room(&self) -> bool;

    /// Waits until more data may be read from the replica.
    fn wait_for_room(&self) -> LocalBoxFuture<'_, ()>;

    /// Sends a frame. Waits while the caller reads slowly, if the stream has no buffer of its own.
    fn send(&self, frame: BodyFrame) -> LocalBoxFuture<'_, Result<(), CallerLoss>>;

    /// Waits until the caller is lost.
    fn wait_for_loss(&self) -> LocalBoxFuture<'_, CallerLoss>;

    /// Waits until the caller has read all buffered data.
    fn wait_until_read(&self) -> LocalBoxFuture<'_, Result<(), CallerLoss>>;
}

/// Opens a stream that holds a few events. Returns its two sides.
pub fn open_channel() -> (Box<dyn CallerStream>, Body) {
    let (sender, receiver) = mpsc::channel::<BodyFrame>(CHANNEL_CAPACITY);
    let frames = stream::unfold(receiver, |mut receiver| async { Some((receiver.recv().await?, receiver)) });
    (Box::new(ChannelStream(sender)), StreamBody::new(frames).boxed_unsync())
}

/// Stream that is bounded by its number of events.
struct ChannelStream(mpsc::Sender<BodyFrame>);

impl CallerStream for ChannelStream {
    fn has_room(&self) -> bool {
        true
    }

    fn wait_for_room(&self) -> LocalBoxFuture<'_, ()> {
        std::future::ready(()).boxed_local()
    }

    fn send(&self, frame: BodyFrame) -> LocalBoxFuture<'_, Result<(), CallerLoss>> {
        async move { self.0.send(frame).await.map_err(|_| CallerLoss::Gone) }.boxed_local()
    }

    fn wait_for_loss(&self) -> LocalBoxFuture<'_, CallerLoss> {
        self.0.closed().map(|()| CallerLoss::Gone).boxed_local()
    }

    fn wait_until_read(&self) -> LocalBoxFuture<'_, Result<(), CallerLoss>> {
        std::future::ready(Ok(())).boxed_local()
    }
}
