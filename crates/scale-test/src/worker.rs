//! State machine of one emulated worker: agent epoch, lease, fencing token, image cache, tasks and heartbeats.
//!
//! It has no clock and no I/O: callers pass the time in, and [`crate::worker_process`] sends its heartbeats and
//! forwards its events to the judge.

use crate::constants::*;
use crate::link::{Happening, JobFacts, MachineFacts, WorkerSettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;
use troutspindle_protocol::ids::{Attempt, FencingToken, JobId, TaskId};
use troutspindle_protocol::wire::{CommandBatch, Heartbeat, TaskState, TaskStatus, WorkerCommand};

/// Jobs that a worker process can run, by id.
pub type JobCatalog = HashMap<JobId, JobFacts>;

struct Task {
    attempt: Attempt,
    state: TaskState,
    exit_cause: Option<&'static str>,
    cpus: f64,
    ram_gb: f64,
    image: String,
    /// Time at which the task completes; None for services and for tasks that don't run yet.
    ends_at: Option<Instant>,
    /// Run time of the attempt; None for services.
    run: Option<Duration>,
    /// The attempt fails at the end of its run time.
    fails: bool,
}

impl Task {
    fn rejected(attempt: Attempt, exit_cause: &'static str) -> Task {
        let state = TaskState::Exited;
        let image = String::new();
        Task {
            attempt,
            state,
            exit_cause: Some(exit_cause),
            cpus: 0.0,
            ram_gb: 0.0,
            image,
            ends_at: None,
            run: None,
            fails: false,
        }
    }

    /// Returns whether the task occupies part of the machine's capacity.
    fn occupies_capacity(&self) -> bool {
        self.state != TaskState::Exited
    }
}

/// An image in the machine's cache, fetched or still being fetched.
struct Image {
    gb: f64,
    ready_at: Instant,
    /// Value of [`Worker::uses`] at the last use, for eviction of the least recently used image.
    used: u64,
}

/// Result of a heartbeat that was answered with status 200.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The worker renewed its lease, executed the commands and stays with this controller.
    Accepted,
    /// The answer was ignored: it belongs to an earlier agent epoch or carries a lower fencing token.
    Dropped,
}

/// An emulated worker with its tasks and its image cache.
pub struct Worker {
    facts: MachineFacts,
    settings: WorkerSettings,
    random: StdRng,
    agent_epoch: u64,
    sequence: u64,
    token: FencingToken,
    /// Start of the lease: sending time of the last answered heartbeat, or start of the agent epoch.
    lease_start: Instant,
    /// Last time at which a new fencing token triggered an early heartbeat; this happens at most once per half lease.
    token_reported_at: Option<Instant>,
    /// The state changed since the last heartbeat, so the next one is sent early.
    changed: bool,
    heartbeat_due: Instant,
    last_heartbeat: Option<Instant>,
    in_flight: bool,
    tasks: BTreeMap<TaskId, Task>,
    /// Tasks that completed here. Their results are kept, so that a repeated start ends at once.
    completed: HashSet<TaskId>,
    images: HashMap<String, Image>,
    /// Number of image uses so far.
    uses: u64,
    /// Tasks started since the counter was last collected.
    pub starts: u64,
    /// Leases that expired since the counter was last collected.
    pub leases_lost: u64,
    /// Events for the judge that have not been collected yet.
    pub events: Vec<Happening>,
}

impl Worker {
    /// Creates a worker whose machine comes up at `now`; `number` varies the random seed.
    pub fn new(facts: MachineFacts, settings: WorkerSettings, number: u64, now: Instant) -> Worker {
        let random = StdRng::seed_from_u64(settings.seed.wrapping_add(number));
        Worker {
            facts,
            settings,
            random,
            agent_epoch: 1,
            sequence: 0,
            token: FencingToken(0),
            lease_start: now,
            token_reported_at: None,
            changed: true,
            heartbeat_due: now,
            last_heartbeat: None,
            in_flight: false,
            tasks: BTreeMap::new(),
            completed: HashSet::new(),
            images: HashMap::new(),
            uses: 0,
            starts: 0,
            leases_lost: 0,
            events: Vec::new(),
        }
    }

    /// Returns the description of the machine.
    pub fn facts(&self) -> &MachineFacts {
        &self.facts
    }

