//! Messages between workers and controllers: heartbeats and commands.

use super::amount::{amount, optional_amount};
use crate::ids::{Attempt, FencingToken, MachineId, TaskId};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

impl Serialize for TaskId {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        TaskId::parse(&text)
            .ok_or_else(|| serde::de::Error::custom("task id is not of the form job/index"))
    }
}

/// State of an attempt on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// The machine fetches the image.
    #[serde(rename = "pulling")]
    Fetching,
    /// The attempt waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// The attempt runs.
    #[serde(rename = "running")]
    Running,
    /// The attempt received a stop command and saves a checkpoint.
    #[serde(rename = "saving")]
    Saving,
    /// The attempt finished. The worker reports its exit cause until it receives a forget command.
    #[serde(rename = "ended")]
    Exited,
}

/// Status of one attempt in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Task that is attempted.
    #[serde(rename = "leg")]
    pub task: TaskId,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// State of the attempt.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Exit cause, once the attempt finished.
    #[serde(rename = "exitCause", default, skip_serializing_if = "Option::is_none")]
    pub exit_cause: Option<String>,
    /// True if a stopped attempt saved its progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// Heartbeat of a worker, with the status of its machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "spindle")]
    pub machine: MachineId,
    /// Address at which the worker accepts direct calls.
    #[serde(default)]
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// True if the machine is a spot machine.
    #[serde(rename = "lendable")]
    pub spot: bool,
    /// Agent epoch, which starts at 1 and rises whenever the worker's lease expires. All attempts of earlier epochs
    /// are terminated.
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    /// Sequence number, which rises with every message of the worker and orders the messages of one epoch.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest fencing token that the worker has received.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the machine; `None` without a reclaim notice.
    #[serde(rename = "recallS", default, deserialize_with = "optional_amount")]
    pub notice_s: Option<f64>,
    /// All attempts on the machine, including exited ones that have not been forgotten.
    #[serde(rename = "legs", default)]
    pub tasks: Vec<TaskStatus>,
}

/// Command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum WorkerCommand {
    /// Starts an attempt; has no effect if the worker already knows it.
    #[serde(rename = "run")]
    Start {
        /// Task that is attempted.
        #[serde(rename = "leg")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stops an attempt, which first saves a checkpoint if the grace period allows.
    #[serde(rename = "halt")]
    Stop {
        /// Task that is attempted.
        #[serde(rename = "leg")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Grace period for saving a checkpoint, in seconds.
        #[serde(rename = "windDownS", deserialize_with = "amount")]
        grace_s: f64,
    },
    /// Removes an exited attempt from the heartbeats.
    #[serde(rename = "forget")]
    Forget {
        /// Task that is attempted.
        #[serde(rename = "leg")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// Commands of one leader, in the order of execution.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandBatch {
    /// Fencing token of the leader. A worker that has received a higher one ignores the commands.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Agent epoch that the commands apply to; set only in direct calls.
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub agent_epoch: Option<u64>,
    /// Commands to execute.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Response of a controller that may not act on a heartbeat; it redirects the worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NotLeader {
    /// Address of the controller that the worker sends its heartbeats to.
    #[serde(rename = "foreman")]
    pub leader: String,
}
