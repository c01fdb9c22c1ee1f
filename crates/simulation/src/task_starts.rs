//! Starts of tasks on simulated workers, and checks of the rules on them.

use crate::config::{CANCEL_MS, TEAMS, ZONES};
use crate::model::RunningTask;
use crate::world::World;
use rand::Rng;
use troutspindle::ids::{Attempt, MachineId, TaskId};
use troutspindle::wire::{JobKind, JobSpec, TaskState};

impl World {
    /// Starts a task on a worker and checks the rules on placement, dependencies, quotas and duplicates.
    pub fn start(&mut self, id: &MachineId, task: TaskId, attempt: Attempt) {
        let number: u64 = task.job.as_str()[3..].parse().unwrap();
        let Some(job) = self.jobs.get(&number) else {
            return self.record_violation(format!("{task} belongs to no job"));
        };
        let fails = job.always_fails || job.first_attempts_fail && !self.failed.contains(&task);
        let spec = job.spec.clone();
        let now_ms = self.now_ms;
        let factor = if self.slow_machines { 3 } else { 1 };
        // Tasks with an expected run time over a minute outlast the simulation.
        let is_long_running = self.long_tasks || spec.expect_s > 60.0;
        let run_ms = self.random.random_range(2000..9000) * factor;
        let worker = self.workers.get_mut(id).unwrap();
        if worker.tasks.get(&task).is_some_and(|r| r.attempt == attempt) {
            return;
        }
        if worker.tasks.get(&task).is_some_and(|r| r.state != TaskState::Exited) {
            return;
        }
        let is_cached = worker.images.contains(&spec.image);
        worker.images.push(spec.image.clone());
        let ready_at = if is_cached { now_ms } else { now_ms + 1500 };
        let is_finished = self.finished.contains_key(&task);
        let ends_at = (spec.kind == JobKind::Array && !is_long_running).then_some(if is_finished {
            ready_at
        } else {
            ready_at + run_ms
        });
        worker.tasks.insert(
            task.clone(),
            RunningTask {
                attempt,
                state: TaskState::Fetching,
                exit_cause: None,
                ready_at,
                ends_at,
            },
        );
        if fails {
            self.failed.insert(task.clone());
            self.targeted_faults.record_effect("failed tasks");
            let running = worker.tasks.get_mut(&task).unwrap();
            (running.state, running.exit_cause) = (TaskState::Exited, Some("error".into()));
        }
        worker.changed = true;
        self.starts += 1;
        self.check_start(id, &task, &spec);
    }

    /// Checks the rules on placement, dependencies, quotas and duplicates after a task has started.
    fn check_start(&mut self, id: &MachineId, task: &TaskId, spec: &JobSpec) {
        for dependency in spec.depends_on.iter().flatten() {
            let tasks = self.jobs[&Self::job_number(dependency)].spec.tasks as u32;
            let done =
                |index| self.finished.contains_key(&TaskId { job: dependency.clone(), index });
            if !(0..tasks).all(done) {
                self.record_violation(format!("too_early: {task} before {dependency}"));
            }
        }
        let worker = self.workers.get_mut(id).unwrap();
        let (zone, spot) = (worker.zone, worker.spot);
        let confirmed = self.jobs[&Self::job_number(&task.job)].cancellation_confirmed_ms;
        if confirmed.is_some_and(|at| self.now_ms > at + CANCEL_MS) {
            self.record_violation(format!("ran_cancelled: {task}"));
        }
        if spot && !spec.spot {
            self.record_violation(format!("wrong_place: {task} on spot"));
        }
        let team = spec.team.clone();
        let mut cpus = 0.0;
        let mut same_zone = 0;
        let mut elsewhere = Vec::new();
        for (other, worker) in &self.workers {
            for (running, state) in &worker.tasks {
                if state.state == TaskState::Exited {
                    continue;
                }
                let number: u64 = running.job.as_str()[3..].parse().unwrap();
                let other_spec = &self.jobs[&number].spec;
                cpus += if other_spec.team == team { other_spec.cpus } else { 0.0 };
                same_zone += u64::from(running.job == task.job && worker.zone == zone);
                if running == task && other != id {
                    elsewhere.push(other.clone());
                }
            }
        }
        if !elsewhere.is_empty() {
            self.record_violation(format!("ran_twice: {task} on {id} and {elsewhere:?}"));
        }
        let limit = TEAMS.iter().find(|(name, ..)| *name == team).map_or(0.0, |team| team.2);
        if cpus > limit {
            self.record_violation(format!("quota: {team} uses {cpus} of {limit}, by {task}"));
        }
        if spec.zone.as_ref().is_some_and(|zone_name| *zone_name != ZONES[zone]) {
            self.record_violation(format!("wrong_place: {task} in zone {}", ZONES[zone]));
        }
        if spec.spread && same_zone > spec.tasks.div_ceil(2) {
            self.record_violation(format!("wrong_place: {same_zone} of {} in a zone", spec.tasks));
        }
    }
}
