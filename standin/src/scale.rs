//! Measures how a process's CPU and memory use grows with the fleet, the configuration and the load.

use std::fmt::Write;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use serde::Serialize;
use serde_json::{Value, json};

use crate::client::Prompt;
use crate::engine::model::Capacity;
use crate::fleet::{Fleet, OPERATOR_KEY, Spec, workspace_key};
use crate::resource_usage::{self, LinearFit, ProcessUsage, fit_line};
use crate::text;

/// Delay between a change of the fleet and the next reading, in which the fleet becomes idle.
const SETTLE_DELAY: Duration = Duration::from_secs(2);
/// Number of changes per plan while workspaces are added to the configuration.
const CHANGES_PER_PLAN: usize = 2_500;
/// Bytes in a mebibyte.
const BYTES_PER_MIB: f64 = 1_048_576.0;

/// A quantity at several sizes, with a fitted line.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// Independent variable.
    pub over: &'static str,
    /// Dependent variable, with its unit.
    pub what: &'static str,
    /// Values of the independent and the dependent variable.
    pub points: Vec<(f64, f64)>,
    /// Line fitted to the points.
    pub fit: LinearFit,
}

fn fit_series(over: &'static str, what: &'static str, points: Vec<(f64, f64)>) -> Series {
    let fit = fit_line(&points);
    Series { over, what, points, fit }
}

/// Formats all series as plain text.
pub fn format_table(all_series: &[Series]) -> String {
    let mut out = String::new();
    for series in all_series {
        let points: Vec<String> = series.points.iter().map(|(x, y)| format!("{x:.0}: {y:.4}")).collect();
        let LinearFit { base, slope, residual } = series.fit;
        let _ = writeln!(out, "{} over {}", series.what, series.over);
        let _ = writeln!(out, "  {}", points.join("  "));
        let _ = writeln!(out, "  = {base:.5} + {slope:.3e} each, residual {residual:.5}");
    }
    out
}

fn read_usage(fleet: &Fleet, name: &str) -> Result<ProcessUsage> {
    let pid = fleet.pid(name).ok_or_else(|| eyre!("step=read-process: the fleet has no process {name}"))?;
    resource_usage::read_process(pid).ok_or_else(|| eyre!("step=read-process: process {name} has exited"))
}

/// Resource use of an entry and a sidecar, and loopback traffic, over a span of time.
struct FleetUsage {
    entry_cores: f64,
    entry_mib: f64,
    sidecar_cores: f64,
    sidecar_mib: f64,
    bytes_per_s: f64,
    packets_per_s: f64,
}

async fn measure_usage(fleet: &Fleet, sidecar: &str, activity: impl Future<Output = ()>) -> Result<FleetUsage> {
    let (entry, sidecar_before) = (read_usage(fleet, "entry-0")?, read_usage(fleet, sidecar)?);
    let loopback_before = resource_usage::read_loopback().unwrap_or_default();
    let start = Instant::now();
    activity.await;
    let span_s = start.elapsed().as_secs_f64();
    let loopback_after = resource_usage::read_loopback().unwrap_or_default();
    let (entry_after, sidecar_after) = (read_usage(fleet, "entry-0")?, read_usage(fleet, sidecar)?);
    Ok(FleetUsage {
        entry_cores: entry_after.cores_since(&entry),
        entry_mib: entry_after.resident_bytes as f64 / BYTES_PER_MIB,
        sidecar_cores: sidecar_after.cores_since(&sidecar_before),
        sidecar_mib: sidecar_after.resident_bytes as f64 / BYTES_PER_MIB,
        bytes_per_s: loopback_after.0.saturating_sub(loopback_before.0) as f64 / span_s,
        packets_per_s: loopback_after.1.saturating_sub(loopback_before.1) as f64 / span_s,
    })
}

