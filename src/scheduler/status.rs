//! What the leader tells of its state: to users, to operators and to the log.

use crate::constants::MICRO;
use crate::ids::{Amount, JobId};
use crate::jobs::Job;
use crate::scheduler::Scheduler;
use crate::scheduler::task_attempt::attempts_of;
use crate::store::Cache;
use crate::wire::TaskState;
use crate::workers::machine::{Machine, MachineState, PlacedAttempt};
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;
impl Scheduler {
    /// In which zones a job may have tasks. It is asked for with the promise to stop them, so none are started
    /// elsewhere, and a user who cancels it need not wait for a zone that has none.
    pub fn zones_of(&self, id: &JobId, cache: &Cache) -> Vec<String> {
        let old = self.jobs.progress.get(id).is_none_or(|work| work.predates_leadership);
        let attempts = attempts_of(id);
        let names = &self.settings.platform.params.zones;
        let spec = cache.jobs.get(id).and_then(Job::live).map(|job| &job.spec);
        let may = |machine: &Machine| {
            spec.is_none_or(|spec| {
                let zone = spec.zone.as_ref().is_none_or(|zone| *zone == names[machine.zone]);
                zone && (spec.spot || !machine.spot)
            })
        };
        let mut zones: BTreeSet<usize> = BTreeSet::new();
        for machine in self.fleet.machines.values() {
            let mut entries = machine.attempts.range(attempts.clone());
            // What a predecessor started there no heartbeat may have shown yet.
            let unsure = old && !machine.confirmed && may(machine);
            if unsure || entries.any(|(_, e)| e.state != TaskState::Exited) {
                zones.insert(machine.zone);
            }
        }
        zones.into_iter().map(|zone| names[zone].clone()).collect()
    }

    /// How many tasks of each job run.
    pub fn running(&self) -> BTreeMap<JobId, u32> {
        let mut counts = BTreeMap::new();
        for machine in self.fleet.machines.values() {
            let runs = |entry: &PlacedAttempt| {
                matches!(entry.state, TaskState::Running | TaskState::Saving)
            };
            let running = machine.attempts.iter().filter(|(_, entry)| runs(entry));
            // Tasks of a job stand side by side: one look at the counts serves them all.
            let mut last: Option<(&JobId, u32)> = None;
            for job in running.map(|((task, _), _)| &task.job) {
                last = match last {
                    Some((same, n)) if same == job => Some((same, n + 1)),
                    other => {
                        add(&mut counts, other);
                        Some((job, 1))
                    }
                };
            }
            add(&mut counts, last);
        }
        counts
    }

    /// One line of counts for the log.
    pub fn log_counts(&self, cache: &Cache, now: Instant) {
        let mut by_class: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        let running = self.running();
        for id in self.jobs.progress.keys() {
            let Some(live) = cache.jobs.get(id).and_then(Job::live) else { continue };
            let runs = u64::from(running.get(id).copied().unwrap_or(0));
            let entry = by_class.entry(&live.spec.class).or_default();
            entry.0 += runs;
            entry.1 += live.spec.tasks.saturating_sub(live.completed_count()).saturating_sub(runs);
        }
        let zones = &self.settings.platform.params.zones;
        let mut by_kind: BTreeMap<String, u32> = BTreeMap::new();
        let mut free = Amount::default();
        for machine in self.fleet.machines.values() {
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
            "counts"
        );
        if let Some(demand) = self.demand_line(now) {
            tracing::info!(%demand, "demand by class and team");
        }
    }
}

fn add(counts: &mut BTreeMap<JobId, u32>, found: Option<(&JobId, u32)>) {
    if let Some((job, n)) = found {
        *counts.entry(job.clone()).or_insert(0) += n;
    }
}
