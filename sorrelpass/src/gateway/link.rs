//! What entries say to each other about prompts: messages, and a connection that carries them.

use std::time::Duration;

use bytes::Bytes;
use coord::name::Name;
use coord::planner::{self, Team};
use coord::time::Moment;
use eyre::{Result, WrapErr, eyre};
use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest message, in bytes; a grant with all its helpers takes a few hundred.
const MOST_MESSAGE_BYTES: usize = 16 * 1_024;
/// Messages that may wait to be sent; a peer that is so far behind is given up.
pub const RING: usize = 1_024;

/// What a prompt asks for, with times left in place of moments: clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    prompt: u64,
    output: u64,
    aim_left: Duration,
    gap_ms: f64,
    left: Duration,
    priority: u32,
}

impl Ask {
    /// The form of `job` that is sent at `now`.
    pub fn of(job: &planner::Job, now: Moment) -> Self {
        Self {
            prompt: job.prompt,
            output: job.output,
            aim_left: job.aim.since(now),
            gap_ms: job.gap_ms,
            left: job.deadline.since(now),
            priority: job.priority,
        }
    }

    /// The job that was received at `now`.
    pub fn job(&self, now: Moment) -> planner::Job {
        planner::Job {
            prompt: self.prompt,
            output: self.output,
            aim: now + self.aim_left,
            gap_ms: self.gap_ms,
            deadline: now + self.left,
            priority: self.priority,
        }
    }
}

/// From an entry to the one that plans.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Report {
    /// A prompt wants engines.
    Submit {
        /// The entry's number for it.
        number: u64,
        /// Its service.
        service: Name,
        /// What it asks for.
        ask: Ask,
    },
    /// A prompt has engines already.
    Adopt {
        /// The entry's number for it.
        number: u64,
        /// Its service.
        service: Name,
        /// What it asks for.
        ask: Ask,
        /// Its engines.
        team: Team,
        /// Whether it is still being read.
        reading: bool,
    },
    /// A prompt is read.
    FirstEvent {
        /// The entry's number for it.
        number: u64,
        /// Its service.
        service: Name,
    },
    /// A prompt is over or withdrawn.
    End {
        /// The entry's number for it.
        number: u64,
        /// Its service.
        service: Name,
    },
    /// An engine failed a prompt.
    Failed {
        /// The service.
        service: Name,
        /// The engine.
        engine: Name,
    },
}

/// From the entry that plans to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// The first message: this entry plans.
    Welcome {
        /// The run of its process.
        incarnation: String,
    },
    /// A prompt may start.
    Grant {
        /// The entry's number for it.
        number: u64,
        /// Its engines.
        team: Team,
    },
    /// The planner is alive.
    Beat,
}

/// A connection that carries messages both ways.
pub struct Link(Framed<TcpStream, LengthDelimitedCodec>);

impl Link {
    /// A link over an open connection.
    pub fn new(stream: TcpStream) -> Self {
        let codec =
            LengthDelimitedCodec::builder().max_frame_length(MOST_MESSAGE_BYTES).length_field_length(2).new_codec();
        Self(Framed::new(stream, codec))
    }

    /// The next message; an error if the peer is gone.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T> {
        let frame = self.0.next().await.ok_or_else(|| eyre!("step=receive: closed by the peer"))?;
        let frame = frame.wrap_err("step=receive")?;
        postcard::from_bytes(&frame).wrap_err("step=decode-message")
    }

    /// Sends a message and all that wait behind it, in one write.
    pub async fn send_all<T: Serialize>(&mut self, first: T, waiting: &mut mpsc::Receiver<T>) -> Result<()> {
        let mut next = Some(first);
        while let Some(message) = next {
            let frame = postcard::to_stdvec(&message).wrap_err("step=encode-message")?;
            self.0.feed(Bytes::from(frame)).await.wrap_err("step=send")?;
            next = waiting.try_recv().ok();
        }
        SinkExt::<Bytes>::flush(&mut self.0).await.wrap_err("step=send")
    }
}
