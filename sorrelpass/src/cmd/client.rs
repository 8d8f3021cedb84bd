//! HTTP client that the operators' subcommands use to call an entry.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::{Result, WrapErr, eyre};
use http_body_util::BodyExt;
use hyper::Request;
use serde_json::Value;

use crate::{http, util};

/// Address of the entry, and the key that authenticates the operator.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(entry_args))]
pub struct EntryArgs {
    /// Address of any entry
    #[bpaf(long("entry"), argument("IP:PORT"))]
    pub address: String,
    /// File with the operator key
    #[bpaf(long("key-file"), argument("FILE"), optional)]
    pub key_file: Option<PathBuf>,
}

/// Response of an entry.
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Decoded JSON body.
    pub body: Value,
}

impl EntryArgs {
    /// Sends a request and returns the response, also if its status is an error.
    pub fn request(&self, method: &str, path: &str, body: Option<String>) -> Result<Response> {
        util::with_runtime(self.send_request(method, path, body))
    }

    /// Sends a request and returns the body; a response with a status outside 2xx is an error.
    pub fn request_success(&self, method: &str, path: &str, body: Option<String>) -> Result<Value> {
        let response = self.request(method, path, body)?;
        if !(200..300).contains(&response.status) {
            let message = response.body["error"]["message"].as_str().unwrap_or("no reason given").to_owned();
            return Err(eyre!("step=call peer={} status={}: {message}", self.address, response.status));
        }
        Ok(response.body)
    }

    async fn send_request(&self, method: &str, path: &str, body: Option<String>) -> Result<Response> {
        let mut request = Request::builder().method(method).uri(format!("http://{}{path}", self.address));
        if let Some(file) = &self.key_file {
            let key =
                std::fs::read_to_string(file).wrap_err_with(|| format!("step=read-key file={}", file.display()))?;
            request = request.header("authorization", format!("Bearer {}", key.trim()));
        }
        let request = request.body(http::full_body(body.unwrap_or_default())).wrap_err("step=build-request")?;
        let response = http::send(&http::client_h1(), &self.address, request).await?;
        let status = response.status().as_u16();
        let bytes = response.into_body().collect().await.wrap_err("step=read")?.to_bytes();
        let body = serde_json::from_slice(&bytes).wrap_err_with(|| format!("step=decode peer={}", self.address))?;
        Ok(Response { status, body })
    }
}

/// Prints a JSON value with indentation.
pub fn print_json(value: &Value) {
    println!("{value:#}");
}
