//! Dependencies between jobs.
//!
//! The dependencies of a job are part of its record and never change. Whether the job waits, may run
//! or is cancelled follows from the records of its dependencies. Acceptance, completion and
//! cancellation are all final, so every process that has read the same records derives the same
//! state. A job can only depend on jobs that were accepted before it, so there are no cycles.

use crate::ids::JobId;
use crate::jobs::model::{Job, JobBody, LiveJob};
use crate::wire::Priority;
use foldhash::{HashMap, HashMapExt};
use std::collections::BTreeMap;

/// State of a job, as far as the jobs that depend on it are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyOutcome {
    /// Not finished, or its record has not been read yet.
    Unfinished,
    /// Done at this wall-clock time in milliseconds (0 if unknown).
    Done(u64),
    /// Cancelled, so that the jobs that depend on it are cancelled too.
    Cancelled,
}

impl From<&Job> for DependencyOutcome {
    fn from(job: &Job) -> DependencyOutcome {
        match job.body {
            JobBody::Live(_) => DependencyOutcome::Unfinished,
            JobBody::Finished { cancelled: true, .. } => DependencyOutcome::Cancelled,
            JobBody::Finished { .. } => DependencyOutcome::Done(job.finished_ms),
        }
    }
}

/// Aggregate state of the dependencies of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct DependencyState {
    /// Number of dependencies that are not done yet.
    pub(super) unfinished: u32,
    /// Latest wall-clock time at which a dependency was done, in milliseconds.
    pub(super) done_ms: u64,
    /// True if a dependency is cancelled, which cancels this job too.
    pub(super) cancelled: bool,
}

impl DependencyState {
    /// Derives the state from the outcomes of all dependencies.
    pub(super) fn of(outcomes: impl Iterator<Item = DependencyOutcome>) -> DependencyState {
        let mut state = DependencyState::default();
        for outcome in outcomes {
            match outcome {
                DependencyOutcome::Unfinished => state.unfinished += 1,
                DependencyOutcome::Done(at_ms) => state.done_ms = state.done_ms.max(at_ms),
                DependencyOutcome::Cancelled => state.cancelled = true,
            }
        }
        state
    }
}

/// Edges from each unfinished job to the live jobs that depend on it.
#[derive(Debug, Default)]
pub(super) struct Dependents {
    by_dependency: HashMap<JobId, Vec<JobId>>,
}

impl Dependents {
    pub(super) fn add(&mut self, job: &JobId, dependency: &JobId) {
        self.by_dependency.entry(dependency.clone()).or_default().push(job.clone());
    }

    /// Removes a finished dependency and returns the jobs that depended on it.
    pub(super) fn remove(&mut self, dependency: &JobId) -> Vec<JobId> {
        self.by_dependency.remove(dependency).unwrap_or_default()
    }
}

/// Priority and due time of a job, including what it inherits from the jobs that depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InheritedPriority {
    /// Highest priority of the job itself and of all jobs that depend on it.
    pub priority: Priority,
    /// Wall-clock time in milliseconds by which the job must be done, so that it and the jobs that
    /// depend on it can meet their due times.
    pub due_ms: Option<u64>,
}

/// Propagates priorities and due times from jobs to their direct and indirect dependencies. Each
/// job is visited once, after all jobs that depend on it, in time linear in the number of edges.
/// `own` returns the job's own priority and due time, `duration_ms` its duration once it may run.
pub fn inherit_priorities<'a>(
    jobs: &BTreeMap<&'a JobId, &'a LiveJob>,
    own: impl Fn(&LiveJob) -> InheritedPriority,
    duration_ms: impl Fn(&JobId, &LiveJob) -> u64,
) -> HashMap<JobId, InheritedPriority> {
    let mut unvisited_dependents = HashMap::new();
    let mut inherited: HashMap<JobId, InheritedPriority> = HashMap::new();
    let has_dependencies = |job: &&LiveJob| !job.depends_on().is_empty();
    for job in jobs.values().copied().filter(has_dependencies) {
        for (id, dependency) in job.depends_on().iter().filter_map(|id| jobs.get_key_value(id)) {
            *unvisited_dependents.entry(*id).or_insert(0u32) += 1;
            inherited.entry((*id).clone()).or_insert_with(|| own(dependency));
        }
    }
    let without_dependents = |(id, job): &(&&JobId, &&LiveJob)| {
        has_dependencies(job) && !unvisited_dependents.contains_key(*id)
    };
    let without_dependents = jobs.iter().filter(without_dependents).map(|(id, job)| (*id, *job));
    let mut ready: Vec<(&JobId, &LiveJob)> = without_dependents.collect();
    while let Some((id, job)) = ready.pop() {
        let propagated = *inherited.entry(id.clone()).or_insert_with(|| own(job));
        let latest_start_ms = propagated.due_ms.map(|due| due.saturating_sub(duration_ms(id, job)));
        for (id, dependency) in job.depends_on().iter().filter_map(|id| jobs.get_key_value(id)) {
            if let Some(entry) = inherited.get_mut(*id) {
                entry.priority = entry.priority.min(propagated.priority);
                entry.due_ms = entry.due_ms.into_iter().chain(latest_start_ms).min();
            }
            if let Some(count) = unvisited_dependents.get_mut(id) {
                *count -= 1;
                if *count == 0 {
                    ready.push((id, dependency));
                }
            }
        }
    }
    inherited
}
