//! Proposes changes and prints the plan, which has no effect until it is confirmed.
//!
//! Usage: sorrelpass plan --entry IP:PORT [--key-file FILE] CHANGES
//!
//! CHANGES is a JSON file: {"changes": [{"put_intent": {...}}, ...], "base": 7}.
//! `base` is the revision that the changes were made against; the default is the newest.
//! Changes are put_intent, delete_intent, put_workspace, delete_workspace,
//! put_service, delete_service, drain and undrain.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::{Result, WrapErr};

use super::client::{self, EntryArgs};

/// Command-line arguments of `plan`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    #[bpaf(external(client::entry_args))]
    entry: EntryArgs,
    /// JSON file with the changes
    #[bpaf(positional("CHANGES"))]
    changes: PathBuf,
}

/// Sends the changes to the entry and prints the plan.
pub fn run(args: &Args) -> Result<()> {
    let changes = std::fs::read_to_string(&args.changes)
        .wrap_err_with(|| format!("step=read-changes file={}", args.changes.display()))?;
    client::print_json(&args.entry.request_success("POST", "/v1/intents", Some(changes))?);
    Ok(())
}
