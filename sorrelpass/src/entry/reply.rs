//! Answers to callers: in the OpenAI format, streamed or complete, and answers of plain services.

use axum::body::Body;
use axum::http::{HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use coord::name::{ExecutionStatus, Name};
use futures_util::stream;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::prompt::{ApiFormat, Prompt};
use super::upstream::AnswerPart;
use crate::failure::Failure;
use crate::util;
use crate::wire::Usage;

/// Header that carries the request id.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Stream of the parts of an answer.
pub type AnswerParts = mpsc::Receiver<Result<AnswerPart, Failure>>;

/// Adds the request id to a response.
pub fn with_request_id(id: &Name, answer: impl IntoResponse) -> Response {
    let mut response = answer.into_response();
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

fn entry_stopped() -> Failure {
    Failure::new(StatusCode::BAD_GATEWAY, "stopping", "the entry stopped").with_ran(ExecutionStatus::Unknown)
}

/// Encodes the chunks of one answer; `prefix` precedes the choices of each chunk.
struct ChunkEncoder {
    prefix: String,
    id: String,
    format: ApiFormat,
    model: Name,
    created: u64,
    include_usage: bool,
}

impl ChunkEncoder {
    fn new(id: &Name, prompt: &Prompt) -> Self {
        let object = if prompt.format == ApiFormat::Chat { "chat.completion.chunk" } else { "text_completion" };
        let id = completion_id(id, prompt.format);
        let created = util::wall_clock().as_micros() / 1_000_000;
        let model = Value::from(&*prompt.model);
        let prefix = format!(
            "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":{created},\"model\":{model},\"choices\":"
        );
        Self {
            prefix,
            id,
            format: prompt.format,
            model: prompt.model.clone(),
            created,
            include_usage: prompt.include_usage,
        }
    }

    fn encode_choices(&self, raw: &[u8]) -> Bytes {
        Bytes::from([self.prefix.as_bytes(), raw, b"}\n\n"].concat())
    }

    fn encode_end(&self, usage: Usage) -> Bytes {
        let mut out = Vec::new();
        if self.include_usage {
            let usage = usage_json(usage);
            out.extend_from_slice(format!("{}[],\"usage\":{usage}}}\n\n", self.prefix).as_bytes());
        }
        out.extend_from_slice(b"data: [DONE]\n\n");
        Bytes::from(out)
    }
}

fn completion_id(id: &Name, format: ApiFormat) -> String {
    match format {
        ApiFormat::Chat => format!("chatcmpl-{id}"),
        ApiFormat::Text => format!("cmpl-{id}"),
    }
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.prompt_tokens + usage.output_tokens,
    })
}

/// Builds the response to a prompt, once the first part of the answer has arrived.
pub async fn prompt_response(id: &Name, prompt: &Prompt, mut parts: AnswerParts) -> Result<Response, Failure> {
    let first = parts.recv().await.unwrap_or_else(|| Err(entry_stopped()))?;
    let encoder = ChunkEncoder::new(id, prompt);
    if !prompt.stream {
        return collect_answer(&encoder, first, parts).await;
    }
    let events = stream::unfold(Some((encoder, Some(first), parts)), |state| async move {
        let (encoder, first, mut parts) = state?;
        let part = match first {
            Some(part) => Ok(part),
            None => parts.recv().await.unwrap_or_else(|| Err(entry_stopped())),
        };
        let (bytes, is_last) = encode_part(&encoder, part);
        let next_state = if is_last { None } else { Some((encoder, None, parts)) };
        Some((Ok::<Bytes, std::convert::Infallible>(bytes), next_state))
    });
    let headers = [(header::CONTENT_TYPE, "text/event-stream"), (header::CACHE_CONTROL, "no-cache")];
    Ok((headers, Body::from_stream(events)).into_response())
}

/// Encodes a part as server-sent events; the flag is true if it is the last part.
fn encode_part(encoder: &ChunkEncoder, part: Result<AnswerPart, Failure>) -> (Bytes, bool) {
    match part {
        Ok(AnswerPart::Chunk { bytes, .. }) => (encoder.encode_choices(&bytes), false),
        Ok(AnswerPart::End { usage, .. }) => (encoder.encode_end(usage), true),
        Ok(AnswerPart::Started | AnswerPart::Head { .. }) => (Bytes::new(), false),
        Err(failure) => (Bytes::from(format!("data: {}\n\n", failure.with_ran(ExecutionStatus::Partial).body())), true),
    }
}

