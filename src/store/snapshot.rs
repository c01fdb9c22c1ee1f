//! State of a read of all keys, page by page, after a start or when the watch has fallen too far behind.

use crate::ids::{ControllerId, MachineId, Revision};
use crate::schema::keys::{
    CONTROLLER_LEASE_PREFIX, DRAIN_PREFIX, LEADER_KEY, MACHINE_PREFIX, VERSION_PREFIX,
};
use crate::wire::RangeResponse;
use foldhash::HashSet;

/// Progress of the read, and the removable keys found in the pages read so far.
#[derive(Debug, Default)]
pub(super) struct Snapshot {
    last_key: Option<String>,
    first_revision: Option<Revision>,
    machines: HashSet<MachineId>,
    versions: HashSet<ControllerId>,
    controller_leases: HashSet<ControllerId>,
    drains: HashSet<String>,
    has_leader: bool,
}

impl Snapshot {
    /// Returns the key after which the next page begins.
    pub(super) fn last_key(&self) -> Option<String> {
        self.last_key.clone()
    }

    /// Returns the revision at which the first page was read. Later changes may be missing in the pages.
    pub(super) fn first_revision(&self) -> Revision {
        self.first_revision.unwrap_or_default()
    }

    pub(super) fn add_page(&mut self, page: &RangeResponse) {
        self.first_revision.get_or_insert(page.rev);
        if let Some(last) = page.rows.last() {
            self.last_key = Some(last.key.clone());
        }
        for row in &page.rows {
            self.add_key(&row.key);
        }
    }

    fn add_key(&mut self, key: &str) {
        if let Some(machine) = key.strip_prefix(MACHINE_PREFIX) {
            self.machines.insert(MachineId::new(machine));
        } else if let Some(controller) = key.strip_prefix(VERSION_PREFIX) {
            self.versions.insert(ControllerId::new(controller));
        } else if let Some(controller) = key.strip_prefix(CONTROLLER_LEASE_PREFIX) {
            self.controller_leases.insert(ControllerId::new(controller));
        } else if key.starts_with(DRAIN_PREFIX) {
            self.drains.insert(key.to_owned());
        } else if key == LEADER_KEY {
            self.has_leader = true;
        }
    }

    pub(super) fn has_machine(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    pub(super) fn has_version(&self, controller: &ControllerId) -> bool {
        self.versions.contains(controller)
    }

    pub(super) fn has_controller_lease(&self, controller: &ControllerId) -> bool {
        self.controller_leases.contains(controller)
    }

    pub(super) fn has_drain(&self, key: &str) -> bool {
        self.drains.contains(key)
    }

    pub(super) fn has_leader(&self) -> bool {
        self.has_leader
    }
}
