//! Probes that requests to the same replica share.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use coord::name::Name;
use coord::probe::ProbeResult;
use tokio::sync::OnceCell;

/// Result of a probe once it is known.
type SharedResult = Rc<OnceCell<ProbeResult>>;

/// Probes that are in progress, by replica and by whether its process is asked.
#[derive(Default)]
pub(super) struct Probes(RefCell<HashMap<(Name, bool), SharedResult>>);

impl Probes {
    /// Runs a probe of a replica, or waits for the result of one that is in progress.
    pub async fn run<F: Future<Output = ProbeResult>>(
        &self,
        replica: &Name,
        asks_process: bool,
        probe: impl FnOnce() -> F,
    ) -> ProbeResult {
        let key = (replica.clone(), asks_process);
        let shared = self.0.borrow_mut().entry(key.clone()).or_default().clone();
        let result = *shared.get_or_init(probe).await;
        let mut probes = self.0.borrow_mut();
        if probes.get(&key).is_some_and(|current| Rc::ptr_eq(current, &shared)) {
            probes.remove(&key);
        }
        result
    }
}
