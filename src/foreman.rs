//! The leader's work: what it knows of machines and tasks, turned into commands.
//!
//! A core without clock or I/O. It exists only while its process leads, is built anew for each
//! leadership from the store's records and the workers' reports, and stores no placements.

use crate::clock::Wall;
use crate::cloud::{CloudCore, CloudEvent, Kind};
use crate::constants::*;
use crate::faults::Evidence;
use crate::fleet::{Entry, Fact, Heard, Life, Machine, Stop};
use crate::ids::{Amount, Attempt, JobId, MachineId, NodeName, Revision, TaskId, Token};
use crate::jobs::{self, Job, JobBody, LiveJob};
use crate::mesh::MeshMessage;
use crate::pipelines::Carried;
use crate::placement::{self, Ask, Basket, Bin, Claim, Input, Offer, Rents};
use crate::settings::Settings;
use crate::state::{
    Bucket, Cache, Item, LEADER_KEY, MACHINE_PREFIX, MachineRecord, Origin, Outcome, Rank,
    StateCore,
};
use crate::vouch::Grants;
use crate::wire::{Data, Flavor, Guard, Order, Orders, Report, Shape, TaskState, Urgency, Write};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use troutspindle_elastic::Widths;

mod asks;
mod chains;
pub mod drains;
mod elastic;
mod learning;
mod lost;
mod moves;
mod shortage;
mod stops;
mod tidy;

use drains::Draining;
use learning::Learning;
use shortage::{Group, Shortage};
use stops::Stoppable;
use tidy::Tidy;

/// Why a task was stopped, where the reason is asked for later.
const PREEMPTED: &str = "preempted";
const MOVED: &str = "moved";
const OVER: &str = "its job is over";

type TaskAttempt = (TaskId, Attempt);

/// All attempts at all tasks of a job.
fn attempts_of(id: &JobId) -> RangeInclusive<TaskAttempt> {
    let at = |index: u32, attempt: u64| (TaskId { job: id.clone(), index }, Attempt(attempt));
    at(0, 0)..=at(u32::MAX, u64::MAX)
}

/// A message to a worker.
#[derive(Debug)]
pub enum Direct {
    Status,
    Do(Orders),
}

/// What the leader knows of a live job's tasks beyond the store's record.
#[derive(Debug, Default)]
struct Work {
    /// It was there before this leadership began: a predecessor may have started its tasks.
    old: bool,
    /// When this leader first saw it.
    known: Option<Instant>,
    placed: BTreeMap<u32, (MachineId, Attempt)>,
    /// Reported done, not committed yet.
    completing: BTreeSet<u32>,
    /// Not before, and how often it failed.
    retry: BTreeMap<u32, (Instant, u32)>,
    /// Tasks below the cursor that are to be started again: at once, or after a pause.
    again: BTreeSet<u32>,
    paused: BTreeSet<(Instant, u32)>,
    /// Whether its failures are its own fault.
    evidence: Evidence,
    /// How often tasks of it made way for urgent ones.
    made_way: u32,
    /// Whether its work was counted as it came, and among what.
    counted: bool,
    group: Option<Group>,
    /// Tasks from here on were not looked at yet; those below that wait stand in `again` or `paused`.
    cursor: u32,
}

impl Work {
    /// How many of the job's tasks are neither done nor placed. Some may be both, until the news
    /// of a commit has come.
    fn waiting(&self, job: &LiveJob) -> u64 {
        job.spec.tasks.saturating_sub(job.done_count()).saturating_sub(self.placed.len() as u64)
    }

    /// The pause of a task until it may be tried again.
    fn pause_of(&self, task: u32, now: Instant) -> Option<Instant> {
        self.retry.get(&task).map(|(at, _)| *at).filter(|at| *at > now)
    }

    /// A task is placed no longer and not done.
    fn again(&mut self, task: u32, now: Instant) {
        if task < self.cursor {
            match self.pause_of(task, now) {
                Some(at) => drop(self.paused.insert((at, task))),
                None => drop(self.again.insert(task)),
            }
        }
    }

    /// Ends pauses that are over.
    fn wake(&mut self, now: Instant) {
        while let Some((at, task)) = self.paused.first().copied()
            && at <= now
        {
            self.paused.pop_first();
            self.again.insert(task);
        }
    }

    /// Takes the next task that may be started out of those that wait. Each task is passed once
    /// and once more for each time it comes back, however many there are.
    fn next(&mut self, job: &LiveJob, now: Instant) -> Option<u32> {
        let open = |work: &Work, task: u32| !work.placed.contains_key(&task) && !job.is_done(task);
        while let Some(task) = self.again.pop_first() {
            if open(self, task) {
                return Some(task);
            }
        }
        while self.cursor < job.tasks() {
            let task = self.cursor;
            self.cursor += 1;
            if !open(self, task) {
                continue;
            }
            match self.pause_of(task, now) {
                Some(at) => drop(self.paused.insert((at, task))),
                None => return Some(task),
            }
        }
        None
    }
}

/// A job that asks for machines in a planning pass, and how many of its tasks are still to be placed.
struct Source {
    job: JobId,
    left: u32,
}

/// Ranks of machines within a zone: the lowest free one is given to the next.
#[derive(Debug, Default)]
struct Ranks {
    free: BTreeSet<u64>,
    next: u64,
}

pub struct Foreman {
    pub token: Token,
    leader_rev: Revision,
    since: Instant,
    counter: u64,
    settings: Arc<Settings>,
    teams: HashMap<String, usize>,
    flavors: Vec<Flavor>,
    pub machines: BTreeMap<MachineId, Machine>,
    /// By zone.
    ranks: Vec<Ranks>,
    /// Ordered, so that equal events have equal effects.
    work: BTreeMap<JobId, Work>,
    /// Jobs that another controller told users to be cancelled, while the cache still has them
    /// as live: nothing of theirs is started any more.
    told_cancelled: HashSet<JobId>,
    /// Jobs that users ask to cancel: none of theirs is started until then.
    held: HashMap<JobId, Instant>,
    images: HashMap<Arc<str>, u32>,
    /// Kinds that refused: until when each is left alone, and how many to ask for then.
    scarce: HashMap<Kind, (Instant, u32)>,
    /// Surely gone: a lagging list may still show them.
    buried: HashSet<MachineId>,
    listed_once: bool,
    watch_at: Instant,
    plan_at: Instant,
    plan_wanted: bool,
    /// A pass was made in the event that is being handled.
    planned: bool,
    /// Machines kept as warm room.
    reserved: HashSet<MachineId>,
    consolidate_at: Instant,
    /// When each zone was last found silent.
    zone_silent_at: Vec<Option<Instant>>,
    /// When any worker of each zone was last heard.
    zone_heard: Vec<Option<Instant>>,
    /// Starts of least urgent tasks, and how many a second they may be.
    low_starts: Bucket,
    low_rate: f64,
    paced_at: Instant,
    /// When this process last fell behind.
    behind_at: Option<Instant>,
    /// When marks of jobs that go on are written next.
    marks_at: Instant,
    /// Tasks that the last planning round left waiting, by cause: for the log.
    waits: BTreeMap<&'static str, u64>,
    /// How many machines controllers can hold, and how many calls to workers may be under way at once.
    pub most_machines: u32,
    pub most_direct: usize,
    /// From which machine on calls are sent next, where not all may be under way at once.
    direct_from: Option<MachineId>,
    pub wall: Wall,
    /// What jobs inherit from those that need them, and whether that is to be found out anew.
    carried: HashMap<JobId, Carried>,
    carried_old: bool,
    tidy: Tidy,
    learning: Learning,
    shortage: Shortage,
    draining: Draining,
    /// What is remembered of elastic jobs.
    widths: Widths<JobId>,
    pub grants: Grants,
    pub direct: Vec<(MachineId, SocketAddr, Direct)>,
    pub last_report: Instant,
    pub reports: u64,
    pub starts: u64,
    pub stops: u64,
}

impl Foreman {
    pub fn new(
        token: Token,
        leader_rev: Revision,
        settings: Arc<Settings>,
        cache: &Cache,
        wall: Wall,
        now: Instant,
    ) -> Foreman {
        let names = settings.platform.params.teams.iter().map(|team| team.name.clone());
        let peers = settings.platform.others.iter().map(|peer| peer.host_name.clone());
        let zones = settings.platform.params.zones.len();
        let ranks = std::iter::repeat_with(Ranks::default).take(zones).collect();
        let shortage = Shortage::new(settings.operator.floor);
        let mut foreman = Foreman {
            token,
            grants: Grants::new(token, peers, now),
            zone_silent_at: vec![None; zones],
            zone_heard: vec![None; zones],
            leader_rev,
            since: now,
            counter: 0,
            teams: names.enumerate().map(|(i, name)| (name, i)).collect(),
            flavors: cache.flavors.0.clone(),
            settings,
            machines: BTreeMap::new(),
            ranks,
            work: BTreeMap::new(),
            told_cancelled: HashSet::new(),
            held: HashMap::new(),
            images: HashMap::new(),
            scarce: HashMap::new(),
            buried: HashSet::new(),
            listed_once: false,
            watch_at: now,
            plan_at: now,
            plan_wanted: true,
            planned: false,
            reserved: HashSet::new(),
            consolidate_at: now + MOVE_AFTER,
            low_starts: Bucket::new(LOW_RATE_FIRST, 1.0, now),
            low_rate: LOW_RATE_FIRST,
            paced_at: now,
            behind_at: None,
            marks_at: now,
            waits: BTreeMap::new(),
            most_machines: u32::MAX,
            most_direct: usize::MAX,
            direct_from: None,
            wall,
            carried: HashMap::new(),
            carried_old: true,
            tidy: Tidy::new(now),
            learning: Learning::new(cache),
            shortage,
            draining: Draining::default(),
            widths: Widths::default(),
            direct: Vec::new(),
            last_report: now,
            reports: 0,
            starts: 0,
            stops: 0,
        };
        for (id, (record, _)) in &cache.machines {
            let Some(kind) = foreman.kind(&record.flavor, &record.zone, record.spot) else {
                continue;
            };
            let machine = foreman.add_machine(id, kind, now);
            machine.recorded = true;
            machine.confirmed = false;
            machine.life = Life::Up;
            machine.address = record.address.parse().ok();
        }
        for (id, job) in &cache.jobs.all {
            if let Some(live) = job.live() {
                // A predecessor started nothing that still waits for other jobs: the cache holds
                // all that it committed.
                let old = live.ready();
                foreman.work.insert(id.clone(), Work { old, ..Work::default() });
            }
        }
        foreman
    }

    fn zone(&self, name: &str) -> Option<usize> {
        self.settings.platform.params.zones.iter().position(|zone| zone == name)
    }

    fn kind(&self, flavor: &str, zone: &str, spot: bool) -> Option<Kind> {
        let flavor = self.flavors.iter().position(|f| f.name == flavor)?;
        Some(Kind { flavor, zone: self.zone(zone)?, spot })
    }

    fn size(&self, flavor: usize) -> Amount {
        self.flavors.get(flavor).map(|f| Amount::room(f.cpus, f.gpus, f.ram_gb)).unwrap_or_default()
    }

    /// Indices are dealt round-robin over the zones: a machine gets the lowest rank free in its
    /// zone, so the loss of a zone never takes most of a basket.
    fn add_machine(&mut self, id: &MachineId, kind: Kind, now: Instant) -> &mut Machine {
        let zones = self.settings.platform.params.zones.len() as u64;
        let known = self.machines.get(id).map(|machine| machine.index);
        let ranks = &mut self.ranks[kind.zone];
        let index = known.unwrap_or_else(|| {
            let rank = ranks.free.pop_first().unwrap_or_else(|| {
                ranks.next += 1;
                ranks.next - 1
            });
            rank * zones + kind.zone as u64
        });
        self.machines.entry(id.clone()).or_insert_with(|| {
            Machine::new(id.clone(), kind.flavor, kind.zone, kind.spot, index, now)
        })
    }

    fn team_of(&self, name: &str) -> usize {
        self.teams.get(name).copied().unwrap_or(usize::MAX)
    }

    fn leader_guard(&self) -> Guard {
        Guard { key: LEADER_KEY.into(), rev: self.leader_rev }
    }

    // ---- reports -------------------------------------------------------------------------

