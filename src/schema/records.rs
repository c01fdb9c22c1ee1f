//! Stored records, and the two layouts of a job's progress and description.
//!
//! The *first* layout is the only one that the oldest supported version reads: a job's record contains
//! its description and the completed tasks of its first chunk, further chunks have separate keys,
//! and the chunk size follows from the size limit of a value. The *second* layout has small values of
//! a fixed size, and descriptions of any length. Both may contain completed tasks of the same job.
//! Completed tasks are only ever added, so a task is completed if either layout says so.
//!
//! Nothing is written in the second layout before every controller has announced that it reads it
//! ([`Layout::is_second`]). Support for the first layout can be removed once no cluster runs a version
//! that needs it and no job is live that such a version accepted.

use crate::constants::FORMAT_RAISED_TOKENS;
use crate::ids::{Amount, ControllerId, FencingToken};
use crate::schema::encoding::json_len;
use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Newest format that this program reads and writes. Format 1 introduced the second layout,
/// format 2 the controller leases ([`crate::leadership::controller_lease`]), and format 3 raised
/// fencing tokens ([`crate::workers::machine::WorkerFence`]). The oldest version announces no
/// format, which counts as 0.
pub const FORMAT: u32 = FORMAT_RAISED_TOKENS;
/// First format with the second layout.
const FORMAT_SECOND_LAYOUT: u32 = 1;
/// Maximum number of tasks of a job for which the second layout stores completed tasks in the job's
/// record, as the first layout does.
pub const RECORD_TASKS: u64 = 1024;
/// Number of tasks in a chunk of the second layout: 1 KiB of hexadecimal, half of the smallest value
/// limit that settings may set. It is part of the format and does not depend on any setting.
pub const COMPLETED_CHUNK_TASKS: u32 = 4096;

/// Value of the leader key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leader.
    #[serde(rename = "node")]
    pub controller: ControllerId,
    /// Fencing token with which it leads.
    pub token: FencingToken,
}

/// Record of a machine on which tasks may have been started. It is committed before the first start
/// and removed once the machine has certainly terminated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Address of the worker on the machine.
    pub address: String,
    /// Name of its machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// Name of its zone.
    pub zone: String,
    /// True if it is a spot machine.
    pub spot: bool,
}

/// Version announcement of a controller. Controllers never remove it, since none returns to an older
/// version unless an operator has removed the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Newest format that the controller reads.
    pub format: u32,
    /// Number of tasks in a chunk of the first layout when the cluster was upgraded. A limit that is
    /// changed later must not move a completed task to another index.
    #[serde(rename = "chunk")]
    pub legacy_chunk_tasks: u32,
}

/// Phase of a job's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// The job is accepted and not finished.
    Live,
    /// All tasks of the job are completed.
    Done,
    /// The job was cancelled before all of its tasks were completed.
    Cancelled,
}

/// Location of a description that is stored in chunks.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SpecChunks {
    /// Hash of the description in the keys of the chunks.
    #[serde(rename = "tag")]
    pub hash: String,
    /// Number of chunks.
    pub count: u32,
}

/// Team and resources of one task of a finished job. Stored as a list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, f64, f64, f64)", into = "(String, f64, f64, f64)")]
pub struct TaskFootprint {
    /// Team against whose limit the task counts.
    pub team: String,
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub ram_gb: f64,
}

impl TaskFootprint {
    /// Returns the resource request of the task.
    pub fn request(&self) -> Amount {
        Amount::request(self.cpus, self.gpus, self.ram_gb)
    }
}

impl From<&JobSpec> for TaskFootprint {
    fn from(spec: &JobSpec) -> TaskFootprint {
        let JobSpec { cpus, gpus, ram_gb, .. } = *spec;
        TaskFootprint { team: spec.team.clone(), cpus, gpus, ram_gb }
    }
}

impl From<(String, f64, f64, f64)> for TaskFootprint {
    fn from((team, cpus, gpus, ram_gb): (String, f64, f64, f64)) -> TaskFootprint {
        TaskFootprint { team, cpus, gpus, ram_gb }
    }
}

impl From<TaskFootprint> for (String, f64, f64, f64) {
    fn from(task: TaskFootprint) -> (String, f64, f64, f64) {
        (task.team, task.cpus, task.gpus, task.ram_gb)
    }
}

/// Value of a job's key. The record of a finished job contains no description.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// Phase of the job's lifecycle.
    #[serde(rename = "p")]
    pub phase: JobPhase,
    /// Wall-clock time at which the job was accepted, in milliseconds.
    #[serde(rename = "at", default)]
    pub accepted_ms: u64,
    /// Description of a live job, unless it is stored in chunks.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Arc<JobSpec>>,
    /// Completed tasks of a live job, one bit each, in hexadecimal.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    pub completed: String,
    /// Number of completed tasks of a finished job.
    #[serde(rename = "n", default)]
    pub completed_count: u64,
    /// Footprint of one task of a finished job. Some tasks may continue to run for a while, and they
    /// count against the team's limit until they have stopped.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub task: Option<TaskFootprint>,
    /// Wall-clock time, in milliseconds, at which the job was completed or its cancellation was
    /// requested. Times of dependent jobs count from it. The oldest version ignores this field and
    /// never rewrites the record of a finished job.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
    /// Number of tasks of a finished job that may still be on machines. The oldest version ignores this field.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub remaining_tasks: Option<u64>,
    /// Location of the description in the second layout. The oldest version would treat a job with
    /// such a record as done.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub spec_chunks: Option<SpecChunks>,
}

impl JobRecord {
    /// Creates the record of a live job without completed tasks.
    pub fn live(accepted_ms: u64, spec: Option<Arc<JobSpec>>) -> JobRecord {
        JobRecord {
            phase: JobPhase::Live,
            accepted_ms,
            spec,
            completed: String::new(),
            completed_count: 0,
            task: None,
            ended_ms: None,
            remaining_tasks: None,
            spec_chunks: None,
        }
    }
}

/// Format and limits of the values that may be written now.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    /// Cluster version: the lowest of the newest formats that the controllers read.
    pub format: u32,
    /// Number of tasks in a chunk of the first layout.
    pub legacy_chunk_tasks: u32,
    /// Maximum number of writes in a transaction.
    pub max_operations: usize,
    /// Maximum size of a value in bytes of JSON, below the store's limit by a safety margin.
    pub value_max: usize,
}

impl Layout {
    /// Returns whether values of the second layout and jobs with dependencies may be written.
    pub fn is_second(&self) -> bool {
        self.format >= FORMAT_SECOND_LAYOUT
    }

    /// Returns whether a value is within the maximum size.
    pub fn fits<T: Serialize>(&self, value: &T) -> bool {
        json_len(value) <= self.value_max
    }
}
