//! Planning for other entries: each connection is an entry that asks and reports.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::Result;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use super::desk::Desk;
use super::link::{self, Link, Order};
use super::state::Phase;
use crate::event;

/// How often an entry that plans tells the others that it lives. They wait for a few of these.
pub const BEAT: Duration = Duration::from_millis(150);

/// Takes other entries in until this one is told to stop; then they look for another.
pub async fn run(desk: Rc<Desk>, listener: TcpListener, mut phase: watch::Receiver<Phase>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase != Phase::Serving) => return,
        };
        match accepted {
            Ok((stream, peer)) => drop(tokio::task::spawn_local(follower(desk.clone(), stream, peer, phase.clone()))),
            Err(error) => {
                crate::warn_event!("accept-peer", error = %error);
                tokio::time::sleep(BEAT).await;
            }
        }
    }
}

async fn follower(desk: Rc<Desk>, stream: TcpStream, peer: SocketAddr, mut phase: watch::Receiver<Phase>) {
    let _ = stream.set_nodelay(true);
    let (orders, mut waiting) = mpsc::channel(link::RING);
    let entry = desk.join(orders);
    event!("peer-joined", peer = %peer, entry);
    let mut link = Link::new(stream);
    let outcome = tokio::select! {
        outcome = exchange(&desk, entry, &mut link, &mut waiting) => outcome,
        _ = phase.wait_for(|phase| *phase != Phase::Serving) => Ok(()),
    };
    desk.leave(entry);
    let reason = outcome.err().map_or_else(|| "stopping".to_owned(), |error| format!("{error:#}"));
    event!("peer-left", peer = %peer, entry, reason);
}

async fn exchange(desk: &Rc<Desk>, entry: u64, link: &mut Link, waiting: &mut mpsc::Receiver<Order>) -> Result<()> {
    let mut beat = tokio::time::interval(BEAT);
    beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            report = link.receive() => desk.hear(entry, report?),
            Some(order) = waiting.recv() => link.send_all(order, waiting).await?,
            _ = beat.tick() => link.send_all(Order::Beat, waiting).await?,
        }
    }
}
