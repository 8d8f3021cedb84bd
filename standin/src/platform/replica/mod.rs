//! Stand-in for a replica: serves requests and streams, records the requests that it received and ran, and injects
//! faults. [`answers`] has the HTTP handlers.

mod answers;

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::body::Bytes;
use axum::http::HeaderMap;
use axum::http::request::Parts;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use self::answers::header;
use super::proxy::{BIND_RETRY_DELAY, MAX_BIND_ATTEMPTS, NetworkFault, Proxy};

/// Behavior of a replica for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behavior {
    /// The request runs and succeeds.
    #[default]
    Serve,
    /// The request is refused with 503 and the header `not-executed`.
    Refuse,
    /// The request runs, and the response is 500.
    Fail,
    /// The request runs, and the connection is closed in the middle of the response.
    DropResponse,
    /// The request runs, and the response has the id of another request.
    WrongRequestId,
    /// The request runs, and the response is 200 without the header `response-seal`.
    MissingSeal,
    /// The request runs, and the response is 503 without the header `not-executed`, so that the entry cannot tell
    /// whether it ran.
    UnconfirmedRefusal,
    /// The request runs, and in the place of its response comes a late refusal of another request.
    SurplusRefusal,
    /// A stream is aborted in the middle of the event that follows this many events.
    AbortAfter(u64),
    /// A stream has large events without a delay between them.
    LargeStream {
        /// Number of events.
        events: u64,
        /// Bytes that are added to each event.
        padding_bytes: usize,
    },
    /// A call succeeds with a response of this many bytes.
    LargeResponse(usize),
    /// The response starts only after this many milliseconds; then the request runs and succeeds.
    Stall(u64),
}

/// Request that a replica received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Request id that the caller chose.
    pub id: String,
    /// Path and query.
    pub path: String,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Time at which the body was complete.
    pub received_at: Instant,
    /// Whether the replica ran the request; false if it refused the request.
    pub was_run: bool,
    /// Whether the replica refused the request and asked for a backoff.
    pub has_backoff_request: bool,
}

/// Time from the arrival of a request that crashes the process to the crash, without the trigger's `listener_delay`.
const CRASH_DELAY: Duration = Duration::from_millis(15);

/// Mutable state of a replica: its injected faults, and its records of requests, orders and crashes.
#[derive(Default)]
struct Inner {
    /// Behaviors queued for the next requests, in order.
    behaviors: VecDeque<Behavior>,
    /// All received requests, in order.
    received: Vec<ReceivedRequest>,
    /// Ids of requests that were cancelled before their end, and when.
    cancellations: Vec<(String, Instant)>,
    /// Memory reservations by id, including expired ones.
    reservations: HashMap<String, Reservation>,
    /// Whether orders that reserve memory are refused.
    refuses_reservations: bool,
    /// Slowdown factor in its load reports; 1 if `None`.
    slowdown: Option<f64>,
    /// Number of load reports that were requested.
    report_count: usize,
    /// All memory orders, in order of arrival.
    memory_orders: Vec<Value>,
    /// Proxy whose address the replica's record names; `None` if the record names the replica's own address.
    proxy: Option<Arc<Proxy>>,
    /// Value of the header `server-limit`, in requests per second over all entries; `None` for no header.
    rate_limit: Option<String>,
    /// Whether its responses have the header `server-leaving`.
    is_draining: bool,
    /// Value of the header `retry-after` in seconds; while it is set, all requests are refused.
    backoff: Option<String>,
    /// Failure domain in its record; `here` if `None`.
    failure_domain: Option<String>,
    /// Cold period, which may be over.
    cold_period: Option<ColdPeriod>,
    /// Requests that crash the process.
    crash_trigger: Option<CrashTrigger>,
    /// Fault of the proxy while the process is down after a crash; `None` if the proxy refuses connections then.
    aftermath: Option<NetworkFault>,
    /// Number of crashes.
    crash_count: usize,
    /// Number of process starts.
    start_count: usize,
}

impl Inner {
    /// Records that the response to the newest request with this id asked for a backoff.
    fn record_backoff_request(&mut self, id: &str) {
        if let Some(request) = self.received.iter_mut().rev().find(|request| request.id == id) {
            request.has_backoff_request = true;
        }
    }
}

