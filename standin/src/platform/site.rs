//! Small site for tests and soaks: the store and the replicas run in this process, each entry as a child process.

use std::cell::Cell;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use super::client::{self, Outcome, RequestSpec};
use super::configuration::configuration;
use super::proxy::Proxy;
use super::replica::Replica;
use super::store::{Store, StoreListener};
use crate::fleet::{allocate_address, find_binary};
use crate::resource_usage::{self, ProcessUsage};

/// Host name in all routes of the configuration.
pub const HOST: &str = "site.example";
/// API key in the first configuration of a site.
pub const KEY: &str = "key-of-workspace-0";
/// Setting of an entry's first process.
const FIRST_START: &str = "first_start = true";
/// Setting of the processes after an entry's first one.
const LATER_START: &str = "first_start = false";
/// Bounds the peer addresses in an entry's `seeds` setting.
const MAX_SEEDS: usize = 3;
/// Bounds the wait for a process to become ready or to exit.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two checks of a process during that wait.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Parameters of a site.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name of the site, which is part of the name of its folder.
    pub name: String,
    /// Number of entries.
    pub entries: usize,
    /// Number of engines of the service `advisor`.
    pub engines: usize,
    /// Number of replicas of the plain service `ledger`.
    pub plain_replicas: usize,
    /// Time that a replica takes for a response, or for each event of a stream.
    pub service_time: Duration,
    /// Lines that the section `[gateway]` of each entry's settings gets.
    pub gateway: String,
    /// Retries that all entries together may make in a window in addition to their share of the requests.
    pub retry_allowance: u32,
    /// Lines that the section `[bounds]` of each entry's settings gets.
    pub bounds: String,
    /// Whether the settings of an entry name the peer addresses of the entries started before it.
    pub has_seeds: bool,
    /// Whether entries do not listen for peers, so that each runs isolated from the others.
    pub is_isolated: bool,
    /// Whether connections from callers to entries, and from entries to the store and to replicas, pass through
    /// proxies.
    pub has_proxies: bool,
    /// Whether entries log at level `debug` instead of `info`.
    pub is_verbose: bool,
}

impl Spec {
    /// Returns the parameters of a site with two entries, three engines and two plain replicas, without proxies.
    pub fn small(name: &str) -> Self {
        let service_time = Duration::from_millis(20);
        Self {
            name: name.to_owned(),
            entries: 2,
            engines: 3,
            plain_replicas: 2,
            service_time,
            gateway: String::new(),
            retry_allowance: 100,
            bounds: String::new(),
            has_seeds: false,
            is_isolated: false,
            has_proxies: false,
            is_verbose: false,
        }
    }
}

/// Proxies of a site; empty unless [`Spec::has_proxies`] is set.
#[derive(Default)]
pub struct Proxies {
    /// Proxy in front of each entry, for callers.
    pub callers: Vec<Arc<Proxy>>,
    /// Proxy between each entry and the store.
    pub store: Vec<Arc<Proxy>>,
    /// Proxy in front of each replica, engines first.
    pub replicas: Vec<Arc<Proxy>>,
}

impl Proxies {
    /// Iterates over all proxies: callers' first, then the store's, then the replicas'.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Proxy>> {
        self.callers.iter().chain(&self.store).chain(&self.replicas)
    }
}

/// Running site. Dropping it kills the entries and stops the replicas.
pub struct Site {
    /// Store that all entries share.
    pub store: Arc<Store>,
    /// Listener of the store for each entry, by the entry's index.
    pub store_listeners: Vec<Arc<StoreListener>>,
    /// Engines of the service `advisor`.
    pub engines: Vec<Arc<Replica>>,
    /// Replicas of the service `ledger`.
    pub plain_replicas: Vec<Arc<Replica>>,
    /// Proxies that inject network faults.
    pub proxies: Proxies,
    /// Address of each entry for callers; that of its proxy if there is one.
    pub addresses: Vec<String>,
    /// Address of each entry for the load balancer's readiness checks.
    pub ready_addresses: Vec<String>,
    /// Address of each entry for its peers.
    peer_addresses: Vec<String>,
    /// Folder with the settings and logs of the entries.
    dir: PathBuf,
    /// Process of each entry; `None` after its exit status was collected.
    processes: Vec<Option<Child>>,
    /// Number of process starts of each entry.
    start_counts: Vec<usize>,
    /// Version of the newest configuration.
    config_version: Cell<u64>,
}

