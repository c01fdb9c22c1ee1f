//! Applies changed job records of the store and enqueues the leader's writes: machine records and task completions.
//!
//! Runtime estimates and garbage collection enqueue their own writes. This module places no task and calls no worker.

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

/// Interval between writes of completed tasks of jobs that have tasks left. One write carries all completions of a job
/// that arrived since the last one, and every controller reads each write.
const PROGRESS_WRITE_INTERVAL: Duration = Duration::from_millis(1000);
/// The schedule of progress writes of jobs that have tasks left.
#[derive(Debug)]
pub(super) struct PersistenceSchedule {
    /// The earliest time of the next such write.
    pub(super) next_progress_write: Instant,
}

impl PersistenceSchedule {
    pub(super) fn new(now: Instant) -> PersistenceSchedule {
        PersistenceSchedule { next_progress_write: now }
    }
}

impl Scheduler {
    /// Applies the records of these jobs, which may have changed.
    pub fn on_jobs(&mut self, ids: &[JobId], cache: &Cache, now: Instant) {
        self.dependencies.stale |= !self.dependencies.inherited.is_empty();
        for id in ids {
            let Some(job) = cache.jobs.get(id) else { continue };
            match &job.body {
                JobBody::Live(_) if self.jobs.cancelling.contains(id) => {}
                JobBody::Live(live) => {
                    self.dependencies.stale |= !live.depends_on().is_empty();
                    let progress = self.jobs.progress.entry(id.clone()).or_default();
                    if live.is_ready() {
                        progress.first_seen.get_or_insert(now);
                    }
                    let completed: Vec<u32> = progress
                        .placed
                        .keys()
                        .filter(|task| live.is_completed(**task))
                        .copied()
                        .collect();
                    for task in completed {
                        progress.completing.remove(&task);
                        progress.retries.remove(&task);
                        let Some(placed) = progress.placed.remove(&task) else { continue };
                        let machine = self.fleet.machines.get_mut(&placed.machine);
                        let Some(machine) = machine else { continue };
                        let key = (TaskId { job: id.clone(), index: task }, placed.attempt);
                        match machine.attempts.get_mut(&key) {
                            Some(entry) if entry.state == TaskState::Exited => {
                                entry.exit_handled = true
                            }
                            // Another attempt at a task that is already completed.
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
                    if let Some(progress) = self.jobs.progress.remove(id) {
                        tracing::debug!(job = %id, cancelled, "job finished");
                        self.count_orphaned_tasks(&progress, job);
                    }
                    self.stop_tasks_of_job(id);
                    self.jobs.machines.remove(id);
                }
            }
        }
        self.planning_clock.pass_requested = true;
    }

    /// Stops the tasks of jobs whose cancellation was acknowledged to users. While the store is unreachable, this is
    /// the only way in which the leader learns of these cancellations. A job that is not in the cache yet was accepted
    /// only just before, so it may be live.
    pub fn on_cancellation_acknowledged(&mut self, ids: &[JobId], cache: &Cache) {
        for id in ids {
            let may_be_live = cache.jobs.get(id).is_none_or(|job| job.live().is_some());
            if may_be_live && !self.jobs.cancelling.contains(id) {
                tracing::debug!(job = %id, "cancellation acknowledged, stopping tasks");
                // Dropping the job's progress is not enough: the exit of one of its tasks would create new
                // progress without placements, and all its tasks would be started again.
                self.jobs.cancelling.insert(id.clone());
                let progress = self.jobs.progress.remove(id);
                if let Some((progress, job)) = progress.zip(cache.jobs.get(id)) {
                    self.count_orphaned_tasks(&progress, job);
                }
                self.stop_tasks_of_job(id);
            }
        }
    }

    /// Stops all tasks of a finished job without a grace period.
    pub(super) fn stop_tasks_of_job(&mut self, id: &JobId) {
        let attempts = attempts_of(id);
        self.direct_calls.all_dirty = true;
        for machine_id in self.jobs.machines.of(id) {
            let Some(machine) = self.fleet.machines.get_mut(&machine_id) else { continue };
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

    /// Applies the outcome of a write to the store.
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

    /// Enqueues the writes that are due: machine records and completions.
    pub(super) fn enqueue_due_writes(&mut self, store: &mut StoreClient, now: Instant) {
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

    /// Removes the records of machines whose deletion is confirmed.
    pub(super) fn delete_machine_records(&self, store: &mut StoreClient) {
        // Both maps are ordered by id, so one merge pass replaces a lookup per record.
        let mut known_machines = self.fleet.machines.keys().peekable();
        let mut is_known = |id: &MachineId| {
            while known_machines.next_if(|known| *known < id).is_some() {}
            known_machines.peek().is_some_and(|known| *known == id)
        };
        let deleted: Vec<(MachineId, Revision)> = store
            .cache
            .machines
            .iter()
            .filter(|(id, _)| !is_known(id))
            // Machines of an unknown type or zone are never in the fleet, so their absence doesn't prove a deletion.
            .filter(|(_, known)| {
                let record = &known.value;
                self.fleet.pool(&record.machine_type, &record.zone, record.spot).is_some()
            })
            .map(|(id, known)| (id.clone(), known.revision))
            .collect();
        for (id, rev) in deleted {
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

    /// Enqueues writes of completed tasks; those that finish a job have the higher priority.
    pub(super) fn store_completions(&mut self, store: &mut StoreClient, now: Instant) {
        let progress_due = now >= self.persistence.next_progress_write && !store.is_backlogged();
        if progress_due {
            self.persistence.next_progress_write = now + PROGRESS_WRITE_INTERVAL;
        }
        let layout = store.layout();
        let now_ms = self.wall_clock.ms(now);
        let leader_precondition = self.term.precondition();
        let all_progress = &self.jobs.progress;
        let has_completions = |id: &JobId| {
            all_progress.get(id).is_some_and(|progress| !progress.completing.is_empty())
        };
        self.jobs.completing.retain(has_completions);
        let completing =
            self.jobs.completing.iter().filter_map(|id| all_progress.get_key_value(id));
        let mut completing: Vec<(&JobId, &JobProgress)> = completing.collect();
        // One write carries all completions of a job that have arrived, so longer waits mean fewer writes. The jobs
        // with the most completions go first. While the store is backlogged, only writes that finish a job are
        // enqueued.
        completing.sort_by_key(|(_, progress)| Reverse(progress.completing.len()));
        for (id, progress) in completing {
            let origin = WriteOrigin::Completion(id.clone());
            if store.is_pending(&origin) {
                continue;
            }
            let Some(job) = store.cache.jobs.get(id) else { continue };
            let has_tasks_left = |live: &LiveJob| {
                live.completed_count() + (progress.completing.len() as u64) < live.spec.tasks
            };
            if (!progress_due || store.is_backlogged()) && job.live().is_none_or(has_tasks_left) {
                continue;
            }
            let tasks: Vec<u32> = progress.completing.iter().copied().collect();
            let finishing = job.live().filter(|live| !has_tasks_left(live));
            let duplicates =
                finishing.map_or(0, |live| self.max_duplicate_runs(id, progress, live));
            let Some(completion) = jobs::complete(id, job, &tasks, duplicates, now_ms, &layout)
            else {
                continue;
            };
            if !completion.finishes_job && (!progress_due || store.is_backlogged()) {
                continue;
            }
            let mut transaction = completion.transaction;
            transaction.preconditions.push(leader_precondition.clone());
            let priority = if completion.finishes_job {
                WritePriority::Blocking
            } else {
                WritePriority::Progress
            };
            store.enqueue(PendingWrite { priority, origin, transaction });
        }
    }
}
