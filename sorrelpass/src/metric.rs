//! Metrics of the process, recorded with OpenTelemetry and exposed in the Prometheus text format at `/metrics`.

use std::collections::BTreeSet;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

use coord::name::Name;
use coord::planner::{HeldBack, PromiseCounts, prediction};
use coord::time::Moment;
use eyre::{Result, WrapErr};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Metric instruments of the process.
struct Instruments {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    retries: Counter<u64>,
    refused_retries: Counter<u64>,
    available_retries: Gauge<f64>,
    full_channels: Counter<u64>,
    stale_verifications: Counter<u64>,
    replica_terminations: Counter<u64>,
    condemned_fingerprints: Counter<u64>,
    condemned_refusals: Counter<u64>,
    quarantine_size: Gauge<u64>,
    store_calls: Counter<u64>,
    peer_bytes: Counter<u64>,
    peer_messages: Counter<u64>,
    evacuated_domains: Gauge<u64>,
    /// Failure domains for which the gauge has a value, so that it can be reset to 0.
    reported_domains: Mutex<BTreeSet<Name>>,
    last_send: Gauge<f64>,
    limited_replicas: Gauge<u64>,
    limit_waits: Counter<u64>,
    limit_refusals: Counter<u64>,
    rejections: Counter<u64>,
    promises: Counter<u64>,
    forecast_margin: Gauge<f64>,
    reservations: Counter<u64>,
    draining_responses: Counter<u64>,
    backoff_requests: Counter<u64>,
    unread_bytes: Gauge<u64>,
    evicted_callers: Counter<u64>,
    gave_way: Counter<u64>,
    ttft: Histogram<f64>,
    first_event: Histogram<f64>,
    config_revision: Gauge<u64>,
    waiting_jobs: Gauge<u64>,
    running_jobs: Gauge<u64>,
    workspaces_over_share: Gauge<u64>,
    held_back_prompts: Gauge<u64>,
    reserved_memory: Gauge<u64>,
    predicted_first_event: Gauge<f64>,
    actual_first_event: Gauge<f64>,
    prediction_margin: Gauge<f64>,
    invariant_breaches: Gauge<u64>,
}

static INSTRUMENTS: OnceLock<Instruments> = OnceLock::new();

/// Upper bounds of the buckets for time to first token, in seconds.
const TTFT_BUCKET_BOUNDS_S: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.7, 1.5, 3.0, 10.0, 30.0, 120.0];

