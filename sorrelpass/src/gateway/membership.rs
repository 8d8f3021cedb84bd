//! Membership of the entries: announces entries in the store, and keeps the list of the next entries in the
//! succession order.
//!
//! An entry that joins sends its announcement to its leader, which writes the announcements of several followers to
//! the store in one call. In return the leader sends the list of its successors. So an entry that starts, ends or
//! loses its leader makes no store call of its own, however many entries do so at the same time. Only an entry that
//! finds no leader calls the store.

use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coord::succession::Capacity;
use coord::time::Moment;
use platform::store::{self, Client};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::now;
use super::peer_protocol::{FollowerMessage, LeaderMessage};
use super::peers::{self, Peer};
use super::state::Gateway;
use crate::{event, metric, util, warn_event};

/// Number of successors that each entry knows. If more entries are lost at once, the list is read from the store.
const MAX_SUCCESSORS: usize = 8;
/// Delay during which announcements are collected for one store call. No entry waits for its announcement.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// Time after a recovery of the store from an older copy within which all entries notice the recovery.
const RECOVERY_NOTICE_PERIOD: Duration = Duration::from_secs(5);
/// Delay after a failed announcement.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Announcement of an entry, as it is written to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Address at which the entry listens for other entries.
    address: SocketAddr,
    /// Incarnation of the entry's process.
    incarnation: String,
    /// Capacity of the entry, by which leaders are ranked.
    capacity: Capacity,
}

impl Announcement {
    /// Creates the announcement of this process, which listens for other entries at `own_address`.
    pub fn of_this_process(gateway: &Gateway, own_address: SocketAddr) -> Self {
        Self { address: own_address, incarnation: util::incarnation().to_string(), capacity: gateway.settings.capacity }
    }

    /// Encodes the value of the announcement's record in the store.
    fn value(&self) -> String {
        format!("{} {}", self.incarnation, self.capacity.0)
    }
}

/// This entry's knowledge of the other entries and of its own announcement.
#[derive(Default)]
pub struct Membership {
    /// First entries in the succession order, from the newest list that the leader sent or this entry read.
    successors: RefCell<Vec<Peer>>,
    /// Whether the store has the announcement of this process.
    is_announced: Cell<bool>,
    /// Announcements of followers that are not in the store yet, with the number of the follower's connection.
    pending: RefCell<Vec<(u64, Announcement)>>,
    /// Notified when an announcement is added to `pending`.
    pending_added: Notify,
    /// Notified when an entry was announced that ranks ahead of this one, or among its first successors.
    ranking_changed: Notify,
    /// Notified when the store may have lost the announcement of this process.
    announcement_invalidated: Notify,
    /// Until this time, announcements are looked up in the store before they are written.
    lookup_until: Cell<Moment>,
}

impl Membership {
    /// Sets the successors to the first of `ranked`, which holds all announced entries in the succession order.
    pub fn set_ranked(&self, ranked: &[Peer]) {
        self.set_successors(ranked.iter().take(MAX_SUCCESSORS).cloned().collect());
    }

    /// Sets the next entries in the succession order.
    pub fn set_successors(&self, successors: Vec<Peer>) {
        *self.successors.borrow_mut() = successors;
    }

    /// Returns the next entries in the succession order, as far as they are known.
    pub fn successors(&self) -> Vec<Peer> {
        self.successors.borrow().clone()
    }

