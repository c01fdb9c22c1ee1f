//! Simulated workers, and checks of the rules on starting and stopping tasks.

use crate::config::{CANCEL_MS, HEARTBEAT_MS, LEASE_MS, TEAMS, ZONES};
use crate::event::SimEvent;
use crate::model::{RunningTask, Worker};
use crate::world::World;
use rand::Rng;
use troutspindle::controller::Event;
use troutspindle::http::{CallError, Response};
use troutspindle::ids::{Attempt, JobId, MachineId, TaskId};
use troutspindle::wire;
use troutspindle::wire::{
    CommandBatch, Heartbeat, JobKind, NotLeader, TaskState, TaskStatus, WorkerCommand,
};
use troutspindle::workers::command_delivery::DirectCall;

impl World {
    /// Runs a worker's periodic step: lease expiry, progress of tasks, and the next heartbeat.
    pub fn step_worker(&mut self, id: MachineId) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.terminated {
            return;
        }
        if self.hung_zone == Some(worker.zone) {
            return self.schedule(now_ms + 100, SimEvent::Worker(id));
        }
        if now_ms > worker.lease_renewed_at + LEASE_MS {
            worker.agent_epoch += 1;
            worker.tasks.clear();
            worker.lease_renewed_at = now_ms;
            worker.changed = true;
        }
        let outlives_cancellation = |(task, running): (&TaskId, &RunningTask)| {
            let confirmed = self.jobs[&Self::job_number(&task.job)].cancellation_confirmed_ms;
            let is_past_deadline = confirmed.is_some_and(|at| now_ms > at + CANCEL_MS);
            (is_past_deadline && running.state != TaskState::Exited).then(|| task.clone())
        };
        if let Some(task) = worker.tasks.iter().find_map(outlives_cancellation) {
            self.record_violation(format!("ran_cancelled: {task} is still running"));
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let mut finished = Vec::new();
        for (task, running) in &mut worker.tasks {
            if running.state == TaskState::Fetching && running.ready_at <= now_ms {
                running.state = TaskState::Running;
                worker.changed = true;
            }
            if running.state == TaskState::Running && running.ends_at.is_some_and(|at| at <= now_ms)
            {
                running.state = TaskState::Exited;
                running.exit_cause = Some("done".into());
                worker.changed = true;
                finished.push(task.clone());
            }
        }
        for task in finished {
            self.finished.insert(task.clone(), true);
            self.on_task_completed(&task);
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if let Some((_, _, since)) = worker.pending_heartbeat
            && now_ms > since + 4000
        {
            worker.pending_heartbeat = None;
            worker.target = (worker.target + 1) % self.controllers.len();
            worker.next_heartbeat_at = now_ms + 1000;
        }
        let sends_heartbeat = worker.pending_heartbeat.is_none()
            && (now_ms >= worker.next_heartbeat_at || worker.changed);
        if sends_heartbeat && self.targeted_faults.unconnectable_zone == Some(worker.zone) {
            // The worker cannot open a connection, and tries the next controller a second later.
            (worker.changed, worker.next_heartbeat_at) = (false, now_ms + 1000);
            worker.target = (worker.target + 1) % self.controllers.len();
            self.targeted_faults.record_effect("workers without connection");
        } else if sends_heartbeat {
            worker.changed = false;
            worker.next_heartbeat_at = now_ms + HEARTBEAT_MS;
            worker.seq += 1;
            let heartbeat = Self::heartbeat(&id, worker);
            let (seq, agent_epoch, target) = (worker.seq, worker.agent_epoch, worker.target);
            worker.pending_heartbeat = Some((seq, agent_epoch, now_ms));
            let body = wire::encode(&heartbeat);
            if self.delayed_heartbeats && self.random.random_range(0..3) == 0 {
                // The response to a copy is ignored: no heartbeat has sequence number 0.
                let later = now_ms + self.random.random_range(2000..28_000);
                let controller = self.random.random_range(0..self.controllers.len());
                self.schedule(later, SimEvent::Heartbeat(controller, id.clone(), body.clone(), 0));
            }
            self.keep_heartbeat_copy(&id, &body);
            self.schedule_soon(SimEvent::Heartbeat(target, id.clone(), body, seq));
        }
        self.schedule(now_ms + 100, SimEvent::Worker(id));
    }

    /// Returns the heartbeat of a worker in its current state.
    pub fn heartbeat(id: &MachineId, worker: &Worker) -> Heartbeat {
        let tasks = worker.tasks.iter().map(|(task, running)| TaskStatus {
            task: task.clone(),
            attempt: running.attempt,
            state: running.state,
            exit_cause: running.exit_cause.clone(),
            saved: None,
        });
        Heartbeat {
            machine: id.clone(),
            address: "127.0.0.1:7".into(),
            machine_type: "f".into(),
            zone: ZONES[worker.zone].into(),
            spot: worker.spot,
            agent_epoch: worker.agent_epoch,
            seq: worker.seq,
            token: worker.token,
            notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Lets a worker process the response to its pending heartbeat.
    pub fn on_heartbeat_response(&mut self, id: MachineId, seq: u64, response: Response) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let Some((pending_seq, agent_epoch, since)) = worker.pending_heartbeat else { return };
        if pending_seq != seq || worker.terminated {
            return;
        }
        if self.hung_zone == Some(worker.zone) && now_ms < since + 4000 {
            return self.schedule(now_ms + 200, SimEvent::HeartbeatResponse(id, seq, response));
        }
        worker.pending_heartbeat = None;
        if response.status != 200 {
            match wire::decode::<NotLeader>(&response.body) {
                Ok(to) if response.status == 421 => {
                    worker.target = to.leader[2..].parse().unwrap();
                    worker.next_heartbeat_at = now_ms + 300;
                }
                _ => {
                    worker.target = (worker.target + 1) % self.controllers.len();
                    worker.next_heartbeat_at = now_ms + 1000;
                }
            }
            return;
        }
        let batch: CommandBatch = wire::decode(&response.body).unwrap();
        if agent_epoch != worker.agent_epoch || batch.token < worker.token {
            return;
        }
        worker.changed |= batch.token > worker.token;
        worker.token = batch.token;
        worker.lease_renewed_at = since;
        self.execute(&id, batch.commands);
    }

    /// Delivers a controller's direct call to a worker.
    pub fn on_direct_call(
        &mut self,
        controller: usize,
        incarnation: u32,
        id: MachineId,
        call: DirectCall,
    ) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let sent = match &call {
            DirectCall::Do(batch) => Some(batch.clone()),
            DirectCall::Status => None,
        };
        let unknown = Event::WorkerResponse {
            machine: id.clone(),
            sent: sent.clone(),
            result: Err(CallError::Unknown),
        };
        if worker.terminated || worker.booted_at > self.now_ms {
            return self.schedule(
                self.now_ms + 3000,
                SimEvent::Controller(controller, incarnation, unknown),
            );
        }
        let zone = worker.zone;
        if self.zone_without_responses == Some(zone) {
            return self.schedule(
                self.now_ms + 3000,
                SimEvent::Controller(controller, incarnation, unknown),
            );
        }
        if self.is_cut_off(controller, zone) || self.hung_zone == Some(zone) {
            self.blocked_messages.push(SimEvent::DirectCall(controller, incarnation, id, call));
            return self.schedule(
                self.now_ms + 3000,
                SimEvent::Controller(controller, incarnation, unknown),
            );
        }
        let is_delayed =
            self.targeted_faults.delayed_commands && self.random.random_range(0..3) == 0;
        if is_delayed && self.random.random() {
            // The command is delayed, and executed after its sender has timed out.
            if let Some(batch) = sent {
                let later = self.now_ms + self.random.random_range(1000..9000);
                self.schedule(later, SimEvent::DelayedCommands(id, batch));
            }
            return self.schedule(
                self.now_ms + 3000,
                SimEvent::Controller(controller, incarnation, unknown),
            );
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let valid = sent.as_ref().is_none_or(|batch| {
            batch.token >= worker.token && batch.agent_epoch == Some(worker.agent_epoch)
        });
        if let (Some(batch), true) = (&sent, valid) {
            worker.token = batch.token;
            self.execute(&id, batch.commands.clone());
            if !is_delayed {
                self.repeat_commands(&id, batch);
            }
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.seq += 1;
        let heartbeat = Self::heartbeat(&id, worker);
        if is_delayed {
            // The command was executed, and its response is delayed.
            return self.schedule(
                self.now_ms + 3000,
                SimEvent::Controller(controller, incarnation, unknown),
            );
        }
        self.schedule_soon(SimEvent::Controller(
            controller,
            incarnation,
            Event::WorkerResponse { machine: id, sent, result: Ok(heartbeat) },
        ));
    }

    /// Executes commands that a worker has accepted.
    pub fn execute(&mut self, id: &MachineId, commands: Vec<WorkerCommand>) {
        for command in commands {
            match command {
                WorkerCommand::Start { task, attempt } => self.start(id, task, attempt),
                WorkerCommand::Stop { task, attempt, .. } => {
                    let worker = self.workers.get_mut(id).unwrap();
                    if let Some(running) = worker.tasks.get_mut(&task)
                        && running.attempt == attempt
                        && running.state != TaskState::Exited
                    {
                        running.state = TaskState::Exited;
                        running.exit_cause = Some("halted".into());
                        worker.changed = true;
                        self.targeted_faults.record_effect("stopped tasks");
                    }
                }
                WorkerCommand::Forget { task, attempt } => {
                    let worker = self.workers.get_mut(id).unwrap();
                    if worker
                        .tasks
                        .get(&task)
                        .is_some_and(|r| r.attempt == attempt && r.state == TaskState::Exited)
                    {
                        worker.tasks.remove(&task);
                    }
                }
            }
        }
    }

    /// Starts a task on a worker and checks the rules on placement, dependencies, quotas and duplicates.
    pub fn start(&mut self, id: &MachineId, task: TaskId, attempt: Attempt) {
        let number: u64 = task.job.as_str()[3..].parse().unwrap();
        let Some(job) = self.jobs.get(&number) else {
            return self.record_violation(format!("{task} belongs to no job"));
        };
        let fails = job.always_fails || job.first_attempts_fail && !self.failed.contains(&task);
        let spec = job.spec.clone();
        let is_past_deadline =
            job.cancellation_confirmed_ms.is_some_and(|at| self.now_ms > at + CANCEL_MS);
        let now_ms = self.now_ms;
        let factor = if self.slow_machines { 3 } else { 1 };
        // Tasks with an expected run time over a minute outlast the simulation.
        let is_long_running = self.long_tasks || spec.expect_s > 60.0;
        let run_ms = self.random.random_range(2000..9000) * factor;
        let worker = self.workers.get_mut(id).unwrap();
        if worker.tasks.get(&task).is_some_and(|r| r.attempt == attempt) {
            return;
        }
        if worker.tasks.get(&task).is_some_and(|r| r.state != TaskState::Exited) {
            return;
        }
        let is_cached = worker.images.contains(&spec.image);
        worker.images.push(spec.image.clone());
        let ready_at = if is_cached { now_ms } else { now_ms + 1500 };
        let is_finished = self.finished.contains_key(&task);
        let ends_at = (spec.kind == JobKind::Array && !is_long_running).then_some(if is_finished {
            ready_at
        } else {
            ready_at + run_ms
        });
        worker.tasks.insert(
            task.clone(),
            RunningTask {
                attempt,
                state: TaskState::Fetching,
                exit_cause: None,
                ready_at,
                ends_at,
            },
        );
        if fails {
            self.failed.insert(task.clone());
            self.targeted_faults.record_effect("failed tasks");
            let running = worker.tasks.get_mut(&task).unwrap();
            (running.state, running.exit_cause) = (TaskState::Exited, Some("error".into()));
        }
        worker.changed = true;
        self.starts += 1;
        // Checks of the rules.
        for dependency in spec.depends_on.iter().flatten() {
            let tasks = self.jobs[&Self::job_number(dependency)].spec.tasks as u32;
            let done =
                |index| self.finished.contains_key(&TaskId { job: dependency.clone(), index });
            if !(0..tasks).all(done) {
                self.record_violation(format!("too_early: {task} before {dependency}"));
            }
        }
        let worker = self.workers.get_mut(id).unwrap();
        let (zone, spot) = (worker.zone, worker.spot);
        if is_past_deadline {
            self.record_violation(format!("ran_cancelled: {task}"));
        }
        if spot && !spec.spot {
            self.record_violation(format!("wrong_place: {task} on spot"));
        }
        let team = spec.team.clone();
        let mut cpus = 0.0;
        let mut same_zone = 0;
        let mut elsewhere = Vec::new();
        for (other, worker) in &self.workers {
            for (running, state) in &worker.tasks {
                if state.state == TaskState::Exited {
                    continue;
                }
                let number: u64 = running.job.as_str()[3..].parse().unwrap();
                let other_spec = &self.jobs[&number].spec;
                cpus += if other_spec.team == team { other_spec.cpus } else { 0.0 };
                same_zone += u64::from(running.job == task.job && worker.zone == zone);
                if *running == task && other != id {
                    elsewhere.push(other.clone());
                }
            }
        }
        if !elsewhere.is_empty() {
            self.record_violation(format!("ran_twice: {task} on {id} and {elsewhere:?}"));
        }
        let limit = TEAMS.iter().find(|(name, ..)| *name == team).map_or(0.0, |team| team.2);
        if cpus > limit {
            self.record_violation(format!("quota: {team} uses {cpus} of {limit}, by {task}"));
        }
        if spec.zone.as_ref().is_some_and(|zone_name| *zone_name != ZONES[zone]) {
            self.record_violation(format!("wrong_place: {task} in zone {}", ZONES[zone]));
        }
        if spec.spread && same_zone > spec.tasks.div_ceil(2) {
            self.record_violation(format!("wrong_place: {same_zone} of {} in a zone", spec.tasks));
        }
    }

    /// Returns the number in a job's id.
    pub fn job_number(id: &JobId) -> u64 {
        id.as_str()[3..].parse().unwrap()
    }

    /// Returns the job and all its direct and indirect dependencies.
    pub fn with_dependencies(&self, number: u64) -> Vec<u64> {
        let mut jobs = vec![number];
        let mut at = 0;
        while at < jobs.len() {
            let depends_on = self.jobs[&jobs[at]].spec.depends_on.iter().flatten();
            let new: Vec<u64> =
                depends_on.map(Self::job_number).filter(|n| !jobs.contains(n)).collect();
            jobs.extend(new);
            at += 1;
        }
        jobs
    }
}
