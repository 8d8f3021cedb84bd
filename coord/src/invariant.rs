//! Runtime invariant checks, enabled in every build.

use std::sync::atomic::{AtomicU64, Ordering};

static BREACHES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of invariant breaches in this process.
pub fn breaches() -> u64 {
    BREACHES.load(Ordering::Relaxed)
}

/// Counts and logs a breach; panics in builds with debug assertions. [`invariant!`](crate::invariant!) calls this.
pub fn record_breach(description: &str) {
    BREACHES.fetch_add(1, Ordering::Relaxed);
    debug_assert!(false, "invariant breached: {description}");
    eprintln!("level=error step=invariant breach={description:?}");
}

/// Reports a breach if the condition is false, in every build.
#[macro_export]
macro_rules! invariant {
    ($condition:expr, $description:expr) => {
        if !$condition {
            $crate::invariant::record_breach($description);
        }
    };
}
