//! Replicas that restart under the same ID, and records from other writers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::{Value, json};
use standin::platform::{KEY, Outcome, RequestSpec, Site, Spec};

/// Time within which both entries know of a change in the store; the records are read four times in 2 s.
const APPLY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between two reads of a log.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(20);
const TOPIC: &str = "keyed.servers";

fn prompt(id: &str) -> RequestSpec {
    RequestSpec::new("POST", "/prompt/1", id, KEY)
        .with_header("token-usage", "500,400")
        .with_header("deadline-ms", "2500")
}

/// The record of an engine with some fields changed.
fn edited_record(site: &Site, engine: usize, state: &str, change: impl FnOnce(&mut Value)) -> String {
    let mut record: Value = serde_json::from_str(&site.engines[engine].store_record("advisor", state)).expect("JSON");
    change(&mut record);
    record.to_string()
}

fn announce(site: &Site, engine: usize, state: &str, born: u64) {
    let record = edited_record(site, engine, state, |record| record["born"] = json!(born));
    site.store.put(TOPIC, &site.engines[engine].id, record);
}

async fn is_served(site: &Site, id: &str) -> bool {
    let mut served = 0;
    for entry in 0..site.addresses.len() {
        let outcome: Outcome = site.send(entry, &prompt(&format!("{id}-{entry}"))).await;
        served += usize::from(outcome.status == 200 && outcome.is_complete);
    }
    assert!(served == 0 || served == site.addresses.len(), "the entries disagree");
    served > 0
}

