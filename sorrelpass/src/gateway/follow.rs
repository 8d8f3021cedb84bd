//! Following the entry that plans for all: which one, for how long, and what is said on the way.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coord::search::Search;
use eyre::{Result, eyre};
use platform::store::Client;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::facts::{self, Asked};
use super::limits;
use super::link::{self, Link, Order, Report, SILENCE};
use super::peers::{self, Found, Peer, Round};
use super::quarantine::{self, Source};
use super::state::{Gateway, Phase};
use crate::{event, warn_event};

/// Time for which an entry that starts waits for the store alone: some answers of it on a bad day.
const STORE_FIRST: Duration = Duration::from_millis(300);
/// Pause before an entry that found no one to follow tries again, at first; doubled each time.
const FIRST_RETRY: Duration = Duration::from_millis(300);
/// Longest such pause: after a cut the two sides find each other within it.
const RETRY: Duration = Duration::from_secs(3);
/// How often the entry that plans reads the list anew: one that is more powerful may have come back.
const LIST_PERIOD: Duration = Duration::from_secs(5);
/// How often, at least, an entry asks the one that it follows what is new in the store: a new configuration is in force
/// everywhere within 0.3 s where the bounds ask for seconds …
const SYNC: Duration = Duration::from_millis(250);
/// … and in the time within which a configuration must be in force, or a leaving replica be left alone: one
/// question may be lost with its connection, and what the other entry knows is itself some time old.
const SYNCS_PER_BOUND: u32 = 6;

/// Follows the entry that plans, for as long as the process lives.
pub async fn run(gateway: Rc<Gateway>, own: SocketAddr) {
    let announced = peers::announce(&gateway, own);
    seek(&gateway, own, announced).await;
    let mut client = Client::new(gateway.settings.store);
    let mut search = Search::default();
    let mut known = list(&gateway, &mut client, own).await.unwrap_or_default();
    let mut pause = FIRST_RETRY;
    // Whether the list was read again since the last pause.
    let mut read_again = false;
    loop {
        let ahead = &known[..rank(&gateway, &known, own)];
        match peers::reach(&mut search, ahead, own).await {
            Round::Found(found) => {
                pause = FIRST_RETRY;
                follow_on(&gateway, *found, own).await;
                continue;
            }
            // All of them may have been restarted, and look for each other now: a new list says who is first.
            Round::Outdated if !read_again => read_again = true,
            Round::Outdated | Round::Vain => {
                gateway.set_seeking(false);
                pause = rest(&gateway, &mut search, ahead.is_empty(), pause).await;
                read_again = false;
            }
        }
        // An entry may have been restarted since, or one more powerful have come.
        if read_again || known.is_empty() || gateway.has_recent_proof() {
            known = list(&gateway, &mut client, own).await.unwrap_or(known);
            search.keep(|address| known.iter().any(|peer| peer.address == *address));
        }
    }
}

/// Reads who has announced itself, and notes how many.
async fn list(gateway: &Gateway, client: &mut Client, own: SocketAddr) -> Option<Vec<Peer>> {
    let known = peers::list(client, own).await?;
    gateway.note_entries(known.len());
    gateway.limits.note_known(known.len());
    // The part of a limit that may be used here changes with time, too.
    limits::apply(gateway);
    Some(known)
}

/// Follows an entry, and the one that it names when it plans no more.
async fn follow_on(gateway: &Gateway, found: Found, own: SocketAddr) {
    let mut next = Some(found);
    while let Some(found) = next {
        let moved_to = follow(gateway, found).await;
        next = match moved_to.filter(|leader| *leader != own) {
            Some(leader) => peers::planner(leader).await,
            None => None,
        };
    }
}

/// How many of `known` are ahead of this entry in the order of succession.
fn rank(gateway: &Gateway, known: &[Peer], own: SocketAddr) -> usize {
    let rank = known.iter().position(|peer| peer.address == own);
    // An entry that is about to end looks to those behind it too.
    rank.filter(|_| gateway.phase() == Phase::Serving).unwrap_or(known.len())
}