/// Creates the instruments. Until this is called, the other functions have no effect.
pub fn init() -> Result<()> {
    let registry = Registry::new();
    let exporter =
        opentelemetry_prometheus::exporter().with_registry(registry.clone()).build().wrap_err("step=start-metrics")?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    let meter = provider.meter("sorrelpass");
    let instruments = Instruments {
        registry,
        requests: meter.u64_counter("sorrelpass_requests").build(),
        retries: meter.u64_counter("sorrelpass_retries").build(),
        refused_retries: meter.u64_counter("sorrelpass_retries_refused").build(),
        available_retries: meter.f64_gauge("sorrelpass_retries_available").build(),
        full_channels: meter.u64_counter("sorrelpass_ring_full").build(),
        stale_verifications: meter.u64_counter("sorrelpass_served_on_old_proof").build(),
        replica_terminations: meter.u64_counter("sorrelpass_replicas_ended").build(),
        condemned_fingerprints: meter.u64_counter("sorrelpass_work_condemned").build(),
        condemned_refusals: meter.u64_counter("sorrelpass_refused_condemned").build(),
        quarantine_size: meter.u64_gauge("sorrelpass_quarantine").build(),
        peer_bytes: meter.u64_counter("sorrelpass_peer_bytes").build(),
        peer_messages: meter.u64_counter("sorrelpass_peer_messages").build(),
        store_calls: meter.u64_counter("sorrelpass_store_calls").build(),
        reported_domains: Mutex::default(),
        evacuated_domains: meter.u64_gauge("sorrelpass_domain_emptied").build(),
        last_send: meter.f64_gauge("sorrelpass_last_send_seconds").build(),
        limited_replicas: meter.u64_gauge("sorrelpass_replicas_limited").build(),
        limit_waits: meter.u64_counter("sorrelpass_limit_waits").build(),
        limit_refusals: meter.u64_counter("sorrelpass_limit_refusals").build(),
        rejections: meter.u64_counter("sorrelpass_prompts_refused").build(),
        promises: meter.u64_counter("sorrelpass_promises").build(),
        forecast_margin: meter.f64_gauge("sorrelpass_forecast_margin_seconds").build(),
        reservations: meter.u64_counter("sorrelpass_reservations").build(),
        draining_responses: meter.u64_counter("sorrelpass_leaving_told").build(),
        backoff_requests: meter.u64_counter("sorrelpass_rests_asked").build(),
        unread_bytes: meter.u64_gauge("sorrelpass_unread_bytes").build(),
        evicted_callers: meter.u64_counter("sorrelpass_callers_given_up").build(),
        gave_way: meter.u64_counter("sorrelpass_gave_way").build(),
        ttft: meter.f64_histogram("sorrelpass_ttft_seconds").with_boundaries(TTFT_BUCKET_BOUNDS_S.to_vec()).build(),
        first_event: meter
            .f64_histogram("sorrelpass_first_event_seconds")
            .with_boundaries(TTFT_BUCKET_BOUNDS_S.to_vec())
            .build(),
        config_revision: meter.u64_gauge("sorrelpass_config_revision").build(),
        waiting_jobs: meter.u64_gauge("sorrelpass_jobs_waiting").build(),
        running_jobs: meter.u64_gauge("sorrelpass_jobs_running").build(),
        workspaces_over_share: meter.u64_gauge("sorrelpass_workspaces_over_share").build(),
        held_back_prompts: meter.u64_gauge("sorrelpass_prompts_held_back").build(),
        reserved_memory: meter.u64_gauge("sorrelpass_memory_held_tokens").build(),
        predicted_first_event: meter.f64_gauge("sorrelpass_predicted_first_event_seconds").build(),
        actual_first_event: meter.f64_gauge("sorrelpass_actual_first_event_seconds").build(),
        prediction_margin: meter.f64_gauge("sorrelpass_prediction_margin_seconds").build(),
        invariant_breaches: meter.u64_gauge("sorrelpass_invariant_breaches").build(),
        _provider: provider,
    };
    let _ = INSTRUMENTS.set(instruments);
    Ok(())
}

/// Calls `update` with the instruments, if they exist.
fn record(update: impl FnOnce(&Instruments)) {
    if let Some(instruments) = INSTRUMENTS.get() {
        update(instruments);
    }
}

/// Counts a request that ended with `outcome`: `ok` or an error code.
pub fn record_request(outcome: &str) {
    record(|metrics| metrics.requests.add(1, &[KeyValue::new("outcome", outcome.to_owned())]));
}

/// Counts a retry of a request.
pub fn record_retry() {
    record(|metrics| metrics.retries.add(1, &[]));
}

/// Counts a send into a full channel; `channel` is its name.
pub fn record_full_channel(channel: &'static str) {
    record(|metrics| metrics.full_channels.add(1, &[KeyValue::new("ring", channel)]));
}

/// Counts a request that was accepted although its key was last verified longer ago than a revoked key may be accepted.
pub fn record_stale_verification() {
    record(|metrics| metrics.stale_verifications.add(1, &[]));
}

/// Counts the termination of a replica's process while it served a request.
pub fn record_replica_termination() {
    record(|metrics| metrics.replica_terminations.add(1, &[]));
}

/// Counts a request fingerprint that was condemned, by this entry or another.
pub fn record_condemned() {
    record(|metrics| metrics.condemned_fingerprints.add(1, &[]));
}

/// Counts a retry that the retry budget refused.
pub fn record_refused_retry() {
    record(|metrics| metrics.refused_retries.add(1, &[]));
}

