//! Invariants that are checked in every build.

use std::sync::atomic::{AtomicU64, Ordering};

static BREACHES: AtomicU64 = AtomicU64::new(0);

/// How many invariants were breached in this process.
pub fn breaches() -> u64 {
    BREACHES.load(Ordering::Relaxed)
}

/// Counts a breach; panics in builds with debug assertions. Called by [`invariant!`](crate::invariant!).
pub fn breach(what: &str) {
    BREACHES.fetch_add(1, Ordering::Relaxed);
    debug_assert!(false, "invariant breached: {what}");
    eprintln!("level=error step=invariant breach={what:?}");
}

/// Checks that a condition holds, in every build.
#[macro_export]
macro_rules! invariant {
    ($condition:expr, $what:expr) => {
        if !$condition {
            $crate::invariant::breach($what);
        }
    };
}
