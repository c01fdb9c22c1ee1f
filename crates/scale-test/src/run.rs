//! Executes one scale run: starts all processes, injects the scenario's faults, measures, and stops all processes.

use crate::cloud::{self, CloudCounters, CloudInput};
use crate::constants::*;
use crate::controllers::{Controllers, external, team_limits};
use crate::error::RunError;
use crate::judge::{Judge, JudgeEvent};
use crate::link::{
    FromWorkers, Happening, ToWorkers, WorkerCounters, WorkerEvent, WorkerSettings, now_us,
    read_frame, write_frame,
};
use crate::measure::{self, Meter, Usage};
use crate::report::{Rates, Report, Times};
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::state_service::{self, Limits, StateCounters, StateFault};
use crate::users::{self, UserCounters, UserNote};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use troutspindle_protocol::ids::MachineId;

/// Settings of a run that are not part of its scenario.
#[derive(Debug, Clone)]
pub struct Options {
    /// Program of the controllers.
    pub controller_binary: PathBuf,
    /// Program of the scale test, which also runs the worker processes.
    pub test_binary: PathBuf,
    /// File with the operators' settings, if any.
    pub operator: Option<PathBuf>,
    /// Directory for the settings and logs of the controllers.
    pub dir: PathBuf,
    pub label: String,
    /// Whether progress is printed to standard error.
    pub progress: bool,
}

struct WorkerProcess {
    child: Child,
    to: mpsc::UnboundedSender<ToWorkers>,
    workers: u32,
    /// Whether a fault killed the process, so that its end is expected.
    ended: bool,
}

/// Index of a worker process with its message; `None` when the process has ended.
type FromProcess = (usize, Option<FromWorkers>);

/// Values of all counters at one moment.
#[derive(Clone)]
struct Snapshot {
    at: Instant,
    workers: WorkerCounters,
    state: StateCounters,
    cloud: CloudCounters,
    users: UserCounters,
}

struct Run {
    scenario: Arc<Scenario>,
    options: Options,
    controllers: Controllers,
    processes: Vec<WorkerProcess>,
    worker_counters: Vec<WorkerCounters>,
    judge: Judge,
    users: UserCounters,
    state: watch::Receiver<StateCounters>,
    cloud: watch::Receiver<CloudCounters>,
    state_faults: mpsc::UnboundedSender<StateFault>,
    cloud_inputs: mpsc::UnboundedSender<CloudInput>,
    started_at: Instant,
    meters: Vec<Meter>,
    process_meters: Vec<Meter>,
    surroundings: Meter,
    /// Number of samples of the measured period in which each controller was the leader.
    leader_samples: Vec<u32>,
    /// Number of samples, and the sums of the workers that were up and of the running tasks over them.
    sample_sums: (f64, f64, f64),
    tasks_most: usize,
    /// Maximum of the memory of all processes together, in megabytes.
    memory_mb: f64,
    /// Times at which killed controllers are restarted, with their numbers.
    restarts: Vec<(Instant, usize)>,
    /// Times at which a fault killed the leader, in microseconds.
    leader_killed_us: Vec<u64>,
}

/// Returns the number of workers of each worker process; real workers have a process each, at the end.
fn workers_by_process(scenario: &Scenario) -> Vec<u32> {
    let emulated = scenario.workers - scenario.real_workers;
    let count = emulated.div_ceil(WORKERS_PER_PROCESS).max(1);
    let emulated_share = |n: u32| emulated / count + u32::from(n < emulated % count);
    let real = (0..scenario.real_workers).map(|_| 1);
    (0..count).map(emulated_share).chain(real).collect()
}

/// Checks that the programs exist and that processes, descriptors and memory suffice for the run.
fn check_machine_limits(scenario: &Scenario, options: &Options) -> Result<(), RunError> {
    for binary in [&options.controller_binary, &options.test_binary] {
        if !binary.is_file() {
            return Err(RunError::NoBinary(binary.clone()));
        }
    }
    let processes = workers_by_process(scenario).len() + scenario.controllers as usize + 1;
    if processes > PROCESSES_MAX {
        return Err(RunError::Processes(processes, PROCESSES_MAX));
    }
    let workers = scenario.workers + scenario.spare_workers;
    let per_process = workers.div_ceil(workers_by_process(scenario).len() as u32).min(workers);
    let needed =
        (u64::from(per_process) * DESCRIPTORS_PER_WORKER).max(u64::from(workers) * 2 + 500);
    let limit = measure::descriptor_limit();
    if needed > limit {
        return Err(RunError::Descriptors { needed, limit });
    }
    let allowed_mb = (measure::memory_mb() as f64 * MEMORY_SHARE) as u64;
    let needed_mb = u64::from(workers) / 4 + u64::from(scenario.controllers) * 100 + 300;
    if needed_mb > allowed_mb {
        return Err(RunError::Memory { needed_mb, allowed_mb });
    }
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| RunError::PortInUse { address: address.to_string(), error })
}

