//! JSON-RPC between entries, and from sidecars to entries, by `jsonrpsee`.

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

use super::event_loop::{LimitShare, WorkspaceDemand};
use super::{Shared, claims, config_log, limit_sharing, vm_list};
use crate::warn_event;

/// Maximum size of a message; a snapshot of tens of thousands of workspaces fits.
const MAX_MESSAGE_BYTES: u32 = 64 * 1_024 * 1_024;
/// Base timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Configuration of one endpoint, as sent to its sidecar.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointConfig {
    /// Revision of the configuration that the endpoint's part is taken from.
    pub revision: u64,
    /// Whether an operator has drained the endpoint.
    pub drained: bool,
    /// Peer addresses of all entries; `None` if they match the digest in the request.
    pub entries: Option<Vec<Name>>,
    /// Newest placement order for the endpoint.
    pub order: Option<Order>,
}

/// State that a sidecar already has when it requests its [`EndpointConfig`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnownConfig {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Newest revision received.
    pub revision: u64,
    /// Whether the sidecar knows that the endpoint is drained.
    pub drained: bool,
    /// Offset of the newest placement order received.
    pub order: Option<u64>,
    /// Digest of the entry addresses received. In a large deployment, sending the addresses each time would
    /// make up most of the traffic.
    pub entries: u64,
}

/// Returns a digest of a list of entry addresses; it depends on their order.
pub fn entries_digest(entries: &[Name]) -> u64 {
    entries.iter().fold(0, |digest, entry| xxhash_rust::xxh3::xxh3_64_with_seed(entry.as_bytes(), digest))
}

/// RPC methods of an entry.
#[rpc(server, client, namespace = "peer")]
pub trait Peer {
    /// Returns the configuration of an endpoint. Waits up to `wait_ms` for it to differ from the state that
    /// the sidecar has.
    #[method(name = "brief")]
    async fn endpoint_config(&self, known: KnownConfig, wait_ms: u64) -> RpcResult<EndpointConfig>;

    /// Returns a snapshot of the replayed configuration if its next offset is above `next`.
    #[method(name = "snapshot")]
    async fn snapshot(&self, next: u64) -> RpcResult<Option<Snapshot>>;

    /// Returns the binding of an idempotency key, as far as this entry has replayed the claims.
    #[method(name = "binding")]
    async fn binding(&self, key: Key) -> RpcResult<Option<Binding>>;

    /// Binds an idempotency key at the writer of its partition; returns `None` if the log is unavailable.
    #[method(name = "claim")]
    async fn claim(&self, key: Key, binding: Binding) -> RpcResult<Option<Binding>>;

    /// Records the demand of an entry and returns its shares of the rate limits that this entry owns.
    #[method(name = "report")]
    async fn report_demand(&self, entry: Name, demands: Vec<WorkspaceDemand>) -> RpcResult<Vec<LimitShare>>;
}

struct RpcHandlers(Arc<Shared>);

#[async_trait]
impl PeerServer for RpcHandlers {
    async fn endpoint_config(&self, known: KnownConfig, wait_ms: u64) -> RpcResult<EndpointConfig> {
        let KnownConfig { endpoint, revision, drained, order, entries: known_entries } = known;
        let (mut config, mut orders) = (self.0.config.clone(), self.0.orders.clone());
        let change = async {
            tokio::select! {
                _ = config.wait_for(|config| config.drained.contains(&endpoint) != drained || revision == 0) => {}
                _ = orders.wait_for(|orders| orders.get(&endpoint).map(|order| order.offset) != order) => {}
            }
        };
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), change).await;
        let config = self.0.config.borrow().clone();
        let order = self.0.orders.borrow().get(&endpoint).cloned();
        let mut entries = vm_list::entry_addresses(&self.0.vms.borrow());
        entries.sort_unstable();
        let entries = Some(entries).filter(|entries| entries_digest(entries) != known_entries);
        Ok(EndpointConfig { revision: config.revision, drained: config.drained.contains(&endpoint), entries, order })
    }

    async fn snapshot(&self, next: u64) -> RpcResult<Option<Snapshot>> {
        let (reply, answer) = oneshot::channel();
        if self.0.log.send(config_log::Command::GetSnapshot(next, reply)).await.is_err() {
            return Ok(None);
        }
        Ok(answer.await.unwrap_or_default())
    }

    async fn binding(&self, key: Key) -> RpcResult<Option<Binding>> {
        let not_replayed = || jsonrpsee::types::ErrorObjectOwned::owned(1, "the claims have not been read", None::<()>);
        claims::lookup_local(&self.0, key).await.ok_or_else(not_replayed)
    }

    async fn claim(&self, key: Key, binding: Binding) -> RpcResult<Option<Binding>> {
        Ok(claims::claim_local(&self.0, key, binding).await)
    }

    async fn report_demand(&self, entry: Name, demands: Vec<WorkspaceDemand>) -> RpcResult<Vec<LimitShare>> {
        Ok(limit_sharing::record_report(&self.0, &entry, demands))
    }
}

