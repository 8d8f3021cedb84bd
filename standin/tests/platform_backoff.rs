//! A replica that refuses a request with a backoff gets no requests from that entry for this time; other replicas get
//! them.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::load::{count_served, lookup, prompt, receiving_entry, send_load};
use standin::platform::{Behavior, Outcome, ReceivedRequest, Replica, RequestSpec, Site, Spec};

/// Backoff that replicas ask for, also as the text in their responses.
const BACKOFF: Duration = Duration::from_secs(2);
const BACKOFF_HEADER: &str = "2";
/// Time after a response from which its backoff is in force.
const BACKOFF_APPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of requests that may still reach a replica in backoff.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;
/// Time that a replica takes to refuse a request, after which the entry knows of the backoff.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Maximum time of a refusal that is certain in advance.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);

async fn start_site(name: &str) -> Site {
    let spec = Spec { entries: 3, engines: 8, plain_replicas: 4, ..Spec::small(name) };
    Site::start(spec).await.expect("the site starts")
}

/// Returns the replicas, ordered from the most requests to the fewest.
async fn busiest_first<'a>(
    site: &Site,
    replicas: &'a [Arc<Replica>],
    build_request: fn(&str) -> RequestSpec,
) -> Vec<&'a Arc<Replica>> {
    send_load(site, 30, Duration::from_secs(1), build_request).await;
    let mut busiest: Vec<&Arc<Replica>> = replicas.iter().collect();
    busiest.sort_by_key(|replica| std::cmp::Reverse(replica.received_requests().len()));
    busiest
}

/// Returns the maximum number of requests from one entry during a backoff that the replica asked that entry for.
fn max_requests_in_backoff(site: &Site, replica: &Replica) -> usize {
    let received_requests: Vec<ReceivedRequest> = replica.received_requests();
    let requests_in_backoff = |refusal: &ReceivedRequest| {
        let is_in_backoff = |received: &&ReceivedRequest| {
            let after = received.received_at.saturating_duration_since(refusal.received_at);
            after > BACKOFF_APPLY_TIMEOUT
                && after < BACKOFF
                && receiving_entry(site, received) == receiving_entry(site, refusal)
        };
        received_requests.iter().filter(is_in_backoff).count()
    };
    received_requests.iter().filter(|received| !received.was_run).map(requests_in_backoff).max().unwrap_or(0)
}

fn assert_backoffs_observed(site: &Site, replicas: &[Arc<Replica>]) {
    for replica in replicas {
        let max_requests = max_requests_in_backoff(site, replica);
        assert!(
            max_requests <= MAX_REQUESTS_IN_BACKOFF,
            "{} received {max_requests} requests during a backoff",
            replica.id
        );
    }
}

