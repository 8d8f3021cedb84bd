//! Tickets: system-minted keys that name the sidecar incarnation that may run them.
//!
//! With a ticket a request runs at most once without the log: only the named
//! incarnation accepts it, and it remembers the outcome for the ticket's life.

use serde::{Deserialize, Serialize};

use crate::claim::Binding;
use crate::name::Name;
use crate::time::Moment;

/// What a ticket says; the embedding process authenticates it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The workspace it was minted for.
    pub workspace: Name,
    /// The only sidecar incarnation that may run it.
    pub binding: Binding,
    /// Unique number.
    pub number: u128,
    /// When it ends, as time since the Unix epoch.
    pub expires: Moment,
}

impl Ticket {
    /// Whether the ticket may still be used at `now`.
    pub fn is_live(&self, now: Moment) -> bool {
        now < self.expires
    }
}
