//! Messages between users and controllers: job descriptions and states.

use super::amount::{amount, optional_amount};
use crate::ids::JobId;
use serde::{Deserialize, Serialize};

/// Kind of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Job array: independent tasks, each of which runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Service: replicas that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
    /// Gang: all tasks run together or not at all.
    #[serde(rename = "ensemble")]
    Gang,
}

/// Priority of a job. The variants are declared from the highest to the lowest, so the derived order is the order in
/// which jobs are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Highest priority, for services that respond to users.
    #[serde(rename = "critical")]
    Production,
    /// Above the default priority.
    #[serde(rename = "high")]
    High,
    /// Default priority.
    #[serde(rename = "standard")]
    Normal,
    /// Lowest priority, which uses capacity that other jobs leave.
    #[serde(rename = "best_effort")]
    Low,
}

/// Description of a job, submitted by its user.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique name, chosen by the user. A repeated submission uses the same name.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// Class, which selects the service-level objectives.
    #[serde(rename = "runKind")]
    pub class: String,
    /// Team whose quota applies.
    #[serde(rename = "owner")]
    pub team: String,
    /// Job array, service or gang.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority set by the user; dependent jobs may raise the effective priority.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks; their indexes start at 0.
    #[serde(rename = "legs")]
    pub tasks: u64,
    /// CPUs requested by each task.
    #[serde(rename = "vcpus", deserialize_with = "amount")]
    pub cpus: f64,
    /// GPUs requested by each task.
    #[serde(rename = "cards", deserialize_with = "amount")]
    pub gpus: f64,
    /// Memory requested by each task, in GB.
    #[serde(rename = "ramGb", deserialize_with = "amount")]
    pub ram_gb: f64,
    /// Name of the image that must be on a machine before a task starts there.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "imageGb", deserialize_with = "amount")]
    pub image_gb: f64,
    /// Names of the allowed machine types; `None` allows all.
    #[serde(rename = "flavors", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// Name of the only allowed zone; `None` allows all.
    #[serde(rename = "hall", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// True if all tasks must be in the same zone.
    #[serde(rename = "samePlace")]
    pub one_zone: bool,
    /// True if at most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// True if tasks may use spot machines.
    #[serde(rename = "lendable")]
    pub spot: bool,
    /// User's estimate of a task's run time, in seconds.
    #[serde(rename = "expectS", deserialize_with = "amount")]
    pub expect_s: f64,
    /// Progress between two checkpoints, in seconds; 0 means no checkpoints.
    #[serde(rename = "snapshotEveryS", deserialize_with = "amount")]
    pub checkpoint_s: f64,
    /// Time that a task needs to save a checkpoint when it is stopped, in seconds.
    #[serde(rename = "snapshotS", deserialize_with = "amount")]
    pub save_s: f64,
    /// Deadline, in seconds from submission.
    #[serde(
        rename = "dueS",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "optional_amount"
    )]
    pub due_s: Option<f64>,
    /// Names of the jobs that must complete before a task of this one starts.
    #[serde(rename = "waitsOn", default, skip_serializing_if = "Option::is_none")]
    pub depends_on: Option<Vec<JobId>>,
}

/// Only the name of a [`JobSpec`], for requests whose other fields may be invalid.
#[derive(Debug, Deserialize)]
pub struct JobName {
    /// Name of the job.
    #[serde(rename = "nameId")]
    pub id: JobId,
}

/// State of a job that is shown to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task of the job runs.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks completed. This state is final.
    #[serde(rename = "done")]
    Done,
    /// The user cancelled the job. This state is final.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Response to a submission, a poll or a cancellation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobView {
    /// Name of the job.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// State of the job.
    pub status: JobStatus,
    /// Number of completed tasks.
    pub done: u64,
    /// Number of running tasks.
    pub running: u64,
}
