//! Plug-in registry: plug-ins register themselves at link time, and the settings select them by name.

use coord::pick::Picker;
use coord::queue::Order;

use crate::platform::{Log, VmList};

/// Weights of the goals between which a queue order balances.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Weight of the slowdown of short requests.
    pub slowdown: f64,
    /// Weight of the time to first token.
    pub ttft: f64,
}

/// Strategy that picks an endpoint for a request.
pub struct PickerPlugin {
    /// Name that selects the plug-in in the settings.
    pub name: &'static str,
    /// Creates a picker.
    pub build: fn() -> Box<dyn Picker>,
}

/// Order in which a sidecar serves its queue.
pub struct OrderPlugin {
    /// Name that selects the plug-in in the settings.
    pub name: &'static str,
    /// Creates a queue order with the given weights.
    pub build: fn(Weights) -> Box<dyn Order>,
}

/// Client of the platform's log.
pub struct LogPlugin {
    /// Name that selects the plug-in in the settings.
    pub name: &'static str,
    /// Creates a client for an address, `ip:port`.
    pub build: fn(&str) -> Box<dyn Log>,
}

/// Client of the platform's VM list.
pub struct VmListPlugin {
    /// Name that selects the plug-in in the settings.
    pub name: &'static str,
    /// Creates a client for an address, `ip:port`.
    pub build: fn(&str) -> Box<dyn VmList>,
}

inventory::collect!(PickerPlugin);
inventory::collect!(OrderPlugin);
inventory::collect!(LogPlugin);
inventory::collect!(VmListPlugin);

inventory::submit! { PickerPlugin { name: "round-robin", build: || Box::new(coord::pick::RoundRobin::default()) } }
inventory::submit! { PickerPlugin { name: "least-outstanding", build: || Box::new(coord::pick::LeastOutstanding) } }
inventory::submit! { PickerPlugin { name: "active-tokens", build: || Box::new(coord::pick::ActiveTokens) } }
inventory::submit! { PickerPlugin { name: "quoted", build: || Box::new(coord::pick::Quoted { by_prefix: 2 }) } }
inventory::submit! { OrderPlugin { name: "fifo", build: |_| Box::new(coord::queue::Fifo) } }
inventory::submit! {
    OrderPlugin {
        name: "slack",
        build: |weights| Box::new(coord::queue::Slack { slowdown_weight: weights.slowdown, ttft_weight: weights.ttft }),
    }
}

/// Returns the sorted names of all plug-ins of a kind, for error messages and the validation of settings.
pub fn names<T: inventory::Collect>(name: impl Fn(&T) -> &'static str) -> Vec<&'static str> {
    let mut names: Vec<&'static str> = inventory::iter::<T>.into_iter().map(name).collect();
    names.sort_unstable();
    names
}

/// Returns the plug-in whose name is `plugin_name`, or `None` if no such plug-in is registered.
pub fn find<T: inventory::Collect>(plugin_name: &str, name: impl Fn(&T) -> &'static str) -> Option<&'static T> {
    inventory::iter::<T>.into_iter().find(|plugin| name(plugin) == plugin_name)
}
