//! What tests and benchmarks of the planner share.

use std::sync::Arc;

use coord::engine::Figures;

/// Sizes and speeds of an engine with so many slots, which plays so many steps in a pass that has writers.
pub fn figures(slots: u32, stride: u32) -> Arc<Figures> {
    Arc::new(Figures {
        slots,
        memory: 450_000,
        stride,
        step_ms: 0.925,
        per_writer_ms: 0.00483,
        per_context_ms: 0.00254,
        read_per_ms: 256.0,
        pairs_ms: 0.0917,
        chunk: 2_048,
        hop_ms: 0.1,
    })
}
