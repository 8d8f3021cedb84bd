//! Secrets: read from a file or an environment variable, never echoed.

use std::fmt;
use std::sync::Arc;

/// Bytes that must not be shown.
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Wraps secret bytes.
    pub fn new(bytes: &[u8]) -> Self {
        Self(Arc::from(bytes))
    }

    /// The bytes, for a MAC.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}
