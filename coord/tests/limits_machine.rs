//! Simulated entries beside rate-limited replicas, with delayed reports, lost leaders and partitions.
//!
//! Whatever is lost, in any window of four seconds a replica receives from informed entries at most one and a half
//! times its limit plus five requests. Without faults, at least nine tenths of a limit are used if there is enough
//! demand.

use std::collections::BTreeMap;

use coord::limit::{GroupSize, RelayedReport, ReplicaLimits, TimedReport, TokenBucket};
use coord::name::Name;
use coord::time::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Duration of a step, in milliseconds.
const STEP_MS: u64 = 5;
/// Steps in a window of four seconds.
const WINDOW_STEPS: u64 = 4_000 / STEP_MS;
/// First step at which the bound holds, three seconds after the limit was announced.
const FIRST_BOUND_STEP: u64 = 3_000 / STEP_MS;
/// Steps after its own first response at which an entry counts as informed; half a second.
const INFORM_DELAY_STEPS: u64 = 500 / STEP_MS;
/// Steps between two heartbeats of the leader.
const HEARTBEAT_STEPS: u64 = 150 / STEP_MS;
/// Transit time of a report between two entries, in steps.
const TRANSIT_STEPS: u64 = 2;

struct Entry {
    limits: ReplicaLimits,
    allowances: BTreeMap<Name, TokenBucket>,
    group: GroupSize,
    /// Leader of the entry; the entry itself if it has no other.
    leader: usize,
    /// Side of the partition that the entry is on.
    side: usize,
    /// Step until which the entry has no leader.
    leaderless_until: u64,
    /// Step of its first own response with a limit, by replica.
    first_reported: BTreeMap<Name, u64>,
}

struct Parameters {
    entries: usize,
    rates: Vec<f64>,
    /// Probability per step that leaders are lost, or a partition starts or ends.
    fault_probability: f64,
    /// Requests per second for each replica; most of them arrive at a few entries.
    demand: f64,
}

struct Simulation {
    parameters: Parameters,
    random: SmallRng,
    entries: Vec<Entry>,
    step: u64,
    /// Requests received by replica, with the step and whether the entry was informed.
    arrivals: BTreeMap<Name, Vec<(u64, bool)>>,
    /// Reports in transit, with the arrival step and the receiving entry.
    in_transit: Vec<(u64, usize, RelayedReport)>,
}

impl Simulation {
    fn new(parameters: Parameters, seed: u64) -> Self {
        let entry = |_| Entry {
            limits: ReplicaLimits::default(),
            allowances: BTreeMap::new(),
            group: GroupSize::default(),
            leader: 0,
            side: 0,
            leaderless_until: 0,
            first_reported: BTreeMap::new(),
        };
        let entries = (0..parameters.entries).map(entry).collect();
        let random = SmallRng::seed_from_u64(seed);
        Self { parameters, random, entries, step: 0, arrivals: BTreeMap::new(), in_transit: Vec::new() }
    }

    fn now(&self) -> Moment {
        Moment::from_millis(100_000 + self.step * STEP_MS)
    }

    fn name(replica: usize) -> Name {
        format!("replica-{replica}").into()
    }

    /// Returns the current leader of an entry.
    fn leader_of(&self, entry: usize) -> usize {
        let state = &self.entries[entry];
        if self.step < state.leaderless_until { entry } else { state.leader }
    }

    /// Elects a leader on each side of the partition.
    fn elect_leaders(&mut self) {
        for side in 0..2 {
            let members: Vec<usize> = (0..self.parameters.entries).filter(|e| self.entries[*e].side == side).collect();
            if members.is_empty() {
                continue;
            }
            let leader = members[self.random.random_range(0..members.len())];
            for member in &members {
                // The loss of a leader is noticed at once or after several heartbeats; its successor is found some
                // tens of milliseconds later.
                let gap = self.random.random_range(0..100);
                self.entries[*member].leaderless_until = self.step + gap;
                self.entries[*member].leader = leader;
                self.reset_buckets(*member);
            }
            self.entries[leader].leaderless_until = 0;
        }
    }

    /// Resets the token buckets of an entry that has no record of what other leaders granted recently.
    fn reset_buckets(&mut self, entry: usize) {
        let now = self.now();
        for allowance in self.entries[entry].allowances.values_mut() {
            allowance.reset(self.random.random_range(0.0..1.0), now);
        }
    }

    /// Returns the number of entries that follow `leader`, including itself.
    fn group_size(&self, leader: usize) -> usize {
        (0..self.parameters.entries).filter(|other| self.leader_of(*other) == leader).count().max(1)
    }

    /// Every entry learns the size of its group from its leader.
    fn send_heartbeats(&mut self) {
        let now = self.now();
        for entry in 0..self.parameters.entries {
            let group_size = self.group_size(self.leader_of(entry));
            self.entries[entry].group.record_size(group_size, now);
        }
    }

    /// Applies the limits and the group share that a leader has recorded.
    fn apply_limits(&mut self, entry: usize) {
        let now = self.now();
        let group_size = self.group_size(entry);
        let start = self.random.random_range(0.0..1.0);
        let state = &mut self.entries[entry];
        state.group.record_size(group_size, now);
        let share = state.group.share(group_size, 0, now);
        for (replica, rate) in state.limits.limited() {
            let allowance = state.allowances.entry(replica.clone());
            allowance.or_insert_with(|| TokenBucket::new(rate, share, start, now)).set(rate, share, now);
        }
    }

