//! Protocol between entries and sidecars: postcard messages over HTTP/2.
//!
//! A request to `/work` carries one length-delimited [`WorkRequest`], followed by the unchanged body of the caller's
//! request. The response is a sequence of length-delimited [`Frame`]s.

use bytes::{Bytes, BytesMut};
use coord::claim::Key;
use coord::name::{Attempt, ExecutionStatus, Incarnation, Name};
use coord::prefix::Chain;
use coord::scheduler::{CancelOutcome, Quote, RefusalReason};
use eyre::{Result, WrapErr, eyre};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Path of requests for a quote.
pub const QUOTE: &str = "/quote";
/// Path of requests that hand a job to a sidecar.
pub const WORK: &str = "/work";
/// Path of requests that cancel an attempt.
pub const CANCEL: &str = "/void";
/// Path of requests for the list of an endpoint's reservations.
pub const RESERVATIONS: &str = "/holds";
/// Path of requests that reserve memory for a span or renew the span's lease.
pub const SPAN_HOLD: &str = "/span/hold";
/// Path of requests that prefill a span.
pub const SPAN_PREFILL: &str = "/span/fill";
/// Path of requests that release a span's memory.
pub const SPAN_FREE: &str = "/span/free";
/// Limit on the size of a length-delimited message.
const MAX_FRAME_BYTES: usize = 16 * 1_024 * 1_024;

/// Properties of a request on which the scheduler of a sidecar bases its quote.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuoteRequest {
    /// Workspace of the caller.
    pub workspace: Name,
    /// Weight of the workspace in fair sharing.
    pub weight: f64,
    /// Number of prompt tokens, estimated from the length of the text; 0 for a call to a plain service.
    pub prompt_tokens: u64,
    /// Limit on the number of output tokens; 0 for a call to a plain service.
    pub output_tokens: u64,
    /// Priority that the intent sets.
    pub priority: u8,
    /// Time left until the deadline of the complete answer, in microseconds.
    pub time_left_micros: u64,
    /// Average number of bytes of text per token.
    pub bytes_per_token: f64,
    /// Hash chain of the prompt's prefixes, for matching against the prefix cache.
    pub chain: Chain,
}

/// Response to a [`QuoteRequest`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct QuoteResponse {
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Whether the sidecar is draining and refuses new requests.
    pub is_draining: bool,
    /// Estimate that the scheduler makes for the request.
    pub quote: Quote,
}

/// Head of a request to `/work`, which precedes the body.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkRequest {
    /// Id of this attempt.
    pub attempt: Attempt,
    /// Id of the caller's request, for the event log.
    pub request: Name,
    /// Name of the entry that sends the request.
    pub entry: Name,
    /// The only incarnation of the sidecar that may accept the request; `None` admits any.
    pub incarnation: Option<Incarnation>,
    /// Idempotency key, under which the call runs at most once; `None` for a call without a key.
    pub idempotency_key: Option<Key>,
    /// Resource needs and deadline of the request.
    pub quote_request: QuoteRequest,
    /// HTTP call to the endpoint.
    pub call: Call,
}

/// HTTP call to an endpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call {
    /// Method of the HTTP request.
    pub method: String,
    /// Path and query of the HTTP request.
    pub path: String,
    /// Headers of the caller's request that the endpoint receives.
    pub headers: Vec<(String, String)>,
    /// Number of output tokens that the caller already has, if this attempt resumes a stream; else 0.
    pub resume_after: u64,
    /// Whether the call is a prompt for an engine rather than a call to a plain service.
    pub prompt: bool,
}

/// Token counts of a complete answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens, as counted by the engine.
    pub prompt_tokens: u64,
    /// Number of output tokens of this attempt.
    pub output_tokens: u64,
}

/// Message in the response to a request to `/work`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The request has left the queue, and the sidecar sends the call to the endpoint.
    Started,
    /// Status and headers of a plain service's response.
    Head {
        /// HTTP status code.
        status: u16,
        /// Headers of the response that the caller receives.
        headers: Vec<(String, String)>,
    },
    /// Chunk of the answer.
    Chunk {
        /// Attempt that produced the chunk.
        attempt: Attempt,
        /// Sequence number of the chunk within the attempt, from 0.
        number: u64,
        /// Number of output tokens in the chunk.
        tokens: u32,
        /// Text of a prompt's answer, or bytes of a plain service's body.
        bytes: Bytes,
    },
    /// End of a complete answer.
    End {
        /// Attempt that produced the answer.
        attempt: Attempt,
        /// Number of chunks.
        count: u64,
        /// Digest over the chunks.
        digest: u64,
        /// Token counts of the answer.
        usage: Usage,
        /// Reason why the engine stopped: `stop` or `length`.
        finish_reason: String,
    },
    /// Refusal: the request did not run and will not run.
    Refused {
        /// Reason for the refusal.
        reason: WorkRefusal,
        /// Time after which a retry makes sense, in microseconds.
        retry_after_micros: u64,
    },
    /// Failure after the request was accepted.
    Failed {
        /// Whether the request ran.
        ran: ExecutionStatus,
        /// Step that failed.
        step: String,
        /// Description of the failure.
        message: String,
        /// HTTP status code if the endpoint itself refused the call.
        status: Option<u16>,
    },
}

