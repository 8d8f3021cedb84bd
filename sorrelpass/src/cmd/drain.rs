//! Drains an endpoint, or takes a drain back: plans and confirms in one go.
//!
//! Usage: sorrelpass drain --entry IP:PORT [--key-file FILE] [--undo] ENDPOINT
//!
//! A drained endpoint takes no new work; what runs there finishes.

use bpaf::Bpaf;
use eyre::{Result, eyre};
use serde_json::json;

use super::client::{self, Target};

/// Arguments of `drain`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    #[bpaf(external(client::target))]
    target: Target,
    /// Take the drain back
    undo: bool,
    /// The endpoint's name
    #[bpaf(positional("ENDPOINT"))]
    endpoint: String,
}

/// Runs the subcommand.
pub fn run(args: &Args) -> Result<()> {
    let change = if args.undo { "undrain" } else { "drain" };
    let changes = json!({ "changes": [{ change: args.endpoint }] });
    let plan = args.target.expect("POST", "/v1/intents", Some(changes.to_string()))?;
    let id = plan["plan"].as_str().ok_or_else(|| eyre!("step=plan: the answer names no plan"))?;
    client::print(&args.target.expect("POST", &format!("/v1/plans/{id}/confirm"), None)?);
    Ok(())
}
