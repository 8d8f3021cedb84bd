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
use standin::engine::model::Capacity;
use standin::load_generator::{self, LoadPlan};
use standin::report::{self, PrefillBaseline};
use standin::workload::{self, Deployment};

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

/// Sends the workload and prints the report; the exit status is 1 if the ledger does not balance.
pub async fn run(args: Args) -> Result<ExitCode> {
    ensure!(
        args.entry.iter().all(|entry| entry.ip().is_loopback()),
        "step=check-arguments: every --entry must be a loopback address"
    );
    let include = |class: &workload::Class| !(args.no_long && class.is_long());
    let arrivals =
        workload::arrivals(args.deployment, args.rate, Duration::from_secs(args.seconds), args.seed, include);
    let plan = LoadPlan {
        entries: args.entry.iter().map(SocketAddr::to_string).collect(),
        deployment: args.deployment,
        speed: args.speed,
        run_id: format!("load{}", args.seed),
    };
    let ledger = load_generator::send_arrivals(&plan, arrivals).await;
    let totals = ledger.totals(&HashMap::new());
    let baseline = PrefillBaseline { prefill_per_s: Capacity::default().prefill_per_s * args.speed };
    let report = report::summarize(&ledger, totals, baseline);
    print!("{}", report.format_table());
    Ok(if report.ledger.is_balanced() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
