//! Following the entry that plans for all: which one, for how long, and what is said on the way.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, eyre};
use platform::store::Client;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior};

use super::facts::{self, Asked};
use super::link::{self, Link, Order, Report, SILENCE};
use super::peers::{self, Found, Peer, RETRY};
use super::state::{Gateway, Phase};
use crate::{event, warn_event};

/// Time for which an entry that starts waits for the store alone: some answers of it on a bad day.
const STORE_FIRST: Duration = Duration::from_millis(300);
/// Pause before an entry that reached no older one tries again, at first; doubled each time. Entries that start
/// together turn each other away until they have read the configuration, some tens of milliseconds later.
const FIRST_RETRY: Duration = Duration::from_millis(300);
/// How often, at least, an entry asks the one that it follows what is new in the store …
const SYNC: Duration = Duration::from_millis(300);
/// … and in the time within which a configuration must be in force, or a leaving replica be left alone: one
/// question may be lost with its connection, and what the other entry knows is itself some time old.
const SYNCS_PER_BOUND: u32 = 6;

/// Follows the oldest entry that can be reached, for as long as the process lives.
pub async fn run(gateway: Rc<Gateway>, own: SocketAddr) {
    let announced = peers::announce(&gateway, own);
    seek(&gateway, own, announced).await;
    let mut client = Client::new(gateway.settings.store);
    let mut known: Vec<Peer> = Vec::new();
    let mut pause = FIRST_RETRY;
    loop {
        // Read anew each time: an entry that was older may have been restarted since, and is the youngest now.
        if known.is_empty() || gateway.has_recent_proof() {
            known = peers::list(&mut client, own).await.unwrap_or(known);
        }
        let own_rank = known.iter().position(|peer| peer.address == own);
        // An entry that is about to end looks to the younger ones too.
        let rank = own_rank.filter(|_| gateway.phase() == Phase::Serving).unwrap_or(known.len());
        match peers::reach(&known[..rank], own).await {
            Some(found) => {
                pause = FIRST_RETRY;
                let older = peers::older_than(&known[..rank], found.address);
                follow(&gateway, found, older, own).await;
            }
            None => pause = rest(&gateway, own_rank == Some(0), pause).await,
        }
    }
}

/// Waits before older entries are tried again; returns the pause after the next time.
async fn rest(gateway: &Gateway, oldest: bool, pause: Duration) -> Duration {
    if oldest && gateway.phase() == Phase::Serving {
        // None is older than the oldest, for as long as it serves; then it follows the next at once.
        gateway.reached(Phase::Stopping).await;
        return FIRST_RETRY;
    }
    let was_sure = gateway.has_recent_proof();
    gateway.facts.pause(pause).await;
    // After an outage of the store all look for each other at the same moment.
    let is_back = gateway.has_recent_proof() && !was_sure;
    if is_back { FIRST_RETRY } else { (pause * 2).min(RETRY) }
}

/// Follows whomever the seeds follow or know to plan, until the store has taken this entry's announcement: an entry
/// that comes back in an outage of the store gets configuration, replicas and engines from there.
async fn seek(gateway: &Gateway, own: SocketAddr, mut announced: oneshot::Receiver<()>) {
    let mut pause = STORE_FIRST;
    while tokio::time::timeout(pause, &mut announced).await.is_err() {
        pause = FIRST_RETRY;
        let Some(found) = peers::reach_any(&gateway.settings.seeds, own).await else { continue };
        tokio::select! {
            _ = &mut announced => return,
            () = follow(gateway, found, &[], own) => {}
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
        older = peers::older(older_peers, own) => {
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

/// Sends reports and takes orders; ends with an error, at the latest when beats are missed.
async fn exchange(gateway: &Gateway, mut link: Link, mut waiting: mpsc::Receiver<Report>) -> Result<()> {
    let mut heard = Instant::now();
    let bounds = gateway.bounds();
    let mut sync = tokio::time::interval(SYNC.min(bounds.config_apply.min(bounds.drain) / SYNCS_PER_BOUND));
    sync.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut asked = Asked::default();
    loop {
        tokio::select! {
            order = link.receive() => {
                heard = Instant::now();
                match order? {
                    Order::Grant { number, team } => gateway.desk.granted(number, team),
                    Order::Update { number, update } if number == asked.question.number => {
                        facts::take_in(gateway, update, asked.at);
                    }
                    Order::Sync(question) => {
                        let update = facts::update(gateway, question);
                        link.send(Report::Update { number: question.number, update }, &mut waiting).await?;
                    }
                    Order::Update { .. } | Order::Beat | Order::Welcome { .. } => {}
                }
            }
            report = waiting.recv() => {
                let report = report.ok_or_else(|| eyre!("step=send: too far behind"))?;
                link.send(report, &mut waiting).await?;
            }
            _ = sync.tick(), if gateway.settings.policy.passing_on => {
                asked = asked.next(&gateway.facts);
                link.send(Report::Sync(asked.question), &mut waiting).await?;
            }
            () = tokio::time::sleep_until(heard + SILENCE) => return Err(eyre!("step=receive: no beat")),
        }
    }
}
