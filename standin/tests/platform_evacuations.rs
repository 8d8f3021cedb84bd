//! Failure domains that operators evacuate: their replicas get no new requests by any path until the evacuation ends.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::leader;
use common::load::{count_served, lookup, prompt, send_load};
use rustix::process::Signal;
use standin::platform::{Fault, KEY, Replica, RequestSpec, Site, Spec};

/// Failure domain that is evacuated; the other replicas are in the default one.
const EVACUATED_DOMAIN: &str = "there";
/// Time after the operators' request within which new requests stop; a fifth of what the bounds allow.
const APPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time of a refusal that is certain in advance.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(300);

/// Builds a prompt that needs prefill on several engines.
fn long_prompt(id: &str) -> RequestSpec {
    RequestSpec::new("POST", "/prompt/1", id, KEY)
        .with_header("token-usage", "60000,400")
        .with_header("deadline-ms", "2500")
}

/// Builds a call that may run at most once.
fn payment(id: &str) -> RequestSpec {
    RequestSpec::new("POST", "/pay/1", id, KEY).with_header("deadline-ms", "2500")
}

/// Starts a site with three entries, whose every second replica is in the evacuated domain.
async fn start_site(name: &str) -> Site {
    let spec = Spec { entries: 3, engines: 8, plain_replicas: 4, has_seeds: true, ..Spec::small(name) };
    let site = Site::start(spec).await.expect("the site starts");
    evacuated_replicas(&site).for_each(|replica| replica.set_failure_domain(EVACUATED_DOMAIN));
    site.write_replica_records();
    tokio::time::sleep(APPLY_TIMEOUT).await;
    site
}

fn evacuated_replicas(site: &Site) -> impl Iterator<Item = &Arc<Replica>> {
    site.engines.iter().step_by(2).chain(site.plain_replicas.iter().step_by(2))
}

/// Returns the number of requests that reached replicas of the evacuated domain since `since`.
fn requests_since(site: &Site, since: Instant) -> usize {
    evacuated_replicas(site)
        .flat_map(|replica| replica.received_requests())
        .filter(|received| received.received_at >= since)
        .count()
}

