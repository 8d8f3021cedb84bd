//! Conditions under which a fingerprint is condemned because replicas terminate while they hold its requests.

use coord::name::Name;
use coord::quarantine::{News, Register, Standing, Weight, Work};

fn work(number: u32) -> Work {
    Work(u128::from(number).to_be_bytes())
}

fn ended(number: u32, run: &str, weight: Weight) -> News {
    News::Ended { work: work(number), run: Name::from(run), weight }
}

fn register(news: impl IntoIterator<Item = News>) -> Register {
    let mut register = Register::default();
    news.into_iter().for_each(|news| drop(register.hear(news)));
    register
}

#[test]
fn the_third_replica_that_ends_at_the_start_of_work_condemns_it() {
    let mut register = register([ended(1, "a", Weight::Strong), ended(1, "b", Weight::Strong)]);
    assert_eq!(register.standing(work(1)), Standing::Suspect);
    let told = register.hear(ended(1, "c", Weight::Strong));
    assert_eq!(told, [ended(1, "c", Weight::Strong), News::Condemned(work(1))]);
    assert_eq!(register.standing(work(1)), Standing::Condemned);
    assert!(register.hear(ended(1, "d", Weight::Strong)).is_empty());
}

#[test]
fn one_end_counts_once_however_many_report_it() {
    let reports = (0..9).map(|_| ended(1, "a", Weight::Strong));
    let register = register(reports.chain([ended(1, "a", Weight::Faint)]));
    assert_eq!(register.standing(work(1)), Standing::Suspect);
    assert_eq!(register.suspects().collect::<Vec<_>>(), [(work(1), 2)]);
}

#[test]
fn work_that_only_waited_or_had_run_for_long_needs_five_ends() {
    let mut register = register(["a", "b", "c", "d"].map(|run| ended(1, run, Weight::Faint)));
    assert_ne!(register.standing(work(1)), Standing::Condemned);
    register.hear(ended(1, "e", Weight::Faint));
    assert_eq!(register.standing(work(1)), Standing::Condemned);
}

#[test]
fn who_met_the_guilty_work_each_time_is_cleared_by_its_verdict() {
    let mut register = register([
        ended(1, "a", Weight::Strong),
        ended(2, "a", Weight::Strong),
        ended(1, "b", Weight::Strong),
        ended(2, "b", Weight::Strong),
        ended(1, "c", Weight::Strong),
    ]);
    // A report that the other fingerprint was on the third replica too may still be in transit.
    assert_eq!(register.standing(work(1)), Standing::Suspect);
    register.hear(ended(1, "d", Weight::Strong));
    assert_eq!(register.standing(work(1)), Standing::Condemned);
    assert_eq!(register.standing(work(2)), Standing::Clear);
    // Reports of the same terminations that arrive later do not count either.
    assert!(register.hear(ended(2, "c", Weight::Strong)).is_empty());
    assert_eq!(register.standing(work(2)), Standing::Clear);
}

#[test]
fn of_two_that_were_on_the_same_replicas_neither_is_condemned_until_one_is_alone() {
    let both = ["a", "b"].into_iter().flat_map(|run| [1, 2].map(|number| ended(number, run, Weight::Strong)));
    let mut register = register(both);
    // The innocent fingerprint is reported first at the third termination.
    register.hear(ended(2, "c", Weight::Faint));
    register.hear(ended(1, "c", Weight::Strong));
    assert_eq!(register.standing(work(2)), Standing::Suspect);
    register.hear(ended(1, "d", Weight::Strong));
    register.hear(ended(1, "e", Weight::Strong));
    assert_eq!(register.standing(work(1)), Standing::Condemned);
    assert_eq!(register.standing(work(2)), Standing::Clear);
}

#[test]
fn two_that_always_end_replicas_together_are_condemned_in_the_end() {
    let runs = ["a", "b", "c", "d", "e"].into_iter();
    let register = register(runs.flat_map(|run| [1, 2].map(|number| ended(number, run, Weight::Strong))));
    assert!(register.condemned().next().is_some());
}

#[test]
fn a_good_answer_clears_a_suspect_and_lifts_a_verdict() {
    let mut suspected = register([ended(1, "a", Weight::Strong)]);
    assert_eq!(suspected.hear(News::Cleared(work(1))), [News::Cleared(work(1))]);
    assert_eq!(suspected.standing(work(1)), Standing::Clear);
    let mut condemned = register([News::Condemned(work(1))]);
    assert_eq!(condemned.hear(News::Cleared(work(1))), [News::Lifted(work(1))]);
    assert_eq!(condemned.standing(work(1)), Standing::Clear);
}

#[test]
fn an_operator_lifts_a_verdict_and_new_evidence_brings_it_back() {
    let mut register = register([News::Condemned(work(1)), News::Lifted(work(1))]);
    assert_eq!(register.standing(work(1)), Standing::Clear);
    for run in ["a", "b", "c"] {
        register.hear(ended(1, run, Weight::Strong));
    }
    assert_eq!(register.standing(work(1)), Standing::Condemned);
}

#[test]
fn a_flood_of_suspects_pushes_out_no_verdict_and_no_heavier_suspect() {
    let mut register =
        register([News::Condemned(work(1)), ended(2, "a", Weight::Strong), ended(2, "b", Weight::Strong)]);
    for number in 10..20_000 {
        register.hear(ended(number, &format!("run-{}", number / 16), Weight::Faint));
    }
    assert_eq!(register.standing(work(1)), Standing::Condemned);
    assert_eq!(register.suspects().collect::<Vec<_>>(), [(work(2), 4)]);
    assert!((10..20_000).filter(|number| register.evidence(work(*number)).next().is_some()).count() < 4_096);
}

#[test]
fn who_hears_all_that_another_knows_stands_where_it_does() {
    let known = register([
        News::Condemned(work(1)),
        ended(2, "a", Weight::Strong),
        ended(2, "b", Weight::Strong),
        ended(3, "a", Weight::Strong),
    ]);
    let mut other = Register::default();
    known.all().into_iter().for_each(|news| drop(other.hear(news)));
    (1..=3).for_each(|number| assert_eq!(other.standing(work(number)), known.standing(work(number))));
    assert_eq!(other.all(), known.all());
}

#[test]
fn a_fingerprint_is_read_back_from_its_text_and_nothing_else_is() {
    let known = Work(std::array::from_fn(|index| index as u8 * 17));
    assert_eq!(known.to_string().parse(), Ok(known));
    for text in ["", "0", "g0000000000000000000000000000000", "+0000000000000000000000000000000", "é"] {
        assert!(text.parse::<Work>().is_err(), "{text:?}");
    }
}

#[test]
fn a_fingerprint_tells_parts_apart() {
    let of = |parts: &[&str]| Work::of(parts.iter().map(|part| part.as_bytes()));
    assert_eq!(of(&["host", "path", ""]), of(&["host", "path", ""]));
    let others = [of(&["host", "path"]), of(&["hostpath", ""]), of(&["host", "", "path"]), of(&[]), of(&[""])];
    assert!(others.iter().enumerate().all(|(index, one)| !others[..index].contains(one)));
    assert!(!others.contains(&of(&["host", "path", ""])));
}