    /// Returns a hash of the list of successors, by which two entries compare their lists.
    pub fn successors_revision(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.successors.borrow().hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the list of successors, or `None` if its revision is `revision`.
    pub fn successors_if_changed(&self, revision: u64) -> Option<Vec<Peer>> {
        (revision != self.successors_revision()).then(|| self.successors())
    }

    /// Returns whether this process, which listens at `own_address`, is the first in the succession order.
    pub fn is_first(&self, own_address: SocketAddr) -> bool {
        self.successors.borrow().first().is_some_and(|peer| peer.is_this_process(own_address))
    }

    /// Returns whether the store has the announcement of this process.
    pub fn is_announced(&self) -> bool {
        self.is_announced.get()
    }

    /// Records that the store has the announcement of this process, which listens at `own_address`.
    pub fn mark_announced(&self, own_address: SocketAddr) {
        event!("announced", address = %own_address);
        self.is_announced.set(true);
    }

    /// Queues the announcement of the follower with the connection number `entry`.
    pub fn queue_announcement(&self, entry: u64, announcement: Announcement) {
        self.pending.borrow_mut().push((entry, announcement));
        self.pending_added.notify_one();
    }

    /// Records that the store may have lost announcements, so that this process is announced again.
    pub fn invalidate_announcements(&self) {
        self.is_announced.set(false);
        self.lookup_until.set(now() + RECOVERY_NOTICE_PERIOD);
        self.announcement_invalidated.notify_one();
    }

    /// Waits until an entry was announced that ranks ahead of this one, or among its first successors.
    pub async fn wait_for_ranking_change(&self) {
        self.ranking_changed.notified().await;
    }
}

/// Announces this entry again whenever the store may have lost its announcement, until the process ends.
pub async fn reannounce(gateway: Rc<Gateway>, own_address: SocketAddr) {
    loop {
        gateway.membership.announcement_invalidated.notified().await;
        // A leader that this entry starts to follow later gets the announcement when the connection is established.
        if gateway.membership.is_announced()
            || gateway
                .admission
                .report_to_leader(FollowerMessage::Announce(Announcement::of_this_process(&gateway, own_address)))
        {
            continue;
        }
        announce(&gateway, own_address).await;
    }
}

/// Writes this entry's announcement to the store and retries until the store has it. A leader that this entry starts to
/// follow meanwhile may write it instead.
pub async fn announce(gateway: &Gateway, own_address: SocketAddr) {
    let announcement = Announcement::of_this_process(gateway, own_address);
    let mut client = Client::new(gateway.settings.store);
    while !gateway.membership.is_announced() {
        if append_missing(gateway, &mut client, std::slice::from_ref(&announcement)).await {
            gateway.membership.mark_announced(own_address);
            return;
        }
        tokio::time::sleep(ANNOUNCE_RETRY_DELAY).await;
    }
}

/// Writes the announcements of this entry's followers to the store, until the process ends.
pub async fn announce_followers(gateway: Rc<Gateway>) {
    let membership = &gateway.membership;
    let mut client = Client::new(gateway.settings.store);
    loop {
        membership.pending_added.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let pending = membership.pending.take();
        let announcements: Vec<Announcement> = pending.iter().map(|(_, announcement)| announcement.clone()).collect();
        if announcements.is_empty() {
            continue;
        }
        if !append_missing(&gateway, &mut client, &announcements).await {
            tokio::time::sleep(ANNOUNCE_RETRY_DELAY).await;
            // An entry that left meanwhile sends its announcement to its next leader.
            membership
                .pending
                .borrow_mut()
                .extend(pending.into_iter().filter(|(entry, _)| gateway.admission.has_follower(*entry)));
            membership.pending_added.notify_one();
            continue;
        }
        event!("announced", followers = announcements.len());
        pending.iter().for_each(|(entry, _)| gateway.admission.send_to(*entry, LeaderMessage::Announced));
        let has_stronger = announcements.iter().any(|announcement| announcement.capacity > gateway.settings.capacity);
        if has_stronger || membership.successors.borrow().len() < MAX_SUCCESSORS {
            membership.ranking_changed.notify_one();
        }
    }
}

/// Writes announcements to the store; returns whether the store has all of them. After a recovery of the store,
/// writes only the missing ones: writing one again would move its entry to the end of the succession order.
async fn append_missing(gateway: &Gateway, client: &mut Client, announcements: &[Announcement]) -> bool {
    if now() >= gateway.membership.lookup_until.get() {
        return append(client, announcements).await;
    }
    let Some(announced) = peers::list_announced(client, None).await else { return false };
    let is_missing = |announcement: &&Announcement| {
        !announced.iter().any(|peer| peer.is_incarnation(announcement.address, &announcement.incarnation))
    };
    let missing: Vec<Announcement> = announcements.iter().filter(is_missing).cloned().collect();
    missing.is_empty() || append(client, &missing).await
}

/// Writes announcements to the store; returns whether that succeeded, and logs the error if it failed.
async fn append(client: &mut Client, announcements: &[Announcement]) -> bool {
    let records: Vec<(String, String)> =
        announcements.iter().map(|announcement| (announcement.address.to_string(), announcement.value())).collect();
    let records = records.iter().map(|(key, value)| (key.as_str(), value.as_bytes()));
    metric::record_store_calls("append", store::PEERS_TOPIC, 1);
    match client.put_all(store::PEERS_TOPIC, records, peers::STORE_TIMEOUT).await {
        Ok(()) => true,
        Err(error) => {
            warn_event!("announced", of = announcements.len(), error = %format!("{error:#}"));
            false
        }
    }
}
