//! Entries whose log has a gap, because the store dropped its older records meanwhile.

mod common;

use std::time::Duration;

use common::leader;
use common::load::{count_served, lookup};
use futures_util::future::join_all;
use rustix::process::Signal;
use standin::platform::{Fault, Replica, RequestSpec, Site, Spec};

const TOPIC: &str = "keyed.servers";
const QUARANTINE_TOPIC: &str = "keyed.quarantine";
/// Time for which the store holds a read of that topic, and a little more.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Time after which a replica that left must get no requests.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after an outage of the store during which missing records count as expired.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_000);
/// Time in which an entry finds that no other one leads: some handshakes that time out.
const SEARCH_TIME: Duration = Duration::from_millis(800);
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

/// Asserts that an entry sends nothing to a replica that left, once it had the time to learn of that.
async fn assert_gets_no_requests(site: &Site, entry: usize, left: &Replica) {
    tokio::time::sleep(DRAIN_TIMEOUT).await;
    let before = left.received_requests().len();
    // Requests that come at the same time are spread over all replicas.
    let requests: Vec<RequestSpec> = (0..20).map(|number| lookup(&format!("after-{number}"))).collect();
    let outcomes = join_all(requests.iter().map(|request| site.send(entry, request))).await;
    assert_eq!(count_served(&outcomes), requests.len(), "{outcomes:?}");
    assert_eq!(left.received_requests().len(), before, "{}", site.log(entry));
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
    assert_gets_no_requests(&site, follower, &passing).await;
    passing.stop();
    site.close().expect("no invariant was breached");
}

/// Guards against a claim from before a snapshot that another entry sent: the entry that received it led later, and its
/// follower kept a replica that had come and gone in the part that the snapshot skipped.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_came_and_went_unseen_by_two_leaders_gets_no_requests() {
    let bounds = "drain_ms = 600".to_owned();
    let spec = Spec { entries: 4, has_seeds: true, bounds, ..Spec::small("gaps-snapshot") };
    let site = Site::start(spec).await.expect("the site starts");
    let first = leader(&site, 4).await;
    let others: Vec<usize> = (0..4).filter(|entry| *entry != first).collect();
    // Only the entries that go on see the replica come.
    let (second, rest) = (others[0], [others[1], others[2]]);
    let counts = rest.map(|entry| follow_count(&site, entry));
    for entry in [first, second] {
        site.signal(entry, Signal::STOP).expect("the entry is suspended");
    }
    let (third, follower) = next_leader_and_follower(&site, rest, counts).await;
    let passing = Replica::start("plain-passing", Duration::from_millis(20)).await.expect("the replica starts");
    site.store.put(TOPIC, &passing.id, passing.store_record("ledger", "ready"));
    wait_until_used(&site, follower, &passing).await;
    site.signal(follower, Signal::STOP).expect("the follower is suspended");
    site.store_listeners[follower].set_fault(Fault::Unavailable);
    site.signal(third, Signal::KILL).expect("the third leader is killed");
    site.store.put(TOPIC, &passing.id, "");
    site.store.compact(TOPIC);
    // The second leader gets its snapshot from the first one, not from the store.
    site.store_listeners[second].set_fault(Fault::Unavailable);
    site.signal(first, Signal::CONT).expect("the first leader resumes");
    common::wait_until("the first leader finds its log trimmed", || async { has_lost_its_log(&site, first) }).await;
    tokio::time::sleep(READ_TIME).await;
    let count = follow_count(&site, second);
    site.signal(second, Signal::CONT).expect("the second leader resumes");
    common::wait_until("the second leader follows again", || async { follow_count(&site, second) > count }).await;
    tokio::time::sleep(DRAIN_TIMEOUT).await;
    site.store_listeners[second].set_fault(Fault::None);
    site.signal(first, Signal::KILL).expect("the first leader is killed");
    // The second leader finds no other one while the follower is suspended.
    tokio::time::sleep(SEARCH_TIME).await;
    let count = follow_count(&site, follower);
    site.signal(follower, Signal::CONT).expect("the follower resumes");
    common::wait_until("the follower follows again", || async { follow_count(&site, follower) > count }).await;
    // The second leader counts missing records as expired at first, since the store did not answer it.
    tokio::time::sleep(RECOVERY_GRACE).await;
    assert_gets_no_requests(&site, follower, &passing).await;
    passing.stop();
    site.close().expect("no invariant was breached");
}

/// Guards against a verdict that an operator lifted in a gap of the log: the entry missed the removal of its record, took
/// the record for lost, and wrote it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_verdict_that_was_lifted_while_the_entry_was_frozen_stays_lifted() {
    let site = Site::start(Spec { entries: 1, ..Spec::small("gaps-verdict") }).await.expect("the site starts");
    site.plain_replicas.iter().for_each(|replica| replica.crash_on("fatal", Duration::from_millis(300)));
    let send_fatal = async |id: &str| site.send(0, &RequestSpec { body: "fatal".into(), ..lookup(id) }).await;
    for number in 0..10 {
        send_fatal(&format!("fatal-{number}")).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let [verdict] = &site.store.keys(QUARANTINE_TOPIC)[..] else { panic!("{}", site.log(0)) };
    let crash_count = || site.plain_replicas.iter().map(|replica| replica.crash_count()).sum::<usize>();
    let before = crash_count();
    send_fatal("condemned").await;
    assert_eq!(crash_count(), before, "the request is condemned");
    site.signal(0, Signal::STOP).expect("the entry is suspended");
    // The store has answered the read that it holds, so that the removal reaches the entry only with the next one.
    tokio::time::sleep(LONG_POLL_TIMEOUT).await;
    site.store.put(QUARANTINE_TOPIC, verdict, "");
    site.store.compact(QUARANTINE_TOPIC);
    site.signal(0, Signal::CONT).expect("the entry resumes");
    let trimmed = "step=store-trimmed topic=keyed.quarantine";
    common::wait_until("the entry finds its log trimmed", || async { site.log(0).contains(trimmed) }).await;
    tokio::time::sleep(LONG_POLL_TIMEOUT).await;
    assert_eq!(site.store.keys(QUARANTINE_TOPIC), Vec::<String>::new(), "{}", site.log(0));
    send_fatal("lifted").await;
    assert!(crash_count() > before, "the request is sent again");
    site.close().expect("no invariant was breached");
}
