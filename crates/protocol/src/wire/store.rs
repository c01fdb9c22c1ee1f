//! Messages of the replicated key-value store: transactions, ranges, watches and leases.

use crate::ids::{LeaseId, Revision};
use serde::{Deserialize, Serialize};

/// Value of a key in the store.
pub type StoreValue = ciborium::Value;

/// Precondition of a transaction: the key still has this revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Precondition {
    /// Key to check.
    pub key: String,
    /// Expected revision of the key; 0 means that it does not exist.
    #[serde(rename = "keyRev")]
    pub rev: Revision,
}

/// Change of one key in a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets the value of a key.
    Put {
        /// Key to set.
        #[serde(rename = "write")]
        key: String,
        /// New value of the key.
        data: StoreValue,
        /// Lease to attach the key to; `None` detaches it from any lease.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "hold")]
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Write {
    /// Returns the key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Write::Put { key, .. } | Write::Delete { key } => key,
        }
    }
}

/// Atomic transaction: all writes are applied if all preconditions are met, otherwise none.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must be met for the writes to be applied.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Changes to apply.
    pub writes: Vec<Write>,
}

/// Result of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitResponse {
    /// Revision of the store after the transaction.
    #[serde(rename = "storeRev")]
    pub rev: Revision,
    /// Keys whose preconditions were not met.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Key with its value and revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// Name of the key.
    pub key: String,
    /// Current value.
    pub data: StoreValue,
    /// Revision of the last change of the key.
    #[serde(rename = "keyRev")]
    pub rev: Revision,
}

/// Page of the keys with a common prefix.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RangeResponse {
    /// Keys in ascending order, with their values.
    pub rows: Vec<KeyValue>,
    /// True if more keys follow on later pages.
    #[serde(default)]
    pub truncated: bool,
    /// Revision of the store that the page reflects.
    #[serde(rename = "storeRev")]
    pub rev: Revision,
}

/// Change of one key that a watch reports.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key that was set, if the change is a put.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// Key that was deleted, if the change is a deletion.
    #[serde(rename = "remove", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// New value, if the change is a put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<StoreValue>,
    /// Revision of the change.
    #[serde(rename = "keyRev")]
    pub rev: Revision,
}

/// Changes since the revision that the watch request names.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision of the store up to which the changes are complete.
    #[serde(rename = "storeRev")]
    pub rev: Revision,
    /// Changes in the order in which they were applied.
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// Request to create a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseTtl {
    /// Time to live of the lease, in milliseconds.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// Response with the created lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseCreated {
    /// Id of the lease.
    #[serde(rename = "hold")]
    pub lease: LeaseId,
}
