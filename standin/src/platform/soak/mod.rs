//! Soak test of a site: runs real entry processes under injected faults, and checks the guarantees of the entries by
//! what callers and replicas observe.
//!
//! A run has several rounds. Each round injects faults, chosen from the seed, in sequence and overlapping. Then it
//! reverts all faults, gives the entries five seconds to recover, and requires that every request in a fault-free
//! period succeeds. Every second round has maintenance only, in which no response may be lost. Clock faults are not
//! injected: entries decide by the monotonic clock only, which cannot be changed from outside a process.

mod caller;
mod injector;
mod judge;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::{Result, eyre};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use self::caller::{FATAL_BODY, FATAL_PART, FatalKind, SharedState, api_key, run_caller, run_fatal_caller};
pub use self::injector::InjectionKind;
use self::injector::Injector;
use self::judge::check_guarantees;
use super::proxy::NetworkFault;
use super::replica::Replica;
use super::site::{Site, Spec};

/// Bounds the time from the last fault until the site works normally again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Bounds the time from the removal of an API key until no request with this key runs. The entries get it as
/// `revoke_ms`.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time that all entries get to apply the first configuration before the callers start.
const CONFIGURATION_DELAY: Duration = Duration::from_millis(700);

/// Time from the crash of an engine to its next start.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1_000);

/// Rate limit that replicas announce, in requests per second; far below the load, which is dozens of requests per
/// second.
const RATE_LIMIT: f64 = 3.0;

/// Returns the last replica of each service, which announces a rate limit or is in the evacuated failure domain. Only
/// one replica of each service is used, so that others remain; the last one, since the first one is drained.
fn last_replicas(site: &Site) -> impl Iterator<Item = &Arc<Replica>> {
    site.engines.last().into_iter().chain(site.plain_replicas.last())
}

/// Largest number of records in an answer that holds a part of the log.
const MAX_RECORDS_PER_READ: usize = 3;
/// Maximum number of rotations after which callers still use a key where [`Plan::has_partial_reads`] is set.
const MAX_KEY_AGE: u64 = 8;

/// Backoff that replicas ask for.
const BACKOFF: Duration = Duration::from_secs(2);

/// Failure domain that is evacuated.
const EVACUATED_DOMAIN: &str = "there";

/// Parameters of a soak.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the faults and the requests.
    pub seed: u64,
    /// Number of rounds, each with an injection phase and a fault-free phase.
    pub rounds: u32,
    /// Length of the injection phase of each round.
    pub faults: Duration,
    /// Number of entries.
    pub entries: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Whether one more caller repeatedly sends requests that crash engines.
    pub has_fatal_requests: bool,
    /// Whether one more caller sends different prompts that share a part which crashes engines.
    pub has_fatal_parts: bool,
    /// Whether the crash of an engine shows in other ways than refused connections.
    pub has_unclear_crashes: bool,
    /// Whether an engine and a plain replica announce a rate limit from the start.
    pub has_rate_limits: bool,
    /// Whether a failure domain is evacuated, and the evacuation cancelled, from time to time.
    pub has_evacuations: bool,
    /// Whether replicas announce draining or ask for a backoff in their responses, and the store is restored from older
    /// snapshots.
    pub has_response_signals: bool,
    /// Whether engines delimit their streams by the end of the connection. Excludes fatal requests: a crash between two
    /// events then looks like the end of a stream. Plain replicas are left out for the same reason: an unframed answer
    /// that is broken off at any byte looks complete.
    pub has_unframed_streams: bool,
    /// Whether the store answers reads of its log with one to three records, and callers go on using keys that were
    /// revoked.
    pub has_partial_reads: bool,
}

