//! One worker as its leader knows it: reports, sessions, commands and what may still run there.
//!
//! An attempt is *seen* once a report shows it. Until then it may or may not have arrived, and it
//! stays booked on its machine. A start that was sent straight to the worker and got no answer is
//! *flying*: the network may hold it back and deliver it minutes later, so such an attempt is
//! never forgotten within its session (a forgotten attempt would run again).

use crate::constants::{DRIFT, WORKER_MARGIN};
use crate::ids::{Amount, Attempt, ControllerId, FencingToken, MachineId, TaskId};
use crate::peers::heartbeat_relay::UnchangedHeartbeat;
use crate::placement::{Basket, Images};
use crate::wire::{Heartbeat, Priority, TaskState, WorkerCommand};
use foldhash::{HashSet, HashSetExt};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Count. Orders in one answer to a worker, which keeps it far below 64 KiB.
pub const ORDERS_MAX: usize = 300;

/// Why a task is stopped whose job is over.
pub const OVER: &str = "its job is over";

/// An order to stop, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct Stop {
    pub grace_s: f64,
    pub reason: &'static str,
}

/// One attempt on a machine.
#[derive(Debug, Clone)]
pub struct PlacedAttempt {
    pub need: Amount,
    pub team: usize,
    pub urgency: Priority,
    pub image: Arc<str>,
    pub seen: bool,
    pub state: TaskState,
    /// Direct commands with the start in them that have no answer.
    pub flying: u32,
    pub stop: Option<Stop>,
    pub placed: Instant,
    pub running_since: Option<Instant>,
    /// The same, but only if this leader saw it begin.
    pub began: Option<Instant>,
    /// When a report last showed it running: what is silent may have ended at any time since.
    pub ran_until: Option<Instant>,
    /// Its exit was dealt with: it is forgotten as soon as that is safe.
    pub settled: bool,
}

impl PlacedAttempt {
    /// A task that is placed now and of which no report has told yet.
    pub fn new(
        need: Amount,
        team: usize,
        urgency: Priority,
        image: Arc<str>,
        now: Instant,
    ) -> PlacedAttempt {
        PlacedAttempt {
            need,
            team,
            urgency,
            image,
            seen: false,
            state: TaskState::Fetching,
            flying: 0,
            stop: None,
            placed: now,
            running_since: None,
            began: None,
            ran_until: None,
            settled: false,
        }
    }

    fn seen_to_run(&self) -> Option<Duration> {
        Some(self.ran_until?.saturating_duration_since(self.began?))
    }

    /// Whether it was told to stop for this reason.
    pub fn stopped_for(&self, reason: &str) -> bool {
        self.stop.as_ref().is_some_and(|stop| stop.reason == reason)
    }
}

/// What a report tells about an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskEvent {
    Running(TaskId, Attempt),
    Exited {
        task: TaskId,
        attempt: Attempt,
        why: String,
        saved: bool,
    },
    /// It is surely not on the machine any more, and nothing is known of its end.
    /// With how long it was seen to run at least, if its begin was seen.
    Vanished(TaskId, Attempt, Option<Duration>),
    /// A report shows it and we had not placed it: a predecessor did.
    Found(TaskId, Attempt),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    Booting,
    Up,
    /// Its deletion was decided; nothing is placed on it.
    Returning,
}

#[derive(Debug)]
pub enum HeartbeatEffect {
    /// Older than what we know.
    Stale,
    /// The worker has seen a higher token than ours.
    Superseded,
    News(Vec<TaskEvent>),
}

