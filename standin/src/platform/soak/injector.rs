//! Faults of a soak, injected from outside and taken back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use eyre::Result;
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rustix::process::Signal;

use super::caller::{Phase, Shared, key};
use super::{EMPTIED, Plan, RECOVERY, REST};
use crate::platform::proxy::NetworkFault;
use crate::platform::replica::{Act, Replica};
use crate::platform::site::Site;
use crate::platform::store::{Copy, Fault};

/// How long the calm that is checked lasts.
const CALM: Duration = Duration::from_millis(1_500);
/// Pauses between faults, in milliseconds.
const BETWEEN: (u64, u64) = (50, 500);
/// How long a fault lasts, in milliseconds.
const LASTS: (u64, u64) = (100, 2_000);

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// An entry is killed, and started again.
    Kill,
    /// An entry is paused, and goes on.
    Freeze,
    /// An entry is told to end, and started again.
    Stop,
    /// An entry is told to read its settings.
    Reload,
    /// The store turns some or all entries away, does not answer, or loses answers.
    Store,
    /// The way between an entry and the store.
    StoreWay,
    /// The store forgets its history.
    Compact,
    /// A replica answers badly for a while.
    Answers,
    /// The way to a replica.
    ReplicaWay,
    /// The way from callers to an entry.
    CallerWay,
    /// Keys change.
    Keys,
    /// A replica announces its end.
    Drain,
    /// A failure domain is emptied, or that is taken back.
    Evacuate,
    /// A replica says in its answers that it leaves, and its record does not.
    Leave,
    /// A replica turns requests away for a while, and asks for rest.
    Rest,
    /// The store is copied, or comes back from that copy.
    Return,
}

const WORDS: [Kind; 3] = [Kind::Leave, Kind::Rest, Kind::Return];

const PLANNED: [Kind; 4] = [Kind::Stop, Kind::Reload, Kind::Keys, Kind::Compact];
const ALL: [Kind; 12] = [
    Kind::Kill,
    Kind::Freeze,
    Kind::Stop,
    Kind::Reload,
    Kind::Store,
    Kind::StoreWay,
    Kind::Compact,
    Kind::Answers,
    Kind::ReplicaWay,
    Kind::CallerWay,
    Kind::Keys,
    Kind::Drain,
];

/// Takes a fault back.
enum Undo {
    Launch(usize),
    Continue(usize),
    AwaitEnd(usize),
    Store(usize),
    Way(usize),
    Rest(Arc<Replica>),
    Return(Copy),
}

/// Injects faults and remembers what it has to take back.
pub struct Injector {
    /// The site.
    pub site: Site,
    shared: Arc<Shared>,
    random: SmallRng,
    undo: Vec<(Instant, Undo)>,
    /// Faults so far, by kind.
    pub faults: BTreeMap<Kind, usize>,
    /// When each key was taken away.
    pub revoked: BTreeMap<u64, Instant>,
    /// Replicas that announced their end, and when.
    pub drained: Vec<(Arc<Replica>, Instant)>,
    /// When the failure domain [`EMPTIED`] was emptied, and when that was taken back.
    pub evacuations: Vec<(Instant, Option<Instant>)>,
    /// Replicas that say in their answers that they leave, and since when.
    pub leavers: Vec<(Arc<Replica>, Instant)>,
    /// When an entry, if one is named, or any way was disturbed.
    pub disturbed: Vec<(Option<usize>, Instant)>,
    /// What the store had at some moment.
    copy: Option<Copy>,
    /// Promises that were seen broken while faults went on.
    pub breaches: Vec<String>,
}

impl Injector {
    /// An injector of faults into a running site.
    pub fn new(site: Site, shared: Arc<Shared>, random: SmallRng) -> Self {
        Self {
            site,
            shared,
            random,
            undo: Vec::new(),
            faults: BTreeMap::new(),
            revoked: BTreeMap::new(),
            drained: Vec::new(),
            evacuations: Vec::new(),
            leavers: Vec::new(),
            disturbed: Vec::new(),
            copy: None,
            breaches: Vec::new(),
        }
    }

    fn later(&mut self) -> Instant {
        Instant::now() + Duration::from_millis(self.random.random_range(LASTS.0..LASTS.1))
    }

    /// An entry whose process runs and is not on its way to its end.
    fn running(&mut self) -> Option<usize> {
        let busy = |entry: &usize| {
            self.undo.iter().any(|(_, undo)| {
                matches!(undo, Undo::Launch(other) | Undo::Continue(other) | Undo::AwaitEnd(other) if other == entry)
            })
        };
        let free: Vec<usize> =
            (0..self.site.doors.len()).filter(|entry| self.site.is_running(*entry) && !busy(entry)).collect();
        free.choose(&mut self.random).copied()
    }