/// Executes a run. Every process that it started has ended when it returns.
pub async fn run(scenario: Scenario, options: Options) -> Result<Report, RunError> {
    check_machine_limits(&scenario, &options)?;
    std::fs::create_dir_all(&options.dir)
        .map_err(|error| RunError::Write(options.dir.clone(), error))?;
    let planned = Duration::from_secs_f64(scenario.warm_up_s + scenario.measure_s);
    let time_limit = planned + RUN_SLACK + START_WITHIN;
    // Child processes are killed when their handles are dropped, on every path out of this function.
    tokio::select! {
        result = tokio::time::timeout(time_limit, execute(scenario, options)) => {
            result.unwrap_or(Err(RunError::TookTooLong))
        }
        _ = tokio::signal::ctrl_c() => Err(RunError::Interrupted),
    }
}

fn start_workers(
    index: usize,
    workers: u32,
    settings: WorkerSettings,
    options: &Options,
    from: &mpsc::UnboundedSender<FromProcess>,
) -> Result<WorkerProcess, RunError> {
    let mut child = Command::new(&options.test_binary)
        .arg("workers")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()?;
    let (to, mut frames) = mpsc::unbounded_channel::<ToWorkers>();
    let (Some(mut input), Some(mut output)) = (child.stdin.take(), child.stdout.take()) else {
        return Err(RunError::WorkerProcess("it has no input or output".into()));
    };
    let _ = to.send(ToWorkers::Settings(settings));
    tokio::spawn(async move {
        while let Some(frame) = frames.recv().await {
            if write_frame(&mut input, &frame).await.is_err() {
                return;
            }
        }
    });
    let from = from.clone();
    tokio::spawn(async move {
        while let Ok(message) = read_frame::<FromWorkers>(&mut output).await {
            let _ = from.send((index, Some(message)));
        }
        let _ = from.send((index, None));
    });
    Ok(WorkerProcess { child, to, workers, ended: false })
}

