//! Users behind a load balancer: they submit the jobs of a scenario, poll them, and cancel some.

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

/// Count. Idle connections of all users together.
const IDLE_CONNECTIONS: usize = 400;
/// How often the arrivals of a class are looked at.
const ARRIVALS_EVERY: Duration = Duration::from_millis(50);
/// Count. First job number, so that all names are of one length.
const FIRST_JOB: u64 = 100_000;

/// What a user's request came to.
#[derive(Debug, Clone, Copy)]
pub enum UserNote {
    /// A submission was accepted so long after its first attempt.
    Accepted(Duration),
    /// It was never accepted.
    GivenUp,
    /// Any answer, by its status; 0: none came.
    Answer(u16),
    Done,
    Cancelled,
}

/// What users told of their requests since the start.
#[derive(Debug, Clone)]
pub struct UserCounters {
    pub accepted: u64,
    pub given_up: u64,
    pub answers: u64,
    pub refused: u64,
    pub unanswered: u64,
    pub done: u64,
    pub cancelled: u64,
    pub submission_ms: Histogram<u64>,
}

impl UserCounters {
    /// None so far.
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

    /// Takes one note in.
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

/// What each user needs.
#[derive(Clone)]
struct Reach {
    client: Client,
    healthy: watch::Receiver<Vec<SocketAddr>>,
    judge: mpsc::UnboundedSender<JudgeEvent>,
    notes: mpsc::UnboundedSender<UserNote>,
}

impl Reach {
    /// Sends a request to a healthy controller; None: no answer.
    async fn ask(&self, request: Request, salt: u64, within: Duration) -> Option<Response> {
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

    fn tell(&self, job: &JobId, told: Told) {
        let _ = self.judge.send(JudgeEvent::Told(job.clone(), told, now_us()));
    }
}

/// Probes all controllers and shows which are healthy.
pub async fn balance(controllers: Vec<SocketAddr>, shown: watch::Sender<Vec<SocketAddr>>) {
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
            shown.send_replace(healthy);
        }
        tokio::time::sleep(PROBE_EVERY).await;
    }
}

/// Everything that users are started with.
pub struct Setup {
    pub scenario: Arc<Scenario>,
    pub healthy: watch::Receiver<Vec<SocketAddr>>,
    pub processes: Vec<mpsc::UnboundedSender<ToWorkers>>,
    pub judge: mpsc::UnboundedSender<JudgeEvent>,
    pub notes: mpsc::UnboundedSender<UserNote>,
    /// When the peak begins.
    pub peak_at: Instant,
}

/// Submits jobs class by class until its task is ended.
pub async fn submit_all(setup: Setup) {
    let client = Client::start(IDLE_CONNECTIONS, Vec::new());
    let Setup { scenario, healthy, processes, judge, notes, peak_at } = setup;
    let reach = Reach { client, healthy, judge, notes };
    let mut random = StdRng::seed_from_u64(scenario.seed);
    let mut number = FIRST_JOB;
    let mut owed: Vec<f64> = scenario.classes.iter().map(|c| f64::from(c.initial)).collect();
    let mut last = Instant::now();
    loop {
        let now = Instant::now();
        let passed = now.saturating_duration_since(last).as_secs_f64();
        last = now;
        for (index, class) in scenario.classes.iter().enumerate() {
            let factor = if now >= peak_at { class.peak } else { 1.0 };
            owed[index] += class.per_s * factor * passed;
            while owed[index] >= 1.0 {
                owed[index] -= 1.0;
                number += 1;
                let user = User::new(&scenario, index, number, &mut random);
                for process in &processes {
                    let _ = process.send(ToWorkers::Job(user.facts(class)));
                }
                let _ = reach.judge.send(JudgeEvent::Submitted(user.rules(class, index)));
                tokio::spawn(user.run(reach.clone()));
            }
        }
        tokio::time::sleep(ARRIVALS_EVERY).await;
    }
}

/// One job and its user.
struct User {
    spec: JobSpec,
    team: usize,
    submitted_us: u64,
    cancel_after: Option<Duration>,
    random: StdRng,
}

