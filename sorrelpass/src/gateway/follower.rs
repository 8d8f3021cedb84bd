//! Follower side of the connection between entries: finds the leader, follows it, and exchanges messages with it
//! until it is lost.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coord::poll::Poll;
use coord::search::LeaderSearch;
use coord::time::Moment;
use eyre::{Result, eyre};
use platform::store::Client;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::backoff;
use super::delegates;
use super::draining;
use super::limits;
use super::membership::{self, Announcement};
use super::now;
use super::peer_protocol::{self, FollowerMessage, LeaderMessage, PEER_TIMEOUT, PeerConnection};
use super::peers::{self, LeaderConnection, Peer, SearchOutcome};
use super::quarantine::{self, Source};
use super::state::{Gateway, Phase};
use super::store_view;
use crate::{event, warn_event};

/// Time for which a starting entry waits for the store before it asks the seeds: a few slow answers of the store.
const STORE_HEAD_START: Duration = Duration::from_millis(300);
/// Initial delay before the next search after one that found no leader. It doubles with each failed search.
const MIN_SEARCH_DELAY: Duration = Duration::from_millis(300);
/// Longest delay before the next search: after a network partition, both sides find each other within this time.
const MAX_SEARCH_DELAY: Duration = Duration::from_secs(3);
/// Interval at which the leader reads the list of entries again, since an entry with a greater capacity may be back.
const LIST_REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Longest interval between a follower's requests for changes in the store: a new configuration is in force everywhere
/// within 0.3 s, where the bounds ask for seconds.
const MAX_SYNC_INTERVAL: Duration = Duration::from_millis(250);
/// Number of requests for changes within the time in which a configuration must be in force, or in which a leaving
/// replica must get no more requests. One request may be lost with its connection, and the leader's data have an age
/// of their own.
const MIN_SYNCS_PER_BOUND: u32 = 6;
/// Rank of the entry that leads next once the leader, which has rank 0, is lost.
const NEXT_LEADER_RANK: usize = 1;
/// Number of failed searches after which an entry reads the list of entries: by then, most entries have found the next
/// leader in the list that they already have.
const MAX_FAILED_SEARCHES_BEFORE_LIST: u32 = 2;
/// Delay between two attempts of a starting entry to find a leader via its seeds.
const SEED_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Follows the current leader until the process ends. The entry leads itself while no other entry ranks ahead of it.
pub async fn run(gateway: Rc<Gateway>, own_address: SocketAddr) {
    if gateway.joins_via_seeds() {
        join_via_seeds(&gateway, own_address).await;
    }
    if gateway.membership.successors().is_empty() {
        let announced = spawn_announcement(&gateway, own_address);
        follow_seeds_until_announced(&gateway, own_address, announced).await;
    }
    Follower::new(gateway, own_address).run().await;
}

/// Searches for the leader among the entries that rank ahead of this one, follows it, and searches again once it is
/// lost.
struct Follower {
    gateway: Rc<Gateway>,
    own_address: SocketAddr,
    client: Client,
    search: LeaderSearch<SocketAddr>,
    /// Known entries in the succession order.
    ranked: Vec<Peer>,
    /// Time of the last attempt to read the list of entries.
    list_read_at: Moment,
    /// Number of searches since the last one that found a leader.
    failed_searches: u32,
    /// Delay after the next search that finds no leader.
    search_delay: Duration,
    /// Whether this entry writes its own announcement to the store, because it found no leader to do that.
    is_announcing: bool,
}

impl Follower {
    fn new(gateway: Rc<Gateway>, own_address: SocketAddr) -> Self {
        let client = Client::new(gateway.settings.store);
        let ranked = gateway.membership.successors();
        Self {
            gateway,
            own_address,
            client,
            search: LeaderSearch::default(),
            ranked,
            list_read_at: Moment::ZERO,
            failed_searches: 0,
            search_delay: MIN_SEARCH_DELAY,
            is_announcing: false,
        }
    }

    async fn run(mut self) {
        loop {
            if self.needs_list() {
                self.read_list().await;
            }
            let rank = rank(&self.gateway, &self.ranked, self.own_address);
            let outcome = peers::find_leader(&mut self.search, &self.ranked[..rank], self.own_address).await;
            // The entries ahead of this one do not lead: the followers of this one need not search among them.
            if rank < self.ranked.len() {
                self.gateway.membership.set_ranked(&self.ranked[rank..]);
            }
            match outcome {
                SearchOutcome::Found(connection) => self.follow(*connection).await,
                SearchOutcome::FollowsThisEntry(follower) => self.yield_to(follower).await,
                SearchOutcome::NotFound => self.wait_for_next_search(rank).await,
            }
        }
    }

