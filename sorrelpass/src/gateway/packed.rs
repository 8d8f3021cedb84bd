//! Compressed replica updates and transfers, as entries send them to each other.
//!
//! An entry that starts receives the records of all replicas. If all entries restart at the same time, the traffic
//! grows with the number of entries times the number of replicas. The records of one service are similar to each
//! other, and compression reduces them to a quarter of their size.

use bytes::Bytes;
use coord::name::Name;
use coord::roster::{Extent, Transfer, Update};
use eyre::{Result, WrapErr};
use serde::{Deserialize, Serialize};

/// zstd compression level. On a fast link, the next level takes more time than its smaller output saves.
const COMPRESSION_LEVEL: i32 = 1;
/// Bounds the decompressed size of a message, in bytes: enough for 100,000 records.
const MAX_DECOMPRESSED_BYTES: usize = 16 << 20;

/// Transfer of replica updates in compressed form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedTransfer {
    /// Part of the log that the updates cover.
    pub extent: Extent,
    updates: Packed,
    doubtful: Vec<Name>,
}

impl PackedTransfer {
    /// Encodes and compresses the updates of a transfer.
    pub fn new(transfer: Transfer) -> Result<Self> {
        let Transfer { extent, updates, doubtful } = transfer;
        Ok(Self { extent, updates: Packed::new(&updates)?, doubtful })
    }

    /// Decompresses and decodes the updates.
    pub fn unpack(self) -> Result<Transfer> {
        let Self { extent, updates, doubtful } = self;
        Ok(Transfer { extent, updates: updates.decompress()?, doubtful })
    }
}

/// Replica updates in compressed form. An empty list takes no bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Packed(Bytes);

impl Packed {
    /// Encodes and compresses replica updates.
    fn new(updates: &[Update]) -> Result<Self> {
        if updates.is_empty() {
            return Ok(Self::default());
        }
        let encoded = postcard::to_stdvec(updates).wrap_err("step=encode-updates")?;
        let compressed = zstd::bulk::compress(&encoded, COMPRESSION_LEVEL).wrap_err("step=compress-updates")?;
        Ok(Self(compressed.into()))
    }

    /// Decompresses and decodes the replica updates.
    fn decompress(&self) -> Result<Vec<Update>> {
        if self.0.is_empty() {
            return Ok(Vec::new());
        }
        let encoded = zstd::bulk::decompress(&self.0, MAX_DECOMPRESSED_BYTES).wrap_err("step=decompress-updates")?;
        postcard::from_bytes(&encoded).wrap_err("step=decode-updates")
    }
}