/// Sends requests of all kinds for `duration` and asserts that all of them were served.
async fn assert_all_served(site: &Site, duration: Duration) {
    let (short, long, lookups, payments) = tokio::join!(
        send_load(site, 20, duration, prompt),
        send_load(site, 5, duration, long_prompt),
        send_load(site, 20, duration, lookup),
        send_load(site, 10, duration, payment),
    );
    for (kind, outcomes) in [("short", short), ("long", long), ("look", lookups), ("pay", payments)] {
        let failed: Vec<_> =
            outcomes.iter().filter(|outcome| outcome.status != 200 || !outcome.is_complete).take(3).collect();
        assert_eq!(count_served(&outcomes), outcomes.len(), "{kind}: {failed:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_domain_gets_no_new_requests_until_the_evacuation_ends() {
    let site = start_site("evacuation").await;
    assert_all_served(&site, Duration::from_secs(1)).await;
    assert!(requests_since(&site, Instant::now() - Duration::from_secs(1)) > 0, "all replicas serve");
    let started = Instant::now();
    site.evacuate(EVACUATED_DOMAIN);
    // Requests that already run in the domain complete.
    assert_all_served(&site, Duration::from_secs(4)).await;
    assert_eq!(requests_since(&site, started + APPLY_TIMEOUT), 0);
    site.cancel_evacuation(EVACUATED_DOMAIN);
    let ended = Instant::now();
    assert_all_served(&site, Duration::from_secs(3)).await;
    assert!(requests_since(&site, ended) > 0, "the domain is used again");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_with_replicas_nowhere_else_is_refused_at_once() {
    let site = start_site("evacuation-all").await;
    let started = Instant::now();
    // An unreadable evacuation record, one for a domain without replicas, and one for each domain with replicas.
    site.store.put_raw("keyed.op", b"evacuate/here", vec![0xff, 0x00, b'{']);
    site.evacuate("nowhere");
    site.evacuate(EVACUATED_DOMAIN);
    let outcomes = send_load(&site, 20, Duration::from_secs(3), prompt).await;
    let lookups = send_load(&site, 20, Duration::from_secs(1), lookup).await;
    let late_outcomes: Vec<_> = outcomes.iter().skip(20 * APPLY_TIMEOUT.as_secs() as usize).chain(&lookups).collect();
    for refused in &late_outcomes {
        let retry_after: f64 = refused.header("retry-after").parse().unwrap_or(0.0);
        assert!(refused.status == 503 && refused.elapsed < MAX_REFUSAL_TIME && retry_after >= 1.0, "{refused:?}");
    }
    let received_requests =
        site.engines.iter().chain(&site.plain_replicas).flat_map(|replica| replica.received_requests());
    assert_eq!(received_requests.filter(|received| received.received_at >= started + APPLY_TIMEOUT).count(), 0);
    site.cancel_evacuation("here");
    tokio::time::sleep(APPLY_TIMEOUT).await;
    assert_all_served(&site, Duration::from_secs(1)).await;
    assert_eq!(requests_since(&site, started + APPLY_TIMEOUT), 0, "the other domain stays evacuated");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_survives_restarts_lost_leaders_and_compaction() {
    let mut site = start_site("evacuation-lasts").await;
    let started = Instant::now();
    site.evacuate(EVACUATED_DOMAIN);
    site.configure(&[KEY], |_| {});
    tokio::time::sleep(APPLY_TIMEOUT).await;
    site.store.compact("keyed.op");
    let first = leader(&site, 3).await;
    site.restart(first).await.expect("the process restarts");
    site.wait_ready(first, true).await.expect("ready");
    assert_all_served(&site, Duration::from_secs(1)).await;
    // An entry that the store refuses receives the evacuation from its peers.
    let refused_entry = (first + 1) % 3;
    site.store_listeners[refused_entry].set_fault(Fault::TooManyRequests);
    site.restart(refused_entry).await.expect("the process restarts");
    site.wait_ready(refused_entry, true).await.expect("ready");
    assert_all_served(&site, Duration::from_secs(1)).await;
    site.signal((first + 2) % 3, Signal::STOP).expect("frozen");
    site.signal((first + 2) % 3, Signal::CONT).expect("resumed");
    assert_all_served(&site, Duration::from_secs(1)).await;
    assert_eq!(requests_since(&site, started + APPLY_TIMEOUT), 0);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_ended_during_a_store_outage_ends_when_the_store_returns() {
    let site = start_site("evacuation-outage").await;
    let started = Instant::now();
    site.evacuate(EVACUATED_DOMAIN);
    tokio::time::sleep(APPLY_TIMEOUT).await;
    site.store_listeners.iter().for_each(|listener| listener.set_fault(Fault::Unavailable));
    // Reads that the store already holds are answered first.
    tokio::time::sleep(APPLY_TIMEOUT).await;
    site.cancel_evacuation(EVACUATED_DOMAIN);
    assert_all_served(&site, Duration::from_secs(1)).await;
    assert_eq!(requests_since(&site, started + APPLY_TIMEOUT), 0, "no entry has received the end of the evacuation");
    site.store_listeners.iter().for_each(|listener| listener.set_fault(Fault::None));
    tokio::time::sleep(APPLY_TIMEOUT * 2).await;
    let resumed = Instant::now();
    // The same domain is evacuated again just after the store returns.
    site.evacuate(EVACUATED_DOMAIN);
    site.cancel_evacuation(EVACUATED_DOMAIN);
    assert_all_served(&site, Duration::from_secs(2)).await;
    assert!(requests_since(&site, resumed) > 0, "the domain is used again");
    site.close().expect("no invariant was breached");
}

/// Request rate that a cold replica accepts by its own report, per second.
const COLD_RATE: f64 = 4.0;
/// Maximum number of requests that reach a cold replica in one second, by the users' rule: one and a half times its
/// rate, plus five.
const MAX_COLD_REQUESTS_PER_SECOND: usize = 11;

/// Starts a site whose services limit the request rate of cold replicas for `duration` after their start.
async fn start_site_with_cold_replicas(name: &str, duration: Duration) -> Site {
    let site = start_site(name).await;
    site.configure(&[KEY], |config| {
        for service in config["services"].as_array_mut().expect("services") {
            service["cold_per_s"] = COLD_RATE.into();
            service["cold_start_s"] = duration.as_secs_f64().into();
        }
    });
    tokio::time::sleep(APPLY_TIMEOUT).await;
    site
}

fn assert_no_crashes(site: &Site) {
    let replicas = site.engines.iter().chain(&site.plain_replicas);
    let crashed: Vec<_> = replicas.filter(|replica| replica.crash_count() > 0).map(|replica| &replica.id).collect();
    assert!(crashed.is_empty(), "crashed replicas: {crashed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_replicas_stay_within_their_rate_and_others_serve_the_remainder() {
    let duration = Duration::from_secs(5);
    let site = start_site_with_cold_replicas("cold", duration).await;
    evacuated_replicas(&site).for_each(|replica| replica.set_cold_period(duration, MAX_COLD_REQUESTS_PER_SECOND));
    site.write_replica_records();
    tokio::time::sleep(APPLY_TIMEOUT).await;
    let since = Instant::now();
    // The replicas are warm again in the last third.
    let (prompts, lookups) = tokio::join!(
        send_load(&site, 60, Duration::from_secs(6), prompt),
        send_load(&site, 60, Duration::from_secs(6), lookup)
    );
    assert_eq!(
        (count_served(&prompts), count_served(&lookups)),
        (prompts.len(), lookups.len()),
        "the other replicas have capacity for all requests"
    );
    assert_no_crashes(&site);
    assert!(requests_since(&site, since) > 0, "cold replicas get some requests");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_that_returns_counts_as_cold_before_its_replicas_say_so() {
    let duration = Duration::from_secs(3);
    let site = start_site_with_cold_replicas("cold-return", duration).await;
    site.evacuate(EVACUATED_DOMAIN);
    tokio::time::sleep(APPLY_TIMEOUT).await;
    evacuated_replicas(&site).for_each(|replica| replica.set_cold_period(duration, MAX_COLD_REQUESTS_PER_SECOND));
    site.cancel_evacuation(EVACUATED_DOMAIN);
    let (prompts, lookups) = tokio::join!(
        send_load(&site, 60, Duration::from_secs(4), prompt),
        send_load(&site, 60, Duration::from_secs(4), lookup)
    );
    assert_no_crashes(&site);
    assert_eq!(
        (count_served(&prompts), count_served(&lookups)),
        (prompts.len(), lookups.len()),
        "the other replicas have capacity for all requests"
    );
    site.close().expect("no invariant was breached");
}
