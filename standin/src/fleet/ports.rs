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
const FLEET_PORT_COUNT: u16 = 20_000;
/// Distance between the ports at which two concurrent processes start to search. Each process listens on the first
/// port of its block to reserve the block.
const PORT_BLOCK_SIZE: u16 = 500;

/// Number of ports available to soaks. They lie above those of fleets, because the entries of a soak go down at
/// times and a concurrent test must not take their ports as free.
const SOAK_PORT_COUNT: u16 = 2_000;

/// Ports from which this process assigns addresses.
struct PortRange {
    first: u16,
    count: u16,
    next_offset: AtomicU16,
    /// Listener that reserves this process's block of ports until the process exits.
    _reservation: Option<TcpListener>,
}

static PORT_RANGE: OnceLock<PortRange> = OnceLock::new();

/// Selects the port range of soaks for this process. Has no effect once an address was assigned.
pub fn use_soak_ports() {
    let range = PortRange {
        first: FIRST_PORT + FLEET_PORT_COUNT,
        count: SOAK_PORT_COUNT,
        next_offset: AtomicU16::new(0),
        _reservation: None,
    };
    // Fails only if a range is already selected.
    let _ = PORT_RANGE.set(range);
}

/// Returns a free loopback address. Within a process, an address repeats only after all ports of the range.
pub fn allocate_address() -> Result<String> {
    let range = PORT_RANGE.get_or_init(|| {
        let (offset, _reservation) = reserve_block();
        PortRange { first: FIRST_PORT, count: FLEET_PORT_COUNT, next_offset: AtomicU16::new(offset), _reservation }
    });
    for _ in 0..range.count {
        let port = range.first + range.next_offset.fetch_add(1, Ordering::Relaxed) % range.count;
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
fn reserve_block() -> (u16, Option<TcpListener>) {
    let block_count = FLEET_PORT_COUNT / PORT_BLOCK_SIZE;
    let preferred_block = (std::process::id() % u32::from(block_count)) as u16;
    let offsets = (0..block_count).map(|distance| (preferred_block + distance) % block_count * PORT_BLOCK_SIZE);
    let attempts = offsets.map(|offset| (offset, TcpListener::bind(("127.0.0.1", FIRST_PORT + offset)).ok()));
    let mut reserved = attempts.filter(|(_, listener)| listener.is_some());
    reserved.next().unwrap_or((preferred_block * PORT_BLOCK_SIZE, None))
}

/// Returns the path of the binary `name` in the directory of the current executable or in the parent directory,
/// which holds the binaries when the current executable is a test.
pub fn find_binary(name: &str) -> Result<PathBuf> {
    let current_exe = std::env::current_exe().wrap_err("step=find-binary")?;
    let found = current_exe.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|path| path.is_file());
    found.ok_or_else(|| {
        eyre!("step=find-binary: no {name} beside {}; run `cargo build --workspace` first", current_exe.display())
    })
}