async fn execute(scenario: Scenario, options: Options) -> Result<Report, RunError> {
    let scenario = Arc::new(scenario);
    let (state_address, cloud_address) = external();
    let state_listener = bind(state_address).await?;
    let cloud_listener = bind(cloud_address).await?;
    for number in 0..scenario.controllers {
        let (public, mesh) = crate::controllers::addresses(number);
        drop(bind(public).await?);
        drop(bind(mesh).await?);
    }
    let operator = options.operator.as_deref();
    let mut controllers =
        Controllers::prepare(&scenario, &options.controller_binary, operator, &options.dir)?;
    let (from, mut from_workers) = mpsc::unbounded_channel();
    let settings = WorkerSettings {
        controllers: controllers.list().iter().map(|c| (c.name.clone(), c.public)).collect(),
        report_s: scenario.report_s,
        lease_s: scenario.lease_s,
        flavor: cloud::FLAVOR.into(),
        cpus: scenario.machine.cpus,
        ram_gb: scenario.machine.ram_gb,
        cache_gb: scenario.machine.cache_gb,
        fetch_gb_per_s: scenario.machine.fetch_gb_per_s,
        repeated_commands: scenario.repeated_commands,
        seed: scenario.seed,
    };
    let mut processes = Vec::new();
    for (index, workers) in workers_by_process(&scenario).into_iter().enumerate() {
        let settings = WorkerSettings { seed: scenario.seed + index as u64, ..settings.clone() };
        processes.push(start_workers(index, workers, settings, &options, &from)?);
    }
    let (state_faults, faults) = mpsc::unbounded_channel();
    let (state_counters, state) = watch::channel(StateCounters::default());
    let limits = Limits {
        rps: scenario.state.rps,
        write_rps: scenario.state.write_rps,
        value_bytes: (scenario.state.value_kb * 1024.0) as usize,
        txn_ops: scenario.state.txn_ops,
    };
    tokio::spawn(state_service::serve(state_listener, limits, faults, state_counters));
    let (judge_sender, mut judge_events) = mpsc::unbounded_channel();
    let senders: Vec<_> = processes.iter().map(|process| process.to.clone()).collect();
    let (cloud_inputs, inputs) = mpsc::unbounded_channel();
    let (cloud_counters, cloud) = watch::channel(CloudCounters::default());
    let setup = cloud::Setup::new(
        &scenario,
        (senders.clone(), workers_by_process(&scenario)),
        judge_sender.clone(),
    );
    tokio::spawn(cloud::serve(cloud_listener, setup, scenario.workers, inputs, cloud_counters));
    for number in 0..controllers.list().len() {
        controllers.start(number)?;
    }
    let (healthy_to, healthy) = watch::channel(Vec::new());
    let addresses = controllers.list().iter().map(|controller| controller.public).collect();
    tokio::spawn(users::balance(addresses, healthy_to));
    wait_for_controllers(&healthy, &options.dir).await?;

    let started_at = Instant::now();
    let measure_at = started_at + Duration::from_secs_f64(scenario.warm_up_s);
    let end_at = measure_at + Duration::from_secs_f64(scenario.measure_s);
    let (notes, mut user_notes) = mpsc::unbounded_channel::<UserNote>();
    tokio::spawn(users::submit_all(users::Setup {
        scenario: scenario.clone(),
        healthy,
        processes: senders,
        judge: judge_sender.clone(),
        notes,
        peak_at: measure_at,
    }));
    let (_, team_limit) = team_limits(&scenario);
    let judge = Judge::new(vec![team_limit; scenario.teams.count as usize], scenario.cancel_s);
    let mut run = Run {
        worker_counters: vec![WorkerCounters::default(); processes.len()],
        meters: controllers.list().iter().map(|_| Meter::default()).collect(),
        process_meters: processes.iter().map(|_| Meter::default()).collect(),
        leader_samples: vec![0; controllers.list().len()],
        scenario,
        options,
        controllers,
        processes,
        judge,
        users: UserCounters::new(),
        state,
        cloud,
        state_faults,
        cloud_inputs,
        started_at,
        surroundings: Meter::default(),
        sample_sums: (0.0, 0.0, 0.0),
        tasks_most: 0,
        memory_mb: 0.0,
        restarts: Vec::new(),
        leader_killed_us: Vec::new(),
    };
    let mut faults: Vec<Fault> = run.scenario.faults.clone();
    faults.sort_by(|a, b| b.at_s.total_cmp(&a.at_s));
    let mut sample_at = started_at;
    let mut first: Option<Snapshot> = None;
    let mut planted = run.scenario.planted_fault;
    loop {
        let now = Instant::now();
        if now >= end_at {
            break;
        }
        if first.is_none() && now >= measure_at {
            first = Some(run.snapshot());
            // Times that were recorded during the warm-up are not reported.
            run.judge.first_start_ms.clear();
            run.users.submission_ms.reset();
        }
        let fault_at = faults.last().map(|fault| measure_at + Duration::from_secs_f64(fault.at_s));
        if fault_at.is_some_and(|at| now >= at)
            && let Some(fault) = faults.pop()
        {
            run.inject_fault(fault.what).await;
        }
        run.restart_due(now)?;
        if now >= sample_at {
            sample_at = now + SAMPLE_EVERY;
            run.take_sample(first.is_some());
        }
        let wake = end_at.min(sample_at).min(fault_at.unwrap_or(end_at));
        tokio::select! {
            Some((index, message)) = from_workers.recv() => {
                run.handle_worker_message(index, message, &mut planted)?;
            }
            Some(event) = judge_events.recv() => run.judge.take(event),
            Some(note) = user_notes.recv() => run.users.take(note),
            _ = tokio::time::sleep_until(wake) => {}
        }
    }
    let last = run.snapshot();
    // Events from before the end of the run may arrive and be judged up to `JUDGE_DELAY` later.
    let judge_until = Instant::now() + JUDGE_DELAY;
    while Instant::now() < judge_until {
        tokio::select! {
            Some((index, message)) = from_workers.recv() => {
                run.handle_worker_message(index, message, &mut planted)?;
            }
            Some(event) = judge_events.recv() => run.judge.take(event),
            _ = tokio::time::sleep_until(judge_until) => {}
        }
    }
    run.judge.advance(now_us());
    let report = run.report(first.unwrap_or_else(|| last.clone()), &last);
    run.controllers.end_all().await;
    for process in &mut run.processes {
        let _ = process.child.kill().await;
    }
    Ok(report)
}

