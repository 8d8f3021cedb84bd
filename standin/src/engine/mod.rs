//! The engine stand-in: a time model of a continuously batching model engine.

pub mod model;
pub mod server;
