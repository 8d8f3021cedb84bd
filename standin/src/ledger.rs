//! Ledger of the load tool. Every request must end with a complete response or with a failure whose statements
//! about execution are true.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::client::ClientResponse;

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete and correct.
    Complete,
    /// The response was an error body.
    Failed {
        /// Error code, or `-` if the body carried none.
        code: String,
        /// Value of the error body's `ran` field, or `-` if the body carried none.
        ran: String,
    },
    /// The response was complete but wrong, such as the response to another request.
    MixedUp,
    /// The connection broke because its entry was killed, suspended or shut down.
    EntryDown,
    /// No response arrived within the deadline, or the response ended early without an error.
    Lost(String),
}

/// Tolerance beyond a deadline within which a response still counts as in time.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(1_000);

/// Returns the outcome of a request from what its client received; `is_correct` tells whether the text is correct.
pub fn classify(received: &ClientResponse, is_correct: impl Fn(&str) -> bool, deadline: Duration) -> Outcome {
    if received.elapsed > deadline + DEADLINE_TOLERANCE {
        return Outcome::Lost(format!("response ended after {} ms, past its deadline", received.elapsed.as_millis()));
    }
    if received.failure.is_some() {
        let ran = received.ran().unwrap_or("-").to_owned();
        return Outcome::Failed { code: received.code().to_owned(), ran };
    }
    if let Some(error) = &received.error {
        return Outcome::Lost(error.clone());
    }
    if !received.is_complete {
        return Outcome::Lost("response ended early without an error".to_owned());
    }
    if is_correct(&received.text) { Outcome::Complete } else { Outcome::MixedUp }
}

/// Record of one request and its outcome.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Index of the entry that the request was sent to.
    pub entry: usize,
    /// Time at which the request was sent.
    pub sent_at: Instant,
    /// Time at which the response ended.
    pub ended_at: Instant,
    /// Name of the workload class.
    pub class: &'static str,
    /// Request id.
    pub id: String,
    /// Prompt tokens; 0 for a plain service call.
    pub tokens: u64,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time to the first token, or to the end of a plain service call's response; `None` for a prompt that was not
    /// streamed.
    pub ttft: Option<Duration>,
    /// Time from sending the request to the end of the response.
    pub duration: Duration,
    /// Time between each token and the one before it.
    pub gaps: Vec<Duration>,
    /// Idempotency key of the call; `None` for prompts and reads.
    pub idempotency_key: Option<String>,
    /// Delay after which the error body allows a retry.
    pub retry_after: Option<Duration>,
}

impl RequestRecord {
    /// Returns whether the outcome violates a guarantee.
    pub fn is_breach(&self) -> bool {
        matches!(self.outcome, Outcome::Lost(_) | Outcome::MixedUp)
    }
}

/// Records of all requests of a run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// One record per request, in the order in which the requests ended.
    pub records: Vec<RequestRecord>,
}

/// Totals of a ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Number of requests sent.
    pub sent: usize,
    /// Number of complete and correct responses.
    pub whole: usize,
    /// Number of error responses, by error code and `ran` value.
    pub failed: BTreeMap<String, usize>,
    /// Number of requests whose entry was killed, suspended or shut down while they were in flight.
    pub entry_down: usize,
    /// Number of requests without a complete response or an error by their deadline.
    pub lost: usize,
    /// Number of complete but wrong responses.
    pub mixed_up: usize,
    /// Number of requests whose key was executed more than once.
    pub doubled: usize,
    /// Number of requests that were executed although their error response states that they were not.
    pub false_no: usize,
}

impl Totals {
    /// Returns whether every guarantee that the ledger can check was kept.
    pub fn is_balanced(&self) -> bool {
        let failed: usize = self.failed.values().sum();
        self.sent == self.whole + failed + self.entry_down
            && self.lost + self.mixed_up + self.doubled + self.false_no == 0
    }
}

impl Ledger {
    /// Computes the totals; `run_counts` holds how often the services executed each key.
    pub fn totals(&self, run_counts: &HashMap<String, u64>) -> Totals {
        let mut totals = Totals { sent: self.records.len(), ..Totals::default() };
        for record in &self.records {
            match &record.outcome {
                Outcome::Complete => totals.whole += 1,
                Outcome::Failed { code, ran } => *totals.failed.entry(format!("{code} ran={ran}")).or_default() += 1,
                Outcome::EntryDown => totals.entry_down += 1,
                Outcome::MixedUp => totals.mixed_up += 1,
                Outcome::Lost(_) => totals.lost += 1,
            }
            let Some(key) = &record.idempotency_key else { continue };
            let ran = run_counts.get(key).copied().unwrap_or(0);
            totals.doubled += usize::from(ran > 1);
            let was_reported_unexecuted = matches!(&record.outcome, Outcome::Failed { ran, .. } if ran == "no");
            totals.false_no += usize::from(was_reported_unexecuted && ran > 0);
        }
        totals
    }
}
