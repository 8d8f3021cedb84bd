//! Reports time to first token, gaps between tokens and slowdown factors by class.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::ledger::{Ledger, Outcome, RequestRecord, Totals};

/// Quantiles of a distribution; times are in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Computes the quantiles of `times`; all are 0 if there are no samples.
pub fn compute_quantiles(times: impl Iterator<Item = Duration>) -> Quantiles {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else { return Quantiles::default() };
    for time in times {
        let _ = histogram.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1));
    }
    let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Quantiles { count: histogram.len(), p50: quantile_ms(0.5), p95: quantile_ms(0.95), p99: quantile_ms(0.99) }
}

/// Results of one class of requests.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: String,
    /// Number of requests sent.
    pub sent: usize,
    /// Number of complete and correct responses.
    pub whole: usize,
    /// Time to the first token, or to the end of a plain service call's response.
    pub ttft_ms: Quantiles,
    /// Gaps between tokens.
    pub gap_ms: Quantiles,
    /// Time to first token as a multiple of the time that an idle engine needs to prefill the same prompt.
    pub slowdown: Quantiles,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// One row per class, sorted by name.
    pub rows: Vec<ClassReport>,
    /// Totals of the ledger.
    pub ledger: Totals,
}

/// Estimates the time to first token on an idle engine, which slowdown factors relate to.
#[derive(Clone, Copy, Debug)]
pub struct PrefillBaseline {
    /// Prefill rate, in prompt tokens per second.
    pub prefill_per_s: f64,
}

impl PrefillBaseline {
    fn ttft(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.prefill_per_s)
    }
}

/// Summarizes a run by class.
pub fn summarize(ledger: &Ledger, totals: Totals, baseline: PrefillBaseline) -> Report {
    let mut classes: BTreeMap<&str, Vec<&RequestRecord>> = BTreeMap::new();
    for record in &ledger.records {
        classes.entry(record.class).or_default().push(record);
    }
    let rows = classes.into_iter().map(|(class, records)| summarize_class(class, &records, baseline)).collect();
    Report { rows, ledger: totals }
}

fn summarize_class(class: &str, records: &[&RequestRecord], baseline: PrefillBaseline) -> ClassReport {
    let complete: Vec<&&RequestRecord> = records.iter().filter(|record| record.outcome == Outcome::Complete).collect();
    let ttft = |record: &&&RequestRecord| record.ttft;
    let slowdown = |record: &&&RequestRecord| {
        let baseline = baseline.ttft(record.tokens).as_secs_f64();
        // The quantiles are in milliseconds, so a ratio of 1 is recorded as one millisecond.
        let slowdown = record.ttft?.as_secs_f64() / baseline;
        (baseline > 0.0).then(|| Duration::from_secs_f64(slowdown / 1_000.0))
    };
    ClassReport {
        class: class.to_owned(),
        sent: records.len(),
        whole: complete.len(),
        ttft_ms: compute_quantiles(complete.iter().filter_map(ttft)),
        gap_ms: compute_quantiles(complete.iter().flat_map(|record| record.gaps.iter().copied())),
        slowdown: compute_quantiles(complete.iter().filter_map(slowdown)),
    }
}

impl Report {
    /// Formats the report as a plain-text table.
    pub fn format_table(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(
            out,
            "{:<12} {:>6} {:>6} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8}",
            "class", "sent", "whole", "ttft p50", "p95", "p99 ms", "gap p95", "x p50", "x p95"
        );
        for row in &self.rows {
            let _ = writeln!(
                out,
                "{:<12} {:>6} {:>6} {:>9.1} {:>9.1} {:>9.1} {:>8.1} {:>8.2} {:>8.2}",
                row.class,
                row.sent,
                row.whole,
                row.ttft_ms.p50,
                row.ttft_ms.p95,
                row.ttft_ms.p99,
                row.gap_ms.p95,
                row.slowdown.p50,
                row.slowdown.p95
            );
        }
        let totals = &self.ledger;
        let failed: usize = totals.failed.values().sum();
        let _ = writeln!(
            out,
            "ledger: sent {} = whole {} + honest failures {} + entry down {}; lost {}, doubled {}, mixed up {}, false \"not run\" {}",
            totals.sent,
            totals.whole,
            failed,
            totals.entry_down,
            totals.lost,
            totals.doubled,
            totals.mixed_up,
            totals.false_no
        );
        for (code, count) in &totals.failed {
            let _ = writeln!(out, "  {count} x {code}");
        }
        out
    }
}
