//! Keys that nothing needs any more.

use crate::ids::{JobId, Revision};
use crate::wire::Write;
use std::collections::BTreeMap;

/// A write that collects garbage, and the revision that its key must still have.
#[derive(Debug)]
pub struct GarbageWrite {
    /// The removal, or the end of a job that is cancelled by a dependency.
    pub write: Write,
    /// The revision of its key.
    pub revision: Revision,
}

/// A chunk of a description whose job was never accepted, though its submission has begun.
#[derive(Debug)]
pub struct OrphanedSpecChunk {
    /// The job.
    pub job: JobId,
    /// The chunk's key.
    pub key: String,
    /// The revision of its key.
    pub revision: Revision,
}

/// Keys that finished jobs have beside their records, with their revisions.
#[derive(Debug, Default)]
pub(super) struct Garbage {
    keys: BTreeMap<String, Revision>,
}

impl Garbage {
    pub(super) fn add(&mut self, key: String, revision: Revision) {
        self.keys.insert(key, revision);
    }

    pub(super) fn remove(&mut self, key: &str) {
        self.keys.remove(key);
    }

    /// Their removals.
    pub(super) fn writes(&self) -> impl Iterator<Item = GarbageWrite> {
        self.keys.iter().map(|(key, revision)| GarbageWrite {
            write: Write::Delete { key: key.clone() },
            revision: *revision,
        })
    }
}
