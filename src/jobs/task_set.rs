//! A set of a job's tasks.

use crate::wire;

/// A bitmap of task indices that knows how many there are.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskSet {
    /// Eight indices to a byte, the least in its lowest bit.
    bytes: Vec<u8>,
    len: u64,
}

impl TaskSet {
    /// Whether a task is in it.
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

    /// How many tasks are in it.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether no task is in it.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn end(&self) -> u32 {
        self.bytes.len() as u32 * 8
    }

    /// The tasks, in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = u32> {
        (0..self.end()).filter(|task| self.contains(*task))
    }

    /// Adds the tasks of a chunk whose first task has the index `first`; tasks from `end` on are
    /// not the job's and are left out.
    pub(super) fn insert_chunk(&mut self, chunk: &TaskSet, first: u32, end: u32) {
        for task in chunk.iter() {
            if let Some(task) = first.checked_add(task).filter(|task| *task < end) {
                self.insert(task);
            }
        }
    }

    /// The chunk of `len` tasks from `first` on.
    pub(super) fn chunk(&self, first: u32, len: u32) -> TaskSet {
        let mut chunk = TaskSet::default();
        let end = first.saturating_add(len).min(self.end());
        for task in (first..end).filter(|task| self.contains(*task)) {
            chunk.insert(task - first);
        }
        chunk
    }

    /// Its bytes in hexadecimal.
    pub(super) fn to_hex(&self) -> String {
        wire::hex(&self.bytes)
    }

    /// The set of which this is the hexadecimal form.
    pub(super) fn from_hex(text: &str) -> Option<TaskSet> {
        let bytes = wire::unhex(text)?;
        let len = bytes.iter().map(|byte| u64::from(byte.count_ones())).sum();
        Some(TaskSet { bytes, len })
    }
}
