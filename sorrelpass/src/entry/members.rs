//! Polls the platform's VM list and publishes it.

use std::sync::Arc;

use coord::membership::{Role, Vm};
use coord::name::Name;
use tokio::sync::watch;

use super::Shared;
use super::kernel::Command;
use crate::platform::VmList;
use crate::{event, util, warn_event};

/// Polls the VM list periodically. While it cannot be read, the last list stays in use.
pub async fn run(shared: &Shared, vms: Box<dyn VmList>, out: watch::Sender<Arc<Vec<Vm>>>) {
    let mut reachable = true;
    loop {
        match vms.list().await {
            Ok(list) => {
                reachable = true;
                take(shared, list, &out).await;
            }
            Err(error) if reachable => {
                reachable = false;
                warn_event!("vm-list-unreadable", peer = %shared.settings.platform.vms_address, reason = %error);
            }
            Err(_) => {}
        }
        tokio::time::sleep(util::jitter(shared.settings.platform.vms_poll)).await;
    }
}

async fn take(shared: &Shared, list: Vec<Vm>, out: &watch::Sender<Arc<Vec<Vm>>>) {
    if **out.borrow() == list {
        return;
    }
    event!("vm-list", vms = list.len(), leaving = list.iter().filter(|vm| vm.leaving).count());
    let _ = shared.kernel.send(Command::Vms(list.clone())).await;
    out.send_replace(Arc::new(list));
}

/// Returns the peer addresses of the listed entries that are not leaving.
pub fn entries(vms: &[Vm]) -> Vec<Name> {
    vms.iter().filter(|vm| vm.role == Role::Entry && !vm.leaving).map(|vm| vm.address.clone()).collect()
}
