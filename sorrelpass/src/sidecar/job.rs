//! The task of one accepted job: waits for its start, calls the endpoint and forwards frames.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use coord::answer::Tally;
use coord::name::{Attempt, Ran};
use coord::scheduler::{Level, Refusal};
use tokio::sync::mpsc;

use super::kernel::{Command, Signal};
use super::transcript::Transcript;
use super::{Shared, engine, plain};
use crate::event;
use crate::wire::{self, Frame, Open, Usage};

/// A request body: the bytes that have been read, and the stream of the rest.
pub struct Upload {
    start: Bytes,
    rest: Body,
}

impl Upload {
    /// Creates a body from the bytes that have been read and the rest.
    pub fn new(start: Bytes, rest: Body) -> Self {
        Self { start, rest }
    }

    /// Converts it to a stream; the rest is read as the stream is polled.
    pub fn into_body(self) -> Body {
        use futures_util::StreamExt;
        let start = futures_util::stream::iter([Ok::<Bytes, axum::Error>(self.start)]);
        Body::from_stream(start.chain(self.rest.into_data_stream()))
    }
}

/// Destination of a job's frames.
pub enum Output {
    /// An entry, through a bounded channel.
    Ring {
        /// Sender of the encoded frames.
        frames: mpsc::Sender<Bytes>,
        /// Longest wait for space in a full channel.
        patience: Duration,
    },
    /// A transcript that any attempt under the same key may read.
    Transcript(Transcript),
}

/// Error: the destination accepts no more frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

impl Output {
    /// Sends a frame. Fails if the entry has disconnected or does not read in time.
    pub async fn send(&self, frame: &Frame) -> Result<(), Gone> {
        match self {
            Output::Ring { frames, patience } => match frames.try_send(wire::encode_delimited(frame)) {
                Ok(()) => Ok(()),
                Err(mpsc::error::TrySendError::Closed(_)) => Err(Gone),
                Err(mpsc::error::TrySendError::Full(bytes)) => {
                    let sent = tokio::time::timeout(*patience, frames.send(bytes)).await;
                    sent.map_err(|_| Gone)?.map_err(|_| Gone)
                }
            },
            Output::Transcript(transcript) => {
                transcript.push(frame.clone());
                Ok(())
            }
        }
    }

    /// Resolves when the destination accepts no more frames; never for a transcript.
    async fn gone(&self) {
        match self {
            Output::Ring { frames, .. } => frames.closed().await,
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

/// Numbers the pieces of an answer and sends them.
pub struct Writer<'a> {
    /// Destination of the frames.
    pub output: &'a Output,
    attempt: Attempt,
    tally: Tally,
    /// Number of output tokens sent.
    pub tokens: u64,
    /// Whether any piece was sent.
    pub begun: bool,
}

impl Writer<'_> {
    /// Sends a piece of the answer.
    pub async fn piece(&mut self, bytes: Bytes, tokens: u32) -> Result<(), Gone> {
        let number = self.tally.add(&bytes);
        self.tokens += u64::from(tokens);
        self.begun = true;
        self.output.send(&Frame::Piece { attempt: self.attempt, number, tokens, bytes }).await
    }

    /// Sends the end of a complete answer, with the piece count and digest.
    pub async fn end(&mut self, usage: Usage, finish: String) -> Result<(), Gone> {
        let seal = self.tally.seal();
        let end = Frame::End { attempt: self.attempt, count: seal.count, digest: seal.digest, usage, finish };
        self.output.send(&end).await
    }
}

/// Reason why a call to an endpoint gave no complete answer.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Whether the call ran.
    pub ran: Ran,
    /// Step that failed.
    pub step: &'static str,
    /// Description of the error.
    pub message: String,
    /// HTTP status with which the endpoint refused the call.
    pub status: Option<u16>,
}

impl Failure {
    /// Creates an error of a call that may have run.
    pub fn unknown(step: &'static str, message: impl Into<String>) -> Self {
        Self { ran: Ran::Unknown, step, message: message.into(), status: None }
    }
}

