//! A job as this process knows it.

use crate::ids::{Amount, JobId, Revision};
use crate::jobs::completed_chunks::ChunkRevisions;
use crate::jobs::task_set::TaskSet;
use crate::schema::records::{JobRecord, Layout, RECORD_TASKS, SpecChunks, TaskFootprint};
use crate::wire::{JobSpec, JobStatus};
use std::sync::Arc;

/// A job, live or finished.
#[derive(Debug, Clone)]
pub struct Job {
    /// The revision of its record.
    pub rev: Revision,
    /// When it ended, in milliseconds of the time of day; 0 if its record doesn't say.
    pub(super) ended_ms: u64,
    /// What is known of it.
    pub body: JobBody,
}

/// What is known of a job.
#[derive(Debug, Clone)]
pub enum JobBody {
    /// It is accepted, and not finished.
    Live(Box<LiveJob>),
    /// It is finished: little but the count of its completed tasks is left.
    Finished {
        /// Whether it was cancelled.
        cancelled: bool,
        /// Its completed tasks.
        done: u64,
        /// What may still be on machines.
        orphaned_tasks: Option<Box<OrphanedTasks>>,
    },
}

/// What may still be on machines of a job that is finished.
#[derive(Debug, Clone)]
pub struct OrphanedTasks {
    /// The team whose limit they count against.
    pub team: String,
    /// What one of them requests.
    pub need: Amount,
    /// How many at most. Older versions don't say.
    pub tasks: Option<u64>,
    /// The time of day in milliseconds when the job ended. Older versions don't say.
    pub ended_ms: Option<u64>,
}

/// The final state of a job, which never changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalState {
    /// Done or cancelled.
    pub status: JobStatus,
    /// Its completed tasks.
    pub completed_tasks: u64,
}

/// A live job.
#[derive(Debug, Clone)]
pub struct LiveJob {
    /// Its description.
    pub spec: Arc<JobSpec>,
    /// When it was accepted, in milliseconds of the time of day.
    pub accepted_ms: u64,
    /// What a task of it requests.
    pub need: Amount,
    /// Of the jobs that it depends on, how many are not done yet.
    pub(super) unfinished_dependencies: u32,
    /// When the last of those was done, in milliseconds of the time of day.
    pub(super) dependencies_done_ms: u64,
    /// What either layout says is completed.
    pub(super) completed: TaskSet,
    /// Chunks of completed tasks beside its record.
    pub(super) completed_chunks: ChunkRevisions,
    /// Where its description is stored, if that is not in its record.
    pub(super) spec_chunks: Option<SpecChunks>,
}

impl Job {
    /// The time of day in milliseconds when it ended, if it did and its record says so.
    pub fn ended_ms(&self) -> Option<u64> {
        (self.is_finished() && self.ended_ms > 0).then_some(self.ended_ms)
    }

    /// The live job, unless it is finished.
    pub fn live(&self) -> Option<&LiveJob> {
        match &self.body {
            JobBody::Live(live) => Some(live),
            JobBody::Finished { .. } => None,
        }
    }

    pub(super) fn live_mut(&mut self) -> Option<&mut LiveJob> {
        match &mut self.body {
            JobBody::Live(live) => Some(live),
            JobBody::Finished { .. } => None,
        }
    }

    /// Whether it is done or cancelled.
    pub fn is_finished(&self) -> bool {
        self.final_state().is_some()
    }

    /// Its final state, if it is finished.
    pub fn final_state(&self) -> Option<FinalState> {
        match self.body {
            JobBody::Live(_) => None,
            JobBody::Finished { cancelled, done: completed_tasks, .. } => {
                let status = if cancelled { JobStatus::Cancelled } else { JobStatus::Done };
                Some(FinalState { status, completed_tasks })
            }
        }
    }
}

impl LiveJob {
    /// Whether a task is completed.
    pub fn is_completed(&self, task: u32) -> bool {
        self.completed.contains(task)
    }

    /// How many tasks are completed.
    pub fn completed_count(&self) -> u64 {
        self.completed.len()
    }

    /// How many tasks it has.
    pub fn tasks(&self) -> u32 {
        self.spec.tasks as u32
    }

    /// The jobs that must be done before a task of this one starts.
    pub fn depends_on(&self) -> &[JobId] {
        self.spec.depends_on.as_deref().unwrap_or_default()
    }

    /// Of those, how many are not done yet.
    pub fn unfinished_dependencies(&self) -> u32 {
        self.unfinished_dependencies
    }

    /// Whether its tasks may run: all that it depends on is committed as done.
    pub fn is_ready(&self) -> bool {
        self.unfinished_dependencies == 0
    }

    /// From when its times count, in milliseconds of the time of day: its acceptance, or when the
    /// last job that it depends on was done.
    pub fn eligible_ms(&self) -> u64 {
        self.accepted_ms.max(self.dependencies_done_ms)
    }

    /// Its record with these completed tasks, if that is where they may be stored.
    pub(super) fn record_with(&self, completed: &TaskSet, layout: &Layout) -> Option<JobRecord> {
        if !layout.is_second() {
            return Some(self.record(completed.chunk(0, layout.legacy_chunk_tasks).to_hex()));
        }
        if self.spec.tasks > RECORD_TASKS || self.spec_chunks.is_some() {
            return None;
        }
        let record = self.record(completed.to_hex());
        layout.fits(&record).then_some(record)
    }

    fn record(&self, completed: String) -> JobRecord {
        let spec = self.spec_chunks.is_none().then(|| self.spec.clone());
        let spec_chunks = self.spec_chunks.clone();
        JobRecord { completed, spec_chunks, ..JobRecord::live(self.accepted_ms, spec) }
    }

    /// What a task of it takes.
    pub(super) fn task_footprint(&self) -> TaskFootprint {
        TaskFootprint::from(&*self.spec)
    }
}
