//! A replica in need gets no more than it says it takes, from all entries together.
//!
//! The story: two engines named in their answers the requests a second that they take from all entries together, 2 and
//! 2.4. Each went on getting what it had got before, 23 and 29 requests in four seconds, through all five entries: no
//! entry read that part of an answer. No single entry sent more than the limit, so one that kept to it for itself would
//! have looked no different to its callers. What proved the cause: the rate at both engines is the same before and after
//! they named their limits, every request there was a first send, and no part of the code decodes the header.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::load::{load, look, most, prompt, served};
use rustix::process::Signal;
use standin::platform::{Replica, Outcome, Site, Spec};

/// The bound holds in every window of this length.
const WINDOW: Duration = Duration::from_secs(4);
/// From so long after a limit was first named it holds.
const KNOWN_AFTER: Duration = Duration::from_secs(1);
/// Where entries fail, from so long after.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests beyond the limit itself in a window, in the calm: one that was saved up, one at the window's edge, one that
/// was under way when the limit was named.
const SLACK: f64 = 3.0;

/// What is allowed to reach a replica in a window while nothing fails.
fn calm(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() + SLACK) as usize
}

/// What is allowed while entries fail: one and a half times the limit, and five.
fn troubled(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

async fn site(name: &str, spec: Spec) -> Site {
    Site::start(Spec { name: name.to_owned(), ..spec }).await.expect("the site starts")
}

/// The entry that was joined last by another: it plans, or planned last.
fn planner(site: &Site) -> usize {
    let joined = |entry: &usize| {
        let log = site.log(*entry);
        let last = log.lines().rev().find(|line| line.contains("step=peer-joined"));
        last.and_then(|line| line.split_whitespace().next()).map(str::to_owned)
    };
    (0..site.addresses.len()).max_by_key(joined).expect("there are entries")
}

fn fleet() -> Spec {
    Spec { entries: 3, engines: 8, plain_replicas: 4, ..Spec::small("") }
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_in_need_get_what_they_take_and_others_the_rest() {
    let site = site("limits-engines", fleet()).await;
    load(&site, 20, Duration::from_secs(1), prompt).await;
    let mut busiest: Vec<&Arc<Replica>> = site.engines.iter().collect();
    busiest.sort_by_key(|engine| std::cmp::Reverse(engine.received_requests().len()));
    busiest[0].set_rate_limit(Some("2.3"));
    busiest[1].set_rate_limit(Some("1"));
    let since = Instant::now() + KNOWN_AFTER;
    let seen = load(&site, 20, Duration::from_secs(9), prompt).await;
    for (engine, rate) in [(busiest[0], 2.3), (busiest[1], 1.0)] {
        let most = most(engine, since, WINDOW);
        assert!(most <= calm(rate), "{} got {most} where it takes {}", engine.id, calm(rate));
    }
    assert_eq!(served(&seen), seen.len(), "others have room for all");
    assert_nothing_is_blamed(&site);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_replica_in_need_gets_what_it_takes_and_others_the_rest() {
    let site = site("limits-plain", fleet()).await;
    load(&site, 30, Duration::from_secs(1), look).await;
    let busiest = site.plain_replicas.iter().max_by_key(|replica| replica.received_requests().len()).expect("there are replicas");
    busiest.set_rate_limit(Some("1"));
    let since = Instant::now() + KNOWN_AFTER;
    let seen = load(&site, 30, Duration::from_secs(9), look).await;
    let most = most(busiest, since, WINDOW);
    assert!(most <= calm(1.0), "it got {most} where it takes {}", calm(1.0));
    assert_eq!(served(&seen), seen.len(), "others have room for all");
    assert_nothing_is_blamed(&site);
    site.close().expect("no invariant was breached");
}

/// A replica in need has not failed: nobody leaves it alone for it, and nothing is sent a second time.
fn assert_nothing_is_blamed(site: &Site) {
    for entry in 0..site.addresses.len() {
        let log = site.log(entry);
        assert!(!log.contains("step=doubt") && !log.contains("number=2"), "entry {entry}: {log}");
    }
}

/// What is allowed at each, what came to an end in time, and what was refused at once with a time to come back.
fn assert_fits(replicas: &[Arc<Replica>], rate: f64, seen: &[Outcome], since: Instant, lasts: Duration) {
    for replica in replicas {
        let most = most(replica, since + KNOWN_AFTER, WINDOW);
        assert!(most <= calm(rate), "{} got {most} where it takes {}", replica.id, calm(rate));
    }
    let fits = rate * replicas.len() as f64 * lasts.as_secs_f64();
    let served = served(seen);
    assert!(served as f64 >= 0.9 * fits, "{served} served where {fits} fit");
    for refused in seen.iter().filter(|seen| seen.status != 200) {
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(!refused.header("retry-after").is_empty(), "{refused:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn where_all_plain_replicas_are_in_need_what_fits_is_served_and_the_rest_refused_at_once() {
    let site = site("limits-all-plain", fleet()).await;
    site.plain_replicas.iter().for_each(|replica| replica.set_rate_limit(Some("5")));
    let (since, lasts) = (Instant::now(), Duration::from_secs(9));
    let seen = load(&site, 40, lasts, look).await;
    assert_fits(&site.plain_replicas, 5.0, &seen, since, lasts);
    for refused in seen.iter().filter(|seen| seen.status != 200) {
        assert!(refused.elapsed < Duration::from_millis(150), "half of what its caller wants an answer in: {refused:?}");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn where_all_engines_are_in_need_what_fits_is_served_and_the_rest_refused() {
    let site = site("limits-all-engines", fleet()).await;
    site.engines.iter().for_each(|replica| replica.set_rate_limit(Some("2")));
    let (since, lasts) = (Instant::now(), Duration::from_secs(9));
    let seen = load(&site, 30, lasts, prompt).await;
    assert_fits(&site.engines, 2.0, &seen, since, lasts);
    for refused in seen.iter().filter(|seen| seen.status != 200) {
        assert!(refused.elapsed < Duration::from_millis(300), "what its caller wants an answer in: {refused:?}");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_limit_holds_while_the_entry_that_plans_is_frozen_and_killed() {
    let mut site = site("limits-leaders", Spec { entries: 4, ..fleet() }).await;
    site.engines.iter().for_each(|replica| replica.set_rate_limit(Some("2")));
    site.plain_replicas.iter().for_each(|replica| replica.set_rate_limit(Some("2")));
    let since = Instant::now() + CONTACT;
    tokio::join!(load(&site, 30, Duration::from_secs(4), prompt), load(&site, 20, Duration::from_secs(4), look));
    let frozen = planner(&site);
    site.signal(frozen, Signal::STOP).expect("it is told");
    tokio::join!(load(&site, 30, Duration::from_secs(2), prompt), load(&site, 20, Duration::from_secs(2), look));
    site.signal(frozen, Signal::CONT).expect("it is told");
    tokio::join!(load(&site, 30, Duration::from_secs(2), prompt), load(&site, 20, Duration::from_secs(2), look));
    let killed = planner(&site);
    site.restart(killed).await.expect("it starts again");
    tokio::join!(load(&site, 30, Duration::from_secs(4), prompt), load(&site, 20, Duration::from_secs(4), look));
    for replica in site.engines.iter().chain(&site.plain_replicas) {
        let most = most(replica, since, WINDOW);
        assert!(most <= troubled(2.0), "{} got {most} where it takes {}", replica.id, troubled(2.0));
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_limit_holds_after_a_loss_of_all_entries() {
    let mut site = site("limits-loss", Spec { entries: 4, ..fleet() }).await;
    site.engines.iter().for_each(|replica| replica.set_rate_limit(Some("2")));
    site.plain_replicas.iter().for_each(|replica| replica.set_rate_limit(Some("2")));
    let since = Instant::now() + CONTACT;
    tokio::join!(load(&site, 30, Duration::from_secs(4), prompt), load(&site, 20, Duration::from_secs(4), look));
    for entry in 0..site.addresses.len() {
        site.restart(entry).await.expect("it starts again");
    }
    for entry in 0..site.addresses.len() {
        site.wait_ready(entry, true).await.expect("it is ready");
    }
    tokio::join!(load(&site, 30, Duration::from_secs(5), prompt), load(&site, 20, Duration::from_secs(5), look));
    for replica in site.engines.iter().chain(&site.plain_replicas) {
        let most = most(replica, since, WINDOW);
        assert!(most <= troubled(2.0), "{} got {most} where it takes {}", replica.id, troubled(2.0));
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_is_told_of_limits_and_keeps_them() {
    let mut site = site("limits-start", fleet()).await;
    site.plain_replicas.iter().for_each(|replica| replica.set_rate_limit(Some("2")));
    load(&site, 20, Duration::from_secs(1), look).await;
    let follower = (planner(&site) + 1) % site.addresses.len();
    let heard_itself = |site: &Site| site.log(follower).matches("before=None source=Own").count();
    let before = heard_itself(&site);
    site.restart(follower).await.expect("it starts again");
    site.wait_ready(follower, true).await.expect("it is ready");
    load(&site, 20, Duration::from_secs(2), look).await;
    assert_eq!(heard_itself(&site), before, "{}", site.log(follower));
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_that_is_named_no_longer_binds_no_longer() {
    let site = site("limits-over", Spec { engines: 2, plain_replicas: 2, ..fleet() }).await;
    let all = || site.engines.iter().chain(&site.plain_replicas);
    all().for_each(|replica| replica.set_rate_limit(Some("1")));
    tokio::join!(load(&site, 10, Duration::from_secs(3), prompt), load(&site, 10, Duration::from_secs(3), look));
    all().for_each(|replica| replica.set_rate_limit(None));
    // Each sends one a second or more to hear of it.
    tokio::join!(load(&site, 10, Duration::from_secs(3), prompt), load(&site, 10, Duration::from_secs(3), look));
    let (prompts, looks) =
        tokio::join!(load(&site, 10, Duration::from_secs(2), prompt), load(&site, 10, Duration::from_secs(2), look));
    assert_eq!(served(&prompts), prompts.len(), "prompts");
    assert_eq!(served(&looks), looks.len(), "calls");
    site.close().expect("no invariant was breached");
}