/// Serves RPCs of other processes until `closed` is true.
pub async fn serve(shared: Arc<Shared>, mut closed: watch::Receiver<bool>) {
    let address = shared.settings.peer_listen;
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_connections(20_000)
        .build();
    let server = match Server::builder().set_config(config).build(address).await {
        Ok(server) => server,
        Err(error) => {
            warn_event!("peer-listen-failed", peer = %address, reason = %error);
            return;
        }
    };
    let handle = server.start(RpcHandlers(shared).into_rpc());
    let _ = closed.wait_for(|closed| *closed).await;
    let _ = handle.stop();
}

thread_local! {
    static CLIENTS: RefCell<HashMap<Name, HttpClient>> = RefCell::default();
}

fn client_for(peer: &Name) -> Result<HttpClient> {
    if let Some(client) = CLIENTS.with_borrow(|clients| clients.get(peer).cloned()) {
        return Ok(client);
    }
    let client = HttpClientBuilder::new()
        .max_response_size(MAX_MESSAGE_BYTES)
        .request_timeout(Duration::from_secs(60))
        .build(format!("http://{peer}"))
        .map_err(|error| eyre!("step=peer-client peer={peer}: {error}"))?;
    CLIENTS.with_borrow_mut(|clients| clients.insert(peer.clone(), client.clone()));
    Ok(client)
}

async fn with_timeout<T, E: std::fmt::Display>(
    peer: &Name,
    timeout: Duration,
    call: impl Future<Output = Result<T, E>>,
) -> Result<T> {
    match tokio::time::timeout(timeout, call).await {
        Ok(result) => result.map_err(|error| eyre!("step=ask-peer peer={peer}: {error}")),
        Err(_) => Err(eyre!("step=ask-peer peer={peer}: no answer within {} ms", timeout.as_millis())),
    }
}

/// Requests the configuration of an endpoint from an entry, waiting up to `wait` for a change.
pub async fn fetch_endpoint_config(peer: &Name, known: KnownConfig, wait: Duration) -> Result<EndpointConfig> {
    let client = client_for(peer)?;
    let wait_ms = crate::util::millis_ceil(wait);
    with_timeout(peer, wait + CALL_TIMEOUT, PeerClient::endpoint_config(&client, known, wait_ms)).await
}

/// Requests a snapshot from an entry; `None` if its next offset is not above `next`.
pub async fn fetch_snapshot(peer: &Name, next: u64) -> Result<Option<Snapshot>> {
    let client = client_for(peer)?;
    with_timeout(peer, 5 * CALL_TIMEOUT, PeerClient::snapshot(&client, next)).await
}

/// Asks an entry for the binding of an idempotency key.
pub async fn fetch_binding(peer: &Name, key: &Key) -> Result<Option<Binding>> {
    let client = client_for(peer)?;
    with_timeout(peer, CALL_TIMEOUT / 2, PeerClient::binding(&client, key.clone())).await
}

/// Asks the writer of a partition to bind an idempotency key; `None` if the log is unavailable.
pub async fn request_claim(peer: &Name, key: &Key, binding: &Binding) -> Result<Option<Binding>> {
    let client = client_for(peer)?;
    with_timeout(peer, 2 * CALL_TIMEOUT, PeerClient::claim(&client, key.clone(), binding.clone())).await
}

/// Reports demand to the owner of rate limits and returns this entry's shares.
pub async fn report_demand(peer: &Name, entry: &Name, demands: &[WorkspaceDemand]) -> Result<Vec<LimitShare>> {
    let client = client_for(peer)?;
    with_timeout(peer, CALL_TIMEOUT, PeerClient::report_demand(&client, entry.clone(), demands.to_vec())).await
}
