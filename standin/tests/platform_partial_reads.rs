//! Reads of the store's log that hold only a part of the records that an entry missed: nothing may follow from them that
//! only the whole log shows, and the rest is read at once.

mod common;

use std::time::{Duration, Instant};

use common::load::lookup as lookup_with_key;
use futures_util::future::join_all;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use standin::platform::{Fault, KEY, NetworkFault, RequestSpec, Site, Spec, Store};

const CONFIGURATION_TOPIC: &str = "keyed.op";
const REPLICAS_TOPIC: &str = "keyed.servers";
const QUARANTINE_TOPIC: &str = "keyed.quarantine";
/// Key that is valid throughout.
const STAYING_KEY: &str = "key-that-stays";
/// Number of records that the entries miss; the last one revokes [`KEY`].
const MISSED: usize = 12;
/// Bound from the revocation of a key until no request with it may run.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time for which the entries are turned away, a little longer than that bound.
const OUTAGE: Duration = Duration::from_millis(3_300);
/// Time for which requests are sent after the outage; the store may turn the entries away again meanwhile.
const OBSERVATION: Duration = Duration::from_millis(2_500);
/// Interval between two requests with each key at each entry.
const INTERVAL: Duration = Duration::from_millis(25);
/// Delay of the store's answers after the outage, and of the calls.
const STORE_DELAY: Duration = Duration::from_millis(10);
/// Heartbeats of 12,000 replicas in a second, and the bytes of one.
const HEARTBEATS_PER_S: f64 = 10_000.0;
const HEARTBEAT_BYTES: usize = 300;
/// Bytes of a configuration that is too large for messages between entries, however they compress it.
const LARGE_BYTES: usize = 400 * 1_024;
/// Time within which entries apply what they can read.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2_000);

fn lookup(id: &str, key: &str) -> RequestSpec {
    RequestSpec::new("GET", "/look/1", id, key).with_header("deadline-ms", "800")
}

/// How the store serves the entries after an outage in which they missed records.
struct Play {
    name: &'static str,
    entries: usize,
    /// Maximum number of records in an answer.
    records_per_read: usize,
    /// Number of reads after which the entries are turned away again, if they are.
    reads: Option<u32>,
    /// Entries that the store serves again.
    served: &'static [usize],
    /// Key of the missed records before the last one.
    record_key: &'static str,
    /// What happens to the store after the observation, before it serves all entries again.
    between: fn(&Store),
}

impl Play {
    const fn lone(name: &'static str, records_per_read: usize, reads: Option<u32>) -> Self {
        Self { name, entries: 1, records_per_read, reads, served: &[0], record_key: "config", between: |_| {} }
    }

    async fn start(&self) -> Site {
        let bounds = format!("revoke_ms = {}", REVOKE_TIMEOUT.as_millis());
        let spec = Spec { entries: self.entries, bounds, has_proxies: true, ..Spec::small(self.name) };
        let site = Site::start(spec).await.expect("the site starts");
        site.configure(&[KEY, STAYING_KEY], |_| {});
        common::wait_until("the keys are known", || async { self.accepts(&site, STAYING_KEY).await }).await;
        site
    }

    /// Returns whether all entries serve a request with this key.
    async fn accepts(&self, site: &Site, key: &str) -> bool {
        self.send(site, key).await.iter().all(|status| *status == 200)
    }

    /// Sends a request with this key to each entry and returns the statuses.
    async fn send(&self, site: &Site, key: &str) -> Vec<u16> {
        let requests: Vec<RequestSpec> =
            (0..self.entries).map(|entry| lookup(&format!("{key}-{entry}"), key)).collect();
        let outcomes = join_all(requests.iter().enumerate().map(|(entry, request)| site.send(entry, request))).await;
        outcomes.iter().map(|outcome| outcome.status).collect()
    }

    /// Lets the entries miss records, of which the last one revokes a key; the store serves them again afterwards.
    async fn miss_revocation(&self, site: &Site) {
        site.store_listeners.iter().for_each(|listener| listener.set_fault(Fault::Unavailable));
        for _ in 1..MISSED {
            match self.record_key {
                "config" => drop(site.configure(&[KEY, STAYING_KEY], |_| {})),
                key => drop(site.store.put(CONFIGURATION_TOPIC, key, "{}")),
            }
        }
        site.configure(&[STAYING_KEY], |_| {});
        tokio::time::sleep(OUTAGE).await;
        site.store.set_records_per_read(self.records_per_read);
        site.proxies.store.iter().for_each(|proxy| proxy.set_fault(NetworkFault::Delay(STORE_DELAY)));
        for listener in self.served.iter().map(|entry| &site.store_listeners[*entry]) {
            match self.reads {
                Some(reads) => listener.set_fault_after_reads(CONFIGURATION_TOPIC, reads, Fault::Unavailable),
                None => listener.set_fault(Fault::None),
            }
        }
    }