/// Records the number of retries that the retry budget of a service still allows.
pub fn record_available_retries(service: &Name, retries: f64) {
    record(|metrics| {
        metrics.available_retries.record(retries, &[KeyValue::new("service", service.to_string())]);
    });
}

/// Counts a request that was not sent, or not retried, because its fingerprint is condemned.
pub fn record_refused_condemned() {
    record(|metrics| metrics.condemned_refusals.add(1, &[]));
}

/// Sets the numbers of suspect and of condemned fingerprints.
pub fn set_quarantine_size(suspects: usize, condemned: usize) {
    record(|metrics| {
        metrics.quarantine_size.record(suspects as u64, &[KeyValue::new("standing", "suspect")]);
        metrics.quarantine_size.record(condemned as u64, &[KeyValue::new("standing", "condemned")]);
    });
}

/// Sets the numbers of suspected and of condemned prompt parts.
pub fn set_part_quarantine_size(suspects: usize, condemned: usize) {
    record(|metrics| {
        metrics.quarantine_size.record(suspects as u64, &[KeyValue::new("standing", "suspect_part")]);
        metrics.quarantine_size.record(condemned as u64, &[KeyValue::new("standing", "condemned_part")]);
    });
}

/// Counts calls to the store, by kind of call and by topic.
pub fn record_store_calls(kind: &'static str, topic: &'static str, calls: u64) {
    record(|metrics| metrics.store_calls.add(calls, &[KeyValue::new("kind", kind), KeyValue::new("topic", topic)]));
}

/// Counts a message to another entry, and its bytes.
pub fn record_peer_message(bytes: u64) {
    record(|metrics| {
        metrics.peer_bytes.add(bytes, &[]);
        metrics.peer_messages.add(1, &[]);
    });
}

/// Sets the gauge to 1 for each evacuated failure domain, and to 0 for each domain that was evacuated before.
pub fn set_evacuated_domains(domains: &BTreeSet<Name>) {
    let label = |domain: &Name| [KeyValue::new("failure_domain", domain.to_string())];
    record(|metrics| {
        let mut reported = metrics.reported_domains.lock().unwrap_or_else(PoisonError::into_inner);
        reported.difference(domains).for_each(|domain| metrics.evacuated_domains.record(0, &label(domain)));
        domains.iter().for_each(|domain| metrics.evacuated_domains.record(1, &label(domain)));
        reported.extend(domains.iter().cloned());
    });
}

/// Records the wall-clock time of the last request that was sent to a replica of a failure domain.
pub fn record_send_time(failure_domain: &str, time: Moment) {
    let seconds = time.as_micros() as f64 / 1e6;
    record(|metrics| metrics.last_send.record(seconds, &[KeyValue::new("failure_domain", failure_domain.to_owned())]));
}

/// Sets the number of replicas that report a rate limit of their own.
pub fn set_limited_replicas(replicas: usize) {
    record(|metrics| metrics.limited_replicas.record(replicas as u64, &[]));
}

/// Counts a request that waits for a permit of a replica with a rate limit.
pub fn record_limit_wait() {
    record(|metrics| metrics.limit_waits.add(1, &[]));
}

/// Counts a request that was refused because all replicas of its service report rate limits and the load exceeds them.
pub fn record_limit_refusal() {
    record(|metrics| metrics.limit_refusals.add(1, &[]));
}

/// Counts a prompt that the planner refused for `reason`; `is_return` tells that its caller had returned as told.
pub fn record_rejection(reason: &'static str, is_return: bool) {
    let labels = [KeyValue::new("reason", reason), KeyValue::new("returned", is_return)];
    record(|metrics| metrics.rejections.add(1, &labels));
}

/// Counts promises to refused callers by their outcomes.
pub fn record_promises(counts: PromiseCounts) {
    let PromiseCounts { made, kept, broken, expired } = counts;
    record(|metrics| {
        for (state, count) in [("made", made), ("kept", kept), ("broken", broken), ("expired", expired)] {
            if count > 0 {
                metrics.promises.add(count, &[KeyValue::new("state", state)]);
            }
        }
    });
}