impl Frame {
    /// Returns the frame with its attempt replaced by `attempt`, for a repeated request that gets the answer of an
    /// earlier attempt.
    pub fn with_attempt(self, attempt: Attempt) -> Self {
        match self {
            Frame::Chunk { number, tokens, bytes, .. } => Frame::Chunk { attempt, number, tokens, bytes },
            Frame::End { count, digest, usage, finish_reason, .. } => {
                Frame::End { attempt, count, digest, usage, finish_reason }
            }
            frame => frame,
        }
    }
}

/// Reason why a sidecar refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkRefusal {
    /// The scheduler refused the request.
    Scheduler(RefusalReason),
    /// The request admits only another incarnation of the sidecar.
    OtherIncarnation,
    /// The deadline passed while the request waited in the queue.
    Expired,
}

/// Request to cancel an attempt. An attempt that has started is stopped, unless it has an idempotency key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Id of the attempt to cancel.
    pub attempt: Attempt,
    /// Idempotency key of the attempt, if it has one. Another attempt may hold the key.
    pub idempotency_key: Option<Key>,
}

/// Response to a [`CancelRequest`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CancelResponse {
    /// Incarnation of the sidecar. An incarnation that started after the attempt was sent does not know whether the
    /// attempt ran.
    pub incarnation: Incarnation,
    /// Whether the attempt had started before it was cancelled.
    pub outcome: CancelOutcome,
}

/// Request to reserve memory for a span, or to renew the span's lease.
///
/// A span is a part of a prompt that is too long for one engine; the spans of a prompt are on different engines.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct HoldRequest {
    /// Id of the span.
    pub span: Attempt,
    /// KV memory that the span needs, in tokens.
    pub tokens: u64,
    /// Duration of the lease from the receipt of the request, in microseconds.
    pub lease_micros: u64,
    /// Whether the lease exists and is to be renewed. If it has expired, the request is refused; no new memory is
    /// reserved.
    pub renew: bool,
}

/// Response to a [`HoldRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldResponse {
    /// The memory is reserved.
    Held,
    /// The memory is not available yet; the request may be repeated after this time, in microseconds.
    RetryAfter(u64),
    /// The sidecar cannot reserve the memory, or the lease to renew has expired.
    Refused,
}

/// Request to prefill a span whose memory is reserved. The text of the span follows as the rest of the body.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PrefillRequest {
    /// Id of the span.
    pub span: Attempt,
    /// Digest of the preceding spans of the prompt.
    pub digest: u64,
}

/// Response to a [`PrefillRequest`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PrefillResponse {
    /// Number of tokens in the span, as counted by the engine.
    pub tokens: u64,
    /// Digest of all spans of the prompt up to and including this one.
    pub digest: u64,
}

/// Encodes a message without a length prefix.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    match postcard::to_stdvec(message) {
        Ok(bytes) => Bytes::from(bytes),
        // Encoding fails only for types that postcard cannot serialise, and the protocol has no such type.
        Err(error) => unreachable!("message cannot be serialised with postcard: {error}"),
    }
}

/// Decodes a message without a length prefix.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).wrap_err("step=decode")
}

fn new_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Encodes a message with a length prefix.
pub fn encode_delimited<T: Serialize>(message: &T) -> Bytes {
    let mut output = BytesMut::new();
    match new_codec().encode(encode(message), &mut output) {
        Ok(()) => output.freeze(),
        Err(error) => unreachable!("message exceeds {MAX_FRAME_BYTES} bytes: {error}"),
    }
}

/// Decoder of length-delimited messages in a byte stream.
pub struct FrameDecoder {
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Creates a decoder with an empty buffer.
    pub fn new() -> Self {
        Self { codec: new_codec(), buffer: BytesMut::new() }
    }

    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and decodes the next message; returns `None` if the buffer does not hold a complete one.
    pub fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let frame = self.codec.decode(&mut self.buffer).map_err(|error| eyre!("step=decode: {error}"))?;
        frame.map(|bytes| decode(&bytes)).transpose()
    }

    /// Returns the bytes that were not decoded.
    pub fn into_remaining(self) -> Bytes {
        self.buffer.freeze()
    }
}
