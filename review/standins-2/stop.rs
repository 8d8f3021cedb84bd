//! Case 6: an entry gets SIGTERM while it passes on answers of 1 MiB to clients that read 170 KB a second. Each answer
//! needs some 6 s, and the entry has 8 s.

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::os::fd::{FromRawFd, RawFd};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Request};
use crate::site::{self, Record, Site};

/// Time that a replica takes for a request.
const WORK: Duration = Duration::from_millis(60);
/// Length of an answer.
const ANSWER_BYTES: usize = 1 << 20;
/// Number of clients that read slowly.
const SLOW_CLIENTS: usize = 6;
/// Bytes that a client reads at a time, and the pause between.
const PIECE: usize = 16 << 10;
const PAUSE: Duration = Duration::from_millis(95);
/// Largest segment of a client on a usual network; a loopback connection has 64 KB, and buffers to match.
const SEGMENT_BYTES: i32 = 1_400;
/// Receive buffer of a client.
const RECEIVE_BUFFER_BYTES: i32 = 64 << 10;
/// Time limit of a request; the route's timeout is the same.
const DEADLINE: Duration = Duration::from_secs(10);
/// Time from the requests to the SIGTERM.
const BEFORE_STOP: Duration = Duration::from_millis(500);
/// Time from SIGTERM to SIGKILL (`grace_s`).
const GRACE: Duration = Duration::from_secs(8);

/// Settings of a `front` machine of kds-sign-grown that differ from those of the other cases.
const FIELDS: [(&str, &str); 6] = [
    ("contracts", "base,drain,config,cost,retry,recover,health,pool,engine,stream,tenants,places,pressure,platform,spans"),
    ("limits.cpu_share", "0.5"),
    ("limits.memory_mb", "512"),
    ("limits.link_mbps", "200"),
    ("bounds.drain_ms", "3000"),
    ("bounds.config_apply_ms", "3000"),
];

/// What a client got.
struct Got {
    id: String,
    status_line: String,
    body_bytes: usize,
    sent: Instant,
    ended: Instant,
}

/// Runs the case. Returns the exit status.
pub fn run(has_trouble: bool, record: &mut Record) -> i32 {
    let Some(mut site) = Site::start("stop", WORK, ANSWER_BYTES, &FIELDS) else {
        record.line("the entry did not become ready");
        return 2;
    };
    thread::sleep(Duration::from_secs(1));
    let readers: Vec<_> = (0..SLOW_CLIENTS)
        .map(|number| {
            let address = site.entry.address.clone();
            thread::spawn(move || read_slowly(number, &address))
        })
        .collect();
    thread::sleep(BEFORE_STOP);
    let started = site.started;
    let seconds = move |at: Instant| at.duration_since(started).as_secs_f64();
    let mut stopped_at = None;
    if has_trouble {
        let at = Instant::now();
        site.entry.terminate();
        record.line(&format!("SIGTERM at {:.3} s", seconds(at)));
        while !site.entry.has_ended() && at.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(5));
        }
        let ended = Instant::now();
        let by_itself = site.entry.has_ended();
        record.line(&format!("entry ended {:.3} s after it, by itself: {by_itself}", ended.duration_since(at).as_secs_f64()));
        if !by_itself {
            site.entry.kill();
        }
        stopped_at = Some(at);
        thread::sleep(Duration::from_millis(300));
        site.entry.start();
    }
    let got: Vec<Got> = readers.into_iter().filter_map(|reader| reader.join().expect("client")).collect();
    let is_serving = site.entry.wait_until_ready() && serves(&site.entry.address);
    let runs: HashSet<String> = site.runs().into_iter().map(|run| run.id).collect();
    let mut broken = 0;
    for got in &got {
        let took = got.ended.duration_since(got.sent);
        let is_complete = got.body_bytes == ANSWER_BYTES;
        let has_run = runs.contains(&got.id);
        record.line(&format!(
            "sent {:.3} id {} run {has_run} answer {:?} bytes {} of {ANSWER_BYTES}, closed or complete after {:.3} s",
            seconds(got.sent),
            got.id,
            got.status_line,
            got.body_bytes,
            took.as_secs_f64()
        ));
        let is_planned = stopped_at.is_none_or(|at| got.ended < at + GRACE + Duration::from_secs(1));
        if !is_complete && has_run && took < DEADLINE && is_planned {
            broken += 1;
            record.line(&format!("BROKEN: the answer to {} was cut off", got.id));
        }
    }
    record.line(&format!("answers: {} asked, {} came, {broken} cut off; entry serves afterwards: {is_serving}", SLOW_CLIENTS, got.len()));
    if got.len() < SLOW_CLIENTS || !is_serving || got.iter().any(|got| !runs.contains(&got.id)) {
        return 2;
    }
    i32::from(broken > 0)
}

