//! Listening, shared by all stand-ins.

use std::net::SocketAddr;

use axum::Router;
use eyre::{Result, WrapErr};
use tokio::net::TcpListener;

/// Serves `router` on `address` for the life of the process.
pub async fn forever(address: SocketAddr, router: Router) -> Result<()> {
    let listener = TcpListener::bind(address).await.wrap_err_with(|| format!("step=listen address={address}"))?;
    axum::serve(listener, router).await.wrap_err("step=serve")
}
