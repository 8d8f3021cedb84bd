//! Runs a small site of the users' platform under random faults derived from a seed and prints every violated
//! guarantee.
//!
//! Usage: standin site-soak [--seed S] [--seeds N] [--at-once N] [--rounds N] [--seconds N] [--entries N] [--callers N]
//!                          [--fatal] [--fatal-parts] [--unclear] [--limits] [--evacuations] [--words] [--unframed]
//!                          [--parts]
//!
//! Entries are killed, suspended, shut down and made to reload. Connections from callers, to the store and to
//! replicas are delayed, reset, cut in one direction or blackholed. The store and the replicas return faulty
//! responses, and keys change. The exit status is 1 if a guarantee was violated.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::Result;
use futures_util::{StreamExt, stream};
use standin::fleet::ports;
use standin::platform::soak::{self, Plan};

/// Arguments of `site-soak`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// First seed
    #[bpaf(argument("S"), fallback(1))]
    seed: u64,
    /// Number of seeds to run
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Number of seeds to run concurrently
    #[bpaf(argument("N"), fallback(1))]
    at_once: usize,
    /// Rounds per seed, each with a phase of faults and a phase without
    #[bpaf(argument("N"), fallback(2))]
    rounds: u32,
    /// Duration of fault injection in each round, in seconds
    #[bpaf(argument("N"), fallback(6))]
    seconds: u64,
    /// Number of entries
    #[bpaf(argument("N"), fallback(3))]
    entries: usize,
    /// Number of concurrent callers
    #[bpaf(argument("N"), fallback(16))]
    callers: usize,
    /// Add a caller that keeps sending requests that terminate engines
    fatal: bool,
    /// Add a caller that sends different prompts with a part that terminates engines
    fatal_parts: bool,
    /// Have engines that terminate go on taking connections, or fall silent
    unclear: bool,
    /// Have an engine and a plain replica announce a limit of requests per second
    limits: bool,
    /// Evacuate a failure domain at intervals and revert the evacuation
    evacuations: bool,
    /// Have replicas announce draining or request backoff in responses, and recover the store from older copies
    words: bool,
    /// Have engines delimit their streams by the end of the connection; not with `--fatal`
    unframed: bool,
    /// Have the store answer reads of its log in parts, and callers use revoked keys
    parts: bool,
}

/// Runs all seeds and prints their reports; the exit status is 1 if a seed violated a guarantee.
pub async fn run(args: Args) -> Result<ExitCode> {
    ports::use_soak_ports();
    let faults = Duration::from_secs(args.seconds);
    let plan = |seed| Plan {
        seed,
        rounds: args.rounds,
        faults,
        entries: args.entries,
        callers: args.callers,
        has_fatal_requests: args.fatal,
        has_fatal_parts: args.fatal_parts,
        has_unclear_crashes: args.unclear,
        has_rate_limits: args.limits,
        has_evacuations: args.evacuations,
        has_response_signals: args.words,
        has_unframed_streams: args.unframed,
        has_partial_reads: args.parts,
    };
    let seeds = stream::iter(args.seed..args.seed + args.seeds);
    let mut reports =
        seeds.map(|seed| async move { (seed, soak::run(&plan(seed)).await) }).buffer_unordered(args.at_once);
    let mut failed_seeds = 0;
    while let Some((seed, report)) = reports.next().await {
        let report = report?;
        println!("seed {seed}: {} breaches\n{report}", report.breaches.len());
        failed_seeds += u64::from(!report.breaches.is_empty());
    }
    println!("{} of {} seeds kept every promise that was checked", args.seeds - failed_seeds, args.seeds);
    Ok(if failed_seeds == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
