//! Random logs: every reader reaches the same verdicts from any starting point, and the revision never decreases.

use std::sync::Arc;

use coord::intent::{Change, Service};
use coord::name::Name;
use coord::replay::{Record, Replay, Verdict};
use proptest::prelude::*;

/// Generates a log of plans with random base revisions, confirmations, repetitions of both, and confirmations of
/// unknown plans.
fn log() -> impl Strategy<Value = Vec<Record>> {
    let item = 0..4u8;
    let plan = (0..30u8, 0..60u64, prop::collection::vec((item, 1..5u64), 1..4)).prop_map(|(id, base, changes)| {
        let put = |(name, deadline_ms): (u8, u64)| {
            let name = Name::from(format!("s{name}"));
            Change::PutService(Arc::new(Service { name, repeatable: false, deadline_ms }))
        };
        Record::Plan { id: format!("p{id}").into(), base, changes: changes.into_iter().map(put).collect() }
    });
    let confirm = (0..30u8).prop_map(|id| Record::Confirm { plan: format!("p{id}").into() });
    prop::collection::vec(prop_oneof![3 => plan, 3 => confirm], 1..80)
}

fn replayed(records: &[Record]) -> Replay {
    let mut replay = Replay::new();
    for (offset, record) in records.iter().enumerate() {
        replay.apply(offset as u64, record);
    }
    replay
}

fn verdicts(replay: &Replay) -> Vec<Option<Verdict>> {
    (0..30).map(|id| replay.verdict(&format!("p{id}")).cloned()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: if std::env::var_os("SORRELPASS_LONG").is_some() { 50_000 } else { 500 },
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn readers_agree_from_any_snapshot_and_any_repeat(records in log(), cut in 0..80usize, reread_count in 0..10usize) {
        let reference = replayed(&records);
        let cut = cut.min(records.len());
        let mut restored = Replay::new();
        restored.restore(&replayed(&records[..cut]).snapshot());
        // Some records are read again, as after a lost response.
        for (offset, record) in records.iter().enumerate().skip(cut.saturating_sub(reread_count)) {
            restored.apply(offset as u64, record);
        }
        prop_assert_eq!(reference.config(), restored.config());
        prop_assert_eq!(verdicts(&reference), verdicts(&restored));
        prop_assert_eq!(reference.snapshot(), restored.snapshot());
    }

    #[test]
    fn a_revision_never_goes_back_and_an_old_snapshot_changes_nothing(records in log(), cut in 0..80usize) {
        let mut replay = Replay::new();
        let old = replayed(&records[..cut.min(records.len())]).snapshot();
        let mut revision = 0;
        for (offset, record) in records.iter().enumerate() {
            replay.apply(offset as u64, record);
            prop_assert!(replay.config().revision >= revision);
            revision = replay.config().revision;
        }
        let before = replay.snapshot();
        prop_assert!(!replay.restore(&old) || old.next > before.next);
        prop_assert_eq!(replay.snapshot(), before);
    }

    #[test]
    fn of_two_plans_on_one_base_that_touch_one_item_one_wins(records in log()) {
        let replay = replayed(&records);
        let next = records.len() as u64;
        let mut replay = replay;
        let base = replay.config().revision;
        let put = |deadline_ms| Change::PutService(Arc::new(Service { name: "s0".into(), repeatable: true, deadline_ms }));
        for (number, id) in ["one", "two"].into_iter().enumerate() {
            let record = Record::Plan { id: id.into(), base, changes: vec![put(number as u64 + 1)] };
            replay.apply(next + number as u64, &record);
        }
        replay.apply(next + 2, &Record::Confirm { plan: "two".into() });
        replay.apply(next + 3, &Record::Confirm { plan: "one".into() });
        let accepted = matches!(replay.verdict("two"), Some(Verdict::Accepted { .. }));
        prop_assert!(accepted);
        match replay.verdict("one") {
            Some(Verdict::Conflict { winner, .. }) => prop_assert_eq!(&*winner.plan, "two"),
            restored => prop_assert!(false, "{:?}", restored),
        }
    }
}
