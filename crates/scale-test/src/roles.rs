//! Table of roles on the capacity page: measured resource use of each role at the planned size, next to its budget.

use crate::report::Report;
use std::fmt::Write;

/// Label of the runs for the column of ordinary load.
const ORDINARY: &str = "after, size";
/// Label of the runs for the column of peak load.
const PEAK: &str = "after, rate";
/// Label of the runs in which the leader fails.
const LEADER_ENDS: &str = "after, leader ends";
/// Label of the runs in which a zone fails.
const ZONE_ENDS: &str = "after, zone ends";

/// Function that reads one figure from a report.
type Value = fn(&Report) -> f64;

/// Row of the table: one figure of a role.
struct Row {
    role: &'static str,
    figure: &'static str,
    /// Mean over the measurement, for the columns of ordinary and peak load.
    mean: Value,
    /// Highest value during the measurement, for the columns of runs with a failure.
    peak: Value,
    /// Upper limit of the figure.
    budget: Option<f64>,
    /// Source file or document that defines the mechanism behind the figure.
    mechanism: &'static str,
}

fn row(
    role: &'static str,
    figure: &'static str,
    (mean, peak): (Value, Value),
    budget: Option<f64>,
    mechanism: &'static str,
) -> Row {
    Row { role, figure, mean, peak, budget, mechanism }
}

/// Returns the same function for mean and peak.
fn single(value: Value) -> (Value, Value) {
    (value, value)
}

fn total_rate(rates: &crate::report::Rates) -> f64 {
    rates.values().sum()
}

fn rate(rates: &crate::report::Rates, name: &str) -> f64 {
    rates.get(name).copied().unwrap_or(0.0)
}

fn per_worker(report: &Report, total: f64) -> f64 {
    total / f64::from(report.workers)
}

/// Returns the 99th percentile of the first start of class `urgent`, in milliseconds.
fn urgent_start_p99_ms(report: &Report) -> f64 {
    report.first_start.get("urgent").map_or(0.0, |times| times.p99_ms as f64)
}

/// Returns all rows of the table, in their order on the page.
fn rows() -> Vec<Row> {
    let scheduler = "`src/scheduler.rs`";
    let relays = "`src/peers/heartbeat_relay.rs`, `src/workers/command_delivery.rs`";
    let members = "`src/peers/membership.rs`, `src/controller/relayed_heartbeats.rs`";
    let limits = "`src/admission.rs`";
    let worker = "PROTOCOL";
    let state = "`src/store/client.rs`";
    vec![
        row(
            "leader",
            "share of a core",
            (|r| r.leader.cpu_mean, |r| r.leader.cpu_peak),
            Some(1.0),
            scheduler,
        ),
        row(
            "leader",
            "sockets",
            (|r| r.leader.descriptors_mean, |r| r.leader.descriptors_peak as f64),
            Some(8000.0),
            members,
        ),
        row("leader", "memory, MB", single(|r| r.leader.memory_mb), Some(512.0), limits),
        row("leader", "frames to controllers a second", single(|r| r.leader_mesh.0), None, relays),
        row("leader", "bytes to controllers a second", single(|r| r.leader_mesh.1), None, relays),
        row(
            "another controller",
            "share of a core",
            (|r| r.follower_mean.cpu_mean, |r| r.follower_mean.cpu_peak),
            Some(1.0),
            relays,
        ),
        row(
            "another controller",
            "sockets, the fullest",
            (|r| r.follower_peak.descriptors_mean, |r| r.follower_peak.descriptors_peak as f64),
            Some(8000.0),
            members,
        ),
        row(
            "another controller",
            "memory, MB",
            single(|r| r.follower_mean.memory_mb),
            Some(512.0),
            limits,
        ),
        row("another controller", "frames a second", single(|r| r.follower_mesh.0), None, relays),
        row("another controller", "bytes a second", single(|r| r.follower_mesh.1), None, relays),
        row(
            "a worker",
            "thousandths of a core, among 700",
            single(|r| per_worker(r, r.workers_cpu * 1000.0)),
            Some(44.0),
            worker,
        ),
        row(
            "a worker",
            "the same in a process of its own",
            single(|r| r.real_worker.map_or(0.0, |usage| usage.cpu_mean * 1000.0)),
            Some(44.0),
            worker,
        ),
        row(
            "a worker",
            "memory of a process of its own, MB",
            single(|r| r.real_worker.map_or(0.0, |usage| usage.memory_mb)),
            Some(32.0),
            worker,
        ),
        row(
            "a worker",
            "bytes a second, both ways",
            single(|r| per_worker(r, r.worker_bytes_per_s)),
            Some(7000.0),
            worker,
        ),
        row(
            "a worker",
            "reports a second",
            single(|r| per_worker(r, rate(&r.worker_rates, "reports"))),
            Some(2.0),
            worker,
        ),
        row(
            "a worker",
            "leases lost, all workers",
            single(|r| r.leases_lost as f64),
            None,
            "`src/leadership/delegation.rs`",
        ),
        row(
            "state service",
            "requests a second",
            single(|r| total_rate(&r.state_rates)),
            Some(800.0),
            state,
        ),
        row("state service", "bytes a second", single(|r| r.state_bytes_per_s), None, state),
        row(
            "state service",
            "keys",
            single(|r| r.state_keys as f64),
            None,
            "`src/schema/records.rs`",
        ),
        row(
            "cloud",
            "requests a second",
            single(|r| total_rate(&r.cloud_rates)),
            Some(5.0),
            "`src/cloud.rs`",
        ),
        row(
            "users' way in",
            "answers a second",
            single(|r| rate(&r.user_rates, "answers")),
            None,
            "`src/api.rs`",
        ),
        row(
            "users' way in",
            "submission, 99%, ms",
            single(|r| r.submission.p99_ms as f64),
            Some(200.0),
            "`src/api.rs`",
        ),
        row(
            "users' way in",
            "urgent start, 99%, ms",
            single(urgent_start_p99_ms),
            Some(2300.0),
            scheduler,
        ),
        row(
            "users' way in",
            "first start after a leader's end, ms",
            single(|r| r.recovery_ms.iter().copied().max().unwrap_or(0) as f64),
            Some(2300.0),
            "`src/leadership/election.rs`; warm standby `missing`",
        ),
    ]
}

