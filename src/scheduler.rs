//! The leader's work: what it knows of machines and tasks, turned into commands.
//!
//! A core without clock or I/O. It exists only while its process leads, is built anew for each
//! leadership from the store's records and the workers' reports, and stores no placements.

use crate::clock::WallClock;
use crate::cloud::{CloudClient, CloudEvent, MachinePool};
use crate::constants::*;
use crate::ids::{
    Amount, Attempt, ControllerId, FencingToken, JobId, MachineId, MachineTypeId, Revision, TaskId,
    TeamId, ZoneId,
};
use crate::jobs::dag::InheritedPriority;
use crate::jobs::{self, Job, JobBody, LiveJob};
use crate::leadership::delegation::Delegations;
use crate::peers::mesh::PeerMessage;
use crate::placement::{
    self, Basket, Bin, MachineTypeOffer, PlacementInput, PlacementPlan, PlacementRequest,
    PlannedStart, QueuedJob, RequestTasks, ScaleOutPolicy, ZoneLimits,
};
use crate::settings::Settings;
use crate::store::{
    Bucket, Cache, Item, LEADER_KEY, MACHINE_PREFIX, MachineRecord, Origin, Outcome, Rank,
    StoreClient,
};
use crate::wire::{
    CommandBatch, Data, Heartbeat, JobKind, MachineType, Precondition, Priority, TaskState,
    WorkerCommand, Write,
};
use crate::workers::command_delivery::DirectCall;
use crate::workers::failure_attribution::FailureAttribution;
use crate::workers::machine::{
    HeartbeatEffect, Machine, MachineState, OVER, PlacedAttempt, Stop, TaskEvent,
};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use troutspindle_elastic_width::Widths;

mod autoscaling;
mod consolidation;
mod dependencies;
pub mod drains;
mod elastic_width;
mod fair_share;
mod garbage_collection;
mod job_machines;
mod orphaned_tasks;
mod persistence;
mod placement_requests;
mod planning;
mod preemption;
mod reconciliation;
mod relayed_heartbeats;
mod runtime_prediction;
mod unreachable;

use drains::Draining;
use fair_share::{Group, Shortage};
use garbage_collection::Tidy;
use job_machines::Holders;
use orphaned_tasks::Leftover;
use preemption::Stoppable;
use runtime_prediction::Learning;

/// Why a task was stopped, where the reason is asked for later.
const PREEMPTED: &str = "preempted";
const MOVED: &str = "moved";

type TaskAttempt = (TaskId, Attempt);

/// All attempts at all tasks of a job.
fn attempts_of(id: &JobId) -> RangeInclusive<TaskAttempt> {
    let at = |index: u32, attempt: u64| (TaskId { job: id.clone(), index }, Attempt(attempt));
    at(0, 0)..=at(u32::MAX, u64::MAX)
}

/// What is to be sent straight to a machine.
enum NextDirectCall {
    Nothing,
    /// Something, after a pause.
    Later,
    Call(SocketAddr, DirectCall),
}

impl NextDirectCall {
    fn to(
        machine: &mut Machine,
        token: FencingToken,
        late: Duration,
        now: Instant,
    ) -> NextDirectCall {
        let Some(address) = machine.address else { return NextDirectCall::Nothing };
        if machine.direct_in_flight || machine.life == MachineState::Booting {
            return NextDirectCall::Nothing;
        }
        if now < machine.direct_after {
            return if machine.owed { NextDirectCall::Later } else { NextDirectCall::Nothing };
        }
        let call = |agent_epoch: u64, orders: Vec<WorkerCommand>| {
            NextDirectCall::Call(
                address,
                DirectCall::Do(CommandBatch { token, agent_epoch: Some(agent_epoch), orders }),
            )
        };
        if machine.agent_epoch == 0 {
            // Few leases ever expire, so most machines are in their first session and confirm
            // themselves with this one answer. Any other refuses, and its refusal tells the session:
            // with hundreds of machines a question before costs a take-over most of a second.
            return if machine.confirmed {
                NextDirectCall::Nothing
            } else {
                call(FIRST_AGENT_EPOCH, Vec::new())
            };
        }
        let orders = if machine.owed { machine.starts_and_stops() } else { Vec::new() };
        machine.owed = !orders.is_empty();
        if !orders.is_empty() || !machine.confirmed {
            call(machine.agent_epoch, orders)
        } else if machine.lent || machine.silent_for(now) > late {
            // Its answer will show that it is in our reach again, or that it lives.
            NextDirectCall::Call(address, DirectCall::Status)
        } else {
            NextDirectCall::Nothing
        }
    }
}

