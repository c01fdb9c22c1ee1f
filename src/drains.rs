//! Stored drains: operators' requests to drain machines, zones and controllers, until they are withdrawn. Older
//! versions ignore these keys and continue to place tasks on drained machines while they lead.

use crate::wire::StoreValue;
use serde::{Deserialize, Serialize};
use troutspindle_protocol::operator_api::DrainKind;

/// Value stored under the key of a drain that was withdrawn.
pub const WITHDRAWN: StoreValue = StoreValue::Bool(false);

/// Drain requested by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// Kind of the drained object: a machine, a zone or a controller.
    pub kind: DrainKind,
    /// Name of the machine, zone or controller.
    pub name: String,
    /// Deadline of the drain, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub by_ms: Option<u64>,
    /// Time of the request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Operator who requested the drain.
    #[serde(default)]
    pub author: String,
    /// Reason given by the operator.
    #[serde(default)]
    pub reason: String,
}

/// Set of the active drains, with queries by zone and machine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DrainSet {
    records: Vec<DrainRecord>,
}

impl DrainSet {
    /// Returns whether no drain is active.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether a drain of the zone is active.
    pub fn covers_zone(&self, name: &str) -> bool {
        self.records.iter().any(|drain| drain.kind == DrainKind::Zone && drain.name == name)
    }

    /// Returns the drain with the earliest deadline that covers a machine, by its name or its zone.
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
