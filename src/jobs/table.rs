//! Table of all jobs known to this process, updated from reads and watches of the store.

use crate::ids::{Amount, JobId, Revision};
use crate::jobs::completed_chunks::{
    ChunkKey, ChunkLayout, ChunkRevisions, EarlyChunk, EarlyChunks,
};
use crate::jobs::dag::{DependencyOutcome, DependencyState, Dependents};
use crate::jobs::garbage::{Garbage, GarbageWrite, OrphanedSpecChunk};
use crate::jobs::model::{Job, JobBody, LiveJob, OrphanedTasks};
use crate::jobs::spec_chunks::{SpecChunkKey, SpecChunkTable};
use crate::jobs::task_set::TaskSet;
use crate::schema::encoding::to_value;
use crate::schema::keys::job_key;
use crate::schema::records::{COMPLETED_CHUNK_TASKS, JobPhase, JobRecord, SpecChunks};
use crate::wire::{JobSpec, StoreValue, Write};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A record whose description has not been read completely yet.
#[derive(Debug)]
struct IncompleteRecord {
    record: JobRecord,
    revision: Revision,
}

/// All jobs known to this process. State never moves backwards: older revisions are ignored, and a
/// finished job stays finished.
#[derive(Debug)]
pub struct Jobs {
    /// Jobs whose record and description have been read.
    pub all: HashMap<JobId, Job>,
    dependents: Dependents,
    /// Number of tasks per chunk of the first layout.
    legacy_chunk_tasks: u32,
    early_chunks: BTreeMap<JobId, EarlyChunks>,
    spec_chunks: SpecChunkTable,
    incomplete: HashMap<JobId, IncompleteRecord>,
    /// Jobs whose records cannot be decoded. They must not be reported as nonexistent.
    unreadable: HashSet<JobId>,
    garbage: Garbage,
    /// Jobs that are cancelled because a dependency is cancelled, but whose records still have the phase `Live`.
    cancelled_by_dependency: BTreeSet<JobId>,
    /// Jobs whose state may have changed since the last [`Jobs::take_changed`].
    changed: Vec<JobId>,
}

impl Jobs {
    /// Creates an empty table; chunks of the first layout have `legacy_chunk_tasks` tasks.
    pub fn new(legacy_chunk_tasks: u32) -> Jobs {
        Jobs {
            all: HashMap::new(),
            dependents: Dependents::default(),
            legacy_chunk_tasks,
            early_chunks: BTreeMap::new(),
            spec_chunks: SpecChunkTable::default(),
            incomplete: HashMap::new(),
            unreadable: HashSet::new(),
            garbage: Garbage::default(),
            cancelled_by_dependency: BTreeSet::new(),
            changed: Vec::new(),
        }
    }

