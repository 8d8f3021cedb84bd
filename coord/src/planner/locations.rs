//! Failure domains of the engines and entries, and the time that messages between them take.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Planner;
use super::job::{Job, Team};
use crate::distance::Distances;
use crate::name::Name;

/// Number of the entry whose process the planner runs in.
const PLANNER_ENTRY: u64 = 0;
/// One-way trips between an entry and the decoding engine until the first event: two to set up the connection, one for
/// the request and one for the event.
const TRIPS_TO_ENGINE: u32 = 4;
/// One-way trips between an entry and the planner for one prompt: its submission, and the grant.
const TRIPS_TO_PLANNER: u32 = 2;

/// Failure domains of engines and entries. A delay that is not configured counts as zero.
#[derive(Debug, Default)]
pub struct Locations {
    distances: Distances,
    engines: BTreeMap<Name, Name>,
    entries: BTreeMap<u64, Name>,
}

impl Locations {
    /// Returns the time of all trips between an entry and an engine until the first event.
    pub fn delay_to_engine(&self, entry: u64, engine: &Name) -> Duration {
        self.one_way(self.entries.get(&entry), self.engines.get(engine)) * TRIPS_TO_ENGINE
    }

    /// Returns the time that the submission of a prompt and its grant take between an entry and the planner. The grant
    /// and the later report of the first event take the same time together.
    pub fn delay_to_planner(&self, entry: u64) -> Duration {
        self.one_way(self.entries.get(&PLANNER_ENTRY), self.entries.get(&entry)) * TRIPS_TO_PLANNER
    }

    /// Returns the time of one trip from the farthest helper of a team to its decoding engine.
    fn helper_trip(&self, team: &Team) -> Duration {
        let decoder = self.engines.get(&team.decoder);
        let trips = team.helpers.iter().map(|helper| self.one_way(self.engines.get(&helper.engine), decoder));
        trips.max().unwrap_or_default()
    }

    fn one_way(&self, from: Option<&Name>, to: Option<&Name>) -> Duration {
        from.zip(to).and_then(|(from, to)| self.distances.one_way(from, to)).unwrap_or_default()
    }
}

impl Planner {
    /// Sets the delays between failure domains, and the failure domain of each engine.
    pub fn set_locations(&mut self, distances: Distances, engines: impl IntoIterator<Item = (Name, Name)>) {
        self.locations.distances = distances;
        self.locations.engines = engines.into_iter().collect();
    }

    /// Sets the failure domain of an entry; entry 0 is the planner's own.
    pub fn set_entry_location(&mut self, entry: u64, failure_domain: Name) {
        self.locations.entries.insert(entry, failure_domain);
    }

    /// Forgets the failure domain of an entry.
    pub(super) fn remove_entry_location(&mut self, entry: u64) {
        self.locations.entries.remove(&entry);
    }

    /// Returns the job with a target that allows for the messages between the entry and the planner. The entry sends
    /// the time until the target, which has become shorter when the submission arrives, and the grant must still reach
    /// the entry.
    pub(super) fn allow_for_distance(&self, entry: u64, job: Job) -> Job {
        if !self.features.spreading {
            return job;
        }
        Job { first_event_target: job.first_event_target - self.locations.delay_to_planner(entry), ..job }
    }

    /// Returns the time of all trips between an entry and an engine until the first event; zero if distances do not
    /// matter.
    pub(super) fn delay_to_engine(&self, entry: u64, engine: &Name) -> Duration {
        if self.features.spreading { self.locations.delay_to_engine(entry, engine) } else { Duration::ZERO }
    }

    /// Returns the part of the time from a grant until the report of the first event that messages take.
    pub(super) fn team_delay(&self, entry: u64, team: &Team) -> Duration {
        if !self.features.spreading {
            return Duration::ZERO;
        }
        let locations = &self.locations;
        locations.delay_to_engine(entry, &team.decoder)
            + locations.helper_trip(team)
            + locations.delay_to_planner(entry)
    }
}
