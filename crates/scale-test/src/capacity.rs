//! Fits lines to stored reports, from which the capacity page is computed.
//!
//! Reports are grouped by their label. In a group whose label contains `size`, figures are fitted against the
//! number of workers; in all other groups, against starts of tasks per second.

use crate::error::RunError;
use crate::report::Report;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;

/// Number of workers for which the capacity is planned.
const PLANNED_WORKERS: f64 = 5600.0;
/// Starts of tasks per second for which the capacity is planned.
const PLANNED_STARTS: f64 = 2400.0;

/// Straight line fitted to points by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    pub base: f64,
    pub slope: f64,
    /// Root of the mean squared difference between points and line.
    pub residual: f64,
}

/// Fits a line to points `(x, y)`; returns `None` for fewer than two different values of x.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let variance = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    if points.len() < 2 || variance <= 0.0 {
        return None;
    }
    let covariance = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
    let slope = covariance / variance;
    let base = mean_y - slope * mean_x;
    let squares = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum::<f64>();
    Some(Fit { base, slope, residual: (squares / count).sqrt() })
}

/// Reads reports from JSON files.
pub fn read(paths: &[PathBuf]) -> Result<Vec<Report>, RunError> {
    let read_one = |path: &PathBuf| {
        let invalid = |why: String| RunError::Scenario(path.clone(), why);
        let text = std::fs::read_to_string(path).map_err(|error| invalid(error.to_string()))?;
        serde_json::from_str(&text).map_err(|error| invalid(error.to_string()))
    };
    paths.iter().map(read_one).collect()
}

type Figure = (&'static str, fn(&Report) -> f64);

/// Figures that are fitted, with the names that the tables print.
const FIGURES: [Figure; 14] = [
    ("leader, share of a core", |r| r.leader.cpu_mean),
    ("leader, descriptors", |r| r.leader.descriptors_mean),
    ("leader, MB", |r| r.leader.memory_mb),
    ("another controller, share of a core", |r| r.follower_mean.cpu_mean),
    ("another controller, descriptors", |r| r.follower_mean.descriptors_mean),
    ("another controller, MB", |r| r.follower_mean.memory_mb),
    ("a worker, thousandths of a core", |r| r.workers_cpu * 1000.0 / f64::from(r.workers)),
    ("a worker, bytes a second", |r| r.worker_bytes_per_s / f64::from(r.workers)),
    ("all workers, reports a second", |r| rate(&r.worker_rates, "reports")),
    ("all workers, direct commands a second", |r| rate(&r.worker_rates, "commands")),
    ("state service, requests a second", |r| r.state_rates.values().sum()),
    ("state service, bytes a second", |r| r.state_bytes_per_s),
    ("state service, keys", |r| r.state_keys as f64),
    ("cloud, requests a second", |r| r.cloud_rates.values().sum()),
];

fn rate(rates: &BTreeMap<String, f64>, kind: &str) -> f64 {
    rates.get(kind).copied().unwrap_or(0.0)
}

/// Returns all tables in Markdown. The same reports always give the same text.
pub fn tables(reports: &[Report]) -> String {
    let mut groups: BTreeMap<&str, Vec<&Report>> = BTreeMap::new();
    for report in reports {
        groups.entry(&report.label).or_default().push(report);
    }
    let mut out = crate::roles::table(reports);
    out.push('\n');
    for (label, mut group) in groups {
        let by_size = label.contains("size");
        let x_of = move |report: &Report| {
            if by_size { f64::from(report.workers) } else { report.starts_per_s }
        };
        group.sort_by(|a, b| x_of(a).total_cmp(&x_of(b)));
        let _ = write_group(&mut out, label, &group, by_size, &x_of);
    }
    out
}

fn write_group(
    out: &mut String,
    label: &str,
    group: &[&Report],
    by_size: bool,
    x_of: &dyn Fn(&Report) -> f64,
) -> std::fmt::Result {
    writeln!(out, "**{label}**\n")?;
    writeln!(
        out,
        "| workers | controllers | starts/s asked | starts/s | tasks | leader: core, peak, descriptors, MB | another: core, descriptors | worker: bytes/s | urgent start p99 | broken |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|---|---|")?;
    for report in group {
        let urgent = report.first_start.get("urgent").map_or(0, |times| times.p99_ms);
        writeln!(
            out,
            "| {} | {} | {:.0} | {:.0} | {:.0} | {:.3}, {:.2}, {}, {:.0} | {:.3}, {:.0} | {:.0} | {} ms | {} |",
            report.workers,
            report.controllers,
            report.starts_asked_per_s,
            report.starts_per_s,
            report.tasks_running,
            report.leader.cpu_mean,
            report.leader.cpu_peak,
            report.leader.descriptors_peak,
            report.leader.memory_mb,
            report.follower_mean.cpu_mean,
            report.follower_mean.descriptors_mean,
            report.worker_bytes_per_s / f64::from(report.workers),
            urgent,
            report.broken.values().sum::<u64>()
        )?;
    }
    writeln!(out)?;
    let (unit, planned) =
        if by_size { ("a worker", PLANNED_WORKERS) } else { ("a start a second", PLANNED_STARTS) };
    if group.len() < 2 {
        return Ok(());
    }
    writeln!(out, "| figure | at none | for {unit} | residual | at {planned} |")?;
    writeln!(out, "|---|---|---|---|---|")?;
    for (name, figure) in FIGURES {
        let points: Vec<(f64, f64)> = group.iter().map(|r| (x_of(r), figure(r))).collect();
        let Some(line) = fit(&points) else { continue };
        writeln!(
            out,
            "| {name} | {} | {} | {} | {} |",
            format_number(line.base),
            format_number(line.slope),
            format_number(line.residual),
            format_number(line.base + line.slope * planned)
        )?;
    }
    writeln!(out)
}

/// Formats a number with three significant digits, or all digits of its integer part.
fn format_number(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 {
        "0".into()
    } else if size >= 1000.0 {
        format!("{value:.0}")
    } else if size >= 0.01 {
        let digits = (2.0 - size.log10().floor()).max(0.0) as usize;
        format!("{value:.digits$}")
    } else {
        format!("{value:.2e}")
    }
}
