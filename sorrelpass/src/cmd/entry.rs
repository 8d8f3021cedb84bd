//! Runs an entry: the process on an entry VM that serves callers and operators.
//!
//! Usage: sorrelpass entry \[FILE\]
//!
//! FILE is an INI settings file with the sections `[process]`, `[entry]` and
//! `[platform]`, or `[process]`, `[gateway]` and `[bounds]` where replicas are
//! served directly, without sidecars. Without FILE, the path is taken from the
//! environment variable that the users' platform sets. The process logs to standard
//! output, one logfmt line per event, and exits on SIGTERM once no request is in flight.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::{Result, bail, eyre};

use crate::config::Settings;

/// Command-line arguments of `entry`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// INI settings file
    #[bpaf(positional("FILE"), optional)]
    file: Option<PathBuf>,
}

/// Loads the settings and serves until the process is told to stop.
pub fn run(args: &Args) -> Result<()> {
    let file = settings_path(args)?;
    match Settings::load(&file)? {
        Settings::Entry(settings) => crate::entry::run(*settings),
        Settings::Gateway(settings) => crate::gateway::run(*settings, file),
        Settings::Sidecar(_) => bail!("step=start file={}: found a sidecar's settings", file.display()),
    }
}

/// Returns the settings file from the command line or, without one there, from the environment.
fn settings_path(args: &Args) -> Result<PathBuf> {
    let variable = ::platform::SETTINGS_VARIABLE;
    let from_environment = || std::env::var_os(variable).map(PathBuf::from);
    args.file
        .clone()
        .or_else(from_environment)
        .ok_or_else(|| eyre!("step=start: no settings file: give FILE or set {variable}"))
}
