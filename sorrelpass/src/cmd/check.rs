//! Checks settings files and names every fault.
//!
//! Usage: sorrelpass check FILE...
//!
//! Prints one line per fault with file, line, key and reason, and ends with
//! status 1 if there was any. Secrets are read, never printed.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use eyre::Result;

use crate::config::Settings;

/// Arguments of `check`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// INI settings files
    #[bpaf(positional("FILE"), some("name at least one FILE"))]
    files: Vec<PathBuf>,
}

/// Runs the subcommand.
pub fn run(args: &Args) -> Result<ExitCode> {
    let faulty = args.files.iter().filter(|file| !check(file)).count();
    Ok(if faulty == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn check(file: &Path) -> bool {
    match Settings::load(file) {
        Ok(settings) => {
            let role = match settings {
                Settings::Entry(_) | Settings::Gateway(_) => "entry",
                Settings::Sidecar(_) => "sidecar",
            };
            println!("file={} role={role} ok", file.display());
            true
        }
        Err(error) => {
            println!("{error:#}");
            false
        }
    }
}
