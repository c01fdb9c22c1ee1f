//! Users and their jobs.

use super::amount::{amount, no_or_amount};
use crate::ids::JobId;
use serde::{Deserialize, Serialize};

/// What a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// A job array: independent tasks, each of which runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
    /// All tasks run together or not at all.
    #[serde(rename = "ensemble")]
    Gang,
}

/// A job's priority. Declared from most to least urgent, so that the derived order is the order of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Services that users wait for.
    #[serde(rename = "critical")]
    Production,
    /// Above the usual.
    #[serde(rename = "high")]
    High,
    /// The usual.
    #[serde(rename = "standard")]
    Normal,
    /// Runs in what capacity is left over.
    #[serde(rename = "best_effort")]
    Low,
}

/// A job as its user describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique name, chosen by the user; a repeated submission uses the same.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// The class whose service-level objectives apply.
    #[serde(rename = "runKind")]
    pub class: String,
    /// The team whose quota applies.
    #[serde(rename = "owner")]
    pub team: String,
    /// Job array, service or gang.
    pub shape: JobKind,
    /// Its own priority; jobs that depend on it may raise it.
    pub urgency: Priority,
    /// How many tasks, numbered from 0.
    #[serde(rename = "legs")]
    pub tasks: u64,
    /// CPUs of each task.
    #[serde(rename = "vcpus", deserialize_with = "amount")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(rename = "cards", deserialize_with = "amount")]
    pub gpus: f64,
    /// Memory of each task, in GB.
    #[serde(rename = "ramGb", deserialize_with = "amount")]
    pub ram_gb: f64,
    /// The image that a machine needs before a task starts.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "imageGb", deserialize_with = "amount")]
    pub image_gb: f64,
    /// Machine types it may use; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub flavors: Option<Vec<String>>,
    /// The only zone it may use; `None`: any.
    #[serde(rename = "hall", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All its tasks have to be in one zone.
    #[serde(rename = "samePlace")]
    pub one_zone: bool,
    /// At most half of its tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// It may use spot machines.
    #[serde(rename = "lendable")]
    pub spot: bool,
    /// The owner's estimate of a task's run time, in seconds.
    #[serde(rename = "expectS", deserialize_with = "amount")]
    pub expect_s: f64,
    /// Seconds of progress between two checkpoints; 0: no checkpoints.
    #[serde(rename = "snapshotEveryS", deserialize_with = "amount")]
    pub checkpoint_s: f64,
    /// Seconds that a task takes to save when it is stopped.
    #[serde(rename = "snapshotS", deserialize_with = "amount")]
    pub save_s: f64,
    /// Deadline, in seconds from submission.
    #[serde(
        rename = "dueS",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "no_or_amount"
    )]
    pub due_s: Option<f64>,
    /// Jobs that have to be done before a task of this one starts.
    #[serde(rename = "waitsOn", default, skip_serializing_if = "Option::is_none")]
    pub depends_on: Option<Vec<JobId>>,
}

/// Only the name, for requests whose other fields may be broken.
#[derive(Debug, Deserialize)]
pub struct JobName {
    /// The job.
    #[serde(rename = "nameId")]
    pub id: JobId,
}

/// A job's state, as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task runs.
    #[serde(rename = "pending")]
    Queued,
    /// Some task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done. Final.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user. Final.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to a submission, a poll or a cancellation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// Its state.
    pub status: JobStatus,
    /// How many of its tasks are done.
    pub done: u64,
    /// How many of its tasks run.
    pub running: u64,
}