#[derive(Debug)]
pub struct Machine {
    pub id: MachineId,
    pub address: Option<std::net::SocketAddr>,
    pub flavor: usize,
    pub zone: usize,
    pub spot: bool,
    pub life: MachineState,
    pub index: u64,
    /// Its record is committed, so a successor will know of it.
    pub recorded: bool,
    /// No order of a predecessor can reach it any more and all it runs is known.
    pub confirmed: bool,
    pub known_since: Instant,
    /// When it was rented, which may be before this leader knew it.
    pub rented: Instant,
    pub up_since: Option<Instant>,
    pub agent_epoch: u64,
    seq: u64,
    pub token: FencingToken,
    /// When we last gave it a valid answer, or first heard of its session if that was later; its lease cannot
    /// have been renewed later.
    pub answered: Instant,
    pub heard: Option<Instant>,
    /// Barred from being answered_for_leader for, without a break since the grant of this number.
    pub revoked_since: Option<u64>,
    pub recall_at: Option<Instant>,
    /// Other controllers may answer it though the leader is in their reach: the leader itself does
    /// not hear it.
    pub delegated: bool,
    pub entries: BTreeMap<(TaskId, Attempt), PlacedAttempt>,
    /// Attempts up to this one ended with a lease that has surely run out. A report that still
    /// shows them was held back by the network and is as old as they are.
    pub dead_below: Attempt,
    pub idle_since: Option<Instant>,
    /// When a task that was not of the least urgency last ended here.
    pub vacated_at: Option<Instant>,
    /// When its tasks were last told to move elsewhere.
    pub emptied_at: Option<Instant>,
    /// The basket it is in, or was in before it became empty.
    pub basket: Option<Basket>,
    pub images: Vec<Arc<str>>,
    /// The same as placement numbers them, as far as it has looked.
    pub image_ids: Images,
    /// Jobs that failed here, whoever's fault it was.
    pub failed_jobs: HashSet<crate::ids::JobId>,
    /// Enough jobs failed here that do well elsewhere.
    pub faulty: bool,
    /// When the last question that it did not answer had been put to it, if it has told nothing since.
    pub asked_in_vain: Option<Instant>,
    pub direct_in_flight: bool,
    pub direct_sent: Instant,
    /// Others of its zone were heard at about that time: the way there was open.
    pub asked_openly: bool,
    pub direct_after: Instant,
    /// The next report has to be seen in full: the last one showed a task that ended, or left one out whose start may
    /// still be on its way.
    needs_full: bool,
    /// The controller that passed its last report on, and when; none: it reported here.
    pub relayed_by: Option<(ControllerId, Instant)>,
    /// A start or a stop may be owed to it. Among hundreds of machines few have any, and each
    /// look at all that runs on all of them would cost more than everything else.
    pub owed: bool,
    /// What its entries add up to, until they change.
    usage: Option<Usage>,
}

/// What the entries of a machine add up to.
#[derive(Debug, Clone, Default)]
pub struct Usage {
    pub used: Amount,
    /// The same by team.
    pub teams: Vec<(usize, Amount)>,
    /// Heavy if any of its tasks is.
    pub basket: Option<Basket>,
    /// CPUs of running tasks of the least urgency.
    pub low_cpu: u64,
}

impl Machine {
    pub fn new(
        id: MachineId,
        flavor: usize,
        zone: usize,
        spot: bool,
        index: u64,
        now: Instant,
    ) -> Machine {
        Machine {
            id,
            address: None,
            flavor,
            zone,
            spot,
            life: MachineState::Booting,
            index,
            recorded: false,
            confirmed: true,
            known_since: now,
            rented: now,
            up_since: None,
            agent_epoch: 0,
            seq: 0,
            token: FencingToken(0),
            answered: now,
            heard: None,
            revoked_since: None,
            recall_at: None,
            delegated: false,
            entries: BTreeMap::new(),
            dead_below: Attempt(0),
            idle_since: None,
            vacated_at: None,
            emptied_at: None,
            basket: None,
            images: Vec::new(),
            image_ids: Images::default(),
            failed_jobs: HashSet::new(),
            faulty: false,
            asked_in_vain: None,
            direct_in_flight: false,
            direct_sent: now,
            asked_openly: false,
            direct_after: now,
            needs_full: true,
            relayed_by: None,
            owed: true,
            usage: None,
        }
    }

