//! Two entries claim the same key for different sidecars; the claim with the lowest log offset holds for both.

use std::time::Duration;

use coord::claim::{Binding, Claims, Key};
use coord::name::Incarnation;
use coord::time::Moment;

fn main() {
    let mut claims = Claims::new(Duration::from_secs(3_600));
    let key = Key { workspace: "market".into(), key: "levy-42".into() };
    for (offset, endpoint) in ["ledger-1", "ledger-2"].into_iter().enumerate() {
        let proposed = Binding { endpoint: endpoint.into(), incarnation: Incarnation(7) };
        let at = Moment::from_millis(1_000 + offset as u64);
        let held = claims.apply(offset as u64, at, key.clone(), proposed);
        claims.skip_to(offset as u64 + 1);
        println!("claim for {endpoint}: bound to {}", held.endpoint);
    }
}
