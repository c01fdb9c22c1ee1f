//! Job records: how they are kept at the state service and how they change.

use crate::ids::{Amount, JobId, Revision};
use crate::wire::{self, Data, Guard, JobSpec, JobStatus, Shape, Write};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

pub const JOB_PREFIX: &str = "t/j/";
pub const CHUNK_PREFIX: &str = "t/k/";

/// A set of task numbers, one bit each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bits(Vec<u8>);

impl Bits {
    pub fn has(&self, i: u32) -> bool {
        self.0.get(i as usize / 8).is_some_and(|byte| byte & (1 << (i % 8)) != 0)
    }
    pub fn set(&mut self, i: u32) {
        let at = i as usize / 8;
        if self.0.len() <= at {
            self.0.resize(at + 1, 0);
        }
        self.0[at] |= 1 << (i % 8);
    }
    pub fn count(&self) -> u64 {
        self.0.iter().map(|byte| u64::from(byte.count_ones())).sum()
    }
    fn hex(&self) -> String {
        wire::hex(&self.0)
    }
    fn from_hex(text: &str) -> Option<Bits> {
        wire::unhex(text).map(Bits)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Live,
    Done,
    Cancelled,
}

/// The value of a job's key. The done marks of the first chunk of tasks stand in it, those of
/// further chunks in keys of their own; a finished job keeps only its last line.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Record {
    p: Phase,
    /// Milliseconds of the time of day when it was accepted.
    #[serde(default)]
    at: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    s: Option<Arc<JobSpec>>,
    /// Done marks while it is live.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    d: String,
    /// Count of done tasks when it is over.
    #[serde(default)]
    n: u64,
    /// Team and size of a task of a cancelled job, whose tasks may run on for a while and count
    /// against the team's limit until they are gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    w: Option<(String, f64, f64, f64)>,
}

/// A live job as this process knows it.
#[derive(Debug, Clone)]
pub struct LiveJob {
    pub spec: Arc<JobSpec>,
    pub accepted_ms: u64,
    pub need: Amount,
    /// Done marks by chunk, with the revision of each chunk's key (0: no key).
    chunks: BTreeMap<u32, (Bits, Revision)>,
}

#[derive(Debug, Clone)]
pub enum JobBody {
    Live(Box<LiveJob>),
    /// Over: nothing but the count for display is left.
    Over {
        cancelled: bool,
        done: u64,
        /// Team and size of what may still run of a cancelled job.
        rest: Option<Box<(String, Amount)>>,
    },
}

#[derive(Debug, Clone)]
pub struct Job {
    pub rev: Revision,
    pub body: JobBody,
}

impl Job {
    pub fn live(&self) -> Option<&LiveJob> {
        match &self.body {
            JobBody::Live(live) => Some(live),
            JobBody::Over { .. } => None,
        }
    }
    /// The final status, if the job is over.
    pub fn over(&self) -> Option<(JobStatus, u64)> {
        match self.body {
            JobBody::Over { cancelled: true, done, .. } => Some((JobStatus::Cancelled, done)),
            JobBody::Over { cancelled: false, done, .. } => Some((JobStatus::Done, done)),
            JobBody::Live(_) => None,
        }
    }
}

impl LiveJob {
    pub fn is_done(&self, task: u32, chunk_tasks: u32) -> bool {
        self.chunks.get(&(task / chunk_tasks)).is_some_and(|(bits, _)| bits.has(task % chunk_tasks))
    }
    pub fn done_count(&self) -> u64 {
        self.chunks.values().map(|(bits, _)| bits.count()).sum()
    }
    pub fn tasks(&self) -> u32 {
        self.spec.tasks as u32
    }
}

