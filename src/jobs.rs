//! Jobs as this process knows them, and how they change. How they are kept is in
//! [`crate::store::records`], who waits for whom in [`crate::jobs::dag`].

pub mod dag;

use crate::constants::BODY_MAX;
use crate::ids::{Amount, JobId, Revision};
use crate::jobs::dag::{Dependencies, DependencyOutcome};
use crate::store::records::{
    self, CHUNK_PREFIX, JobRecord, Layout, PART_PREFIX, PIECE_PREFIX, PIECE_TASKS, Phase,
    RECORD_TASKS, SpecChunks, job_key,
};
use crate::wire::{
    self, JobKind, JobSpec, JobStatus, Precondition, StoreValue, Transaction, Write,
};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A set of task numbers, one bit each, and how many there are.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskSet(Vec<u8>, u64);

impl TaskSet {
    pub fn has(&self, i: u32) -> bool {
        self.0.get(i as usize / 8).is_some_and(|byte| byte & (1 << (i % 8)) != 0)
    }
    pub fn set(&mut self, i: u32) {
        let at = i as usize / 8;
        if self.0.len() <= at {
            self.0.resize(at + 1, 0);
        }
        self.1 += u64::from(self.0[at] & (1 << (i % 8)) == 0);
        self.0[at] |= 1 << (i % 8);
    }
    pub fn count(&self) -> u64 {
        self.1
    }
    fn marks(&self) -> impl Iterator<Item = u32> {
        (0..self.0.len() as u32 * 8).filter(|i| self.has(*i))
    }
    /// Adds what another set has, its first number being `from` here and numbers from `end` on
    /// being none of ours.
    fn add(&mut self, other: &TaskSet, from: u32, end: u32) {
        for i in other.marks() {
            if let Some(i) = from.checked_add(i).filter(|i| *i < end) {
                self.set(i);
            }
        }
    }
    /// The part of it that begins at `from`, at most so long.
    fn part(&self, from: u32, length: u32) -> TaskSet {
        let mut part = TaskSet::default();
        let end = from.saturating_add(length).min(self.0.len() as u32 * 8);
        (from..end).filter(|i| self.has(*i)).for_each(|i| part.set(i - from));
        part
    }
    fn hex(&self) -> String {
        wire::hex(&self.0)
    }
    fn from_hex(text: &str) -> Option<TaskSet> {
        let bytes = wire::unhex(text)?;
        let count = bytes.iter().map(|byte| u64::from(byte.count_ones())).sum();
        Some(TaskSet(bytes, count))
    }
}

/// Keys beside a job's record in which done marks of it stand, with their revisions: chunks of the
/// first layout and pieces of the second.
type MarkKeys = BTreeMap<(Marks, u32), Revision>;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Marks {
    Chunk,
    Piece,
}

impl Marks {
    fn key(self, id: &JobId, number: u32) -> String {
        match self {
            Marks::Chunk => records::chunk_key(id, number),
            Marks::Piece => records::piece_key(id, number),
        }
    }
}

/// A live job as this process knows it.
#[derive(Debug, Clone)]
pub struct LiveJob {
    pub spec: Arc<JobSpec>,
    pub accepted_ms: u64,
    pub need: Amount,
    /// Of the jobs that it needs, how many are not done yet.
    pub open: u32,
    /// When the last of those was done, in milliseconds of the time of day.
    ready_ms: u64,
    /// What either layout says is done.
    done: TaskSet,
    keys: MarkKeys,
    parts: Option<SpecChunks>,
}

#[derive(Debug, Clone)]
pub enum JobBody {
    Live(Box<LiveJob>),
    /// Over: nothing but the count for display is left.
    Finished {
        cancelled: bool,
        done: u64,
        rest: Option<Box<OrphanedTasks>>,
    },
}

/// What may still be on machines of a job that is over.
#[derive(Debug, Clone)]
pub struct OrphanedTasks {
    pub team: String,
    pub need: Amount,
    /// How many tasks at most, and the time of day in milliseconds when the job ended. Versions
    /// before this one tell neither.
    pub tasks: Option<u64>,
    pub ended_ms: Option<u64>,
}

