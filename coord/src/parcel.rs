//! Versions of a document, passed on to those who hold an older one.
//!
//! A parcel holds a whole version, compressed, or what has changed since the version that its receiver holds: that
//! version serves as the dictionary of the compression, so that what is the same costs next to nothing. Each parcel
//! carries a checksum of what comes out of it; one that was made for another version than the receiver holds, or that was
//! damaged, does not open, and its receiver gets the document elsewhere.
//!
//! A configuration of 240 routes and 24 workspaces has some 48 KB; whole it makes a parcel of 4 KB, and with one
//! route changed since the version before of some 40 bytes (`benches/parcel.rs`, which also tells the times).

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::io;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use zstd::bulk::{Compressor, Decompressor};

/// Versions that are kept: those who ask four times a second are at most so many behind while ten come a second. 1 MB of
/// memory where each is as large as a record of the store may be.
const KEPT: usize = 4;
/// Largest version that a parcel may hold, in bytes: four times the largest record that stores were seen to take.
const MOST_BYTES: usize = 1 << 20;
/// How hard the compression tries. At level 1 its table is too small for 300 KB: one changed route of 1,500 then makes 12 KB
/// in place of 64 bytes, at a third of the time.
const LEVEL: i32 = 3;

/// One version of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Its offset in the log that it comes from; newer ones have greater ones.
    pub offset: u64,
    /// Its bytes.
    pub value: Bytes,
}

/// A version on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parcel {
    /// Its offset.
    pub offset: u64,
    /// The offset of the version that it is opened with; none if it holds all.
    pub base: Option<u64>,
    /// The compressed bytes.
    pub packed: Bytes,
}

/// Why a parcel does not open, or cannot be made.
#[derive(Debug)]
pub enum Error {
    /// The version that it was made for is not held here.
    Unknown {
        /// That version's offset.
        base: u64,
    },
    /// The compression failed, or the checksum does not fit.
    Codec(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unknown { base } => write!(f, "step=open-parcel: version {base} is not held"),
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

/// The newest versions of a document, and the parcels made of the newest.
#[derive(Debug, Default)]
pub struct Shelf {
    /// The oldest first.
    versions: VecDeque<Version>,
    /// Parcels of the newest, by what they are opened with: many ask for the same.
    packed: BTreeMap<Option<u64>, Parcel>,
}

impl Shelf {
    /// Keeps a version; one that is not newer than all that are kept is left out.
    pub fn keep(&mut self, version: Version) {
        if self.versions.back().is_some_and(|newest| newest.offset >= version.offset) {
            return;
        }
        self.packed.clear();
        self.versions.push_back(version);
        if self.versions.len() > KEPT {
            self.versions.pop_front();
        }
    }

    /// A parcel of the newest version for someone who knows all records below the offset `next`; none if that one has
    /// the newest, or if nothing is kept.
    pub fn parcel(&mut self, next: Option<u64>) -> Result<Option<Parcel>, Error> {
        let Some(newest) = self.versions.back() else { return Ok(None) };
        if next.is_some_and(|next| newest.offset < next) {
            return Ok(None);
        }
        let base = next.and_then(|next| self.versions.iter().rev().find(|version| version.offset < next));
        let key = base.map(|base| base.offset);
        if let Some(parcel) = self.packed.get(&key) {
            return Ok(Some(parcel.clone()));
        }
        let parcel = pack(newest, base)?;
        self.packed.insert(key, parcel.clone());
        Ok(Some(parcel))
    }

    /// The version that a parcel holds.
    pub fn open(&self, parcel: &Parcel) -> Result<Version, Error> {
        let base = match parcel.base {
            None => &[][..],
            Some(base) => self.value(base).ok_or(Error::Unknown { base })?,
        };
        let value = Decompressor::with_dictionary(base)?.decompress(&parcel.packed, MOST_BYTES)?;
        Ok(Version { offset: parcel.offset, value: value.into() })
    }

    fn value(&self, offset: u64) -> Option<&[u8]> {
        self.versions.iter().find(|version| version.offset == offset).map(|version| &*version.value)
    }
}

/// Makes a parcel that is opened with `base`.
fn pack(version: &Version, base: Option<&Version>) -> Result<Parcel, Error> {
    let dictionary = base.map_or(&[][..], |base| &base.value);
    let mut compressor = Compressor::with_dictionary(LEVEL, dictionary)?;
    compressor.include_checksum(true)?;
    let packed = compressor.compress(&version.value)?.into();
    Ok(Parcel { offset: version.offset, base: base.map(|base| base.offset), packed })
}
