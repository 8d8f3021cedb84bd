//! Orders to the endpoint: the sidecar alone sends them, and only the newest.
//!
//! Endpoints that check fences refuse old ones themselves. For those that do not, this
//! process sends orders one at a time, newest fence first known, and a new run of it waits
//! out the longest life of an order before it sends any.

use std::time::Duration;

use coord::name::Name;
use coord::placement::{Load, Order};
use serde::Deserialize;
use serde_json::json;

use super::Shared;
use crate::{event, http, util, warn_event};

/// An order that the endpoint has not answered by then is dead: its connection is closed.
pub const ORDER_LIFE: Duration = Duration::from_secs(1);

/// Sends orders and reads back what the endpoint holds.
pub struct Orders {
    caller: http::Caller,
    newest: Option<Order>,
    /// From when on this run may send orders.
    quiet_until: coord::time::Moment,
}

#[derive(Deserialize)]
struct Loaded {
    loaded: LoadedParts,
}

#[derive(Deserialize)]
struct LoadedParts {
    version: Name,
    adapters: Vec<Name>,
}

impl Orders {
    /// No orders yet; none is sent before those of an earlier run are dead.
    pub fn new() -> Self {
        Self { caller: http::caller_h1(), newest: None, quiet_until: util::now() + ORDER_LIFE }
    }

    /// Takes an order if it is newer than all before.
    pub fn take(&mut self, order: Order) {
        let newer = self.newest.as_ref().is_none_or(|known| (order.fence, order.offset) > (known.fence, known.offset));
        if newer {
            self.newest = Some(order);
        }
    }

    /// Brings the endpoint to what the newest order says; whether it is there already.
    pub async fn converge(&self, shared: &Shared) -> bool {
        let Some(order) = &self.newest else { return true };
        let Some(holds) = holds(&self.caller, shared).await else { return false };
        if holds == order.load {
            return true;
        }
        if util::now() >= self.quiet_until {
            self.send(shared, order).await;
        }
        false
    }

    async fn send(&self, shared: &Shared, order: &Order) {
        let body = json!({ "fence": order.fence, "version": order.load.version, "adapters": order.load.adapters,
            "role": "" });
        let call = http::post_json(&self.caller, &shared.settings.endpoint_address, "/orders", &body);
        match tokio::time::timeout(ORDER_LIFE, call).await {
            Ok(Ok(204)) => event!("order", fence = order.fence.0, version = %order.load.version),
            Ok(Ok(409)) => {
                warn_event!("order-refused", fence = order.fence.0, reason = "the endpoint knows a newer fence")
            }
            Ok(Ok(status)) => warn_event!("order-failed", fence = order.fence.0, status),
            Ok(Err(error)) => warn_event!("order-failed", fence = order.fence.0, reason = %error),
            Err(_) => warn_event!("order-failed", fence = order.fence.0, reason = "no answer within its life"),
        }
    }
}

/// What the endpoint holds, as it says itself.
pub async fn holds(caller: &http::Caller, shared: &Shared) -> Option<Load> {
    let call = http::exchange_json(caller, &shared.settings.endpoint_address, "GET", "/loaded", None);
    let loaded: Loaded = tokio::time::timeout(ORDER_LIFE, call).await.ok()?.ok()?;
    Some(Load { version: loaded.loaded.version, adapters: loaded.loaded.adapters })
}