    /// Returns whether the list of entries must be read from the store. The leader reads it regularly, since an entry
    /// with a greater capacity may have been announced. Others read it only if they found none of the entries that
    /// they know, and no new leader within the time in which most entries find one.
    fn needs_list(&self) -> bool {
        if self.is_appointed() && !self.ranked.is_empty() {
            let list_age = now().since(self.list_read_at);
            return list_age >= LIST_REFRESH_INTERVAL && self.gateway.is_recently_verified();
        }
        let is_leader = rank(&self.gateway, &self.ranked, self.own_address) == 0;
        let is_verified = self.gateway.is_recently_verified();
        self.ranked.is_empty()
            || (is_verified
                && (is_leader
                    || !self.gateway.admission.is_standalone()
                    || self.failed_searches >= MAX_FAILED_SEARCHES_BEFORE_LIST))
    }

    /// Returns whether this entry leads because its last leader named it as the next one. An entry that shuts down
    /// does not lead.
    fn is_appointed(&self) -> bool {
        self.search.is_appointed() && self.gateway.phase() == Phase::Serving
    }

    /// Reads the list of announced entries from the store.
    async fn read_list(&mut self) {
        self.list_read_at = now();
        let Some(ranked) = peers::list_announced(&mut self.client, Some(self.own_address)).await else { return };
        let gateway = &self.gateway;
        gateway.raise_entry_count(ranked.len());
        gateway.limits.record_stored_entries(ranked.len());
        // The share of each rate limit that this entry may use depends on time and on the number of entries.
        limits::apply(gateway);
        self.search.retain(|address| ranked.iter().any(|peer| peer.address == *address));
        self.ranked = ranked;
    }

    /// Follows a leader until it is lost.
    async fn follow(&mut self, connection: LeaderConnection) {
        self.failed_searches = 0;
        self.search_delay = MIN_SEARCH_DELAY;
        self.search.record_leader();
        if follow_with_redirects(&self.gateway, connection, self.own_address).await == FollowingEnd::Appointed {
            event!("appointed", address = %self.own_address);
            self.search.record_appointment();
        }
        self.ranked = self.gateway.membership.successors();
    }

    /// Yields the leadership to a follower that ranks ahead of this entry: puts it first in the list of successors that
    /// followers receive, and gives it time to take over.
    async fn yield_to(&mut self, follower: SocketAddr) {
        let from = self.ranked.iter().position(|peer| peer.address == follower).unwrap_or(0);
        self.gateway.membership.set_ranked(&self.ranked[from..]);
        self.gateway.store_view.sleep_until_woken(MIN_SEARCH_DELAY).await;
    }

    /// Handles a search that found no leader. This entry leads if no entry ranks ahead of it or if it was appointed;
    /// otherwise, it asks the seeds. It searches again after a delay.
    async fn wait_for_next_search(&mut self, rank: usize) {
        let is_leader = rank == 0;
        // The next leader reads the store, for itself and its future followers. The others read it only once their
        // data are too old: most of them find the next leader before that.
        let is_next = self.is_appointed() || (rank <= NEXT_LEADER_RANK && rank < self.ranked.len());
        self.gateway.set_searching_reader(!is_next && self.gateway.admission.is_standalone());
        self.failed_searches += 1;
        let lacks_leader = !is_leader && !self.is_appointed();
        if lacks_leader && self.gateway.admission.is_standalone() && self.gateway.phase() == Phase::Serving {
            if let Some(connection) = peers::find_leader_via_seeds(&self.gateway.settings.seeds, self.own_address).await
            {
                return self.follow(connection).await;
            }
            if !self.gateway.membership.is_announced() && !self.is_announcing {
                self.is_announcing = true;
                // The search does not wait for the announcement.
                drop(spawn_announcement(&self.gateway, self.own_address));
            }
        }
        self.search_delay = sleep_before_search(&self.gateway, &mut self.search, is_leader, self.search_delay).await;
    }
}

/// Finds a leader via the seeds and follows it, without a call to the store. Returns once that leader is lost, or if no
/// leader is found by the time at which all entries that start together accept connections.
async fn join_via_seeds(gateway: &Rc<Gateway>, own_address: SocketAddr) {
    while now() < gateway.seed_search_deadline() {
        if let Some(connection) = peers::find_leader_via_seeds(&gateway.settings.seeds, own_address).await {
            follow_with_redirects(gateway, connection, own_address).await;
            return;
        }
        tokio::time::sleep(SEED_RETRY_DELAY.mul_f64(rand::random_range(0.75..1.25))).await;
    }
}