    /// Returns a job, if it is known.
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.all.get(id)
    }

    /// Returns whether a job has a record that this process cannot read or has not read completely.
    pub fn is_unreadable(&self, id: &JobId) -> bool {
        self.unreadable.contains(id) || self.incomplete.contains_key(id)
    }

    /// Returns the jobs whose state may have changed since the last call.
    pub fn take_changed(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// Returns the number of tasks per chunk of the first layout.
    pub fn legacy_chunk_tasks(&self) -> u32 {
        self.legacy_chunk_tasks
    }

    /// Sets the number of tasks per chunk of the first layout, as agreed on by the cluster.
    pub(crate) fn set_legacy_chunk_tasks(&mut self, tasks: u32) {
        self.legacy_chunk_tasks = tasks;
    }

    pub(super) fn spec_chunks(&self) -> &SpecChunkTable {
        &self.spec_chunks
    }

    fn chunk_tasks(&self, layout: ChunkLayout) -> u32 {
        match layout {
            ChunkLayout::First => self.legacy_chunk_tasks,
            ChunkLayout::Second => COMPLETED_CHUNK_TASKS,
        }
    }

    /// Applies the value of a job's key.
    pub fn apply_record(&mut self, id: JobId, value: &StoreValue, rev: Revision) {
        match value.deserialized::<JobRecord>() {
            Ok(record) => {
                self.unreadable.remove(&id);
                self.apply_decoded_record(id, record, rev);
            }
            Err(error) => {
                tracing::error!(job = %id, %error, "job record is unreadable");
                self.unreadable.insert(id);
            }
        }
    }

    fn apply_decoded_record(&mut self, id: JobId, record: JobRecord, revision: Revision) {
        if let Some(job) = self.all.get(&id)
            && (job.rev >= revision || job.is_finished())
        {
            self.apply_to_finished(&id, &record, revision);
            return;
        }
        self.changed.push(id.clone());
        let (spec, location) = match (record.phase, &record.spec, &record.spec_chunks) {
            (JobPhase::Live, Some(spec), _) => (spec.clone(), None),
            (JobPhase::Live, None, Some(location)) => {
                match self.spec_chunks.take_spec(&id, location) {
                    Some(spec) => (Arc::new(spec), Some(location.clone())),
                    None => {
                        self.incomplete.insert(id, IncompleteRecord { record, revision });
                        return;
                    }
                }
            }
            _ => return self.apply_finished_record(id, record, revision),
        };
        let live = match self.all.remove(&id).map(|job| job.body) {
            Some(JobBody::Live(mut live)) => {
                let completed = TaskSet::from_hex(&record.completed).unwrap_or_default();
                let end = live.tasks();
                live.completed.insert_chunk(&completed, 0, end);
                live
            }
            _ => self.new_live(&id, &record, spec, location),
        };
        let job = Job { rev: revision, finished_ms: 0, body: JobBody::Live(live) };
        self.all.insert(id.clone(), job);
        self.link_dependencies(&id);
    }

    /// Applies a record that is older, or whose job is finished here. Only a job that was cancelled
    /// by a dependency is changed: the record may be the one that confirms the cancellation.
    fn apply_to_finished(&mut self, id: &JobId, record: &JobRecord, revision: Revision) {
        let Some(job) = self.all.get_mut(id) else { return };
        if job.rev >= revision || !self.cancelled_by_dependency.contains(id) {
            return;
        }
        job.rev = revision;
        match record.phase {
            JobPhase::Live => {}
            JobPhase::Cancelled => {
                self.cancelled_by_dependency.remove(id);
            }
            JobPhase::Done => {
                tracing::error!(job = %id, "job is done though a dependency is cancelled");
            }
        }
    }

    fn new_live(
        &mut self,
        id: &JobId,
        record: &JobRecord,
        mut spec: Arc<JobSpec>,
        location: Option<SpecChunks>,
    ) -> Box<LiveJob> {
        // Shares the ids of known jobs, so that each of thousands of dependencies costs a pointer, not a string.
        for dependency in Arc::make_mut(&mut spec).depends_on.iter_mut().flatten() {
            if let Some((known, _)) = self.all.get_key_value(dependency) {
                *dependency = known.clone();
            }
        }
        let mut completed = TaskSet::from_hex(&record.completed).unwrap_or_default();
        let mut completed_chunks = ChunkRevisions::new();
        for (chunk, early) in self.early_chunks.remove(id).unwrap_or_default() {
            let first = chunk.number.saturating_mul(self.chunk_tasks(chunk.layout));
            completed.insert_chunk(&early.tasks, first, spec.tasks as u32);
            completed_chunks.insert(chunk, early.revision);
        }
        let request = Amount::request(spec.cpus, spec.gpus, spec.ram_gb);
        Box::new(LiveJob {
            spec,
            accepted_ms: record.accepted_ms,
            request,
            unfinished_dependencies: 0,
            dependencies_done_ms: 0,
            completed,
            completed_chunks,
            spec_chunks: location,
        })
    }

    /// Links a new live job to its dependencies. A known job whose record was rewritten is already linked.
    fn link_dependencies(&mut self, id: &JobId) {
        let Some(live) = self.all.get(id).and_then(Job::live) else { return };
        let is_linked = live.unfinished_dependencies > 0 || live.dependencies_done_ms > 0;
        if live.depends_on().is_empty() || is_linked {
            return;
        }
        let depends_on = live.depends_on().to_vec();
        let outcome = |id: &JobId| {
            self.all.get(id).map_or(DependencyOutcome::Unfinished, DependencyOutcome::from)
        };
        let state = DependencyState::of(depends_on.iter().map(outcome));
        for dependency in &depends_on {
            if outcome(dependency) == DependencyOutcome::Unfinished {
                self.dependents.add(id, dependency);
            }
        }
        let Some(live) = self.all.get_mut(id).and_then(Job::live_mut) else { return };
        live.unfinished_dependencies = state.unfinished;
        live.dependencies_done_ms = state.done_ms;
        if state.cancelled {
            self.cancel_by_dependency(id);
            self.propagate_outcome(id, DependencyOutcome::Cancelled);
        }
    }

    fn apply_finished_record(&mut self, id: JobId, record: JobRecord, rev: Revision) {
        if record.phase == JobPhase::Live {
            tracing::error!(job = %id, "job record has no description");
            self.unreadable.insert(id);
            return;
        }
        self.incomplete.remove(&id);
        let orphaned_tasks = record.task.map(|task| OrphanedTasks {
            request: task.request(),
            team: task.team,
            tasks: record.remaining_tasks,
            finished_ms: record.ended_ms,
        });
        let body = JobBody::Finished {
            cancelled: record.phase == JobPhase::Cancelled,
            completed_tasks: record.completed_count,
            orphaned_tasks: orphaned_tasks.map(Box::new),
        };
        let job = Job { rev, finished_ms: record.ended_ms.unwrap_or(0), body };
        let outcome = DependencyOutcome::from(&job);
        let replaced = self.all.insert(id.clone(), job);
        self.discard_auxiliary_keys(&id, replaced.as_ref().and_then(Job::live));
        self.propagate_outcome(&id, outcome);
    }

    /// Propagates the outcome of a finished job to the jobs that depend on it, directly or
    /// indirectly. Each edge is visited once.
    fn propagate_outcome(&mut self, id: &JobId, outcome: DependencyOutcome) {
        let mut finished = vec![(id.clone(), outcome)];
        while let Some((id, outcome)) = finished.pop() {
            for dependent in self.dependents.remove(&id) {
                let Some(live) = self.all.get_mut(&dependent).and_then(Job::live_mut) else {
                    continue;
                };
                match outcome {
                    DependencyOutcome::Unfinished => {}
                    DependencyOutcome::Done(at_ms) => {
                        live.unfinished_dependencies =
                            live.unfinished_dependencies.saturating_sub(1);
                        live.dependencies_done_ms = live.dependencies_done_ms.max(at_ms);
                        self.changed.push(dependent);
                    }
                    DependencyOutcome::Cancelled => {
                        self.cancel_by_dependency(&dependent);
                        finished.push((dependent, outcome));
                    }
                }
            }
        }
    }

    /// Cancels a job because one of its dependencies is cancelled. No task of it ever ran, as that
    /// dependency was never done.
    fn cancel_by_dependency(&mut self, id: &JobId) {
        let Some(job) = self.all.get_mut(id) else { return };
        let finished =
            JobBody::Finished { cancelled: true, completed_tasks: 0, orphaned_tasks: None };
        if let JobBody::Live(live) = std::mem::replace(&mut job.body, finished) {
            self.discard_auxiliary_keys(id, Some(&live));
            self.cancelled_by_dependency.insert(id.clone());
            self.changed.push(id.clone());
        }
    }

    /// Marks all keys beside the record of a finished job as garbage.
    fn discard_auxiliary_keys(&mut self, id: &JobId, live: Option<&LiveJob>) {
        let known = live.map(|live| live.completed_chunks.clone()).unwrap_or_default();
        let early = self.early_chunks.remove(id).unwrap_or_default();
        let early = early.into_iter().map(|(chunk, early)| (chunk, early.revision));
        for (chunk, revision) in known.into_iter().chain(early) {
            self.garbage.add(chunk.key(id), revision);
        }
        for entry in self.spec_chunks.remove_job(id) {
            self.garbage.add(entry.key.to_key(), entry.revision);
        }
    }

    /// Applies the value or the removal (`None`) of a key that is stored beside a job's record.
    /// Returns false if it is no such key.
    pub fn apply_auxiliary_key(
        &mut self,
        key: &str,
        value: Option<&StoreValue>,
        rev: Revision,
    ) -> bool {
        if value.is_none() {
            self.garbage.remove(key);
        }
        if ChunkKey::matches(key) {
            match (ChunkKey::parse(key), value) {
                (Some(key), Some(value)) => self.apply_completed_chunk(key, value, rev),
                (Some(key), None) => self.remove_completed_chunk(&key),
                (None, _) => {}
            }
            return true;
        }
        if SpecChunkKey::matches(key) {
            match (SpecChunkKey::parse(key), value) {
                (Some(key), Some(value)) => self.apply_spec_chunk(key, value, rev),
                (Some(key), None) => self.spec_chunks.remove(&key),
                (None, _) => {}
            }
            return true;
        }
        false
    }

    fn apply_completed_chunk(&mut self, key: ChunkKey, value: &StoreValue, rev: Revision) {
        let ChunkKey { job: id, chunk } = key;
        let first = chunk.number.saturating_mul(self.chunk_tasks(chunk.layout));
        let Some(tasks) = value.as_text().and_then(TaskSet::from_hex) else {
            tracing::error!(job = %id, ?chunk, "chunk of completed tasks is unreadable");
            return;
        };
        match self.all.get_mut(&id).map(|job| &mut job.body) {
            Some(JobBody::Live(live)) => {
                let known = live.completed_chunks.entry(chunk).or_default();
                if *known < rev {
                    *known = rev;
                    let end = live.tasks();
                    live.completed.insert_chunk(&tasks, first, end);
                    self.changed.push(id);
                }
            }
            Some(JobBody::Finished { .. }) => self.garbage.add(chunk.key(&id), rev),
            None => {
                let early = EarlyChunk { tasks, revision: rev };
                self.early_chunks.entry(id).or_default().insert(chunk, early);
            }
        }
    }

    fn remove_completed_chunk(&mut self, key: &ChunkKey) {
        if let Some(live) = self.all.get_mut(&key.job).and_then(Job::live_mut) {
            live.completed_chunks.remove(&key.chunk);
        }
    }

    fn apply_spec_chunk(&mut self, key: SpecChunkKey, value: &StoreValue, rev: Revision) {
        let Some(text) = value.as_text() else { return };
        if self.all.get(&key.job).is_some_and(Job::is_finished) {
            self.garbage.add(key.to_key(), rev);
            return;
        }
        let id = key.job.clone();
        self.spec_chunks.insert(key, text.to_owned(), rev);
        if let Some(IncompleteRecord { record, revision }) = self.incomplete.remove(&id) {
            self.apply_decoded_record(id, record, revision);
        }
    }

    /// Returns the chunks of descriptions whose submission began but whose job was never accepted.
    /// Within each description the first chunk precedes the others.
    pub fn orphaned_spec_chunks(&self) -> impl Iterator<Item = OrphanedSpecChunk> {
        let is_used = |id: &JobId, hash: &str| match self.all.get(id).and_then(Job::live) {
            Some(live) => live.spec_chunks.as_ref().is_some_and(|chunks| chunks.hash == hash),
            None => self.incomplete.contains_key(id),
        };
        self.spec_chunks.unused(is_used).map(|entry| {
            let key = entry.key.to_key();
            OrphanedSpecChunk { job: entry.key.job, key, revision: entry.revision }
        })
    }

    /// Returns up to `max_writes` garbage collection writes: final records of jobs cancelled by a
    /// dependency, and deletions of keys that finished jobs have beside their records.
    pub fn garbage(&self, max_writes: usize) -> Vec<GarbageWrite> {
        let cancelled = self.cancelled_by_dependency.iter().filter_map(|id| {
            let record = JobRecord { phase: JobPhase::Cancelled, ..JobRecord::live(0, None) };
            let write = Write::Put { key: job_key(id), data: to_value(&record), lease: None };
            Some(GarbageWrite { write, revision: self.all.get(id)?.rev })
        });
        cancelled.chain(self.garbage.writes()).take(max_writes).collect()
    }

    /// Forgets a key whose removal conflicted; the next full read of the store shows its state.
    pub fn forget_garbage(&mut self, key: &str) {
        self.garbage.remove(key);
    }
}
