//! Starting tasks where a pass has placed them.
//!
//! Updates the jobs' progress, the machines' entries and the autoscaler's reservations. This is the
//! only module that starts tasks.

use super::PlanningDecision;
use crate::ids::{MachineId, TaskId, ZoneId};
use crate::jobs::Job;
use crate::placement::PlannedStart;
use crate::scheduler::Scheduler;
use crate::scheduler::job_progress::Placement;
use crate::scheduler::preemption::{UnplacedTasks, VictimCache};
use crate::store::Cache;
use crate::wire::{JobKind, Priority};
use crate::workers::machine::{AttemptSpec, PlacedAttempt};
use foldhash::HashMap;
use std::sync::Arc;
use tokio::time::Instant;

impl Scheduler {
    /// Starts the placed tasks. A production task is not started where it would wait too long for
    /// its image if tasks of lower priority can be preempted on a machine that has the image. Marks
    /// machines on which reservations were placed as reserved.
    pub(super) fn start_planned(
        &mut self,
        decision: &mut PlanningDecision,
        victims: &mut VictimCache,
        cache: &Cache,
        now: Instant,
    ) {
        self.autoscaler.reserved_machines.clear();
        for PlannedStart { request, bin } in &decision.placement.starts {
            let Some(Some(id)) = decision.machine_ids.get(bin.0) else { continue };
            let Some(tasks) = decision.tasks.get_mut(request.0) else {
                self.autoscaler.reserved_machines.insert(id.clone());
                continue;
            };
            let job = &tasks.job;
            let Some(machine) = self.fleet.machines.get(id) else { continue };
            let zone = ZoneId::new(machine.zone);
            if let Some(preemptor) = &mut tasks.preemptor {
                let lacks_image = !machine.image_ids.contains(&preemptor.image);
                if lacks_image
                    && self.fetch_is_late(job, id, cache)
                    && self.preempt_for_image(preemptor, victims, cache, now)
                {
                    // The task starts on the machine with its image once that capacity is free.
                    continue;
                }
                preemptor.zone_limits.consume(zone, 1);
            }
            let live = cache.jobs.get(job).and_then(Job::live);
            let priority = live.map(|live| self.effective_priority(job, live));
            if priority == Some(Priority::Low)
                && !self.start_pacer.low_priority_starts.has(1.0, now)
            {
                // The limit was checked per job, but hundreds of jobs may request one start each.
                self.planning_clock.pass_requested = true;
                continue;
            }
            let progress = self.jobs.progress.get_mut(job);
            let next = live
                .zip(progress)
                .and_then(|(live, progress)| progress.next_task_on(id, live, now));
            let Some(index) = next else { continue };
            tasks.remaining = tasks.remaining.saturating_sub(1);
            let task = TaskId { job: job.clone(), index };
            self.start(id, task, cache, now);
        }
    }

    /// Returns the tasks for which others may be preempted. Tasks that a booting machine can serve
    /// in time preempt nothing.
    pub(super) fn unplaced_tasks(&self, decision: &mut PlanningDecision) -> Vec<UnplacedTasks> {
        let booked = decision.placement.booked.iter();
        let booked: HashMap<usize, u32> =
            booked.map(|booked| (booked.request.0, booked.tasks)).collect();
        let mut unplaced = Vec::new();
        for (index, tasks) in decision.tasks.iter_mut().enumerate() {
            let Some(request) = tasks.preemptor.take() else { continue };
            let booting = if self.can_wait_for_boot(&request) {
                booked.get(&index).copied().unwrap_or(0)
            } else {
                0
            };
            unplaced
                .push(UnplacedTasks { count: tasks.remaining.saturating_sub(booting), request });
        }
        unplaced
    }

    fn start(&mut self, id: &MachineId, task: TaskId, cache: &Cache, now: Instant) {
        let Some(live) = cache.jobs.get(&task.job).and_then(Job::live) else { return };
        if !live.is_ready() {
            // Jobs that are not ready make no request; this check is the last safeguard against a
            // start that comes too early.
            tracing::error!(%task, "not started: dependencies are not met");
            return;
        }
        let team = self.team_of(&live.spec.team);
        let priority = self.effective_priority(&task.job, live);
        self.jobs.machines.record(&task.job, id, &self.fleet.machines);
        let (Some(machine), Some(progress)) =
            (self.fleet.machines.get_mut(id), self.jobs.progress.get_mut(&task.job))
        else {
            return;
        };
        // The tasks of a gang find each other by their attempt, which all tasks of a generation
        // share.
        let is_gang = live.spec.kind == JobKind::Gang;
        let gang_attempt = || progress.placed.values().map(|placed| placed.attempt).max();
        let attempt = match is_gang.then(gang_attempt).flatten() {
            Some(shared) => shared,
            None => self.term.create_attempt(),
        };
        tracing::debug!(machine = %id, %task, %attempt, "starting task");
        self.statistics.starts += 1;
        if priority == Priority::Low {
            self.start_pacer.low_priority_starts.take(1.0, now);
        }
        progress.placed.insert(task.index, Placement { machine: id.clone(), attempt });
        let image = Arc::from(live.spec.image.as_str());
        let entry =
            PlacedAttempt::new(AttemptSpec { request: live.request, team, priority, image }, now);
        machine.attempts.insert((task, attempt), entry);
        machine.invalidate_usage();
        machine.commands_due = true;
    }
}
