//! What the store tells of jobs, and what is due to be written there: records of machines, completions.
//!
//! Owns what follows from a job's record (it is over, a task is done) and every write of the leader but those of
//! learning and tidying. It places nothing and talks to no worker.

use crate::ids::{JobId, MachineId, Revision, TaskId};
use crate::jobs;
use crate::jobs::{JobBody, LiveJob};
use crate::scheduler::Scheduler;
use crate::scheduler::job_progress::JobProgress;
use crate::scheduler::task_attempt::attempts_of;
use crate::store::{
    Cache, MACHINE_PREFIX, MachineRecord, PendingWrite, StoreClient, WriteOrigin, WriteOutcome,
    WritePriority,
};
use crate::wire::{Precondition, StoreValue, TaskState, Transaction, Write};
use crate::workers::machine::{JOB_FINISHED, MachineState, StopRequest};
use std::cmp::Reverse;
use std::time::Duration;
use tokio::time::Instant;

/// How long marks of tasks of jobs that go on wait for others: one write carries all of a job's that
/// have come, and each write is read by every controller.
const PROGRESS_WRITE_INTERVAL: Duration = Duration::from_millis(1000);
/// When progress of jobs that go on is written.
#[derive(Debug)]
pub(super) struct PersistenceSchedule {
    /// The earliest time of the next write that ends no job.
    pub(super) next_progress_write: Instant,
}

impl PersistenceSchedule {
    /// A write is due now.
    pub(super) fn new(now: Instant) -> PersistenceSchedule {
        PersistenceSchedule { next_progress_write: now }
    }
}

impl Scheduler {
    /// Records of these jobs may have changed.
    pub fn on_jobs(&mut self, ids: &[JobId], cache: &Cache, now: Instant) {
        self.dependencies.stale |= !self.dependencies.inherited.is_empty();
        for id in ids {
            let Some(job) = cache.jobs.get(id) else { continue };
            match &job.body {
                JobBody::Live(_) if self.jobs.cancelling.contains(id) => {}
                JobBody::Live(live) => {
                    self.dependencies.stale |= !live.depends_on().is_empty();
                    let work = self.jobs.progress.entry(id.clone()).or_default();
                    if live.is_ready() {
                        work.first_seen.get_or_insert(now);
                    }
                    let done: Vec<u32> = work
                        .placed
                        .keys()
                        .filter(|task| live.is_completed(**task))
                        .copied()
                        .collect();
                    for task in done {
                        work.completing.remove(&task);
                        work.retries.remove(&task);
                        let Some(placed) = work.placed.remove(&task) else { continue };
                        let machine = self.fleet.machines.get_mut(&placed.machine);
                        let Some(machine) = machine else { continue };
                        let key = (TaskId { job: id.clone(), index: task }, placed.attempt);
                        match machine.attempts.get_mut(&key) {
                            Some(entry) if entry.state == TaskState::Exited => {
                                entry.exit_handled = true
                            }
                            // A second run of a task that is done by now.
                            _ => {
                                machine.request_stop(
                                    &key,
                                    StopRequest { grace_s: 0.0, reason: "done elsewhere" },
                                );
                                self.direct_calls.dirty_machines.insert(machine.id.clone());
                            }
                        }
                    }
                }
                JobBody::Finished { cancelled, .. } => {
                    self.record_job_end(id, *cancelled, now);
                    self.jobs.cancelling.remove(id);
                    if let Some(work) = self.jobs.progress.remove(id) {
                        tracing::debug!(job = %id, cancelled, "job is over");
                        self.count_orphaned_tasks(&work, job);
                    }
                    self.stop_tasks_of_job(id);
                    self.jobs.machines.forget(id);
                }
            }
        }
        self.planning_clock.pass_requested = true;
    }

    /// Jobs that this process promised to stop. While the store is out of reach this is the only way to
    /// learn of them; one that is not known yet was accepted a moment ago.
    pub fn on_cancellation_acknowledged(&mut self, ids: &[JobId], cache: &Cache) {
        for id in ids {
            let open = cache.jobs.get(id).is_none_or(|job| job.live().is_some());
            if open && !self.jobs.cancelling.contains(id) {
                tracing::debug!(job = %id, "cancellation acknowledged, stopping tasks");
                // Remembered, not only forgotten as work: the end of one of its tasks would
                // otherwise make it new work, none of whose tasks seem to run anywhere.
                self.jobs.cancelling.insert(id.clone());
                if let Some((work, job)) = self.jobs.progress.remove(id).zip(cache.jobs.get(id)) {
                    self.count_orphaned_tasks(&work, job);
                }
                self.stop_tasks_of_job(id);
            }
        }
    }

    /// Stops whatever a job that is over has anywhere.
    pub(super) fn stop_tasks_of_job(&mut self, id: &JobId) {
        let attempts = attempts_of(id);
        self.direct_calls.all_dirty = true;
        for holder in self.jobs.machines.of(id) {
            let Some(machine) = self.fleet.machines.get_mut(&holder) else { continue };
            let mut keys = Vec::new();
            for (key, entry) in machine.attempts.range_mut(attempts.clone()) {
                if entry.state == TaskState::Exited {
                    entry.exit_handled = true;
                } else if entry.stop.as_ref().is_none_or(|stop| stop.grace_s > 0.0) {
                    keys.push(key.clone());
                }
            }
            for key in keys {
                machine.request_stop(&key, StopRequest { grace_s: 0.0, reason: JOB_FINISHED });
                self.statistics.stops += 1;
            }
        }
    }

