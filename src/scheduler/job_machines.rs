//! On which machines a job may have tasks.
//!
//! An index that may name too many machines and never too few: every entry of a machine comes from a start that was
//! decided here or from a heartbeat that showed it, and both are noted. Without it the end of each job took a look at
//! every machine, which was a sixth of a leader's time at 5,600 machines and 60 jobs a second.

use crate::ids::{JobId, MachineId};
use crate::workers::machine::Machine;
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet};

/// Machines by job.
#[derive(Debug, Default)]
pub(super) struct JobMachines {
    machines: HashMap<JobId, BTreeSet<MachineId>>,
}

/// Count. Machines noted for a job up to which nothing is tidied.
const FEW: usize = 64;

impl JobMachines {
    /// A machine has a task of the job, or may have one from now on.
    pub(super) fn note(
        &mut self,
        job: &JobId,
        machine: &MachineId,
        all: &BTreeMap<MachineId, Machine>,
    ) {
        let noted = self.machines.entry(job.clone()).or_default();
        // A service that goes on for months leaves many machines behind: tidied whenever there are twice as many.
        if noted.len() >= FEW && noted.len().is_power_of_two() {
            noted.retain(|id| all.get(id).is_some_and(|machine| holds(machine, job)));
        }
        noted.insert(machine.clone());
    }

    /// The machines on which the job may have tasks, in order of their names.
    pub(super) fn of(&self, job: &JobId) -> Vec<MachineId> {
        self.machines.get(job).into_iter().flatten().cloned().collect()
    }

    /// The job is over: what a heartbeat shows of it later is dealt with when it is shown.
    pub(super) fn forget(&mut self, job: &JobId) {
        self.machines.remove(job);
    }
}

fn holds(machine: &Machine, job: &JobId) -> bool {
    machine.attempts.range(super::task_attempt::attempts_of(job)).next().is_some()
}
