//! Protocol between entries: the messages between a leader and its followers, and the connection that carries them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coord::delta::Delta;
use coord::evacuation;
use coord::limit;
use coord::name::Name;
use coord::planner::{self, PromiseId, Rejection, Team};
use coord::quarantine::Fingerprint;
use coord::roster::{self, DrainingRun};
use coord::time::Moment;
use eyre::{Result, WrapErr, eyre};
use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::membership::Announcement;
use super::packed::PackedTransfer;
use super::peers::Peer;
use super::quarantine;
use crate::metric;

/// Bounds the size of a message, in bytes: an update about 24,000 replicas takes some 30 bytes for each.
const MAX_MESSAGE_BYTES: usize = 1_024 * 1_024;
/// Bounds the number of messages that wait to be sent to a peer. The connection to a peer that falls further behind is
/// closed.
pub const SEND_CHANNEL_CAPACITY: usize = 1_024;

/// Interval between the heartbeats that a leader sends to its followers.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Number of heartbeat intervals after which a peer that sends nothing, or does not read, counts as lost.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Time after which a peer that sends nothing, or does not read, counts as lost.
pub const PEER_TIMEOUT: Duration = HEARTBEAT_INTERVAL.saturating_mul(MAX_MISSED_HEARTBEATS);

/// Requirements of a prompt as they are sent to the leader. The message carries remaining times instead of points in
/// time, because the clocks of the entries differ.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PromptSpec {
    prompt_tokens: u64,
    output_tokens: u64,
    /// Time left until the first event should arrive.
    first_event_target_in: Duration,
    gap_ms: f64,
    deadline_in: Duration,
    priority: u32,
    work: Option<Fingerprint>,
    workspace: Option<planner::Workspace>,
}

impl PromptSpec {
    /// Converts `job` for a message that is sent at `now`.
    pub fn from_job(job: &planner::Job, now: Moment) -> Self {
        Self {
            prompt_tokens: job.prompt_tokens,
            output_tokens: job.max_output_tokens,
            first_event_target_in: job.first_event_target.since(now),
            gap_ms: job.gap_target_ms,
            deadline_in: job.deadline.since(now),
            priority: job.priority,
            work: job.fingerprint,
            workspace: job.workspace,
        }
    }

    /// Converts the message, received at `now`, back to a job.
    pub fn restore_job(&self, now: Moment) -> planner::Job {
        planner::Job {
            prompt_tokens: self.prompt_tokens,
            max_output_tokens: self.output_tokens,
            first_event_target: now + self.first_event_target_in,
            gap_target_ms: self.gap_ms,
            deadline: now + self.deadline_in,
            priority: self.priority,
            fingerprint: self.work,
            workspace: self.workspace,
        }
    }
}

/// Promise to a refused caller as it is sent to the leader, with remaining times like [`PromptSpec`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PromiseSpec {
    id: PromiseId,
    prompt: PromptSpec,
    first_event_within: Duration,
    due_in: Duration,
    expires_in: Duration,
}

impl PromiseSpec {
    /// Converts `promise` for a message that is sent at `now`.
    pub fn from_promise(promise: &planner::Promise, now: Moment) -> Self {
        Self {
            id: promise.id,
            prompt: PromptSpec::from_job(&promise.job, now),
            first_event_within: promise.first_event_within,
            due_in: promise.due.since(now),
            expires_in: promise.expires_at.since(now),
        }
    }

    /// Converts the message, received at `now`, back to a promise.
    pub fn restore(&self, now: Moment) -> planner::Promise {
        planner::Promise {
            id: self.id,
            job: self.prompt.restore_job(now),
            first_event_within: self.first_event_within,
            due: now + self.due_in,
            expires_at: now + self.expires_in,
        }
    }
}

/// Engines that are assigned to a prompt that may start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Engine that generates the answer, and the engines that help to prefill the prompt.
    pub team: Team,
    /// Time after which a first event that has not arrived probably never will, or `None` if that cannot be estimated.
    pub unresponsive_after: Option<Duration>,
}

/// State of an entry's copy of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyState {
    /// Offset after the newest record in the copy.
    pub next_offset: u64,
    /// Age of the read that showed the copy to be the newest state: from the sending of that read to the creation of
    /// this message.
    pub age: Duration,
}

/// Updates of the replicas' records from an entry's copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicasCopy {
    /// What the requester lacks, up to the end of the sender's copy.
    pub transfer: PackedTransfer,
    /// Age of the read that showed the sender's copy to be the newest state, as in [`CopyState::age`].
    pub age: Duration,
}