/// Waits before a leader is looked for again; returns the pause after the next time.
async fn rest(gateway: &Gateway, search: &mut Search<SocketAddr>, first: bool, pause: Duration) -> Duration {
    if first && gateway.phase() == Phase::Serving {
        // None is ahead of the first; once it is to end it follows the next at once.
        let ending = gateway.reached(Phase::Stopping);
        // Only the time is wanted.
        let _ = tokio::time::timeout(LIST_PERIOD, ending).await;
        return FIRST_RETRY;
    }
    let was_sure = gateway.has_recent_proof();
    gateway.facts.pause(pause.mul_f64(rand::random_range(0.75..1.25))).await;
    // After an outage of the store all look for each other at the same moment.
    let is_back = gateway.has_recent_proof() && !was_sure;
    if is_back {
        search.restart();
    }
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
            _ = follow(gateway, found) => {}
        }
    }
}

/// Follows one entry until it is lost, or follows another itself; returns that one.
async fn follow(gateway: &Gateway, found: Found) -> Option<SocketAddr> {
    let desk = &gateway.desk;
    let Found { address: peer, link } = found;
    event!("following", peer = %peer);
    let (reports, waiting) = mpsc::channel(link::RING);
    desk.link_up(peer, reports);
    gateway.set_seeking(false);
    let _followed = Followed(gateway);
    match exchange(gateway, link, waiting).await {
        Ok(leader) => {
            event!("leader-left", peer = %peer, leader = %leader);
            Some(leader)
        }
        Err(error) => {
            warn_event!("leader-lost", peer = %peer, reason = %format!("{error:#}"));
            None
        }
    }
}

/// Takes planning back when another entry is followed no more.
struct Followed<'a>(&'a Gateway);

impl Drop for Followed<'_> {
    fn drop(&mut self) {
        self.0.set_seeking(true);
        self.0.desk.link_down();
        limits::alone(self.0);
        self.0.quarantine.wake();
    }
}

/// Sends reports and takes orders until the other entry names the one that it follows now; ends with an error when the
/// connection does, at the latest when beats are missed.
async fn exchange(gateway: &Gateway, mut link: Link, mut waiting: mpsc::Receiver<Report>) -> Result<SocketAddr> {
    let mut heard = Instant::now();
    let bounds = gateway.bounds();
    let period = SYNC.min(bounds.apply().min(bounds.drain) / SYNCS_PER_BOUND);
    let mut sync_at = Instant::now();
    let mut asked = Asked::default();
    for news in gateway.quarantine.messages() {
        link.send(Report::Quarantine(news), &mut waiting).await?;
    }
    for news in gateway.limits.messages() {
        link.send(Report::Limits(news), &mut waiting).await?;
    }
    loop {
        tokio::select! {
            order = link.receive() => {
                heard = Instant::now();
                match order? {
                    Order::Grant { number, placement } => gateway.desk.granted(number, placement),
                    Order::Refuse { number, retry_after } => gateway.desk.refused(number, retry_after),
                    Order::Update { number, update } if number == asked.question.number => {
                        facts::take_in(gateway, update, asked.at);
                    }
                    Order::Sync(question) => {
                        let update = facts::update(gateway, question);
                        link.send(Report::Update { number: question.number, update }, &mut waiting).await?;
                    }
                    Order::Quarantine(news) => quarantine::receive(gateway, news, Source::Leader),
                    Order::Welcome { leader: Some(leader), .. } => return Ok(leader),
                    Order::Limits(news) => limits::hear(gateway, news, Source::Leader),
                    Order::Turn { number, turn } => gateway.limits.answered(number, turn),
                    Order::Beat { entries } => gateway.limits.note_group(entries),
                    Order::Update { .. } | Order::Welcome { .. } => {}
                }
            }
            report = waiting.recv() => {
                let report = report.ok_or_else(|| eyre!("step=send: too far behind"))?;
                link.send(report, &mut waiting).await?;
            }
            () = tokio::time::sleep_until(sync_at), if gateway.settings.policy.passing_on => {
                // Those that began to follow together do not go on asking together: the answers to 100 of them, with a
                // configuration of 20 KB, held up grants on a link of 200 Mbit/s for 110 ms.
                let share = if asked.question.number == 0 { rand::random_range(0.0..1.0) } else { 1.0 };
                sync_at = Instant::now() + period.mul_f64(share);
                asked = asked.next(&gateway.facts);
                link.send(Report::Sync(asked.question), &mut waiting).await?;
            }
            () = tokio::time::sleep_until(heard + SILENCE) => return Err(eyre!("step=receive: no beat")),
        }
    }
}