impl Site {
    /// Starts a site and waits until all entries are ready.
    pub async fn start(spec: Spec) -> Result<Self> {
        let dir = std::env::temp_dir().join(format!("sorrelpass-site-{}-{}", spec.name, std::process::id()));
        std::fs::create_dir_all(&dir).wrap_err("step=make-folder")?;
        let store = Store::new();
        let mut engines = Vec::new();
        for index in 0..spec.engines {
            engines.push(Replica::start(&format!("engine-{index}"), spec.service_time).await?);
        }
        let mut plain_replicas = Vec::new();
        for index in 0..spec.plain_replicas {
            plain_replicas.push(Replica::start(&format!("plain-{index}"), spec.service_time).await?);
        }
        let mut site = Self {
            store,
            store_listeners: Vec::new(),
            engines,
            plain_replicas,
            proxies: Proxies::default(),
            addresses: Vec::new(),
            ready_addresses: Vec::new(),
            peer_addresses: Vec::new(),
            dir,
            processes: Vec::new(),
            start_counts: Vec::new(),
            config_version: Cell::new(0),
        };
        if spec.has_proxies {
            site.start_replica_proxies().await?;
        }
        site.configure(&[KEY], |_| {});
        site.write_replica_records();
        for index in 0..spec.entries {
            site.add_entry(index, &spec).await?;
        }
        for index in 0..spec.entries {
            site.wait_ready(index, true).await?;
        }
        Ok(site)
    }

    /// Starts a proxy in front of each replica and has the replica's record name the proxy's address.
    async fn start_replica_proxies(&mut self) -> Result<()> {
        for replica in self.engines.iter().chain(&self.plain_replicas) {
            let proxy = Proxy::start(replica.address.clone()).await?;
            replica.set_proxy(proxy.clone());
            self.proxies.replicas.push(proxy);
        }
        Ok(())
    }

    /// Opens a store listener for a new entry, writes the entry's settings and starts its process.
    async fn add_entry(&mut self, index: usize, spec: &Spec) -> Result<()> {
        let store_listener = self.store.listen().await?;
        let (entry_address, ready_address, peer_address) =
            (allocate_address()?, allocate_address()?, allocate_address()?);
        let earlier_peers = &self.peer_addresses[..self.peer_addresses.len().min(MAX_SEEDS)];
        let seeds = if spec.has_seeds { earlier_peers.join(",") } else { String::new() };
        self.peer_addresses.push(peer_address.clone());
        let (gateway, retry_allowance, bounds) = (&spec.gateway, spec.retry_allowance, &spec.bounds);
        let (mut store_address, mut caller_address) = (store_listener.address.clone(), entry_address.clone());
        if spec.has_proxies {
            let (store_proxy, caller_proxy) = (Proxy::start(store_address).await?, Proxy::start(caller_address).await?);
            (store_address, caller_address) = (store_proxy.address.clone(), caller_proxy.address.clone());
            self.proxies.store.push(store_proxy);
            self.proxies.callers.push(caller_proxy);
        }
        let log_level = if spec.is_verbose { "debug" } else { "info" };
        let peer_listen = if spec.is_isolated { String::new() } else { format!("peer_listen = {peer_address}\n") };
        let settings = format!(
            "[process]\nname = entry-{index}\nfailure_domain = here\nlog_level = {log_level}\n\n[gateway]\nlisten = {entry_address}\n\
             ready_listen = {ready_address}\nstore = {store_address}\n{FIRST_START}\n{peer_listen}seeds = {seeds}\n{gateway}\n\n[bounds]\nretry_allowance = {retry_allowance}\n{bounds}\n"
        );
        std::fs::write(self.settings_file(index), settings).wrap_err("step=write-settings")?;
        self.addresses.push(caller_address);
        self.ready_addresses.push(ready_address);
        self.store_listeners.push(store_listener);
        self.processes.push(None);
        self.start_counts.push(0);
        self.start_process(index)
    }