/// Request for changes in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Number of the request on its connection. The response to an earlier request is discarded as too old.
    pub number: u64,
    /// Offset up to which the requester has the configuration's topic, or `None` if it has no copy.
    pub configuration_offset: Option<u64>,
    /// Request for the replicas' records that the requester lacks.
    pub replicas: roster::Request,
    /// Revision of the list of successors that the requester has.
    pub successors_revision: u64,
}

/// Response to a request for changes in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncResponse {
    /// State of the sender's copy of the configuration, or `None` before its first verification, or if the requester
    /// is to ask again for the newest configuration.
    pub configuration: Option<CopyState>,
    /// Newest configuration, if the requester has an older one and the delta is small enough to be sent.
    pub delta: Option<Delta>,
    /// Whether there is a newer configuration that is too large to be sent, so that the requester must read it itself.
    pub is_too_large: bool,
    /// Failure domains that operators have evacuated.
    pub evacuations: evacuation::Snapshot,
    /// The replicas' records that the requester lacks, or `None` before the sender's first verification, or if they
    /// could not be compressed.
    pub replicas: Option<ReplicasCopy>,
    /// Remaining grace period after a recovery of the store, during which a missing record may be written again.
    pub grace_time_left: Duration,
    /// Largest number of entries that the sender has observed.
    pub entry_count: usize,
    /// Next entries in the succession order, if the requester has another list.
    pub successors: Option<Vec<Peer>>,
}

/// Message from a follower to its leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FollowerMessage {
    /// Submits a prompt that waits for engines.
    Submit {
        /// Number by which the follower identifies the prompt.
        number: u64,
        /// Service of the prompt.
        service: Name,
        /// Requirements of the prompt.
        spec: PromptSpec,
    },
    /// Reports a prompt that was granted its engines before this connection was established.
    Adopt {
        /// Number by which the follower identifies the prompt.
        number: u64,
        /// Service of the prompt.
        service: Name,
        /// Requirements of the prompt.
        spec: PromptSpec,
        /// Engines that are assigned to the prompt.
        team: Team,
        /// Whether the prompt is still in prefill: its first event has not arrived.
        is_prefilling: bool,
    },
    /// Reports a promise that a caller was given before this connection was established.
    Promise {
        /// Service of the refused prompt.
        service: Name,
        /// Promise to its caller.
        promise: PromiseSpec,
    },
    /// Reports the first event of a prompt: its prefill is complete.
    FirstEvent {
        /// Number by which the follower identifies the prompt.
        number: u64,
        /// Service of the prompt.
        service: Name,
    },
    /// Reports that the engines of a prompt sent no first event in time, so that the prompt is sent to others.
    Unresponsive {
        /// Number by which the follower identifies the prompt.
        number: u64,
        /// Service of the prompt.
        service: Name,
    },
    /// Reports that a prompt has ended or was withdrawn.
    End {
        /// Number by which the follower identifies the prompt.
        number: u64,
        /// Service of the prompt.
        service: Name,
    },
    /// Reports that an engine failed to answer a prompt.
    Failed {
        /// Service of the engine.
        service: Name,
        /// Engine that failed.
        engine: Name,
    },
    /// Requests the changes in the store from the leader.
    SyncRequest(SyncRequest),
    /// Answers [`LeaderMessage::SyncRequest`] of a leader that is cut off from the store.
    SyncResponse {
        /// Number of the request.
        number: u64,
        /// Changes in the store.
        response: SyncResponse,
    },
    /// Quarantine events: requests and prompt parts that are suspected or known to terminate replicas.
    Quarantine(quarantine::Message),
    /// Reports of the rate limits that replicas announced.
    Limits(Vec<limit::RelayedReport>),
    /// Requests a permit at one of several replicas, all of which announced rate limits.
    PermitRequest {
        /// Number by which the follower identifies the permit request.
        number: u64,
        /// Candidate replicas, the best first.
        replicas: Vec<Name>,
        /// Longest acceptable wait for the permit.
        max_wait: Duration,
    },
    /// Reports the result of a delegated read ([`LeaderMessage::DelegatedRead`]).
    DelegatedRead {
        /// Number of the delegated read.
        number: u64,
        /// Changes in the store.
        response: SyncResponse,
    },
    /// Asks the leader to announce the sender in the store.
    Announce(Announcement),
    /// Reports that the sender's process was suspended for this time: the events that it reports next may be that
    /// much older.
    Suspended(Duration),
    /// Runs of replicas that reported that they are draining.
    Draining(Vec<DrainingRun>),
    /// Reports that an engine refused a request of the sender and asked it to back off.
    EngineBackoff {
        /// Service of the engine.
        service: Name,
        /// Engine that asked for backoff.
        engine: Name,
        /// Remaining backoff time.
        backoff: Duration,
    },
    /// Tells the failure domain of the sender, before its prompts.
    Location(Name),
}