/// Returns whether the entry serves a small request.
fn serves(address: &str) -> bool {
    let path = "/permit/7".to_owned();
    let request =
        Request { method: "GET", path, id: "after00000000001".to_owned(), key: site::key(2, 0), deadline_ms: 4_000, body: Vec::new() };
    Client::new(address).send(&request).is_some_and(|outcome| outcome.status == 200 && outcome.is_complete)
}

/// Asks for an answer and reads it piece by piece until the connection ends.
fn read_slowly(number: usize, address: &str) -> Option<Got> {
    let id = format!("51ow{number:012x}");
    let path = format!("/yearbook/{number}");
    let key = site::key(number % site::TENANTS, 0);
    let request = Request { method: "GET", path, id: id.clone(), key, deadline_ms: DEADLINE.as_millis() as u64, body: Vec::new() };
    let mut stream = connect(address)?;
    stream.set_read_timeout(Some(DEADLINE)).ok()?;
    let sent = Instant::now();
    stream.write_all(request.head().as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let mut piece = vec![0; PIECE];
    loop {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(count) => bytes.extend(&piece[..count]),
        }
        if body_length(&bytes) >= ANSWER_BYTES {
            break;
        }
        thread::sleep(PAUSE);
    }
    let line_end = bytes.iter().position(|byte| *byte == b'\r').unwrap_or(0);
    let status_line = String::from_utf8_lossy(&bytes[..line_end]).into_owned();
    Some(Got { id, status_line, body_bytes: body_length(&bytes), sent, ended: Instant::now() })
}

/// Returns the number of bytes behind the head.
fn body_length(bytes: &[u8]) -> usize {
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    head_end.map_or(0, |end| bytes.len() - end - 4)
}

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: u16,
    address: u32,
    padding: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> RawFd;
    fn setsockopt(socket: RawFd, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    #[link_name = "connect"]
    fn connect_socket(socket: RawFd, address: *const SocketAddress, length: u32) -> i32;
}

/// Connects with the segment size and the receive buffer of a client on a usual network.
fn connect(address: &str) -> Option<TcpStream> {
    const INET: i32 = 2;
    const STREAM: i32 = 1;
    const CLOSE_ON_EXEC: i32 = 0o2_000_000;
    const SOCKET_LEVEL: i32 = 1;
    const RECEIVE_BUFFER: i32 = 8;
    const TCP_LEVEL: i32 = 6;
    const MAX_SEGMENT: i32 = 2;
    let address: SocketAddrV4 = address.parse().ok()?;
    let target = SocketAddress {
        family: INET as u16,
        port: address.port().to_be(),
        address: u32::from_ne_bytes(address.ip().octets()),
        padding: [0; 8],
    };
    // SAFETY: the descriptor is new and owned by the returned stream; all pointers are to live values of these sizes.
    unsafe {
        let descriptor = socket(INET, STREAM | CLOSE_ON_EXEC, 0);
        if descriptor < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(descriptor, SOCKET_LEVEL, RECEIVE_BUFFER, &RECEIVE_BUFFER_BYTES, 4);
        setsockopt(descriptor, TCP_LEVEL, MAX_SEGMENT, &SEGMENT_BYTES, 4);
        (connect_socket(descriptor, &target, 16) == 0).then_some(stream)
    }
}