    /// Starts the process of an entry whose settings are written; its output is appended to the entry's log.
    fn start_process(&mut self, index: usize) -> Result<()> {
        let settings = self.settings_file(index);
        let stdout = std::fs::OpenOptions::new().create(true).append(true).open(self.log_file(index))?;
        let stderr = stdout.try_clone()?;
        let child = Command::new(find_binary("sorrelpass")?)
            .arg("entry")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()
            .wrap_err("step=start-entry")?;
        self.processes[index] = Some(child);
        self.start_counts[index] += 1;
        Ok(())
    }

    /// Returns the address on which an entry listens for its peers.
    pub fn peer_address(&self, index: usize) -> &str {
        &self.peer_addresses[index]
    }

    /// Returns the path of an entry's log.
    pub fn log_file(&self, index: usize) -> PathBuf {
        self.dir.join(format!("entry-{index}.log"))
    }

    /// Returns the text of an entry's log over all its starts; empty if the log cannot be read.
    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(self.log_file(index)).unwrap_or_default()
    }

    /// Returns the path of an entry's settings.
    pub fn settings_file(&self, index: usize) -> PathBuf {
        self.dir.join(format!("entry-{index}.ini"))
    }

    /// Writes a new configuration with these API keys to the store, after `change` has edited it, and returns its
    /// version.
    pub fn configure(&self, keys: &[&str], change: impl FnOnce(&mut Value)) -> u64 {
        let version = self.config_version.get() + 1;
        self.config_version.set(version);
        let mut config = configuration(version, keys);
        change(&mut config);
        self.store.put("keyed.op", "config", config.to_string());
        version
    }

    /// Writes the configuration again under its newest version, as operators do after a restore of the store. Edits
    /// made by `change` in [`Site::configure`] are not repeated.
    pub fn rewrite_configuration(&self, keys: &[&str]) {
        self.store.put("keyed.op", "config", configuration(self.config_version.get(), keys).to_string());
    }

    /// Starts the evacuation of a failure domain, as operators do.
    pub fn evacuate(&self, domain: &str) {
        self.store.put("keyed.op", &format!("evacuate/{domain}"), "{}");
    }

    /// Cancels the evacuation of a failure domain, as operators do.
    pub fn cancel_evacuation(&self, domain: &str) {
        self.store.put("keyed.op", &format!("evacuate/{domain}"), "");
    }

    /// Writes the records of all replicas to the store, with state `ready`.
    pub fn write_replica_records(&self) {
        for (service, replicas) in [("advisor", &self.engines), ("ledger", &self.plain_replicas)] {
            for replica in replicas {
                self.store.put("keyed.servers", &replica.id, replica.store_record(service, "ready"));
            }
        }
    }

    /// Sends a request to an entry; the status is 0 if the connection cannot be opened.
    pub async fn send(&self, entry: usize, spec: &RequestSpec) -> Outcome {
        client::send(&self.addresses[entry], HOST, spec).await.unwrap_or_default()
    }

    /// Returns whether an entry reports that it is ready.
    pub async fn is_ready(&self, entry: usize) -> bool {
        let spec = RequestSpec { headers: Vec::new(), ..RequestSpec::new("GET", "/ready", "", "") };
        client::send(&self.ready_addresses[entry], HOST, &spec).await.is_ok_and(|outcome| outcome.status == 200)
    }

    /// Waits until an entry reports that it is ready, or not ready if `is_ready` is false. An error contains the
    /// entry's log.
    pub async fn wait_ready(&self, entry: usize, is_ready: bool) -> Result<()> {
        let started = Instant::now();
        while self.is_ready(entry).await != is_ready {
            if started.elapsed() > PROCESS_TIMEOUT {
                return Err(eyre!(
                    "step=wait-ready entry={entry} wanted={is_ready}: timed out, log:\n{}",
                    self.log(entry)
                ));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Sends a signal to an entry's process.
    pub fn signal(&self, entry: usize, signal: Signal) -> Result<()> {
        let Some(process) = &self.processes[entry] else { return Err(eyre!("step=signal entry={entry}: not running")) };
        let pid = i32::try_from(process.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| eyre!("step=signal entry={entry}: invalid process id"))?;
        kill_process(pid, signal).wrap_err("step=signal")
    }

    /// Returns the process id of an entry, or `None` if it does not run.
    pub fn process_id(&self, entry: usize) -> Option<u32> {
        Some(self.processes[entry].as_ref()?.id())
    }

    /// Returns the resource usage of an entry's process, or `None` if it does not run.
    pub fn resource_usage(&self, entry: usize) -> Option<ProcessUsage> {
        resource_usage::read_process(self.process_id(entry)?)
    }

    /// Waits until an entry's process has exited, and returns whether it exited as expected.
    pub async fn wait_exit(&mut self, entry: usize) -> Result<bool> {
        let Some(mut process) = self.processes[entry].take() else {
            return Err(eyre!("step=wait-exit entry={entry}: not running"));
        };
        let started = Instant::now();
        loop {
            if let Some(status) = process.try_wait()? {
                // Before a process has installed its signal handlers, SIGTERM kills it, which is not a failure.
                return Ok(status.success() || !self.has_started(entry));
            }
            if started.elapsed() > PROCESS_TIMEOUT {
                self.processes[entry] = Some(process);
                return Err(eyre!("step=wait-exit entry={entry}: process did not exit within {PROCESS_TIMEOUT:?}"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether an entry has a process whose exit status was not collected; that process may have crashed.
    pub fn is_running(&self, entry: usize) -> bool {
        self.processes[entry].is_some()
    }

    /// Returns whether an entry's newest process has logged its start. Before that, any signal kills the process.
    pub fn has_started(&self, entry: usize) -> bool {
        self.log(entry).matches("step=start ").count() >= self.start_counts[entry]
    }

    /// Kills an entry's process if it runs, and starts a new one with the same settings, except that they declare an
    /// earlier process.
    pub async fn restart(&mut self, entry: usize) -> Result<()> {
        if let Some(mut process) = self.processes[entry].take() {
            process.kill()?;
            process.wait()?;
        }
        let settings = std::fs::read_to_string(self.settings_file(entry))?.replace(FIRST_START, LATER_START);
        std::fs::write(self.settings_file(entry), settings).wrap_err("step=write-settings")?;
        self.start_process(entry)
    }

    /// Kills all processes and returns the folder with their logs, which is kept.
    pub fn keep_logs(mut self) -> PathBuf {
        self.kill_all();
        std::mem::take(&mut self.dir)
    }

    /// Returns the log lines in which entries report the breach of an invariant.
    pub fn breached_invariants(&self) -> Vec<String> {
        let logs: Vec<String> = (0..self.processes.len()).map(|index| self.log(index)).collect();
        let lines = logs.iter().flat_map(|log| log.lines());
        lines.filter(|line| line.contains("step=invariant")).map(str::to_owned).collect()
    }

    /// Kills all processes and removes the site's folder. Fails if an entry logged the breach of an invariant.
    pub fn close(mut self) -> Result<()> {
        self.kill_all();
        let breaches = self.breached_invariants();
        let _ = std::fs::remove_dir_all(&self.dir);
        match breaches.first() {
            Some(line) => Err(eyre!("step=close: invariant breached: {line}")),
            None => Ok(()),
        }
    }

    /// Kills all entries and stops all replicas.
    fn kill_all(&mut self) {
        for mut process in self.processes.iter_mut().filter_map(Option::take) {
            let _ = process.kill();
            let _ = process.wait();
        }
        self.engines.iter().chain(&self.plain_replicas).for_each(|replica| replica.stop());
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.kill_all();
    }
}
