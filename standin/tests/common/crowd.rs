//! Crowds of clients that hold what a process gives them, and the peak of what the process needed meanwhile.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinHandle;

/// Clients of a crowd that goes for memory.
pub const CROWD: usize = 40;
/// Clients of a crowd that goes for descriptors.
pub const DESCRIPTOR_CROWD: usize = 1_000;
/// Descriptors that each process has.
pub const DESCRIPTORS: u64 = 900;
/// Time for which a crowd is left to send what it sends.
pub const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Time after which an ordinary caller counts as not answered.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the peak is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes that a client writes at once.
const WRITE_BYTES: usize = 16 << 10;

static ALONE: Mutex<()> = Mutex::const_new(());

/// Waits until no other crowd of this test binary runs: a crowd is measured apart from other load.
pub async fn run_alone() -> MutexGuard<'static, ()> {
    ALONE.lock().await
}

/// Runs `start` while processes that it starts inherit a limit of `files` descriptors.
pub async fn with_descriptor_limit<T>(files: u64, start: impl Future<Output = T>) -> T {
    let own = getrlimit(Resource::Nofile);
    setrlimit(Resource::Nofile, Rlimit { current: Some(files), maximum: own.maximum }).expect("the limit is lowered");
    let started = start.await;
    setrlimit(Resource::Nofile, Rlimit { current: own.maximum, maximum: own.maximum }).expect("the limit is raised");
    started
}

/// What each client of a crowd does after it has connected.
#[derive(Clone)]
pub struct Client {
    /// Bytes that it sends first.
    pub head: Vec<u8>,
    /// Bytes that it sends next, over and over.
    pub piece: Vec<u8>,
    /// Number of times that it sends `piece`.
    pub pieces: usize,
    /// Bytes that it sends last, at this interval until it is dropped.
    pub drip: Option<(Vec<u8>, Duration)>,
    /// Whether it reads what it is answered.
    pub reads: bool,
    /// Whether it connects again when its connection is closed.
    pub returns: bool,
}

impl Client {
    /// Sends `head` and holds the connection.
    pub fn new(head: impl Into<Vec<u8>>) -> Self {
        Self { head: head.into(), piece: Vec::new(), pieces: 0, drip: None, reads: true, returns: false }
    }

    /// Sends `piece` `pieces` times after the head.
    pub fn then(mut self, piece: impl Into<Vec<u8>>, pieces: usize) -> Self {
        self.piece = piece.into();
        self.pieces = pieces;
        self
    }

    /// Sends `bytes` at an interval after all else.
    pub fn dripping(mut self, bytes: &[u8], interval: Duration) -> Self {
        self.drip = Some((bytes.to_vec(), interval));
        self
    }

    /// Never reads.
    pub fn deaf(mut self) -> Self {
        self.reads = false;
        self
    }

    /// Connects again when its connection is closed.
    pub fn returning(mut self) -> Self {
        self.returns = true;
        self
    }
}

/// Clients that stay connected until this is dropped.
pub struct Crowd {
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Connects `count` clients to `address`.
    pub fn start(address: &str, count: usize, client: &Client) -> Self {
        let clients = (0..count).map(|_| tokio::spawn(run_client(address.to_owned(), client.clone())));
        Self { clients: clients.collect() }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.clients.iter().for_each(JoinHandle::abort);
    }
}

async fn run_client(address: String, client: Client) {
    loop {
        if let Ok(stream) = TcpStream::connect(&address).await {
            run_connection(stream, &client).await;
        }
        if !client.returns {
            return;
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

async fn run_connection(stream: TcpStream, client: &Client) {
    let (mut reader, mut writer) = stream.into_split();
    let write = async {
        writer.write_all(&client.head).await?;
        let at_once = (WRITE_BYTES / client.piece.len().max(1)).clamp(1, client.pieces.max(1));
        let block = client.piece.repeat(at_once);
        for _ in 0..client.pieces / at_once {
            writer.write_all(&block).await?;
        }
        writer.write_all(&client.piece.repeat(client.pieces % at_once)).await?;
        let Some((bytes, interval)) = &client.drip else { return std::future::pending().await };
        loop {
            tokio::time::sleep(*interval).await;
            writer.write_all(bytes).await?;
        }
    };
    let read = async {
        let mut buffer = [0; 4_096];
        while client.reads && matches!(reader.read(&mut buffer).await, Ok(1..)) {}
        if !client.reads {
            std::future::pending::<()>().await;
        }
    };
    let _: Option<std::io::Result<()>> = tokio::select! {
        written = write => Some(written),
        () = read => None,
    };
}

/// Peak of what a process needed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Resident memory and the unread bytes of the process's listeners' connections together, in bytes.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Peak {
    /// Fails if the process needed more than a machine of `memory_mb` and [`DESCRIPTORS`] has.
    pub fn assert_within(self, memory_mb: u64) {
        println!("peak: {} MB, {} descriptors", self.memory_bytes >> 20, self.descriptors);
        assert!(self.memory_bytes <= memory_mb << 20, "{} MB of {memory_mb}", self.memory_bytes >> 20);
        assert!(self.descriptors <= DESCRIPTORS as usize, "{} descriptors of {DESCRIPTORS}", self.descriptors);
    }
}

/// Samples a process until it is closed.
pub struct Sampler {
    is_closed: Arc<AtomicBool>,
    thread: std::thread::JoinHandle<Peak>,
}

impl Sampler {
    /// Samples the process `pid`, which listens on `addresses`.
    pub fn start(pid: u32, addresses: &[&str]) -> Self {
        let ports: Vec<u16> =
            addresses.iter().filter_map(|address| Some(address.parse::<SocketAddr>().ok()?.port())).collect();
        let is_closed = Arc::new(AtomicBool::new(false));
        let thread = std::thread::spawn({
            let is_closed = is_closed.clone();
            move || {
                let mut peak = Peak::default();
                while !is_closed.load(Ordering::Relaxed) {
                    let memory_bytes = resident_bytes(pid) + unread_bytes(&ports);
                    peak.memory_bytes = peak.memory_bytes.max(memory_bytes);
                    peak.descriptors = peak.descriptors.max(count_descriptors(pid));
                    std::thread::sleep(SAMPLE_INTERVAL);
                }
                peak
            }
        });
        Self { is_closed, thread }
    }

    /// Stops sampling and returns the peak.
    pub fn close(self) -> Peak {
        self.is_closed.store(true, Ordering::Relaxed);
        self.thread.join().expect("the sampler ends")
    }
}

fn resident_bytes(pid: u32) -> u64 {
    standin::resource_usage::read_process(pid).map_or(0, |usage| usage.resident_bytes)
}

fn count_descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Returns the bytes that have arrived on connections to these ports and that their process has not read.
fn unread_bytes(ports: &[u16]) -> u64 {
    let text = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    text.lines().skip(1).filter_map(|line| unread_bytes_of(line, ports)).sum()
}

fn unread_bytes_of(line: &str, ports: &[u16]) -> Option<u64> {
    const ESTABLISHED: &str = "01";
    const CLOSE_WAIT: &str = "08";
    let fields: Vec<&str> = line.split_whitespace().collect();
    let port = u16::from_str_radix(fields.get(1)?.split_once(':')?.1, 16).ok()?;
    if !ports.contains(&port) || ![ESTABLISHED, CLOSE_WAIT].contains(fields.get(3)?) {
        return None;
    }
    u64::from_str_radix(fields.get(4)?.split_once(':')?.1, 16).ok()
}
