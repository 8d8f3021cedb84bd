//! Client with a kept connection.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::http;

/// Outcome of a request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Status; 0 if the connection ended without an answer.
    pub status: u16,
    /// Number of bytes of the body that arrived.
    pub body_bytes: usize,
    /// Whether the answer is complete.
    pub is_complete: bool,
    /// Seconds after which to come back.
    pub retry_after: f64,
}

/// Client that keeps its connection for many requests.
pub struct Client {
    address: String,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    /// Creates a client of the entry at `address`, without a connection.
    pub fn new(address: &str) -> Self {
        Self { address: address.to_owned(), connection: None }
    }

    /// Sends a request and waits for its answer. Returns `None` if no connection could be opened.
    pub fn send(&mut self, request: &Request) -> Option<Outcome> {
        if self.connection.is_none() {
            let stream = TcpStream::connect(&self.address).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(Duration::from_millis(request.deadline_ms + 1_000))).ok()?;
            self.connection = Some(BufReader::new(stream));
        }
        let mut connection = self.connection.take()?;
        let mut outcome = Outcome::default();
        let exchange = (|| -> std::io::Result<bool> {
            connection.get_mut().write_all(&request.encode())?;
            let Some(head) = http::read_head(&mut connection)? else { return Ok(false) };
            outcome.status = head.status();
            outcome.retry_after = head.header("retry-after").parse().unwrap_or(0.0);
            outcome.body_bytes = http::read_body(&mut connection, &head)?.len();
            outcome.is_complete = true;
            Ok(!head.closes())
        })();
        if exchange.is_ok_and(|keeps| keeps) {
            self.connection = Some(connection);
        }
        Some(outcome)
    }
}

/// Request of a client.
pub struct Request {
    /// Method.
    pub method: &'static str,
    /// Path.
    pub path: String,
    /// Id of this attempt.
    pub id: String,
    /// API key.
    pub key: String,
    /// Time that the client waits.
    pub deadline_ms: u64,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the head of the request.
    pub fn head(&self) -> String {
        format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
            self.method,
            self.path,
            crate::site::HOST,
            self.id,
            self.deadline_ms,
            self.key,
            self.body.len()
        )
    }

    fn encode(&self) -> Vec<u8> {
        let mut bytes = self.head().into_bytes();
        bytes.extend(&self.body);
        bytes
    }
}