    /// Counts the requests with a key that are served during the observation.
    async fn count_served(&self, site: &Site, key: &str) -> usize {
        let started = Instant::now();
        let mut served = 0;
        while started.elapsed() < OBSERVATION {
            let (statuses, ()) = tokio::join!(self.send(site, key), tokio::time::sleep(INTERVAL));
            served += statuses.iter().filter(|status| **status == 200).count();
        }
        served
    }

    async fn run(self) {
        let site = self.start().await;
        self.miss_revocation(&site).await;
        let (revoked, staying) = tokio::join!(self.count_served(&site, KEY), self.count_served(&site, STAYING_KEY));
        let log = site.log(self.served[0]);
        assert_eq!(revoked, 0, "requests with the revoked key ran: {log}");
        let is_in_part = log.contains("step=store-part topic=keyed.op");
        assert_eq!(is_in_part, self.records_per_read < MISSED, "whether an answer held a part: {log}");
        assert!(self.reads.is_some() || staying > 0, "nothing is served after the outage: {log}");
        (self.between)(&site.store);
        self.end(site).await;
    }

    /// Serves all entries again, and checks that they apply what they missed.
    async fn end(&self, site: Site) {
        site.store_listeners.iter().for_each(|listener| listener.set_fault(Fault::None));
        common::wait_until("the other key is accepted", || async { self.accepts(&site, STAYING_KEY).await }).await;
        assert_eq!(self.send(&site, KEY).await, vec![401; self.entries]);
        site.close().expect("no invariant was breached");
    }
}

/// The control: the same outage, after which one answer holds all that was missed.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_revoked_in_an_outage_is_not_accepted_once_the_whole_log_is_read() {
    Play::lone("parts-whole", usize::MAX, None).run().await;
}

/// Guards against a part of the missed records that counts as all of them: a key ran that a later record revokes.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_revoked_in_a_later_part_is_not_accepted() {
    Play::lone("parts-later", 1, None).run().await;
}

/// Guards against the same where the later parts cannot be read for longer than the bound.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_revoked_in_a_part_that_cannot_be_read_is_not_accepted() {
    for reads in [1, 3] {
        Play::lone("parts-lost", 3, Some(reads)).run().await;
    }
}

/// Guards against the same where the parts that were read hold another writer's records alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_revoked_behind_records_of_another_writer_is_not_accepted() {
    Play { record_key: "of-another-writer", ..Play::lone("parts-foreign", 3, Some(1)) }.run().await;
}

/// Guards against a log that does not tell which program ran, which read verified a copy, and under which verification a
/// request was let through.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_tells_the_verification_under_which_a_request_ran() {
    let play = Play::lone("parts-log", 3, None);
    let site = play.start().await;
    play.miss_revocation(&site).await;
    common::wait_until("the key is accepted", || async { play.accepts(&site, STAYING_KEY).await }).await;
    let log = site.log(0);
    let values = |step: &str, field: &str| -> Vec<String> {
        let lines = log.lines().filter(|line| line.contains(&format!(" step={step} ")));
        let value = |line: &str| Some(line.split_once(&format!(" {field}="))?.1.split(' ').next()?.to_owned());
        lines.filter_map(value).collect()
    };
    let sources = values("start", "sources");
    assert!(sources.len() == 1 && sources[0].len() == 16, "{sources:?}: {log}");
    // Two configurations were written before the outage.
    let end = (2 + MISSED).to_string();
    let verified = values("verified", "end");
    assert_eq!(verified.last(), Some(&end), "{log}");
    assert_eq!(values("request", "proof_end").last(), Some(&end), "{log}");
    assert!(verified.len() < 8, "a line for each read: {verified:?}");
    site.close().expect("no invariant was breached");
}

