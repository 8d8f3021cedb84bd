//! Replica on a raw socket, whose answers need not be HTTP.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Body of each answer, by which a caller would recognise it; an event, which streams pass on.
pub const BODY: &str = "id: 1\ndata: of the replica in trouble\n\n";
/// Status lines with a status that no answer can have: below 100, and beyond the last class.
pub const ODD_STATUSES: [&str; 6] = ["000 OK", "000", "099 OK", "00 OK", "600 OK", "999 OK"];
/// Status line of a change of the protocol, for which nobody asked.
pub const PROTOCOL_CHANGE: &str = "101 Switching Protocols";
/// Lines in the head of an answer with a name that no field can have: blanks, control bytes, other bytes, or none.
pub const ODD_LINES: [&str; 10] = [
    "odd name: v",
    "odd\tname: v",
    "odd\u{1}name: v",
    "odd\0name: v",
    "odd\u{7f}name: v",
    " odd: v",
    "odd : v",
    "oddä: v",
    ": v",
    "odd",
];

/// Replica that answers each request in the same way, and closes the connection.
pub struct RawReplica {
    /// Address on which it listens, `ip:port`.
    pub address: String,
    answer: Mutex<String>,
    /// Paths of the requests that got it.
    answered: Mutex<Vec<String>>,
}

impl RawReplica {
    /// Starts a replica on `address`, which may have been another process's until now.
    pub async fn start(address: &str) -> Arc<Self> {
        let listener = bind(address).await;
        let address = listener.local_addr().expect("a bound socket").to_string();
        let replica = Arc::new(Self { address, answer: Mutex::default(), answered: Mutex::default() });
        tokio::spawn(replica.clone().serve(listener));
        replica
    }

    /// Sets the answer to each request: `status` with its reason, and a head with `line` before the fields that callers
    /// need or behind them.
    pub fn set_answer(&self, status: &str, line: Option<&str>, is_line_first: bool) {
        let line = line.map(|line| format!("{line}\r\n")).unwrap_or_default();
        let fields = "request-id: {id}\r\nresponse-seal: s\r\ncontent-type: text/plain\r\n";
        let length = format!("content-length: {}\r\n", BODY.len());
        let fields = if is_line_first { format!("{line}{fields}{length}") } else { format!("{fields}{length}{line}") };
        *self.answer.lock().unwrap_or_else(PoisonError::into_inner) =
            format!("HTTP/1.1 {status}\r\n{fields}\r\n{BODY}");
    }

    /// Returns the number of requests for `path` that got the answer that is set.
    pub fn answered(&self, path: &str) -> usize {
        let answered = self.answered.lock().unwrap_or_else(PoisonError::into_inner);
        answered.iter().filter(|answered| **answered == path).count()
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let replica = self.clone();
            tokio::spawn(async move { replica.answer(stream).await });
        }
    }

    /// Answers one request. Questions about the health are answered as by a sound replica.
    async fn answer(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let id = head.lines().find_map(|line| line.strip_prefix("request-id: ")).unwrap_or_default();
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let answer = if path == "/health" {
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_owned()
        } else {
            self.answered.lock().unwrap_or_else(PoisonError::into_inner).push(path);
            self.answer.lock().unwrap_or_else(PoisonError::into_inner).replace("{id}", id)
        };
        stream.write_all(answer.as_bytes()).await?;
        // The rest of the request is read, since a close with unread bytes could overtake the answer.
        tokio::time::timeout(Duration::from_millis(200), tokio::io::copy(&mut stream, &mut tokio::io::sink()))
            .await??;
        Ok(())
    }
}

/// Binds `address`. Retries while the process that had it ends.
async fn bind(address: &str) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    TcpListener::bind(address).await.expect("the address is free")
}
