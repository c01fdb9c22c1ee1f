//! The messages of PROTOCOL, in its words on the wire and in the field's terms here.

use crate::ids::{Attempt, FencingToken, JobId, LeaseId, MachineId, Revision, TaskId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

#[derive(Debug, thiserror::Error)]
#[error("not the expected CBOR")]
pub struct WireError;

/// Reads exactly one CBOR item; anything behind it is an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    let mut rest = bytes;
    let value = ciborium::from_reader(&mut rest).map_err(|_| WireError)?;
    if rest.is_empty() { Ok(value) } else { Err(WireError) }
}

pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory fails only for types that refuse to serialize; ours never do.
    let written = ciborium::into_writer(value, &mut out);
    debug_assert!(written.is_ok());
    out
}

/// Bytes as text, for values of the state service, which hold nothing binary.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text.chars().map(|c| Some(c.to_digit(16)? as u8)).collect();
    Some(digits?.chunks(2).map(|pair| pair.iter().fold(0, |a, d| a << 4 | d)).collect())
}

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

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    #[serde(rename = "sweep")]
    Array,
    #[serde(rename = "service")]
    Service,
    /// All tasks run together or not at all.
    #[serde(rename = "ensemble")]
    Gang,
}

/// Declared from most to least urgent, so that the derived order is the order of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "critical")]
    Production,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "standard")]
    Normal,
    #[serde(rename = "best_effort")]
    Low,
}

/// A job as its user describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "nameId")]
    pub id: JobId,
    #[serde(rename = "runKind")]
    pub class: String,
    #[serde(rename = "owner")]
    pub team: String,
    pub shape: JobKind,
    pub urgency: Priority,
    #[serde(rename = "legs")]
    pub tasks: u64,
    #[serde(rename = "vcpus", deserialize_with = "amount")]
    pub cpus: f64,
    #[serde(rename = "cards", deserialize_with = "amount")]
    pub gpus: f64,
    #[serde(rename = "ramGb", deserialize_with = "amount")]
    pub ram_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    #[serde(rename = "imageGb", deserialize_with = "amount")]
    pub image_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub flavors: Option<Vec<String>>,
    #[serde(rename = "hall", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "samePlace")]
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "lendable")]
    pub spot: bool,
    #[serde(rename = "expectS", deserialize_with = "amount")]
    pub expect_s: f64,
    #[serde(rename = "snapshotEveryS", deserialize_with = "amount")]
    pub checkpoint_s: f64,
    #[serde(rename = "snapshotS", deserialize_with = "amount")]
    pub save_s: f64,
    #[serde(
        rename = "dueS",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "no_or_amount"
    )]
    pub due_s: Option<f64>,
    /// Jobs that have to be done before a task of this one starts.
    #[serde(rename = "waitsOn", default, skip_serializing_if = "Option::is_none")]
    pub depends_on: Option<Vec<JobId>>,
}

