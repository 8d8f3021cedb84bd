//! Runs a fleet on loopback: stand-ins, sidecars and entries as separate processes.
//!
//! The demo, the experiments and the tests use it. It ends only processes that it started, by id, and keeps their
//! logs.

mod control;
pub mod ports;

pub use ports::{allocate_address, find_binary};

use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::process::Child;
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use serde_json::{Value, json};

use crate::client::Client;
use crate::engine::model::Capacity;
use crate::workload::{Deployment, WORKSPACE_COUNT};

/// Bearer key of the operators of a fleet.
pub const OPERATOR_KEY: &str = "operator-key-of-a-stand-in-fleet";
/// Environment variable that passes the operators' key to entries.
const OPERATOR_ENV: &str = "SORRELPASS_OPERATOR_SECRET";
/// Environment variable that passes the ticket signing key to entries.
const TICKET_ENV: &str = "SORRELPASS_TICKET_SECRET";
/// Time allowed for a process to listen and for an entry to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the bearer key of a workspace of a fleet.
pub fn workspace_key(number: usize) -> String {
    format!("key-of-workspace-{number}")
}

/// Size, settings and working directory of a fleet.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Deployment that defines the failure domains, the model and the service.
    pub deployment: Deployment,
    /// Number of entries.
    pub entries: usize,
    /// Number of engines, each with a sidecar of its own.
    pub engines: usize,
    /// Number of plain services, each with a sidecar of its own.
    pub services: usize,
    /// Whether the sidecars of all plain services share one stand-in, which saves processes.
    pub shares_service: bool,
    /// Capacity and speed of the engines.
    pub engine_capacity: Capacity,
    /// Whether engines reject orders with an old fence.
    pub checks_fence: bool,
    /// Picker of the entries, as in the setting `entry.picker`.
    pub picker: String,
    /// Queue order of the sidecars, as in the setting `sidecar.order`.
    pub order: String,
    /// Delay until a change shows in the VM list, in milliseconds.
    pub vms_lag_ms: u64,
    /// Interval at which entries read the VM list, in milliseconds.
    pub vms_poll_ms: u64,
    /// Retention period of the log's records, in milliseconds.
    pub retention_ms: u64,
    /// Lines appended to the `[entry]` section of every entry's settings.
    pub entry_settings: String,
    /// Lines appended to the `[sidecar]` section of every sidecar's settings.
    pub sidecar_settings: String,
    /// Directory of the log files and settings files.
    pub dir: PathBuf,
}

impl Spec {
    /// Returns the specification of a small fleet for tests, ten times faster than real time.
    pub fn small(name: &str) -> Self {
        Self {
            deployment: Deployment::Market,
            entries: 2,
            engines: 3,
            services: 2,
            shares_service: false,
            engine_capacity: Capacity { speed: 10.0, ..Capacity::default() },
            checks_fence: true,
            picker: "quoted".into(),
            order: "slack".into(),
            vms_lag_ms: 50,
            vms_poll_ms: 200,
            retention_ms: 24 * 3_600 * 1_000,
            entry_settings: String::new(),
            sidecar_settings: String::new(),
            dir: scratch_dir(name),
        }
    }
}

/// Returns the path of a directory for a fleet's logs and settings, distinct for each name and process id.
pub fn scratch_dir(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("sorrelpass-{name}-{}", std::process::id()))
}

/// A process of the fleet, with the program and arguments needed to restart it.
struct Process {
    child: Child,
    program: PathBuf,
    args: Vec<String>,
    /// Size of the log file, in bytes, when this run started.
    log_offset: u64,
}

/// A running fleet; its processes are killed when it is dropped.
pub struct Fleet {
    /// Specification that the fleet was started from.
    pub spec: Spec,
    /// HTTP client for the APIs of the fleet's processes.
    pub client: Client,
    processes: BTreeMap<String, Process>,
    /// Addresses at which the entries accept requests from callers.
    pub entries: Vec<String>,
    /// Address of each process by name; for an entry its peer address.
    pub addresses: HashMap<String, String>,
}

