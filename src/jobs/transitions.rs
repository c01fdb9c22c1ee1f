//! Transactions that accept a job, record its progress and finish it, each a compare-and-swap.

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

/// Next transaction of an acceptance.
pub enum Acceptance {
    /// Writes the record, provided that none exists, so that a repeated request is harmless.
    JobRecord(Transaction),
    /// Writes some chunks of a description too long for the record. All chunks are written before it.
    SpecChunks(Transaction),
}

/// Transaction that records tasks as completed.
pub struct Completion {
    /// Preconditions and writes to commit.
    pub transaction: Transaction,
    /// True if the transaction finishes the job.
    pub finishes_job: bool,
}

fn put(key: String, data: StoreValue) -> Write {
    Write::Put { key, data, lease: None }
}

/// Returns the next transaction that is needed to accept a job.
pub fn accept(spec: &Arc<JobSpec>, at_ms: u64, layout: &Layout, jobs: &Jobs) -> Acceptance {
    let key = job_key(&spec.id);
    let mut preconditions = vec![Precondition { key: key.clone(), rev: Revision(0) }];
    let mut record = JobRecord::live(at_ms, Some(spec.clone()));
    if layout.is_second() && !layout.fits(&record) {
        let encoded = encode_spec(spec, layout.value_max);
        let stored = jobs.spec_chunks().revisions(&spec.id, &encoded.hash);
        if let Some(writes) = missing_spec_chunks(&spec.id, &encoded, &stored, layout) {
            let absence_precondition =
                |write: &Write| Precondition { key: write.key().into(), rev: Revision(0) };
            preconditions.extend(writes.iter().map(absence_precondition));
            return Acceptance::SpecChunks(Transaction { preconditions, writes });
        }
        // Orphaned chunks are removed in ascending order, so this precondition covers all of them.
        let first = spec_chunk_key(&spec.id, &encoded.hash, 0);
        let rev = stored.get(&0).copied().unwrap_or_default();
        preconditions.push(Precondition { key: first, rev });
        let count = encoded.chunks.len() as u32;
        record.spec_chunks = Some(SpecChunks { hash: encoded.hash, count });
        record.spec = None;
    }
    Acceptance::JobRecord(Transaction { preconditions, writes: vec![put(key, to_value(&record))] })
}

/// Returns writes of the first missing chunks, as many as fit one transaction; `None` if complete.
fn missing_spec_chunks(
    job: &JobId,
    encoded: &EncodedSpec,
    stored: &BTreeMap<u32, Revision>,
    layout: &Layout,
) -> Option<Vec<Write>> {
    // A transaction is limited in bytes as well as in writes.
    let max_writes = layout.max_operations.min(BODY_MAX / 2 / layout.value_max.max(1)).max(1);
    let chunks = (0u32..).zip(&encoded.chunks);
    let missing = chunks.filter(|(number, _)| !stored.contains_key(number));
    let write = |(number, text)| put(spec_chunk_key(job, &encoded.hash, number), to_value(text));
    let writes: Vec<Write> = missing.take(max_writes).map(write).collect();
    (!writes.is_empty()).then_some(writes)
}

/// Returns the transaction that cancels a job, or `None` if the job is finished.
pub fn cancel(id: &JobId, job: &Job, now_ms: u64, layout: &Layout) -> Option<Transaction> {
    let live = job.live()?;
    let completed_count = live.completed_count();
    let remaining = live.spec.tasks.saturating_sub(completed_count);
    // Records of the oldest version have no finish time and no number of remaining tasks.
    let is_second_layout = layout.is_second();
    let record = JobRecord {
        phase: JobPhase::Cancelled,
        completed_count,
        task: Some(live.task_footprint()),
        ended_ms: is_second_layout.then_some(now_ms),
        remaining_tasks: is_second_layout.then_some(remaining),
        ..JobRecord::live(live.accepted_ms, None)
    };
    Some(finish(id, job, &record))
}

/// Returns the transaction that finishes a job: a single write. Keys beside the record, however
/// many there are, are removed later by garbage collection ([`Jobs::garbage`]).
fn finish(id: &JobId, job: &Job, record: &JobRecord) -> Transaction {
    let key = job_key(id);
    Transaction {
        preconditions: vec![Precondition { key: key.clone(), rev: job.rev }],
        writes: vec![put(key, to_value(record))],
    }
}

/// Returns the transaction that records tasks as completed, or `None` if it would write nothing.
/// The transaction that completes the last task also finishes the job; its record then states that
/// `duplicate_attempts` tasks may still be on machines. If more chunks change than one transaction
/// may write, only the first ones are written.
pub fn complete(
    id: &JobId,
    job: &Job,
    tasks: &[u32],
    duplicate_attempts: u64,
    now_ms: u64,
    layout: &Layout,
) -> Option<Completion> {
    let live = job.live()?;
    let newly_completed =
        tasks.iter().filter(|task| **task < live.tasks() && !live.is_completed(**task));
    let newly_completed: BTreeSet<u32> = newly_completed.copied().collect();
    let mut completed = live.completed.clone();
    newly_completed.iter().for_each(|task| completed.insert(*task));
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
        return Some(Completion { transaction: finish(id, job, &record), finishes_job: true });
    }
    let transaction = record_progress(id, job.rev, live, &newly_completed, &completed, layout);
    (!transaction.writes.is_empty()).then_some(Completion { transaction, finishes_job: false })
}

/// Returns the transaction that writes the chunks of the newly completed tasks. The record itself
/// contains the first chunk of the first layout, and all completed tasks of a small job.
fn record_progress(
    id: &JobId,
    record_rev: Revision,
    live: &LiveJob,
    newly_completed: &BTreeSet<u32>,
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
    let changed_chunks: BTreeSet<u32> =
        newly_completed.iter().map(|task| task / chunk_tasks).collect();
    for number in changed_chunks.into_iter().take(layout.max_operations) {
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
