//! Two operators confirm conflicting plans; every reader of the log finds the same winner.

use std::sync::Arc;

use coord::intent::{Change, Service};
use coord::replay::{Record, Replay};

fn main() {
    let put =
        |deadline_ms| Change::PutService(Arc::new(Service { name: "ledger".into(), repeatable: false, deadline_ms }));
    let log = [
        Record::Plan { id: "amina".into(), base: 0, changes: vec![put(1_000)] },
        Record::Plan { id: "josue".into(), base: 0, changes: vec![put(2_000)] },
        Record::Confirm { plan: "josue".into() },
        Record::Confirm { plan: "amina".into() },
        // A repeated append, as after a lost response, changes nothing.
        Record::Confirm { plan: "josue".into() },
    ];
    let mut replay = Replay::new();
    for (offset, record) in log.iter().enumerate() {
        replay.apply(offset as u64, record);
    }
    println!("josue: {:?}", replay.verdict("josue"));
    println!("amina: {:?}", replay.verdict("amina"));
    println!("revision {}: {:?}", replay.config().revision, replay.config().services);
}
