//! Attribution of failures: to the machine or to the job.
//!
//! A faulty machine fails tasks of jobs that succeed elsewhere; a faulty job fails on every machine. So failures are
//! kept per job with the machines on which they happened, and count against a machine only once the job has succeeded
//! elsewhere. Until a job has, failures on several machines are attributed to it, and one task at a time is tried.

use crate::constants::{INITIAL_TASK_BACKOFF, MACHINE_FAULT_JOBS, MAX_TASK_BACKOFF};
use crate::ids::MachineId;
use std::time::Duration;
use tokio::time::Instant;

/// Count. Machines on which a job that never succeeded must fail before its failures are attributed to it: more
/// machines are rarely faulty at a time.
pub const JOB_FAULT_MACHINES: usize = 3;

/// The next trial of a job that fails everywhere.
#[derive(Debug, Clone, Copy)]
struct Trial {
    due: Instant,
    /// Pause after that trial.
    backoff: Duration,
}

/// What a job's failures and successes show.
#[derive(Debug, Default)]
pub struct FailureAttribution {
    /// Machines on which its tasks failed.
    failed_machines: Vec<MachineId>,
    /// A task of it ended well or ran for a while.
    has_succeeded: bool,
    /// Set while its failures are attributed to the job.
    trial: Option<Trial>,
}

impl FailureAttribution {
    /// A task of it failed on that machine.
    pub fn record_failure(&mut self, machine: &MachineId, now: Instant) {
        if !self.failed_machines.contains(machine) {
            self.failed_machines.push(machine.clone());
        }
        // A task that fails before the next trial is due was started before the last failure: it was no trial.
        if self.is_job_faulty() && self.trial.is_none_or(|trial| now >= trial.due) {
            let pause = self.trial.map_or(INITIAL_TASK_BACKOFF, |trial| trial.backoff);
            self.trial = Some(Trial { due: now + pause, backoff: MAX_TASK_BACKOFF.min(pause * 2) });
        }
    }

    /// A task of it succeeded. True if the job was held for faulty until now, so that its other tasks may start.
    pub fn record_success(&mut self) -> bool {
        let was_faulty = self.is_job_faulty();
        self.has_succeeded = true;
        self.trial = None;
        was_faulty
    }

    /// Whether it succeeds elsewhere, so that a failure is its machine's.
    pub fn has_succeeded(&self) -> bool {
        self.has_succeeded
    }

    /// Whether it has failed and not succeeded so far.
    pub fn is_undecided(&self) -> bool {
        !self.has_succeeded && !self.failed_machines.is_empty()
    }

    /// Whether its failures are attributed to the job.
    pub fn is_job_faulty(&self) -> bool {
        !self.has_succeeded && self.failed_machines.len() >= JOB_FAULT_MACHINES
    }

    /// How many tasks may be started while `placed` are: any number, or one at a time of a job that fails everywhere.
    /// As an error, when the next trial is due, if none is under way.
    pub fn allowed_starts(&self, placed: usize, now: Instant) -> Result<usize, Option<Instant>> {
        match self.trial {
            None => Ok(usize::MAX),
            Some(_) if placed > 0 => Err(None),
            Some(trial) if now < trial.due => Err(Some(trial.due)),
            Some(_) => Ok(1),
        }
    }

    /// Machines on which its tasks failed.
    pub fn failed_machines(&self) -> &[MachineId] {
        &self.failed_machines
    }

    /// Machines that its tasks avoid: none if they would have to avoid too many.
    pub fn avoided_machines(&self) -> &[MachineId] {
        if self.failed_machines.len() > MACHINE_FAULT_JOBS { &[] } else { &self.failed_machines }
    }
}

#[cfg(test)]
mod tests;
