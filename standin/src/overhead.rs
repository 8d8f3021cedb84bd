//! Measures the latency that the entry and the sidecar add to a direct call of the engine stand-in.

use std::time::{Duration, Instant};

use eyre::Result;
use serde::Serialize;

use crate::client::{Client, Prompt};
use crate::engine::model::Capacity;
use crate::fleet::{Fleet, Spec, workspace_key};
use crate::report::{Quantiles, compute_quantiles};
use crate::resource_usage;
use crate::text;

/// Bytes in a mebibyte.
const BYTES_PER_MIB: f64 = 1_048_576.0;
/// Prompt tokens per request, few so that the engine's time is short.
const PROMPT_TOKENS: usize = 64;

/// Results for one number of concurrent streams.
#[derive(Clone, Debug, Serialize)]
pub struct StreamLevel {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Time to first token of direct calls, in milliseconds.
    pub direct_ms: Quantiles,
    /// Time to first token through the entry and the sidecar, in milliseconds.
    pub through_ms: Quantiles,
    /// Output tokens per second of direct calls.
    pub direct_tokens_per_s: f64,
    /// Output tokens per second through the entry and the sidecar.
    pub through_tokens_per_s: f64,
    /// Resident memory of the entry, in MiB.
    pub entry_mib: f64,
    /// Resident memory of the sidecar, in MiB.
    pub sidecar_mib: f64,
}

/// Runs each number of concurrent streams directly against the engine and then through the entry.
pub async fn measure_streams(
    stream_counts: &[usize],
    output: u64,
    speed: f64,
    duration: Duration,
) -> Result<Vec<StreamLevel>> {
    let engine_capacity = Capacity { speed, slots: 4_096, memory: 100_000_000, ..Capacity::default() };
    let settings = "queue = 4096\n".to_owned();
    let entry_settings = "threads = 3\nquote_timeout_ms = 2000\n".to_owned();
    let spec = Spec {
        entries: 1,
        engines: 1,
        services: 1,
        engine_capacity,
        sidecar_settings: settings,
        entry_settings,
        ..Spec::small("overhead")
    };
    let fleet = Fleet::start(spec).await?;
    let model = fleet.spec.deployment.model();
    let engine = fleet.addresses[&format!("{model}-0")].clone();
    let entry = fleet.entries[0].clone();
    let mut results = Vec::new();
    for streams in stream_counts {
        let direct = run_closed_loop(&fleet.client, &engine, model, *streams, output, duration).await;
        let through_entry = run_closed_loop(&fleet.client, &entry, model, *streams, output, duration).await;
        let resident_mib = |name: &str| {
            fleet
                .pid(name)
                .and_then(resource_usage::read_process)
                .map_or(0.0, |usage| usage.resident_bytes as f64 / BYTES_PER_MIB)
        };
        results.push(StreamLevel {
            streams: *streams,
            direct_ms: direct.0,
            through_ms: through_entry.0,
            direct_tokens_per_s: direct.1,
            through_tokens_per_s: through_entry.1,
            entry_mib: resident_mib("entry-0"),
            sidecar_mib: resident_mib(&format!("sidecar-{model}-0")),
        });
    }
    fleet.shut_down().await?;
    Ok(results)
}

/// Peak resident memory while large prompts are in flight.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LargePromptUsage {
    /// Number of concurrent prompts of a million tokens.
    pub prompts: usize,
    /// Number of complete and correct responses.
    pub whole: usize,
    /// Peak resident memory of the entry, in MiB.
    pub entry_mib: f64,
    /// Peak resident memory of the sidecar that used the most, in MiB.
    pub sidecar_mib: f64,
}

