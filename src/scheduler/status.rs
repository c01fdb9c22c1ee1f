//! The leader's state as shown to users, to operators and in the log.

use crate::constants::MICRO;
use crate::ids::{Amount, JobId};
use crate::jobs::Job;
use crate::scheduler::Scheduler;
use crate::scheduler::statistics::HeldBackTasks;
use crate::scheduler::task_attempt::attempts_of;
use crate::store::Cache;
use crate::wire::TaskState;
use crate::workers::machine::{Machine, MachineState, PlacedAttempt};
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

impl Scheduler {
    /// Returns the zones in which a job may have tasks. Callers have already committed to cancelling the job, so none
    /// of its tasks is started in another zone, and the user who cancels it need not wait for zones without tasks.
    pub fn zones_of(&self, id: &JobId, cache: &Cache) -> Vec<String> {
        let predates_term =
            self.jobs.progress.get(id).is_none_or(|progress| progress.predates_term);
        let attempts = attempts_of(id);
        let names = &self.settings.platform.params.zones;
        let spec = cache.jobs.get(id).and_then(Job::live).map(|job| &job.spec);
        let allowed_on = |machine: &Machine| {
            spec.is_none_or(|spec| {
                let in_zone = spec.zone.as_ref().is_none_or(|zone| *zone == names[machine.zone]);
                in_zone && (spec.spot || !machine.spot)
            })
        };
        let mut zones: BTreeSet<usize> = BTreeSet::new();
        for machine in self.fleet.machines.values() {
            let mut entries = machine.attempts.range(attempts.clone());
            // An unconfirmed machine may run tasks of a previous leader that no heartbeat has shown yet.
            let may_run_unreported = predates_term && !machine.confirmed && allowed_on(machine);
            if may_run_unreported || entries.any(|(_, e)| e.state != TaskState::Exited) {
                zones.insert(machine.zone);
            }
        }
        zones.into_iter().map(|zone| names[zone].clone()).collect()
    }

    /// Returns the number of running tasks of each job; tasks that are saving their progress count as running.
    pub fn running(&self) -> BTreeMap<JobId, u32> {
        let mut counts = BTreeMap::new();
        for machine in self.fleet.machines.values() {
            let is_running = |entry: &PlacedAttempt| {
                matches!(entry.state, TaskState::Running | TaskState::Saving)
            };
            let running = machine.attempts.iter().filter(|(_, entry)| is_running(entry));
            // Attempts are ordered by job, so the map is updated once per job and machine.
            let mut current: Option<(&JobId, u32)> = None;
            for job in running.map(|((task, _), _)| &task.job) {
                current = match current {
                    Some((same, n)) if same == job => Some((same, n + 1)),
                    previous => {
                        add(&mut counts, previous);
                        Some((job, 1))
                    }
                };
            }
            add(&mut counts, current);
        }
        counts
    }

    /// Logs the counts of tasks, machines, starts and stops, and the demand by class and team.
    pub fn log_counts(&self, cache: &Cache, now: Instant) {
        let mut by_class: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        let running = self.running();
        for id in self.jobs.progress.keys() {
            let Some(live) = cache.jobs.get(id).and_then(Job::live) else { continue };
            let running_tasks = u64::from(running.get(id).copied().unwrap_or(0));
            let entry = by_class.entry(&live.spec.class).or_default();
            let unfinished = live.spec.tasks.saturating_sub(live.completed_count());
            entry.0 += running_tasks;
            entry.1 += unfinished.saturating_sub(running_tasks);
        }
        let zones = &self.settings.platform.params.zones;
        let mut by_kind: BTreeMap<String, u32> = BTreeMap::new();
        let mut free = Amount::default();
        let (mut token_raises, mut unforgotten) = (0, 0);
        for machine in self.fleet.machines.values() {
            token_raises += machine.fence.raises(self.term.token);
            unforgotten += machine.attempts.values().filter(|a| a.exit_handled).count();
            let silent = machine.time_since_heartbeat(now) > self.settings.heartbeat_interval() * 3;
            let name = format!(
                "{}-{}-{}",
                zones[machine.zone],
                if machine.spot { "spot" } else { "ordinary" },
                match machine.state {
                    MachineState::Booting => "booting",
                    MachineState::Up if silent => "silent",
                    MachineState::Up if machine.is_empty() => "idle",
                    MachineState::Up => "up",
                    MachineState::Terminating => "returning",
                }
            );
            *by_kind.entry(name).or_default() += 1;
            if machine.state == MachineState::Up {
                free = free.plus(&self.fleet.capacity(machine.machine_type).minus(&machine.used()));
            }
        }
        tracing::info!(
            running_waiting = ?by_class,
            waits_for = ?self.statistics.waiting_by_cause,
            warned_late_intime_missed = ?self.warnings(),
            machines = ?by_kind,
            free_cpus = free.cpu as f64 / MICRO,
            starts = self.statistics.starts,
            stops = self.statistics.stops,
            token_raises,
            unforgotten,
            "counts"
        );
        for held in &self.statistics.held_back {
            let HeldBackTasks { job, tasks, machine, cause } = held;
            tracing::info!(%job, tasks, %machine, cause, "tasks wait beside a machine with room");
        }
        if let Some(demand) = self.demand_line(now) {
            tracing::info!(%demand, "demand by class and team");
        }
    }
}

fn add(counts: &mut BTreeMap<JobId, u32>, running: Option<(&JobId, u32)>) {
    if let Some((job, count)) = running {
        *counts.entry(job.clone()).or_insert(0) += count;
    }
}