async fn wait_for_controllers(
    healthy: &watch::Receiver<Vec<SocketAddr>>,
    dir: &Path,
) -> Result<(), RunError> {
    let mut healthy = healthy.clone();
    let up = healthy.wait_for(|list| !list.is_empty());
    match tokio::time::timeout(START_WITHIN, up).await {
        Ok(Ok(_)) => Ok(()),
        _ => Err(RunError::NotUp(START_WITHIN.as_secs(), dir.to_owned())),
    }
}

impl Run {
    fn handle_worker_message(
        &mut self,
        index: usize,
        message: Option<FromWorkers>,
        planted: &mut bool,
    ) -> Result<(), RunError> {
        match message {
            Some(FromWorkers::Events(events)) => {
                for event in events {
                    if *planted && matches!(event.what, Happening::Ready(..)) {
                        // Checks the judge: reports one start a second time, on another machine.
                        *planted = false;
                        let machine = MachineId::new("i-planted");
                        let at_us = event.at_us + 1;
                        let copy = WorkerEvent { at_us, machine, what: event.what.clone() };
                        self.judge.take(JudgeEvent::Worker(copy));
                    }
                    self.judge.take(JudgeEvent::Worker(event));
                }
            }
            Some(FromWorkers::Deleted(id)) => {
                let _ = self.cloud_inputs.send(CloudInput::Deleted(id));
            }
            Some(FromWorkers::Counters(counters)) => self.worker_counters[index] = counters,
            Some(FromWorkers::Failed(text)) => return Err(RunError::WorkerProcess(text)),
            None if self.processes[index].ended => {
                let _ = self.cloud_inputs.send(CloudInput::ProcessEnded(index));
            }
            None => return Err(RunError::WorkerProcess(format!("number {index}"))),
        }
        Ok(())
    }

    fn leader(&self) -> Option<usize> {
        let leader = self.state.borrow().leader.clone()?;
        self.controllers.number_of(&leader)
    }

    async fn inject_fault(&mut self, what: FaultKind) {
        if self.options.progress {
            eprintln!("{:5.0} s  {what:?}", self.started_at.elapsed().as_secs_f64());
        }
        let leader = self.leader();
        let seconds = Duration::from_secs_f64;
        match what {
            FaultKind::EndLeader { back_after_s } => {
                if let Some(number) = leader {
                    self.leader_killed_us.push(now_us());
                    self.end_controller(number, back_after_s).await;
                }
            }
            FaultKind::EndFollower { back_after_s } => {
                let others = 0..self.controllers.list().len();
                if let Some(number) = others.rev().find(|number| Some(*number) != leader) {
                    self.end_controller(number, back_after_s).await;
                }
            }
            FaultKind::EndWorkers => {
                let process = self.processes.iter_mut().find(|process| !process.ended);
                if let Some(process) = process {
                    process.ended = true;
                    let _ = process.child.kill().await;
                }
            }
            FaultKind::EndZone { zone } => {
                let _ = self.cloud_inputs.send(CloudInput::EndZone(zone as usize));
            }
            FaultKind::StateOut { for_s } => {
                let _ = self.state_faults.send(StateFault::Out(seconds(for_s)));
            }
            FaultKind::CloudOut { for_s } => {
                let _ = self.cloud_inputs.send(CloudInput::Out(seconds(for_s)));
            }
        }
    }

    async fn end_controller(&mut self, number: usize, back_after_s: f64) {
        self.controllers.end(number).await;
        let back_at = Instant::now() + Duration::from_secs_f64(back_after_s);
        self.restarts.push((back_at, number));
    }

    fn restart_due(&mut self, now: Instant) -> Result<(), RunError> {
        for (_, number) in self.restarts.extract_if(.., |(at, _)| *at <= now) {
            self.controllers.start(number)?;
        }
        Ok(())
    }

