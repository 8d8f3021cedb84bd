//! Size of the parts in which a log is read from slow servers.

use std::time::Duration;

use coord::read_size::ReadSize;
use proptest::prelude::*;

const TIMEOUT: Duration = Duration::from_secs(1);
/// Size that the server chooses, in bytes.
const WHOLE: f64 = 1_024.0 * 1_024.0;

/// Server that makes parts at a lasting rate, and takes a while for each besides.
struct Server {
    bytes_per_s: f64,
    latency: Duration,
    largest_record: f64,
}

impl Server {
    /// Plays one read of a part. Returns the bytes that came.
    fn answer(&self, size: &mut ReadSize) -> f64 {
        let asked = size.max_kib().map_or(WHOLE, |kib| f64::from(kib) * 1_024.0);
        let bytes = asked.max(self.largest_record);
        let elapsed = self.latency + Duration::from_secs_f64(bytes / self.bytes_per_s);
        if elapsed >= size.timeout(TIMEOUT) {
            size.record_timeout();
            return 0.0;
        }
        size.record_part(elapsed, TIMEOUT);
        bytes
    }
}

#[test]
fn the_server_chooses_the_size_until_a_read_times_out() {
    let mut size = ReadSize::default();
    assert_eq!((size.max_kib(), size.timeout(TIMEOUT), size.newest_timeout(TIMEOUT)), (None, TIMEOUT, TIMEOUT));
    size.record_timeout();
    assert!(size.is_reduced());
    assert_eq!(size.timeout(TIMEOUT), TIMEOUT);
    for _ in 0..9 {
        size.record_timeout();
    }
    assert_eq!((size.timeout(TIMEOUT), size.newest_timeout(TIMEOUT)), (TIMEOUT * 2, TIMEOUT * 4));
}

#[test]
fn quick_parts_make_the_next_ones_large_again() {
    let mut size = ReadSize::default();
    (0..3).for_each(|_| size.record_timeout());
    size.record_part(TIMEOUT / 2, TIMEOUT);
    assert_eq!(size.timeout(TIMEOUT), TIMEOUT * 2, "a slow part changes nothing");
    size.record_part(TIMEOUT / 10, TIMEOUT);
    assert!(size.is_reduced() && size.timeout(TIMEOUT) == TIMEOUT);
    size.record_part(TIMEOUT / 10, TIMEOUT);
    assert_eq!(size.max_kib(), None);
}

#[test]
fn a_part_that_nearly_timed_out_shows_that_the_rest_takes_long() {
    let mut size = ReadSize::default();
    size.record_part(TIMEOUT / 3, TIMEOUT);
    assert!(!size.is_slow());
    size.record_part(TIMEOUT * 2 / 3, TIMEOUT);
    assert!(size.is_slow() && size.max_kib().is_none());
    size.record_part(TIMEOUT / 3, TIMEOUT);
    assert!(!size.is_slow());
}

proptest! {
    /// At any lasting rate at which the largest part that is asked for comes within twice the timeout, a part comes after
    /// two reads at most that time out, and half of the reads bring one.
    #[test]
    fn parts_get_through_at_any_rate_that_lasts(
        bytes_per_s in 180e3..200e6f64,
        latency_ms in 0u64..170,
        largest_record in 0.0..262_144.0f64,
    ) {
        let server = Server { bytes_per_s, latency: Duration::from_millis(latency_ms), largest_record };
        let mut size = ReadSize::default();
        let came: Vec<f64> = (0..100).map(|_| server.answer(&mut size)).collect();
        prop_assert!(came[..3].iter().any(|bytes| *bytes > 0.0), "{came:?}");
        prop_assert!(came.iter().filter(|bytes| **bytes > 0.0).count() >= 50, "{came:?}");
    }
}
