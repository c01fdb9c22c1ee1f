//! Heartbeats of workers, and commands to them.

use super::amount::{amount, no_or_amount};
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
        TaskId::parse(&text).ok_or_else(|| serde::de::Error::custom("not a task name"))
    }
}

/// The state of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waits for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Was told to stop and saves a checkpoint.
    #[serde(rename = "saving")]
    Saving,
    /// Ended; the machine keeps its exit cause until it is told to forget it.
    #[serde(rename = "ended")]
    Exited,
}

/// One task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "leg")]
    pub task: TaskId,
    /// Which attempt at it.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// Its state.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it exited.
    #[serde(rename = "exitCause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
    /// Whether its progress was saved as it was stopped.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat with the status of its machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "spindle")]
    pub machine: MachineId,
    /// Where it takes direct commands.
    #[serde(default)]
    pub address: String,
    /// Its machine type.
    pub flavor: String,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "lendable")]
    pub spot: bool,
    /// Starts at 1 and rises whenever the worker's lease expires: all tasks of an earlier epoch are gone.
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    /// Rises with every message of the worker; orders messages of one epoch.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Seconds until the cloud takes the machine away, once it has given notice.
    #[serde(rename = "recallS", default, deserialize_with = "no_or_amount")]
    pub notice_s: Option<f64>,
    /// All tasks on the machine, exited ones until they are forgotten.
    #[serde(rename = "legs", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum WorkerCommand {
    /// Starts a task; without effect if the worker knows the attempt.
    #[serde(rename = "run")]
    Start {
        /// The task.
        #[serde(rename = "leg")]
        task: TaskId,
        /// Which attempt at it.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stops a task, which saves a checkpoint first if the grace period allows.
    #[serde(rename = "halt")]
    Stop {
        /// The task.
        #[serde(rename = "leg")]
        task: TaskId,
        /// Which attempt at it.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Seconds that it may take to save.
        #[serde(rename = "windDownS", deserialize_with = "amount")]
        grace_s: f64,
    },
    /// Removes an exited task from the heartbeats.
    #[serde(rename = "forget")]
    Forget {
        /// The task.
        #[serde(rename = "leg")]
        task: TaskId,
        /// Which attempt at it.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// Commands of one leader, in order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The leader's fencing token; a worker that has seen a higher one drops them.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Only in direct commands: the epoch that they are meant for.
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub agent_epoch: Option<u64>,
    /// The commands.
    pub orders: Vec<WorkerCommand>,
}

/// The answer of a controller that may not act: the worker is redirected.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NotLeader {
    /// Where to send heartbeats.
    #[serde(rename = "foreman")]
    pub leader: String,
}
