//! Command line of the binary: parses the arguments and dispatches to the subcommands, one module for each.

mod check;
mod client;
mod confirm;
mod drain;
mod entry;
mod plan;
mod quarantine;
mod sidecar;
mod status;
mod timeline;

use std::process::ExitCode;

use bpaf::Bpaf;
use eyre::Result;

/// A serving layer for prompts of very different lengths
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    #[bpaf(command)]
    /// Serves callers and operators on an entry VM
    Entry(#[bpaf(external(entry::args))] entry::Args),
    #[bpaf(command)]
    /// Runs beside an endpoint, and queues and forwards its requests
    Sidecar(#[bpaf(external(sidecar::args))] sidecar::Args),
    #[bpaf(command)]
    /// Validates settings files
    Check(#[bpaf(external(check::args))] check::Args),
    #[bpaf(command)]
    /// Proposes changes and prints the plan
    Plan(#[bpaf(external(plan::args))] plan::Args),
    #[bpaf(command)]
    /// Confirms a plan
    Confirm(#[bpaf(external(confirm::args))] confirm::Args),
    #[bpaf(command)]
    /// Drains an endpoint or ends its draining
    Drain(#[bpaf(external(drain::args))] drain::Args),
    #[bpaf(command)]
    /// Shows an entry's state
    Status(#[bpaf(external(status::args))] status::Args),
    #[bpaf(command)]
    /// Shows quarantined requests, or lifts the quarantine of one
    Quarantine(#[bpaf(external(quarantine::args))] quarantine::Args),
    #[bpaf(command)]
    /// Merges the logs of several processes in causal order
    Timeline(#[bpaf(external(timeline::args))] timeline::Args),
}

/// Parses the command line, runs the subcommand and returns the exit code of the process.
pub fn main() -> ExitCode {
    let result = run(command().run());
    crate::timeline::close();
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("sorrelpass: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<ExitCode> {
    let to_success = |()| ExitCode::SUCCESS;
    match command {
        Command::Entry(args) => entry::run(&args).map(to_success),
        Command::Sidecar(args) => sidecar::run(&args).map(to_success),
        Command::Check(args) => check::run(&args),
        Command::Plan(args) => plan::run(&args).map(to_success),
        Command::Confirm(args) => confirm::run(&args).map(to_success),
        Command::Drain(args) => drain::run(&args).map(to_success),
        Command::Status(args) => status::run(&args).map(to_success),
        Command::Quarantine(args) => quarantine::run(&args).map(to_success),
        Command::Timeline(args) => timeline::run(&args).map(to_success),
    }
}
