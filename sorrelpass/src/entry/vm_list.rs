//! Polls the platform's VM list and publishes it.

use std::sync::Arc;

use coord::membership::{Role, Vm};
use coord::name::Name;
use tokio::sync::watch;

use super::Shared;
use super::event_loop::Command;
use crate::platform::VmList;
use crate::{event, util, warn_event};

/// Polls the VM list periodically. While it cannot be read, the last list stays in use.
pub async fn run(shared: &Shared, vms: Box<dyn VmList>, sender: watch::Sender<Arc<Vec<Vm>>>) {
    let mut is_reachable = true;
    let mut unreadable_items = 0;
    loop {
        match vms.list().await {
            Ok(list) => {
                is_reachable = true;
                if std::mem::replace(&mut unreadable_items, list.unreadable_items) != list.unreadable_items {
                    warn_event!("vm-list-items-unreadable", items = list.unreadable_items);
                }
                update(shared, list.vms, &sender).await;
            }
            Err(error) if is_reachable => {
                is_reachable = false;
                warn_event!("vm-list-unreadable", peer = %shared.settings.platform.vms_address, reason = %error);
            }
            Err(_) => {}
        }
        tokio::time::sleep(util::jitter(shared.settings.platform.vms_poll_interval)).await;
    }
}

async fn update(shared: &Shared, list: Vec<Vm>, sender: &watch::Sender<Arc<Vec<Vm>>>) {
    if **sender.borrow() == list {
        return;
    }
    event!("vm-list", vms = list.len(), leaving = list.iter().filter(|vm| vm.leaving).count());
    let _ = shared.event_loop.send(Command::UpdateVms(list.clone())).await;
    sender.send_replace(Arc::new(list));
}

/// Returns the peer addresses of the listed entries that are not draining.
pub fn entry_addresses(vms: &[Vm]) -> Vec<Name> {
    vms.iter().filter(|vm| vm.role == Role::Entry && !vm.leaving).map(|vm| vm.address.clone()).collect()
}