    async fn inject(&mut self, kind: Kind) -> Result<()> {
        *self.faults.entry(kind).or_default() += 1;
        let at = self.later();
        match kind {
            Kind::Kill => {
                let Some(entry) = self.running() else { return Ok(()) };
                self.disturb(Some(entry));
                self.site.signal(entry, Signal::KILL)?;
                self.undo.push((at, Undo::Launch(entry)));
            }
            Kind::Freeze => {
                let Some(entry) = self.running() else { return Ok(()) };
                self.disturb(Some(entry));
                self.site.signal(entry, Signal::STOP)?;
                self.undo.push((at, Undo::Continue(entry)));
            }
            Kind::Stop => {
                let Some(entry) = self.running() else { return Ok(()) };
                self.disturb(Some(entry));
                self.site.signal(entry, Signal::TERM)?;
                self.undo.push((at, Undo::AwaitEnd(entry)));
            }
            Kind::Reload => {
                let Some(entry) = self.running().filter(|entry| self.site.has_started(*entry)) else { return Ok(()) };
                self.site.signal(entry, Signal::HUP)?;
            }
            Kind::Store => self.store_fault(at),
            Kind::StoreWay => self.way(0, at),
            Kind::ReplicaWay => self.way(1, at),
            Kind::CallerWay => self.way(2, at),
            Kind::Compact => {
                ["keyed.op", "keyed.servers", "keyed.peers"].iter().for_each(|topic| self.site.store.compact(topic))
            }
            Kind::Answers => self.bad_answers(),
            Kind::Keys => self.change_keys(),
            Kind::Drain => self.drain(),
            Kind::Evacuate => self.evacuate(),
            Kind::Leave => self.leave(),
            Kind::Rest => self.rest(at),
            Kind::Return => self.store_returns(at),
        }
        Ok(())
    }

    fn disturb(&mut self, entry: Option<usize>) {
        self.disturbed.push((entry, Instant::now()));
    }

    fn store_fault(&mut self, at: Instant) {
        let faults = [Fault::Unavailable, Fault::TooMany, Fault::Silent, Fault::DropResponses];
        let fault = *faults.choose(&mut self.random).unwrap_or(&Fault::Unavailable);
        let all = self.random.random_bool(0.4);
        let one = self.random.random_range(0..self.site.doors.len());
        for door in (0..self.site.doors.len()).filter(|door| all || *door == one) {
            self.site.doors[door].set(fault);
            self.undo.push((at, Undo::Store(door)));
        }
    }

    /// Spoils one way of a group: to the store, to replicas, from callers.
    fn way(&mut self, group: usize, at: Instant) {
        let proxies = &self.site.proxies;
        let groups = [proxies.store.len(), proxies.replicas.len(), proxies.callers.len()];
        // As `Proxies::all` numbers them: callers, store, replicas.
        let first = [groups[2], groups[2] + groups[0], 0][group];
        let index = first + self.random.random_range(0..groups[group]);
        let delay = Duration::from_millis(self.random.random_range(5..300));
        let ways = [
            NetworkFault::Delay(delay),
            NetworkFault::Reset,
            NetworkFault::DropForward,
            NetworkFault::DropBackward,
            NetworkFault::Blackhole,
        ];
        let way = *ways.choose(&mut self.random).unwrap_or(&NetworkFault::Reset);
        if let Some(proxy) = proxies.all().nth(index) {
            proxy.set_fault(way);
        }
        self.disturb(None);
        self.undo.push((at, Undo::Way(index)));
    }

    fn bad_answers(&mut self) {
        let acts = [
            Act::Refuse,
            Act::Fail,
            Act::LoseAnswer,
            Act::ForeignId,
            Act::Unsealed,
            Act::Unproven,
            Act::BreakAfter(3),
            Act::Stall(700),
        ];
        let replicas: Vec<&Arc<Replica>> = self.site.engines.iter().chain(&self.site.plain).collect();
        let Some(replica) = replicas.choose(&mut self.random) else { return };
        let count = self.random.random_range(1..6);
        replica.next((0..count).filter_map(|_| acts.choose(&mut self.random).copied()));
    }

    /// Adds a key and takes the one before the last away.
    fn change_keys(&mut self) {
        let newest = self.shared.key.load(Ordering::Relaxed) + 1;
        let (new, last) = (key(newest), key(newest - 1));
        self.site.configure(&[new.as_str(), last.as_str()], |_| {});
        if let Some(old) = newest.checked_sub(2) {
            self.revoked.entry(old).or_insert_with(Instant::now);
        }
        self.shared.key.store(newest, Ordering::Relaxed);
    }

    /// One engine and one plain replica at most announce their end, so that some are left.
    fn drain(&mut self) {
        let index = self.drained.len();
        let (service, replica) = match index {
            0 => ("advisor", self.site.engines[0].clone()),
            1 => ("ledger", self.site.plain[0].clone()),
            _ => return,
        };
        self.site.store.put("keyed.servers", &replica.id, replica.record(service, "draining"));
        self.drained.push((replica, Instant::now()));
    }

    /// One engine and one plain replica at most say in their answers that they leave, so that some are left.
    fn leave(&mut self) {
        let replica = match self.leavers.len() {
            0 => self.site.engines[1].clone(),
            1 => self.site.plain[1].clone(),
            _ => return,
        };
        replica.say_leaving();
        self.leavers.push((replica, Instant::now()));
    }