impl From<Gone> for Failure {
    fn from(_: Gone) -> Self {
        Self::unknown("pass-on", "nobody takes the answer any more")
    }
}

/// Runs a job that the event loop has accepted.
pub async fn run(
    shared: Arc<Shared>,
    open: Open,
    upload: Upload,
    mut signals: mpsc::UnboundedReceiver<Signal>,
    output: Output,
) {
    let level = match wait(&shared, &open, &mut signals, &output).await {
        Some(level) => level,
        None => return output.close(),
    };
    event!("start-job", request = %open.request, attempt = %open.attempt, level = ?level);
    let _ = output.send(&Frame::Started).await;
    let mut writer = Writer { output: &output, attempt: open.attempt, tally: Tally::new(), tokens: 0, begun: false };
    let result = tokio::select! {
        result = call(&shared, &open, upload, level, &mut writer) => result,
        failure = cancelled(&mut signals) => Err(failure),
        () = output.gone() => Err(Gone.into()),
    };
    let tokens = writer.tokens;
    let begun = writer.begun;
    match &result {
        Ok(()) => event!("end-job", request = %open.request, attempt = %open.attempt, tokens),
        Err(failure) => {
            event!("fail-job", request = %open.request, attempt = %open.attempt, tokens, at = failure.step,
                ran = failure.ran.as_str(), reason = %failure.message);
        }
    }
    let mut not_run = false;
    if let Err(failure) = result {
        not_run = failure.ran == Ran::No && failure.status.is_none();
        let ran = if begun { Ran::Partial } else { failure.ran };
        let step = failure.step.to_owned();
        let _ = output.send(&Frame::Failed { ran, step, message: failure.message, status: failure.status }).await;
    }
    output.close();
    shared.kernel.send_detached(Command::Finish { attempt: open.attempt, output_tokens: tokens, not_run });
}

/// Waits for the event loop to start the job; `None` if it never starts.
async fn wait(
    shared: &Shared,
    open: &Open,
    signals: &mut mpsc::UnboundedReceiver<Signal>,
    output: &Output,
) -> Option<Level> {
    let signal = tokio::select! {
        signal = signals.recv() => signal,
        () = output.gone() => {
            shared.kernel.send_detached(Command::Void { attempt: open.attempt, once: None, reply: None });
            // The event loop may have started the job concurrently; the job then occupies a slot until it
            // is finished.
            if let Some(Signal::Start(_)) = signals.recv().await {
                let finish = Command::Finish { attempt: open.attempt, output_tokens: 0, not_run: true };
                shared.kernel.send_detached(finish);
            }
            return None;
        }
    };
    match signal {
        Some(Signal::Start(level)) => Some(level),
        Some(Signal::Expired) => refuse(output, wire::Refused::Expired).await,
        Some(Signal::Evicted) => refuse(output, wire::Refused::Scheduler(Refusal::Evicted)).await,
        Some(Signal::Voided | Signal::Cancel) | None => refuse(output, wire::Refused::Scheduler(Refusal::Voided)).await,
    }
}

/// Tells the entry that the job did not start and never will.
async fn refuse(output: &Output, reason: wire::Refused) -> Option<Level> {
    let _ = output.send(&Frame::Refused { reason, retry_after_micros: 0 }).await;
    None
}

async fn cancelled(signals: &mut mpsc::UnboundedReceiver<Signal>) -> Failure {
    loop {
        match signals.recv().await {
            Some(Signal::Cancel) => {
                return Failure::unknown("cancel", "stopped: its time ran out or its endpoint is dead");
            }
            Some(_) => {}
            None => std::future::pending().await,
        }
    }
}

async fn call(
    shared: &Shared,
    open: &Open,
    upload: Upload,
    level: Level,
    writer: &mut Writer<'_>,
) -> Result<(), Failure> {
    if open.call.prompt {
        engine::prompt(shared, open, upload, level, writer).await
    } else {
        plain::call(shared, open, upload, writer).await
    }
}