/// Collects the complete answer into one JSON body.
async fn collect_answer(
    encoder: &ChunkEncoder,
    first: AnswerPart,
    mut parts: AnswerParts,
) -> Result<Response, Failure> {
    let mut message = AnswerMessage::default();
    let mut part = first;
    let usage = loop {
        match part {
            AnswerPart::Chunk { bytes, .. } => message.add_chunk(&bytes),
            AnswerPart::End { usage, .. } => break usage,
            AnswerPart::Started | AnswerPart::Head { .. } => {}
        }
        part = parts.recv().await.unwrap_or_else(|| Err(entry_stopped()))?;
    };
    let object = if encoder.format == ApiFormat::Chat { "chat.completion" } else { "text_completion" };
    let body = json!({
        "id": encoder.id,
        "object": object,
        "created": encoder.created,
        "model": &*encoder.model,
        "choices": [message.into_choice(encoder.format)],
        "usage": usage_json(usage),
    });
    Ok(axum::Json(body).into_response())
}

/// The message of a complete answer, merged from its chunks.
#[derive(Default)]
struct AnswerMessage {
    content: String,
    tool_calls: Vec<Value>,
    finish_reason: Value,
}

impl AnswerMessage {
    fn add_chunk(&mut self, choices: &[u8]) {
        let Ok(mut choices) = serde_json::from_slice::<Vec<Value>>(choices) else { return };
        let Some(choice) = choices.first_mut() else { return };
        for text in [&choice["delta"]["content"], &choice["text"]] {
            self.content.push_str(text.as_str().unwrap_or_default());
        }
        if let Some(calls) = choice["delta"]["tool_calls"].as_array() {
            calls.iter().for_each(|call| self.add_tool_call(call));
        }
        if choice["finish_reason"].is_string() {
            self.finish_reason = choice["finish_reason"].take();
        }
    }

    fn add_tool_call(&mut self, call: &Value) {
        let index = call["index"].as_u64().unwrap_or(0) as usize;
        // An index with a gap before it is an error of the engine and must not cause an allocation.
        if index > self.tool_calls.len() {
            return;
        }
        if index == self.tool_calls.len() {
            let mut new_call = call.clone();
            if let Some(fields) = new_call.as_object_mut() {
                fields.remove("index");
            }
            self.tool_calls.push(new_call);
            return;
        }
        let added_arguments = call["function"]["arguments"].as_str().unwrap_or_default();
        let arguments = &mut self.tool_calls[index]["function"]["arguments"];
        let joined = format!("{}{added_arguments}", arguments.as_str().unwrap_or_default());
        *arguments = Value::from(joined);
    }

    fn into_choice(self, format: ApiFormat) -> Value {
        if format == ApiFormat::Text {
            return json!({ "index": 0, "text": self.content, "logprobs": null, "finish_reason": self.finish_reason });
        }
        let mut message = json!({ "role": "assistant", "content": self.content });
        if !self.tool_calls.is_empty() {
            message["tool_calls"] = Value::from(self.tool_calls);
        }
        json!({ "index": 0, "message": message, "logprobs": null, "finish_reason": self.finish_reason })
    }
}

/// Error that ends a response body which cannot be completed, so that the connection closes and the caller
/// notices.
#[derive(Debug)]
struct BodyAborted(Failure);

impl std::fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0.message)
    }
}

impl std::error::Error for BodyAborted {}

/// Builds the response to a call to a plain service.
pub async fn service_response(mut parts: AnswerParts) -> Result<Response, Failure> {
    let (status, headers) = loop {
        match parts.recv().await.unwrap_or_else(|| Err(entry_stopped()))? {
            AnswerPart::Head { status, headers } => break (status, headers),
            AnswerPart::Started => {}
            AnswerPart::Chunk { .. } | AnswerPart::End { .. } => return Err(entry_stopped()),
        }
    };
    let body = stream::unfold(Some(parts), |state| async move {
        let mut parts = state?;
        match parts.recv().await.unwrap_or_else(|| Err(entry_stopped())) {
            Ok(AnswerPart::Chunk { bytes, .. }) => Some((Ok(bytes), Some(parts))),
            Ok(AnswerPart::End { .. }) => None,
            Ok(AnswerPart::Started | AnswerPart::Head { .. }) => Some((Ok(Bytes::new()), Some(parts))),
            Err(failure) => Some((Err(BodyAborted(failure)), None)),
        }
    });
    let mut response = Response::new(Body::from_stream(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            response.headers_mut().append(name, value);
        }
    }
    Ok(response)
}
