//! Workers, and the rules that are seen when they start tasks.

use crate::config::{CANCEL_MS, LEASE_MS, REPORT_MS, TEAMS, ZONES};
use crate::event::SimEvent;
use crate::model::{Running, Worker};
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
    pub fn worker(&mut self, id: MachineId) {
        let t = self.now_ms;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.gone {
            return;
        }
        if self.hung_zone == Some(worker.zone) {
            return self.at(t + 100, SimEvent::Worker(id));
        }
        if t > worker.renewed + LEASE_MS {
            worker.agent_epoch += 1;
            worker.tasks.clear();
            worker.renewed = t;
            worker.changed = true;
        }
        let outlives = |(task, running): (&TaskId, &Running)| {
            let told = self.jobs[&Self::number(&task.job)].cancellation_confirmed_ms;
            let late = told.is_some_and(|at| t > at + CANCEL_MS);
            (late && running.state != TaskState::Exited).then(|| task.clone())
        };
        if let Some(task) = worker.tasks.iter().find_map(outlives) {
            self.record_violation(format!("ran_cancelled: {task} is still there"));
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let mut finished = Vec::new();
        for (task, running) in &mut worker.tasks {
            if running.state == TaskState::Fetching && running.ready_at <= t {
                running.state = TaskState::Running;
                worker.changed = true;
            }
            if running.state == TaskState::Running && running.ends_at.is_some_and(|at| at <= t) {
                running.state = TaskState::Exited;
                running.why = Some("done".into());
                worker.changed = true;
                finished.push(task.clone());
            }
        }
        for task in finished {
            self.finished.insert(task.clone(), true);
            self.ended(&task);
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if let Some((_, _, since)) = worker.asked
            && t > since + 4000
        {
            worker.asked = None;
            worker.target = (worker.target + 1) % self.nodes.len();
            worker.next_report = t + 1000;
        }
        let wants = worker.asked.is_none() && (t >= worker.next_report || worker.changed);
        if wants && self.targeted_faults.mute_zone == Some(worker.zone) {
            // It can't open a connection, and tries the next node a second later.
            (worker.changed, worker.next_report) = (false, t + 1000);
            worker.target = (worker.target + 1) % self.nodes.len();
            self.targeted_faults.record_effect("mute workers");
        } else if wants {
            worker.changed = false;
            worker.next_report = t + REPORT_MS;
            worker.seq += 1;
            let report = Self::report(&id, worker);
            let (seq, agent_epoch, target) = (worker.seq, worker.agent_epoch, worker.target);
            worker.asked = Some((seq, agent_epoch, t));
            let body = wire::encode(&report);
            if self.late_reports && self.random.random_range(0..3) == 0 {
                // Nobody reads the answer to a copy: it bears a number that no question has.
                let later = t + self.random.random_range(2000..28_000);
                let node = self.random.random_range(0..self.nodes.len());
                self.at(later, SimEvent::Heartbeat(node, id.clone(), body.clone(), 0));
            }
            self.keep_heartbeat_copy(&id, &body);
            self.schedule_soon(SimEvent::Heartbeat(target, id.clone(), body, seq));
        }
        self.at(t + 100, SimEvent::Worker(id));
    }

    pub fn report(id: &MachineId, worker: &Worker) -> Heartbeat {
        let tasks = worker.tasks.iter().map(|(task, running)| TaskStatus {
            task: task.clone(),
            attempt: running.attempt,
            state: running.state,
            exit_cause: running.why.clone(),
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

    pub fn on_heartbeat_response(&mut self, id: MachineId, seq: u64, response: Response) {
        let t = self.now_ms;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let Some((asked, agent_epoch, since)) = worker.asked else { return };
        if asked != seq || worker.gone {
            return;
        }
        if self.hung_zone == Some(worker.zone) && t < since + 4000 {
            return self.at(t + 200, SimEvent::HeartbeatResponse(id, seq, response));
        }
        worker.asked = None;
        if response.status != 200 {
            match wire::decode::<NotLeader>(&response.body) {
                Ok(to) if response.status == 421 => {
                    worker.target = to.leader[2..].parse().unwrap();
                    worker.next_report = t + 300;
                }
                _ => {
                    worker.target = (worker.target + 1) % self.nodes.len();
                    worker.next_report = t + 1000;
                }
            }
            return;
        }
        let orders: CommandBatch = wire::decode(&response.body).unwrap();
        if agent_epoch != worker.agent_epoch || orders.token < worker.token {
            return;
        }
        worker.changed |= orders.token > worker.token;
        worker.token = orders.token;
        worker.renewed = since;
        self.execute(&id, orders.commands);
    }

    pub fn direct(&mut self, node: usize, incarnation: u32, id: MachineId, direct: DirectCall) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let sent = match &direct {
            DirectCall::Do(orders) => Some(orders.clone()),
            DirectCall::Status => None,
        };
        let unknown = Event::WorkerResponse {
            machine: id.clone(),
            sent: sent.clone(),
            result: Err(CallError::Unknown),
        };
        if worker.gone || worker.up_at > self.now_ms {
            return self.at(self.now_ms + 3000, SimEvent::Controller(node, incarnation, unknown));
        }
        let zone = worker.zone;
        if self.deaf_zone == Some(zone) {
            return self.at(self.now_ms + 3000, SimEvent::Controller(node, incarnation, unknown));
        }
        if self.is_cut_off(node, zone) || self.hung_zone == Some(zone) {
            self.held.push(SimEvent::DirectCall(node, incarnation, id, direct));
            return self.at(self.now_ms + 3000, SimEvent::Controller(node, incarnation, unknown));
        }
        let held = self.targeted_faults.held_commands && self.random.random_range(0..3) == 0;
        if held && self.random.random() {
            // Held up on its way, and executed when nobody waits for the answer any more.
            if let Some(orders) = sent {
                let later = self.now_ms + self.random.random_range(1000..9000);
                self.at(later, SimEvent::DelayedCommands(id, orders));
            }
            return self.at(self.now_ms + 3000, SimEvent::Controller(node, incarnation, unknown));
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let valid = sent.as_ref().is_none_or(|orders| {
            orders.token >= worker.token && orders.agent_epoch == Some(worker.agent_epoch)
        });
        if let (Some(orders), true) = (&sent, valid) {
            worker.token = orders.token;
            self.execute(&id, orders.commands.clone());
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.seq += 1;
        let report = Self::report(&id, worker);
        if held {
            // It was carried out, and its answer is held up.
            return self.at(self.now_ms + 3000, SimEvent::Controller(node, incarnation, unknown));
        }
        self.schedule_soon(SimEvent::Controller(
            node,
            incarnation,
            Event::WorkerResponse { machine: id, sent, result: Ok(report) },
        ));
    }

    pub fn execute(&mut self, id: &MachineId, orders: Vec<WorkerCommand>) {
        for order in orders {
            match order {
                WorkerCommand::Start { task, attempt } => self.start(id, task, attempt),
                WorkerCommand::Stop { task, attempt, .. } => {
                    let worker = self.workers.get_mut(id).unwrap();
                    if let Some(running) = worker.tasks.get_mut(&task)
                        && running.attempt == attempt
                        && running.state != TaskState::Exited
                    {
                        running.state = TaskState::Exited;
                        running.why = Some("halted".into());
                        worker.changed = true;
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

    pub fn start(&mut self, id: &MachineId, task: TaskId, attempt: Attempt) {
        let number: u64 = task.job.as_str()[3..].parse().unwrap();
        let Some(job) = self.jobs.get(&number) else {
            return self.record_violation(format!("{task} is of no job"));
        };
        let (spec, always_fails) = (job.spec.clone(), job.always_fails);
        let late = job.cancellation_confirmed_ms.is_some_and(|at| self.now_ms > at + CANCEL_MS);
        let t = self.now_ms;
        let factor = if self.slow_machines { 3 } else { 1 };
        // What its owner takes to run for minutes outlasts any day.
        let long = self.long_tasks || spec.expect_s > 60.0;
        let run_ms = self.random.random_range(2000..9000) * factor;
        let worker = self.workers.get_mut(id).unwrap();
        if worker.tasks.get(&task).is_some_and(|r| r.attempt == attempt) {
            return;
        }
        if worker.tasks.get(&task).is_some_and(|r| r.state != TaskState::Exited) {
            return;
        }
        let warm = worker.images.contains(&spec.image);
        worker.images.push(spec.image.clone());
        let ready_at = if warm { t } else { t + 1500 };
        let done = self.finished.contains_key(&task);
        let ends_at = (spec.kind == JobKind::Array && !long).then_some(if done {
            ready_at
        } else {
            ready_at + run_ms
        });
        worker.tasks.insert(
            task.clone(),
            Running { attempt, state: TaskState::Fetching, why: None, ready_at, ends_at },
        );
        if always_fails {
            let running = worker.tasks.get_mut(&task).unwrap();
            (running.state, running.why) = (TaskState::Exited, Some("error".into()));
        }
        worker.changed = true;
        self.starts += 1;
        // The rules.
        for need in spec.depends_on.iter().flatten() {
            let tasks = self.jobs[&Self::number(need)].spec.tasks as u32;
            let done = |index| self.finished.contains_key(&TaskId { job: need.clone(), index });
            if !(0..tasks).all(done) {
                self.record_violation(format!("too_early: {task} before {need}"));
            }
        }
        let worker = self.workers.get_mut(id).unwrap();
        let (zone, spot) = (worker.zone, worker.spot);
        if late {
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
                let theirs = &self.jobs[&number].spec;
                cpus += if theirs.team == team { theirs.cpus } else { 0.0 };
                same_zone += u64::from(running.job == task.job && worker.zone == zone);
                if *running == task && other != id {
                    elsewhere.push(other.clone());
                }
            }
        }
        if !elsewhere.is_empty() {
            self.record_violation(format!("ran_twice: {task} on {id} and {elsewhere:?}"));
        }
        let most = TEAMS.iter().find(|(name, ..)| *name == team).map_or(0.0, |team| team.2);
        if cpus > most {
            self.record_violation(format!("quota: {team} uses {cpus} of {most}, by {task}"));
        }
        if spec.zone.as_ref().is_some_and(|bound| *bound != ZONES[zone]) {
            self.record_violation(format!("wrong_place: {task} in zone {}", ZONES[zone]));
        }
        if spec.spread && same_zone > spec.tasks.div_ceil(2) {
            self.record_violation(format!("wrong_place: {same_zone} of {} in a zone", spec.tasks));
        }
    }

    pub fn number(id: &JobId) -> u64 {
        id.as_str()[3..].parse().unwrap()
    }

    /// The job itself and all that it needs, directly or through others.
    pub fn before(&self, number: u64) -> Vec<u64> {
        let mut all = vec![number];
        let mut at = 0;
        while at < all.len() {
            let depends_on = self.jobs[&all[at]].spec.depends_on.iter().flatten();
            let new: Vec<u64> = depends_on.map(Self::number).filter(|n| !all.contains(n)).collect();
            all.extend(new);
            at += 1;
        }
        all
    }
}