/// Describes requests that crash a replica's process.
#[derive(Clone, Debug)]
struct CrashTrigger {
    /// Text that the body or the header `prompt-prefix` of such a request contains.
    marker: String,
    /// Time from the crash to the next start of the process.
    downtime: Duration,
    /// Time for which the process still listens after it has closed the connection of the request.
    listener_delay: Duration,
}

/// Period after a start in which a replica can serve fewer requests.
#[derive(Clone, Copy, Debug)]
struct ColdPeriod {
    ends_at: Instant,
    /// Requests that the replica can run within [`OVERLOAD_WINDOW`]; one more crashes the process.
    max_requests: usize,
}

/// Window in which the requests of a cold replica are counted.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

/// Reservation of memory.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    tokens: u64,
    expires_at: Instant,
}

/// Replica whose process is simulated by a runtime of its own.
pub struct Replica {
    /// Replica id, under which its record is stored.
    pub id: String,
    /// Address on which it listens, `ip:port`; the same after each restart.
    pub address: String,
    /// Time that a response, or an event of a stream, takes.
    service_time: Duration,
    inner: Mutex<Inner>,
    /// Runtime that simulates the process: shutting it down closes the listener and all connections. `None` while the
    /// process is down.
    process: Mutex<Option<Runtime>>,
}

