//! Attribution of task failures to the machine or to the job.
//!
//! A job that fails on a faulty machine succeeds elsewhere; a faulty job fails on every machine. Failures are therefore
//! recorded per job with the machines on which they occurred, and count against a machine only once the job has
//! succeeded elsewhere. Until then, failures on several machines are attributed to the job, and its tasks are tried one
//! at a time.

use crate::constants::{INITIAL_TASK_BACKOFF, MACHINE_FAULT_JOBS, MAX_TASK_BACKOFF};
use crate::ids::MachineId;
use std::time::Duration;
use tokio::time::Instant;

/// Number of machines on which a job that never succeeded must fail before its failures are attributed to the
/// job: more machines are rarely faulty at the same time.
pub const JOB_FAULT_MACHINES: usize = 3;

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
    /// Machines on which its tasks failed.
    failed_machines: Vec<MachineId>,
    /// True if one of its tasks completed, or ran for a while.
    has_succeeded: bool,
    /// Next trial; set while its failures are attributed to the job.
    trial: Option<Trial>,
}

impl FailureAttribution {
    /// Records that one of its tasks failed on a machine.
    pub fn record_failure(&mut self, machine: &MachineId, now: Instant) {
        if !self.failed_machines.contains(machine) {
            self.failed_machines.push(machine.clone());
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

    /// Returns whether one of its tasks has succeeded, so that a failure is attributed to the machine.
    pub fn has_succeeded(&self) -> bool {
        self.has_succeeded
    }

    /// Returns whether its tasks have failed and none has succeeded so far.
    pub fn is_undecided(&self) -> bool {
        !self.has_succeeded && !self.failed_machines.is_empty()
    }

    /// Returns whether its failures are attributed to the job.
    pub fn is_job_faulty(&self) -> bool {
        !self.has_succeeded && self.failed_machines.len() >= JOB_FAULT_MACHINES
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

    /// Returns the machines on which its tasks failed.
    pub fn failed_machines(&self) -> &[MachineId] {
        &self.failed_machines
    }

    /// Returns the machines that its tasks avoid: those on which they failed, or none above [`MACHINE_FAULT_JOBS`].
    pub fn avoided_machines(&self) -> &[MachineId] {
        if self.failed_machines.len() > MACHINE_FAULT_JOBS { &[] } else { &self.failed_machines }
    }
}

#[cfg(test)]
mod tests;
