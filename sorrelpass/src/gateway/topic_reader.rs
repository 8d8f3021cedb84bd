//! Reads one topic of the store, with growing delays after failed calls.

use std::time::Duration;

use coord::offset::Formatted;
use coord::progress::Answer;
use coord::read_size::ReadSize;
use coord::retry_delay::RetryDelay;
use coord::time::Moment;
use eyre::Result;
use platform::store::{self, Client, CompactedTopic, KeyedRecord, Read, ReadBounds};

use super::now;
use super::state::Gateway;
use super::store_reader;
use super::topic::TopicState;
use crate::{event, metric, warn_event};

/// Bounds the time for a response of the store, which normally takes a few milliseconds, and 60 times as long
/// while the store is slow.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bounds how often the response timeout is doubled for the read of a snapshot.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// Delay after the first failed call.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Retry delay after failed calls. A failed call costs as much as a successful one, and one second is short
/// compared with an outage.
const RETRY_DELAY: RetryDelay = RetryDelay { initial: MIN_RETRY_DELAY, max: Duration::from_millis(1_000) };
/// Retry delay before the first snapshot, without which the entry cannot serve requests: some response times of the
/// store.
const INITIAL_RETRY_DELAY: RetryDelay =
    RetryDelay { initial: Duration::from_millis(50), max: Duration::from_millis(200) };
/// Retry delay of a follower, which gets the data from its leader once the store has recovered.
const FOLLOWER_RETRY_DELAY: RetryDelay =
    RetryDelay { initial: Duration::from_millis(400), max: Duration::from_millis(2_000) };
/// Bounds the failed calls per second of all followers together, for each topic. The calls do not stop, because one
/// follower may be the only entry that the store answers. With this bound, 103 entries make half as many calls in an
/// outage of 8 s as with independent retry delays.
const MAX_FOLLOWER_CALLS_PER_S: f64 = 16.0;

/// Records that one read of a topic returned.
pub struct RecordBatch {
    /// Records in the order of the log.
    pub records: Vec<KeyedRecord>,
    /// Part of the log that they cover.
    pub answer: Answer,
}

/// Result of a read from an offset on.
pub enum LogRead {
    /// The records from that offset on.
    Records(RecordBatch),
    /// The log cannot be read from that offset: the newest records must be read instead.
    Lost,
    /// The store answered with an older state, which verifies nothing.
    Outdated,
}

/// Reads one topic of the store, and logs the start and the end of each outage once.
pub struct TopicReader {
    topic_name: &'static str,
    client: Client,
    /// Era of the store's last response. A new era begins when the store recovers from an older copy.
    era: u64,
    /// Number of consecutive failed calls.
    failures: u32,
    /// Size of the parts in which the log is read.
    size: ReadSize,
}

impl TopicReader {
    /// Creates a reader of the topic `topic_name`. Makes no call.
    pub fn new(gateway: &Gateway, topic_name: &'static str) -> Self {
        Self { topic_name, client: Client::new(gateway.settings.store), era: 0, failures: 0, size: ReadSize::default() }
    }

    /// Returns whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the rest of the log takes long, by the parts that were read or timed out.
    pub fn is_slow(&self) -> bool {
        self.size.is_slow()
    }

    /// Records the outcome of a call. Returns whether the call succeeded after failed ones.
    pub fn record_outcome<T>(&mut self, outcome: &Result<T>) -> bool {
        let was_failing = self.is_failing();
        let era = self.client.era();
        if era != self.era {
            event!("store-era", topic = self.topic_name, era, before = self.era);
            self.era = era;
        }
        match outcome {
            Ok(_) => {
                self.failures = 0;
                if was_failing {
                    event!("store-regained", topic = self.topic_name);
                }
                was_failing
            }
            Err(error) => {
                if !was_failing {
                    warn_event!("store-lost", topic = self.topic_name, error = %format!("{error:#}"));
                }
                self.failures += 1;
                false
            }
        }
    }

