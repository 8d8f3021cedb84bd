//! The ledger: every request sent must come to a whole answer or an honest failure.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::client::Seen;

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole right answer.
    Whole,
    /// An honest failure, with its code and what it says of whether it ran.
    Failed {
        /// The code.
        code: String,
        /// What it says.
        ran: String,
    },
    /// The answer of somebody else, or a wrong one that claims to be whole.
    MixedUp,
    /// The connection broke because its entry was killed or frozen: nobody is left to answer.
    EntryDown,
    /// No answer within the time allowed, or one that broke off without a word.
    Lost(String),
}

/// Time beyond a deadline within which an answer still counts as in time.
const GRACE: Duration = Duration::from_millis(1_000);

/// Judges what a caller saw.
pub fn judge(seen: &Seen, right: impl Fn(&str) -> bool, deadline: Duration) -> Outcome {
    if seen.took > deadline + GRACE {
        return Outcome::Lost(format!("late: {} ms", seen.took.as_millis()));
    }
    if seen.failure.is_some() {
        let ran = seen.ran().unwrap_or("-").to_owned();
        return Outcome::Failed { code: seen.code().to_owned(), ran };
    }
    if let Some(error) = &seen.error {
        return Outcome::Lost(error.clone());
    }
    if !seen.ended {
        return Outcome::Lost("the answer broke off without a word".to_owned());
    }
    if right(&seen.text) { Outcome::Whole } else { Outcome::MixedUp }
}

/// One request and what became of it.
#[derive(Clone, Debug)]
pub struct Line {
    /// The entry that it was sent to.
    pub entry: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When its answer was over.
    pub ended: Instant,
    /// Its class.
    pub class: &'static str,
    /// Its id.
    pub id: String,
    /// Prompt tokens.
    pub tokens: u64,
    /// What became of it.
    pub outcome: Outcome,
    /// Time to the first token, or to the whole answer of a call; none for a prompt that was not streamed.
    pub ttft: Option<Duration>,
    /// Time to the end.
    pub took: Duration,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// The key under which it may run once.
    pub once: Option<String>,
    /// When the failure said to come back.
    pub retry_after: Option<Duration>,
}

impl Line {
    /// Whether it came to what must never be.
    pub fn is_breach(&self) -> bool {
        matches!(self.outcome, Outcome::Lost(_) | Outcome::MixedUp)
    }
}

/// All requests of a run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// One line a request.
    pub lines: Vec<Line>,
}

/// The ledger's sums.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Sums {
    /// Requests sent.
    pub sent: usize,
    /// Whole answers.
    pub whole: usize,
    /// Honest failures, by code and what they said of whether they ran.
    pub failed: BTreeMap<String, usize>,
    /// Requests whose entry was killed or frozen under them.
    pub entry_down: usize,
    /// Requests without an answer in time.
    pub lost: usize,
    /// Answers that were not the request's own.
    pub mixed_up: usize,
    /// Keys that ran more than once.
    pub doubled: usize,
    /// Requests that were told that they did not run, and ran.
    pub false_no: usize,
}

impl Sums {
    /// Whether every promise that the ledger can tell was kept.
    pub fn balances(&self) -> bool {
        let failed: usize = self.failed.values().sum();
        self.sent == self.whole + failed + self.entry_down
            && self.lost + self.mixed_up + self.doubled + self.false_no == 0
    }
}

impl Ledger {
    /// Adds up, against how often each key ran at the services.
    pub fn sums(&self, runs: &HashMap<String, u64>) -> Sums {
        let mut sums = Sums { sent: self.lines.len(), ..Sums::default() };
        for line in &self.lines {
            match &line.outcome {
                Outcome::Whole => sums.whole += 1,
                Outcome::Failed { code, ran } => *sums.failed.entry(format!("{code} ran={ran}")).or_default() += 1,
                Outcome::EntryDown => sums.entry_down += 1,
                Outcome::MixedUp => sums.mixed_up += 1,
                Outcome::Lost(_) => sums.lost += 1,
            }
            let Some(key) = &line.once else { continue };
            let ran = runs.get(key).copied().unwrap_or(0);
            sums.doubled += usize::from(ran > 1);
            let told_no = matches!(&line.outcome, Outcome::Failed { ran, .. } if ran == "no");
            sums.false_no += usize::from(told_no && ran > 0);
        }
        sums
    }
}
