//! A long run of the whole fleet under random faults from a seed, with a ledger at the end.

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

/// Shortest and longest pause between faults.
const BETWEEN: (u64, u64) = (500, 3_000);
/// Longest that a process stays frozen or the platform out, in milliseconds.
const LONGEST: u64 = 3_000;
/// An accepted change must be in force at every entry that is up within this time.
const IN_FORCE: Duration = Duration::from_secs(7);
/// How long an entry that was killed or frozen still excuses a broken connection.
const SETTLE: Duration = Duration::from_secs(2);

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A sidecar is killed and started again.
    KillSidecar,
    /// An engine is killed and started again.
    KillEngine,
    /// An entry is killed and started again.
    KillEntry,
    /// A sidecar stands still for a while.
    FreezeSidecar,
    /// An engine stands still for a while.
    FreezeEngine,
    /// An entry stands still for a while.
    FreezeEntry,
    /// A service stands still for a while.
    FreezeService,
    /// A service does calls whose answers are lost.
    LoseServiceAnswers,
    /// The log answers nothing for a while.
    LogOutage,
    /// The log is slow for a while.
    LogSlow,
    /// The log takes appends whose answers are lost.
    LoseAppends,
    /// The VM list answers nothing for a while.
    VmsOutage,
    /// A sidecar is stopped in the planned way and started again.
    StopSidecar,
    /// An entry is stopped in the planned way and started again.
    StopEntry,
    /// An endpoint is drained, and the drain taken back.
    Drain,
    /// Two operators change one item at once.
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

/// An entry that could not be relied on for a while.
#[derive(Clone, Copy, Debug)]
struct Down {
    entry: usize,
    from: Instant,
    until: Instant,
    /// It was stopped in the planned way: what was in flight must come to its answer.
    planned: bool,
}

impl Down {
    /// Whether it excuses that a request's connection broke. A balancer would have sent nothing
    /// to an entry that is stopping; this tool's callers are not behind one.
    fn excuses(&self, line: &Line) -> bool {
        let flown = if self.planned { line.sent >= self.from } else { line.ended > self.from };
        self.entry == line.entry && line.sent < self.until && flown
    }
}

/// What came of a soak, besides the ledger.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcomes {
    /// Faults by kind.
    pub faults: BTreeMap<Kind, usize>,
    /// Accepted changes.
    pub accepted: usize,
    /// Time from acceptance to in force, over all entries that were up.
    pub in_force_ms: Quantiles,
    /// Breaches that the soak itself saw.
    pub breaches: Vec<String>,
}

/// Injects faults.
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
    /// An injector whose faults follow from `seed`.
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

    /// Injects faults for `span`, then leaves everything whole again.
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

    /// Notes that what is sent to `entry` meanwhile may lose its connection.
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
            self.outcomes.breaches.push(format!("{name} did not end by itself within a minute"));
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
            self.outcomes.breaches.push(format!("two racing plans on one base were accepted: {first} and {second}"));
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

    /// Waits until a revision is in force at every entry, and notes how long that took.
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

    /// Checks that no entry shows an older revision than it, or one before it in its place, has shown.
    async fn watch_revisions(&mut self) {
        for entry in 0..self.fleet.spec.entries {
            let Some(seen) = revision_at(&self.fleet.client, &self.fleet.entries[entry]).await else { continue };
            let last = self.revisions.entry(entry).or_default();
            if seen < *last && seen > 0 {
                self.outcomes.breaches.push(format!("entry-{entry} went from revision {last} back to {seen}"));
            }
            *last = seen.max(*last);
        }
    }

    /// The outcomes; broken connections to entries that were down are told apart in the ledger.
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