    /// Samples the resource usage of all processes, advances the judge and prints a line of progress.
    fn take_sample(&mut self, measuring: bool) {
        self.judge.advance(now_us());
        let at_s = self.started_at.elapsed().as_secs_f64();
        let leader = self.leader();
        let mut memory_mb = 0.0;
        for (number, controller) in self.controllers.list().iter().enumerate() {
            let Some(process) = controller.process() else { continue };
            let Some(sample) = measure::sample(process) else { continue };
            memory_mb += sample.memory_mb;
            if measuring {
                self.meters[number].record(process, &sample, at_s);
                self.leader_samples[number] += u32::from(leader == Some(number));
            }
        }
        for (index, process) in self.processes.iter().enumerate() {
            let Some(id) = process.child.id() else { continue };
            let Some(sample) = measure::sample(id) else { continue };
            memory_mb += sample.memory_mb;
            if measuring {
                self.process_meters[index].record(id, &sample, at_s);
            }
        }
        if let Some(sample) = measure::sample(std::process::id()) {
            memory_mb += sample.memory_mb;
            if measuring {
                self.surroundings.record(std::process::id(), &sample, at_s);
            }
        }
        self.memory_mb = self.memory_mb.max(memory_mb);
        let up = self.worker_counters.iter().map(|counters| counters.workers).sum::<u64>() as f64;
        let tasks = self.judge.running() as f64;
        if measuring {
            let (samples, workers, running) = self.sample_sums;
            self.sample_sums = (samples + 1.0, workers + up, running + tasks);
            self.tasks_most = self.tasks_most.max(self.judge.running());
        }
        if self.options.progress && (at_s as u64).is_multiple_of(5) {
            eprintln!(
                "{at_s:5.0} s  workers {up:.0}, tasks {tasks:.0}, starts {}, jobs done {}, rules broken {}",
                self.judge.starts_us.len(),
                self.users.done,
                self.judge.violations.len()
            );
        }
    }

    fn snapshot(&self) -> Snapshot {
        let none = WorkerCounters::default();
        let sum = |sum: WorkerCounters, one: &WorkerCounters| sum.combine(one, |a, b| a + b);
        Snapshot {
            at: Instant::now(),
            workers: self.worker_counters.iter().fold(none, sum),
            state: self.state.borrow().clone(),
            cloud: self.cloud.borrow().clone(),
            users: self.users.clone(),
        }
    }

