//! Sends a workload to entries that are already running and prints the results.
//!
//! Usage: standin load --entry IP:PORT... [--deployment market|colibri] [--seconds N]
//!                     [--rate R] [--speed X] [--seed N] [--no-long]
//!
//! Only loopback addresses are accepted. Requests use the workspace keys of a stand-in fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::{Result, ensure};
use standin::engine::model::Sizes;
use standin::mix::{self, Deployment};
use standin::report::{self, Floor};
use standin::run::{self, Drive};

/// Arguments of `load`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// Address of an entry to send requests to; may be repeated
    #[bpaf(argument("IP:PORT"), some("name at least one --entry"))]
    entry: Vec<SocketAddr>,
    /// Deployment that defines the workload: market or colibri
    #[bpaf(argument("NAME"), fallback(Deployment::Market))]
    deployment: Deployment,
    /// Duration of the arrivals, in seconds
    #[bpaf(argument("N"), fallback(20))]
    seconds: u64,
    /// Requests per second
    #[bpaf(argument("R"), fallback(20.0))]
    rate: f64,
    /// Factor by which the fleet runs faster than real time
    #[bpaf(argument("X"), fallback(4.0))]
    speed: f64,
    /// Seed of the workload
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Omit the long prompts
    no_long: bool,
}

/// Runs the subcommand.
pub async fn run(args: Args) -> Result<ExitCode> {
    ensure!(
        args.entry.iter().all(|entry| entry.ip().is_loopback()),
        "step=check-arguments: every --entry must be a loopback address"
    );
    let keep = |class: &mix::Class| !(args.no_long && class.is_long());
    let arrivals = mix::arrivals(args.deployment, args.rate, Duration::from_secs(args.seconds), args.seed, keep);
    let drive = Drive {
        entries: args.entry.iter().map(SocketAddr::to_string).collect(),
        deployment: args.deployment,
        speed: args.speed,
        run: format!("load{}", args.seed),
    };
    let ledger = run::drive(&drive, arrivals).await;
    let sums = ledger.sums(&HashMap::new());
    let floor = Floor { prefill_per_s: Sizes::default().prefill_per_s * args.speed };
    let report = report::report(&ledger, sums, floor);
    print!("{}", report.table());
    Ok(if report.ledger.balances() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
