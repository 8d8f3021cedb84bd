//! Discovery of other entries: the list of announced entries in the store, and the search for the leader among them.
//!
//! Each entry is announced in the store under its address, with its capacity ([`super::membership`]). The entry with
//! the greatest capacity leads; among equal ones, the one with the oldest announcement. A restarted entry is
//! announced again and ranks last among those with the same capacity. The leader reads the list again every few
//! seconds. If a network partition leads to two leaders, they grant engines less well, but no guarantee is violated.

use std::net::SocketAddr;
use std::time::Duration;

use coord::search::LeaderSearch;
use coord::succession::{Capacity, Rank};
use eyre::eyre;
use platform::connection::connect;
use platform::store::{self, Client};
use serde::{Deserialize, Serialize};

use super::now;
use super::peer_protocol::{LeaderMessage, PeerConnection};
use super::topic_reader::log_unreadable_items;
use crate::{event, metric, util, warn_event};

/// Bounds the time to connect to another entry and to receive its first message: some round trips across a region.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(150);
/// Bounds the time that the store may take to answer.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Announced entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Address at which the entry listens for other entries.
    pub address: SocketAddr,
    /// Incarnation of the process that announced itself.
    incarnation: String,
    /// Rank of the entry in the succession order.
    rank: Rank,
}

impl Peer {
    /// Returns whether this is the announcement of the current process, which listens at `own_address`.
    pub fn is_this_process(&self, own_address: SocketAddr) -> bool {
        self.is_incarnation(own_address, &util::incarnation().to_string())
    }

    /// Returns whether this is the announcement of the given incarnation of the process that listens at `address`.
    pub fn is_incarnation(&self, address: SocketAddr, incarnation: &str) -> bool {
        self.address == address && self.incarnation == incarnation
    }
}

/// Connection to an entry that leads.
pub struct LeaderConnection {
    /// Address at which the leader listens for other entries.
    pub address: SocketAddr,
    /// Connection to the leader, after the handshake.
    pub connection: PeerConnection,
}

/// Result of connecting to an entry: the connection and the content of the first message.
struct Handshake {
    connection: LeaderConnection,
    /// Incarnation of the other entry's process.
    incarnation: String,
    /// Leader that the other entry follows, or `None` if it leads.
    leader: Option<SocketAddr>,
}

impl Handshake {
    /// Returns whether the other entry is the incarnation that announced itself as `peer`.
    fn is_from(&self, peer: &Peer) -> bool {
        self.incarnation == peer.incarnation
    }
}

/// Reads all announced entries from the store, in the succession order, and logs the rank of the entry that listens at
/// `own_address`. Returns `None` and logs the error if the store does not answer.
pub async fn list_announced(client: &mut Client, own_address: Option<SocketAddr>) -> Option<Vec<Peer>> {
    let outcome = client.read_compacted(store::PEERS_TOPIC, STORE_TIMEOUT).await;
    metric::record_store_calls("newest", store::PEERS_TOPIC, outcome.as_ref().map_or(1, |snapshot| snapshot.pages));
    match outcome {
        Ok(snapshot) => {
            log_unreadable_items(store::PEERS_TOPIC, &snapshot);
            let mut peers: Vec<Peer> = snapshot.records.iter().filter_map(decode_announcement).collect();
            peers.sort_by_key(|peer| peer.rank);
            let rank = peers.iter().position(|peer| Some(peer.address) == own_address).unwrap_or(peers.len());
            event!("peers", known = peers.len(), rank);
            Some(peers)
        }
        Err(error) => {
            warn_event!("peers", error = %format!("{error:#}"));
            None
        }
    }
}

/// Decodes an announcement. Returns `None` if its address cannot be parsed or its record was removed.
fn decode_announcement(record: &store::KeyedRecord) -> Option<Peer> {
    let value = String::from_utf8_lossy(record.value.as_ref()?).into_owned();
    let (incarnation, capacity) = value.split_once(' ').unwrap_or((&value, ""));
    // An entry whose announcement has no capacity ranks last.
    let capacity = Capacity(capacity.parse().unwrap_or_default());
    let rank = Rank::new(capacity, record.offset);
    Some(Peer { address: record.key.parse().ok()?, incarnation: incarnation.to_owned(), rank })
}

