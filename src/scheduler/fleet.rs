//! The machines that the leader knows, their types and the state of their zones.

use super::interner::Interner;
use crate::cloud::MachinePool;
use crate::constants::MACHINE_FAULT_JOBS;
use crate::ids::{Amount, MachineId};
use crate::wire::MachineType;
use crate::workers::machine::{Machine, MachineState};
use foldhash::{HashSet, HashSetExt};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// All machines of this term and the catalogue of their types.
pub struct Fleet {
    /// Machines that are rented or booting, or whose deletion is not confirmed yet. Ordered, so that the same events
    /// always have the same effects.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Zone names; a zone's index is its position in this list.
    zone_names: Vec<String>,
    /// Allocators of machine indices, by zone.
    zone_indices: Vec<ZoneIndexAllocator>,
    /// Catalogue of machine types; a type's index is its position in this list.
    pub(super) machine_types: Vec<MachineType>,
    /// Numbers of container images, in the order in which they were first seen.
    pub(super) image_ids: Interner,
    /// Machines whose deletion is confirmed. A stale listing of the cloud may still contain them.
    pub(super) terminated: HashSet<MachineId>,
    /// True if the cloud has listed its machines to this leader.
    pub(super) listed_once: bool,
    /// Machines that are up and have no committed record yet. Machines that no longer qualify are removed when the due
    /// writes are next enqueued.
    pub(super) unrecorded: BTreeSet<MachineId>,
    /// Time at which each zone was last found unreachable as a whole.
    pub(super) zone_unreachable_at: Vec<Option<Instant>>,
    /// Time of the last heartbeat of any worker of each zone.
    pub(super) zone_last_heartbeat: Vec<Option<Instant>>,
}

impl Fleet {
    pub(super) fn new(zone_names: Vec<String>, machine_types: Vec<MachineType>) -> Fleet {
        let zones = zone_names.len();
        Fleet {
            machines: BTreeMap::new(),
            zone_names,
            zone_indices: std::iter::repeat_with(ZoneIndexAllocator::default).take(zones).collect(),
            machine_types,
            image_ids: Interner::default(),
            terminated: HashSet::new(),
            listed_once: false,
            unrecorded: BTreeSet::new(),
            zone_unreachable_at: vec![None; zones],
            zone_last_heartbeat: vec![None; zones],
        }
    }

    pub(super) fn zone(&self, name: &str) -> Option<usize> {
        self.zone_names.iter().position(|zone| zone == name)
    }

    pub(super) fn zone_name(&self, zone: usize) -> &str {
        &self.zone_names[zone]
    }

    pub(super) fn zone_count(&self) -> usize {
        self.zone_names.len()
    }

    /// Returns the pool of machines of a type in a zone, if both are known.
    pub(super) fn pool(&self, machine_type: &str, zone: &str, spot: bool) -> Option<MachinePool> {
        let machine_type =
            self.machine_types.iter().position(|known| known.name == machine_type)?;
        Some(MachinePool { machine_type, zone: self.zone(zone)?, spot })
    }

    /// Returns the capacity of a machine of this type; zero for an unknown type.
    pub(super) fn capacity(&self, machine_type: usize) -> Amount {
        let found = self.machine_types.get(machine_type);
        found
            .map(|found| Amount::capacity(found.cpus, found.gpus, found.ram_gb))
            .unwrap_or_default()
    }

    /// Adds a machine, or returns it if it is known. Indices are assigned round-robin over the zones, and a machine
    /// gets the lowest free index of its zone. Placement fills a basket in the order of the indices, so the loss of a
    /// zone never affects most of a basket.
    pub(super) fn add_machine(
        &mut self,
        id: &MachineId,
        pool: MachinePool,
        now: Instant,
    ) -> &mut Machine {
        let zones = self.zone_count() as u64;
        let known = self.machines.get(id).map(|machine| machine.index);
        let indices = &mut self.zone_indices[pool.zone];
        let index = known.unwrap_or_else(|| indices.allocate() * zones + pool.zone as u64);
        let known = self.machines.entry(id.clone());
        known.or_insert_with(|| Machine::new(id.clone(), pool, index, now))
    }

    /// Removes a machine and releases its index.
    pub(super) fn remove_machine(&mut self, id: &MachineId) -> Option<Machine> {
        let machine = self.machines.remove(id)?;
        let zones = self.zone_count() as u64;
        self.zone_indices[machine.zone].release(machine.index / zones);
        Some(machine)
    }

    /// Summarizes all machines in one pass, for planning and for the periodic checks. A machine counts as reachable if
    /// its last heartbeat is younger than `silent_after`.
    pub(super) fn summary(&self, silent_after: Duration, now: Instant) -> FleetSummary {
        let zones = self.zone_count();
        let (up, reachable) = (vec![0; zones], vec![0; zones]);
        let mut summary = FleetSummary { up, reachable, ..FleetSummary::default() };
        for machine in self.machines.values() {
            if machine.state == MachineState::Up {
                summary.up[machine.zone] += 1;
                summary.reachable[machine.zone] +=
                    usize::from(machine.time_since_heartbeat(now) < silent_after);
            }
            summary.booting |= machine.state == MachineState::Booting;
            summary.status_unanswered |= machine.unanswered_probe.is_some();
            summary.has_failing_machine |= machine.failed_jobs.len() >= MACHINE_FAULT_JOBS;
            if machine.up_since.is_some() {
                summary.newest = summary.newest.max(Some(machine.rented_at));
            }
        }
        summary
    }
}

/// Summary of all machines at one time.
#[derive(Debug, Default)]
pub(super) struct FleetSummary {
    /// Number of machines that are up, by zone.
    pub(super) up: Vec<usize>,
    /// Number of those that sent a heartbeat recently, by zone.
    pub(super) reachable: Vec<usize>,
    /// True if any machine is booting.
    pub(super) booting: bool,
    /// True if a worker has not answered a direct call that was made while its zone was reachable.
    pub(super) status_unanswered: bool,
    /// True if at least `MACHINE_FAULT_JOBS` jobs have failed on the same machine.
    pub(super) has_failing_machine: bool,
    /// Latest rental time of the machines that have come up.
    newest: Option<Instant>,
}

impl FleetSummary {
    /// Returns a predicate that is true for a machine if one that was rented later has already come up.
    pub(super) fn newer_machine_is_up(&self) -> impl Fn(&Machine) -> bool + use<> {
        let newest = self.newest;
        move |machine| newest.is_some_and(|at| at > machine.rented_at)
    }
}

/// Allocates the indices of machines within a zone, the lowest free one first.
#[derive(Debug, Default)]
struct ZoneIndexAllocator {
    free: BTreeSet<u64>,
    next: u64,
}

impl ZoneIndexAllocator {
    fn allocate(&mut self) -> u64 {
        self.free.pop_first().unwrap_or_else(|| {
            self.next += 1;
            self.next - 1
        })
    }

    fn release(&mut self, index: u64) {
        self.free.insert(index);
    }
}