/// What the leader knows of a live job's tasks beyond the store's record.
#[derive(Debug, Default)]
struct JobProgress {
    /// It was there before this leadership began: a predecessor may have started its tasks.
    old: bool,
    /// When this leader first saw it.
    known: Option<Instant>,
    placed: BTreeMap<u32, (MachineId, Attempt)>,
    /// Attempts of tasks that an old report showed, or shows still, beside the placed one: such a task is free
    /// only once none is left.
    twice: Vec<(u32, MachineId, Attempt)>,
    /// Reported done, not committed yet.
    completing: BTreeSet<u32>,
    /// Not before, and how often it failed.
    retry: BTreeMap<u32, (Instant, u32)>,
    /// Tasks below the cursor that are to be started again: at once, or after a pause.
    again: BTreeSet<u32>,
    paused: BTreeSet<(Instant, u32)>,
    /// Whether its failures are its own fault.
    evidence: FailureAttribution,
    /// How often tasks of it made way for urgent ones.
    made_way: u32,
    /// Whether its work was counted as it came, and among what.
    counted: bool,
    group: Option<Group>,
    /// Tasks from here on were not looked at yet; those below that wait stand in `again` or `paused`.
    cursor: u32,
}

impl JobProgress {
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
        let open =
            |work: &JobProgress, task: u32| !work.placed.contains_key(&task) && !job.is_done(task);
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
struct PendingDemand {
    job: JobId,
    left: u32,
}

/// What all machines together show.
#[derive(Debug, Default)]
struct FleetSummary {
    /// By zone: those that are up, and of those the ones heard of late.
    up: Vec<usize>,
    heard: Vec<usize>,
    booting: bool,
    /// Some worker did not answer a question; some machine failed several jobs.
    asked_in_vain: bool,
    failing: bool,
    /// When the newest of those that are up was rented.
    newest: Option<Instant>,
}

impl FleetSummary {
    /// Whether a machine that was rented later than this one is up.
    fn overtaken(&self) -> impl Fn(&Machine) -> bool + use<> {
        let newest = self.newest;
        move |machine| newest.is_some_and(|at| at > machine.rented)
    }
}

/// Ranks of machines within a zone: the lowest free one is given to the next.
#[derive(Debug, Default)]
struct ZoneIndexAllocator {
    free: BTreeSet<u64>,
    next: u64,
}

pub struct Scheduler {
    pub token: FencingToken,
    leader_rev: Revision,
    since: Instant,
    counter: u64,
    settings: Arc<Settings>,
    teams: HashMap<String, usize>,
    flavors: Vec<MachineType>,
    pub machines: BTreeMap<MachineId, Machine>,
    /// By zone.
    ranks: Vec<ZoneIndexAllocator>,
    /// Ordered, so that equal events have equal effects.
    work: BTreeMap<JobId, JobProgress>,
    /// On which machines each job may have tasks.
    holders: Holders,
    /// Machines that came up and whose records are not committed yet, and jobs with tasks that are reported done
    /// and not committed; those that no longer are leave at the next look.
    unrecorded: BTreeSet<MachineId>,
    completing: BTreeSet<JobId>,
    /// Jobs that this process promised to stop or that others told users to be cancelled, while the cache
    /// still has them as live: nothing of theirs is started any more.
    told_cancelled: HashSet<JobId>,
    leftover: Leftover,
    images: HashMap<Arc<str>, u32>,
    /// Kinds that refused: until when each is left alone, and how many to ask for then.
    scarce: HashMap<MachinePool, (Instant, u32)>,
    /// Surely gone: a lagging list may still show them.
    buried: HashSet<MachineId>,
    listed_once: bool,
    watch_at: Instant,
    plan_at: Instant,
    plan_wanted: bool,
    /// When a pass is due even if nothing waits for it.
    whole_at: Instant,
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
    /// How many are; and machines to which something may be owed, or whether that may be any.
    under_way: usize,
    /// Questions to machines that have not answered this leader yet.
    confirms: Bucket,
    look_at: BTreeSet<MachineId>,
    look_all: bool,
    /// From which machine on calls are sent next, where not all may be under way at once.
    direct_from: Option<MachineId>,
    pub wall: WallClock,
    /// What jobs inherit from those that need them, and whether that is to be found out anew.
    carried: HashMap<JobId, InheritedPriority>,
    carried_old: bool,
    tidy: Tidy,
    learning: Learning,
    shortage: Shortage,
    draining: Draining,
    /// What is remembered of elastic jobs.
    widths: Widths<JobId>,
    pub delegations: Delegations,
    pub direct: Vec<(MachineId, SocketAddr, DirectCall)>,
    pub last_report: Instant,
    pub reports: u64,
    pub starts: u64,
    pub stops: u64,
}

impl Scheduler {
    pub fn new(
        token: FencingToken,
        leader_rev: Revision,
        settings: Arc<Settings>,
        cache: &Cache,
        wall: WallClock,
        now: Instant,
    ) -> Scheduler {
        let names = settings.platform.params.teams.iter().map(|team| team.name.clone());
        let peers = settings.platform.others.iter().map(|peer| peer.host_name.clone());
        let zones = settings.platform.params.zones.len();
        let ranks = std::iter::repeat_with(ZoneIndexAllocator::default).take(zones).collect();
        let shortage = Shortage::new(settings.operator.floor);
        let allowed = &settings.platform.params.resources;
        let confirms = allowed.fits(Duration::from_secs(1), CALL_COST) * CONFIRM_SHARE;
        let mut scheduler = Scheduler {
            token,
            delegations: Delegations::new(token, peers, now),
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
            holders: Holders::default(),
            unrecorded: BTreeSet::new(),
            completing: BTreeSet::new(),
            told_cancelled: HashSet::new(),
            leftover: Leftover::default(),
            images: HashMap::new(),
            scarce: HashMap::new(),
            buried: HashSet::new(),
            listed_once: false,
            watch_at: now,
            plan_at: now,
            plan_wanted: true,
            whole_at: now,
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
            under_way: 0,
            confirms: Bucket::new(confirms, CONFIRM_BURST_S, now),
            look_at: BTreeSet::new(),
            look_all: true,
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
            let Some(kind) = scheduler.kind(&record.flavor, &record.zone, record.spot) else {
                continue;
            };
            let machine = scheduler.add_machine(id, kind, now);
            machine.recorded = true;
            machine.confirmed = false;
            machine.life = MachineState::Up;
            machine.address = record.address.parse().ok();
        }
        for (id, job) in &cache.jobs.all {
            if let Some(live) = job.live() {
                // A predecessor started nothing that still waits for other jobs: the cache holds
                // all that it committed.
                let old = live.ready();
                scheduler.work.insert(id.clone(), JobProgress { old, ..JobProgress::default() });
            }
        }
        scheduler.find_leftover(cache, now);
        scheduler
    }

