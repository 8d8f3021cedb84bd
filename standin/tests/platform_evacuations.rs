//! Failure domains that operators empty: nothing new goes to their replicas, by any path, until that is taken back.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::leader;
use common::load::{load, look, prompt, served};
use rustix::process::Signal;
use standin::platform::{RequestSpec, Fault, KEY, Replica, Site, Spec};

/// The failure domain that is emptied; the other replicas stand in the usual one.
const EMPTIED: &str = "there";
/// Within this time of the operators' word nothing new goes there; a fifth of what the bounds ask for.
const IN_FORCE: Duration = Duration::from_secs(1);
/// A refusal that is certain beforehand comes within this time.
const AT_ONCE: Duration = Duration::from_millis(300);

/// A prompt that several engines read.
fn long_prompt(id: &str) -> RequestSpec {
    RequestSpec::new("POST", "/prompt/1", id, KEY).with_header("token-usage", "60000,400").with_header("deadline-ms", "2500")
}

/// A call that may run once.
fn pay(id: &str) -> RequestSpec {
    RequestSpec::new("POST", "/pay/1", id, KEY).with_header("deadline-ms", "2500")
}

/// Three entries; every second replica stands in the domain that is emptied.
async fn site(name: &str) -> Site {
    let spec = Spec { entries: 3, engines: 8, plain_replicas: 4, has_seeds: true, ..Spec::small(name) };
    let site = Site::start(spec).await.expect("the site starts");
    there(&site).for_each(|replica| replica.set_failure_domain(EMPTIED));
    site.write_replica_records();
    tokio::time::sleep(IN_FORCE).await;
    site
}

fn there(site: &Site) -> impl Iterator<Item = &Arc<Replica>> {
    site.engines.iter().step_by(2).chain(site.plain_replicas.iter().step_by(2))
}

/// Requests that reached replicas of the emptied domain since then.
fn reached(site: &Site, since: Instant) -> usize {
    there(site).flat_map(|replica| replica.received_requests()).filter(|run| run.received_at >= since).count()
}

