//! The wire between entries and sidecars: postcard frames over HTTP/2.
//!
//! A call to `/work` carries one length-delimited [`Open`] and then the caller's
//! body as it came. The answer is a run of length-delimited [`Frame`]s.

use bytes::{Bytes, BytesMut};
use coord::claim::Key;
use coord::name::{Attempt, Incarnation, Name, Ran};
use coord::prefix::Chain;
use coord::scheduler::{Quote, Refusal, Voided};
use eyre::{Result, WrapErr, eyre};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Path for asking a quote.
pub const QUOTE: &str = "/quote";
/// Path for handing over work.
pub const WORK: &str = "/work";
/// Path for voiding an attempt.
pub const VOID: &str = "/void";
/// Path for asking what the endpoint holds.
pub const HOLDS: &str = "/holds";
/// Path for holding a span's memory, or renewing its lease.
pub const SPAN_HOLD: &str = "/span/hold";
/// Path for prefilling a span.
pub const SPAN_FILL: &str = "/span/fill";
/// Path for freeing a span.
pub const SPAN_FREE: &str = "/span/free";
/// Largest frame, in bytes.
const MAX_FRAME: usize = 16 * 1_024 * 1_024;

/// What is asked for, as far as a scheduler needs it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ask {
    /// The workspace.
    pub workspace: Name,
    /// Its weight in fair sharing.
    pub weight: f64,
    /// Prompt tokens, estimated from the text's length; 0 for a plain call.
    pub prompt_tokens: u64,
    /// Most output tokens; 0 for a plain call.
    pub output_tokens: u64,
    /// The intent's priority.
    pub priority: u8,
    /// Time left for the whole answer, in microseconds.
    pub left_micros: u64,
    /// Bytes of text per token.
    pub bytes_per_token: f64,
    /// The prompt's prefix chain.
    pub chain: Chain,
}

/// The answer to an [`Ask`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Quoted {
    /// The sidecar's incarnation.
    pub incarnation: Incarnation,
    /// Whether it refuses new work.
    pub leaving: bool,
    /// What it expects.
    pub quote: Quote,
}

/// Work handed to a sidecar, before the body.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Open {
    /// This try.
    pub attempt: Attempt,
    /// The caller's request, for the time line.
    pub request: Name,
    /// The entry that asks.
    pub entry: Name,
    /// If set, only this incarnation may accept.
    pub incarnation: Option<Incarnation>,
    /// Set for a call that may run once under this key.
    pub once: Option<Key>,
    /// What it needs.
    pub ask: Ask,
    /// What to call on the endpoint.
    pub call: Call,
}

/// A call to an endpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// Output tokens that the caller already has, when a stream goes on here.
    pub resume_after: u64,
    /// Whether this is a prompt to an engine, as opposed to a plain call.
    pub prompt: bool,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens, as the engine counted them.
    pub prompt_tokens: u64,
    /// Output tokens of this attempt.
    pub output_tokens: u64,
}

/// A frame of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The endpoint was given the call.
    Started,
    /// A plain service's status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers to pass on.
        headers: Vec<(String, String)>,
    },
    /// A piece of the answer.
    Piece {
        /// The attempt it belongs to.
        attempt: Attempt,
        /// Its number within the attempt, from zero.
        number: u64,
        /// Output tokens in it.
        tokens: u32,
        /// Text or body bytes.
        bytes: Bytes,
    },
    /// The whole answer was sent.
    End {
        /// The attempt.
        attempt: Attempt,
        /// Number of pieces.
        count: u64,
        /// Digest over the pieces.
        digest: u64,
        /// Token counts.
        usage: Usage,
        /// Why the engine stopped: `stop` or `length`.
        finish: String,
    },
    /// Not accepted; it did not run and will not.
    Refused {
        /// Why.
        reason: Refused,
        /// When to come back, in microseconds.
        retry_after_micros: u64,
    },
    /// Given up after it was accepted.
    Failed {
        /// Whether it ran.
        ran: Ran,
        /// The step at which it failed.
        step: String,
        /// What happened.
        message: String,
        /// HTTP status of an endpoint that refused the call itself.
        status: Option<u16>,
    },
}

impl Frame {
    /// The frame as an answer to `attempt`, which asks for what another attempt ran.
    pub fn told_to(self, attempt: Attempt) -> Self {
        match self {
            Frame::Piece { number, tokens, bytes, .. } => Frame::Piece { attempt, number, tokens, bytes },
            Frame::End { count, digest, usage, finish, .. } => Frame::End { attempt, count, digest, usage, finish },
            frame => frame,
        }
    }
}

/// Why a sidecar refused work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refused {
    /// By its scheduler.
    Scheduler(Refusal),
    /// The work is bound to another incarnation.
    OtherIncarnation,
    /// Its time ran out while it waited.
    Expired,
}

/// A request to void an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Void {
    /// The attempt.
    pub attempt: Attempt,
    /// Its key, if it may run once: another attempt may hold it.
    pub once: Option<Key>,
}

/// The answer to a [`Void`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct VoidAnswer {
    /// The sidecar's incarnation: one that started after the attempt was sent proves nothing.
    pub incarnation: Incarnation,
    /// What became of it.
    pub voided: Voided,
}

/// Asks for a span's memory, or renews its lease.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Hold {
    /// The span.
    pub span: Attempt,
    /// Its KV memory, in tokens.
    pub tokens: u64,
    /// How long the lease lasts from now, in microseconds.
    pub lease_micros: u64,
    /// Whether it is held already: then it is renewed or lost, never taken anew.
    pub renew: bool,
}

/// The answer to a [`Hold`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Held {
    /// The memory is held.
    Yes,
    /// Ask again after so many microseconds.
    Wait(u64),
    /// Not here.
    No,
}

/// Asks for a held span to be prefilled; the span's text follows.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Fill {
    /// The span.
    pub span: Attempt,
    /// Digest of the spans before it.
    pub digest: u64,
}

/// The answer to a [`Fill`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Filled {
    /// Tokens in the span, as the engine counted them.
    pub tokens: u64,
    /// Digest of all spans up to this one.
    pub digest: u64,
}

/// Encodes a message without a length.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    match postcard::to_stdvec(message) {
        Ok(bytes) => Bytes::from(bytes),
        // Only a type that cannot be serialised at all fails, and no such type is sent.
        Err(error) => unreachable!("postcard: {error}"),
    }
}

/// Decodes a message without a length.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).wrap_err("step=decode")
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec()
}

/// Encodes a message with its length before it.
pub fn encode_delimited<T: Serialize>(message: &T) -> Bytes {
    let mut out = BytesMut::new();
    match codec().encode(encode(message), &mut out) {
        Ok(()) => out.freeze(),
        Err(error) => unreachable!("frame over {MAX_FRAME} bytes: {error}"),
    }
}

/// Takes length-delimited messages out of a byte stream.
pub struct Splitter {
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl Splitter {
    /// An empty splitter.
    pub fn new() -> Self {
        Self { codec: codec(), buffer: BytesMut::new() }
    }

    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message, if it is there.
    pub fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let frame = self.codec.decode(&mut self.buffer).map_err(|error| eyre!("step=decode: {error}"))?;
        frame.map(|bytes| decode(&bytes)).transpose()
    }

    /// What is left after the messages taken.
    pub fn rest(self) -> Bytes {
        self.buffer.freeze()
    }
}
