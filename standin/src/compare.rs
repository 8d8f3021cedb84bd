//! Compares combinations of picker and queue order by sending the same arrivals to a new fleet for each.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use eyre::{Result, eyre};
use plotters::prelude::*;
use serde::Serialize;

use crate::engine::model::Capacity;
use crate::fleet::{Fleet, Spec};
use crate::load_generator::{self, LoadPlan};
use crate::report::{self, PrefillBaseline, Report};
use crate::workload::{self, Deployment};

/// A combination of picker and queue order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Policy {
    /// Picker of the entries, as in the setting `entry.picker`.
    pub picker: &'static str,
    /// Queue order of the sidecars, as in the setting `sidecar.order`.
    pub order: &'static str,
}

/// Combinations to compare: the project's default first, then the baselines.
pub const POLICIES: [Policy; 4] = [
    Policy { picker: "quoted", order: "slack" },
    Policy { picker: "least-outstanding", order: "fifo" },
    Policy { picker: "active-tokens", order: "fifo" },
    Policy { picker: "round-robin", order: "fifo" },
];

/// Workload and fleet size, the same for every combination.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Deployment that defines the workload.
    pub deployment: Deployment,
    /// Offered load as a share of the engines' capacity.
    pub load: f64,
    /// Duration of the arrivals.
    pub duration: Duration,
    /// Seed from which the arrivals are generated.
    pub seed: u64,
    /// Number of engines.
    pub engines: usize,
    /// Factor by which the fleet runs faster than real time.
    pub speed: f64,
}

/// Reports of one combination, with and without the long prompts.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Combination that both reports belong to.
    pub way: Policy,
    /// Report of the run that includes the long prompts.
    pub with_long: Report,
    /// Report of the run that omits the long prompts.
    pub without_long: Report,
}

/// Share of an engine's prefill rate that remains available while it also decodes.
pub const PREFILL_SHARE_WHILE_DECODING: f64 = 0.75;

/// Returns the request rate, per second, that offers the share `load` of the capacity of `engines`.
pub fn request_rate(deployment: Deployment, load: f64, engines: usize, engine_capacity: &Capacity) -> f64 {
    let capacity =
        engines as f64 * engine_capacity.prefill_per_s * engine_capacity.speed * PREFILL_SHARE_WHILE_DECODING;
    load * capacity / deployment.mean_tokens(|_| true)
}

/// Runs one combination, with and without the long prompts, on a new fleet each time.
pub async fn run_policy(policy: Policy, setup: &Setup) -> Result<Comparison> {
    let with_long = run_once(policy, setup, true).await?;
    let without_long = run_once(policy, setup, false).await?;
    Ok(Comparison { way: policy, with_long, without_long })
}

async fn run_once(policy: Policy, setup: &Setup, include_long: bool) -> Result<Report> {
    let engine_capacity = Capacity { speed: setup.speed, ..Capacity::default() };
    let spec = Spec {
        deployment: setup.deployment,
        entries: 3,
        engines: setup.engines,
        services: 3,
        engine_capacity: engine_capacity.clone(),
        picker: policy.picker.to_owned(),
        order: policy.order.to_owned(),
        ..Spec::small("compare")
    };
    let fleet = Fleet::start(spec).await?;
    let request_rate = request_rate(setup.deployment, setup.load, setup.engines, &engine_capacity);
    let arrivals = workload::arrivals(setup.deployment, request_rate, setup.duration, setup.seed, |class| {
        include_long || !class.is_long()
    });
    let plan = LoadPlan {
        entries: fleet.entries.clone(),
        deployment: setup.deployment,
        speed: setup.speed,
        run_id: format!("compare{}", setup.seed),
    };
    let ledger = load_generator::send_arrivals(&plan, arrivals).await;
    let totals = ledger.totals(&fleet.run_counts().await);
    let report = report::summarize(
        &ledger,
        totals,
        PrefillBaseline { prefill_per_s: engine_capacity.prefill_per_s * engine_capacity.speed },
    );
    let dir = fleet.spec.dir.clone();
    fleet.shut_down().await?;
    let _ = std::fs::remove_dir_all(dir);
    Ok(report)
}

/// Formats all comparisons as a Markdown table.
pub fn format_table(comparisons: &[Comparison]) -> String {
    let mut out = String::from(
        "| way | class | sent | whole | ttft p50 ms | p95 | p99 | x p50 | x p95 | p95 without long | slowdown |\n\
         |---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for comparison in comparisons {
        for row in comparison.with_long.rows.iter().filter(|row| row.slowdown.count > 0) {
            let p95_without_long = comparison.without_long.rows.iter().find(|other| other.class == row.class);
            let p95_without_long = p95_without_long.map_or(f64::NAN, |p95_without_long| p95_without_long.ttft_ms.p95);
            let _ = writeln!(
                out,
                "| {} + {} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {:.1} | {:.2} |",
                comparison.way.picker,
                comparison.way.order,
                row.class,
                row.sent,
                row.whole,
                row.ttft_ms.p50,
                row.ttft_ms.p95,
                row.ttft_ms.p99,
                row.slowdown.p50,
                row.slowdown.p95,
                p95_without_long,
                row.ttft_ms.p95 / p95_without_long,
            );
        }
    }
    out
}

/// Width and height of the plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 420);

/// Draws the p95 time to first token by class and combination as an SVG with a logarithmic scale.
pub fn plot(comparisons: &[Comparison], title: &str, file: &Path) -> Result<()> {
    draw(comparisons, title, file).map_err(|error| eyre!("step=plot file={}: {error}", file.display()))
}

fn draw(comparisons: &[Comparison], title: &str, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let bars: Vec<(String, usize, f64)> = comparisons
        .iter()
        .enumerate()
        .flat_map(|(policy, comparison)| {
            let rows = comparison.with_long.rows.iter().filter(|row| row.slowdown.count > 0);
            rows.map(move |row| (row.class.clone(), policy, row.ttft_ms.p95))
        })
        .collect();
    let mut classes: Vec<&String> = bars.iter().map(|bar| &bar.0).collect();
    classes.sort_unstable();
    classes.dedup();
    let max_ms = bars.iter().map(|bar| bar.2).fold(10.0, f64::max) * 2.0;
    let root = SVGBackend::new(file, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..classes.len() as f64, (5.0..max_ms).log_scale())?;
    let label = |x: &f64| classes.get(*x as usize).map_or(String::new(), |class| (*class).clone());
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(classes.len() * 2)
        .x_label_formatter(&|x| if (x.fract() - 0.5).abs() < 0.01 { label(x) } else { String::new() })
        .y_desc("ttft p95, ms (logarithmic)")
        .draw()?;
    let bar_width = 0.8 / comparisons.len() as f64;
    for (policy, comparison) in comparisons.iter().enumerate() {
        let color = Palette99::pick(policy).to_rgba();
        let policy_bars = bars.iter().filter(|bar| bar.1 == policy).map(|(class, _, value)| {
            let position = classes.iter().position(|other| *other == class).unwrap_or(0) as f64;
            let bar_left = position + 0.1 + bar_width * policy as f64;
            Rectangle::new([(bar_left, 5.0), (bar_left + bar_width, *value)], color.filled())
        });
        chart
            .draw_series(policy_bars)?
            .label(format!("{} + {}", comparison.way.picker, comparison.way.order))
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    chart.configure_series_labels().position(SeriesLabelPosition::UpperLeft).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
