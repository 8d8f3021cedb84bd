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
const MOST_OUTPUT_TOKENS: u64 = 1_000_000;

/// The two OpenAI request formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Chat messages, sent to `/v1/chat/completions`.
    Chat,
    /// Prompt text, sent to `/v1/completions`.
    Text,
}

impl Form {
    /// Returns the HTTP path of this format at an engine.
    pub const fn path(self) -> &'static str {
        match self {
            Form::Chat => "/v1/chat/completions",
            Form::Text => "/v1/completions",
        }
    }

    const fn field(self) -> &'static str {
        match self {
            Form::Chat => "messages",
            Form::Text => "prompt",
        }
    }
}

/// A validated prompt.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Request format of the prompt.
    pub form: Form,
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
    pub fn shell(&self) -> Vec<Bytes> {
        let empty = Bytes::from_static(if self.form == Form::Chat { b"[]" } else { b"\"\"" });
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
    fn raw(&self, name: &str) -> Option<&RawValue> {
        let found = self.0.iter().rev().find(|(key, _)| key == name).map(|(_, value)| *value);
        found.filter(|raw| raw.get() != "null")
    }

    fn typed<T: for<'de> Deserialize<'de>>(&self, name: &'static str, what: &str) -> Result<Option<T>, Failure> {
        let Some(raw) = self.raw(name) else { return Ok(None) };
        let wrong = |_| Failure::bad_request("invalid_field", format!("\"{name}\" must be {what}"));
        serde_json::from_str(raw.get()).map(Some).map_err(wrong)
    }
}

/// Parses and validates a request body.
pub fn parse(form: Form, body: &Bytes) -> Result<Prompt, Failure> {
    let fields: Fields = serde_json::from_slice(body)
        .map_err(|error| Failure::bad_request("invalid_json", format!("the body is not a JSON object: {error}")))?;
    let model: String = fields
        .typed("model", "a string")?
        .ok_or_else(|| Failure::bad_request("missing_field", "\"model\" is missing"))?;
    let text = prompt_text(form, &fields)?;
    if fields.typed::<u64>("n", "a whole number")?.is_some_and(|n| n != 1) {
        return Err(Failure::bad_request("unsupported_field", "\"n\" must be 1"));
    }
    let stream = fields.typed("stream", "true or false")?.unwrap_or(false);
    let options: StreamOptions = fields.typed("stream_options", "an object")?.unwrap_or_default();
    let output_tokens = output_tokens(&fields)?;
    Ok(Prompt {
        form,
        model: Name::from(model),
        stream,
        include_usage: options.include_usage,
        output_tokens,
        prompt_bytes: text.len() as u64,
        chain: Chain::of(text.as_bytes()),
        body: rewrite(&fields, body),
        text: body.slice_ref(text.as_bytes()),
    })
}

fn prompt_text<'a>(form: Form, fields: &'a Fields<'_>) -> Result<&'a str, Failure> {
    let name = form.field();
    let raw =
        fields.raw(name).ok_or_else(|| Failure::bad_request("missing_field", format!("\"{name}\" is missing")))?;
    let text = raw.get();
    let empty = text == "\"\"" || text.strip_prefix('[').is_some_and(|rest| rest.trim_start().starts_with(']'));
    let fits = match form {
        Form::Chat => text.starts_with('['),
        Form::Text => text.starts_with(['[', '"']),
    };
    if empty || !fits {
        let what = if form == Form::Chat { "a list of messages" } else { "a text or a list" };
        return Err(Failure::bad_request("invalid_field", format!("\"{name}\" must be {what}, and not empty")));
    }
    Ok(text)
}

fn output_tokens(fields: &Fields<'_>) -> Result<u64, Failure> {
    let newer: Option<u64> = fields.typed("max_completion_tokens", "a whole number")?;
    let older: Option<u64> = fields.typed("max_tokens", "a whole number")?;
    let tokens = newer.or(older).unwrap_or(DEFAULT_OUTPUT_TOKENS);
    if tokens == 0 || tokens > MOST_OUTPUT_TOKENS {
        let message = format!("\"max_tokens\" must lie between 1 and {MOST_OUTPUT_TOKENS}");
        return Err(Failure::bad_request("invalid_field", message));
    }
    Ok(tokens)
}

/// Returns the body with streaming and token counts enabled; all other values share the caller's buffer.
fn rewrite(fields: &Fields<'_>, body: &Bytes) -> Vec<Bytes> {
    let mut out = vec![Bytes::from_static(b"{\"stream\":true,\"stream_options\":{\"include_usage\":true}")];
    for (key, value) in &fields.0 {
        if key == "stream" || key == "stream_options" {
            continue;
        }
        let key = serde_json::Value::from(key.as_ref());
        out.push(Bytes::from(format!(",{key}:")));
        out.push(body.slice_ref(value.get().as_bytes()));
    }
    out.push(Bytes::from_static(b"}"));
    out
}