#[tokio::test(flavor = "multi_thread")]
async fn a_termination_announced_by_an_earlier_run_does_not_apply_to_the_next() {
    let site = Site::start(Spec { engines: 1, ..Spec::small("lifetimes-end") }).await.expect("the site starts");
    announce(&site, 0, "ready", 1_000);
    tokio::time::sleep(APPLY_TIMEOUT).await;
    assert!(is_served(&site, "first").await);
    announce(&site, 0, "draining", 1_000);
    tokio::time::sleep(APPLY_TIMEOUT).await;
    assert!(!is_served(&site, "leaving").await);
    // An announced termination is final within one run.
    announce(&site, 0, "ready", 1_000);
    tokio::time::sleep(APPLY_TIMEOUT).await;
    assert!(!is_served(&site, "same-run").await);
    announce(&site, 0, "ready", 2_000);
    tokio::time::sleep(APPLY_TIMEOUT).await;
    assert!(is_served(&site, "next-run").await);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_record_of_an_earlier_run_changes_nothing() {
    let site = Site::start(Spec { engines: 1, ..Spec::small("lifetimes-late") }).await.expect("the site starts");
    announce(&site, 0, "ready", 2_000);
    tokio::time::sleep(APPLY_TIMEOUT).await;
    announce(&site, 0, "draining", 1_000);
    tokio::time::sleep(APPLY_TIMEOUT).await;
    assert!(is_served(&site, "younger").await);
    announce(&site, 0, "draining", 2_000);
    announce(&site, 0, "ready", 1_000);
    tokio::time::sleep(APPLY_TIMEOUT).await;
    assert!(!is_served(&site, "ended").await);
    site.close().expect("no invariant was breached");
}

/// Turns a valid record into an unusable one.
type RecordMutation = Box<dyn Fn(Value) -> Bytes>;

/// Returns records that no replica writes, each with a label for its fault; each is made from the valid record of an
/// engine.
fn unusable_records() -> Vec<(String, RecordMutation)> {
    let mut unusable: Vec<(String, RecordMutation)> = vec![
        ("no JSON".into(), Box::new(|_| "{".into())),
        ("no text".into(), Box::new(|_| Bytes::from_static(&[0xff, 0xfe, 0]))),
        ("a list".into(), Box::new(|_| "[1, 2]".into())),
        ("a number".into(), Box::new(|_| "7".into())),
        ("a million characters".into(), Box::new(|_| "x".repeat(1_000_000).into())),
    ];
    for field in ["service", "address", "zone", "version", "slots", "state", "sequence"] {
        unusable.push((
            format!("no {field}"),
            Box::new(move |mut record| {
                record.as_object_mut().expect("an object").remove(field);
                record.to_string().into()
            }),
        ));
        for value in [json!(null), json!(true), json!([]), json!({}), json!(-1), json!(1.5)] {
            unusable.push(field_mutation(field, value));
        }
    }
    let values = [
        ("state", json!("resting")),
        ("state", json!("")),
        ("address", json!("")),
        ("address", json!("nowhere")),
        ("address", json!("127.0.0.1")),
        ("service", json!("")),
        ("slots", json!(u64::MAX)),
        ("slots", json!("16")),
        ("born", json!("2000")),
        ("born", json!(1.5)),
        ("born", json!(-5)),
    ];
    unusable.extend(values.map(|(field, value)| field_mutation(field, value)));
    unusable
}

/// Returns a label and a mutation that sets one field.
fn field_mutation(field: &'static str, value: Value) -> (String, RecordMutation) {
    let label = format!("{field} {value}");
    let mutate = move |mut record: Value| {
        record[field] = value.clone();
        Bytes::from(record.to_string())
    };
    (label, Box::new(mutate))
}

/// Waits until an entry has logged that an engine is ready.
async fn wait_ready(site: &Site, entry: usize, engine: usize) {
    let started = Instant::now();
    while count_logged(site, entry, engine, "ready") == 0 {
        assert!(
            started.elapsed() < APPLY_TIMEOUT,
            "entry {entry} never logged engine {engine} as ready: {}",
            site.log(entry)
        );
        tokio::time::sleep(LOG_POLL_INTERVAL).await;
    }
}

/// Returns how often an entry logged that an engine has an availability.
fn count_logged(site: &Site, entry: usize, engine: usize, availability: &str) -> usize {
    site.log(entry).matches(&format!("peer=engine-{engine} standing={availability}\n")).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unusable_record_ejects_only_its_replica_until_the_replica_writes_again() {
    let unusable = unusable_records();
    let unusable_count = unusable.len();
    let mut site = Site::start(Spec { engines: unusable_count + 1, is_verbose: true, ..Spec::small("lifetimes-odd") })
        .await
        .expect("the site starts");
    // An entry can eject only a replica that it knows.
    for entry in 0..2 {
        for engine in 0..unusable_count {
            wait_ready(&site, entry, engine).await;
        }
    }
    site.store.put_raw(TOPIC, &[0xff, 0xfe], "{}");
    site.store.put_raw(TOPIC, b"", "{}");
    for (engine, (_, mutate)) in unusable.iter().enumerate() {
        let valid_record = serde_json::from_str(&edited_record(&site, engine, "ready", |_| {})).expect("JSON");
        site.store.put(TOPIC, &site.engines[engine].id, mutate(valid_record));
    }
    tokio::time::sleep(APPLY_TIMEOUT).await;
    for entry in 0..2 {
        for (engine, (label, _)) in unusable.iter().enumerate() {
            assert_eq!(count_logged(&site, entry, engine, "unusable"), 1, "entry {entry}: {label}");
        }
    }
    let received_count = |site: &Site| {
        site.engines[..unusable_count].iter().map(|engine| engine.received_requests().len()).sum::<usize>()
    };
    for number in 0..8 {
        assert!(is_served(&site, &format!("odd-{number}")).await);
    }
    assert_eq!(received_count(&site), 0);
    // The restarted process reads all records again.
    site.restart(0).await.expect("the entry restarts");
    site.wait_ready(0, true).await.expect("the entry is ready");
    for number in 0..8 {
        assert!(is_served(&site, &format!("anew-{number}")).await);
    }
    assert_eq!(received_count(&site), 0);
    let before: Vec<usize> = (0..unusable_count).map(|engine| count_logged(&site, 1, engine, "ready")).collect();
    (0..unusable_count).for_each(|engine| announce(&site, engine, "ready", 1_000));
    tokio::time::sleep(APPLY_TIMEOUT).await;
    for (engine, (label, _)) in unusable.iter().enumerate() {
        assert_eq!(count_logged(&site, 1, engine, "ready"), before[engine] + 1, "after {label}");
    }
    site.close().expect("no invariant was breached");
}
