//! Names of all keys of this cluster in the key-value store.

use crate::ids::{ControllerId, JobId};
use crate::wire;
use std::hash::{DefaultHasher, Hash, Hasher};
use troutspindle_protocol::operator_api::DrainKind;

/// Prefix of all keys of this cluster, so that one watch covers them.
pub const PREFIX: &str = "t/";
/// Key of the leader's record, attached to the leader lease.
pub const LEADER_KEY: &str = "t/a/leader";
/// Key of the newest fencing token that was given to a leader.
pub const TOKEN_KEY: &str = "t/a/token";
/// Key of the machine types as one list (first layout).
pub const MACHINE_TYPES_KEY: &str = "t/a/flavors";
/// Prefix of keys with one machine type each (second layout), used if the list of all machine types
/// is too long for one value.
pub const MACHINE_TYPE_PREFIX: &str = "t/a/f/";
/// Prefix of the controllers' lease keys, each attached to its controller's lease: `t/a/p/<controller>`.
pub const CONTROLLER_LEASE_PREFIX: &str = "t/a/p/";
/// Prefix of the controllers' version records: `t/a/v/<controller>`. They contain the chunk size of the
/// first layout. They precede all keys that depend on that size, since pages are read in the order of keys.
pub const VERSION_PREFIX: &str = "t/a/v/";
/// Prefix of completed tasks in the second layout: `t/d/<job>/<chunk>`.
pub const COMPLETED_CHUNK_PREFIX: &str = "t/d/";
/// Prefix of learned run times: `t/e/<bucket>`.
pub const ESTIMATES_PREFIX: &str = "t/e/";
/// Prefix of job records: `t/j/<job>`.
pub const JOB_PREFIX: &str = "t/j/";
/// Prefix of completed tasks in the first layout, from the second chunk on: `t/k/<job>/<chunk>`.
pub const LEGACY_COMPLETED_CHUNK_PREFIX: &str = "t/k/";
/// Prefix of machines on which tasks may have been started: `t/m/<machine>`.
pub const MACHINE_PREFIX: &str = "t/m/";
/// Prefix of drains that operators requested: `t/q/<hash of kind and name>`.
pub const DRAIN_PREFIX: &str = "t/q/";
/// Prefix of descriptions too long for their job's record: `t/s/<job>/<hash>/<chunk>`.
pub const SPEC_CHUNK_PREFIX: &str = "t/s/";
/// Prefix of messages between controllers that cannot reach each other: `t/x/<from>/<to>`.
pub const RELAY_PREFIX: &str = "t/x/";

/// Returns the key of a controller's [`VersionRecord`](super::records::VersionRecord).
pub fn version_key(controller: &ControllerId) -> String {
    format!("{VERSION_PREFIX}{controller}")
}

/// Returns the key of a job's record.
pub fn job_key(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Returns the key of a chunk of completed tasks in the first layout.
pub fn legacy_completed_chunk_key(job: &JobId, chunk: u32) -> String {
    format!("{LEGACY_COMPLETED_CHUNK_PREFIX}{job}/{chunk}")
}

/// Returns the key of a chunk of completed tasks in the second layout.
pub fn completed_chunk_key(job: &JobId, chunk: u32) -> String {
    format!("{COMPLETED_CHUNK_PREFIX}{job}/{chunk}")
}

/// Returns the key of a chunk of a job's description.
pub fn spec_chunk_key(job: &JobId, hash: &str, chunk: u32) -> String {
    format!("{SPEC_CHUNK_PREFIX}{job}/{hash}/{chunk}")
}

/// Returns the key of a drain. It contains a hash, since a name may contain characters that a key may not.
pub fn drain_key(kind: DrainKind, name: &str) -> String {
    format!("{DRAIN_PREFIX}{}", key_hash(&(kind, name)))
}

/// Returns a short hexadecimal hash for use in a key, which must not contain spaces. It is the same in every process.
pub fn key_hash<T: Hash>(value: &T) -> String {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    wire::hex(&hasher.finish().to_be_bytes())
}
