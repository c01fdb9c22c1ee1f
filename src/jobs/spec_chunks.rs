//! Job descriptions that are too long for the record and are stored in chunks.

use crate::ids::{JobId, Revision};
use crate::schema::encoding::decode_spec;
use crate::schema::keys::{SPEC_CHUNK_PREFIX, spec_chunk_key};
use crate::schema::records::SpecChunks;
use crate::wire::JobSpec;
use std::collections::BTreeMap;

/// Identifies a description. A job id may have been submitted with several descriptions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SpecId {
    job: JobId,
    hash: String,
}

#[derive(Debug)]
struct StoredChunk {
    text: String,
    revision: Revision,
}

/// Parsed key of a chunk of a description.
#[derive(Debug)]
pub(super) struct SpecChunkKey {
    pub(super) job: JobId,
    pub(super) hash: String,
    pub(super) number: u32,
}

impl SpecChunkKey {
    /// Returns whether the key has the prefix of a chunk of a description.
    pub(super) fn matches(key: &str) -> bool {
        key.starts_with(SPEC_CHUNK_PREFIX)
    }

    pub(super) fn parse(key: &str) -> Option<SpecChunkKey> {
        let (spec, number) = key.strip_prefix(SPEC_CHUNK_PREFIX)?.rsplit_once('/')?;
        let (job, hash) = spec.rsplit_once('/')?;
        let number = number.parse().ok()?;
        Some(SpecChunkKey { job: JobId::new(job), hash: hash.to_owned(), number })
    }

    pub(super) fn to_key(&self) -> String {
        spec_chunk_key(&self.job, &self.hash, self.number)
    }
}

/// Key and revision of a stored chunk.
#[derive(Debug)]
pub(super) struct SpecChunkEntry {
    pub(super) key: SpecChunkKey,
    pub(super) revision: Revision,
}

/// All stored chunks of descriptions.
#[derive(Debug, Default)]
pub(super) struct SpecChunkTable {
    chunks: BTreeMap<SpecId, BTreeMap<u32, StoredChunk>>,
}

impl SpecChunkTable {
    pub(super) fn insert(&mut self, key: SpecChunkKey, text: String, revision: Revision) {
        let spec = SpecId { job: key.job, hash: key.hash };
        self.chunks.entry(spec).or_default().insert(key.number, StoredChunk { text, revision });
    }

    pub(super) fn remove(&mut self, key: &SpecChunkKey) {
        let spec = SpecId { job: key.job.clone(), hash: key.hash.clone() };
        if let Some(chunks) = self.chunks.get_mut(&spec) {
            chunks.remove(&key.number);
        }
    }

    /// Returns the revisions of the stored chunks of a description, by chunk number.
    pub(super) fn revisions(&self, job: &JobId, hash: &str) -> BTreeMap<u32, Revision> {
        let spec = SpecId { job: job.clone(), hash: hash.to_owned() };
        let chunks = self.chunks.get(&spec).into_iter().flatten();
        chunks.map(|(number, chunk)| (*number, chunk.revision)).collect()
    }

    /// Returns the description once all its chunks are stored, and drops their texts, which are no longer needed.
    pub(super) fn take_spec(&mut self, job: &JobId, location: &SpecChunks) -> Option<JobSpec> {
        let spec = SpecId { job: job.clone(), hash: location.hash.clone() };
        let chunks = self.chunks.get_mut(&spec)?;
        if !(0..location.count).all(|number| chunks.contains_key(&number)) {
            return None;
        }
        let spec = decode_spec(chunks.values().map(|chunk| chunk.text.as_str()))?;
        chunks.values_mut().for_each(|chunk| chunk.text = String::new());
        Some(spec)
    }

    /// Removes and returns all chunks of a job.
    pub(super) fn remove_job(&mut self, job: &JobId) -> Vec<SpecChunkEntry> {
        let from = SpecId { job: job.clone(), hash: String::new() };
        let specs = self.chunks.range(from..).take_while(|(spec, _)| spec.job == *job);
        let specs: Vec<SpecId> = specs.map(|(spec, _)| spec.clone()).collect();
        let mut removed = Vec::new();
        for spec in specs {
            for (number, chunk) in self.chunks.remove(&spec).unwrap_or_default() {
                let key = SpecChunkKey { job: job.clone(), hash: spec.hash.clone(), number };
                removed.push(SpecChunkEntry { key, revision: chunk.revision });
            }
        }
        removed
    }

    /// Returns the chunks of descriptions for which `is_used(job, hash)` is false.
    pub(super) fn unused(
        &self,
        is_used: impl Fn(&JobId, &str) -> bool,
    ) -> impl Iterator<Item = SpecChunkEntry> {
        let unused = self.chunks.iter().filter(move |(spec, _)| !is_used(&spec.job, &spec.hash));
        unused.flat_map(|(spec, chunks)| {
            chunks.iter().map(move |(number, chunk)| SpecChunkEntry {
                key: SpecChunkKey {
                    job: spec.job.clone(),
                    hash: spec.hash.clone(),
                    number: *number,
                },
                revision: chunk.revision,
            })
        })
    }
}
