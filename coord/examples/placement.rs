//! A controller is suspended past the end of its lease; the order that it writes after resuming is ignored.

use std::collections::BTreeMap;

use coord::fence::Fence;
use coord::name::{Incarnation, Name};
use coord::placement::{Artifacts, Placements, Record};
use coord::time::Moment;

fn claim(process: &str) -> Record {
    Record::Claim { domain: "leon".into(), process: process.into(), incarnation: Incarnation(1), term_ms: 4_000 }
}

fn place(fence: u64, version: &str) -> Record {
    let load = Artifacts { version: version.into(), adapters: Vec::new() };
    let loads = BTreeMap::from([(Name::from("pluma-1"), load)]);
    Record::Place { domain: "leon".into(), fence: Fence(fence), loads }
}

fn main() {
    let mut placements = Placements::new();
    let log = [
        (0, claim("entry-1"), "entry-1 claims"),
        (100, place(0, "v1"), "entry-1 places v1"),
        (5_000, claim("entry-2"), "entry-2 claims after the lease expired"),
        (5_100, place(2, "v2"), "entry-2 places v2"),
        (5_200, place(0, "v1"), "entry-1 resumes and places v1 again"),
    ];
    for (offset, (millis, record, description)) in log.into_iter().enumerate() {
        let counts = placements.apply(offset as u64, Moment::from_millis(millis), record);
        println!("{description}: {}", if counts { "valid" } else { "ignored" });
    }
    println!("order: {:?}", placements.order_for("pluma-1"));
}