    /// Takes a report in.
    pub fn hear(
        &mut self,
        report: &Heartbeat,
        ours: FencingToken,
        now: Instant,
    ) -> HeartbeatEffect {
        if report.token > ours {
            return HeartbeatEffect::Superseded;
        }
        if (report.agent_epoch, report.seq) <= (self.agent_epoch, self.seq) {
            return HeartbeatEffect::Stale;
        }
        let mut facts = Vec::new();
        if report.agent_epoch > self.agent_epoch {
            facts.extend(self.lose_all());
            self.agent_epoch = report.agent_epoch;
            // Its lease counts from when it began, which was since our last answer: a leader that could not
            // act for long once took it to be over, and what it had just started there to be dead.
            self.answered = self.answered.max(now);
        }
        self.seq = report.seq;
        self.owed = true;
        self.token = self.token.max(report.token);
        self.heard = Some(now);
        self.asked_in_vain = None;
        if self.life == MachineState::Booting {
            self.life = MachineState::Up;
        }
        self.up_since.get_or_insert(now);
        self.recall_at = report.notice_s.map(|s| now + Duration::from_secs_f64(s.clamp(0.0, 1e6)));
        let mut listed = HashSet::new();
        for shown in &report.tasks {
            let key = (shown.task.clone(), shown.attempt);
            if shown.attempt <= self.dead_below && !self.entries.contains_key(&key) {
                continue;
            }
            listed.insert(key.clone());
            let mut ours = true;
            let entry = match self.entries.get_mut(&key) {
                Some(entry) => entry,
                None => {
                    facts.push(TaskEvent::Found(shown.task.clone(), shown.attempt));
                    // What runs when it is found began at some time before.
                    ours = shown.state == TaskState::Fetching;
                    self.usage = None;
                    let (need, urgency) = (Amount::default(), Priority::Production);
                    let found = PlacedAttempt::new(need, usize::MAX, urgency, Arc::from(""), now);
                    let found = PlacedAttempt { state: shown.state, ..found };
                    self.entries.entry(key.clone()).or_insert(found)
                }
            };
            entry.seen = true;
            if entry.state != shown.state {
                self.usage = None;
            }
            entry.state = shown.state;
            if shown.state == TaskState::Running {
                entry.ran_until = Some(now);
            }
            match shown.state {
                TaskState::Running if entry.running_since.is_none() => {
                    entry.running_since = Some(now);
                    entry.began = Some(now).filter(|_| ours);
                    let image = entry.image.clone();
                    has(&mut self.images, image);
                    facts.push(TaskEvent::Running(key.0, key.1));
                }
                TaskState::Exited if !entry.settled => facts.push(TaskEvent::Exited {
                    task: key.0,
                    attempt: key.1,
                    why: shown.why.clone().unwrap_or_default(),
                    saved: shown.saved.unwrap_or(false),
                }),
                _ => {}
            }
        }
        // Gone without our forgetting it: whatever ran is not there any more. What was never
        // seen may still be on its way and stays booked.
        self.needs_full = report.tasks.iter().any(|task| task.state == TaskState::Exited);
        self.entries.retain(|key, entry| {
            if entry.seen && !listed.contains(key) {
                if entry.flying > 0 {
                    self.needs_full = true;
                    return true;
                }
                self.usage = None;
                facts.push(TaskEvent::Vanished(key.0.clone(), key.1, entry.seen_to_run()));
                return false;
            }
            true
        });
        if self.token == ours {
            self.confirmed = true;
        }
        HeartbeatEffect::News(facts)
    }

    /// Takes in that the worker reports, under the number `seq`, just what it reported under `before`. False: what is
    /// known of it is not that report, so all of it has to be seen.
    pub fn hear_same(
        &mut self,
        unchanged: &UnchangedHeartbeat,
        ours: FencingToken,
        now: Instant,
    ) -> bool {
        let UnchangedHeartbeat { agent_epoch, previous_seq, seq, .. } = *unchanged;
        let known =
            (self.agent_epoch, self.seq) == (agent_epoch, previous_seq) && previous_seq < seq;
        if !known || self.needs_full || self.token != ours || self.life == MachineState::Booting {
            return false;
        }
        self.seq = seq;
        self.owed = true;
        self.heard = Some(now);
        self.asked_in_vain = None;
        for entry in self.entries.values_mut() {
            if entry.seen && entry.state == TaskState::Running {
                entry.ran_until = Some(now);
            }
        }
        self.confirmed = true;
        true
    }

    /// A predecessor's task was found here, and what it needs is known by now. One that runs or ran
    /// shows that its image is here: a leader that knew nothing of what its predecessor's tasks
    /// fetched would have most of a fleet fetch it once more.
    pub fn adopted(&mut self, key: &(TaskId, Attempt)) {
        self.usage = None;
        let Some(entry) = self.entries.get(key) else { return };
        if entry.running_since.is_some() {
            has(&mut self.images, entry.image.clone());
        }
    }

    /// Its session is over (or the machine is gone): nothing of what it had is there any more.
    pub fn lose_all(&mut self) -> Vec<TaskEvent> {
        self.usage = None;
        let entries = std::mem::take(&mut self.entries);
        entries
            .into_iter()
            .filter(|(_, entry)| !entry.settled)
            .map(|((task, attempt), entry)| TaskEvent::Vanished(task, attempt, entry.seen_to_run()))
            .collect()
    }

    /// Orders for the answer to its report. Only here is anything forgotten: report answers
    /// arrive in order and never late, so no start can overtake a `forget`.
    pub fn orders(&mut self) -> Vec<WorkerCommand> {
        let mut orders = Vec::new();
        let mut dropped = Vec::new();
        for ((task, attempt), entry) in &self.entries {
            if orders.len() >= ORDERS_MAX {
                break;
            }
            if entry.settled && entry.state == TaskState::Exited && entry.flying == 0 {
                orders.push(WorkerCommand::Forget { task: task.clone(), attempt: *attempt });
                dropped.push((task.clone(), *attempt));
            }
        }
        for key in dropped {
            self.entries.remove(&key);
        }
        orders.extend(self.starts_and_stops());
        orders.truncate(ORDERS_MAX);
        orders
    }

