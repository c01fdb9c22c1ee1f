//! Messages between the run and its worker processes: postcard frames with their length over standard input
//! and output. A worker process ends when its input ends, so none outlives the run.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use troutspindle_protocol::ids::{Attempt, ControllerId, FencingToken, JobId, MachineId, TaskId};

/// Bytes. A frame larger than this is a fault of its sender.
const FRAME_MAX: usize = 4 * 1024 * 1024;

/// What workers have to know of a job; PROTOCOL's workers fetch it from its users.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobFacts {
    pub id: JobId,
    pub tasks: u64,
    pub cpus: f64,
    pub ram_gb: f64,
    pub image: String,
    pub image_gb: f64,
    /// Runs until it is stopped.
    pub service: bool,
    /// Mean run time of its tasks.
    pub run_s: f64,
}

/// What all workers have in common.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerSettings {
    pub controllers: Vec<(ControllerId, SocketAddr)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub flavor: String,
    pub cpus: f64,
    pub ram_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub seed: u64,
}

/// One machine that is up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineFacts {
    pub id: MachineId,
    pub address: SocketAddr,
    pub zone: String,
    pub spot: bool,
}

/// From the run to a worker process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToWorkers {
    Settings(WorkerSettings),
    Job(JobFacts),
    Boot(MachineFacts),
    /// The machine is deleted or lost; answered by [`FromWorkers::Deleted`].
    Delete(MachineId),
}

/// What happened to a task, or to a worker's token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Happening {
    /// It has its image and is on the machine from here on.
    Ready(TaskId, Attempt),
    /// It is not on the machine any more; whether it completed.
    Ended(TaskId, Attempt, bool),
    /// The highest token seen in this process rose.
    FencingToken(FencingToken),
}

/// With the microseconds since 1970 at which it happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerEvent {
    pub at_us: u64,
    pub machine: MachineId,
    pub what: Happening,
}

/// Messages and bytes of all workers of a process since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerCounters {
    pub workers: u64,
    pub reports: u64,
    pub report_bytes: u64,
    pub answers: u64,
    pub answer_bytes: u64,
    /// Answers 421, other refusals, and reports without any answer.
    pub redirects: u64,
    pub refusals: u64,
    pub unanswered: u64,
    pub commands: u64,
    pub command_bytes: u64,
    pub command_answer_bytes: u64,
    pub starts: u64,
    pub leases_lost: u64,
    /// Answers that a worker had to drop since they carried a lower token.
    pub dropped: u64,
}

impl WorkerCounters {
    /// The sum or difference of two, field by field.
    pub fn combine(
        &self,
        other: &WorkerCounters,
        with: impl Fn(u64, u64) -> u64,
    ) -> WorkerCounters {
        WorkerCounters {
            workers: with(self.workers, other.workers),
            reports: with(self.reports, other.reports),
            report_bytes: with(self.report_bytes, other.report_bytes),
            answers: with(self.answers, other.answers),
            answer_bytes: with(self.answer_bytes, other.answer_bytes),
            redirects: with(self.redirects, other.redirects),
            refusals: with(self.refusals, other.refusals),
            unanswered: with(self.unanswered, other.unanswered),
            commands: with(self.commands, other.commands),
            command_bytes: with(self.command_bytes, other.command_bytes),
            command_answer_bytes: with(self.command_answer_bytes, other.command_answer_bytes),
            starts: with(self.starts, other.starts),
            leases_lost: with(self.leases_lost, other.leases_lost),
            dropped: with(self.dropped, other.dropped),
        }
    }

    /// All bytes that workers sent and received.
    pub fn bytes(&self) -> u64 {
        let heads =
            (self.reports + self.answers + self.commands * 2) * crate::constants::HEAD_BYTES;
        let bodies = self.report_bytes + self.answer_bytes + self.command_bytes;
        bodies + self.command_answer_bytes + heads
    }
}

/// From a worker process to the run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromWorkers {
    Events(Vec<WorkerEvent>),
    Deleted(MachineId),
    Counters(WorkerCounters),
    /// A machine could not be set up: its address is taken.
    Failed(String),
}

/// Microseconds since 1970: the processes of a run share one machine and so one clock.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Writes one frame.
pub async fn write_frame<T: Serialize>(
    to: &mut (impl AsyncWriteExt + Unpin),
    message: &T,
) -> std::io::Result<()> {
    let body = postcard::to_stdvec(message).map_err(std::io::Error::other)?;
    to.write_all(&(body.len() as u32).to_be_bytes()).await?;
    to.write_all(&body).await
}

/// Reads one frame; an error stands for the end as well.
pub async fn read_frame<T: DeserializeOwned>(
    from: &mut (impl AsyncReadExt + Unpin),
) -> std::io::Result<T> {
    let length = from.read_u32().await? as usize;
    if length > FRAME_MAX {
        return Err(std::io::Error::other("frame too large"));
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(std::io::Error::other)
}
