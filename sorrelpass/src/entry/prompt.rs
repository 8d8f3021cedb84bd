//! Prompts in the OpenAI format: parsed without copying, validated, and rewritten for the engine.

use std::borrow::Cow;
use std::fmt;

use bytes::Bytes;
use coord::name::Name;
use coord::prefix::Chain;
use serde::Deserialize;
use serde::de::{MapAccess, Visitor};
use serde_json::value::RawValue;

use crate::failure::Failure;

/// Maximum number of output tokens if the caller sets none.
const DEFAULT_OUTPUT_TOKENS: u64 = 1_024;
/// Upper bound of the maximum that a caller may set.
const MAX_OUTPUT_TOKENS: u64 = 1_000_000;

/// The two OpenAI request formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiFormat {
    /// Chat messages, sent to `/v1/chat/completions`.
    Chat,
    /// Prompt text, sent to `/v1/completions`.
    Text,
}

impl ApiFormat {
    /// Returns the HTTP path of this format at an engine.
    pub const fn path(self) -> &'static str {
        match self {
            ApiFormat::Chat => "/v1/chat/completions",
            ApiFormat::Text => "/v1/completions",
        }
    }

    const fn prompt_field(self) -> &'static str {
        match self {
            ApiFormat::Chat => "messages",
            ApiFormat::Text => "prompt",
        }
    }
}

/// A validated prompt.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Request format of the prompt.
    pub format: ApiFormat,
    /// Name of the model.
    pub model: Name,
    /// Whether the caller requested a stream.
    pub stream: bool,
    /// Whether the stream ends with token counts.
    pub include_usage: bool,
    /// Maximum number of output tokens.
    pub output_tokens: u64,
    /// Length of the prompt text, in bytes of JSON.
    pub prompt_bytes: u64,
    /// Hash chain over the prefixes of the prompt text.
    pub chain: Chain,
    /// Request body for the engine, in pieces that share the caller's buffer.
    pub body: Vec<Bytes>,
    /// Prompt text as raw JSON, a slice of the caller's buffer.
    pub text: Bytes,
}

impl Prompt {
    /// Returns the body with an empty prompt text, for an engine that holds the text in spans.
    pub fn body_without_text(&self) -> Vec<Bytes> {
        let empty = Bytes::from_static(if self.format == ApiFormat::Chat { b"[]" } else { b"\"\"" });
        let is_text = |piece: &Bytes| piece.as_ptr() == self.text.as_ptr() && piece.len() == self.text.len();
        self.body.iter().map(|piece| if is_text(piece) { empty.clone() } else { piece.clone() }).collect()
    }
}

/// Top-level fields of a JSON object in their original order, with raw values.
struct Fields<'a>(Vec<(Cow<'a, str>, &'a RawValue)>);

impl<'de: 'a, 'a> Deserialize<'de> for Fields<'a> {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct FieldsVisitor;
        impl<'de> Visitor<'de> for FieldsVisitor {
            type Value = Fields<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a JSON object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut fields = Vec::new();
                while let Some((key, value)) = map.next_entry::<Cow<'de, str>, &'de RawValue>()? {
                    fields.push((key, value));
                }
                Ok(Fields(fields))
            }
        }
        deserializer.deserialize_map(FieldsVisitor)
    }
}

#[derive(Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

impl Fields<'_> {
    fn raw_field(&self, name: &str) -> Option<&RawValue> {
        let found = self.0.iter().rev().find(|(key, _)| key == name).map(|(_, value)| *value);
        found.filter(|raw| raw.get() != "null")
    }

    fn parse_field<T: for<'de> Deserialize<'de>>(
        &self,
        name: &'static str,
        expected: &str,
    ) -> Result<Option<T>, Failure> {
        let Some(raw) = self.raw_field(name) else { return Ok(None) };
        let invalid = |_| Failure::bad_request("invalid_field", format!("\"{name}\" must be {expected}"));
        serde_json::from_str(raw.get()).map(Some).map_err(invalid)
    }
}

/// Parses and validates a request body.
pub fn parse(format: ApiFormat, body: &Bytes) -> Result<Prompt, Failure> {
    let fields: Fields = serde_json::from_slice(body)
        .map_err(|error| Failure::bad_request("invalid_json", format!("the body is not a JSON object: {error}")))?;
    let model: String = fields
        .parse_field("model", "a string")?
        .ok_or_else(|| Failure::bad_request("missing_field", "\"model\" is missing"))?;
    let text = extract_prompt_text(format, &fields)?;
    if fields.parse_field::<u64>("n", "a whole number")?.is_some_and(|n| n != 1) {
        return Err(Failure::bad_request("unsupported_field", "\"n\" must be 1"));
    }
    let stream = fields.parse_field("stream", "true or false")?.unwrap_or(false);
    let options: StreamOptions = fields.parse_field("stream_options", "an object")?.unwrap_or_default();
    let output_tokens = parse_output_tokens(&fields)?;
    Ok(Prompt {
        format,
        model: Name::from(model),
        stream,
        include_usage: options.include_usage,
        output_tokens,
        prompt_bytes: text.len() as u64,
        chain: Chain::of(text.as_bytes()),
        body: build_engine_body(&fields, body),
        text: body.slice_ref(text.as_bytes()),
    })
}

fn extract_prompt_text<'a>(format: ApiFormat, fields: &'a Fields<'_>) -> Result<&'a str, Failure> {
    let name = format.prompt_field();
    let raw = fields
        .raw_field(name)
        .ok_or_else(|| Failure::bad_request("missing_field", format!("\"{name}\" is missing")))?;
    let text = raw.get();
    let is_empty = text == "\"\"" || text.strip_prefix('[').is_some_and(|rest| rest.trim_start().starts_with(']'));
    let has_valid_type = match format {
        ApiFormat::Chat => text.starts_with('['),
        ApiFormat::Text => text.starts_with(['[', '"']),
    };
    if is_empty || !has_valid_type {
        let expected = if format == ApiFormat::Chat { "a list of messages" } else { "a text or a list" };
        return Err(Failure::bad_request("invalid_field", format!("\"{name}\" must be {expected}, and not empty")));
    }
    Ok(text)
}

fn parse_output_tokens(fields: &Fields<'_>) -> Result<u64, Failure> {
    let max_completion_tokens: Option<u64> = fields.parse_field("max_completion_tokens", "a whole number")?;
    let max_tokens: Option<u64> = fields.parse_field("max_tokens", "a whole number")?;
    let tokens = max_completion_tokens.or(max_tokens).unwrap_or(DEFAULT_OUTPUT_TOKENS);
    if tokens == 0 || tokens > MAX_OUTPUT_TOKENS {
        let message = format!("\"max_tokens\" must lie between 1 and {MAX_OUTPUT_TOKENS}");
        return Err(Failure::bad_request("invalid_field", message));
    }
    Ok(tokens)
}

/// Returns the body with streaming and token counts enabled; all other values share the caller's buffer.
fn build_engine_body(fields: &Fields<'_>, body: &Bytes) -> Vec<Bytes> {
    let mut pieces = vec![Bytes::from_static(b"{\"stream\":true,\"stream_options\":{\"include_usage\":true}")];
    for (key, value) in &fields.0 {
        if key == "stream" || key == "stream_options" {
            continue;
        }
        let key = serde_json::Value::from(key.as_ref());
        pieces.push(Bytes::from(format!(",{key}:")));
        pieces.push(body.slice_ref(value.get().as_bytes()));
    }
    pieces.push(Bytes::from_static(b"}"));
    pieces
}
