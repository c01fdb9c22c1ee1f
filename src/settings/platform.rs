//! The platform's settings file (JSON). Field names are its keys.

use crate::ids::{Amount, ControllerId};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Share of the store's limit of the value size that is used. The rest allows for differences in how the store counts.
const VALUE_SHARE: f64 = 0.9;
const KIB: f64 = 1024.0;

/// The platform's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct PlatformSettings {
    /// Name of this controller, unique in the cluster.
    pub host_name: ControllerId,
    /// Zone of the controller.
    #[serde(default)]
    pub location: String,
    /// Address of the public listener, for workers, users, operators and health checks.
    pub listen: SocketAddr,
    /// Address of the listener for peers.
    pub mesh_addr: SocketAddr,
    /// Other controllers of the cluster.
    #[serde(default)]
    pub others: Vec<PeerSettings>,
    /// Addresses of the services that the controller calls.
    pub external: ExternalServices,
    /// Parameters of the whole cluster.
    pub params: ClusterParams,
}

/// Address and zone of another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerSettings {
    /// Name of the controller.
    pub host_name: ControllerId,
    /// Zone of the controller.
    #[serde(default)]
    pub location: String,
    /// Address of the controller's listener for peers.
    pub peer_addr: SocketAddr,
}

/// Addresses of the services that the controller calls.
#[derive(Debug, Clone, Deserialize)]
pub struct ExternalServices {
    /// Address of the cloud's API.
    pub cloud: SocketAddr,
    /// Address of the replicated key-value store.
    pub state: SocketAddr,
}

/// Parameters of the whole cluster.
#[derive(Debug, Clone, Deserialize)]
pub struct ClusterParams {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Guarantees and limits of the teams.
    pub teams: Vec<TeamSettings>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of workers' heartbeats, leases and cancellations.
    pub workers: WorkerTiming,
    /// Limits of the key-value store.
    pub state: StoreParams,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// Resource limits of this process.
    pub resources: Resources,
}

/// A team's guarantee and limit.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamSettings {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPUs; 0 means no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs; 0 means no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

impl TeamSettings {
    /// Returns the team's limit. Guest teams have neither guarantee nor limit, so zero means no limit.
    pub fn limit(&self) -> Amount {
        let Amount { cpu, gpu, .. } = Amount::capacity(self.cpus_max, self.gpus_max, 0.0);
        let limit = |value: u64| if value == 0 { u64::MAX } else { value };
        Amount { cpu: limit(cpu), gpu: limit(gpu), ram: u64::MAX }
    }

    /// Returns the team's guarantee of CPUs and GPUs; memory is not limited.
    pub fn guarantee(&self) -> Amount {
        Amount { ram: u64::MAX, ..Amount::capacity(self.cpus, self.gpus, 0.0) }
    }
}

/// Service-level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of the objective: `wait`, `finished`, `deadline` or `guarantee`. Other kinds are ignored.
    pub kind: String,
    /// Class of the jobs that the objective applies to.
    #[serde(default)]
    pub class: Option<String>,
    /// Time limit of the objective, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Timing of workers' heartbeats, leases and cancellations.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTiming {
    /// Interval between two heartbeats of a worker, in seconds.
    pub report_s: f64,
    /// Duration of a worker's lease after a response to its heartbeat, in seconds.
    pub lease_s: f64,
    /// Time after a cancellation within which the job's tasks must have stopped, in seconds.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreParams {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of operations in a transaction.
    pub txn_ops: usize,
    /// Limits that will replace these at an unknown time.
    #[serde(default)]
    pub next: Option<UpcomingStoreParams>,
}

/// Future limits of the key-value store. Absent limits do not change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct UpcomingStoreParams {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Writes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of operations in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Store limits that this process observes from its start: of each limit the smaller of the current and future value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EffectiveStoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Maximum number of operations in a transaction.
    pub txn_ops: usize,
    /// Maximum size of a value in bytes, below the store's limit by a margin.
    pub value_max: usize,
    /// Same as `value_max` but derived from the current limit only. Values that the previous version must read
    /// cannot be made smaller, and no limit changes while that version runs.
    pub legacy_value_max: usize,
    /// Number of tasks in a chunk of completed tasks in the first layout ([`crate::schema::records`]). The previous
    /// version derives it from the current limit.
    pub legacy_chunk_tasks: u32,
}

impl StoreParams {
    /// Returns the limits to observe.
    pub fn effective(&self) -> EffectiveStoreLimits {
        let next = self.next.clone().unwrap_or_default();
        let smaller =
            |current: f64, next: Option<f64>| next.map_or(current, |next| next.min(current));
        let bytes = |kb: f64| (kb * KIB * VALUE_SHARE) as usize;
        EffectiveStoreLimits {
            rps: smaller(self.rps, next.rps),
            write_rps: smaller(self.write_rps, next.write_rps),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |next| next.min(self.txn_ops)),
            value_max: bytes(smaller(self.value_kb, next.value_kb)),
            legacy_value_max: bytes(self.value_kb),
            legacy_chunk_tasks: (self.value_kb * KIB) as u32,
        }
    }
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Maximum age of the content of a listing of machines, in seconds.
    pub list_lag_s: f64,
}

/// Resource limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct Resources {
    /// Processor limit in cores; 0 means no limit.
    #[serde(default)]
    pub cpu: f64,
    /// Memory limit in MB (10^6 bytes); 0 means no limit.
    #[serde(default)]
    pub memory_mb: f64,
    /// Maximum number of open sockets.
    pub max_sockets: usize,
}

impl Resources {
    /// Returns how many operations of `cost` processor time fit into `within`. No processor limit counts as one core.
    pub fn fits(&self, within: Duration, cost: Duration) -> f64 {
        let cores = if self.cpu > 0.0 { self.cpu } else { 1.0 };
        within.as_secs_f64() * cores / cost.as_secs_f64()
    }
}
