//! Calls to the store for one topic: what they show, and how often a failed one is repeated.

use std::time::Duration;

use eyre::Result;
use platform::store::{Client, Keyed, Read};

use super::state::Gateway;
use super::topic::Topic;
use crate::{event, warn_event};

/// Time for an answer of the store, which takes a few milliseconds and on bad days 60 times that.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Pause after a failed call, at first; doubled with each failure in a row.
pub const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The same before the first picture, without which the entry serves nobody: a few answers of the store.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause before the first picture.
const LONGEST_FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest such pause: every call has a price, also one that fails, and a second is short beside an outage.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);
/// As much longer may an entry wait that will hear from another when the store is back.
const FOLLOWER_PATIENCE: u32 = 2;

/// Records of a topic.
pub struct Page {
    /// The records, in the order of the log.
    pub records: Vec<Keyed>,
    /// The offset to go on from.
    pub next: u64,
}

/// Reads one topic of the store and tells once when it is lost and once when it is back.
pub struct Reader {
    name: &'static str,
    client: Client,
    /// Calls that failed in a row.
    failures: u32,
}

impl Reader {
    /// A reader of the topic `name` whose first call has yet to come.
    pub fn new(gateway: &Gateway, name: &'static str) -> Self {
        Self { name, client: Client::new(gateway.settings.store), failures: 0 }
    }

    /// Whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// Notes how a call ended; returns whether the store came back with it.
    pub fn note<T>(&mut self, outcome: &Result<T>) -> bool {
        let was_lost = self.is_lost();
        match outcome {
            Ok(_) => {
                self.failures = 0;
                if was_lost {
                    event!("store-regained", topic = self.name);
                }
                was_lost
            }
            Err(error) => {
                if !was_lost {
                    warn_event!("store-lost", topic = self.name, error = %format!("{error:#}"));
                }
                self.failures += 1;
                false
            }
        }
    }

    /// Waits before a failed call for `topic` is repeated. Who will hear from another entry waits longer, who knows
    /// nothing yet shorter.
    pub async fn back_off(&self, gateway: &Gateway, topic: &Topic) {
        let (first, longest) = match topic.age() {
            None => (FIRST_PAUSE, LONGEST_FIRST_PAUSE),
            Some(_) if gateway.desk.has_leader() => {
                (RETRY_PAUSE * FOLLOWER_PATIENCE, LONGEST_PAUSE * FOLLOWER_PATIENCE)
            }
            Some(_) => (RETRY_PAUSE, LONGEST_PAUSE),
        };
        let doublings = self.failures.saturating_sub(1).min(8);
        let pause = (first * 2u32.pow(doublings)).min(longest);
        // Entries that lost power together do not come back to the store together.
        gateway.facts.pause(pause.mul_f64(rand::random_range(0.75..1.25))).await;
    }

    /// Reads on from offset `from`; none if the store no longer keeps that, or answers with an older state.
    pub async fn read_on(&mut self, topic: &Topic, from: u64, wait: Duration) -> Result<Option<Page>> {
        match self.client.read(self.name, from, wait, PATIENCE).await? {
            Read::Trimmed => {
                event!("store-trimmed", topic = self.name, from);
                topic.forget();
                Ok(None)
            }
            Read::Records { end, .. } if end < from => {
                // An answer from before what was already read proves nothing.
                warn_event!("store-stale", topic = self.name, from, end);
                tokio::time::sleep(RETRY_PAUSE).await;
                Ok(None)
            }
            Read::Records { records, next, .. } => Ok(Some(Page { records, next })),
        }
    }

    /// Reads the newest record of each key.
    pub async fn read_all(&mut self) -> Result<Page> {
        let whole = self.client.newest(self.name, PATIENCE).await?;
        Ok(Page { records: whole.records, next: whole.end })
    }
}
