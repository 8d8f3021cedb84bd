//! Runs a single stand-in.
//!
//! Usage:
//!   standin engine --listen IP:PORT [--speed X] [--prefill N] [--memory N] [--slots N] [--no-fence]
//!   standin service --listen IP:PORT [--name NAME] [--takes-ms N]
//!   standin log --listen IP:PORT [--appends-per-s N] [--retention-ms N]
//!   standin vms --listen IP:PORT [--lag-ms N]
//!   standin weights --listen IP:PORT [--takes-ms N] [--at-once N]
//!
//! Each stand-in serves a small HTTP API; all but the weight store accept fault injection at POST /fault.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::Result;
use standin::engine::model::Capacity;
use standin::engine::server::{self, Engine};
use standin::{log as log_standin, serve, service as service_standin, vms as vms_standin, weights as weights_standin};

/// Interval at which an engine refreshes the load that it reports.
const LOAD_REPORT_DELAY: Duration = Duration::from_millis(200);

/// Arguments of `engine`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(engine_args))]
pub struct EngineArgs {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Factor by which the engine runs faster than real time
    #[bpaf(argument("X"), fallback(1.0))]
    speed: f64,
    /// Prefill rate, in prompt tokens per second
    #[bpaf(argument("N"), fallback(30_000.0))]
    prefill: f64,
    /// KV memory, in tokens
    #[bpaf(argument("N"), fallback(400_000))]
    memory: u64,
    /// Maximum number of concurrent sequences
    #[bpaf(argument("N"), fallback(64))]
    slots: usize,
    /// Accept load and role orders whatever their fence
    no_fence: bool,
}

/// Runs an engine stand-in.
pub async fn engine(args: EngineArgs) -> Result<()> {
    let engine_capacity = Capacity {
        speed: args.speed,
        prefill_per_s: args.prefill,
        memory: args.memory,
        slots: args.slots,
        ..Capacity::default()
    };
    let engine = Engine::new(engine_capacity, !args.no_fence, LOAD_REPORT_DELAY);
    tokio::spawn(engine.clone().run());
    serve::run(args.listen, server::router(engine)).await
}

/// Arguments of `service`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(service_args))]
pub struct ServiceArgs {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Service name returned in responses
    #[bpaf(argument("NAME"), fallback("service".to_owned()))]
    name: String,
    /// Duration of a call, in milliseconds
    #[bpaf(argument("N"), fallback(5))]
    takes_ms: u64,
}

/// Runs a plain service stand-in.
pub async fn service(args: ServiceArgs) -> Result<()> {
    let service = service_standin::Service::new(&args.name, Duration::from_millis(args.takes_ms));
    serve::run(args.listen, service_standin::router(service)).await
}

/// Arguments of `log`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(log_args))]
pub struct LogArgs {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Append limit per second, over all streams
    #[bpaf(argument("N"), fallback(300.0))]
    appends_per_s: f64,
    /// Retention period of records, in milliseconds
    #[bpaf(argument("N"), fallback(86_400_000))]
    retention_ms: u64,
}

/// Runs an append-only log stand-in.
pub async fn log(args: LogArgs) -> Result<()> {
    let limits = log_standin::Limits {
        appends_per_s: args.appends_per_s,
        retention: Duration::from_millis(args.retention_ms),
        ..log_standin::Limits::default()
    };
    serve::run(args.listen, log_standin::router(log_standin::Log::new(limits))).await
}

/// Arguments of `vms`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(vms_args))]
pub struct VmsArgs {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Delay until a change shows in the list, in milliseconds
    #[bpaf(argument("N"), fallback(500))]
    lag_ms: u64,
}

/// Runs a VM list stand-in.
pub async fn vms(args: VmsArgs) -> Result<()> {
    let vms = vms_standin::Vms::new(Duration::from_millis(args.lag_ms));
    serve::run(args.listen, vms_standin::router(vms)).await
}

/// Arguments of `weights`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(weights_args))]
pub struct WeightsArgs {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Duration of a load, in milliseconds
    #[bpaf(argument("N"), fallback(500))]
    takes_ms: u64,
    /// Maximum number of concurrent loads
    #[bpaf(argument("N"), fallback(2))]
    at_once: usize,
}

/// Runs a weight store stand-in.
pub async fn weights(args: WeightsArgs) -> Result<()> {
    let weights = weights_standin::Weights::new(Duration::from_millis(args.takes_ms), args.at_once);
    serve::run(args.listen, weights_standin::router(weights)).await
}
