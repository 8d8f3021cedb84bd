//! Starts a fleet, sends a deployment's workload and prints the results.
//!
//! Usage: standin demo [--deployment market|colibri] [--seconds N] [--load SHARE] [--speed X]
//!                     [--engines N] [--seed N] [--picker NAME] [--order NAME] [--no-long]
//!                     [--json FILE] [--hold]
//!
//! The platform, engines, services, sidecars and entries run as separate processes on loopback. The fleet runs
//! --speed times faster than real time, and the times in the table are not scaled back. The exit status is 1 if
//! the ledger does not balance. With --hold the fleet keeps running, and a curl command that calls it is printed.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::{Result, WrapErr};
use standin::compare;
use standin::engine::model::Capacity;
use standin::fleet::{Fleet, Spec, scratch_dir, workspace_key};
use standin::load_generator::{self, LoadPlan};
use standin::report::{self, PrefillBaseline};
use standin::workload::{self, Deployment};

/// Arguments of `demo`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// Deployment that defines the fleet and the workload: market or colibri
    #[bpaf(argument("NAME"), fallback(Deployment::Market))]
    deployment: Deployment,
    /// Duration of the arrivals, in seconds
    #[bpaf(argument("N"), fallback(20))]
    seconds: u64,
    /// Offered load as a share of the engines' capacity
    #[bpaf(argument("SHARE"), fallback(0.5))]
    load: f64,
    /// Factor by which the fleet runs faster than real time
    #[bpaf(argument("X"), fallback(4.0))]
    speed: f64,
    /// Number of engines
    #[bpaf(argument("N"), fallback(20))]
    engines: usize,
    /// Seed of the workload
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Picker with which the entries choose an endpoint
    #[bpaf(argument("NAME"), fallback("quoted".to_owned()))]
    picker: String,
    /// Queue order of the sidecars
    #[bpaf(argument("NAME"), fallback("slack".to_owned()))]
    order: String,
    /// Omit the long prompts
    no_long: bool,
    /// Write the report to this file as JSON
    #[bpaf(argument("FILE"), optional)]
    json: Option<PathBuf>,
    /// Keep the fleet running after the workload until Ctrl-C
    hold: bool,
}

/// Runs the demo; the exit status is 1 if the ledger does not balance or an invariant was violated.
pub async fn run(args: Args) -> Result<ExitCode> {
    let engine_capacity = Capacity { speed: args.speed, ..Capacity::default() };
    let spec = Spec {
        deployment: args.deployment,
        entries: 3,
        engines: args.engines,
        services: 3,
        engine_capacity: engine_capacity.clone(),
        picker: args.picker.clone(),
        order: args.order.clone(),
        vms_lag_ms: 500,
        ..Spec::small("demo")
    };
    let dir = scratch_dir("demo");
    let fleet = Fleet::start(Spec { dir: dir.clone(), ..spec }).await?;
    println!("fleet of {} processes is up; logs are in {}", fleet.process_names().len(), dir.display());
    if args.hold {
        print_curl_command(&fleet);
    }

    let include = |class: &workload::Class| !(args.no_long && class.is_long());
    let rate = compare::request_rate(args.deployment, args.load, args.engines, &engine_capacity);
    let arrivals = workload::arrivals(args.deployment, rate, Duration::from_secs(args.seconds), args.seed, include);
    println!(
        "sending {} requests at {rate:.0} a second for {} s, {} times faster than real time",
        arrivals.len(),
        args.seconds,
        args.speed
    );
    let plan = LoadPlan {
        entries: fleet.entries.clone(),
        deployment: args.deployment,
        speed: args.speed,
        run_id: format!("demo{}", args.seed),
    };
    let ledger = load_generator::send_arrivals(&plan, arrivals).await;
    let totals = ledger.totals(&fleet.run_counts().await);
    let baseline = PrefillBaseline { prefill_per_s: engine_capacity.prefill_per_s * engine_capacity.speed };
    let report = report::summarize(&ledger, totals, baseline);
    print!("{}", report.format_table());
    if let Some(file) = &args.json {
        let text = serde_json::to_string_pretty(&report).wrap_err("step=encode")?;
        std::fs::write(file, text).wrap_err_with(|| format!("step=write file={}", file.display()))?;
    }
    if args.hold {
        println!("holding; press Ctrl-C to end");
        let _ = tokio::signal::ctrl_c().await;
    }
    let breaches = fleet.read_breaches()?;
    let is_balanced = report.ledger.is_balanced() && breaches.is_empty();
    breaches.iter().for_each(|breach| println!("breach: {breach}"));
    let stuck_processes = fleet.shut_down().await?;
    if !stuck_processes.is_empty() {
        println!("did not end in time: {stuck_processes}");
    }
    println!("{}", if is_balanced { "the ledger balances" } else { "the ledger does NOT balance" });
    Ok(if is_balanced { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn print_curl_command(fleet: &Fleet) {
    println!("entries: {}", fleet.entries.join(" "));
    println!(
        "curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {}' -H 'Content-Type: application/json' \\\n  \
         -d '{{\"model\":\"{}\",\"stream\":true,\"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\"content\":\"What is a stall permit?\"}}]}}'",
        fleet.entries[0],
        workspace_key(0),
        fleet.spec.deployment.model()
    );
}
