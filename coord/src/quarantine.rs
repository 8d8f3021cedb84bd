//! Requests under which replicas end, and when such work is sent no more.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Fingerprint of what a request asks for: the same for each repeat of it, through whichever entry it comes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Work(pub [u8; 16]);

impl fmt::Display for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Work({self})")
    }
}