impl Fleet {
    /// Starts a fleet, publishes its first configuration and waits until every entry is ready.
    pub async fn start(spec: Spec) -> Result<Self> {
        std::fs::create_dir_all(&spec.dir).wrap_err_with(|| format!("step=make-folder path={}", spec.dir.display()))?;
        let mut fleet = Self {
            spec,
            client: Client::new(),
            processes: BTreeMap::new(),
            entries: Vec::new(),
            addresses: HashMap::new(),
        };
        fleet.start_platform().await?;
        let entries = fleet.assign_entry_addresses()?;
        fleet.start_endpoints().await?;
        for (name, listen, peer) in &entries {
            fleet.start_entry(name, listen, peer)?;
        }
        fleet.publish(&fleet.initial_changes()).await?;
        for entry in fleet.entries.clone() {
            fleet.wait_ready(&entry).await?;
        }
        Ok(fleet)
    }

    async fn start_platform(&mut self) -> Result<()> {
        let retention = self.spec.retention_ms.to_string();
        let lag = self.spec.vms_lag_ms.to_string();
        let stand_ins: [(&str, &[&str]); 3] =
            [("log", &["--retention-ms", &retention]), ("vms", &["--lag-ms", &lag]), ("weights", &[])];
        for (name, args) in stand_ins {
            let address = allocate_address()?;
            self.addresses.insert(name.to_owned(), address.clone());
            let mut command_line = vec![name.to_owned(), "--listen".to_owned(), address];
            command_line.extend(args.iter().map(|arg| (*arg).to_owned()));
            self.spawn(name, "standin", command_line)?;
        }
        for name in ["log", "vms"] {
            let address = self.addresses[name].clone();
            self.wait_listening(&address).await?;
        }
        Ok(())
    }

