//! Records as they are stored, and the two layouts of a job's progress and description.
//!
//! The *first* layout is all that the oldest supported version knows: a job's record holds its
//! description and the completed tasks of its first chunk, further chunks have keys of their own,
//! and the size of a chunk follows from the limit of a value. The *second* one has small values of
//! a fixed size, and descriptions of any length. Both may hold completed tasks of the same job:
//! tasks are only ever added, so what is completed is what either of them says.
//!
//! Nothing of the second layout is written before every controller has said that it reads it
//! ([`Layout::is_second`]). The first layout can go once no cluster runs a version that needs it
//! and no job is live that such a version accepted.

use crate::constants::FORMAT_HEARTBEAT;
use crate::ids::{Amount, ControllerId, FencingToken};
use crate::schema::encoding::json_len;
use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The newest format that this program reads and writes: 1 brought the second layout, 2 the
/// controllers' leases ([`crate::leadership::controller_lease`]). The oldest version says none: 0.
pub const FORMAT: u32 = FORMAT_HEARTBEAT;
/// The first format with the second layout.
const FORMAT_SECOND_LAYOUT: u32 = 1;
/// Count. Tasks up to which the completed ones stand in the job's record in both layouts.
pub const RECORD_TASKS: u64 = 1024;
/// Count. Tasks to a chunk of the second layout: 1 KiB of hexadecimal, half of the smallest limit
/// that settings may set. It belongs to the format and follows from no setting.
pub const COMPLETED_CHUNK_TASKS: u32 = 4096;

/// Who leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader.
    #[serde(rename = "node")]
    pub controller: ControllerId,
    /// Its fencing token.
    pub token: FencingToken,
}

/// A machine on which tasks may have been started: the record is committed before the first
/// start and removed once the machine has surely terminated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Where its agent is called.
    pub address: String,
    /// The name of its machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// The name of its zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
}

/// What a controller says of itself. Never removed: no controller goes back to an older version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The newest format that it reads.
    pub format: u32,
    /// Tasks to a chunk of the first layout, as it was when the cluster was upgraded: a limit that
    /// is changed later must not move a completed task to another index.
    #[serde(rename = "chunk")]
    pub legacy_chunk_tasks: u32,
}

/// Where a job is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// Accepted, and not finished.
    Live,
    /// All of its tasks are completed.
    Done,
    /// Cancelled before that.
    Cancelled,
}

/// Where a long description is stored.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SpecChunks {
    /// Names the chunks in their keys.
    #[serde(rename = "tag")]
    pub hash: String,
    /// How many chunks there are.
    pub count: u32,
}

/// Team and resources of one task of a finished job. Stored as a list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, f64, f64, f64)", into = "(String, f64, f64, f64)")]
pub struct TaskFootprint {
    /// The team whose limit it counts against.
    pub team: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub ram_gb: f64,
}

impl TaskFootprint {
    /// The resources that it requests.
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

/// The value of a job's key. A finished job keeps no description.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// Where it is in its life.
    #[serde(rename = "p")]
    pub phase: JobPhase,
    /// Milliseconds of the time of day when it was accepted.
    #[serde(rename = "at", default)]
    pub accepted_ms: u64,
    /// Its description, unless that stands in chunks.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Arc<JobSpec>>,
    /// Completed tasks while it is live, one bit each, in hexadecimal.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    pub completed: String,
    /// Count of completed tasks when it is finished.
    #[serde(rename = "n", default)]
    pub completed_count: u64,
    /// A task of a finished job: some may run on for a while and count against the team's limit
    /// until they are gone.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub task: Option<TaskFootprint>,
    /// Milliseconds of the time of day when it was done, or was to be cancelled: the times of jobs
    /// that depend on it count from its end. The oldest version ignores it and never rewrites the
    /// record of a finished job.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
    /// How many tasks of a finished job may still be on machines. The oldest version ignores it.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub remaining_tasks: Option<u64>,
    /// Second layout: where the description is stored. The oldest version would take such a record
    /// for a job that is done.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub spec_chunks: Option<SpecChunks>,
}

impl JobRecord {
    /// The record of a job of which no task is completed.
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

/// What may be written now.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    /// The least format that all controllers read: the cluster version.
    pub format: u32,
    /// Tasks to a chunk of the first layout.
    pub legacy_chunk_tasks: u32,
    /// Writes to a transaction.
    pub max_operations: usize,
    /// Bytes of a value, with room to spare.
    pub value_max: usize,
}

impl Layout {
    /// Whether values of the second layout and jobs with dependencies may be written.
    pub fn is_second(&self) -> bool {
        self.format >= FORMAT_SECOND_LAYOUT
    }

    /// Whether a value keeps to the store's limit.
    pub fn fits<T: Serialize>(&self, value: &T) -> bool {
        json_len(value) <= self.value_max
    }
}
