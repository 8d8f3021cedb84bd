//! Measures how a process's CPU and memory use grows with the fleet, the configuration and the load.

use std::fmt::Write;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use serde::Serialize;
use serde_json::{Value, json};

use crate::client::Prompt;
use crate::engine::model::Sizes;
use crate::fleet::{Fleet, OPERATOR_KEY, Spec, workspace_key};
use crate::probe::{self, Fit, Reading, fit};
use crate::text;

/// Delay between a change of the fleet and the next reading, in which the fleet becomes idle.
const SETTLE: Duration = Duration::from_secs(2);
/// Number of changes per plan while workspaces are added to the configuration.
const CHANGES_PER_PLAN: usize = 2_500;
/// Bytes in a mebibyte.
const MIB: f64 = 1_048_576.0;

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
    pub fit: Fit,
}

fn series(over: &'static str, what: &'static str, points: Vec<(f64, f64)>) -> Series {
    let fit = fit(&points);
    Series { over, what, points, fit }
}

/// Formats all series as plain text.
pub fn table(all: &[Series]) -> String {
    let mut out = String::new();
    for series in all {
        let points: Vec<String> = series.points.iter().map(|(x, y)| format!("{x:.0}: {y:.4}")).collect();
        let Fit { base, slope, residual } = series.fit;
        let _ = writeln!(out, "{} over {}", series.what, series.over);
        let _ = writeln!(out, "  {}", points.join("  "));
        let _ = writeln!(out, "  = {base:.5} + {slope:.3e} each, residual {residual:.5}");
    }
    out
}

fn reading(fleet: &Fleet, name: &str) -> Result<Reading> {
    let pid = fleet.pid(name).ok_or_else(|| eyre!("step=read-process: the fleet has no process {name}"))?;
    probe::read(pid).ok_or_else(|| eyre!("step=read-process: process {name} has exited"))
}

/// Resource use of an entry and a sidecar, and loopback traffic, over a span of time.
struct Used {
    entry_cores: f64,
    entry_mib: f64,
    sidecar_cores: f64,
    sidecar_mib: f64,
    bytes_per_s: f64,
    packets_per_s: f64,
}

async fn used(fleet: &Fleet, sidecar: &str, during: impl Future<Output = ()>) -> Result<Used> {
    let (entry, side) = (reading(fleet, "entry-0")?, reading(fleet, sidecar)?);
    let wire = probe::loopback().unwrap_or_default();
    let start = Instant::now();
    during.await;
    let span = start.elapsed().as_secs_f64();
    let wire_after = probe::loopback().unwrap_or_default();
    let (entry_after, side_after) = (reading(fleet, "entry-0")?, reading(fleet, sidecar)?);
    Ok(Used {
        entry_cores: entry_after.cores_since(&entry),
        entry_mib: entry_after.resident as f64 / MIB,
        sidecar_cores: side_after.cores_since(&side),
        sidecar_mib: side_after.resident as f64 / MIB,
        bytes_per_s: wire_after.0.saturating_sub(wire.0) as f64 / span,
        packets_per_s: wire_after.1.saturating_sub(wire.1) as f64 / span,
    })
}

/// Measures one entry with each number of idle sidecars, which share one stand-in as their endpoint.
pub async fn members(sizes: &[usize], span: Duration) -> Result<Vec<Series>> {
    let mut points: [Vec<(f64, f64)>; 6] = Default::default();
    for size in sizes {
        let spec =
            Spec { entries: 1, engines: 0, services: *size, shared_service: true, ..Spec::small("scale-members") };
        let fleet = Fleet::start(spec).await?;
        tokio::time::sleep(SETTLE).await;
        let sidecar = format!("sidecar-{}-0", fleet.spec.deployment.service());
        let used = used(&fleet, &sidecar, tokio::time::sleep(span)).await?;
        let values = [
            used.entry_cores,
            used.entry_mib,
            used.sidecar_cores,
            used.sidecar_mib,
            used.bytes_per_s / 1_024.0,
            used.packets_per_s,
        ];
        points.iter_mut().zip(values).for_each(|(points, value)| points.push((*size as f64, value)));
        fleet.close().await?;
    }
    let names = [
        "entry, idle, cores",
        "entry, idle, resident MiB",
        "one sidecar, idle, cores",
        "one sidecar, idle, resident MiB",
        "loopback, whole fleet, idle, KiB/s (health checks beside the endpoint among them)",
        "loopback, whole fleet, idle, packets/s",
    ];
    Ok(names.into_iter().zip(points).map(|(name, points)| series("sidecars", name, points)).collect())
}

