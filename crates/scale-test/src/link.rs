//! Messages between the run and its worker processes: length-prefixed postcard frames over standard input and output.
//! A worker process exits when its input ends, so none outlives the run.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use troutspindle_protocol::ids::{Attempt, ControllerId, JobId, MachineId, TaskId};

/// Maximum size of a frame in bytes; a larger length is an error of the sender.
const FRAME_MAX: usize = 4 * 1024 * 1024;

/// Description of a job for the workers. In PROTOCOL workers get it from the job's users instead.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobFacts {
    /// Id of the job.
    pub id: JobId,
    /// Number of tasks.
    pub tasks: u64,
    /// CPUs per task.
    pub cpus: f64,
    /// Memory per task in GB.
    pub ram_gb: f64,
    /// Name of the image that a task needs before it runs.
    pub image: String,
    /// Size of the image in GB.
    pub image_gb: f64,
    /// The tasks run until they are stopped.
    pub service: bool,
    /// Mean run time of the tasks in seconds.
    pub run_s: f64,
    /// Share of the attempts that fail soon after their start.
    pub failing: f64,
}

/// Settings that all workers of a process share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerSettings {
    /// Ids and addresses of the controllers.
    pub controllers: Vec<(ControllerId, SocketAddr)>,
    /// Interval between heartbeats in seconds, before jitter.
    pub report_s: f64,
    /// Duration of a worker's lease in seconds.
    pub lease_s: f64,
    /// Name of the machine type.
    pub flavor: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// Memory of a machine in GB.
    pub ram_gb: f64,
    /// Size of the image cache in GB.
    pub cache_gb: f64,
    /// Rate at which a machine fetches images.
    pub fetch_gb_per_s: f64,
    /// Share of the direct commands of which a copy arrives again after they were executed and answered.
    pub repeated_commands: f64,
    /// Base of the random seeds of the workers.
    pub seed: u64,
}

/// Description of one machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineFacts {
    /// Id of the machine.
    pub id: MachineId,
    /// Address on which its worker accepts direct calls.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// The machine is a spot machine.
    pub spot: bool,
}

/// Messages from the run to a worker process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToWorkers {
    /// Settings of all workers; the first message.
    Settings(WorkerSettings),
    /// A job whose tasks may be started from now on.
    Job(JobFacts),
    /// The machine is up, and its worker starts.
    Boot(MachineFacts),
    /// The machine is deleted or lost; answered by [`FromWorkers::Deleted`].
    Delete(MachineId),
}

/// Event of a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Happening {
    /// The attempt has its image and runs on the machine from now on.
    Ready(TaskId, Attempt),
    /// The attempt does not run on the machine any more; true if it completed.
    Ended(TaskId, Attempt, bool),
}

/// Event of a worker, with its machine and time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerEvent {
    /// Time of the event in microseconds since 1970.
    pub at_us: u64,
    /// Machine of the worker.
    pub machine: MachineId,
    /// Event.
    pub what: Happening,
}

/// Messages and bytes of all workers of a process since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerCounters {
    /// Workers that run now.
    pub workers: u64,
    /// Heartbeats sent.
    pub reports: u64,
    /// Bytes of the bodies of heartbeats.
    pub report_bytes: u64,
    /// Bytes of the body of the largest heartbeat.
    pub report_bytes_max: u64,
    /// Heartbeats that were answered, with any status.
    pub answers: u64,
    /// Bytes of the bodies of these answers.
    pub answer_bytes: u64,
    /// Answers with status 421, which name another controller as leader.
    pub redirects: u64,
    /// Answers with any status other than 200 and 421.
    pub refusals: u64,
    /// Heartbeats without an answer.
    pub unanswered: u64,
    /// Requests to workers, among them direct calls.
    pub commands: u64,
    /// Bytes of the bodies of these requests.
    pub command_bytes: u64,
    /// Bytes of the bodies of the answers to these requests.
    pub command_answer_bytes: u64,
    /// Copies of direct commands that reached a worker which still accepts their token and agent epoch.
    pub repeated_commands: u64,
    /// Tasks started.
    pub starts: u64,
    /// Leases that expired at a worker.
    pub leases_lost: u64,
    /// Answers that a worker dropped because of a lower fencing token or an earlier agent epoch.
    pub dropped: u64,
}

impl WorkerCounters {
    /// Combines two sets of counters field by field, for their sum or difference. Keeps the larger maximum.
    pub fn combine(
        &self,
        other: &WorkerCounters,
        with: impl Fn(u64, u64) -> u64,
    ) -> WorkerCounters {
        WorkerCounters {
            workers: with(self.workers, other.workers),
            reports: with(self.reports, other.reports),
            report_bytes: with(self.report_bytes, other.report_bytes),
            report_bytes_max: self.report_bytes_max.max(other.report_bytes_max),
            answers: with(self.answers, other.answers),
            answer_bytes: with(self.answer_bytes, other.answer_bytes),
            redirects: with(self.redirects, other.redirects),
            refusals: with(self.refusals, other.refusals),
            unanswered: with(self.unanswered, other.unanswered),
            commands: with(self.commands, other.commands),
            command_bytes: with(self.command_bytes, other.command_bytes),
            command_answer_bytes: with(self.command_answer_bytes, other.command_answer_bytes),
            repeated_commands: with(self.repeated_commands, other.repeated_commands),
            starts: with(self.starts, other.starts),
            leases_lost: with(self.leases_lost, other.leases_lost),
            dropped: with(self.dropped, other.dropped),
        }
    }

    /// Returns all bytes that workers sent and received, with an estimate of the message heads.
    pub fn bytes(&self) -> u64 {
        let heads =
            (self.reports + self.answers + self.commands * 2) * crate::constants::HEAD_BYTES;
        let bodies = self.report_bytes + self.answer_bytes + self.command_bytes;
        bodies + self.command_answer_bytes + heads
    }
}

/// Messages from a worker process to the run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromWorkers {
    /// Events since the last such message.
    Events(Vec<WorkerEvent>),
    /// All tasks on the machine have ended, and their events were sent before.
    Deleted(MachineId),
    /// Totals since the start of the process.
    Counters(WorkerCounters),
    /// A worker could not listen on its address, with the reason.
    Failed(String),
}

/// Returns the microseconds since 1970. They compare across the processes of a run, which share one machine and clock.
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

/// Reads one frame. Returns an error at the end of the input as well.
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
