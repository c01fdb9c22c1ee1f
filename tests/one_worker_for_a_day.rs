//! One machine runs short tasks for a simulated day under one leader. Some fail, some are preempted, answers are lost,
//! and copies of direct calls arrive at any later time.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use troutspindle::cloud::MachinePool;
use troutspindle::constants::{BODY_MAX, TOKENS_PER_TERM};
use troutspindle::ids::{Amount, Attempt, FencingToken, JobId, MachineId, TaskId};
use troutspindle::wire::{CommandBatch, Heartbeat, Priority, TaskState, TaskStatus, WorkerCommand};
use troutspindle::workers::machine::{
    AttemptSpec, LeaderTokens, Machine, PlacedAttempt, StopRequest,
};

const LEADER: FencingToken = FencingToken(3 * TOKENS_PER_TERM);
/// Shortest interval between two heartbeats, which is one step of the simulation.
const STEP: Duration = Duration::from_millis(500);
/// Number of steps in a day.
const DAY_STEPS: u64 = 24 * 3600 * 2;
/// Number of tasks that fit on the machine at once.
const SLOTS: usize = 8;
/// Number of direct calls of which copies may arrive. A later call takes the place of any of them.
const KEPT_CALLS: usize = 400;

/// Worker with the rules of PROTOCOL for commands.
struct Worker {
    token: FencingToken,
    seq: u64,
    /// Attempts with the step at which they end, or their exit cause.
    attempts: BTreeMap<(TaskId, Attempt), Result<u64, &'static str>>,
    forgotten: BTreeSet<Attempt>,
}

impl Worker {
    /// Executes a batch, unless its token is too low. Returns whether it was executed.
    fn execute(&mut self, batch: &CommandBatch, step: u64, random: &mut StdRng) -> bool {
        if batch.token < self.token {
            return false;
        }
        self.token = batch.token;
        for command in &batch.commands {
            match command {
                WorkerCommand::Start { task, attempt } => {
                    assert!(!self.forgotten.contains(attempt), "{task} runs again, step {step}");
                    let ends_at = step + random.random_range(1..20);
                    self.attempts.entry((task.clone(), *attempt)).or_insert(Ok(ends_at));
                }
                WorkerCommand::Stop { task, attempt, .. } => {
                    if let Some(state @ Ok(_)) = self.attempts.get_mut(&(task.clone(), *attempt)) {
                        *state = Err("halted");
                    }
                }
                WorkerCommand::Forget { task, attempt } => {
                    if self.attempts.remove(&(task.clone(), *attempt)).is_some() {
                        self.forgotten.insert(*attempt);
                    }
                }
            }
        }
        true
    }

    fn end_tasks(&mut self, step: u64) {
        for ((task, _), state) in &mut self.attempts {
            if state.is_ok_and(|ends_at| ends_at <= step) {
                *state = Err(if task.index % 5 == 0 { "error" } else { "done" });
            }
        }
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.seq += 1;
        let tasks = self.attempts.iter().map(|((task, attempt), state)| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: if state.is_ok() { TaskState::Running } else { TaskState::Exited },
            exit_cause: state.err().map(str::to_owned),
            saved: None,
        });
        Heartbeat {
            machine: MachineId::new("i-000001"),
            address: "10.1.0.1:9000".into(),
            machine_type: "lipa16".into(),
            zone: "ba-petrzalka".into(),
            spot: true,
            agent_epoch: 1,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: tasks.collect(),
        }
    }
}

/// Results of a simulated day.
#[derive(Default)]
struct Day {
    /// Largest number of attempts in a heartbeat.
    most_attempts: usize,
    largest_heartbeat_bytes: usize,
    starts: u64,
    /// Starts that were sent first in a direct call.
    direct_starts: u64,
    rejected_copies: u64,
}

