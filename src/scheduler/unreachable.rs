//! Machines that answer nobody: their deletion is the proof that nothing runs on them any more, and it
//! comes long before their lease is surely over.

use super::*;

impl Scheduler {
    /// A worker whose report is later than its interval allows is asked whether it lives.
    pub(super) fn late_after(&self) -> Duration {
        self.settings.report_every().mul_f64(REPORT_LATE) + REPORT_LATE_MORE
    }

    /// Gives back machines that hang, are dead or cut off alone, where waiting for the end of their
    /// lease would cost more: replicas that are down until then, and after a take-over every older
    /// job, of which something may run there. What is cut off with its zone is waited for, and
    /// nobody is given up by a process that falls behind itself.
    pub(super) fn give_up_lost(&mut self, cut_off: &[bool], cache: &Cache, now: Instant) {
        if self.is_behind(now) {
            return;
        }
        let late = self.late_after();
        let zones = cut_off.len();
        // How many machines of each zone are late.
        let (mut up, mut silent) = (vec![0usize; zones], vec![0usize; zones]);
        for machine in self.machines.values().filter(|m| m.life == MachineState::Up) {
            up[machine.zone] += 1;
            silent[machine.zone] += usize::from(machine.silent_for(now) > late);
        }
        let lease = self.settings.worker_lease() + WORKER_MARGIN;
        let mut lost = Vec::new();
        for machine in self.machines.values() {
            let Some(asked) = machine.asked_in_vain else { continue };
            let zone = machine.zone;
            let silence = machine.silent_for(now);
            // Others of its zone were heard after it had been asked in vain, so that it is not the way
            // there that is cut; and nobody tells that it answers elsewhere.
            let alone = self.zone_heard[zone].is_some_and(|at| at > asked)
                && silent[zone] * 2 <= up[zone]
                && !cut_off[zone];
            let told = self.delegations.last_answered(&machine.id);
            let elsewhere = told.is_some_and(|at| machine.heard.is_none_or(|heard| at > heard));
            let worth = if machine.confirmed { LOST_REPLICAS_WORTH } else { LOST_WORTH };
            let waits = lease.saturating_sub(silence) > worth;
            if machine.life == MachineState::Up
                && silence > late
                && alone
                && !elsewhere
                && waits
                && (!machine.confirmed || self.holds_replicas(machine, cache))
            {
                lost.push(machine.id.clone());
            }
        }
        for id in lost {
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            tracing::info!(machine = %id, confirmed = machine.confirmed, "answers nobody, given back");
            machine.life = MachineState::Returning;
        }
    }

    fn holds_replicas(&self, machine: &Machine, cache: &Cache) -> bool {
        machine.entries.iter().any(|((task, _), entry)| {
            let job = cache.jobs.get(&task.job).and_then(Job::live);
            entry.state != TaskState::Exited
                && job.is_some_and(|job| job.spec.shape == JobKind::Service)
        })
    }
}
