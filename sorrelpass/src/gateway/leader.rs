//! Leader side of the connection between entries: accepts followers, schedules their prompts, and sends them the
//! changes in the store.

use std::net::SocketAddr;
use std::rc::Rc;

use coord::poll::Poll;
use eyre::{Result, eyre};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::leaving;
use super::limits;
use super::link::{self, BEAT, Order, PeerConnection, Report};
use super::quarantine::{self, Source};
use super::state::{Gateway, Phase};
use super::store_view;
use super::{now, watch};
use crate::{event, util};

/// Accepts connections of other entries until this one is told to shut down; its followers then search for another
/// leader.
///
/// An entry without a configuration, or with an old one, accepts followers too: a follower with newer data sends
/// them, and during an outage of the store no entry has newer data. If such a leader refused them, 100 entries would
/// make 6,000 connection attempts per second in their searches.
pub async fn run(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.reached(Phase::Stopping) => return,
        };
        match accepted {
            Ok((stream, peer)) => drop(tokio::task::spawn_local(serve_peer(gateway.clone(), stream, peer))),
            Err(error) => {
                crate::warn_event!("accept-peer", error = %error);
                tokio::time::sleep(BEAT).await;
            }
        }
    }
}

/// Serves one connected entry: redirects it if this entry follows a leader itself, otherwise leads it until it is
/// lost or this entry shuts down.
async fn serve_peer(gateway: Rc<Gateway>, stream: TcpStream, peer: SocketAddr) {
    if gateway.phase() != Phase::Serving {
        event!("peer-refused", peer = %peer, proof_age_ms = gateway.proof_age_ms().unwrap_or(0));
        return;
    }
    // If this fails, the connection has a higher latency but works.
    let _ = stream.set_nodelay(true);
    if let Some(leader) = gateway.desk.leader() {
        redirect(&mut PeerConnection::new(stream), leader).await;
        return;
    }
    let admission = &gateway.desk;
    let (orders, mut queue) = mpsc::channel(link::SEND_CHANNEL_CAPACITY);
    let entry = admission.join(orders);
    limits::apply(&gateway);
    event!("peer-joined", peer = %peer, entry);
    let mut link = PeerConnection::new(stream);
    let outcome = tokio::select! {
        outcome = exchange_messages(&gateway, entry, &mut link, &mut queue) => outcome,
        () = gateway.reached(Phase::Stopping) => Ok(()),
    };
    if let Some(leader) = gateway.desk.leader() {
        redirect(&mut link, leader).await;
    }
    admission.leave(entry);
    limits::apply(&gateway);
    let reason = outcome.err().map_or_else(|| "stopping".to_owned(), |error| format!("{error:#}"));
    event!("peer-left", peer = %peer, entry, reason);
}

/// Redirects an entry to the leader that this one follows, so that all entries follow the same leader even if they have
/// read different lists.
async fn redirect(link: &mut PeerConnection, leader: SocketAddr) {
    let welcome = Order::Welcome { incarnation: util::incarnation().to_string(), leader: Some(leader) };
    if let Err(error) = link.send_one(welcome).await {
        event!("peer-refused", leader = %leader, error = %format!("{error:#}"));
    }
}

/// Handles the reports of a follower and sends it orders and heartbeats, until an error ends the connection.
async fn exchange_messages(
    gateway: &Gateway,
    entry: u64,
    link: &mut PeerConnection,
    queue: &mut mpsc::Receiver<Order>,
) -> Result<()> {
    let welcome = Order::Welcome { incarnation: util::incarnation().to_string(), leader: None };
    link.send(welcome, queue).await?;
    for message in gateway.quarantine.messages() {
        link.send(Order::Quarantine(message), queue).await?;
    }
    for message in gateway.limits.messages() {
        link.send(Order::Limits(message), queue).await?;
    }
    for runs in leaving::sync_messages(gateway) {
        link.send(Order::Leaving(runs), queue).await?;
    }
    let mut inquiry = Poll::default();
    let mut heartbeat = tokio::time::interval(BEAT);
    heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            report = link.receive() => match report? {
                Report::Sync(request) => {
                    let update = store_view::sync_response(gateway, request);
                    link.send(Order::Update { number: request.number, update }, queue).await?;
                    // A follower reads the store itself once the data from here are too old, and may then have newer
                    // ones.
                    if watch::is_store_view_stale(gateway) && gateway.settings.policy.passing_on && inquiry.may_send(now()) {
                        let request = store_view::sync_request(gateway, inquiry.record_request(now()));
                        link.send(Order::Sync(request), queue).await?;
                    }
                }
                Report::Update { number, update } => {
                    if let Some(requested_at) = inquiry.record_response(number) {
                        store_view::apply_sync_response(gateway, update, requested_at);
                    }
                }
                Report::Read { number, update } => {
                    if let Some(requested_at) = gateway.facts.delegates.sent_at(number) {
                        store_view::apply_sync_response(gateway, update, requested_at);
                    }
                }
                Report::Announce(announcement) => gateway.membership.queue_announcement(entry, announcement),
                Report::Quarantine(message) => quarantine::receive(gateway, message, Source::Follower),
                Report::Limits(message) => limits::hear(gateway, message, Source::Follower),
                Report::Leaving(runs) => leaving::apply_updates(gateway, runs, Source::Follower),
                Report::Turn { number, replicas, most_wait } => {
                    let turn = gateway.limits.turn(&replicas, most_wait);
                    link.send(Order::Turn { number, turn }, queue).await?;
                }
                report => gateway.desk.hear(entry, report),
            },
            Some(order) = queue.recv() => link.send(order, queue).await?,
            _ = heartbeat.tick() => {
                if let Some(leader) = gateway.desk.leader() {
                    return Err(eyre!("step=heartbeat: this entry follows {leader} now"));
                }
                link.send(Order::Heartbeat { entry_count: gateway.desk.entries() }, queue).await?;
            }
        }
    }
}
