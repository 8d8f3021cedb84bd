//! Reads of the store's log that the store or the network cannot answer within the time that a call has: the records
//! arrive all the same.

mod common;

use std::time::Duration;

use serde_json::json;
use standin::platform::{Fault, KEY, RequestSpec, Site, Spec};

const REPLICAS_TOPIC: &str = "keyed.servers";
const QUARANTINE_TOPIC: &str = "keyed.quarantine";
/// Key that is valid throughout.
const STAYING_KEY: &str = "key-that-stays";
/// Bound from the revocation of a key until no request with it may run.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Number of configurations that an entry misses, and the bytes of each.
const MISSED: usize = 12;
const CONFIGURATION_BYTES: usize = 180_000;
/// Rates at which the store makes responses: its usual one, and those at which 1,024 KiB take 1.3 s and 3.5 s.
const RATES_BYTES_PER_S: [u64; 3] = [80_000_000, 800_000, 300_000];
/// Rate at which 1,024 KiB take 0.9 s.
const SLOW_RATE_BYTES_PER_S: u64 = 1_200_000;
/// Time within which an entry serves again once the store can be reached (`recovery_s` of the deployments' sheets).
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(50);

async fn start(name: &str, entries: usize) -> Site {
    let bounds = format!("revoke_ms = {}", REVOKE_TIMEOUT.as_millis());
    let site =
        Site::start(Spec { entries, plain_replicas: 4, bounds, ..Spec::small(name) }).await.expect("the site starts");
    site.configure(&[KEY, STAYING_KEY], |_| {});
    common::wait_until("the keys are known", || async { status(&site, 0, STAYING_KEY).await == 200 }).await;
    site
}

/// Sends a request with this key to an entry and returns the status.
async fn status(site: &Site, entry: usize, key: &str) -> u16 {
    let request = RequestSpec::new("GET", "/look/1", key, key).with_header("deadline-ms", "800");
    site.send(entry, &request).await.status
}

/// Writes a configuration that is large and compresses badly.
fn configure(site: &Site, keys: &[&str], seed: u64) {
    let padding: String = (0..CONFIGURATION_BYTES as u64 / 16)
        .map(|index| format!("{:016x}", (index + 1).wrapping_mul(seed * 2 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)))
        .collect();
    site.configure(keys, |config| config["padding"] = json!(padding));
}

fn set_store_fault(site: &Site, fault: Fault) {
    site.store_listeners.iter().for_each(|listener| listener.set_fault(fault));
}

/// Guards against a part of the configuration's log that is given up after the same time again and again: nobody was
/// served until the store was fast again. A key that was revoked meanwhile is never accepted.
#[tokio::test(flavor = "multi_thread")]
async fn configurations_missed_in_an_outage_are_read_from_a_slow_store() {
    for (rate, entries) in RATES_BYTES_PER_S.into_iter().flat_map(|rate| [(rate, 1), (rate, 3)]) {
        let site = start(&format!("slow-configurations-{rate}-{entries}"), entries).await;
        set_store_fault(&site, Fault::TooManyRequests);
        (1..MISSED as u64).for_each(|seed| configure(&site, &[KEY, STAYING_KEY], seed));
        configure(&site, &[STAYING_KEY], MISSED as u64);
        tokio::time::sleep(REVOKE_TIMEOUT).await;
        site.store.set_response_rate(rate);
        set_store_fault(&site, Fault::None);
        let returned = tokio::time::Instant::now();
        for entry in 0..entries {
            while status(&site, entry, STAYING_KEY).await != 200 {
                assert_ne!(status(&site, entry, KEY).await, 200, "the revoked key ran: {}", site.log(entry));
                assert!(returned.elapsed() < RECOVERY_TIMEOUT, "{rate} bytes/s, entry {entry}: {}", site.log(entry));
                tokio::time::sleep(INTERVAL).await;
            }
            assert_eq!(status(&site, entry, KEY).await, 401, "{}", site.log(entry));
        }
        site.close().expect("no invariant was breached");
    }
}

