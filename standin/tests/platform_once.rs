//! Calls that may run once run at most once, and "not run" is said only when it is proven.

use std::time::Duration;

use bytes::Bytes;
use standin::platform::{Behavior, RequestSpec, KEY, Site, Spec};

fn pay(id: &str) -> RequestSpec {
    RequestSpec { body: Bytes::from("levy 500"), ..RequestSpec::new("POST", "/pay/1", id, KEY) }.with_header("deadline-ms", "1000")
}

fn look(id: &str) -> RequestSpec {
    RequestSpec::new("GET", "/look/1", id, KEY).with_header("deadline-ms", "1000")
}

async fn site(name: &str) -> Site {
    Site::start(Spec::small(name)).await.expect("the site starts")
}

fn ran(site: &Site, id: &str) -> usize {
    site.plain_replicas.iter().map(|replica| replica.run_count(id)).sum()
}

/// All replicas do the same with their next request.
fn all(site: &Site, acts: &[Behavior]) {
    site.plain_replicas.iter().for_each(|replica| replica.queue_behaviors(acts.iter().copied()));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_lost_is_not_called_not_run() {
    let site = site("once-lost").await;
    for (id, act) in [("a1", Behavior::DropResponse), ("a2", Behavior::WrongRequestId), ("a3", Behavior::MissingSeal), ("a4", Behavior::UnconfirmedRefusal)] {
        all(&site, &[act]);
        let seen = site.send(0, &pay(id)).await;
        assert_eq!(seen.status, 502, "{act:?}: {seen:?}");
        assert_eq!(ran(&site, id), 1, "{act:?}");
        // The other replica's act is spent, so that the next case starts afresh.
        while site.send(0, &pay("spend")).await.status != 200 {}
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_time_runs_out_during_its_send_is_not_called_not_run() {
    let site = site("once-stall").await;
    all(&site, &[Behavior::Stall(2_500)]);
    let seen = site.send(0, &pay("b1")).await;
    assert_eq!(seen.status, 504, "it may have run: {seen:?}");
    assert_eq!(ran(&site, "b1"), 1);
    assert!(seen.elapsed < Duration::from_millis(1_500), "the final answer comes in time: {:?}", seen.elapsed);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_proven_refusal_goes_to_another_replica_or_back_with_a_time() {
    let site = site("once-refuse").await;
    site.plain_replicas[0].queue_behaviors([Behavior::Refuse]);
    site.plain_replicas[1].queue_behaviors([Behavior::Refuse]);
    let seen = site.send(0, &pay("c1")).await;
    assert_eq!((seen.status, ran(&site, "c1")), (503, 0), "{seen:?}");
    assert!(!seen.header("retry-after").is_empty());
    site.plain_replicas[0].queue_behaviors([Behavior::Refuse]);
    let seen = site.send(0, &pay("c2")).await;
    assert_eq!((seen.status, ran(&site, "c2")), (200, 1), "{seen:?}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_repeat_is_tried_at_another_replica_within_its_attempts() {
    let site = site("once-safe").await;
    all(&site, &[Behavior::Fail]);
    let seen = site.send(0, &look("d1")).await;
    assert_eq!((seen.status, ran(&site, "d1")), (500, 2), "two attempts, both fail: {seen:?}");
    assert!(seen.header("response-seal").starts_with("seal-of-"), "the replica's own failure comes back: {seen:?}");
    site.plain_replicas[0].queue_behaviors([Behavior::DropResponse]);
    site.plain_replicas[1].queue_behaviors([Behavior::Serve]);
    let seen = site.send(0, &look("d2")).await;
    assert_eq!((seen.status, seen.is_complete), (200, true), "{seen:?}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_address_with_another_replica_behind_it_runs_nothing() {
    let site = site("once-reuse").await;
    // The record still names plain-0, but plain-1 listens there now.
    let record = site.plain_replicas[1].store_record("ledger", "ready");
    site.store.put("keyed.servers", "plain-0", record);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for number in 0..6 {
        let id = format!("e{number}");
        let seen = site.send(0, &pay(&id)).await;
        assert_eq!((seen.status, ran(&site, &id)), (200, 1), "{seen:?}");
    }
    assert_eq!(site.plain_replicas[0].received_requests().len(), 0);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_loses_answers_is_tried_with_requests_that_may_repeat() {
    let site = site("once-doubt").await;
    let bad = &site.plain_replicas[0];
    bad.queue_behaviors(std::iter::repeat_n(Behavior::DropResponse, 1_000));
    // Both entries learn it, each for itself.
    for number in 0..8 {
        let seen = site.send(number % 2, &look(&format!("d{number}"))).await;
        assert_eq!(seen.status, 200, "{seen:?}");
    }
    let mut lost = 0;
    for number in 0..40 {
        let seen = site.send(number % 2, &pay(&format!("e{number}"))).await;
        lost += usize::from(seen.status != 200);
        let seen = site.send(number % 2, &look(&format!("f{number}"))).await;
        assert_eq!(seen.status, 200, "{seen:?}");
    }
    assert_eq!(lost, 0, "a call that may run once does not make the trial");
    assert!(bad.received_requests().len() <= 24, "{}", bad.received_requests().len());
    site.close().expect("no invariant was breached");
}