/// Returns the table in Markdown, or an empty text if there is no report of ordinary load or of peak load.
pub fn table(reports: &[Report]) -> String {
    let largest = |label: &str, sort_key: Value| {
        let found = reports.iter().filter(|report| report.label == label);
        found.max_by(|a, b| sort_key(a).total_cmp(&sort_key(b)))
    };
    let ordinary = largest(ORDINARY, |report| f64::from(report.workers));
    let peak = largest(PEAK, |report| report.starts_asked_per_s);
    let (Some(ordinary), Some(peak)) = (ordinary, peak) else { return String::new() };
    let failure_reports =
        [LEADER_ENDS, ZONE_ENDS].map(|label| largest(label, |r| f64::from(r.workers)));
    let mut out = String::new();
    let _ = write_table(&mut out, (ordinary, peak), failure_reports);
    out
}

fn write_table(
    out: &mut String,
    (ordinary, peak): (&Report, &Report),
    failure_reports: [Option<&Report>; 2],
) -> std::fmt::Result {
    writeln!(
        out,
        "| role | figure | ordinary | at the peak | a leader ends | a zone ends | regions part | budget | headroom | mechanism |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|---|---|")?;
    for row in rows() {
        let text = |report: Option<&Report>, value: Value| {
            report.map_or("`missing`".into(), |report| format_short(value(report)))
        };
        let [leader_ends, zone_ends] = failure_reports;
        let budget = row.budget.map_or("-".into(), format_short);
        let failure_values = failure_reports.iter().flatten().map(|report| (row.peak)(report));
        let max_used = failure_values.fold((row.mean)(peak).max((row.mean)(ordinary)), f64::max);
        let headroom =
            row.budget.map_or("-".into(), |budget| format_short(1.0 - max_used / budget));
        writeln!(
            out,
            "| {} | {} | {} | {} | {} | {} | `missing` | {budget} | {headroom} | {} |",
            row.role,
            row.figure,
            format_short((row.mean)(ordinary)),
            format_short((row.mean)(peak)),
            text(leader_ends, row.peak),
            text(zone_ends, row.peak),
            row.mechanism
        )?;
    }
    writeln!(
        out,
        "| whoever operates | a change of configuration in force everywhere | `missing` | `missing` | `missing` | `missing` | `missing` | 3 s | - | `missing`: a key that all controllers follow |"
    )
}

/// Formats a number with three significant digits, or as an integer from 100 on.
fn format_short(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 100.0 || magnitude == 0.0 {
        format!("{value:.0}")
    } else {
        let digits = (2.0 - magnitude.log10().floor()).clamp(0.0, 4.0) as usize;
        format!("{value:.digits$}")
    }
}
