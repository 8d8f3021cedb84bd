//! Injects random faults, derived from a seed, into a fleet under load.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eyre::Result;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde::Serialize;
use serde_json::json;

use crate::client::Client;
use crate::fleet::{Fleet, OPERATOR_KEY};
use crate::ledger::{Ledger, Outcome, RequestRecord};
use crate::report::{Quantiles, compute_quantiles};

/// Minimum and maximum delay between two faults, in milliseconds.
const FAULT_INTERVAL_MS: (u64, u64) = (500, 3_000);
/// Maximum duration of a suspension or outage, in milliseconds.
const MAX_FAULT_MS: u64 = 3_000;
/// Time within which an accepted change must be in force at every running entry.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);
/// Time after an entry is ready again within which a broken connection still counts as caused by its fault.
const RECOVERY_PERIOD: Duration = Duration::from_secs(2);

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Kills a sidecar and restarts it.
    KillSidecar,
    /// Kills an engine and restarts it.
    KillEngine,
    /// Kills an entry and restarts it.
    KillEntry,
    /// Suspends a sidecar with SIGSTOP and resumes it.
    FreezeSidecar,
    /// Suspends an engine's step loop and handlers.
    FreezeEngine,
    /// Suspends an entry with SIGSTOP and resumes it.
    FreezeEntry,
    /// Suspends the calls of a plain service.
    FreezeService,
    /// Loses the responses to calls that a plain service has executed.
    LoseServiceAnswers,
    /// Makes every call of the log fail.
    LogOutage,
    /// Delays the responses of the log.
    LogSlow,
    /// Makes the log store appends but answer them with an error.
    LoseAppends,
    /// Makes every read of the VM list fail.
    VmsOutage,
    /// Shuts a sidecar down with SIGTERM and restarts it.
    StopSidecar,
    /// Shuts an entry down with SIGTERM and restarts it.
    StopEntry,
    /// Drains an endpoint and reverts the drain.
    Drain,
    /// Confirms two conflicting plans for the same item concurrently.
    RaceOperators,
}

const FAULT_KINDS: [FaultKind; 16] = [
    FaultKind::KillSidecar,
    FaultKind::KillEngine,
    FaultKind::KillEntry,
    FaultKind::FreezeSidecar,
    FaultKind::FreezeEngine,
    FaultKind::FreezeEntry,
    FaultKind::FreezeService,
    FaultKind::LoseServiceAnswers,
    FaultKind::LogOutage,
    FaultKind::LogSlow,
    FaultKind::LoseAppends,
    FaultKind::VmsOutage,
    FaultKind::StopSidecar,
    FaultKind::StopEntry,
    FaultKind::Drain,
    FaultKind::RaceOperators,
];

/// Period in which an entry was subject to a fault.
#[derive(Clone, Copy, Debug)]
struct FaultPeriod {
    entry: usize,
    from: Instant,
    until: Instant,
    /// Whether the entry was shut down with SIGTERM, so that requests in flight must still be answered.
    is_planned: bool,
}

impl FaultPeriod {
    /// Returns whether the fault explains a request's broken connection. A load balancer sends no new requests to an
    /// entry that is shutting down, but the callers of this tool connect to entries directly.
    fn explains(&self, record: &RequestRecord) -> bool {
        let is_affected = if self.is_planned { record.sent_at >= self.from } else { record.ended_at > self.from };
        self.entry == record.entry && record.sent_at < self.until && is_affected
    }
}

/// Results of a soak, in addition to the ledger.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcomes {
    /// Number of injected faults by kind.
    pub faults: BTreeMap<FaultKind, usize>,
    /// Number of accepted changes.
    pub accepted: usize,
    /// Time from the acceptance of a change until it is in force at an entry, in milliseconds.
    pub in_force_ms: Quantiles,
    /// Violations of guarantees that the soak detected.
    pub breaches: Vec<String>,
}

/// Injects faults into a fleet and checks the configuration revisions that its entries report.
pub struct Injector<'a> {
    fleet: &'a mut Fleet,
    rng: SmallRng,
    fault_periods: Vec<FaultPeriod>,
    outcomes: Outcomes,
    in_force_times: Vec<Duration>,
    revisions: BTreeMap<usize, u64>,
    change_count: u64,
}

impl<'a> Injector<'a> {
    /// Creates an injector whose faults are derived from `seed`.
    pub fn new(fleet: &'a mut Fleet, seed: u64) -> Self {
        Self {
            fleet,
            rng: SmallRng::seed_from_u64(seed),
            fault_periods: Vec::new(),
            outcomes: Outcomes::default(),
            in_force_times: Vec::new(),
            revisions: BTreeMap::new(),
            change_count: 0,
        }
    }

