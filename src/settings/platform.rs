//! The platform's settings file (JSON): field names are its keys.

use crate::ids::{Amount, ControllerId};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Share of the key-value store's limit of a value that is filled: the rest is for the store's own counting.
const VALUE_SHARE: f64 = 0.9;
/// Bytes.
const KIB: f64 = 1024.0;

/// The platform's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct PlatformSettings {
    /// Name of this controller.
    pub host_name: ControllerId,
    /// Its zone.
    #[serde(default)]
    pub location: String,
    /// Address of the public listener.
    pub listen: SocketAddr,
    /// Address of the listener for other controllers.
    pub mesh_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub others: Vec<PeerSettings>,
    /// Services that the controller calls.
    pub external: ExternalServices,
    /// What holds for the whole cluster.
    pub params: ClusterParams,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerSettings {
    /// Its name.
    pub host_name: ControllerId,
    /// Its zone.
    #[serde(default)]
    pub location: String,
    /// Address of its listener for other controllers.
    pub peer_addr: SocketAddr,
}

/// Addresses of the services that the controller calls.
#[derive(Debug, Clone, Deserialize)]
pub struct ExternalServices {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The key-value store.
    pub state: SocketAddr,
}

/// What holds for the whole cluster.
#[derive(Debug, Clone, Deserialize)]
pub struct ClusterParams {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The teams.
    pub teams: Vec<TeamSettings>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of workers.
    pub workers: WorkerTiming,
    /// Limits of the key-value store.
    pub state: StoreParams,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub resources: Resources,
}

/// A team's guarantee and limit.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamSettings {
    /// Its name.
    pub name: String,
    /// CPUs guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// CPUs at the most; 0 is no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// GPUs at the most; 0 is no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

impl TeamSettings {
    /// The team's limit. Guests come with neither guarantee nor limit, so zero stands for no limit.
    pub fn limit(&self) -> Amount {
        let Amount { cpu, gpu, .. } = Amount::capacity(self.cpus_max, self.gpus_max, 0.0);
        let limit = |value: u64| if value == 0 { u64::MAX } else { value };
        Amount { cpu: limit(cpu), gpu: limit(gpu), ram: u64::MAX }
    }

    /// The team's guarantee.
    pub fn guarantee(&self) -> Amount {
        Amount { ram: u64::MAX, ..Amount::capacity(self.cpus, self.gpus, 0.0) }
    }
}

/// A service-level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What it is about: `wait`, `finished`, `deadline` or `guarantee`; others are ignored.
    pub kind: String,
    /// Class of the jobs that it is about.
    #[serde(default)]
    pub class: Option<String>,
    /// Seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Timing of workers.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTiming {
    /// Seconds between two heartbeats.
    pub report_s: f64,
    /// Seconds that a lease lasts after an answer.
    pub lease_s: f64,
    /// Seconds within which a cancelled job's tasks must be gone.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreParams {
    /// Requests a second.
    pub rps: f64,
    /// Writes a second.
    pub write_rps: f64,
    /// KiB of a value.
    pub value_kb: f64,
    /// Operations of a transaction.
    pub txn_ops: usize,
    /// Limits that come into force at an unknown time.
    #[serde(default)]
    pub next: Option<UpcomingStoreParams>,
}

/// Limits of the key-value store that will change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct UpcomingStoreParams {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Writes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// KiB of a value.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Operations of a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// The limits that this program keeps to from its start: the lesser of what is in force and what will be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EffectiveStoreLimits {
    /// Requests a second.
    pub rps: f64,
    /// Writes a second.
    pub write_rps: f64,
    /// Operations of a transaction.
    pub txn_ops: usize,
    /// Bytes of a value, with room to spare.
    pub value_max: usize,
    /// The same by the limit in force: what the previous version has to read cannot be made smaller, and no limit
    /// changes while it serves.
    pub legacy_value_max: usize,
    /// Tasks to a chunk of completed tasks in the first layout ([`crate::schema::records`]). The previous version
    /// derives it from the limit in force.
    pub legacy_chunk_tasks: u32,
}

impl StoreParams {
    /// The limits to keep to.
    pub fn effective(&self) -> EffectiveStoreLimits {
        let next = self.next.clone().unwrap_or_default();
        let lesser = |now: f64, next: Option<f64>| next.map_or(now, |next| next.min(now));
        let bytes = |kb: f64| (kb * KIB * VALUE_SHARE) as usize;
        EffectiveStoreLimits {
            rps: lesser(self.rps, next.rps),
            write_rps: lesser(self.write_rps, next.write_rps),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |next| next.min(self.txn_ops)),
            value_max: bytes(lesser(self.value_kb, next.value_kb)),
            legacy_value_max: bytes(self.value_kb),
            legacy_chunk_tasks: (self.value_kb * KIB) as u32,
        }
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// Seconds by which a listing may be out of date.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct Resources {
    /// Share of a core; 0 is no limit.
    #[serde(default)]
    pub cpu: f64,
    /// MB; 0 is no limit.
    #[serde(default)]
    pub memory_mb: f64,
    /// Open sockets.
    pub max_sockets: usize,
}

impl Resources {
    /// How many pieces of work fit into `within`, where each takes `cost` of a whole core.
    pub fn fits(&self, within: Duration, cost: Duration) -> f64 {
        let cores = if self.cpu > 0.0 { self.cpu } else { 1.0 };
        within.as_secs_f64() * cores / cost.as_secs_f64()
    }
}
