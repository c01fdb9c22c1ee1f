//! Keys under which a machine's attempts are stored.

use crate::ids::{Attempt, JobId, TaskId};
use std::ops::RangeInclusive;

/// A task and an attempt at it.
pub(super) type TaskAttempt = (TaskId, Attempt);

/// Returns the key range of all attempts at all tasks of a job.
pub(super) fn attempts_of(id: &JobId) -> RangeInclusive<TaskAttempt> {
    let at = |index: u32, attempt: u64| (TaskId { job: id.clone(), index }, Attempt(attempt));
    at(0, 0)..=at(u32::MAX, u64::MAX)
}
