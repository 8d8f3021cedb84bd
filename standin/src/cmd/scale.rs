//! Measures how resource use grows with each dimension of scale, for docs/CAPACITY.md.
//!
//! Usage: standin scale [--only members|listed|workspaces|claims|requests] [--seconds N] [--json FILE]
//!
//! Runs real entries and sidecars on loopback, at most about two hundred processes and well under half of the
//! machine's memory. For each step it prints the points, the fitted line and its residual.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::{Result, WrapErr};
use standin::scale;

/// Arguments of `scale`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// Run only this step: members, listed, workspaces, claims or requests
    #[bpaf(argument("STEP"), optional)]
    only: Option<String>,
    /// Duration of each point's run, in seconds
    #[bpaf(argument("N"), fallback(8))]
    seconds: u64,
    /// Write the series to this file as JSON
    #[bpaf(argument("FILE"), optional)]
    json: Option<PathBuf>,
}

/// Numbers of sidecars connected to one entry.
const MEMBERS: [usize; 4] = [20, 50, 100, 200];
/// Numbers of VMs on the platform's list.
const LISTED: [usize; 4] = [1_000, 4_000, 8_000, 12_000];
/// Interval at which the entry reads the VM list, in milliseconds.
const LISTED_POLL_MS: u64 = 1_000;
/// Numbers of workspaces in the configuration.
const WORKSPACES: [usize; 3] = [1_000, 10_000, 35_000];
/// Configuration changes applied at each number of workspaces.
const CHANGES: u64 = 20;
/// Rates of idempotency key claims through one entry, per second.
const CLAIMS: [u64; 4] = [20, 50, 100, 200];
/// Request rates through one entry, per second.
const REQUESTS: [u64; 4] = [25, 50, 100, 200];
/// Output tokens per request, one series of rates for each value.
const OUTPUT: [u64; 2] = [1, 101];

/// Runs the subcommand.
pub async fn run(args: Args) -> Result<ExitCode> {
    let span = Duration::from_secs(args.seconds);
    let wanted = |step: &str| args.only.as_deref().is_none_or(|only| only == step);
    let mut all = Vec::new();
    if wanted("members") {
        all.extend(scale::members(&MEMBERS, span).await?);
    }
    if wanted("listed") {
        all.extend(scale::listed(&LISTED, LISTED_POLL_MS, span).await?);
    }
    if wanted("workspaces") {
        all.extend(scale::workspaces(&WORKSPACES, CHANGES).await?);
    }
    if wanted("claims") {
        all.extend(scale::claims(&CLAIMS, span).await?);
    }
    if wanted("requests") {
        for output in OUTPUT {
            println!("the following requests/s step has {output} output tokens each: see the order of the series");
            all.extend(scale::requests(&REQUESTS, output, span).await?);
        }
    }
    print!("{}", scale::table(&all));
    if let Some(file) = &args.json {
        let text = serde_json::to_string_pretty(&all).wrap_err("step=encode")?;
        std::fs::write(file, text).wrap_err_with(|| format!("step=write file={}", file.display()))?;
    }
    Ok(ExitCode::SUCCESS)
}