/// Runs so many steps. `may_raise` tells for each whether the leader may raise tokens.
fn run(seed: u64, steps: u64, may_raise: impl Fn(u64) -> bool) -> Day {
    let random = &mut StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let pool = MachinePool { machine_type: 0, zone: 0, spot: true };
    let mut machine = Machine::new(MachineId::new("i-000001"), pool, 0, start);
    machine.recorded = true;
    let (attempts, forgotten) = (BTreeMap::new(), BTreeSet::new());
    let mut worker = Worker { token: FencingToken(0), seq: 0, attempts, forgotten };
    let mut calls: Vec<CommandBatch> = Vec::new();
    let mut day = Day::default();
    for step in 0..steps {
        let now = start + STEP * step as u32;
        let tokens = LeaderTokens { leader: LEADER, may_raise: may_raise(step) };
        worker.end_tasks(step);
        exchange_heartbeat(&mut machine, &mut worker, tokens, (step, now), random, &mut day);
        for attempt in machine.attempts.values_mut() {
            attempt.exit_handled |= attempt.state == TaskState::Exited;
        }
        let running = machine.attempts.iter().filter(|(_, a)| a.state != TaskState::Exited);
        let running: Vec<_> = running.map(|(key, _)| key.clone()).collect();
        if running.len() < SLOTS && random.random_bool(0.8) {
            day.starts += 1;
            place(&mut machine, day.starts, now);
        } else if let (Some(key), true) = (running.first(), random.random_bool(0.1)) {
            let stop = StopRequest { grace_s: 0.0, reason: "preempted" };
            machine.request_stop(key, stop);
        }
        if random.random_bool(0.9) {
            call(&mut machine, &mut worker, tokens, (step, now), random, &mut calls, &mut day);
        }
        if let Some(copy) = calls.get(random.random_range(0..KEPT_CALLS)) {
            day.rejected_copies += u64::from(!worker.execute(copy, step, random));
        }
    }
    assert!(machine.attempts.len() < 2 * SLOTS, "attempts pile up: {}", machine.attempts.len());
    day
}

fn place(machine: &mut Machine, number: u64, now: Instant) {
    let spec = AttemptSpec {
        request: Amount::request(2.0, 0.0, 1.0),
        team: 0,
        priority: Priority::Low,
        image: Arc::from("img"),
    };
    let task = TaskId { job: JobId::new("wk-386279"), index: number as u32 };
    machine.attempts.insert((task, Attempt::new(LEADER, number)), PlacedAttempt::new(spec, now));
    machine.commands_due = true;
}

/// Sends a heartbeat and its answer, either of which may be lost.
fn exchange_heartbeat(
    machine: &mut Machine,
    worker: &mut Worker,
    tokens: LeaderTokens,
    (step, now): (u64, Instant),
    random: &mut StdRng,
    day: &mut Day,
) {
    let heartbeat = worker.heartbeat();
    if heartbeat.tasks.len() > day.most_attempts {
        day.most_attempts = heartbeat.tasks.len();
        // Size limits count the JSON form.
        day.largest_heartbeat_bytes = serde_json::to_vec(&heartbeat).unwrap().len();
    }
    if random.random_bool(0.05) {
        return;
    }
    machine.record_heartbeat(&heartbeat, LEADER, now);
    let answer = machine.answer(tokens);
    if random.random_bool(0.95) {
        worker.execute(&answer, step, random);
    }
}

/// Sends the due commands in a direct call. The call or its response may be lost.
fn call(
    machine: &mut Machine,
    worker: &mut Worker,
    tokens: LeaderTokens,
    (step, now): (u64, Instant),
    random: &mut StdRng,
    calls: &mut Vec<CommandBatch>,
    day: &mut Day,
) {
    let batch = machine.direct_call(tokens);
    if batch.commands.is_empty() {
        return;
    }
    let is_first = |command: &&WorkerCommand| match command {
        WorkerCommand::Start { task, attempt } => {
            !machine.attempts[&(task.clone(), *attempt)].sent_directly
        }
        _ => false,
    };
    day.direct_starts += batch.commands.iter().filter(is_first).count() as u64;
    machine.record_direct_call(&batch.commands);
    if calls.len() < KEPT_CALLS {
        calls.push(batch.clone());
    } else {
        calls[random.random_range(0..KEPT_CALLS)] = batch.clone();
    }
    if random.random_bool(0.05) {
        return;
    }
    worker.execute(&batch, step, random);
    if random.random_bool(0.95) {
        machine.record_direct_result(&batch.commands);
        machine.record_heartbeat(&worker.heartbeat(), LEADER, now);
    }
}

#[test]
fn heartbeats_stay_small_and_no_forgotten_attempt_runs_again() {
    let day = run(1, DAY_STEPS, |_| true);
    println!(
        "largest heartbeat {} bytes, {} starts, {} of them direct, {} copies rejected",
        day.largest_heartbeat_bytes, day.starts, day.direct_starts, day.rejected_copies
    );
    assert!(day.largest_heartbeat_bytes < BODY_MAX / 10);
    assert!(day.starts > 50_000 && day.rejected_copies > 10_000);
    assert!(day.direct_starts > day.starts * 8 / 10);
}

/// The cluster is upgraded within two hours: in the first no token may be raised.
#[test]
fn heartbeats_stay_small_while_tokens_cannot_be_raised() {
    let day = run(2, DAY_STEPS / 12, |step| step > DAY_STEPS / 24);
    println!("largest heartbeat {} bytes", day.largest_heartbeat_bytes);
    assert!(day.most_attempts < 64 + 4 * SLOTS && day.largest_heartbeat_bytes < BODY_MAX / 2);
    assert!(day.starts > 4_000 && day.rejected_copies > 500);
}