pub fn job_key(id: &JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

fn chunk_key(id: &JobId, chunk: u32) -> String {
    format!("{CHUNK_PREFIX}{id}/{chunk}")
}

fn data<T: Serialize>(value: &T) -> Data {
    // Our own records always serialize; Null would be refused by `decode_job` on reading.
    Data::serialized(value).unwrap_or(Data::Null)
}

/// One guarded change, as the state core commits it.
#[derive(Debug, Clone)]
pub struct Change {
    pub guards: Vec<Guard>,
    pub writes: Vec<Write>,
}

/// Creates a job; the guard makes a repeat harmless.
pub fn accept(spec: &Arc<JobSpec>, at_ms: u64) -> Change {
    let key = job_key(&spec.id);
    let record = Record {
        p: Phase::Live,
        at: at_ms,
        s: Some(spec.clone()),
        d: String::new(),
        n: 0,
        w: None,
    };
    Change {
        guards: vec![Guard { key: key.clone(), rev: Revision(0) }],
        writes: vec![Write::Put { key, data: data(&record), hold: None }],
    }
}

/// Ends a job as cancelled.
pub fn cancel(id: &JobId, job: &Job) -> Option<Change> {
    let live = job.live()?;
    Some(finish(id, job, live, Phase::Cancelled, live.done_count()))
}

fn finish(id: &JobId, job: &Job, live: &LiveJob, phase: Phase, done: u64) -> Change {
    let key = job_key(id);
    let spec = &live.spec;
    let rest = (spec.team.clone(), spec.cpus, spec.gpus, spec.ram_gb);
    let record = Record {
        p: phase,
        at: live.accepted_ms,
        s: None,
        d: String::new(),
        n: done,
        w: (phase == Phase::Cancelled).then_some(rest),
    };
    let mut writes = vec![Write::Put { key: key.clone(), data: data(&record), hold: None }];
    for (chunk, (_, rev)) in &live.chunks {
        if *chunk > 0 && *rev != Revision(0) {
            writes.push(Write::Delete { key: chunk_key(id, *chunk) });
        }
    }
    Change { guards: vec![Guard { key, rev: job.rev }], writes }
}

/// Marks tasks as done; the job ends in the same change as its last task.
pub fn complete(id: &JobId, job: &Job, tasks: &[u32], chunk_tasks: u32) -> Option<Change> {
    let live = job.live()?;
    let mut chunks: BTreeMap<u32, (Bits, Revision)> = BTreeMap::new();
    for &task in tasks.iter().filter(|t| **t < live.tasks() && !live.is_done(**t, chunk_tasks)) {
        let chunk = task / chunk_tasks;
        chunks
            .entry(chunk)
            .or_insert_with(|| live.chunks.get(&chunk).cloned().unwrap_or_default())
            .0
            .set(task % chunk_tasks);
    }
    let old: u64 = live
        .chunks
        .iter()
        .filter(|(chunk, _)| !chunks.contains_key(chunk))
        .map(|(_, (bits, _))| bits.count())
        .sum();
    let done = old + chunks.values().map(|(bits, _)| bits.count()).sum::<u64>();
    if live.spec.shape != Shape::Service && done >= live.spec.tasks {
        return Some(finish(id, job, live, Phase::Done, done));
    }
    let key = job_key(id);
    let mut change = Change {
        guards: vec![Guard { key: key.clone(), rev: job.rev }],
        writes: Vec::with_capacity(chunks.len()),
    };
    for (chunk, (bits, rev)) in chunks {
        if chunk == 0 {
            let record = Record {
                p: Phase::Live,
                at: live.accepted_ms,
                s: Some(live.spec.clone()),
                d: bits.hex(),
                n: 0,
                w: None,
            };
            change.writes.push(Write::Put { key: key.clone(), data: data(&record), hold: None });
        } else {
            let key = chunk_key(id, chunk);
            change.guards.push(Guard { key: key.clone(), rev });
            let value = Data::Text(bits.hex());
            change.writes.push(Write::Put { key, data: value, hold: None });
        }
    }
    (!change.writes.is_empty()).then_some(change)
}

/// All jobs known to this process.
#[derive(Debug, Default)]
pub struct Jobs {
    pub all: std::collections::HashMap<JobId, Job>,
    /// Chunks that came before their job's record did (pages are read in key order).
    loose: BTreeMap<(JobId, u32), (Bits, Revision)>,
}

impl Jobs {
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.all.get(id)
    }

    /// Takes a job's value in. Nothing goes backward: an older revision is ignored, and a job
    /// that is over stays over.
    pub fn put_job(&mut self, id: JobId, value: &Data, rev: Revision) {
        let Ok(record) = value.deserialized::<Record>() else {
            tracing::error!(job = %id, "unreadable job record");
            return;
        };
        let old = self.all.get(&id);
        if old.is_some_and(|job| job.rev >= rev || job.live().is_none()) {
            return;
        }
        let body = match (record.p, record.s) {
            (Phase::Live, Some(spec)) => {
                let need = Amount::need(spec.cpus, spec.gpus, spec.ram_gb);
                let mut chunks = match old.and_then(Job::live) {
                    Some(live) => live.chunks.clone(),
                    None => BTreeMap::new(),
                };
                chunks.insert(0, (Bits::from_hex(&record.d).unwrap_or_default(), Revision(0)));
                let from = (id.clone(), 0);
                let to = (id.clone(), u32::MAX);
                let loose: Vec<_> = self.loose.range(from..=to).map(|(k, _)| k.clone()).collect();
                for key in loose {
                    if let Some(found) = self.loose.remove(&key) {
                        chunks.insert(key.1, found);
                    }
                }
                JobBody::Live(Box::new(LiveJob { spec, accepted_ms: record.at, need, chunks }))
            }
            (phase, _) => JobBody::Over {
                cancelled: phase == Phase::Cancelled,
                done: record.n,
                rest: record
                    .w
                    .map(|(team, cpu, gpu, ram)| Box::new((team, Amount::need(cpu, gpu, ram)))),
            },
        };
        self.all.insert(id, Job { rev, body });
    }

    pub fn put_chunk(&mut self, rest: &str, value: &Data, rev: Revision) {
        let Some((id, chunk)) = rest.rsplit_once('/') else { return };
        let (Ok(chunk), Some(text)) = (chunk.parse::<u32>(), value.as_text()) else { return };
        let Some(bits) = Bits::from_hex(text) else { return };
        let id = JobId::new(id);
        match self.all.get_mut(&id).map(|job| &mut job.body) {
            Some(JobBody::Live(live)) => {
                let entry = live.chunks.entry(chunk).or_default();
                if entry.1 < rev {
                    *entry = (bits, rev);
                }
            }
            Some(JobBody::Over { .. }) => {}
            None => {
                self.loose.insert((id, chunk), (bits, rev));
            }
        }
    }
}

