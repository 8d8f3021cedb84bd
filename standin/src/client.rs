//! HTTP client of the load tool: sends prompts and plain service calls and records their responses.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use eyre::{Result, WrapErr, eyre};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::Value;

use crate::text;

/// HTTP client with a connection pool; clones share the pool.
#[derive(Clone)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
}

/// A chat completion request with one user message.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Name of the model that the request asks for.
    pub model: String,
    /// Bearer key of the workspace.
    pub key: String,
    /// Text of the user message.
    pub text: String,
    /// Output tokens to request, sent as `max_tokens`.
    pub output: u64,
    /// Whether the response is requested as a stream of server-sent events.
    pub stream: bool,
    /// Deadline sent in `x-deadline-ms`.
    pub deadline: Duration,
    /// Headers sent in addition to authorization, content type and deadline.
    pub headers: Vec<(String, String)>,
}

impl Prompt {
    /// Returns the JSON text of `messages` exactly as the body contains it, because the answer's digest covers it.
    fn messages(&self) -> String {
        format!("[{{\"role\":\"user\",\"content\":\"{}\"}}]", self.text)
    }

    /// Returns the text that an engine stand-in generates for this prompt.
    pub fn expected(&self) -> String {
        text::response_text(text::prompt_digest(self.messages().as_bytes(), 0), self.output)
    }

    /// Returns the JSON request body.
    pub fn body(&self) -> String {
        let Prompt { model, output, stream, .. } = self;
        let messages = self.messages();
        format!("{{\"model\":\"{model}\",\"messages\":{messages},\"max_tokens\":{output},\"stream\":{stream}}}")
    }
}

/// Outcome of a request as the client received it.
#[derive(Clone, Debug, Default)]
pub struct ClientResponse {
    /// HTTP status; 0 if no response arrived.
    pub status: u16,
    /// Generated text of a completion, or the response body of a plain service call.
    pub text: String,
    /// Time from sending the request to the first token; `None` without streaming or if no token arrived.
    pub ttft: Option<Duration>,
    /// Time from sending the request to the end of the response or to the error.
    pub elapsed: Duration,
    /// Time between each token and the one before it.
    pub gaps: Vec<Duration>,
    /// Whether the response was complete; a stream is complete once `[DONE]` arrives.
    pub is_complete: bool,
    /// Error body of the response; `None` if the response carried no JSON error.
    pub failure: Option<Value>,
    /// Transport or decoding error on the client's side.
    pub error: Option<String>,
}

impl ClientResponse {
    /// Returns the error code of the response, or `-` if it carried none.
    pub fn code(&self) -> &str {
        self.failure.as_ref().and_then(|failure| failure["error"]["code"].as_str()).unwrap_or("-")
    }

    /// Returns the error body's `ran` field, which states whether the request was executed.
    pub fn ran(&self) -> Option<&str> {
        self.failure.as_ref()?["ran"].as_str()
    }