    /// Returns the agent epoch, which rises with each lost lease.
    pub fn agent_epoch(&self) -> u64 {
        self.agent_epoch
    }

    /// Returns the highest fencing token that the worker has seen.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.settings.lease_s)
    }

    /// Begins a new agent epoch if the lease has expired, and advances tasks whose fetch or run time is over.
    pub fn advance(&mut self, now: Instant) {
        if now > self.lease_start + self.lease() {
            self.expire_lease(now);
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
                let exit_cause = if task.fails { "error" } else { "done" };
                (task.state, task.exit_cause) = (TaskState::Exited, Some(exit_cause));
                self.changed = true;
                let is_completed = !task.fails && self.completed.insert(id.clone());
                self.events.push(Happening::Ended(id.clone(), task.attempt, is_completed));
            }
        }
    }

    fn expire_lease(&mut self, now: Instant) {
        self.agent_epoch += 1;
        self.leases_lost += 1;
        self.lease_start = now;
        self.changed = true;
        self.end_all();
    }

    /// Removes all tasks, because the machine was terminated or its lease expired.
    pub fn end_all(&mut self) {
        for (id, task) in std::mem::take(&mut self.tasks) {
            if matches!(task.state, TaskState::Running | TaskState::Saving) {
                self.events.push(Happening::Ended(id, task.attempt, false));
            }
        }
    }

    /// Returns the time of the next heartbeat, end of a fetch or task, or expiry of the lease, whichever is first.
    pub fn next_due(&self) -> Instant {
        let mut due = self.lease_start + self.lease() + Duration::from_millis(1);
        for task in self.tasks.values() {
            let at = match task.state {
                TaskState::Fetching => self.images.get(&task.image).map(|image| image.ready_at),
                TaskState::Running => task.ends_at,
                _ => None,
            };
            due = at.map_or(due, |at| due.min(at));
        }
        if !self.in_flight {
            due = due.min(self.next_heartbeat_at());
        }
        due
    }

    fn next_heartbeat_at(&self) -> Instant {
        if self.changed {
            let earliest = self.last_heartbeat.map(|at| at + REPORT_LEAST);
            // The pause after a rejected heartbeat applies to changes as well.
            earliest.map_or(self.heartbeat_due, |at| at.min(self.heartbeat_due))
        } else {
            self.heartbeat_due
        }
    }

    /// Returns the next heartbeat if one is due and none is in flight.
    pub fn take_heartbeat(&mut self, now: Instant) -> Option<Heartbeat> {
        if self.in_flight || now < self.next_heartbeat_at() {
            return None;
        }
        let jitter = self.random.random_range(1.0 - REPORT_JITTER..1.0 + REPORT_JITTER);
        self.heartbeat_due = now + Duration::from_secs_f64(self.settings.report_s * jitter);
        self.last_heartbeat = Some(now);
        self.in_flight = true;
        self.changed = false;
        Some(self.heartbeat())
    }

    /// Builds a heartbeat from the worker's state and takes the next sequence number for it.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(id, task)| TaskStatus {
            task: id.clone(),
            attempt: task.attempt,
            state: task.state,
            exit_cause: task.exit_cause.map(str::to_owned),
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

    /// Handles the answer with status 200 to a heartbeat that was sent at `sent` in the given agent epoch.
    pub fn on_answer(
        &mut self,
        (sent, agent_epoch): (Instant, u64),
        batch: &CommandBatch,
        catalog: &JobCatalog,
        now: Instant,
    ) -> HeartbeatOutcome {
        self.in_flight = false;
        if agent_epoch != self.agent_epoch || batch.token < self.token {
            return HeartbeatOutcome::Dropped;
        }
        self.observe_token(batch.token, now);
        self.lease_start = self.lease_start.max(sent);
        self.execute(&batch.commands, catalog, now);
        HeartbeatOutcome::Accepted
    }

    /// Handles a rejected, redirected or unanswered heartbeat: the next one is sent after `pause`.
    pub fn on_rejection(&mut self, pause: Duration, now: Instant) {
        self.in_flight = false;
        self.changed = false;
        self.heartbeat_due = now + pause;
    }

    /// Returns a random pause up to [`REDIRECT_MOST`] before the heartbeat to the controller named by a redirect.
    pub fn redirect_pause(&mut self) -> Duration {
        REDIRECT_MOST.mul_f64(self.random.random())
    }

    /// Executes a direct call. Returns false, without effect, if its fencing token is lower than the worker's
    /// or its agent epoch differs.
    pub fn on_command(&mut self, batch: &CommandBatch, catalog: &JobCatalog, now: Instant) -> bool {
        if batch.token < self.token || batch.agent_epoch != Some(self.agent_epoch) {
            return false;
        }
        self.observe_token(batch.token, now);
        self.execute(&batch.commands, catalog, now);
        true
    }

    /// Adopts a higher fencing token.
    fn observe_token(&mut self, token: FencingToken, now: Instant) {
        if token <= self.token {
            return;
        }
        self.token = token;
        let half_lease = self.lease() / 2;
        if self.token_reported_at.is_none_or(|at| now > at + half_lease) {
            self.token_reported_at = Some(now);
            self.changed = true;
        }
    }

    fn execute(&mut self, commands: &[WorkerCommand], catalog: &JobCatalog, now: Instant) {
        for command in commands {
            match command {
                WorkerCommand::Start { task, attempt } => self.start(task, *attempt, catalog, now),
                WorkerCommand::Stop { task, attempt, .. } => self.stop(task, *attempt),
                WorkerCommand::Forget { task, attempt } => self.forget(task, *attempt),
            }
        }
        self.advance(now);
    }

    fn start(&mut self, id: &TaskId, attempt: Attempt, catalog: &JobCatalog, now: Instant) {
        if let Some(current) = self.tasks.get(id) {
            if current.attempt == attempt {
                return;
            }
            if current.occupies_capacity() {
                // PROTOCOL's exit cause `in_use` would need a second entry for this task; heartbeats omit it.
                return;
            }
        }
        self.changed = true;
        let Some(job) = catalog.get(&id.job).filter(|job| u64::from(id.index) < job.tasks) else {
            self.tasks.insert(id.clone(), Task::rejected(attempt, "no_such"));
            return;
        };
        let used = self.tasks.values().filter(|task| task.occupies_capacity());
        let (cpus, ram) = used.fold((0.0, 0.0), |sum, t| (sum.0 + t.cpus, sum.1 + t.ram_gb));
        if cpus + job.cpus > self.settings.cpus + 1e-6
            || ram + job.ram_gb > self.settings.ram_gb + 1e-6
        {
            self.tasks.insert(id.clone(), Task::rejected(attempt, "no_room"));
            return;
        }
        self.starts += 1;
        self.fetch(&job.image, job.image_gb, now);
        let run_factor = self.random.random_range(0.5..1.5);
        let is_completed = self.completed.contains(id);
        let fails = !is_completed && job.failing > 0.0 && self.random.random_bool(job.failing);
        let run = if fails {
            Some(FAILS_AFTER)
        } else if is_completed {
            Some(Duration::ZERO)
        } else {
            (!job.service).then(|| Duration::from_secs_f64(job.run_s * run_factor))
        };
        let task = Task {
            attempt,
            state: TaskState::Fetching,
            exit_cause: None,
            cpus: job.cpus,
            ram_gb: job.ram_gb,
            image: job.image.clone(),
            ends_at: None,
            run,
            fails,
        };
        self.tasks.insert(id.clone(), task);
    }

    /// Starts to fetch an image unless it is cached, and evicts the least recently used images to make space.
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
        // Fetches run one after the other, since they share the machine's fetch rate.
        let fetches_end =
            self.images.values().map(|image| image.ready_at).max().unwrap_or(now).max(now);
        let ready_at = fetches_end + Duration::from_secs_f64(gb / self.settings.fetch_gb_per_s);
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
        (task.state, task.exit_cause) = (TaskState::Exited, Some("halted"));
        self.changed = true;
    }

    fn forget(&mut self, id: &TaskId, attempt: Attempt) {
        let current = self.tasks.get(id);
        if current.is_some_and(|task| task.attempt == attempt && task.state == TaskState::Exited) {
            self.tasks.remove(id);
        }
    }
}

#[cfg(test)]
#[path = "worker_tests.rs"]
mod tests;
