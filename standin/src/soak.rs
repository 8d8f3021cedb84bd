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
use crate::ledger::{Ledger, Line, Outcome};
use crate::report::{Quantiles, quantiles};

/// Minimum and maximum delay between two faults, in milliseconds.
const BETWEEN: (u64, u64) = (500, 3_000);
/// Maximum duration of a suspension or outage, in milliseconds.
const LONGEST: u64 = 3_000;
/// Time within which an accepted change must be in force at every running entry.
const IN_FORCE: Duration = Duration::from_secs(7);
/// Time after an entry is ready again within which a broken connection still counts as caused by its fault.
const SETTLE: Duration = Duration::from_secs(2);

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
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

const KINDS: [Kind; 16] = [
    Kind::KillSidecar,
    Kind::KillEngine,
    Kind::KillEntry,
    Kind::FreezeSidecar,
    Kind::FreezeEngine,
    Kind::FreezeEntry,
    Kind::FreezeService,
    Kind::LoseServiceAnswers,
    Kind::LogOutage,
    Kind::LogSlow,
    Kind::LoseAppends,
    Kind::VmsOutage,
    Kind::StopSidecar,
    Kind::StopEntry,
    Kind::Drain,
    Kind::RaceOperators,
];

/// Period in which an entry was subject to a fault.
#[derive(Clone, Copy, Debug)]
struct Down {
    entry: usize,
    from: Instant,
    until: Instant,
    /// Whether the entry was shut down with SIGTERM, so that requests in flight must still be answered.
    planned: bool,
}

impl Down {
    /// Returns whether the fault explains a request's broken connection. A load balancer sends no new requests to an
    /// entry that is shutting down, but the callers of this tool connect to entries directly.
    fn excuses(&self, line: &Line) -> bool {
        let flown = if self.planned { line.sent >= self.from } else { line.ended > self.from };
        self.entry == line.entry && line.sent < self.until && flown
    }
}

/// Results of a soak, in addition to the ledger.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcomes {
    /// Number of injected faults by kind.
    pub faults: BTreeMap<Kind, usize>,
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
    random: SmallRng,
    down: Vec<Down>,
    outcomes: Outcomes,
    in_force: Vec<Duration>,
    revisions: BTreeMap<usize, u64>,
    changes: u64,
}

impl<'a> Injector<'a> {
    /// Creates an injector whose faults are derived from `seed`.
    pub fn new(fleet: &'a mut Fleet, seed: u64) -> Self {
        Self {
            fleet,
            random: SmallRng::seed_from_u64(seed),
            down: Vec::new(),
            outcomes: Outcomes::default(),
            in_force: Vec::new(),
            revisions: BTreeMap::new(),
            changes: 0,
        }
    }

    /// Injects faults for `span`, then clears the faults of the log.
    pub async fn run(&mut self, span: Duration) -> Result<()> {
        let start = Instant::now();
        while start.elapsed() < span {
            let pause = self.random.random_range(BETWEEN.0..BETWEEN.1);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let kind = *KINDS.choose(&mut self.random).unwrap_or(&Kind::LogSlow);
            *self.outcomes.faults.entry(kind).or_default() += 1;
            self.inject(kind).await?;
            if !matches!(kind, Kind::LogOutage) {
                self.changes += 1;
                let changes = json!([{ "put_service": { "name": "beat", "deadline_ms": self.changes } }]);
                let entry = self.entry();
                self.change(entry, &changes).await;
            }
            self.watch_revisions().await;
        }
        self.fleet.fault("log", &json!({})).await
    }

    fn engine(&mut self) -> String {
        let number = self.random.random_range(0..self.fleet.spec.engines);
        format!("{}-{number}", self.fleet.spec.deployment.model())
    }

    fn service(&mut self) -> String {
        let number = self.random.random_range(0..self.fleet.spec.services);
        format!("{}-{number}", self.fleet.spec.deployment.service())
    }

