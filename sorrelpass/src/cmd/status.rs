//! Shows an entry's state.
//!
//! Usage: sorrelpass status --entry IP:PORT [--key-file FILE] [--endpoints | --intents]
//!
//! Prints the entry's revision and members; with --endpoints every endpoint that
//! it knows, with --intents the configuration in force.

use bpaf::Bpaf;
use eyre::Result;

use super::client::{self, Target};

/// Arguments of `status`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    #[bpaf(external(client::target))]
    target: Target,
    /// Show every endpoint
    endpoints: bool,
    /// Show the configuration in force
    intents: bool,
}

/// Runs the subcommand.
pub fn run(args: &Args) -> Result<()> {
    let path = match (args.endpoints, args.intents) {
        (true, _) => "/v1/endpoints",
        (_, true) => "/v1/intents",
        _ => "/v1/status",
    };
    client::print(&args.target.expect("GET", path, None)?);
    Ok(())
}