/// Sets the margins by which forecasts of the starts of short and of long prompts may be wrong.
pub fn set_forecast_margins(short: Duration, long: Duration) {
    record(|metrics| {
        for (class, margin) in [("short", short), ("long", long)] {
            metrics.forecast_margin.record(margin.as_secs_f64(), &[KeyValue::new("class", class)]);
        }
    });
}

/// Counts reservations of engines for long prompts by their outcomes.
pub fn record_reservations(counts: &[(&'static str, u64)]) {
    record(|metrics| {
        for (outcome, count) in counts.iter().filter(|(_, count)| *count > 0) {
            metrics.reservations.add(*count, &[KeyValue::new("outcome", *outcome)]);
        }
    });
}

/// Counts a response by which a replica announced that it is draining.
pub fn record_draining_response() {
    record(|metrics| metrics.draining_responses.add(1, &[]));
}

/// Counts a refusal by which a replica asked this process to back off for a time.
pub fn record_backoff_request() {
    record(|metrics| metrics.backoff_requests.add(1, &[]));
}

/// Sets the number of buffered bytes that callers have not read.
pub fn set_unread_bytes(bytes: u64) {
    record(|metrics| metrics.unread_bytes.record(bytes, &[]));
}

/// Counts a caller that was evicted because it did not read its response.
pub fn record_evicted_caller() {
    record(|metrics| metrics.evicted_callers.add(1, &[]));
}

/// Counts a holder of the pool `pool` that gave way to others.
pub fn record_gave_way(pool: &'static str) {
    record(|metrics| metrics.gave_way.add(1, &[KeyValue::new("pool", pool)]));
}

/// Records the time to first token of a prompt of length class `class`.
pub fn record_ttft(class: usize, ttft: Duration) {
    record(|metrics| metrics.ttft.record(ttft.as_secs_f64(), &[KeyValue::new("class", class as i64)]));
}

/// Records the time from the arrival of a request on `route` until the first event of its stream was forwarded.
pub fn record_first_event(route: &str, delay: Duration) {
    record(|metrics| metrics.first_event.record(delay.as_secs_f64(), &[KeyValue::new("route", route.to_owned())]));
}

/// Sets the revision of the configuration that is in force in this process.
pub fn set_config_revision(revision: u64) {
    record(|metrics| metrics.config_revision.record(revision, &[]));
}

/// Sets the numbers of workspaces over their fair share and of prompts that wait behind others because of it.
pub fn set_held_back(held_back: HeldBack) {
    record(|metrics| {
        metrics.workspaces_over_share.record(held_back.workspaces as u64, &[]);
        metrics.held_back_prompts.record(held_back.prompts as u64, &[]);
    });
}

/// Sets the load of an endpoint's scheduler: waiting and running jobs, and reserved memory in tokens.
pub fn set_scheduler_load(waiting: usize, running: usize, memory: u64) {
    record(|metrics| {
        metrics.waiting_jobs.record(waiting as u64, &[]);
        metrics.running_jobs.record(running as u64, &[]);
        metrics.reserved_memory.record(memory, &[]);
    });
}

/// Sets the mean predicted and actual times from the grant of a short prompt to its first event, and the margin that
/// packing keeps for the difference.
pub fn set_prediction(service: &str, error: &prediction::Summary) {
    let labels = [KeyValue::new("service", service.to_owned())];
    record(|metrics| {
        metrics.predicted_first_event.record(error.predicted_ms / 1e3, &labels);
        metrics.actual_first_event.record(error.actual_ms / 1e3, &labels);
        metrics.prediction_margin.record(error.margin_ms / 1e3, &labels);
    });
}

/// Returns all metrics in the Prometheus text format.
pub fn render() -> Vec<u8> {
    let mut output = Vec::new();
    record(|metrics| {
        metrics.invariant_breaches.record(coord::invariant::breaches(), &[]);
        let _ = TextEncoder::new().encode(&metrics.registry.gather(), &mut output);
    });
    output
}
