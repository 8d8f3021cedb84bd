//! Stand-ins for the users' platform: the store and the replicas, both with fault injection, and a site that runs real
//! entry processes in front of them.

mod client;
mod configuration;
mod fragile;
mod proxy;
mod query;
mod replica;
mod site;
pub mod soak;
mod store;

pub use client::{Connection, Outcome, RequestSpec, send};
pub use fragile::{Aftermath, Arrival, FragileReplica, Stage, Termination};
pub use proxy::{NetworkFault, Proxy};
pub use replica::{Behavior, ReceivedRequest, Replica};
pub use site::{HOST, KEY, Proxies, Site, Spec};
pub use store::{Fault, Snapshot, Store, StoreListener};