    fn sidecar(&mut self) -> String {
        let endpoint = if self.random.random_bool(0.7) { self.engine() } else { self.service() };
        format!("sidecar-{endpoint}")
    }

    fn entry(&mut self) -> usize {
        self.random.random_range(0..self.fleet.spec.entries)
    }

    async fn a_while(&mut self) {
        let ms = self.random.random_range(200..LONGEST);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    async fn inject(&mut self, kind: Kind) -> Result<()> {
        let ms = self.random.random_range(200..LONGEST);
        match kind {
            Kind::KillSidecar => {
                let name = self.sidecar();
                self.kill(&name).await
            }
            Kind::KillEngine => {
                let name = self.engine();
                self.kill(&name).await
            }
            Kind::KillEntry => {
                let entry = self.entry();
                self.unreliable(entry, false, async |this| this.kill(&format!("entry-{entry}")).await).await
            }
            Kind::FreezeSidecar => {
                let name = self.sidecar();
                self.freeze(&name).await
            }
            Kind::FreezeEntry => {
                let entry = self.entry();
                self.unreliable(entry, false, async |this| this.freeze(&format!("entry-{entry}")).await).await
            }
            Kind::FreezeEngine => {
                let name = self.engine();
                self.fleet.fault(&name, &json!({ "freeze_ms": ms })).await
            }
            Kind::FreezeService => {
                let name = self.service();
                self.fleet.fault(&name, &json!({ "freeze_ms": ms })).await
            }
            Kind::LoseServiceAnswers => {
                let name = self.service();
                self.fleet.fault(&name, &json!({ "lose_answers": 3 })).await
            }
            Kind::LogOutage => self.fleet.fault("log", &json!({ "outage_ms": ms })).await,
            Kind::LogSlow => {
                self.fleet.fault("log", &json!({ "slow_ms": ms / 10 })).await?;
                self.a_while().await;
                self.fleet.fault("log", &json!({})).await
            }
            Kind::LoseAppends => self.fleet.fault("log", &json!({ "lose_answers": 5 })).await,
            Kind::VmsOutage => self.fleet.fault("vms", &json!({ "outage_ms": ms })).await,
            Kind::StopSidecar => {
                let name = self.sidecar();
                self.stop(&name).await
            }
            Kind::StopEntry => {
                let entry = self.entry();
                self.unreliable(entry, true, async |this| this.stop(&format!("entry-{entry}")).await).await
            }
            Kind::Drain => self.drain().await,
            Kind::RaceOperators => self.race().await,
        }
    }

    /// Runs `act`, waits until `entry` is ready again, and records the period in which its connections may break.
    async fn unreliable(
        &mut self,
        entry: usize,
        planned: bool,
        act: impl AsyncFnOnce(&mut Self) -> Result<()>,
    ) -> Result<()> {
        let from = Instant::now();
        act(self).await?;
        let address = self.fleet.entries[entry].clone();
        self.fleet.wait_ready(&address).await?;
        self.down.push(Down { entry, from, until: Instant::now() + SETTLE, planned });
        Ok(())
    }

    async fn kill(&mut self, name: &str) -> Result<()> {
        self.fleet.kill(name)?;
        self.a_while().await;
        self.fleet.restart(name)
    }

    async fn freeze(&mut self, name: &str) -> Result<()> {
        self.fleet.signal(name, Signal::STOP)?;
        self.a_while().await;
        self.fleet.signal(name, Signal::CONT)
    }

    async fn stop(&mut self, name: &str) -> Result<()> {
        self.fleet.signal(name, Signal::TERM)?;
        if !self.fleet.wait_end(name, Duration::from_secs(60)).await? {
            self.outcomes.breaches.push(format!("{name} did not exit within 60 s of SIGTERM"));
            self.fleet.kill(name)?;
        }
        self.fleet.restart(name)
    }

    async fn drain(&mut self) -> Result<()> {
        let name = self.engine();
        self.change(0, &json!([{ "drain": name }])).await;
        self.a_while().await;
        self.change(0, &json!([{ "undrain": name }])).await;
        Ok(())
    }

    async fn race(&mut self) -> Result<()> {
        self.changes += 1;
        let put = |deadline_ms: u64| json!([{ "put_service": { "name": "raced", "deadline_ms": deadline_ms } }]);
        let (one, other) = (put(self.changes * 2), put(self.changes * 2 + 1));
        let plans = (self.plan(0, &one).await, self.plan(1, &other).await);
        let (Some(one), Some(other)) = plans else { return Ok(()) };
        let (first, second) = tokio::join!(self.confirm(0, &one), self.confirm(1, &other));
        if let (Some(first), Some(second)) = (first, second) {
            self.outcomes
                .breaches
                .push(format!("two conflicting plans were both accepted: revisions {first} and {second}"));
        }
        if let Some(revision) = first.or(second) {
            self.accepted(revision).await;
        }
        Ok(())
    }

    async fn change(&mut self, entry: usize, changes: &serde_json::Value) {
        let Some(plan) = self.plan(entry, changes).await else { return };
        if let Some(revision) = self.confirm(entry, &plan).await {
            self.accepted(revision).await;
        }
    }

    async fn plan(&self, entry: usize, changes: &serde_json::Value) -> Option<String> {
        let body = json!({ "changes": changes });
        let call = self.fleet.client.json("POST", &self.fleet.entries[entry], "/v1/intents", OPERATOR_KEY, Some(&body));
        Some(call.await.ok()?.1["plan"].as_str()?.to_owned())
    }

    async fn confirm(&self, entry: usize, plan: &str) -> Option<u64> {
        let path = format!("/v1/plans/{plan}/confirm");
        let call = self.fleet.client.json("POST", &self.fleet.entries[entry], &path, OPERATOR_KEY, None);
        call.await.ok()?.1["revision"].as_u64()
    }

    /// Waits until a revision is in force at every entry and records the time to each.
    async fn accepted(&mut self, revision: u64) {
        self.outcomes.accepted += 1;
        let start = Instant::now();
        for entry in 0..self.fleet.spec.entries {
            while revision_at(&self.fleet.client, &self.fleet.entries[entry]).await.is_none_or(|seen| seen < revision) {
                if start.elapsed() > IN_FORCE {
                    self.outcomes
                        .breaches
                        .push(format!("revision {revision} is not in force at entry-{entry} after 7 s"));
                    return;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            self.in_force.push(start.elapsed());
        }
    }

    /// Checks that no entry reports an older revision than before, even after a restart.
    async fn watch_revisions(&mut self) {
        for entry in 0..self.fleet.spec.entries {
            let Some(seen) = revision_at(&self.fleet.client, &self.fleet.entries[entry]).await else { continue };
            let last = self.revisions.entry(entry).or_default();
            if seen < *last && seen > 0 {
                self.outcomes
                    .breaches
                    .push(format!("entry-{entry} returned from revision {last} to older revision {seen}"));
            }
            *last = seen.max(*last);
        }
    }

    /// Returns the results. In the ledger, lost requests that a fault of their entry explains become
    /// [`Outcome::EntryDown`].
    pub fn close(mut self, ledger: &mut Ledger) -> Outcomes {
        for line in &mut ledger.lines {
            if self.down.iter().any(|down| down.excuses(line)) && matches!(line.outcome, Outcome::Lost(_)) {
                line.outcome = Outcome::EntryDown;
            }
        }
        self.outcomes.in_force_ms = quantiles(self.in_force.iter().copied());
        self.outcomes
    }
}

async fn revision_at(client: &Client, entry: &str) -> Option<u64> {
    let call = client.json("GET", entry, "/v1/status", OPERATOR_KEY, None);
    let answer = tokio::time::timeout(Duration::from_secs(1), call).await.ok()?.ok()?;
    answer.1["revision"].as_u64()
}
