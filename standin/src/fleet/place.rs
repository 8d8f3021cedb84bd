//! Finds the binaries of a fleet's processes and assigns their ports.

use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

use eyre::{Result, WrapErr, bail, eyre};

/// First port of fleets. Their ports lie below the range from which the system assigns ports to outgoing
/// connections, so that an assigned port stays free until a process listens on it.
const FIRST_PORT: u16 = 10_000;
/// Number of ports available to fleets, from [`FIRST_PORT`] on.
const PORTS: u16 = 20_000;
/// Distance between the ports at which two concurrent processes start to search. Each process listens on the first
/// port of its block to reserve the block.
const PORTS_APART: u16 = 500;

/// Number of ports available to soaks. They lie above those of fleets, because the entries of a soak go down at
/// times and a concurrent test must not take their ports as free.
const SOAK_PORTS: u16 = 2_000;

/// Ports from which this process assigns addresses.
struct Range {
    first: u16,
    count: u16,
    next: AtomicU16,
    /// Listener that reserves this process's block of ports until the process exits.
    _claim: Option<TcpListener>,
}

static RANGE: OnceLock<Range> = OnceLock::new();

/// Selects the port range of soaks for this process. Has no effect once an address was assigned.
pub fn use_soak_ports() {
    let range = Range { first: FIRST_PORT + PORTS, count: SOAK_PORTS, next: AtomicU16::new(0), _claim: None };
    // Fails only if a range is already selected.
    let _ = RANGE.set(range);
}

/// Returns a free loopback address. Within a process, an address repeats only after all ports of the range.
pub fn free_address() -> Result<String> {
    let range = RANGE.get_or_init(|| {
        let (start, _claim) = claim();
        Range { first: FIRST_PORT, count: PORTS, next: AtomicU16::new(start), _claim }
    });
    for _ in 0..range.count {
        let port = range.first + range.next.fetch_add(1, Ordering::Relaxed) % range.count;
        // The check connects instead of binding, because a child process that another thread forks at the same time
        // inherits a bound listener and briefly keeps the port in use.
        if TcpStream::connect(("127.0.0.1", port)).is_err() {
            return Ok(format!("127.0.0.1:{port}"));
        }
    }
    bail!("step=find-port: every port of the range is in use")
}

/// Reserves a block of ports and returns the offset of its first port and the listener that holds the reservation.
/// Two processes that searched the same block at the same time would find the same ports free.
fn claim() -> (u16, Option<TcpListener>) {
    let places = PORTS / PORTS_APART;
    let own = (std::process::id() % u32::from(places)) as u16;
    let starts = (0..places).map(|further| (own + further) % places * PORTS_APART);
    let claims = starts.map(|start| (start, TcpListener::bind(("127.0.0.1", FIRST_PORT + start)).ok()));
    let mut claimed = claims.filter(|(_, claim)| claim.is_some());
    claimed.next().unwrap_or((own * PORTS_APART, None))
}

/// Returns the path of the binary `name` in the directory of the current executable or in the parent directory,
/// which holds the binaries when the current executable is a test.
pub fn binary(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe().wrap_err("step=find-binary")?;
    let found = own.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|path| path.is_file());
    found.ok_or_else(|| {
        eyre!("step=find-binary: no {name} beside {}; run `cargo build --workspace` first", own.display())
    })
}