/// Guards against a part that one entry read and that all entries take for the whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_one_entry_read_verifies_no_entry() {
    for served in [&[0][..], &[1], &[0, 1, 2]] {
        Play { entries: 3, served, ..Play::lone("parts-peers", 3, Some(1)) }.run().await;
    }
}

/// Guards against a part that an entry passes on as the whole to one that starts, or that starts itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_verifies_no_entry_that_starts() {
    for restarted in [0, 1] {
        let play = Play { entries: 2, ..Play::lone("parts-start", 3, Some(1)) };
        let mut site = play.start().await;
        play.miss_revocation(&site).await;
        common::wait_until("a part is read", || async { site.log(0).contains("step=store-part") }).await;
        site.restart(restarted).await.expect("the entry starts");
        assert_eq!(play.count_served(&site, KEY).await, 0, "entry {restarted} restarted: {}", site.log(1));
        play.end(site).await;
    }
}

/// Guards against a copy that goes on from a part although the log lost the rest, or was recovered from an older copy.
#[tokio::test(flavor = "multi_thread")]
async fn the_newest_records_count_where_the_rest_is_lost_between_two_parts() {
    let compact: fn(&Store) = |store| store.compact(CONFIGURATION_TOPIC);
    let recover: fn(&Store) = |store| store.restore(store.snapshot());
    for between in [compact, recover] {
        Play { between, ..Play::lone("parts-between", 1, Some(3)) }.run().await;
    }
}

/// Guards against an entry that refuses everything while configurations come faster than it reads them, since it never
/// meets the end of the log.
#[tokio::test(flavor = "multi_thread")]
async fn in_a_storm_of_configurations_nothing_is_refused() {
    let play = Play::lone("parts-storm", 1, None);
    let site = play.start().await;
    site.store.set_records_per_read(play.records_per_read);
    site.proxies.store.iter().for_each(|proxy| proxy.set_fault(NetworkFault::Delay(STORE_DELAY)));
    let storm = async {
        // One call takes longer than the time between two configurations.
        for _ in 0..300 {
            site.configure(&[STAYING_KEY], |_| {});
            tokio::time::sleep(Duration::from_millis(14)).await;
        }
    };
    let requests = async {
        for _ in 0..200 {
            assert_eq!(play.send(&site, STAYING_KEY).await, [200], "{}", site.log(0));
            tokio::time::sleep(INTERVAL).await;
        }
    };
    tokio::join!(storm, requests);
    assert!(site.log(0).contains("step=store-part"), "every answer was whole");
    site.close().expect("no invariant was breached");
}

/// Guards against a read that is repeated without end because its answer holds no record although the log has more.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_without_records_is_not_the_whole_log() {
    let play = Play::lone("parts-empty", 0, None);
    let site = play.start().await;
    site.store.set_records_per_read(play.records_per_read);
    site.configure(&[STAYING_KEY], |_| {});
    site.store.put(REPLICAS_TOPIC, "plain-0", "");
    tokio::time::sleep(APPLY_TIMEOUT).await;
    assert_eq!((play.send(&site, KEY).await, play.send(&site, STAYING_KEY).await), (vec![401], vec![200]));
    assert!(site.log(0).contains("step=replica peer=plain-0 standing=gone"), "{}", site.log(0));
    let calls = site.store_listeners[0].call_count();
    tokio::time::sleep(APPLY_TIMEOUT).await;
    assert!(site.store_listeners[0].call_count() - calls < 100, "the store is read without a pause");
    site.close().expect("no invariant was breached");
}

/// Guards against an outage that counts as over with the first part: replicas whose records vanished in it, and came
/// back, get requests until the whole log is read.
#[tokio::test(flavor = "multi_thread")]
async fn records_that_vanished_in_an_outage_are_missed_only_once_the_whole_log_is_read() {
    let bounds = "drain_ms = 400".to_owned();
    let spec = Spec { entries: 1, has_proxies: true, bounds, ..Spec::small("parts-vanished") };
    let site = Site::start(spec).await.expect("the site starts");
    common::wait_until("a request is served", || async { site.send(0, &lookup("first", KEY)).await.status == 200 })
        .await;
    site.store_listeners[0].set_fault(Fault::Unavailable);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let beat = |count: usize| {
        for _ in 0..count {
            site.store.put(REPLICAS_TOPIC, "engine-0", site.engines[0].store_record("advisor", "ready"));
        }
    };
    beat(60);
    for replica in &site.plain_replicas {
        site.store.put(REPLICAS_TOPIC, &replica.id, "");
    }
    beat(20);
    site.write_replica_records();
    site.store.set_records_per_read(1);
    // 60 answers take longer than the time for which missing records count as expired.
    site.proxies.store[0].set_fault(NetworkFault::Delay(Duration::from_millis(25)));
    site.store_listeners[0].set_fault(Fault::None);
    for number in 0..240 {
        let outcome = site.send(0, &lookup(&format!("vanished-{number}"), KEY)).await;
        assert_eq!(outcome.status, 200, "request {number}: {}", site.log(0));
    }
    assert!(site.log(0).contains("standing=lapsed"), "the removals were not read: {}", site.log(0));
    site.close().expect("no invariant was breached");
}