    /// A report on `/hello`; the answer renews the worker's lease. None: a later leader exists.
    pub fn on_report(&mut self, report: &Report, cache: &Cache, now: Instant) -> Option<Orders> {
        self.last_report = now;
        self.reports += 1;
        if self.buried.contains(&report.machine) {
            // Held back by the network since before the machine was deleted.
            return Some(self.answer(Vec::new()));
        }
        if !self.machines.contains_key(&report.machine) {
            let Some(kind) = self.kind(&report.flavor, &report.zone, report.spot) else {
                return Some(self.answer(Vec::new()));
            };
            tracing::info!(machine = %report.machine, "a machine reports that was not known");
            self.add_machine(&report.machine, kind, now);
        }
        if !self.take_report(report, cache, now) {
            return None;
        }
        let machine = self.machines.get_mut(&report.machine)?;
        // The answer is about to be sent, so its lease may now last until a lease from here.
        machine.answered = now;
        let orders = machine.orders();
        Some(self.answer(orders))
    }

    fn answer(&self, orders: Vec<Order>) -> Orders {
        Orders { token: self.token, session: None, orders }
    }

    /// False: the worker has seen a higher token than ours.
    fn take_report(&mut self, report: &Report, cache: &Cache, now: Instant) -> bool {
        let Some(machine) = self.machines.get_mut(&report.machine) else { return true };
        if let Ok(address) = report.address.parse() {
            machine.address = Some(address);
        }
        if machine.up_since.is_none() && !machine.recorded {
            let boot_s = now.saturating_duration_since(machine.rented).as_secs_f64();
            tracing::info!(machine = %machine.id, boot_s, "machine is up");
        }
        let quiet = self.settings.report_every() * 2;
        let usable = |m: &Machine| (m.life, m.confirmed, m.session, m.silent_for(now) > quiet);
        let before = usable(machine);
        let had_notice = machine.recall_at.is_some();
        let facts = match machine.hear(report, self.token, now) {
            Heard::Superseded => return false,
            Heard::Stale => return true,
            Heard::News(facts) => facts,
        };
        if !had_notice && machine.recall_at.is_some() {
            tracing::info!(machine = %machine.id, notice_s = report.notice_s, "spot notice");
        }
        // Most reports say what is known already and change no plan.
        self.zone_heard[machine.zone] = Some(now);
        let news = !facts.is_empty()
            || usable(machine) != before
            || had_notice != machine.recall_at.is_some();
        let id = report.machine.clone();
        for fact in facts {
            self.on_fact(&id, fact, cache, now);
        }
        self.drain_if_recalled(&id, cache, now);
        self.plan_wanted |= news;
        true
    }

    fn on_fact(&mut self, machine: &MachineId, fact: Fact, cache: &Cache, now: Instant) {
        match fact {
            Fact::Running(task, attempt) => self.on_running(machine, &task, attempt, cache, now),
            Fact::Found(task, attempt) => self.adopt(machine, task, attempt, cache),
            Fact::Vanished(task, attempt, ran) => {
                let live = cache.jobs.get(&task.job).and_then(Job::live);
                self.learn_end(&task, machine, live, (ran, false, false));
                tracing::info!(%machine, %task, %attempt, "task is gone with its machine's session");
                self.release(&task, attempt, now);
            }
            Fact::Exited { task, attempt, why, saved } => {
                self.on_exit(machine, task, attempt, &why, saved, cache, now);
            }
        }
    }

    fn on_running(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        cache: &Cache,
        now: Instant,
    ) {
        let since = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let Some(machine) = self.machines.get(id) else { return };
        let Some(entry) = machine.entries.get(&(task.clone(), attempt)) else { return };
        let Some(live) = cache.jobs.get(&task.job).and_then(Job::live) else { return };
        let known_ms = self.work.get(&task.job).and_then(|work| work.known).map(since);
        let class = &live.spec.class;
        let fetch_ms = since(entry.placed);
        tracing::debug!(machine = %id, %task, class, known_ms, fetch_ms, image = %entry.image, "running");
    }

