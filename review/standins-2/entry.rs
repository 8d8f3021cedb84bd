//! An entry as the platform runs it: its command from the deploy file, its settings from the template, its signals.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Time within which an entry has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Process of an entry.
pub struct Entry {
    /// Address for clients.
    pub address: String,
    ready_address: String,
    dir: PathBuf,
    command: Vec<String>,
    fields: HashMap<&'static str, String>,
    process: Option<Child>,
}

impl Entry {
    /// Prepares an entry in the folder `dir` that reaches the store at `store`. `fields` replace those of the site.
    pub fn new(dir: PathBuf, store: &str, fields: &[(&'static str, &str)]) -> Self {
        let deploy = fs::read_to_string("deploy/system.toml").expect("deploy file");
        let command = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("command of the role");
        let command = command.trim().trim_matches('"').split(' ').map(str::to_owned).collect();
        let (address, ready_address, peer_address) = (free_address(), free_address(), free_address());
        let mut all = HashMap::new();
        // Those of a `front` machine of nyabugogo-stalls; the addresses are loopback ones.
        for (name, value) in [
            ("node_name", "front-nyabugogo-1"),
            ("zone", "nyabugogo"),
            ("internal_ports", "7340,7355"),
            ("bootstrap", "true"),
            ("limits.cpu_share", "0.19"),
            ("limits.memory_mb", "260"),
            ("limits.link_mbps", "1000.0"),
            ("contracts", "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,spans"),
            ("bounds.drain_ms", "2000"),
            ("bounds.grace_s", "8"),
            ("bounds.revoke_ms", "5000"),
            ("bounds.revoke_strict", "true"),
            ("bounds.config_apply_ms", "2000"),
            ("bounds.retry_budget_ratio", "0.2"),
            ("bounds.budget_window_s", "10"),
            ("bounds.budget_slack", "106"),
            ("bounds.free_ms", "4000"),
            ("bounds.idle_max_ms", "9000"),
            ("bounds.hold_max_ms", "20000"),
            ("listen.front", &address),
            ("listen.ready", &ready_address),
            ("listen.control", &peer_address),
            ("seeds", &peer_address),
            ("provider.address", store),
        ] {
            all.insert(name, value.to_owned());
        }
        all.extend(fields.iter().map(|(name, value)| (*name, (*value).to_owned())));
        Self { address, ready_address, dir, command, fields: all, process: None }
    }

    /// Starts the process; its output goes to a file in its folder.
    pub fn start(&mut self) {
        let template = fs::read_to_string("deploy/entry.ini").expect("template");
        let settings = self.dir.join("entry.ini");
        fs::write(&settings, fill(&template, &self.fields)).expect("settings");
        let log = File::options().create(true).append(true).open(self.dir.join("entry.log")).expect("log");
        let mut command = Command::new(&self.command[0]);
        command.args(&self.command[1..]).env_clear().env("SORRELPASS_BOOT", &settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let errors = log.try_clone().expect("log");
        self.process = Some(command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn().expect("start"));
        self.fields.insert("bootstrap", "false".to_owned());
    }

    /// Asks the process to end (SIGTERM).
    pub fn terminate(&self) {
        const SIGTERM: i32 = 15;
        let Some(process) = &self.process else { return };
        // SAFETY: the call takes two numbers; the process was started here and its status was not collected.
        unsafe { kill(process.id() as i32, SIGTERM) };
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_none_or(|process| !matches!(process.try_wait(), Ok(None)))
    }

    /// Returns whether the entry answers that it is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect(&self.ready_address)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: entry\r\n\r\n")?;
            Ok(http::read_head(&mut BufReader::new(stream))?.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Waits until the entry is ready. Returns whether it became so in time.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
        if let Some(process) = &mut self.process {
            let _ = process.wait();
        }
    }
}

/// Returns a loopback address with a free port.
fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    listener.local_addr().expect("address").to_string()
}

/// Fills a template: `{{name}}` is a field, and `{{#name}} .. {{/name}}` stands where the field is given and not false.
fn fill(template: &str, fields: &HashMap<&'static str, String>) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, tail)) = rest.split_once("{{") {
        text.push_str(before);
        let (name, tail) = tail.split_once("}}").expect("end of a gap");
        rest = tail;
        let Some(name) = name.strip_prefix('#') else {
            text.push_str(fields.get(name).map_or("", |value| value));
            continue;
        };
        let (inner, tail) = tail.split_once(&format!("{{{{/{name}}}}}")).expect("end of a section");
        if fields.get(name).is_some_and(|value| value != "false") {
            text.push_str(&fill(inner, fields));
        }
        rest = tail;
    }
    text + rest
}
