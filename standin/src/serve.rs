//! HTTP listener shared by all stand-ins.

use std::net::SocketAddr;

use axum::Router;
use axum::serve::ListenerExt;
use eyre::{Result, WrapErr};
use tokio::net::TcpListener;

/// Serves `router` on `address` for the life of the process.
pub async fn run(address: SocketAddr, router: Router) -> Result<()> {
    let listener = TcpListener::bind(address).await.wrap_err_with(|| format!("step=listen address={address}"))?;
    // Without TCP_NODELAY the first token waits for the peer's delayed acknowledgement, about 40 ms.
    let listener = listener.tap_io(|stream| drop(stream.set_nodelay(true)));
    axum::serve(listener, router).await.wrap_err("step=serve")
}
