//! A process of emulated workers: one actor owns all of their cores; connections are tasks around it.

use crate::constants::*;
use crate::link::{
    FromWorkers, MachineFacts, ToWorkers, WorkerCounters, WorkerEvent, WorkerSettings, now_us,
    read_frame, write_frame,
};
use crate::worker::{HeartbeatOutcome, JobCatalog, Worker};
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

/// Pause between two frames of events to the run.
const EVENTS_EVERY: Duration = Duration::from_millis(100);
/// Pause between two frames of counters.
const COUNTERS_EVERY: Duration = Duration::from_millis(500);
/// Count. Connections to one worker, and requests read ahead on them.
const CONNECTIONS: usize = 64;
const READ_AHEAD: usize = 16;

type HeartbeatResult = Result<(Response, Option<TcpStream>), CallError>;

enum Event {
    Run(ToWorkers),
    /// A report of that worker, sent at that time in that session, came back.
    Answer(usize, (Instant, u64), HeartbeatResult),
    Command(usize, Incoming),
}

/// A worker with its connections.
struct Place {
    worker: Worker,
    gone: bool,
    /// The controller that it reports to, and the connection to it.
    target: usize,
    connection: Option<TcpStream>,
    /// When it is to be woken next; other entries of the queue are out of date.
    planned: Option<Instant>,
    listener: Vec<JoinHandle<()>>,
}

/// All workers of the process.
struct Host {
    settings: WorkerSettings,
    book: JobCatalog,
    places: Vec<Place>,
    by_id: HashMap<MachineId, usize>,
    due: BinaryHeap<Reverse<(Instant, usize)>>,
    events: Vec<WorkerEvent>,
    counters: WorkerCounters,
    to: mpsc::UnboundedSender<Event>,
    out: mpsc::UnboundedSender<FromWorkers>,
}

/// Serves workers until standard input ends.
pub async fn serve() -> std::io::Result<()> {
    let mut input = tokio::io::stdin();
    let ToWorkers::Settings(settings) = read_frame(&mut input).await? else {
        return Err(std::io::Error::other("settings come first"));
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
        settings,
        book: JobCatalog::new(),
        places: Vec::new(),
        by_id: HashMap::new(),
        due: BinaryHeap::new(),
        events: Vec::new(),
        counters: WorkerCounters::default(),
        to,
        out,
    };
    let mut tell_at = Instant::now();
    let mut count_at = tell_at;
    loop {
        if reader.is_finished() {
            return Ok(());
        }
        let wake = host.due.peek().map_or(tell_at, |Reverse((at, _))| (*at).min(tell_at));
        tokio::select! {
            Some(event) = events.recv() => host.handle(event).await,
            _ = tokio::time::sleep_until(wake) => {}
        }
        let now = Instant::now();
        host.wake(now);
        if now >= tell_at {
            tell_at = now + EVENTS_EVERY;
            host.tell_events();
        }
        if now >= count_at {
            count_at = now + COUNTERS_EVERY;
            host.tell_counters();
        }
    }
}

impl Host {
    async fn handle(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Run(ToWorkers::Settings(settings)) => self.settings = settings,
            Event::Run(ToWorkers::Job(job)) => drop(self.book.insert(job.id.clone(), job)),
            Event::Run(ToWorkers::Boot(facts)) => self.boot(facts, now).await,
            Event::Run(ToWorkers::Delete(id)) => self.delete(&id),
            Event::Answer(index, sent, result) => self.on_answer(index, sent, result, now),
            Event::Command(index, incoming) => self.on_command(index, incoming, now),
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
        let index = self.places.len();
        let (requests, mut incoming) = mpsc::channel::<Incoming>(CONNECTIONS);
        let (count, _) = watch::channel(0usize);
        let serving = tokio::spawn(http::serve(listener, CONNECTIONS, READ_AHEAD, requests, count));
        let to = self.to.clone();
        let passing = tokio::spawn(async move {
            while let Some(request) = incoming.recv().await {
                let _ = to.send(Event::Command(index, request));
            }
        });
        let target = index % self.settings.controllers.len().max(1);
        let number = self.settings.seed.wrapping_mul(31).wrapping_add(index as u64);
        self.by_id.insert(facts.id.clone(), index);
        let worker = Worker::new(facts, self.settings.clone(), number, now);
        let listener = vec![serving, passing];
        self.places.push(Place {
            worker,
            gone: false,
            target,
            connection: None,
            planned: None,
            listener,
        });
        self.counters.workers += 1;
        self.plan(index, now);
    }

    fn delete(&mut self, id: &MachineId) {
        if let Some(place) = self.by_id.get(id).and_then(|index| self.places.get_mut(*index))
            && !place.gone
        {
            place.gone = true;
            place.connection = None;
            place.listener.drain(..).for_each(|task| task.abort());
            place.worker.end_all();
            self.counters.workers -= 1;
            self.counters.starts += std::mem::take(&mut place.worker.starts);
            let index = self.by_id[id];
            self.collect(index);
        }
        // Whoever waits for the answer has to know of the ends before it.
        self.tell_events();
        let _ = self.out.send(FromWorkers::Deleted(id.clone()));
    }

