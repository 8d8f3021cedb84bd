//! Failure domains that operators evacuate: their replicas get no new requests by any path until the evacuation ends.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::leader;
use common::load::{load, look, prompt, served};
use rustix::process::Signal;
use standin::platform::{Ask, Fault, KEY, Replica, Site, Spec};

/// Failure domain that is evacuated; the other replicas are in the default one.
const EMPTIED: &str = "there";
/// Time after the operators' request within which new requests stop; a fifth of what the bounds allow.
const IN_FORCE: Duration = Duration::from_secs(1);
/// Maximum time of a refusal that is certain in advance.
const AT_ONCE: Duration = Duration::from_millis(300);

/// Builds a prompt that needs prefill on several engines.
fn long_prompt(id: &str) -> Ask {
    Ask::new("POST", "/prompt/1", id, KEY).with("token-usage", "60000,400").with("deadline-ms", "2500")
}

/// Builds a call that may run at most once.
fn pay(id: &str) -> Ask {
    Ask::new("POST", "/pay/1", id, KEY).with("deadline-ms", "2500")
}

/// Starts a site with three entries, whose every second replica is in the evacuated domain.
async fn site(name: &str) -> Site {
    let spec = Spec { entries: 3, engines: 8, plain: 4, seeded: true, ..Spec::small(name) };
    let site = Site::start(spec).await.expect("the site starts");
    there(&site).for_each(|replica| replica.stand_in(EMPTIED));
    site.announce_all();
    tokio::time::sleep(IN_FORCE).await;
    site
}

fn there(site: &Site) -> impl Iterator<Item = &Arc<Replica>> {
    site.engines.iter().step_by(2).chain(site.plain.iter().step_by(2))
}

/// Returns the number of requests that reached replicas of the evacuated domain since `since`.
fn reached(site: &Site, since: Instant) -> usize {
    there(site).flat_map(|replica| replica.seen()).filter(|run| run.at >= since).count()
}

/// Sends requests of all kinds for `duration` and asserts that all of them were served.
async fn all_are_served(site: &Site, lasts: Duration) {
    let (short, long, looks, pays) = tokio::join!(
        load(site, 20, lasts, prompt),
        load(site, 5, lasts, long_prompt),
        load(site, 20, lasts, look),
        load(site, 10, lasts, pay),
    );
    for (kind, seen) in [("short", short), ("long", long), ("look", looks), ("pay", pays)] {
        let failed: Vec<_> = seen.iter().filter(|seen| seen.status != 200 || !seen.whole).take(3).collect();
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
    // Requests that already run in the domain complete.
    all_are_served(&site, Duration::from_secs(4)).await;
    assert_eq!(reached(&site, begun + IN_FORCE), 0);
    site.end_evacuation(EMPTIED);
    let ended = Instant::now();
    all_are_served(&site, Duration::from_secs(3)).await;
    assert!(reached(&site, ended) > 0, "the domain is used again");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_with_replicas_nowhere_else_is_refused_at_once() {
    let site = site("evacuation-all").await;
    let begun = Instant::now();
    // An unreadable evacuation record, one for a domain without replicas, and one for each domain with replicas.
    site.store.put_raw("keyed.op", b"evacuate/here", vec![0xff, 0x00, b'{']);
    site.evacuate("nowhere");
    site.evacuate(EMPTIED);
    let seen = load(&site, 20, Duration::from_secs(3), prompt).await;
    let of_calls = load(&site, 20, Duration::from_secs(1), look).await;
    let late: Vec<_> = seen.iter().skip(20 * IN_FORCE.as_secs() as usize).chain(&of_calls).collect();
    for refused in &late {
        let comes_back: f64 = refused.header("retry-after").parse().unwrap_or(0.0);
        assert!(refused.status == 503 && refused.took < AT_ONCE && comes_back >= 1.0, "{refused:?}");
    }
    let runs = site.engines.iter().chain(&site.plain).flat_map(|replica| replica.seen());
    assert_eq!(runs.filter(|run| run.at >= begun + IN_FORCE).count(), 0);
    site.end_evacuation("here");
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
    // An entry that the store refuses receives the evacuation from its peers.
    let turned_away = (first + 1) % 3;
    site.doors[turned_away].set(Fault::TooMany);
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
    site.doors.iter().for_each(|door| door.set(Fault::Unavailable));
    // Reads that the store already holds are answered first.
    tokio::time::sleep(IN_FORCE).await;
    site.end_evacuation(EMPTIED);
    all_are_served(&site, Duration::from_secs(1)).await;
    assert_eq!(reached(&site, begun + IN_FORCE), 0, "nobody has heard of it yet");
    site.doors.iter().for_each(|door| door.set(Fault::None));
    tokio::time::sleep(IN_FORCE * 2).await;
    let back = Instant::now();
    // The same domain is evacuated again just after the store returns.
    site.evacuate(EMPTIED);
    site.end_evacuation(EMPTIED);
    all_are_served(&site, Duration::from_secs(2)).await;
    assert!(reached(&site, back) > 0, "the domain is used again");
    site.close().expect("no invariant was breached");
}

/// Request rate that a cold replica accepts by its own report, per second.
const COLD_RATE: f64 = 4.0;
/// Maximum number of requests that reach a cold replica in one second, by the users' rule: one and a half times its
/// rate, plus five.
const COLD_MOST: usize = 11;

/// Starts a site whose services limit the request rate of cold replicas for `duration` after their start.
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
    let replicas = site.engines.iter().chain(&site.plain);
    let fallen: Vec<_> = replicas.filter(|replica| replica.ends() > 0).map(|replica| &replica.id).collect();
    assert!(fallen.is_empty(), "{fallen:?} fell over");
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_replicas_get_what_they_bear_and_others_the_rest() {
    let lasts = Duration::from_secs(5);
    let site = with_cold_replicas("cold", lasts).await;
    there(&site).for_each(|replica| replica.turn_cold(lasts, COLD_MOST));
    site.announce_all();
    tokio::time::sleep(IN_FORCE).await;
    let since = Instant::now();
    // The replicas are warm again in the last third.
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
    there(&site).for_each(|replica| replica.turn_cold(lasts, COLD_MOST));
    site.end_evacuation(EMPTIED);
    let (prompts, looks) =
        tokio::join!(load(&site, 60, Duration::from_secs(4), prompt), load(&site, 60, Duration::from_secs(4), look));
    assert_none_fell_over(&site);
    assert_eq!((served(&prompts), served(&looks)), (prompts.len(), looks.len()), "others have room for all");
    site.close().expect("no invariant was breached");
}