/// Starts a task that announces this entry. The returned receiver is notified once the store has the announcement.
fn spawn_announcement(gateway: &Rc<Gateway>, own_address: SocketAddr) -> oneshot::Receiver<()> {
    let gateway = gateway.clone();
    let (sender, announced) = oneshot::channel();
    tokio::task::spawn_local(async move {
        membership::announce(&gateway, own_address).await;
        // Fails if the receiver was dropped because no task waits for the announcement.
        let _ = sender.send(());
    });
    announced
}

/// Reason why this entry follows no leader any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowingEnd {
    /// The leader named this entry as the next one.
    Appointed,
    /// The leader was lost, or it redirected this entry to one that does not lead.
    Lost,
}

/// Follows a leader, and after it the one that it redirects to, until no redirect leads to a leader.
async fn follow_with_redirects(
    gateway: &Rc<Gateway>,
    mut connection: LeaderConnection,
    own_address: SocketAddr,
) -> FollowingEnd {
    loop {
        let Some(leader) = follow_leader(gateway, connection, own_address).await else { return FollowingEnd::Lost };
        if leader == own_address {
            // A redirect to this address may mean an earlier process, so only the order of succession appoints.
            let is_first = gateway.membership.is_first(own_address);
            return if is_first { FollowingEnd::Appointed } else { FollowingEnd::Lost };
        }
        match peers::connect_to_leader(leader).await {
            Some(next) => connection = next,
            None => return FollowingEnd::Lost,
        }
    }
}

/// Returns how many of the `ranked` entries rank ahead of this one.
fn rank(gateway: &Gateway, ranked: &[Peer], own_address: SocketAddr) -> usize {
    let rank = ranked.iter().position(|peer| peer.is_this_process(own_address));
    // An entry that shuts down does not lead, so all others count as ahead of it.
    rank.filter(|_| gateway.phase() == Phase::Serving).unwrap_or(ranked.len())
}

/// Waits before the next search for a leader. Returns the delay after the search that follows.
async fn sleep_before_search(
    gateway: &Gateway,
    search: &mut LeaderSearch<SocketAddr>,
    is_leader: bool,
    delay: Duration,
) -> Duration {
    if is_leader && gateway.phase() == Phase::Serving {
        // No entry ranks ahead of the leader, so it has none to search for. When it shuts down, it follows the next
        // one at once.
        tokio::select! {
            () = gateway.wait_for_phase(Phase::Stopping) => {}
            () = gateway.membership.wait_for_ranking_change() => {}
            () = tokio::time::sleep(LIST_REFRESH_INTERVAL) => {}
        }
        return MIN_SEARCH_DELAY;
    }
    let was_verified = gateway.is_recently_verified();
    gateway.store_view.sleep_until_woken(delay.mul_f64(rand::random_range(0.75..1.25))).await;
    // After an outage of the store, all entries search at the same time, so earlier failures say nothing.
    let is_recovered = gateway.is_recently_verified() && !was_verified;
    if is_recovered {
        search.reset();
    }
    if is_recovered { MIN_SEARCH_DELAY } else { (delay * 2).min(MAX_SEARCH_DELAY) }
}

/// Follows a leader found via the seeds until the store has this entry's announcement. So an entry that restarts
/// during an outage of the store gets the configuration, the replicas and engines for its prompts from that leader.
async fn follow_seeds_until_announced(
    gateway: &Rc<Gateway>,
    own_address: SocketAddr,
    mut announced: oneshot::Receiver<()>,
) {
    let mut delay = STORE_HEAD_START;
    while tokio::time::timeout(delay, &mut announced).await.is_err() {
        delay = MIN_SEARCH_DELAY;
        let Some(connection) = peers::find_leader_via_seeds(&gateway.settings.seeds, own_address).await else {
            continue;
        };
        tokio::select! {
            _ = &mut announced => return,
            _ = follow_leader(gateway, connection, own_address) => {}
        }
    }
}

/// Follows one leader until it is lost or no longer leads. Returns the leader that it redirects to, if there is one.
async fn follow_leader(
    gateway: &Rc<Gateway>,
    connection: LeaderConnection,
    own_address: SocketAddr,
) -> Option<SocketAddr> {
    let admission = &gateway.admission;
    let LeaderConnection { address: peer, connection } = connection;
    event!("following", peer = %peer);
    let (reports, queue) = mpsc::channel(peer_protocol::SEND_CHANNEL_CAPACITY);
    admission.attach_leader(peer, reports);
    gateway.set_searching_reader(false);
    let _guard = FollowingGuard(gateway);
    match exchange_messages(gateway, connection, queue, own_address).await {
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

/// Resumes the scheduling of prompts in this process when it is dropped, which is when a leader is no longer followed.
struct FollowingGuard<'a>(&'a Gateway);

impl Drop for FollowingGuard<'_> {
    fn drop(&mut self) {
        self.0.set_searching_reader(true);
        self.0.admission.detach_leader();
        limits::handle_leader_loss(self.0);
        self.0.quarantine.notify_writer();
    }
}