    /// The job, if its tasks may still be started.
    fn live<'a>(&self, cache: &'a Cache, id: &JobId) -> Option<&'a LiveJob> {
        let live = cache.jobs.get(id).and_then(Job::live)?;
        (!self.told_cancelled.contains(id)).then_some(live)
    }

    /// A task that a predecessor started.
    fn adopt(&mut self, machine: &MachineId, task: TaskId, attempt: Attempt, cache: &Cache) {
        let job = cache.jobs.get(&task.job);
        let (team, need, image, urgency) = match job.map(|job| &job.body) {
            Some(JobBody::Live(live)) => {
                let image = Arc::from(live.spec.image.as_str());
                let urgency = self.urgency(&task.job, live);
                (self.team_of(&live.spec.team), live.need, image, urgency)
            }
            Some(JobBody::Over { rest: Some(rest), .. }) => {
                (self.team_of(&rest.0), rest.1, Arc::from(""), Urgency::Production)
            }
            _ => (usize::MAX, Amount::default(), Arc::from(""), Urgency::Production),
        };
        let live = self.live(cache, &task.job).is_some();
        let work = live.then(|| self.work.entry(task.job.clone()).or_default());
        let Some(machine) = self.machines.get_mut(machine) else { return };
        machine.owed = true;
        let Some(entry) = machine.entries.get_mut(&(task.clone(), attempt)) else { return };
        (entry.team, entry.need, entry.image, entry.urgency) = (team, need, image, urgency);
        let exited = entry.state == TaskState::Exited;
        let key = (task.clone(), attempt);
        machine.adopted(&key);
        let Some(work) = work else {
            return machine.stop(&key, Stop { grace_s: 0.0, reason: OVER });
        };
        match work.placed.get(&task.index) {
            None => {
                work.placed.insert(task.index, (machine.id.clone(), attempt));
            }
            Some(other) if !exited => {
                tracing::error!(%task, %attempt, other = %other.0, "a task was found twice");
                machine.stop(&key, Stop { grace_s: 0.0, reason: "found twice" });
            }
            Some(_) => {}
        }
    }

    fn release(&mut self, task: &TaskId, attempt: Attempt, now: Instant) {
        if let Some(work) = self.work.get_mut(&task.job)
            && work.placed.get(&task.index).is_some_and(|(_, placed)| *placed == attempt)
            && !work.completing.contains(&task.index)
        {
            work.placed.remove(&task.index);
            work.again(task.index, now);
        }
        self.plan_wanted = true;
    }

    #[allow(clippy::too_many_arguments)]
    fn on_exit(
        &mut self,
        id: &MachineId,
        task: TaskId,
        attempt: Attempt,
        why: &str,
        saved: bool,
        cache: &Cache,
        now: Instant,
    ) {
        if let Some(machine) = self.machines.get_mut(id)
            && let Some(entry) = machine.entries.get(&(task.clone(), attempt))
            && entry.urgency < Urgency::Low
        {
            machine.vacated_at = Some(now);
        }
        let live = self.live(cache, &task.job);
        let done = why == "done" && live.is_some_and(|l| l.spec.shape != Shape::Service);
        let entry = self.machines.get(id).and_then(|m| m.entries.get(&(task.clone(), attempt)));
        let began = entry.and_then(|entry| entry.began);
        let ran = began.map(|at| now.saturating_duration_since(at));
        if (done && live.is_some_and(|live| !self.is_completing(&task, live))) || why == "halted" {
            self.learn_end(&task, id, live, (ran, done, saved));
        }
        if let (true, Some(live)) = (done, live) {
            // The machine keeps the exit until the completion is committed.
            if !live.is_done(task.index) {
                let work = self.work.entry(task.job.clone()).or_default();
                work.completing.insert(task.index);
                self.did_well(&task.job, now);
                return;
            }
        }
        if why != "halted" && why != "done" {
            tracing::info!(machine = %id, %task, %attempt, why, saved, "task ended");
        } else {
            tracing::debug!(machine = %id, %task, %attempt, why, saved, "task ended");
        }
        let Some(machine) = self.machines.get_mut(id) else { return };
        let index = task.index;
        let mut made_way = false;
        if let Some(entry) = machine.entries.get_mut(&(task.clone(), attempt)) {
            entry.settled = true;
            made_way = entry.stopped_for(PREEMPTED);
            if entry.stopped_for(MOVED) || entry.stopped_for(PREEMPTED) {
                // Somebody waits: a service for its replica, or urgent work for this room.
                self.plan_at = now;
            }
        }
        if live.is_some() && !done {
            let work = self.work.entry(task.job.clone()).or_default();
            work.made_way += u32::from(made_way);
            let failures = work.retry.get(&index).map_or(0, |(_, n)| *n);
            let pause = match why {
                "halted" => Duration::ZERO,
                "no_room" | "in_use" => RETRY_FIRST,
                _ => RETRY_MOST.min(RETRY_FIRST * 2u32.pow(failures.min(6))),
            };
            if why == "error" {
                machine.failed_jobs.insert(task.job.clone());
                let before = work.evidence.mistaken();
                work.evidence.failed(id, now);
                if work.evidence.mistaken() && !before {
                    let machines = work.evidence.failed_on.len();
                    tracing::info!(job = %task.job, machines, "fails everywhere, tried now and then");
                }
            }
            let count = if why == "halted" { failures } else { failures + 1 };
            work.retry.insert(index, (now + pause, count));
        }
        self.release(&task, attempt, now);
    }

    /// Its completion was reported before.
    fn is_completing(&self, task: &TaskId, live: &LiveJob) -> bool {
        let work = self.work.get(&task.job);
        live.is_done(task.index) || work.is_some_and(|work| work.completing.contains(&task.index))
    }

    /// A task ended well or ran for a while: a job that seemed mistaken goes on at once.
    fn did_well(&mut self, id: &JobId, now: Instant) {
        let Some(work) = self.work.get_mut(id) else { return };
        if work.evidence.did_well() {
            tracing::info!(job = %id, "does well after all");
            work.retry.values_mut().for_each(|(at, _)| *at = (*at).min(now));
            let paused = std::mem::take(&mut work.paused);
            work.again.extend(paused.into_iter().map(|(_, task)| task));
            self.plan_wanted = true;
        }
    }

    /// Looks whether jobs that failed have tasks by now that ran for a while, and which machines
    /// failed jobs that do well elsewhere. A job that is done did, one cancelled tells nothing.
    fn weigh_failures(&mut self, cache: &Cache, now: Instant) {
        let ran = |(machine, attempt): &(MachineId, Attempt), job: &JobId, index: u32| {
            let entry = self.machines.get(machine)?;
            let entry = entry.entries.get(&(TaskId { job: job.clone(), index }, *attempt))?;
            (entry.state == TaskState::Running && now >= entry.running_since? + PROVEN_AFTER)
                .then_some(())
        };
        let open = self.work.iter().filter(|(_, work)| work.evidence.open());
        let proven: Vec<JobId> = open
            .filter(|(id, work)| work.placed.iter().any(|(n, at)| ran(at, id, *n).is_some()))
            .map(|(id, _)| id.clone())
            .collect();
        for id in proven {
            self.did_well(&id, now);
        }
        for machine in self.machines.values_mut().filter(|m| m.failed_jobs.len() >= FAULTY_JOBS) {
            let sound = |id: &&JobId| match cache.jobs.get(id).map(|job| &job.body) {
                Some(JobBody::Over { cancelled, .. }) => !cancelled,
                _ => self.work.get(*id).is_some_and(|work| work.evidence.sound()),
            };
            machine.faulty = machine.failed_jobs.iter().filter(sound).count() >= FAULTY_JOBS;
        }
    }

    /// A spot machine that will be taken: what can save does, what cannot finish moves.
    fn drain_if_recalled(&mut self, id: &MachineId, cache: &Cache, now: Instant) {
        let known_rest = self.settings.operator.estimates.drain;
        let Some(machine) = self.machines.get_mut(id) else { return };
        let Some(at) = machine.recall_at else { return };
        let left = at.saturating_duration_since(now).as_secs_f64();
        let drained = |((task, _), entry): &(&TaskAttempt, &Entry)| {
            if entry.stop.is_some() || entry.state == TaskState::Exited {
                return false;
            }
            let Some(live) = cache.jobs.get(&task.job).and_then(Job::live) else { return false };
            let ran = entry.running_since.map(|t| now.saturating_duration_since(t).as_secs_f64());
            let known =
                ran.filter(|_| known_rest).and_then(|ran| self.learning.rest_s(&task.job, ran));
            let rest = known.unwrap_or(live.spec.expect_s - ran.unwrap_or(0.0));
            live.spec.shape != Shape::Array || ran.is_none() || rest >= left - 1.0
        };
        let keys: Vec<_> = machine.entries.iter().filter(drained).map(|(k, _)| k.clone()).collect();
        for key in keys {
            let stop = Stop { grace_s: (left - 1.0).max(0.0), reason: "spot notice" };
            machine.stop(&key, stop);
            self.stops += 1;
        }
    }

    // ---- the store ------------------------------------------------------------------------

    /// Records of these jobs may have changed.
    pub fn on_jobs(&mut self, ids: &[JobId], cache: &Cache, now: Instant) {
        self.carried_old |= !self.carried.is_empty();
        for id in ids {
            let Some(job) = cache.jobs.get(id) else { continue };
            match &job.body {
                JobBody::Live(_) if self.told_cancelled.contains(id) => {}
                JobBody::Live(live) => {
                    self.carried_old |= !live.needs().is_empty();
                    let work = self.work.entry(id.clone()).or_default();
                    if live.ready() {
                        work.known.get_or_insert(now);
                    }
                    let done: Vec<u32> =
                        work.placed.keys().filter(|task| live.is_done(**task)).copied().collect();
                    for task in done {
                        work.completing.remove(&task);
                        work.retry.remove(&task);
                        let Some((machine, attempt)) = work.placed.remove(&task) else { continue };
                        let Some(machine) = self.machines.get_mut(&machine) else { continue };
                        let key = (TaskId { job: id.clone(), index: task }, attempt);
                        match machine.entries.get_mut(&key) {
                            Some(entry) if entry.state == TaskState::Exited => entry.settled = true,
                            // A second run of a task that is done by now.
                            _ => {
                                machine.stop(&key, Stop { grace_s: 0.0, reason: "done elsewhere" })
                            }
                        }
                    }
                }
                JobBody::Over { cancelled, .. } => {
                    self.learn_over(id, *cancelled, now);
                    self.told_cancelled.remove(id);
                    if self.work.remove(id).is_some() {
                        tracing::debug!(job = %id, cancelled, "job is over");
                    }
                    self.stop_all(id);
                }
            }
        }
        self.plan_wanted = true;
    }

    /// Jobs that another controller told its users to be cancelled. While the store is out of
    /// reach this is the only way to learn of them.
    pub fn on_told_cancelled(&mut self, ids: &[JobId], cache: &Cache) {
        for id in ids {
            if self.live(cache, id).is_some() {
                tracing::info!(job = %id, "cancelled, as another controller tells");
                // Remembered, not only forgotten as work: the end of one of its tasks would
                // otherwise make it new work, none of whose tasks seem to run anywhere.
                self.told_cancelled.insert(id.clone());
                self.work.remove(id);
                self.stop_all(id);
            }
        }
    }

    /// Stops whatever a job that is over has anywhere.
    fn stop_all(&mut self, id: &JobId) {
        let attempts = attempts_of(id);
        for machine in self.machines.values_mut() {
            let mut keys = Vec::new();
            for (key, entry) in machine.entries.range_mut(attempts.clone()) {
                if entry.state == TaskState::Exited {
                    entry.settled = true;
                } else if entry.stop.as_ref().is_none_or(|stop| stop.grace_s > 0.0) {
                    keys.push(key.clone());
                }
            }
            for key in keys {
                machine.stop(&key, Stop { grace_s: 0.0, reason: OVER });
                self.stops += 1;
            }
        }
    }

    pub fn on_outcome(&mut self, origin: &Origin, outcome: Outcome, state: &mut StateCore) {
        if *origin == Origin::Tidy {
            return self.tidied(outcome, state);
        }
        if let Origin::Estimates(bucket) = origin {
            return self.estimates_told(*bucket, outcome);
        }
        if let (Origin::MachineKnown(id), Outcome::Committed) = (origin, outcome)
            && let Some(machine) = self.machines.get_mut(id)
        {
            machine.recorded = true;
            machine.owed = true;
            self.plan_wanted = true;
        }
    }

    /// Hands the store what is due: records of machines and completions.
    fn store(&mut self, state: &mut StateCore, now: Instant) {
        for machine in self.machines.values().filter(|m| m.life == Life::Up && !m.recorded) {
            let origin = Origin::MachineKnown(machine.id.clone());
            if state.has_item(&origin) {
                continue;
            }
            let Some(address) = machine.address else { continue };
            let key = format!("{MACHINE_PREFIX}{}", machine.id);
            let rev = state.cache.machines.get(&machine.id).map_or(Revision(0), |(_, rev)| *rev);
            let record = MachineRecord {
                address: address.to_string(),
                flavor: self.flavors[machine.flavor].name.clone(),
                zone: self.settings.platform.params.zones[machine.zone].clone(),
                spot: machine.spot,
            };
            let data = Data::serialized(&record).unwrap_or(Data::Null);
            let change = jobs::Change {
                guards: vec![Guard { key: key.clone(), rev }, self.leader_guard()],
                writes: vec![Write::Put { key, data, hold: None }],
            };
            state.push(Item { rank: Rank::Awaited, origin, change });
        }
        self.store_completions(state, now);
    }

    /// Removes the records of machines that are surely gone.
    fn store_gone(&self, state: &mut StateCore) {
        let gone: Vec<(MachineId, Revision)> = state
            .cache
            .machines
            .iter()
            .filter(|(id, _)| !self.machines.contains_key(*id))
            // One of a kind that is not known is not known to be gone.
            .filter(|(_, (m, _))| self.kind(&m.flavor, &m.zone, m.spot).is_some())
            .map(|(id, (_, rev))| (id.clone(), *rev))
            .collect();
        for (id, rev) in gone {
            let origin = Origin::MachineGone(id.clone());
            if state.has_item(&origin) {
                continue;
            }
            let key = format!("{MACHINE_PREFIX}{id}");
            let change = jobs::Change {
                guards: vec![Guard { key: key.clone(), rev }, self.leader_guard()],
                writes: vec![Write::Delete { key }],
            };
            state.push(Item { rank: Rank::Rest, origin, change });
        }
    }

    fn store_completions(&mut self, state: &mut StateCore, now: Instant) {
        let marks = now >= self.marks_at && !state.is_behind();
        if marks {
            self.marks_at = now + MARKS_EVERY;
        }
        let layout = state.layout();
        let now_ms = self.wall.ms(now);
        let guard = self.leader_guard();
        let reported = self.work.iter().filter(|(_, work)| !work.completing.is_empty());
        let mut reported: Vec<(&JobId, &Work)> = reported.collect();
        // A write carries whatever marks of a job have come, so the longer marks wait the fewer writes
        // they take. Where the budget is short, only what ends a job goes at once.
        reported.sort_by_key(|(_, work)| Reverse(work.completing.len()));
        for (id, work) in reported {
            let origin = Origin::Completion(id.clone());
            if state.has_item(&origin) {
                continue;
            }
            let Some(job) = state.cache.jobs.get(id) else { continue };
            let tasks: Vec<u32> = work.completing.iter().copied().collect();
            let Some(done) = jobs::complete(id, job, &tasks, now_ms, &layout) else { continue };
            if !done.ends && (!marks || state.is_behind()) {
                continue;
            }
            let mut change = done.change;
            change.guards.push(guard.clone());
            let rank = if done.ends { Rank::Awaited } else { Rank::Completion };
            state.push(Item { rank, origin, change });
        }
    }

    // ---- the cloud ------------------------------------------------------------------------

    pub fn on_cloud(&mut self, event: CloudEvent, cache: &Cache, now: Instant) {
        self.plan_wanted = true;
        match event {
            CloudEvent::Flavors(found) => {
                crate::wire::merge(&mut self.flavors, found);
                // What counts as heavy follows from the largest type.
                self.machines.values_mut().for_each(Machine::entries_changed);
            }
            CloudEvent::Hired(kind, machines) => {
                self.shortage.cloud_told();
                if let Some((_, most)) = self.scarce.get_mut(&kind) {
                    *most *= CAPACITY_GROWTH;
                    if *most > HIRE_MAX {
                        self.scarce.remove(&kind);
                    }
                }
                for id in &machines {
                    self.add_machine(id, kind, now);
                }
                let zone = &self.settings.platform.params.zones[kind.zone];
                tracing::info!(count = machines.len(), %zone, spot = kind.spot, "rented");
            }
            CloudEvent::Refused(kind) => {
                self.shortage.cloud_told();
                let zone = &self.settings.platform.params.zones[kind.zone];
                tracing::info!(%zone, spot = kind.spot, "rental refused");
                self.scarce.insert(kind, (now + CAPACITY_REST, CAPACITY_PROBE));
            }
            CloudEvent::Deleted(machines) => {
                for id in machines {
                    self.buried.insert(id.clone());
                    self.gone(&id, "returned", cache, now);
                }
            }
            CloudEvent::Listed(listed, asked) => self.on_list(listed, asked, cache, now),
        }
    }

    fn on_list(
        &mut self,
        listed: Vec<crate::wire::Listed>,
        asked: Instant,
        cache: &Cache,
        now: Instant,
    ) {
        self.listed_once = true;
        let mut present = HashSet::new();
        for row in listed {
            if self.buried.contains(&row.machine) {
                continue;
            }
            present.insert(row.machine.clone());
            if row.status == crate::wire::ListedState::Failed {
                self.gone(&row.machine, "failed", cache, now);
                // It stays in the list until it is deleted.
                self.reserved.remove(&row.machine);
                if let Some(kind) = self.kind(&row.flavor, &row.zone, row.spot) {
                    let machine = self.add_machine(&row.machine, kind, now);
                    machine.life = Life::Returning;
                }
                continue;
            }
            if !self.machines.contains_key(&row.machine) {
                let Some(kind) = self.kind(&row.flavor, &row.zone, row.spot) else { continue };
                self.add_machine(&row.machine, kind, now);
            }
            if let Some(machine) = self.machines.get_mut(&row.machine) {
                // A new leader knows from here how long a machine has been paid for.
                let age = Duration::from_secs_f64(row.age_s.clamp(0.0, 1e7));
                let rented = now.checked_sub(age).unwrap_or(machine.rented);
                machine.rented = machine.rented.min(rented);
                if machine.address.is_none() {
                    machine.address = row.address.as_deref().and_then(|a| a.parse().ok());
                }
            }
        }
        // A machine once listed stays listed until it is gone, but a list may be older than the
        // one before. So a missing machine is only suspected; its deletion gives the proof.
        let lag =
            Duration::from_secs_f64(self.settings.platform.params.cloud.list_lag_s * 2.0 + 1.0);
        let quiet = self.settings.report_every() * 2;
        for machine in self.machines.values_mut() {
            if !present.contains(&machine.id)
                && machine.life != Life::Returning
                && machine.silent_for(asked) > quiet
                && asked.saturating_duration_since(machine.rented) > lag
            {
                tracing::info!(machine = %machine.id, "silent and not listed");
                machine.life = Life::Returning;
            }
        }
    }

    fn gone(&mut self, id: &MachineId, how: &'static str, cache: &Cache, now: Instant) {
        let Some(mut machine) = self.machines.remove(id) else { return };
        let zones = self.settings.platform.params.zones.len() as u64;
        self.ranks[machine.zone].free.insert(machine.index / zones);
        tracing::info!(machine = %id, how, tasks = machine.entries.len(), "machine is gone");
        for fact in machine.lose_all() {
            self.on_fact(id, fact, cache, now);
        }
    }

    pub fn leader_rev(&self) -> Revision {
        self.leader_rev
    }

    /// The token to answer a report with once our right to act has ended, as those answer to whom we
    /// gave grants. A successor reckons with such answers for a full term from its start.
    pub fn vouch(&mut self, id: &MachineId, now: Instant) -> Option<Token> {
        let machine = self.machines.get_mut(id)?;
        if machine.barred_since.is_some() {
            return None;
        }
        // Should we lead on, its lease counts from here.
        machine.answered = now;
        Some(self.token)
    }

    /// In which zones a job may have tasks. None are started elsewhere for a while, so that a user who
    /// cancels it need not wait for a zone that has none.
    pub fn zones_of(&mut self, id: &JobId, cache: &Cache, now: Instant) -> Vec<String> {
        self.held.retain(|_, until| now < *until);
        self.held.insert(id.clone(), now + CANCEL_HOLD);
        let old = self.work.get(id).is_none_or(|work| work.old);
        let attempts = attempts_of(id);
        let names = &self.settings.platform.params.zones;
        let spec = cache.jobs.get(id).and_then(Job::live).map(|job| &job.spec);
        let may = |machine: &Machine| {
            spec.is_none_or(|spec| {
                let zone = spec.zone.as_ref().is_none_or(|zone| *zone == names[machine.zone]);
                zone && (spec.spot || !machine.spot)
            })
        };
        let mut zones: BTreeSet<usize> = BTreeSet::new();
        for machine in self.machines.values() {
            let mut entries = machine.entries.range(attempts.clone());
            // What a predecessor started there no report may have shown yet.
            let unsure = old && !machine.confirmed && may(machine);
            if unsure || entries.any(|(_, e)| e.state != TaskState::Exited) {
                zones.insert(machine.zone);
            }
        }
        zones.into_iter().map(|zone| names[zone].clone()).collect()
    }

    /// A grant for another controller: it may answer for all machines that we hear.
    pub fn grant(&mut self, to: &NodeName, seq: u64, now: Instant) -> Option<MeshMessage> {
        self.grants.number += 1;
        // Late enough for a worker to find a controller that hears it, and soon enough for the bar
        // to be acknowledged before its lease is over.
        let quiet = self.settings.worker_lease() * 3 / 4;
        let cut_off = self.cut_off_zones(now);
        let (mut barred, mut lent) = (Vec::new(), Vec::new());
        let every = self.settings.report_every();
        for machine in self.machines.values_mut() {
            let told = self.grants.told(&machine.id);
            let vouched = told.is_some_and(|at| now.saturating_duration_since(at) < quiet);
            // A start of a cancelled job may be held back on its way there: as long as others keep
            // the session alive it could still be executed, however late. Ending the session in
            // time is the only way to stop it.
            let doomed = machine
                .entries
                .values()
                .any(|entry| entry.flying > 0 && !entry.seen && entry.stopped_for(OVER));
            let dead = machine.silent_for(now) > quiet && !cut_off[machine.zone] && !vouched;
            if dead || (doomed && machine.silent_for(now) > every) {
                machine.barred_since.get_or_insert(self.grants.number);
                barred.push(machine.id.clone());
                continue;
            }
            machine.barred_since = None;
            // Perhaps out of our reach alone: whoever hears it answers it, though we are near.
            machine.lent = machine.life == Life::Up && machine.silent_for(now) >= every * 3 / 2;
            if machine.lent {
                lent.push(machine.id.clone());
            }
        }
        self.grants.give(to, seq, (barred, lent), now)
    }

    // ---- time -----------------------------------------------------------------------------

    /// When the next planning round is due, if one is wanted.
    pub fn next_due(&self) -> Option<Instant> {
        self.plan_wanted.then_some(self.plan_at)
    }

    /// Told how late this process is: where it falls behind, the thousands of small tasks of one
    /// array must not cost everybody else their leader.
    pub fn pace(&mut self, late: Duration, now: Instant) {
        if now < self.paced_at {
            return;
        }
        self.paced_at = now + PACE_EVERY;
        if late > LATE {
            self.behind_at = Some(now);
        }
        let rate = if late > LATE { self.low_rate / 2.0 } else { self.low_rate + LOW_RATE_STEP };
        self.low_rate = rate.clamp(LOW_RATE_LEAST, LOW_RATE_MOST);
        self.low_starts.set_rate(self.low_rate, now);
    }

    /// Told how long the last event took to handle. Passes take a bounded share of the processor, however
    /// much waits: else they leave no time for what they decide, nor for the leader's lease.
    pub fn took(&mut self, took: Duration, now: Instant) {
        if std::mem::take(&mut self.planned) {
            self.plan_at = self.plan_at.max(now + took * PLAN_PAUSE);
        }
    }

    /// Called often, and only while this process may act.
    pub fn tick(&mut self, state: &mut StateCore, cloud: &mut CloudCore, now: Instant) {
        if now >= self.watch_at {
            self.watch_at = now + WATCH_EVERY;
            self.watch_machines(&state.cache, cloud, now);
            self.store_gone(state);
            self.read_drains(&state.cache);
            self.tidy_up(state, now);
            self.store_estimates(state, now);
            self.warn_of_late(&state.cache, now);
        }
        self.store(state, now);
        if now >= self.plan_at && (self.plan_wanted || now >= self.plan_at + PLAN_IDLE) {
            self.plan_wanted = false;
            self.plan_at = now + PLAN_EVERY;
            self.planned = true;
            self.plan(&state.cache, cloud, now);
        }
        self.send_direct(now);
    }

    /// Zones none of whose machines is heard: cut off from here rather than dead.
    fn silent_zones(&self, now: Instant) -> Vec<bool> {
        let quiet = self.settings.report_every() * 2 + Duration::from_secs(1);
        let mut up = vec![0; self.settings.platform.params.zones.len()];
        let mut heard = up.clone();
        for machine in self.machines.values().filter(|m| m.life == Life::Up) {
            up[machine.zone] += 1;
            heard[machine.zone] += usize::from(machine.silent_for(now) < quiet);
        }
        // One silent machine alone may well be dead, unless its zone's controllers are silent too.
        let names = &self.settings.platform.params.zones;
        let deaf = |zone: usize| {
            let others = &self.settings.platform.others;
            let mut there = others.iter().filter(|peer| peer.location == names[zone]).peekable();
            there.peek().is_some() && there.all(|peer| self.grants.unheard(&peer.host_name, now))
        };
        (0..up.len())
            .map(|zone| up[zone] > 0 && heard[zone] * 4 < up[zone] && (up[zone] >= 2 || deaf(zone)))
            .collect()
    }

    /// Zones that are silent or were so a moment ago: when a cut ends, the machines behind it
    /// come back one by one, and the last to report is not dead because the first has reported.
    fn cut_off_zones(&mut self, now: Instant) -> Vec<bool> {
        for (zone, silent) in self.silent_zones(now).into_iter().enumerate() {
            if silent {
                self.zone_silent_at[zone] = Some(now);
            }
        }
        let back = self.settings.report_every() * 4;
        self.zone_silent_at.iter().map(|at| at.is_some_and(|at| now < at + back)).collect()
    }

    /// Whether a machine that was rented later than this one is up.
    fn overtaken(&self) -> impl Fn(&Machine) -> bool + use<> {
        let up = self.machines.values().filter(|machine| machine.up_since.is_some());
        let newest = up.map(|machine| machine.rented).max();
        move |machine| newest.is_some_and(|at| at > machine.rented)
    }

    /// From what age on work is not booked on a machine any more that is still booting. Where several
    /// at once are overdue and none that was rented later is up, all come late, and renting as many
    /// again would pay twice for the same wait.
    fn overdue(&self, now: Instant) -> impl Fn(&Machine, &Flavor) -> bool + use<> {
        let usual = |flavor: &Flavor| {
            Duration::from_secs_f64(flavor.boot_s * BOOT_OVERDUE) + BOOT_OVERDUE_MORE
        };
        let overtaken = self.overtaken();
        let aged = move |machine: &Machine, flavor: &Flavor| {
            now.saturating_duration_since(machine.rented) >= usual(flavor)
        };
        let late = self.machines.values().filter(|machine| {
            machine.life == Life::Booting
                && aged(machine, &self.flavors[machine.flavor])
                && !overtaken(machine)
        });
        let all_late = late.count() >= LATE_TOGETHER;
        move |machine, flavor| aged(machine, flavor) && (!all_late || overtaken(machine))
    }

    fn watch_machines(&mut self, cache: &Cache, cloud: &mut CloudCore, now: Instant) {
        let lease = self.settings.worker_lease();
        let cut_off = self.cut_off_zones(now);
        self.weigh_failures(cache, now);
        self.give_up_lost(&cut_off, cache, now);
        let overtaken = self.overtaken();
        let idle_return = Duration::from_secs_f64(self.settings.operator.idle_return_s);
        let mut facts = Vec::new();
        for machine in self.machines.values_mut() {
            // A predecessor's right had ended when ours began, and what others may answer on
            // our behalf is bounded: once the lease has surely run out, the worker has killed
            // what it had.
            let others = self.grants.answered_until(&machine.id, machine.barred_since);
            let beyond = machine.life == Life::Up
                && machine.lease_over(self.grants.told(&machine.id), lease, now)
                && !cut_off[machine.zone];
            if machine.confirmed && machine.entries.is_empty() {
                // Nothing can be running there.
            } else if machine.lease_over(others, lease, now) {
                tracing::info!(machine = %machine.id, "silent machine's lease is over");
                machine.confirmed = true;
                machine.dead_below = Attempt::new(self.token, self.counter);
                facts.extend(machine.lose_all().into_iter().map(|fact| (machine.id.clone(), fact)));
            } else if beyond {
                // Another controller might still answer it. Its deletion proves that nothing
                // runs there, unless a whole zone is cut off: that one is waited for.
                tracing::info!(machine = %machine.id, "silent beyond its lease, given back");
                machine.life = Life::Returning;
            }
            let flavor = &self.flavors[machine.flavor];
            let age = now.saturating_duration_since(machine.rented);
            let mut patience =
                Duration::from_secs_f64(flavor.boot_s * BOOT_PATIENCE) + BOOT_PATIENCE_MORE;
            if !overtaken(machine) {
                // Nor is any up that was rented later: they come late all together, and those
                // that would replace it come no sooner.
                patience *= 2;
            }
            if machine.life == Life::Booting && age > patience {
                tracing::info!(machine = %machine.id, "never came up");
                machine.life = Life::Returning;
            }
            if machine.life == Life::Up && machine.faulty && machine.is_empty() {
                tracing::info!(machine = %machine.id, "faulty, given back");
                machine.life = Life::Returning;
            }
            let quiet = machine.silent_for(now) > self.settings.report_every() * 2;
            if machine.life == Life::Up && beyond && quiet && machine.silent_for(now) > lease * 2 {
                tracing::info!(machine = %machine.id, "silent for long, given back");
                machine.life = Life::Returning;
            }
            // A silent machine is not idle: after a take-over that finds a zone cut off, its
            // machines would all be given back.
            if machine.life == Life::Up
                && !quiet
                && machine.is_empty()
                && machine.recall_at.is_none()
            {
                let since = *machine.idle_since.get_or_insert(now);
                let idle = now.saturating_duration_since(since);
                // A machine costs a minute at the least.
                let paid = age < Duration::from_secs(55);
                // Idle time costs a spot machine that much less, and a boot costs its users the same.
                let cheap = if machine.spot && flavor.spot_price > 0.0 {
                    (flavor.price / flavor.spot_price).max(1.0)
                } else {
                    1.0
                };
                if machine.confirmed
                    && idle > idle_return.mul_f64(cheap)
                    && !paid
                    && !self.reserved.contains(&machine.id)
                    && now > self.since + HIRE_SETTLE * 4
                {
                    tracing::info!(machine = %machine.id, "idle, given back");
                    machine.life = Life::Returning;
                }
            } else {
                machine.idle_since = None;
            }
            if machine.life == Life::Returning {
                cloud.delete(&machine.id, now);
            }
        }
        for (id, fact) in facts {
            self.on_fact(&id, fact, cache, now);
        }
    }

    fn send_direct(&mut self, now: Instant) {
        let late = self.late_after();
        let open: Vec<bool> = self
            .zone_heard
            .iter()
            .map(|at| at.is_some_and(|at| now < at + self.settings.report_every()))
            .collect();
        let under_way = self.machines.values().filter(|m| m.direct_in_flight).count();
        let mut left = self.most_direct.saturating_sub(under_way);
        // Those that were left out the last time come first.
        let from = self.direct_from.take();
        let skipped = |id: &MachineId| from.as_ref().is_some_and(|from| id < from);
        for machine in self.machines.values_mut() {
            machine.asked_openly &= machine.direct_in_flight;
            machine.asked_openly |= !machine.direct_in_flight && open[machine.zone];
            if skipped(&machine.id) {
                continue;
            }
            if left == 0 {
                self.direct_from = Some(machine.id.clone());
                break;
            }
            let Some(address) = machine.address else { continue };
            if machine.direct_in_flight
                || now < machine.direct_after
                || machine.life == Life::Booting
            {
                continue;
            }
            if machine.session == 0 {
                if !machine.confirmed {
                    // Few leases ever expire, so most machines are in their first session and
                    // confirm themselves with this one answer. Any other refuses, and its refusal
                    // tells the session: with hundreds of machines a question before costs a
                    // take-over most of a second.
                    let session = Some(FIRST_SESSION);
                    let orders = Orders { token: self.token, session, orders: Vec::new() };
                    left -= 1;
                    (machine.direct_in_flight, machine.direct_sent) = (true, now);
                    self.direct.push((machine.id.clone(), address, Direct::Do(orders)));
                }
                continue;
            }
            let orders = if machine.owed { machine.starts_and_stops() } else { Vec::new() };
            machine.owed = !orders.is_empty();
            if orders.is_empty() && machine.confirmed {
                if machine.lent || machine.silent_for(now) > late {
                    // Its answer will show that it is in our reach again, or that it lives.
                    left -= 1;
                    (machine.direct_in_flight, machine.direct_sent) = (true, now);
                    self.direct.push((machine.id.clone(), address, Direct::Status));
                }
                continue;
            }
            machine.note_flying(&orders, 1);
            left -= 1;
            (machine.direct_in_flight, machine.direct_sent) = (true, now);
            let session = Some(machine.session);
            let orders = Orders { token: self.token, session, orders };
            self.direct.push((machine.id.clone(), address, Direct::Do(orders)));
        }
    }

    /// The end of a direct call: the worker's report, or whether it may still be executed.
    pub fn on_direct(
        &mut self,
        id: &MachineId,
        sent: Option<&Orders>,
        report: Result<Report, crate::http::CallError>,
        cache: &Cache,
        now: Instant,
    ) -> bool {
        let Some(machine) = self.machines.get_mut(id) else { return true };
        machine.direct_in_flight = false;
        let answered = !matches!(report, Err(crate::http::CallError::Unknown));
        if let (Some(orders), true) = (sent, answered) {
            machine.note_flying(&orders.orders, -1);
        }
        match report {
            Ok(report) if report.machine == *id => {
                machine.direct_after = now + Duration::from_millis(20);
                self.take_report(&report, cache, now)
            }
            _ => {
                if machine.asked_openly {
                    machine.asked_in_vain = Some(machine.direct_sent);
                }
                machine.direct_after = now + RETRY_FIRST * 2;
                true
            }
        }
    }

    // ---- planning -------------------------------------------------------------------------

    fn image_id(images: &mut HashMap<Arc<str>, u32>, name: &str) -> u32 {
        if let Some(id) = images.get(name) {
            return *id;
        }
        let id = images.len() as u32;
        images.insert(Arc::from(name), id);
        id
    }

    /// Whether work may be placed on a machine now, and will stay there.
    fn takes_work(&self, machine: &Machine, now: Instant) -> bool {
        machine.life == Life::Up
            && machine.confirmed
            && machine.recorded
            && machine.recall_at.is_none()
            && !machine.faulty
            && machine.silent_for(now) < self.settings.report_every() * 2
            && !self.is_drained(machine)
    }

    /// What each team's tasks may be using.
    fn team_use(&mut self, sizes: &[Amount]) -> Vec<Amount> {
        let threshold = self.settings.operator.heavy_threshold;
        let mut used = vec![Amount::default(); self.teams.len()];
        for machine in self.machines.values_mut() {
            let usage = machine.usage(|need| placement::basket_of(need, sizes, threshold));
            for (team, amount) in &usage.teams {
                if let Some(sum) = used.get_mut(*team) {
                    *sum = sum.plus(amount);
                }
            }
        }
        used
    }

    /// What each live job (in order of age) may claim, in order of service; and what each team's
    /// tasks may be using on machines that no report has shown yet.
    fn claims(
        &self,
        live: &[(&JobId, &LiveJob)],
        unsure: bool,
        now: Instant,
    ) -> (Vec<Claim>, Vec<Amount>) {
        let settings = &self.settings;
        let params = &settings.platform.params;
        let mut claimed = vec![Amount::default(); params.teams.len()];
        let mut hidden = vec![Amount::default(); params.teams.len()];
        let mut order: Vec<Claim> = Vec::new();
        for (at, (id, job)) in live.iter().enumerate() {
            let Some(&team) = self.teams.get(&job.spec.team) else { continue };
            claimed[team] = claimed[team].plus(&job.need.times(job.spec.tasks));
            let beyond = !claimed[team].fits(&params.teams[team].guarantee());
            let work = &self.work[*id];
            let started = job.done_count() + work.placed.len() as u64;
            let turn = placement::copies(&params.teams[team].most(), &job.need);
            let waited = work.known.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            let (due, overdue) = self.due_aims(id, job, now);
            let aims = settings.waits(&job.spec.class).count() + due;
            let missed = settings.missed_waits(&job.spec.class, waited) + overdue;
            order.push(Claim {
                urgency: self.urgency(id, job),
                fresh: job.spec.shape != Shape::Service || work.retry.is_empty(),
                beyond,
                aimless: !self.has_aim(id, job),
                had_turn: started >= turn,
                missed,
                size: if missed > 0 && missed == aims { 0 } else { job.spec.tasks },
                age: at,
                team,
            });
            if work.old && unsure {
                hidden[team] = hidden[team].plus(&job.need.times(work.waiting(job)));
            }
        }
        placement::order_of_service(&mut order);
        (order, hidden)
    }

    /// The machines that placement may use, up or booting, each with its name.
    fn bins(&mut self, sizes: &[Amount], now: Instant) -> (Vec<Bin>, Vec<Option<MachineId>>) {
        let settings = self.settings.clone();
        let threshold = settings.operator.heavy_threshold;
        let quiet = settings.report_every() * 2 + Duration::from_secs(1);
        let mut bins = Vec::new();
        let mut names = Vec::new();
        let hold = Duration::from_secs_f64(settings.operator.hold_s);
        let overdue = self.overdue(now);
        let drained = self.draining.drained.clone();
        for machine in self.machines.values_mut() {
            let flavor = &self.flavors[machine.flavor];
            let booting = machine.life == Life::Booting && !overdue(machine, flavor);
            // What is being emptied takes nothing until it is empty.
            let emptying = machine.emptied_at.is_some_and(|at| now < at + CONSOLIDATE_EVERY);
            let name = &settings.platform.params.zones[machine.zone];
            if drained.of(machine.id.as_str(), name).is_some() {
                continue;
            }
            let up = machine.life == Life::Up
                && (!emptying || machine.is_empty())
                && machine.recall_at.is_none()
                && !machine.faulty
                && machine.heard.is_some()
                && machine.silent_for(now) < quiet;
            let coming = machine.life == Life::Up && !machine.confirmed;
            if !(booting || up || coming) {
                continue;
            }
            let usage = machine.usage(|need| placement::basket_of(need, sizes, threshold));
            let (used, basket) = (usage.used, usage.basket);
            if machine.images.len() > machine.image_ids.len() {
                let images = machine.images.iter();
                machine.image_ids =
                    images.map(|image| Self::image_id(&mut self.images, image)).collect();
            }
            let held = machine.idle_since.is_some_and(|at| now < at + hold);
            if basket.is_some() || !held {
                machine.basket = basket;
            }
            bins.push(Bin {
                index: machine.index,
                zone: machine.zone,
                flavor: machine.flavor,
                spot: machine.spot,
                free: sizes[machine.flavor].minus(&used),
                basket: machine.basket,
                ready: up && machine.confirmed && machine.recorded,
                images: machine.image_ids.clone(),
                vacated: machine.vacated_at.is_some_and(|at| now < at + VACATED),
            });
            names.push(Some(machine.id.clone()));
        }
        (bins, names)
    }

    /// Starts what was placed, but not where urgent work would wait for an image while less
    /// urgent work can make way where the image is. Places of asks beyond the jobs' own are room
    /// that is kept warm.
    #[allow(clippy::too_many_arguments)]
    fn start_planned(
        &mut self,
        places: &[(usize, usize)],
        names: &[Option<MachineId>],
        sources: &mut [Source],
        urgent: &mut BTreeMap<usize, Ask>,
        stoppable: &mut Stoppable,
        cache: &Cache,
        now: Instant,
    ) {
        self.reserved.clear();
        for (ask, bin) in places {
            let Some(Some(id)) = names.get(*bin) else { continue };
            let Some(source) = sources.get_mut(*ask) else {
                self.reserved.insert(id.clone());
                continue;
            };
            let job = &source.job;
            let id = id.clone();
            let Some(machine) = self.machines.get(&id) else { continue };
            let zone = machine.zone;
            if let Some(ask) = urgent.get_mut(ask) {
                let cold = !machine.image_ids.contains(&ask.image);
                if cold
                    && self.fetch_is_late(job, &id, cache)
                    && self.make_warm_way(ask, stoppable, cache, now)
                {
                    // It goes where its image is, as soon as that room is free.
                    continue;
                }
                if ask.zone_room[zone] != u32::MAX {
                    ask.zone_room[zone] = ask.zone_room[zone].saturating_sub(1);
                }
            }
            let live = cache.jobs.get(job).and_then(Job::live);
            let urgency = live.map(|live| self.urgency(job, live));
            if urgency == Some(Urgency::Low) && !self.low_starts.has(1.0, now) {
                // Hundreds of jobs may ask for one start each.
                self.plan_wanted = true;
                continue;
            }
            let work = self.work.get_mut(job);
            let Some(index) = live.zip(work).and_then(|(live, work)| work.next(live, now)) else {
                continue;
            };
            source.left = source.left.saturating_sub(1);
            let task = TaskId { job: job.clone(), index };
            self.start(&id, task, cache, now);
        }
    }

    fn plan(&mut self, cache: &Cache, cloud: &mut CloudCore, now: Instant) {
        let settings = self.settings.clone();
        let params = &settings.platform.params;
        let sizes: Vec<Amount> = (0..self.flavors.len()).map(|f| self.size(f)).collect();

        // Machines on which tasks may run that no report has shown yet.
        let unsure: Vec<(usize, usize, bool)> = self
            .machines
            .values()
            .filter(|m| !m.confirmed)
            .map(|m| (m.flavor, m.zone, m.spot))
            .collect();
        let unsure_room = self
            .machines
            .values()
            .filter(|m| !m.confirmed)
            .fold(Amount::default(), |sum, m| sum.plus(&self.size(m.flavor).minus(&m.used())));

        let known = |id| {
            let (id, job) = cache.jobs.all.get_key_value(id)?;
            Some((id, job.live()?))
        };
        let mut live: Vec<(&JobId, &LiveJob)> = self.work.keys().filter_map(known).collect();
        self.estimate_all(&live, now);
        self.carry_back(&live);
        let coming = self.coming(&live, now);
        // What waits for other jobs starts nothing and holds no part of a limit or guarantee.
        live.retain(|(_, job)| job.ready());
        live.sort_by(|a, b| (a.1.since_ms(), a.0).cmp(&(b.1.since_ms(), b.0)));
        let (order, hidden) = self.claims(&live, !unsure.is_empty(), now);

        let used = self.team_use(&sizes);
        let mut team_room: Vec<Amount> = params
            .teams
            .iter()
            .enumerate()
            .map(|(t, team)| team.most().minus(&used[t]).minus(&hidden[t].least(&unsure_room)))
            .collect();
        let unlimited = Amount { cpu: u64::MAX, gpu: u64::MAX, ram: u64::MAX };
        team_room.push(unlimited);

        let mut silent = self.silent_zones(now);
        // No room is kept, and nothing rented, where all is to leave.
        silent.iter_mut().zip(self.drained_zones()).for_each(|(shut, drained)| *shut |= drained);
        let (mut bins, mut names) = self.bins(&sizes, now);
        let pending = cloud.pending();
        let may_rent = now >= self.since + HIRE_SETTLE
            && (self.listed_once || now >= self.since + HIRE_SETTLE * 4);
        let coming_up: u32 = pending.iter().map(|(_, count)| count).sum();
        let held = u32::try_from(self.machines.len()).unwrap_or(u32::MAX);
        let rents_left = self.most_machines.saturating_sub(held.saturating_add(coming_up));
        self.look_for_shortage(
            &live,
            &bins,
            &sizes,
            &team_room,
            &silent,
            &unsure_room,
            may_rent,
            rents_left,
            cloud,
            now,
        );

        let mut asks: Vec<Ask> = Vec::new();
        let mut sources: Vec<Source> = Vec::new();
        let mut weights: Vec<Option<shortage::Weight>> = Vec::new();
        let mut wake: Option<Instant> = None;
        let growth = self.growth(&live, now);
        // Elastic jobs beyond their least width come after all that is served as usual.
        let mut wider: Vec<(Source, Ask)> = Vec::new();
        self.waits.clear();
        for Claim { age: at, beyond, .. } in order {
            let (id, job) = live[at];
            if let Some(until) = self.held.get(id).filter(|until| now < **until) {
                wake = wake.iter().chain([until]).min().copied();
                continue;
            }
            let team = self.teams[&job.spec.team];
            let within = placement::copies(&team_room[team], &job.need);
            let waiting = self.work[id].waiting(job);
            if within < waiting {
                *self.waits.entry("team limit").or_default() += waiting - within;
            }
            let mut most = within;
            if self.urgency(id, job) == Urgency::Low && job.spec.shape == Shape::Array {
                let paced = self.low_starts.room(now) as u64;
                if paced < most.min(waiting) {
                    *self.waits.entry("pace of starts").or_default() += most.min(waiting) - paced;
                    most = paced;
                    self.plan_wanted = true;
                }
            }
            let grows = self.limit_width(id, job, &growth, &mut most);
            if let Some(mut ask) = self.ask_for(id, job, most, &unsure, &sizes, &mut wake, now) {
                ask.left_s = self.time_left(id, job, beyond, now);
                if grows {
                    ask.rents = Rents::Nothing;
                    wider.push((Source { job: id.clone(), left: ask.count }, ask));
                    continue;
                }
                sources.push(Source { job: id.clone(), left: ask.count });
                weights.push(self.weight(id, job, &ask));
                asks.push(ask);
            }
        }
        self.owed_first(&mut sources, &mut asks, &mut weights, &sizes);
        for (source, ask) in wider {
            sources.push(source);
            asks.push(ask);
        }
        let real_asks = asks.len();
        self.coming_asks(&mut asks, coming, cache, &sizes);
        self.warm_asks(&mut asks, &sizes, &silent, params.teams.len());

        for (kind, count) in &pending {
            for _ in 0..*count {
                bins.push(Bin {
                    index: u64::MAX,
                    zone: kind.zone,
                    flavor: kind.flavor,
                    spot: kind.spot,
                    free: sizes[kind.flavor],
                    basket: None,
                    ready: false,
                    images: placement::Images::default(),
                    vacated: false,
                });
                names.push(None);
            }
        }
        // Least urgent work that waits is no reason to leave others scattered: what is emptied it
        // can use, and room that it needs itself is not free.
        let quiet = asks[..real_asks].iter().all(|ask| ask.urgency == Urgency::Low);
        if quiet && unsure.is_empty() && now >= self.consolidate_at && !self.is_draining() {
            self.consolidate_at = now + CONSOLIDATE_EVERY;
            self.consolidate(&bins, &names, cache, now);
        }
        if unsure.is_empty() {
            self.move_off(&bins, &names, cache, now);
        }
        let total = bins.len();
        let heavy_cap = ((total as f64 * settings.operator.heavy_cap) as usize).max(1);
        let mut kinds = self.offers(&sizes, &pending, now);
        kinds.retain(|(kind, _)| !silent[kind.zone]);
        let offers = if may_rent { kinds.iter().map(|(_, o)| o.clone()).collect() } else { vec![] };
        let room: Vec<Amount> = team_room.clone();
        let mut urgent: BTreeMap<usize, Ask> = asks
            .iter()
            .take(real_asks)
            .enumerate()
            .filter(|(_, ask)| ask.urgency <= Urgency::High && ask.rents == Rents::Any)
            .map(|(n, ask)| (n, ask.clone()))
            .collect();
        let plan = placement::plan(Input { bins, asks, team_room, offers, heavy_cap, rents_left });
        if self.shortage.is_scarce() {
            self.note_causes(&weights, &plan);
        }
        let no_room = if rents_left == 0 { "controllers hold no more machines" } else { "no room" };
        for (why, left) in [("machine to come", &plan.booked), (no_room, &plan.short)] {
            let real = left.iter().filter(|(ask, _)| *ask < real_asks);
            let count: u32 = real.map(|(_, count)| count).sum();
            if count > 0 {
                self.waits.insert(why, u64::from(count));
            }
        }

        let mut stoppable = Stoppable::default();
        let places = &plan.places;
        self.start_planned(places, &names, &mut sources, &mut urgent, &mut stoppable, cache, now);
        // What a machine to come serves in time stops nobody.
        let coming: HashMap<usize, u32> = plan.booked.iter().copied().collect();
        let unplaced = urgent.into_iter().map(|(n, ask)| {
            let served = if self.can_wait(&ask) { coming.get(&n).copied().unwrap_or(0) } else { 0 };
            (sources[n].left.saturating_sub(served), ask)
        });
        let unplaced = unplaced.collect();
        self.preempt(unplaced, &room, cache, now);
        for (n, count) in plan.hires.iter().enumerate() {
            if *count > 0 {
                let (kind, _) = &kinds[n];
                let flavor = self.flavors[kind.flavor].name.clone();
                cloud.hire(*kind, &flavor, &params.zones[kind.zone], *count, now);
            }
        }
        if wake.is_some() || !plan.short.is_empty() || !plan.booked.is_empty() {
            // Time alone may change the outcome: pauses end, refusals are forgotten.
            self.plan_wanted = true;
            let pause = if wake.is_some_and(|at| at < now + PLAN_EVERY * 4) { 2 } else { 4 };
            self.plan_at = now + PLAN_EVERY * pause;
        }
    }

    fn start(&mut self, id: &MachineId, task: TaskId, cache: &Cache, now: Instant) {
        let Some(live) = cache.jobs.get(&task.job).and_then(Job::live) else { return };
        if !live.ready() {
            // Nothing asks for it; this is the last place that could start it too early.
            tracing::error!(%task, "waits for other jobs and was to be started");
            return;
        }
        let team = self.team_of(&live.spec.team);
        let urgency = self.urgency(&task.job, live);
        let (Some(machine), Some(work)) = (self.machines.get_mut(id), self.work.get_mut(&task.job))
        else {
            return;
        };
        // The tasks of a gang find each other by a common attempt: each generation has one.
        let gang = live.spec.shape == Shape::Gang;
        let shared = || work.placed.values().map(|(_, attempt)| *attempt).max();
        let attempt = match gang.then(shared).flatten() {
            Some(shared) => shared,
            _ => {
                self.counter += 1;
                Attempt::new(self.token, self.counter)
            }
        };
        tracing::debug!(machine = %id, %task, %attempt, "start");
        self.starts += 1;
        if urgency == Urgency::Low {
            self.low_starts.take(1.0, now);
        }
        work.placed.insert(task.index, (id.clone(), attempt));
        let entry = Entry {
            need: live.need,
            team,
            urgency,
            image: Arc::from(live.spec.image.as_str()),
            seen: false,
            state: TaskState::Fetching,
            flying: 0,
            stop: None,
            placed: now,
            running_since: None,
            began: None,
            ran_until: None,
            settled: false,
        };
        machine.entries.insert((task, attempt), entry);
        machine.entries_changed();
        machine.owed = true;
    }

    // ---- views ----------------------------------------------------------------------------

    /// How many tasks of each job run.
    pub fn running(&self) -> BTreeMap<JobId, u32> {
        let mut counts = BTreeMap::new();
        for machine in self.machines.values() {
            let runs =
                |entry: &Entry| matches!(entry.state, TaskState::Running | TaskState::Saving);
            let running = machine.entries.iter().filter(|(_, entry)| runs(entry));
            // Tasks of a job stand side by side: one look at the counts serves them all.
            let mut last: Option<(&JobId, u32)> = None;
            for job in running.map(|((task, _), _)| &task.job) {
                last = match last {
                    Some((same, n)) if same == job => Some((same, n + 1)),
                    other => {
                        add(&mut counts, other);
                        Some((job, 1))
                    }
                };
            }
            add(&mut counts, last);
        }
        counts
    }

    /// One line of counts for the log.
    pub fn log_counts(&self, cache: &Cache, now: Instant) {
        let mut by_class: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        let running = self.running();
        for id in self.work.keys() {
            let Some(live) = cache.jobs.get(id).and_then(Job::live) else { continue };
            let runs = u64::from(running.get(id).copied().unwrap_or(0));
            let entry = by_class.entry(&live.spec.class).or_default();
            entry.0 += runs;
            entry.1 += live.spec.tasks.saturating_sub(live.done_count()).saturating_sub(runs);
        }
        let zones = &self.settings.platform.params.zones;
        let mut by_kind: BTreeMap<String, u32> = BTreeMap::new();
        let mut free = Amount::default();
        for machine in self.machines.values() {
            let silent = machine.silent_for(now) > self.settings.report_every() * 3;
            let name = format!(
                "{}-{}-{}",
                zones[machine.zone],
                if machine.spot { "spot" } else { "ordinary" },
                match machine.life {
                    Life::Booting => "booting",
                    Life::Up if silent => "silent",
                    Life::Up if machine.is_empty() => "idle",
                    Life::Up => "up",
                    Life::Returning => "returning",
                }
            );
            *by_kind.entry(name).or_default() += 1;
            if machine.life == Life::Up {
                free = free.plus(&self.size(machine.flavor).minus(&machine.used()));
            }
        }
        tracing::info!(
            running_waiting = ?by_class,
            waits_for = ?self.waits,
            warned_late_intime_missed = ?self.warnings(),
            machines = ?by_kind,
            free_cpus = free.cpu as f64 / MICRO,
            starts = self.starts,
            stops = self.stops,
            "counts"
        );
        if let Some(demand) = self.demand_line(now) {
            tracing::info!(%demand, "what is asked for");
        }
    }
}

