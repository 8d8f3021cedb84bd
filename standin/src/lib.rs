//! Small stand-ins for external systems, the fleet that the tests and the demo start, and the load and experiment
//! tool. The crate is not shipped and does not simulate a cluster.

pub mod client;
pub mod compare;
pub mod engine;
pub mod fleet;
pub mod history;
pub mod ledger;
pub mod load_generator;
pub mod log;
pub mod overhead;
pub mod platform;
pub mod report;
pub mod resource_usage;
pub mod scale;
pub mod serve;
pub mod service;
pub mod soak;
pub mod text;
pub mod vms;
pub mod weights;
pub mod workload;
