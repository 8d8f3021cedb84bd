//! Serves callers and operators on an entry VM.
//!
//! Usage: sorrelpass entry \[FILE\]
//!
//! FILE is an INI settings file with the sections `[process]`, `[entry]` and
//! `[platform]`, or `[process]`, `[gateway]` and `[bounds]` where replicas are
//! served directly, without sidecars. Without FILE, the environment variable
//! that the users' platform sets names it. The process logs to standard output,
//! one logfmt line per event, and ends on SIGTERM once no request is in flight.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::{Result, bail, eyre};

use crate::config::Settings;

/// Arguments of `entry`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// INI settings file
    #[bpaf(positional("FILE"), optional)]
    file: Option<PathBuf>,
}

/// Runs the subcommand.
pub fn run(args: &Args) -> Result<()> {
    let file = file(args)?;
    match Settings::load(&file)? {
        Settings::Entry(settings) => crate::entry::run(*settings),
        Settings::Gateway(settings) => crate::gateway::run(*settings, file),
        Settings::Sidecar(_) => bail!("step=start file={}: these are a sidecar's settings", file.display()),
    }
}

/// The settings file that the command line names, else the environment.
fn file(args: &Args) -> Result<PathBuf> {
    let variable = ::platform::SETTINGS_VARIABLE;
    let named = || std::env::var_os(variable).map(PathBuf::from);
    args.file.clone().or_else(named).ok_or_else(|| eyre!("step=start: name a FILE, or set {variable}"))
}