/// Measures memory under prompts of a million tokens, on engines whose memory holds a complete prompt.
pub async fn measure_large_prompts(counts: &[usize]) -> Result<Vec<LargePromptUsage>> {
    let engine_capacity = Capacity { speed: 100.0, memory: 20_000_000, ..Capacity::default() };
    let fleet =
        Fleet::start(Spec { entries: 1, engines: 2, services: 1, engine_capacity, ..Spec::small("large") }).await?;
    let model = fleet.spec.deployment.model();
    let mut results = Vec::new();
    for count in counts {
        let prompts: Vec<Prompt> = (0..*count)
            .map(|seed| Prompt {
                model: model.to_owned(),
                key: workspace_key(0),
                text: text::generate_prompt(1_000_000, seed as u64),
                output: 20,
                stream: true,
                deadline: Duration::from_secs(60),
                headers: Vec::new(),
            })
            .collect();
        let requests = futures_util::future::join_all(
            prompts.iter().map(|prompt| fleet.client.send_prompt(&fleet.entries[0], prompt)),
        );
        tokio::pin!(requests);
        let mut peak = LargePromptUsage { prompts: *count, whole: 0, entry_mib: 0.0, sidecar_mib: 0.0 };
        let resident_mib = |name: &str| {
            fleet
                .pid(name)
                .and_then(resource_usage::read_process)
                .map_or(0.0, |usage| usage.resident_bytes as f64 / BYTES_PER_MIB)
        };
        let received = loop {
            peak.entry_mib = resident_mib("entry-0").max(peak.entry_mib);
            for number in 0..2 {
                peak.sidecar_mib = resident_mib(&format!("sidecar-{model}-{number}")).max(peak.sidecar_mib);
            }
            tokio::select! {
                received = &mut requests => break received,
                () = tokio::time::sleep(Duration::from_millis(2)) => {}
            }
        };
        peak.whole =
            prompts.iter().zip(received).filter(|(prompt, received)| received.text == prompt.expected()).count();
        results.push(peak);
    }
    fleet.shut_down().await?;
    Ok(results)
}

/// Runs `streams` concurrent callers for `duration`. Each caller sends its next prompt when the previous response
/// has ended. Returns the times to first token and the output tokens per second.
async fn run_closed_loop(
    client: &Client,
    address: &str,
    model: &str,
    streams: usize,
    output: u64,
    duration: Duration,
) -> (Quantiles, f64) {
    let start = Instant::now();
    let callers = (0..streams).map(|caller| {
        let (client, address, model) = (client.clone(), address.to_owned(), model.to_owned());
        tokio::spawn(async move {
            let mut ttfts = Vec::new();
            let mut tokens = 0;
            let mut seed = caller as u64;
            while start.elapsed() < duration {
                seed += streams as u64;
                let prompt = Prompt {
                    model: model.clone(),
                    key: workspace_key(0),
                    text: text::generate_prompt(PROMPT_TOKENS, seed),
                    output,
                    stream: true,
                    deadline: Duration::from_secs(30),
                    headers: Vec::new(),
                };
                let received = client.send_prompt(&address, &prompt).await;
                if received.is_complete {
                    ttfts.extend(received.ttft);
                    tokens += output;
                }
            }
            (ttfts, tokens)
        })
    });
    let all = futures_util::future::join_all(callers).await;
    let elapsed_s = start.elapsed().as_secs_f64();
    let caller_results: Vec<(Vec<Duration>, u64)> = all.into_iter().flatten().collect();
    let tokens: u64 = caller_results.iter().map(|(_, tokens)| tokens).sum();
    (compute_quantiles(caller_results.into_iter().flat_map(|(ttfts, _)| ttfts)), tokens as f64 / elapsed_s)
}

/// Formats the results as a Markdown table.
pub fn format_table(levels: &[StreamLevel]) -> String {
    let mut out = String::from(
        "| streams | direct p50 ms | p99 | through p50 | p99 | added p50 | added p99 | direct tokens/s | through tokens/s | entry MiB | sidecar MiB |\n\
         |---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for level in levels {
        out.push_str(&format!(
            "| {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.0} | {:.0} | {:.1} | {:.1} |\n",
            level.streams,
            level.direct_ms.p50,
            level.direct_ms.p99,
            level.through_ms.p50,
            level.through_ms.p99,
            level.through_ms.p50 - level.direct_ms.p50,
            level.through_ms.p99 - level.direct_ms.p99,
            level.direct_tokens_per_s,
            level.through_tokens_per_s,
            level.entry_mib,
            level.sidecar_mib,
        ));
    }
    out
}
