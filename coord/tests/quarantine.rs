//! Conditions under which a fingerprint is condemned because replicas terminate while they hold its requests.

use coord::name::Name;
use coord::quarantine::{Event, Fingerprint, SharedCause, State, Status, Weight};

fn fingerprint(number: u32) -> Fingerprint {
    Fingerprint(u128::from(number).to_be_bytes())
}

fn termination(number: u32, run: &str, weight: Weight) -> Event {
    Event::Terminated { fingerprint: fingerprint(number), run: Name::from(run), weight }
}

fn state(events: impl IntoIterator<Item = Event>) -> State {
    let mut state = State::default();
    events.into_iter().for_each(|event| drop(state.apply(event)));
    state
}

#[test]
fn the_third_termination_at_the_start_of_a_request_condemns_it() {
    let mut state = state([termination(1, "a", Weight::Strong), termination(1, "b", Weight::Strong)]);
    assert_eq!(state.status(fingerprint(1)), Status::Suspect);
    let relayed = state.apply(termination(1, "c", Weight::Strong));
    assert_eq!(relayed, [termination(1, "c", Weight::Strong), Event::Condemned(fingerprint(1))]);
    assert_eq!(state.status(fingerprint(1)), Status::Condemned);
    assert!(state.apply(termination(1, "d", Weight::Strong)).is_empty());
}

#[test]
fn one_termination_counts_once_however_many_processes_report_it() {
    let reports = (0..9).map(|_| termination(1, "a", Weight::Strong));
    let state = state(reports.chain([termination(1, "a", Weight::Faint)]));
    assert_eq!(state.status(fingerprint(1)), Status::Suspect);
    assert_eq!(state.suspects().collect::<Vec<_>>(), [(fingerprint(1), 2)]);
}

#[test]
fn faint_evidence_condemns_only_after_five_terminations() {
    let mut state = state(["a", "b", "c", "d"].map(|run| termination(1, run, Weight::Faint)));
    assert_ne!(state.status(fingerprint(1)), Status::Condemned);
    state.apply(termination(1, "e", Weight::Faint));
    assert_eq!(state.status(fingerprint(1)), Status::Condemned);
}

/// Returns a part that was on these replicas, in the prompts with these numbers.
fn cause(runs: &[&str], works: &[u32]) -> SharedCause {
    let runs = runs.iter().map(|run| Name::from(*run)).collect();
    SharedCause { runs, works: works.iter().map(|work| fingerprint(*work)).collect() }
}

#[test]
fn a_request_is_not_condemned_while_a_part_that_it_does_not_hold_was_on_the_same_replicas() {
    for (number, status) in [(1, Status::Suspect), (7, Status::Condemned)] {
        let mut state = State::default();
        state.set_shared_causes(vec![cause(&["a", "b", "c", "d"], &[7, 8])]);
        ["a", "b", "c", "d"].iter().for_each(|run| drop(state.apply(termination(number, run, Weight::Strong))));
        assert_eq!(state.status(fingerprint(number)), status, "the part is in request 7 only");
    }
}

#[test]
fn a_request_is_condemned_beside_a_part_that_was_elsewhere_or_that_is_no_longer_suspected() {
    let mut state = State::default();
    state.set_shared_causes(vec![cause(&["a"], &[7, 8])]);
    ["a", "b", "c"].iter().for_each(|run| drop(state.apply(termination(1, run, Weight::Strong))));
    assert_eq!(state.status(fingerprint(1)), Status::Condemned);

    let mut state = State::default();
    state.set_shared_causes(vec![cause(&["a", "b", "c"], &[7, 8])]);
    ["a", "b", "c"].iter().for_each(|run| drop(state.apply(termination(1, run, Weight::Strong))));
    assert_eq!(state.status(fingerprint(1)), Status::Suspect);
    state.set_shared_causes(Vec::new());
    state.apply(termination(1, "d", Weight::Strong));
    assert_eq!(state.status(fingerprint(1)), Status::Condemned);
}

#[test]
fn a_request_is_condemned_beside_a_part_after_ten_terminations() {
    let runs = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
    let mut state = State::default();
    state.set_shared_causes(vec![cause(&runs, &[7, 8])]);
    for run in runs {
        assert_ne!(state.status(fingerprint(1)), Status::Condemned);
        state.apply(termination(1, run, Weight::Strong));
    }
    assert_eq!(state.status(fingerprint(1)), Status::Condemned);
}

#[test]
fn a_request_that_shared_each_replica_with_a_condemned_one_is_cleared() {
    let mut state = state([
        termination(1, "a", Weight::Strong),
        termination(2, "a", Weight::Strong),
        termination(1, "b", Weight::Strong),
        termination(2, "b", Weight::Strong),
        termination(1, "c", Weight::Strong),
    ]);
    // A report that the other fingerprint was on the third replica too may still be in transit.
    assert_eq!(state.status(fingerprint(1)), Status::Suspect);
    state.apply(termination(1, "d", Weight::Strong));
    assert_eq!(state.status(fingerprint(1)), Status::Condemned);
    assert_eq!(state.status(fingerprint(2)), Status::Clear);
    // Reports of the same terminations that arrive later do not count either.
    assert!(state.apply(termination(2, "c", Weight::Strong)).is_empty());
    assert_eq!(state.status(fingerprint(2)), Status::Clear);
}

