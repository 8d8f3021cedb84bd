//! A replica that refuses a request with a backoff gets no requests from that entry for this time; other replicas get
//! them.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::load::{entry_of, load, look, prompt, served};
use standin::platform::{Act, Ask, Replica, Run, Seen, Site, Spec};

/// Backoff that replicas ask for, also as the text in their responses.
const REST: Duration = Duration::from_secs(2);
const REST_TEXT: &str = "2";
/// Time after a response from which its backoff is in force.
const BINDS_AFTER: Duration = Duration::from_millis(500);
/// Maximum number of requests that may still reach a replica in backoff.
const MOST: usize = 2;
/// Time that a replica takes to refuse a request, after which the entry knows of the backoff.
const ANSWERED: Duration = Duration::from_millis(100);

/// Maximum time of a refusal that is certain in advance.
const AT_ONCE: Duration = Duration::from_millis(100);

async fn site(name: &str) -> Site {
    let spec = Spec { entries: 3, engines: 8, plain: 4, ..Spec::small(name) };
    Site::start(spec).await.expect("the site starts")
}

/// Returns the replicas, ordered from the most requests to the fewest.
async fn busiest_first<'a>(site: &Site, replicas: &'a [Arc<Replica>], ask: fn(&str) -> Ask) -> Vec<&'a Arc<Replica>> {
    load(site, 30, Duration::from_secs(1), ask).await;
    let mut busiest: Vec<&Arc<Replica>> = replicas.iter().collect();
    busiest.sort_by_key(|replica| std::cmp::Reverse(replica.seen().len()));
    busiest
}

/// Returns the maximum number of requests from one entry during a backoff that the replica asked that entry for.
fn most_in_a_rest(site: &Site, replica: &Replica) -> usize {
    let runs: Vec<Run> = replica.seen();
    let in_rest_of = |refusal: &Run| {
        let is_in = |run: &&Run| {
            let after = run.at.saturating_duration_since(refusal.at);
            after > BINDS_AFTER && after < REST && entry_of(site, run) == entry_of(site, refusal)
        };
        runs.iter().filter(is_in).count()
    };
    runs.iter().filter(|run| !run.ran).map(in_rest_of).max().unwrap_or(0)
}

fn assert_rests(site: &Site, replicas: &[Arc<Replica>]) {
    for replica in replicas {
        let most = most_in_a_rest(site, replica);
        assert!(most <= MOST, "{} got {most} in a rest", replica.id);
    }
}

/// Asserts that refusals come within `max_elapsed`, with a time to retry after that fits the backoff.
fn assert_refused_at_once(seen: &[Seen], most: Duration) {
    for refused in seen.iter().filter(|seen| seen.status != 200) {
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.took < most, "{refused:?}");
        let after: f64 = refused.header("retry-after").parse().expect("a time to come back");
        assert!(after > 0.0 && after < 2.0 * REST.as_secs_f64(), "{refused:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_plain_replica_that_asks_for_rest_costs_nobody_beside_it_an_answer() {
    let site = site("rest-plain-one").await;
    busiest_first(&site, &site.plain, look).await[0].ask_rest(Some(REST_TEXT));
    let seen = load(&site, 30, Duration::from_secs(7), look).await;
    assert_rests(&site, &site.plain);
    assert_eq!(served(&seen), seen.len(), "three others have room for all");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_replica_that_refuses_at_once_and_names_no_time_costs_nobody_beside_it_an_answer() {
    let site = site("refuses-plain-one").await;
    busiest_first(&site, &site.plain, look).await[0].next([Act::Refuse; 1_000]);
    let seen = load(&site, 30, Duration::from_secs(7), look).await;
    assert_eq!(served(&seen), seen.len(), "three others have room for all");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_that_ask_for_rest_get_it_and_others_the_prompts() {
    let site = site("rest-engines-two").await;
    let busiest = busiest_first(&site, &site.engines, prompt).await;
    busiest[..2].iter().for_each(|engine| engine.ask_rest(Some(REST_TEXT)));
    let seen = load(&site, 30, Duration::from_secs(7), prompt).await;
    assert_rests(&site, &site.engines);
    assert_eq!(served(&seen), seen.len(), "six others have room for all");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn where_all_plain_replicas_ask_for_rest_callers_are_refused_at_once_and_served_after_it() {
    let site = site("rest-plain-all").await;
    site.plain.iter().for_each(|replica| replica.ask_rest(Some(REST_TEXT)));
    let refused = load(&site, 30, Duration::from_secs(5), look).await;
    assert_rests(&site, &site.plain);
    assert_eq!(served(&refused), 0);
    assert_refused_at_once(&refused, Duration::from_millis(250));
    site.plain.iter().for_each(|replica| replica.ask_rest(None));
    tokio::time::sleep(REST).await;
    let seen = load(&site, 30, Duration::from_secs(1), look).await;
    assert_eq!(served(&seen), seen.len(), "the rest is over");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn where_all_engines_ask_for_rest_prompts_are_refused_and_served_after_it() {
    let site = site("rest-engines-all").await;
    site.engines.iter().for_each(|engine| engine.ask_rest(Some(REST_TEXT)));
    let refused = load(&site, 30, Duration::from_secs(5), prompt).await;
    assert_rests(&site, &site.engines);
    assert_eq!(served(&refused), 0);
    let at_once = refused.iter().filter(|seen| seen.took < AT_ONCE).count();
    assert!(
        at_once > refused.len() / 2,
        "{at_once} of {}: a rest that outlasts a prompt's patience is no reason to wait",
        refused.len()
    );
    site.engines.iter().for_each(|engine| engine.ask_rest(None));
    tokio::time::sleep(REST).await;
    let seen = load(&site, 30, Duration::from_secs(1), prompt).await;
    assert_eq!(served(&seen), seen.len(), "the rest is over");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_last_replica_at_rest_is_waited_for_where_callers_can_wait() {
    let site = Site::start(Spec { entries: 1, plain: 1, ..Spec::small("rest-short") }).await.expect("the site starts");
    site.plain[0].ask_rest(Some("0.1"));
    site.send(0, &look("load-0")).await;
    site.plain[0].ask_rest(None);
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
            Site::start(Spec { entries: 1, plain: 1, ..Spec::small("rest-none") }).await.expect("the site starts");
        site.plain[0].ask_rest(Some(text));
        site.send(0, &look("load-0")).await;
        site.plain[0].ask_rest(None);
        let seen = site.send(0, &look("load-1")).await;
        assert_eq!(seen.status, 200, "{text}: {seen:?}");
        site.close().expect("no invariant was breached");
    }
}
