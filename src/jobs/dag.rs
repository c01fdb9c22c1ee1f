//! Jobs that depend on other jobs.
//!
//! What a job depends on is a fact of its record and never changes. Whether it waits, may run or is
//! cancelled follows from the records of its dependencies: acceptance, `done` and `cancelled` are
//! all final, so every process that has read the same records comes to the same answer. A job can
//! only depend on jobs that were accepted before it, so there are no cycles.

use crate::ids::JobId;
use crate::jobs::model::{Job, JobBody, LiveJob};
use crate::wire::Priority;
use foldhash::{HashMap, HashMapExt};
use std::collections::BTreeMap;

/// What became of a job that another one depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyOutcome {
    /// It is not finished, or its record has not been read yet.
    Open,
    /// Done at this time of day in milliseconds (0: not known).
    Done(u64),
    /// It is cancelled.
    Cancelled,
}

impl From<&Job> for DependencyOutcome {
    fn from(job: &Job) -> DependencyOutcome {
        match job.body {
            JobBody::Live(_) => DependencyOutcome::Open,
            JobBody::Finished { cancelled: true, .. } => DependencyOutcome::Cancelled,
            JobBody::Finished { .. } => DependencyOutcome::Done(job.ended_ms),
        }
    }
}

/// How a job stands towards its dependencies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct DependencyState {
    /// How many of them are not done yet.
    pub(super) unfinished: u32,
    /// When the last of them was done, in milliseconds of the time of day.
    pub(super) done_ms: u64,
    /// One of them is cancelled, so this job is too.
    pub(super) cancelled: bool,
}

impl DependencyState {
    /// The one rule: the state of a job, given what became of each of its dependencies.
    pub(super) fn of(outcomes: impl Iterator<Item = DependencyOutcome>) -> DependencyState {
        let mut state = DependencyState::default();
        for outcome in outcomes {
            match outcome {
                DependencyOutcome::Open => state.unfinished += 1,
                DependencyOutcome::Done(at_ms) => state.done_ms = state.done_ms.max(at_ms),
                DependencyOutcome::Cancelled => state.cancelled = true,
            }
        }
        state
    }
}

/// The edges from each job that is not finished to the live jobs that depend on it.
#[derive(Debug, Default)]
pub(super) struct Dependents {
    by_dependency: HashMap<JobId, Vec<JobId>>,
}

impl Dependents {
    pub(super) fn add(&mut self, job: &JobId, dependency: &JobId) {
        self.by_dependency.entry(dependency.clone()).or_default().push(job.clone());
    }

    /// The dependency is finished: the jobs that depended on it.
    pub(super) fn remove(&mut self, dependency: &JobId) -> Vec<JobId> {
        self.by_dependency.remove(dependency).unwrap_or_default()
    }
}

/// What a job inherits from those that depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InheritedPriority {
    /// The highest of its own and of all that depend on it.
    pub urgency: Priority,
    /// By when it has to be done, in milliseconds of the time of day, so that what depends on it
    /// can be done by its own time.
    pub due_ms: Option<u64>,
}

/// Passes priorities and due times from jobs to their dependencies, directly or through others.
/// Each job is visited once, after all that depend on it; the time is linear in the edges.
/// `own` says what a job has by itself, `duration_ms` how long it takes once it may run.
pub fn inherit_priorities<'a>(
    jobs: &BTreeMap<&'a JobId, &'a LiveJob>,
    own: impl Fn(&LiveJob) -> InheritedPriority,
    duration_ms: impl Fn(&JobId, &LiveJob) -> u64,
) -> HashMap<JobId, InheritedPriority> {
    let mut dependents_left = HashMap::new();
    let mut inherited: HashMap<JobId, InheritedPriority> = HashMap::new();
    let has_dependencies = |job: &&LiveJob| !job.depends_on().is_empty();
    for job in jobs.values().copied().filter(has_dependencies) {
        for (id, dependency) in job.depends_on().iter().filter_map(|id| jobs.get_key_value(id)) {
            *dependents_left.entry(*id).or_insert(0u32) += 1;
            inherited.entry((*id).clone()).or_insert_with(|| own(dependency));
        }
    }
    let last = |(id, job): &(&&JobId, &&LiveJob)| {
        has_dependencies(job) && !dependents_left.contains_key(*id)
    };
    let last = jobs.iter().filter(last).map(|(id, job)| (*id, *job));
    let mut ready: Vec<(&JobId, &LiveJob)> = last.collect();
    while let Some((id, job)) = ready.pop() {
        let passed_on = *inherited.entry(id.clone()).or_insert_with(|| own(job));
        let begin_ms = passed_on.due_ms.map(|due| due.saturating_sub(duration_ms(id, job)));
        for (id, dependency) in job.depends_on().iter().filter_map(|id| jobs.get_key_value(id)) {
            if let Some(entry) = inherited.get_mut(*id) {
                entry.urgency = entry.urgency.min(passed_on.urgency);
                entry.due_ms = entry.due_ms.into_iter().chain(begin_ms).min();
            }
            if let Some(left) = dependents_left.get_mut(id) {
                *left -= 1;
                if *left == 0 {
                    ready.push((id, dependency));
                }
            }
        }
    }
    inherited
}
