//! Digests the sources of the program, so that its log tells from which ones it was built. Build folders that were kept, or
//! sources with older times, leave a program of other sources behind.

use std::path::{Path, PathBuf};
use std::{fs, io};

/// Folders with the sources, relative to this package.
const FOLDERS: [&str; 3] = ["../coord/src", "../platform/src", "src"];
/// Parameters of the hash FNV-1a with 64 bits.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

fn main() -> io::Result<()> {
    let mut files = Vec::new();
    for folder in FOLDERS {
        println!("cargo:rerun-if-changed={folder}");
        collect(Path::new(folder), &mut files)?;
    }
    files.sort();
    let mut digest = FNV_BASIS;
    for file in files {
        digest = hash(digest, file.to_string_lossy().as_bytes());
        digest = hash(digest, &fs::read(&file)?);
    }
    println!("cargo:rustc-env=SORRELPASS_SOURCES={digest:016x}");
    Ok(())
}

/// Adds all files in `folder` and the folders in it to `files`.
fn collect(folder: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    for item in fs::read_dir(folder)? {
        let path = item?.path();
        if path.is_dir() {
            collect(&path, files)?;
        } else {
            files.push(path);
        }
    }
    Ok(())
}

/// Continues the digest with `bytes`.
fn hash(digest: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(digest, |digest, byte| (digest ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
