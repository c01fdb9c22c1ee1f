//! Attribution of task failures to the machine or to the job.
//!
//! A job that fails on a faulty machine succeeds elsewhere; a faulty job fails on every machine. Failures are therefore
//! recorded per job with the machines on which they occurred, and count against a machine only once the job has
//! succeeded elsewhere. Until then, failures on several machines are attributed to the job, and its tasks are tried one
//! at a time.
//!
//! A failure keeps the job off the machine for a bounded time. From then on the machine is its last resort, where one
//! task at a time is tried; when that task succeeds, the failure is forgotten.

use crate::constants::{INITIAL_TASK_BACKOFF, MACHINE_FAULT_JOBS, MAX_TASK_BACKOFF};
use crate::ids::MachineId;
use crate::placement::PreemptionPolicy;
use std::time::Duration;
use tokio::time::Instant;

/// Number of machines on which a job that never succeeded must fail before its failures are attributed to the
/// job: more machines are rarely faulty at the same time.
pub const JOB_FAULT_MACHINES: usize = 3;

/// Time after a failure during which the job's tasks stay off the machine. It leaves time to find another one.
pub const MACHINE_AVOIDANCE: Duration = MAX_TASK_BACKOFF;

/// Time for which a due trial waits for free capacity on existing machines before machines may be rented for it.
pub const TRIAL_RENTAL_DELAY: Duration = MAX_TASK_BACKOFF;

/// The last failure of a job's tasks on a machine.
#[derive(Debug, Clone)]
pub struct MachineFailure {
    /// The machine.
    pub machine: MachineId,
    /// Time at which the last failure was reported.
    pub failed_at: Instant,
}

impl MachineFailure {
    /// Returns whether the job's tasks still stay off the machine, rather than use it as a last resort.
    pub fn is_avoided(&self, now: Instant) -> bool {
        now < self.failed_at + MACHINE_AVOIDANCE
    }
}

/// Next trial of a job that fails everywhere.
#[derive(Debug, Clone, Copy)]
struct Trial {
    due: Instant,
    /// Pause after that trial, if it fails.
    backoff: Duration,
}

/// Failures and successes of one job.
#[derive(Debug, Default)]
pub struct FailureAttribution {
    /// Machines on which its tasks failed and none that was placed later succeeded.
    machine_failures: Vec<MachineFailure>,
    /// True if one of its tasks completed, or ran for a while after another one had failed.
    has_succeeded: bool,
    /// True if one of its tasks ran for a while before it failed.
    ran_before_failure: bool,
    /// Next trial; set while its failures are attributed to the job.
    trial: Option<Trial>,
}

impl FailureAttribution {
    /// Records that one of its tasks failed on a machine.
    pub fn record_failure(&mut self, machine: &MachineId, now: Instant) {
        match self.machine_failures.iter_mut().find(|known| known.machine == *machine) {
            Some(known) => known.failed_at = now,
            None => self
                .machine_failures
                .push(MachineFailure { machine: machine.clone(), failed_at: now }),
        }
        // A task that fails before the next trial is due was started before the last failure: it is not a trial.
        if self.is_job_faulty() && self.trial.is_none_or(|trial| now >= trial.due) {
            let pause = self.trial.map_or(INITIAL_TASK_BACKOFF, |trial| trial.backoff);
            self.trial = Some(Trial { due: now + pause, backoff: MAX_TASK_BACKOFF.min(pause * 2) });
        }
    }

    /// Records that one of its tasks succeeded. Returns true if the job was considered faulty until now, so that its
    /// other tasks may start.
    pub fn record_success(&mut self) -> bool {
        let was_faulty = self.is_job_faulty();
        self.has_succeeded = true;
        self.trial = None;
        was_faulty
    }

    /// Forgets the failures that tasks which were placed later have refuted. They no longer keep the job off their
    /// machines.
    pub fn forget_failures_if(&mut self, is_refuted: impl Fn(&MachineFailure) -> bool) {
        self.machine_failures.retain(|failure| !is_refuted(failure));
    }

    /// Returns whether one of its tasks has succeeded, so that a failure is attributed to the machine.
    pub fn has_succeeded(&self) -> bool {
        self.has_succeeded
    }

    /// Returns whether its tasks have failed and none has succeeded so far.
    pub fn is_undecided(&self) -> bool {
        !self.has_succeeded && !self.machine_failures.is_empty()
    }

    /// Returns whether its failures are attributed to the job.
    pub fn is_job_faulty(&self) -> bool {
        !self.has_succeeded && self.machine_failures.len() >= JOB_FAULT_MACHINES
    }

    /// Returns the number of tasks that may start while `placed` others are placed: any number, or one at a time for a
    /// job that fails everywhere. The error is the time of the next trial, or `None` while a trial is in progress.
    pub fn allowed_starts(&self, placed: usize, now: Instant) -> Result<usize, Option<Instant>> {
        match self.trial {
            None => Ok(usize::MAX),
            Some(_) if placed > 0 => Err(None),
            Some(trial) if now < trial.due => Err(Some(trial.due)),
            Some(_) => Ok(1),
        }
    }

    /// Returns whether machines may be rented for its tasks: always, unless its failures are attributed to the job. Then
    /// only if its next trial has been due for [`TRIAL_RENTAL_DELAY`].
    pub fn may_rent(&self, now: Instant) -> bool {
        self.trial.is_none_or(|trial| now >= trial.due + TRIAL_RENTAL_DELAY)
    }

    /// Records that one of its tasks ran for a while before it failed, unlike those of a faulty job.
    pub fn record_run_before_failure(&mut self) {
        self.ran_before_failure = true;
    }

    /// Returns where others may be preempted for its tasks. A job whose failures are attributed to itself preempts
    /// nothing, and one of which no task has done well yet preempts nothing where one of them failed.
    pub fn preemption_policy(&self) -> PreemptionPolicy {
        if self.is_job_faulty() {
            PreemptionPolicy::Nowhere
        } else if self.has_succeeded || self.ran_before_failure {
            PreemptionPolicy::Anywhere
        } else {
            PreemptionPolicy::NotOnLastResort
        }
    }

    /// Returns the machines on which its tasks failed and none that was placed later succeeded.
    pub fn machine_failures(&self) -> &[MachineFailure] {
        &self.machine_failures
    }

    /// Returns whether its tasks avoid a machine or use it as a last resort.
    pub fn suspects(&self, machine: &MachineId) -> bool {
        self.suspected_machines().iter().any(|failure| failure.machine == *machine)
    }

    /// Returns whether its tasks stay off a machine for now.
    pub fn avoids(&self, machine: &MachineId, now: Instant) -> bool {
        let mut suspected = self.suspected_machines().iter();
        suspected.any(|failure| failure.machine == *machine && failure.is_avoided(now))
    }

    /// Returns the machines that its tasks avoid or use as a last resort: those on which they failed, or none above
    /// [`MACHINE_FAULT_JOBS`].
    pub fn suspected_machines(&self) -> &[MachineFailure] {
        if self.machine_failures.len() > MACHINE_FAULT_JOBS { &[] } else { &self.machine_failures }
    }
}

#[cfg(test)]
mod tests;
