//! The cloud: machine types, rentals and the list of machines.

use super::amount::amount;
use crate::ids::MachineId;
use serde::{Deserialize, Serialize};

/// A machine type as the cloud describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// CPUs.
    #[serde(rename = "vcpus", deserialize_with = "amount")]
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "cards", deserialize_with = "amount")]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "ramGb", deserialize_with = "amount")]
    pub ram_gb: f64,
    /// Room for images, in GB.
    #[serde(rename = "cacheGb", default, deserialize_with = "amount")]
    pub cache_gb: f64,
    /// How fast images are fetched, in GB a second.
    #[serde(rename = "pullGbPerS", default, deserialize_with = "amount")]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(deserialize_with = "amount")]
    pub price: f64,
    /// Price an hour as a spot machine, at the moment.
    #[serde(rename = "marketPrice", deserialize_with = "amount")]
    pub spot_price: f64,
    /// Nominal boot time, in seconds.
    #[serde(rename = "startupS", deserialize_with = "amount")]
    pub boot_s: f64,
    /// Zones where it can be rented.
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
}

/// Takes newer descriptions of machine types in. Known types keep their place, since others refer to it.
pub fn merge(known: &mut Vec<MachineType>, found: Vec<MachineType>) {
    for flavor in found {
        match known.iter_mut().find(|f| f.name == flavor.name) {
            Some(old) => *old = flavor,
            None => known.push(flavor),
        }
    }
}

/// The cloud's catalogue.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All types.
    pub flavors: Vec<MachineType>,
}

/// A request to scale out.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentalRequest {
    /// Name of the request, never used twice: repeating it is idempotent.
    #[serde(rename = "hire")]
    pub request: String,
    /// Machine type.
    pub flavor: String,
    /// Zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether spot machines are wanted.
    #[serde(rename = "lendable")]
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// The body of a refusal by the cloud.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CloudError {
    /// What is wrong; "no capacity" where machines of that type, zone and kind are used up.
    pub error: String,
}

/// Names of machines: those rented, or those to delete.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineIds {
    /// The names.
    #[serde(rename = "spindles")]
    pub machines: Vec<MachineId>,
}

/// A machine's state, as the cloud knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedMachineState {
    /// Boots.
    Starting,
    /// Is up.
    Running,
    /// Stopped by itself; listed until it is deleted.
    Failed,
}

/// One machine in the cloud's list, which lags.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine.
    #[serde(rename = "nameId")]
    pub machine: MachineId,
    /// Where its worker takes direct commands, once known.
    #[serde(default)]
    pub address: Option<String>,
    /// Machine type.
    pub flavor: String,
    /// Zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "lendable")]
    pub spot: bool,
    /// Its state.
    pub status: ListedMachineState,
    /// Seconds since it was rented.
    #[serde(rename = "heldS", default, deserialize_with = "amount")]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachinePage {
    /// In order of their names.
    #[serde(rename = "spindles")]
    pub machines: Vec<ListedMachine>,
    /// There are more.
    #[serde(default)]
    pub truncated: bool,
}
