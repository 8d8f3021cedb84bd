//! Tickets: keys issued by this system that name the sidecar incarnation that may run the request.
//!
//! A ticket guarantees at-most-once execution without the log: only the named incarnation accepts it, and that
//! incarnation keeps the outcome for the lifetime of the ticket.

use serde::{Deserialize, Serialize};

use crate::claim::Binding;
use crate::name::Name;
use crate::time::Moment;

/// Contents of a ticket; the embedding process authenticates them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Workspace that the ticket was issued for.
    pub workspace: Name,
    /// Sidecar incarnation that may run the request.
    pub binding: Binding,
    /// Unique number of the ticket.
    pub number: u128,
    /// Expiry time, relative to the Unix epoch.
    pub expires: Moment,
}

impl Ticket {
    /// Returns whether the ticket has not expired at `now`.
    pub fn is_valid(&self, now: Moment) -> bool {
        now < self.expires
    }
}
