//! Prompt text and the answers that engine stand-ins give to it.
//!
//! An answer follows from the prompt alone, so that a load tool can tell whether a
//! caller got the whole answer to its own request and nobody else's.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text per token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Digests go over pieces of this size, so that a prompt may be cut between them.
pub const DIGEST_PIECE: usize = 64 * 1_024;

/// The digest of prompt text that follows text with digest `seed`.
pub fn digest(text: &[u8], seed: u64) -> u64 {
    text.chunks(DIGEST_PIECE).fold(seed, |digest, piece| xxh3_64_with_seed(piece, digest))
}

/// The output token number `index` of the answer to the prompt with `digest`.
pub fn token(digest: u64, index: u64) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), digest);
    format!(" {:x}", hash & 0xf_ffff)
}

/// The whole answer.
pub fn answer(digest: u64, tokens: u64) -> String {
    (0..tokens).map(|index| token(digest, index)).collect()
}

/// A prompt of about `tokens` tokens, unlike any with another `seed`.
pub fn prompt(tokens: usize, seed: u64) -> String {
    let bytes = tokens * BYTES_PER_TOKEN;
    let mut text = String::with_capacity(bytes + 16);
    let mut state = seed;
    while text.len() < bytes {
        state = xxh3_64_with_seed(b"prompt", state);
        text.push_str(&format!("{state:016x} "));
    }
    text.truncate(bytes);
    text
}
