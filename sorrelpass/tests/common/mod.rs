//! Helpers of the subcommand tests: a temporary directory, and running the binary.
#![allow(dead_code)]

use std::path::PathBuf;
use std::process::Command;

/// Temporary directory of a test, which is removed when the value is dropped.
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates a directory whose name contains `name` and the process id.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("sorrelpass-test-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the directory is created");
        Self(path)
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file is written");
        path.display().to_string()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs the binary; returns standard output followed by standard error, and whether the exit status was success.
pub fn run_sorrelpass(args: &[&str]) -> (String, bool) {
    let output = Command::new(env!("CARGO_BIN_EXE_sorrelpass")).args(args).output().expect("the binary runs");
    let text = [output.stdout, output.stderr].concat();
    (String::from_utf8_lossy(&text).into_owned(), output.status.success())
}
