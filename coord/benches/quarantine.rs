//! Overhead of the quarantine per request: the fingerprint, and the lookup of its status.
//!
//! Median times on 8 cores beside other load. A fingerprint takes 0.51 µs, 9.8 µs and 0.81 ms for bodies of 200
//! bytes, 20 KB and 4 MB. A status lookup takes 2.4, 33 and 62 ns with 0, 100 and 4,000 suspects and as many
//! verdicts. Recording a termination takes 2.5 and 273 µs with 100 and 4,000 of each.

use coord::name::Name;
use coord::quarantine::{Event, Fingerprint, State, Weight};

fn main() {
    divan::main();
}

/// Computes the fingerprint of a request with a body of `bytes` bytes.
#[divan::bench(args = [200, 20_000, 4 << 20])]
fn fingerprint(bencher: divan::Bencher<'_, '_>, bytes: usize) {
    let body = vec![7; bytes];
    bencher.bench(|| {
        Fingerprint::of([b"host".as_slice(), b"POST", b"/prompt/1?x=2", divan::black_box(&body), b"workspace"])
    });
}

/// Looks up the status of a fingerprint beside `suspect_count` suspects and as many verdicts.
#[divan::bench(args = [0, 100, 4_000])]
fn status(bencher: divan::Bencher<'_, '_>, suspect_count: u32) {
    let state = state(suspect_count);
    let fingerprint = Fingerprint::of([b"another".as_slice()]);
    bencher.bench(|| state.status(divan::black_box(fingerprint)));
}

/// Records a replica termination under a fingerprint beside `suspect_count` suspects and as many verdicts.
#[divan::bench(args = [100, 4_000])]
fn record_termination(bencher: divan::Bencher<'_, '_>, suspect_count: u32) {
    let state = state(suspect_count);
    let fingerprint = Fingerprint::of([b"another".as_slice()]);
    let event = Event::Terminated { fingerprint, run: Name::from("run"), weight: Weight::Strong };
    bencher.with_inputs(|| (state.clone(), event.clone())).bench_values(|(mut state, event)| {
        state.apply(event);
        state
    });
}

fn state(count: u32) -> State {
    let mut state = State::default();
    for number in 0..count {
        let fingerprint = |kind: &[u8]| Fingerprint::of([kind, &number.to_le_bytes()]);
        state.apply(Event::Condemned(fingerprint(b"condemned")));
        let run = Name::from(format!("run-{}", number / 16));
        state.apply(Event::Terminated { fingerprint: fingerprint(b"suspect"), run, weight: Weight::Strong });
    }
    state
}
