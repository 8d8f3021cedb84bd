//! The `controller` thread: competes for the controller lease of this entry's failure domain, and places
//! model loads on endpoints while it holds the lease.
//!
//! Every entry replays the control stream to be able to answer sidecars that ask for their placement
//! orders. While the log is unavailable, placement stops and serving continues.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::fence::Fence;
use coord::membership::{Role, Vm};
use coord::name::Name;
use coord::placement::{Artifacts, Endpoint, Order, Placements, Record, roll_out};
use coord::time::Moment;
use tokio::sync::watch;

use super::Shared;
use crate::http::{self, Client};
use crate::platform::Log;
use crate::{event, util, warn_event, wire};

/// Stream of lease claims and placement records.
const CONTROL_STREAM: &str = "control";
/// Maximum time that a read waits for new records, in milliseconds.
const READ_WAIT_MS: u64 = 500;
/// Duration of a lease; the holder renews it after half of this time.
const LEASE_DURATION: Duration = Duration::from_secs(4);
/// Delay after a failed log call.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Timeout for asking a sidecar which load its endpoint has; the next cycle asks again.
const LOAD_QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum share of a service's endpoints in one failure domain that a rollout changes at a time.
const MAX_ROLLOUT_SHARE: f64 = 0.25;

struct Controller {
    shared: Arc<Shared>,
    log: Box<dyn Log>,
    placements: Placements,
    /// Timestamp of the newest record and the local time when it was read. Leases are judged by the log's
    /// clock.
    log_clock: Option<(Moment, Moment)>,
    /// Load (model version and adapters) that each endpoint was last seen to have.
    observed_loads: HashMap<Name, Artifacts>,
    client: Client,
    orders: watch::Sender<Arc<HashMap<Name, Order>>>,
}

/// Runs the `controller` thread.
pub async fn run(shared: Arc<Shared>, log: Box<dyn Log>, orders: watch::Sender<Arc<HashMap<Name, Order>>>) {
    let mut controller = Controller {
        shared,
        log,
        placements: Placements::new(),
        log_clock: None,
        observed_loads: HashMap::new(),
        client: http::client_h2(),
        orders,
    };
    loop {
        if let Err(error) = controller.run_cycle().await {
            warn_event!("control-log-unavailable", stream = CONTROL_STREAM, reason = %error);
            tokio::time::sleep(util::jitter(RETRY_DELAY)).await;
        }
    }
}

impl Controller {
    async fn run_cycle(&mut self) -> eyre::Result<()> {
        self.read_stream().await?;
        match self.fence() {
            Some(fence) => {
                if self.lease_time_left() < LEASE_DURATION / 2 {
                    self.claim_lease().await?;
                }
                self.place_loads(fence).await
            }
            None if self.lease_time_left().is_zero() => self.claim_lease().await,
            None => Ok(()),
        }
    }

    async fn read_stream(&mut self) -> eyre::Result<()> {
        let batch = self.log.read(CONTROL_STREAM, self.placements.next_offset(), READ_WAIT_MS).await?;
        self.placements.skip_to(batch.oldest);
        let mut has_changed = false;
        for record in batch.records {
            self.log_clock = Some((record.appended_at, util::now()));
            match serde_json::from_slice(&record.payload) {
                Ok(decoded) => has_changed |= self.placements.apply(record.offset, record.appended_at, decoded),
                Err(error) => {
                    warn_event!("record-unreadable", stream = CONTROL_STREAM, offset = record.offset, reason = %error);
                    self.placements.skip_to(record.offset + 1);
                }
            }
        }
        if has_changed {
            let orders = self.placements.orders().iter().map(|(name, order)| (name.clone(), order.clone())).collect();
            self.orders.send_replace(Arc::new(orders));
        }
        Ok(())
    }

    fn failure_domain(&self) -> &Name {
        &self.shared.settings.process.failure_domain
    }