/// Result of a soak.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of responses by status; status 0 counts requests without a response.
    pub statuses: BTreeMap<u16, usize>,
    /// Number of injected faults by kind.
    pub fault_counts: BTreeMap<InjectionKind, usize>,
    /// Number of fatal requests that reached engines.
    pub fatal_request_count: usize,
    /// Number of fatal requests that reached engines too late after the third.
    pub late_fatal_request_count: usize,
    /// Number of prompts with the fatal part that reached engines too late after the fifth.
    pub late_fatal_part_count: usize,
    /// Number of engine crashes.
    pub crash_count: usize,
    /// Largest number of requests within one window at a replica that announces a rate limit; 0 if none does.
    pub max_requests_in_window: usize,
    /// Largest number of requests that an entry sent to a replica during a backoff that the replica had requested.
    pub max_requests_in_backoff: usize,
    /// Descriptions of the breached guarantees.
    pub breaches: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        writeln!(out, "responses: {:?}", self.statuses)?;
        writeln!(out, "faults: {:?}", self.fault_counts)?;
        writeln!(
            out,
            "fatal requests at engines: {}, late: {}, late prompts with the fatal part: {}, engine crashes: {}",
            self.fatal_request_count, self.late_fatal_request_count, self.late_fatal_part_count, self.crash_count
        )?;
        writeln!(
            out,
            "max requests in 4 s at a replica with a limit of {RATE_LIMIT}/s: {}",
            self.max_requests_in_window
        )?;
        writeln!(out, "max requests in a backoff of {} s: {}", BACKOFF.as_secs(), self.max_requests_in_backoff)?;
        self.breaches.iter().try_for_each(|breach| writeln!(out, "breach: {breach}"))
    }
}

/// Runs a soak and checks the guarantees by what its callers and replicas observed. Breaches are part of the report; an
/// error means that the soak itself failed.
pub async fn run(plan: &Plan) -> Result<Report> {
    let bounds = format!("revoke_ms = {}", REVOKE_TIMEOUT.as_millis());
    let name = format!("soak-{}", plan.seed);
    let spec =
        Spec { entries: plan.entries, engines: 4, plain_replicas: 3, has_proxies: true, bounds, ..Spec::small(&name) };
    let site = Site::start(spec).await?;
    if plan.has_evacuations {
        last_replicas(&site).for_each(|replica| replica.set_failure_domain(EVACUATED_DOMAIN));
        site.write_replica_records();
    }
    if plan.has_unframed_streams {
        let engines = site.proxies.replicas.iter().take(site.engines.len());
        engines.for_each(|proxy| proxy.set_unframed());
    }
    let shared = Arc::new(SharedState::default());
    let first_key = api_key(0);
    site.configure(&[first_key.as_str()], |_| {});
    tokio::time::sleep(CONFIGURATION_DELAY).await;
    let mut seed_rng = SmallRng::seed_from_u64(plan.seed);
    let mut callers = Vec::new();
    for _ in 0..plan.callers {
        let rng = SmallRng::seed_from_u64(seed_rng.random());
        callers.push(tokio::spawn(run_caller(shared.clone(), site.addresses.clone(), rng)));
    }
    if plan.has_fatal_requests {
        site.engines.iter().for_each(|engine| engine.crash_on(FATAL_BODY, CRASH_DOWNTIME));
        let rng = SmallRng::seed_from_u64(seed_rng.random());
        callers.push(tokio::spawn(run_fatal_caller(shared.clone(), site.addresses.clone(), rng, FatalKind::Request)));
    }
    if plan.has_fatal_parts {
        site.engines.iter().for_each(|engine| engine.crash_on(FATAL_PART, CRASH_DOWNTIME));
        let rng = SmallRng::seed_from_u64(seed_rng.random());
        callers.push(tokio::spawn(run_fatal_caller(shared.clone(), site.addresses.clone(), rng, FatalKind::Part)));
    }
    if plan.has_unclear_crashes {
        let aftermaths = [NetworkFault::None, NetworkFault::Reset, NetworkFault::Blackhole];
        site.engines.iter().for_each(|engine| engine.set_aftermath(aftermaths.choose(&mut seed_rng).copied()));
    }
    if plan.has_rate_limits {
        last_replicas(&site).for_each(|replica| replica.set_rate_limit(Some(&RATE_LIMIT.to_string())));
    }
    if plan.has_partial_reads {
        site.store.set_records_per_read(seed_rng.random_range(1..=MAX_RECORDS_PER_READ));
        shared.max_key_age.store(MAX_KEY_AGE, Ordering::Relaxed);
    }
    let mut injector = Injector::new(site, shared.clone(), seed_rng);
    for round in 0..plan.rounds {
        injector.run_round(plan, round % 2 == 1).await?;
    }
    shared.is_stopping.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.map_err(|error| eyre!("step=join-caller: caller task failed: {error}"))?;
    }
    check_guarantees(injector, &shared.take_records(), plan).await
}
