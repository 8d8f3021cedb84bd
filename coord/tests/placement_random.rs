//! Random leases and placements: orders of a former lease holder are ignored, and a rolling update respects its
//! share.

use std::collections::BTreeMap;
use std::sync::Arc;

use coord::fence::Fence;
use coord::intent::{Change, Config, Intent};
use coord::name::{Incarnation, Name};
use coord::placement::{Artifacts, Endpoint, Order, Placements, Record, roll_out};
use coord::time::Moment;
use proptest::prelude::*;

fn config(version: &str) -> Config {
    let intent: Intent = serde_json::from_value(serde_json::json!({
        "model": "m", "service": "s", "workspaces": ["*"], "version": version, "adapters": ["a"],
    }))
    .expect("an intent");
    let mut config = Config::default();
    config.apply(&Change::PutIntent(Arc::new(intent)));
    config
}

fn load(version: &str) -> Artifacts {
    Artifacts { version: version.into(), adapters: vec!["a".into()] }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: if std::env::var_os("SORRELPASS_LONG").is_some() { 50_000 } else { 500 },
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    /// Three processes claim the lease and place orders at random times, each with the fence of its last successful
    /// claim.
    #[test]
    fn only_placements_of_the_current_holder_take_effect(
        steps in prop::collection::vec((0..3usize, any::<bool>(), 0..5_000u64), 1..100),
    ) {
        let mut placements = Placements::new();
        let mut now = 0;
        let mut fences: [Option<Fence>; 3] = [None; 3];
        let mut newest = None;
        for (offset, (process, claims, pause)) in steps.into_iter().enumerate() {
            now += pause;
            let (offset, at) = (offset as u64, Moment::from_millis(now));
            let name = Name::from(format!("p{process}"));
            if claims {
                let record = Record::Claim {
                    domain: "d".into(), process: name.clone(), incarnation: Incarnation(1), term_ms: 4_000,
                };
                let won = placements.apply(offset, at, record);
                if won {
                    let fence = placements.lease("d").and_then(|lease| lease.holder()).map(|holder| holder.fence);
                    prop_assert!(fence >= newest, "a fence never decreases");
                    newest = fence;
                    fences[process] = fence;
                }
                continue;
            }
            let Some(fence) = fences[process] else { continue };
            let loads = BTreeMap::from([(Name::from("e"), load(&format!("v{offset}")))]);
            let took_effect = placements.apply(offset, at, Record::Place { domain: "d".into(), fence, loads });
            prop_assert_eq!(took_effect, Some(fence) == newest);
            if took_effect {
                let order = placements.order_for("e").expect("an order");
                prop_assert_eq!((order.offset, order.fence), (offset, fence));
            }
        }
    }

    /// Endpoints apply their orders in random order; the others keep their load.
    #[test]
    fn a_rolling_update_changes_at_most_its_share_at_a_time_and_completes(
        count in 1..40usize,
        share in 0.05..0.6f64,
        arrivals in prop::collection::vec(any::<prop::sample::Index>(), 0..400),
    ) {
        let config = config("v2");
        let mut endpoints: Vec<Endpoint> = (0..count)
            .map(|number| Endpoint { name: format!("e{number}").into(), service: "s".into(), loaded: Some(load("v1")) })
            .collect();
        let mut orders: BTreeMap<Name, Order> = BTreeMap::new();
        let max_changing = ((count as f64 * share) as usize).max(1);
        let final_round = (0..count).map(|number| number % count);
        let arrival_order: Vec<usize> = arrivals.iter().map(|index| index.index(count)).chain(final_round.cycle().take(count * count)).collect();
        for arrived in arrival_order {
            for (name, load) in roll_out(&config, &endpoints, &orders, share) {
                orders.insert(name, Order { fence: Fence(1), offset: 1, load });
            }
            let changing = endpoints
                .iter()
                .filter(|endpoint| orders.contains_key(&endpoint.name) && endpoint.loaded != Some(load("v2")))
                .count();
            prop_assert!(changing <= max_changing, "{} of {} change at once", changing, count);
            if orders.contains_key(&endpoints[arrived].name) {
                endpoints[arrived].loaded = Some(load("v2"));
            }
        }
        prop_assert!(endpoints.iter().all(|endpoint| endpoint.loaded == Some(load("v2"))));
    }
}