/// Measures one entry with each number of idle sidecars, which share one stand-in as their endpoint.
pub async fn measure_members(sizes: &[usize], duration: Duration) -> Result<Vec<Series>> {
    let mut points: [Vec<(f64, f64)>; 6] = Default::default();
    for size in sizes {
        let spec =
            Spec { entries: 1, engines: 0, services: *size, shares_service: true, ..Spec::small("scale-members") };
        let fleet = Fleet::start(spec).await?;
        tokio::time::sleep(SETTLE_DELAY).await;
        let sidecar = format!("sidecar-{}-0", fleet.spec.deployment.service());
        let usage = measure_usage(&fleet, &sidecar, tokio::time::sleep(duration)).await?;
        let values = [
            usage.entry_cores,
            usage.entry_mib,
            usage.sidecar_cores,
            usage.sidecar_mib,
            usage.bytes_per_s / 1_024.0,
            usage.packets_per_s,
        ];
        points.iter_mut().zip(values).for_each(|(points, value)| points.push((*size as f64, value)));
        fleet.shut_down().await?;
    }
    let names = [
        "entry, idle, cores",
        "entry, idle, resident MiB",
        "one sidecar, idle, cores",
        "one sidecar, idle, resident MiB",
        "loopback, whole fleet, idle, KiB/s (health checks beside the endpoint among them)",
        "loopback, whole fleet, idle, packets/s",
    ];
    Ok(names.into_iter().zip(points).map(|(name, points)| fit_series("sidecars", name, points)).collect())
}

/// Measures one entry with each number of listed VMs that it never calls.
pub async fn measure_listed_vms(sizes: &[usize], poll_ms: u64, duration: Duration) -> Result<Vec<Series>> {
    let mut points: [Vec<(f64, f64)>; 3] = Default::default();
    let spec = Spec { entries: 1, engines: 1, services: 1, vms_poll_ms: poll_ms, ..Spec::small("scale-listed") };
    let fleet = Fleet::start(spec).await?;
    let sidecar = format!("sidecar-{}-0", fleet.spec.deployment.model());
    let mut listed_count = 0;
    for size in sizes {
        for number in listed_count..*size {
            let name = format!("listed-{number}");
            let vm = json!({ "name": name, "address": "127.0.0.1:1", "role": "endpoint", "service": "elsewhere",
                "failure_domain": format!("domain-{}", number % 11), "leaving": false });
            fleet.register_vm(&name, &vm).await?;
        }
        listed_count = *size;
        tokio::time::sleep(SETTLE_DELAY).await;
        let usage = measure_usage(&fleet, &sidecar, tokio::time::sleep(duration)).await?;
        let values = [usage.entry_cores, usage.entry_mib, usage.bytes_per_s / 1_024.0];
        points.iter_mut().zip(values).for_each(|(points, value)| points.push((*size as f64, value)));
    }
    fleet.shut_down().await?;
    let names = ["entry, cores", "entry, resident MiB", "loopback, whole fleet, KiB/s"];
    Ok(names
        .into_iter()
        .zip(points)
        .map(|(name, points)| fit_series("VMs listed, one poll a second", name, points))
        .collect())
}

async fn add_workspaces(fleet: &Fleet, from: usize, to: usize) -> Result<u64> {
    let mut revision = 0;
    let numbers: Vec<usize> = (from..to).collect();
    for chunk in numbers.chunks(CHANGES_PER_PLAN) {
        let put = |number: &usize| {
            let digest = blake3::hash(format!("grown-{number}").as_bytes()).to_hex().to_string();
            json!({ "put_workspace": { "name": format!("grown-{number}"), "key_digest": digest } })
        };
        let changes: Vec<Value> = chunk.iter().map(put).collect();
        revision = fleet.publish(&Value::from(changes)).await?;
    }
    Ok(revision)
}