/// Sends reports to the leader and handles its messages. Returns the address of the leader to follow next, once the
/// leader names one or this entry must lead itself. Returns an error if the connection ends or the heartbeats stop.
async fn exchange_messages(
    gateway: &Rc<Gateway>,
    mut connection: PeerConnection,
    mut queue: mpsc::Receiver<FollowerMessage>,
    own_address: SocketAddr,
) -> Result<SocketAddr> {
    let mut last_received = Instant::now();
    let bounds = gateway.bounds();
    let sync_interval = MAX_SYNC_INTERVAL.min(bounds.propagation().min(bounds.drain) / MIN_SYNCS_PER_BOUND);
    let mut next_sync = Instant::now();
    let mut poll = Poll::default();
    if !gateway.membership.is_announced() {
        connection
            .send(FollowerMessage::Announce(Announcement::of_this_process(gateway, own_address)), &mut queue)
            .await?;
    }
    for message in gateway.quarantine.sync_messages() {
        connection.send(FollowerMessage::Quarantine(message), &mut queue).await?;
    }
    for message in gateway.limits.sync_messages() {
        connection.send(FollowerMessage::Limits(message), &mut queue).await?;
    }
    for report in backoff::sync_reports(gateway) {
        connection.send(report, &mut queue).await?;
    }
    for runs in draining::sync_messages(gateway) {
        connection.send(FollowerMessage::Draining(runs), &mut queue).await?;
    }
    loop {
        tokio::select! {
            message = connection.receive() => {
                last_received = Instant::now();
                match message? {
                    LeaderMessage::Grant { number, placement } => gateway.admission.handle_grant(number, placement),
                    LeaderMessage::Refuse { number, rejection } => gateway.admission.refuse_prompt(number, rejection),
                    LeaderMessage::SyncResponse { number, mut response } => {
                        let Some(requested_at) = poll.record_response(number) else { continue };
                        let successors = response.successors.take();
                        store_view::apply_sync_response(gateway, response, requested_at);
                        if let Some(successors) = successors {
                            gateway.membership.set_successors(successors);
                        }
                        // The leader puts this entry first if this one has a greater capacity, and waits for it to
                        // lead.
                        if gateway.membership.is_first(own_address) && gateway.phase() == Phase::Serving {
                            return Ok(own_address);
                        }
                    }
                    LeaderMessage::DelegatedRead(request) => drop(tokio::task::spawn_local(delegates::read(gateway.clone(), request))),
                    LeaderMessage::Announced => gateway.membership.mark_announced(own_address),
                    LeaderMessage::SyncRequest(request) => {
                        let response = store_view::sync_response(gateway, &request);
                        connection.send(FollowerMessage::SyncResponse { number: request.number, response }, &mut queue).await?;
                    }
                    LeaderMessage::Quarantine(message) => quarantine::apply_message(gateway, message, Source::Leader),
                    LeaderMessage::Welcome { leader: Some(leader), .. } => return Ok(leader),
                    LeaderMessage::Limits(message) => limits::apply_updates(gateway, message, Source::Leader),
                    LeaderMessage::Draining(runs) => draining::apply_updates(gateway, runs, Source::Leader),
                    LeaderMessage::Permit { number, permit } => gateway.limits.handle_permit(number, permit),
                    LeaderMessage::Heartbeat { entry_count } => gateway.limits.record_group_size(entry_count),
                    LeaderMessage::Welcome { .. } => {}
                }
            }
            report = queue.recv() => {
                let report = report.ok_or_else(|| eyre!("step=send: the send queue to the leader is full"))?;
                connection.send(report, &mut queue).await?;
            }
            () = tokio::time::sleep_until(next_sync), if gateway.settings.policy.delegated_reads => {
                let delay = poll.next_delay(sync_interval, gateway.store_view.is_complete(), rand::random_range(0.0..1.0));
                next_sync = Instant::now() + delay;
                if poll.may_send(now()) {
                    let request = store_view::sync_request(gateway, poll.record_request(now()));
                    connection.send(FollowerMessage::SyncRequest(request), &mut queue).await?;
                }
            }
            () = tokio::time::sleep_until(last_received + PEER_TIMEOUT) => return Err(eyre!("step=receive: no heartbeat in time")),
        }
    }
}
