//! The load tool's HTTP client: prompts whose answers are checked, and calls.

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

/// A client.
#[derive(Clone)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
}

/// A prompt to be sent.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The model.
    pub model: String,
    /// The workspace's key.
    pub key: String,
    /// Text of the one message.
    pub text: String,
    /// Output tokens wanted.
    pub output: u64,
    /// Whether to stream.
    pub stream: bool,
    /// Time allowed.
    pub deadline: Duration,
    /// Headers besides.
    pub headers: Vec<(String, String)>,
}

impl Prompt {
    /// The messages as they stand in the body.
    fn messages(&self) -> String {
        format!("[{{\"role\":\"user\",\"content\":\"{}\"}}]", self.text)
    }

    /// The answer that is right.
    pub fn expected(&self) -> String {
        text::answer(text::digest(self.messages().as_bytes(), 0), self.output)
    }

    /// The body.
    pub fn body(&self) -> String {
        let Prompt { model, output, stream, .. } = self;
        let messages = self.messages();
        format!("{{\"model\":\"{model}\",\"messages\":{messages},\"max_tokens\":{output},\"stream\":{stream}}}")
    }
}

/// What came back.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Text of the answer.
    pub text: String,
    /// Time to the first token.
    pub ttft: Option<Duration>,
    /// Time to the end.
    pub took: Duration,
    /// Longest times between tokens, one for each gap.
    pub gaps: Vec<Duration>,
    /// Whether the answer said that it was over.
    pub ended: bool,
    /// The failure's body, if there was one.
    pub failure: Option<Value>,
    /// What went wrong on the way.
    pub error: Option<String>,
}

impl Seen {
    /// The failure's code.
    pub fn code(&self) -> &str {
        self.failure.as_ref().and_then(|failure| failure["error"]["code"].as_str()).unwrap_or("-")
    }

    /// What the failure says of whether it ran.
    pub fn ran(&self) -> Option<&str> {
        self.failure.as_ref()?["ran"].as_str()
    }

    /// When the failure says to come back.
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
    /// A client with its own pool of connections.
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

    /// Sends a request.
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

    /// Sends JSON and reads the status and JSON.
    pub async fn json(
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

    /// Sends a prompt and reads its answer to the end.
    pub async fn prompt(&self, address: &str, prompt: &Prompt) -> Seen {
        let mut headers = prompt.headers.clone();
        headers.push(("authorization".to_owned(), format!("Bearer {}", prompt.key)));
        headers.push(("content-type".to_owned(), "application/json".to_owned()));
        headers.push(("x-deadline-ms".to_owned(), prompt.deadline.as_millis().to_string()));
        let start = Instant::now();
        let mut seen = Seen::default();
        if let Err(error) = self.read(address, prompt, &headers, start, &mut seen).await {
            seen.error = Some(format!("{error:#}"));
        }
        seen.took = start.elapsed();
        seen
    }

    async fn read(
        &self,
        address: &str,
        prompt: &Prompt,
        headers: &[(String, String)],
        start: Instant,
        seen: &mut Seen,
    ) -> Result<()> {
        let response = self.send("POST", address, "/v1/chat/completions", headers, prompt.body()).await?;
        seen.status = response.status().as_u16();
        let mut body = response.into_body();
        if seen.status != 200 || !prompt.stream {
            let bytes = body.collect().await.wrap_err("step=read")?.to_bytes();
            return whole(&bytes, seen);
        }
        let mut buffer = BytesMut::new();
        let mut last = start;
        while let Some(frame) = body.frame().await {
            let frame = frame.wrap_err("step=read")?;
            let Ok(data) = frame.into_data() else { continue };
            buffer.extend_from_slice(&data);
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(end + 1);
                if let Some(data) = line.trim_ascii_end().strip_prefix(b"data: ") {
                    event(data, start, &mut last, seen)?;
                }
            }
        }
        Ok(())
    }

    /// Calls a plain service; the text is its JSON body.
    pub async fn call(
        &self,
        method: &str,
        address: &str,
        path: &str,
        headers: &[(String, String)],
        body: impl Into<Bytes>,
    ) -> Seen {
        let start = Instant::now();
        let mut seen = Seen::default();
        let outcome = async {
            let response = self.send(method, address, path, headers, body).await?;
            seen.status = response.status().as_u16();
            let bytes = response.into_body().collect().await.wrap_err("step=read")?.to_bytes();
            seen.text = String::from_utf8_lossy(&bytes).into_owned();
            if seen.status >= 400 {
                seen.failure = serde_json::from_slice(&bytes).ok();
            }
            seen.ended = true;
            Ok::<(), eyre::Report>(())
        };
        if let Err(error) = outcome.await {
            seen.error = Some(format!("{error:#}"));
        }
        seen.took = start.elapsed();
        seen
    }
}

fn whole(bytes: &[u8], seen: &mut Seen) -> Result<()> {
    let value: Value = serde_json::from_slice(bytes).wrap_err("step=decode")?;
    if value["error"].is_object() {
        seen.failure = Some(value);
        return Ok(());
    }
    seen.text = value["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned();
    seen.ended = true;
    Ok(())
}

fn event(data: &[u8], start: Instant, last: &mut Instant, seen: &mut Seen) -> Result<()> {
    if data == b"[DONE]" {
        seen.ended = true;
        return Ok(());
    }
    let value: Value = serde_json::from_slice(data).wrap_err("step=decode")?;
    if value["error"].is_object() {
        seen.failure = Some(value);
        return Ok(());
    }
    let Some(token) = value["choices"][0]["delta"]["content"].as_str() else { return Ok(()) };
    let now = Instant::now();
    match seen.ttft {
        None => seen.ttft = Some(now - start),
        Some(_) => seen.gaps.push(now - *last),
    }
    *last = now;
    seen.text.push_str(token);
    Ok(())
}
