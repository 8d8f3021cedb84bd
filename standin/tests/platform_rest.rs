//! A replica that turns an entry away and asks for rest gets nothing from that entry for so long, and others get the rest.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::load::{entry_of, load, look, prompt, served};
use standin::platform::{Behavior, RequestSpec, Replica, ReceivedRequest, Outcome, Site, Spec};

/// Rest that replicas ask for, and as it stands in their answers.
const REST: Duration = Duration::from_secs(2);
const REST_TEXT: &str = "2";
/// From so long after an answer its rest binds.
const BINDS_AFTER: Duration = Duration::from_millis(500);
/// Requests that may reach a replica in a rest all the same.
const MOST: usize = 2;
/// How long a replica takes to turn a request away: the entry knows of it later.
const ANSWERED: Duration = Duration::from_millis(100);

/// What is known to be hopeless is refused within this.
const AT_ONCE: Duration = Duration::from_millis(100);

async fn site(name: &str) -> Site {
    let spec = Spec { entries: 3, engines: 8, plain_replicas: 4, ..Spec::small(name) };
    Site::start(spec).await.expect("the site starts")
}

/// The replicas, the one that gets the most requests first.
async fn busiest_first<'a>(site: &Site, replicas: &'a [Arc<Replica>], ask: fn(&str) -> RequestSpec) -> Vec<&'a Arc<Replica>> {
    load(site, 30, Duration::from_secs(1), ask).await;
    let mut busiest: Vec<&Arc<Replica>> = replicas.iter().collect();
    busiest.sort_by_key(|replica| std::cmp::Reverse(replica.received_requests().len()));
    busiest
}

/// The most requests that came from one entry in a rest that the replica had asked that entry for.
fn most_in_a_rest(site: &Site, replica: &Replica) -> usize {
    let runs: Vec<ReceivedRequest> = replica.received_requests();
    let in_rest_of = |refusal: &ReceivedRequest| {
        let is_in = |run: &&ReceivedRequest| {
            let after = run.received_at.saturating_duration_since(refusal.received_at);
            after > BINDS_AFTER && after < REST && entry_of(site, run) == entry_of(site, refusal)
        };
        runs.iter().filter(is_in).count()
    };
    runs.iter().filter(|run| !run.was_run).map(in_rest_of).max().unwrap_or(0)
}

fn assert_rests(site: &Site, replicas: &[Arc<Replica>]) {
    for replica in replicas {
        let most = most_in_a_rest(site, replica);
        assert!(most <= MOST, "{} got {most} in a rest", replica.id);
    }
}

/// What is refused is refused at once, with a time to come back that lies behind the rest.
fn assert_refused_at_once(seen: &[Outcome], most: Duration) {
    for refused in seen.iter().filter(|seen| seen.status != 200) {
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.elapsed < most, "{refused:?}");
        let after: f64 = refused.header("retry-after").parse().expect("a time to come back");
        assert!(after > 0.0 && after < 2.0 * REST.as_secs_f64(), "{refused:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_plain_replica_that_asks_for_rest_costs_nobody_beside_it_an_answer() {
    let site = site("rest-plain-one").await;
    busiest_first(&site, &site.plain_replicas, look).await[0].set_backoff(Some(REST_TEXT));
    let seen = load(&site, 30, Duration::from_secs(7), look).await;
    assert_rests(&site, &site.plain_replicas);
    assert_eq!(served(&seen), seen.len(), "three others have room for all");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_replica_that_refuses_at_once_and_names_no_time_costs_nobody_beside_it_an_answer() {
    let site = site("refuses-plain-one").await;
    busiest_first(&site, &site.plain_replicas, look).await[0].queue_behaviors([Behavior::Refuse; 1_000]);
    let seen = load(&site, 30, Duration::from_secs(7), look).await;
    assert_eq!(served(&seen), seen.len(), "three others have room for all");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_that_ask_for_rest_get_it_and_others_the_prompts() {
    let site = site("rest-engines-two").await;
    let busiest = busiest_first(&site, &site.engines, prompt).await;
    busiest[..2].iter().for_each(|engine| engine.set_backoff(Some(REST_TEXT)));
    let seen = load(&site, 30, Duration::from_secs(7), prompt).await;
    assert_rests(&site, &site.engines);
    assert_eq!(served(&seen), seen.len(), "six others have room for all");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn where_all_plain_replicas_ask_for_rest_callers_are_refused_at_once_and_served_after_it() {
    let site = site("rest-plain-all").await;
    site.plain_replicas.iter().for_each(|replica| replica.set_backoff(Some(REST_TEXT)));
    let refused = load(&site, 30, Duration::from_secs(5), look).await;
    assert_rests(&site, &site.plain_replicas);
    assert_eq!(served(&refused), 0);
    assert_refused_at_once(&refused, Duration::from_millis(250));
    site.plain_replicas.iter().for_each(|replica| replica.set_backoff(None));
    tokio::time::sleep(REST).await;
    let seen = load(&site, 30, Duration::from_secs(1), look).await;
    assert_eq!(served(&seen), seen.len(), "the rest is over");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn where_all_engines_ask_for_rest_prompts_are_refused_and_served_after_it() {
    let site = site("rest-engines-all").await;
    site.engines.iter().for_each(|engine| engine.set_backoff(Some(REST_TEXT)));
    let refused = load(&site, 30, Duration::from_secs(5), prompt).await;
    assert_rests(&site, &site.engines);
    assert_eq!(served(&refused), 0);
    let at_once = refused.iter().filter(|seen| seen.elapsed < AT_ONCE).count();
    assert!(
        at_once > refused.len() / 2,
        "{at_once} of {}: a rest that outlasts a prompt's patience is no reason to wait",
        refused.len()
    );
    site.engines.iter().for_each(|engine| engine.set_backoff(None));
    tokio::time::sleep(REST).await;
    let seen = load(&site, 30, Duration::from_secs(1), prompt).await;
    assert_eq!(served(&seen), seen.len(), "the rest is over");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_last_replica_at_rest_is_waited_for_where_callers_can_wait() {
    let site = Site::start(Spec { entries: 1, plain_replicas: 1, ..Spec::small("rest-short") }).await.expect("the site starts");
    site.plain_replicas[0].set_backoff(Some("0.1"));
    site.send(0, &look("load-0")).await;
    site.plain_replicas[0].set_backoff(None);
    let sent = Instant::now();
    let seen = site.send(0, &look("load-1")).await;
    assert_eq!(seen.status, 200, "{seen:?}");
    assert!(sent.elapsed() < Duration::from_millis(100) + ANSWERED, "half of what its caller wants an answer in");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rest_that_names_no_time_binds_nobody() {
    for text in ["0", "-3", "soon", "Thu, 03 Dec 2026 11:00:00 GMT"] {
        let site =
            Site::start(Spec { entries: 1, plain_replicas: 1, ..Spec::small("rest-none") }).await.expect("the site starts");
        site.plain_replicas[0].set_backoff(Some(text));
        site.send(0, &look("load-0")).await;
        site.plain_replicas[0].set_backoff(None);
        let seen = site.send(0, &look("load-1")).await;
        assert_eq!(seen.status, 200, "{text}: {seen:?}");
        site.close().expect("no invariant was breached");
    }
}
