//! Drains as they are kept at the state service: what operators ordered, until they take it back. Versions
//! before this one pass the keys over and go on placing tasks there while they lead.

use crate::store::records;
use crate::wire::StoreValue;
use serde::{Deserialize, Serialize};
use troutspindle_protocol::operator_api::DrainKind;

pub const DRAIN_PREFIX: &str = "t/q/";

/// What stands in the key of an order that was taken back.
pub const TAKEN_BACK: StoreValue = StoreValue::Bool(false);

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRecord {
    pub kind: DrainKind,
    pub name: String,
    /// Milliseconds of the time of day: by when it is to be done, and when it was ordered.
    #[serde(default)]
    pub by_ms: Option<u64>,
    pub at_ms: u64,
    #[serde(default)]
    pub author: String,
    #[serde(default)]
    pub reason: String,
}

/// Names may be of any text, keys may not.
pub fn key(kind: DrainKind, name: &str) -> String {
    format!("{DRAIN_PREFIX}{}", records::key_hash(&(kind, name)))
}

/// What is drained, looked up for many machines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Drained {
    records: Vec<DrainRecord>,
}

impl Drained {
    /// From all records that stand.
    pub fn of_records<'a>(records: impl Iterator<Item = &'a DrainRecord>) -> Drained {
        Drained { records: records.cloned().collect() }
    }
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
    pub fn zone(&self, name: &str) -> bool {
        self.records.iter().any(|drain| drain.kind == DrainKind::Zone && drain.name == name)
    }
    /// The drain that holds a machine, the one that is to be done first.
    pub fn of(&self, machine: &str, zone: &str) -> Option<&DrainRecord> {
        let holds = |drain: &&DrainRecord| match drain.kind {
            DrainKind::Zone => drain.name == zone,
            DrainKind::Machine => drain.name == machine,
            DrainKind::Controller => false,
        };
        self.records.iter().filter(holds).min_by_key(|drain| drain.by_ms.unwrap_or(u64::MAX))
    }
}