    /// Orders that may also be sent straight to the worker.
    pub fn starts_and_stops(&mut self) -> Vec<WorkerCommand> {
        let mut orders = Vec::new();
        for ((task, attempt), entry) in &self.entries {
            if entry.state == TaskState::Exited || orders.len() >= ORDERS_MAX - 1 {
                continue;
            }
            let (task, attempt) = (task.clone(), *attempt);
            match &entry.stop {
                // A start that may still be on its way is delivered and then stopped, so that
                // the late one finds its attempt known.
                Some(stop) => {
                    if !entry.seen {
                        orders.push(WorkerCommand::Start { task: task.clone(), attempt });
                    }
                    let again = entry.state == TaskState::Saving && stop.grace_s > 0.0;
                    if !again {
                        orders.push(WorkerCommand::Stop { task, attempt, grace_s: stop.grace_s });
                    }
                }
                None if !entry.seen && self.recorded => {
                    orders.push(WorkerCommand::Start { task, attempt })
                }
                None => {}
            }
        }
        orders
    }

    /// Tells an attempt to stop; the order goes out with the next answer or before.
    pub fn stop(&mut self, key: &(TaskId, Attempt), stop: Stop) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.stop = Some(stop);
            self.owed = true;
        }
    }

    /// Marks the starts among orders that are sent straight to the worker.
    pub fn note_flying(&mut self, orders: &[WorkerCommand], by: i32) {
        for order in orders {
            if let WorkerCommand::Start { task, attempt } = order
                && let Some(entry) = self.entries.get_mut(&(task.clone(), *attempt))
            {
                entry.flying = entry.flying.saturating_add_signed(by);
            }
        }
    }

    /// What may be running here.
    pub fn used(&self) -> Amount {
        self.entries
            .values()
            .filter(|entry| entry.state != TaskState::Exited)
            .fold(Amount::default(), |sum, entry| sum.plus(&entry.need))
    }

    /// To be told whenever an entry was added or changed in place.
    pub fn entries_changed(&mut self) {
        self.usage = None;
    }

    /// What its entries add up to, reckoned anew only when they have changed: among thousands of
    /// tasks few change from one planning pass to the next.
    pub fn usage(&mut self, basket: impl Fn(&Amount) -> Basket) -> &Usage {
        let entries = &self.entries;
        self.usage.get_or_insert_with(|| {
            let mut usage = Usage::default();
            for entry in entries.values().filter(|entry| entry.state != TaskState::Exited) {
                usage.used = usage.used.plus(&entry.need);
                match usage.teams.iter_mut().find(|(team, _)| *team == entry.team) {
                    Some((_, sum)) => *sum = sum.plus(&entry.need),
                    None => usage.teams.push((entry.team, entry.need)),
                }
                if usage.basket != Some(Basket::Heavy) {
                    usage.basket = Some(basket(&entry.need));
                }
                if entry.urgency == Priority::Low && entry.state == TaskState::Running {
                    usage.low_cpu += entry.need.cpu;
                }
            }
            usage
        })
    }

    /// CPUs of running tasks of the least urgency, as they were last added up.
    pub fn low_cpu(&self) -> u64 {
        self.usage.as_ref().map_or(0, |usage| usage.low_cpu)
    }

    pub fn is_empty(&self) -> bool {
        self.entries.values().all(|entry| entry.state == TaskState::Exited)
    }

    /// A start of a cancelled job may be held back on its way there: as long as anybody keeps the session alive it
    /// could still be executed, however late. Ending the session in time is the only way to stop it.
    pub fn is_doomed(&self) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| {
            let over = entry.stopped_for(OVER);
            entry.flying > 0 && !entry.seen && over
        })
    }

    /// Whether its lease has surely run out, if nobody answered it later than we did and than
    /// `others`.
    pub fn lease_over(&self, others: Option<Instant>, lease: Duration, now: Instant) -> bool {
        let answered = others.map_or(self.answered, |at| at.max(self.answered));
        now > answered + lease.mul_f64(1.0 + DRIFT) + WORKER_MARGIN
    }

    pub fn silent_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard.unwrap_or(self.known_since))
    }
}

fn has(images: &mut Vec<Arc<str>>, image: Arc<str>) {
    if !image.is_empty() && !images.contains(&image) {
        images.push(image);
    }
}

#[cfg(test)]
mod tests;