async fn wait_revision(fleet: &Fleet, entry: usize, revision: u64) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(30) {
        let answer = fleet.client.send_json("GET", &fleet.entries[entry], "/v1/status", OPERATOR_KEY, None).await;
        if answer.is_ok_and(|(_, status)| status["revision"].as_u64().unwrap_or(0) >= revision) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Err(eyre!("step=wait-revision: revision {revision} is not in force at entry-{entry} after 30 s"))
}

/// Measures two entries with each number of workspaces: memory, time to apply a change, and start of a new entry.
pub async fn measure_workspaces(sizes: &[usize], changes: u64) -> Result<Vec<Series>> {
    let mut points: [Vec<(f64, f64)>; 5] = Default::default();
    let mut fleet = Fleet::start(Spec { engines: 1, services: 1, ..Spec::small("scale-workspaces") }).await?;
    let mut workspace_count = 0;
    for size in sizes {
        let revision = add_workspaces(&fleet, workspace_count, *size).await?;
        workspace_count = *size;
        wait_revision(&fleet, 1, revision).await?;
        tokio::time::sleep(SETTLE_DELAY).await;
        let usage_before = read_usage(&fleet, "entry-1")?;
        let mut apply_times_ms = Vec::new();
        for number in 0..changes {
            let body = json!([{ "put_service": { "name": "probe", "deadline_ms": number + 1 } }]);
            let revision = fleet.publish(&body).await?;
            let accepted = Instant::now();
            wait_revision(&fleet, 1, revision).await?;
            apply_times_ms.push(accepted.elapsed().as_secs_f64() * 1e3);
        }
        let usage_after = read_usage(&fleet, "entry-1")?;
        let cpu_ms_per_change = (usage_after.cpu_s - usage_before.cpu_s) * 1e3 / changes as f64;
        fleet.kill("entry-1")?;
        let started = Instant::now();
        fleet.restart("entry-1")?;
        fleet.wait_ready(&fleet.entries[1]).await?;
        let restart_ms = started.elapsed().as_secs_f64() * 1e3;
        let (_, config) = fleet.client.send_json("GET", &fleet.entries[0], "/v1/intents", OPERATOR_KEY, None).await?;
        let config_mib = config.to_string().len() as f64 / BYTES_PER_MIB;
        let max_apply_ms = apply_times_ms.into_iter().fold(0.0, f64::max);
        let values = [
            usage_after.resident_bytes as f64 / BYTES_PER_MIB,
            cpu_ms_per_change,
            max_apply_ms,
            restart_ms,
            config_mib,
        ];
        points.iter_mut().zip(values).for_each(|(points, value)| points.push((*size as f64, value)));
    }
    fleet.shut_down().await?;
    let names = [
        "entry, resident MiB",
        "entry that only follows, CPU ms per change",
        "acceptance to in force at the other entry, worst ms",
        "fresh entry from start to ready, ms",
        "configuration as JSON, MiB",
    ];
    Ok(names.into_iter().zip(points).map(|(name, points)| fit_series("workspaces", name, points)).collect())
}

/// Measures two entries while one of them claims callers' idempotency keys at each rate.
pub async fn measure_claims(rates: &[u64], duration: Duration) -> Result<Vec<Series>> {
    let mut points: [Vec<(f64, f64)>; 4] = Default::default();
    let fleet = Fleet::start(Spec { entries: 2, engines: 1, services: 2, ..Spec::small("scale-claims") }).await?;
    let sidecar = format!("sidecar-{}-0", fleet.spec.deployment.service());
    let mut claimed_keys = 0;
    for rate in rates {
        let appends_before = append_count(&fleet).await;
        let follower_before = read_usage(&fleet, "entry-1")?;
        let usage = measure_usage(&fleet, &sidecar, send_claims(&fleet, *rate, duration)).await?;
        claimed_keys += rate * duration.as_secs();
        let follower_after = read_usage(&fleet, "entry-1")?;
        let values = [
            usage.entry_cores,
            follower_after.cores_since(&follower_before),
            (append_count(&fleet).await - appends_before) / duration.as_secs_f64(),
            follower_after.resident_bytes as f64 / BYTES_PER_MIB,
        ];
        let x_values = [*rate as f64, *rate as f64, *rate as f64, claimed_keys as f64];
        points.iter_mut().zip(x_values).zip(values).for_each(|((points, x), value)| points.push((x, value)));
    }
    fleet.shut_down().await?;
    let [serving, following, appended, resident] = points;
    Ok(vec![
        fit_series("claims/s through it", "entry, cores, with the calls themselves", serving),
        fit_series("claims/s through another entry", "entry that only follows the claims, cores", following),
        fit_series("claims/s through one entry", "log appends/s", appended),
        fit_series("keys remembered", "entry that only follows the claims, resident MiB", resident),
    ])
}

