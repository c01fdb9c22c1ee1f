//! Emulated users behind a load balancer: they submit the jobs of a scenario, poll their status and cancel some.

use crate::constants::*;
use crate::judge::{JobRules, JudgeEvent, Told};
use crate::link::{JobFacts, ToWorkers, now_us};
use crate::scenario::{Class, Kind, Priority as ScenarioPriority, Scenario};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use troutspindle_protocol::http::{Client, Method, Request, Response};
use troutspindle_protocol::ids::JobId;
use troutspindle_protocol::wire::{self, JobKind, JobSpec, JobStatus, JobView, Priority};

/// Maximum number of idle connections of all users together.
const IDLE_CONNECTIONS: usize = 400;
/// Interval between two checks for new arrivals of each class.
const ARRIVALS_EVERY: Duration = Duration::from_millis(50);
/// Number before that of the first job, large enough that all job ids have the same length.
const FIRST_JOB: u64 = 100_000;

/// Outcome of a user's request or job.
#[derive(Debug, Clone, Copy)]
pub enum UserNote {
    /// A submission was accepted, this long after its first attempt.
    Accepted(Duration),
    /// A submission was rejected for good or not accepted in time.
    GivenUp,
    /// Status of the answer to any request; 0 if there was no answer.
    Answer(u16),
    /// The user saw the job completed.
    Done,
    /// The user saw the job cancelled.
    Cancelled,
}

/// Totals of all users' notes since the start.
#[derive(Debug, Clone)]
pub struct UserCounters {
    /// Number of submissions accepted.
    pub accepted: u64,
    /// Number of submissions given up.
    pub given_up: u64,
    /// Number of requests that were answered.
    pub answers: u64,
    /// Number of answers with a status other than 200, 201 and 404.
    pub refused: u64,
    /// Number of requests without an answer.
    pub unanswered: u64,
    /// Number of jobs that users saw completed.
    pub done: u64,
    /// Number of jobs that users saw cancelled.
    pub cancelled: u64,
    /// Time from the first attempt to acceptance of a submission, in milliseconds.
    pub submission_ms: Histogram<u64>,
}

impl UserCounters {
    /// Creates counters that are all zero.
    pub fn new() -> UserCounters {
        UserCounters {
            accepted: 0,
            given_up: 0,
            answers: 0,
            refused: 0,
            unanswered: 0,
            done: 0,
            cancelled: 0,
            submission_ms: Histogram::new(3).unwrap_or_else(|_| unreachable!()),
        }
    }

    /// Adds one note to the totals.
    pub fn take(&mut self, note: UserNote) {
        match note {
            UserNote::Accepted(after) => {
                self.accepted += 1;
                let _ = self.submission_ms.record(after.as_millis() as u64);
            }
            UserNote::GivenUp => self.given_up += 1,
            UserNote::Answer(0) => self.unanswered += 1,
            UserNote::Answer(status) => {
                self.answers += 1;
                self.refused += u64::from(!matches!(status, 200 | 201 | 404));
            }
            UserNote::Done => self.done += 1,
            UserNote::Cancelled => self.cancelled += 1,
        }
    }
}

impl Default for UserCounters {
    fn default() -> Self {
        UserCounters::new()
    }
}

/// Connections and channels that all users share.
#[derive(Clone)]
struct UserContext {
    client: Client,
    healthy: watch::Receiver<Vec<SocketAddr>>,
    judge: mpsc::UnboundedSender<JudgeEvent>,
    notes: mpsc::UnboundedSender<UserNote>,
}

impl UserContext {
    /// Sends a request to a healthy controller chosen by `salt`. Returns None if there is no answer in time.
    async fn send(&self, request: Request, salt: u64, within: Duration) -> Option<Response> {
        let address = {
            let healthy = self.healthy.borrow();
            let index = salt as usize % healthy.len().max(1);
            healthy.get(index).copied()
        };
        let result = match address {
            Some(address) => self.client.call(address, request, Instant::now() + within).await.ok(),
            None => None,
        };
        let status = result.as_ref().map_or(0, |response| response.status);
        let _ = self.notes.send(UserNote::Answer(status));
        result
    }

    /// Notifies the judge of the status that a controller answered for a job.
    fn notify_judge(&self, job: &JobId, status: Told) {
        let _ = self.judge.send(JudgeEvent::Told(job.clone(), status, now_us()));
    }
}

