//! Sends a workload to entries in an open loop: each request is sent at its arrival time.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::client::{Client, Prompt, Seen};
use crate::fleet::workspace_key;
use crate::ledger::{Ledger, Line, Outcome, judge};
use crate::mix::{Arrival, Deployment, Kind};
use crate::text;

/// One of this many prompts is sent without streaming.
const STREAMED: u64 = 8;

/// Target entries and parameters of a run.
#[derive(Clone, Debug)]
pub struct Drive {
    /// Addresses of the entries, to which requests are distributed round-robin as by a load balancer.
    pub entries: Vec<String>,
    /// Deployment that defines the model and the service.
    pub deployment: Deployment,
    /// Factor by which the fleet runs faster than real time.
    pub speed: f64,
    /// Prefix of request ids and idempotency keys, which keeps runs against the same fleet distinct.
    pub run: String,
}

/// Sends all requests and waits for all responses.
pub async fn drive(drive: &Drive, arrivals: Vec<Arrival>) -> Ledger {
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let drive = Arc::new(drive.clone());
    let client = Client::new();
    let start = Instant::now();
    let mut tasks = Vec::new();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        tokio::time::sleep_until(start + arrival.at).await;
        let (drive, client, ledger) = (drive.clone(), client.clone(), ledger.clone());
        tasks.push(tokio::spawn(async move {
            let line = send(&drive, &client, number, &arrival).await;
            ledger.lock().await.lines.push(line);
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    Arc::into_inner(ledger).map(Mutex::into_inner).unwrap_or_default()
}

async fn send(drive: &Drive, client: &Client, number: usize, arrival: &Arrival) -> Line {
    let entry_number = number % drive.entries.len();
    let entry = &drive.entries[entry_number];
    let sent = std::time::Instant::now();
    let id = format!("{}-{number}", drive.run);
    let key = workspace_key(arrival.workspace);
    let deadline = arrival.class.deadline.div_f64(drive.speed).max(Duration::from_millis(500));
    let mut once = None;
    let (seen, outcome) = match arrival.class.kind {
        Kind::Prompt { .. } => prompt(drive, client, entry, &id, key, arrival, deadline).await,
        Kind::Read => call(drive, client, entry, "GET", &id, &key, None, deadline).await,
        Kind::Once => {
            once = Some(format!("key-{id}"));
            call(drive, client, entry, "POST", &id, &key, once.clone(), deadline).await
        }
        Kind::Ticket => match ticket(drive, client, entry, &key).await {
            Ok(ticket) => {
                once = Some(ticket);
                call(drive, client, entry, "POST", &id, &key, once.clone(), deadline).await
            }
            Err(seen) => {
                let outcome = judge(&seen, |_| false, deadline);
                (seen, outcome)
            }
        },
    };
    Line {
        entry: entry_number,
        sent,
        ended: std::time::Instant::now(),
        class: arrival.class.name,
        id,
        tokens: arrival.tokens,
        outcome,
        ttft: if arrival.tokens == 0 { Some(seen.took) } else { seen.ttft },
        took: seen.took,
        retry_after: seen.retry_after(),
        gaps: seen.gaps,
        once,
    }
}

async fn prompt(
    drive: &Drive,
    client: &Client,
    entry: &str,
    id: &str,
    key: String,
    arrival: &Arrival,
    deadline: Duration,
) -> (Seen, Outcome) {
    let prompt = Prompt {
        model: drive.deployment.model().to_owned(),
        key,
        text: text::prompt(arrival.tokens as usize, arrival.seed),
        output: arrival.output,
        stream: !arrival.seed.is_multiple_of(STREAMED),
        deadline,
        headers: vec![("x-request-id".to_owned(), id.to_owned())],
    };
    let seen = client.prompt(entry, &prompt).await;
    let expected = prompt.expected();
    let outcome = judge(&seen, |text| text == expected, deadline);
    (seen, outcome)
}

async fn ticket(drive: &Drive, client: &Client, entry: &str, key: &str) -> Result<String, Seen> {
    let body = json!({ "service": drive.deployment.service() });
    let headers = [("authorization".to_owned(), format!("Bearer {key}"))];
    let seen = client.call("POST", entry, "/v1/tickets", &headers, body.to_string()).await;
    let answer: Value = serde_json::from_str(&seen.text).unwrap_or_default();
    match answer["key"].as_str() {
        Some(ticket) => Ok(ticket.to_owned()),
        None => Err(seen),
    }
}

#[allow(clippy::too_many_arguments)]
async fn call(
    drive: &Drive,
    client: &Client,
    entry: &str,
    method: &str,
    id: &str,
    key: &str,
    once: Option<String>,
    deadline: Duration,
) -> (Seen, Outcome) {
    let mut headers = vec![
        ("authorization".to_owned(), format!("Bearer {key}")),
        ("x-request-id".to_owned(), id.to_owned()),
        ("x-deadline-ms".to_owned(), deadline.as_millis().to_string()),
    ];
    let counted = once.clone().unwrap_or_else(|| id.to_owned());
    if let Some(once) = once {
        headers.push(("idempotency-key".to_owned(), once));
    }
    let path = format!("/services/{}/receipts/{id}?lang=rw", drive.deployment.service());
    let seen = client.call(method, entry, &path, &headers, format!("body of {id}")).await;
    let right = |text: &str| {
        let answer: Value = serde_json::from_str(text).unwrap_or_default();
        let body = answer["body"].as_str() == Some(&format!("body of {id}"));
        body && answer["key"].as_str() == Some(&counted) && answer["query"].as_str() == Some("lang=rw")
    };
    let outcome = judge(&seen, right, deadline);
    (seen, outcome)
}
