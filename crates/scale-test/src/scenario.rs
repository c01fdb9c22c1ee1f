//! Scenario files: the sizes of the cluster, the submitted work, and the faults with their times.

use crate::error::RunError;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Description of a run, as read from a scenario file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// Seed of all random choices of the emulated workers, users and cloud.
    pub seed: u64,
    /// Seconds before the measured period.
    pub warm_up_s: f64,
    /// Length of the measured period, in seconds.
    pub measure_s: f64,
    pub controllers: u32,
    /// Limit of each controller's processor time, as a share of a core.
    pub cpu: f64,
    /// Limit of each controller's memory, in megabytes.
    pub memory_mb: f64,
    /// Limit of each controller's open sockets.
    pub max_sockets: usize,
    /// Number of workers at the start.
    pub workers: u32,
    /// Number of further machines that the cloud can rent out.
    #[serde(default)]
    pub spare_workers: u32,
    /// Number of workers that have a process of their own.
    #[serde(default)]
    pub real_workers: u32,
    /// Regions with their zones.
    pub regions: Vec<Region>,
    pub machine: Machine,
    /// Interval between the heartbeats of a worker, in seconds.
    pub report_s: f64,
    /// Length of a worker's lease, in seconds; more than two heartbeat intervals.
    pub lease_s: f64,
    /// Deadline for ending the tasks of a cancelled job, in seconds after the cancellation; more than `lease_s`.
    pub cancel_s: f64,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub teams: Teams,
    pub classes: Vec<Class>,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Share of the direct commands of which a copy reaches the worker again after they were executed and answered.
    #[serde(default)]
    pub repeated_commands: f64,
    /// Whether the judge is given one start on two machines, as a check of the judge itself.
    #[serde(default)]
    pub planted_fault: bool,
}

/// Region with `zones` zones, which are named after it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    pub name: String,
    pub zones: u32,
}

/// The only machine type of a scenario.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    pub cpus: f64,
    pub ram_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub boot_s: f64,
    /// Share of boots that take three times as long.
    #[serde(default)]
    pub late_boots: f64,
    /// Share of boots that never complete.
    #[serde(default)]
    pub failed_boots: f64,
}

/// Limits of the emulated store: requests and writes per second, size of a value, operations of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// Limits of the emulated cloud: requests per second, and delay of the machine list in seconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

/// Teams, to which jobs are assigned round-robin. Each may use `limit` times an even share of the CPUs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Teams {
    pub count: u32,
    pub limit: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    Service,
    Array,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    Production,
    High,
    Normal,
    Low,
}

/// Class of jobs with the same shape and rate.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub kind: Kind,
    pub priority: Priority,
    /// Number of tasks of a job.
    pub tasks: u32,
    pub cpus: f64,
    pub ram_gb: f64,
    /// Mean run time of a task in seconds; services run until the end of the run.
    #[serde(default)]
    pub run_s: f64,
    /// Number of jobs submitted at the start.
    #[serde(default)]
    pub initial: u32,
    /// Number of jobs submitted in each later second.
    #[serde(default)]
    pub per_s: f64,
    /// Factor by which `per_s` is multiplied in the peak.
    #[serde(default = "one")]
    pub peak: f64,
    /// Share of jobs that their users cancel while they are running.
    #[serde(default)]
    pub cancelled: f64,
    /// Share of the attempts that fail soon after their start.
    #[serde(default)]
    pub failing: f64,
    /// Number of images that the jobs of the class share.
    pub images: u32,
    /// Size of each image, in gigabytes.
    pub image_gb: f64,
    /// Objective for the wait until the start, in seconds, which is part of the controllers' settings.
    #[serde(default)]
    pub start_within_s: Option<f64>,
}

fn one() -> f64 {
    1.0
}

/// Fault that is injected `at_s` seconds after the start of the measured period.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_s: f64,
    pub what: FaultKind,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Kills the leader without warning and restarts it later.
    EndLeader { back_after_s: f64 },
    /// Kills a follower without warning and restarts it later.
    EndFollower { back_after_s: f64 },
    /// Kills a worker process, which ends its machines.
    EndWorkers,
    /// Ends all machines of a zone; zones are counted from 0.
    EndZone { zone: u32 },
    /// Makes the store reject all requests.
    StateOut { for_s: f64 },
    /// Makes the cloud reject all requests.
    CloudOut { for_s: f64 },
}

