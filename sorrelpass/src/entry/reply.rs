//! Answers to callers: in the OpenAI format, streamed or complete, and answers of plain services.

use axum::body::Body;
use axum::http::{HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use coord::name::{Name, Ran};
use futures_util::stream;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::prompt::{Form, Prompt};
use super::upstream::Part;
use crate::failure::Failure;
use crate::util;
use crate::wire::Usage;

/// Header that carries the request id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Stream of the parts of an answer.
pub type Parts = mpsc::Receiver<Result<Part, Failure>>;

/// Adds the request id to a response.
pub fn with_id(id: &Name, answer: impl IntoResponse) -> Response {
    let mut response = answer.into_response();
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

fn broken_off() -> Failure {
    Failure::new(StatusCode::BAD_GATEWAY, "stopping", "the entry stopped").ran(Ran::Unknown)
}

/// Encodes the chunks of one answer; `prefix` precedes the choices of each chunk.
struct Chunk {
    before: String,
    id: String,
    form: Form,
    model: Name,
    created: u64,
    include_usage: bool,
}

impl Chunk {
    fn new(id: &Name, prompt: &Prompt) -> Self {
        let object = if prompt.form == Form::Chat { "chat.completion.chunk" } else { "text_completion" };
        let id = answer_id(id, prompt.form);
        let created = util::wall().as_micros() / 1_000_000;
        let model = Value::from(&*prompt.model);
        let before = format!(
            "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":{created},\"model\":{model},\"choices\":"
        );
        Self {
            before,
            id,
            form: prompt.form,
            model: prompt.model.clone(),
            created,
            include_usage: prompt.include_usage,
        }
    }

    fn choices(&self, raw: &[u8]) -> Bytes {
        Bytes::from([self.before.as_bytes(), raw, b"}\n\n"].concat())
    }

    fn end(&self, usage: Usage) -> Bytes {
        let mut out = Vec::new();
        if self.include_usage {
            let usage = usage_json(usage);
            out.extend_from_slice(format!("{}[],\"usage\":{usage}}}\n\n", self.before).as_bytes());
        }
        out.extend_from_slice(b"data: [DONE]\n\n");
        Bytes::from(out)
    }
}

fn answer_id(id: &Name, form: Form) -> String {
    match form {
        Form::Chat => format!("chatcmpl-{id}"),
        Form::Text => format!("cmpl-{id}"),
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
pub async fn prompt(id: &Name, prompt: &Prompt, mut parts: Parts) -> Result<Response, Failure> {
    let first = parts.recv().await.unwrap_or_else(|| Err(broken_off()))?;
    let chunk = Chunk::new(id, prompt);
    if !prompt.stream {
        return whole(&chunk, first, parts).await;
    }
    let events = stream::unfold(Some((chunk, Some(first), parts)), |state| async move {
        let (chunk, first, mut parts) = state?;
        let part = match first {
            Some(part) => Ok(part),
            None => parts.recv().await.unwrap_or_else(|| Err(broken_off())),
        };
        let (bytes, last) = event(&chunk, part);
        let next = if last { None } else { Some((chunk, None, parts)) };
        Some((Ok::<Bytes, std::convert::Infallible>(bytes), next))
    });
    let headers = [(header::CONTENT_TYPE, "text/event-stream"), (header::CACHE_CONTROL, "no-cache")];
    Ok((headers, Body::from_stream(events)).into_response())
}

/// Encodes a part as server-sent events; the flag tells whether it is the last part.
fn event(chunk: &Chunk, part: Result<Part, Failure>) -> (Bytes, bool) {
    match part {
        Ok(Part::Piece { bytes, .. }) => (chunk.choices(&bytes), false),
        Ok(Part::End { usage, .. }) => (chunk.end(usage), true),
        Ok(Part::Started | Part::Head { .. }) => (Bytes::new(), false),
        Err(failure) => (Bytes::from(format!("data: {}\n\n", failure.ran(Ran::Partial).body())), true),
    }
}

/// Collects the complete answer into one JSON body.
async fn whole(chunk: &Chunk, first: Part, mut parts: Parts) -> Result<Response, Failure> {
    let mut message = Message::default();
    let mut part = first;
    let usage = loop {
        match part {
            Part::Piece { bytes, .. } => message.add(&bytes),
            Part::End { usage, .. } => break usage,
            Part::Started | Part::Head { .. } => {}
        }
        part = parts.recv().await.unwrap_or_else(|| Err(broken_off()))?;
    };
    let object = if chunk.form == Form::Chat { "chat.completion" } else { "text_completion" };
    let body = json!({
        "id": chunk.id,
        "object": object,
        "created": chunk.created,
        "model": &*chunk.model,
        "choices": [message.choice(chunk.form)],
        "usage": usage_json(usage),
    });
    Ok(axum::Json(body).into_response())
}

/// The message of a complete answer, merged from its pieces.
#[derive(Default)]
struct Message {
    content: String,
    tool_calls: Vec<Value>,
    finish: Value,
}

impl Message {
    fn add(&mut self, choices: &[u8]) {
        let Ok(mut choices) = serde_json::from_slice::<Vec<Value>>(choices) else { return };
        let Some(choice) = choices.first_mut() else { return };
        for text in [&choice["delta"]["content"], &choice["text"]] {
            self.content.push_str(text.as_str().unwrap_or_default());
        }
        if let Some(calls) = choice["delta"]["tool_calls"].as_array() {
            calls.iter().for_each(|call| self.add_call(call));
        }
        if choice["finish_reason"].is_string() {
            self.finish = choice["finish_reason"].take();
        }
    }

    fn add_call(&mut self, call: &Value) {
        let index = call["index"].as_u64().unwrap_or(0) as usize;
        // An index with a gap before it is an error of the engine and must not cause an allocation.
        if index > self.tool_calls.len() {
            return;
        }
        if index == self.tool_calls.len() {
            let mut fresh = call.clone();
            if let Some(fields) = fresh.as_object_mut() {
                fields.remove("index");
            }
            self.tool_calls.push(fresh);
            return;
        }
        let more = call["function"]["arguments"].as_str().unwrap_or_default();
        let arguments = &mut self.tool_calls[index]["function"]["arguments"];
        let joined = format!("{}{more}", arguments.as_str().unwrap_or_default());
        *arguments = Value::from(joined);
    }

    fn choice(self, form: Form) -> Value {
        if form == Form::Text {
            return json!({ "index": 0, "text": self.content, "logprobs": null, "finish_reason": self.finish });
        }
        let mut message = json!({ "role": "assistant", "content": self.content });
        if !self.tool_calls.is_empty() {
            message["tool_calls"] = Value::from(self.tool_calls);
        }
        json!({ "index": 0, "message": message, "logprobs": null, "finish_reason": self.finish })
    }
}

/// Error that ends a response body which cannot be completed, so that the connection closes and the caller
/// notices.
#[derive(Debug)]
struct BrokenOff(Failure);

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0.message)
    }
}

impl std::error::Error for BrokenOff {}

/// Builds the response to a call to a plain service.
pub async fn call(mut parts: Parts) -> Result<Response, Failure> {
    let (status, headers) = loop {
        match parts.recv().await.unwrap_or_else(|| Err(broken_off()))? {
            Part::Head { status, headers } => break (status, headers),
            Part::Started => {}
            Part::Piece { .. } | Part::End { .. } => return Err(broken_off()),
        }
    };
    let body = stream::unfold(Some(parts), |state| async move {
        let mut parts = state?;
        match parts.recv().await.unwrap_or_else(|| Err(broken_off())) {
            Ok(Part::Piece { bytes, .. }) => Some((Ok(bytes), Some(parts))),
            Ok(Part::End { .. }) => None,
            Ok(Part::Started | Part::Head { .. }) => Some((Ok(Bytes::new()), Some(parts))),
            Err(failure) => Some((Err(BrokenOff(failure)), None)),
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