    fn report(&self, first: Snapshot, last: &Snapshot) -> Report {
        let seconds = (last.at - first.at).as_secs_f64().max(1e-3);
        let rate = |now: u64, before: u64| now.saturating_sub(before) as f64 / seconds;
        let by_kind = |now: &BTreeMap<&'static str, u64>, before: &BTreeMap<&'static str, u64>| {
            let before = |kind| before.get(kind).copied().unwrap_or(0);
            let rates = now.iter().map(|(kind, n)| ((*kind).to_owned(), rate(*n, before(kind))));
            rates.collect::<Rates>()
        };
        let workers = last.workers.combine(&first.workers, u64::saturating_sub);
        let leader = (0..self.leader_samples.len())
            .max_by_key(|number| self.leader_samples[*number])
            .unwrap_or(0);
        let others = (0..self.meters.len()).filter(|number| *number != leader);
        let others: Vec<Usage> = others.map(|number| self.meters[number].usage()).collect();
        let fullest = others.iter().max_by_key(|usage| usage.descriptors_peak);
        let rates = |number: usize| self.controllers.mesh_rates(number).unwrap_or_default();
        let written = (0..self.meters.len()).filter(|number| *number != leader).map(rates);
        let written: Vec<(f64, f64)> = written.collect();
        let count = f64::max(written.len() as f64, 1.0);
        let follower_mesh = (
            written.iter().map(|(frames, _)| frames).sum::<f64>() / count,
            written.iter().map(|(_, bytes)| bytes).sum::<f64>() / count,
        );
        let metered = self.processes.iter().zip(&self.process_meters);
        let real: Vec<Usage> = metered
            .clone()
            .filter(|(process, _)| self.scenario.real_workers > 0 && process.workers == 1)
            .map(|(_, meter)| meter.usage())
            .collect();
        let (samples, up, running) = self.sample_sums;
        let samples = samples.max(1.0);
        let classes = &self.scenario.classes;
        let first_start = self.judge.first_start_ms.iter();
        let mut broken: BTreeMap<String, u64> = BTreeMap::new();
        for violation in &self.judge.violations {
            *broken.entry(violation.rule.to_owned()).or_default() += 1;
        }
        let window_us = (seconds * 1e6) as u64;
        let starts_until = now_us().saturating_sub(JUDGE_DELAY.as_micros() as u64);
        let in_window = |at: &&u64| **at + window_us >= starts_until && **at < starts_until;
        let user_kinds = [
            ("submissions accepted", last.users.accepted, first.users.accepted),
            ("answers", last.users.answers, first.users.answers),
            ("refusals", last.users.refused, first.users.refused),
            ("unanswered", last.users.unanswered, first.users.unanswered),
            ("given up", last.users.given_up, first.users.given_up),
            ("jobs done", last.users.done, first.users.done),
        ];
        Report {
            scenario: self.scenario.name.clone(),
            label: self.options.label.clone(),
            workers: self.scenario.workers,
            controllers: self.scenario.controllers,
            teams: self.scenario.teams.count,
            starts_asked_per_s: self.scenario.starts_per_s(),
            measured_s: seconds,
            workers_up: up / samples,
            tasks_running: running / samples,
            tasks_most: self.tasks_most as u64,
            starts_per_s: self.judge.starts_us.iter().filter(in_window).count() as f64 / seconds,
            leader: self.meters[leader].usage(),
            follower_mean: mean(&others),
            follower_peak: fullest.copied().unwrap_or_default(),
            workers_cpu: self.process_meters.iter().map(|meter| meter.usage().cpu_mean).sum(),
            workers_memory_mb: self
                .process_meters
                .iter()
                .map(|meter| meter.usage().memory_mb)
                .sum(),
            real_worker: (!real.is_empty()).then(|| mean(&real)),
            leader_mesh: rates(leader),
            follower_mesh,
            surroundings: self.surroundings.usage(),
            processes: self.processes.len() + self.controllers.list().len() + 1,
            memory_total_mb: self.memory_mb,
            worker_rates: worker_rates(&workers, seconds),
            worker_bytes_per_s: workers.bytes() as f64 / seconds,
            largest_heartbeat_bytes: workers.report_bytes_max,
            leases_lost: workers.leases_lost,
            state_rates: by_kind(&last.state.requests, &first.state.requests),
            state_bytes_per_s: rate(
                last.state.bytes_in + last.state.bytes_out,
                first.state.bytes_in + first.state.bytes_out,
            ),
            state_keys: last.state.keys,
            cloud_rates: by_kind(&last.cloud.requests, &first.cloud.requests),
            user_rates: user_kinds
                .iter()
                .map(|(kind, now, before)| ((*kind).to_owned(), rate(*now, *before)))
                .collect(),
            submission: Times::of(&last.users.submission_ms),
            first_start: first_start
                .map(|(class, times)| (classes[*class].name.clone(), Times::of(times)))
                .collect(),
            recovery_ms: self.recoveries(),
            broken_first: self
                .judge
                .violations
                .iter()
                .take(5)
                .map(|violation| format!("{}: {}", violation.rule, violation.text))
                .collect(),
            broken,
            judged_late: self.judge.late,
        }
    }

    /// Returns the milliseconds from the end of each killed leader to the first start of a task under its successor.
    fn recoveries(&self) -> Vec<u64> {
        let after = |ended: &u64| {
            let (_, first_start) = self.judge.terms.iter().find(|(_, first)| first > ended)?;
            Some((first_start - ended) / 1000)
        };
        self.leader_killed_us.iter().filter_map(after).collect()
    }
}

fn worker_rates(counters: &WorkerCounters, seconds: f64) -> Rates {
    let kinds = [
        ("reports", counters.reports),
        ("report bytes", counters.report_bytes),
        ("answers", counters.answers),
        ("answer bytes", counters.answer_bytes),
        ("redirects", counters.redirects),
        ("refusals", counters.refusals),
        ("unanswered", counters.unanswered),
        ("commands", counters.commands),
        ("command bytes", counters.command_bytes),
        ("command answer bytes", counters.command_answer_bytes),
        ("repeated commands", counters.repeated_commands),
        ("starts", counters.starts),
        ("dropped", counters.dropped),
    ];
    kinds.iter().map(|(kind, n)| ((*kind).to_owned(), *n as f64 / seconds)).collect()
}

fn mean(usages: &[Usage]) -> Usage {
    let count = f64::max(usages.len() as f64, 1.0);
    let of = |value: fn(&Usage) -> f64| usages.iter().map(value).sum::<f64>() / count;
    Usage {
        cpu_mean: of(|usage| usage.cpu_mean),
        cpu_peak: of(|usage| usage.cpu_peak),
        memory_mb: of(|usage| usage.memory_mb),
        descriptors_mean: of(|usage| usage.descriptors_mean),
        descriptors_peak: of(|usage| usage.descriptors_peak as f64) as u64,
    }
}
