//! Measures what entry and sidecar add against calling the engine directly.
//!
//! Usage: standin overhead [--seconds N] [--output N] [--speed X]
//!
//! One entry, one sidecar and one engine stand-in, at 1, 64 and 512 streams at once, direct and
//! through by turns; then memory under prompts of a million tokens. At a speed of some 20 the engine is the bottleneck, and the difference is
//! what a first token is held up; at 2000 it is the system, and tokens a second is what it can do.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::Result;
use standin::overhead;

/// Arguments of `overhead`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// How long each number of streams is measured, each way, in seconds
    #[bpaf(argument("N"), fallback(5))]
    seconds: u64,
    /// Output tokens of each prompt
    #[bpaf(argument("N"), fallback(100))]
    output: u64,
    /// How many times faster than real time the engine runs
    #[bpaf(argument("X"), fallback(20.0))]
    speed: f64,
}

/// Prompts of a million tokens at once.
const LARGE: [usize; 3] = [0, 1, 10];
/// Streams at once.
const STREAMS: [usize; 3] = [1, 64, 512];

/// Runs the subcommand.
pub async fn run(args: Args) -> Result<ExitCode> {
    let levels = overhead::measure(&STREAMS, args.output, args.speed, Duration::from_secs(args.seconds)).await?;
    print!("{}", overhead::table(&levels));
    println!(
        "\n| prompts of a million tokens at once | whole | entry peak MiB | sidecar peak MiB |\n|---|---|---|---|"
    );
    for large in overhead::large(&LARGE).await? {
        println!("| {} | {} | {:.1} | {:.1} |", large.prompts, large.whole, large.entry_mib, large.sidecar_mib);
    }
    Ok(ExitCode::SUCCESS)
}
