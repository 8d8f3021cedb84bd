//! The `controller` thread: holds, or waits for, the controller lease of this entry's failure
//! domain, and places loads while it holds it.
//!
//! Every entry replays the control stream, so that it can tell sidecars their orders. When the
//! log is out placement stands still, and serving goes on.

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

/// Stream of leases and placements.
const CONTROL: &str = "control";
/// How long a read may wait for news, in milliseconds.
const READ_WAIT_MS: u64 = 500;
/// How long a lease lasts; it is renewed when half of it is over.
const TERM: Duration = Duration::from_secs(4);
/// Pause after a failed call to the log.
const RETRY: Duration = Duration::from_millis(300);
/// A sidecar that has not said by then what its endpoint holds is asked again later.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Most of a service's endpoints in a failure domain that a roll-out takes at a time.
const ROLL_SHARE: f64 = 0.25;

struct Controller {
    shared: Arc<Shared>,
    log: Box<dyn Log>,
    board: Board,
    /// The log's time as last seen, and ours then: leases are judged by the log's.
    clock: Option<(Moment, Moment)>,
    /// What endpoints were last seen to hold.
    holds: HashMap<Name, Load>,
    caller: Caller,
    out: watch::Sender<Arc<HashMap<Name, Order>>>,
}

/// Runs the thread.
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

    /// The log's time now, as far as it can be told from its last stamp.
    fn log_time(&self) -> Moment {
        self.clock.map_or(Moment::ZERO, |(log, ours)| log + util::now().since(ours))
    }

    /// How long the domain's lease still lasts, whoever holds it.
    fn lease_left(&self) -> Duration {
        let holder = self.board.lease(self.domain()).and_then(|lease| lease.holder());
        holder.map_or(Duration::ZERO, |holder| holder.until.since(self.log_time()))
    }

    /// Our fence, if we hold the lease. A pause may have outlasted it unnoticed: then what we write is void.
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

    /// Asks the sidecars of `unsettled` endpoints what these hold.
    async fn look(&mut self, unsettled: &[Vm]) {
        for vm in unsettled {
            let call = http::exchange_json(&self.caller, &vm.address, "GET", wire::HOLDS, None);
            if let Ok(Ok(load)) = tokio::time::timeout(ASK_TIMEOUT, call).await {
                self.holds.insert(vm.name.clone(), load);
            }
        }
    }

    /// The endpoints of our domain; those that have not come to their order are asked what they hold.
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