/// Guards against an entry that reads many parts from a store that hardly makes one in time, and refuses everything
/// meanwhile, although the newest configuration is all that counts.
#[tokio::test(flavor = "multi_thread")]
async fn the_newest_configuration_is_read_in_place_of_many_slow_parts() {
    let site = start("slow-parts", 1).await;
    set_store_fault(&site, Fault::TooManyRequests);
    (0..3 * MISSED as u64).for_each(|seed| configure(&site, &[STAYING_KEY], seed));
    tokio::time::sleep(REVOKE_TIMEOUT).await;
    site.store.set_response_rate(SLOW_RATE_BYTES_PER_S);
    set_store_fault(&site, Fault::None);
    common::wait_until("the key is accepted", || async { status(&site, 0, STAYING_KEY).await == 200 }).await;
    assert_eq!(status(&site, 0, KEY).await, 401, "{}", site.log(0));
    let log = site.log(0);
    let parts = log.lines().filter(|line| line.contains("step=store-part topic=keyed.op")).count();
    assert_eq!(parts, 1, "{log}");
    site.close().expect("no invariant was breached");
}

/// Guards against a part of the replicas' records that is given up again and again: replicas that began to drain got
/// requests for as long as the store was slow.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_drain_behind_many_heartbeats_are_known_from_a_slow_store() {
    for rate in RATES_BYTES_PER_S {
        let site = start(&format!("slow-replicas-{rate}"), 1).await;
        set_store_fault(&site, Fault::TooManyRequests);
        let padding = "9".repeat(1_000);
        for _ in 0..1_500 {
            site.store.put(REPLICAS_TOPIC, "of-another-service", padding.clone());
        }
        let draining = &site.plain_replicas[1..];
        for replica in draining {
            site.store.put(REPLICAS_TOPIC, &replica.id, replica.store_record("ledger", "draining"));
        }
        site.store.set_response_rate(rate);
        set_store_fault(&site, Fault::None);
        tokio::time::sleep(RECOVERY_TIMEOUT).await;
        let received = || draining.iter().map(|replica| replica.received_requests().len()).sum::<usize>();
        let before = received();
        for _ in 0..20 {
            status(&site, 0, STAYING_KEY).await;
        }
        assert_eq!(received() - before, 0, "requests reached replicas that drain: {}", site.log(0));
        site.close().expect("no invariant was breached");
    }
}

/// Guards against the same for the quarantine's topic: that a verdict was lifted was never read.
#[tokio::test(flavor = "multi_thread")]
async fn a_lifted_verdict_behind_many_records_is_read_from_a_slow_store() {
    for rate in RATES_BYTES_PER_S {
        let site = start(&format!("slow-quarantine-{rate}"), 1).await;
        site.plain_replicas.iter().for_each(|replica| replica.crash_on("fatal", Duration::from_millis(300)));
        for number in 0..10 {
            let spec = RequestSpec::new("GET", "/look/1", &format!("fatal-{number}"), KEY);
            let spec = RequestSpec { body: "fatal".into(), ..spec.with_header("deadline-ms", "800") };
            site.send(0, &spec).await;
            tokio::time::sleep(INTERVAL * 6).await;
        }
        let [key] = &site.store.keys(QUARANTINE_TOPIC)[..] else { panic!("{}", site.log(0)) };
        set_store_fault(&site, Fault::TooManyRequests);
        for number in 0..30 {
            site.store.put(QUARANTINE_TOPIC, &format!("of-another-writer-{number}"), "9".repeat(60_000));
        }
        site.store.put(QUARANTINE_TOPIC, key, "");
        site.store.set_response_rate(rate);
        set_store_fault(&site, Fault::None);
        tokio::time::sleep(RECOVERY_TIMEOUT).await;
        assert!(site.log(0).contains("step=quarantine-lifted"), "{}", site.log(0));
        site.close().expect("no invariant was breached");
    }
}
