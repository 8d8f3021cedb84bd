//! Serves callers and operators on an entry VM.
//!
//! Usage: sorrelpass entry FILE
//!
//! FILE is an INI settings file with the sections `[process]`, `[entry]` and
//! `[platform]`. The process logs to standard output, one logfmt line per event,
//! and ends on SIGTERM once no request is in flight.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::{Result, bail};

use crate::config::Settings;

/// Arguments of `entry`.
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
        Settings::Entry(settings) => crate::entry::run(*settings),
        Settings::Sidecar(_) => bail!("step=start file={}: these are a sidecar's settings", args.file.display()),
    }
}
