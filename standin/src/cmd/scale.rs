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
const SIDECAR_COUNTS: [usize; 4] = [20, 50, 100, 200];
/// Numbers of VMs on the platform's list.
const LISTED_VM_COUNTS: [usize; 4] = [1_000, 4_000, 8_000, 12_000];
/// Interval at which the entry reads the VM list, in milliseconds.
const VMS_POLL_MS: u64 = 1_000;
/// Numbers of workspaces in the configuration.
const WORKSPACE_COUNTS: [usize; 3] = [1_000, 10_000, 35_000];
/// Configuration changes applied at each number of workspaces.
const CHANGE_COUNT: u64 = 20;
/// Rates of idempotency key claims through one entry, per second.
const CLAIM_RATES: [u64; 4] = [20, 50, 100, 200];
/// Request rates through one entry, per second.
const REQUEST_RATES: [u64; 4] = [25, 50, 100, 200];
/// Output tokens per request, one series of rates for each value.
const OUTPUT_TOKEN_COUNTS: [u64; 2] = [1, 101];

/// Runs the selected steps, prints all series and writes them to the JSON file if one is given.
pub async fn run(args: Args) -> Result<ExitCode> {
    let duration = Duration::from_secs(args.seconds);
    let is_selected = |step: &str| args.only.as_deref().is_none_or(|only| only == step);
    let mut series = Vec::new();
    if is_selected("members") {
        series.extend(scale::measure_members(&SIDECAR_COUNTS, duration).await?);
    }
    if is_selected("listed") {
        series.extend(scale::measure_listed_vms(&LISTED_VM_COUNTS, VMS_POLL_MS, duration).await?);
    }
    if is_selected("workspaces") {
        series.extend(scale::measure_workspaces(&WORKSPACE_COUNTS, CHANGE_COUNT).await?);
    }
    if is_selected("claims") {
        series.extend(scale::measure_claims(&CLAIM_RATES, duration).await?);
    }
    if is_selected("requests") {
        for output in OUTPUT_TOKEN_COUNTS {
            println!("the following requests/s step has {output} output tokens each: see the order of the series");
            series.extend(scale::measure_requests(&REQUEST_RATES, output, duration).await?);
        }
    }
    print!("{}", scale::format_table(&series));
    if let Some(file) = &args.json {
        let text = serde_json::to_string_pretty(&series).wrap_err("step=encode")?;
        std::fs::write(file, text).wrap_err_with(|| format!("step=write file={}", file.display()))?;
    }
    Ok(ExitCode::SUCCESS)
}
