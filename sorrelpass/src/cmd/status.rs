//! Shows the state of an entry.
//!
//! Usage: sorrelpass status --entry IP:PORT [--key-file FILE] [--endpoints | --intents]
//!
//! Prints the configuration revision and the members that the entry knows. With
//! --endpoints, prints every known endpoint; with --intents, the configuration in force.

use bpaf::Bpaf;
use eyre::Result;

use super::client::{self, EntryArgs};

/// Command-line arguments of `status`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    #[bpaf(external(client::entry_args))]
    entry: EntryArgs,
    /// Show every endpoint that the entry knows
    endpoints: bool,
    /// Show the configuration in force
    intents: bool,
}

/// Requests the selected part of the state and prints it.
pub fn run(args: &Args) -> Result<()> {
    let path = match (args.endpoints, args.intents) {
        (true, _) => "/v1/endpoints",
        (_, true) => "/v1/intents",
        _ => "/v1/status",
    };
    client::print_json(&args.entry.request_success("GET", path, None)?);
    Ok(())
}
