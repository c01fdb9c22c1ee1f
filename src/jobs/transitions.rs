//! How a job changes: its acceptance, its progress and its end, each as a compare-and-swap.

use crate::constants::BODY_MAX;
use crate::ids::{JobId, Revision};
use crate::jobs::completed_chunks::{ChunkId, ChunkLayout};
use crate::jobs::model::{Job, LiveJob};
use crate::jobs::table::Jobs;
use crate::jobs::task_set::TaskSet;
use crate::schema::encoding::{EncodedSpec, encode_spec, to_value};
use crate::schema::keys::{job_key, spec_chunk_key};
use crate::schema::records::{COMPLETED_CHUNK_TASKS, JobPhase, JobRecord, Layout, SpecChunks};
use crate::wire::{JobKind, JobSpec, Precondition, StoreValue, Transaction, Write};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What it takes to accept a job.
pub enum Acceptance {
    /// Its record; the precondition makes a repeated request harmless.
    JobRecord(Transaction),
    /// Chunks of a description too long for the record, which come first, a few at a time.
    SpecChunks(Transaction),
}

/// What records tasks as completed.
pub struct Completion {
    /// The change.
    pub transaction: Transaction,
    /// Whether it ends the job.
    pub ends: bool,
}

fn put(key: String, data: StoreValue) -> Write {
    Write::Put { key, data, lease: None }
}

/// Accepts a job.
pub fn accept(spec: &Arc<JobSpec>, at_ms: u64, layout: &Layout, jobs: &Jobs) -> Acceptance {
    let key = job_key(&spec.id);
    let mut preconditions = vec![Precondition { key: key.clone(), rev: Revision(0) }];
    let mut record = JobRecord::live(at_ms, Some(spec.clone()));
    if layout.is_second() && !layout.fits(&record) {
        let encoded = encode_spec(spec, layout.value_max);
        let stored = jobs.spec_chunks().revisions(&spec.id, &encoded.hash);
        if let Some(writes) = missing_spec_chunks(&spec.id, &encoded, &stored, layout) {
            let absent = |write: &Write| Precondition { key: write.key().into(), rev: Revision(0) };
            preconditions.extend(writes.iter().map(absent));
            return Acceptance::SpecChunks(Transaction { preconditions, writes });
        }
        // Orphaned chunks are removed from the first one on, so this precondition stands for all.
        let first = spec_chunk_key(&spec.id, &encoded.hash, 0);
        let rev = stored.get(&0).copied().unwrap_or_default();
        preconditions.push(Precondition { key: first, rev });
        let count = encoded.chunks.len() as u32;
        record.spec_chunks = Some(SpecChunks { hash: encoded.hash, count });
        record.spec = None;
    }
    Acceptance::JobRecord(Transaction { preconditions, writes: vec![put(key, to_value(&record))] })
}

/// The first chunks of a description that are not stored yet, as many as one transaction takes.
fn missing_spec_chunks(
    job: &JobId,
    encoded: &EncodedSpec,
    stored: &BTreeMap<u32, Revision>,
    layout: &Layout,
) -> Option<Vec<Write>> {
    // A transaction is bounded in bytes too.
    let max_writes = layout.max_operations.min(BODY_MAX / 2 / layout.value_max.max(1)).max(1);
    let chunks = (0u32..).zip(&encoded.chunks);
    let missing = chunks.filter(|(number, _)| !stored.contains_key(number));
    let write = |(number, text)| put(spec_chunk_key(job, &encoded.hash, number), to_value(text));
    let writes: Vec<Write> = missing.take(max_writes).map(write).collect();
    (!writes.is_empty()).then_some(writes)
}

/// Cancels a job, unless it is finished.
pub fn cancel(id: &JobId, job: &Job, now_ms: u64, layout: &Layout) -> Option<Transaction> {
    let live = job.live()?;
    let completed_count = live.completed_count();
    let remaining = live.spec.tasks.saturating_sub(completed_count);
    // The oldest version says neither how many may run on nor since when.
    let second = layout.is_second();
    let record = JobRecord {
        phase: JobPhase::Cancelled,
        completed_count,
        task: Some(live.task_footprint()),
        ended_ms: second.then_some(now_ms),
        remaining_tasks: second.then_some(remaining),
        ..JobRecord::live(live.accepted_ms, None)
    };
    Some(finish(id, job, &record))
}

/// The end of a job is one write, whatever keys it has beside its record: those are collected as
/// garbage later ([`Jobs::garbage`]).
fn finish(id: &JobId, job: &Job, record: &JobRecord) -> Transaction {
    let key = job_key(id);
    Transaction {
        preconditions: vec![Precondition { key: key.clone(), rev: job.rev }],
        writes: vec![put(key, to_value(record))],
    }
}

/// Records tasks as completed. The job ends in the same change as its last task, when
/// `duplicate_attempts` more of its tasks may still be on machines. Where many chunks change, the
/// first few go now.
pub fn complete(
    id: &JobId,
    job: &Job,
    tasks: &[u32],
    duplicate_attempts: u64,
    now_ms: u64,
    layout: &Layout,
) -> Option<Completion> {
    let live = job.live()?;
    let new = tasks.iter().filter(|task| **task < live.tasks() && !live.is_completed(**task));
    let new: BTreeSet<u32> = new.copied().collect();
    let mut completed = live.completed.clone();
    new.iter().for_each(|task| completed.insert(*task));
    if live.spec.kind != JobKind::Service && completed.len() >= live.spec.tasks {
        let duplicates = Some(duplicate_attempts).filter(|n| *n > 0 && layout.is_second());
        let record = JobRecord {
            phase: JobPhase::Done,
            completed_count: completed.len(),
            ended_ms: Some(now_ms),
            task: duplicates.map(|_| live.task_footprint()),
            remaining_tasks: duplicates,
            ..JobRecord::live(live.accepted_ms, None)
        };
        return Some(Completion { transaction: finish(id, job, &record), ends: true });
    }
    let transaction = record_progress(id, job.rev, live, &new, &completed, layout);
    (!transaction.writes.is_empty()).then_some(Completion { transaction, ends: false })
}

/// Writes the chunks in which the new tasks are; the first chunk of the first layout, or all of a
/// small job's tasks, stand in its record.
fn record_progress(
    id: &JobId,
    record_rev: Revision,
    live: &LiveJob,
    new: &BTreeSet<u32>,
    completed: &TaskSet,
    layout: &Layout,
) -> Transaction {
    let mut preconditions = vec![Precondition { key: job_key(id), rev: record_rev }];
    let mut writes = Vec::new();
    let record = live.record_with(completed, layout);
    let (chunk_layout, chunk_tasks) = match record {
        Some(_) => (ChunkLayout::First, layout.legacy_chunk_tasks),
        None => (ChunkLayout::Second, COMPLETED_CHUNK_TASKS),
    };
    let changed: BTreeSet<u32> = new.iter().map(|task| task / chunk_tasks).collect();
    for number in changed.into_iter().take(layout.max_operations) {
        if let (Some(record), 0) = (&record, number) {
            writes.push(put(job_key(id), to_value(record)));
            continue;
        }
        let chunk = ChunkId { layout: chunk_layout, number };
        let key = chunk.key(id);
        let rev = live.completed_chunks.get(&chunk).copied().unwrap_or_default();
        preconditions.push(Precondition { key: key.clone(), rev });
        let tasks = completed.chunk(number * chunk_tasks, chunk_tasks);
        writes.push(put(key, StoreValue::Text(tasks.to_hex())));
    }
    Transaction { preconditions, writes }
}
