//! Small deployment: a store, three replicas of a plain service, one entry, and the operator's configs.

use std::fmt::Write as _;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::entry::Entry;
use crate::replica::Replica;
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// Interval between two liveness reports of a replica.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Number of replicas of `stall-ledger`.
const REPLICAS: usize = 3;
/// Number of tenants.
pub const TENANTS: usize = 10;

/// Route of prompts whose streams may be resumed.
const STREAMING_ROUTE: &str = r#"{"name":"stall-query","host":"ficu95.example","path_prefix":"/query/","kind":"streaming","timeout_ms":10000,"target_latency_ms":300,"priority":1,"service":"market-advisor","max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true,"gap_aim_ms":200}"#;
/// Service of the model replicas, as the protocol's page shows it.
const ENGINE_SERVICE: &str = r#"{"name":"market-advisor","health_path":"/health","max_connections":434,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_cache_tokens":450000,"kv_token_bytes":327680,"link_mbps":400000.0,"stride":46,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":13239,"answer":1540},"hop_ms":0.1}}"#;

/// Running deployment. Dropping it ends the entry and removes its folder.
pub struct Site {
    /// Store of the platform.
    pub store: Arc<Store>,
    /// Replicas of the service.
    pub replicas: Vec<Arc<Replica>>,
    /// The entry.
    pub entry: Entry,
    dir: PathBuf,
    /// Time from which the times in the record count.
    pub started: Instant,
}

/// What the operator's config holds beside the fixed routes.
pub struct Config<'a> {
    /// Version.
    pub version: u64,
    /// Number of further routes.
    pub further_routes: usize,
    /// Keys that were taken away.
    pub revoked: &'a [&'a str],
}

impl Config<'_> {
    /// Returns the config as the operator writes it.
    pub fn encode(&self) -> String {
        let mut routes = vec![
            STREAMING_ROUTE.to_owned(),
            route("permit-check", "/permit/", "safe", 2_000, 2),
            route("levy-receipt", "/receipt/", "unsafe", 2_000, 1),
            route("yearbook", "/yearbook/", "safe", 10_000, 2),
        ];
        let further = (0..self.further_routes).map(|n| route(&format!("r-added{n:04}"), &format!("/added{n:04}/2f/"), "safe", 2_000, 2));
        routes.extend(further);
        let tenants = (0..TENANTS).map(|tenant| {
            let keys = (0..2).map(|number| key(tenant, number));
            let kept: Vec<String> =
                keys.filter(|key| !self.revoked.contains(&key.as_str())).map(|key| format!("\"{key}\"")).collect();
            format!("{{\"name\":\"tenant-{tenant}\",\"api_keys\":[{}],\"priority\":1}}", kept.join(","))
        });
        let tenants: Vec<String> = tenants.collect();
        format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[{ENGINE_SERVICE},{{\"name\":\"stall-ledger\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
            self.version,
            routes.join(","),
            tenants.join(",")
        )
    }
}

/// Returns a key of a tenant.
pub fn key(tenant: usize, number: usize) -> String {
    format!("key{number}oftenant{tenant}zs989anu6wsjnb")
}

fn route(name: &str, prefix: &str, kind: &str, timeout_ms: u32, attempts: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":300,\"priority\":2,\"service\":\"stall-ledger\",\"max_attempts\":{attempts},\"public\":false,\"session_affinity\":false,\"stream_resume\":false}}"
    )
}

impl Site {
    /// Starts a deployment whose replicas take `work` for an answer of `answer_bytes`. `fields` replace those of the
    /// entry's settings. Returns `None` if the entry does not become ready.
    pub fn start(name: &str, work: Duration, answer_bytes: usize, fields: &[(&'static str, &str)]) -> Option<Self> {
        let dir = std::env::temp_dir().join(format!("sorrelpass-review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).ok()?;
        let store = Store::start();
        let replicas: Vec<Arc<Replica>> =
            (0..REPLICAS).map(|n| Replica::start(&format!("i-{n}f3a91c2"), work, answer_bytes)).collect();
        store.put("keyed.op", "config", &Config { version: 7, further_routes: 0, revoked: &[] }.encode());
        let (beating_store, beating) = (store.clone(), replicas.clone());
        beat(&store, &replicas, 0);
        thread::spawn(move || {
            for sequence in 1.. {
                thread::sleep(HEARTBEAT);
                beat(&beating_store, &beating, sequence);
            }
        });
        let mut entry = Entry::new(dir.clone(), &store.address, fields);
        entry.start();
        let is_ready = entry.wait_until_ready();
        let site = Self { store, replicas, entry, dir, started: Instant::now() };
        is_ready.then_some(site)
    }

    /// Returns the runs of all replicas.
    pub fn runs(&self) -> Vec<crate::replica::Run> {
        self.replicas.iter().flat_map(|replica| replica.runs()).collect()
    }

}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

fn beat(store: &Store, replicas: &[Arc<Replica>], sequence: u64) {
    for replica in replicas {
        store.put("keyed.servers", &replica.id, &replica.record(sequence));
    }
}

/// Lines of `record.txt`.
#[derive(Default)]
pub struct Record(String);

impl Record {
    /// Adds a line, and prints it.
    pub fn line(&mut self, text: &str) {
        println!("{text}");
        let _ = writeln!(self.0, "{text}");
    }

    /// Adds a line that is only written to the file.
    pub fn detail(&mut self, text: &str) {
        let _ = writeln!(self.0, "{text}");
    }

    /// Writes the lines to `path`.
    pub fn write(&self, path: &str) {
        std::fs::write(path, &self.0).expect("record");
    }
}
