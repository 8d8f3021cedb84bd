//! Failure domains that operators have emptied: nothing new goes to their replicas until that is taken back.
//!
//! The operators' word stands in a log. Whoever reads it has all that was said below an offset; whoever is told by another
//! process gets that process's whole [`Picture`]. The picture that reaches further wins, so that word which comes late, by
//! whichever way, takes nothing back.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// What one record of the log says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// A failure domain is to be emptied.
    Begun(Name),
    /// Its replicas may be used again.
    Ended(Name),
}

/// The failure domains that are emptied, as of one point of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Picture {
    /// All records below this offset are taken in.
    pub next: u64,
    /// The domains.
    pub domains: BTreeSet<Name>,
}

/// What this process knows of emptied failure domains.
#[derive(Debug, Default)]
pub struct Register(Picture);

impl Register {
    /// Takes in what the record at `offset` says; says whether that changed anything. Records that were taken in before
    /// change nothing.
    pub fn hear(&mut self, offset: u64, news: News) -> bool {
        if offset < self.0.next {
            return false;
        }
        self.0.next = offset + 1;
        match news {
            News::Begun(domain) => self.0.domains.insert(domain),
            News::Ended(domain) => self.0.domains.remove(&domain),
        }
    }

    /// Takes in a whole picture, unless it is older than what is known; says whether that changed anything.
    pub fn replace(&mut self, picture: Picture) -> bool {
        if picture.next < self.0.next {
            return false;
        }
        let changed = picture.domains != self.0.domains;
        self.0 = picture;
        changed
    }

    /// All that is known.
    pub fn picture(&self) -> &Picture {
        &self.0
    }
}
