//! Run time and size of deltas that transfer a configuration to a receiver.
//!
//! Run with `cargo bench -p coord --bench delta`. The configuration consists of distinct routes, one of which
//! changes. Sizes are printed first. For comparison: without deltas, peers relay at most 32 KB, and each receiver
//! reads a larger configuration in full from the store.
//!
//! Sizes in bytes and median run times in microseconds, on one core of an 8-core development machine under other
//! load. `full` is a delta that holds the full version:
//!
//! | routes | bytes | full | change | encode full | encode change | decode full | decode change |
//! |---|---|---|---|---|---|---|---|
//! | 30 | 5,969 | 672 | 36 | 23 | 29 | 11 | 4.5 |
//! | 240 | 47,759 | 3,633 | 37 | 103 | 144 | 42 | 9.8 |
//! | 1,500 | 298,499 | 22,054 | 64 | 648 | 1,711 | 220 | 57 |

use std::hint::black_box;

use coord::delta::{Version, VersionCache};
use divan::Bencher;

const ROUTE_COUNTS: &[u64] = &[30, 240, 1_500];

fn configuration(routes: u64, changed: u64) -> Vec<u8> {
    let route = |number: u64| {
        let name = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let timeout = if number == changed { 2_000 } else { 3_000 };
        format!(
            r#"{{"name":"{name:016x}","host":"{:08x}.example","path_begins":"/{:06x}/","kind":"safe","timeout_ms":{timeout},"wanted_latency_ms":150,"priority":1,"service":"{:06x}","max_attempts":2,"public":false}}"#,
            name >> 32,
            name & 0xff_ffff,
            number % 3,
        )
    };
    (0..routes).map(route).collect::<Vec<_>>().join(",").into_bytes()
}

fn version_cache(routes: u64, versions: u64) -> VersionCache {
    let mut cache = VersionCache::default();
    for offset in 0..versions {
        cache.insert(Version { offset, value: configuration(routes, offset).into() });
    }
    cache
}

fn main() {
    for routes in ROUTE_COUNTS {
        let bytes = |next| {
            version_cache(*routes, 2)
                .encode_newest(next)
                .expect("encoding succeeds")
                .expect("a newer version exists")
                .compressed
                .len()
        };
        let (full, change) = (bytes(None), bytes(Some(1)));
        println!("{routes} routes: {} bytes, full {full}, change {change}", configuration(*routes, 0).len());
    }
    divan::main();
}

#[divan::bench(args = ROUTE_COUNTS)]
fn encode_full(bencher: Bencher, routes: u64) {
    bencher.with_inputs(|| version_cache(routes, 2)).bench_refs(|cache| black_box(cache.encode_newest(None)));
}

#[divan::bench(args = ROUTE_COUNTS)]
fn encode_change(bencher: Bencher, routes: u64) {
    bencher.with_inputs(|| version_cache(routes, 2)).bench_refs(|cache| black_box(cache.encode_newest(Some(1))));
}

#[divan::bench(args = ROUTE_COUNTS)]
fn decode_full(bencher: Bencher, routes: u64) {
    let delta =
        version_cache(routes, 2).encode_newest(None).expect("encoding succeeds").expect("a newer version exists");
    bencher.with_inputs(VersionCache::default).bench_refs(|cache| black_box(cache.decode(&delta)));
}

#[divan::bench(args = ROUTE_COUNTS)]
fn decode_change(bencher: Bencher, routes: u64) {
    let delta =
        version_cache(routes, 2).encode_newest(Some(1)).expect("encoding succeeds").expect("a newer version exists");
    bencher.with_inputs(|| version_cache(routes, 1)).bench_refs(|cache| black_box(cache.decode(&delta)));
}