/// A plain array for tests, here and elsewhere.
#[cfg(test)]
pub(crate) fn plain_spec(id: &str, tasks: u64) -> JobSpec {
    JobSpec {
        id: JobId::new(id),
        class: "c".into(),
        team: "t".into(),
        shape: Shape::Array,
        urgency: wire::Urgency::High,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        ram_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        flavors: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        expect_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        due_s: None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec(id: &str, tasks: u64) -> Arc<JobSpec> {
        Arc::new(plain_spec(id, tasks))
    }

    fn apply(jobs: &mut Jobs, change: &Change, rev: u64) {
        for write in &change.writes {
            if let Write::Put { key, data, .. } = write {
                if let Some(id) = key.strip_prefix(JOB_PREFIX) {
                    jobs.put_job(JobId::new(id), data, Revision(rev));
                } else if let Some(rest) = key.strip_prefix(CHUNK_PREFIX) {
                    jobs.put_chunk(rest, data, Revision(rev));
                }
            }
        }
    }

    #[test]
    fn a_job_ends_with_its_last_task_whatever_the_order_and_repeats() {
        let mut jobs = Jobs::default();
        let id = JobId::new("wk-1");
        apply(&mut jobs, &accept(&spec("wk-1", 40), 5), 1);
        let mut order: Vec<u32> = (0..40).map(|i| (i * 7) % 40).collect();
        order.extend([3, 3, 39]);
        let mut rev = 1;
        for (nth, task) in order.iter().enumerate() {
            let job = jobs.get(&id).unwrap().clone();
            let Some(change) = complete(&id, &job, &[*task, 99], 16) else { continue };
            rev += 1;
            apply(&mut jobs, &change, rev);
            let over = jobs.get(&id).unwrap().over();
            assert_eq!(over.is_some(), nth >= 39, "{nth}");
        }
        assert_eq!(jobs.get(&id).unwrap().over(), Some((JobStatus::Done, 40)));
    }

    #[test]
    fn nothing_goes_backward() {
        let mut jobs = Jobs::default();
        let id = JobId::new("wk-2");
        let first = accept(&spec("wk-2", 2), 5);
        apply(&mut jobs, &first, 1);
        let job = jobs.get(&id).unwrap().clone();
        let half = complete(&id, &job, &[0], 16).unwrap();
        apply(&mut jobs, &half, 2);
        apply(&mut jobs, &first, 1);
        assert_eq!(jobs.get(&id).unwrap().live().unwrap().done_count(), 1);
        let end = cancel(&id, jobs.get(&id).unwrap()).unwrap();
        apply(&mut jobs, &end, 4);
        apply(&mut jobs, &half, 9);
        assert_eq!(jobs.get(&id).unwrap().over(), Some((JobStatus::Cancelled, 1)));
    }
}
