//! Compares combinations of picker and queue order by sending the same arrivals to a new fleet for each.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use eyre::{Result, eyre};
use plotters::prelude::*;
use serde::Serialize;

use crate::engine::model::Sizes;
use crate::fleet::{Fleet, Spec};
use crate::mix::{self, Deployment};
use crate::report::{self, Floor, Report};
use crate::run::{self, Drive};

/// A combination of picker and queue order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Way {
    /// Picker of the entries, as in the setting `entry.picker`.
    pub picker: &'static str,
    /// Queue order of the sidecars, as in the setting `sidecar.order`.
    pub order: &'static str,
}

/// Combinations to compare: the project's default first, then the baselines.
pub const WAYS: [Way; 4] = [
    Way { picker: "quoted", order: "slack" },
    Way { picker: "least-outstanding", order: "fifo" },
    Way { picker: "active-tokens", order: "fifo" },
    Way { picker: "round-robin", order: "fifo" },
];

/// Workload and fleet size, the same for every combination.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Deployment that defines the workload.
    pub deployment: Deployment,
    /// Offered load as a share of the engines' capacity.
    pub load: f64,
    /// Duration of the arrivals.
    pub span: Duration,
    /// Seed from which the arrivals are generated.
    pub seed: u64,
    /// Number of engines.
    pub engines: usize,
    /// Factor by which the fleet runs faster than real time.
    pub speed: f64,
}

/// Reports of one combination, with and without the long prompts.
#[derive(Clone, Debug, Serialize)]
pub struct Compared {
    /// Combination that both reports belong to.
    pub way: Way,
    /// Report of the run that includes the long prompts.
    pub with_long: Report,
    /// Report of the run that omits the long prompts.
    pub without_long: Report,
}

/// Share of an engine's prefill rate that remains available while it also decodes.
pub const MIXED_RATE: f64 = 0.75;

/// Returns the request rate, per second, that offers the share `load` of the capacity of `engines`.
pub fn rate(deployment: Deployment, load: f64, engines: usize, sizes: &Sizes) -> f64 {
    let capacity = engines as f64 * sizes.prefill_per_s * sizes.speed * MIXED_RATE;
    load * capacity / deployment.mean_tokens(|_| true)
}

/// Runs one combination, with and without the long prompts, on a new fleet each time.
pub async fn compare(way: Way, setup: &Setup) -> Result<Compared> {
    let with_long = one(way, setup, true).await?;
    let without_long = one(way, setup, false).await?;
    Ok(Compared { way, with_long, without_long })
}

async fn one(way: Way, setup: &Setup, long: bool) -> Result<Report> {
    let sizes = Sizes { speed: setup.speed, ..Sizes::default() };
    let spec = Spec {
        deployment: setup.deployment,
        entries: 3,
        engines: setup.engines,
        services: 3,
        sizes: sizes.clone(),
        picker: way.picker.to_owned(),
        order: way.order.to_owned(),
        ..Spec::small("compare")
    };
    let fleet = Fleet::start(spec).await?;
    let rate = rate(setup.deployment, setup.load, setup.engines, &sizes);
    let arrivals = mix::arrivals(setup.deployment, rate, setup.span, setup.seed, |class| long || !class.is_long());
    let drive = Drive {
        entries: fleet.entries.clone(),
        deployment: setup.deployment,
        speed: setup.speed,
        run: format!("compare{}", setup.seed),
    };
    let ledger = run::drive(&drive, arrivals).await;
    let sums = ledger.sums(&fleet.runs().await);
    let report = report::report(&ledger, sums, Floor { prefill_per_s: sizes.prefill_per_s * sizes.speed });
    let dir = fleet.spec.dir.clone();
    fleet.close().await?;
    let _ = std::fs::remove_dir_all(dir);
    Ok(report)
}

/// Formats all comparisons as a Markdown table.
pub fn table(all: &[Compared]) -> String {
    let mut out = String::from(
        "| way | class | sent | whole | ttft p50 ms | p95 | p99 | x p50 | x p95 | p95 without long | slowdown |\n\
         |---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for compared in all {
        for row in compared.with_long.rows.iter().filter(|row| row.slowdown.count > 0) {
            let alone = compared.without_long.rows.iter().find(|other| other.class == row.class);
            let alone = alone.map_or(f64::NAN, |alone| alone.ttft_ms.p95);
            let _ = writeln!(
                out,
                "| {} + {} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {:.1} | {:.2} |",
                compared.way.picker,
                compared.way.order,
                row.class,
                row.sent,
                row.whole,
                row.ttft_ms.p50,
                row.ttft_ms.p95,
                row.ttft_ms.p99,
                row.slowdown.p50,
                row.slowdown.p95,
                alone,
                row.ttft_ms.p95 / alone,
            );
        }
    }
    out
}

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Draws the p95 time to first token by class and combination as an SVG with a logarithmic scale.
pub fn plot(all: &[Compared], title: &str, file: &Path) -> Result<()> {
    draw(all, title, file).map_err(|error| eyre!("step=plot file={}: {error}", file.display()))
}

fn draw(all: &[Compared], title: &str, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let bars: Vec<(String, usize, f64)> = all
        .iter()
        .enumerate()
        .flat_map(|(way, compared)| {
            let rows = compared.with_long.rows.iter().filter(|row| row.slowdown.count > 0);
            rows.map(move |row| (row.class.clone(), way, row.ttft_ms.p95))
        })
        .collect();
    let mut classes: Vec<&String> = bars.iter().map(|bar| &bar.0).collect();
    classes.sort_unstable();
    classes.dedup();
    let top = bars.iter().map(|bar| bar.2).fold(10.0, f64::max) * 2.0;
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..classes.len() as f64, (5.0..top).log_scale())?;
    let label = |x: &f64| classes.get(*x as usize).map_or(String::new(), |class| (*class).clone());
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(classes.len() * 2)
        .x_label_formatter(&|x| if (x.fract() - 0.5).abs() < 0.01 { label(x) } else { String::new() })
        .y_desc("ttft p95, ms (logarithmic)")
        .draw()?;
    let width = 0.8 / all.len() as f64;
    for (way, compared) in all.iter().enumerate() {
        let color = Palette99::pick(way).to_rgba();
        let own = bars.iter().filter(|bar| bar.1 == way).map(|(class, _, value)| {
            let place = classes.iter().position(|other| *other == class).unwrap_or(0) as f64;
            let left = place + 0.1 + width * way as f64;
            Rectangle::new([(left, 5.0), (left + width, *value)], color.filled())
        });
        chart
            .draw_series(own)?
            .label(format!("{} + {}", compared.way.picker, compared.way.order))
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    chart.configure_series_labels().position(SeriesLabelPosition::UpperLeft).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
