//! The task of one accepted job: waits for its start, calls the endpoint and forwards frames.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use coord::answer::FrameDigest;
use coord::name::{Attempt, ExecutionStatus};
use coord::scheduler::{PrefillPriority, RefusalReason};
use tokio::sync::mpsc;

use super::event_loop::{Command, Signal};
use super::transcript::Transcript;
use super::{Shared, engine, plain};
use crate::event;
use crate::holder::Holder;
use crate::wire::{self, Frame, Usage, WorkRequest};

/// A request body: the bytes that have been read, and the stream of the rest.
pub struct RequestBody {
    read: Bytes,
    rest: Body,
    /// Memory of the body, released together with it.
    memory: Vec<Holder>,
}

impl RequestBody {
    /// Creates a body from the bytes that have been read, the rest, and the memory that both take.
    pub fn new(read: Bytes, rest: Body, memory: Vec<Holder>) -> Self {
        Self { read, rest, memory }
    }

    /// Converts it to a stream; the rest is read as the stream is polled.
    pub fn into_body(self) -> Body {
        use futures_util::StreamExt;
        let read = futures_util::stream::iter([Ok::<Bytes, axum::Error>(self.read)]);
        let memory = self.memory;
        Body::from_stream(read.chain(self.rest.into_data_stream()).inspect(move |_| {
            let _held = &memory;
        }))
    }
}

/// Destination of a job's frames.
pub enum Output {
    /// An entry, through a bounded channel.
    Channel {
        /// Sender of the encoded frames.
        sender: mpsc::Sender<Bytes>,
        /// Maximum wait for space in a full channel.
        full_timeout: Duration,
    },
    /// A transcript that any attempt under the same key may read.
    Transcript(Transcript),
}

/// Error: the destination accepts no more frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutputClosed;

impl Output {
    /// Sends a frame. Fails if the entry has disconnected or does not read in time.
    pub async fn send(&self, frame: &Frame) -> Result<(), OutputClosed> {
        match self {
            Output::Channel { sender, full_timeout } => match sender.try_send(wire::encode_delimited(frame)) {
                Ok(()) => Ok(()),
                Err(mpsc::error::TrySendError::Closed(_)) => Err(OutputClosed),
                Err(mpsc::error::TrySendError::Full(bytes)) => {
                    let sent = tokio::time::timeout(*full_timeout, sender.send(bytes)).await;
                    sent.map_err(|_| OutputClosed)?.map_err(|_| OutputClosed)
                }
            },
            Output::Transcript(transcript) => {
                transcript.push(frame.clone());
                Ok(())
            }
        }
    }

    /// Resolves when the destination accepts no more frames; never for a transcript.
    async fn closed(&self) {
        match self {
            Output::Channel { sender, .. } => sender.closed().await,
            Output::Transcript(_) => std::future::pending().await,
        }
    }

    /// Marks the end of the frames.
    pub fn close(self) {
        if let Output::Transcript(transcript) = self {
            transcript.close();
        }
    }
}

/// Numbers the chunks of an answer and sends them.
pub struct AnswerWriter<'a> {
    /// Destination of the frames.
    pub output: &'a Output,
    attempt: Attempt,
    frame_digest: FrameDigest,
    /// Number of output tokens sent.
    pub tokens: u64,
    /// Whether any chunk was sent.
    pub has_chunks: bool,
}

impl AnswerWriter<'_> {
    /// Sends a chunk of the answer.
    pub async fn send_chunk(&mut self, bytes: Bytes, tokens: u32) -> Result<(), OutputClosed> {
        let number = self.frame_digest.push(&bytes);
        self.tokens += u64::from(tokens);
        self.has_chunks = true;
        self.output.send(&Frame::Chunk { attempt: self.attempt, number, tokens, bytes }).await
    }

    /// Sends the end of a complete answer, with the chunk count and digest.
    pub async fn send_end(&mut self, usage: Usage, finish_reason: String) -> Result<(), OutputClosed> {
        let seal = self.frame_digest.seal();
        let end = Frame::End { attempt: self.attempt, count: seal.count, digest: seal.digest, usage, finish_reason };
        self.output.send(&end).await
    }
}

/// Reason why a call to an endpoint gave no complete answer.
#[derive(Clone, Debug)]
pub struct CallError {
    /// Whether the call ran.
    pub ran: ExecutionStatus,
    /// Step that failed.
    pub step: &'static str,
    /// Description of the error.
    pub message: String,
    /// HTTP status with which the endpoint refused the call.
    pub status: Option<u16>,
}

