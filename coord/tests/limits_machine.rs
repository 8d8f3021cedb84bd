//! Simulated entries beside rate-limited replicas, with delayed reports, lost leaders and partitions.
//!
//! Whatever is lost, in any window of four seconds a replica receives from informed entries at most one and a half
//! times its limit plus five requests. Without faults, at least nine tenths of a limit are used if there is enough
//! demand.

use std::collections::BTreeMap;

use coord::limit::{Allowance, Group, News, Register, Word};
use coord::name::Name;
use coord::time::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Duration of a step, in milliseconds.
const STEP_MS: u64 = 5;
/// Steps in a window of four seconds.
const WINDOW: u64 = 4_000 / STEP_MS;
/// First step at which the bound holds, three seconds after the limit was announced.
const BEGINS: u64 = 3_000 / STEP_MS;
/// Steps after its own first response at which an entry counts as informed; half a second.
const TOLD: u64 = 500 / STEP_MS;
/// Steps between two heartbeats of the leader.
const BEAT: u64 = 150 / STEP_MS;
/// Transit time of a report between two entries, in steps.
const WAY: u64 = 2;

/// Simulated entry.
struct Entry {
    register: Register,
    allowances: BTreeMap<Name, Allowance>,
    group: Group,
    /// Leader of the entry; the entry itself if it has no other.
    leader: usize,
    /// Side of the partition that the entry is on.
    side: usize,
    /// Step until which the entry has no leader.
    alone_until: u64,
    /// Step of its first own response with a limit, by replica.
    told: BTreeMap<Name, u64>,
}

/// Parameters of a simulation.
struct Load {
    entries: usize,
    rates: Vec<f64>,
    /// Probability per step that leaders are lost, or a partition starts or ends.
    trouble: f64,
    /// Requests per second for each replica; most of them arrive at a few entries.
    demand: f64,
}

struct Fleet {
    load: Load,
    random: SmallRng,
    entries: Vec<Entry>,
    step: u64,
    /// Requests received by replica, with the step and whether the entry was informed.
    arrivals: BTreeMap<Name, Vec<(u64, bool)>>,
    /// Reports in transit, with the arrival step and the receiving entry.
    ways: Vec<(u64, usize, News)>,
}

impl Fleet {
    fn new(load: Load, seed: u64) -> Self {
        let entry = |_| Entry {
            register: Register::default(),
            allowances: BTreeMap::new(),
            group: Group::default(),
            leader: 0,
            side: 0,
            alone_until: 0,
            told: BTreeMap::new(),
        };
        let entries = (0..load.entries).map(entry).collect();
        let random = SmallRng::seed_from_u64(seed);
        Self { load, random, entries, step: 0, arrivals: BTreeMap::new(), ways: Vec::new() }
    }

    fn now(&self) -> Moment {
        Moment::from_millis(100_000 + self.step * STEP_MS)
    }

    fn name(replica: usize) -> Name {
        format!("replica-{replica}").into()
    }

    /// Returns the current leader of an entry.
    fn decides(&self, entry: usize) -> usize {
        let known = &self.entries[entry];
        if self.step < known.alone_until { entry } else { known.leader }
    }

    /// Elects a leader on each side of the partition.
    fn regroup(&mut self) {
        for side in 0..2 {
            let members: Vec<usize> = (0..self.load.entries).filter(|e| self.entries[*e].side == side).collect();
            if members.is_empty() {
                continue;
            }
            let leader = members[self.random.random_range(0..members.len())];
            for member in &members {
                // The loss of a leader is noticed at once or after several heartbeats; its successor is found some
                // tens of milliseconds later.
                let gap = self.random.random_range(0..100);
                self.entries[*member].alone_until = self.step + gap;
                self.entries[*member].leader = leader;
                self.begin_anew(*member);
            }
            self.entries[leader].alone_until = 0;
        }
    }

    /// Resets the token buckets of an entry that has no record of what other leaders granted recently.
    fn begin_anew(&mut self, entry: usize) {
        let now = self.now();
        for allowance in self.entries[entry].allowances.values_mut() {
            allowance.restart(self.random.random_range(0.0..1.0), now);
        }
    }

    /// Returns the number of entries that follow `leader`, including itself.
    fn together(&self, leader: usize) -> usize {
        (0..self.load.entries).filter(|other| self.decides(*other) == leader).count().max(1)
    }

    /// Every entry learns the size of its group from its leader.
    fn beat(&mut self) {
        let now = self.now();
        for entry in 0..self.load.entries {
            let together = self.together(self.decides(entry));
            self.entries[entry].group.note(together, now);
        }
    }

    /// Applies the limits and the group share that a leader has recorded.
    fn apply(&mut self, entry: usize) {
        let now = self.now();
        let together = self.together(entry);
        let start = self.random.random_range(0.0..1.0);
        let known = &mut self.entries[entry];
        known.group.note(together, now);
        let share = known.group.share(together, 0, now);
        for (replica, rate) in known.register.limited() {
            let allowance = known.allowances.entry(replica.clone());
            allowance.or_insert_with(|| Allowance::new(rate, share, start, now)).set(rate, share, now);
        }
    }

