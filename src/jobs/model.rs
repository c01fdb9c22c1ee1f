//! In-memory form of a job, live or finished.

use crate::ids::{Amount, JobId, Revision};
use crate::jobs::completed_chunks::ChunkRevisions;
use crate::jobs::task_set::TaskSet;
use crate::schema::records::{JobRecord, Layout, RECORD_TASKS, SpecChunks, TaskFootprint};
use crate::wire::{JobSpec, JobStatus};
use std::sync::Arc;

/// A job, live or finished.
#[derive(Debug, Clone)]
pub struct Job {
    /// Revision of its record in the store.
    pub rev: Revision,
    /// Wall-clock finish time in milliseconds; 0 if the record does not contain it.
    pub(super) finished_ms: u64,
    /// State that depends on whether the job is live or finished.
    pub body: JobBody,
}

/// State of a live or finished job.
#[derive(Debug, Clone)]
pub enum JobBody {
    /// Accepted and not finished.
    Live(Box<LiveJob>),
    /// Finished; only the number of completed tasks and any orphaned tasks are kept.
    Finished {
        /// True if the job was cancelled, false if it was completed.
        cancelled: bool,
        /// Number of completed tasks.
        completed_tasks: u64,
        /// Tasks that may still be on machines.
        orphaned_tasks: Option<Box<OrphanedTasks>>,
    },
}

/// Tasks of a finished job that may still be on machines.
#[derive(Debug, Clone)]
pub struct OrphanedTasks {
    /// Team whose limit the tasks count against.
    pub team: String,
    /// Resource request of one task.
    pub request: Amount,
    /// Maximum number of such tasks; `None` in records of older versions.
    pub tasks: Option<u64>,
    /// Wall-clock finish time in milliseconds; `None` in records of older versions.
    pub finished_ms: Option<u64>,
}

/// Final state of a job, which never changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalState {
    /// Either `Done` or `Cancelled`.
    pub status: JobStatus,
    /// Number of completed tasks.
    pub completed_tasks: u64,
}

/// A job that is accepted and not finished.
#[derive(Debug, Clone)]
pub struct LiveJob {
    /// Description that the job was submitted with.
    pub spec: Arc<JobSpec>,
    /// Wall-clock acceptance time in milliseconds.
    pub accepted_ms: u64,
    /// Resource request of one task.
    pub request: Amount,
    /// Number of dependencies that are not done yet.
    pub(super) unfinished_dependencies: u32,
    /// Latest wall-clock time at which a dependency was done, in milliseconds.
    pub(super) dependencies_done_ms: u64,
    /// Completed tasks: the union of what both storage layouts contain.
    pub(super) completed: TaskSet,
    /// Chunks of completed tasks that have keys of their own, beside the record.
    pub(super) completed_chunks: ChunkRevisions,
    /// Location of the description if it is not stored in the record.
    pub(super) spec_chunks: Option<SpecChunks>,
}

impl Job {
    /// Returns the wall-clock finish time in milliseconds, if the job is finished and its record contains it.
    pub fn finished_ms(&self) -> Option<u64> {
        (self.is_finished() && self.finished_ms > 0).then_some(self.finished_ms)
    }

    /// Returns the live job, or `None` if it is finished.
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

    /// Returns whether the job is done or cancelled.
    pub fn is_finished(&self) -> bool {
        self.final_state().is_some()
    }

    /// Returns the final state, if the job is finished.
    pub fn final_state(&self) -> Option<FinalState> {
        match self.body {
            JobBody::Live(_) => None,
            JobBody::Finished { cancelled, completed_tasks, .. } => {
                let status = if cancelled { JobStatus::Cancelled } else { JobStatus::Done };
                Some(FinalState { status, completed_tasks })
            }
        }
    }
}

impl LiveJob {
    /// Returns whether the task with this index is completed.
    pub fn is_completed(&self, task: u32) -> bool {
        self.completed.contains(task)
    }

    /// Returns the number of completed tasks.
    pub fn completed_count(&self) -> u64 {
        self.completed.len()
    }

    /// Returns the total number of tasks.
    pub fn tasks(&self) -> u32 {
        self.spec.tasks as u32
    }

    /// Returns the dependencies: jobs that must be done before a task of this job starts.
    pub fn depends_on(&self) -> &[JobId] {
        self.spec.depends_on.as_deref().unwrap_or_default()
    }

    /// Returns the number of dependencies that are not done yet.
    pub fn unfinished_dependencies(&self) -> u32 {
        self.unfinished_dependencies
    }

    /// Returns whether the job's tasks may run, that is, all dependencies are committed as done.
    pub fn is_ready(&self) -> bool {
        self.unfinished_dependencies == 0
    }

    /// Returns the wall-clock time in milliseconds from which the job's waiting time counts: its
    /// acceptance, or the time at which its last dependency was done if that is later.
    pub fn eligible_ms(&self) -> u64 {
        self.accepted_ms.max(self.dependencies_done_ms)
    }

    /// Returns the record with these completed tasks, or `None` if they must be stored in chunks.
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

    /// Returns the team and the resources of one task.
    pub(super) fn task_footprint(&self) -> TaskFootprint {
        TaskFootprint::from(&*self.spec)
    }
}