/// Guards against a pause after each part, in which replicas that began to drain long ago get requests.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_drain_behind_many_heartbeats_get_no_requests() {
    for records_per_read in [usize::MAX, 1] {
        let bounds = "drain_ms = 2000".to_owned();
        let spec = Spec { plain_replicas: 4, bounds, ..Spec::small("parts-drain") };
        let site = Site::start(spec).await.expect("the site starts");
        site.store.set_records_per_read(records_per_read);
        for _ in 0..15 {
            site.write_replica_records();
        }
        let draining = &site.plain_replicas[1..];
        for replica in draining {
            site.store.put(REPLICAS_TOPIC, &replica.id, replica.store_record("ledger", "draining"));
        }
        tokio::time::sleep(Duration::from_millis(2_200)).await;
        let received = || draining.iter().map(|replica| replica.received_requests().len()).sum::<usize>();
        let before = received();
        for number in 0..100 {
            let request = lookup_with_key(&format!("drained-{number}"));
            assert_eq!(site.send(number % 2, &request).await.status, 200, "{records_per_read} records a read");
        }
        assert_eq!(received() - before, 0, "{records_per_read} records a read: {}", site.log(0));
        site.close().expect("no invariant was breached");
    }
}

/// Guards against a part that is read again for ever because its last configuration cannot be decoded.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_behind_one_that_cannot_be_decoded_is_in_force() {
    // Whole answers are the control.
    for records_per_read in [usize::MAX, 1] {
        let play = Play::lone("parts-undecodable", records_per_read, None);
        let site = play.start().await;
        site.store.set_records_per_read(play.records_per_read);
        for _ in 0..3 {
            site.store.put(CONFIGURATION_TOPIC, "config", "not a configuration");
        }
        site.configure(&[STAYING_KEY], |_| {});
        tokio::time::sleep(APPLY_TIMEOUT).await;
        assert_eq!((play.send(&site, KEY).await, play.send(&site, STAYING_KEY).await), (vec![401], vec![200]));
        site.close().expect("no invariant was breached");
    }
}

/// Guards against a part of the quarantine's topic that counts as all of it: evidence of this entry took the place of
/// another entry's verdict that was in the rest.
#[tokio::test(flavor = "multi_thread")]
async fn evidence_does_not_replace_a_verdict_that_is_still_unread() {
    // Whole answers are the control.
    for records_per_read in [usize::MAX, 1] {
        let spec = Spec { entries: 1, has_proxies: true, ..Spec::small("parts-verdict") };
        let site = Site::start(spec).await.expect("the site starts");
        site.plain_replicas.iter().for_each(|replica| replica.crash_on("fatal", Duration::from_millis(300)));
        let send_fatal = async |id: &str| {
            site.send(0, &RequestSpec { body: "fatal".into(), ..lookup(id, KEY) }).await;
            tokio::time::sleep(INTERVAL * 12).await;
        };
        for number in 0..10 {
            send_fatal(&format!("fatal-{number}")).await;
        }
        let [key] = &site.store.keys(QUARANTINE_TOPIC)[..] else { panic!("{}", site.log(0)) };
        let verdict = site.store.value(QUARANTINE_TOPIC, key).expect("the verdict is in the store");
        site.store.put(QUARANTINE_TOPIC, key, "");
        let lifted = || async { site.log(0).contains("step=quarantine-lifted") };
        common::wait_until("the verdict is lifted", lifted).await;
        site.store_listeners[0].set_fault(Fault::Unavailable);
        send_fatal("evidence").await;
        for number in 0..30 {
            site.store.put(QUARANTINE_TOPIC, &format!("of-another-writer-{number}"), "{}");
        }
        site.store.put(QUARANTINE_TOPIC, key, verdict);
        let before = site.log(0).len();
        site.store.set_records_per_read(records_per_read);
        site.proxies.store[0].set_fault(NetworkFault::Delay(STORE_DELAY));
        site.store_listeners[0].set_fault(Fault::None);
        tokio::time::sleep(OUTAGE).await;
        let log = site.log(0);
        let since = &log[before..];
        let is_in_part = since.contains("step=store-part topic=keyed.quarantine");
        assert_eq!(is_in_part, records_per_read == 1, "whether an answer held a part: {since}");
        let written = since.lines().filter(|line| line.contains("step=quarantine-written"));
        let replaced: Vec<&str> = written.filter(|line| line.contains("condemned=false")).collect();
        assert!(replaced.is_empty(), "{replaced:?}");
        site.close().expect("no invariant was breached");
    }
}