/// Measures one entry with each number of listed VMs that it never calls.
pub async fn listed(sizes: &[usize], poll_ms: u64, span: Duration) -> Result<Vec<Series>> {
    let mut points: [Vec<(f64, f64)>; 3] = Default::default();
    let spec = Spec { entries: 1, engines: 1, services: 1, vms_poll_ms: poll_ms, ..Spec::small("scale-listed") };
    let fleet = Fleet::start(spec).await?;
    let sidecar = format!("sidecar-{}-0", fleet.spec.deployment.model());
    let mut listed = 0;
    for size in sizes {
        for number in listed..*size {
            let name = format!("listed-{number}");
            let vm = json!({ "name": name, "address": "127.0.0.1:1", "role": "endpoint", "service": "elsewhere",
                "failure_domain": format!("domain-{}", number % 11), "leaving": false });
            fleet.list_vm(&name, &vm).await?;
        }
        listed = *size;
        tokio::time::sleep(SETTLE).await;
        let used = used(&fleet, &sidecar, tokio::time::sleep(span)).await?;
        let values = [used.entry_cores, used.entry_mib, used.bytes_per_s / 1_024.0];
        points.iter_mut().zip(values).for_each(|(points, value)| points.push((*size as f64, value)));
    }
    fleet.close().await?;
    let names = ["entry, cores", "entry, resident MiB", "loopback, whole fleet, KiB/s"];
    Ok(names
        .into_iter()
        .zip(points)
        .map(|(name, points)| series("VMs listed, one poll a second", name, points))
        .collect())
}

async fn grow(fleet: &Fleet, from: usize, to: usize) -> Result<u64> {
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
        let answer = fleet.client.json("GET", &fleet.entries[entry], "/v1/status", OPERATOR_KEY, None).await;
        if answer.is_ok_and(|(_, status)| status["revision"].as_u64().unwrap_or(0) >= revision) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Err(eyre!("step=wait-revision: revision {revision} is not in force at entry-{entry} after 30 s"))
}

/// Measures two entries with each number of workspaces: memory, time to apply a change, and start of a new entry.
pub async fn workspaces(sizes: &[usize], changes: u64) -> Result<Vec<Series>> {
    let mut points: [Vec<(f64, f64)>; 5] = Default::default();
    let mut fleet = Fleet::start(Spec { engines: 1, services: 1, ..Spec::small("scale-workspaces") }).await?;
    let mut grown = 0;
    for size in sizes {
        let revision = grow(&fleet, grown, *size).await?;
        grown = *size;
        wait_revision(&fleet, 1, revision).await?;
        tokio::time::sleep(SETTLE).await;
        let before = reading(&fleet, "entry-1")?;
        let mut in_force = Vec::new();
        for number in 0..changes {
            let body = json!([{ "put_service": { "name": "probe", "deadline_ms": number + 1 } }]);
            let revision = fleet.publish(&body).await?;
            let accepted = Instant::now();
            wait_revision(&fleet, 1, revision).await?;
            in_force.push(accepted.elapsed().as_secs_f64() * 1e3);
        }
        let after = reading(&fleet, "entry-1")?;
        let per_change = (after.cpu_s - before.cpu_s) * 1e3 / changes as f64;
        fleet.kill("entry-1")?;
        let started = Instant::now();
        fleet.restart("entry-1")?;
        fleet.wait_ready(&fleet.entries[1]).await?;
        let fresh = started.elapsed().as_secs_f64() * 1e3;
        let (_, config) = fleet.client.json("GET", &fleet.entries[0], "/v1/intents", OPERATOR_KEY, None).await?;
        let snapshot = config.to_string().len() as f64 / MIB;
        let worst = in_force.into_iter().fold(0.0, f64::max);
        let values = [after.resident as f64 / MIB, per_change, worst, fresh, snapshot];
        points.iter_mut().zip(values).for_each(|(points, value)| points.push((*size as f64, value)));
    }
    fleet.close().await?;
    let names = [
        "entry, resident MiB",
        "entry that only follows, CPU ms per change",
        "acceptance to in force at the other entry, worst ms",
        "fresh entry from start to ready, ms",
        "configuration as JSON, MiB",
    ];
    Ok(names.into_iter().zip(points).map(|(name, points)| series("workspaces", name, points)).collect())
}

