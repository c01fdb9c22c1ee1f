//! Messages of the operators' HTTP API, which uses JSON so that people can read them.

use crate::ids::JobId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// POST with [`OperatorQuery`]; lists jobs that may miss an objective. Without the correct key, the response is 404,
/// as for any unknown path.
pub const AT_RISK_PATH: &str = "/ops/jobs/at-risk";
/// POST with [`DrainRequest`]; starts a drain. Any controller accepts it.
pub const DRAIN_PATH: &str = "/ops/drain";
/// POST with [`UndrainRequest`]; cancels a drain. Any controller accepts it.
pub const UNDRAIN_PATH: &str = "/ops/undrain";
/// POST with [`OperatorQuery`]; lists the drains in force. Any controller responds.
pub const DRAINS_PATH: &str = "/ops/drains";
/// POST with [`OperatorQuery`]; lists the classes of teams that are below their floors.
pub const STARVING_PATH: &str = "/ops/jobs/starving";

/// Request with no parameters besides the key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OperatorQuery {
    /// Secret key that authorizes operators.
    pub key: String,
}

/// Job that may miss an objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobAtRisk {
    /// Name of the job.
    pub job: JobId,
    /// Class of the job, which selects its objectives.
    pub class: String,
    /// Team that owns the job.
    pub team: String,
    /// Probability that the job misses its deadline, from 0 to 1.
    #[serde(rename = "late")]
    pub late_probability: f64,
    /// Seconds until the deadline.
    pub due_in_s: f64,
    /// Median of the predicted seconds until the job finishes.
    pub done_in_s: f64,
    /// Number of completed tasks.
    pub done_tasks: u64,
    /// Number of tasks of the job.
    pub tasks: u64,
    /// Confidence grade of the run-time estimate that the prediction is based on.
    pub grade: String,
}

/// Jobs at risk, in descending order of probability, and the accuracy of the warnings of this leader.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobsAtRisk {
    /// Name of the responding controller.
    pub leader: String,
    /// Jobs at risk.
    pub jobs: Vec<JobAtRisk>,
    /// Number of jobs with a warning that have not finished.
    pub warned: u64,
    /// Number of jobs with a warning that missed their deadline.
    pub warned_late: u64,
    /// Number of jobs with a warning that met their deadline.
    pub warned_in_time: u64,
    /// Number of jobs that missed their deadline without a warning.
    pub late_unwarned: u64,
}

/// Kind of object that can be drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DrainKind {
    /// All machines and controllers of a zone.
    Zone,
    /// One machine.
    Machine,
    /// One controller, which hands leadership and its users over to other controllers if there are any.
    Controller,
}

/// Requests a drain: no new tasks start there, and running tasks are evicted gracefully.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Secret key that authorizes operators.
    pub key: String,
    /// Kind of the drained object.
    pub kind: DrainKind,
    /// Name of the drained object.
    pub name: String,
    /// Seconds from now after which no task of a job array may run there; `None` lets each task finish.
    #[serde(default)]
    pub by_s: Option<f64>,
    /// Person or tool that requested the drain.
    #[serde(default)]
    pub author: String,
    /// Reason for the drain, for operators to read.
    #[serde(default)]
    pub reason: String,
}

/// Cancels a drain.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UndrainRequest {
    /// Secret key that authorizes operators.
    pub key: String,
    /// Kind of the drained object.
    pub kind: DrainKind,
    /// Name of the drained object.
    pub name: String,
}

/// Drain that is in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// Kind of the drained object.
    pub kind: DrainKind,
    /// Name of the drained object.
    pub name: String,
    /// Seconds until the deadline of the drain; negative after the deadline.
    pub by_in_s: Option<f64>,
    /// Seconds since the drain was requested.
    pub since_s: f64,
    /// Person or tool that requested the drain.
    pub author: String,
    /// Reason for the drain, for operators to read.
    pub reason: String,
    /// Number of tasks that are still there; known only to the leader.
    #[serde(rename = "left")]
    pub remaining: Option<u64>,
    /// Number of those tasks that can neither be moved nor finish before the deadline.
    pub stuck: Option<u64>,
}

/// List of all drains in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Drains {
    /// Drains in force.
    pub drains: Vec<Drain>,
}

/// Class of a team that is below its floor. Capacity is measured in machines of the largest type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupBelowFloor {
    /// Class of the jobs.
    pub class: String,
    /// Team that owns the jobs.
    pub team: String,
    /// Capacity allocated to the group's tasks.
    #[serde(rename = "held")]
    pub allocated: f64,
    /// Minimum capacity for the group.
    pub floor: f64,
    /// Capacity needed to serve the group's work as fast as it arrives.
    pub needed: f64,
    /// Number of waiting tasks, by the reason why they wait.
    pub waits_for: BTreeMap<String, u64>,
}

/// State of scarcity, and the groups that are below their floors.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FairShareReport {
    /// Name of the responding controller.
    pub leader: String,
    /// Seconds since capacity became scarce; `None` if it is not scarce.
    pub scarce_for_s: Option<f64>,
    /// Machines that are up or booting, in machines of the largest type.
    pub machines: f64,
    /// True if no more machines can be rented.
    #[serde(rename = "nothing_to_rent")]
    pub exhausted: bool,
    /// The groups below their floors.
    pub groups: Vec<GroupBelowFloor>,
}

/// Demand of one class of a team, in machines of the largest type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupDemand {
    /// Class of the jobs.
    pub class: String,
    /// Team that owns the jobs.
    pub team: String,
    /// True if the group's tasks belong to services, which run until they are cancelled.
    pub service: bool,
    /// True if the group may not use spot machines.
    pub ordinary: bool,
    /// Capacity allocated to the group's tasks.
    #[serde(rename = "held")]
    pub allocated: f64,
    /// Capacity that the group's waiting tasks would use.
    pub waiting: f64,
    /// Machine-seconds of job arrays that arrived in this term, from their expected run times.
    #[serde(rename = "came")]
    pub arrived: f64,
    /// Minimum capacity for the group.
    pub floor: f64,
}

/// Demand that the leader logs every few seconds as JSON after [`DEMAND_FIELD`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandLog {
    /// Fencing token of the leader. A former leader may continue to log for a moment after its term.
    pub token: u64,
    /// Seconds since the start of this term.
    pub at_s: f64,
    /// Ordinary machines that are up or booting, in machines of the largest type.
    pub ordinary: f64,
    /// Spot machines that are up or booting, in machines of the largest type.
    pub spot: f64,
    /// True if no more machines can be rented.
    pub exhausted: bool,
    /// True if capacity is scarce.
    pub scarce: bool,
    /// Demand by class and team.
    pub groups: Vec<GroupDemand>,
}

/// Text in front of the JSON of a [`DemandLog`] in a log line.
pub const DEMAND_FIELD: &str = "demand=";
