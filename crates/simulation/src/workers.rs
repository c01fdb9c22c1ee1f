//! Simulated workers: leases, heartbeats and the progress of tasks.

use crate::config::{CANCEL_MS, HEARTBEAT_MS, LEASE_MS, ZONES};
use crate::event::SimEvent;
use crate::model::{RunningTask, Worker};
use crate::world::World;
use rand::Rng;
use troutspindle::http::Response;
use troutspindle::ids::{JobId, MachineId, TaskId};
use troutspindle::wire;
use troutspindle::wire::{CommandBatch, Heartbeat, NotLeader, TaskState, TaskStatus};

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