    fn zone(&self, name: &str) -> Option<usize> {
        self.settings.platform.params.zones.iter().position(|zone| zone == name)
    }

    fn kind(&self, flavor: &str, zone: &str, spot: bool) -> Option<MachinePool> {
        let flavor = self.flavors.iter().position(|f| f.name == flavor)?;
        Some(MachinePool { flavor, zone: self.zone(zone)?, spot })
    }

    fn size(&self, flavor: usize) -> Amount {
        self.flavors.get(flavor).map(|f| Amount::room(f.cpus, f.gpus, f.ram_gb)).unwrap_or_default()
    }

    /// Indices are dealt round-robin over the zones: a machine gets the lowest rank free in its
    /// zone, so the loss of a zone never takes most of a basket.
    fn add_machine(&mut self, id: &MachineId, kind: MachinePool, now: Instant) -> &mut Machine {
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

    fn leader_guard(&self) -> Precondition {
        Precondition { key: LEADER_KEY.into(), rev: self.leader_rev }
    }

    pub fn leader_rev(&self) -> Revision {
        self.leader_rev
    }

    /// The token to answer a report with once our right to act has ended, as those answer to whom we
    /// gave grants. A successor reckons with such answers for a full term from its start.
    pub fn answer_for_leader(&mut self, id: &MachineId, now: Instant) -> Option<FencingToken> {
        let every = self.settings.report_every();
        let machine = self.machines.get_mut(id)?;
        // What is barred since it was silent is none the less answered here: we reckon with our own answers.
        if machine.silent_for(now) > every && machine.is_doomed() {
            return None;
        }
        // Should we lead on, its lease counts from here.
        machine.answered = now;
        Some(self.token)
    }

    /// In which zones a job may have tasks. It is asked for with the promise to stop them, so none are started
    /// elsewhere, and a user who cancels it need not wait for a zone that has none.
    pub fn zones_of(&self, id: &JobId, cache: &Cache) -> Vec<String> {
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
    pub fn grant(&mut self, to: &ControllerId, seq: u64, now: Instant) -> Option<PeerMessage> {
        self.delegations.number += 1;
        // Late enough for a worker to find a controller that hears it, and soon enough for the bar
        // to be acknowledged before its lease is over.
        let quiet = self.settings.worker_lease() * 3 / 4;
        let survey = self.survey(now);
        let cut_off = self.cut_off_zones(&survey, now);
        let (mut barred, mut lent) = (Vec::new(), Vec::new());
        let every = self.settings.report_every();
        for machine in self.machines.values_mut() {
            let told = self.delegations.told(&machine.id);
            let answered_for_leader =
                told.is_some_and(|at| now.saturating_duration_since(at) < quiet);
            let dead =
                machine.silent_for(now) > quiet && !cut_off[machine.zone] && !answered_for_leader;
            if dead || (machine.silent_for(now) > every && machine.is_doomed()) {
                machine.barred_since.get_or_insert(self.delegations.number);
                barred.push(machine.id.clone());
                continue;
            }
            machine.barred_since = None;
            // Perhaps out of our reach alone: whoever hears it answers it, though we are near.
            machine.lent =
                machine.life == MachineState::Up && machine.silent_for(now) >= every * 3 / 2;
            if machine.lent {
                self.look_at.insert(machine.id.clone());
                lent.push(machine.id.clone());
            }
        }
        self.delegations.give(to, seq, (barred, lent), now)
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

    /// Whether this process fell behind a moment ago.
    pub fn is_behind(&self, now: Instant) -> bool {
        self.behind_at.is_some_and(|at| now < at + BEHIND_FOR)
    }

    /// Told how long the last event took to handle. Passes take a bounded share of the processor, however
    /// much waits: else they leave no time for what they decide, nor for the leader's lease.
    pub fn took(&mut self, took: Duration, now: Instant) {
        if std::mem::take(&mut self.planned) {
            self.plan_at = self.plan_at.max(now + took * PLAN_PAUSE);
        }
    }

    /// Called often, and only while this process may act.
    pub fn tick(&mut self, state: &mut StoreClient, cloud: &mut CloudClient, now: Instant) {
        if now >= self.watch_at {
            self.watch_at = now + WATCH_EVERY;
            self.look_all = true;
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
            if now >= self.whole_at || self.waits_for_a_pass(&state.cache) {
                self.whole_at = now + PLAN_WHOLE;
                self.planned = true;
                self.plan(&state.cache, cloud, now);
                self.look_all = true;
            }
        }
        self.send_direct(now);
    }

    /// One look at all machines, for all that a pass or a watch asks of them as a whole.
    fn survey(&self, now: Instant) -> FleetSummary {
        let quiet = self.settings.report_every() * 2 + Duration::from_secs(1);
        let zones = self.settings.platform.params.zones.len();
        let (up, heard) = (vec![0; zones], vec![0; zones]);
        let mut survey = FleetSummary { up, heard, ..FleetSummary::default() };
        for machine in self.machines.values() {
            if machine.life == MachineState::Up {
                survey.up[machine.zone] += 1;
                survey.heard[machine.zone] += usize::from(machine.silent_for(now) < quiet);
            }
            survey.booting |= machine.life == MachineState::Booting;
            survey.asked_in_vain |= machine.asked_in_vain.is_some();
            survey.failing |= machine.failed_jobs.len() >= FAULTY_JOBS;
            if machine.up_since.is_some() {
                survey.newest = survey.newest.max(Some(machine.rented));
            }
        }
        survey
    }

    /// Zones none of whose machines is heard: cut off from here rather than dead.
    fn silent_zones(&self, survey: &FleetSummary, now: Instant) -> Vec<bool> {
        let (up, heard) = (&survey.up, &survey.heard);
        // One silent machine alone may well be dead, unless its zone's controllers are silent too.
        let names = &self.settings.platform.params.zones;
        let deaf = |zone: usize| {
            let others = &self.settings.platform.others;
            let mut there = others.iter().filter(|peer| peer.location == names[zone]).peekable();
            there.peek().is_some()
                && there.all(|peer| self.delegations.unheard(&peer.host_name, now))
        };
        (0..up.len())
            .map(|zone| up[zone] > 0 && heard[zone] * 4 < up[zone] && (up[zone] >= 2 || deaf(zone)))
            .collect()
    }

    /// Zones that are silent or were so a moment ago: when a cut ends, the machines behind it
    /// come back one by one, and the last to report is not dead because the first has reported.
    fn cut_off_zones(&mut self, survey: &FleetSummary, now: Instant) -> Vec<bool> {
        for (zone, silent) in self.silent_zones(survey, now).into_iter().enumerate() {
            if silent {
                self.zone_silent_at[zone] = Some(now);
            }
        }
        let back = self.settings.report_every() * 4;
        self.zone_silent_at.iter().map(|at| at.is_some_and(|at| now < at + back)).collect()
    }

    /// Sends what is owed to machines, to those of which anything was heard since the last time, or to any where
    /// more has changed: few have anything owed, and a look at each of them at each tick cost more than most else.
    fn send_direct(&mut self, now: Instant) {
        // Those that were left out the last time come first, and the others after them.
        let from = self.direct_from.take();
        let all = std::mem::replace(&mut self.look_all, from.is_some()) || from.is_some();
        let some = std::mem::take(&mut self.look_at);
        let late = self.late_after();
        let mut left = self.most_direct.saturating_sub(self.under_way);
        let look_at = &mut self.look_at;
        let mut call = |machine: &mut Machine| {
            if !machine.confirmed && !self.confirms.has(1.0, now) {
                look_at.insert(machine.id.clone());
                return true;
            }
            let owed = NextDirectCall::to(machine, self.token, late, now);
            if left == 0 && matches!(owed, NextDirectCall::Call(..)) {
                return false;
            }
            if !machine.confirmed && matches!(owed, NextDirectCall::Call(..)) {
                self.confirms.take(1.0, now);
            }
            match owed {
                NextDirectCall::Nothing => {}
                NextDirectCall::Later => drop(look_at.insert(machine.id.clone())),
                NextDirectCall::Call(address, direct) => {
                    left -= 1;
                    self.under_way += 1;
                    if let DirectCall::Do(orders) = &direct {
                        machine.note_flying(&orders.orders, 1);
                    }
                    let heard = self.zone_heard[machine.zone];
                    let every = self.settings.report_every();
                    machine.asked_openly = heard.is_some_and(|at| now < at + every);
                    (machine.direct_in_flight, machine.direct_sent) = (true, now);
                    self.direct.push((machine.id.clone(), address, direct));
                }
            }
            true
        };
        if all {
            let skipped = |id: &MachineId| from.as_ref().is_some_and(|from| id < from);
            for machine in self.machines.values_mut().filter(|machine| !skipped(&machine.id)) {
                if !call(machine) {
                    self.direct_from = Some(machine.id.clone());
                    break;
                }
            }
            return;
        }
        let mut some = some.into_iter();
        while let Some(id) = some.next() {
            if !self.machines.get_mut(&id).is_none_or(&mut call) {
                self.look_at.extend(some.chain([id]));
                break;
            }
        }
    }

    /// The end of a direct call: the worker's report, or whether it may still be executed.
    pub fn on_direct(
        &mut self,
        id: &MachineId,
        sent: Option<&CommandBatch>,
        report: Result<Heartbeat, crate::http::CallError>,
        cache: &Cache,
        now: Instant,
    ) -> bool {
        let Some(machine) = self.machines.get_mut(id) else { return true };
        self.under_way -= usize::from(std::mem::take(&mut machine.direct_in_flight));
        self.look_at.insert(id.clone());
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

    // ---- views ----------------------------------------------------------------------------

    /// How many tasks of each job run.
    pub fn running(&self) -> BTreeMap<JobId, u32> {
        let mut counts = BTreeMap::new();
        for machine in self.machines.values() {
            let runs = |entry: &PlacedAttempt| {
                matches!(entry.state, TaskState::Running | TaskState::Saving)
            };
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
                    MachineState::Booting => "booting",
                    MachineState::Up if silent => "silent",
                    MachineState::Up if machine.is_empty() => "idle",
                    MachineState::Up => "up",
                    MachineState::Returning => "returning",
                }
            );
            *by_kind.entry(name).or_default() += 1;
            if machine.life == MachineState::Up {
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
mod tests;
