//! The registry: plug-ins submit themselves and are chosen by name in the settings.

use coord::pick::Picker;
use coord::queue::Order;

use crate::platform::{Log, VmList};

/// Weights of the deployment's measures, given to queue orders.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// What slowdown of short requests weighs.
    pub slowdown: f64,
    /// What time to first token weighs.
    pub ttft: f64,
}

/// A way of picking endpoints.
pub struct PickerPlugin {
    /// Name in the settings.
    pub name: &'static str,
    /// Makes one.
    pub make: fn() -> Box<dyn Picker>,
}

/// An order of the queue.
pub struct OrderPlugin {
    /// Name in the settings.
    pub name: &'static str,
    /// Makes one.
    pub make: fn(Weights) -> Box<dyn Order>,
}

/// A client of the platform's log.
pub struct LogPlugin {
    /// Name in the settings.
    pub name: &'static str,
    /// Makes one for an address.
    pub make: fn(&str) -> Box<dyn Log>,
}

/// A client of the platform's VM list.
pub struct VmListPlugin {
    /// Name in the settings.
    pub name: &'static str,
    /// Makes one for an address.
    pub make: fn(&str) -> Box<dyn VmList>,
}

inventory::collect!(PickerPlugin);
inventory::collect!(OrderPlugin);
inventory::collect!(LogPlugin);
inventory::collect!(VmListPlugin);

inventory::submit! { PickerPlugin { name: "round-robin", make: || Box::new(coord::pick::RoundRobin::default()) } }
inventory::submit! { PickerPlugin { name: "least-outstanding", make: || Box::new(coord::pick::LeastOutstanding) } }
inventory::submit! { PickerPlugin { name: "active-tokens", make: || Box::new(coord::pick::ActiveTokens) } }
inventory::submit! { PickerPlugin { name: "quoted", make: || Box::new(coord::pick::Quoted { by_prefix: 2 }) } }
inventory::submit! { OrderPlugin { name: "fifo", make: |_| Box::new(coord::queue::Fifo) } }
inventory::submit! {
    OrderPlugin {
        name: "slack",
        make: |weights| Box::new(coord::queue::Slack { slowdown_weight: weights.slowdown, ttft_weight: weights.ttft }),
    }
}

/// Names of all plug-ins of a kind, sorted, for messages and settings checks.
pub fn names<T: inventory::Collect>(name: impl Fn(&T) -> &'static str) -> Vec<&'static str> {
    let mut names: Vec<&'static str> = inventory::iter::<T>.into_iter().map(name).collect();
    names.sort_unstable();
    names
}

/// The plug-in named `wanted`.
pub fn find<T: inventory::Collect>(wanted: &str, name: impl Fn(&T) -> &'static str) -> Option<&'static T> {
    inventory::iter::<T>.into_iter().find(|plugin| name(plugin) == wanted)
}
