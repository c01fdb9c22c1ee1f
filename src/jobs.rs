//! Jobs as this process knows them, and how they change. How they are kept is in
//! [`crate::records`], who waits for whom in [`crate::pipelines`].

use crate::constants::BODY_MAX;
use crate::ids::{Amount, JobId, Revision};
use crate::pipelines::{self, Fate, Links};
use crate::records::{
    self, CHUNK_PREFIX, Layout, PART_PREFIX, PIECE_PREFIX, PIECE_TASKS, Parts, Phase, RECORD_TASKS,
    Record, data, job_key,
};
use crate::wire::{self, Data, Guard, JobSpec, JobStatus, Shape, Write};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A set of task numbers, one bit each, and how many there are.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bits(Vec<u8>, u64);

impl Bits {
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
    fn add(&mut self, other: &Bits, from: u32, end: u32) {
        for i in other.marks() {
            if let Some(i) = from.checked_add(i).filter(|i| *i < end) {
                self.set(i);
            }
        }
    }
    /// The part of it that begins at `from`, at most so long.
    fn part(&self, from: u32, length: u32) -> Bits {
        let mut part = Bits::default();
        let end = from.saturating_add(length).min(self.0.len() as u32 * 8);
        (from..end).filter(|i| self.has(*i)).for_each(|i| part.set(i - from));
        part
    }
    fn hex(&self) -> String {
        wire::hex(&self.0)
    }
    fn from_hex(text: &str) -> Option<Bits> {
        let bytes = wire::unhex(text)?;
        let count = bytes.iter().map(|byte| u64::from(byte.count_ones())).sum();
        Some(Bits(bytes, count))
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
    done: Bits,
    keys: MarkKeys,
    parts: Option<Parts>,
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
    /// When it was done, if its record says so.
    ended_ms: u64,
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
    fn fate(&self) -> Fate {
        match self.body {
            JobBody::Live(_) => Fate::Open,
            JobBody::Over { cancelled: true, .. } => Fate::Cancelled,
            JobBody::Over { .. } => Fate::Done(self.ended_ms),
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
    pub fn needs(&self) -> &[JobId] {
        self.spec.needs.as_deref().unwrap_or_default()
    }
    /// Whether its tasks may run: all that it needs is committed as done.
    pub fn ready(&self) -> bool {
        self.open == 0
    }
    /// From when its times count, in milliseconds of the time of day: its submission, or when the
    /// last job that it needs was done.
    pub fn since_ms(&self) -> u64 {
        self.accepted_ms.max(self.ready_ms)
    }
    /// Its record with these marks too, if that is where its marks may be written.
    fn with_marks(&self, done: &Bits, layout: &Layout) -> Option<Record> {
        if !layout.second() {
            return Some(self.record(done.part(0, layout.chunk).hex()));
        }
        if self.spec.tasks > RECORD_TASKS || self.parts.is_some() {
            return None;
        }
        let record = self.record(done.hex());
        layout.fits(&record).then_some(record)
    }
    fn record(&self, done: String) -> Record {
        let spec = self.parts.is_none().then(|| self.spec.clone());
        Record { d: done, x: self.parts.clone(), ..Record::live(self.accepted_ms, spec) }
    }
}

/// One guarded change, as the state core commits it.
#[derive(Debug, Clone)]
pub struct Change {
    pub guards: Vec<Guard>,
    pub writes: Vec<Write>,
}

/// What it takes to accept a job.
pub enum Accept {
    /// Its record; the guard makes a repeat harmless.
    Record(Change),
    /// Parts of a description too long for the record, which come first, a few at a time.
    Parts(Change),
}

/// Creates a job.
pub fn accept(spec: &Arc<JobSpec>, at_ms: u64, layout: &Layout, jobs: &Jobs) -> Accept {
    let key = job_key(&spec.id);
    let mut guards = vec![Guard { key: key.clone(), rev: Revision(0) }];
    let mut record = Record::live(at_ms, Some(spec.clone()));
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
                guards.push(Guard { key: key.clone(), rev: Revision(0) });
                writes.push(Write::Put { key, data: data(&parts[n as usize]), hold: None });
            }
            return Accept::Parts(Change { guards, writes });
        }
        // Parts left over are removed from the first one on, so this guard stands for all.
        let first = records::part_key(&spec.id, &tag, 0);
        guards.push(Guard { key: first, rev: rev(0).unwrap_or_default() });
        record.x = Some(Parts { tag, count: parts.len() as u32 });
        record.s = None;
    }
    Accept::Record(Change {
        guards,
        writes: vec![Write::Put { key, data: data(&record), hold: None }],
    })
}

