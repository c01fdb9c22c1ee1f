//! A process of emulated workers: one actor owns the state of all of them, and connections are separate tasks.

use crate::constants::*;
use crate::link::{
    FromWorkers, MachineFacts, ToWorkers, WorkerCounters, WorkerEvent, WorkerSettings, now_us,
    read_frame, write_frame,
};
use crate::worker::{HeartbeatOutcome, JobCatalog, Worker};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use troutspindle_protocol::http::{self, CallError, Incoming, Method, Request, Response};
use troutspindle_protocol::ids::MachineId;
use troutspindle_protocol::wire::{self, CommandBatch, Heartbeat, NotLeader};

/// Pause between two event frames to the run.
const EVENTS_EVERY: Duration = Duration::from_millis(100);
/// Pause between two counter frames to the run.
const COUNTERS_EVERY: Duration = Duration::from_millis(500);
/// Maximum number of connections to one worker.
const CONNECTIONS: usize = 64;
/// Maximum number of requests read ahead on the connections to one worker.
const READ_AHEAD: usize = 16;

type HeartbeatResult = Result<(Response, Option<TcpStream>), CallError>;

enum Event {
    Run(ToWorkers),
    /// Result of a heartbeat: index of the worker, sending time and agent epoch of the heartbeat, answer.
    Answer(usize, (Instant, u64), HeartbeatResult),
    /// A request to the worker with this index.
    Command(usize, Incoming),
    /// A copy of direct commands that the worker with this index executed and answered.
    RepeatedCommand(usize, CommandBatch),
}

/// A worker with its listener and its connection to a controller.
struct HostedWorker {
    worker: Worker,
    deleted: bool,
    /// Index of the controller that receives the heartbeats, and the idle connection to it.
    target: usize,
    connection: Option<TcpStream>,
    /// Time of the next wake-up; entries of the queue with another time are out of date.
    wake_at: Option<Instant>,
    listener_tasks: Vec<JoinHandle<()>>,
}

/// The actor that owns all workers of the process.
struct Host {
    settings: WorkerSettings,
    random: StdRng,
    catalog: JobCatalog,
    workers: Vec<HostedWorker>,
    by_id: HashMap<MachineId, usize>,
    due: BinaryHeap<Reverse<(Instant, usize)>>,
    events: Vec<WorkerEvent>,
    counters: WorkerCounters,
    to: mpsc::UnboundedSender<Event>,
    out: mpsc::UnboundedSender<FromWorkers>,
}

/// Runs workers until standard input ends; the run starts, configures and deletes them through it.
pub async fn serve() -> std::io::Result<()> {
    let mut input = tokio::io::stdin();
    let ToWorkers::Settings(settings) = read_frame(&mut input).await? else {
        return Err(std::io::Error::other("the first message must be the settings"));
    };
    let (to, mut events) = mpsc::unbounded_channel();
    let (out, mut frames) = mpsc::unbounded_channel::<FromWorkers>();
    let input_to = to.clone();
    let reader = tokio::spawn(async move {
        while let Ok(message) = read_frame(&mut input).await {
            let _ = input_to.send(Event::Run(message));
        }
    });
    tokio::spawn(async move {
        let mut output = tokio::io::stdout();
        while let Some(frame) = frames.recv().await {
            if write_frame(&mut output, &frame).await.is_err() {
                return;
            }
            let _ = tokio::io::AsyncWriteExt::flush(&mut output).await;
        }
    });
    let mut host = Host {
        random: StdRng::seed_from_u64(settings.seed),
        settings,
        catalog: JobCatalog::new(),
        workers: Vec::new(),
        by_id: HashMap::new(),
        due: BinaryHeap::new(),
        events: Vec::new(),
        counters: WorkerCounters::default(),
        to,
        out,
    };
    let mut events_at = Instant::now();
    let mut counters_at = events_at;
    loop {
        if reader.is_finished() {
            return Ok(());
        }
        let wake = host.due.peek().map_or(events_at, |Reverse((at, _))| (*at).min(events_at));
        tokio::select! {
            Some(event) = events.recv() => host.handle(event).await,
            _ = tokio::time::sleep_until(wake) => {}
        }
        let now = Instant::now();
        host.wake(now);
        if now >= events_at {
            events_at = now + EVENTS_EVERY;
            host.send_events();
        }
        if now >= counters_at {
            counters_at = now + COUNTERS_EVERY;
            host.send_counters();
        }
    }
}