impl CallError {
    /// Creates an error of a call that may have run.
    pub fn outcome_unknown(step: &'static str, message: impl Into<String>) -> Self {
        Self { ran: ExecutionStatus::Unknown, step, message: message.into(), status: None }
    }
}

impl From<OutputClosed> for CallError {
    fn from(_: OutputClosed) -> Self {
        Self::outcome_unknown("pass-on", "nobody takes the answer any more")
    }
}

/// Runs a job that the event loop has accepted.
pub async fn run(
    shared: Arc<Shared>,
    work: WorkRequest,
    request_body: RequestBody,
    mut signals: mpsc::UnboundedReceiver<Signal>,
    output: Output,
) {
    let level = match wait_for_start(&shared, &work, &mut signals, &output).await {
        Some(level) => level,
        None => return output.close(),
    };
    event!("start-job", request = %work.request, attempt = %work.attempt, level = ?level);
    let _ = output.send(&Frame::Started).await;
    let mut writer = AnswerWriter {
        output: &output,
        attempt: work.attempt,
        frame_digest: FrameDigest::new(),
        tokens: 0,
        has_chunks: false,
    };
    let result = tokio::select! {
        result = call_endpoint(&shared, &work, request_body, level, &mut writer) => result,
        error = wait_for_cancel(&mut signals) => Err(error),
        () = output.closed() => Err(OutputClosed.into()),
    };
    let tokens = writer.tokens;
    let has_chunks = writer.has_chunks;
    match &result {
        Ok(()) => event!("end-job", request = %work.request, attempt = %work.attempt, tokens),
        Err(error) => {
            event!("fail-job", request = %work.request, attempt = %work.attempt, tokens, at = error.step,
                ran = error.ran.as_str(), reason = %error.message);
        }
    }
    let mut has_not_run = false;
    if let Err(error) = result {
        has_not_run = error.ran == ExecutionStatus::No && error.status.is_none();
        let ran = if has_chunks { ExecutionStatus::Partial } else { error.ran };
        let step = error.step.to_owned();
        let _ = output.send(&Frame::Failed { ran, step, message: error.message, status: error.status }).await;
    }
    output.close();
    shared.event_loop.send_detached(Command::Finish { attempt: work.attempt, output_tokens: tokens, has_not_run });
}

/// Waits for the event loop to start the job; `None` if it never starts.
async fn wait_for_start(
    shared: &Shared,
    work: &WorkRequest,
    signals: &mut mpsc::UnboundedReceiver<Signal>,
    output: &Output,
) -> Option<PrefillPriority> {
    let signal = tokio::select! {
        signal = signals.recv() => signal,
        () = output.closed() => {
            shared.event_loop.send_detached(Command::CancelAttempt { attempt: work.attempt, idempotency_key: None, reply: None });
            // The event loop may have started the job concurrently; the job then occupies a slot until it
            // is finished.
            if let Some(Signal::Start(_)) = signals.recv().await {
                let finish = Command::Finish { attempt: work.attempt, output_tokens: 0, has_not_run: true };
                shared.event_loop.send_detached(finish);
            }
            return None;
        }
    };
    match signal {
        Some(Signal::Start(level)) => Some(level),
        Some(Signal::Expired) => send_refusal(output, wire::WorkRefusal::Expired).await,
        Some(Signal::Evicted) => send_refusal(output, wire::WorkRefusal::Scheduler(RefusalReason::Evicted)).await,
        Some(Signal::CancelledBeforeStart | Signal::Cancel) | None => {
            send_refusal(output, wire::WorkRefusal::Scheduler(RefusalReason::Cancelled)).await
        }
    }
}

/// Notifies the entry that the job did not start and never will.
async fn send_refusal(output: &Output, reason: wire::WorkRefusal) -> Option<PrefillPriority> {
    let _ = output.send(&Frame::Refused { reason, retry_after_micros: 0 }).await;
    None
}

async fn wait_for_cancel(signals: &mut mpsc::UnboundedReceiver<Signal>) -> CallError {
    loop {
        match signals.recv().await {
            Some(Signal::Cancel) => {
                return CallError::outcome_unknown("cancel", "stopped: its time ran out or its endpoint is dead");
            }
            Some(_) => {}
            None => std::future::pending().await,
        }
    }
}

async fn call_endpoint(
    shared: &Shared,
    work: &WorkRequest,
    request_body: RequestBody,
    level: PrefillPriority,
    writer: &mut AnswerWriter<'_>,
) -> Result<(), CallError> {
    if work.call.prompt {
        engine::run_prompt(shared, work, request_body, level, writer).await
    } else {
        plain::call_service(shared, work, request_body, writer).await
    }
}
