//! The wire between entries, and from sidecars to entries: JSON-RPC by jsonrpsee.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coord::claim::{Binding, Key};
use coord::name::Name;
use coord::placement::Order;
use coord::replay::Snapshot;
use eyre::{Result, eyre};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::Server;
use serde::{Deserialize, Serialize};
use tokio::sync::{oneshot, watch};

use super::kernel::{Demand, Share};
use super::{Shared, claims, limits, log, members};
use crate::warn_event;

/// Largest message: a snapshot of tens of thousands of workspaces.
const MAX_MESSAGE: u32 = 64 * 1_024 * 1_024;
/// A peer that has not answered by then is given up.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// What the configuration says of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Brief {
    /// The revision that it is taken from.
    pub revision: u64,
    /// Whether operators drain the endpoint.
    pub drained: bool,
    /// Peer addresses of all entries, unless they are those that the asker knows.
    pub entries: Option<Vec<Name>>,
    /// The order to the endpoint that counts.
    pub order: Option<Order>,
}

/// What a sidecar knows and says when it asks for its [`Brief`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Known {
    /// The endpoint.
    pub endpoint: Name,
    /// The newest revision that it was told.
    pub revision: u64,
    /// Whether it was told that operators drain the endpoint.
    pub drained: bool,
    /// Offset of the newest order that it was told.
    pub order: Option<u64>,
    /// Digest of the entries that it was told: at size the list alone would be most of the traffic.
    pub entries: u64,
}

/// The digest of a list of entries.
pub fn digest(entries: &[Name]) -> u64 {
    entries.iter().fold(0, |digest, entry| xxhash_rust::xxh3::xxh3_64_with_seed(entry.as_bytes(), digest))
}

/// What entries answer.
#[rpc(server, client, namespace = "peer")]
pub trait Peer {
    /// The configuration's word on an endpoint; waits for a change from what the asker knows.
    #[method(name = "brief")]
    async fn brief(&self, known: Known, wait_ms: u64) -> RpcResult<Brief>;

    /// The replayed configuration, if newer than `next`.
    #[method(name = "snapshot")]
    async fn snapshot(&self, next: u64) -> RpcResult<Option<Snapshot>>;

    /// Who holds a key, as far as this entry has read.
    #[method(name = "binding")]
    async fn binding(&self, key: Key) -> RpcResult<Option<Binding>>;

    /// Binds a key at its partition's writer; none if the log is out.
    #[method(name = "claim")]
    async fn claim(&self, key: Key, binding: Binding) -> RpcResult<Option<Binding>>;

    /// An entry's demand, against the shares of its limits.
    #[method(name = "report")]
    async fn report(&self, entry: Name, demands: Vec<Demand>) -> RpcResult<Vec<Share>>;
}

struct Answers(Arc<Shared>);

#[async_trait]
impl PeerServer for Answers {
    async fn brief(&self, known: Known, wait_ms: u64) -> RpcResult<Brief> {
        let Known { endpoint, revision, drained, order, entries: known_entries } = known;
        let (mut config, mut orders) = (self.0.config.clone(), self.0.orders.clone());
        let news = async {
            tokio::select! {
                _ = config.wait_for(|config| config.drained.contains(&endpoint) != drained || revision == 0) => {}
                _ = orders.wait_for(|orders| orders.get(&endpoint).map(|order| order.offset) != order) => {}
            }
        };
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), news).await;
        let config = self.0.config.borrow().clone();
        let order = self.0.orders.borrow().get(&endpoint).cloned();
        let mut entries = members::entries(&self.0.vms.borrow());
        entries.sort_unstable();
        let entries = Some(entries).filter(|entries| digest(entries) != known_entries);
        Ok(Brief { revision: config.revision, drained: config.drained.contains(&endpoint), entries, order })
    }

    async fn snapshot(&self, next: u64) -> RpcResult<Option<Snapshot>> {
        let (reply, answer) = oneshot::channel();
        if self.0.log.send(log::Command::Snapshot(next, reply)).await.is_err() {
            return Ok(None);
        }
        Ok(answer.await.unwrap_or_default())
    }

    async fn binding(&self, key: Key) -> RpcResult<Option<Binding>> {
        let unread = || jsonrpsee::types::ErrorObjectOwned::owned(1, "the claims have not been read", None::<()>);
        claims::lookup_here(&self.0, key).await.ok_or_else(unread)
    }

    async fn claim(&self, key: Key, binding: Binding) -> RpcResult<Option<Binding>> {
        Ok(claims::claim_here(&self.0, key, binding).await)
    }

    async fn report(&self, entry: Name, demands: Vec<Demand>) -> RpcResult<Vec<Share>> {
        Ok(limits::report(&self.0, &entry, demands))
    }
}