fn add(counts: &mut BTreeMap<JobId, u32>, found: Option<(&JobId, u32)>) {
    if let Some((job, n)) = found {
        *counts.entry(job.clone()).or_insert(0) += n;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::records;
    use crate::settings::plain_flavor as flavor;
    use crate::wire::{JobSpec, ReportedTask};
    use troutspindle_protocol::ops::Starving;

    /// A leader without peers, and the cores that it works with.
    struct Bench {
        foreman: Foreman,
        state: StateCore,
        cloud: CloudCore,
        now: Instant,
        seq: u64,
    }

    impl Bench {
        fn new() -> Bench {
            let teams = r#"[{"name":"t","cpus":4000.0,"cpus_max":8000.0}]"#;
            let settings = Arc::new(crate::settings::plain(teams));
            let now = Instant::now();
            let limits = settings.platform.params.state.kept();
            let mut state = StateCore::new(limits, vec![NodeName::new("n")], 1, now);
            state.cache.flavors = (vec![flavor()], Revision(1));
            let wall = Wall { at: now, ms: 0 };
            let foreman = Foreman::new(Token(1), Revision(2), settings, &state.cache, wall, now);
            let mut cloud = CloudCore::new(5.0, now);
            cloud.lead(Token(1), now);
            Bench { foreman, state, cloud, now, seq: 0 }
        }

        fn job(&mut self, id: &str, shape: Shape, tasks: u64) -> JobId {
            let spec = JobSpec {
                shape,
                cpus: 4.0,
                ram_gb: 4.0,
                spot: shape == Shape::Array,
                ..jobs::plain_spec(id, tasks)
            };
            let layout = self.state.layout();
            let jobs::Accept::Record(change) =
                jobs::accept(&Arc::new(spec), 1, &layout, &self.state.cache.jobs)
            else {
                panic!()
            };
            let [Write::Put { data, .. }] = &change.writes[..] else { panic!() };
            self.state.cache.jobs.put_job(JobId::new(id), data, Revision(5));
            self.foreman.on_jobs(&[JobId::new(id)], &self.state.cache, self.now);
            JobId::new(id)
        }

        /// A report of the machine with these tasks; gives the answer's orders.
        fn report(&mut self, machine: &str, tasks: Vec<ReportedTask>) -> Vec<Order> {
            self.seq += 1;
            let report = Report {
                machine: MachineId::new(machine),
                address: "127.0.0.1:9000".into(),
                flavor: "f".into(),
                zone: "a".into(),
                spot: false,
                session: 1,
                seq: self.seq,
                token: Token(1),
                notice_s: None,
                tasks,
            };
            let orders = self.foreman.on_report(&report, &self.state.cache, self.now).unwrap();
            for machine in self.foreman.machines.values_mut() {
                machine.recorded = true;
            }
            orders.orders
        }

        fn pass(&mut self, time: Duration) {
            self.now += time;
            self.foreman.tick(&mut self.state, &mut self.cloud, self.now);
        }
    }

    /// What the worker shows of tasks that it was told to start.
    fn shown(orders: &[Order], state: TaskState) -> Vec<ReportedTask> {
        let show = |order: &Order| match order {
            Order::Start { task, attempt } => Some(ReportedTask {
                task: task.clone(),
                attempt: *attempt,
                state,
                why: (state == TaskState::Exited).then(|| "halted".into()),
                saved: None,
            }),
            _ => None,
        };
        orders.iter().filter_map(show).collect()
    }

    /// An image at hand is no reason to throw minutes of work away: an array once lost 242 s.
    #[test]
    fn what_loses_little_is_stopped_even_where_the_image_is_missing() {
        let mut bench = Bench::new();
        let fill = |bench: &mut Bench, machine: &str, id: &str, image: &str| {
            bench.report(machine, vec![]);
            bench.job(id, Shape::Array, 4);
            bench.pass(PLAN_EVERY * 5);
            let orders = bench.report(machine, vec![]);
            let shown = shown(&orders, TaskState::Running);
            assert_eq!(shown.len(), 4);
            bench.report(machine, shown.clone());
            let known = bench.foreman.machines.get_mut(&MachineId::new(machine)).unwrap();
            known.images = vec![Arc::from(image)];
            known.image_ids = Default::default();
            shown
        };
        let first = fill(&mut bench, "i-1", "wk-1", "i");
        let long = Duration::from_secs_f64(IMAGE_WORTH_S * 2.0);
        for entry in bench.foreman.machines.values_mut().flat_map(|m| m.entries.values_mut()) {
            entry.running_since = bench.now.checked_sub(long);
        }
        fill(&mut bench, "i-2", "wk-2", "other");
        bench.report("i-1", first);
        let id = bench.job("wk-3", Shape::Service, 1);
        let Some(job) = bench.state.cache.jobs.all.get_mut(&id) else { panic!() };
        let JobBody::Live(live) = &mut job.body else { panic!() };
        Arc::make_mut(&mut live.spec).urgency = Urgency::Production;
        bench.pass(PLAN_EVERY * 5);
        let stopped = |machine: &Machine| machine.entries.values().any(|e| e.stop.is_some());
        let stopped: Vec<_> = bench.foreman.machines.values().map(stopped).collect();
        assert_eq!(stopped, [false, true]);
    }

    /// The end of a task of a job that is known to be cancelled only by word of mouth must not
    /// make the job new work: its other tasks, silent behind a cut, would be started twice.
    #[test]
    fn a_job_told_to_be_cancelled_is_never_started_again() {
        let mut bench = Bench::new();
        let id = bench.job("wk-1", Shape::Service, 4);
        bench.report("i-1", vec![]);
        bench.pass(PLAN_EVERY * 5);
        let orders = bench.report("i-1", vec![]);
        assert_eq!(shown(&orders, TaskState::Running).len(), 4);
        bench.report("i-1", shown(&orders, TaskState::Running));
        bench.foreman.on_told_cancelled(std::slice::from_ref(&id), &bench.state.cache);
        bench.report("i-1", shown(&orders, TaskState::Exited));
        bench.foreman.on_jobs(&[id], &bench.state.cache, bench.now);
        for _ in 0..20 {
            bench.pass(PLAN_EVERY);
        }
        assert_eq!(bench.foreman.starts, 4);
    }

    /// What the worker shows of tasks that it was told to start and that all failed.
    fn failed(orders: &[Order]) -> Vec<ReportedTask> {
        let mut tasks = shown(orders, TaskState::Exited);
        tasks.iter_mut().for_each(|task| task.why = Some("error".into()));
        tasks
    }

    /// Jobs submitted with a mistake once cost 247 good machines their place, and were tried 2,354
    /// times on them.
    #[test]
    fn mistaken_jobs_cost_no_machine_its_place_and_are_tried_seldom() {
        let mut bench = Bench::new();
        let machines = ["i-1", "i-2", "i-3", "i-4"];
        machines.iter().for_each(|machine| drop(bench.report(machine, vec![])));
        for id in ["wk-1", "wk-2", "wk-3"] {
            bench.job(id, Shape::Array, 16);
        }
        for _ in 0..400 {
            bench.pass(PLAN_EVERY);
            for machine in machines {
                let orders = bench.report(machine, vec![]);
                bench.report(machine, failed(&orders));
            }
        }
        assert!(bench.foreman.machines.values().all(|m| !m.faulty));
        assert!((48..80).contains(&bench.foreman.starts), "{}", bench.foreman.starts);
        // One that does well after all goes on with all its tasks at once.
        let before = bench.foreman.starts;
        let mut running = Vec::new();
        while running.is_empty() {
            bench.pass(PLAN_EVERY);
            running = shown(&bench.report("i-1", vec![]), TaskState::Running);
        }
        bench.report("i-1", running.clone());
        bench.pass(PROVEN_AFTER + PLAN_EVERY);
        bench.report("i-1", running);
        for _ in 0..10 {
            machines[1..].iter().for_each(|machine| drop(bench.report(machine, vec![])));
            bench.pass(PLAN_EVERY);
        }
        assert!(bench.foreman.starts >= before + 15, "{} {before}", bench.foreman.starts);
    }

    /// While mistaken jobs are about, a faulty machine is still found: by what does well elsewhere.
    #[test]
    fn a_faulty_machine_is_found_by_jobs_that_do_well_elsewhere() {
        let mut bench = Bench::new();
        for (id, tasks) in [("wk-1", 8), ("wk-2", 24), ("wk-3", 8)] {
            bench.job(id, Shape::Array, tasks);
        }
        let mistaken = |task: &ReportedTask| task.task.job == JobId::new("wk-3");
        let mut held: BTreeMap<&str, Vec<ReportedTask>> = BTreeMap::new();
        for step in 0..200 {
            bench.pass(PLAN_EVERY);
            for machine in ["i-1", "i-2", "i-3", "i-4"] {
                let tasks = held.remove(machine).unwrap_or_default();
                let orders = bench.report(machine, tasks.clone());
                let mut tasks = [tasks, shown(&orders, TaskState::Running)].concat();
                tasks.retain(|task| task.state == TaskState::Running);
                for task in tasks.iter_mut().filter(|task| machine == "i-1" || mistaken(task)) {
                    (task.state, task.why) = (TaskState::Exited, Some("error".into()));
                }
                held.insert(machine, tasks);
            }
            if step == 50 {
                assert!(bench.foreman.machines.values().all(|m| !m.faulty));
            }
        }
        let faulty: Vec<bool> = bench.foreman.machines.values().map(|m| m.faulty).collect();
        assert_eq!(faulty, [true, false, false, false]);
    }

    /// Where new machines come late all together, giving them back only begins the wait anew; one
    /// that others have overtaken is given up in time.
    #[test]
    fn machines_that_come_late_together_are_waited_for() {
        let mut bench = Bench::new();
        bench.report("i-0", vec![]);
        bench.job("wk-1", Shape::Array, 4);
        let names: Vec<String> = (1..6).map(|n| format!("i-{n}")).collect();
        let rented = names.iter().map(|name| MachineId::new(name)).collect();
        let kind = Kind { flavor: 0, zone: 1, spot: true };
        bench.pass(PLAN_EVERY);
        let hired = CloudEvent::Hired(kind, rented);
        bench.foreman.on_cloud(hired, &bench.state.cache, bench.now);
        let booting = |bench: &Bench| {
            bench.foreman.machines.values().filter(|m| m.life == Life::Booting).count()
        };
        let patience =
            Duration::from_secs_f64(flavor().boot_s * BOOT_PATIENCE) + BOOT_PATIENCE_MORE;
        bench.pass(patience / 2);
        let flavor = flavor();
        let overdue = |bench: &Bench| {
            let overdue = bench.foreman.overdue(bench.now);
            bench
                .foreman
                .machines
                .values()
                .filter(|m| m.up_since.is_none() && overdue(m, &flavor))
                .count()
        };
        assert_eq!(overdue(&bench), 0);
        bench.pass(patience / 2 + PLAN_EVERY);
        assert_eq!(booting(&bench), 5);
        // One that was rented later is up.
        bench.report("i-9", vec![]);
        assert_eq!(overdue(&bench), 5);
        bench.pass(PLAN_EVERY * 2);
        assert_eq!(booting(&bench), 0);
    }

    /// The thousands of small tasks of a guest's array must not cost the others their leader.
    #[test]
    fn starts_of_least_urgent_tasks_slow_down_where_the_leader_falls_behind() {
        let started = |late: Duration| {
            let mut bench = Bench::new();
            for n in 0..100 {
                bench.report(&format!("i-{n}"), vec![]);
            }
            let id = bench.job("wk-1", Shape::Array, 400);
            let Some(job) = bench.state.cache.jobs.all.get_mut(&id) else { panic!() };
            let JobBody::Live(live) = &mut job.body else { panic!() };
            Arc::make_mut(&mut live.spec).urgency = Urgency::Low;
            for _ in 0..20 {
                bench.foreman.pace(late, bench.now);
                bench.pass(PACE_EVERY);
            }
            bench.foreman.starts
        };
        assert_eq!(started(Duration::ZERO), 400);
        let slow = started(LATE * 2);
        assert!((50..200).contains(&slow), "{slow}");
    }

    /// A machine with replicas that answers nobody is given back long before its lease is over, if the
    /// way to its zone was open when it was asked; what was asked during a cut proves nothing.
    #[test]
    fn a_machine_that_answers_nobody_is_given_back_only_if_others_are_heard() {
        for open in [true, false] {
            let mut bench = Bench::new();
            let mut settings = Settings::clone(&bench.foreman.settings);
            settings.platform.params.workers.lease_s = 60.0;
            bench.foreman.settings = Arc::new(settings);
            let machines = ["i-1", "i-2", "i-3"];
            machines.iter().for_each(|machine| drop(bench.report(machine, vec![])));
            bench.job("wk-1", Shape::Service, 1);
            bench.pass(PLAN_EVERY * 5);
            let orders = bench.report("i-1", vec![]);
            let running = shown(&orders, TaskState::Running);
            assert_eq!(running.len(), 1);
            bench.report("i-1", running);
            let late = bench.foreman.late_after();
            let until = bench.now + late * 3;
            while bench.now < until {
                // Behind a cut nobody is heard, until it ends.
                if open || bench.now + TICK_MOST * 2 >= until {
                    machines[1..].iter().for_each(|machine| drop(bench.report(machine, vec![])));
                }
                bench.pass(TICK_MOST);
                for (id, _, direct) in std::mem::take(&mut bench.foreman.direct) {
                    let sent = match direct {
                        Direct::Do(orders) => Some(orders),
                        Direct::Status => None,
                    };
                    let gave_up = Err(crate::http::CallError::Unknown);
                    let (cache, now) = (&bench.state.cache, bench.now);
                    bench.foreman.on_direct(&id, sent.as_ref(), gave_up, cache, now);
                }
            }
            let life = bench.foreman.machines[&MachineId::new("i-1")].life;
            assert_eq!(life == Life::Returning, open);
        }
    }

    /// A trial of one task would leave a gang's other tasks out.
    #[test]
    fn a_gang_that_fails_everywhere_is_tried_as_a_whole() {
        let mut bench = Bench::new();
        bench.job("wk-1", Shape::Gang, 6);
        for step in 0..300 {
            bench.pass(PLAN_EVERY);
            for machine in ["i-1", "i-2", "i-3", "i-4"] {
                let orders = bench.report(machine, vec![]);
                bench.report(machine, failed(&orders));
            }
            assert_eq!(bench.foreman.starts % 6, 0, "step {step}");
        }
        let evidence = &bench.foreman.work[&JobId::new("wk-1")].evidence;
        assert!(evidence.mistaken() && bench.foreman.starts >= 18, "{}", bench.foreman.starts);
    }

    /// A leader that learns run times.
    fn learning_bench() -> Bench {
        let mut bench = Bench::new();
        let settings = Arc::make_mut(&mut bench.foreman.settings);
        settings.operator.estimates.learn = true;
        bench
    }

    /// An array of four tasks that are started and run for so long; what the worker shows in the end.
    fn run_array(bench: &mut Bench, id: &str, run_s: u64) -> Vec<ReportedTask> {
        bench.report("i-1", vec![]);
        bench.job(id, Shape::Array, 4);
        bench.pass(PLAN_EVERY * 5);
        let orders = bench.report("i-1", vec![]);
        assert_eq!(shown(&orders, TaskState::Fetching).len(), 4);
        bench.report("i-1", shown(&orders, TaskState::Fetching));
        bench.now += Duration::from_secs(7);
        bench.report("i-1", shown(&orders, TaskState::Running));
        bench.now += Duration::from_secs(run_s);
        let mut ended = shown(&orders, TaskState::Exited);
        ended.iter_mut().for_each(|task| task.why = Some("done".into()));
        ended
    }

    fn over(bench: &mut Bench, id: &str) {
        let done =
            records::Record { p: records::Phase::Done, n: 4, ..records::Record::live(1, None) };
        let rev = Revision(bench.state.cache.rev.0.max(10) + 1);
        bench.state.cache.jobs.put_job(JobId::new(id), &records::data(&done), rev);
        bench.foreman.on_jobs(&[JobId::new(id)], &bench.state.cache, bench.now);
    }

    /// What the store would hold after all writes that are due were done.
    fn write_estimates(bench: &mut Bench) -> usize {
        let mut written = 0;
        for n in 0..40 {
            bench.now += Duration::from_millis(300);
            bench.foreman.store_estimates(&mut bench.state, bench.now);
            for item in bench.state.take_items() {
                let (Origin::Estimates(bucket), [Write::Put { data, .. }]) =
                    (&item.origin, &item.change.writes[..])
                else {
                    continue;
                };
                assert_eq!(item.rank, Rank::Rest);
                let text = data.as_text().map(str::to_owned);
                bench.state.cache.estimates.insert(*bucket, (text, Revision(100 + n)));
                bench.foreman.on_outcome(&item.origin, Outcome::Committed, &mut bench.state);
                written += 1;
            }
        }
        written
    }

    fn estimated(bench: &mut Bench, id: &str) -> Option<f64> {
        let id = bench.job(id, Shape::Array, 4);
        let live = bench.state.cache.jobs.get(&id).and_then(Job::live).unwrap();
        let spec = &live.spec;
        let profile = troutspindle_estimates::Profile {
            job: "x",
            class: &spec.class,
            team: &spec.team,
            image: &spec.image,
            size: [live.need.cpu, live.need.gpu, live.need.ram],
            expect_s: 0.0,
            tasks: 4,
        };
        bench.foreman.estimate_of(&profile).map(|estimate| estimate.p50_s)
    }

    #[test]
    fn a_successor_knows_what_was_learned_without_the_fetch_and_damage_costs_only_that() {
        let mut bench = learning_bench();
        let ended = run_array(&mut bench, "wk-1", 30);
        // Shown twice, counted once.
        bench.report("i-1", ended.clone());
        bench.report("i-1", ended);
        over(&mut bench, "wk-1");
        let known = estimated(&mut bench, "wk-2").unwrap();
        assert!((known - 30.0).abs() < 2.5, "{known}");
        // Exact, team, class and owner, in as many values at the most.
        assert!((1..=4).contains(&write_estimates(&mut bench)));
        assert_eq!(write_estimates(&mut bench), 0, "nothing new, nothing written");
        let mut next = learning_bench();
        next.state.cache.estimates = bench.state.cache.estimates.clone();
        next.foreman.store_estimates(&mut next.state, next.now);
        assert!((estimated(&mut next, "wk-2").unwrap() - known).abs() < 0.5);
        let mut damaged = learning_bench();
        for (bucket, (text, rev)) in &bench.state.cache.estimates {
            let text = text.as_ref().map(|text| text[..text.len() / 2].to_owned());
            damaged.state.cache.estimates.insert(*bucket, (text, *rev));
        }
        damaged.foreman.store_estimates(&mut damaged.state, damaged.now);
        assert_eq!(estimated(&mut damaged, "wk-2"), None);
        run_array(&mut damaged, "wk-3", 1);
    }

    /// It is not known when a task began that was found running, so its end tells nothing.
    #[test]
    fn a_task_that_was_found_running_teaches_nothing_wrong() {
        let mut first = learning_bench();
        let ended = run_array(&mut first, "wk-1", 300);
        let mut bench = learning_bench();
        bench.job("wk-1", Shape::Array, 4);
        let running = ended.iter().cloned().map(|task| ReportedTask {
            state: TaskState::Running,
            why: None,
            ..task
        });
        bench.report("i-1", running.collect());
        bench.now += Duration::from_secs(2);
        bench.report("i-1", ended);
        over(&mut bench, "wk-1");
        assert_eq!(estimated(&mut bench, "wk-2"), None);
    }

    /// Four machines, all that there are, full of an array's tasks and a service that wants all of it. Without
    /// floors it takes all; with them the array keeps what is above nothing of its floor, and what others
    /// give up goes first to whoever is below.
    #[test]
    fn what_a_class_holds_up_to_its_floor_stays_and_what_is_freed_goes_to_who_is_below() {
        let running = |bench: &Bench, id: &JobId| {
            let machines = bench.foreman.machines.values();
            let entries = machines.flat_map(|m| m.entries.iter());
            entries.filter(|((task, _), e)| task.job == *id && e.stop.is_none()).count()
        };
        let play = |floor: f64| {
            let mut bench = Bench::new();
            Arc::make_mut(&mut bench.foreman.settings).operator.floor = floor;
            bench.foreman.shortage = Shortage::new(floor);
            let names = ["i-1", "i-2", "i-3", "i-4"];
            names.iter().for_each(|name| drop(bench.report(name, vec![])));
            bench.foreman.listed_once = true;
            bench.now += HIRE_SETTLE * 2;
            names.iter().for_each(|name| drop(bench.report(name, vec![])));
            for (zone, spot) in [(0, true), (0, false), (1, true), (1, false)] {
                let kind = Kind { flavor: 0, zone, spot };
                bench.foreman.scarce.insert(kind, (bench.now, CAPACITY_PROBE));
            }
            let array = bench.job("wk-1", Shape::Array, 400);
            let second = |bench: &mut Bench| {
                bench.pass(Duration::from_secs(1));
                for name in names {
                    let orders = bench.report(name, vec![]);
                    bench.report(name, shown(&orders, TaskState::Running));
                }
            };
            second(&mut bench);
            assert_eq!(running(&bench, &array), 16);
            for _ in 0..5 {
                second(&mut bench);
            }
            let service = bench.job("wk-2", Shape::Service, 16);
            let live = bench.state.cache.jobs.all.get_mut(&service);
            let Some(JobBody::Live(live)) = live.map(|job| &mut job.body) else { panic!() };
            let spec = Arc::make_mut(&mut live.spec);
            (spec.urgency, spec.class) = (Urgency::Production, "urgent".into());
            for _ in 0..5 {
                bench.pass(Duration::from_millis(500));
            }
            let starving = bench.foreman.starving(bench.now);
            (running(&bench, &array), running(&bench, &service), starving)
        };
        let (array, _, starving) = play(0.0);
        let leader = starving.leader.clone();
        assert_eq!((array, starving), (0, Starving { leader, ..Starving::default() }));
        let (array, _, starving) = play(0.5);
        // By the rate at which its 400 tasks of 10 s came the array needs 13 machines and the service needs
        // 4, so the array's floor is three quarters of what there is.
        assert_eq!(array, 12, "{starving:?}");
        assert!(starving.scarce_for_s.is_some() && starving.nothing_to_rent);
        let below: Vec<&str> = starving.groups.iter().map(|group| group.class.as_str()).collect();
        assert_eq!(below, ["urgent"], "its room is not free yet");
    }

    /// Nothing is rented beyond what controllers can hold, what waits says why, and calls to workers go round
    /// where not all may be under way at once.
    #[test]
    fn no_more_is_rented_or_called_than_a_controller_can_hold() {
        let mut bench = Bench::new();
        (0..9).for_each(|n| drop(bench.report(&format!("i-{n}"), vec![])));
        bench.foreman.listed_once = true;
        bench.foreman.most_machines = 12;
        bench.job("wk-1", Shape::Array, 400);
        for _ in 0..20 {
            bench.pass(PLAN_EVERY * 5);
        }
        let asked: u32 = bench.cloud.pending().iter().map(|(_, count)| count).sum();
        assert_eq!(asked, 3);
        assert!(bench.foreman.waits["controllers hold no more machines"] > 300);
        bench.foreman.most_direct = 2;
        let mut called: Vec<MachineId> = Vec::new();
        for _ in 0..5 {
            for machine in bench.foreman.machines.values_mut() {
                (machine.direct_in_flight, machine.owed) = (false, true);
                machine.direct_after = bench.now;
            }
            bench.foreman.direct.clear();
            bench.foreman.send_direct(bench.now);
            assert!(bench.foreman.direct.len() <= 2);
            called.extend(bench.foreman.direct.iter().map(|(id, ..)| id.clone()));
        }
        let different: BTreeSet<&MachineId> = called.iter().collect();
        assert_eq!(different.len(), 9, "{called:?}");
    }

    /// An elastic job starts at its least width, takes room that stayed free, makes way down to its least for
    /// what is more urgent, and does not come back at once.
    #[test]
    fn an_elastic_job_grows_into_what_stays_free_and_makes_way_to_its_least() {
        let mut bench = Bench::new();
        let settings = Arc::make_mut(&mut bench.foreman.settings);
        let class = jobs::plain_spec("wk-1", 1).class;
        settings.operator.elastic =
            vec![crate::settings::ElasticClass { class, least: 2, most: 20 }];
        let names = ["i-1", "i-2", "i-3", "i-4"];
        let mut running: BTreeMap<&str, Vec<ReportedTask>> = BTreeMap::new();
        // Each worker does at once what it is told.
        let mut second = |bench: &mut Bench| {
            bench.pass(Duration::from_secs(1));
            for name in names {
                let here = running.entry(name).or_default();
                for order in bench.report(name, here.clone()) {
                    match order {
                        Order::Start { task, attempt } => here.push(ReportedTask {
                            task,
                            attempt,
                            state: TaskState::Running,
                            why: None,
                            saved: None,
                        }),
                        Order::Stop { task, attempt, .. } => {
                            let ended =
                                here.iter_mut().find(|t| (&t.task, t.attempt) == (&task, attempt));
                            if let Some(ended) = ended {
                                ended.state = TaskState::Exited;
                                ended.why = Some("halted".into());
                            }
                        }
                        Order::Forget { task, attempt } => {
                            here.retain(|t| (&t.task, t.attempt) != (&task, attempt));
                        }
                    }
                }
                bench.report(name, here.clone());
            }
        };
        let width = |bench: &Bench, id: &JobId| bench.foreman.work[id].placed.len();
        second(&mut bench);
        let wide = bench.job("wk-1", Shape::Array, 40);
        for _ in 0..3 {
            second(&mut bench);
        }
        assert_eq!(width(&bench, &wide), 2);
        let mut before = 2;
        for _ in 0..20 {
            second(&mut bench);
            assert!(width(&bench, &wide) >= before, "it never turns back by itself");
            before = width(&bench, &wide);
        }
        // All but what is kept warm and what a half of a half leaves.
        assert!((8..=16).contains(&before), "{before}");
        let urgent = bench.job("wk-2", Shape::Service, 14);
        let Some(job) = bench.state.cache.jobs.all.get_mut(&urgent) else { panic!() };
        let JobBody::Live(live) = &mut job.body else { panic!() };
        Arc::make_mut(&mut live.spec).urgency = Urgency::Production;
        for _ in 0..4 {
            second(&mut bench);
        }
        assert_eq!((width(&bench, &urgent), width(&bench, &wide)), (14, 2));
        // The urgent one is gone, and the elastic one rests before it grows again.
        bench.state.cache.jobs.all.remove(&urgent);
        bench.foreman.work.remove(&urgent);
        bench.foreman.stop_all(&urgent);
        for _ in 0..8 {
            second(&mut bench);
            assert_eq!(width(&bench, &wide), 2);
        }
        for _ in 0..25 {
            second(&mut bench);
        }
        assert!(width(&bench, &wide) >= 8, "{}", width(&bench, &wide));
    }
}