async fn append_count(fleet: &Fleet) -> f64 {
    let counts = fleet.client.send_json("GET", &fleet.addresses["log"], "/counts", "", None).await;
    counts.ok().and_then(|(_, counts)| counts["appends"].as_f64()).unwrap_or(0.0)
}

async fn send_claims(fleet: &Fleet, rate: u64, duration: Duration) {
    let start = tokio::time::Instant::now();
    let count = rate * duration.as_secs();
    let calls = (0..count).map(|number| async move {
        tokio::time::sleep_until(start + Duration::from_secs_f64(number as f64 / rate as f64)).await;
        let headers = [
            ("authorization".to_owned(), format!("Bearer {}", workspace_key(0))),
            ("idempotency-key".to_owned(), format!("scale-{rate}-{number}")),
        ];
        let path = format!("/services/{}/scale", fleet.spec.deployment.service());
        fleet.client.call("POST", &fleet.entries[0], &path, &headers, "levy").await;
    });
    futures_util::future::join_all(calls).await;
    tokio::time::sleep_until(start + duration).await;
}

/// Measures one entry and one sidecar under short prompts at each rate.
pub async fn measure_requests(rates: &[u64], output: u64, duration: Duration) -> Result<Vec<Series>> {
    let mut points: [Vec<(f64, f64)>; 4] = Default::default();
    let engine_capacity = Capacity { speed: 100.0, slots: 1_024, memory: 40_000_000, ..Capacity::default() };
    let fleet =
        Fleet::start(Spec { entries: 1, engines: 1, services: 1, engine_capacity, ..Spec::small("scale-requests") })
            .await?;
    let sidecar = format!("sidecar-{}-0", fleet.spec.deployment.model());
    for rate in rates {
        let usage = measure_usage(&fleet, &sidecar, send_prompts(&fleet, *rate, output, duration)).await?;
        let values = [usage.entry_cores, usage.entry_mib, usage.sidecar_cores, usage.sidecar_mib];
        points.iter_mut().zip(values).for_each(|(points, value)| points.push((*rate as f64, value)));
    }
    fleet.shut_down().await?;
    let names = ["entry, cores", "entry, resident MiB", "sidecar, cores", "sidecar, resident MiB"];
    Ok(names.into_iter().zip(points).map(|(name, points)| fit_series("requests/s", name, points)).collect())
}

async fn send_prompts(fleet: &Fleet, rate: u64, output: u64, duration: Duration) {
    let start = tokio::time::Instant::now();
    let count = rate * duration.as_secs();
    let calls = (0..count).map(|number| async move {
        tokio::time::sleep_until(start + Duration::from_secs_f64(number as f64 / rate as f64)).await;
        let prompt = Prompt {
            model: fleet.spec.deployment.model().to_owned(),
            key: workspace_key(0),
            text: text::generate_prompt(1_000, number),
            output,
            stream: true,
            deadline: Duration::from_secs(30),
            headers: Vec::new(),
        };
        fleet.client.send_prompt(&fleet.entries[0], &prompt).await;
    });
    futures_util::future::join_all(calls).await;
    tokio::time::sleep_until(start + duration).await;
}
