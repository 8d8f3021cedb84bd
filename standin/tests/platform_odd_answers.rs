//! Answers whose head is no HTTP: callers never get them, and what can be repeated is served by another replica.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::raw_replica::{BODY, ODD_LINES, ODD_STATUSES, PROTOCOL_CHANGE, RawReplica};
use standin::platform::{KEY, Outcome, RequestSpec, Site, Spec};

/// Requests of all routes: a prompt that may be resumed, a call that runs at most once, and one that may be repeated.
fn requests(id: &str) -> [RequestSpec; 3] {
    let prompt = RequestSpec::new("POST", "/prompt/1", &format!("{id}-p"), KEY).with_header("token-usage", "500,400");
    let call = RequestSpec::new("POST", "/pay/1", &format!("{id}-c"), KEY);
    let lookup = RequestSpec::new("GET", "/look/1", &format!("{id}-l"), KEY);
    [prompt, call, lookup].map(|request| request.with_header("deadline-ms", "2000"))
}

/// Starts a site in whose records a replica in trouble stands for one of each service, beside `sound` others.
async fn start_site(name: &str, sound: usize) -> (Site, Arc<RawReplica>) {
    let spec = Spec { entries: 1, engines: 1 + sound, plain_replicas: 1 + sound, ..Spec::small(name) };
    let site = Site::start(spec).await.expect("the site starts");
    let troubled = RawReplica::start("127.0.0.1:0").await;
    for (service, replica) in [("advisor", &site.engines[0]), ("ledger", &site.plain_replicas[0])] {
        let record = replica.store_record(service, "ready").replace(&replica.address, &troubled.address);
        site.store.put("keyed.servers", &replica.id, "");
        site.store.put("keyed.servers", &format!("{}-troubled", replica.id), record);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    (site, troubled)
}

/// Sends a request until the replica in trouble has answered it; entries may pause before they send to it again.
async fn send_to(site: &Site, troubled: &RawReplica, id: &str, request: RequestSpec) -> Outcome {
    for number in 0..100 {
        let before = troubled.answered(&request.path);
        let mut request = request.clone();
        request.headers[0].1 = format!("{id}-{number}");
        let outcome = site.send(0, &request).await;
        if troubled.answered(&request.path) > before {
            return outcome;
        }
        assert!(outcome.status >= 500, "nobody answered: {outcome:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{} reaches no replica", request.path);
}

/// Checks that no caller gets the answer that is set, whatever the route.
async fn assert_not_passed_on(site: &Site, troubled: &RawReplica, id: &str) {
    for request in requests(id) {
        let path = request.path.clone();
        let outcome = send_to(site, troubled, &format!("{id}-{}", &path[1..3]), request).await;
        assert!(outcome.status >= 500 && outcome.status < 600, "{id:?} {path}: {outcome:?}");
        assert!(!outcome.headers.contains_key("response-seal") && !outcome.body.contains(BODY), "{id:?}: {outcome:?}");
        assert!(outcome.headers.keys().all(|name| !name.as_str().contains("odd")), "{id:?}: {outcome:?}");
    }
}

/// Shows that the other tests see an answer if there is one to pass on.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_fault_is_passed_on() {
    let (site, troubled) = start_site("odd-none", 0).await;
    troubled.set_answer("200 OK", Some("odd-name: v"), true);
    for request in requests("n") {
        let outcome = send_to(&site, &troubled, "n", request).await;
        assert_eq!((outcome.status, outcome.header("odd-name"), &*outcome.body), (200, "v", BODY), "{outcome:?}");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_a_status_that_none_has_is_not_passed_on() {
    let (site, troubled) = start_site("odd-status", 0).await;
    for (number, status) in ODD_STATUSES.iter().chain([&PROTOCOL_CHANGE]).enumerate() {
        troubled.set_answer(status, None, false);
        assert_not_passed_on(&site, &troubled, &format!("s{number}")).await;
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_an_invalid_field_name_is_not_passed_on() {
    let (site, troubled) = start_site("odd-field", 0).await;
    for (number, line) in ODD_LINES.iter().enumerate() {
        for is_first in [true, false] {
            troubled.set_answer("200 OK", Some(line), is_first);
            assert_not_passed_on(&site, &troubled, &format!("f{number}-{is_first}")).await;
        }
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_may_be_repeated_is_served_by_another_replica() {
    let (site, troubled) = start_site("odd-beside", 2).await;
    for number in 0..20 {
        match number % 2 {
            0 => troubled.set_answer("000 OK", None, false),
            _ => troubled.set_answer("200 OK", Some("odd name: v"), true),
        }
        let [prompt, _, lookup] = requests(&format!("b{number}"));
        for request in [prompt, lookup] {
            let outcome = site.send(0, &request).await;
            assert_eq!((outcome.status, outcome.is_complete), (200, true), "{}: {outcome:?}", request.path);
            assert!(!outcome.body.contains(BODY), "{outcome:?}");
        }
    }
    site.close().expect("no invariant was breached");
}