/// Ends a job as cancelled.
pub fn cancel(id: &JobId, job: &Job) -> Option<Change> {
    let live = job.live()?;
    Some(finish(id, job, live, Phase::Cancelled, live.done_count(), None))
}

/// The end of a job is one write, whatever keys it has beside its record: those are tidied away
/// later ([`Jobs::litter`]).
fn finish(
    id: &JobId,
    job: &Job,
    live: &LiveJob,
    phase: Phase,
    done: u64,
    ended_ms: Option<u64>,
) -> Change {
    let key = job_key(id);
    let rest = (phase == Phase::Cancelled).then(|| records::rest(&live.spec));
    let record =
        Record { p: phase, n: done, w: rest, e: ended_ms, ..Record::live(live.accepted_ms, None) };
    Change {
        guards: vec![Guard { key: key.clone(), rev: job.rev }],
        writes: vec![Write::Put { key, data: data(&record), hold: None }],
    }
}

/// What marks tasks as done, and whether it ends the job.
pub struct Completion {
    pub change: Change,
    pub ends: bool,
}

/// Marks tasks as done; the job ends in the same change as its last task. Where marks of many keys
/// are due, the first few go now.
pub fn complete(
    id: &JobId,
    job: &Job,
    tasks: &[u32],
    now_ms: u64,
    layout: &Layout,
) -> Option<Completion> {
    let live = job.live()?;
    let new = tasks.iter().filter(|task| **task < live.tasks() && !live.is_done(**task));
    let new: BTreeSet<u32> = new.copied().collect();
    let mut done = live.done.clone();
    new.iter().for_each(|task| done.set(*task));
    let count = done.count();
    if live.spec.shape != Shape::Service && count >= live.spec.tasks {
        let change = finish(id, job, live, Phase::Done, count, Some(now_ms));
        return Some(Completion { change, ends: true });
    }
    let mut change =
        Change { guards: vec![Guard { key: job_key(id), rev: job.rev }], writes: Vec::new() };
    let record = live.with_marks(&done, layout);
    let (marks, size) = match record {
        Some(_) => (Marks::Chunk, layout.chunk),
        None => (Marks::Piece, PIECE_TASKS),
    };
    let touched: BTreeSet<u32> = new.iter().map(|task| task / size).collect();
    for number in touched.into_iter().take(layout.txn_ops) {
        if let (Some(record), 0) = (&record, number) {
            let write = Write::Put { key: job_key(id), data: data(record), hold: None };
            change.writes.push(write);
            continue;
        }
        let key = marks.key(id, number);
        let rev = live.keys.get(&(marks, number)).copied().unwrap_or_default();
        change.guards.push(Guard { key: key.clone(), rev });
        let value = Data::Text(done.part(number * size, size).hex());
        change.writes.push(Write::Put { key, data: value, hold: None });
    }
    (!change.writes.is_empty()).then_some(Completion { change, ends: false })
}

/// Marks of a job whose record has not been read yet.
type LooseMarks = BTreeMap<(Marks, u32), (Bits, Revision)>;
/// Parts of one description: their texts and revisions.
type PartTexts = BTreeMap<u32, (String, Revision)>;

/// All jobs known to this process.
#[derive(Debug)]
pub struct Jobs {
    pub all: HashMap<JobId, Job>,
    links: Links,
    /// Tasks to a chunk of the first layout.
    pub chunk: u32,
    /// Marks that came before their job's record did (pages are read in key order).
    loose: BTreeMap<JobId, LooseMarks>,
    parts: BTreeMap<(JobId, String), PartTexts>,
    /// Records whose descriptions have not all been read yet.
    torn: HashMap<JobId, (Record, Revision)>,
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
            links: Links::default(),
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
    pub fn put_job(&mut self, id: JobId, value: &Data, rev: Revision) {
        let Ok(record) = value.deserialized::<Record>() else {
            tracing::error!(key = job_key(&id), "unreadable job record");
            self.unreadable.insert(id);
            return;
        };
        self.unreadable.remove(&id);
        self.take_record(id, record, rev);
    }