    /// Returns the current time of the log's clock, extrapolated from the newest record.
    fn log_time(&self) -> Moment {
        self.log_clock.map_or(Moment::ZERO, |(logged_at, read_at)| logged_at + util::now().since(read_at))
    }

    /// Returns the remaining duration of the domain's lease, whichever process holds it.
    fn lease_time_left(&self) -> Duration {
        let holder = self.placements.lease(self.failure_domain()).and_then(|lease| lease.holder());
        holder.map_or(Duration::ZERO, |holder| holder.until.since(self.log_time()))
    }

    /// Returns this process's fence if it holds the lease. The process may have been suspended past the end of
    /// the lease without noticing; replay then discards the records that it appends.
    fn fence(&self) -> Option<Fence> {
        let holder = self.placements.lease(self.failure_domain())?.holder()?;
        let is_own = holder.process == self.shared.settings.process.name && holder.incarnation == util::incarnation();
        (is_own && !self.lease_time_left().is_zero()).then_some(holder.fence)
    }

    async fn claim_lease(&mut self) -> eyre::Result<()> {
        let record = Record::Claim {
            domain: self.failure_domain().clone(),
            process: self.shared.settings.process.name.clone(),
            incarnation: util::incarnation(),
            term_ms: util::millis_ceil(LEASE_DURATION),
        };
        let previous_fence = self.fence();
        self.append(&record).await?;
        self.read_stream().await?;
        if let Some(fence) = self.fence().filter(|fence| previous_fence != Some(*fence)) {
            event!("lease", domain = %self.failure_domain(), fence = fence.0);
        }
        Ok(())
    }

    async fn append(&self, record: &Record) -> eyre::Result<u64> {
        self.log.append(CONTROL_STREAM, Bytes::from(serde_json::to_vec(record)?)).await
    }

    /// Asks the sidecars of `pending` endpoints, which have not reached their ordered load, for their load.
    async fn query_loads(&mut self, pending: &[Vm]) {
        for vm in pending {
            let call = http::exchange_json(&self.client, &vm.address, "GET", wire::RESERVATIONS, None);
            if let Ok(Ok(load)) = tokio::time::timeout(LOAD_QUERY_TIMEOUT, call).await {
                self.observed_loads.insert(vm.name.clone(), load);
            }
        }
    }

    /// Returns the endpoints of this failure domain with their loads. Sidecars are asked only for endpoints
    /// that have not reached their ordered load.
    async fn endpoints_with_loads(&mut self) -> Vec<Endpoint> {
        let vms = self.shared.vms.borrow().clone();
        let is_ours = |vm: &&Vm| vm.role == Role::Endpoint && vm.failure_domain == *self.failure_domain();
        let listed: Vec<Vm> = vms.iter().filter(is_ours).cloned().collect();
        let order = |vm: &Vm| self.placements.order_for(&vm.name);
        let is_pending =
            |vm: &&Vm| order(vm).is_some_and(|order| self.observed_loads.get(&vm.name) != Some(&order.load));
        let pending: Vec<Vm> = listed.iter().filter(is_pending).cloned().collect();
        self.query_loads(&pending).await;
        let with_load = |vm: Vm| Endpoint {
            loaded: self.observed_loads.get(&vm.name).cloned(),
            name: vm.name,
            service: vm.service,
        };
        listed.into_iter().map(with_load).collect()
    }

    async fn place_loads(&mut self, fence: Fence) -> eyre::Result<()> {
        let config = self.shared.config.borrow().clone();
        let endpoints = self.endpoints_with_loads().await;
        let loads = roll_out(&config, &endpoints, self.placements.orders(), MAX_ROLLOUT_SHARE);
        if loads.is_empty() {
            return Ok(());
        }
        event!("place", domain = %self.failure_domain(), fence = fence.0, endpoints = loads.len());
        let record = Record::Place { domain: self.failure_domain().clone(), fence, loads };
        self.append(&record).await?;
        self.read_stream().await
    }
}
