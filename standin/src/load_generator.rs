//! Sends a workload to entries in an open loop: each request is sent at its arrival time.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::client::{Client, ClientResponse, Prompt};
use crate::fleet::workspace_key;
use crate::ledger::{Ledger, Outcome, RequestRecord, classify};
use crate::text;
use crate::workload::{Arrival, Deployment, RequestKind};

/// One of this many prompts is sent without streaming.
const NON_STREAMED_INTERVAL: u64 = 8;

/// Target entries and parameters of a run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Addresses of the entries, to which requests are distributed round-robin as by a load balancer.
    pub entries: Vec<String>,
    /// Deployment that defines the model and the service.
    pub deployment: Deployment,
    /// Factor by which the fleet runs faster than real time.
    pub speed: f64,
    /// Prefix of request ids and idempotency keys, which keeps runs against the same fleet distinct.
    pub run_id: String,
}

/// Sends all requests and waits for all responses.
pub async fn send_arrivals(plan: &LoadPlan, arrivals: Vec<Arrival>) -> Ledger {
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let plan = Arc::new(plan.clone());
    let client = Client::new();
    let start = Instant::now();
    let mut tasks = Vec::new();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        tokio::time::sleep_until(start + arrival.offset).await;
        let (plan, client, ledger) = (plan.clone(), client.clone(), ledger.clone());
        tasks.push(tokio::spawn(async move {
            let record = send_request(&plan, &client, number, &arrival).await;
            ledger.lock().await.records.push(record);
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    Arc::into_inner(ledger).map(Mutex::into_inner).unwrap_or_default()
}

async fn send_request(plan: &LoadPlan, client: &Client, number: usize, arrival: &Arrival) -> RequestRecord {
    let entry_number = number % plan.entries.len();
    let entry = &plan.entries[entry_number];
    let sent_at = std::time::Instant::now();
    let id = format!("{}-{number}", plan.run_id);
    let key = workspace_key(arrival.workspace);
    let deadline = arrival.class.deadline.div_f64(plan.speed).max(Duration::from_millis(500));
    let mut idempotency_key = None;
    let (received, outcome) = match arrival.class.kind {
        RequestKind::Prompt { .. } => send_prompt(plan, client, entry, &id, key, arrival, deadline).await,
        RequestKind::Read => call_service(plan, client, entry, "GET", &id, &key, None, deadline).await,
        RequestKind::Idempotent => {
            idempotency_key = Some(format!("key-{id}"));
            call_service(plan, client, entry, "POST", &id, &key, idempotency_key.clone(), deadline).await
        }
        RequestKind::Ticket => match request_ticket(plan, client, entry, &key).await {
            Ok(ticket) => {
                idempotency_key = Some(ticket);
                call_service(plan, client, entry, "POST", &id, &key, idempotency_key.clone(), deadline).await
            }
            Err(received) => {
                let outcome = classify(&received, |_| false, deadline);
                (received, outcome)
            }
        },
    };
    RequestRecord {
        entry: entry_number,
        sent_at,
        ended_at: std::time::Instant::now(),
        class: arrival.class.name,
        id,
        tokens: arrival.tokens,
        outcome,
        ttft: if arrival.tokens == 0 { Some(received.elapsed) } else { received.ttft },
        duration: received.elapsed,
        retry_after: received.retry_after(),
        gaps: received.gaps,
        idempotency_key,
    }
}

async fn send_prompt(
    plan: &LoadPlan,
    client: &Client,
    entry: &str,
    id: &str,
    key: String,
    arrival: &Arrival,
    deadline: Duration,
) -> (ClientResponse, Outcome) {
    let prompt = Prompt {
        model: plan.deployment.model().to_owned(),
        key,
        text: text::generate_prompt(arrival.tokens as usize, arrival.seed),
        output: arrival.output,
        stream: !arrival.seed.is_multiple_of(NON_STREAMED_INTERVAL),
        deadline,
        headers: vec![("x-request-id".to_owned(), id.to_owned())],
    };
    let received = client.send_prompt(entry, &prompt).await;
    let expected = prompt.expected();
    let outcome = classify(&received, |text| text == expected, deadline);
    (received, outcome)
}

async fn request_ticket(plan: &LoadPlan, client: &Client, entry: &str, key: &str) -> Result<String, ClientResponse> {
    let body = json!({ "service": plan.deployment.service() });
    let headers = [("authorization".to_owned(), format!("Bearer {key}"))];
    let received = client.call("POST", entry, "/v1/tickets", &headers, body.to_string()).await;
    let answer: Value = serde_json::from_str(&received.text).unwrap_or_default();
    match answer["key"].as_str() {
        Some(ticket) => Ok(ticket.to_owned()),
        None => Err(received),
    }
}

#[allow(clippy::too_many_arguments)]
async fn call_service(
    plan: &LoadPlan,
    client: &Client,
    entry: &str,
    method: &str,
    id: &str,
    key: &str,
    idempotency_key: Option<String>,
    deadline: Duration,
) -> (ClientResponse, Outcome) {
    let mut headers = vec![
        ("authorization".to_owned(), format!("Bearer {key}")),
        ("x-request-id".to_owned(), id.to_owned()),
        ("x-deadline-ms".to_owned(), deadline.as_millis().to_string()),
    ];
    let counted_key = idempotency_key.clone().unwrap_or_else(|| id.to_owned());
    if let Some(idempotency_key) = idempotency_key {
        headers.push(("idempotency-key".to_owned(), idempotency_key));
    }
    let path = format!("/services/{}/receipts/{id}?lang=rw", plan.deployment.service());
    let received = client.call(method, entry, &path, &headers, format!("body of {id}")).await;
    let is_correct = |text: &str| {
        let answer: Value = serde_json::from_str(text).unwrap_or_default();
        let body = answer["body"].as_str() == Some(&format!("body of {id}"));
        body && answer["key"].as_str() == Some(&counted_key) && answer["query"].as_str() == Some("lang=rw")
    };
    let outcome = classify(&received, is_correct, deadline);
    (received, outcome)
}