#[derive(Debug, Clone)]
pub struct Job {
    pub rev: Revision,
    /// When it was done, if its record says so.
    ended_ms: u64,
    pub body: JobBody,
}

impl Job {
    /// The time of day in milliseconds when it ended, if it did and its record says so.
    pub fn ended_ms(&self) -> Option<u64> {
        (self.final_state().is_some() && self.ended_ms > 0).then_some(self.ended_ms)
    }
    pub fn live(&self) -> Option<&LiveJob> {
        match &self.body {
            JobBody::Live(live) => Some(live),
            JobBody::Finished { .. } => None,
        }
    }
    /// The final status, if the job is over.
    pub fn final_state(&self) -> Option<(JobStatus, u64)> {
        match self.body {
            JobBody::Finished { cancelled: true, done, .. } => Some((JobStatus::Cancelled, done)),
            JobBody::Finished { cancelled: false, done, .. } => Some((JobStatus::Done, done)),
            JobBody::Live(_) => None,
        }
    }
    fn fate(&self) -> DependencyOutcome {
        match self.body {
            JobBody::Live(_) => DependencyOutcome::Open,
            JobBody::Finished { cancelled: true, .. } => DependencyOutcome::Cancelled,
            JobBody::Finished { .. } => DependencyOutcome::Done(self.ended_ms),
        }
    }
}

impl LiveJob {
    pub fn is_done(&self, task: u32) -> bool {
        self.done.has(task)
    }
    pub fn done_count(&self) -> u64 {
        self.done.count()
    }
    pub fn tasks(&self) -> u32 {
        self.spec.tasks as u32
    }
    /// The jobs that must be done before a task of this one starts.
    pub fn depends_on(&self) -> &[JobId] {
        self.spec.depends_on.as_deref().unwrap_or_default()
    }
    /// Whether its tasks may run: all that it needs is committed as done.
    pub fn is_ready(&self) -> bool {
        self.open == 0
    }
    /// From when its times count, in milliseconds of the time of day: its submission, or when the
    /// last job that it needs was done.
    pub fn eligible_ms(&self) -> u64 {
        self.accepted_ms.max(self.ready_ms)
    }
    /// Its record with these marks too, if that is where its marks may be written.
    fn with_marks(&self, done: &TaskSet, layout: &Layout) -> Option<JobRecord> {
        if !layout.second() {
            return Some(self.record(done.part(0, layout.chunk).hex()));
        }
        if self.spec.tasks > RECORD_TASKS || self.parts.is_some() {
            return None;
        }
        let record = self.record(done.hex());
        layout.fits(&record).then_some(record)
    }
    fn record(&self, done: String) -> JobRecord {
        let spec = self.parts.is_none().then(|| self.spec.clone());
        JobRecord { d: done, x: self.parts.clone(), ..JobRecord::live(self.accepted_ms, spec) }
    }
}

/// What it takes to accept a job.
pub enum Acceptance {
    /// Its record; the guard makes a repeat harmless.
    JobRecord(Transaction),
    /// Parts of a description too long for the record, which come first, a few at a time.
    SpecChunks(Transaction),
}

