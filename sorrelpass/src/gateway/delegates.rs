//! Delegates reads of the store to followers while the store does not answer the leader.
//!
//! Without delegation, every follower would read the store itself as soon as its data are too old: as many calls at the
//! same time as there are entries, although one answer serves all of them.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use coord::time::Moment;

use super::now;
use super::peer_protocol::{FollowerMessage, SyncRequest};
use super::state::Gateway;
use super::store_view;

/// Bounds the number of delegated reads whose answers are still accepted.
const MAX_PENDING_READS: usize = 8;
/// Time within which a follower reads both topics if the store answers it.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reads that this entry has delegated to followers.
#[derive(Default)]
pub struct Delegates {
    next_number: Cell<u64>,
    /// Number and send time of the newest delegated reads, the oldest first.
    pending: RefCell<VecDeque<(u64, Moment)>>,
}

impl Delegates {
    /// Registers a delegated read and returns its number.
    fn register(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let mut pending = self.pending.borrow_mut();
        pending.push_back((number, now()));
        if pending.len() > MAX_PENDING_READS {
            pending.pop_front();
        }
        number
    }

    /// Returns when the delegated read `number` was sent, or `None` if it is not among the newest
    /// [`MAX_PENDING_READS`].
    pub fn sent_at(&self, number: u64) -> Option<Moment> {
        self.pending.borrow().iter().find(|(other, _)| *other == number).map(|(_, at)| *at)
    }
}

/// Asks some followers to read the store, if this entry is a leader with followers.
pub fn delegate(gateway: &Gateway) {
    if gateway.admission.has_leader() || gateway.admission.is_standalone() {
        return;
    }
    let number = gateway.store_view.delegates.register();
    gateway.admission.delegate_read(&store_view::sync_request(gateway, number));
}

/// Reads the store on behalf of the leader and reports the changes to it.
pub async fn read(gateway: Rc<Gateway>, request: SyncRequest) {
    let since = now();
    gateway.store_view.request_read();
    if tokio::time::timeout(READ_TIMEOUT, gateway.store_view.wait_for_read_since(since)).await.is_err() {
        // No error report is needed: the leader delegated the read to other followers too.
        return;
    }
    let response = store_view::sync_response(&gateway, &request);
    gateway.admission.report_to_leader(FollowerMessage::DelegatedRead { number: request.number, response });
}