impl Host {
    async fn handle(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Run(ToWorkers::Settings(settings)) => self.settings = settings,
            Event::Run(ToWorkers::Job(job)) => drop(self.catalog.insert(job.id.clone(), job)),
            Event::Run(ToWorkers::Boot(facts)) => self.boot(facts, now).await,
            Event::Run(ToWorkers::Delete(id)) => self.delete(&id),
            Event::Answer(index, sent, result) => self.on_answer(index, sent, result, now),
            Event::Command(index, incoming) => self.on_command(index, incoming, now),
            Event::RepeatedCommand(index, batch) => self.on_repeated_command(index, &batch, now),
        }
    }

    async fn boot(&mut self, facts: MachineFacts, now: Instant) {
        let listener = match TcpListener::bind(facts.address).await {
            Ok(listener) => listener,
            Err(error) => {
                let text = format!("{}: {error}", facts.address);
                let _ = self.out.send(FromWorkers::Failed(text));
                return;
            }
        };
        let index = self.workers.len();
        let (requests, mut incoming) = mpsc::channel::<Incoming>(CONNECTIONS);
        let (count, _) = watch::channel(0usize);
        let serving = tokio::spawn(http::serve(listener, CONNECTIONS, READ_AHEAD, requests, count));
        let to = self.to.clone();
        let forwarding = tokio::spawn(async move {
            while let Some(request) = incoming.recv().await {
                let _ = to.send(Event::Command(index, request));
            }
        });
        let target = index % self.settings.controllers.len().max(1);
        let number = self.settings.seed.wrapping_mul(31).wrapping_add(index as u64);
        self.by_id.insert(facts.id.clone(), index);
        let worker = Worker::new(facts, self.settings.clone(), number, now);
        let listener_tasks = vec![serving, forwarding];
        self.workers.push(HostedWorker {
            worker,
            deleted: false,
            target,
            connection: None,
            wake_at: None,
            listener_tasks,
        });
        self.counters.workers += 1;
        self.schedule_wake(index, now);
    }

    fn delete(&mut self, id: &MachineId) {
        if let Some(hosted) = self.by_id.get(id).and_then(|index| self.workers.get_mut(*index))
            && !hosted.deleted
        {
            hosted.deleted = true;
            hosted.connection = None;
            hosted.listener_tasks.drain(..).for_each(|task| task.abort());
            hosted.worker.end_all();
            self.counters.workers -= 1;
            self.counters.starts += std::mem::take(&mut hosted.worker.starts);
            let index = self.by_id[id];
            self.collect(index);
        }
        // The run must receive the ends of the tasks before the confirmation of the deletion.
        self.send_events();
        let _ = self.out.send(FromWorkers::Deleted(id.clone()));
    }

    /// Advances the workers that are due and sends their heartbeats.
    fn wake(&mut self, now: Instant) {
        while let Some(Reverse((at, index))) = self.due.peek().copied()
            && at <= now
        {
            self.due.pop();
            let hosted = &mut self.workers[index];
            if hosted.deleted || hosted.wake_at != Some(at) {
                continue;
            }
            hosted.wake_at = None;
            hosted.worker.advance(now);
            if let Some(heartbeat) = hosted.worker.take_heartbeat(now) {
                self.send_heartbeat(index, &heartbeat, now);
            }
            self.collect(index);
            self.schedule_wake(index, now);
        }
    }

    /// Queues the worker's next wake-up.
    fn schedule_wake(&mut self, index: usize, now: Instant) {
        let hosted = &mut self.workers[index];
        let due = hosted.worker.next_due().max(now + Duration::from_millis(1));
        if hosted.wake_at != Some(due) {
            hosted.wake_at = Some(due);
            self.due.push(Reverse((due, index)));
        }
    }

    fn send_heartbeat(&mut self, index: usize, heartbeat: &Heartbeat, now: Instant) {
        let hosted = &mut self.workers[index];
        let Some((_, address)) = self.settings.controllers.get(hosted.target) else { return };
        let (address, idle_connection) = (*address, hosted.connection.take());
        let body = wire::encode(heartbeat);
        self.counters.reports += 1;
        self.counters.report_bytes += body.len() as u64;
        self.counters.report_bytes_max = self.counters.report_bytes_max.max(body.len() as u64);
        let request = Request { method: Method::Post, target: "/hello".into(), body };
        let (to, agent_epoch) = (self.to.clone(), heartbeat.agent_epoch);
        tokio::spawn(async move {
            let result =
                http::exchange(idle_connection, address, &request, now + REPORT_TIMEOUT).await;
            let _ = to.send(Event::Answer(index, (now, agent_epoch), result));
        });
    }

    fn on_answer(
        &mut self,
        index: usize,
        sent: (Instant, u64),
        result: HeartbeatResult,
        now: Instant,
    ) {
        let hosted = &mut self.workers[index];
        if hosted.deleted {
            return;
        }
        match result {
            Ok((response, connection)) => {
                self.counters.answers += 1;
                self.counters.answer_bytes += response.body.len() as u64;
                match response.status {
                    200 => {
                        hosted.connection = connection;
                        self.on_commands(index, sent, &response, now);
                    }
                    421 => self.on_redirect(index, &response, now),
                    _ => {
                        self.counters.refusals += 1;
                        self.next_target(index, now);
                    }
                }
            }
            Err(_) => {
                self.counters.unanswered += 1;
                self.next_target(index, now);
            }
        }
        self.collect(index);
        self.schedule_wake(index, now);
    }

    fn on_commands(
        &mut self,
        index: usize,
        sent: (Instant, u64),
        response: &Response,
        now: Instant,
    ) {
        let hosted = &mut self.workers[index];
        let Ok(batch) = wire::decode::<CommandBatch>(&response.body) else {
            return self.next_target(index, now);
        };
        let outcome = hosted.worker.on_answer(sent, &batch, &self.catalog, now);
        self.counters.dropped += u64::from(outcome == HeartbeatOutcome::Dropped);
    }

    fn on_redirect(&mut self, index: usize, response: &Response, now: Instant) {
        self.counters.redirects += 1;
        let hosted = &mut self.workers[index];
        let leader_index = wire::decode::<NotLeader>(&response.body).ok();
        let leader_index = leader_index.and_then(|to| {
            let mut names = self.settings.controllers.iter();
            names.position(|(name, _)| name.as_str() == to.leader)
        });
        match leader_index.filter(|target| *target != hosted.target) {
            Some(target) => {
                hosted.target = target;
                let pause = hosted.worker.redirect_pause();
                hosted.worker.on_rejection(pause, now);
            }
            None => self.next_target(index, now),
        }
    }

    /// Directs the next heartbeat to the next controller, after a pause of [`NEXT_NODE_AFTER`].
    fn next_target(&mut self, index: usize, now: Instant) {
        let hosted = &mut self.workers[index];
        hosted.target = (hosted.target + 1) % self.settings.controllers.len().max(1);
        hosted.worker.on_rejection(NEXT_NODE_AFTER, now);
    }

    fn on_command(&mut self, index: usize, incoming: Incoming, now: Instant) {
        let Incoming { request, reply, permit } = incoming;
        drop(permit);
        let hosted = &mut self.workers[index];
        if hosted.deleted {
            return;
        }
        hosted.worker.advance(now);
        self.counters.commands += 1;
        self.counters.command_bytes += request.body.len() as u64;
        let status = match (request.method, request.target.as_str()) {
            (Method::Get, "/status") => 200,
            (Method::Post, "/do") => match wire::decode::<CommandBatch>(&request.body) {
                Ok(batch) if batch.agent_epoch.is_some() => {
                    if hosted.worker.on_command(&batch, &self.catalog, now) {
                        self.repeat_later(index, batch);
                        200
                    } else {
                        409
                    }
                }
                _ => 400,
            },
            _ => 404,
        };
        let hosted = &mut self.workers[index];
        let response = match status {
            200 | 409 => Response::with(status, wire::encode(&hosted.worker.heartbeat())),
            _ => Response::empty(status),
        };
        self.counters.command_answer_bytes += response.body.len() as u64;
        let _ = reply.send(response);
        self.collect(index);
        self.schedule_wake(index, now);
    }

    /// Lets a copy of executed commands arrive later, with the probability in the settings.
    fn repeat_later(&mut self, index: usize, batch: CommandBatch) {
        let share = self.settings.repeated_commands;
        if share == 0.0 || !self.random.random_bool(share) {
            return;
        }
        let delay = self.random.random_range(REPEATED_AFTER);
        let to = self.to.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = to.send(Event::RepeatedCommand(index, batch));
        });
    }

    fn on_repeated_command(&mut self, index: usize, batch: &CommandBatch, now: Instant) {
        let hosted = &mut self.workers[index];
        if hosted.deleted {
            return;
        }
        hosted.worker.advance(now);
        let is_executed = hosted.worker.on_command(batch, &self.catalog, now);
        self.counters.repeated_commands += u64::from(is_executed);
        self.collect(index);
        self.schedule_wake(index, now);
    }

    /// Collects the worker's counters and its events for the judge.
    fn collect(&mut self, index: usize) {
        let worker = &mut self.workers[index].worker;
        self.counters.starts += std::mem::take(&mut worker.starts);
        self.counters.leases_lost += std::mem::take(&mut worker.leases_lost);
        let machine = &worker.facts().id.clone();
        let at_us = now_us();
        let drained = worker.events.drain(..);
        self.events.extend(drained.map(|what| WorkerEvent {
            at_us,
            machine: machine.clone(),
            what,
        }));
    }

    fn send_events(&mut self) {
        if !self.events.is_empty() {
            let _ = self.out.send(FromWorkers::Events(std::mem::take(&mut self.events)));
        }
    }

    fn send_counters(&mut self) {
        let _ = self.out.send(FromWorkers::Counters(self.counters));
    }
}
