//! Scenario files: how many of everything, what is asked for, and what goes wrong when.

use crate::error::RunError;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// A whole run.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    pub seed: u64,
    /// Seconds before measuring starts, and of measuring.
    pub warm_up_s: f64,
    pub measure_s: f64,
    pub controllers: u32,
    /// What each controller is allowed: share of a core, megabytes and sockets.
    pub cpu: f64,
    pub memory_mb: f64,
    pub max_sockets: usize,
    /// Workers that are there from the start, and how many more the cloud has.
    pub workers: u32,
    #[serde(default)]
    pub spare_workers: u32,
    /// How many of them have a process of their own.
    #[serde(default)]
    pub real_workers: u32,
    /// Names of regions with their zones.
    pub regions: Vec<Region>,
    pub machine: Machine,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub teams: Teams,
    pub classes: Vec<Class>,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The judge is shown one start on two machines on purpose: a check of the judge itself.
    #[serde(default)]
    pub planted_fault: bool,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    pub name: String,
    pub zones: u32,
}

/// The one machine type.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    pub cpus: f64,
    pub ram_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub boot_s: f64,
    /// Share of boots that take three times as long, and of those that never end.
    #[serde(default)]
    pub late_boots: f64,
    #[serde(default)]
    pub failed_boots: f64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

/// Teams share the classes round-robin; each has a limit of so many times its even share of the work.
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

/// Work of one kind.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub kind: Kind,
    pub priority: Priority,
    /// Tasks of a job.
    pub tasks: u32,
    pub cpus: f64,
    pub ram_gb: f64,
    /// Mean run time of a task in seconds; services run until the end.
    #[serde(default)]
    pub run_s: f64,
    /// Jobs submitted at the start, and each second from then on.
    #[serde(default)]
    pub initial: u32,
    #[serde(default)]
    pub per_s: f64,
    /// How many times that rate comes in the peak.
    #[serde(default = "one")]
    pub peak: f64,
    /// Share of jobs that their users cancel while they run.
    #[serde(default)]
    pub cancelled: f64,
    /// Images that jobs of the class share, and the size of each.
    pub images: u32,
    pub image_gb: f64,
    /// Aim at start in seconds, told to the controllers.
    #[serde(default)]
    pub start_within_s: Option<f64>,
}

fn one() -> f64 {
    1.0
}

/// Something that goes wrong, so many seconds after measuring began.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_s: f64,
    pub what: FaultKind,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The leader ends without warning and is back later.
    EndLeader { back_after_s: f64 },
    /// A controller that does not lead ends without warning and is back later.
    EndFollower { back_after_s: f64 },
    /// A process of workers ends, and its machines with it.
    EndWorkers,
    /// All machines of a zone end.
    EndZone { zone: u32 },
    /// The state service refuses everybody.
    StateOut { for_s: f64 },
    /// The cloud refuses everybody.
    CloudOut { for_s: f64 },
}

/// Reads a file of faults.
pub fn read_faults(path: &Path) -> Result<Vec<Fault>, RunError> {
    let wrong = |why: String| RunError::Scenario(path.to_owned(), why);
    let text = std::fs::read_to_string(path).map_err(|error| wrong(error.to_string()))?;
    serde_yaml_ng::from_str(&text).map_err(|error| wrong(error.to_string()))
}

impl Scenario {
    /// Reads a file and checks it.
    pub fn read(path: &Path) -> Result<Scenario, RunError> {
        let wrong = |why: String| RunError::Scenario(path.to_owned(), why);
        let text = std::fs::read_to_string(path).map_err(|error| wrong(error.to_string()))?;
        let scenario: Scenario =
            serde_yaml_ng::from_str(&text).map_err(|error| wrong(error.to_string()))?;
        let faults = scenario.faults_found();
        if faults.is_empty() { Ok(scenario) } else { Err(RunError::Invalid(faults)) }
    }

    /// Everything that is wrong with it, each with the field and what it may be.
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
        check(self.teams.count > 0, "teams.count: at least 1");
        check(!self.classes.is_empty(), "classes: at least one");
        for class in &self.classes {
            let name = &class.name;
            check((1..=10_000).contains(&class.tasks), &format!("class {name}: tasks: 1 to 10000"));
            check(class.cpus <= self.machine.cpus, &format!("class {name}: cpus: fits a machine"));
            check(class.images > 0, &format!("class {name}: images: at least 1"));
            let runs = class.kind == Kind::Service || class.run_s > 0.0;
            check(runs, &format!("class {name}: run_s: more than 0"));
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

    /// All zones by name, in order of their regions.
    pub fn zones(&self) -> Vec<String> {
        let of = |region: &Region| {
            let name = region.name.clone();
            (0..region.zones).map(move |n| format!("{name}-{n}"))
        };
        self.regions.iter().flat_map(of).collect()
    }

    /// Starts of tasks in a second that its arrays ask for in the peak, which is while it is measured.
    pub fn starts_per_s(&self) -> f64 {
        let of = |class: &Class| class.per_s * class.peak * f64::from(class.tasks);
        self.classes.iter().map(of).sum()
    }

    /// Multiplies workers and work, for runs of other sizes.
    pub fn scaled(&mut self, workers: u32) {
        let by = f64::from(workers) / f64::from(self.workers);
        self.workers = workers;
        self.spare_workers = (f64::from(self.spare_workers) * by).ceil() as u32;
        for class in &mut self.classes {
            class.initial = (f64::from(class.initial) * by).round() as u32;
            class.per_s *= by;
        }
    }

    /// Sets the arrays' rates so that they ask for so many starts a second together; those that were there at the
    /// start change alike.
    pub fn with_starts_per_s(&mut self, starts: f64) {
        let by = starts / self.starts_per_s().max(f64::MIN_POSITIVE);
        for class in self.classes.iter_mut().filter(|class| class.kind == Kind::Array) {
            class.per_s *= by;
            class.initial = (f64::from(class.initial) * by).round() as u32;
        }
    }
}
