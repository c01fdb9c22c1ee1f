//! The capacity page's table of roles: what each spends at the planned size, measured, beside what it may spend.

use crate::report::Report;
use std::fmt::Write;

/// Labels of the runs that the columns are taken from.
const ORDINARY: &str = "after, size";
const PEAK: &str = "after, rate";
const LEADER_ENDS: &str = "after, leader ends";
const ZONE_ENDS: &str = "after, zone ends";

/// A figure of a report.
type Value = fn(&Report) -> f64;

/// One figure of a role.
struct Row {
    role: &'static str,
    figure: &'static str,
    /// In the mean while it was measured, and at its peak, which counts where something fails.
    mean: Value,
    peak: Value,
    budget: Option<f64>,
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

fn both(value: Value) -> (Value, Value) {
    (value, value)
}

fn sum(rates: &crate::report::Rates) -> f64 {
    rates.values().sum()
}

fn kind(rates: &crate::report::Rates, name: &str) -> f64 {
    rates.get(name).copied().unwrap_or(0.0)
}

fn each(report: &Report, all: f64) -> f64 {
    all / f64::from(report.workers)
}

fn urgent(report: &Report) -> f64 {
    report.first_start.get("urgent").map_or(0.0, |times| times.p99_ms as f64)
}

/// Every figure, with its budget and the mechanism that carries it.
fn rows() -> Vec<Row> {
    let decides = "`src/scheduler.rs`";
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
            decides,
        ),
        row(
            "leader",
            "sockets",
            (|r| r.leader.descriptors_mean, |r| r.leader.descriptors_peak as f64),
            Some(8000.0),
            members,
        ),
        row("leader", "memory, MB", both(|r| r.leader.memory_mb), Some(512.0), limits),
        row("leader", "frames to controllers a second", both(|r| r.leader_mesh.0), None, relays),
        row("leader", "bytes to controllers a second", both(|r| r.leader_mesh.1), None, relays),
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
            both(|r| r.follower_mean.memory_mb),
            Some(512.0),
            limits,
        ),
        row("another controller", "frames a second", both(|r| r.follower_mesh.0), None, relays),
        row("another controller", "bytes a second", both(|r| r.follower_mesh.1), None, relays),
        row(
            "a worker",
            "thousandths of a core, among 700",
            both(|r| each(r, r.workers_cpu * 1000.0)),
            Some(44.0),
            worker,
        ),
        row(
            "a worker",
            "the same in a process of its own",
            both(|r| r.real_worker.map_or(0.0, |usage| usage.cpu_mean * 1000.0)),
            Some(44.0),
            worker,
        ),
        row(
            "a worker",
            "memory of a process of its own, MB",
            both(|r| r.real_worker.map_or(0.0, |usage| usage.memory_mb)),
            Some(32.0),
            worker,
        ),
        row(
            "a worker",
            "bytes a second, both ways",
            both(|r| each(r, r.worker_bytes_per_s)),
            Some(7000.0),
            worker,
        ),
        row(
            "a worker",
            "reports a second",
            both(|r| each(r, kind(&r.worker_rates, "reports"))),
            Some(2.0),
            worker,
        ),
        row(
            "a worker",
            "leases lost, all workers",
            both(|r| r.leases_lost as f64),
            None,
            "`src/leadership/delegation.rs`",
        ),
        row(
            "state service",
            "requests a second",
            both(|r| sum(&r.state_rates)),
            Some(800.0),
            state,
        ),
        row("state service", "bytes a second", both(|r| r.state_bytes_per_s), None, state),
        row(
            "state service",
            "keys",
            both(|r| r.state_keys as f64),
            None,
            "`src/schema/records.rs`",
        ),
        row(
            "cloud",
            "requests a second",
            both(|r| sum(&r.cloud_rates)),
            Some(5.0),
            "`src/cloud.rs`",
        ),
        row(
            "users' way in",
            "answers a second",
            both(|r| kind(&r.user_rates, "answers")),
            None,
            "`src/api.rs`",
        ),
        row(
            "users' way in",
            "submission, 99%, ms",
            both(|r| r.submission.p99_ms as f64),
            Some(200.0),
            "`src/api.rs`",
        ),
        row("users' way in", "urgent start, 99%, ms", both(urgent), Some(2300.0), decides),
        row(
            "users' way in",
            "first start after a leader's end, ms",
            both(|r| r.recovery_ms.iter().copied().max().unwrap_or(0) as f64),
            Some(2300.0),
            "`src/leadership/election.rs`; warm standby `missing`",
        ),
    ]
}

/// The table, in Markdown; empty where the runs that it is made of are not among the reports.
pub fn table(reports: &[Report]) -> String {
    let largest = |label: &str, place: Value| {
        let found = reports.iter().filter(|report| report.label == label);
        found.max_by(|a, b| place(a).total_cmp(&place(b)))
    };
    let ordinary = largest(ORDINARY, |report| f64::from(report.workers));
    let peak = largest(PEAK, |report| report.starts_asked_per_s);
    let (Some(ordinary), Some(peak)) = (ordinary, peak) else { return String::new() };
    let failing = [LEADER_ENDS, ZONE_ENDS].map(|label| largest(label, |r| f64::from(r.workers)));
    let mut out = String::new();
    let _ = write_table(&mut out, (ordinary, peak), failing);
    out
}

fn write_table(
    out: &mut String,
    (ordinary, peak): (&Report, &Report),
    failing: [Option<&Report>; 2],
) -> std::fmt::Result {
    writeln!(
        out,
        "| role | figure | ordinary | at the peak | a leader ends | a zone ends | regions part | budget | headroom | mechanism |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|---|---|")?;
    for row in rows() {
        let text = |report: Option<&Report>, value: Value| {
            report.map_or("`missing`".into(), |report| short(value(report)))
        };
        let [leader_ends, zone_ends] = failing;
        let budget = row.budget.map_or("-".into(), short);
        let failed = failing.iter().flatten().map(|report| (row.peak)(report));
        let used = failed.fold((row.mean)(peak).max((row.mean)(ordinary)), f64::max);
        let headroom = row.budget.map_or("-".into(), |budget| short(1.0 - used / budget));
        writeln!(
            out,
            "| {} | {} | {} | {} | {} | {} | `missing` | {budget} | {headroom} | {} |",
            row.role,
            row.figure,
            short((row.mean)(ordinary)),
            short((row.mean)(peak)),
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

/// A number with three digits that count, or whole.
fn short(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 || size == 0.0 {
        format!("{value:.0}")
    } else {
        let digits = (2.0 - size.log10().floor()).clamp(0.0, 4.0) as usize;
        format!("{value:.digits$}")
    }
}
