//! Drains an endpoint or ends its draining: creates a plan and confirms it at once.
//!
//! Usage: sorrelpass drain --entry IP:PORT [--key-file FILE] [--undo] ENDPOINT
//!
//! A draining endpoint receives no new requests; its running requests finish.

use bpaf::Bpaf;
use eyre::{Result, eyre};
use serde_json::json;

use super::client::{self, EntryArgs};

/// Command-line arguments of `drain`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    #[bpaf(external(client::entry_args))]
    entry: EntryArgs,
    /// End the draining of the endpoint
    undo: bool,
    /// Name of the endpoint
    #[bpaf(positional("ENDPOINT"))]
    endpoint: String,
}

/// Plans and confirms the change, and prints the response to the confirmation.
pub fn run(args: &Args) -> Result<()> {
    let change = if args.undo { "undrain" } else { "drain" };
    let changes = json!({ "changes": [{ change: args.endpoint }] });
    let plan = args.entry.request_success("POST", "/v1/intents", Some(changes.to_string()))?;
    let id = plan["plan"].as_str().ok_or_else(|| eyre!("step=plan: the response has no plan id"))?;
    client::print_json(&args.entry.request_success("POST", &format!("/v1/plans/{id}/confirm"), None)?);
    Ok(())
}