fn urgency(priority: ScenarioPriority) -> Priority {
    match priority {
        ScenarioPriority::Production => Priority::Production,
        ScenarioPriority::High => Priority::High,
        ScenarioPriority::Normal => Priority::Normal,
        ScenarioPriority::Low => Priority::Low,
    }
}

/// Name of a team by its number.
pub fn team_name(number: usize) -> String {
    format!("team-{number:02}")
}

impl User {
    fn new(scenario: &Scenario, index: usize, number: u64, random: &mut StdRng) -> User {
        let class = &scenario.classes[index];
        let team = number as usize % scenario.teams.count as usize;
        let image = random.random_range(0..class.images);
        let cancels = random.random_bool(class.cancelled);
        let life = Duration::from_secs_f64(class.run_s.max(5.0) * random.random_range(0.1..1.0));
        let service = class.kind == Kind::Service;
        let spec = JobSpec {
            id: JobId::new(&format!("wk-{number:06}")),
            class: class.name.clone(),
            team: team_name(team),
            kind: if service { JobKind::Service } else { JobKind::Array },
            priority: urgency(class.priority),
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
        let cancel_after = cancels.then_some(life);
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

    async fn run(mut self, reach: Reach) {
        if !self.submit(&reach).await {
            let _ = reach.notes.send(UserNote::GivenUp);
            return;
        }
        let accepted = Instant::now();
        loop {
            let jitter = self.random.random_range(0.8..1.2);
            tokio::time::sleep(POLL_EVERY.mul_f64(jitter)).await;
            let over = match self.cancel_after {
                Some(after) if accepted.elapsed() >= after => self.cancel(&reach).await,
                _ => self.poll(&reach).await,
            };
            if over {
                return;
            }
        }
    }

    async fn submit(&mut self, reach: &Reach) -> bool {
        let began = Instant::now();
        while began.elapsed() < SUBMIT_FOR {
            let body = wire::encode(&self.spec);
            let request = Request { method: Method::Post, target: "/api/jobs".into(), body };
            let salt = self.random.random();
            let response = reach.ask(request, salt, SUBMIT_TIMEOUT).await;
            match response.as_ref().map(|response| response.status) {
                Some(200 | 201) => {
                    let _ = reach.notes.send(UserNote::Accepted(began.elapsed()));
                    reach.tell(&self.spec.id, Told::Accepted);
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

    /// Asks for the state of the job; whether it is over.
    async fn poll(&mut self, reach: &Reach) -> bool {
        let target = format!("/api/jobs/{}", self.spec.id);
        let request = Request { method: Method::Get, target, body: Vec::new() };
        let salt = self.random.random();
        let Some(response) = reach.ask(request, salt, POLL_TIMEOUT).await else { return false };
        self.on_view(&response, reach)
    }

    async fn cancel(&mut self, reach: &Reach) -> bool {
        let target = format!("/api/jobs/{}/abort", self.spec.id);
        let request = Request { method: Method::Post, target, body: Vec::new() };
        let salt = self.random.random();
        let Some(response) = reach.ask(request, salt, SUBMIT_TIMEOUT).await else { return false };
        self.on_view(&response, reach)
    }

    fn on_view(&mut self, response: &Response, reach: &Reach) -> bool {
        if response.status == 404 {
            reach.tell(&self.spec.id, Told::Unknown);
            return false;
        }
        let view = (response.status == 200).then(|| wire::decode::<JobView>(&response.body).ok());
        let Some(view) = view.flatten() else { return false };
        match view.status {
            JobStatus::Done => {
                reach.tell(&self.spec.id, Told::Done);
                let _ = reach.notes.send(UserNote::Done);
                true
            }
            JobStatus::Cancelled => {
                reach.tell(&self.spec.id, Told::Cancelled);
                let _ = reach.notes.send(UserNote::Cancelled);
                true
            }
            JobStatus::Queued | JobStatus::Running => {
                reach.tell(&self.spec.id, Told::Accepted);
                false
            }
        }
    }
}
