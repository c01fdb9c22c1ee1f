//! Chunks of completed tasks that are stored under keys of their own, beside a job's record.

use crate::ids::{JobId, Revision};
use crate::jobs::task_set::TaskSet;
use crate::schema::keys::{
    COMPLETED_CHUNK_PREFIX, LEGACY_COMPLETED_CHUNK_PREFIX, completed_chunk_key,
    legacy_completed_chunk_key,
};
use std::collections::BTreeMap;

/// Storage layout that a chunk belongs to (see [`crate::schema::records`]).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ChunkLayout {
    First,
    Second,
}

/// Identifies one chunk of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ChunkId {
    pub(super) layout: ChunkLayout,
    pub(super) number: u32,
}

/// Stored chunks of a job and the revisions of their keys.
pub(super) type ChunkRevisions = BTreeMap<ChunkId, Revision>;

/// A chunk that was read before its job's record, since pages are read in the order of keys.
#[derive(Debug)]
pub(super) struct EarlyChunk {
    pub(super) tasks: TaskSet,
    pub(super) revision: Revision,
}

/// All chunks of a job that were read before its record.
pub(super) type EarlyChunks = BTreeMap<ChunkId, EarlyChunk>;

/// Parsed key of a chunk.
#[derive(Debug)]
pub(super) struct ChunkKey {
    pub(super) job: JobId,
    pub(super) chunk: ChunkId,
}

impl ChunkId {
    pub(super) fn key(self, job: &JobId) -> String {
        match self.layout {
            ChunkLayout::First => legacy_completed_chunk_key(job, self.number),
            ChunkLayout::Second => completed_chunk_key(job, self.number),
        }
    }
}

impl ChunkKey {
    /// Returns whether the key has the prefix of a chunk of either layout.
    pub(super) fn matches(key: &str) -> bool {
        ChunkKey::split_prefix(key).is_some()
    }

    fn split_prefix(key: &str) -> Option<(ChunkLayout, &str)> {
        let first = key.strip_prefix(LEGACY_COMPLETED_CHUNK_PREFIX);
        let first = first.map(|name| (ChunkLayout::First, name));
        let second = || key.strip_prefix(COMPLETED_CHUNK_PREFIX);
        first.or_else(|| second().map(|name| (ChunkLayout::Second, name)))
    }

    pub(super) fn parse(key: &str) -> Option<ChunkKey> {
        let (layout, name) = ChunkKey::split_prefix(key)?;
        let (job, number) = name.rsplit_once('/')?;
        let number = number.parse().ok()?;
        Some(ChunkKey { job: JobId::new(job), chunk: ChunkId { layout, number } })
    }
}
