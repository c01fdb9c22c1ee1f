//! One emulated worker by PROTOCOL: session, lease, tokens, image cache, tasks and reports.
//!
//! A core without clock or I/O: it is told the time, and leaves events for the judge. The process around it
//! carries its reports out ([`crate::worker_process`]).

use crate::constants::*;
use crate::link::{Happening, JobFacts, MachineFacts, WorkerSettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;
use troutspindle_protocol::ids::{Attempt, FencingToken, JobId, TaskId};
use troutspindle_protocol::wire::{CommandBatch, Heartbeat, TaskState, TaskStatus, WorkerCommand};

/// The jobs that a process of workers knows.
pub type JobCatalog = HashMap<JobId, JobFacts>;

struct Task {
    attempt: Attempt,
    state: TaskState,
    why: Option<&'static str>,
    cpus: f64,
    ram_gb: f64,
    image: String,
    /// When it ends by itself.
    ends_at: Option<Instant>,
    run: Option<Duration>,
}

impl Task {
    fn refused(attempt: Attempt, why: &'static str) -> Task {
        let state = TaskState::Exited;
        let image = String::new();
        Task {
            attempt,
            state,
            why: Some(why),
            cpus: 0.0,
            ram_gb: 0.0,
            image,
            ends_at: None,
            run: None,
        }
    }

    fn holds_room(&self) -> bool {
        self.state != TaskState::Exited
    }
}

/// An image on the machine, or on its way.
struct Image {
    gb: f64,
    ready_at: Instant,
    used: u64,
}

/// What came of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Answered; the worker stays with this controller.
    Accepted,
    /// Dropped: it belongs to an earlier session or carries a lower token.
    Dropped,
}

/// A worker and all that runs on it.
pub struct Worker {
    facts: MachineFacts,
    settings: WorkerSettings,
    random: StdRng,
    agent_epoch: u64,
    sequence: u64,
    token: FencingToken,
    /// When the last answered report was sent, or the session began.
    renewed: Instant,
    /// When a change of the token was last reported as one.
    token_told: Option<Instant>,
    changed: bool,
    report_due: Instant,
    reported: Option<Instant>,
    in_flight: bool,
    tasks: BTreeMap<TaskId, Task>,
    images: HashMap<String, Image>,
    uses: u64,
    pub starts: u64,
    pub leases_lost: u64,
    /// For the judge.
    pub events: Vec<Happening>,
}

impl Worker {
    /// A worker whose machine is up from now on.
    pub fn new(facts: MachineFacts, settings: WorkerSettings, number: u64, now: Instant) -> Worker {
        let random = StdRng::seed_from_u64(settings.seed.wrapping_add(number));
        Worker {
            facts,
            settings,
            random,
            agent_epoch: 1,
            sequence: 0,
            token: FencingToken(0),
            renewed: now,
            token_told: None,
            changed: true,
            report_due: now,
            reported: None,
            in_flight: false,
            tasks: BTreeMap::new(),
            images: HashMap::new(),
            uses: 0,
            starts: 0,
            leases_lost: 0,
            events: Vec::new(),
        }
    }

    pub fn facts(&self) -> &MachineFacts {
        &self.facts
    }

    pub fn agent_epoch(&self) -> u64 {
        self.agent_epoch
    }

    pub fn token(&self) -> FencingToken {
        self.token
    }

    fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.settings.lease_s)
    }

    /// Ends the session if the lease is over, and moves tasks on whose time has come.
    pub fn advance(&mut self, now: Instant) {
        if now > self.renewed + self.lease() {
            self.end_session(now);
        }
        for (id, task) in &mut self.tasks {
            if task.state == TaskState::Fetching
                && self.images.get(&task.image).is_none_or(|image| image.ready_at <= now)
            {
                task.state = TaskState::Running;
                task.ends_at = task.run.map(|run| now + run);
                self.changed = true;
                self.events.push(Happening::Ready(id.clone(), task.attempt));
            }
            if task.state == TaskState::Running && task.ends_at.is_some_and(|at| at <= now) {
                (task.state, task.why) = (TaskState::Exited, Some("done"));
                self.changed = true;
                self.events.push(Happening::Ended(id.clone(), task.attempt, true));
            }
        }
    }

    fn end_session(&mut self, now: Instant) {
        self.agent_epoch += 1;
        self.leases_lost += 1;
        self.renewed = now;
        self.changed = true;
        self.end_all();
    }

    /// The machine is gone, or its lease: everything on it ends.
    pub fn end_all(&mut self) {
        for (id, task) in std::mem::take(&mut self.tasks) {
            if matches!(task.state, TaskState::Running | TaskState::Saving) {
                self.events.push(Happening::Ended(id, task.attempt, false));
            }
        }
    }

    /// When something is due by itself: a report, the end of a task or fetch, the end of the lease.
    pub fn next_due(&self) -> Instant {
        let mut due = self.renewed + self.lease() + Duration::from_millis(1);
        for task in self.tasks.values() {
            let at = match task.state {
                TaskState::Fetching => self.images.get(&task.image).map(|image| image.ready_at),
                TaskState::Running => task.ends_at,
                _ => None,
            };
            due = at.map_or(due, |at| due.min(at));
        }
        if !self.in_flight {
            due = due.min(self.report_at());
        }
        due
    }

    fn report_at(&self) -> Instant {
        if self.changed {
            let least = self.reported.map(|at| at + REPORT_LEAST);
            // A refusal's pause holds for changes as well.
            least.map_or(self.report_due, |at| at.min(self.report_due))
        } else {
            self.report_due
        }
    }

    /// The next report, if one is due and none is on its way.
    pub fn take_report(&mut self, now: Instant) -> Option<Heartbeat> {
        if self.in_flight || now < self.report_at() {
            return None;
        }
        let jitter = self.random.random_range(1.0 - REPORT_JITTER..1.0 + REPORT_JITTER);
        self.report_due = now + Duration::from_secs_f64(self.settings.report_s * jitter);
        self.reported = Some(now);
        self.in_flight = true;
        self.changed = false;
        Some(self.report())
    }

    /// The state of the worker, with the next sequence number.
    pub fn report(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(id, task)| TaskStatus {
            task: id.clone(),
            attempt: task.attempt,
            state: task.state,
            exit_cause: task.why.map(str::to_owned),
            saved: None,
        });
        Heartbeat {
            machine: self.facts.id.clone(),
            address: self.facts.address.to_string(),
            machine_type: self.settings.flavor.clone(),
            zone: self.facts.zone.clone(),
            spot: self.facts.spot,
            agent_epoch: self.agent_epoch,
            seq: self.sequence,
            token: self.token,
            notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// The answer 200 to a report of that session, sent at `sent`.
    pub fn on_answer(
        &mut self,
        (sent, agent_epoch): (Instant, u64),
        orders: &CommandBatch,
        book: &JobCatalog,
        now: Instant,
    ) -> HeartbeatOutcome {
        self.in_flight = false;
        if agent_epoch != self.agent_epoch || orders.token < self.token {
            return HeartbeatOutcome::Dropped;
        }
        self.see(orders.token, now);
        self.renewed = self.renewed.max(sent);
        self.execute(&orders.commands, book, now);
        HeartbeatOutcome::Accepted
    }

    /// The report was refused or not answered: the next one goes elsewhere after this pause.
    pub fn on_refusal(&mut self, pause: Duration, now: Instant) {
        self.in_flight = false;
        self.changed = false;
        self.report_due = now + pause;
    }

    /// A random part of the pause within which a redirected worker reports elsewhere.
    pub fn redirect_pause(&mut self) -> Duration {
        REDIRECT_MOST.mul_f64(self.random.random())
    }

    /// A direct command; false: refused, since the token is lower or the session another.
    pub fn on_command(&mut self, orders: &CommandBatch, book: &JobCatalog, now: Instant) -> bool {
        if orders.token < self.token || orders.agent_epoch != Some(self.agent_epoch) {
            return false;
        }
        self.see(orders.token, now);
        self.execute(&orders.commands, book, now);
        true
    }

    fn see(&mut self, token: FencingToken, now: Instant) {
        if token <= self.token {
            return;
        }
        self.token = token;
        self.events.push(Happening::FencingToken(token));
        let half = self.lease() / 2;
        if self.token_told.is_none_or(|at| now > at + half) {
            self.token_told = Some(now);
            self.changed = true;
        }
    }

    fn execute(&mut self, orders: &[WorkerCommand], book: &JobCatalog, now: Instant) {
        for order in orders {
            match order {
                WorkerCommand::Start { task, attempt } => self.start(task, *attempt, book, now),
                WorkerCommand::Stop { task, attempt, .. } => self.stop(task, *attempt),
                WorkerCommand::Forget { task, attempt } => self.forget(task, *attempt),
            }
        }
        self.advance(now);
    }

    fn start(&mut self, id: &TaskId, attempt: Attempt, book: &JobCatalog, now: Instant) {
        if let Some(known) = self.tasks.get(id) {
            if known.attempt == attempt {
                return;
            }
            if known.holds_room() {
                // PROTOCOL's `in_use` would need a second entry of the task; it is left out of the reports.
                return;
            }
        }
        self.changed = true;
        let Some(job) = book.get(&id.job).filter(|job| u64::from(id.index) < job.tasks) else {
            self.tasks.insert(id.clone(), Task::refused(attempt, "no_such"));
            return;
        };
        let used = self.tasks.values().filter(|task| task.holds_room());
        let (cpus, ram) = used.fold((0.0, 0.0), |sum, t| (sum.0 + t.cpus, sum.1 + t.ram_gb));
        if cpus + job.cpus > self.settings.cpus + 1e-6
            || ram + job.ram_gb > self.settings.ram_gb + 1e-6
        {
            self.tasks.insert(id.clone(), Task::refused(attempt, "no_room"));
            return;
        }
        self.starts += 1;
        self.fetch(&job.image, job.image_gb, now);
        let spread = self.random.random_range(0.5..1.5);
        let run = (!job.service).then(|| Duration::from_secs_f64(job.run_s * spread));
        let task = Task {
            attempt,
            state: TaskState::Fetching,
            why: None,
            cpus: job.cpus,
            ram_gb: job.ram_gb,
            image: job.image.clone(),
            ends_at: None,
            run,
        };
        self.tasks.insert(id.clone(), task);
    }

    /// Fetches an image unless it is there; the least recently used ones make room for it.
    fn fetch(&mut self, name: &str, gb: f64, now: Instant) {
        self.uses += 1;
        let uses = self.uses;
        if let Some(image) = self.images.get_mut(name) {
            image.used = uses;
            return;
        }
        while self.images.values().map(|image| image.gb).sum::<f64>() + gb > self.settings.cache_gb
        {
            let oldest = self.images.iter().min_by_key(|(_, image)| image.used);
            let Some(oldest) = oldest.map(|(name, _)| name.clone()) else { break };
            self.images.remove(&oldest);
        }
        // Fetches share the rate: one begins where the one before ends.
        let busy = self.images.values().map(|image| image.ready_at).max().unwrap_or(now).max(now);
        let ready_at = busy + Duration::from_secs_f64(gb / self.settings.fetch_gb_per_s);
        self.images.insert(name.to_owned(), Image { gb, ready_at, used: uses });
    }

    fn stop(&mut self, id: &TaskId, attempt: Attempt) {
        let Some(task) = self.tasks.get_mut(id).filter(|task| task.attempt == attempt) else {
            return;
        };
        if task.state == TaskState::Exited {
            return;
        }
        if task.state == TaskState::Running {
            self.events.push(Happening::Ended(id.clone(), attempt, false));
        }
        (task.state, task.why) = (TaskState::Exited, Some("halted"));
        self.changed = true;
    }

    fn forget(&mut self, id: &TaskId, attempt: Attempt) {
        let known = self.tasks.get(id);
        if known.is_some_and(|task| task.attempt == attempt && task.state == TaskState::Exited) {
            self.tasks.remove(id);
        }
    }
}

#[cfg(test)]
#[path = "worker_tests.rs"]
mod tests;
