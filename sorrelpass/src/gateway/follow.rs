//! Finding the entry that plans for all, and following it.
//!
//! Entries announce themselves in the store, each under its address. The one whose announcement
//! is the oldest plans; a restarted entry announces itself anew and so comes last. Everyone knows
//! all that are older than itself, for it reads the list after its own announcement. Two that plan
//! at the same time, in a cut, grant less well and break nothing.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, eyre};
use platform::connection::connect;
use platform::store::{self, Client};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior};

use super::facts::{self, Question};
use super::link::{self, Link, Order, Report, SILENCE};
use super::state::{Gateway, Phase};
use crate::{event, util, warn_event};

/// Time for a connection to another entry: a few times the way across a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which an entry that starts waits for the store alone: some answers of it on a bad day.
const STORE_FIRST: Duration = Duration::from_millis(300);
/// Pause before an entry that reached no older one tries again, at first; doubled each time. Entries that start
/// together turn each other away until they have read the configuration, some tens of milliseconds later.
const FIRST_RETRY: Duration = Duration::from_millis(300);
/// How often older entries are tried again, for one that was cut off or frozen may be back.
const RETRY: Duration = Duration::from_secs(3);
/// How often, at least, an entry asks the one that it follows what is new in the store …
const SYNC: Duration = Duration::from_millis(300);
/// … and in the time within which a configuration must be in force, or a leaving replica be left alone: one
/// question may be lost with its connection, and what the other entry knows is itself some time old.
const SYNCS_PER_BOUND: u32 = 6;
/// Time for an answer of the store.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Pause after a failed announcement.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(500);

/// An entry as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Peer {
    address: SocketAddr,
    /// The run of the process that made the announcement.
    incarnation: String,
}

/// An entry that plans, and the way to it.
struct Found {
    address: SocketAddr,
    link: Link,
}

/// What an entry says of itself when another connects.
struct Greeting {
    found: Found,
    /// The run of its process.
    incarnation: String,
    /// Whom it follows; none if it plans.
    leader: Option<SocketAddr>,
}

/// Follows the oldest entry that can be reached, for as long as the process lives.
pub async fn run(gateway: Rc<Gateway>, own: SocketAddr) {
    let announced = announce(&gateway, own);
    seek(&gateway, own, announced).await;
    let mut client = Client::new(gateway.settings.store);
    let mut peers = Vec::new();
    let mut pause = FIRST_RETRY;
    loop {
        // Read anew each time: an entry that was older may have been restarted since, and is the youngest now.
        if peers.is_empty() || gateway.has_recent_proof() {
            peers = list(&mut client, own).await.unwrap_or(peers);
        }
        let own_rank = peers.iter().position(|peer: &Peer| peer.address == own);
        // An entry that is about to end looks to the younger ones too.
        let rank = own_rank.filter(|_| gateway.phase() == Phase::Serving).unwrap_or(peers.len());
        match reach(&peers[..rank], own).await {
            Some(found) => {
                pause = FIRST_RETRY;
                let older = older_than(&peers[..rank], found.address);
                follow(&gateway, found, older, own).await;
            }
            None => pause = rest(&gateway, own_rank == Some(0), pause).await,
        }
    }
}

/// Those of `peers` that are listed before an entry; all if it is not among them.
fn older_than(peers: &[Peer], address: SocketAddr) -> &[Peer] {
    let rank = peers.iter().position(|peer| peer.address == address);
    &peers[..rank.unwrap_or(peers.len())]
}

/// Waits before older entries are tried again; returns the pause after the next time.
async fn rest(gateway: &Gateway, oldest: bool, pause: Duration) -> Duration {
    if oldest && gateway.phase() == Phase::Serving {
        // None is older than the oldest, for as long as it serves; then it follows the next at once.
        gateway.reached(Phase::Stopping).await;
        return FIRST_RETRY;
    }
    let was_ready = gateway.ready();
    gateway.facts.pause(pause).await;
    // After an outage of the store all look for each other at the same moment.
    let is_back = gateway.ready() && !was_ready;
    if is_back { FIRST_RETRY } else { (pause * 2).min(RETRY) }
}

