//! Stand-ins for the users' platform: its store and its replicas, with their faults, and a site
//! of real entries in front of them.

mod client;
mod replica;
mod site;
mod store;

pub use client::{Ask, Seen, send};
pub use replica::{Act, Replica, Run};
pub use site::{HOST, KEY, Site, Spec};
pub use store::{Door, Fault, Store};
