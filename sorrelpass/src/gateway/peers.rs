//! The other entries: announcing this one in the store, the list of all, and reaching one of them.
//!
//! Entries announce themselves in the store, each under its address. The one whose announcement
//! is the oldest plans; a restarted entry announces itself anew and so comes last. Everyone knows
//! all that are older than itself, for it reads the list after its own announcement. Two that plan
//! at the same time, in a cut, grant less well and break nothing.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::eyre;
use platform::connection::connect;
use platform::store::{self, Client};
use tokio::sync::oneshot;

use super::link::{Link, Order};
use super::state::Gateway;
use crate::{event, util, warn_event};

/// Time for a connection to another entry: a few times the way across a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for an answer of the store.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Pause after a failed announcement.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(500);
/// How often older entries are tried again, for one that was cut off or frozen may be back.
pub const RETRY: Duration = Duration::from_secs(3);

/// An entry as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Where it listens for other entries.
    pub address: SocketAddr,
    /// The run of the process that made the announcement.
    incarnation: String,
}

/// An entry that plans, and the way to it.
pub struct Found {
    /// Where it listens for other entries.
    pub address: SocketAddr,
    /// The connection to it.
    pub link: Link,
}

/// What an entry says of itself when another connects.
struct Greeting {
    found: Found,
    /// The run of its process.
    incarnation: String,
    /// Whom it follows; none if it plans.
    leader: Option<SocketAddr>,
}

impl Greeting {
    /// Whether it comes from the run of the process that made an announcement.
    fn is_of(&self, peer: &Peer) -> bool {
        self.incarnation == peer.incarnation
    }
}

/// Those of `peers` that are listed before an entry; all if it is not among them.
pub fn older_than(peers: &[Peer], address: SocketAddr) -> &[Peer] {
    let rank = peers.iter().position(|peer| peer.address == address);
    &peers[..rank.unwrap_or(peers.len())]
}

/// Announces this entry until the store has taken it; then the receiver is told.
pub fn announce(gateway: &Gateway, own: SocketAddr) -> oneshot::Receiver<()> {
    let mut client = Client::new(gateway.settings.store);
    let (done, announced) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let value = util::incarnation().to_string();
        while let Err(error) = client.put(store::PEERS, &own.to_string(), value.as_bytes(), PATIENCE).await {
            warn_event!("announced", error = %format!("{error:#}"));
            tokio::time::sleep(ANNOUNCE_PAUSE).await;
        }
        event!("announced", address = %own);
        // Nobody waits any more only if the process ends.
        let _ = done.send(());
    });
    announced
}

/// All announced entries, the oldest first.
pub async fn list(client: &mut Client, own: SocketAddr) -> Option<Vec<Peer>> {
    match client.newest(store::PEERS, PATIENCE).await {
        Ok(mut whole) => {
            whole.records.sort_by_key(|record| record.offset);
            let peers: Vec<Peer> = whole.records.iter().filter_map(peer).collect();
            let rank = peers.iter().position(|peer| peer.address == own).unwrap_or(peers.len());
            event!("peers", known = peers.len(), rank);
            Some(peers)
        }
        Err(error) => {
            warn_event!("peers", error = %format!("{error:#}"));
            None
        }
    }
}

/// Decodes an announcement; one that cannot be read is nobody's.
fn peer(record: &store::Keyed) -> Option<Peer> {
    let value = record.value.as_ref()?;
    Some(Peer { address: record.key.parse().ok()?, incarnation: String::from_utf8_lossy(value).into_owned() })
}

/// The first of `peers` that can be reached and plans, or the one that it follows.
pub async fn reach(peers: &[Peer], own: SocketAddr) -> Option<Found> {
    for peer in peers.iter().filter(|peer| peer.address != own) {
        let Some(greeting) = greet(peer.address).await else { continue };
        match greeting.leader {
            None if greeting.is_of(peer) => return Some(greeting.found),
            // It was restarted since it announced itself, and is the youngest now.
            None => event!("peer-unreached", peer = %peer.address, error = "another run of the process"),
            // This entry is to lead it, and others.
            Some(leader) if leader == own => {}
            Some(leader) => {
                event!("peer-redirects", peer = %peer.address, leader = %leader);
                if let Some(found) = planner(leader).await {
                    return Some(found);
                }
            }
        }
    }
    None
}

/// The first entry that plans among `seeds` and those whom they follow.
pub async fn reach_any(seeds: &[SocketAddr], own: SocketAddr) -> Option<Found> {
    for seed in seeds.iter().filter(|seed| **seed != own) {
        let Some(greeting) = greet(*seed).await else { continue };
        let Some(leader) = greeting.leader else { return Some(greeting.found) };
        if let Some(found) = planner(leader).await {
            return Some(found);
        }
    }
    None
}

/// The entry at an address, if it plans.
async fn planner(address: SocketAddr) -> Option<Found> {
    greet(address).await.filter(|greeting| greeting.leader.is_none()).map(|greeting| greeting.found)
}

/// Connects and waits for the first message; none from an entry that cannot plan, which closes the connection instead.
async fn greet(address: SocketAddr) -> Option<Greeting> {
    let greeted = async {
        let mut link = Link::new(connect(address).await?);
        match link.receive::<Order>().await? {
            Order::Welcome { incarnation, leader } => {
                Ok(Greeting { found: Found { address, link }, incarnation, leader })
            }
            other => Err(eyre!("step=greet: {other:?}")),
        }
    };
    let outcome = tokio::time::timeout(CONNECT_TIMEOUT, greeted).await;
    match outcome.unwrap_or_else(|_| Err(eyre!("no greeting in time"))) {
        Ok(greeting) => Some(greeting),
        Err(error) => {
            event!("peer-unreached", peer = %address, error = %format!("{error:#}"));
            None
        }
    }
}

/// Waits until an older entry plans again.
pub async fn older(peers: &[Peer], own: SocketAddr) -> SocketAddr {
    loop {
        tokio::time::sleep(RETRY).await;
        for peer in peers.iter().filter(|peer| peer.address != own) {
            let Some(greeting) = greet(peer.address).await else { continue };
            if greeting.leader.is_none() && greeting.is_of(peer) {
                return peer.address;
            }
        }
    }
}
