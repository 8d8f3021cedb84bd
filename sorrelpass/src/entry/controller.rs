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
use coord::placement::{Board, Endpoint, Load, Order, Record, roll_out};
use coord::time::Moment;
use tokio::sync::watch;

use super::Shared;
use crate::http::{self, Caller};
use crate::platform::Log;
use crate::{event, util, warn_event, wire};

/// Stream of lease claims and placement records.
const CONTROL: &str = "control";
/// Longest time that a read waits for new records, in milliseconds.
const READ_WAIT_MS: u64 = 500;
/// Duration of a lease; the holder renews it after half of this time.
const TERM: Duration = Duration::from_secs(4);
/// Delay after a failed log call.
const RETRY: Duration = Duration::from_millis(300);
/// Timeout for asking a sidecar which load its endpoint has; the next cycle asks again.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum share of a service's endpoints in one failure domain that a rollout changes at a time.
const ROLL_SHARE: f64 = 0.25;

struct Controller {
    shared: Arc<Shared>,
    log: Box<dyn Log>,
    board: Board,
    /// Timestamp of the newest record and the local time when it was read. Leases are judged by the log's
    /// clock.
    clock: Option<(Moment, Moment)>,
    /// Load that each endpoint was last seen to have.
    holds: HashMap<Name, Load>,
    caller: Caller,
    out: watch::Sender<Arc<HashMap<Name, Order>>>,
}

/// Runs the `controller` thread.
pub async fn run(shared: Arc<Shared>, log: Box<dyn Log>, out: watch::Sender<Arc<HashMap<Name, Order>>>) {
    let mut controller = Controller {
        shared,
        log,
        board: Board::new(),
        clock: None,
        holds: HashMap::new(),
        caller: http::caller_h2(),
        out,
    };
    loop {
        if let Err(error) = controller.turn().await {
            warn_event!("control-out", stream = CONTROL, reason = %error);
            tokio::time::sleep(util::jitter(RETRY)).await;
        }
    }
}

impl Controller {
    async fn turn(&mut self) -> eyre::Result<()> {
        self.follow().await?;
        match self.fence() {
            Some(fence) => {
                if self.lease_left() < TERM / 2 {
                    self.claim().await?;
                }
                self.place(fence).await
            }
            None if self.lease_left().is_zero() => self.claim().await,
            None => Ok(()),
        }
    }

    async fn follow(&mut self) -> eyre::Result<()> {
        let batch = self.log.read(CONTROL, self.board.next(), READ_WAIT_MS).await?;
        self.board.skip_to(batch.oldest);
        let mut news = false;
        for entry in batch.entries {
            self.clock = Some((entry.at, util::now()));
            match serde_json::from_slice(&entry.payload) {
                Ok(record) => news |= self.board.replay(entry.offset, entry.at, record),
                Err(error) => {
                    warn_event!("record-unreadable", stream = CONTROL, offset = entry.offset, reason = %error);
                    self.board.skip_to(entry.offset + 1);
                }
            }
        }
        if news {
            let orders = self.board.orders().iter().map(|(name, order)| (name.clone(), order.clone())).collect();
            self.out.send_replace(Arc::new(orders));
        }
        Ok(())
    }

    fn domain(&self) -> &Name {
        &self.shared.settings.process.failure_domain
    }

    /// Returns the current time of the log's clock, extrapolated from the newest record.
    fn log_time(&self) -> Moment {
        self.clock.map_or(Moment::ZERO, |(log, ours)| log + util::now().since(ours))
    }

    /// Returns the remaining duration of the domain's lease, whichever process holds it.
    fn lease_left(&self) -> Duration {
        let holder = self.board.lease(self.domain()).and_then(|lease| lease.holder());
        holder.map_or(Duration::ZERO, |holder| holder.until.since(self.log_time()))
    }

    /// Returns this process's fence if it holds the lease. The process may have been paused past the end of
    /// the lease without noticing; replay then discards the records that it appends.
    fn fence(&self) -> Option<Fence> {
        let holder = self.board.lease(self.domain())?.holder()?;
        let own = holder.process == self.shared.settings.process.name && holder.incarnation == util::incarnation();
        (own && !self.lease_left().is_zero()).then_some(holder.fence)
    }

    async fn claim(&mut self) -> eyre::Result<()> {
        let record = Record::Claim {
            domain: self.domain().clone(),
            process: self.shared.settings.process.name.clone(),
            incarnation: util::incarnation(),
            term_ms: util::millis_up(TERM),
        };
        let before = self.fence();
        self.append(&record).await?;
        self.follow().await?;
        if let Some(fence) = self.fence().filter(|fence| before != Some(*fence)) {
            event!("lease", domain = %self.domain(), fence = fence.0);
        }
        Ok(())
    }

    async fn append(&self, record: &Record) -> eyre::Result<u64> {
        self.log.append(CONTROL, Bytes::from(serde_json::to_vec(record)?)).await
    }

    /// Asks the sidecars of `unsettled` endpoints which load their endpoint has.
    async fn look(&mut self, unsettled: &[Vm]) {
        for vm in unsettled {
            let call = http::exchange_json(&self.caller, &vm.address, "GET", wire::HOLDS, None);
            if let Ok(Ok(load)) = tokio::time::timeout(ASK_TIMEOUT, call).await {
                self.holds.insert(vm.name.clone(), load);
            }
        }
    }

    /// Returns the endpoints of this failure domain with their loads. Sidecars are asked only for endpoints
    /// that have not reached their ordered load.
    async fn endpoints(&mut self) -> Vec<Endpoint> {
        let vms = self.shared.vms.borrow().clone();
        let ours = |vm: &&Vm| vm.role == Role::Endpoint && vm.failure_domain == *self.domain();
        let listed: Vec<Vm> = vms.iter().filter(ours).cloned().collect();
        let order = |vm: &Vm| self.board.order_to(&vm.name);
        let open = |vm: &&Vm| order(vm).is_some_and(|order| self.holds.get(&vm.name) != Some(&order.load));
        let unsettled: Vec<Vm> = listed.iter().filter(open).cloned().collect();
        self.look(&unsettled).await;
        let known = |vm: Vm| Endpoint { holds: self.holds.get(&vm.name).cloned(), name: vm.name, service: vm.service };
        listed.into_iter().map(known).collect()
    }

    async fn place(&mut self, fence: Fence) -> eyre::Result<()> {
        let config = self.shared.config.borrow().clone();
        let endpoints = self.endpoints().await;
        let loads = roll_out(&config, &endpoints, self.board.orders(), ROLL_SHARE);
        if loads.is_empty() {
            return Ok(());
        }
        event!("place", domain = %self.domain(), fence = fence.0, endpoints = loads.len());
        let record = Record::Place { domain: self.domain().clone(), fence, loads };
        self.append(&record).await?;
        self.follow().await
    }
}
