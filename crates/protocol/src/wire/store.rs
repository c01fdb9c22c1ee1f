//! The consensus-backed key-value store: transactions, ranges, watches and leases.

use crate::ids::{LeaseId, Revision};
use serde::{Deserialize, Serialize};

/// Any value kept in the store.
pub type StoreValue = ciborium::Value;

/// A condition of a transaction: the key still has this revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// Its revision; 0: it does not exist.
    #[serde(rename = "keyRev")]
    pub rev: Revision,
}

/// A change in a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        data: StoreValue,
        /// The lease that the key is attached to; `None` detaches it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "hold")]
        lease: Option<LeaseId>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Write {
    /// The key that it changes.
    pub fn key(&self) -> &str {
        match self {
            Write::Put { key, .. } | Write::Delete { key } => key,
        }
    }
}

/// A compare-and-swap: all writes are applied if all preconditions hold, else none.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Transaction {
    /// The preconditions.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// The changes.
    pub writes: Vec<Write>,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitResponse {
    /// The store's revision after it.
    #[serde(rename = "storeRev")]
    pub rev: Revision,
    /// Keys whose preconditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A key with its value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub data: StoreValue,
    /// Revision of its last change.
    #[serde(rename = "keyRev")]
    pub rev: Revision,
}

/// A page of keys with a prefix.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RangeResponse {
    /// In order of their keys.
    pub rows: Vec<KeyValue>,
    /// There are more.
    #[serde(default)]
    pub truncated: bool,
    /// The store's revision that the page shows.
    #[serde(rename = "storeRev")]
    pub rev: Revision,
}

/// A change that a watch tells of.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key that was set.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The key that was removed.
    #[serde(rename = "remove", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The new value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<StoreValue>,
    /// Revision of the change.
    #[serde(rename = "keyRev")]
    pub rev: Revision,
}

/// What changed since the revision that was asked about.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The store's revision that it brings up to.
    #[serde(rename = "storeRev")]
    pub rev: Revision,
    /// The changes, in order.
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// Asks for a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseTtl {
    /// Its time to live, in milliseconds.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// A new lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseCreated {
    /// Its id.
    #[serde(rename = "hold")]
    pub lease: LeaseId,
}