/// Outcome of one round of the search for a leader.
pub enum SearchOutcome {
    /// A leader was found and is connected.
    Found(Box<LeaderConnection>),
    /// No candidate leads, and the one at this address, which ranks ahead of this entry, follows this entry.
    FollowsThisEntry(SocketAddr),
    /// No candidate that was tried leads or follows a reachable leader.
    NotFound,
}

/// Searches for a leader among `peers`. Tries only the candidates that `search` selects for this round, and the leaders
/// that these follow.
pub async fn find_leader(
    search: &mut LeaderSearch<SocketAddr>,
    peers: &[Peer],
    own_address: SocketAddr,
) -> SearchOutcome {
    let others = peers.iter().filter(|peer| peer.address != own_address);
    for address in search.next_candidates(others.map(|peer| peer.address), now()) {
        let Some(peer) = peers.iter().find(|peer| peer.address == address) else { continue };
        match try_candidate(peer, own_address).await {
            SearchOutcome::Found(connection) => {
                search.record_success(&address);
                return SearchOutcome::Found(connection);
            }
            SearchOutcome::FollowsThisEntry(follower) => return SearchOutcome::FollowsThisEntry(follower),
            SearchOutcome::NotFound => {}
        }
        search.record_failure(address, rand::random_range(0.75..1.25), now());
    }
    SearchOutcome::NotFound
}

/// Connects to an announced entry, and to the leader that it follows if it does not lead itself.
async fn try_candidate(peer: &Peer, own_address: SocketAddr) -> SearchOutcome {
    let Some(handshake) = connect_and_greet(peer.address).await else { return SearchOutcome::NotFound };
    match handshake.leader {
        None if handshake.is_from(peer) => SearchOutcome::Found(Box::new(handshake.connection)),
        // The entry was restarted, so its new announcement ranks last among those with the same capacity.
        None => {
            event!("peer-unreached", peer = %peer.address, error = "another incarnation of the process");
            SearchOutcome::NotFound
        }
        Some(leader) if leader == own_address && handshake.is_from(peer) => {
            SearchOutcome::FollowsThisEntry(peer.address)
        }
        // The entry was restarted, and will be announced with a new rank.
        Some(leader) if leader == own_address => SearchOutcome::NotFound,
        Some(leader) => {
            event!("peer-redirects", peer = %peer.address, leader = %leader);
            connect_to_leader(leader)
                .await
                .map_or(SearchOutcome::NotFound, |connection| SearchOutcome::Found(Box::new(connection)))
        }
    }
}

/// Connects to the first leader found among `seeds` and the entries that they follow.
pub async fn find_leader_via_seeds(seeds: &[SocketAddr], own_address: SocketAddr) -> Option<LeaderConnection> {
    for seed in seeds.iter().filter(|seed| **seed != own_address) {
        let Some(handshake) = connect_and_greet(*seed).await else { continue };
        let Some(leader) = handshake.leader else { return Some(handshake.connection) };
        // The seed still follows an earlier incarnation of this process.
        if leader == own_address {
            continue;
        }
        if let Some(connection) = connect_to_leader(leader).await {
            return Some(connection);
        }
    }
    None
}

/// Connects to the entry at `address`. Returns `None` if that fails or the entry does not lead.
pub async fn connect_to_leader(address: SocketAddr) -> Option<LeaderConnection> {
    connect_and_greet(address)
        .await
        .filter(|handshake| handshake.leader.is_none())
        .map(|handshake| handshake.connection)
}

/// Connects to an entry and waits for its first message. Returns `None` and logs the error if that fails: an entry
/// that can neither lead nor redirect closes the connection instead of sending a message.
async fn connect_and_greet(address: SocketAddr) -> Option<Handshake> {
    let handshake = async {
        let mut connection = PeerConnection::new(connect(address).await?);
        match connection.receive::<LeaderMessage>().await? {
            LeaderMessage::Welcome { incarnation, leader } => {
                Ok(Handshake { connection: LeaderConnection { address, connection }, incarnation, leader })
            }
            other => Err(eyre!("step=greet: unexpected message {other:?}")),
        }
    };
    let outcome = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await;
    match outcome.unwrap_or_else(|_| Err(eyre!("no first message within the handshake timeout"))) {
        Ok(handshake) => Some(handshake),
        Err(error) => {
            event!("peer-unreached", peer = %address, error = %format!("{error:#}"));
            None
        }
    }
}