/// Message from a leader to a follower, or from an entry that redirects the other one to its leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaderMessage {
    /// Greets the entry that connected. This is the first message on a connection.
    Welcome {
        /// Incarnation of the sender's process.
        incarnation: String,
        /// Leader that the sender follows, to which the receiver must connect instead; `None` if the sender leads.
        leader: Option<SocketAddr>,
    },
    /// Grants a prompt its engines.
    Grant {
        /// Number by which the follower identifies the prompt.
        number: u64,
        /// Engines that are assigned to the prompt.
        placement: Placement,
    },
    /// Refuses a prompt that will not get engines soon enough to be useful to its caller.
    Refuse {
        /// Number by which the follower identifies the prompt.
        number: u64,
        /// What the caller is told.
        rejection: Rejection,
    },
    /// Answers [`FollowerMessage::SyncRequest`].
    SyncResponse {
        /// Number of the request.
        number: u64,
        /// Changes in the store.
        response: SyncResponse,
    },
    /// Requests the changes in the store from a follower, because the leader's own copy is too old.
    SyncRequest(SyncRequest),
    /// Delegates a read of the store, which does not answer the leader, to the receiver.
    DelegatedRead(SyncRequest),
    /// Confirms that the store has the receiver's announcement.
    Announced,
    /// Heartbeat of the leader.
    Heartbeat {
        /// Number of entries in the leader's group, including the leader.
        entry_count: usize,
    },
    /// Quarantine events: requests and prompt parts that are suspected or known to terminate replicas.
    Quarantine(quarantine::Message),
    /// Reports of the rate limits that replicas announced.
    Limits(Vec<limit::RelayedReport>),
    /// Answers [`FollowerMessage::PermitRequest`].
    Permit {
        /// Number of the permit request.
        number: u64,
        /// Permit, or the time after which one would be available.
        permit: Result<Permit, Duration>,
    },
    /// Runs of replicas that reported that they are draining.
    Draining(Vec<DrainingRun>),
}

/// Permit to send one request to a replica that announced a rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Replica to which the request is sent.
    pub replica: Name,
    /// Delay after which the request may be sent.
    pub after: Duration,
}

/// Connection to another entry that carries messages in both directions.
pub struct PeerConnection(Framed<TcpStream, LengthDelimitedCodec>);

impl PeerConnection {
    /// Wraps an established TCP connection.
    pub fn new(stream: TcpStream) -> Self {
        let codec =
            LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).length_field_length(4).new_codec();
        Self(Framed::new(stream, codec))
    }

    /// Receives the next message. Returns an error if the connection is closed or the message cannot be decoded.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T> {
        let frame = self.0.next().await.ok_or_else(|| eyre!("step=receive: connection closed by the peer"))?;
        let frame = frame.wrap_err("step=receive")?;
        postcard::from_bytes(&frame).wrap_err("step=decode-message")
    }

    /// Sends a message and those in the queue. Returns an error if the peer does not read within [`PEER_TIMEOUT`], so
    /// that a slow peer does not block the sender.
    pub async fn send<T: Serialize>(&mut self, first: T, queue: &mut mpsc::Receiver<T>) -> Result<()> {
        tokio::time::timeout(PEER_TIMEOUT, self.send_all(first, queue))
            .await
            .wrap_err("step=send: the peer did not read in time")?
    }

    /// Sends one message. Fails like [`PeerConnection::send`].
    pub async fn send_one<T: Serialize>(&mut self, message: T) -> Result<()> {
        let send = async {
            self.feed(message).await?;
            self.flush().await
        };
        tokio::time::timeout(PEER_TIMEOUT, send).await.wrap_err("step=send: the peer did not read in time")?
    }

    /// Sends a message and all messages in the queue with one flush.
    async fn send_all<T: Serialize>(&mut self, first: T, queue: &mut mpsc::Receiver<T>) -> Result<()> {
        let mut next = Some(first);
        while let Some(message) = next {
            self.feed(message).await?;
            next = queue.try_recv().ok();
        }
        self.flush().await
    }

    async fn feed<T: Serialize>(&mut self, message: T) -> Result<()> {
        let frame = postcard::to_stdvec(&message).wrap_err("step=encode-message")?;
        metric::record_peer_message(frame.len() as u64);
        self.0.feed(Bytes::from(frame)).await.wrap_err("step=send")
    }

    async fn flush(&mut self) -> Result<()> {
        SinkExt::<Bytes>::flush(&mut self.0).await.wrap_err("step=send")
    }
}
