//! Results of a run: a table for people, and JSON from which the capacity page is computed.

use crate::measure::Usage;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Quantiles of a time in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Times {
    pub count: u64,
    pub p50_ms: u64,
    pub p90_ms: u64,
    pub p99_ms: u64,
    pub max_ms: u64,
}

impl Times {
    /// Returns the quantiles of a histogram of milliseconds.
    pub fn of(histogram: &Histogram<u64>) -> Times {
        Times {
            count: histogram.len(),
            p50_ms: histogram.value_at_quantile(0.5),
            p90_ms: histogram.value_at_quantile(0.9),
            p99_ms: histogram.value_at_quantile(0.99),
            max_ms: histogram.max(),
        }
    }
}

/// Requests, answers and bytes per second in the measured period, by kind.
pub type Rates = BTreeMap<String, f64>;

/// Results of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub scenario: String,
    /// Git revision, or a name given to the run.
    pub label: String,
    pub workers: u32,
    pub controllers: u32,
    pub teams: u32,
    pub starts_asked_per_s: f64,
    pub measured_s: f64,
    /// Mean number of workers that were up.
    pub workers_up: f64,
    /// Mean number of tasks on machines.
    pub tasks_running: f64,
    /// Maximum number of tasks on machines in any sample.
    #[serde(default)]
    pub tasks_most: u64,
    /// Mean number of starts per second.
    pub starts_per_s: f64,
    pub leader: Usage,
    /// Mean over all followers.
    pub follower_mean: Usage,
    /// The follower with the most descriptors.
    pub follower_peak: Usage,
    /// Share of a core that all worker processes used together.
    pub workers_cpu: f64,
    /// Sum of the peak memory of all worker processes, in megabytes.
    pub workers_memory_mb: f64,
    /// Mean over the processes that run one worker each.
    pub real_worker: Option<Usage>,
    /// Frames and bytes per second that the leader wrote to its peers.
    #[serde(default)]
    pub leader_mesh: (f64, f64),
    /// Frames and bytes per second that a follower wrote to its peers, as the mean over all followers.
    #[serde(default)]
    pub follower_mesh: (f64, f64),
    /// The process that runs the store, the cloud, the users and the judge.
    pub surroundings: Usage,
    pub processes: usize,
    pub memory_total_mb: f64,
    /// Rates of all workers together.
    pub worker_rates: Rates,
    pub worker_bytes_per_s: f64,
    /// Size of the body of the largest heartbeat, in bytes.
    #[serde(default)]
    pub largest_heartbeat_bytes: u64,
    pub leases_lost: u64,
    pub state_rates: Rates,
    pub state_bytes_per_s: f64,
    pub state_keys: u64,
    pub cloud_rates: Rates,
    pub user_rates: Rates,
    pub submission: Times,
    /// Time from submission until the first task of a job has started with its image present, by class.
    pub first_start: BTreeMap<String, Times>,
    /// Times from the end of a killed leader to the first start under its successor, in milliseconds.
    pub recovery_ms: Vec<u64>,
    /// Number of violations of each broken rule.
    pub broken: BTreeMap<String, u64>,
    /// Texts of the first five violations.
    pub broken_first: Vec<String>,
    /// Number of events that arrived at the judge after a later event had been judged.
    pub judged_late: u64,
}

impl Report {
    /// Returns whether the judge found no violations.
    pub fn is_clean(&self) -> bool {
        self.broken.is_empty()
    }

    /// Returns the results as a table for people.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let _ = self.write_table(&mut out);
        out
    }

    fn write_table(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "{} ({}): {} workers, {} controllers, {:.0} s measured",
            self.scenario, self.label, self.workers, self.controllers, self.measured_s
        )?;
        writeln!(
            out,
            "  workers up {:.0}, tasks on machines {:.0} (at most {}), starts {:.1} a second (asked for {:.1})",
            self.workers_up,
            self.tasks_running,
            self.tasks_most,
            self.starts_per_s,
            self.starts_asked_per_s
        )?;
        let row = |name: &str, usage: &Usage| {
            format!(
                "  {name:16} {:6.3} of a core (peak {:.2}), {:6.1} MB, {:6.0} descriptors (peak {})",
                usage.cpu_mean,
                usage.cpu_peak,
                usage.memory_mb,
                usage.descriptors_mean,
                usage.descriptors_peak
            )
        };
        writeln!(out, "{}", row("leader", &self.leader))?;
        writeln!(out, "{}", row("others, mean", &self.follower_mean))?;
        writeln!(out, "{}", row("others, fullest", &self.follower_peak))?;
        writeln!(out, "{}", row("surroundings", &self.surroundings))?;
        if let Some(usage) = &self.real_worker {
            writeln!(out, "{}", row("a real worker", usage))?;
        }
        let each = f64::from(self.workers).max(1.0);
        writeln!(
            out,
            "  a worker         {:6.4} of a core, {:.2} MB, {:.0} bytes a second, {} in the largest heartbeat; leases lost {}",
            self.workers_cpu / each,
            self.workers_memory_mb / each,
            self.worker_bytes_per_s / each,
            self.largest_heartbeat_bytes,
            self.leases_lost
        )?;
        let line = |rates: &Rates| {
            let pairs = rates.iter().map(|(kind, rate)| format!("{kind} {rate:.1}"));
            pairs.collect::<Vec<String>>().join(", ")
        };
        writeln!(out, "  workers, a second: {}", line(&self.worker_rates))?;
        writeln!(out, "  state service, a second: {}", line(&self.state_rates))?;
        writeln!(out, "  cloud, a second: {}", line(&self.cloud_rates))?;
        writeln!(out, "  users, a second: {}", line(&self.user_rates))?;
        let times = |times: &Times| {
            format!(
                "{} with p50 {} ms, p90 {} ms, p99 {} ms, at most {} ms",
                times.count, times.p50_ms, times.p90_ms, times.p99_ms, times.max_ms
            )
        };
        writeln!(
            out,
            "  between controllers, a second: leader {:.0} frames, {:.0} bytes; another {:.0}, {:.0}",
            self.leader_mesh.0, self.leader_mesh.1, self.follower_mesh.0, self.follower_mesh.1
        )?;
        writeln!(out, "  submissions: {}", times(&self.submission))?;
        for (class, found) in &self.first_start {
            writeln!(out, "  first start of {class}: {}", times(found))?;
        }
        if !self.recovery_ms.is_empty() {
            writeln!(out, "  recovery after a leader's end, ms: {:?}", self.recovery_ms)?;
        }
        writeln!(
            out,
            "  {} processes, {:.0} MB in all; {} events judged late",
            self.processes, self.memory_total_mb, self.judged_late
        )?;
        if self.is_clean() {
            writeln!(out, "  rules: none broken")?;
        } else {
            writeln!(out, "  RULES BROKEN: {:?}", self.broken)?;
            for text in &self.broken_first {
                writeln!(out, "    {text}")?;
            }
        }
        Ok(())
    }
}