/// Creates a job.
pub fn accept(spec: &Arc<JobSpec>, at_ms: u64, layout: &Layout, jobs: &Jobs) -> Acceptance {
    let key = job_key(&spec.id);
    let mut guards = vec![Precondition { key: key.clone(), rev: Revision(0) }];
    let mut record = JobRecord::live(at_ms, Some(spec.clone()));
    if layout.second() && !layout.fits(&record) {
        let (tag, parts) = records::spec_parts(spec, layout.value_max);
        let known = jobs.parts.get(&(spec.id.clone(), tag.clone()));
        let rev = |n: u32| known.and_then(|parts| parts.get(&n)).map(|(_, rev)| *rev);
        let missing = (0..parts.len() as u32).filter(|n| rev(*n).is_none());
        // A transaction is bounded in bytes too.
        let most = layout.txn_ops.min(BODY_MAX / 2 / layout.value_max.max(1)).max(1);
        let missing: Vec<u32> = missing.take(most).collect();
        if !missing.is_empty() {
            let mut writes = Vec::new();
            for n in missing {
                let key = records::part_key(&spec.id, &tag, n);
                guards.push(Precondition { key: key.clone(), rev: Revision(0) });
                writes.push(Write::Put {
                    key,
                    data: records::to_value(&parts[n as usize]),
                    hold: None,
                });
            }
            return Acceptance::SpecChunks(Transaction { guards, writes });
        }
        // Parts left over are removed from the first one on, so this guard stands for all.
        let first = records::part_key(&spec.id, &tag, 0);
        guards.push(Precondition { key: first, rev: rev(0).unwrap_or_default() });
        record.x = Some(SpecChunks { tag, count: parts.len() as u32 });
        record.s = None;
    }
    Acceptance::JobRecord(Transaction {
        guards,
        writes: vec![Write::Put { key, data: records::to_value(&record), hold: None }],
    })
}

/// Ends a job as cancelled.
pub fn cancel(id: &JobId, job: &Job, now_ms: u64, layout: &Layout) -> Option<Transaction> {
    let live = job.live()?;
    let done = live.done_count();
    let rest = live.spec.tasks.saturating_sub(done);
    // Production told neither how many may run on nor since when.
    let told = layout.second().then_some((rest, now_ms));
    let left =
        JobRecord { w: Some(records::rest(&live.spec)), ..JobRecord::live(live.accepted_ms, None) };
    let left = JobRecord { t: told.map(|told| told.0), e: told.map(|told| told.1), ..left };
    Some(finish(id, job, JobRecord { p: Phase::Cancelled, n: done, ..left }))
}

/// The end of a job is one write, whatever keys it has beside its record: those are tidied away
/// later ([`Jobs::litter`]).
fn finish(id: &JobId, job: &Job, record: JobRecord) -> Transaction {
    let key = job_key(id);
    Transaction {
        guards: vec![Precondition { key: key.clone(), rev: job.rev }],
        writes: vec![Write::Put { key, data: records::to_value(&record), hold: None }],
    }
}

/// What marks tasks as done, and whether it ends the job.
pub struct Completion {
    pub transaction: Transaction,
    pub ends: bool,
}

/// Marks tasks as done; the job ends in the same change as its last task, when second runs of so many
/// tasks may still be on machines. Where marks of many keys are due, the first few go now.
pub fn complete(
    id: &JobId,
    job: &Job,
    tasks: &[u32],
    second_runs: u64,
    now_ms: u64,
    layout: &Layout,
) -> Option<Completion> {
    let live = job.live()?;
    let new = tasks.iter().filter(|task| **task < live.tasks() && !live.is_done(**task));
    let new: BTreeSet<u32> = new.copied().collect();
    let mut done = live.done.clone();
    new.iter().for_each(|task| done.set(*task));
    let count = done.count();
    if live.spec.shape != JobKind::Service && count >= live.spec.tasks {
        let second_runs = Some(second_runs).filter(|runs| *runs > 0 && layout.second());
        let transaction = finish(
            id,
            job,
            JobRecord {
                p: Phase::Done,
                n: count,
                e: Some(now_ms),
                w: second_runs.map(|_| records::rest(&live.spec)),
                t: second_runs,
                ..JobRecord::live(live.accepted_ms, None)
            },
        );
        return Some(Completion { transaction, ends: true });
    }
    let mut transaction = Transaction {
        guards: vec![Precondition { key: job_key(id), rev: job.rev }],
        writes: Vec::new(),
    };
    let record = live.with_marks(&done, layout);
    let (marks, size) = match record {
        Some(_) => (Marks::Chunk, layout.chunk),
        None => (Marks::Piece, PIECE_TASKS),
    };
    let touched: BTreeSet<u32> = new.iter().map(|task| task / size).collect();
    for number in touched.into_iter().take(layout.txn_ops) {
        if let (Some(record), 0) = (&record, number) {
            let write =
                Write::Put { key: job_key(id), data: records::to_value(record), hold: None };
            transaction.writes.push(write);
            continue;
        }
        let key = marks.key(id, number);
        let rev = live.keys.get(&(marks, number)).copied().unwrap_or_default();
        transaction.guards.push(Precondition { key: key.clone(), rev });
        let value = StoreValue::Text(done.part(number * size, size).hex());
        transaction.writes.push(Write::Put { key, data: value, hold: None });
    }
    (!transaction.writes.is_empty()).then_some(Completion { transaction, ends: false })
}

