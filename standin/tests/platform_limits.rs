//! A replica that announces a rate limit gets no more requests than it allows, from all entries together.
//!
//! Guards against a limit that entries ignore. Two engines announced limits of 2 and 2.4 requests per second for all
//! entries together, but still received 23 and 29 requests in four seconds through five entries, because no entry
//! decoded the header. The rate at both engines was the same before and after the announcement, and every request was
//! a first attempt. No single entry exceeded the limit, so an entry that applied it to its own requests only would
//! have looked no different to clients.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::load::{count_served, lookup, max_requests, prompt, send_load};
use rustix::process::Signal;
use standin::platform::{Outcome, Replica, Site, Spec};

/// Length of the windows in which the bound holds.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first announcement of a limit from which the bound holds.
const LIMIT_APPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the first announcement from which the bound holds while entries fail.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Requests allowed beyond the limit in a window while nothing fails: one saved up, one at the window's edge, and one
/// in flight when the limit was announced.
const ALLOWED_EXCESS: f64 = 3.0;

/// Returns the number of requests that may reach a replica in a window while nothing fails.
fn bound_without_faults(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() + ALLOWED_EXCESS) as usize
}

/// Returns the number of requests that may reach a replica in a window while entries fail: one and a half times the
/// limit, plus five.
fn bound_during_faults(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

async fn start_site(name: &str, spec: Spec) -> Site {
    Site::start(Spec { name: name.to_owned(), ..spec }).await.expect("the site starts")
}

/// Returns the entry that another one joined last: the current or the last leader.
fn last_joined_entry(site: &Site) -> usize {
    let last_join = |entry: &usize| {
        let log = site.log(*entry);
        let last = log.lines().rev().find(|line| line.contains("step=peer-joined"));
        last.and_then(|line| line.split_whitespace().next()).map(str::to_owned)
    };
    (0..site.addresses.len()).max_by_key(last_join).expect("there are entries")
}

fn default_spec() -> Spec {
    Spec { entries: 3, engines: 8, plain_replicas: 4, ..Spec::small("") }
}

#[tokio::test(flavor = "multi_thread")]
async fn rate_limited_engines_stay_within_their_limits_and_others_serve_the_remainder() {
    let site = start_site("limits-engines", default_spec()).await;
    send_load(&site, 20, Duration::from_secs(1), prompt).await;
    let mut busiest: Vec<&Arc<Replica>> = site.engines.iter().collect();
    busiest.sort_by_key(|engine| std::cmp::Reverse(engine.received_requests().len()));
    busiest[0].set_rate_limit(Some("2.3"));
    busiest[1].set_rate_limit(Some("1"));
    let since = Instant::now() + LIMIT_APPLY_TIMEOUT;
    let outcomes = send_load(&site, 20, Duration::from_secs(9), prompt).await;
    for (engine, rate) in [(busiest[0], 2.3), (busiest[1], 1.0)] {
        let max_requests = max_requests(engine, since, WINDOW);
        assert!(
            max_requests <= bound_without_faults(rate),
            "{} received {max_requests} requests in a window, the bound is {}",
            engine.id,
            bound_without_faults(rate)
        );
    }
    assert_eq!(count_served(&outcomes), outcomes.len(), "the other replicas have capacity for all requests");
    assert_not_treated_as_failure(&site);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rate_limited_plain_replica_stays_within_its_limit_and_others_serve_the_remainder() {
    let site = start_site("limits-plain", default_spec()).await;
    send_load(&site, 30, Duration::from_secs(1), lookup).await;
    let busiest =
        site.plain_replicas.iter().max_by_key(|replica| replica.received_requests().len()).expect("there are replicas");
    busiest.set_rate_limit(Some("1"));
    let since = Instant::now() + LIMIT_APPLY_TIMEOUT;
    let outcomes = send_load(&site, 30, Duration::from_secs(9), lookup).await;
    let max_requests = max_requests(busiest, since, WINDOW);
    assert!(
        max_requests <= bound_without_faults(1.0),
        "the replica received {max_requests} requests in a window, the bound is {}",
        bound_without_faults(1.0)
    );
    assert_eq!(count_served(&outcomes), outcomes.len(), "the other replicas have capacity for all requests");
    assert_not_treated_as_failure(&site);
    site.close().expect("no invariant was breached");
}

/// Asserts that a rate-limited replica does not count as failed: it is not ejected, and no request is sent a second
/// time.
fn assert_not_treated_as_failure(site: &Site) {
    for entry in 0..site.addresses.len() {
        let log = site.log(entry);
        assert!(!log.contains("step=doubt") && !log.contains("number=2"), "entry {entry}: {log}");
    }
}

/// Asserts the bound at each replica, the number of requests served, and that the others were refused with a time to
/// retry after.
fn assert_limited_throughput(
    replicas: &[Arc<Replica>],
    rate: f64,
    outcomes: &[Outcome],
    since: Instant,
    duration: Duration,
) {
    for replica in replicas {
        let max_requests = max_requests(replica, since + LIMIT_APPLY_TIMEOUT, WINDOW);
        assert!(
            max_requests <= bound_without_faults(rate),
            "{} received {max_requests} requests in a window, the bound is {}",
            replica.id,
            bound_without_faults(rate)
        );
    }
    let expected_count = rate * replicas.len() as f64 * duration.as_secs_f64();
    let served = count_served(outcomes);
    assert!(served as f64 >= 0.9 * expected_count, "{served} requests served, capacity for {expected_count}");
    for refused in outcomes.iter().filter(|outcome| outcome.status != 200) {
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(!refused.header("retry-after").is_empty(), "{refused:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_beyond_the_limits_of_all_plain_replicas_are_refused_at_once() {
    let site = start_site("limits-all-plain", default_spec()).await;
    site.plain_replicas.iter().for_each(|replica| replica.set_rate_limit(Some("5")));
    let (since, duration) = (Instant::now(), Duration::from_secs(9));
    let outcomes = send_load(&site, 40, duration, lookup).await;
    assert_limited_throughput(&site.plain_replicas, 5.0, &outcomes, since, duration);
    for refused in outcomes.iter().filter(|outcome| outcome.status != 200) {
        assert!(
            refused.elapsed < Duration::from_millis(150),
            "refused later than half the target latency: {refused:?}"
        );
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_beyond_the_limits_of_all_engines_are_refused() {
    let site = start_site("limits-all-engines", default_spec()).await;
    site.engines.iter().for_each(|replica| replica.set_rate_limit(Some("2")));
    let (since, duration) = (Instant::now(), Duration::from_secs(9));
    let outcomes = send_load(&site, 30, duration, prompt).await;
    assert_limited_throughput(&site.engines, 2.0, &outcomes, since, duration);
    for refused in outcomes.iter().filter(|outcome| outcome.status != 200) {
        assert!(refused.elapsed < Duration::from_millis(300), "refused later than the target latency: {refused:?}");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_limit_holds_while_the_leader_is_suspended_and_killed() {
    let mut site = start_site("limits-leaders", Spec { entries: 4, ..default_spec() }).await;
    site.engines.iter().for_each(|replica| replica.set_rate_limit(Some("2")));
    site.plain_replicas.iter().for_each(|replica| replica.set_rate_limit(Some("2")));
    let since = Instant::now() + RECOVERY_TIMEOUT;
    tokio::join!(
        send_load(&site, 30, Duration::from_secs(4), prompt),
        send_load(&site, 20, Duration::from_secs(4), lookup)
    );
    let suspended = last_joined_entry(&site);
    site.signal(suspended, Signal::STOP).expect("the signal is sent");
    tokio::join!(
        send_load(&site, 30, Duration::from_secs(2), prompt),
        send_load(&site, 20, Duration::from_secs(2), lookup)
    );
    site.signal(suspended, Signal::CONT).expect("the signal is sent");
    tokio::join!(
        send_load(&site, 30, Duration::from_secs(2), prompt),
        send_load(&site, 20, Duration::from_secs(2), lookup)
    );
    let killed = last_joined_entry(&site);
    site.restart(killed).await.expect("the entry restarts");
    tokio::join!(
        send_load(&site, 30, Duration::from_secs(4), prompt),
        send_load(&site, 20, Duration::from_secs(4), lookup)
    );
    for replica in site.engines.iter().chain(&site.plain_replicas) {
        let max_requests = max_requests(replica, since, WINDOW);
        assert!(
            max_requests <= bound_during_faults(2.0),
            "{} received {max_requests} requests in a window, the bound is {}",
            replica.id,
            bound_during_faults(2.0)
        );
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_limit_holds_after_a_loss_of_all_entries() {
    let mut site = start_site("limits-loss", Spec { entries: 4, ..default_spec() }).await;
    site.engines.iter().for_each(|replica| replica.set_rate_limit(Some("2")));
    site.plain_replicas.iter().for_each(|replica| replica.set_rate_limit(Some("2")));
    let since = Instant::now() + RECOVERY_TIMEOUT;
    tokio::join!(
        send_load(&site, 30, Duration::from_secs(4), prompt),
        send_load(&site, 20, Duration::from_secs(4), lookup)
    );
    for entry in 0..site.addresses.len() {
        site.restart(entry).await.expect("the entry restarts");
    }
    for entry in 0..site.addresses.len() {
        site.wait_ready(entry, true).await.expect("the entry is ready");
    }
    tokio::join!(
        send_load(&site, 30, Duration::from_secs(5), prompt),
        send_load(&site, 20, Duration::from_secs(5), lookup)
    );
    for replica in site.engines.iter().chain(&site.plain_replicas) {
        let max_requests = max_requests(replica, since, WINDOW);
        assert!(
            max_requests <= bound_during_faults(2.0),
            "{} received {max_requests} requests in a window, the bound is {}",
            replica.id,
            bound_during_faults(2.0)
        );
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_starting_entry_receives_limits_from_its_peers() {
    let mut site = start_site("limits-start", default_spec()).await;
    site.plain_replicas.iter().for_each(|replica| replica.set_rate_limit(Some("2")));
    send_load(&site, 20, Duration::from_secs(1), lookup).await;
    let follower = (last_joined_entry(&site) + 1) % site.addresses.len();
    let own_limit_reports = |site: &Site| site.log(follower).matches("before=None source=Own").count();
    let before = own_limit_reports(&site);
    site.restart(follower).await.expect("the entry restarts");
    site.wait_ready(follower, true).await.expect("the entry is ready");
    send_load(&site, 20, Duration::from_secs(2), lookup).await;
    assert_eq!(own_limit_reports(&site), before, "{}", site.log(follower));
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_limit_no_longer_applies() {
    let site = start_site("limits-over", Spec { engines: 2, plain_replicas: 2, ..default_spec() }).await;
    let replicas = || site.engines.iter().chain(&site.plain_replicas);
    replicas().for_each(|replica| replica.set_rate_limit(Some("1")));
    tokio::join!(
        send_load(&site, 10, Duration::from_secs(3), prompt),
        send_load(&site, 10, Duration::from_secs(3), lookup)
    );
    replicas().for_each(|replica| replica.set_rate_limit(None));
    // Each replica gets at least one request per second, whose response shows that the limit is gone.
    tokio::join!(
        send_load(&site, 10, Duration::from_secs(3), prompt),
        send_load(&site, 10, Duration::from_secs(3), lookup)
    );
    let (prompts, lookups) = tokio::join!(
        send_load(&site, 10, Duration::from_secs(2), prompt),
        send_load(&site, 10, Duration::from_secs(2), lookup)
    );
    assert_eq!(count_served(&prompts), prompts.len(), "prompts");
    assert_eq!(count_served(&lookups), lookups.len(), "calls");
    site.close().expect("no invariant was breached");
}
