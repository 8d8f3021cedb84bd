//! Generates prompt text and the responses of engine stand-ins to it.
//!
//! A response is a function of the prompt alone, so that the load tool can check whether a caller received the
//! complete response to its own request and no part of another.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text per token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Block size of the digest, in bytes; a prompt may be split into spans at block boundaries.
pub const DIGEST_BLOCK_BYTES: usize = 64 * 1_024;

/// Returns the digest of prompt text that continues text with the digest `seed`; 0 starts a prompt.
pub fn prompt_digest(text: &[u8], seed: u64) -> u64 {
    text.chunks(DIGEST_BLOCK_BYTES).fold(seed, |digest, block| xxh3_64_with_seed(block, digest))
}

/// Returns the output token at the zero-based `index` of the response to the prompt with `digest`.
pub fn response_token(digest: u64, index: u64) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), digest);
    format!(" {:x}", hash & 0xf_ffff)
}

/// Returns the complete response of `tokens` tokens to the prompt with `digest`.
pub fn response_text(digest: u64, tokens: u64) -> String {
    (0..tokens).map(|index| response_token(digest, index)).collect()
}

/// Returns prompt text of `tokens` tokens, different for each `seed`.
pub fn generate_prompt(tokens: usize, seed: u64) -> String {
    let bytes = tokens * BYTES_PER_TOKEN;
    let mut text = String::with_capacity(bytes + 16);
    let mut hash_state = seed;
    while text.len() < bytes {
        hash_state = xxh3_64_with_seed(b"prompt", hash_state);
        text.push_str(&format!("{hash_state:016x} "));
    }
    text.truncate(bytes);
    text
}
