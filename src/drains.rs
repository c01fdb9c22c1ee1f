//! Drains as they are stored: what operators ordered, until they take it back. Older versions pass
//! the keys over and go on placing tasks there while they lead.

use crate::wire::StoreValue;
use serde::{Deserialize, Serialize};
use troutspindle_protocol::operator_api::DrainKind;

/// The value of the key of a drain that was taken back.
pub const TAKEN_BACK: StoreValue = StoreValue::Bool(false);

/// A drain that an operator ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// What is drained: a machine, a zone or a controller.
    pub kind: DrainKind,
    /// Its name.
    pub name: String,
    /// By when it is to be done, in milliseconds of the time of day.
    #[serde(default)]
    pub by_ms: Option<u64>,
    /// When it was ordered, in milliseconds of the time of day.
    pub at_ms: u64,
    /// Who ordered it.
    #[serde(default)]
    pub author: String,
    /// Why.
    #[serde(default)]
    pub reason: String,
}

/// The drains that are in force, looked up for many machines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DrainSet {
    records: Vec<DrainRecord>,
}

impl DrainSet {
    /// Whether nothing is drained.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a zone is drained.
    pub fn covers_zone(&self, name: &str) -> bool {
        self.records.iter().any(|drain| drain.kind == DrainKind::Zone && drain.name == name)
    }

    /// The drain that covers a machine, the one that is to be done first.
    pub fn drain_of_machine(&self, machine: &str, zone: &str) -> Option<&DrainRecord> {
        let covers = |drain: &&DrainRecord| match drain.kind {
            DrainKind::Zone => drain.name == zone,
            DrainKind::Machine => drain.name == machine,
            DrainKind::Controller => false,
        };
        self.records.iter().filter(covers).min_by_key(|drain| drain.by_ms.unwrap_or(u64::MAX))
    }
}

impl<'a> FromIterator<&'a DrainRecord> for DrainSet {
    fn from_iter<I: IntoIterator<Item = &'a DrainRecord>>(records: I) -> DrainSet {
        DrainSet { records: records.into_iter().cloned().collect() }
    }
}
