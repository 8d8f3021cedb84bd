//! Validates settings files and reports every fault.
//!
//! Usage: sorrelpass check FILE...
//!
//! Prints one line per fault with file, line, key and reason. The exit status is 1
//! if any file has a fault. Secrets are read and validated, but never printed.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use eyre::Result;

use crate::config::Settings;

/// Command-line arguments of `check`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// INI settings files
    #[bpaf(positional("FILE"), some("name at least one FILE"))]
    files: Vec<PathBuf>,
}

/// Validates each file; the exit code is a failure if any file has a fault.
pub fn run(args: &Args) -> Result<ExitCode> {
    let faulty_files = args.files.iter().filter(|file| !check_file(file)).count();
    Ok(if faulty_files == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Prints the outcome for one file and returns whether the file is valid.
fn check_file(file: &Path) -> bool {
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