    /// Sends a request from an entry to a replica if its leader allows it.
    fn send(&mut self, entry: usize, replica: usize) {
        let (name, now) = (Self::name(replica), self.now());
        let leader = self.leader_of(entry);
        self.apply_limits(leader);
        let leader_state = &mut self.entries[leader];
        if leader_state.limits.rate(&name).is_some() {
            let Some(allowance) =
                leader_state.allowances.get_mut(&name).filter(|allowance| allowance.allows_request(now))
            else {
                return;
            };
            allowance.take(now);
        }
        let is_informed =
            self.entries[entry].first_reported.get(&name).is_some_and(|at| at + INFORM_DELAY_STEPS <= self.step);
        self.arrivals.entry(name.clone()).or_default().push((self.step, is_informed));
        let report = TimedReport { rate: Some(self.parameters.rates[replica]), requested_at: now, received_at: now };
        self.entries[entry].first_reported.entry(name.clone()).or_insert(self.step);
        if self.entries[entry].limits.apply(&name, report) {
            self.relay(entry, &RelayedReport::of(&name, &report, now));
        }
    }

    /// Sends a report to all entries with the same leader.
    fn relay(&mut self, entry: usize, report: &RelayedReport) {
        let leader = self.leader_of(entry);
        for other in 0..self.parameters.entries {
            if other != entry && self.leader_of(other) == leader {
                self.in_transit.push((self.step + TRANSIT_STEPS, other, report.clone()));
            }
        }
    }

    fn step(&mut self) {
        let now = self.now();
        let (due, later) = std::mem::take(&mut self.in_transit).into_iter().partition(|(at, ..)| *at <= self.step);
        self.in_transit = later;
        let due: Vec<(u64, usize, RelayedReport)> = due;
        for (_, entry, report) in due {
            self.entries[entry].limits.apply(&report.replica, report.timed_report(now));
        }
        if self.random.random_bool(self.parameters.fault_probability) {
            let is_partitioned = self.random.random_bool(0.5);
            for entry in 0..self.parameters.entries {
                self.entries[entry].side = if is_partitioned { self.random.random_range(0..2) } else { 0 };
            }
            self.elect_leaders();
        }
        if self.step.is_multiple_of(HEARTBEAT_STEPS) {
            self.send_heartbeats();
        }
        for replica in 0..self.parameters.rates.len() {
            if self.random.random_bool(self.parameters.demand * STEP_MS as f64 / 1e3) {
                // Two thirds of the requests arrive at the first fifth of the entries.
                let few_entries = (self.parameters.entries / 5).max(1);
                let candidate_count = if self.random.random_bool(0.66) { few_entries } else { self.parameters.entries };
                let entry = self.random.random_range(0..candidate_count);
                self.send(entry, replica);
            }
        }
        self.step += 1;
    }

    /// Returns the maximum number of requests from informed entries within a window that starts at `from` or later.
    fn max_in_window(&self, replica: usize, from: u64) -> usize {
        let Some(arrivals) = self.arrivals.get(&Self::name(replica)) else { return 0 };
        let informed_steps: Vec<u64> =
            arrivals.iter().filter(|(_, is_informed)| *is_informed).map(|(step, _)| *step).collect();
        let window_starts = informed_steps.iter().filter(|step| **step >= from);
        let count_from =
            |start: u64| informed_steps.iter().filter(|step| (start..start + WINDOW_STEPS).contains(*step)).count();
        window_starts.map(|start| count_from(*start)).max().unwrap_or(0)
    }
}

#[test]
fn no_replica_exceeds_its_bound_whatever_is_lost() {
    for seed in 0..150 {
        let mut random = SmallRng::seed_from_u64(1_000 + seed);
        let rates: Vec<f64> = (0..3).map(|_| random.random_range(0.5..8.0)).collect();
        // A leader is lost, or a partition starts or ends, every three seconds on average.
        let parameters =
            Parameters { entries: random.random_range(3..50), rates, fault_probability: 0.005 / 3.0, demand: 40.0 };
        let mut simulation = Simulation::new(parameters, seed);
        (0..6_000).for_each(|_| simulation.step());
        for replica in 0..3 {
            let rate = simulation.parameters.rates[replica];
            let allowed = (1.5 * rate * 4.0 + 5.0) as usize;
            let max_in_window = simulation.max_in_window(replica, FIRST_BOUND_STEP);
            assert!(
                max_in_window <= allowed,
                "seed {seed}: {max_in_window} requests in a window, {allowed} allowed at {rate} per second"
            );
        }
    }
}

#[test]
fn without_faults_nine_tenths_of_a_limit_are_used_and_no_more_than_it() {
    for seed in 0..20 {
        let parameters = Parameters {
            entries: 5 + seed as usize * 2,
            rates: vec![1.0, 2.3, 7.0],
            fault_probability: 0.0,
            demand: 40.0,
        };
        let mut simulation = Simulation::new(parameters, seed);
        (0..12_000).for_each(|_| simulation.step());
        for (replica, rate) in [1.0, 2.3, 7.0].into_iter().enumerate() {
            let sent = simulation.arrivals[&Simulation::name(replica)]
                .iter()
                .filter(|(step, _)| *step >= FIRST_BOUND_STEP)
                .count();
            let expected = rate * (12_000 - FIRST_BOUND_STEP) as f64 * STEP_MS as f64 / 1e3;
            assert!(sent as f64 >= 0.9 * expected, "seed {seed}: {sent} of {expected} requests sent");
            let max_in_window = simulation.max_in_window(replica, FIRST_BOUND_STEP);
            assert!(
                max_in_window as f64 <= rate * 4.0 + (rate * 0.25).max(1.0) + 1.0,
                "seed {seed}: {max_in_window} requests in a window"
            );
        }
    }
}