/// Probes all controllers and publishes the healthy ones; keeps the last list while none is healthy.
pub async fn balance(controllers: Vec<SocketAddr>, published: watch::Sender<Vec<SocketAddr>>) {
    let client = Client::start(controllers.len(), Vec::new());
    loop {
        let probes = controllers.iter().map(|address| {
            let (client, address) = (client.clone(), *address);
            tokio::spawn(async move {
                let request = Request { method: Method::Get, target: "/up".into(), body: vec![] };
                let until = Instant::now() + PROBE_EVERY;
                let result = client.call(address, request, until).await;
                matches!(result, Ok(response) if response.status == 200).then_some(address)
            })
        });
        let mut healthy = Vec::new();
        for probe in probes.collect::<Vec<_>>() {
            healthy.extend(probe.await.ok().flatten());
        }
        if !healthy.is_empty() {
            published.send_replace(healthy);
        }
        tokio::time::sleep(PROBE_EVERY).await;
    }
}

/// Configuration of the users.
pub struct Setup {
    /// Scenario that defines the job classes and teams.
    pub scenario: Arc<Scenario>,
    /// Addresses of the healthy controllers.
    pub healthy: watch::Receiver<Vec<SocketAddr>>,
    /// Senders to the worker processes, which must know every job.
    pub processes: Vec<mpsc::UnboundedSender<ToWorkers>>,
    /// Sender of events to the judge.
    pub judge: mpsc::UnboundedSender<JudgeEvent>,
    /// Sender of the outcomes of requests.
    pub notes: mpsc::UnboundedSender<UserNote>,
    /// Start of the peak, from which arrival rates are multiplied by the class's peak factor.
    pub peak_at: Instant,
}

/// Submits jobs class by class until its task is aborted.
pub async fn submit_all(setup: Setup) {
    let client = Client::start(IDLE_CONNECTIONS, Vec::new());
    let Setup { scenario, healthy, processes, judge, notes, peak_at } = setup;
    let context = UserContext { client, healthy, judge, notes };
    let mut random = StdRng::seed_from_u64(scenario.seed);
    let mut number = FIRST_JOB;
    let mut due_jobs: Vec<f64> = scenario.classes.iter().map(|c| f64::from(c.initial)).collect();
    let mut last = Instant::now();
    loop {
        let now = Instant::now();
        let elapsed_s = now.saturating_duration_since(last).as_secs_f64();
        last = now;
        for (index, class) in scenario.classes.iter().enumerate() {
            let factor = if now >= peak_at { class.peak } else { 1.0 };
            due_jobs[index] += class.per_s * factor * elapsed_s;
            while due_jobs[index] >= 1.0 {
                due_jobs[index] -= 1.0;
                number += 1;
                let user = User::new(&scenario, index, number, &mut random);
                for process in &processes {
                    let _ = process.send(ToWorkers::Job(user.facts(class)));
                }
                let _ = context.judge.send(JudgeEvent::Submitted(user.rules(class, index)));
                tokio::spawn(user.run(context.clone()));
            }
        }
        tokio::time::sleep(ARRIVALS_EVERY).await;
    }
}

/// One job and the user who submits it.
struct User {
    spec: JobSpec,
    team: usize,
    submitted_us: u64,
    cancel_after: Option<Duration>,
    random: StdRng,
}

fn wire_priority(priority: ScenarioPriority) -> Priority {
    match priority {
        ScenarioPriority::Production => Priority::Production,
        ScenarioPriority::High => Priority::High,
        ScenarioPriority::Normal => Priority::Normal,
        ScenarioPriority::Low => Priority::Low,
    }
}

/// Returns the name of the team with this number.
pub fn team_name(number: usize) -> String {
    format!("team-{number:02}")
}

impl User {
    fn new(scenario: &Scenario, index: usize, number: u64, random: &mut StdRng) -> User {
        let class = &scenario.classes[index];
        let team = number as usize % scenario.teams.count as usize;
        let image = random.random_range(0..class.images);
        let is_cancelled = random.random_bool(class.cancelled);
        let cancel_delay =
            Duration::from_secs_f64(class.run_s.max(5.0) * random.random_range(0.1..1.0));
        let service = class.kind == Kind::Service;
        let spec = JobSpec {
            id: JobId::new(&format!("wk-{number:06}")),
            class: class.name.clone(),
            team: team_name(team),
            kind: if service { JobKind::Service } else { JobKind::Array },
            priority: wire_priority(class.priority),
            tasks: u64::from(class.tasks),
            cpus: class.cpus,
            gpus: 0.0,
            ram_gb: class.ram_gb,
            image: format!("{}-{image}", class.name),
            image_gb: class.image_gb,
            machine_types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: !service,
            expect_s: class.run_s,
            checkpoint_s: 0.0,
            save_s: 0.0,
            due_s: None,
            depends_on: None,
        };
        let random = StdRng::seed_from_u64(scenario.seed ^ number);
        let cancel_after = is_cancelled.then_some(cancel_delay);
        User { spec, team, submitted_us: now_us(), cancel_after, random }
    }