    /// Sends a request from an entry to a replica if its leader allows it.
    fn send(&mut self, entry: usize, replica: usize) {
        let (name, now) = (Self::name(replica), self.now());
        let leader = self.decides(entry);
        self.apply(leader);
        let deciding = &mut self.entries[leader];
        if deciding.register.rate(&name).is_some() {
            let Some(allowance) = deciding.allowances.get_mut(&name).filter(|allowance| allowance.admits(now)) else {
                return;
            };
            allowance.take(now);
        }
        let told = self.entries[entry].told.get(&name).is_some_and(|at| at + TOLD <= self.step);
        self.arrivals.entry(name.clone()).or_default().push((self.step, told));
        let word = Word { rate: Some(self.load.rates[replica]), asked: now, heard: now };
        self.entries[entry].told.entry(name.clone()).or_insert(self.step);
        if self.entries[entry].register.hear(&name, word) {
            self.pass_on(entry, &News::of(&name, &word, now));
        }
    }

    /// Sends a report to all entries with the same leader.
    fn pass_on(&mut self, entry: usize, news: &News) {
        let leader = self.decides(entry);
        for other in 0..self.load.entries {
            if other != entry && self.decides(other) == leader {
                self.ways.push((self.step + WAY, other, news.clone()));
            }
        }
    }

    fn step(&mut self) {
        let now = self.now();
        let (due, later) = std::mem::take(&mut self.ways).into_iter().partition(|(at, ..)| *at <= self.step);
        self.ways = later;
        let due: Vec<(u64, usize, News)> = due;
        for (_, entry, news) in due {
            self.entries[entry].register.hear(&news.replica, news.word(now));
        }
        if self.random.random_bool(self.load.trouble) {
            let is_cut = self.random.random_bool(0.5);
            for entry in 0..self.load.entries {
                self.entries[entry].side = if is_cut { self.random.random_range(0..2) } else { 0 };
            }
            self.regroup();
        }
        if self.step.is_multiple_of(BEAT) {
            self.beat();
        }
        for replica in 0..self.load.rates.len() {
            if self.random.random_bool(self.load.demand * STEP_MS as f64 / 1e3) {
                // Two thirds of the requests arrive at the first fifth of the entries.
                let few = (self.load.entries / 5).max(1);
                let among = if self.random.random_bool(0.66) { few } else { self.load.entries };
                let entry = self.random.random_range(0..among);
                self.send(entry, replica);
            }
        }
        self.step += 1;
    }

    /// Returns the maximum number of requests from informed entries within a window that starts at `from` or later.
    fn most(&self, replica: usize, from: u64) -> usize {
        let Some(arrivals) = self.arrivals.get(&Self::name(replica)) else { return 0 };
        let counted: Vec<u64> = arrivals.iter().filter(|(_, told)| *told).map(|(step, _)| *step).collect();
        let begins = counted.iter().filter(|step| **step >= from);
        let within = |begin: u64| counted.iter().filter(|step| (begin..begin + WINDOW).contains(*step)).count();
        begins.map(|begin| within(*begin)).max().unwrap_or(0)
    }
}

#[test]
fn no_replica_gets_more_than_the_rule_allows_whatever_is_lost() {
    for seed in 0..150 {
        let mut random = SmallRng::seed_from_u64(1_000 + seed);
        let rates: Vec<f64> = (0..3).map(|_| random.random_range(0.5..8.0)).collect();
        // A leader is lost, or a partition starts or ends, every three seconds on average.
        let load = Load { entries: random.random_range(3..50), rates, trouble: 0.005 / 3.0, demand: 40.0 };
        let mut fleet = Fleet::new(load, seed);
        (0..6_000).for_each(|_| fleet.step());
        for replica in 0..3 {
            let rate = fleet.load.rates[replica];
            let allowed = (1.5 * rate * 4.0 + 5.0) as usize;
            let most = fleet.most(replica, BEGINS);
            assert!(most <= allowed, "seed {seed}: {most} where {allowed} are allowed at {rate} a second");
        }
    }
}

#[test]
fn in_the_calm_nine_tenths_of_a_limit_are_used_and_no_more_than_it() {
    for seed in 0..20 {
        let load = Load { entries: 5 + seed as usize * 2, rates: vec![1.0, 2.3, 7.0], trouble: 0.0, demand: 40.0 };
        let mut fleet = Fleet::new(load, seed);
        (0..12_000).for_each(|_| fleet.step());
        for (replica, rate) in [1.0, 2.3, 7.0].into_iter().enumerate() {
            let sent = fleet.arrivals[&Fleet::name(replica)].iter().filter(|(step, _)| *step >= BEGINS).count();
            let fits = rate * (12_000 - BEGINS) as f64 * STEP_MS as f64 / 1e3;
            assert!(sent as f64 >= 0.9 * fits, "seed {seed}: {sent} of {fits} sent");
            let most = fleet.most(replica, BEGINS);
            assert!(most as f64 <= rate * 4.0 + (rate * 0.25).max(1.0) + 1.0, "seed {seed}: {most} in a window");
        }
    }
}
