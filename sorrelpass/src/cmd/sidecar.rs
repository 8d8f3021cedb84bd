//! Runs a sidecar: the process beside an endpoint that queues and forwards its requests.
//!
//! Usage: sorrelpass sidecar FILE
//!
//! FILE is an INI settings file with the sections `[process]` and `[sidecar]`. The
//! process logs to standard output, one logfmt line per event. On SIGTERM it
//! refuses new requests, lets the running ones finish, and exits.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::{Result, bail};

use crate::config::Settings;

/// Command-line arguments of `sidecar`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// INI settings file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Loads the settings and serves until the process is told to stop.
pub fn run(args: &Args) -> Result<()> {
    match Settings::load(&args.file)? {
        Settings::Sidecar(settings) => crate::sidecar::run(*settings),
        Settings::Entry(_) | Settings::Gateway(_) => {
            bail!("step=start file={}: found an entry's settings", args.file.display())
        }
    }
}
