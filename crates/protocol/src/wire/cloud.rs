//! Messages of the cloud's API: machine types, rentals and the list of machines.

use super::amount::amount;
use crate::ids::MachineId;
use serde::{Deserialize, Serialize};

/// Machine type as described by the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Unique name of the type.
    pub name: String,
    /// Number of CPUs.
    #[serde(rename = "vcpus", deserialize_with = "amount")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(rename = "cards", deserialize_with = "amount")]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "ramGb", deserialize_with = "amount")]
    pub ram_gb: f64,
    /// Capacity of the image cache, in GB.
    #[serde(rename = "cacheGb", default, deserialize_with = "amount")]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    #[serde(rename = "pullGbPerS", default, deserialize_with = "amount")]
    pub fetch_gb_per_s: f64,
    /// Price per hour of an ordinary machine.
    #[serde(deserialize_with = "amount")]
    pub price: f64,
    /// Current price per hour of a spot machine.
    #[serde(rename = "marketPrice", deserialize_with = "amount")]
    pub spot_price: f64,
    /// Nominal boot time, in seconds.
    #[serde(rename = "startupS", deserialize_with = "amount")]
    pub boot_s: f64,
    /// Names of the zones where the type can be rented.
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
}

/// Merges newer descriptions of machine types into the known ones. Known types keep their positions, because a
/// [`MachineTypeId`](crate::ids::MachineTypeId) refers to the position.
pub fn merge_machine_types(known: &mut Vec<MachineType>, newer: Vec<MachineType>) {
    for machine_type in newer {
        match known.iter_mut().find(|existing| existing.name == machine_type.name) {
            Some(existing) => *existing = machine_type,
            None => known.push(machine_type),
        }
    }
}

/// Machine types that the cloud offers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypes {
    /// Descriptions of all types.
    #[serde(rename = "flavors")]
    pub types: Vec<MachineType>,
}

/// Request to rent machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentalRequest {
    /// Unique id of the request, which makes a repeated request idempotent.
    #[serde(rename = "hire")]
    pub request_id: String,
    /// Name of the machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// True to rent spot machines.
    #[serde(rename = "lendable")]
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// Body of an error response of the cloud.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CloudError {
    /// Error message; "no capacity" if no spot or ordinary machines of that type are left in the zone.
    pub error: String,
}

/// Names of the machines that were rented, or that are to be deleted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineIds {
    /// Names of the machines.
    #[serde(rename = "spindles")]
    pub machines: Vec<MachineId>,
}

/// State of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedMachineState {
    /// The machine boots.
    Starting,
    /// The machine is up.
    Running,
    /// The machine failed; it is listed until it is deleted.
    Failed,
}

/// Entry of the cloud's list of machines, which may be out of date.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "nameId")]
    pub machine: MachineId,
    /// Address at which the worker accepts direct calls, once known.
    #[serde(default)]
    pub address: Option<String>,
    /// Name of the machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// True if the machine is a spot machine.
    #[serde(rename = "lendable")]
    pub spot: bool,
    /// State of the machine.
    pub status: ListedMachineState,
    /// Seconds since the machine was rented.
    #[serde(rename = "heldS", default, deserialize_with = "amount")]
    pub age_s: f64,
}

/// Page of the cloud's list of machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines in order of their names.
    #[serde(rename = "spindles")]
    pub machines: Vec<ListedMachine>,
    /// True if more machines follow on later pages.
    #[serde(default)]
    pub truncated: bool,
}
