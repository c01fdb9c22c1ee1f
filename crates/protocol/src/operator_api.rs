//! What operators ask a controller, beside the users' protocol: JSON, so that people can read it.

use crate::ids::JobId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// POST, with [`OperatorQuery`]. Answered 404, as any unknown path, without the right key.
pub const AT_RISK_PATH: &str = "/ops/jobs/at-risk";
/// POST, with [`DrainRequest`]. Any controller takes it.
pub const DRAIN_PATH: &str = "/ops/drain";
/// POST, with [`UndrainRequest`]. Any controller takes it.
pub const UNDRAIN_PATH: &str = "/ops/undrain";
/// POST, with [`OperatorQuery`]. Any controller answers.
pub const DRAINS_PATH: &str = "/ops/drains";
/// POST, with [`OperatorQuery`]: which classes of which teams are below their floors.
pub const STARVING_PATH: &str = "/ops/jobs/starving";

/// A question that needs nothing but leave to ask.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OperatorQuery {
    /// The operators' key.
    pub key: String,
}

/// A job that may miss an objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobAtRisk {
    /// The job.
    pub job: JobId,
    /// Its class.
    pub class: String,
    /// Its team.
    pub team: String,
    /// Probability that it is late, from 0 to 1.
    pub late: f64,
    /// Seconds until it is due.
    pub due_in_s: f64,
    /// Seconds until it will be done, as the median of what is expected.
    pub done_in_s: f64,
    /// How many of its tasks are done.
    pub done_tasks: u64,
    /// How many tasks it has.
    pub tasks: u64,
    /// How sure the estimate is that this rests on.
    pub grade: String,
}

/// Jobs at risk, the likeliest to be late first, and how warnings turned out under this leader.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobsAtRisk {
    /// The controller that answers.
    pub leader: String,
    /// The jobs.
    pub jobs: Vec<JobAtRisk>,
    /// Jobs warned of that are not over.
    pub warned: u64,
    /// Jobs warned of that were late.
    pub warned_late: u64,
    /// Jobs warned of that were in time.
    pub warned_in_time: u64,
    /// Jobs that were late without a warning.
    pub late_unwarned: u64,
}

/// What can be drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DrainKind {
    /// All machines and controllers of a zone.
    Zone,
    /// One machine.
    Machine,
    /// It hands leadership and its users over to others, as long as there are any.
    Controller,
}

/// Orders a graceful eviction: nothing new is to start there, and what runs is to leave.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DrainRequest {
    /// The operators' key.
    pub key: String,
    /// What is drained.
    pub kind: DrainKind,
    /// Its name.
    pub name: String,
    /// Seconds from now after which no array's task may run there any more; `None`: each runs to its end.
    #[serde(default)]
    pub by_s: Option<f64>,
    /// Who ordered it.
    #[serde(default)]
    pub author: String,
    /// Why.
    #[serde(default)]
    pub reason: String,
}

/// Takes a drain back.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UndrainRequest {
    /// The operators' key.
    pub key: String,
    /// What is drained.
    pub kind: DrainKind,
    /// Its name.
    pub name: String,
}

/// A drain that is in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// What is drained.
    pub kind: DrainKind,
    /// Its name.
    pub name: String,
    /// Seconds until it is to be done; below 0 if that is past.
    pub by_in_s: Option<f64>,
    /// Seconds since it was ordered.
    pub since_s: f64,
    /// Who ordered it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// Tasks that are still there; only the leader knows.
    pub left: Option<u64>,
    /// How many of them can neither leave nor end in time.
    pub stuck: Option<u64>,
}

/// All drains in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Drains {
    /// The drains.
    pub drains: Vec<Drain>,
}

/// A class of a team that is below its floor; capacity is counted in machines of the largest type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupBelowFloor {
    /// The class.
    pub class: String,
    /// The team.
    pub team: String,
    /// What its tasks take up.
    pub held: f64,
    /// What it is to have at the least.
    pub floor: f64,
    /// What it needs to be served as fast as its work arrives.
    pub needed: f64,
    /// Tasks that wait, by what for.
    pub waits_for: BTreeMap<String, u64>,
}

/// Whether capacity is scarce, and which groups have least of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FairShareReport {
    /// The controller that answers.
    pub leader: String,
    /// Seconds since capacity became scarce; `None`: it is not.
    pub scarce_for_s: Option<f64>,
    /// Machines that are up or booting.
    pub machines: f64,
    /// Whether no machine can be rented beside them.
    pub nothing_to_rent: bool,
    /// The groups below their floors.
    pub groups: Vec<GroupBelowFloor>,
}

/// What one class of a team asks for, in machines of the largest type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupDemand {
    /// The class.
    pub class: String,
    /// The team.
    pub team: String,
    /// Its tasks run until they are cancelled.
    pub service: bool,
    /// It may not use spot machines.
    pub ordinary: bool,
    /// What its tasks take up.
    pub held: f64,
    /// What its waiting tasks would take up.
    pub waiting: f64,
    /// Machine-seconds of arrays that came since this leadership began, as their run times are expected.
    pub came: f64,
    /// What it is to have at the least.
    pub floor: f64,
}

/// The leader's demand, which it logs every few seconds as JSON in the field [`DEMAND_FIELD`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandLog {
    /// Fencing token of the leadership; one that has ended may go on logging for a moment.
    pub token: u64,
    /// Seconds since this leadership began.
    pub at_s: f64,
    /// Ordinary machines that are up or booting.
    pub ordinary: f64,
    /// Spot machines that are up or booting.
    pub spot: f64,
    /// No machine can be rented beside them.
    pub exhausted: bool,
    /// Capacity is scarce.
    pub scarce: bool,
    /// Demand by class and team.
    pub groups: Vec<GroupDemand>,
}

/// What stands before that JSON in a line of the log.
pub const DEMAND_FIELD: &str = "demand=";
