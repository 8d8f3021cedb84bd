//! Which replica a request goes to.

use std::collections::HashMap;

use coord::name::Name;
use coord::roster::{Record, Roster};

/// What this entry knows of one replica's load.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// This entry's requests there.
    ours: u32,
    /// Requests there from all entries, as the last answer told.
    told: u32,
}

/// Chooses replicas and counts what it sent them.
pub struct Placer {
    home: Name,
    loads: HashMap<Name, Load>,
}

impl Placer {
    /// A placer in failure domain `home`.
    pub fn new(home: Name) -> Self {
        Self { home, loads: HashMap::new() }
    }

    /// The replica with the fewest requests of ours, then of anyone's, then the nearest.
    pub fn pick(&self, roster: &Roster, service: &str, tried: &[Name]) -> Option<Record> {
        let fits = roster.usable(service).filter(|record| !tried.contains(&record.id));
        let key = |record: &&Record| {
            let load = self.loads.get(&record.id).copied().unwrap_or_default();
            (load.ours, load.told, record.failure_domain != self.home, coord::pick::rendezvous(0, &record.id))
        };
        fits.min_by_key(key).cloned()
    }

    /// Notes a request sent.
    pub fn begin(&mut self, replica: &Name) {
        self.loads.entry(replica.clone()).or_default().ours += 1;
    }

    /// Notes a request's end.
    pub fn end(&mut self, replica: &Name) {
        if let Some(load) = self.loads.get_mut(replica) {
            load.ours = load.ours.saturating_sub(1);
        }
    }

    /// Notes what a replica told of its load.
    pub fn told(&mut self, replica: &Name, load: u32) {
        self.loads.entry(replica.clone()).or_default().told = load;
    }
}
