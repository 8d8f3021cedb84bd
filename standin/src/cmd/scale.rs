//! Measures slopes for docs/CAPACITY.md.
//!
//! Usage: standin scale [--only members|listed|workspaces|claims|requests] [--seconds N] [--json FILE]
//!
//! Real entries and sidecars on loopback, at most some two hundred processes and well under half
//! of the machine's memory. For each step it prints the points, the fitted line and its residual.

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
    /// Only this step: members, listed, workspaces, claims or requests
    #[bpaf(argument("STEP"), optional)]
    only: Option<String>,
    /// How long each point is measured, in seconds
    #[bpaf(argument("N"), fallback(8))]
    seconds: u64,
    /// Write the series to this file as JSON
    #[bpaf(argument("FILE"), optional)]
    json: Option<PathBuf>,
}

/// Sidecars before one entry.
const MEMBERS: [usize; 4] = [20, 50, 100, 200];
/// VMs on the platform's list.
const LISTED: [usize; 4] = [1_000, 4_000, 8_000, 12_000];
/// How often the list is read meanwhile.
const LISTED_POLL_MS: u64 = 1_000;
/// Workspaces in the configuration.
const WORKSPACES: [usize; 3] = [1_000, 10_000, 35_000];
/// Changes measured at each size.
const CHANGES: u64 = 20;
/// Claims a second through one entry.
const CLAIMS: [u64; 4] = [20, 50, 100, 200];
/// Requests a second through one entry.
const REQUESTS: [u64; 4] = [25, 50, 100, 200];
/// Output tokens of each.
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
