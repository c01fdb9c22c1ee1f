//! The names of all keys of this cluster in the key-value store.

use crate::ids::{ControllerId, JobId};
use crate::wire;
use std::hash::{DefaultHasher, Hash, Hasher};
use troutspindle_protocol::operator_api::DrainKind;

/// All keys of this cluster have this prefix, and one watch covers them.
pub const PREFIX: &str = "t/";
/// The leader's record, attached to its lease.
pub const LEADER_KEY: &str = "t/a/leader";
/// The newest fencing token that a leader holds or held.
pub const TOKEN_KEY: &str = "t/a/token";
/// The machine types as one list (first layout).
pub const MACHINE_TYPES_KEY: &str = "t/a/flavors";
/// One machine type to a key (second layout), where all of them are too many for one value.
pub const MACHINE_TYPE_PREFIX: &str = "t/a/f/";
/// Leases of the controllers, each key attached to one: `t/a/p/<controller>`.
pub const CONTROLLER_LEASE_PREFIX: &str = "t/a/p/";
/// The format that a controller reads: `t/a/v/<controller>`. These keys precede all others that
/// depend on the size of a chunk of the first layout, which they state.
pub const VERSION_PREFIX: &str = "t/a/v/";
/// Completed tasks of the second layout: `t/d/<job>/<chunk>`.
pub const COMPLETED_CHUNK_PREFIX: &str = "t/d/";
/// Learned run times: `t/e/<bucket>`.
pub const ESTIMATES_PREFIX: &str = "t/e/";
/// Job records: `t/j/<job>`.
pub const JOB_PREFIX: &str = "t/j/";
/// Completed tasks of the first layout, from the second chunk on: `t/k/<job>/<chunk>`.
pub const LEGACY_COMPLETED_CHUNK_PREFIX: &str = "t/k/";
/// Machines on which tasks may have been started: `t/m/<machine>`.
pub const MACHINE_PREFIX: &str = "t/m/";
/// Drains ordered by operators: `t/q/<hash of kind and name>`.
pub const DRAIN_PREFIX: &str = "t/q/";
/// Descriptions too long for their job's record: `t/s/<job>/<hash>/<chunk>`.
pub const SPEC_CHUNK_PREFIX: &str = "t/s/";
/// Messages between controllers that cannot reach each other: `t/x/<from>/<to>`.
pub const RELAY_PREFIX: &str = "t/x/";

/// The key of a controller's [`VersionRecord`](super::records::VersionRecord).
pub fn version_key(controller: &ControllerId) -> String {
    format!("{VERSION_PREFIX}{controller}")
}

/// The key of a job's record.
pub fn job_key(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// The key of a chunk of completed tasks in the first layout.
pub fn legacy_completed_chunk_key(job: &JobId, chunk: u32) -> String {
    format!("{LEGACY_COMPLETED_CHUNK_PREFIX}{job}/{chunk}")
}

/// The key of a chunk of completed tasks in the second layout.
pub fn completed_chunk_key(job: &JobId, chunk: u32) -> String {
    format!("{COMPLETED_CHUNK_PREFIX}{job}/{chunk}")
}

/// The key of a chunk of a job's description.
pub fn spec_chunk_key(job: &JobId, hash: &str, chunk: u32) -> String {
    format!("{SPEC_CHUNK_PREFIX}{job}/{hash}/{chunk}")
}

/// The key of a drain. Names may be of any text, keys may not.
pub fn drain_key(kind: DrainKind, name: &str) -> String {
    format!("{DRAIN_PREFIX}{}", key_hash(&(kind, name)))
}

/// A short name, the same in every process, for a part of a key that may hold no spaces.
pub fn key_hash<T: Hash>(value: &T) -> String {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    wire::hex(&hasher.finish().to_be_bytes())
}