/// Measures two entries while one of them claims callers' idempotency keys at each rate.
pub async fn claims(rates: &[u64], span: Duration) -> Result<Vec<Series>> {
    let mut points: [Vec<(f64, f64)>; 4] = Default::default();
    let fleet = Fleet::start(Spec { entries: 2, engines: 1, services: 2, ..Spec::small("scale-claims") }).await?;
    let sidecar = format!("sidecar-{}-0", fleet.spec.deployment.service());
    let mut claimed = 0;
    for rate in rates {
        let before = appends(&fleet).await;
        let followed = reading(&fleet, "entry-1")?;
        let used = used(&fleet, &sidecar, pay_at(&fleet, *rate, span)).await?;
        claimed += rate * span.as_secs();
        let follower = reading(&fleet, "entry-1")?;
        let values = [
            used.entry_cores,
            follower.cores_since(&followed),
            (appends(&fleet).await - before) / span.as_secs_f64(),
            follower.resident as f64 / MIB,
        ];
        let at = [*rate as f64, *rate as f64, *rate as f64, claimed as f64];
        points.iter_mut().zip(at).zip(values).for_each(|((points, at), value)| points.push((at, value)));
    }
    fleet.close().await?;
    let [serving, following, appended, resident] = points;
    Ok(vec![
        series("claims/s through it", "entry, cores, with the calls themselves", serving),
        series("claims/s through another entry", "entry that only follows the claims, cores", following),
        series("claims/s through one entry", "log appends/s", appended),
        series("keys remembered", "entry that only follows the claims, resident MiB", resident),
    ])
}

async fn appends(fleet: &Fleet) -> f64 {
    let counts = fleet.client.json("GET", &fleet.addresses["log"], "/counts", "", None).await;
    counts.ok().and_then(|(_, counts)| counts["appends"].as_f64()).unwrap_or(0.0)
}

async fn pay_at(fleet: &Fleet, rate: u64, span: Duration) {
    let start = tokio::time::Instant::now();
    let count = rate * span.as_secs();
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
    tokio::time::sleep_until(start + span).await;
}

/// Measures one entry and one sidecar under short prompts at each rate.
pub async fn requests(rates: &[u64], output: u64, span: Duration) -> Result<Vec<Series>> {
    let mut points: [Vec<(f64, f64)>; 4] = Default::default();
    let sizes = Sizes { speed: 100.0, slots: 1_024, memory: 40_000_000, ..Sizes::default() };
    let fleet =
        Fleet::start(Spec { entries: 1, engines: 1, services: 1, sizes, ..Spec::small("scale-requests") }).await?;
    let sidecar = format!("sidecar-{}-0", fleet.spec.deployment.model());
    for rate in rates {
        let used = used(&fleet, &sidecar, prompts_at(&fleet, *rate, output, span)).await?;
        let values = [used.entry_cores, used.entry_mib, used.sidecar_cores, used.sidecar_mib];
        points.iter_mut().zip(values).for_each(|(points, value)| points.push((*rate as f64, value)));
    }
    fleet.close().await?;
    let names = ["entry, cores", "entry, resident MiB", "sidecar, cores", "sidecar, resident MiB"];
    Ok(names.into_iter().zip(points).map(|(name, points)| series("requests/s", name, points)).collect())
}

async fn prompts_at(fleet: &Fleet, rate: u64, output: u64, span: Duration) {
    let start = tokio::time::Instant::now();
    let count = rate * span.as_secs();
    let calls = (0..count).map(|number| async move {
        tokio::time::sleep_until(start + Duration::from_secs_f64(number as f64 / rate as f64)).await;
        let prompt = Prompt {
            model: fleet.spec.deployment.model().to_owned(),
            key: workspace_key(0),
            text: text::prompt(1_000, number),
            output,
            stream: true,
            deadline: Duration::from_secs(30),
            headers: Vec::new(),
        };
        fleet.client.prompt(&fleet.entries[0], &prompt).await;
    });
    futures_util::future::join_all(calls).await;
    tokio::time::sleep_until(start + span).await;
}
