//! Engine stand-in: a timing model of an inference engine with continuous batching, served over HTTP.

pub mod model;
pub mod server;
