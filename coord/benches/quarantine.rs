//! What the quarantine adds to each request: its fingerprint, and where its work stands.
//!
//! Measured on 8 cores beside other work, median. A fingerprint: 0.51 µs, 9.8 µs and 0.81 ms for bodies of 200 bytes, 20 KB and
//! 4 MB. Where work stands: 2.4, 33 and 62 ns beside 0, 100 and 4,000 suspects and verdicts each. An end: 2.5 and 273 µs. Before
//! there was a quarantine: nothing.

use coord::name::Name;
use coord::quarantine::{News, Register, Weight, Work};

fn main() {
    divan::main();
}

/// A fingerprint of a request with a body of so many bytes.
#[divan::bench(args = [200, 20_000, 4 << 20])]
fn fingerprint(bencher: divan::Bencher<'_, '_>, bytes: usize) {
    let body = vec![7; bytes];
    bencher.bench(|| Work::of([b"host".as_slice(), b"POST", b"/prompt/1?x=2", divan::black_box(&body), b"workspace"]));
}

/// Where one piece of work stands, beside so many suspects and as many verdicts.
#[divan::bench(args = [0, 100, 4_000])]
fn standing(bencher: divan::Bencher<'_, '_>, known: u32) {
    let register = register(known);
    let work = Work::of([b"another".as_slice()]);
    bencher.bench(|| register.standing(divan::black_box(work)));
}

/// One end of a replica under one piece of work, beside so many suspects and as many verdicts.
#[divan::bench(args = [100, 4_000])]
fn ended(bencher: divan::Bencher<'_, '_>, known: u32) {
    let register = register(known);
    let work = Work::of([b"another".as_slice()]);
    let news = News::Ended { work, run: Name::from("run"), weight: Weight::Strong };
    bencher.with_inputs(|| (register.clone(), news.clone())).bench_values(|(mut register, news)| {
        register.hear(news);
        register
    });
}

fn register(known: u32) -> Register {
    let mut register = Register::default();
    for number in 0..known {
        let work = |kind: &[u8]| Work::of([kind, &number.to_le_bytes()]);
        register.hear(News::Condemned(work(b"condemned")));
        let run = Name::from(format!("run-{}", number / 16));
        register.hear(News::Ended { work: work(b"suspect"), run, weight: Weight::Strong });
    }
    register
}
