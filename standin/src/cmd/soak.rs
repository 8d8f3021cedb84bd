//! Runs a fleet under random faults and prints the ledger and every violated guarantee.
//!
//! Usage: standin soak [--seconds N] [--seed S] [--deployment market|colibri] [--load SHARE]
//!                     [--speed X] [--engines N] [--json FILE]
//!
//! Processes are killed, suspended and shut down. The log and the VM list become unavailable; the log also
//! responds slowly and loses responses. Two operators change the same item concurrently. All faults derive from
//! the seed. The exit status is 1 if the ledger does not balance, an invariant was violated, or engine memory
//! stayed reserved.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use eyre::{Result, WrapErr};
use serde_json::json;
use standin::compare;
use standin::engine::model::Capacity;
use standin::fleet::{Fleet, Spec};
use standin::load_generator::{self, LoadPlan};
use standin::report::{self, PrefillBaseline};
use standin::soak::Injector;
use standin::workload::{self, Deployment};

/// Arguments of `soak`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// Duration of fault injection, in seconds
    #[bpaf(argument("N"), fallback(60))]
    seconds: u64,
    /// Seed of the faults and of the workload
    #[bpaf(argument("S"), fallback(1))]
    seed: u64,
    /// Deployment that defines the fleet and the workload: market or colibri
    #[bpaf(argument("NAME"), fallback(Deployment::Market))]
    deployment: Deployment,
    /// Offered load as a share of the engines' capacity
    #[bpaf(argument("SHARE"), fallback(0.5))]
    load: f64,
    /// Factor by which the fleet runs faster than real time
    #[bpaf(argument("X"), fallback(10.0))]
    speed: f64,
    /// Number of engines
    #[bpaf(argument("N"), fallback(9))]
    engines: usize,
    /// Write the report to this file as JSON
    #[bpaf(argument("FILE"), optional)]
    json: Option<PathBuf>,
}

/// Time after the last response within which all KV memory must be free: two lease periods of a span.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the soak and prints its report; the exit status is 1 if a guarantee was violated.
pub async fn run(args: Args) -> Result<ExitCode> {
    let engine_capacity = Capacity { speed: args.speed, ..Capacity::default() };
    let spec = Spec {
        deployment: args.deployment,
        entries: 3,
        engines: args.engines,
        services: 3,
        engine_capacity: engine_capacity.clone(),
        ..Spec::small("soak")
    };
    let mut fleet = Fleet::start(spec).await?;
    println!("fleet of {} processes is up; logs are in {}", fleet.process_names().len(), fleet.spec.dir.display());
    let rate = compare::request_rate(args.deployment, args.load, args.engines, &engine_capacity);
    let duration = Duration::from_secs(args.seconds);
    let arrivals = workload::arrivals(args.deployment, rate, duration, args.seed, |_| true);
    println!("sending {} requests at {rate:.0} a second for {} s, seed {}", arrivals.len(), args.seconds, args.seed);
    let plan = LoadPlan {
        entries: fleet.entries.clone(),
        deployment: args.deployment,
        speed: args.speed,
        run_id: format!("soak{}", args.seed),
    };
    let mut injector = Injector::new(&mut fleet, args.seed);
    let (mut ledger, injection_result) =
        tokio::join!(load_generator::send_arrivals(&plan, arrivals), injector.run(duration));
    injection_result?;
    let mut outcomes = injector.finish(&mut ledger);

    let start = Instant::now();
    while fleet.reserved_tokens().await > 0 && start.elapsed() < RELEASE_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let reserved = fleet.reserved_tokens().await;
    if reserved > 0 {
        outcomes.breaches.push(format!("{reserved} tokens of KV memory stayed reserved"));
    }
    outcomes.breaches.extend(fleet.read_breaches()?);
    let totals = ledger.totals(&fleet.run_counts().await);
    let report = report::summarize(
        &ledger,
        totals,
        PrefillBaseline { prefill_per_s: engine_capacity.prefill_per_s * engine_capacity.speed },
    );
    print!("{}", report.format_table());
    for record in ledger.records.iter().filter(|record| record.is_breach()) {
        println!("breach: {} {} entry-{} {:?}", record.class, record.id, record.entry, record.outcome);
    }
    let faults: usize = outcomes.faults.values().sum();
    println!("faults: {faults} {}", json!(outcomes.faults));
    println!("changes accepted: {}, in force within ms: {}", outcomes.accepted, json!(outcomes.in_force_ms));
    println!("tokens held at the end: {reserved}");
    outcomes.breaches.iter().for_each(|breach| println!("breach: {breach}"));
    if let Some(file) = &args.json {
        let text =
            serde_json::to_string_pretty(&json!({ "report": report, "soak": outcomes })).wrap_err("step=encode")?;
        std::fs::write(file, text).wrap_err_with(|| format!("step=write file={}", file.display()))?;
    }
    let is_passed = report.ledger.is_balanced() && outcomes.breaches.is_empty();
    let stuck_processes = fleet.shut_down().await?;
    if !stuck_processes.is_empty() {
        println!("did not end in time: {stuck_processes}");
    }
    println!("{}", if is_passed { "every promise that was checked was kept" } else { "promises were BROKEN" });
    Ok(if is_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
