//! Failure domains that operators evacuated. Replicas in an evacuated domain get no new work until the operator ends
//! the evacuation.
//!
//! Evacuations are recorded in a log. A process that reads the log knows all records below an offset; a process that
//! hears from a peer receives the peer's full [`Picture`]. The picture with the higher offset wins, so that late
//! messages never undo newer ones, whichever way they arrive. A log restored from an older copy of itself may have
//! lost records: domains missing from it stay evacuated for a grace period in which operators can repeat the
//! evacuation.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::offset;
use crate::time::Moment;

/// Content of one log record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// The evacuation of a failure domain started.
    Begun(Name),
    /// The evacuation ended; the domain's replicas may be used again.
    Ended(Name),
}

/// Evacuated failure domains as of one log offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Picture {
    /// Offset of the next log record; all records below it are applied.
    pub next: u64,
    /// Names of the evacuated failure domains.
    pub domains: BTreeSet<Name>,
}

/// Evacuations that this process knows of.
#[derive(Debug, Default)]
pub struct Register {
    picture: Picture,
    /// Domains that were evacuated before the log was restored and are missing from the restored log.
    lost: BTreeSet<Name>,
    /// End of the grace period of the missing domains.
    lost_until: Moment,
}

impl Register {
    /// Applies the record at `offset` and returns whether the set of evacuated domains changed. Records below the
    /// known offset are ignored.
    pub fn hear(&mut self, offset: u64, news: News) -> bool {
        if offset < self.picture.next {
            return false;
        }
        self.picture.next = offset + 1;
        match news {
            News::Begun(domain) => {
                self.lost.remove(&domain);
                self.picture.domains.insert(domain)
            }
            News::Ended(domain) => {
                self.lost.remove(&domain);
                self.picture.domains.remove(&domain)
            }
        }
    }

    /// Applies a full picture unless it is older than the current one, and returns whether the set of evacuated
    /// domains changed. Domains that a restored log lost stay evacuated until `lost_until`.
    pub fn replace(&mut self, mut picture: Picture, lost_until: Moment) -> bool {
        if picture.next < self.picture.next {
            return false;
        }
        if offset::era(picture.next) > offset::era(self.picture.next) {
            self.lost = self.picture.domains.difference(&picture.domains).cloned().collect();
            self.lost_until = lost_until;
        }
        // Domains in the picture are no longer missing.
        self.lost.retain(|domain| !picture.domains.contains(domain));
        picture.domains.extend(self.lost.iter().cloned());
        let changed = picture.domains != self.picture.domains;
        self.picture = picture;
        changed
    }

    /// Drops the missing domains once their grace period is over, and returns whether the set of evacuated domains
    /// changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        if now < self.lost_until {
            return false;
        }
        let lost = std::mem::take(&mut self.lost);
        let before = self.picture.domains.len();
        self.picture.domains.retain(|domain| !lost.contains(domain));
        self.picture.domains.len() < before
    }

    /// Returns the evacuated domains and the offset they are known up to.
    pub fn picture(&self) -> &Picture {
        &self.picture
    }
}