    /// Injects faults for `duration`, then clears the faults of the log.
    pub async fn run(&mut self, duration: Duration) -> Result<()> {
        let start = Instant::now();
        while start.elapsed() < duration {
            let delay_ms = self.rng.random_range(FAULT_INTERVAL_MS.0..FAULT_INTERVAL_MS.1);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            let kind = *FAULT_KINDS.choose(&mut self.rng).unwrap_or(&FaultKind::LogSlow);
            *self.outcomes.faults.entry(kind).or_default() += 1;
            self.inject(kind).await?;
            if !matches!(kind, FaultKind::LogOutage) {
                self.change_count += 1;
                let changes = json!([{ "put_service": { "name": "beat", "deadline_ms": self.change_count } }]);
                let entry = self.random_entry();
                self.change(entry, &changes).await;
            }
            self.check_revisions().await;
        }
        self.fleet.inject_fault("log", &json!({})).await
    }

    fn random_engine(&mut self) -> String {
        let number = self.rng.random_range(0..self.fleet.spec.engines);
        format!("{}-{number}", self.fleet.spec.deployment.model())
    }

    fn random_service(&mut self) -> String {
        let number = self.rng.random_range(0..self.fleet.spec.services);
        format!("{}-{number}", self.fleet.spec.deployment.service())
    }

    fn random_sidecar(&mut self) -> String {
        let endpoint = if self.rng.random_bool(0.7) { self.random_engine() } else { self.random_service() };
        format!("sidecar-{endpoint}")
    }

    fn random_entry(&mut self) -> usize {
        self.rng.random_range(0..self.fleet.spec.entries)
    }

