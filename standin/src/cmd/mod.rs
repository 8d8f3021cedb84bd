//! Dispatches to the subcommands, one module each. The subcommands that run a single stand-in are in `listen`.

mod compare;
mod demo;
mod listen;
mod load;
mod overhead;
mod scale;
mod site_soak;
mod soak;

use std::process::ExitCode;

use bpaf::Bpaf;
use eyre::{Result, WrapErr};

/// Stand-ins for the platform, and the load and experiment tool
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    #[bpaf(command)]
    /// Runs an engine stand-in
    Engine(#[bpaf(external(listen::engine_args))] listen::EngineArgs),
    #[bpaf(command)]
    /// Runs a plain service stand-in
    Service(#[bpaf(external(listen::service_args))] listen::ServiceArgs),
    #[bpaf(command)]
    /// Runs an append-only log stand-in
    Log(#[bpaf(external(listen::log_args))] listen::LogArgs),
    #[bpaf(command)]
    /// Runs a VM list stand-in
    Vms(#[bpaf(external(listen::vms_args))] listen::VmsArgs),
    #[bpaf(command)]
    /// Runs a weight store stand-in
    Weights(#[bpaf(external(listen::weights_args))] listen::WeightsArgs),
    #[bpaf(command)]
    /// Starts a fleet, sends a deployment's workload and prints the results
    Demo(#[bpaf(external(demo::args))] demo::Args),
    #[bpaf(command)]
    /// Sends a workload to entries that are already running
    Load(#[bpaf(external(load::args))] load::Args),
    #[bpaf(command)]
    /// Compares pickers and queue orders under the same arrivals
    Compare(#[bpaf(external(compare::args))] compare::Args),
    #[bpaf(command)]
    /// Measures the latency that the entry and the sidecar add to a direct call of the engine
    Overhead(#[bpaf(external(overhead::args))] overhead::Args),
    #[bpaf(command)]
    /// Measures how a process's CPU and memory use grows with the fleet and the load
    Scale(#[bpaf(external(scale::args))] scale::Args),
    #[bpaf(command)]
    /// Runs a fleet under random faults derived from a seed
    Soak(#[bpaf(external(soak::args))] soak::Args),
    #[bpaf(command("site-soak"))]
    /// Runs a site of the users' platform under random faults derived from a seed
    SiteSoak(#[bpaf(external(site_soak::args))] site_soak::Args),
}

/// Worker threads of a tool that sends requests to a fleet. A stand-in uses one thread, so that many of them fit
/// on one machine.
const TOOL_WORKER_THREADS: usize = 4;

impl Command {
    fn is_standin(&self) -> bool {
        use Command::{Engine, Log, Service, Vms, Weights};
        matches!(self, Engine(_) | Service(_) | Log(_) | Vms(_) | Weights(_))
    }
}

/// Runs the subcommand that the command line names.
pub fn main() -> ExitCode {
    match run(command().run()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(if command.is_standin() { 1 } else { TOOL_WORKER_THREADS })
        .enable_all()
        .build()
        .wrap_err("step=start-runtime")?;
    let success = |()| ExitCode::SUCCESS;
    runtime.block_on(async {
        match command {
            Command::Engine(args) => listen::engine(args).await.map(success),
            Command::Service(args) => listen::service(args).await.map(success),
            Command::Log(args) => listen::log(args).await.map(success),
            Command::Vms(args) => listen::vms(args).await.map(success),
            Command::Weights(args) => listen::weights(args).await.map(success),
            Command::Demo(args) => demo::run(args).await,
            Command::Load(args) => load::run(args).await,
            Command::Compare(args) => compare::run(args).await,
            Command::Overhead(args) => overhead::run(args).await,
            Command::Scale(args) => scale::run(args).await,
            Command::Soak(args) => soak::run(args).await,
            Command::SiteSoak(args) => site_soak::run(args).await,
        }
    })
}
