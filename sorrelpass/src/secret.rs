//! Secrets, which come from a file or an environment variable and are never printed.

use std::fmt;
use std::sync::Arc;

/// Secret bytes. The `Debug` form omits them, so that they do not get into logs.
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Copies the bytes of a secret.
    pub fn new(bytes: &[u8]) -> Self {
        Self(Arc::from(bytes))
    }

    /// Returns the bytes, for use as the key of a MAC.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}
