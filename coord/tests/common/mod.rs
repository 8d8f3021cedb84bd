//! Engine parameters shared by the planner's tests and benchmarks.

use std::sync::Arc;

use coord::engine::Profile;

/// Returns the parameters of an engine with `slots` slots and `stride` token steps per pass with decoding requests.
pub fn profile(slots: u32, stride: u32) -> Arc<Profile> {
    Arc::new(Profile {
        slots,
        memory: 450_000,
        stride,
        step_ms: 0.925,
        per_sequence_ms: 0.00483,
        per_context_ms: 0.00254,
        prefill_tokens_per_ms: 256.0,
        attention_ms_per_million_pairs: 0.0917,
        chunk: 2_048,
        remote_prefill_step_ms: 0.1,
    })
}
