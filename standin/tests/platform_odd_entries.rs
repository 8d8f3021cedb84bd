//! Records that another writer left in the topics of the store, under keys that no other writer has: they name nothing,
//! and the other records hold.

use std::time::Duration;

use serde_json::json;
use standin::platform::{KEY, RequestSpec, Site, Spec};

const TOPIC: &str = "keyed.servers";
/// Topics that entries read: of the replicas, the operators, the entries and the quarantine.
const TOPICS: [&str; 4] = [TOPIC, "keyed.op", "keyed.peers", "keyed.quarantine"];
/// Number of bytes of the longest key.
const MAX_KEY_BYTES: usize = 255;
/// Number of requests that each test sends to each entry.
const REQUESTS: usize = 20;
/// Characters with a meaning of their own in a URL, and ones that cannot stand in it.
const URL_CHARACTERS: [&str; 16] =
    ["&", "+", "#", "%", " ", "%20", "%zz", "?", "=", "/", "\"", "ä", "\0", "\n", "\r\n", "\u{7f}"];
/// Values that no replica writes: nothing that can be read, and records without fields, with other types or states.
const ODD_VALUES: [&str; 4] = ["\u{0}\u{1}", "{}", r#"{"service":7,"address":[]}"#, r#"{"state":"resting"}"#];

/// Keys with each of [`URL_CHARACTERS`] before, among and behind the keys of the replicas.
fn odd_keys() -> Vec<String> {
    let forms = ["{}a", "engine-0{}x", "plain-0{}", "z{}z"];
    let keys = forms.iter().flat_map(|form| URL_CHARACTERS.map(|character| form.replace("{}", character)));
    keys.chain([String::new(), "&".repeat(MAX_KEY_BYTES), "\n".repeat(MAX_KEY_BYTES)]).collect()
}

async fn start_site(name: &str) -> Site {
    Site::start(Spec::small(name)).await.expect("the site starts")
}

async fn restart_all(site: &mut Site) {
    for entry in 0..site.addresses.len() {
        site.restart(entry).await.expect("the entry starts");
    }
    for entry in 0..site.addresses.len() {
        site.wait_ready(entry, true).await.expect("the entry reads the store");
    }
}

/// Sends requests to all entries, and checks that each is served, and by every replica that holds.
async fn assert_all_served(site: &Site) {
    for number in 0..REQUESTS {
        for entry in 0..site.addresses.len() {
            let request = RequestSpec::new("GET", "/look/1", &format!("{entry}-{number}"), KEY)
                .with_header("deadline-ms", "2000");
            let outcome = site.send(entry, &request).await;
            assert_eq!((outcome.status, outcome.is_complete), (200, true), "entry {entry}: {outcome:?}");
        }
    }
    assert!(
        site.plain_replicas.iter().all(|replica| !replica.received_requests().is_empty()),
        "a replica is not known"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn records_under_keys_with_url_characters_do_not_stop_entries_that_start() {
    for topic in TOPICS {
        let mut site = start_site(&format!("odd-keys-{topic}")).await;
        for (index, key) in odd_keys().iter().enumerate() {
            site.store.put(topic, key, ODD_VALUES[index % ODD_VALUES.len()]);
        }
        site.store.compact(topic);
        // Each key is the last one of a page.
        site.store.set_records_per_page(1);
        restart_all(&mut site).await;
        assert_all_served(&site).await;
        site.close().expect("no invariant was breached");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_such_record_at_the_end_of_a_full_page_does_not_stop_entries_that_start() {
    let mut site = start_site("odd-key").await;
    // The keys of the replicas follow on the second page.
    for number in 0..499 {
        site.store.put(TOPIC, &format!("a{number:03}"), "{}");
    }
    for character in URL_CHARACTERS {
        let key = format!("b{character}x");
        site.store.put(TOPIC, &key, "{}");
        restart_all(&mut site).await;
        assert_all_served(&site).await;
        site.store.put(TOPIC, &key, "");
    }
    site.close().expect("no invariant was breached");
}

/// Keys that the header which names the addressed replica cannot carry, or cannot carry unchanged.
const UNSENDABLE_KEYS: [&str; 6] = ["ghost-ä", "ghost-\n", "ghost-\0", "ghost-\r\nx: y", " ghost", "ghost-\u{7f}"];

/// Requests of all routes: a prompt, a call that runs at most once, and one that may be repeated.
fn requests(id: &str, key: &str) -> [RequestSpec; 3] {
    let prompt = RequestSpec::new("POST", "/prompt/1", &format!("{id}-p"), key).with_header("token-usage", "500,400");
    let call = RequestSpec::new("POST", "/pay/1", &format!("{id}-c"), key);
    let lookup = RequestSpec::new("GET", "/look/1", &format!("{id}-l"), key);
    [prompt, call, lookup].map(|request| request.with_header("deadline-ms", "2000"))
}

/// Checks that requests of all routes are served at once and that no entry tries to reach an address that only the odd
/// records name, before and after a restart of all entries.
async fn assert_no_attempt_at_odd_records(mut site: Site) {
    for is_restarted in [false, true] {
        if is_restarted {
            restart_all(&mut site).await;
        }
        for number in 0..REQUESTS {
            for entry in 0..site.addresses.len() {
                for request in requests(&format!("{entry}-{number}-{is_restarted}"), KEY) {
                    let outcome = site.send(entry, &request).await;
                    assert_eq!((outcome.status, outcome.is_complete), (200, true), "{}: {outcome:?}", request.path);
                }
            }
        }
    }
    for entry in 0..site.addresses.len() {
        let log = site.log(entry);
        assert!(!log.contains("step=connect-failed"), "an attempt at an odd record: {log}");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn records_under_keys_that_no_header_carries_name_no_replica() {
    let site = start_site("odd-unsendable").await;
    for key in UNSENDABLE_KEYS {
        for (service, replica) in [("advisor", &site.engines[0]), ("ledger", &site.plain_replicas[0])] {
            site.store.put(TOPIC, &format!("{key}{service}"), replica.store_record(service, "ready"));
        }
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_no_attempt_at_odd_records(site).await;
}

/// A record under a key that holds a blank or a character with a meaning of its own in a URL is another writer's, however
/// sound its fields look: nothing is sent to its address, and so no request is refused for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_record_that_looks_sound_under_a_key_with_url_characters_names_no_replica() {
    let site = start_site("odd-sound").await;
    for (service, replica) in [("advisor", &site.engines[0]), ("ledger", &site.plain_replicas[0])] {
        for character in ["&", "+", "#", "%", " ", "%20"] {
            // Nothing listens on the first address; the second is that of a replica with another name.
            let nobody = replica.store_record(service, "ready").replace(&replica.address, "127.0.0.1:9");
            site.store.put(TOPIC, &format!("a{character}b {service}"), nobody.clone());
            site.store.put(TOPIC, &format!("plain-0{character}{service}"), nobody);
            site.store.put(TOPIC, &format!("d{character}f-{service}"), replica.store_record(service, "ready"));
        }
    }
    site.store.set_records_per_page(1);
    assert_no_attempt_at_odd_records(site).await;
}

/// A list that holds nothing to continue after cannot be read to its end. Entries that know the replicas go on, and so do
/// those that learn them from another entry.
#[tokio::test(flavor = "multi_thread")]
async fn while_a_list_cannot_be_read_entries_that_know_nothing_refuse_and_call_the_store_seldom() {
    let mut site = start_site("odd-unreadable").await;
    site.store.set_records_per_page(1);
    site.store.put_raw(TOPIC, b"a\xff", "{}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_all_served(&site).await;
    restart_all(&mut site).await;
    let calls = || site.store_listeners.iter().map(|listener| listener.call_count()).sum::<u64>();
    let before = calls();
    let observed = Duration::from_secs(3);
    tokio::time::sleep(observed).await;
    // Each entry reads four topics; a failed call is repeated after 50 ms at the least, and soon more seldom.
    let allowed = site.addresses.len() as u64 * 4 * observed.as_millis() as u64 / 50;
    assert!(calls() - before <= allowed, "{} calls, {allowed} allowed", calls() - before);
    for entry in 0..site.addresses.len() {
        for request in requests(&format!("{entry}"), KEY) {
            let outcome = site.send(entry, &request).await;
            assert!(outcome.status == 503 && !outcome.header("retry-after").is_empty(), "{outcome:?}");
        }
        let log = site.log(entry);
        let reports: Vec<_> = log.lines().filter(|line| line.contains("step=store-lost topic=keyed.servers")).collect();
        assert!(!reports.is_empty() && reports.len() <= 2, "{reports:?}");
        assert!(
            reports.iter().all(|line| line.contains("no item of the page has a key to continue after")),
            "{reports:?}"
        );
    }
    site.store.put_raw(TOPIC, b"a\xff", "");
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_all_served(&site).await;
    site.close().expect("no invariant was breached");
}

/// Names of workspaces that no header carries.
const UNSENDABLE_NAMES: [&str; 3] = ["work\nspace", "work\0space", "work\u{7f}space"];
/// Name that a header carries although its characters have meanings of their own elsewhere.
const SENDABLE_NAME: &str = "a&b+c#d%e f, \"g\"";

#[tokio::test(flavor = "multi_thread")]
async fn a_workspace_whose_name_no_header_carries_costs_no_other_workspace_a_replica() {
    let site = start_site("odd-workspaces").await;
    let odd_key = |index: usize| format!("odd-key-{index}");
    site.configure(&[KEY], |config| {
        let names = UNSENDABLE_NAMES.iter().chain([&SENDABLE_NAME]).enumerate();
        let odd = names.map(|(index, name)| json!({ "name": name, "api_keys": [odd_key(index)], "priority": 1 }));
        config["tenants"].as_array_mut().expect("a list").extend(odd);
    });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for number in 0..REQUESTS {
        for entry in 0..site.addresses.len() {
            for (index, name) in UNSENDABLE_NAMES.iter().enumerate() {
                for request in requests(&format!("{entry}-{number}-{index}"), &odd_key(index)) {
                    let outcome = site.send(entry, &request).await;
                    let ran = outcome.header("x-sorrelpass-ran");
                    assert_eq!((outcome.status, ran), (500, "no"), "{name:?} {}: {outcome:?}", request.path);
                }
            }
            for key in [KEY, &odd_key(UNSENDABLE_NAMES.len())] {
                for request in requests(&format!("{entry}-{number}-{key}"), key) {
                    let outcome = site.send(entry, &request).await;
                    assert_eq!((outcome.status, outcome.is_complete), (200, true), "{}: {outcome:?}", request.path);
                }
            }
        }
    }
    for entry in 0..site.addresses.len() {
        let log = site.log(entry);
        let blamed = log.lines().find(|line| line.contains("step=doubt") || line.contains("step=connect-failed"));
        assert_eq!(blamed, None, "a replica is blamed");
    }
    site.close().expect("no invariant was breached");
}
