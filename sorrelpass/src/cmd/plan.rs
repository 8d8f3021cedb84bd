//! Proposes changes and prints the plan, which takes no effect until confirmed.
//!
//! Usage: sorrelpass plan --entry IP:PORT [--key-file FILE] CHANGES
//!
//! CHANGES is a JSON file: {"changes": [{"put_intent": {...}}, ...], "base": 7}.
//! The base is the revision that you looked at; left out, it is the newest.
//! Changes are put_intent, delete_intent, put_workspace, delete_workspace,
//! put_service, delete_service, drain and undrain.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::{Result, WrapErr};

use super::client::{self, Target};

/// Arguments of `plan`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    #[bpaf(external(client::target))]
    target: Target,
    /// JSON file with the changes
    #[bpaf(positional("CHANGES"))]
    changes: PathBuf,
}

/// Runs the subcommand.
pub fn run(args: &Args) -> Result<()> {
    let changes = std::fs::read_to_string(&args.changes)
        .wrap_err_with(|| format!("step=read-changes file={}", args.changes.display()))?;
    client::print(&args.target.expect("POST", "/v1/intents", Some(changes))?);
    Ok(())
}