/// Asserts that refusals come within `max_elapsed`, with a time to retry after that fits the backoff.
fn assert_refused_at_once(outcomes: &[Outcome], max_elapsed: Duration) {
    for refused in outcomes.iter().filter(|outcome| outcome.status != 200) {
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.elapsed < max_elapsed, "{refused:?}");
        let after: f64 = refused.header("retry-after").parse().expect("a time to retry after");
        assert!(after > 0.0 && after < 2.0 * BACKOFF.as_secs_f64(), "{refused:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_plain_replica_in_backoff_causes_no_refusals() {
    let site = start_site("rest-plain-one").await;
    busiest_first(&site, &site.plain_replicas, lookup).await[0].set_backoff(Some(BACKOFF_HEADER));
    let outcomes = send_load(&site, 30, Duration::from_secs(7), lookup).await;
    assert_backoffs_observed(&site, &site.plain_replicas);
    assert_eq!(count_served(&outcomes), outcomes.len(), "three other replicas have capacity for all requests");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_replica_that_refuses_without_retry_after_causes_no_refusals() {
    let site = start_site("refuses-plain-one").await;
    busiest_first(&site, &site.plain_replicas, lookup).await[0].queue_behaviors([Behavior::Refuse; 1_000]);
    let outcomes = send_load(&site, 30, Duration::from_secs(7), lookup).await;
    assert_eq!(count_served(&outcomes), outcomes.len(), "three other replicas have capacity for all requests");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_in_backoff_get_no_prompts_and_others_serve_them() {
    let site = start_site("rest-engines-two").await;
    let busiest = busiest_first(&site, &site.engines, prompt).await;
    busiest[..2].iter().for_each(|engine| engine.set_backoff(Some(BACKOFF_HEADER)));
    let outcomes = send_load(&site, 30, Duration::from_secs(7), prompt).await;
    assert_backoffs_observed(&site, &site.engines);
    assert_eq!(count_served(&outcomes), outcomes.len(), "six other engines have capacity for all prompts");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_are_refused_during_the_backoff_of_all_plain_replicas_and_served_after_it() {
    let site = start_site("rest-plain-all").await;
    site.plain_replicas.iter().for_each(|replica| replica.set_backoff(Some(BACKOFF_HEADER)));
    let refused = send_load(&site, 30, Duration::from_secs(5), lookup).await;
    assert_backoffs_observed(&site, &site.plain_replicas);
    assert_eq!(count_served(&refused), 0);
    assert_refused_at_once(&refused, Duration::from_millis(250));
    site.plain_replicas.iter().for_each(|replica| replica.set_backoff(None));
    tokio::time::sleep(BACKOFF).await;
    let outcomes = send_load(&site, 30, Duration::from_secs(1), lookup).await;
    assert_eq!(count_served(&outcomes), outcomes.len(), "the backoff is over");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_are_refused_during_the_backoff_of_all_engines_and_served_after_it() {
    let site = start_site("rest-engines-all").await;
    site.engines.iter().for_each(|engine| engine.set_backoff(Some(BACKOFF_HEADER)));
    let refused = send_load(&site, 30, Duration::from_secs(5), prompt).await;
    assert_backoffs_observed(&site, &site.engines);
    assert_eq!(count_served(&refused), 0);
    let prompt_refusals = refused.iter().filter(|outcome| outcome.elapsed < MAX_REFUSAL_TIME).count();
    assert!(
        prompt_refusals > refused.len() / 2,
        "only {prompt_refusals} of {} prompts refused at once: waiting is useless when the backoff outlasts their timeout",
        refused.len()
    );
    site.engines.iter().for_each(|engine| engine.set_backoff(None));
    tokio::time::sleep(BACKOFF).await;
    let outcomes = send_load(&site, 30, Duration::from_secs(1), prompt).await;
    assert_eq!(count_served(&outcomes), outcomes.len(), "the backoff is over");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_wait_for_a_short_backoff_of_the_only_replica() {
    let site = Site::start(Spec { entries: 1, plain_replicas: 1, ..Spec::small("rest-short") })
        .await
        .expect("the site starts");
    site.plain_replicas[0].set_backoff(Some("0.1"));
    site.send(0, &lookup("load-0")).await;
    site.plain_replicas[0].set_backoff(None);
    let sent = Instant::now();
    let outcome = site.send(0, &lookup("load-1")).await;
    assert_eq!(outcome.status, 200, "{outcome:?}");
    assert!(sent.elapsed() < Duration::from_millis(100) + REFUSAL_TIME, "answered within half the target latency");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_backoff_time_is_ignored() {
    for text in ["0", "-3", "soon", "Thu, 03 Dec 2026 11:00:00 GMT"] {
        let site = Site::start(Spec { entries: 1, plain_replicas: 1, ..Spec::small("rest-none") })
            .await
            .expect("the site starts");
        site.plain_replicas[0].set_backoff(Some(text));
        site.send(0, &lookup("load-0")).await;
        site.plain_replicas[0].set_backoff(None);
        let outcome = site.send(0, &lookup("load-1")).await;
        assert_eq!(outcome.status, 200, "{text}: {outcome:?}");
        site.close().expect("no invariant was breached");
    }
}
