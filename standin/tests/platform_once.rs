//! Non-repeatable calls run at most once, and "not run" is reported only if it is certain.

use std::time::Duration;

use bytes::Bytes;
use standin::platform::{Act, Ask, KEY, Site, Spec};

fn pay(id: &str) -> Ask {
    Ask { body: Bytes::from("levy 500"), ..Ask::new("POST", "/pay/1", id, KEY) }.with("deadline-ms", "1000")
}

fn look(id: &str) -> Ask {
    Ask::new("GET", "/look/1", id, KEY).with("deadline-ms", "1000")
}

async fn site(name: &str) -> Site {
    Site::start(Spec::small(name)).await.expect("the site starts")
}

fn ran(site: &Site, id: &str) -> usize {
    site.plain.iter().map(|replica| replica.ran(id)).sum()
}

/// Sets the behaviours of all replicas for their next requests.
fn all(site: &Site, acts: &[Act]) {
    site.plain.iter().for_each(|replica| replica.next(acts.iter().copied()));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_lost_is_not_called_not_run() {
    let site = site("once-lost").await;
    for (id, act) in [("a1", Act::LoseAnswer), ("a2", Act::ForeignId), ("a3", Act::Unsealed), ("a4", Act::Unproven)] {
        all(&site, &[act]);
        let seen = site.send(0, &pay(id)).await;
        assert_eq!(seen.status, 502, "{act:?}: {seen:?}");
        assert_eq!(ran(&site, id), 1, "{act:?}");
        // Uses up the behaviour queued at the other replica, so that it does not affect the next case.
        while site.send(0, &pay("spend")).await.status != 200 {}
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_time_runs_out_during_its_send_is_not_called_not_run() {
    let site = site("once-stall").await;
    all(&site, &[Act::Stall(2_500)]);
    let seen = site.send(0, &pay("b1")).await;
    assert_eq!(seen.status, 504, "it may have run: {seen:?}");
    assert_eq!(ran(&site, "b1"), 1);
    assert!(seen.took < Duration::from_millis(1_500), "the final answer comes in time: {:?}", seen.took);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_proven_refusal_goes_to_another_replica_or_back_with_a_time() {
    let site = site("once-refuse").await;
    site.plain[0].next([Act::Refuse]);
    site.plain[1].next([Act::Refuse]);
    let seen = site.send(0, &pay("c1")).await;
    assert_eq!((seen.status, ran(&site, "c1")), (503, 0), "{seen:?}");
    assert!(!seen.header("retry-after").is_empty());
    site.plain[0].next([Act::Refuse]);
    let seen = site.send(0, &pay("c2")).await;
    assert_eq!((seen.status, ran(&site, "c2")), (200, 1), "{seen:?}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_repeat_is_tried_at_another_replica_within_its_attempts() {
    let site = site("once-safe").await;
    all(&site, &[Act::Fail]);
    let seen = site.send(0, &look("d1")).await;
    assert_eq!((seen.status, ran(&site, "d1")), (500, 2), "two attempts, both fail: {seen:?}");
    assert!(seen.header("response-seal").starts_with("seal-of-"), "the replica's own failure comes back: {seen:?}");
    site.plain[0].next([Act::LoseAnswer]);
    site.plain[1].next([Act::Serve]);
    let seen = site.send(0, &look("d2")).await;
    assert_eq!((seen.status, seen.whole), (200, true), "{seen:?}");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_address_with_another_replica_behind_it_runs_nothing() {
    let site = site("once-reuse").await;
    // The record of plain-0 now has the address at which plain-1 listens.
    let record = site.plain[1].record("ledger", "ready");
    site.store.put("keyed.servers", "plain-0", record);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for number in 0..6 {
        let id = format!("e{number}");
        let seen = site.send(0, &pay(&id)).await;
        assert_eq!((seen.status, ran(&site, &id)), (200, 1), "{seen:?}");
    }
    assert_eq!(site.plain[0].seen().len(), 0);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_loses_answers_is_tried_with_requests_that_may_repeat() {
    let site = site("once-doubt").await;
    let bad = &site.plain[0];
    bad.next(std::iter::repeat_n(Act::LoseAnswer, 1_000));
    // Each of the two entries detects the fault for itself.
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
    assert!(bad.seen().len() <= 24, "{}", bad.seen().len());
    site.close().expect("no invariant was breached");
}
