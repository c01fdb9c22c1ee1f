//! In-memory state of jobs, and the transactions that accept, advance and finish them. The stored
//! form is defined in [`crate::schema::records`].

mod completed_chunks;
pub mod dag;
mod garbage;
mod model;
mod spec_chunks;
mod table;
mod task_set;
mod transitions;

pub use garbage::{GarbageWrite, OrphanedSpecChunk};
pub use model::{FinalState, Job, JobBody, LiveJob, OrphanedTasks};
pub use table::Jobs;
pub use task_set::TaskSet;
pub use transitions::{Acceptance, Completion, accept, cancel, complete};

#[cfg(test)]
pub(crate) mod fixtures;
#[cfg(test)]
mod tests;
