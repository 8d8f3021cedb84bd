//! What the operators' subcommands share: a call to an entry.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::{Result, WrapErr, eyre};
use http_body_util::BodyExt;
use hyper::Request;
use serde_json::Value;

use crate::{http, util};

/// Where the entry is and how to be let in.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(target))]
pub struct Target {
    /// Address of any entry
    #[bpaf(long("entry"), argument("IP:PORT"))]
    pub entry: String,
    /// File with the operator key
    #[bpaf(long("key-file"), argument("FILE"), optional)]
    pub key_file: Option<PathBuf>,
}

/// An entry's answer.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Value,
}

impl Target {
    /// Calls the entry.
    pub fn call(&self, method: &str, path: &str, body: Option<String>) -> Result<Answer> {
        util::with_runtime(self.send(method, path, body))
    }

    /// Calls the entry and takes an answer that is no success as an error.
    pub fn expect(&self, method: &str, path: &str, body: Option<String>) -> Result<Value> {
        let answer = self.call(method, path, body)?;
        if !(200..300).contains(&answer.status) {
            let message = answer.body["error"]["message"].as_str().unwrap_or("no reason given").to_owned();
            return Err(eyre!("step=call peer={} status={}: {message}", self.entry, answer.status));
        }
        Ok(answer.body)
    }

    async fn send(&self, method: &str, path: &str, body: Option<String>) -> Result<Answer> {
        let mut request = Request::builder().method(method).uri(format!("http://{}{path}", self.entry));
        if let Some(file) = &self.key_file {
            let key =
                std::fs::read_to_string(file).wrap_err_with(|| format!("step=read-key file={}", file.display()))?;
            request = request.header("authorization", format!("Bearer {}", key.trim()));
        }
        let request = request.body(http::full(body.unwrap_or_default())).wrap_err("step=build-request")?;
        let response = http::send(&http::caller_h1(), &self.entry, request).await?;
        let status = response.status().as_u16();
        let bytes = response.into_body().collect().await.wrap_err("step=read")?.to_bytes();
        let body = serde_json::from_slice(&bytes).wrap_err_with(|| format!("step=decode peer={}", self.entry))?;
        Ok(Answer { status, body })
    }
}

/// Prints a JSON value for people.
pub fn print(value: &Value) {
    println!("{value:#}");
}