    /// Waits before a failed call for `topic` is retried. A follower waits longer, since it will get the data from
    /// its leader; an entry without any data waits shorter.
    pub async fn back_off(&self, gateway: &Gateway, topic: &TopicState) {
        let retry_delay = match topic.age() {
            _ if gateway.admission.has_leader() => {
                FOLLOWER_RETRY_DELAY.shared_among(gateway.entry_count(), MAX_FOLLOWER_CALLS_PER_S)
            }
            None => INITIAL_RETRY_DELAY,
            // Each failed call of a leader delegates a read to followers, at least as often as the leader itself
            // would read.
            Some(_) if !gateway.admission.is_standalone() => RetryDelay {
                max: RETRY_DELAY.max.min(store_reader::replicas_read_interval(&gateway.bounds())),
                ..RETRY_DELAY
            },
            Some(_) => RETRY_DELAY,
        };
        let delay = retry_delay.delay(self.failures);
        // The jitter keeps entries that restart together after a power loss from calling the store at the same time.
        gateway.store_view.sleep_until_woken(delay.mul_f64(rand::random_range(0.75..1.25))).await;
    }

    /// Reads the records from the offset `from` on, or a part of them. If there are none, the store holds the call for up
    /// to `wait`.
    pub async fn read_from(&mut self, from: u64, wait: Duration) -> Result<LogRead> {
        metric::record_store_calls("read", self.topic_name, 1);
        let sent_at = now();
        let (timeout, max_kib) = (self.size.timeout(RESPONSE_TIMEOUT), self.size.max_kib());
        let outcome = self.client.read(self.topic_name, from, ReadBounds { wait, timeout, max_kib }).await;
        self.adapt_size(&outcome, sent_at);
        match outcome? {
            Read::Trimmed => {
                event!("store-trimmed", topic = self.topic_name, from = %Formatted(from));
                Ok(LogRead::Lost)
            }
            Read::EraChanged => {
                event!("store-outdated", topic = self.topic_name, from = %Formatted(from));
                Ok(LogRead::Lost)
            }
            Read::Records { end_offset, .. } if end_offset < from => {
                // A response older than the records already read does not verify the copy.
                warn_event!("store-stale", topic = self.topic_name, from = %Formatted(from), end = %Formatted(end_offset));
                tokio::time::sleep(MIN_RETRY_DELAY).await;
                Ok(LogRead::Outdated)
            }
            Read::Records { records, next_offset, end_offset } => {
                let answer = Answer::of_log(sent_at, next_offset, end_offset);
                if answer.is_part() {
                    let (from, next, end) = (Formatted(from), Formatted(next_offset), Formatted(end_offset));
                    event!("store-part", topic = self.topic_name, from = %from, next = %next, end = %end);
                }
                // The same read would follow again and again.
                if answer.is_part() && records.is_empty() && next_offset == from {
                    return Ok(LogRead::Lost);
                }
                Ok(LogRead::Records(RecordBatch { records, answer }))
            }
        }
    }

    /// Adapts the size of the parts to the outcome of a read that was sent at `sent_at`.
    fn adapt_size(&mut self, outcome: &Result<Read>, sent_at: Moment) {
        let before = self.size.max_kib();
        match outcome {
            Err(error) if store::is_timeout(error) => self.size.record_timeout(),
            Ok(Read::Records { next_offset, end_offset, .. }) if next_offset < end_offset => {
                self.size.record_part(now().since(sent_at), RESPONSE_TIMEOUT);
            }
            Ok(_) | Err(_) => {}
        }
        if self.size.max_kib() != before {
            event!("store-part-size", topic = self.topic_name, max_kib = self.size.max_kib().unwrap_or(0));
        }
    }

    /// Reads a snapshot: the newest record of each key. The timeout grows with each failure, because a store that is
    /// slow while many entries read snapshots would only get more load from calls that time out and start over.
    pub async fn read_snapshot(&mut self) -> Result<RecordBatch> {
        let sent_at = now();
        let doubled = RESPONSE_TIMEOUT * 2u32.pow(self.failures.min(MAX_TIMEOUT_DOUBLINGS));
        let timeout = doubled.max(self.size.newest_timeout(RESPONSE_TIMEOUT));
        let outcome = self.client.read_compacted(self.topic_name, timeout).await;
        metric::record_store_calls("newest", self.topic_name, outcome.as_ref().map_or(1, |snapshot| snapshot.pages));
        let snapshot = outcome?;
        log_unreadable_items(self.topic_name, &snapshot);
        Ok(RecordBatch { records: snapshot.records, answer: Answer::of_newest(sent_at, snapshot.end_offset) })
    }
}

/// Logs how many items of a snapshot cannot be decoded, if there are any.
pub fn log_unreadable_items(topic_name: &str, snapshot: &CompactedTopic) {
    if snapshot.unreadable_items > 0 {
        warn_event!("store-unreadable", topic = topic_name, items = snapshot.unreadable_items);
    }
}