/// Serves the other processes until `closed` says so.
pub async fn serve(shared: Arc<Shared>, mut closed: watch::Receiver<bool>) {
    let address = shared.settings.peer_listen;
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_response_body_size(MAX_MESSAGE)
        .max_request_body_size(MAX_MESSAGE)
        .max_connections(20_000)
        .build();
    let server = match Server::builder().set_config(config).build(address).await {
        Ok(server) => server,
        Err(error) => {
            warn_event!("peer-listen-failed", peer = %address, reason = %error);
            return;
        }
    };
    let handle = server.start(Answers(shared).into_rpc());
    let _ = closed.wait_for(|closed| *closed).await;
    let _ = handle.stop();
}

thread_local! {
    static CLIENTS: RefCell<HashMap<Name, HttpClient>> = RefCell::default();
}

fn client(peer: &Name) -> Result<HttpClient> {
    if let Some(client) = CLIENTS.with_borrow(|clients| clients.get(peer).cloned()) {
        return Ok(client);
    }
    let client = HttpClientBuilder::new()
        .max_response_size(MAX_MESSAGE)
        .request_timeout(Duration::from_secs(60))
        .build(format!("http://{peer}"))
        .map_err(|error| eyre!("step=peer-client peer={peer}: {error}"))?;
    CLIENTS.with_borrow_mut(|clients| clients.insert(peer.clone(), client.clone()));
    Ok(client)
}

async fn timed<T, E: std::fmt::Display>(
    peer: &Name,
    limit: Duration,
    call: impl Future<Output = Result<T, E>>,
) -> Result<T> {
    match tokio::time::timeout(limit, call).await {
        Ok(result) => result.map_err(|error| eyre!("step=ask-peer peer={peer}: {error}")),
        Err(_) => Err(eyre!("step=ask-peer peer={peer}: no answer within {} ms", limit.as_millis())),
    }
}

/// Asks an entry for the configuration's word on an endpoint.
pub async fn brief(peer: &Name, known: Known, wait: Duration) -> Result<Brief> {
    let client = client(peer)?;
    let wait_ms = crate::util::millis_up(wait);
    timed(peer, wait + TIMEOUT, PeerClient::brief(&client, known, wait_ms)).await
}

/// Asks an entry for its state, if newer than `next`.
pub async fn snapshot(peer: &Name, next: u64) -> Result<Option<Snapshot>> {
    let client = client(peer)?;
    timed(peer, 5 * TIMEOUT, PeerClient::snapshot(&client, next)).await
}

/// Asks an entry who holds a key.
pub async fn binding(peer: &Name, key: &Key) -> Result<Option<Binding>> {
    let client = client(peer)?;
    timed(peer, TIMEOUT / 2, PeerClient::binding(&client, key.clone())).await
}

/// Asks a partition's writer to bind a key; none if the log is out.
pub async fn claim(peer: &Name, key: &Key, binding: &Binding) -> Result<Option<Binding>> {
    let client = client(peer)?;
    timed(peer, 2 * TIMEOUT, PeerClient::claim(&client, key.clone(), binding.clone())).await
}

/// Reports demand to the owner of the limits.
pub async fn report(peer: &Name, entry: &Name, demands: &[Demand]) -> Result<Vec<Share>> {
    let client = client(peer)?;
    timed(peer, TIMEOUT, PeerClient::report(&client, entry.clone(), demands.to_vec())).await
}