    fn facts(&self, class: &Class) -> JobFacts {
        JobFacts {
            id: self.spec.id.clone(),
            tasks: self.spec.tasks,
            cpus: self.spec.cpus,
            ram_gb: self.spec.ram_gb,
            image: self.spec.image.clone(),
            image_gb: self.spec.image_gb,
            service: class.kind == Kind::Service,
            run_s: class.run_s,
            failing: class.failing,
        }
    }

    fn rules(&self, class: &Class, index: usize) -> JobRules {
        JobRules {
            id: self.spec.id.clone(),
            class: index,
            team: self.team,
            tasks: self.spec.tasks,
            cpus: self.spec.cpus,
            service: class.kind == Kind::Service,
            spot: self.spec.spot,
            submitted_us: self.submitted_us,
        }
    }

    async fn run(mut self, context: UserContext) {
        if !self.submit(&context).await {
            let _ = context.notes.send(UserNote::GivenUp);
            return;
        }
        let accepted = Instant::now();
        loop {
            let jitter = self.random.random_range(0.8..1.2);
            tokio::time::sleep(POLL_EVERY.mul_f64(jitter)).await;
            let is_finished = match self.cancel_after {
                Some(after) if accepted.elapsed() >= after => self.cancel(&context).await,
                _ => self.poll(&context).await,
            };
            if is_finished {
                return;
            }
        }
    }

    /// Submits the job until it is accepted, rejected for good, or [`SUBMIT_FOR`] has passed. Returns whether it was
    /// accepted.
    async fn submit(&mut self, context: &UserContext) -> bool {
        let started = Instant::now();
        while started.elapsed() < SUBMIT_FOR {
            let body = wire::encode(&self.spec);
            let request = Request { method: Method::Post, target: "/api/jobs".into(), body };
            let salt = self.random.random();
            let response = context.send(request, salt, SUBMIT_TIMEOUT).await;
            match response.as_ref().map(|response| response.status) {
                Some(200 | 201) => {
                    let _ = context.notes.send(UserNote::Accepted(started.elapsed()));
                    context.notify_judge(&self.spec.id, Told::Accepted);
                    return true;
                }
                Some(400 | 422) => return false,
                _ => {}
            }
            let pause = response.and_then(|response| response.retry_after_s);
            let pause = pause.map_or(USER_RETRY, Duration::from_secs).max(USER_RETRY);
            tokio::time::sleep(pause).await;
        }
        false
    }

    /// Polls the status of the job. Returns true if the job has finished.
    async fn poll(&mut self, context: &UserContext) -> bool {
        let target = format!("/api/jobs/{}", self.spec.id);
        let request = Request { method: Method::Get, target, body: Vec::new() };
        let salt = self.random.random();
        let Some(response) = context.send(request, salt, POLL_TIMEOUT).await else { return false };
        self.on_view(&response, context)
    }

    /// Cancels the job. Returns true if the job has finished.
    async fn cancel(&mut self, context: &UserContext) -> bool {
        let target = format!("/api/jobs/{}/abort", self.spec.id);
        let request = Request { method: Method::Post, target, body: Vec::new() };
        let salt = self.random.random();
        let Some(response) = context.send(request, salt, SUBMIT_TIMEOUT).await else {
            return false;
        };
        self.on_view(&response, context)
    }

    /// Handles the answer with the job's status. Returns true if the job has finished.
    fn on_view(&mut self, response: &Response, context: &UserContext) -> bool {
        if response.status == 404 {
            context.notify_judge(&self.spec.id, Told::Unknown);
            return false;
        }
        let view = (response.status == 200).then(|| wire::decode::<JobView>(&response.body).ok());
        let Some(view) = view.flatten() else { return false };
        match view.status {
            JobStatus::Done => {
                context.notify_judge(&self.spec.id, Told::Done);
                let _ = context.notes.send(UserNote::Done);
                true
            }
            JobStatus::Cancelled => {
                context.notify_judge(&self.spec.id, Told::Cancelled);
                let _ = context.notes.send(UserNote::Cancelled);
                true
            }
            JobStatus::Queued | JobStatus::Running => {
                context.notify_judge(&self.spec.id, Told::Accepted);
                false
            }
        }
    }
}
