//! Where a fleet's processes come from and where they listen.

use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

use eyre::{Result, WrapErr, bail, eyre};

/// First port that a fleet may use. They lie below those from which the system takes ports
/// for outgoing connections, so that a port handed out stays free until it is listened on.
const FIRST_PORT: u16 = 10_000;
/// Ports that a fleet may use, from the first on.
const PORTS: u16 = 20_000;
/// Ports between the starting points of two processes that use fleets at once. The first of them tells that they are used.
const PORTS_APART: u16 = 500;

/// Ports of a soak, above those of fleets: an entry of it is down now and then, and its port must not look free
/// to a test that runs beside it.
const SOAK_PORTS: u16 = 2_000;

/// The ports of this process.
struct Range {
    first: u16,
    count: u16,
    next: AtomicU16,
    /// Keeps other processes from starting where this one does, for as long as it lives.
    _claim: Option<TcpListener>,
}

static RANGE: OnceLock<Range> = OnceLock::new();

/// Takes ports from those of soaks from now on; has no effect once an address was handed out.
pub fn use_soak_ports() {
    let range = Range { first: FIRST_PORT + PORTS, count: SOAK_PORTS, next: AtomicU16::new(0), _claim: None };
    // Fails only if the range is chosen already.
    let _ = RANGE.set(range);
}

/// A free address on loopback, handed out once in this process.
pub fn free_address() -> Result<String> {
    let range = RANGE.get_or_init(|| {
        let (start, _claim) = claim();
        Range { first: FIRST_PORT, count: PORTS, next: AtomicU16::new(start), _claim }
    });
    for _ in 0..range.count {
        let port = range.first + range.next.fetch_add(1, Ordering::Relaxed) % range.count;
        // Asked by connecting: a listener of ours would live on for a moment in a child that another
        // thread forks just then, and be found in the way.
        if TcpStream::connect(("127.0.0.1", port)).is_err() {
            return Ok(format!("127.0.0.1:{port}"));
        }
    }
    bail!("step=find-port: no free port")
}

/// Where this process starts to look for ports, and what keeps others from starting there: of two that look for free ports
/// at the same time in the same place both find the same ones free.
fn claim() -> (u16, Option<TcpListener>) {
    let places = PORTS / PORTS_APART;
    let own = (std::process::id() % u32::from(places)) as u16;
    let starts = (0..places).map(|further| (own + further) % places * PORTS_APART);
    let claims = starts.map(|start| (start, TcpListener::bind(("127.0.0.1", FIRST_PORT + start)).ok()));
    let mut claimed = claims.filter(|(_, claim)| claim.is_some());
    claimed.next().unwrap_or((own * PORTS_APART, None))
}

/// The binary `name` beside the one that runs, or beside the folder of test binaries.
pub fn binary(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe().wrap_err("step=find-binary")?;
    let found = own.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|path| path.is_file());
    found.ok_or_else(|| {
        eyre!("step=find-binary: no {name} beside {}; run `cargo build --workspace` first", own.display())
    })
}
