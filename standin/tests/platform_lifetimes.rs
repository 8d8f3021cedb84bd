//! A replica that starts again under its identity, and records that another writer made.

use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::{Value, json};
use standin::platform::{RequestSpec, KEY, Outcome, Site, Spec};

/// Time for news in the store to be known at both entries: the records are read four times in 2 s.
const KNOWN: Duration = Duration::from_millis(1_500);
/// How often a log is looked at meanwhile.
const LOOK: Duration = Duration::from_millis(20);
const TOPIC: &str = "keyed.servers";

fn prompt(id: &str) -> RequestSpec {
    RequestSpec::new("POST", "/prompt/1", id, KEY).with_header("token-usage", "500,400").with_header("deadline-ms", "2500")
}

/// The record of an engine with some fields changed.
fn record(site: &Site, engine: usize, state: &str, change: impl FnOnce(&mut Value)) -> String {
    let mut record: Value = serde_json::from_str(&site.engines[engine].store_record("advisor", state)).expect("JSON");
    change(&mut record);
    record.to_string()
}

fn announce(site: &Site, engine: usize, state: &str, born: u64) {
    let record = record(site, engine, state, |record| record["born"] = json!(born));
    site.store.put(TOPIC, &site.engines[engine].id, record);
}

async fn served(site: &Site, id: &str) -> bool {
    let mut served = 0;
    for entry in 0..site.addresses.len() {
        let seen: Outcome = site.send(entry, &prompt(&format!("{id}-{entry}"))).await;
        served += usize::from(seen.status == 200 && seen.is_complete);
    }
    assert!(served == 0 || served == site.addresses.len(), "the entries disagree");
    served > 0
}

#[tokio::test(flavor = "multi_thread")]
async fn an_end_that_an_earlier_run_announced_does_not_bind_the_next() {
    let site = Site::start(Spec { engines: 1, ..Spec::small("lifetimes-end") }).await.expect("the site starts");
    announce(&site, 0, "ready", 1_000);
    tokio::time::sleep(KNOWN).await;
    assert!(served(&site, "first").await);
    announce(&site, 0, "draining", 1_000);
    tokio::time::sleep(KNOWN).await;
    assert!(!served(&site, "leaving").await);
    // Within one run an announced end is final.
    announce(&site, 0, "ready", 1_000);
    tokio::time::sleep(KNOWN).await;
    assert!(!served(&site, "same-run").await);
    announce(&site, 0, "ready", 2_000);
    tokio::time::sleep(KNOWN).await;
    assert!(served(&site, "next-run").await);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn late_word_of_an_earlier_run_changes_nothing() {
    let site = Site::start(Spec { engines: 1, ..Spec::small("lifetimes-late") }).await.expect("the site starts");
    announce(&site, 0, "ready", 2_000);
    tokio::time::sleep(KNOWN).await;
    announce(&site, 0, "draining", 1_000);
    tokio::time::sleep(KNOWN).await;
    assert!(served(&site, "younger").await);
    announce(&site, 0, "draining", 2_000);
    announce(&site, 0, "ready", 1_000);
    tokio::time::sleep(KNOWN).await;
    assert!(!served(&site, "ended").await);
    site.close().expect("no invariant was breached");
}

/// Makes an odd record of a sound one.
type Make = Box<dyn Fn(Value) -> Bytes>;

/// Records that no replica of ours writes, by what is odd about them; each is made from the sound record of an engine.
fn odd_records() -> Vec<(String, Make)> {
    let mut odd: Vec<(String, Make)> = vec![
        ("no JSON".into(), Box::new(|_| "{".into())),
        ("no text".into(), Box::new(|_| Bytes::from_static(&[0xff, 0xfe, 0]))),
        ("a list".into(), Box::new(|_| "[1, 2]".into())),
        ("a number".into(), Box::new(|_| "7".into())),
        ("a million characters".into(), Box::new(|_| "x".repeat(1_000_000).into())),
    ];
    for field in ["service", "address", "zone", "version", "slots", "state", "sequence"] {
        odd.push((
            format!("no {field}"),
            Box::new(move |mut record| {
                record.as_object_mut().expect("an object").remove(field);
                record.to_string().into()
            }),
        ));
        for value in [json!(null), json!(true), json!([]), json!({}), json!(-1), json!(1.5)] {
            odd.push(changed(field, value));
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
    odd.extend(values.map(|(field, value)| changed(field, value)));
    odd
}

/// A record with one field changed.
fn changed(field: &'static str, value: Value) -> (String, Make) {
    let label = format!("{field} {value}");
    let make = move |mut record: Value| {
        record[field] = value.clone();
        Bytes::from(record.to_string())
    };
    (label, Box::new(make))
}

/// Waits until an entry has logged that an engine is ready.
async fn wait_ready(site: &Site, entry: usize, engine: usize) {
    let begun = Instant::now();
    while logged(site, entry, engine, "ready") == 0 {
        assert!(begun.elapsed() < KNOWN, "entry {entry} never heard of engine {engine}: {}", site.log(entry));
        tokio::time::sleep(LOOK).await;
    }
}

/// How often an entry logged that an engine has a standing.
fn logged(site: &Site, entry: usize, engine: usize, standing: &str) -> usize {
    site.log(entry).matches(&format!("peer=engine-{engine} standing={standing}\n")).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_record_of_another_writer_names_no_replica_and_costs_no_other_until_the_replica_writes_again() {
    let odd = odd_records();
    let sound = odd.len();
    let mut site = Site::start(Spec { engines: sound + 1, is_verbose: true, ..Spec::small("lifetimes-odd") })
        .await
        .expect("the site starts");
    // An entry can stop believing only in a replica that it has heard of.
    for entry in 0..2 {
        for engine in 0..sound {
            wait_ready(&site, entry, engine).await;
        }
    }
    site.store.put_raw(TOPIC, &[0xff, 0xfe], "{}");
    site.store.put_raw(TOPIC, b"", "{}");
    for (engine, (_, make)) in odd.iter().enumerate() {
        let own = serde_json::from_str(&record(&site, engine, "ready", |_| {})).expect("JSON");
        site.store.put(TOPIC, &site.engines[engine].id, make(own));
    }
    tokio::time::sleep(KNOWN).await;
    for entry in 0..2 {
        for (engine, (label, _)) in odd.iter().enumerate() {
            assert_eq!(logged(&site, entry, engine, "unusable"), 1, "entry {entry}: {label}");
        }
    }
    let ran = |site: &Site| site.engines[..sound].iter().map(|engine| engine.received_requests().len()).sum::<usize>();
    for number in 0..8 {
        assert!(served(&site, &format!("odd-{number}")).await);
    }
    assert_eq!(ran(&site), 0);
    // A process that reads all of it anew.
    site.restart(0).await.expect("the entry starts again");
    site.wait_ready(0, true).await.expect("the entry is ready");
    for number in 0..8 {
        assert!(served(&site, &format!("anew-{number}")).await);
    }
    assert_eq!(ran(&site), 0);
    let before: Vec<usize> = (0..sound).map(|engine| logged(&site, 1, engine, "ready")).collect();
    (0..sound).for_each(|engine| announce(&site, engine, "ready", 1_000));
    tokio::time::sleep(KNOWN).await;
    for (engine, (label, _)) in odd.iter().enumerate() {
        assert_eq!(logged(&site, 1, engine, "ready"), before[engine] + 1, "after {label}");
    }
    site.close().expect("no invariant was breached");
}