    /// Lets workers act whose time has come.
    fn wake(&mut self, now: Instant) {
        while let Some(Reverse((at, index))) = self.due.peek().copied()
            && at <= now
        {
            self.due.pop();
            let place = &mut self.places[index];
            if place.gone || place.planned != Some(at) {
                continue;
            }
            place.planned = None;
            place.worker.advance(now);
            if let Some(report) = place.worker.take_report(now) {
                self.send_report(index, &report, now);
            }
            self.collect(index);
            self.plan(index, now);
        }
    }

    fn plan(&mut self, index: usize, now: Instant) {
        let place = &mut self.places[index];
        let due = place.worker.next_due().max(now + Duration::from_millis(1));
        if place.planned != Some(due) {
            place.planned = Some(due);
            self.due.push(Reverse((due, index)));
        }
    }

    fn send_report(&mut self, index: usize, report: &Heartbeat, now: Instant) {
        let place = &mut self.places[index];
        let Some((_, address)) = self.settings.controllers.get(place.target) else { return };
        let (address, kept) = (*address, place.connection.take());
        let body = wire::encode(report);
        self.counters.reports += 1;
        self.counters.report_bytes += body.len() as u64;
        let request = Request { method: Method::Post, target: "/hello".into(), body };
        let (to, agent_epoch) = (self.to.clone(), report.agent_epoch);
        tokio::spawn(async move {
            let result = http::exchange(kept, address, &request, now + REPORT_TIMEOUT).await;
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
        let place = &mut self.places[index];
        if place.gone {
            return;
        }
        match result {
            Ok((response, connection)) => {
                self.counters.answers += 1;
                self.counters.answer_bytes += response.body.len() as u64;
                match response.status {
                    200 => {
                        place.connection = connection;
                        self.on_orders(index, sent, &response, now);
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
        self.plan(index, now);
    }

    fn on_orders(&mut self, index: usize, sent: (Instant, u64), response: &Response, now: Instant) {
        let place = &mut self.places[index];
        let Ok(orders) = wire::decode::<CommandBatch>(&response.body) else {
            return self.next_target(index, now);
        };
        let outcome = place.worker.on_answer(sent, &orders, &self.book, now);
        self.counters.dropped += u64::from(outcome == HeartbeatOutcome::Dropped);
    }

    fn on_redirect(&mut self, index: usize, response: &Response, now: Instant) {
        self.counters.redirects += 1;
        let place = &mut self.places[index];
        let named = wire::decode::<NotLeader>(&response.body).ok();
        let named = named.and_then(|to| {
            let mut names = self.settings.controllers.iter();
            names.position(|(name, _)| name.as_str() == to.leader)
        });
        match named.filter(|target| *target != place.target) {
            Some(target) => {
                place.target = target;
                let pause = place.worker.redirect_pause();
                place.worker.on_refusal(pause, now);
            }
            None => self.next_target(index, now),
        }
    }

    fn next_target(&mut self, index: usize, now: Instant) {
        let place = &mut self.places[index];
        place.target = (place.target + 1) % self.settings.controllers.len().max(1);
        place.worker.on_refusal(NEXT_NODE_AFTER, now);
    }

    fn on_command(&mut self, index: usize, incoming: Incoming, now: Instant) {
        let Incoming { request, reply, permit } = incoming;
        drop(permit);
        let place = &mut self.places[index];
        if place.gone {
            return;
        }
        place.worker.advance(now);
        self.counters.commands += 1;
        self.counters.command_bytes += request.body.len() as u64;
        let status = match (request.method, request.target.as_str()) {
            (Method::Get, "/status") => 200,
            (Method::Post, "/do") => match wire::decode::<CommandBatch>(&request.body) {
                Ok(orders) if orders.agent_epoch.is_some() => {
                    if place.worker.on_command(&orders, &self.book, now) { 200 } else { 409 }
                }
                _ => 400,
            },
            _ => 404,
        };
        let response = match status {
            200 | 409 => Response::with(status, wire::encode(&place.worker.report())),
            _ => Response::empty(status),
        };
        self.counters.command_answer_bytes += response.body.len() as u64;
        let _ = reply.send(response);
        self.collect(index);
        self.plan(index, now);
    }

    /// Takes over what the worker has to tell the judge.
    fn collect(&mut self, index: usize) {
        let worker = &mut self.places[index].worker;
        self.counters.starts += std::mem::take(&mut worker.starts);
        self.counters.leases_lost += std::mem::take(&mut worker.leases_lost);
        let machine = &worker.facts().id.clone();
        let at_us = now_us();
        let found = worker.events.drain(..);
        self.events.extend(found.map(|what| WorkerEvent { at_us, machine: machine.clone(), what }));
    }

    fn tell_events(&mut self) {
        if !self.events.is_empty() {
            let _ = self.out.send(FromWorkers::Events(std::mem::take(&mut self.events)));
        }
    }

    fn tell_counters(&mut self) {
        let _ = self.out.send(FromWorkers::Counters(self.counters));
    }
}
