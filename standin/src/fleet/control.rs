//! Starts, signals and ends the processes of a fleet, always by process id.

use std::fmt::Write as _;
use std::io::{Read as _, Seek as _, SeekFrom};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process};

use super::ports::find_binary;
use super::{Fleet, OPERATOR_ENV, OPERATOR_KEY, Process, TICKET_ENV};

/// Time allowed for a process to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time allowed from the launch of a process to its `step=start` log line.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks of a process or its log.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Fleet {
    pub(super) fn write_settings(&self, name: &str, text: &str) -> Result<String> {
        let path = self.spec.dir.join(format!("{name}.ini"));
        std::fs::write(&path, text).wrap_err_with(|| format!("step=write-settings path={}", path.display()))?;
        Ok(path.display().to_string())
    }

    pub(super) fn spawn(&mut self, name: &str, program: &str, args: Vec<String>) -> Result<()> {
        let program = find_binary(program)?;
        self.spawn_path(name, program, args)
    }

    fn spawn_path(&mut self, name: &str, program: PathBuf, args: Vec<String>) -> Result<()> {
        let log_offset = std::fs::metadata(self.log_file(name)).map_or(0, |log| log.len());
        let child = self.launch(name, &program, &args)?;
        self.processes.insert(name.to_owned(), Process { child, program, args, log_offset });
        Ok(())
    }

    fn launch(&self, name: &str, program: &Path, args: &[String]) -> Result<Child> {
        let path = self.log_file(name);
        let open_log = || std::fs::OpenOptions::new().create(true).append(true).open(&path);
        let stdout = open_log().wrap_err_with(|| format!("step=open-log path={}", path.display()))?;
        let stderr = open_log().wrap_err_with(|| format!("step=open-log path={}", path.display()))?;
        Command::new(program)
            .args(args)
            .env(OPERATOR_ENV, OPERATOR_KEY)
            .env(TICKET_ENV, "ticket-key-of-a-stand-in-fleet")
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()
            .wrap_err_with(|| format!("step=start-process name={name}"))
    }

    /// Returns the file that a process writes its output and its log to.
    pub fn log_file(&self, name: &str) -> PathBuf {
        self.spec.dir.join(format!("{name}.log"))
    }

    /// Returns the log files of all processes of the fleet.
    pub fn log_files(&self) -> Vec<PathBuf> {
        self.processes.keys().map(|name| self.log_file(name)).collect()
    }

    /// Returns the names of all started processes in alphabetical order, including those that have exited.
    pub fn process_names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Returns the id of a process; `None` if the fleet has no process of that name.
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.processes.get(name).map(|process| process.child.id())
    }

    /// Sends a signal to a process; fails if the fleet has no process of that name.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        let pid = self.pid(name).ok_or_else(|| eyre!("step=signal: the fleet has no process {name}"))?;
        let pid = Pid::from_raw(pid as i32).ok_or_else(|| eyre!("step=signal: the fleet has no process {name}"))?;
        kill_process(pid, signal).wrap_err_with(|| format!("step=signal name={name}"))
    }

    /// Kills a process with SIGKILL and reaps it.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        let process =
            self.processes.get_mut(name).ok_or_else(|| eyre!("step=kill: the fleet has no process {name}"))?;
        let _ = process.child.kill();
        process.child.wait().wrap_err_with(|| format!("step=kill name={name}"))?;
        Ok(())
    }

    /// Restarts an exited process with the same program and arguments.
    pub fn restart(&mut self, name: &str) -> Result<()> {
        let process = self.processes.get(name).ok_or_else(|| eyre!("step=restart: the fleet has no process {name}"))?;
        let (program, args) = (process.program.clone(), process.args.clone());
        self.spawn_path(name, program, args)
    }

    /// Waits until a process has written its `step=start` log line, after which it handles SIGTERM, or has exited.
    pub async fn wait_started(&mut self, name: &str) -> Result<()> {
        let log = self.log_file(name);
        let process =
            self.processes.get_mut(name).ok_or_else(|| eyre!("step=wait-started: the fleet has no process {name}"))?;
        let start = std::time::Instant::now();
        while start.elapsed() < START_TIMEOUT {
            let has_exited = process.child.try_wait().wrap_err("step=wait-started")?.is_some();
            if has_exited || has_started(&log, process.log_offset)? {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(eyre!("step=wait-started: {name} wrote no step=start log line within {START_TIMEOUT:?}"))
    }

    /// Waits until a process exits by itself; returns whether it exited within `timeout` with status 0.
    pub async fn wait_exit(&mut self, name: &str, timeout: Duration) -> Result<bool> {
        let process =
            self.processes.get_mut(name).ok_or_else(|| eyre!("step=wait-end: the fleet has no process {name}"))?;
        let start = std::time::Instant::now();
        while start.elapsed() < timeout {
            if let Some(status) = process.child.try_wait().wrap_err("step=wait-end")? {
                return Ok(status.success());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(false)
    }

    /// Ends all processes. Entries and sidecars are sent SIGTERM first; the remaining processes are killed. Returns the
    /// names of the entries and sidecars that did not exit in time with status 0, each followed by a blank.
    pub async fn shut_down(mut self) -> Result<String> {
        let names: Vec<String> = self.process_names();
        let has_graceful_exit = |name: &&String| name.starts_with("entry-") || name.starts_with("sidecar-");
        for name in names.iter().filter(has_graceful_exit) {
            let _ = self.signal(name, Signal::CONT);
            self.wait_started(name).await?;
            let _ = self.signal(name, Signal::TERM);
        }
        let mut stuck_processes = String::new();
        for name in names.iter().filter(has_graceful_exit) {
            if !self.wait_exit(name, EXIT_TIMEOUT).await? {
                let _ = write!(stuck_processes, "{name} ");
            }
        }
        for name in &names {
            let _ = self.kill(name);
        }
        Ok(stuck_processes)
    }
}

/// Returns whether the log has a `step=start` line after its first `log_offset` bytes, which earlier runs wrote.
fn has_started(log: &Path, log_offset: u64) -> Result<bool> {
    let mut file = std::fs::File::open(log).wrap_err_with(|| format!("step=open-log path={}", log.display()))?;
    file.seek(SeekFrom::Start(log_offset)).wrap_err("step=read-log")?;
    let mut text = Vec::new();
    file.read_to_end(&mut text).wrap_err("step=read-log")?;
    Ok(String::from_utf8_lossy(&text).contains("step=start "))
}
