//! A loopback proxy in front of one process: connections are delayed, reset, cut one way or silenced.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes passed on at once.
const CHUNK: usize = 16 * 1_024;

/// Tries to listen again at a port, and the pause between two.
pub(super) const BIND_TRIES: u32 = 100;
pub(super) const BIND_PAUSE: Duration = Duration::from_millis(20);

/// What happens to bytes on the way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// They pass.
    #[default]
    Open,
    /// They come this much later.
    Delayed(Duration),
    /// Connections are reset as soon as anything moves.
    Reset,
    /// What callers send is lost.
    CutForward,
    /// What comes back is lost.
    CutBack,
    /// Both are lost.
    Silent,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Forward,
    Back,
}

impl Way {
    fn loses(self, direction: Direction) -> bool {
        match self {
            Way::Silent => true,
            Way::CutForward => direction == Direction::Forward,
            Way::CutBack => direction == Direction::Back,
            _ => false,
        }
    }
}

/// A proxy in front of one address.
pub struct Proxy {
    /// Where it listens, `ip:port`.
    pub address: String,
    way: Mutex<Way>,
    /// Whether it listens: the port of a process that ended refuses.
    listens: watch::Sender<bool>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub async fn start(target: String) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let proxy = Arc::new(Self { address, way: Mutex::default(), listens: watch::Sender::new(true) });
        tokio::spawn(proxy.clone().serve(listener, target));
        Ok(proxy)
    }

    /// Sets what happens to bytes from now on.
    pub fn set(&self, way: Way) {
        *self.way.lock().unwrap_or_else(PoisonError::into_inner) = way;
    }

    /// Sets whether it listens.
    pub fn listen(&self, listens: bool) {
        self.listens.send_replace(listens);
    }

    fn way(&self) -> Way {
        *self.way.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self: Arc<Self>, listener: TcpListener, target: String) {
        let target: SocketAddr = match target.parse() {
            Ok(target) => target,
            Err(error) => return eprintln!("step=start-proxy target={target}: {error}"),
        };
        let mut listens = self.listens.subscribe();
        let mut listener = listener;
        loop {
            tokio::select! {
                () = self.accept(&listener, target) => return,
                _ = listens.wait_for(|listens| !listens) => {}
            }
            drop(listener);
            // Fails only if the sender is gone, which lives as long as this.
            let _ = listens.wait_for(|listens| *listens).await;
            listener = match bind(&self.address).await {
                Ok(listener) => listener,
                Err(error) => return eprintln!("step=listen-again address={}: {error}", self.address),
            };
        }
    }

    /// Takes connections until that fails.
    async fn accept(self: &Arc<Self>, listener: &TcpListener, target: SocketAddr) {
        while let Ok((caller, _)) = listener.accept().await {
            tokio::spawn(self.clone().connection(caller, target));
        }
    }

    /// Passes one connection on until either side, or the way, ends it.
    async fn connection(self: Arc<Self>, caller: TcpStream, target: SocketAddr) {
        if self.way() == Way::Reset {
            return reset(&caller);
        }
        // A caller of a process that is gone finds its connection closed, as it would find it refused.
        let Ok(served) = TcpStream::connect(target).await else { return };
        let _ = (caller.set_nodelay(true), served.set_nodelay(true));
        let (from_caller, to_caller) = caller.into_split();
        let (from_served, to_served) = served.into_split();
        let ended = tokio::select! {
            ended = self.pass(from_caller, to_served, Direction::Forward) => ended,
            ended = self.pass(from_served, to_caller, Direction::Back) => ended,
        };
        if let Ended::Reset(stream) = ended {
            reset(stream.as_ref().as_ref());
        }
    }

    /// Passes bytes on one way. A side that closes closes both: nobody here uses half-open connections.
    async fn pass(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Direction) -> Ended {
        let mut chunk = vec![0; CHUNK];
        let mut lost = false;
        loop {
            let Ok(read) = from.read(&mut chunk).await else { return Ended::Reset(Box::new(from)) };
            let way = self.way();
            match way {
                Way::Reset => return Ended::Reset(Box::new(from)),
                Way::Delayed(by) => tokio::time::sleep(by).await,
                _ => {}
            }
            lost |= read > 0 && way.loses(direction);
            if lost && !way.loses(direction) {
                // A stream with a hole in it must not go on.
                return Ended::Reset(Box::new(from));
            }
            if read == 0 && !lost {
                return Ended::Closed;
            }
            if read == 0 {
                // The other side does not hear of the close either, as long as the cut lasts.
                while self.way().loses(direction) {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                return Ended::Reset(Box::new(from));
            }
            if !lost && to.write_all(&chunk[..read]).await.is_err() {
                return Ended::Closed;
            }
        }
    }
}

/// Listens at an address again; a connection of someone else may have its port for a moment.
async fn bind(address: &str) -> std::io::Result<TcpListener> {
    for _ in 0..BIND_TRIES {
        if let Ok(listener) = TcpListener::bind(address).await {
            return Ok(listener);
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
    TcpListener::bind(address).await
}

/// How a connection ended.
enum Ended {
    Closed,
    Reset(Box<OwnedReadHalf>),
}

/// Makes the close of a connection a reset.
fn reset(stream: &TcpStream) {
    // Without it the close is an orderly one, which is a fault as well.
    let _ = stream.set_zero_linger();
}
