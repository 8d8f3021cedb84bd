//! What the command tests share: a working directory and the binary.
#![allow(dead_code)]

use std::path::PathBuf;
use std::process::Command;

/// A working directory of a test's own, removed at its end.
pub struct Dir(PathBuf);

impl Dir {
    /// A fresh directory.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("sorrelpass-test-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the directory is made");
        Self(path)
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file is written");
        path.display().to_string()
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs `sorrelpass`; returns its output and whether it ended well.
pub fn sorrelpass(args: &[&str]) -> (String, bool) {
    let output = Command::new(env!("CARGO_BIN_EXE_sorrelpass")).args(args).output().expect("the binary runs");
    let text = [output.stdout, output.stderr].concat();
    (String::from_utf8_lossy(&text).into_owned(), output.status.success())
}
