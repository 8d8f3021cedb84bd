//! Non-repeatable calls run at most once, and "not run" is reported only if it is certain.

use std::time::Duration;

use bytes::Bytes;
use standin::platform::{Behavior, KEY, RequestSpec, Site, Spec};

fn payment(id: &str) -> RequestSpec {
    RequestSpec { body: Bytes::from("levy 500"), ..RequestSpec::new("POST", "/pay/1", id, KEY) }
        .with_header("deadline-ms", "1000")
}

fn lookup(id: &str) -> RequestSpec {
    RequestSpec::new("GET", "/look/1", id, KEY).with_header("deadline-ms", "1000")
}

async fn start_site(name: &str) -> Site {
    Site::start(Spec::small(name)).await.expect("the site starts")
}

fn run_count(site: &Site, id: &str) -> usize {
    site.plain_replicas.iter().map(|replica| replica.run_count(id)).sum()
}

/// Sets the behaviours of all replicas for their next requests.
fn queue_on_all(site: &Site, behaviors: &[Behavior]) {
    site.plain_replicas.iter().for_each(|replica| replica.queue_behaviors(behaviors.iter().copied()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_not_reported_as_not_run() {
    let site = start_site("once-lost").await;
    for (id, behavior) in [
        ("a1", Behavior::DropResponse),
        ("a2", Behavior::WrongRequestId),
        ("a3", Behavior::MissingSeal),
        ("a4", Behavior::UnconfirmedRefusal),
        // Guards against a late refusal of another request that counts as proof for this one.
        ("a5", Behavior::SurplusRefusal),
    ] {
        queue_on_all(&site, &[behavior]);
        let outcome = site.send(0, &payment(id)).await;
        assert_eq!(outcome.status, 502, "{behavior:?}: {outcome:?}");
        assert_eq!(run_count(&site, id), 1, "{behavior:?}");
        // Uses up the behaviour queued at the other replica, so that it does not affect the next case.
        while site.send(0, &payment("spend")).await.status != 200 {}
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_deadline_expires_during_its_send_is_not_reported_as_not_run() {
    let site = start_site("once-stall").await;
    queue_on_all(&site, &[Behavior::Stall(2_500)]);
    let outcome = site.send(0, &payment("b1")).await;
    assert_eq!(outcome.status, 504, "the call may have run: {outcome:?}");
    assert_eq!(run_count(&site, "b1"), 1);
    assert!(outcome.elapsed < Duration::from_millis(1_500), "the final answer comes in time: {:?}", outcome.elapsed);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_proven_refusal_goes_to_another_replica_or_back_with_a_time() {
    let site = start_site("once-refuse").await;
    site.plain_replicas[0].queue_behaviors([Behavior::Refuse]);
    site.plain_replicas[1].queue_behaviors([Behavior::Refuse]);
    let outcome = site.send(0, &payment("c1")).await;
    assert_eq!((outcome.status, run_count(&site, "c1")), (503, 0), "{outcome:?}");
    assert!(!outcome.header("retry-after").is_empty());
    site.plain_replicas[0].queue_behaviors([Behavior::Refuse]);
    let outcome = site.send(0, &payment("c2")).await;
    assert_eq!((outcome.status, run_count(&site, "c2")), (200, 1), "{outcome:?}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_repeat_is_tried_at_another_replica_within_its_attempts() {
    let site = start_site("once-safe").await;
    queue_on_all(&site, &[Behavior::Fail]);
    let outcome = site.send(0, &lookup("d1")).await;
    assert_eq!((outcome.status, run_count(&site, "d1")), (500, 2), "two attempts, both fail: {outcome:?}");
    assert!(
        outcome.header("response-seal").starts_with("seal-of-"),
        "the replica's own failure comes back: {outcome:?}"
    );
    site.plain_replicas[0].queue_behaviors([Behavior::DropResponse]);
    site.plain_replicas[1].queue_behaviors([Behavior::Serve]);
    let outcome = site.send(0, &lookup("d2")).await;
    assert_eq!((outcome.status, outcome.is_complete), (200, true), "{outcome:?}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_address_with_another_replica_behind_it_runs_nothing() {
    let site = start_site("once-reuse").await;
    // The record of plain-0 now has the address at which plain-1 listens.
    let record = site.plain_replicas[1].store_record("ledger", "ready");
    site.store.put("keyed.servers", "plain-0", record);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for number in 0..6 {
        let id = format!("e{number}");
        let outcome = site.send(0, &payment(&id)).await;
        assert_eq!((outcome.status, run_count(&site, &id)), (200, 1), "{outcome:?}");
    }
    assert_eq!(site.plain_replicas[0].received_requests().len(), 0);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_loses_answers_is_tried_with_requests_that_may_repeat() {
    let site = start_site("once-doubt").await;
    let faulty_replica = &site.plain_replicas[0];
    faulty_replica.queue_behaviors(std::iter::repeat_n(Behavior::DropResponse, 1_000));
    // Each of the two entries detects the fault for itself.
    for number in 0..8 {
        let outcome = site.send(number % 2, &lookup(&format!("d{number}"))).await;
        assert_eq!(outcome.status, 200, "{outcome:?}");
    }
    let mut failed_count = 0;
    for number in 0..40 {
        let outcome = site.send(number % 2, &payment(&format!("e{number}"))).await;
        failed_count += usize::from(outcome.status != 200);
        let outcome = site.send(number % 2, &lookup(&format!("f{number}"))).await;
        assert_eq!(outcome.status, 200, "{outcome:?}");
    }
    assert_eq!(failed_count, 0, "a call that may run once is not used as a trial");
    assert!(faulty_replica.received_requests().len() <= 24, "{}", faulty_replica.received_requests().len());
    site.close().expect("no invariant was breached");
}