    /// Takes in how a write to the store ended.
    pub fn on_outcome(
        &mut self,
        origin: &WriteOrigin,
        outcome: WriteOutcome,
        store: &mut StoreClient,
    ) {
        if *origin == WriteOrigin::GarbageCollection {
            return self.on_garbage_collected(outcome, store);
        }
        if let WriteOrigin::RuntimeEstimates(bucket) = origin {
            return self.on_estimates_written(*bucket, outcome);
        }
        if let (WriteOrigin::MachineAdded(id), WriteOutcome::Committed) = (origin, outcome)
            && let Some(machine) = self.fleet.machines.get_mut(id)
        {
            machine.recorded = true;
            machine.commands_due = true;
            self.direct_calls.dirty_machines.insert(id.clone());
            self.planning_clock.pass_requested = true;
        }
    }

    /// Hands the store what is due: records of machines and completions.
    pub(super) fn store(&mut self, store: &mut StoreClient, now: Instant) {
        let machines = &self.fleet.machines;
        let due = |id: &MachineId| {
            machines
                .get(id)
                .filter(|machine| machine.state == MachineState::Up && !machine.recorded)
        };
        self.fleet.unrecorded.retain(|id| due(id).is_some());
        for machine in self.fleet.unrecorded.iter().filter_map(due) {
            let origin = WriteOrigin::MachineAdded(machine.id.clone());
            if store.is_pending(&origin) {
                continue;
            }
            let Some(address) = machine.address else { continue };
            let key = format!("{MACHINE_PREFIX}{}", machine.id);
            let rev =
                store.cache.machines.get(&machine.id).map_or(Revision(0), |known| known.revision);
            let record = MachineRecord {
                address: address.to_string(),
                machine_type: self.fleet.machine_types[machine.machine_type].name.clone(),
                zone: self.settings.platform.params.zones[machine.zone].clone(),
                spot: machine.spot,
            };
            let data = StoreValue::serialized(&record).unwrap_or(StoreValue::Null);
            let transaction = Transaction {
                preconditions: vec![
                    Precondition { key: key.clone(), rev },
                    self.term.precondition(),
                ],
                writes: vec![Write::Put { key, data, lease: None }],
            };
            store.enqueue(PendingWrite { priority: WritePriority::Blocking, origin, transaction });
        }
        self.store_completions(store, now);
    }

    /// Removes the records of machines that are surely gone.
    pub(super) fn delete_machine_records(&self, store: &mut StoreClient) {
        // Both are in the order of their names: one walk along both instead of a search for each.
        let mut ours = self.fleet.machines.keys().peekable();
        let mut is_ours = |id: &MachineId| {
            while ours.next_if(|our| *our < id).is_some() {}
            ours.peek().is_some_and(|our| *our == id)
        };
        let gone: Vec<(MachineId, Revision)> = store
            .cache
            .machines
            .iter()
            .filter(|(id, _)| !is_ours(id))
            // One of a kind that is not known is not known to be gone.
            .filter(|(_, known)| {
                let record = &known.value;
                self.fleet.pool(&record.machine_type, &record.zone, record.spot).is_some()
            })
            .map(|(id, known)| (id.clone(), known.revision))
            .collect();
        for (id, rev) in gone {
            let origin = WriteOrigin::MachineRemoved(id.clone());
            if store.is_pending(&origin) {
                continue;
            }
            let key = format!("{MACHINE_PREFIX}{id}");
            let transaction = Transaction {
                preconditions: vec![
                    Precondition { key: key.clone(), rev },
                    self.term.precondition(),
                ],
                writes: vec![Write::Delete { key }],
            };
            store.enqueue(PendingWrite {
                priority: WritePriority::Background,
                origin,
                transaction,
            });
        }
    }

    /// Writes tasks that are reported done, those that end a job first.
    pub(super) fn store_completions(&mut self, store: &mut StoreClient, now: Instant) {
        let marks = now >= self.persistence.next_progress_write && !store.is_backlogged();
        if marks {
            self.persistence.next_progress_write = now + PROGRESS_WRITE_INTERVAL;
        }
        let layout = store.layout();
        let now_ms = self.wall_clock.ms(now);
        let guard = self.term.precondition();
        let work = &self.jobs.progress;
        let due = |id: &JobId| work.get(id).is_some_and(|work| !work.completing.is_empty());
        self.jobs.completing.retain(due);
        let reported = self.jobs.completing.iter().filter_map(|id| work.get_key_value(id));
        let mut reported: Vec<(&JobId, &JobProgress)> = reported.collect();
        // A write carries whatever marks of a job have come, so the longer marks wait the fewer writes
        // they take. Where the budget is short, only what ends a job goes at once.
        reported.sort_by_key(|(_, work)| Reverse(work.completing.len()));
        for (id, work) in reported {
            let origin = WriteOrigin::Completion(id.clone());
            if store.is_pending(&origin) {
                continue;
            }
            let Some(job) = store.cache.jobs.get(id) else { continue };
            let goes_on = |live: &LiveJob| {
                live.completed_count() + (work.completing.len() as u64) < live.spec.tasks
            };
            if (!marks || store.is_backlogged()) && job.live().is_none_or(goes_on) {
                continue;
            }
            let tasks: Vec<u32> = work.completing.iter().copied().collect();
            let second = job.live().filter(|live| !goes_on(live));
            let second = second.map_or(0, |live| self.duplicate_runs(id, work, live));
            let Some(done) = jobs::complete(id, job, &tasks, second, now_ms, &layout) else {
                continue;
            };
            if !done.finishes_job && (!marks || store.is_backlogged()) {
                continue;
            }
            let mut transaction = done.transaction;
            transaction.preconditions.push(guard.clone());
            let priority =
                if done.finishes_job { WritePriority::Blocking } else { WritePriority::Progress };
            store.enqueue(PendingWrite { priority, origin, transaction });
        }
    }
}
