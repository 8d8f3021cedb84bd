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
use standin::compare::{self, POLICIES, Setup};
use standin::workload::Deployment;

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

/// Runs and prints all comparisons; the exit status is 1 if the ledger of a run does not balance.
pub async fn run(args: Args) -> Result<ExitCode> {
    let setup = Setup {
        deployment: args.deployment,
        load: args.load,
        duration: Duration::from_secs(args.seconds),
        seed: args.seed,
        engines: args.engines,
        speed: args.speed,
    };
    let mut comparisons = Vec::new();
    for policy in POLICIES {
        comparisons.push(compare::run_policy(policy, &setup).await?);
    }
    print!("{}", compare::format_table(&comparisons));
    if let Some(file) = &args.svg {
        let title = format!("{:?}, load {}, seed {}", args.deployment, args.load, args.seed);
        compare::plot(&comparisons, &title, file)?;
    }
    if let Some(file) = &args.json {
        let text = serde_json::to_string_pretty(&comparisons).wrap_err("step=encode")?;
        std::fs::write(file, text).wrap_err_with(|| format!("step=write file={}", file.display()))?;
    }
    let is_balanced = comparisons
        .iter()
        .all(|comparison| comparison.with_long.ledger.is_balanced() && comparison.without_long.ledger.is_balanced());
    Ok(if is_balanced { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