    /// Returns the delay after which the error body allows a retry.
    pub fn retry_after(&self) -> Option<Duration> {
        Some(Duration::from_millis(self.failure.as_ref()?["retry_after_ms"].as_u64()?))
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client with its own connection pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let inner = HyperClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(5))
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the response with its body unread.
    pub async fn send(
        &self,
        method: &str,
        address: &str,
        path: &str,
        headers: &[(String, String)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>> {
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(body.into())).wrap_err("step=build-request")?;
        self.inner.request(request).await.map_err(|error| eyre!("step=send peer={address}: {error:?}"))
    }

    /// Sends an optional JSON body and returns the status and the JSON response, `Null` if the response is not JSON.
    pub async fn send_json(
        &self,
        method: &str,
        address: &str,
        path: &str,
        key: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Value)> {
        let mut headers = vec![("authorization".to_owned(), format!("Bearer {key}"))];
        if body.is_some() {
            headers.push(("content-type".to_owned(), "application/json".to_owned()));
        }
        let body = body.map_or_else(String::new, Value::to_string);
        let response = self.send(method, address, path, &headers, body).await?;
        let status = response.status().as_u16();
        let bytes = response.into_body().collect().await.wrap_err("step=read")?.to_bytes();
        Ok((status, serde_json::from_slice(&bytes).unwrap_or(Value::Null)))
    }

    /// Sends a prompt and reads the response to its end.
    pub async fn send_prompt(&self, address: &str, prompt: &Prompt) -> ClientResponse {
        let mut headers = prompt.headers.clone();
        headers.push(("authorization".to_owned(), format!("Bearer {}", prompt.key)));
        headers.push(("content-type".to_owned(), "application/json".to_owned()));
        headers.push(("x-deadline-ms".to_owned(), prompt.deadline.as_millis().to_string()));
        let start = Instant::now();
        let mut received = ClientResponse::default();
        if let Err(error) = self.receive(address, prompt, &headers, start, &mut received).await {
            received.error = Some(format!("{error:#}"));
        }
        received.elapsed = start.elapsed();
        received
    }

    async fn receive(
        &self,
        address: &str,
        prompt: &Prompt,
        headers: &[(String, String)],
        start: Instant,
        received: &mut ClientResponse,
    ) -> Result<()> {
        let response = self.send("POST", address, "/v1/chat/completions", headers, prompt.body()).await?;
        received.status = response.status().as_u16();
        let mut body = response.into_body();
        if received.status != 200 || !prompt.stream {
            let bytes = body.collect().await.wrap_err("step=read")?.to_bytes();
            return parse_response(&bytes, received);
        }
        let mut buffer = BytesMut::new();
        let mut last_token_at = start;
        while let Some(frame) = body.frame().await {
            let frame = frame.wrap_err("step=read")?;
            let Ok(data) = frame.into_data() else { continue };
            buffer.extend_from_slice(&data);
            while let Some(newline) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(newline + 1);
                if let Some(data) = line.trim_ascii_end().strip_prefix(b"data: ") {
                    apply_event(data, start, &mut last_token_at, received)?;
                }
            }
        }
        Ok(())
    }

    /// Calls a plain service and keeps the JSON response body as the text.
    pub async fn call(
        &self,
        method: &str,
        address: &str,
        path: &str,
        headers: &[(String, String)],
        body: impl Into<Bytes>,
    ) -> ClientResponse {
        let start = Instant::now();
        let mut received = ClientResponse::default();
        let exchange = async {
            let response = self.send(method, address, path, headers, body).await?;
            received.status = response.status().as_u16();
            let bytes = response.into_body().collect().await.wrap_err("step=read")?.to_bytes();
            received.text = String::from_utf8_lossy(&bytes).into_owned();
            if received.status >= 400 {
                received.failure = serde_json::from_slice(&bytes).ok();
            }
            received.is_complete = true;
            Ok::<(), eyre::Report>(())
        };
        if let Err(error) = exchange.await {
            received.error = Some(format!("{error:#}"));
        }
        received.elapsed = start.elapsed();
        received
    }
}

fn parse_response(bytes: &[u8], received: &mut ClientResponse) -> Result<()> {
    let value: Value = serde_json::from_slice(bytes).wrap_err("step=decode")?;
    if value["error"].is_object() {
        received.failure = Some(value);
        return Ok(());
    }
    received.text = value["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned();
    received.is_complete = true;
    Ok(())
}

fn apply_event(data: &[u8], start: Instant, last_token_at: &mut Instant, received: &mut ClientResponse) -> Result<()> {
    if data == b"[DONE]" {
        received.is_complete = true;
        return Ok(());
    }
    let value: Value = serde_json::from_slice(data).wrap_err("step=decode")?;
    if value["error"].is_object() {
        received.failure = Some(value);
        return Ok(());
    }
    let Some(token) = value["choices"][0]["delta"]["content"].as_str() else { return Ok(()) };
    let now = Instant::now();
    match received.ttft {
        None => received.ttft = Some(now - start),
        Some(_) => received.gaps.push(now - *last_token_at),
    }
    *last_token_at = now;
    received.text.push_str(token);
    Ok(())
}
