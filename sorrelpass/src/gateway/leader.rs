//! Leader side of the connection between entries: accepts followers, schedules their prompts, and sends them the
//! changes in the store.

use std::net::SocketAddr;
use std::rc::Rc;

use coord::poll::Poll;
use eyre::{Result, eyre};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::draining;
use super::limits;
use super::peer_protocol::{self, FollowerMessage, HEARTBEAT_INTERVAL, LeaderMessage, PeerConnection};
use super::quarantine::{self, Source};
use super::state::{Gateway, Phase};
use super::store_view;
use super::{now, store_reader};
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
            () = gateway.wait_for_phase(Phase::Stopping) => return,
        };
        match accepted {
            Ok((stream, peer)) => drop(tokio::task::spawn_local(serve_peer(gateway.clone(), stream, peer))),
            Err(error) => {
                crate::warn_event!("accept-peer", error = %error);
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        }
    }
}

/// Serves one connected entry: redirects it if this entry follows a leader itself, otherwise leads it until it is
/// lost or this entry shuts down.
async fn serve_peer(gateway: Rc<Gateway>, stream: TcpStream, peer: SocketAddr) {
    if gateway.phase() != Phase::Serving {
        event!("peer-refused", peer = %peer, proof_age_ms = gateway.verification_age_ms().unwrap_or(0));
        return;
    }
    // If this fails, the connection has a higher latency but works.
    let _ = stream.set_nodelay(true);
    if let Some(leader) = gateway.admission.leader() {
        redirect(&mut PeerConnection::new(stream), leader).await;
        return;
    }
    let admission = &gateway.admission;
    let (sender, mut queue) = mpsc::channel(peer_protocol::SEND_CHANNEL_CAPACITY);
    let entry = admission.add_follower(sender);
    limits::apply(&gateway);
    event!("peer-joined", peer = %peer, entry);
    let mut connection = PeerConnection::new(stream);
    let outcome = tokio::select! {
        outcome = exchange_messages(&gateway, entry, &mut connection, &mut queue) => outcome,
        () = gateway.wait_for_phase(Phase::Stopping) => Ok(()),
    };
    if let Some(leader) = gateway.admission.leader() {
        redirect(&mut connection, leader).await;
    }
    admission.remove_follower(entry);
    limits::apply(&gateway);
    let reason = outcome.err().map_or_else(|| "stopping".to_owned(), |error| format!("{error:#}"));
    event!("peer-left", peer = %peer, entry, reason);
}

/// Redirects an entry to the leader that this one follows, so that all entries follow the same leader even if they have
/// read different lists.
async fn redirect(connection: &mut PeerConnection, leader: SocketAddr) {
    let welcome = LeaderMessage::Welcome { incarnation: util::incarnation().to_string(), leader: Some(leader) };
    if let Err(error) = connection.send_one(welcome).await {
        event!("peer-refused", leader = %leader, error = %format!("{error:#}"));
    }
}

/// Handles the reports of a follower and sends it messages and heartbeats, until an error ends the connection.
async fn exchange_messages(
    gateway: &Gateway,
    entry: u64,
    connection: &mut PeerConnection,
    queue: &mut mpsc::Receiver<LeaderMessage>,
) -> Result<()> {
    let welcome = LeaderMessage::Welcome { incarnation: util::incarnation().to_string(), leader: None };
    connection.send(welcome, queue).await?;
    for message in gateway.quarantine.sync_messages() {
        connection.send(LeaderMessage::Quarantine(message), queue).await?;
    }
    for message in gateway.limits.sync_messages() {
        connection.send(LeaderMessage::Limits(message), queue).await?;
    }
    for runs in draining::sync_messages(gateway) {
        connection.send(LeaderMessage::Draining(runs), queue).await?;
    }
    let mut poll = Poll::default();
    let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
    heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            report = connection.receive() => match report? {
                FollowerMessage::SyncRequest(request) => {
                    let response = store_view::sync_response(gateway, &request);
                    connection.send(LeaderMessage::SyncResponse { number: request.number, response }, queue).await?;
                    // A follower reads the store itself once the data from here are too old, and may then have newer
                    // ones.
                    if store_reader::is_store_view_stale(gateway) && gateway.settings.policy.delegated_reads && poll.may_send(now()) {
                        let request = store_view::sync_request(gateway, poll.record_request(now()));
                        connection.send(LeaderMessage::SyncRequest(request), queue).await?;
                    }
                }
                FollowerMessage::SyncResponse { number, response } => {
                    if let Some(requested_at) = poll.record_response(number) {
                        store_view::apply_sync_response(gateway, response, requested_at);
                    }
                }
                FollowerMessage::DelegatedRead { number, response } => {
                    if let Some(requested_at) = gateway.store_view.delegates.sent_at(number) {
                        store_view::apply_sync_response(gateway, response, requested_at);
                    }
                }
                FollowerMessage::Announce(announcement) => gateway.membership.queue_announcement(entry, announcement),
                FollowerMessage::Quarantine(message) => quarantine::apply_message(gateway, message, Source::Follower),
                FollowerMessage::Limits(message) => limits::apply_updates(gateway, message, Source::Follower),
                FollowerMessage::Draining(runs) => draining::apply_updates(gateway, runs, Source::Follower),
                FollowerMessage::PermitRequest { number, replicas, max_wait } => {
                    let permit = gateway.limits.grant_permit(&replicas, max_wait);
                    connection.send(LeaderMessage::Permit { number, permit }, queue).await?;
                }
                report => gateway.admission.handle_report(entry, report),
            },
            Some(message) = queue.recv() => connection.send(message, queue).await?,
            _ = heartbeat.tick() => {
                if let Some(leader) = gateway.admission.leader() {
                    return Err(eyre!("step=heartbeat: this entry follows {leader} now"));
                }
                connection.send(LeaderMessage::Heartbeat { entry_count: gateway.admission.group_size() }, queue).await?;
            }
        }
    }
}
