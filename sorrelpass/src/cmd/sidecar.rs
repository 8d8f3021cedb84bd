//! Stands beside an endpoint and hands it its work.
//!
//! Usage: sorrelpass sidecar FILE
//!
//! FILE is an INI settings file with the sections `[process]` and `[sidecar]`. The
//! process logs to standard output, one logfmt line per event. On SIGTERM it
//! refuses new work, lets what runs finish, and ends.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::{Result, bail};

use crate::config::Settings;

/// Arguments of `sidecar`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// INI settings file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Runs the subcommand.
pub fn run(args: &Args) -> Result<()> {
    match Settings::load(&args.file)? {
        Settings::Sidecar(settings) => crate::sidecar::run(*settings),
        Settings::Entry(_) | Settings::Gateway(_) => {
            bail!("step=start file={}: these are an entry's settings", args.file.display())
        }
    }
}
