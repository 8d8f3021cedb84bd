//! Confirms a plan and prints the revision from which it is in force.
//!
//! Usage: sorrelpass confirm --entry IP:PORT [--key-file FILE] PLAN
//!
//! If another plan changed the same item first, the answer names it and nothing
//! takes effect. A confirm may be repeated: the answer stays the same.

use bpaf::Bpaf;
use eyre::Result;

use super::client::{self, Target};

/// Arguments of `confirm`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    #[bpaf(external(client::target))]
    target: Target,
    /// The plan's id, as printed by `plan`
    #[bpaf(positional("PLAN"))]
    plan: String,
}

/// Runs the subcommand.
pub fn run(args: &Args) -> Result<()> {
    client::print(&args.target.expect("POST", &format!("/v1/plans/{}/confirm", args.plan), None)?);
    Ok(())
}