/// Plays all kinds of requests for so long; asserts that all were served.
async fn all_are_served(site: &Site, lasts: Duration) {
    let (short, long, looks, pays) = tokio::join!(
        load(site, 20, lasts, prompt),
        load(site, 5, lasts, long_prompt),
        load(site, 20, lasts, look),
        load(site, 10, lasts, pay),
    );
    for (kind, seen) in [("short", short), ("long", long), ("look", looks), ("pay", pays)] {
        let failed: Vec<_> = seen.iter().filter(|seen| seen.status != 200 || !seen.is_complete).take(3).collect();
        assert_eq!(served(&seen), seen.len(), "{kind}: {failed:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_new_goes_to_an_emptied_domain_until_it_is_taken_back() {
    let site = site("evacuation").await;
    all_are_served(&site, Duration::from_secs(1)).await;
    assert!(reached(&site, Instant::now() - Duration::from_secs(1)) > 0, "all replicas serve");
    let begun = Instant::now();
    site.evacuate(EMPTIED);
    // What runs there meanwhile comes to its end.
    all_are_served(&site, Duration::from_secs(4)).await;
    assert_eq!(reached(&site, begun + IN_FORCE), 0);
    site.cancel_evacuation(EMPTIED);
    let ended = Instant::now();
    all_are_served(&site, Duration::from_secs(3)).await;
    assert!(reached(&site, ended) > 0, "the domain is used again");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_with_replicas_nowhere_else_is_refused_at_once() {
    let site = site("evacuation-all").await;
    let begun = Instant::now();
    // An unreadable word, one about a domain that no replica has, and both that there are.
    site.store.put_raw("keyed.op", b"evacuate/here", vec![0xff, 0x00, b'{']);
    site.evacuate("nowhere");
    site.evacuate(EMPTIED);
    let seen = load(&site, 20, Duration::from_secs(3), prompt).await;
    let of_calls = load(&site, 20, Duration::from_secs(1), look).await;
    let late: Vec<_> = seen.iter().skip(20 * IN_FORCE.as_secs() as usize).chain(&of_calls).collect();
    for refused in &late {
        let comes_back: f64 = refused.header("retry-after").parse().unwrap_or(0.0);
        assert!(refused.status == 503 && refused.elapsed < AT_ONCE && comes_back >= 1.0, "{refused:?}");
    }
    let runs = site.engines.iter().chain(&site.plain_replicas).flat_map(|replica| replica.received_requests());
    assert_eq!(runs.filter(|run| run.received_at >= begun + IN_FORCE).count(), 0);
    site.cancel_evacuation("here");
    tokio::time::sleep(IN_FORCE).await;
    all_are_served(&site, Duration::from_secs(1)).await;
    assert_eq!(reached(&site, begun + IN_FORCE), 0, "the other one stays emptied");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_outlasts_restarts_lost_leaders_and_a_dropped_history() {
    let mut site = site("evacuation-lasts").await;
    let begun = Instant::now();
    site.evacuate(EMPTIED);
    site.configure(&[KEY], |_| {});
    tokio::time::sleep(IN_FORCE).await;
    site.store.compact("keyed.op");
    let first = leader(&site, 3).await;
    site.restart(first).await.expect("started again");
    site.wait_ready(first, true).await.expect("ready");
    all_are_served(&site, Duration::from_secs(1)).await;
    // An entry that the store turns away hears of it from the others.
    let turned_away = (first + 1) % 3;
    site.store_listeners[turned_away].set_fault(Fault::TooManyRequests);
    site.restart(turned_away).await.expect("started again");
    site.wait_ready(turned_away, true).await.expect("ready");
    all_are_served(&site, Duration::from_secs(1)).await;
    site.signal((first + 2) % 3, Signal::STOP).expect("frozen");
    site.signal((first + 2) % 3, Signal::CONT).expect("goes on");
    all_are_served(&site, Duration::from_secs(1)).await;
    assert_eq!(reached(&site, begun + IN_FORCE), 0);
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_that_is_taken_back_while_the_store_is_down_ends_when_it_returns() {
    let site = site("evacuation-outage").await;
    let begun = Instant::now();
    site.evacuate(EMPTIED);
    tokio::time::sleep(IN_FORCE).await;
    site.store_listeners.iter().for_each(|door| door.set_fault(Fault::Unavailable));
    // Reads that the store holds are answered first.
    tokio::time::sleep(IN_FORCE).await;
    site.cancel_evacuation(EMPTIED);
    all_are_served(&site, Duration::from_secs(1)).await;
    assert_eq!(reached(&site, begun + IN_FORCE), 0, "nobody has heard of it yet");
    site.store_listeners.iter().for_each(|door| door.set_fault(Fault::None));
    tokio::time::sleep(IN_FORCE * 2).await;
    let back = Instant::now();
    // The same one again within moments of its return.
    site.evacuate(EMPTIED);
    site.cancel_evacuation(EMPTIED);
    all_are_served(&site, Duration::from_secs(2)).await;
    assert!(reached(&site, back) > 0, "the domain is used again");
    site.close().expect("no invariant was breached");
}

/// Requests that a cold replica says it takes in a second.
const COLD_RATE: f64 = 4.0;
/// What reaches one in a second at most, by the users' rule: one and a half times that, and five.
const COLD_MOST: usize = 11;

/// Replicas of all services bear little while they are cold, for so long.
async fn with_cold_replicas(name: &str, lasts: Duration) -> Site {
    let site = site(name).await;
    site.configure(&[KEY], |config| {
        for service in config["services"].as_array_mut().expect("services") {
            service["cold_per_s"] = COLD_RATE.into();
            service["cold_start_s"] = lasts.as_secs_f64().into();
        }
    });
    tokio::time::sleep(IN_FORCE).await;
    site
}

fn assert_none_fell_over(site: &Site) {
    let replicas = site.engines.iter().chain(&site.plain_replicas);
    let fallen: Vec<_> = replicas.filter(|replica| replica.crash_count() > 0).map(|replica| &replica.id).collect();
    assert!(fallen.is_empty(), "{fallen:?} fell over");
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_replicas_get_what_they_bear_and_others_the_rest() {
    let lasts = Duration::from_secs(5);
    let site = with_cold_replicas("cold", lasts).await;
    there(&site).for_each(|replica| replica.set_cold_period(lasts, COLD_MOST));
    site.write_replica_records();
    tokio::time::sleep(IN_FORCE).await;
    let since = Instant::now();
    // The last third finds them warm again.
    let (prompts, looks) =
        tokio::join!(load(&site, 60, Duration::from_secs(6), prompt), load(&site, 60, Duration::from_secs(6), look));
    assert_eq!((served(&prompts), served(&looks)), (prompts.len(), looks.len()), "others have room for all");
    assert_none_fell_over(&site);
    assert!(reached(&site, since) > 0, "they are not left empty");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_that_returns_counts_as_cold_before_its_replicas_say_so() {
    let lasts = Duration::from_secs(3);
    let site = with_cold_replicas("cold-return", lasts).await;
    site.evacuate(EMPTIED);
    tokio::time::sleep(IN_FORCE).await;
    there(&site).for_each(|replica| replica.set_cold_period(lasts, COLD_MOST));
    site.cancel_evacuation(EMPTIED);
    let (prompts, looks) =
        tokio::join!(load(&site, 60, Duration::from_secs(4), prompt), load(&site, 60, Duration::from_secs(4), look));
    assert_none_fell_over(&site);
    assert_eq!((served(&prompts), served(&looks)), (prompts.len(), looks.len()), "others have room for all");
    site.close().expect("no invariant was breached");
}
