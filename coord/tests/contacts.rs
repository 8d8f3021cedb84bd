//! What signs of life and probes say about a replica of which a request was lost.

use std::time::Duration;

use coord::contact::{Contacts, SURVIVAL_TIME};
use coord::name::Name;
use coord::probe::ProbeResult::{Ended, Listening, Mute, Serving, Unknown};
use coord::probe::{next_probe, proof_of_lost, proof_of_silent};
use coord::quarantine::Proof;
use coord::time::Moment;

fn at(ms: u64) -> Moment {
    Moment::from_millis(10_000 + ms)
}

fn replica() -> Name {
    "replica".into()
}

#[test]
fn a_connection_that_goes_on_long_after_a_loss_proves_that_the_process_runs_on() {
    let survival = SURVIVAL_TIME.as_millis() as u64;
    for (sent_ms, heard_ms, survives) in
        [(0, 100 + survival, true), (0, 99 + survival, false), (20, 100 + survival, false)]
    {
        let mut contacts = Contacts::default();
        let other = contacts.begin(&replica(), at(sent_ms));
        let lost = contacts.begin(&replica(), at(10));
        let interval = contacts.lose(&replica(), lost, at(100)).expect("the loss is evidence");
        contacts.end(&replica(), lost, at(100));
        contacts.hear(&replica(), other, at(heard_ms));
        contacts.end(&replica(), other, at(heard_ms));
        assert_eq!(contacts.has_survivor(&replica(), interval), survives, "sent {sent_ms}, heard {heard_ms}");
    }
}

#[test]
fn nothing_is_lost_at_once_with_a_replica_that_shows_no_life_since_the_last_loss() {
    let mut contacts = Contacts::default();
    let lose = |contacts: &mut Contacts, sent_ms, lost_ms| {
        let contact = contacts.begin(&replica(), at(sent_ms));
        let lost = contacts.lose(&replica(), contact, at(lost_ms));
        contacts.end(&replica(), contact, at(lost_ms));
        lost.is_some()
    };
    assert!(lose(&mut contacts, 0, 1), "the first one");
    assert!(!lose(&mut contacts, 10, 12));
    assert!(lose(&mut contacts, 20, 60), "something had the request for a while");
    let alive = contacts.begin(&replica(), at(100));
    contacts.hear(&replica(), alive, at(110));
    assert!(lose(&mut contacts, 120, 121), "it showed life");
    let early = contacts.begin(&replica(), at(130));
    assert!(lose(&mut contacts, 131, 140));
    assert!(contacts.lose(&replica(), early, at(141)).is_some(), "it was sent before the loss");
}

#[test]
fn a_replica_is_silent_since_its_last_byte_on_any_connection() {
    let mut contacts = Contacts::default();
    let first = contacts.begin(&replica(), at(0));
    let second = contacts.begin(&replica(), at(0));
    contacts.hear(&replica(), first, at(60));
    // The replica answered another request after this one was sent, and has been silent since.
    assert_eq!(contacts.silence(&replica(), second, at(900)), Some(Duration::from_millis(840)));
    contacts.hear(&replica(), first, at(880));
    assert_eq!(contacts.silence(&replica(), second, at(900)), Some(Duration::from_millis(20)), "it is busy");
}

#[test]
fn contacts_stay_bounded() {
    let mut contacts = Contacts::default();
    for number in 0..5_000 {
        let replica: Name = format!("replica-{}", number % 50).into();
        let contact = contacts.begin(&replica, at(number));
        contacts.end(&replica, contact, at(number));
    }
    assert_eq!(contacts.replica_count(), 50);
    contacts.retain(|replica| replica == "replica-1");
    assert_eq!(contacts.replica_count(), 1);
}

#[test]
fn probes_prove_an_end_only_if_the_port_refuses_or_nobody_answers_any_of_them() {
    let cases: [(&[_], Proof); 7] = [
        (&[Ended], Proof::Proven),
        (&[Serving, Listening, Ended], Proof::Proven),
        (&[Serving, Listening, Listening, Listening], Proof::Presumed),
        (&[Mute, Mute, Mute, Mute], Proof::Proven),
        (&[Mute, Mute, Mute, Serving], Proof::Presumed),
        (&[Mute, Mute, Unknown], Proof::Presumed),
        (&[Unknown], Proof::Presumed),
    ];
    for (results, proof) in cases {
        (1..results.len()).for_each(|count| assert!(next_probe(&results[..count]).is_some(), "{results:?}"));
        assert_eq!((next_probe(results), proof_of_lost(results)), (None, proof), "{results:?}");
    }
    assert_eq!(next_probe(&[]), Some(true));
    assert_eq!(next_probe(&[Serving]), Some(false), "a process that answered is not asked again");
}

#[test]
fn a_silent_replica_that_answers_a_probe_is_busy() {
    assert_eq!(proof_of_silent(Serving), None);
    assert_eq!([Mute, Ended].map(proof_of_silent), [Some(Proof::Proven); 2]);
    assert_eq!([Unknown, Listening].map(proof_of_silent), [Some(Proof::Presumed); 2]);
}
