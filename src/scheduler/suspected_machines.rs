//! Machines on which tasks of a job failed: how long the job avoids them, and what clears them.
//!
//! A suspected machine is avoided for a bounded time. Then it is the job's last resort, on which one task at a time is
//! placed. The suspicion ends when a task that was placed there after the failure succeeds.

use crate::ids::{JobId, MachineId};
use crate::placement::PlacementRequest;
use crate::scheduler::Scheduler;
use crate::scheduler::reconciliation::SUCCESS_AFTER_RUNNING;
use crate::scheduler::task_attempt::{TaskAttempt, attempts_of};
use crate::wire::TaskState;
use crate::workers::failure_attribution::FailureAttribution;
use crate::workers::machine::{Machine, PlacedAttempt};
use tokio::time::Instant;

impl Scheduler {
    /// Excludes the machines that a job avoids, and those on which a task that was placed after the last failure has
    /// not succeeded yet. The other suspected machines are the request's last resort.
    pub(super) fn exclude_suspected_machines(
        &self,
        request: &mut PlacementRequest,
        job: &JobId,
        failures: &FailureAttribution,
        now: Instant,
    ) {
        for failure in failures.suspected_machines() {
            let Some(machine) = self.fleet.machines.get(&failure.machine) else { continue };
            let is_tried = |(_, attempt): (&TaskAttempt, &PlacedAttempt)| {
                attempt.placed_at > failure.failed_at && attempt.state != TaskState::Exited
            };
            if failure.is_avoided(now) || machine.attempts.range(attempts_of(job)).any(is_tried) {
                request.excluded_machines.push(machine.index);
            } else {
                request.last_resort_machines.push(machine.index);
            }
        }
        request.last_resort_machines.sort_unstable();
    }

    /// Ends the suspicion of machines on which tasks that were placed after the last failure have run for
    /// [`SUCCESS_AFTER_RUNNING`].
    pub(super) fn forget_refuted_failures(&mut self, now: Instant) {
        let machines = &self.fleet.machines;
        for (job, progress) in &mut self.jobs.progress {
            progress.failures.forget_failures_if(|failure| {
                machines.get(&failure.machine).is_some_and(|machine| {
                    let mut attempts = machine.attempts.range(attempts_of(job));
                    attempts.any(|(_, attempt)| {
                        attempt.placed_at > failure.failed_at
                            && attempt.is_running_for(SUCCESS_AFTER_RUNNING, now)
                    })
                })
            });
        }
    }

    /// Ends the suspicions that an attempt's completion on a machine refutes: its job's, if the attempt was placed after
    /// the last failure there, and that the machine is faulty, if it was placed as a trial.
    pub(super) fn record_success_on(&mut self, machine: &MachineId, attempt: &TaskAttempt) {
        let Some(machine) = self.fleet.machines.get_mut(machine) else { return };
        let Some(entry) = machine.attempts.get(attempt) else { return };
        let placed_at = entry.placed_at;
        if machine.faulty && machine.is_trial(entry) {
            clear_faults(machine);
        }
        if let Some(progress) = self.jobs.progress.get_mut(&attempt.0.job) {
            progress.failures.forget_failures_if(|failure| {
                failure.machine == machine.id && placed_at > failure.failed_at
            });
        }
    }

    /// Ends the suspicion of faulty machines on which a task that was placed as a trial has run for
    /// [`SUCCESS_AFTER_RUNNING`].
    pub(super) fn clear_refuted_machines(&mut self, now: Instant) {
        let machines = self.fleet.machines.values_mut().filter(|machine| machine.faulty);
        for machine in machines {
            if machine.has_trial_run_for(SUCCESS_AFTER_RUNNING, now) {
                clear_faults(machine);
            }
        }
    }
}

fn clear_faults(machine: &mut Machine) {
    tracing::info!(machine = %machine.id, "machine no longer suspected");
    machine.clear_faults();
}
