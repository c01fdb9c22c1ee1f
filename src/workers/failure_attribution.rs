//! Whose fault a failure is: the machine's or the job's.
//!
//! A faulty machine fails tasks of jobs that do well elsewhere; a job submitted with a mistake
//! fails on every machine. So failures are kept per job with the machines they happened on, and
//! count against a machine only once the job has done well somewhere else. Until a job has, failures
//! on several machines are taken for its own, and one task at a time is tried.

use crate::constants::{FAULTY_JOBS, RETRY_FIRST, RETRY_MOST};
use crate::ids::MachineId;
use std::time::Duration;
use tokio::time::Instant;

/// Count. Machines on which a job fails, without having done well anywhere, before the failures
/// are taken for its own: two faulty machines at a time are rare enough.
pub const MISTAKEN_MACHINES: usize = 3;

/// What a job's failures and successes show.
#[derive(Debug, Default)]
pub struct FailureAttribution {
    /// Machines on which its tasks failed.
    pub failed_on: Vec<MachineId>,
    /// A task of it ended well or ran for a while.
    sound: bool,
    /// When the next trial of a job that fails everywhere is due, and the pause after that one.
    trial: Option<(Instant, Duration)>,
}

impl FailureAttribution {
    pub fn failed(&mut self, on: &MachineId, now: Instant) {
        if !self.failed_on.contains(on) {
            self.failed_on.push(on.clone());
        }
        if self.mistaken() {
            let pause = match self.trial {
                // Tasks that were started before the verdict fail after it; they are no trials.
                Some((at, pause)) if now < at => return self.trial = Some((at, pause)),
                Some((_, pause)) => pause,
                None => RETRY_FIRST,
            };
            self.trial = Some((now + pause, RETRY_MOST.min(pause * 2)));
        }
    }

    /// A task did well. True if that lifts a doubt: its other tasks need wait no longer.
    pub fn did_well(&mut self) -> bool {
        let doubted = self.mistaken();
        self.sound = true;
        self.trial = None;
        doubted
    }

    /// Whether it does well elsewhere, so that a failure is its machine's.
    pub fn sound(&self) -> bool {
        self.sound
    }

    /// Whether it is worth asking if one of its tasks has run for a while.
    pub fn open(&self) -> bool {
        !self.sound && !self.failed_on.is_empty()
    }

    pub fn mistaken(&self) -> bool {
        !self.sound && self.failed_on.len() >= MISTAKEN_MACHINES
    }

    /// How many tasks may be started while `placed` are: all of them, or one now and then of a
    /// job that fails everywhere. Otherwise, when to ask again.
    pub fn allows(&self, placed: usize, now: Instant) -> Result<usize, Option<Instant>> {
        match self.trial {
            None => Ok(usize::MAX),
            Some(_) if placed > 0 => Err(None),
            Some((at, _)) if now < at => Err(Some(at)),
            Some(_) => Ok(1),
        }
    }

    /// Machines that its tasks avoid, unless they would have to avoid too many.
    pub fn avoided(&self) -> &[MachineId] {
        if self.failed_on.len() > FAULTY_JOBS { &[] } else { &self.failed_on }
    }
}

#[cfg(test)]
mod tests;
