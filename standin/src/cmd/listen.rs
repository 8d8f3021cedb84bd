//! Runs one stand-in.
//!
//! Usage:
//!   standin engine --listen IP:PORT [--speed X] [--prefill N] [--memory N] [--slots N] [--no-fence]
//!   standin service --listen IP:PORT [--name NAME] [--takes-ms N]
//!   standin log --listen IP:PORT [--appends-per-s N] [--retention-ms N]
//!   standin vms --listen IP:PORT [--lag-ms N]
//!   standin weights --listen IP:PORT [--takes-ms N] [--at-once N]
//!
//! Each has a small HTTP form and takes faults at POST /fault.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::Result;
use standin::engine::model::Sizes;
use standin::engine::server::{self, Engine};
use standin::{log as log_standin, serve, service as service_standin, vms as vms_standin, weights as weights_standin};

/// How late an engine reports its load.
const LOAD_LAG: Duration = Duration::from_millis(200);

/// Arguments of `engine`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(engine_args))]
pub struct EngineArgs {
    /// Where to listen
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// How many times faster than real time to run
    #[bpaf(argument("X"), fallback(1.0))]
    speed: f64,
    /// Prompt tokens prefilled a second
    #[bpaf(argument("N"), fallback(30_000.0))]
    prefill: f64,
    /// KV memory in tokens
    #[bpaf(argument("N"), fallback(400_000))]
    memory: u64,
    /// Most sequences at once
    #[bpaf(argument("N"), fallback(64))]
    slots: usize,
    /// Take orders under any fence
    no_fence: bool,
}

/// Runs an engine stand-in.
pub async fn engine(args: EngineArgs) -> Result<()> {
    let sizes = Sizes {
        speed: args.speed,
        prefill_per_s: args.prefill,
        memory: args.memory,
        slots: args.slots,
        ..Sizes::default()
    };
    let engine = Engine::new(sizes, !args.no_fence, LOAD_LAG);
    tokio::spawn(engine.clone().run());
    serve::forever(args.listen, server::router(engine)).await
}

/// Arguments of `service`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(service_args))]
pub struct ServiceArgs {
    /// Where to listen
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Name to answer under
    #[bpaf(argument("NAME"), fallback("service".to_owned()))]
    name: String,
    /// How long a call takes, in milliseconds
    #[bpaf(argument("N"), fallback(5))]
    takes_ms: u64,
}

/// Runs a plain service stand-in.
pub async fn service(args: ServiceArgs) -> Result<()> {
    let service = service_standin::Service::new(&args.name, Duration::from_millis(args.takes_ms));
    serve::forever(args.listen, service_standin::router(service)).await
}

/// Arguments of `log`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(log_args))]
pub struct LogArgs {
    /// Where to listen
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Appends a second over all streams
    #[bpaf(argument("N"), fallback(300.0))]
    appends_per_s: f64,
    /// How long records are kept, in milliseconds
    #[bpaf(argument("N"), fallback(86_400_000))]
    retention_ms: u64,
}

/// Runs an append-only log stand-in.
pub async fn log(args: LogArgs) -> Result<()> {
    let sizes = log_standin::Sizes {
        appends_per_s: args.appends_per_s,
        retention: Duration::from_millis(args.retention_ms),
        ..log_standin::Sizes::default()
    };
    serve::forever(args.listen, log_standin::router(log_standin::Log::new(sizes))).await
}

/// Arguments of `vms`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(vms_args))]
pub struct VmsArgs {
    /// Where to listen
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// How late the list is, in milliseconds
    #[bpaf(argument("N"), fallback(500))]
    lag_ms: u64,
}

/// Runs a VM list stand-in.
pub async fn vms(args: VmsArgs) -> Result<()> {
    let vms = vms_standin::Vms::new(Duration::from_millis(args.lag_ms));
    serve::forever(args.listen, vms_standin::router(vms)).await
}

/// Arguments of `weights`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(weights_args))]
pub struct WeightsArgs {
    /// Where to listen
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// How long a load takes, in milliseconds
    #[bpaf(argument("N"), fallback(500))]
    takes_ms: u64,
    /// Loads at once
    #[bpaf(argument("N"), fallback(2))]
    at_once: usize,
}

/// Runs a weight store stand-in.
pub async fn weights(args: WeightsArgs) -> Result<()> {
    let weights = weights_standin::Weights::new(Duration::from_millis(args.takes_ms), args.at_once);
    serve::forever(args.listen, weights_standin::router(weights)).await
}
