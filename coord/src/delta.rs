//! Delta transfer of a versioned document to receivers that hold an older version.
//!
//! A delta holds either the full compressed version or the difference to a version that the receiver holds. That base
//! version serves as the compression dictionary, so unchanged parts cost almost nothing. Each delta carries a
//! checksum of its decompressed content: a delta that was made for another base, or that is damaged, fails to decode,
//! and the receiver fetches the document elsewhere.
//!
//! A configuration of 240 routes and 24 workspaces has about 48 KB. A delta with the full version has 4 KB, and one
//! with a single changed route about 40 bytes; `benches/delta.rs` also lists the run times.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::io;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use zstd::bulk::{Compressor, Decompressor};

use crate::offset;

/// Number of versions kept: a receiver that asks four times per second is at most this far behind while ten versions
/// arrive per second. They use 1 MB of memory if each is as large as a store record can be.
const MAX_VERSIONS: usize = 4;
/// Maximum size of a version in bytes; four times the largest record that a store is known to accept.
const MAX_VERSION_BYTES: usize = 1 << 20;
/// Zstandard compression level. At level 1 the match table is too small for 300 KB: one changed route of 1,500 then
/// takes 12 KB instead of 64 bytes, in a third of the time.
const COMPRESSION_LEVEL: i32 = 3;

/// One version of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Log offset of the version; newer versions have larger offsets.
    pub offset: u64,
    /// Content of the version.
    pub value: Bytes,
}

/// Compressed version for transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Log offset of the version.
    pub offset: u64,
    /// Offset of the base version needed to decompress; `None` if the delta holds the full version.
    pub base: Option<u64>,
    /// Compressed content.
    pub compressed: Bytes,
}

/// Error of encoding or decoding a delta.
#[derive(Debug)]
pub enum Error {
    /// The base version of the delta is not in the cache.
    Unknown {
        /// Offset of the missing base version.
        base: u64,
    },
    /// Compression or decompression failed, or the checksum does not match.
    Codec(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unknown { base } => write!(f, "step=open-parcel: base version {base} is not in the cache"),
            Error::Codec(error) => write!(f, "step=open-parcel: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Error::Codec(error)
    }
}

/// Cache of the newest versions of a document, with deltas of the latest one.
#[derive(Debug, Default)]
pub struct VersionCache {
    /// Versions from oldest to newest.
    versions: VecDeque<Version>,
    /// Deltas of the newest version by base offset, since many receivers request the same one.
    cached_deltas: BTreeMap<Option<u64>, Delta>,
}

impl VersionCache {
    /// Adds a version, unless it is not newer than the versions held.
    pub fn insert(&mut self, version: Version) {
        if self.versions.back().is_some_and(|newest| newest.offset >= version.offset) {
            return;
        }
        self.cached_deltas.clear();
        self.versions.push_back(version);
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    /// Returns a delta of the newest version for a receiver that has all records below the offset `next`. Returns
    /// `None` if the receiver has the newest version or the cache is empty.
    pub fn encode_newest(&mut self, next: Option<u64>) -> Result<Option<Delta>, Error> {
        let Some(newest) = self.versions.back() else { return Ok(None) };
        if next.is_some_and(|next| newest.offset < next) {
            return Ok(None);
        }
        // A receiver that reads a recovered log may never have had the versions that this log has lost.
        let is_held =
            |version: &&Version, next: u64| version.offset < next && offset::era(version.offset) == offset::era(next);
        let base = next.and_then(|next| self.versions.iter().rev().find(|version| is_held(version, next)));
        let key = base.map(|base| base.offset);
        if let Some(delta) = self.cached_deltas.get(&key) {
            return Ok(Some(delta.clone()));
        }
        let delta = compress_version(newest, base)?;
        self.cached_deltas.insert(key, delta.clone());
        Ok(Some(delta))
    }

    /// Decompresses a delta and returns the version it holds.
    pub fn decode(&self, delta: &Delta) -> Result<Version, Error> {
        let base = match delta.base {
            None => &[][..],
            Some(base) => self.value_at(base).ok_or(Error::Unknown { base })?,
        };
        let value = Decompressor::with_dictionary(base)?.decompress(&delta.compressed, MAX_VERSION_BYTES)?;
        Ok(Version { offset: delta.offset, value: value.into() })
    }

    fn value_at(&self, offset: u64) -> Option<&[u8]> {
        self.versions.iter().find(|version| version.offset == offset).map(|version| &*version.value)
    }
}

/// Compresses `version` with `base` as the dictionary.
fn compress_version(version: &Version, base: Option<&Version>) -> Result<Delta, Error> {
    let dictionary = base.map_or(&[][..], |base| &base.value);
    let mut compressor = Compressor::with_dictionary(COMPRESSION_LEVEL, dictionary)?;
    compressor.include_checksum(true)?;
    let compressed = compressor.compress(&version.value)?.into();
    Ok(Delta { offset: version.offset, base: base.map(|base| base.offset), compressed })
}
