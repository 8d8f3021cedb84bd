//! Where a fleet's processes come from and where they listen.

use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

use eyre::{Result, WrapErr, bail, eyre};

/// First port that a fleet may use. They lie below those from which the system takes ports
/// for outgoing connections, so that a port handed out stays free until it is listened on.
const FIRST_PORT: u16 = 10_000;
/// Ports that a fleet may use, from the first on.
const PORTS: u16 = 20_000;
/// Ports between the starting points of two processes that use fleets at once.
const PORTS_APART: u16 = 500;

static NEXT_PORT: OnceLock<AtomicU16> = OnceLock::new();

/// A free address on loopback, handed out once in this process.
pub fn free_address() -> Result<String> {
    let start = || AtomicU16::new((std::process::id() % u32::from(PORTS / PORTS_APART)) as u16 * PORTS_APART);
    let next = NEXT_PORT.get_or_init(start);
    for _ in 0..PORTS {
        let port = FIRST_PORT + next.fetch_add(1, Ordering::Relaxed) % PORTS;
        // Asked by connecting: a listener of ours would live on for a moment in a child that another
        // thread forks just then, and be found in the way.
        if TcpStream::connect(("127.0.0.1", port)).is_err() {
            return Ok(format!("127.0.0.1:{port}"));
        }
    }
    bail!("step=find-port: no free port")
}

/// The binary `name` beside the one that runs, or beside the folder of test binaries.
pub fn binary(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe().wrap_err("step=find-binary")?;
    let found = own.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|path| path.is_file());
    found.ok_or_else(|| {
        eyre!("step=find-binary: no {name} beside {}; run `cargo build --workspace` first", own.display())
    })
}
