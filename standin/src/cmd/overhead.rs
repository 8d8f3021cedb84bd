//! Measures the latency that the entry and the sidecar add to a direct call of the engine.
//!
//! Usage: standin overhead [--seconds N] [--output N] [--speed X]
//!
//! Runs one entry, one sidecar and one engine stand-in with 1, 64 and 512 concurrent streams, alternating between
//! direct calls and calls through the entry; then measures memory under prompts of a million tokens. At a speed of
//! about 20 the engine is the bottleneck, and the difference is the delay added to a first token. At a speed of
//! 2000 the system is the bottleneck, and tokens per second is its throughput.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::Result;
use standin::overhead;

/// Arguments of `overhead`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// Duration of the run for each number of streams and each route, in seconds
    #[bpaf(argument("N"), fallback(5))]
    seconds: u64,
    /// Output tokens per prompt
    #[bpaf(argument("N"), fallback(100))]
    output: u64,
    /// Factor by which the engine runs faster than real time
    #[bpaf(argument("X"), fallback(20.0))]
    speed: f64,
}

/// Numbers of concurrent prompts of a million tokens.
const LARGE_PROMPT_COUNTS: [usize; 3] = [0, 1, 10];
/// Numbers of concurrent streams.
const STREAM_COUNTS: [usize; 3] = [1, 64, 512];

/// Runs the measurements and prints them as Markdown tables.
pub async fn run(args: Args) -> Result<ExitCode> {
    let levels =
        overhead::measure_streams(&STREAM_COUNTS, args.output, args.speed, Duration::from_secs(args.seconds)).await?;
    print!("{}", overhead::format_table(&levels));
    println!(
        "\n| prompts of a million tokens at once | whole | entry peak MiB | sidecar peak MiB |\n|---|---|---|---|"
    );
    for usage in overhead::measure_large_prompts(&LARGE_PROMPT_COUNTS).await? {
        println!("| {} | {} | {:.1} | {:.1} |", usage.prompts, usage.whole, usage.entry_mib, usage.sidecar_mib);
    }
    Ok(ExitCode::SUCCESS)
}
