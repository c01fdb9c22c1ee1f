//! Jobs that wait for other jobs.
//!
//! What a job needs is a fact of its record and never changes. Whether it waits, may run or is
//! cancelled follows from the records of what it needs: acceptance, `done` and `cancelled` are all
//! final, so every process that has read the same records comes to the same answer. A job can only
//! need jobs that were accepted before it, so there are no cycles.

use crate::ids::JobId;
use crate::jobs::LiveJob;
use crate::wire::Priority;
use foldhash::{HashMap, HashMapExt};
use std::collections::BTreeMap;

/// What became of a job that another one needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyOutcome {
    /// It is not over, or its record has not been read yet.
    Open,
    /// Done at this time of day in milliseconds (0: not known).
    Done(u64),
    Cancelled,
}

/// How a job stands towards the jobs that it needs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// How many of them are not done yet.
    pub open: u32,
    /// When the last of them was done, in milliseconds of the time of day.
    pub ready_ms: u64,
    /// One of them is cancelled, so this one is too.
    pub cancelled: bool,
}

/// The one rule: what a job's standing is, given what became of each job that it needs.
pub fn standing(fates: impl Iterator<Item = DependencyOutcome>) -> Standing {
    let mut standing = Standing::default();
    for fate in fates {
        match fate {
            DependencyOutcome::Open => standing.open += 1,
            DependencyOutcome::Done(at) => standing.ready_ms = standing.ready_ms.max(at),
            DependencyOutcome::Cancelled => standing.cancelled = true,
        }
    }
    standing
}

/// Who waits for whom: the edges from what is not over to the live jobs that need it.
#[derive(Debug, Default)]
pub struct Dependencies {
    needed_by: HashMap<JobId, Vec<JobId>>,
}

impl Dependencies {
    pub fn add(&mut self, job: &JobId, depends_on: &JobId) {
        self.needed_by.entry(depends_on.clone()).or_default().push(job.clone());
    }
    /// The job is over: those that needed it, who are to be told once.
    pub fn settle(&mut self, job: &JobId) -> Vec<JobId> {
        self.needed_by.remove(job).unwrap_or_default()
    }
}

/// What a job inherits from those that need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InheritedPriority {
    /// The highest of its own and of all that need it.
    pub urgency: Priority,
    /// By when it has to be done, in milliseconds of the time of day, so that what needs it can be
    /// done by its own time.
    pub due_ms: Option<u64>,
}

/// Carries urgency and due times from closing jobs back to what they need, directly or through
/// others. Each job is looked at once, after all that need it; the time is linear in the edges.
/// `alone` says what a job is by itself, `length_ms` how long it takes once it may run.
pub fn carry_back<'a>(
    jobs: &BTreeMap<&'a JobId, &'a LiveJob>,
    alone: impl Fn(&LiveJob) -> InheritedPriority,
    length_ms: impl Fn(&JobId, &LiveJob) -> u64,
) -> HashMap<JobId, InheritedPriority> {
    let mut needed = HashMap::new();
    let mut carried: HashMap<JobId, InheritedPriority> = HashMap::new();
    let linked = |job: &&LiveJob| !job.depends_on().is_empty();
    for job in jobs.values().copied().filter(linked) {
        for need in job.depends_on().iter().filter_map(|id| jobs.get_key_value(id)) {
            *needed.entry(*need.0).or_insert(0u32) += 1;
            carried.entry((*need.0).clone()).or_insert_with(|| alone(need.1));
        }
    }
    let last = jobs.iter().filter(|(id, job)| linked(job) && !needed.contains_key(*id));
    let mut ready: Vec<(&JobId, &LiveJob)> = last.map(|(id, job)| (*id, *job)).collect();
    while let Some((id, job)) = ready.pop() {
        let own = *carried.entry(id.clone()).or_insert_with(|| alone(job));
        let begin = own.due_ms.map(|due| due.saturating_sub(length_ms(id, job)));
        for (need, below) in job.depends_on().iter().filter_map(|id| jobs.get_key_value(id)) {
            if let Some(entry) = carried.get_mut(*need) {
                entry.urgency = entry.urgency.min(own.urgency);
                entry.due_ms = entry.due_ms.into_iter().chain(begin).min();
            }
            if let Some(count) = needed.get_mut(need) {
                *count -= 1;
                if *count == 0 {
                    ready.push((need, below));
                }
            }
        }
    }
    carried
}
