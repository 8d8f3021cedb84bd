//! A workspace that sends far more than there is room for leaves the others their service.
//!
//! Guards against shares by the number of requests. One workspace sent 250 prompts a second beside five that sent 5
//! each, with room for a third of all: each workspace had a third of its prompts in time.

mod common;

use std::time::Duration;

use common::load::send_load;
use futures_util::future::join_all;
use serde_json::json;
use standin::platform::{Outcome, RequestSpec, Site, Spec};

/// Time for each event of an answer. With 8 events and 28 slots there is room for some 90 prompts a second.
const EVENT_TIME: Duration = Duration::from_millis(38);
/// Longest time to the end of an answer whose first event is in time: the target of the first event, and seven events.
const MAX_ELAPSED: Duration = Duration::from_millis(300 + 7 * 38);
/// Prompts a second of the busy workspace, and of each other one.
const BUSY_RATE: u32 = 250;
const USUAL_RATE: u32 = 5;
const KEYS: [&str; 6] = ["busy", "a", "b", "c", "d", "e"];

async fn start_site(name: &str) -> Site {
    let spec = Spec {
        entries: 3,
        engines: 2,
        service_time: EVENT_TIME,
        gateway: "requirements = pressure".to_owned(),
        ..Spec::small(name)
    };
    let site = Site::start(spec).await.expect("the site starts");
    site.configure(&[], |config| {
        let tenants = KEYS.map(|key| json!({ "name": key, "api_keys": [key], "priority": 1 }));
        config["tenants"] = json!(tenants);
    });
    site
}

/// Sends prompts of one workspace; returns the outcomes.
async fn send_prompts(site: &Site, key: &str, rate: u32, duration: Duration) -> Vec<Outcome> {
    let prompt = |id: &str| {
        RequestSpec::new("POST", "/prompt/1", &format!("{key}-{id}"), key)
            .with_header("token-usage", "500,400")
            .with_header("deadline-ms", "2500")
    };
    send_load(site, rate, duration, prompt).await
}

/// Sends prompts of the five workspaces at their usual rate; returns the share of them that is served in time.
async fn in_time_share_of_others(site: &Site, duration: Duration) -> f64 {
    let others = KEYS[1..].iter().map(|key| send_prompts(site, key, USUAL_RATE, duration));
    let outcomes: Vec<Outcome> = join_all(others).await.concat();
    let is_in_time =
        |outcome: &&Outcome| outcome.status == 200 && outcome.is_complete && outcome.elapsed <= MAX_ELAPSED;
    outcomes.iter().filter(is_in_time).count() as f64 / outcomes.len() as f64
}

#[tokio::test(flavor = "multi_thread")]
async fn beside_a_workspace_that_sends_far_too_much_the_others_are_served_in_time() {
    let site = start_site("shares").await;
    common::wait_until("the configuration is in force", async || {
        send_prompts(&site, KEYS[1], 20, Duration::from_millis(50)).await.iter().all(|outcome| outcome.status == 200)
    })
    .await;
    let duration = Duration::from_secs(4);
    let (busy, others) =
        tokio::join!(send_prompts(&site, KEYS[0], BUSY_RATE, duration), in_time_share_of_others(&site, duration));
    let served = busy.iter().filter(|outcome| outcome.status == 200 && outcome.is_complete).count();
    assert!(others >= 0.9, "{others:.2} of the others in time; {served} of {} of the busy one served", busy.len());
    assert!(served < busy.len(), "the load exceeds the room");
    site.close().expect("no invariant was breached");
}
