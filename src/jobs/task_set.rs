//! Set of task indices of a job.

use crate::wire;

/// A bitmap of task indices with a cached count.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskSet {
    /// Eight indices per byte; the lowest index is in the least significant bit.
    bytes: Vec<u8>,
    len: u64,
}

impl TaskSet {
    /// Returns whether the set contains a task.
    pub fn contains(&self, task: u32) -> bool {
        self.bytes.get(task as usize / 8).is_some_and(|byte| byte & (1 << (task % 8)) != 0)
    }

    /// Adds a task.
    pub fn insert(&mut self, task: u32) {
        let index = task as usize / 8;
        if self.bytes.len() <= index {
            self.bytes.resize(index + 1, 0);
        }
        let bit = 1 << (task % 8);
        self.len += u64::from(self.bytes[index] & bit == 0);
        self.bytes[index] |= bit;
    }

    /// Returns the number of tasks in the set.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Returns whether the set contains no task.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn end(&self) -> u32 {
        self.bytes.len() as u32 * 8
    }

    /// Returns the tasks in ascending order.
    pub(super) fn iter(&self) -> impl Iterator<Item = u32> {
        (0..self.end()).filter(|task| self.contains(*task))
    }

    /// Adds the tasks of a chunk whose first task has the index `first`. Indices of `end` and above
    /// do not belong to the job and are ignored.
    pub(super) fn insert_chunk(&mut self, chunk: &TaskSet, first: u32, end: u32) {
        for task in chunk.iter() {
            if let Some(task) = first.checked_add(task).filter(|task| *task < end) {
                self.insert(task);
            }
        }
    }

    /// Returns the chunk of `len` tasks from the index `first`, with indices relative to `first`.
    pub(super) fn chunk(&self, first: u32, len: u32) -> TaskSet {
        let mut chunk = TaskSet::default();
        let end = first.saturating_add(len).min(self.end());
        for task in (first..end).filter(|task| self.contains(*task)) {
            chunk.insert(task - first);
        }
        chunk
    }

    /// Returns the bitmap in hexadecimal.
    pub(super) fn to_hex(&self) -> String {
        wire::hex(&self.bytes)
    }

    /// Parses the hexadecimal form; returns `None` if it is malformed.
    pub(super) fn from_hex(text: &str) -> Option<TaskSet> {
        let bytes = wire::unhex(text)?;
        let len = bytes.iter().map(|byte| u64::from(byte.count_ones())).sum();
        Some(TaskSet { bytes, len })
    }
}
