//! The `sorrelpass` binary: the entries, the sidecars and the operators' tools, each as a subcommand.

#![recursion_limit = "256"]

mod body_tracker;
mod channel;
mod cmd;
mod config;
mod connection;
mod entry;
mod failure;
mod gateway;
mod holder;
mod http;
mod lingering_close;
mod metric;
mod platform;
mod plugin;
mod request_body;
mod secret;
mod sidecar;
mod timeline;
mod util;
mod wire;

fn main() -> std::process::ExitCode {
    cmd::main()
}