    async fn sleep_random(&mut self) {
        let ms = self.rng.random_range(200..MAX_FAULT_MS);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    async fn inject(&mut self, kind: FaultKind) -> Result<()> {
        let ms = self.rng.random_range(200..MAX_FAULT_MS);
        match kind {
            FaultKind::KillSidecar => {
                let name = self.random_sidecar();
                self.kill(&name).await
            }
            FaultKind::KillEngine => {
                let name = self.random_engine();
                self.kill(&name).await
            }
            FaultKind::KillEntry => {
                let entry = self.random_entry();
                self.with_fault_period(entry, false, async |injector| injector.kill(&format!("entry-{entry}")).await)
                    .await
            }
            FaultKind::FreezeSidecar => {
                let name = self.random_sidecar();
                self.freeze(&name).await
            }
            FaultKind::FreezeEntry => {
                let entry = self.random_entry();
                self.with_fault_period(entry, false, async |injector| injector.freeze(&format!("entry-{entry}")).await)
                    .await
            }
            FaultKind::FreezeEngine => {
                let name = self.random_engine();
                self.fleet.inject_fault(&name, &json!({ "freeze_ms": ms })).await
            }
            FaultKind::FreezeService => {
                let name = self.random_service();
                self.fleet.inject_fault(&name, &json!({ "freeze_ms": ms })).await
            }
            FaultKind::LoseServiceAnswers => {
                let name = self.random_service();
                self.fleet.inject_fault(&name, &json!({ "lose_answers": 3 })).await
            }
            FaultKind::LogOutage => self.fleet.inject_fault("log", &json!({ "outage_ms": ms })).await,
            FaultKind::LogSlow => {
                self.fleet.inject_fault("log", &json!({ "slow_ms": ms / 10 })).await?;
                self.sleep_random().await;
                self.fleet.inject_fault("log", &json!({})).await
            }
            FaultKind::LoseAppends => self.fleet.inject_fault("log", &json!({ "lose_answers": 5 })).await,
            FaultKind::VmsOutage => self.fleet.inject_fault("vms", &json!({ "outage_ms": ms })).await,
            FaultKind::StopSidecar => {
                let name = self.random_sidecar();
                self.stop(&name).await
            }
            FaultKind::StopEntry => {
                let entry = self.random_entry();
                self.with_fault_period(entry, true, async |injector| injector.stop(&format!("entry-{entry}")).await)
                    .await
            }
            FaultKind::Drain => self.drain_endpoint().await,
            FaultKind::RaceOperators => self.race_operators().await,
        }
    }

    /// Runs `fault`, waits until `entry` is ready again, and records the period in which its connections may break.
    async fn with_fault_period(
        &mut self,
        entry: usize,
        is_planned: bool,
        fault: impl AsyncFnOnce(&mut Self) -> Result<()>,
    ) -> Result<()> {
        let from = Instant::now();
        fault(self).await?;
        let address = self.fleet.entries[entry].clone();
        self.fleet.wait_ready(&address).await?;
        self.fault_periods.push(FaultPeriod { entry, from, until: Instant::now() + RECOVERY_PERIOD, is_planned });
        Ok(())
    }

    async fn kill(&mut self, name: &str) -> Result<()> {
        self.fleet.kill(name)?;
        self.sleep_random().await;
        self.fleet.restart(name)
    }

    async fn freeze(&mut self, name: &str) -> Result<()> {
        self.fleet.signal(name, Signal::STOP)?;
        self.sleep_random().await;
        self.fleet.signal(name, Signal::CONT)
    }

    async fn stop(&mut self, name: &str) -> Result<()> {
        self.fleet.signal(name, Signal::TERM)?;
        if !self.fleet.wait_exit(name, Duration::from_secs(60)).await? {
            self.outcomes.breaches.push(format!("{name} did not exit within 60 s of SIGTERM"));
            self.fleet.kill(name)?;
        }
        self.fleet.restart(name)
    }

    async fn drain_endpoint(&mut self) -> Result<()> {
        let name = self.random_engine();
        self.change(0, &json!([{ "drain": name }])).await;
        self.sleep_random().await;
        self.change(0, &json!([{ "undrain": name }])).await;
        Ok(())
    }

    async fn race_operators(&mut self) -> Result<()> {
        self.change_count += 1;
        let put = |deadline_ms: u64| json!([{ "put_service": { "name": "raced", "deadline_ms": deadline_ms } }]);
        let (first_plan, second_plan) = (put(self.change_count * 2), put(self.change_count * 2 + 1));
        let plans = (self.plan(0, &first_plan).await, self.plan(1, &second_plan).await);
        let (Some(first_plan), Some(second_plan)) = plans else { return Ok(()) };
        let (first, second) = tokio::join!(self.confirm(0, &first_plan), self.confirm(1, &second_plan));
        if let (Some(first), Some(second)) = (first, second) {
            self.outcomes
                .breaches
                .push(format!("two conflicting plans were both accepted: revisions {first} and {second}"));
        }
        if let Some(revision) = first.or(second) {
            self.await_in_force(revision).await;
        }
        Ok(())
    }

    async fn change(&mut self, entry: usize, changes: &serde_json::Value) {
        let Some(plan) = self.plan(entry, changes).await else { return };
        if let Some(revision) = self.confirm(entry, &plan).await {
            self.await_in_force(revision).await;
        }
    }

    async fn plan(&self, entry: usize, changes: &serde_json::Value) -> Option<String> {
        let body = json!({ "changes": changes });
        let response =
            self.fleet.client.send_json("POST", &self.fleet.entries[entry], "/v1/intents", OPERATOR_KEY, Some(&body));
        Some(response.await.ok()?.1["plan"].as_str()?.to_owned())
    }

    async fn confirm(&self, entry: usize, plan: &str) -> Option<u64> {
        let path = format!("/v1/plans/{plan}/confirm");
        let response = self.fleet.client.send_json("POST", &self.fleet.entries[entry], &path, OPERATOR_KEY, None);
        response.await.ok()?.1["revision"].as_u64()
    }

    /// Waits until a revision is in force at every entry and records the time to each.
    async fn await_in_force(&mut self, revision: u64) {
        self.outcomes.accepted += 1;
        let start = Instant::now();
        for entry in 0..self.fleet.spec.entries {
            while revision_at(&self.fleet.client, &self.fleet.entries[entry])
                .await
                .is_none_or(|reported| reported < revision)
            {
                if start.elapsed() > IN_FORCE_TIMEOUT {
                    self.outcomes
                        .breaches
                        .push(format!("revision {revision} is not in force at entry-{entry} after 7 s"));
                    return;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            self.in_force_times.push(start.elapsed());
        }
    }

    /// Checks that no entry reports an older revision than before, even after a restart.
    async fn check_revisions(&mut self) {
        for entry in 0..self.fleet.spec.entries {
            let Some(reported) = revision_at(&self.fleet.client, &self.fleet.entries[entry]).await else { continue };
            let newest = self.revisions.entry(entry).or_default();
            if reported < *newest && reported > 0 {
                self.outcomes
                    .breaches
                    .push(format!("entry-{entry} returned from revision {newest} to older revision {reported}"));
            }
            *newest = reported.max(*newest);
        }
    }

    /// Returns the results. In the ledger, lost requests that a fault of their entry explains become
    /// [`Outcome::EntryDown`].
    pub fn finish(mut self, ledger: &mut Ledger) -> Outcomes {
        for record in &mut ledger.records {
            if self.fault_periods.iter().any(|fault_periods| fault_periods.explains(record))
                && matches!(record.outcome, Outcome::Lost(_))
            {
                record.outcome = Outcome::EntryDown;
            }
        }
        self.outcomes.in_force_ms = compute_quantiles(self.in_force_times.iter().copied());
        self.outcomes
    }
}

async fn revision_at(client: &Client, entry: &str) -> Option<u64> {
    let call = client.send_json("GET", entry, "/v1/status", OPERATOR_KEY, None);
    let answer = tokio::time::timeout(Duration::from_secs(1), call).await.ok()?.ok()?;
    answer.1["revision"].as_u64()
}
