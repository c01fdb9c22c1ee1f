//! What workers' heartbeats say, turned into what is known of machines and tasks.
//!
//! Owns the way from a heartbeat's facts to `work` and to the entries of the machine that told. It starts nothing,
//! rents nothing, and writes nothing: what it learns the planner and the store's part act on.

use crate::constants::{MACHINE_FAULT_JOBS, RETRY_FIRST};
use crate::ids::{Amount, Attempt, JobId, MachineId, TaskId};
use crate::jobs::{Job, JobBody, LiveJob};
use crate::scheduler::Scheduler;
use crate::scheduler::fleet::FleetSummary;
use crate::scheduler::job_progress::{DuplicateAttempt, Placement};
use crate::scheduler::runtime_prediction::ObservedRun;
use crate::scheduler::task_attempt::TaskAttempt;
use crate::scheduler::task_exit::TaskExit;
use crate::store::Cache;
use crate::wire::{CommandBatch, Heartbeat, JobKind, Priority, TaskState, WorkerCommand};
use crate::workers::machine::{
    HeartbeatEffect, JOB_FINISHED, Machine, PlacedAttempt, StopRequest, TaskEvent,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A task that ran this long shows that its job does well: mistakes show at once.
pub(super) const SUCCESS_AFTER_RUNNING: Duration = Duration::from_secs(10);

impl Scheduler {
    /// A heartbeat on `/hello`; the answer renews the worker's lease. None: a later leader exists.
    pub fn on_heartbeat(
        &mut self,
        report: &Heartbeat,
        cache: &Cache,
        now: Instant,
    ) -> Option<CommandBatch> {
        self.statistics.last_heartbeat = now;
        self.statistics.heartbeats += 1;
        if let Some(machine) = self.fleet.machines.get_mut(&report.machine) {
            machine.relayed_by = None;
        }
        if self.fleet.terminated.contains(&report.machine) {
            // Held back by the network since before the machine was deleted.
            return Some(self.answer(Vec::new()));
        }
        if !self.fleet.machines.contains_key(&report.machine) {
            let Some(kind) = self.fleet.pool(&report.machine_type, &report.zone, report.spot)
            else {
                return Some(self.answer(Vec::new()));
            };
            tracing::info!(machine = %report.machine, "heartbeat of an unknown machine");
            self.fleet.add_machine(&report.machine, kind, now);
        }
        if !self.apply_heartbeat(report, cache, now) {
            return None;
        }
        let orders = self.commands_in_response(&report.machine, now)?;
        Some(self.answer(orders))
    }

    /// The end of a direct call: the worker's heartbeat, or whether it may still be executed.
    pub fn on_worker_response(
        &mut self,
        id: &MachineId,
        sent: Option<&CommandBatch>,
        report: Result<Heartbeat, crate::http::CallError>,
        cache: &Cache,
        now: Instant,
    ) -> bool {
        let Some(machine) = self.fleet.machines.get_mut(id) else { return true };
        self.direct_calls.in_flight -= usize::from(std::mem::take(&mut machine.direct_in_flight));
        self.direct_calls.dirty_machines.insert(id.clone());
        let answered = !matches!(report, Err(crate::http::CallError::Unknown));
        if let (Some(orders), true) = (sent, answered) {
            machine.track_starts_in_flight(&orders.commands, -1);
        }
        match report {
            Ok(report) if report.machine == *id => {
                machine.next_direct_at = now + Duration::from_millis(20);
                self.apply_heartbeat(&report, cache, now)
            }
            _ => {
                if machine.probe_zone_reachable {
                    machine.unanswered_probe = Some(machine.direct_sent_at);
                }
                machine.next_direct_at = now + RETRY_FIRST * 2;
                true
            }
        }
    }

    /// The orders of an answer that is about to be sent, which renews the worker's lease.
    pub(super) fn commands_in_response(
        &mut self,
        id: &MachineId,
        now: Instant,
    ) -> Option<Vec<WorkerCommand>> {
        let machine = self.fleet.machines.get_mut(id)?;
        // The answer is about to be sent, so its lease may now last until a lease from here.
        machine.last_answered = now;
        let orders = machine.commands_for_answer();
        // Most reports leave nothing owed.
        machine.commands_due =
            orders.iter().any(|order| !matches!(order, WorkerCommand::Forget { .. }));
        if machine.commands_due || !machine.confirmed {
            self.direct_calls.dirty_machines.insert(id.clone());
        }
        Some(orders)
    }

    /// The answer to a heartbeat with these commands.
    pub(super) fn answer(&self, orders: Vec<WorkerCommand>) -> CommandBatch {
        CommandBatch { token: self.term.token, agent_epoch: None, commands: orders }
    }

    /// False: the worker has seen a higher token than ours.
    pub(super) fn apply_heartbeat(
        &mut self,
        report: &Heartbeat,
        cache: &Cache,
        now: Instant,
    ) -> bool {
        let Some(machine) = self.fleet.machines.get_mut(&report.machine) else { return true };
        if let Ok(address) = report.address.parse() {
            machine.address = Some(address);
        }
        if machine.up_since.is_none() && !machine.recorded {
            let boot_s = now.saturating_duration_since(machine.rented).as_secs_f64();
            tracing::info!(machine = %machine.id, boot_s, "machine is up");
        }
        let quiet = self.settings.heartbeat_interval() * 2;
        let usable = |m: &Machine| {
            (m.state, m.confirmed, m.agent_epoch, m.time_since_heartbeat(now) > quiet)
        };
        let before = usable(machine);
        let had_notice = machine.reclaim_at.is_some();
        let facts = match machine.record_heartbeat(report, self.term.token, now) {
            HeartbeatEffect::Superseded => return false,
            HeartbeatEffect::Stale => return true,
            HeartbeatEffect::Recorded(facts) => facts,
        };
        if !had_notice && machine.reclaim_at.is_some() {
            tracing::info!(machine = %machine.id, notice_s = report.notice_s, "spot notice");
        }
        // Most reports say what is known already and change no plan.
        self.fleet.zone_last_heartbeat[machine.zone] = Some(now);
        if !machine.recorded {
            self.fleet.unrecorded.insert(machine.id.clone());
        }
        let news = !facts.is_empty()
            || usable(machine) != before
            || had_notice != machine.reclaim_at.is_some();
        let id = report.machine.clone();
        for fact in facts {
            self.on_task_event(&id, fact, cache, now);
        }
        self.evacuate_reclaimed(&id, cache, now);
        self.planning_clock.pass_requested |= news;
        true
    }

    /// Takes in what a heartbeat shows of one task.
    pub(super) fn on_task_event(
        &mut self,
        machine: &MachineId,
        fact: TaskEvent,
        cache: &Cache,
        now: Instant,
    ) {
        match fact {
            TaskEvent::Running(task, attempt) => {
                self.on_running(machine, &task, attempt, cache, now)
            }
            TaskEvent::Found(task, attempt) => self.adopt(machine, task, attempt, cache),
            TaskEvent::Vanished(task, attempt, ran) => {
                let live = cache.jobs.get(&task.job).and_then(Job::live);
                let run = ObservedRun { duration: ran, done: false, saved: false };
                self.record_task_run(&task, machine, live, &run);
                tracing::info!(%machine, %task, %attempt, "task lost with its agent epoch");
                self.release(&task, attempt, now);
            }
            TaskEvent::Exited { task, attempt, why, saved } => {
                let exit = TaskExit { machine: machine.clone(), task, attempt, why, saved };
                self.on_exit(&exit, cache, now);
            }
        }
    }

    /// Logs how long a task took to start.
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
            self.jobs.progress.get(&task.job).and_then(|work| work.first_seen).map(since);
        let class = &live.spec.class;
        let fetch_ms = since(entry.placed);
        tracing::debug!(machine = %id, %task, class, known_ms, fetch_ms, image = %entry.image, "running");
    }

    /// The job, if its tasks may still be started.
    pub(super) fn live<'a>(&self, cache: &'a Cache, id: &JobId) -> Option<&'a LiveJob> {
        let live = cache.jobs.get(id).and_then(Job::live)?;
        (!self.jobs.cancelling.contains(id)).then_some(live)
    }

    /// A task that a predecessor started.
    pub(super) fn adopt(
        &mut self,
        machine: &MachineId,
        task: TaskId,
        attempt: Attempt,
        cache: &Cache,
    ) {
        let job = cache.jobs.get(&task.job);
        let (team, need, image, urgency) = match job.map(|job| &job.body) {
            Some(JobBody::Live(live)) => {
                let image = Arc::from(live.spec.image.as_str());
                let urgency = self.urgency(&task.job, live);
                (self.team_of(&live.spec.team), live.need, image, urgency)
            }
            Some(JobBody::Finished { orphaned_tasks: Some(rest), .. }) => {
                (self.team_of(&rest.team), rest.need, Arc::from(""), Priority::Production)
            }
            _ => (usize::MAX, Amount::default(), Arc::from(""), Priority::Production),
        };
        self.jobs.machines.note(&task.job, machine, &self.fleet.machines);
        let live = self.live(cache, &task.job).is_some();
        let work = live.then(|| self.jobs.progress.entry(task.job.clone()).or_default());
        let Some(machine) = self.fleet.machines.get_mut(machine) else { return };
        machine.commands_due = true;
        let Some(entry) = machine.attempts.get_mut(&(task.clone(), attempt)) else { return };
        (entry.team, entry.need, entry.image, entry.urgency) = (team, need, image, urgency);
        let exited = entry.state == TaskState::Exited;
        let key = (task.clone(), attempt);
        machine.adopt_attempt(&key);
        let Some(work) = work else {
            return machine.request_stop(&key, StopRequest { grace_s: 0.0, reason: JOB_FINISHED });
        };
        let found = Placement { machine: machine.id.clone(), attempt };
        let Some(placed) = work.placed.get(&task.index).cloned() else {
            work.placed.insert(task.index, found);
            return;
        };
        if exited {
            return;
        }
        // No attempt is started before all earlier ones are surely gone, so the heartbeat that shows the earlier
        // one is an old one. The later one goes on; the task is free only when neither is shown any more.
        tracing::info!(%task, %attempt, other = %placed.machine, theirs = %placed.attempt, "old heartbeat shows a duplicate attempt");
        let duplicate = if attempt > placed.attempt {
            work.placed.insert(task.index, found);
            placed
        } else {
            found
        };
        let (id, attempt) = (duplicate.machine.clone(), duplicate.attempt);
        let duplicate = DuplicateAttempt { task: task.index, placement: duplicate };
        work.duplicate_attempts.push(duplicate);
        if let Some(machine) = self.fleet.machines.get_mut(&id) {
            machine.request_stop(
                &(task, attempt),
                StopRequest { grace_s: 0.0, reason: "found twice" },
            );
        }
    }

    /// Frees a task whose attempt is gone, unless another attempt is still shown.
    pub(super) fn release(&mut self, task: &TaskId, attempt: Attempt, now: Instant) {
        if let Some(work) = self.jobs.progress.get_mut(&task.job) {
            work.duplicate_attempts.retain(|duplicate| {
                (duplicate.task, duplicate.placement.attempt) != (task.index, attempt)
            });
            let placed = work.placed.get(&task.index);
            let placed = placed.is_some_and(|placed| placed.attempt == attempt);
            if placed && !work.completing.contains(&task.index) {
                work.placed.remove(&task.index);
                let mut duplicates = work.duplicate_attempts.iter();
                match duplicates.position(|duplicate| duplicate.task == task.index) {
                    Some(at) => {
                        let duplicate = work.duplicate_attempts.swap_remove(at);
                        work.placed.insert(duplicate.task, duplicate.placement);
                    }
                    None => work.requeue(task.index, now),
                }
            }
        }
        self.planning_clock.pass_requested = true;
    }

    /// A task ended well or ran for a while: a job that seemed mistaken goes on at once.
    pub(super) fn record_success(&mut self, id: &JobId, now: Instant) {
        let Some(work) = self.jobs.progress.get_mut(id) else { return };
        if work.failures.record_success() {
            tracing::info!(job = %id, "job no longer suspected");
            work.reset_backoffs(now);
            self.planning_clock.pass_requested = true;
        }
    }

    /// Looks whether jobs that failed have tasks by now that ran for a while, and which machines
    /// failed jobs that do well elsewhere. A job that is done did, one cancelled tells nothing.
    pub(super) fn attribute_failures(
        &mut self,
        survey: &FleetSummary,
        cache: &Cache,
        now: Instant,
    ) {
        let ran = |placed: &Placement, job: &JobId, index: u32| {
            let machine = self.fleet.machines.get(&placed.machine)?;
            let key = (TaskId { job: job.clone(), index }, placed.attempt);
            let entry = machine.attempts.get(&key)?;
            (entry.state == TaskState::Running
                && now >= entry.running_since? + SUCCESS_AFTER_RUNNING)
                .then_some(())
        };
        let open = self.jobs.progress.iter().filter(|(_, work)| work.failures.is_undecided());
        let proven: Vec<JobId> = open
            .filter(|(id, work)| work.placed.iter().any(|(n, at)| ran(at, id, *n).is_some()))
            .map(|(id, _)| id.clone())
            .collect();
        for id in proven {
            self.record_success(&id, now);
        }
        if !survey.failing {
            return;
        }
        for machine in
            self.fleet.machines.values_mut().filter(|m| m.failed_jobs.len() >= MACHINE_FAULT_JOBS)
        {
            let sound = |id: &&JobId| match cache.jobs.get(id).map(|job| &job.body) {
                Some(JobBody::Finished { cancelled, .. }) => !cancelled,
                _ => self.jobs.progress.get(*id).is_some_and(|work| work.failures.has_succeeded()),
            };
            machine.faulty = machine.failed_jobs.iter().filter(sound).count() >= MACHINE_FAULT_JOBS;
        }
    }

    /// A spot machine that will be taken: what can save does, what cannot finish moves.
    pub(super) fn evacuate_reclaimed(&mut self, id: &MachineId, cache: &Cache, now: Instant) {
        let known_rest = self.settings.operator.estimates.drain;
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        let Some(at) = machine.reclaim_at else { return };
        let left = at.saturating_duration_since(now).as_secs_f64();
        let drained = |((task, _), entry): &(&TaskAttempt, &PlacedAttempt)| {
            if entry.stop.is_some() || entry.state == TaskState::Exited {
                return false;
            }
            let Some(live) = cache.jobs.get(&task.job).and_then(Job::live) else { return false };
            let ran = entry.running_since.map(|t| now.saturating_duration_since(t).as_secs_f64());
            let known = ran
                .filter(|_| known_rest)
                .and_then(|ran| self.runtime_predictor.remaining_s(&task.job, ran));
            let rest = known.unwrap_or(live.spec.expect_s - ran.unwrap_or(0.0));
            live.spec.kind != JobKind::Array || ran.is_none() || rest >= left - 1.0
        };
        let keys: Vec<_> =
            machine.attempts.iter().filter(drained).map(|(k, _)| k.clone()).collect();
        for key in keys {
            let stop = StopRequest { grace_s: (left - 1.0).max(0.0), reason: "spot notice" };
            machine.request_stop(&key, stop);
            self.statistics.stops += 1;
        }
    }
}