/// Announces this entry until the store has taken it; then the receiver is told.
fn announce(gateway: &Gateway, own: SocketAddr) -> oneshot::Receiver<()> {
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

/// Follows whomever the seeds follow or know to plan, until the store has taken this entry's announcement: an entry
/// that comes back in an outage of the store gets configuration, replicas and engines from there.
async fn seek(gateway: &Gateway, own: SocketAddr, mut announced: oneshot::Receiver<()>) {
    let mut pause = STORE_FIRST;
    while tokio::time::timeout(pause, &mut announced).await.is_err() {
        pause = FIRST_RETRY;
        let Some(found) = reach_any(&gateway.settings.seeds, own).await else { continue };
        tokio::select! {
            _ = &mut announced => return,
            () = follow(gateway, found, &[], own) => {}
        }
    }
}

/// The first entry that plans among `seeds` and those whom they follow.
async fn reach_any(seeds: &[SocketAddr], own: SocketAddr) -> Option<Found> {
    for seed in seeds.iter().filter(|seed| **seed != own) {
        let Some(greeting) = greet(*seed).await else { continue };
        let Some(leader) = greeting.leader else { return Some(greeting.found) };
        if let Some(greeting) = greet(leader).await.filter(|greeting| greeting.leader.is_none()) {
            return Some(greeting.found);
        }
    }
    None
}

/// All announced entries, the oldest first.
async fn list(client: &mut Client, own: SocketAddr) -> Option<Vec<Peer>> {
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
async fn reach(peers: &[Peer], own: SocketAddr) -> Option<Found> {
    for peer in peers.iter().filter(|peer| peer.address != own) {
        let Some(greeting) = greet(peer.address).await else { continue };
        match greeting.leader {
            None if greeting.incarnation == peer.incarnation => return Some(greeting.found),
            // It was restarted since it announced itself, and is the youngest now.
            None => event!("peer-unreached", peer = %peer.address, error = "another run of the process"),
            // This entry is to lead it, and others.
            Some(leader) if leader == own => {}
            Some(leader) => {
                event!("peer-redirects", peer = %peer.address, leader = %leader);
                if let Some(greeting) = greet(leader).await.filter(|greeting| greeting.leader.is_none()) {
                    return Some(greeting.found);
                }
            }
        }
    }
    None
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

/// Follows one entry until it is lost or an older one can be reached.
async fn follow(gateway: &Gateway, found: Found, older_peers: &[Peer], own: SocketAddr) {
    let desk = &gateway.desk;
    let Found { address: peer, link } = found;
    event!("following", peer = %peer, rank = older_peers.len());
    let (reports, waiting) = mpsc::channel(link::RING);
    desk.link_up(peer, reports);
    let _followed = Followed(gateway);
    tokio::select! {
        outcome = exchange(gateway, link, waiting) => {
            let reason = outcome.err().unwrap_or_else(|| eyre!("ended"));
            warn_event!("leader-lost", peer = %peer, reason = %format!("{reason:#}"));
        }
        older = older(older_peers, own) => {
            event!("leader-left", peer = %peer, reason = "an older entry is back", older = %older);
        }
    }
}

/// Takes planning back when another entry is followed no more.
struct Followed<'a>(&'a Gateway);

impl Drop for Followed<'_> {
    fn drop(&mut self) {
        self.0.desk.link_down();
        // Nobody reads the store for this entry now.
        self.0.facts.wake();
    }
}

/// Waits until an older entry plans again.
async fn older(peers: &[Peer], own: SocketAddr) -> SocketAddr {
    loop {
        tokio::time::sleep(RETRY).await;
        for peer in peers.iter().filter(|peer| peer.address != own) {
            let Some(greeting) = greet(peer.address).await else { continue };
            if greeting.leader.is_none() && greeting.incarnation == peer.incarnation {
                return peer.address;
            }
        }
    }
}

/// Sends reports and takes orders; ends with an error, at the latest when beats are missed.
async fn exchange(gateway: &Gateway, mut link: Link, mut waiting: mpsc::Receiver<Report>) -> Result<()> {
    let mut heard = Instant::now();
    let bounds = gateway.bounds();
    let mut sync = tokio::time::interval(SYNC.min(bounds.config_apply.min(bounds.drain) / SYNCS_PER_BOUND));
    sync.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut question = Question::default();
    loop {
        tokio::select! {
            order = link.receive() => {
                heard = Instant::now();
                match order? {
                    Order::Grant { number, team } => gateway.desk.granted(number, team),
                    Order::Update { number, update } if number == question.number => {
                        facts::take_in(gateway, update, question.asked);
                    }
                    Order::Sync { number, configuration, replicas } => {
                        let update = facts::update(gateway, configuration, replicas);
                        link.send(Report::Update { number, update }, &mut waiting).await?;
                    }
                    Order::Update { .. } | Order::Beat | Order::Welcome { .. } => {}
                }
            }
            report = waiting.recv() => {
                let report = report.ok_or_else(|| eyre!("step=send: too far behind"))?;
                link.send(report, &mut waiting).await?;
            }
            _ = sync.tick(), if gateway.settings.policy.passing_on => {
                question = question.next(&gateway.facts);
                let Question { number, configuration, replicas, .. } = question;
                link.send(Report::Sync { number, configuration, replicas }, &mut waiting).await?;
            }
            () = tokio::time::sleep_until(heard + SILENCE) => return Err(eyre!("step=receive: no beat")),
        }
    }
}
