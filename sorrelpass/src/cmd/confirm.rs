//! Confirms a plan and prints the revision from which the plan is in force.
//!
//! Usage: sorrelpass confirm --entry IP:PORT [--key-file FILE] PLAN
//!
//! If another plan changed one of its items first, the command reports a conflict that
//! names the item, and the plan has no effect. Confirming is idempotent: a repeated
//! confirmation gives the same result.

use bpaf::Bpaf;
use eyre::Result;

use super::client::{self, EntryArgs};

/// Command-line arguments of `confirm`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    #[bpaf(external(client::entry_args))]
    entry: EntryArgs,
    /// The plan's id, as printed by `plan`
    #[bpaf(positional("PLAN"))]
    plan: String,
}

/// Confirms the plan and prints the response.
pub fn run(args: &Args) -> Result<()> {
    client::print_json(&args.entry.request_success("POST", &format!("/v1/plans/{}/confirm", args.plan), None)?);
    Ok(())
}