/// Only the name, for requests whose other fields may be broken.
#[derive(Debug, Deserialize)]
pub struct JobName {
    #[serde(rename = "nameId")]
    pub id: JobId,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    #[serde(rename = "pending")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobView {
    #[serde(rename = "nameId")]
    pub id: JobId,
    pub status: JobStatus,
    pub done: u64,
    pub running: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "gathering")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "leg")]
    pub task: TaskId,
    #[serde(rename = "try")]
    pub attempt: Attempt,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(rename = "exitCause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "spindle")]
    pub machine: MachineId,
    #[serde(default)]
    pub address: String,
    pub flavor: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "lendable")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    #[serde(rename = "tally")]
    pub seq: u64,
    #[serde(rename = "baton")]
    pub token: FencingToken,
    #[serde(rename = "recallS", default, deserialize_with = "no_or_amount")]
    pub notice_s: Option<f64>,
    #[serde(rename = "legs", default)]
    pub tasks: Vec<TaskStatus>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum WorkerCommand {
    #[serde(rename = "run")]
    Start {
        #[serde(rename = "leg")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    #[serde(rename = "halt")]
    Stop {
        #[serde(rename = "leg")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: Attempt,
        #[serde(rename = "windDownS", deserialize_with = "amount")]
        grace_s: f64,
    },
    #[serde(rename = "forget")]
    Forget {
        #[serde(rename = "leg")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandBatch {
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Only in direct commands.
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub agent_epoch: Option<u64>,
    pub orders: Vec<WorkerCommand>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NotLeader {
    #[serde(rename = "foreman")]
    pub leader: String,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    #[serde(rename = "vcpus", deserialize_with = "amount")]
    pub cpus: f64,
    #[serde(rename = "cards", deserialize_with = "amount")]
    pub gpus: f64,
    #[serde(rename = "ramGb", deserialize_with = "amount")]
    pub ram_gb: f64,
    #[serde(rename = "cacheGb", default, deserialize_with = "amount")]
    pub cache_gb: f64,
    #[serde(rename = "pullGbPerS", default, deserialize_with = "amount")]
    pub fetch_gb_per_s: f64,
    #[serde(deserialize_with = "amount")]
    pub price: f64,
    #[serde(rename = "marketPrice", deserialize_with = "amount")]
    pub spot_price: f64,
    #[serde(rename = "startupS", deserialize_with = "amount")]
    pub boot_s: f64,
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

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypes {
    pub flavors: Vec<MachineType>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentalRequest {
    #[serde(rename = "hire")]
    pub request: String,
    pub flavor: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "lendable")]
    pub spot: bool,
    pub count: u32,
}

/// The body of a refusal by the cloud.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CloudError {
    pub error: String,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineIds {
    #[serde(rename = "spindles")]
    pub machines: Vec<MachineId>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedMachineState {
    Starting,
    Running,
    Failed,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "nameId")]
    pub machine: MachineId,
    #[serde(default)]
    pub address: Option<String>,
    pub flavor: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "lendable")]
    pub spot: bool,
    pub status: ListedMachineState,
    #[serde(rename = "heldS", default, deserialize_with = "amount")]
    pub age_s: f64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachinePage {
    #[serde(rename = "spindles")]
    pub machines: Vec<ListedMachine>,
    #[serde(default)]
    pub truncated: bool,
}

/// Amounts are decimals on the wire; a peer that writes a whole one as an integer is understood.
fn amount<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    struct Amount;
    impl serde::de::Visitor<'_> for Amount {
        type Value = f64;
        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("a number")
        }
        fn visit_f64<E>(self, value: f64) -> Result<f64, E> {
            Ok(value)
        }
        fn visit_u64<E>(self, value: u64) -> Result<f64, E> {
            Ok(value as f64)
        }
        fn visit_i64<E>(self, value: i64) -> Result<f64, E> {
            Ok(value as f64)
        }
    }
    from.deserialize_any(Amount)
}

fn no_or_amount<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct Given(#[serde(deserialize_with = "amount")] f64);
    Ok(Option::<Given>::deserialize(from)?.map(|some| some.0))
}

/// Any value kept at the state service.
pub type StoreValue = ciborium::Value;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Precondition {
    pub key: String,
    #[serde(rename = "keyRev")]
    pub rev: Revision,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        #[serde(rename = "write")]
        key: String,
        data: StoreValue,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        hold: Option<LeaseId>,
    },
    Delete {
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Write {
    pub fn key(&self) -> &str {
        match self {
            Write::Put { key, .. } | Write::Delete { key } => key,
        }
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Transaction {
    pub guards: Vec<Precondition>,
    pub writes: Vec<Write>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitResponse {
    #[serde(rename = "storeRev")]
    pub rev: Revision,
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    pub key: String,
    pub data: StoreValue,
    #[serde(rename = "keyRev")]
    pub rev: Revision,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RangeResponse {
    pub rows: Vec<KeyValue>,
    #[serde(default)]
    pub truncated: bool,
    #[serde(rename = "storeRev")]
    pub rev: Revision,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchEvent {
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(rename = "remove", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<StoreValue>,
    #[serde(rename = "keyRev")]
    pub rev: Revision,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchResponse {
    #[serde(rename = "storeRev")]
    pub rev: Revision,
    pub news: Vec<WatchEvent>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseTtl {
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseCreated {
    #[serde(rename = "hold")]
    pub lease: LeaseId,
}

#[cfg(test)]
mod tests;
