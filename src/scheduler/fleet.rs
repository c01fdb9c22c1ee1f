//! The machines that the leader knows, and what their zones show.

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

/// All machines of this leadership with the catalogue of their types.
pub struct Fleet {
    /// Every machine that is rented or booting, or whose deletion is not confirmed yet. Ordered,
    /// so that equal events have equal effects.
    pub machines: BTreeMap<MachineId, Machine>,
    /// The names of the zones; a zone's index is its place here.
    zone_names: Vec<String>,
    /// By zone: the indices of machines within it.
    zone_indices: Vec<ZoneIndexAllocator>,
    /// The catalogue of machine types; a type's index is its place here.
    pub(super) machine_types: Vec<MachineType>,
    /// Container images, numbered as they were first seen.
    pub(super) image_ids: Interner,
    /// Machines whose deletion is confirmed: a list that lags behind may still show them.
    pub(super) terminated: HashSet<MachineId>,
    /// Whether the cloud has listed its machines to this leader.
    pub(super) listed_once: bool,
    /// Machines that came up and whose records are not committed yet. Those that no longer are
    /// leave when the set is next gone through.
    pub(super) unrecorded: BTreeSet<MachineId>,
    /// By zone: when it was last found unreachable as a whole.
    pub(super) zone_unreachable_at: Vec<Option<Instant>>,
    /// By zone: when any of its workers last sent a heartbeat.
    pub(super) zone_last_heartbeat: Vec<Option<Instant>>,
}

impl Fleet {
    /// A fleet without machines.
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

    /// The index of a zone.
    pub(super) fn zone(&self, name: &str) -> Option<usize> {
        self.zone_names.iter().position(|zone| zone == name)
    }

    /// The name of a zone.
    pub(super) fn zone_name(&self, zone: usize) -> &str {
        &self.zone_names[zone]
    }

    /// How many zones there are.
    pub(super) fn zone_count(&self) -> usize {
        self.zone_names.len()
    }

    /// The pool of machines of a type in a zone, if both are known.
    pub(super) fn pool(&self, machine_type: &str, zone: &str, spot: bool) -> Option<MachinePool> {
        let flavor = self.machine_types.iter().position(|known| known.name == machine_type)?;
        Some(MachinePool { flavor, zone: self.zone(zone)?, spot })
    }

    /// What a machine of this type holds.
    pub(super) fn capacity(&self, machine_type: usize) -> Amount {
        let found = self.machine_types.get(machine_type);
        found
            .map(|found| Amount::capacity(found.cpus, found.gpus, found.ram_gb))
            .unwrap_or_default()
    }

    /// Adds a machine, or finds it if it is known. Indices are dealt round-robin over the zones: a
    /// machine gets the lowest index free in its zone, so the loss of a zone never takes most of a
    /// basket.
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

    /// Removes a machine and frees its index.
    pub(super) fn remove_machine(&mut self, id: &MachineId) -> Option<Machine> {
        let machine = self.machines.remove(id)?;
        let zones = self.zone_count() as u64;
        self.zone_indices[machine.zone].release(machine.index / zones);
        Some(machine)
    }

    /// One look at all machines, for all that a planning pass or a watch asks of them as a whole.
    /// A machine counts as reachable if its last heartbeat is younger than `quiet`.
    pub(super) fn summary(&self, quiet: Duration, now: Instant) -> FleetSummary {
        let zones = self.zone_count();
        let (up, reachable) = (vec![0; zones], vec![0; zones]);
        let mut summary = FleetSummary { up, reachable, ..FleetSummary::default() };
        for machine in self.machines.values() {
            if machine.state == MachineState::Up {
                summary.up[machine.zone] += 1;
                summary.reachable[machine.zone] +=
                    usize::from(machine.time_since_heartbeat(now) < quiet);
            }
            summary.booting |= machine.state == MachineState::Booting;
            summary.status_unanswered |= machine.unanswered_probe.is_some();
            summary.failing |= machine.failed_jobs.len() >= MACHINE_FAULT_JOBS;
            if machine.up_since.is_some() {
                summary.newest = summary.newest.max(Some(machine.rented));
            }
        }
        summary
    }
}

/// What all machines together show at one moment.
#[derive(Debug, Default)]
pub(super) struct FleetSummary {
    /// By zone: how many machines are up.
    pub(super) up: Vec<usize>,
    /// By zone: how many of those sent a heartbeat lately.
    pub(super) reachable: Vec<usize>,
    /// Whether any machine is booting.
    pub(super) booting: bool,
    /// Whether some worker did not answer a status call.
    pub(super) status_unanswered: bool,
    /// Whether some machine failed several jobs.
    pub(super) failing: bool,
    /// When the newest of the machines that came up was rented.
    newest: Option<Instant>,
}

impl FleetSummary {
    /// Whether a machine that was rented later than this one is up.
    pub(super) fn overtaken(&self) -> impl Fn(&Machine) -> bool + use<> {
        let newest = self.newest;
        move |machine| newest.is_some_and(|at| at > machine.rented)
    }
}

/// Indices of machines within a zone: the lowest free one is given to the next.
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
