//! Loopback TCP proxy in front of one process. It injects network faults: delays, resets, and loss in one or both
//! directions.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of the buffer from which bytes are forwarded.
const BUFFER_BYTES: usize = 16 * 1_024;

/// Bounds the attempts to bind a port again; another process's connection can occupy the port for a moment.
pub(super) const MAX_BIND_ATTEMPTS: u32 = 100;
/// Time between two attempts to bind a port.
pub(super) const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Network fault that the proxy injects on all its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NetworkFault {
    /// Bytes are forwarded unchanged.
    #[default]
    None,
    /// Each forwarded buffer is delayed by this time.
    Delay(Duration),
    /// New connections are reset at once, open ones as soon as a byte or a close arrives.
    Reset,
    /// Bytes from the client to the server are dropped.
    DropForward,
    /// Bytes from the server to the client are dropped.
    DropBackward,
    /// Bytes are dropped in both directions.
    Blackhole,
}

/// Direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    /// From the client to the server.
    Forward,
    /// From the server to the client.
    Backward,
}

impl NetworkFault {
    /// Returns whether bytes in this direction are dropped.
    fn drops(self, direction: Direction) -> bool {
        match self {
            NetworkFault::Blackhole => true,
            NetworkFault::DropForward => direction == Direction::Forward,
            NetworkFault::DropBackward => direction == Direction::Backward,
            _ => false,
        }
    }
}

/// Proxy in front of one server address.
pub struct Proxy {
    /// Address on which the proxy listens, `ip:port`.
    pub address: String,
    fault: Mutex<NetworkFault>,
    /// Whether the proxy listens. It stops while its server is down, so that connections are refused as by a process
    /// that has exited.
    is_listening: watch::Sender<bool>,
    /// Whether streamed answers are delimited by the end of the connection.
    is_unframed: AtomicBool,
}

impl Proxy {
    /// Starts a proxy on a free loopback port in front of `target` (`ip:port`).
    pub async fn start(target: String) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let proxy = Arc::new(Self {
            address,
            fault: Mutex::default(),
            is_listening: watch::Sender::new(true),
            is_unframed: AtomicBool::new(false),
        });
        tokio::spawn(proxy.clone().serve(listener, target));
        Ok(proxy)
    }

    /// Sets the fault for present and future connections.
    pub fn set_fault(&self, fault: NetworkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Sets whether the proxy accepts new connections; while it does not, its port refuses them.
    pub fn set_listening(&self, is_listening: bool) {
        self.is_listening.send_replace(is_listening);
    }

    /// Delimits the server's streamed answers by the end of the connection, without a length or chunks. The proxy
    /// forwards the first request of each connection as HTTP/1.0 and its answer as HTTP/1.1.
    pub fn set_unframed(&self) {
        self.is_unframed.store(true, Ordering::Relaxed);
    }

    /// Replaces the HTTP version at the start of a connection's bytes if answers are to be unframed.
    fn translate_head(&self, bytes: &mut [u8], direction: Direction) {
        let (old, new) = match direction {
            Direction::Forward => (b"HTTP/1.1", b"HTTP/1.0"),
            Direction::Backward => (b"HTTP/1.0", b"HTTP/1.1"),
        };
        if !self.is_unframed.load(Ordering::Relaxed) {
            return;
        }
        if let Some(at) = bytes.windows(old.len()).position(|window| window == old) {
            bytes[at..at + new.len()].copy_from_slice(new);
        }
    }

    fn fault(&self) -> NetworkFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts connections, and closes and reopens the listener as [`Proxy::set_listening`] demands.
    async fn serve(self: Arc<Self>, listener: TcpListener, target: String) {
        let target: SocketAddr = match target.parse() {
            Ok(target) => target,
            Err(error) => return eprintln!("step=start-proxy target={target}: invalid address: {error}"),
        };
        let mut is_listening = self.is_listening.subscribe();
        let mut listener = listener;
        loop {
            tokio::select! {
                () = self.accept(&listener, target) => return,
                _ = is_listening.wait_for(|is_listening| !is_listening) => {}
            }
            drop(listener);
            // Fails only if the sender is dropped, but `self` owns the sender.
            let _ = is_listening.wait_for(|is_listening| *is_listening).await;
            listener = match bind(&self.address).await {
                Ok(listener) => listener,
                Err(error) => return eprintln!("step=listen-again address={}: bind failed: {error}", self.address),
            };
        }
    }

    /// Accepts connections until `accept` fails.
    async fn accept(self: &Arc<Self>, listener: &TcpListener, target: SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(self.clone().handle_connection(client, target));
        }
    }

    /// Forwards one connection until either side closes it or a fault resets it.
    async fn handle_connection(self: Arc<Self>, client: TcpStream, target: SocketAddr) {
        if self.fault() == NetworkFault::Reset {
            return reset_on_close(&client);
        }
        // If the server process has exited, closing the client's connection stands for a refused connection.
        let Ok(server) = TcpStream::connect(target).await else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let termination = tokio::select! {
            termination = self.forward(&mut from_client, &mut to_server, Direction::Forward) => termination,
            termination = self.forward(&mut from_server, &mut to_client, Direction::Backward) => termination,
        };
        if termination == Termination::Reset {
            reset_on_close(from_client.as_ref());
            reset_on_close(from_server.as_ref());
            // A write half that is dropped closes its connection in order, before the reset.
            to_client.forget();
            to_server.forget();
        }
    }

    /// Forwards bytes in one direction. The end of either direction ends the connection, since neither side uses
    /// half-open connections.
    async fn forward(&self, from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf, direction: Direction) -> Termination {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut has_lost_bytes = false;
        let mut is_first = true;
        loop {
            let Ok(read) = from.read(&mut buffer).await else { return Termination::Reset };
            if std::mem::take(&mut is_first) {
                self.translate_head(&mut buffer[..read], direction);
            }
            let fault = self.fault();
            match fault {
                NetworkFault::Reset => return Termination::Reset,
                NetworkFault::Delay(delay) => tokio::time::sleep(delay).await,
                _ => {}
            }
            has_lost_bytes |= read > 0 && fault.drops(direction);
            if has_lost_bytes && !fault.drops(direction) {
                // TCP never delivers a stream with missing bytes, so the connection must not continue.
                return Termination::Reset;
            }
            if read == 0 && !has_lost_bytes {
                return Termination::Closed;
            }
            if read == 0 {
                // A network that drops bytes drops the FIN as well, so the close is not forwarded while the fault
                // lasts.
                while self.fault().drops(direction) {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                return Termination::Reset;
            }
            if !has_lost_bytes && to.write_all(&buffer[..read]).await.is_err() {
                return Termination::Closed;
            }
        }
    }
}

/// Binds an address again. Retries, since another process's connection can occupy the port for a moment.
pub(super) async fn bind(address: &str) -> std::io::Result<TcpListener> {
    for _ in 0..MAX_BIND_ATTEMPTS {
        if let Ok(listener) = TcpListener::bind(address).await {
            return Ok(listener);
        }
        tokio::time::sleep(BIND_RETRY_DELAY).await;
    }
    TcpListener::bind(address).await
}

/// Manner in which a connection terminates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Termination {
    /// Orderly close.
    Closed,
    /// Reset of the connections on both sides.
    Reset,
}

/// Makes the later close of a connection send a reset.
fn reset_on_close(stream: &TcpStream) {
    // If the option cannot be set, the close is orderly, which is a fault for the peer as well.
    let _ = stream.set_zero_linger();
}
