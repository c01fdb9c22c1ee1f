//! Stored keys that are no longer needed.

use crate::ids::{JobId, Revision};
use crate::wire::Write;
use std::collections::BTreeMap;

/// A garbage collection write, committed only if its key still has the given revision.
#[derive(Debug)]
pub struct GarbageWrite {
    /// Deletion of a key, or the final record of a job that was cancelled by a dependency.
    pub write: Write,
    /// Revision that the key must still have.
    pub revision: Revision,
}

/// A chunk of a description whose submission began but whose job was never accepted.
#[derive(Debug)]
pub struct OrphanedSpecChunk {
    /// Job that the description was submitted for.
    pub job: JobId,
    /// Key of the chunk in the store.
    pub key: String,
    /// Revision of that key.
    pub revision: Revision,
}

/// Keys of finished jobs other than their records, with the revisions of the keys.
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

    /// Returns writes that delete the keys.
    pub(super) fn writes(&self) -> impl Iterator<Item = GarbageWrite> {
        self.keys.iter().map(|(key, revision)| GarbageWrite {
            write: Write::Delete { key: key.clone() },
            revision: *revision,
        })
    }
}
