//! Signs of life of replicas, as one process sees them on its connections.
//!
//! Every byte of a response shows that its replica runs. Where a connection ends, the other connections to the replica
//! tell whether its process may have terminated: one that was open before and goes on afterwards proves the opposite. A
//! replica that shows no life since it was last lost cannot be lost again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::Name;
use crate::termination::Interval;
use crate::time::Moment;

/// Time after a loss at which a byte on another connection proves that the process runs on. A process that terminates
/// closes its connections one after the other, within a shorter time.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(500);
/// Time within which a connection to a replica that shows no life ends if nothing serves it.
const IMMEDIATE: Duration = Duration::from_millis(5);
/// Time for which a connection that has ended is remembered.
const MEMORY: Duration = Duration::from_secs(2);
/// Bounds the remembered connections to one replica that have ended.
const MAX_ENDED: usize = 32;

/// Number of a request that was sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactId(u64);

/// Connection on which a replica has a request.
#[derive(Clone, Copy, Debug)]
struct Contact {
    id: ContactId,
    sent_at: Moment,
    /// Time of the last byte; that of the send if there was none.
    last_sign: Moment,
    is_open: bool,
}

/// Contacts with one replica.
#[derive(Clone, Debug, Default)]
struct Replica {
    contacts: Vec<Contact>,
    last_sign: Option<Moment>,
    lost_at: Option<Moment>,
}

/// Contacts with all replicas.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    replicas: BTreeMap<Name, Replica>,
    next_id: u64,
}

impl Contacts {
    /// Records that a request is sent to a replica.
    pub fn begin(&mut self, replica: &Name, now: Moment) -> ContactId {
        self.next_id += 1;
        let id = ContactId(self.next_id);
        let contact = Contact { id, sent_at: now, last_sign: now, is_open: true };
        self.replicas.entry(replica.clone()).or_default().contacts.push(contact);
        id
    }

    /// Records a byte of the response.
    pub fn hear(&mut self, replica: &Name, id: ContactId, now: Moment) {
        let Some(replica) = self.replicas.get_mut(replica) else { return };
        replica.last_sign = Some(now);
        if let Some(contact) = replica.contacts.iter_mut().find(|contact| contact.id == id) {
            contact.last_sign = now;
        }
    }

    /// Records that the connection of a request has ended.
    pub fn end(&mut self, replica: &Name, id: ContactId, now: Moment) {
        let Some(replica) = self.replicas.get_mut(replica) else { return };
        replica.contacts.iter_mut().filter(|contact| contact.id == id).for_each(|contact| contact.is_open = false);
        replica.contacts.retain(|contact| contact.is_open || contact.last_sign + MEMORY > now);
        let ended = replica.contacts.iter().filter(|contact| !contact.is_open).count();
        if ended > MAX_ENDED
            && let Some(oldest) = replica.contacts.iter().position(|contact| !contact.is_open)
        {
            replica.contacts.remove(oldest);
        }
    }

    /// Records that the connection of a request was lost. Returns the interval in which the process may have terminated, or
    /// `None` if it has shown no life since an earlier loss and this connection ended at once: then nothing served it.
    pub fn lose(&mut self, replica: &Name, id: ContactId, now: Moment) -> Option<Interval> {
        let replica = self.replicas.get_mut(replica)?;
        let sent_at = replica.contacts.iter().find(|contact| contact.id == id)?.sent_at;
        let is_lifeless = replica
            .lost_at
            .is_some_and(|lost_at| sent_at >= lost_at && replica.last_sign.is_none_or(|sign| sign < lost_at));
        if is_lifeless && now.since(sent_at) < IMMEDIATE {
            return None;
        }
        replica.lost_at = Some(now);
        Some(Interval { not_before: sent_at, not_after: now })
    }

    /// Returns the time for which a replica has sent nothing on any connection since a request was sent to it. Returns
    /// `None` if no such request is known.
    pub fn silence(&self, replica: &Name, id: ContactId, now: Moment) -> Option<Duration> {
        let replica = self.replicas.get(replica)?;
        let contact = replica.contacts.iter().find(|contact| contact.id == id)?;
        Some(now.since(contact.last_sign.max(replica.last_sign.unwrap_or(Moment::ZERO))))
    }

    /// Returns whether a connection that was open throughout `interval` shows that the process ran on after it.
    pub fn has_survivor(&self, replica: &Name, interval: Interval) -> bool {
        let Some(replica) = self.replicas.get(replica) else { return false };
        replica.contacts.iter().any(|contact| {
            contact.sent_at <= interval.not_before && contact.last_sign >= interval.not_after + SURVIVAL_TIME
        })
    }

    /// Returns the number of replicas with recorded contacts.
    pub fn replica_count(&self) -> usize {
        self.replicas.len()
    }

    /// Drops the replicas for which `is_known` returns `false` and that have no open connection.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.replicas.retain(|name, replica| is_known(name) || replica.contacts.iter().any(|contact| contact.is_open));
    }
}