impl Replica {
    /// Starts a replica on a free loopback port. Each response, or each event of a stream, takes `service_time`.
    pub async fn start(id: &str, service_time: Duration) -> std::io::Result<Arc<Self>> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let replica = Arc::new(Self {
            id: id.to_owned(),
            address,
            service_time,
            inner: Mutex::default(),
            process: Mutex::default(),
        });
        replica.start_process(listener)?;
        Ok(replica)
    }

    /// Starts the process, which serves connections of `listener`.
    fn start_process(self: &Arc<Self>, listener: std::net::TcpListener) -> std::io::Result<()> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let router = answers::router(self.clone());
        listener.set_nonblocking(true)?;
        let runtime_guard = runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        drop(runtime_guard);
        runtime.spawn(async move { axum::serve(listener, router).await });
        self.lock().start_count += 1;
        *self.process.lock().unwrap_or_else(PoisonError::into_inner) = Some(runtime);
        self.set_proxy_listening(true);
        Ok(())
    }

    /// Stops the process and closes all its connections; does nothing if the process is down.
    pub fn stop(&self) {
        self.stop_with(None);
    }

    /// Stops the process. Its proxy has a fault until the next start, or refuses connections if there is none.
    fn stop_with(&self, aftermath: Option<NetworkFault>) {
        let process = self.process.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(process) = process else { return };
        let proxy = self.lock().proxy.clone();
        match (aftermath, proxy) {
            (Some(fault), Some(proxy)) => proxy.set_fault(fault),
            _ => self.set_proxy_listening(false),
        }
        process.shutdown_background();
    }

    /// Sets what callers see of a crash: a fault of the proxy, which goes on accepting connections, or refused connections
    /// if there is none.
    pub fn set_aftermath(&self, aftermath: Option<NetworkFault>) {
        self.lock().aftermath = aftermath;
    }

    /// Makes each request whose body or header `prompt-prefix` contains `marker` crash the process. The process starts again after `downtime`
    /// with the same id and without its memory reservations.
    pub fn crash_on(&self, marker: &str, downtime: Duration) {
        self.lock().crash_trigger =
            Some(CrashTrigger { marker: marker.to_owned(), downtime, listener_delay: Duration::ZERO });
    }

    /// Does the same as [`Replica::crash_on`], but the process still listens for `listener_delay` after it has closed
    /// the connection of the request.
    pub fn crash_on_with_delay(&self, marker: &str, downtime: Duration, listener_delay: Duration) {
        self.lock().crash_trigger = Some(CrashTrigger { marker: marker.to_owned(), downtime, listener_delay });
    }

    /// Starts the process again on the same address. Retries, since another process's connection can occupy the port
    /// for a moment.
    fn restart(self: &Arc<Self>) -> std::io::Result<()> {
        for _ in 0..MAX_BIND_ATTEMPTS {
            if let Ok(listener) = std::net::TcpListener::bind(&self.address) {
                return self.start_process(listener);
            }
            std::thread::sleep(BIND_RETRY_DELAY);
        }
        self.start_process(std::net::TcpListener::bind(&self.address)?)
    }

    /// Returns the number of crashes, by a request that triggers one or by overload in a cold period.
    pub fn crash_count(&self) -> usize {
        self.lock().crash_count
    }

    /// Returns the crash trigger if the body or the header `prompt-prefix` contains its marker.
    fn find_crash_trigger(&self, headers: &HeaderMap, body: &[u8]) -> Option<CrashTrigger> {
        let trigger = self.lock().crash_trigger.clone()?;
        let marker = trigger.marker.as_bytes();
        let is_in_body = body.windows(marker.len()).any(|window| window == marker);
        (is_in_body || header(headers, "prompt-prefix").contains(&trigger.marker)).then_some(trigger)
    }

    /// Schedules a crash and the next start of the process. A request crashes only the process that received it,
    /// however late the thread runs: without the check, with eight such requests at once on a busy machine, one of them
    /// also crashed the next process.
    fn schedule_crash(self: &Arc<Self>, trigger: CrashTrigger) {
        let replica = self.clone();
        let start_count = self.lock().start_count;
        std::thread::spawn(move || {
            std::thread::sleep(CRASH_DELAY + trigger.listener_delay);
            if replica.lock().start_count != start_count {
                return;
            }
            if replica.process.lock().unwrap_or_else(PoisonError::into_inner).is_none() {
                return;
            }
            replica.lock().crash_count += 1;
            let aftermath = replica.lock().aftermath;
            replica.stop_with(aftermath);
            std::thread::sleep(trigger.downtime);
            let proxy = replica.lock().proxy.clone();
            if let Some(proxy) = proxy.filter(|_| aftermath.is_some()) {
                proxy.set_fault(NetworkFault::None);
            }
            replica.lock().reservations.clear();
            if let Err(error) = replica.restart() {
                eprintln!("step=restart replica={}: {error}", replica.id);
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues behaviors for the next requests, one for each; later requests are served normally.
    pub fn queue_behaviors(&self, behaviors: impl IntoIterator<Item = Behavior>) {
        self.lock().behaviors.extend(behaviors);
    }

    /// Clears the queued behaviors, so that the next requests are served normally.
    pub fn clear_behaviors(&self) {
        self.lock().behaviors.clear();
    }

    /// Returns all received requests in order, including refused and misdirected ones.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.lock().received.clone()
    }

    /// Returns how many requests were cancelled.
    pub fn cancellation_count(&self) -> usize {
        self.lock().cancellations.len()
    }

    /// Returns how often requests with this id were run.
    pub fn run_count(&self, id: &str) -> usize {
        self.lock().received.iter().filter(|request| request.was_run && request.id == id).count()
    }

    /// Returns when a request was cancelled; `None` if no request with this id was cancelled before its end.
    pub fn cancelled_at(&self, id: &str) -> Option<Instant> {
        self.lock()
            .cancellations
            .iter()
            .find(|(cancelled_id, _)| cancelled_id == id)
            .map(|(_, cancelled_at)| *cancelled_at)
    }

    /// Returns the reserved memory in tokens, without expired reservations.
    pub fn reserved_tokens(&self) -> u64 {
        let now = Instant::now();
        self.lock()
            .reservations
            .values()
            .filter(|reservation| reservation.expires_at > now)
            .map(|reservation| reservation.tokens)
            .sum()
    }

    /// Puts a proxy in front of the replica: the replica's record names the proxy's address, and the proxy listens only
    /// while the process runs.
    pub fn set_proxy(&self, proxy: Arc<Proxy>) {
        self.lock().proxy = Some(proxy);
    }

    /// Sets whether the proxy in front of the replica, if there is one, listens.
    fn set_proxy_listening(&self, is_listening: bool) {
        if let Some(proxy) = &self.lock().proxy {
            proxy.set_listening(is_listening);
        }
    }

    /// Returns the bodies of all memory orders, in order of arrival.
    pub fn memory_orders(&self) -> Vec<Value> {
        self.lock().memory_orders.clone()
    }

    /// Sets whether orders that reserve memory are refused.
    pub fn refuse_reservations(&self, refuses: bool) {
        self.lock().refuses_reservations = refuses;
    }

    /// Sets the slowdown factor in its load reports; its real service time does not change.
    pub fn set_reported_slowdown(&self, slowdown: f64) {
        self.lock().slowdown = Some(slowdown);
    }

    /// Sets the rate limit that its responses announce, in requests per second over all entries; `None` announces none.
    /// The replica does not enforce the limit.
    pub fn set_rate_limit(&self, rate_limit: Option<&str>) {
        self.lock().rate_limit = rate_limit.map(str::to_owned);
    }

    /// Makes all its responses announce that it is draining, whatever state its record has.
    pub fn set_draining(&self) {
        self.lock().is_draining = true;
    }

    /// Makes it refuse all requests and ask for this backoff, in seconds as written in the header `retry-after`; `None`
    /// makes it serve again.
    pub fn set_backoff(&self, backoff: Option<&str>) {
        self.lock().backoff = backoff.map(str::to_owned);
    }

    /// Sets the failure domain for records that are written from now on.
    pub fn set_failure_domain(&self, failure_domain: &str) {
        self.lock().failure_domain = Some(failure_domain.to_owned());
    }

    /// Starts a cold period of this length, in which more than `max_requests` requests within one second crash the
    /// process.
    pub fn set_cold_period(&self, duration: Duration, max_requests: usize) {
        self.lock().cold_period = Some(ColdPeriod { ends_at: Instant::now() + duration, max_requests });
    }

    /// Returns whether more requests were run within [`OVERLOAD_WINDOW`] than the cold period allows; false outside of
    /// a cold period.
    fn is_overloaded(&self) -> bool {
        let inner = self.lock();
        let now = Instant::now();
        let Some(cold_period) = inner.cold_period.filter(|period| period.ends_at > now) else { return false };
        inner
            .received
            .iter()
            .rev()
            .take_while(|request| now - request.received_at < OVERLOAD_WINDOW)
            .filter(|request| request.was_run)
            .count()
            > cold_period.max_requests
    }

    /// Returns how many load reports were requested.
    pub fn report_count(&self) -> usize {
        self.lock().report_count
    }

    /// Records a request and returns the behavior for it; `None` if its header `expect-replica` names another replica.
    fn record_request(&self, id: &str, head: Parts, body: Bytes) -> Option<Behavior> {
        let expected = header(&head.headers, "expect-replica");
        let is_misdirected = !expected.is_empty() && expected != self.id;
        let path = head.uri.path_and_query().map(ToString::to_string).unwrap_or_default();
        let mut inner = self.lock();
        let is_refused = is_misdirected || inner.backoff.is_some();
        let behavior = if is_refused { Behavior::Refuse } else { inner.behaviors.pop_front().unwrap_or_default() };
        let was_run = behavior != Behavior::Refuse;
        inner.received.push(ReceivedRequest {
            id: id.to_owned(),
            path,
            headers: head.headers,
            body,
            received_at: Instant::now(),
            was_run,
            has_backoff_request: false,
        });
        (!is_misdirected).then_some(behavior)
    }

    /// Returns the record, as JSON, with which the replica announces itself in the store.
    pub fn store_record(&self, service: &str, state: &str) -> String {
        let inner = self.lock();
        let proxy_address = inner.proxy.as_ref().map(|proxy| proxy.address.clone());
        let address = proxy_address.unwrap_or_else(|| self.address.clone());
        let failure_domain = inner.failure_domain.as_deref().unwrap_or("here");
        let cold_remaining =
            inner.cold_period.map_or(Duration::ZERO, |period| period.ends_at.saturating_duration_since(Instant::now()));
        let record = json!({
            "service": service, "address": address, "zone": failure_domain, "version": "v1", "slots": 16,
            "state": state, "cold_remaining_ms": cold_remaining.as_millis() as u64, "sequence": 1,
        });
        record.to_string()
    }
}
