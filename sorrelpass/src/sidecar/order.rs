//! Placement orders for the endpoint: only its sidecar sends them, and only the newest one.
//!
//! Endpoints that check fences refuse outdated orders themselves. For those that do not, the sidecar sends
//! one order at a time, the one with the highest known fence. After a restart it first waits
//! [`ORDER_TIMEOUT`], so that no order of the previous incarnation is still in flight.

use std::time::Duration;

use coord::name::Name;
use coord::placement::{Artifacts, Order};
use serde::Deserialize;
use serde_json::json;

use super::Shared;
use crate::{event, http, util, warn_event};

/// Timeout of an order. The connection is closed at the timeout, so that a late order cannot take effect.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends placement orders to the endpoint, and reads back its load.
pub struct OrderSender {
    client: http::Client,
    newest: Option<Order>,
    /// Earliest time at which this incarnation may send orders.
    send_from: coord::time::Moment,
}

#[derive(Deserialize)]
struct LoadedResponse {
    loaded: LoadedModel,
}

#[derive(Deserialize)]
struct LoadedModel {
    version: Name,
    adapters: Vec<Name>,
}

impl OrderSender {
    /// Creates a sender that sends no order until those of the previous incarnation have timed out.
    pub fn new() -> Self {
        Self { client: http::client_h1(), newest: None, send_from: util::now() + ORDER_TIMEOUT }
    }

    /// Stores an order if it is newer than the stored one.
    pub fn store(&mut self, order: Order) {
        let is_newer =
            self.newest.as_ref().is_none_or(|known| (order.fence, order.offset) > (known.fence, known.offset));
        if is_newer {
            self.newest = Some(order);
        }
    }

    /// Sends the newest order if the endpoint's load differs from it. Returns whether the endpoint already
    /// has that load.
    pub async fn reconcile(&self, shared: &Shared) -> bool {
        let Some(order) = &self.newest else { return true };
        let Some(load) = query_load(&self.client, shared).await else { return false };
        if load == order.load {
            return true;
        }
        if util::now() >= self.send_from {
            self.send(shared, order).await;
        }
        false
    }

    async fn send(&self, shared: &Shared, order: &Order) {
        let body = json!({ "fence": order.fence, "version": order.load.version, "adapters": order.load.adapters,
            "role": "" });
        let call = http::post_json(&self.client, &shared.settings.endpoint_address, "/orders", &body);
        match tokio::time::timeout(ORDER_TIMEOUT, call).await {
            Ok(Ok(204)) => event!("order", fence = order.fence.0, version = %order.load.version),
            Ok(Ok(409)) => {
                warn_event!("order-refused", fence = order.fence.0, reason = "the endpoint has a newer fence")
            }
            Ok(Ok(status)) => warn_event!("order-failed", fence = order.fence.0, status),
            Ok(Err(error)) => warn_event!("order-failed", fence = order.fence.0, reason = %error),
            Err(_) => warn_event!("order-failed", fence = order.fence.0, reason = "no answer within the timeout"),
        }
    }
}

/// Asks the endpoint for its load; `None` if it does not answer.
pub async fn query_load(client: &http::Client, shared: &Shared) -> Option<Artifacts> {
    let call = http::exchange_json(client, &shared.settings.endpoint_address, "GET", "/loaded", None);
    let loaded: LoadedResponse = tokio::time::timeout(ORDER_TIMEOUT, call).await.ok()?.ok()?;
    Some(Artifacts { version: loaded.loaded.version, adapters: loaded.loaded.adapters })
}