/// Marks of a job whose record has not been read yet.
type LooseMarks = BTreeMap<(Marks, u32), (TaskSet, Revision)>;
/// Parts of one description: their texts and revisions.
type PartTexts = BTreeMap<u32, (String, Revision)>;

/// All jobs known to this process.
#[derive(Debug)]
pub struct Jobs {
    pub all: HashMap<JobId, Job>,
    links: Dependencies,
    /// Tasks to a chunk of the first layout.
    pub chunk: u32,
    /// Marks that came before their job's record did (pages are read in key order).
    loose: BTreeMap<JobId, LooseMarks>,
    parts: BTreeMap<(JobId, String), PartTexts>,
    /// Records whose descriptions have not all been read yet.
    torn: HashMap<JobId, (JobRecord, Revision)>,
    /// Jobs whose records cannot be read: nobody may be told that they don't exist.
    unreadable: HashSet<JobId>,
    /// Keys that a job which is over has beside its record.
    litter: BTreeMap<String, Revision>,
    /// Jobs that are cancelled because one that they need is, while their records say that they are
    /// live.
    derived: BTreeSet<JobId>,
    changed: Vec<JobId>,
}

impl Jobs {
    pub fn new(chunk: u32) -> Jobs {
        Jobs {
            all: HashMap::new(),
            links: Dependencies::default(),
            chunk,
            loose: BTreeMap::new(),
            parts: BTreeMap::new(),
            torn: HashMap::new(),
            unreadable: HashSet::new(),
            litter: BTreeMap::new(),
            derived: BTreeSet::new(),
            changed: Vec::new(),
        }
    }

    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.all.get(id)
    }

    /// Whether it has a record that this process cannot read.
    pub fn is_unreadable(&self, id: &JobId) -> bool {
        self.unreadable.contains(id) || self.torn.contains_key(id)
    }

    /// Jobs whose state may have changed since this was last asked.
    pub fn take_changed(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// Takes a job's value in. Nothing goes backward: an older revision is ignored, and a job
    /// that is over stays over.
    pub fn apply_record(&mut self, id: JobId, value: &StoreValue, rev: Revision) {
        let Ok(record) = value.deserialized::<JobRecord>() else {
            tracing::error!(key = job_key(&id), "unreadable job record");
            self.unreadable.insert(id);
            return;
        };
        self.unreadable.remove(&id);
        self.take_record(id, record, rev);
    }

    fn take_record(&mut self, id: JobId, record: JobRecord, rev: Revision) {
        if let Some(job) = self.all.get_mut(&id)
            && (job.rev >= rev || job.live().is_none())
        {
            if job.rev < rev && self.derived.contains(&id) {
                job.rev = rev;
                match record.p {
                    Phase::Live => {}
                    Phase::Cancelled => drop(self.derived.remove(&id)),
                    Phase::Done => tracing::error!(job = %id, "done though what it needs is not"),
                }
            }
            return;
        }
        self.changed.push(id.clone());
        let (mut spec, parts) = match (record.p, &record.s, &record.x) {
            (Phase::Live, Some(spec), _) => (spec.clone(), None),
            (Phase::Live, None, Some(parts)) => match self.take_spec(&id, parts) {
                Some(spec) => (Arc::new(spec), Some(parts.clone())),
                None => {
                    self.torn.insert(id, (record, rev));
                    return;
                }
            },
            _ => return self.take_end(id, record, rev),
        };
        let live = match self.all.remove(&id).map(|job| job.body) {
            Some(JobBody::Live(mut live)) => {
                let done = TaskSet::from_hex(&record.d).unwrap_or_default();
                live.done.add(&done, 0, live.tasks());
                live
            }
            _ => {
                // An edge costs a pointer, not a name of its own: a job may need thousands.
                for need in Arc::make_mut(&mut spec).depends_on.iter_mut().flatten() {
                    if let Some((known, _)) = self.all.get_key_value(need) {
                        *need = known.clone();
                    }
                }
                self.new_live(&id, &record, spec, parts)
            }
        };
        let body = JobBody::Live(live);
        self.all.insert(id.clone(), Job { rev, ended_ms: 0, body });
        self.join(&id);
    }

    fn new_live(
        &mut self,
        id: &JobId,
        record: &JobRecord,
        spec: Arc<JobSpec>,
        parts: Option<SpecChunks>,
    ) -> Box<LiveJob> {
        let mut done = TaskSet::from_hex(&record.d).unwrap_or_default();
        let mut keys = MarkKeys::new();
        for ((marks, number), (bits, rev)) in self.loose.remove(id).unwrap_or_default() {
            done.add(&bits, number.saturating_mul(self.size(marks)), spec.tasks as u32);
            keys.insert((marks, number), rev);
        }
        let need = records::need(&spec);
        let accepted_ms = record.at;
        Box::new(LiveJob { spec, accepted_ms, need, open: 0, ready_ms: 0, done, keys, parts })
    }

    /// A new live job takes its place among those that it needs and that need it. One whose record
    /// was written anew stands where it stood.
    fn join(&mut self, id: &JobId) {
        let Some(live) = self.all.get(id).and_then(Job::live) else { return };
        if live.depends_on().is_empty() || live.open > 0 || live.ready_ms > 0 {
            return;
        }
        let depends_on = live.depends_on().to_vec();
        let fate = |need: &JobId| self.all.get(need).map_or(DependencyOutcome::Open, Job::fate);
        let standing = dag::standing(depends_on.iter().map(fate));
        for need in depends_on.iter().filter(|need| fate(need) == DependencyOutcome::Open) {
            self.links.add(id, need);
        }
        let Some(JobBody::Live(live)) = self.all.get_mut(id).map(|job| &mut job.body) else {
            return;
        };
        (live.open, live.ready_ms) = (standing.open, standing.ready_ms);
        if standing.cancelled {
            self.cancel_derived(id);
            self.settle(id, DependencyOutcome::Cancelled);
        }
    }

    fn take_end(&mut self, id: JobId, record: JobRecord, rev: Revision) {
        let cancelled = record.p == Phase::Cancelled;
        if record.p == Phase::Live {
            tracing::error!(key = job_key(&id), "a job record without a description");
            self.unreadable.insert(id);
            return;
        }
        self.torn.remove(&id);
        let rest = record.w.map(|(team, cpu, gpu, ram)| OrphanedTasks {
            team,
            need: Amount::need(cpu, gpu, ram),
            tasks: record.t,
            ended_ms: record.e,
        });
        let body = JobBody::Finished { cancelled, done: record.n, rest: rest.map(Box::new) };
        let job = Job { rev, ended_ms: record.e.unwrap_or(0), body };
        let fate = job.fate();
        let old = self.all.insert(id.clone(), job);
        self.leave_litter(&id, old.as_ref().and_then(Job::live));
        self.settle(&id, fate);
    }

    /// A job is over: those that need it, directly or through others, learn of it. Each edge is
    /// walked once.
    fn settle(&mut self, id: &JobId, fate: DependencyOutcome) {
        let mut ended = vec![(id.clone(), fate)];
        while let Some((id, fate)) = ended.pop() {
            for next in self.links.settle(&id) {
                let Some(JobBody::Live(live)) = self.all.get_mut(&next).map(|job| &mut job.body)
                else {
                    continue;
                };
                match fate {
                    DependencyOutcome::Open => {}
                    DependencyOutcome::Done(at) => {
                        live.open = live.open.saturating_sub(1);
                        live.ready_ms = live.ready_ms.max(at);
                        self.changed.push(next);
                    }
                    DependencyOutcome::Cancelled => {
                        self.cancel_derived(&next);
                        ended.push((next, fate));
                    }
                }
            }
        }
    }

    /// The job is cancelled since one that it needs is. It has no task and never had: what it needs
    /// was never done.
    fn cancel_derived(&mut self, id: &JobId) {
        let Some(job) = self.all.get_mut(id) else { return };
        let over = JobBody::Finished { cancelled: true, done: 0, rest: None };
        let body = std::mem::replace(&mut job.body, over);
        if let JobBody::Live(live) = body {
            self.leave_litter(id, Some(&live));
            self.derived.insert(id.clone());
            self.changed.push(id.clone());
        }
    }

    fn size(&self, marks: Marks) -> u32 {
        match marks {
            Marks::Chunk => self.chunk,
            Marks::Piece => PIECE_TASKS,
        }
    }

    fn leave_litter(&mut self, id: &JobId, live: Option<&LiveJob>) {
        let keys = live.map(|live| live.keys.clone()).unwrap_or_default();
        let loose = self.loose.remove(id).unwrap_or_default();
        let loose = loose.into_iter().map(|(key, (_, rev))| (key, rev));
        for ((marks, number), rev) in keys.into_iter().chain(loose) {
            self.litter.insert(marks.key(id, number), rev);
        }
        let parts = (id.clone(), String::new())..;
        let tags = self.parts.range(parts).take_while(|((job, _), _)| job == id);
        let tags: Vec<(JobId, String)> = tags.map(|(key, _)| key.clone()).collect();
        for key in tags {
            for (n, (_, rev)) in self.parts.remove(&key).unwrap_or_default() {
                self.litter.insert(records::part_key(id, &key.1, n), rev);
            }
        }
    }

    /// Takes in a key beside a job's record, given without its prefix.
    fn put_marks(
        &mut self,
        marks: Marks,
        rest: &str,
        value: &StoreValue,
        rev: Revision,
    ) -> Option<()> {
        let (id, number) = rest.rsplit_once('/')?;
        let number = number.parse::<u32>().ok()?;
        let id = JobId::new(id);
        let size = self.size(marks);
        let Some(bits) = value.as_text().and_then(TaskSet::from_hex) else {
            tracing::error!(key = marks.key(&id, number), "unreadable done marks");
            return None;
        };
        match self.all.get_mut(&id).map(|job| &mut job.body) {
            Some(JobBody::Live(live)) => {
                let known = live.keys.entry((marks, number)).or_default();
                if *known < rev {
                    *known = rev;
                    let end = live.tasks();
                    live.done.add(&bits, number.saturating_mul(size), end);
                    self.changed.push(id);
                }
            }
            Some(JobBody::Finished { .. }) => {
                self.litter.insert(marks.key(&id, number), rev);
            }
            None => {
                self.loose.entry(id).or_default().insert((marks, number), (bits, rev));
            }
        }
        Some(())
    }

    fn put_part(&mut self, rest: &str, value: &StoreValue, rev: Revision) -> Option<()> {
        let (rest, number) = rest.rsplit_once('/')?;
        let (id, tag) = rest.rsplit_once('/')?;
        let (id, number) = (JobId::new(id), number.parse::<u32>().ok()?);
        let text = value.as_text()?.to_owned();
        if self.all.get(&id).is_some_and(|job| job.live().is_none()) {
            self.litter.insert(records::part_key(&id, tag, number), rev);
            return Some(());
        }
        let parts = self.parts.entry((id.clone(), tag.to_owned())).or_default();
        parts.insert(number, (text, rev));
        if let Some((record, rev)) = self.torn.remove(&id) {
            self.take_record(id, record, rev);
        }
        Some(())
    }

    /// The description, once all its parts are there; their texts are needed no longer then.
    fn take_spec(&mut self, id: &JobId, parts: &SpecChunks) -> Option<JobSpec> {
        let texts = self.parts.get_mut(&(id.clone(), parts.tag.clone()))?;
        if !(0..parts.count).all(|n| texts.contains_key(&n)) {
            return None;
        }
        let spec = records::spec_of(texts.values().map(|(text, _)| text.as_str()))?;
        texts.values_mut().for_each(|(text, _)| *text = String::new());
        Some(spec)
    }

    /// Takes in any key of a job's but its record; false if the key is none.
    pub fn apply_auxiliary_key(
        &mut self,
        key: &str,
        value: Option<&StoreValue>,
        rev: Revision,
    ) -> bool {
        let kinds = [(CHUNK_PREFIX, Some(Marks::Chunk)), (PIECE_PREFIX, Some(Marks::Piece))];
        for (prefix, marks) in kinds.into_iter().chain([(PART_PREFIX, None)]) {
            let Some(rest) = key.strip_prefix(prefix) else { continue };
            match (value, marks) {
                (Some(value), Some(marks)) => drop(self.put_marks(marks, rest, value, rev)),
                (Some(value), None) => drop(self.put_part(rest, value, rev)),
                (None, marks) => self.remove_beside(key, rest, marks),
            }
            return true;
        }
        false
    }

    fn remove_beside(&mut self, key: &str, rest: &str, marks: Option<Marks>) {
        self.litter.remove(key);
        let Some((id, number)) = rest.rsplit_once('/') else { return };
        let Ok(number) = number.parse::<u32>() else { return };
        if let Some(marks) = marks {
            let id = JobId::new(id);
            if let Some(JobBody::Live(live)) = self.all.get_mut(&id).map(|job| &mut job.body) {
                live.keys.remove(&(marks, number));
            }
        } else if let Some((id, tag)) = id.rsplit_once('/')
            && let Some(parts) = self.parts.get_mut(&(JobId::new(id), tag.to_owned()))
        {
            parts.remove(&number);
        }
    }

    /// Parts of descriptions whose job was never accepted, though its submission has begun, the
    /// first part of each before the others.
    pub fn orphaned_spec_chunks(&self) -> impl Iterator<Item = (&JobId, String, Revision)> {
        let used = |(id, tag): &(JobId, String)| match self.all.get(id).and_then(Job::live) {
            Some(live) => live.parts.as_ref().is_some_and(|parts| parts.tag == *tag),
            None => self.torn.contains_key(id),
        };
        let left = self.parts.iter().filter(move |(key, _)| !used(key));
        left.flat_map(|((id, tag), parts)| {
            parts.iter().map(move |(n, (_, rev))| (id, records::part_key(id, tag, *n), *rev))
        })
    }

    /// What may be tidied up, at most so many writes: keys that jobs which are over have beside
    /// their records, and records of jobs that are cancelled by what they need.
    pub fn garbage(&self, most: usize) -> Vec<(Write, Revision)> {
        let litter =
            self.litter.iter().map(|(key, rev)| (Write::Delete { key: key.clone() }, *rev));
        let derived = self.derived.iter().filter_map(|id| {
            let record = JobRecord { p: Phase::Cancelled, ..JobRecord::live(0, None) };
            let write =
                Write::Put { key: job_key(id), data: records::to_value(&record), hold: None };
            Some((write, self.all.get(id)?.rev))
        });
        derived.chain(litter).take(most).collect()
    }

    /// A key that was to be removed is not as it was known: whoever reads all keys again finds it.
    pub fn forget_garbage(&mut self, key: &str) {
        self.litter.remove(key);
    }
}

#[cfg(test)]
pub(crate) mod fixtures;
#[cfg(test)]
mod tests;
