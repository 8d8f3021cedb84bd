//! Limits that replicas name: what this entry knows of them.

use std::cell::RefCell;

use coord::limit::{Register, Word};
use coord::name::Name;
use coord::roster::Record;
use coord::time::Moment;
use platform::dialect;

use super::now;
use super::state::Gateway;
use crate::{event, metric, warn_event};

/// What this entry knows of limits.
#[derive(Default)]
pub struct Limits {
    register: RefCell<Register>,
}

/// Takes in what an answer of a replica says, to a request that was sent at `asked`.
pub fn said(gateway: &Gateway, record: &Record, answer: &dialect::Answer, asked: Moment) {
    if !answer.speaks_for_itself() {
        return;
    }
    let replica = &record.id;
    match answer.limit {
        Ok(rate) => hear(gateway, replica, Word { rate, asked, heard: now() }),
        // It says something, who knows what: what it said before stands.
        Err(error) => warn_event!("limit", peer = %replica, error = %error.0),
    }
}

/// Takes a word of a replica in.
fn hear(gateway: &Gateway, replica: &Name, word: Word) {
    let mut register = gateway.limits.register.borrow_mut();
    let before = register.rate(replica);
    if !register.hear(replica, word) {
        return;
    }
    event!("limit", peer = %replica, rate = ?register.rate(replica), before = ?before, age_ms = now().since(word.heard).as_millis());
    metric::limited(register.limited().count());
}
