//! Stand-ins for the users' platform: the store and the replicas, both with fault injection, and a site that runs real
//! entry processes in front of them.

mod client;
mod configuration;
mod proxy;
mod replica;
mod site;
pub mod soak;
mod store;

pub use client::{RequestSpec, Connection, Outcome, send};
pub use proxy::{NetworkFault, Proxy};
pub use replica::{Behavior, Replica, ReceivedRequest};
pub use site::{HOST, KEY, Proxies, Site, Spec};
pub use store::{Snapshot, Fault, Store, StoreListener};