    fn failure_domain(&self, number: usize) -> &'static str {
        self.spec.deployment.failure_domains()[number % 3]
    }

    fn assign_entry_addresses(&mut self) -> Result<Vec<(String, String, String)>> {
        let mut assigned = Vec::new();
        for number in 0..self.spec.entries {
            let name = format!("entry-{number}");
            let (listen, peer) = (allocate_address()?, allocate_address()?);
            self.entries.push(listen.clone());
            self.addresses.insert(name.clone(), peer.clone());
            assigned.push((name, listen, peer));
        }
        Ok(assigned)
    }

    fn peer_addresses(&self) -> String {
        let peer_addresses = (0..self.spec.entries).filter_map(|number| self.addresses.get(&format!("entry-{number}")));
        peer_addresses.cloned().collect::<Vec<_>>().join(",")
    }

    async fn start_endpoints(&mut self) -> Result<()> {
        for number in 0..self.spec.engines {
            self.add_engine(number).await?;
        }
        for number in 0..self.spec.services {
            let name = format!("{}-{number}", self.spec.deployment.service());
            let shared = format!("{}-0", self.spec.deployment.service());
            match self.addresses.get(&shared).filter(|_| self.spec.shares_service).cloned() {
                Some(address) => drop(self.addresses.insert(name.clone(), address)),
                None => {
                    let address = allocate_address()?;
                    let args = ["service", "--listen", &address, "--name", self.spec.deployment.service()];
                    self.spawn(&name, "standin", args.map(str::to_owned).to_vec())?;
                    self.addresses.insert(name.clone(), address);
                }
            }
            self.start_sidecar(&name, self.spec.deployment.service(), "plain", number).await?;
        }
        Ok(())
    }

    /// Starts an engine and its sidecar and registers its VM on the platform's list.
    pub async fn add_engine(&mut self, number: usize) -> Result<()> {
        let name = format!("{}-{number}", self.spec.deployment.model());
        let address = allocate_address()?;
        let engine_capacity = &self.spec.engine_capacity;
        let mut args: Vec<String> = ["engine", "--listen", &address].map(str::to_owned).to_vec();
        args.extend(["--speed".to_owned(), engine_capacity.speed.to_string()]);
        args.extend(["--prefill".to_owned(), engine_capacity.prefill_per_s.to_string()]);
        args.extend(["--memory".to_owned(), engine_capacity.memory.to_string()]);
        args.extend(["--slots".to_owned(), engine_capacity.slots.to_string()]);
        if !self.spec.checks_fence {
            args.push("--no-fence".to_owned());
        }
        self.spawn(&name, "standin", args)?;
        self.addresses.insert(name.clone(), address);
        self.start_sidecar(&name, self.spec.deployment.model(), "engine", number).await
    }

    async fn start_sidecar(&mut self, endpoint: &str, service: &str, kind: &str, number: usize) -> Result<()> {
        let name = format!("sidecar-{endpoint}");
        let address = allocate_address()?;
        self.addresses.insert(name.clone(), address.clone());
        let engine_capacity = &self.spec.engine_capacity;
        let (slowdown, ttft) = self.spec.deployment.latency_weights();
        let gap_ms = (engine_capacity.decode_base_time.div_f64(engine_capacity.speed).as_millis()).max(1);
        let text = format!(
            "[process]\nname = {name}\nfailure_domain = {}\n\n[sidecar]\nlisten = {address}\nendpoint = {endpoint}\n\
             endpoint_address = {}\nservice = {service}\nkind = {kind}\nentries = {}\norder = {}\n\
             slowdown_weight = {slowdown}\nttft_weight = {ttft}\nslots = {}\nmemory_tokens = {}\n\
             prefill_tokens_per_s = {}\ngap_ms = {gap_ms}\nprobe_ms = 300\n{}\n",
            self.failure_domain(number),
            self.addresses[endpoint],
            self.peer_addresses(),
            self.spec.order,
            engine_capacity.slots,
            engine_capacity.memory,
            engine_capacity.prefill_per_s * engine_capacity.speed,
            self.spec.sidecar_settings,
        );
        let file = self.write_settings(&name, &text)?;
        self.spawn(&name, "sorrelpass", vec!["sidecar".to_owned(), file])?;
        let vm = json!({ "name": endpoint, "address": address, "role": "endpoint", "service": service,
            "failure_domain": self.failure_domain(number), "leaving": false });
        self.register_vm(endpoint, &vm).await
    }

    /// Registers a VM on the platform's list.
    pub async fn register_vm(&self, name: &str, vm: &Value) -> Result<()> {
        let (status, _) =
            self.client.send_json("PUT", &self.addresses["vms"], &format!("/vms/{name}"), "", Some(vm)).await?;
        if status == 204 { Ok(()) } else { bail!("step=list-vm status={status}") }
    }

    fn start_entry(&mut self, name: &str, listen: &str, peer: &str) -> Result<()> {
        let number: usize = name.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let failure_domain = self.failure_domain(number);
        let text = format!(
            "[process]\nname = {name}\nfailure_domain = {failure_domain}\n\n[entry]\nlisten = {listen}\npeer_listen = {peer}\n\
             peers = {}\npicker = {}\noperator_secret_env = {OPERATOR_ENV}\nticket_secret_env = {TICKET_ENV}\n{}\n\n\
             [platform]\nlog_address = {}\nvms_address = {}\nvms_poll_ms = {}\n",
            self.peer_addresses(),
            self.spec.picker,
            self.spec.entry_settings,
            self.addresses["log"],
            self.addresses["vms"],
            self.spec.vms_poll_ms,
        );
        let file = self.write_settings(name, &text)?;
        self.spawn(name, "sorrelpass", vec!["entry".to_owned(), file])
    }

    /// Returns the changes that create a fleet's first configuration.
    fn initial_changes(&self) -> Value {
        let deployment = self.spec.deployment;
        let mut changes = vec![
            json!({ "put_intent": { "model": deployment.model(), "service": deployment.model(), "workspaces": ["*"],
                "deadline_ms": 30_000, "deadline_ceiling_ms": 600_000, "context_tokens": 1_100_000 } }),
            json!({ "put_service": { "name": deployment.service(), "repeatable": false, "deadline_ms": 10_000 } }),
        ];
        for number in 0..WORKSPACE_COUNT {
            let digest = blake3::hash(workspace_key(number).as_bytes()).to_hex().to_string();
            let weight = if number < 2 { 2.0 } else { 1.0 };
            changes.push(json!({ "put_workspace": { "name": format!("workspace-{number}"), "key_digest": digest, "weight": weight } }));
        }
        Value::from(changes)
    }

    /// Registers the entries' VMs, then plans and confirms changes at the first entry. Returns the revision.
    pub async fn publish(&self, changes: &Value) -> Result<u64> {
        for number in 0..self.spec.entries {
            let name = format!("entry-{number}");
            let vm = json!({ "name": name, "address": self.addresses[&name], "role": "entry", "service": "",
                "failure_domain": self.failure_domain(number), "leaving": false });
            self.register_vm(&name, &vm).await?;
        }
        self.publish_at(0, changes).await
    }

    /// Plans and confirms changes at the entry with the index `entry`. Returns the revision.
    pub async fn publish_at(&self, entry: usize, changes: &Value) -> Result<u64> {
        let entry = &self.entries[entry];
        self.wait_listening(entry).await?;
        let body = json!({ "changes": changes });
        let (status, plan) = self.client.send_json("POST", entry, "/v1/intents", OPERATOR_KEY, Some(&body)).await?;
        let Some(id) = plan["plan"].as_str() else { bail!("step=plan status={status}: {plan}") };
        let path = format!("/v1/plans/{id}/confirm");
        let (status, verdict) = self.client.send_json("POST", entry, &path, OPERATOR_KEY, None).await?;
        verdict["revision"].as_u64().ok_or_else(|| eyre!("step=confirm status={status}: {verdict}"))
    }

    /// Waits until a TCP connection to `address` succeeds.
    pub async fn wait_listening(&self, address: &str) -> Result<()> {
        let start = std::time::Instant::now();
        while start.elapsed() < READY_TIMEOUT {
            if tokio::net::TcpStream::connect(address).await.is_ok() {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        bail!("step=wait-listening peer={address}: nothing listens after {} s", READY_TIMEOUT.as_secs())
    }

    /// Waits until an entry is ready for callers and counts every endpoint and entry of the fleet as a member.
    pub async fn wait_ready(&self, entry: &str) -> Result<()> {
        let start = std::time::Instant::now();
        let expected_members = self.spec.engines + self.spec.services + self.spec.entries;
        while start.elapsed() < READY_TIMEOUT {
            if let Ok((200, body)) = self.client.send_json("GET", entry, "/readyz", "", None).await
                && body["members"].as_u64().unwrap_or(0) >= expected_members as u64
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        bail!("step=wait-ready peer={entry}: not ready after {} s", READY_TIMEOUT.as_secs())
    }

    /// Injects a fault into a stand-in.
    pub async fn inject_fault(&self, name: &str, fault: &Value) -> Result<()> {
        let address = self.addresses.get(name).ok_or_else(|| eyre!("step=fault: the fleet has no stand-in {name}"))?;
        let (status, _) = self.client.send_json("POST", address, "/fault", "", Some(fault)).await?;
        if status == 204 { Ok(()) } else { bail!("step=fault name={name} status={status}") }
    }

    /// Returns how often each key was executed, summed over all services that respond.
    pub async fn run_counts(&self) -> HashMap<String, u64> {
        let mut all = HashMap::new();
        for number in 0..self.spec.services {
            let name = format!("{}-{number}", self.spec.deployment.service());
            let answer = self.client.send_json("GET", &self.addresses[&name], "/runs", "", None).await;
            let Ok((200, Value::Object(runs))) = answer else { continue };
            for (key, count) in runs {
                *all.entry(key).or_default() += count.as_u64().unwrap_or(0);
            }
        }
        all
    }

    /// Returns the reserved KV memory, in tokens, summed over all engines that respond.
    pub async fn reserved_tokens(&self) -> u64 {
        let mut reserved = 0;
        for number in 0..self.spec.engines {
            let name = format!("{}-{number}", self.spec.deployment.model());
            if let Ok((200, kv)) = self.client.send_json("GET", &self.addresses[&name], "/kv", "", None).await {
                reserved += kv["held_tokens"].as_u64().unwrap_or(0);
            }
        }
        reserved
    }

    /// Returns the log lines of all processes that report a violated invariant or a panic.
    pub fn read_breaches(&self) -> Result<Vec<String>> {
        let mut breaches = Vec::new();
        for file in self.log_files() {
            let text = String::from_utf8_lossy(&std::fs::read(&file).unwrap_or_default()).into_owned();
            breaches.extend(
                text.lines().filter(|line| line.contains("invariant") || line.contains("panicked")).map(str::to_owned),
            );
        }
        Ok(breaches)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}