    /// The last engine or plain replica asks for rest for a while.
    fn rest(&mut self, at: Instant) {
        let replicas = if self.random.random_bool(0.5) { &self.site.engines } else { &self.site.plain };
        let Some(replica) = replicas.last().cloned() else { return };
        replica.ask_rest(Some(&REST.as_secs().to_string()));
        self.undo.push((at, Undo::Rest(replica)));
    }

    /// Copies the store, or has it go away and come back from the copy that was taken before.
    fn store_returns(&mut self, at: Instant) {
        let Some(copy) = self.copy.take() else {
            self.copy = Some(self.site.store.copy());
            return;
        };
        for door in 0..self.site.doors.len() {
            self.site.doors[door].set(Fault::Unavailable);
            self.undo.push((at, Undo::Store(door)));
        }
        self.undo.push((at, Undo::Return(copy)));
    }

    /// The store comes back from a copy; what operators and replicas wrote is written again.
    fn come_back_from(&self, copy: Copy) {
        self.site.store.come_back_from(copy);
        let newest = self.shared.key.load(Ordering::Relaxed);
        let last = newest.saturating_sub(1);
        self.site.configure_again(&[key(newest).as_str(), key(last).as_str()]);
        if self.evacuations.last().is_some_and(|(_, ended)| ended.is_none()) {
            self.site.evacuate(EMPTIED);
        }
        self.site.announce_all();
        for (index, (replica, _)) in self.drained.iter().enumerate() {
            let service = if index == 0 { "advisor" } else { "ledger" };
            self.site.store.put("keyed.servers", &replica.id, replica.record(service, "draining"));
        }
    }

    /// Empties the failure domain, or takes that back.
    fn evacuate(&mut self) {
        let now = Instant::now();
        if let Some((_, ended @ None)) = self.evacuations.last_mut() {
            *ended = Some(now);
            self.site.end_evacuation(EMPTIED);
        } else {
            self.evacuations.push((now, None));
            self.site.evacuate(EMPTIED);
        }
    }

    /// Takes back what is due; everything if `all`.
    async fn take_back(&mut self, all: bool) -> Result<()> {
        let now = Instant::now();
        let (due, left) = self.undo.drain(..).partition(|(at, _)| all || *at <= now);
        self.undo = left;
        let due: Vec<(Instant, Undo)> = due;
        for (_, undo) in due {
            match undo {
                Undo::Launch(entry) => self.site.restart(entry).await?,
                Undo::Continue(entry) => {
                    self.disturb(Some(entry));
                    self.site.signal(entry, Signal::CONT)?;
                }
                Undo::AwaitEnd(entry) => {
                    if !self.site.wait_end(entry).await? {
                        self.breaches.push(format!("entry {entry} did not end well after SIGTERM"));
                    }
                    self.site.restart(entry).await?;
                }
                Undo::Rest(replica) => replica.ask_rest(None),
                Undo::Return(copy) => self.come_back_from(copy),
                Undo::Store(door) => self.site.doors[door].set(Fault::None),
                Undo::Way(index) => {
                    if let Some(proxy) = self.site.proxies.all().nth(index) {
                        proxy.set_fault(NetworkFault::None);
                    }
                }
            }
        }
        Ok(())
    }

    /// One round: faults, healing, a calm that is checked.
    pub async fn round(&mut self, plan: &Plan, planned: bool) -> Result<()> {
        let mut kinds = if planned { PLANNED.to_vec() } else { ALL.to_vec() };
        if plan.evacuations {
            kinds.push(Kind::Evacuate);
        }
        if plan.words {
            kinds.extend(WORDS);
        }
        self.shared.enter(if planned { Phase::Planned } else { Phase::Faults });
        self.shared.stale_keys.store(true, Ordering::Relaxed);
        let end = Instant::now() + plan.faults;
        while Instant::now() < end {
            let kind = *kinds.choose(&mut self.random).unwrap_or(&Kind::Reload);
            self.inject(kind).await?;
            let pause = Duration::from_millis(self.random.random_range(BETWEEN.0..BETWEEN.1));
            tokio::time::sleep(pause).await;
            self.take_back(false).await?;
        }
        self.take_back(true).await?;
        self.site.engines.iter().chain(&self.site.plain).for_each(|replica| replica.clear_behaviors());
        // Callers whose requests wait behind what was healed come to their ends.
        tokio::time::sleep(RECOVERY).await;
        for entry in 0..self.site.doors.len() {
            if !self.site.is_ready(entry).await {
                self.breaches.push(format!("entry {entry} is not ready {} s after the last fault", RECOVERY.as_secs()));
            }
        }
        self.shared.stale_keys.store(false, Ordering::Relaxed);
        self.shared.enter(Phase::Calm);
        tokio::time::sleep(CALM).await;
        self.shared.enter(Phase::Faults);
        Ok(())
    }
}
