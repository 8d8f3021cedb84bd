//! News of replicas on their way to another entry, compressed.
//!
//! Whoever starts gets all of it, and after a loss of all entries everyone starts at once: what one entry sends then grows
//! as entries × replicas. Records of one service are much alike, and compressed they take a quarter.

use bytes::Bytes;
use coord::roster::Sighting;
use eyre::{Result, WrapErr};
use serde::{Deserialize, Serialize};

/// How hard the compression tries: what the next level saves costs more time than it is worth on a fast link.
const LEVEL: i32 = 1;
/// Most bytes that come out of a message: 100,000 records.
const MOST_BYTES: usize = 16 << 20;

/// News in compressed form; none take no bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed(Bytes);

impl Packed {
    /// Compresses news.
    pub fn new(sightings: &[Sighting]) -> Result<Self> {
        if sightings.is_empty() {
            return Ok(Self::default());
        }
        let plain = postcard::to_stdvec(sightings).wrap_err("step=encode-news")?;
        let packed = zstd::bulk::compress(&plain, LEVEL).wrap_err("step=compress-news")?;
        Ok(Self(packed.into()))
    }

    /// The news.
    pub fn open(&self) -> Result<Vec<Sighting>> {
        if self.0.is_empty() {
            return Ok(Vec::new());
        }
        let plain = zstd::bulk::decompress(&self.0, MOST_BYTES).wrap_err("step=decompress-news")?;
        postcard::from_bytes(&plain).wrap_err("step=decode-news")
    }
}