    fn take_record(&mut self, id: JobId, record: Record, rev: Revision) {
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
                let done = Bits::from_hex(&record.d).unwrap_or_default();
                live.done.add(&done, 0, live.tasks());
                live
            }
            _ => {
                // An edge costs a pointer, not a name of its own: a job may need thousands.
                for need in Arc::make_mut(&mut spec).needs.iter_mut().flatten() {
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
        record: &Record,
        spec: Arc<JobSpec>,
        parts: Option<Parts>,
    ) -> Box<LiveJob> {
        let mut done = Bits::from_hex(&record.d).unwrap_or_default();
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
        if live.needs().is_empty() || live.open > 0 || live.ready_ms > 0 {
            return;
        }
        let needs = live.needs().to_vec();
        let fate = |need: &JobId| self.all.get(need).map_or(Fate::Open, Job::fate);
        let standing = pipelines::standing(needs.iter().map(fate));
        for need in needs.iter().filter(|need| fate(need) == Fate::Open) {
            self.links.add(id, need);
        }
        let Some(JobBody::Live(live)) = self.all.get_mut(id).map(|job| &mut job.body) else {
            return;
        };
        (live.open, live.ready_ms) = (standing.open, standing.ready_ms);
        if standing.cancelled {
            self.cancel_derived(id);
            self.settle(id, Fate::Cancelled);
        }
    }

    fn take_end(&mut self, id: JobId, record: Record, rev: Revision) {
        let cancelled = record.p == Phase::Cancelled;
        if record.p == Phase::Live {
            tracing::error!(key = job_key(&id), "a job record without a description");
            self.unreadable.insert(id);
            return;
        }
        self.torn.remove(&id);
        let rest = record.w.map(|(team, cpu, gpu, ram)| (team, Amount::need(cpu, gpu, ram)));
        let body = JobBody::Over { cancelled, done: record.n, rest: rest.map(Box::new) };
        let job = Job { rev, ended_ms: record.e.unwrap_or(0), body };
        let fate = job.fate();
        let old = self.all.insert(id.clone(), job);
        self.leave_litter(&id, old.as_ref().and_then(Job::live));
        self.settle(&id, fate);
    }

    /// A job is over: those that need it, directly or through others, learn of it. Each edge is
    /// walked once.
    fn settle(&mut self, id: &JobId, fate: Fate) {
        let mut ended = vec![(id.clone(), fate)];
        while let Some((id, fate)) = ended.pop() {
            for next in self.links.settle(&id) {
                let Some(JobBody::Live(live)) = self.all.get_mut(&next).map(|job| &mut job.body)
                else {
                    continue;
                };
                match fate {
                    Fate::Open => {}
                    Fate::Done(at) => {
                        live.open = live.open.saturating_sub(1);
                        live.ready_ms = live.ready_ms.max(at);
                        self.changed.push(next);
                    }
                    Fate::Cancelled => {
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
        let over = JobBody::Over { cancelled: true, done: 0, rest: None };
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
    fn put_marks(&mut self, marks: Marks, rest: &str, value: &Data, rev: Revision) -> Option<()> {
        let (id, number) = rest.rsplit_once('/')?;
        let number = number.parse::<u32>().ok()?;
        let id = JobId::new(id);
        let size = self.size(marks);
        let Some(bits) = value.as_text().and_then(Bits::from_hex) else {
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
            Some(JobBody::Over { .. }) => {
                self.litter.insert(marks.key(&id, number), rev);
            }
            None => {
                self.loose.entry(id).or_default().insert((marks, number), (bits, rev));
            }
        }
        Some(())
    }

    fn put_part(&mut self, rest: &str, value: &Data, rev: Revision) -> Option<()> {
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
    fn take_spec(&mut self, id: &JobId, parts: &Parts) -> Option<JobSpec> {
        let texts = self.parts.get_mut(&(id.clone(), parts.tag.clone()))?;
        if !(0..parts.count).all(|n| texts.contains_key(&n)) {
            return None;
        }
        let spec = records::spec_of(texts.values().map(|(text, _)| text.as_str()))?;
        texts.values_mut().for_each(|(text, _)| *text = String::new());
        Some(spec)
    }

    /// Takes in any key of a job's but its record; false if the key is none.
    pub fn put_beside(&mut self, key: &str, value: Option<&Data>, rev: Revision) -> bool {
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
    pub fn orphans(&self) -> impl Iterator<Item = (&JobId, String, Revision)> {
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
    pub fn tidy(&self, most: usize) -> Vec<(Write, Revision)> {
        let litter =
            self.litter.iter().map(|(key, rev)| (Write::Delete { key: key.clone() }, *rev));
        let derived = self.derived.iter().filter_map(|id| {
            let record = Record { p: Phase::Cancelled, ..Record::live(0, None) };
            let write = Write::Put { key: job_key(id), data: data(&record), hold: None };
            Some((write, self.all.get(id)?.rev))
        });
        derived.chain(litter).take(most).collect()
    }

    /// A key that was to be removed is not as it was known: whoever reads all keys again finds it.
    pub fn forget_litter(&mut self, key: &str) {
        self.litter.remove(key);
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
        needs: None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec(id: &str, tasks: u64) -> Arc<JobSpec> {
        Arc::new(plain_spec(id, tasks))
    }

    const LAYOUT: Layout = Layout { format: 1, chunk: 16_384, txn_ops: 4, value_max: 1800 };

    fn record(spec: &Arc<JobSpec>, jobs: &Jobs) -> Change {
        match accept(spec, 5, &LAYOUT, jobs) {
            Accept::Record(change) | Accept::Parts(change) => change,
        }
    }

    /// Plays the state service: each change gets the next revision if its guards hold.
    #[derive(Default)]
    struct Store {
        rev: u64,
        keys: BTreeMap<String, (Option<Data>, u64)>,
    }

    impl Store {
        fn commit(&mut self, change: &Change, layout: &Layout) -> bool {
            assert!(change.writes.len() <= layout.txn_ops);
            assert!(change.guards.len() <= layout.txn_ops * 4);
            let rev = |key| self.keys.get(key).filter(|(v, _)| v.is_some()).map_or(0, |(_, r)| *r);
            if change.guards.iter().any(|guard| rev(&guard.key) != guard.rev.0) {
                return false;
            }
            self.rev += 1;
            for write in &change.writes {
                let value = match write {
                    Write::Put { data, .. } => Some(data.clone()),
                    Write::Delete { .. } => None,
                };
                let fits = value.as_ref().is_none_or(|value| layout.fits(value));
                assert!(fits || !layout.second(), "{}", write.key());
                self.keys.insert(write.key().to_owned(), (value, self.rev));
            }
            true
        }
        fn take(&self, jobs: &mut Jobs, key: &str) {
            let (value, rev) = &self.keys[key];
            match (key.strip_prefix(records::JOB_PREFIX), value) {
                (Some(id), Some(value)) => jobs.put_job(JobId::new(id), value, Revision(*rev)),
                _ => drop(jobs.put_beside(key, value.as_ref(), Revision(*rev))),
            }
        }
        /// What a process finds that reads all keys in this order.
        fn read(&self, order: impl Iterator<Item = usize>) -> Jobs {
            let mut jobs = Jobs::new(LAYOUT.chunk);
            let there: Vec<&String> =
                self.keys.iter().filter(|(_, (v, _))| v.is_some()).map(|(k, _)| k).collect();
            order.filter_map(|n| there.get(n)).for_each(|key| self.take(&mut jobs, key));
            jobs
        }
    }

    fn apply(jobs: &mut Jobs, change: &Change, rev: u64) {
        for write in &change.writes {
            let Write::Put { key, data, .. } = write else { continue };
            match key.strip_prefix(records::JOB_PREFIX) {
                Some(id) => jobs.put_job(JobId::new(id), data, Revision(rev)),
                None => drop(jobs.put_beside(key, Some(data), Revision(rev))),
            }
        }
    }

    #[test]
    fn a_job_ends_with_its_last_task_whatever_the_order_and_repeats() {
        let mut jobs = Jobs::new(LAYOUT.chunk);
        let id = JobId::new("wk-1");
        let change = record(&spec("wk-1", 40), &jobs);
        apply(&mut jobs, &change, 1);
        let mut order: Vec<u32> = (0..40).map(|i| (i * 7) % 40).collect();
        order.extend([3, 3, 39]);
        let mut rev = 1;
        for (nth, task) in order.iter().enumerate() {
            let job = jobs.get(&id).unwrap().clone();
            let Some(done) = complete(&id, &job, &[*task, 99], 7, &LAYOUT) else { continue };
            let change = done.change;
            rev += 1;
            apply(&mut jobs, &change, rev);
            let over = jobs.get(&id).unwrap().over();
            assert_eq!(over.is_some(), nth >= 39, "{nth}");
        }
        assert_eq!(jobs.get(&id).unwrap().over(), Some((JobStatus::Done, 40)));
    }

    #[test]
    fn nothing_goes_backward() {
        let mut jobs = Jobs::new(LAYOUT.chunk);
        let id = JobId::new("wk-2");
        let first = record(&spec("wk-2", 2), &jobs);
        apply(&mut jobs, &first, 1);
        let job = jobs.get(&id).unwrap().clone();
        let half = complete(&id, &job, &[0], 7, &LAYOUT).unwrap().change;
        apply(&mut jobs, &half, 2);
        apply(&mut jobs, &first, 1);
        assert_eq!(jobs.get(&id).unwrap().live().unwrap().done_count(), 1);
        let end = cancel(&id, jobs.get(&id).unwrap()).unwrap();
        apply(&mut jobs, &end, 4);
        apply(&mut jobs, &half, 9);
        assert_eq!(jobs.get(&id).unwrap().over(), Some((JobStatus::Cancelled, 1)));
    }

    /// A large job that was accepted in the first layout goes on in the second, under limits that
    /// its record would break: no mark is lost or invented, whoever reads the store in between, and
    /// nothing is left in the end.
    #[test]
    fn a_large_job_goes_on_in_the_second_layout_from_any_point() {
        let first = Layout { format: 0, txn_ops: 12, value_max: 14_000, ..LAYOUT };
        for (tasks, step, cancelled) in
            [(3000, 700, false), (50_000, 9000, false), (50_000, 9000, true)]
        {
            let mut store = Store::default();
            let id = JobId::new("wk-1");
            let Accept::Record(change) =
                accept(&spec("wk-1", tasks), 5, &first, &Jobs::new(16_384))
            else {
                panic!()
            };
            assert!(store.commit(&change, &first));
            let mut reported: BTreeSet<u32> = BTreeSet::new();
            let mut committed = Bits::default();
            let mut next = 0;
            for round in 0.. {
                let jobs = store.read(0..store.keys.len());
                let Some(live) = jobs.get(&id).unwrap().live() else { break };
                // What a process reads is what was committed, in whichever layout.
                assert_eq!(
                    live.done.marks().collect::<Vec<_>>(),
                    committed.marks().collect::<Vec<_>>()
                );
                let from = next;
                next = (next + step).min(tasks as u32);
                // Every other one first, so that marks of all keys grow more than once.
                reported.extend((from..next).filter(|n| round % 2 == 1 || n % 2 == 0));
                if next == tasks as u32 {
                    reported.extend(0..next);
                }
                if cancelled && round == 4 {
                    assert!(store.commit(&cancel(&id, jobs.get(&id).unwrap()).unwrap(), &LAYOUT));
                    continue;
                }
                let layout = if round < 2 { first } else { LAYOUT };
                let open: Vec<u32> =
                    reported.iter().copied().filter(|n| !live.is_done(*n)).collect();
                let Some(done) = complete(&id, jobs.get(&id).unwrap(), &open, 9, &layout) else {
                    continue;
                };
                assert!(store.commit(&done.change, &layout));
                if let Some(live) = store.read(0..store.keys.len()).get(&id).unwrap().live() {
                    let new: Vec<u32> = live.done.marks().filter(|n| !committed.has(*n)).collect();
                    assert!(new.iter().all(|n| reported.contains(n)));
                    new.into_iter().for_each(|n| committed.set(n));
                    assert!((0..tasks as u32).all(|n| !committed.has(n) || live.is_done(n)));
                }
            }
            let mut over = None;
            while over.is_none_or(|_| store.keys.values().filter(|(v, _)| v.is_some()).count() > 1)
            {
                let jobs = store.read(0..store.keys.len());
                over = jobs.get(&id).unwrap().over();
                let (guards, writes) = jobs
                    .tidy(3)
                    .into_iter()
                    .map(|(write, rev)| (Guard { key: write.key().into(), rev }, write))
                    .unzip();
                assert!(store.commit(&Change { guards, writes }, &LAYOUT));
            }
            let status = if cancelled { JobStatus::Cancelled } else { JobStatus::Done };
            assert_eq!(over.unwrap().0, status);
        }
    }

    /// However many keys marks are due in, each change fits the limits, and the rest follows.
    #[test]
    fn marks_of_many_keys_go_a_few_at_a_time() {
        let (mut store, id) = (Store::default(), JobId::new("wk-1"));
        let change = record(&spec("wk-1", 100_000), &Jobs::new(16_384));
        assert!(store.commit(&change, &LAYOUT));
        let tasks: Vec<u32> = (0..100_000).step_by(1000).collect();
        for round in 0..7 {
            let jobs = store.read(0..store.keys.len());
            let done = complete(&id, jobs.get(&id).unwrap(), &tasks, 9, &LAYOUT).unwrap();
            assert!(!done.ends && store.commit(&done.change, &LAYOUT), "{round}");
        }
        let jobs = store.read(0..store.keys.len());
        assert!(complete(&id, jobs.get(&id).unwrap(), &tasks, 9, &LAYOUT).is_none());
        assert_eq!(jobs.get(&id).unwrap().live().unwrap().done_count(), 100);
    }

    /// A description larger than a value, from the first part to the tidying up; a second submission
    /// elsewhere goes on with what the first one wrote.
    #[test]
    fn a_description_larger_than_a_value_is_kept_in_parts() {
        let mut long = plain_spec("wk-9", 2000);
        long.needs = Some((0..900).map(|n| JobId::new(&format!("wk-{n:06}"))).collect());
        long.flavors = Some((0..32).map(|n| format!("{n}{}", "é".repeat(99))).collect());
        let (long, id) = (Arc::new(long), JobId::new("wk-9"));
        let mut store = Store::default();
        let mut steps = 0;
        loop {
            let jobs = store.read((0..store.keys.len()).rev());
            assert!(jobs.get(&id).is_none());
            steps += 1;
            match accept(&long, 5, &LAYOUT, &jobs) {
                Accept::Parts(change) => assert!(store.commit(&change, &LAYOUT)),
                Accept::Record(change) => {
                    assert!(store.commit(&change, &LAYOUT));
                    break;
                }
            }
        }
        assert!(steps > 4);
        for backward in [false, true] {
            let order: Vec<usize> = (0..store.keys.len()).collect();
            let order = order.iter().copied();
            let order: Vec<usize> = if backward { order.rev().collect() } else { order.collect() };
            let jobs = store.read(order.into_iter());
            let live = jobs.get(&id).unwrap().live().unwrap();
            assert_eq!(live.spec, long);
            assert_eq!(jobs.orphans().count(), 0);
        }
        let jobs = store.read(0..store.keys.len());
        let done = complete(&id, jobs.get(&id).unwrap(), &[1, 1999], 9, &LAYOUT).unwrap();
        assert!(!done.ends && store.commit(&done.change, &LAYOUT));
        let end = cancel(&id, jobs.get(&id).unwrap()).unwrap();
        assert!(store.commit(&end, &LAYOUT));
        let jobs = store.read(0..store.keys.len());
        assert_eq!(jobs.tidy(1000).len(), store.keys.len() - 1);
    }

    fn alone(job: &LiveJob) -> pipelines::Carried {
        let due_ms = job.spec.due_s.map(|due_s| due_s as u64);
        pipelines::Carried { urgency: job.spec.urgency, due_ms }
    }

    fn length_ms(job: &LiveJob) -> u64 {
        job.spec.expect_s as u64
    }

    /// The plain model of what is carried back: by recursion over all that need the job.
    fn plain_carried(id: &JobId, live: &BTreeMap<&JobId, &LiveJob>) -> pipelines::Carried {
        let mut carried = alone(live[id]);
        for (other, job) in live.iter().filter(|(_, job)| job.needs().contains(id)) {
            let after = plain_carried(other, live);
            carried.urgency = carried.urgency.min(after.urgency);
            let begin = after.due_ms.map(|due| due.saturating_sub(length_ms(job)));
            carried.due_ms = carried.due_ms.into_iter().chain(begin).min();
        }
        carried
    }

    /// The plain model: what a job's state is, worked out anew from all records, by recursion.
    fn plain_state(
        id: usize,
        needs: &[Vec<usize>],
        ended: &BTreeMap<usize, bool>,
        memo: &mut BTreeMap<usize, Option<bool>>,
    ) -> Option<bool> {
        if let Some(state) = memo.get(&id) {
            return *state;
        }
        // Some(true): cancelled, Some(false): done.
        let cancelled =
            needs[id].iter().any(|need| plain_state(*need, needs, ended, memo) == Some(true));
        let state = ended.get(&id).copied().or(cancelled.then_some(true));
        memo.insert(id, state);
        state
    }

    proptest::proptest! {
        #![proptest_config(proptest::test_runner::Config {
            cases: 60, failure_persistence: None,
            rng_seed: proptest::test_runner::RngSeed::Fixed(7),
            ..Default::default()
        })]

        /// Random graphs of jobs with completions, cancellations, repeats, and processes that read
        /// everything anew in any order, against the plain model.
        #[test]
        fn derived_states_are_those_of_the_plain_model(
            edges in proptest::collection::vec(proptest::collection::vec(0usize..40, 0..4), 1..40),
            acts in proptest::collection::vec((0usize..40, 0u8..8), 1..80),
            shuffle in 0usize..40,
        ) {
            let count = edges.len();
            let needs: Vec<Vec<usize>> = edges
                .iter()
                .enumerate()
                .map(|(n, list)| {
                    let set: BTreeSet<usize> = list.iter().filter(|_| n > 0).map(|m| m % n.max(1)).collect();
                    set.into_iter().collect()
                })
                .collect();
            let name = |n: usize| JobId::new(&format!("wk-{}", (n * 17) % 41));
            let mut store = Store::default();
            let mut jobs = Jobs::new(LAYOUT.chunk);
            let mut ended: BTreeMap<usize, bool> = BTreeMap::new();
            let mut accepted = 0;
            for (which, act) in acts {
                let before = store.keys.clone();
                if accepted < count && act < 4 {
                    let mut spec = plain_spec(name(accepted).as_str(), 1);
                    spec.needs = Some(needs[accepted].iter().map(|n| name(*n)).collect());
                    let urgencies = [wire::Urgency::High, wire::Urgency::Normal, wire::Urgency::Low];
                    spec.urgency = urgencies[which % 3];
                    spec.due_s = (which % 4 == 0).then_some(100.0 + (which * 7 % 50) as f64);
                    spec.expect_s = which as f64;
                    store.commit(&record(&Arc::new(spec), &jobs), &LAYOUT);
                    accepted += 1;
                } else if accepted > 0 {
                    let n = which % accepted;
                    let job = jobs.get(&name(n)).unwrap().clone();
                    let (change, end) = match (act, job.live()) {
                        (5, _) => (cancel(&name(n), &job), Some(true)),
                        (6.., Some(live)) if live.ready() => {
                            let done = complete(&name(n), &job, &[0], 9, &LAYOUT);
                            (done.map(|done| done.change), Some(false))
                        }
                        // Tidying up changes no answer.
                        _ => {
                            let change = jobs.tidy(2).pop().map(|(write, rev)| Change {
                                guards: vec![Guard { key: write.key().into(), rev }],
                                writes: vec![write],
                            });
                            (change, None)
                        }
                    };
                    if let Some(change) = change
                        && store.commit(&change, &LAYOUT)
                    {
                        ended.extend(end.map(|cancelled| (n, cancelled)));
                    }
                }
                let new: Vec<String> = store.keys.iter()
                    .filter(|(key, value)| before.get(*key) != Some(*value))
                    .map(|(key, _)| key.clone()).collect();
                new.iter().for_each(|key| store.take(&mut jobs, key));
                let total = store.keys.len();
                let again = store.read((0..total).map(|n| (n + shuffle) % total.max(1)));
                let mut memo = BTreeMap::new();
                let live: BTreeMap<&JobId, &LiveJob> =
                    jobs.all.iter().filter_map(|(id, job)| Some((id, job.live()?))).collect();
                let carried = pipelines::carry_back(&live, alone, |_, job| length_ms(job));
                for (id, job) in &live {
                    let found = carried.get(*id).copied().unwrap_or_else(|| alone(job));
                    proptest::prop_assert_eq!(found, plain_carried(id, &live), "job {}", id);
                }
                for n in 0..accepted {
                    let plain = plain_state(n, &needs, &ended, &mut memo);
                    for jobs in [&jobs, &again] {
                        let job = jobs.get(&name(n)).unwrap();
                        let state = job.over().map(|(status, _)| status == JobStatus::Cancelled);
                        proptest::prop_assert_eq!(state, plain, "job {}", n);
                        if let Some(live) = job.live() {
                            let open = needs[n].iter().filter(|m| ended.get(m) != Some(&false));
                            proptest::prop_assert_eq!(live.open as usize, open.count());
                        }
                    }
                }
            }
        }
    }

    /// Thousands in a row and a graph with an astronomical number of ways through it: one
    /// cancellation ends them all, and each edge is walked once.
    #[test]
    fn long_chains_and_wide_graphs_end_at_once() {
        let layered = |n: usize| -> Vec<usize> {
            let layer = n / 5;
            if layer == 0 { vec![] } else { (0..5).map(|k| (layer - 1) * 5 + k).collect() }
        };
        let chain = |n: usize| if n == 0 { vec![] } else { vec![n - 1] };
        let graphs: [fn(usize) -> Vec<usize>; 2] = [chain, layered];
        for needs in graphs {
            for backward in [false, true] {
                let mut jobs = Jobs::new(LAYOUT.chunk);
                let name = |n: usize| JobId::new(&format!("wk-{n}"));
                let mut order: Vec<usize> = (0..5000).collect();
                if backward {
                    order.reverse();
                }
                for n in order {
                    let mut spec = plain_spec(name(n).as_str(), 1);
                    spec.urgency =
                        if n == 4999 { wire::Urgency::Production } else { wire::Urgency::Low };
                    spec.due_s = Some(if n == 4999 { 1e6 } else { 2e6 });
                    spec.needs = Some(needs(n).into_iter().map(name).collect());
                    let change = record(&Arc::new(spec), &jobs);
                    apply(&mut jobs, &change, 1);
                }
                let live =
                    jobs.all.iter().filter_map(|(id, job)| Some((id, job.live()?))).collect();
                let alone = |job: &LiveJob| pipelines::Carried {
                    urgency: job.spec.urgency,
                    due_ms: job.spec.due_s.map(|due_s| due_s as u64),
                };
                let carried = pipelines::carry_back(&live, alone, |_, _| 10);
                let first = carried[&name(0)];
                assert_eq!(first.urgency, wire::Urgency::Production);
                let layers = if needs(4999).len() == 1 { 4999 } else { 999 };
                assert_eq!(first.due_ms, Some(1_000_000 - layers * 10));
                let end = cancel(&name(0), jobs.get(&name(0)).unwrap()).unwrap();
                jobs.take_changed();
                apply(&mut jobs, &end, 2);
                let over = jobs.all.values().filter(|job| job.over().is_some()).count();
                let all = if layers == 999 { 4996 } else { 5000 };
                assert_eq!((over, jobs.take_changed().len()), (all, all));
            }
        }
    }
}
