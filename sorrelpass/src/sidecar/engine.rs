//! Calls to a model engine: streams the prompt to it and reads the tokens as server-sent events.

use std::cell::RefCell;

use bytes::{Bytes, BytesMut};
use coord::name::ExecutionStatus;
use coord::scheduler::PrefillPriority;
use http_body_util::BodyExt;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::Shared;
use super::event_loop::Command;
use super::job::{AnswerWriter, CallError, RequestBody};
use crate::http::is_final;
use crate::wire::{Usage, WorkRequest};

/// Returns the value of the engine's priority header; requests with a higher value run first.
const fn priority_value(level: PrefillPriority) -> u16 {
    match level {
        PrefillPriority::Huge => 0,
        PrefillPriority::Long => 3,
        PrefillPriority::Middle => 6,
        PrefillPriority::Short => 9,
    }
}

type EngineClient = Client<HttpConnector, axum::body::Body>;

thread_local! {
    static CLIENT: RefCell<Option<EngineClient>> = const { RefCell::new(None) };
}

/// Returns this thread's HTTP client. Its automatic retries are disabled, since a request may run only
/// once.
pub fn thread_client() -> EngineClient {
    CLIENT.with_borrow_mut(|client| {
        client
            .get_or_insert_with(|| {
                let mut connector = HttpConnector::new();
                connector.set_nodelay(true);
                connector.set_connect_timeout(Some(std::time::Duration::from_millis(500)));
                Client::builder(TokioExecutor::new())
                    .pool_timer(TokioTimer::new())
                    .retry_canceled_requests(false)
                    .build(connector)
            })
            .clone()
    })
}

/// Sends a request to the endpoint. A failure to connect proves that the request did not run.
pub async fn send(
    request: http::request::Builder,
    request_body: RequestBody,
) -> Result<hyper::Response<hyper::body::Incoming>, CallError> {
    let request = request
        .body(request_body.into_body())
        .map_err(|error| CallError::outcome_unknown("build-request", error.to_string()))?;
    let response = thread_client().request(request).await.map_err(|error| {
        let call_error = CallError::outcome_unknown("call", error.to_string());
        if error.is_connect() {
            CallError { ran: ExecutionStatus::No, step: "connect", ..call_error }
        } else {
            call_error
        }
    })?;
    if !is_final(response.status()) {
        return Err(CallError::outcome_unknown("call", format!("no answer has the status {}", response.status())));
    }
    Ok(response)
}

/// Data of one server-sent event of an engine.
#[derive(Deserialize)]
struct StreamEvent<'a> {
    #[serde(borrow, default)]
    choices: Option<&'a RawValue>,
    #[serde(default)]
    usage: Option<EngineUsage>,
}

#[derive(Deserialize)]
struct EngineUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// The fields of a choice that the sidecar reads; the choice is forwarded unchanged.
#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(default, borrow)]
    delta: Option<&'a RawValue>,
    #[serde(default, borrow)]
    text: Option<&'a RawValue>,
    #[serde(default)]
    finish_reason: Option<String>,
}

impl Choice<'_> {
    fn has_token(&self) -> bool {
        let is_nonempty = |raw: &RawValue| !matches!(raw.get(), "{}" | "\"\"" | "null");
        self.delta.is_some_and(is_nonempty) || self.text.is_some_and(is_nonempty)
    }
}

/// Sends a prompt to the engine and forwards its tokens.
pub async fn run_prompt(
    shared: &Shared,
    work: &WorkRequest,
    request_body: RequestBody,
    level: PrefillPriority,
    writer: &mut AnswerWriter<'_>,
) -> Result<(), CallError> {
    let mut request = Request::builder()
        .method(work.call.method.as_str())
        .uri(format!("http://{}{}", shared.settings.endpoint_address, work.call.path))
        .header("x-request-id", work.attempt.to_string())
        .header("x-priority", priority_value(level))
        .header("x-resume-after", work.call.resume_after);
    for (name, value) in &work.call.headers {
        request = request.header(name, value);
    }
    let response = send(request, request_body).await?;
    let status = response.status();
    let mut body = response.into_body();
    if !status.is_success() {
        let text = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let message = String::from_utf8_lossy(&text).into_owned();
        return Err(CallError { ran: ExecutionStatus::No, step: "engine", message, status: Some(status.as_u16()) });
    }
    let mut decoder = SseDecoder::default();
    let mut answer = AnswerState::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CallError::outcome_unknown("read", error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        decoder.push(&data);
        while let Some(event) = decoder.next() {
            if !answer.handle_event(shared, work, &event, writer).await? {
                return answer.finish(writer).await;
            }
        }
    }
    Err(CallError::outcome_unknown("read", "the engine's stream broke off"))
}

#[derive(Default)]
struct AnswerState {
    usage: Usage,
    finish_reason: String,
}

impl AnswerState {
    /// Handles the data of one event; returns `false` for the end of the stream.
    async fn handle_event(
        &mut self,
        shared: &Shared,
        work: &WorkRequest,
        data: &[u8],
        writer: &mut AnswerWriter<'_>,
    ) -> Result<bool, CallError> {
        if data == b"[DONE]" {
            return Ok(false);
        }
        let event: StreamEvent =
            serde_json::from_slice(data).map_err(|error| CallError::outcome_unknown("decode", error.to_string()))?;
        if let Some(usage) = event.usage {
            self.usage = Usage { prompt_tokens: usage.prompt_tokens, output_tokens: usage.completion_tokens };
        }
        let Some(raw) = event.choices else { return Ok(true) };
        let choices: Vec<Choice> =
            serde_json::from_str(raw.get()).map_err(|error| CallError::outcome_unknown("decode", error.to_string()))?;
        let Some(choice) = choices.first() else { return Ok(true) };
        if let Some(reason) = &choice.finish_reason {
            self.finish_reason.clone_from(reason);
        }
        let tokens = u32::from(choice.has_token());
        if tokens > 0 && writer.tokens == 0 {
            shared.event_loop.send_detached(Command::FirstToken(work.attempt));
        }
        writer.send_chunk(Bytes::copy_from_slice(raw.get().as_bytes()), tokens).await?;
        Ok(true)
    }

    async fn finish(mut self, writer: &mut AnswerWriter<'_>) -> Result<(), CallError> {
        if self.finish_reason.is_empty() {
            return Err(CallError::outcome_unknown("read", "the engine closed its stream without a finish"));
        }
        if self.usage.output_tokens == 0 {
            self.usage.output_tokens = writer.tokens;
        }
        Ok(writer.send_end(self.usage, self.finish_reason).await?)
    }
}

/// Decoder for the data of server-sent events.
#[derive(Default)]
struct SseDecoder {
    buffer: BytesMut,
    searched_bytes: usize,
}

impl SseDecoder {
    fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the data of the next event that has any; `None` if more bytes are needed.
    fn next(&mut self) -> Option<Bytes> {
        while let Some(end) = self.find_line_end() {
            let line = self.buffer.split_to(end + 1).freeze();
            self.searched_bytes = 0;
            let text = line.trim_ascii_end();
            if let Some(data) = text.strip_prefix(b"data:") {
                return Some(line.slice_ref(data.trim_ascii_start()));
            }
        }
        None
    }

    fn find_line_end(&mut self) -> Option<usize> {
        let found = self.buffer[self.searched_bytes..].iter().position(|byte| *byte == b'\n');
        let end = found.map(|at| self.searched_bytes + at);
        if end.is_none() {
            self.searched_bytes = self.buffer.len();
        }
        end
    }
}
