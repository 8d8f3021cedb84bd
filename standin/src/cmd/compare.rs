//! Compares the project's picker and queue order with baseline combinations under the same arrivals.
//!
//! Usage: standin compare [--deployment market|colibri] [--load SHARE] [--seconds N] [--seed N]
//!                        [--engines N] [--speed X] [--svg FILE] [--json FILE]
//!
//! Each combination runs on a new fleet twice, with and without the long prompts. The slowdown column is the
//! ratio of the two p95 times to first token.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::{Result, WrapErr};
use standin::compare::{self, Setup, WAYS};
use standin::mix::Deployment;

/// Arguments of `compare`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// Deployment that defines the fleet and the workload: market or colibri
    #[bpaf(argument("NAME"), fallback(Deployment::Market))]
    deployment: Deployment,
    /// Offered load as a share of the engines' capacity
    #[bpaf(argument("SHARE"), fallback(0.8))]
    load: f64,
    /// Duration of the arrivals, in seconds
    #[bpaf(argument("N"), fallback(15))]
    seconds: u64,
    /// Seed of the workload
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of engines
    #[bpaf(argument("N"), fallback(20))]
    engines: usize,
    /// Factor by which the fleet runs faster than real time
    #[bpaf(argument("X"), fallback(4.0))]
    speed: f64,
    /// Draw p95 time to first token by class to this SVG file
    #[bpaf(argument("FILE"), optional)]
    svg: Option<PathBuf>,
    /// Write all reports to this file as JSON
    #[bpaf(argument("FILE"), optional)]
    json: Option<PathBuf>,
}

/// Runs the subcommand.
pub async fn run(args: Args) -> Result<ExitCode> {
    let setup = Setup {
        deployment: args.deployment,
        load: args.load,
        span: Duration::from_secs(args.seconds),
        seed: args.seed,
        engines: args.engines,
        speed: args.speed,
    };
    let mut all = Vec::new();
    for way in WAYS {
        all.push(compare::compare(way, &setup).await?);
    }
    print!("{}", compare::table(&all));
    if let Some(file) = &args.svg {
        let title = format!("{:?}, load {}, seed {}", args.deployment, args.load, args.seed);
        compare::plot(&all, &title, file)?;
    }
    if let Some(file) = &args.json {
        let text = serde_json::to_string_pretty(&all).wrap_err("step=encode")?;
        std::fs::write(file, text).wrap_err_with(|| format!("step=write file={}", file.display()))?;
    }
    let balances = all.iter().all(|one| one.with_long.ledger.balances() && one.without_long.ledger.balances());
    Ok(if balances { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