/// Guards against a copy that falls behind because heartbeats alone fill more than one answer between two reads: 12,000
/// replicas, each with a record every 1.2 s.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_drains_among_12_000_others_gets_no_requests() {
    let bounds = "drain_ms = 2000".to_owned();
    let spec = Spec { entries: 1, plain_replicas: 4, bounds, ..Spec::small("parts-many") };
    let site = Site::start(spec).await.expect("the site starts");
    let record = site.engines[0].store_record("another-service", "ready");
    // The fields that the platform writes beside those of the stand-in's replicas.
    let record =
        record.replacen('{', &format!("{{\"sequence\":\"{}\",", "9".repeat(HEARTBEAT_BYTES - record.len())), 1);
    let beat = async |duration: Duration| {
        let started = Instant::now();
        let mut written = 0;
        while started.elapsed() < duration {
            let due = (started.elapsed().as_secs_f64() * HEARTBEATS_PER_S) as usize;
            for number in written..due {
                site.store.put(REPLICAS_TOPIC, &format!("other-{}", number % 12_000), record.clone());
            }
            written = due;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    beat(Duration::from_secs(8)).await;
    let draining = &site.plain_replicas[1..];
    for replica in draining {
        site.store.put(REPLICAS_TOPIC, &replica.id, replica.store_record("ledger", "draining"));
    }
    beat(Duration::from_millis(2_200)).await;
    let received = || draining.iter().map(|replica| replica.received_requests().len()).sum::<usize>();
    let before = received();
    let requests = async {
        for number in 0..100 {
            let outcome = site.send(0, &lookup_with_key(&format!("among-{number}"))).await;
            assert_eq!(outcome.status, 200, "{outcome:?}");
        }
    };
    tokio::join!(beat(Duration::from_secs(2)), requests);
    assert!(site.log(0).contains("step=store-part topic=keyed.servers"), "every answer was whole");
    assert_eq!(received() - before, 0, "requests reached replicas that drain");
    site.close().expect("no invariant was breached");
}

/// Guards against a pause after each part at an entry whose leader sends it no configuration because its difference to
/// the one before is too large.
#[tokio::test(flavor = "multi_thread")]
async fn configurations_too_large_for_the_leader_to_send_are_read_without_a_pause() {
    // Whole answers are the control.
    for records_per_read in [usize::MAX, 1] {
        let play = Play { entries: 2, ..Play::lone("parts-large", records_per_read, None) };
        let site = play.start().await;
        site.store.set_records_per_read(play.records_per_read);
        let mut rng = SmallRng::seed_from_u64(1);
        let mut configure = |keys: &[&str]| {
            let padding: String = (0..LARGE_BYTES / 16).map(|_| format!("{:016x}", rng.random::<u64>())).collect();
            site.configure(keys, |config| config["padding"] = json!(padding));
        };
        for _ in 1..MISSED {
            configure(&[KEY, STAYING_KEY]);
        }
        configure(&[STAYING_KEY]);
        tokio::time::sleep(APPLY_TIMEOUT).await;
        let logs = [site.log(0), site.log(1)];
        let is_in_part = logs.iter().any(|log| log.contains("step=store-part topic=keyed.op"));
        assert!(is_in_part || records_per_read > 1, "every answer was whole");
        assert_eq!(play.send(&site, KEY).await, [401, 401], "{logs:?}");
        site.close().expect("no invariant was breached");
    }
}
