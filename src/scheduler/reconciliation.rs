//! Applies workers' heartbeats to the leader's view of machines and tasks.
//!
//! Updates job progress and the attempts of the reporting machine. It starts no task, rents no machine and writes
//! nothing to the store: planning and persistence act on the updated state.

use crate::constants::{INITIAL_TASK_BACKOFF, MACHINE_FAULT_JOBS};
use crate::ids::{Amount, Attempt, FencingToken, JobId, MachineId, TaskId};
use crate::jobs::{Job, JobBody, LiveJob};
use crate::scheduler::Scheduler;
use crate::scheduler::fleet::FleetSummary;
use crate::scheduler::job_progress::{DuplicateAttempt, Placement};
use crate::scheduler::runtime_prediction::ObservedRun;
use crate::scheduler::task_attempt::TaskAttempt;
use crate::scheduler::task_exit::TaskExit;
use crate::store::Cache;
use crate::wire::{CommandBatch, Heartbeat, JobKind, Priority, TaskState, WorkerCommand};
use crate::workers::command_log::{CommandRoute, log_commands};
use crate::workers::machine::{
    HeartbeatEffect, JOB_FINISHED, Machine, PlacedAttempt, StopRequest, TaskEvent,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Run time after which a running task counts as a success of its job, because the tasks of faulty jobs fail at once.
pub(super) const SUCCESS_AFTER_RUNNING: Duration = Duration::from_secs(10);

impl Scheduler {
    /// Applies a heartbeat received on `/hello` and returns the answer, which renews the worker's lease. Returns
    /// `None` if a later leader exists.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        cache: &Cache,
        now: Instant,
    ) -> Option<CommandBatch> {
        self.statistics.last_heartbeat = now;
        self.statistics.heartbeats += 1;
        if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
            machine.relayed_by = None;
        }
        if self.fleet.terminated.contains(&heartbeat.machine) {
            // The heartbeat was sent before the machine was deleted, and the network delayed it.
            return Some(self.empty_answer(heartbeat));
        }
        if !self.fleet.machines.contains_key(&heartbeat.machine) {
            let Some(pool) =
                self.fleet.pool(&heartbeat.machine_type, &heartbeat.zone, heartbeat.spot)
            else {
                return Some(self.empty_answer(heartbeat));
            };
            tracing::info!(machine = %heartbeat.machine, "heartbeat of an unknown machine");
            self.fleet.add_machine(&heartbeat.machine, pool, now);
        }
        if !self.apply_heartbeat(heartbeat, cache, now) {
            return None;
        }
        self.answer(&heartbeat.machine, now)
    }

    /// Applies the result of a direct call: the worker's heartbeat, or an error that says whether the call may still
    /// be executed. Returns false if the worker has seen a higher fencing token than ours.
    pub fn on_worker_response(
        &mut self,
        id: &MachineId,
        sent: Option<&CommandBatch>,
        heartbeat: Result<Heartbeat, crate::http::CallError>,
        cache: &Cache,
        now: Instant,
    ) -> bool {
        let Some(machine) = self.fleet.machines.get_mut(id) else { return true };
        self.direct_calls.in_flight -= usize::from(std::mem::take(&mut machine.direct_in_flight));
        self.direct_calls.dirty_machines.insert(id.clone());
        let answered = !matches!(heartbeat, Err(crate::http::CallError::Unknown));
        if let (Some(batch), true) = (sent, answered) {
            machine.record_direct_result(&batch.commands);
        }
        match heartbeat {
            Ok(heartbeat) if heartbeat.machine == *id => {
                machine.next_direct_at = now + Duration::from_millis(20);
                self.apply_heartbeat(&heartbeat, cache, now)
            }
            _ => {
                if machine.probe_zone_reachable {
                    machine.unanswered_probe = Some(machine.direct_sent_at);
                }
                machine.next_direct_at = now + INITIAL_TASK_BACKOFF * 2;
                true
            }
        }
    }

    /// Returns the answer that is about to be sent to a worker and records that it renews the worker's lease.
    pub(super) fn answer(&mut self, id: &MachineId, now: Instant) -> Option<CommandBatch> {
        let tokens = self.term.tokens();
        let machine = self.fleet.machines.get_mut(id)?;
        // The answer renews the lease, which may now last for its full duration from this time.
        machine.last_answered = now;
        let batch = machine.answer(tokens);
        // Starts and stops are repeated by direct call until a heartbeat confirms them. Most answers contain neither.
        machine.commands_due =
            batch.commands.iter().any(|command| !matches!(command, WorkerCommand::Forget { .. }));
        if machine.commands_due || !machine.confirmed {
            self.direct_calls.dirty_machines.insert(id.clone());
        }
        log_commands(id, machine.agent_epoch, &batch, CommandRoute::Heartbeat);
        Some(batch)
    }

    fn empty_answer(&self, heartbeat: &Heartbeat) -> CommandBatch {
        let token = FencingToken::for_answer(self.term.token, heartbeat.token);
        CommandBatch { token, agent_epoch: None, commands: Vec::new() }
    }

    /// Applies a heartbeat. Returns false if the worker has seen a higher fencing token than ours.
    pub(super) fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        cache: &Cache,
        now: Instant,
    ) -> bool {
        let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) else { return true };
        if let Ok(address) = heartbeat.address.parse() {
            machine.address = Some(address);
        }
        if machine.up_since.is_none() && !machine.recorded {
            let boot_s = now.saturating_duration_since(machine.rented_at).as_secs_f64();
            tracing::info!(machine = %machine.id, boot_s, "machine is up");
        }
        let silent_after = self.settings.heartbeat_interval() * 2;
        let planning_state = |m: &Machine| {
            (m.state, m.confirmed, m.agent_epoch, m.time_since_heartbeat(now) > silent_after)
        };
        let previous_state = planning_state(machine);
        let had_notice = machine.reclaim_at.is_some();
        let events = match machine.record_heartbeat(heartbeat, self.term.token, now) {
            HeartbeatEffect::Superseded => return false,
            HeartbeatEffect::Stale => return true,
            HeartbeatEffect::Recorded(events) => events,
        };
        if !had_notice && machine.reclaim_at.is_some() {
            tracing::info!(machine = %machine.id, notice_s = heartbeat.notice_s, "spot reclaim notice");
        }
        self.fleet.zone_last_heartbeat[machine.zone] = Some(now);
        if !machine.recorded {
            self.fleet.unrecorded.insert(machine.id.clone());
        }
        // Most heartbeats repeat what is already recorded; those need no planning pass.
        let needs_pass = !events.is_empty()
            || planning_state(machine) != previous_state
            || had_notice != machine.reclaim_at.is_some();
        let id = heartbeat.machine.clone();
        for event in events {
            self.on_task_event(&id, event, cache, now);
        }
        self.evacuate_reclaimed(&id, cache, now);
        self.planning_clock.pass_requested |= needs_pass;
        true
    }

    pub(super) fn on_task_event(
        &mut self,
        machine: &MachineId,
        event: TaskEvent,
        cache: &Cache,
        now: Instant,
    ) {
        match event {
            TaskEvent::Running(task, attempt) => {
                self.on_running(machine, &task, attempt, cache, now)
            }
            TaskEvent::Found(task, attempt) => self.adopt_attempt(machine, task, attempt, cache),
            TaskEvent::Vanished(task, attempt, duration) => {
                let live = cache.jobs.get(&task.job).and_then(Job::live);
                let run = ObservedRun { duration, completed: false, saved: false };
                self.record_task_run(&task, machine, live, &run);
                tracing::info!(%machine, %task, %attempt, "task lost with its agent epoch");
                self.release(&task, attempt, now);
            }
            TaskEvent::Exited { task, attempt, exit_cause, saved } => {
                let exit = TaskExit { machine: machine.clone(), task, attempt, exit_cause, saved };
                self.on_exit(&exit, cache, now);
            }
        }
    }

    /// Logs how long a task took to start: since its job was first seen, and since it was placed.
    pub(super) fn on_running(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        cache: &Cache,
        now: Instant,
    ) {
        let since = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let Some(machine) = self.fleet.machines.get(id) else { return };
        let Some(entry) = machine.attempts.get(&(task.clone(), attempt)) else { return };
        let Some(live) = cache.jobs.get(&task.job).and_then(Job::live) else { return };
        let known_ms =
            self.jobs.progress.get(&task.job).and_then(|progress| progress.first_seen).map(since);
        let class = &live.spec.class;
        let fetch_ms = since(entry.placed_at);
        tracing::debug!(machine = %id, %task, class, known_ms, fetch_ms, image = %entry.image, "running");
    }

    /// Returns the job if its tasks may still be started: it is live and its cancellation is not acknowledged.
    pub(super) fn live<'a>(&self, cache: &'a Cache, id: &JobId) -> Option<&'a LiveJob> {
        let live = cache.jobs.get(id).and_then(Job::live)?;
        (!self.jobs.cancelling.contains(id)).then_some(live)
    }

    /// Adopts an attempt that a previous leader started and a heartbeat shows. If its job is not live or its
    /// cancellation is acknowledged, the attempt is stopped; if the task is already placed elsewhere, the earlier of
    /// the two attempts is stopped as a duplicate.
    pub(super) fn adopt_attempt(
        &mut self,
        machine: &MachineId,
        task: TaskId,
        attempt: Attempt,
        cache: &Cache,
    ) {
        let job = cache.jobs.get(&task.job);
        let (team, request, image, priority) = match job.map(|job| &job.body) {
            Some(JobBody::Live(live)) => {
                let image = Arc::from(live.spec.image.as_str());
                let priority = self.effective_priority(&task.job, live);
                (self.team_of(&live.spec.team), live.request, image, priority)
            }
            Some(JobBody::Finished { orphaned_tasks: Some(orphaned), .. }) => (
                self.team_of(&orphaned.team),
                orphaned.request,
                Arc::from(""),
                Priority::Production,
            ),
            _ => (usize::MAX, Amount::default(), Arc::from(""), Priority::Production),
        };
        self.jobs.machines.record(&task.job, machine, &self.fleet.machines);
        let is_live = self.live(cache, &task.job).is_some();
        let progress = is_live.then(|| self.jobs.progress.entry(task.job.clone()).or_default());
        let Some(machine) = self.fleet.machines.get_mut(machine) else { return };
        machine.commands_due = true;
        let Some(entry) = machine.attempts.get_mut(&(task.clone(), attempt)) else { return };
        (entry.team, entry.request, entry.image, entry.priority) = (team, request, image, priority);
        let exited = entry.state == TaskState::Exited;
        let key = (task.clone(), attempt);
        machine.adopt_attempt(&key);
        let Some(progress) = progress else {
            return machine.request_stop(&key, StopRequest { grace_s: 0.0, reason: JOB_FINISHED });
        };
        let found = Placement { machine: machine.id.clone(), attempt };
        let Some(placed) = progress.placed.get(&task.index).cloned() else {
            progress.placed.insert(task.index, found);
            return;
        };
        if exited {
            return;
        }
        // No attempt is started until all earlier ones have terminated, so the heartbeat of the earlier attempt is
        // stale. The later attempt continues; the task is free once no heartbeat shows either of them.
        tracing::info!(%task, %attempt, other = %placed.machine, theirs = %placed.attempt, "stale heartbeat shows a duplicate attempt");
        let duplicate = if attempt > placed.attempt {
            progress.placed.insert(task.index, found);
            placed
        } else {
            found
        };
        let (id, attempt) = (duplicate.machine.clone(), duplicate.attempt);
        let duplicate = DuplicateAttempt { task: task.index, placement: duplicate };
        progress.duplicate_attempts.push(duplicate);
        if let Some(machine) = self.fleet.machines.get_mut(&id) {
            machine.request_stop(
                &(task, attempt),
                StopRequest { grace_s: 0.0, reason: "found twice" },
            );
        }
    }

    /// Frees a task whose attempt has terminated. If heartbeats still show another attempt at it, the task stays placed
    /// with that attempt.
    pub(super) fn release(&mut self, task: &TaskId, attempt: Attempt, now: Instant) {
        if let Some(progress) = self.jobs.progress.get_mut(&task.job) {
            progress.duplicate_attempts.retain(|duplicate| {
                (duplicate.task, duplicate.placement.attempt) != (task.index, attempt)
            });
            let placed = progress.placed.get(&task.index);
            let was_placed = placed.is_some_and(|placed| placed.attempt == attempt);
            if was_placed && !progress.completing.contains(&task.index) {
                progress.placed.remove(&task.index);
                let mut duplicates = progress.duplicate_attempts.iter();
                match duplicates.position(|duplicate| duplicate.task == task.index) {
                    Some(at) => {
                        let duplicate = progress.duplicate_attempts.swap_remove(at);
                        progress.placed.insert(duplicate.task, duplicate.placement);
                    }
                    None => progress.requeue(task.index, now),
                }
            }
        }
        self.planning_clock.pass_requested = true;
    }

    /// Records that a task completed or ran for `SUCCESS_AFTER_RUNNING`. A job that was suspected to be faulty
    /// resumes at once, without its retry backoffs.
    pub(super) fn record_success(&mut self, id: &JobId, now: Instant) {
        let Some(progress) = self.jobs.progress.get_mut(id) else { return };
        if progress.failures.record_success() {
            tracing::info!(job = %id, "job no longer suspected");
            progress.reset_backoffs(now);
            self.planning_clock.pass_requested = true;
        }
    }

    /// Records a success of each job with failures that has a task running for `SUCCESS_AFTER_RUNNING`. Marks a machine
    /// as faulty if at least `MACHINE_FAULT_JOBS` jobs failed on it that succeed elsewhere. A completed job counts as
    /// successful; a cancelled one does not count.
    pub(super) fn attribute_failures(
        &mut self,
        summary: &FleetSummary,
        cache: &Cache,
        now: Instant,
    ) {
        let ran_long_enough = |placed: &Placement, job: &JobId, index: u32| {
            let machine = self.fleet.machines.get(&placed.machine)?;
            let key = (TaskId { job: job.clone(), index }, placed.attempt);
            let entry = machine.attempts.get(&key)?;
            entry.is_running_for(SUCCESS_AFTER_RUNNING, now).then_some(())
        };
        let undecided =
            self.jobs.progress.iter().filter(|(_, progress)| progress.failures.is_undecided());
        let successful: Vec<JobId> = undecided
            .filter(|(id, progress)| {
                let mut placements = progress.placed.iter();
                placements.any(|(index, placed)| ran_long_enough(placed, id, *index).is_some())
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in successful {
            self.record_success(&id, now);
        }
        self.forget_refuted_failures(now);
        if !summary.has_failing_machine {
            return;
        }
        self.clear_refuted_machines(now);
        for machine in
            self.fleet.machines.values_mut().filter(|m| m.failed_jobs.len() >= MACHINE_FAULT_JOBS)
        {
            let succeeds_elsewhere = |id: &&JobId| match cache.jobs.get(id).map(|job| &job.body) {
                Some(JobBody::Finished { cancelled, .. }) => !cancelled,
                _ => self
                    .jobs
                    .progress
                    .get(*id)
                    .is_some_and(|progress| progress.failures.has_succeeded()),
            };
            let was_faulty = machine.faulty;
            machine.faulty =
                machine.failed_jobs.iter().filter(succeeds_elsewhere).count() >= MACHINE_FAULT_JOBS;
            if machine.faulty && !was_faulty {
                tracing::info!(machine = %machine.id, "machine suspected to be faulty, avoided");
            }
        }
    }

    /// Stops the tasks of a spot machine that will be reclaimed, with a grace period to save their progress. Tasks
    /// of arrays that are expected to finish before the reclaim keep running.
    pub(super) fn evacuate_reclaimed(&mut self, id: &MachineId, cache: &Cache, now: Instant) {
        let use_estimates = self.settings.operator.estimates.drain;
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        let Some(at) = machine.reclaim_at else { return };
        let left_s = at.saturating_duration_since(now).as_secs_f64();
        let must_leave = |((task, _), entry): &(&TaskAttempt, &PlacedAttempt)| {
            if entry.stop.is_some() || entry.state == TaskState::Exited {
                return false;
            }
            let Some(live) = cache.jobs.get(&task.job).and_then(Job::live) else { return false };
            let ran_s = entry.running_since.map(|t| now.saturating_duration_since(t).as_secs_f64());
            let estimated_s = ran_s
                .filter(|_| use_estimates)
                .and_then(|ran_s| self.runtime_predictor.remaining_s(&task.job, ran_s));
            let remaining_s = estimated_s.unwrap_or(live.spec.expect_s - ran_s.unwrap_or(0.0));
            live.spec.kind != JobKind::Array || ran_s.is_none() || remaining_s >= left_s - 1.0
        };
        let keys: Vec<_> =
            machine.attempts.iter().filter(must_leave).map(|(k, _)| k.clone()).collect();
        for key in keys {
            let stop = StopRequest { grace_s: (left_s - 1.0).max(0.0), reason: "spot notice" };
            machine.request_stop(&key, stop);
            self.statistics.stops += 1;
        }
    }
}
