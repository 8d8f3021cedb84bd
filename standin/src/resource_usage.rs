//! Reads resource use from `/proc`: CPU time and memory of a process, and traffic on the loopback interface.

use std::fs;
use std::time::Instant;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Resource use of one process at one time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    read_at: Instant,
    /// CPU time since the process started, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Number of threads.
    pub threads: u64,
}

/// Reads the resource use of a process; `None` if the process has exited.
pub fn read_process(pid: u32) -> Option<ProcessUsage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name in parentheses may contain blanks.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let status_number = |key: &str| {
        let line = status.lines().find(|line| line.starts_with(key))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok()
    };
    let resident_bytes = status_number("VmRSS:")? * 1_024;
    Some(ProcessUsage {
        read_at: Instant::now(),
        cpu_s: ticks / TICKS_PER_S,
        resident_bytes,
        threads: status_number("Threads:")?,
    })
}

impl ProcessUsage {
    /// Returns the mean number of cores used since `earlier`.
    pub fn cores_since(&self, earlier: &ProcessUsage) -> f64 {
        (self.cpu_s - earlier.cpu_s) / (self.read_at - earlier.read_at).as_secs_f64().max(1e-9)
    }
}

/// Returns the bytes and packets that the loopback interface has received since boot; each packet counts once.
pub fn read_loopback() -> Option<(u64, u64)> {
    let text = fs::read_to_string("/proc/net/dev").ok()?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"))?;
    let counters: Vec<u64> = line.split_whitespace().filter_map(|field| field.parse().ok()).collect();
    Some((*counters.first()?, *counters.get(1)?))
}

/// A line fitted to points by least squares.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct LinearFit {
    /// Value of the line at zero.
    pub base: f64,
    /// Increase of the line per unit.
    pub slope: f64,
    /// Root mean square of the points' distances from the line.
    pub residual: f64,
}

/// Fits a line; its slope is 0 if all points have the same first coordinate.
pub fn fit_line(points: &[(f64, f64)]) -> LinearFit {
    let count = points.len().max(1) as f64;
    let mean = |value_of: fn(&(f64, f64)) -> f64| points.iter().map(value_of).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let sum_xx: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    let sum_xy: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
    let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
    let base = y - slope * x;
    let squared_error: f64 = points.iter().map(|point| (point.1 - base - slope * point.0).powi(2)).sum();
    LinearFit { base, slope, residual: (squared_error / count).sqrt() }
}
