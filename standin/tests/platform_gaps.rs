//! Entries whose log of the replicas' records has a gap, because the store dropped its older records meanwhile.

mod common;

use std::time::Duration;

use common::leader;
use common::load::{count_served, lookup};
use futures_util::future::join_all;
use rustix::process::Signal;
use standin::platform::{Fault, Replica, RequestSpec, Site, Spec};

const TOPIC: &str = "keyed.servers";
/// Time after which a replica that left must get no requests.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(600);

/// Time within which an entry reads the newest records.
const READ_TIME: Duration = Duration::from_millis(100);

async fn start_site(name: &str) -> Site {
    let spec = Spec { entries: 3, bounds: "drain_ms = 600".to_owned(), ..Spec::small(name) };
    Site::start(spec).await.expect("the site starts")
}

/// Returns how often an entry has logged that it follows another one.
fn follow_count(site: &Site, entry: usize) -> usize {
    site.log(entry).matches("step=following ").count()
}

/// Waits until one of two entries follows again, and returns the other one and then the follower.
async fn next_leader_and_follower(site: &Site, entries: [usize; 2], counts: [usize; 2]) -> (usize, usize) {
    for _ in 0..500 {
        match [0, 1].map(|index| follow_count(site, entries[index]) > counts[index]) {
            [true, false] => return (entries[1], entries[0]),
            [false, true] => return (entries[0], entries[1]),
            _ => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
    panic!("neither of {entries:?} follows the other one");
}

/// Returns whether an entry has found that the log of the replicas' records no longer reaches back to its position.
fn has_lost_its_log(site: &Site, entry: usize) -> bool {
    site.log(entry).contains("step=store-trimmed topic=keyed.servers")
}

/// Sends requests to an entry until one of them reaches the replica.
async fn wait_until_used(site: &Site, entry: usize, replica: &Replica) {
    for number in 0..500 {
        site.send(entry, &lookup(&format!("before-{number}"))).await;
        if !replica.received_requests().is_empty() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("entry {entry} never uses {}", replica.id);
}

/// Guards against a claim from before a gap in the log: the entry that led again claimed to know every change, and its
/// follower kept a replica that had come and gone meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_came_and_went_while_the_leader_was_frozen_gets_no_requests() {
    let mut site = start_site("gaps-leader").await;
    let leader = leader(&site, 3).await;
    let others = [0, 1, 2].into_iter().filter(|entry| *entry != leader).collect::<Vec<_>>();
    let others = [others[0], others[1]];
    let counts = others.map(|entry| follow_count(&site, entry));
    site.signal(leader, Signal::STOP).expect("the leader is suspended");
    let (next, follower) = next_leader_and_follower(&site, others, counts).await;
    let passing = Replica::start("plain-passing", Duration::from_millis(20)).await.expect("the replica starts");
    site.store.put(TOPIC, &passing.id, passing.store_record("ledger", "ready"));
    wait_until_used(&site, follower, &passing).await;
    // The follower hears of the removal neither from the store nor from the entry that leads meanwhile.
    site.store_listeners[follower].set_fault(Fault::Unavailable);
    site.signal(next, Signal::STOP).expect("the next leader is suspended");
    site.store.put(TOPIC, &passing.id, "");
    site.store.compact(TOPIC);
    let count = follow_count(&site, follower);
    site.signal(leader, Signal::CONT).expect("the leader resumes");
    common::wait_until("the leader finds its log trimmed", || async { has_lost_its_log(&site, leader) }).await;
    // The leader reads the newest records before its follower finds it.
    tokio::time::sleep(READ_TIME).await;
    site.restart(next).await.expect("the next leader is killed");
    common::wait_until("the follower follows again", || async { follow_count(&site, follower) > count }).await;
    tokio::time::sleep(DRAIN_TIMEOUT).await;
    let before = passing.received_requests().len();
    // Requests that come at the same time are spread over all replicas.
    let requests: Vec<RequestSpec> = (0..20).map(|number| lookup(&format!("after-{number}"))).collect();
    let outcomes = join_all(requests.iter().map(|request| site.send(follower, request))).await;
    assert_eq!(count_served(&outcomes), requests.len(), "{outcomes:?}");
    assert_eq!(passing.received_requests().len(), before, "{}", site.log(follower));
    passing.stop();
    site.close().expect("no invariant was breached");
}
