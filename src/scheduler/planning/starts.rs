//! Starting tasks where a pass has placed them.
//!
//! Changes the jobs' progress, the machines' entries and the autoscaler's reservations. This is
//! the only place that starts a task.

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
    /// Starts what was placed, but not where a high-priority task would wait for an image while
    /// tasks of lower priority can be preempted where the image is. Machines on which reservations
    /// were placed are kept.
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
                    // It starts where its image is, as soon as that room is free.
                    continue;
                }
                preemptor.zone_limits.consume(zone, 1);
            }
            let live = cache.jobs.get(job).and_then(Job::live);
            let priority = live.map(|live| self.urgency(job, live));
            if priority == Some(Priority::Low)
                && !self.start_pacer.low_priority_starts.has(1.0, now)
            {
                // Hundreds of jobs may request one start each.
                self.planning_clock.pass_requested = true;
                continue;
            }
            let progress = self.jobs.progress.get_mut(job);
            let next =
                live.zip(progress).and_then(|(live, progress)| progress.next_task(live, now));
            let Some(index) = next else { continue };
            tasks.remaining = tasks.remaining.saturating_sub(1);
            let task = TaskId { job: job.clone(), index };
            self.start(id, task, cache, now);
        }
    }

    /// Tasks for which others may be preempted. What a booting machine serves in time preempts
    /// nothing.
    pub(super) fn unplaced_tasks(&self, decision: &mut PlanningDecision) -> Vec<UnplacedTasks> {
        let booked = decision.placement.booked.iter();
        let booked: HashMap<usize, u32> =
            booked.map(|booked| (booked.request.0, booked.tasks)).collect();
        let mut unplaced = Vec::new();
        for (index, tasks) in decision.tasks.iter_mut().enumerate() {
            let Some(request) = tasks.preemptor.take() else { continue };
            let served = if self.can_wait_for_boot(&request) {
                booked.get(&index).copied().unwrap_or(0)
            } else {
                0
            };
            unplaced.push(UnplacedTasks { count: tasks.remaining.saturating_sub(served), request });
        }
        unplaced
    }

    fn start(&mut self, id: &MachineId, task: TaskId, cache: &Cache, now: Instant) {
        let Some(live) = cache.jobs.get(&task.job).and_then(Job::live) else { return };
        if !live.is_ready() {
            // No request is made for it; this is the last place that could start it too early.
            tracing::error!(%task, "not started: dependencies are not met");
            return;
        }
        let team = self.team_of(&live.spec.team);
        let priority = self.urgency(&task.job, live);
        self.jobs.machines.note(&task.job, id, &self.fleet.machines);
        let (Some(machine), Some(progress)) =
            (self.fleet.machines.get_mut(id), self.jobs.progress.get_mut(&task.job))
        else {
            return;
        };
        // The tasks of a gang find each other by a common attempt: each generation has one.
        let is_gang = live.spec.kind == JobKind::Gang;
        let shared = || progress.placed.values().map(|placed| placed.attempt).max();
        let attempt = match is_gang.then(shared).flatten() {
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
        let entry = PlacedAttempt::new(
            AttemptSpec { need: live.need, team, urgency: priority, image },
            now,
        );
        machine.attempts.insert((task, attempt), entry);
        machine.invalidate_usage();
        machine.commands_due = true;
    }
}