/// Reads a file with a list of faults.
pub fn read_faults(path: &Path) -> Result<Vec<Fault>, RunError> {
    let invalid = |why: String| RunError::Scenario(path.to_owned(), why);
    let text = std::fs::read_to_string(path).map_err(|error| invalid(error.to_string()))?;
    serde_yaml_ng::from_str(&text).map_err(|error| invalid(error.to_string()))
}

impl Scenario {
    /// Reads and validates a scenario file.
    pub fn read(path: &Path) -> Result<Scenario, RunError> {
        let invalid = |why: String| RunError::Scenario(path.to_owned(), why);
        let text = std::fs::read_to_string(path).map_err(|error| invalid(error.to_string()))?;
        let scenario: Scenario =
            serde_yaml_ng::from_str(&text).map_err(|error| invalid(error.to_string()))?;
        let faults = scenario.faults_found();
        if faults.is_empty() { Ok(scenario) } else { Err(RunError::Invalid(faults)) }
    }

    /// Returns a text for each invalid value, with the field and the values allowed.
    pub fn faults_found(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut check = |holds: bool, text: &str| {
            if !holds {
                found.push(text.to_owned());
            }
        };
        check((1..=20).contains(&self.controllers), "controllers: from 1 to 20");
        check((1..=20_000).contains(&self.workers), "workers: from 1 to 20000");
        check(self.real_workers <= self.workers, "real_workers: no more than workers");
        check(self.measure_s > 0.0 && self.measure_s <= 3600.0, "measure_s: up to 3600");
        check((0.0..=3600.0).contains(&self.warm_up_s), "warm_up_s: from 0 to 3600");
        check(!self.zones().is_empty(), "regions: at least one with one zone");
        check(
            self.report_s >= 0.5 && self.lease_s > 2.0 * self.report_s,
            "lease_s: over 2 report_s",
        );
        check(self.cancel_s > self.lease_s, "cancel_s: more than lease_s");
        let share = 0.0..=1.0;
        check(share.contains(&self.repeated_commands), "repeated_commands: from 0 to 1");
        check(self.teams.count > 0, "teams.count: at least 1");
        check(!self.classes.is_empty(), "classes: at least one");
        for class in &self.classes {
            let name = &class.name;
            check((1..=10_000).contains(&class.tasks), &format!("class {name}: tasks: 1 to 10000"));
            check(class.cpus <= self.machine.cpus, &format!("class {name}: cpus: fits a machine"));
            check(share.contains(&class.failing), &format!("class {name}: failing: from 0 to 1"));
            check(class.images > 0, &format!("class {name}: images: at least 1"));
            let has_run_time = class.kind == Kind::Service || class.run_s > 0.0;
            check(has_run_time, &format!("class {name}: run_s: more than 0"));
        }
        for fault in &self.faults {
            let within = (0.0..=self.measure_s).contains(&fault.at_s);
            check(within, "faults: at_s: within measure_s");
            if let FaultKind::EndZone { zone } = fault.what {
                check((zone as usize) < self.zones().len(), "faults: zone: counted from 0");
            }
        }
        found
    }

    /// Returns the names of all zones, in order of their regions.
    pub fn zones(&self) -> Vec<String> {
        let region_zones = |region: &Region| {
            let name = region.name.clone();
            (0..region.zones).map(move |n| format!("{name}-{n}"))
        };
        self.regions.iter().flat_map(region_zones).collect()
    }

    /// Returns the starts of tasks per second that the classes request in the peak, which is the measured period.
    pub fn starts_per_s(&self) -> f64 {
        let class_rate = |class: &Class| class.per_s * class.peak * f64::from(class.tasks);
        self.classes.iter().map(class_rate).sum()
    }

    /// Sets the number of workers, and scales spare workers and submitted work in proportion.
    pub fn scale_to_workers(&mut self, workers: u32) {
        let factor = f64::from(workers) / f64::from(self.workers);
        self.workers = workers;
        self.spare_workers = (f64::from(self.spare_workers) * factor).ceil() as u32;
        for class in &mut self.classes {
            class.initial = (f64::from(class.initial) * factor).round() as u32;
            class.per_s *= factor;
        }
    }

    /// Scales the arrays' rates by the factor that brings [`Scenario::starts_per_s`] to `starts`; their initial jobs
    /// are scaled by the same factor.
    pub fn scale_to_starts_per_s(&mut self, starts: f64) {
        let factor = starts / self.starts_per_s().max(f64::MIN_POSITIVE);
        for class in self.classes.iter_mut().filter(|class| class.kind == Kind::Array) {
            class.per_s *= factor;
            class.initial = (f64::from(class.initial) * factor).round() as u32;
        }
    }
}