#[test]
fn of_two_suspects_on_the_same_replicas_neither_is_condemned_until_one_is_alone() {
    let both = ["a", "b"].into_iter().flat_map(|run| [1, 2].map(|number| termination(number, run, Weight::Strong)));
    let mut state = state(both);
    // The innocent fingerprint is reported first at the third termination.
    state.apply(termination(2, "c", Weight::Faint));
    state.apply(termination(1, "c", Weight::Strong));
    assert_eq!(state.status(fingerprint(2)), Status::Suspect);
    state.apply(termination(1, "d", Weight::Strong));
    state.apply(termination(1, "e", Weight::Strong));
    assert_eq!(state.status(fingerprint(1)), Status::Condemned);
    assert_eq!(state.status(fingerprint(2)), Status::Clear);
}

#[test]
fn suspects_that_are_always_present_together_are_condemned_eventually() {
    let runs = ["a", "b", "c", "d", "e"].into_iter();
    let state = state(runs.flat_map(|run| [1, 2].map(|number| termination(number, run, Weight::Strong))));
    assert!(state.condemned().next().is_some());
}

#[test]
fn a_successful_answer_clears_a_suspect_and_lifts_a_verdict() {
    let mut with_suspect = state([termination(1, "a", Weight::Strong)]);
    assert_eq!(with_suspect.apply(Event::Cleared(fingerprint(1))), [Event::Cleared(fingerprint(1))]);
    assert_eq!(with_suspect.status(fingerprint(1)), Status::Clear);
    let mut with_verdict = state([Event::Condemned(fingerprint(1))]);
    assert_eq!(with_verdict.apply(Event::Cleared(fingerprint(1))), [Event::Lifted(fingerprint(1))]);
    assert_eq!(with_verdict.status(fingerprint(1)), Status::Clear);
}

#[test]
fn an_operator_lifts_a_verdict_and_new_evidence_brings_it_back() {
    let mut state = state([Event::Condemned(fingerprint(1)), Event::Lifted(fingerprint(1))]);
    assert_eq!(state.status(fingerprint(1)), Status::Clear);
    for run in ["a", "b", "c"] {
        state.apply(termination(1, run, Weight::Strong));
    }
    assert_eq!(state.status(fingerprint(1)), Status::Condemned);
}

#[test]
fn a_flood_of_suspects_evicts_no_verdict_and_no_suspect_with_more_points() {
    let mut state = state([
        Event::Condemned(fingerprint(1)),
        termination(2, "a", Weight::Strong),
        termination(2, "b", Weight::Strong),
    ]);
    for number in 10..20_000 {
        state.apply(termination(number, &format!("run-{}", number / 16), Weight::Faint));
    }
    assert_eq!(state.status(fingerprint(1)), Status::Condemned);
    assert_eq!(state.suspects().collect::<Vec<_>>(), [(fingerprint(2), 4)]);
    assert!((10..20_000).filter(|number| state.evidence(fingerprint(*number)).next().is_some()).count() < 4_096);
}

#[test]
fn a_process_that_receives_all_events_of_another_reaches_the_same_status() {
    let original = state([
        Event::Condemned(fingerprint(1)),
        termination(2, "a", Weight::Strong),
        termination(2, "b", Weight::Strong),
        termination(3, "a", Weight::Strong),
    ]);
    let mut other = State::default();
    original.events().into_iter().for_each(|event| drop(other.apply(event)));
    (1..=3).for_each(|number| assert_eq!(other.status(fingerprint(number)), original.status(fingerprint(number))));
    assert_eq!(other.events(), original.events());
}

#[test]
fn only_the_text_of_a_fingerprint_parses() {
    let original = Fingerprint(std::array::from_fn(|index| index as u8 * 17));
    assert_eq!(original.to_string().parse(), Ok(original));
    for text in ["", "0", "g0000000000000000000000000000000", "+0000000000000000000000000000000", "é"] {
        assert!(text.parse::<Fingerprint>().is_err(), "{text:?}");
    }
}

#[test]
fn a_fingerprint_distinguishes_lists_of_parts() {
    let fingerprint_of = |parts: &[&str]| Fingerprint::of(parts.iter().map(|part| part.as_bytes()));
    assert_eq!(fingerprint_of(&["host", "path", ""]), fingerprint_of(&["host", "path", ""]));
    let others = [
        fingerprint_of(&["host", "path"]),
        fingerprint_of(&["hostpath", ""]),
        fingerprint_of(&["host", "", "path"]),
        fingerprint_of(&[]),
        fingerprint_of(&[""]),
    ];
    assert!(others.iter().enumerate().all(|(index, one)| !others[..index].contains(one)));
    assert!(!others.contains(&fingerprint_of(&["host", "path", ""])));
}

#[test]
fn a_request_on_replicas_that_another_cause_terminated_is_exonerated() {
    let runs = ["a", "b", "c", "d"].map(Name::from);
    let mut state = state(runs.iter().take(3).map(|run| termination(1, run, Weight::Strong)));
    state.apply(termination(2, "a", Weight::Strong));
    assert_eq!(state.status(fingerprint(1)), Status::Condemned);
    assert_eq!(state.exonerate(&runs[1..].iter().cloned().collect()), [fingerprint(1)]);
    assert_eq!(state.apply(Event::Lifted(fingerprint(1))), [Event::Lifted(fingerprint(1))]);
    assert_eq!(state.status(fingerprint(1)), Status::Clear);
}

#[test]
fn a_verdict_that_its_remaining_evidence_supports_stands() {
    let terminations = ["a", "b", "c"].map(|run| termination(1, run, Weight::Strong));
    let mut state = state(terminations);
    assert_eq!(state.exonerate(&[Name::from("other")].into()), []);
    assert_eq!(state.status(fingerprint(1)), Status::Condemned);
}
