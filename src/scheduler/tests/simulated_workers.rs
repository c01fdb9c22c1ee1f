//! Workers that carry out a leader's commands in simulated time, for tests of liveness.

use super::fixture::TestLeader;
use crate::cloud::{CloudEvent, MachinePool};
use crate::drains::DrainRecord;
use crate::ids::{JobId, MachineId, Revision, TaskId};
use crate::schema::keys::drain_key;
use crate::store::Versioned;
use crate::wire::{TaskState, TaskStatus, WorkerCommand};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use troutspindle_protocol::operator_api::DrainKind;

/// Time between two steps; each worker sends one heartbeat per step.
pub(super) const STEP: Duration = Duration::from_millis(500);
/// Run time after which a task fails that is to fail.
const FAILS_AFTER: Duration = STEP;

/// Time within which a task has to start beside free capacity once the trouble is over.
pub(super) const MAX_WAIT: Duration = Duration::from_secs(90);

/// A worker and the tasks that it has.
struct Worker {
    name: &'static str,
    zone: &'static str,
    tasks: Vec<(TaskStatus, Instant)>,
}

/// A leader with workers. Tasks of jobs in `run_times` complete after that time; all others run on.
pub(super) struct SimulatedCluster {
    pub(super) leader: TestLeader,
    workers: Vec<Worker>,
    pub(super) run_times: BTreeMap<JobId, Duration>,
    /// Number of attempts at each task that are still to fail.
    pub(super) failures_left: BTreeMap<TaskId, u32>,
    /// Workers on which each task of the jobs in `run_times` fails.
    pub(super) faulty: BTreeSet<&'static str>,
    /// Seconds until the cloud reclaims the machines, as all workers report.
    pub(super) notice_s: Option<f64>,
    /// Jobs of which all tasks exit once one has failed.
    pub(super) gangs: BTreeSet<JobId>,
    /// Tasks that have completed.
    pub(super) completed: BTreeSet<TaskId>,
    /// Time of the last failure.
    pub(super) last_failure: Instant,
    /// Starts of each task.
    pub(super) starts: BTreeMap<TaskId, u32>,
}

impl SimulatedCluster {
    pub(super) fn new() -> SimulatedCluster {
        let leader = TestLeader::new();
        let last_failure = leader.now;
        SimulatedCluster {
            leader,
            workers: Vec::new(),
            run_times: BTreeMap::new(),
            failures_left: BTreeMap::new(),
            faulty: BTreeSet::new(),
            notice_s: None,
            gangs: BTreeSet::new(),
            completed: BTreeSet::new(),
            last_failure,
            starts: BTreeMap::new(),
        }
    }

    /// Returns a cluster with a worker of each zone and name, and no machine to rent.
    pub(super) fn of(workers: &[(&'static str, &'static str)]) -> SimulatedCluster {
        let mut cluster = SimulatedCluster::new();
        workers.iter().for_each(|(zone, name)| cluster.add_worker(zone, name));
        cluster.forbid_rentals();
        cluster
    }

    pub(super) fn add_worker(&mut self, zone: &'static str, name: &'static str) {
        self.workers.push(Worker { name, zone, tasks: Vec::new() });
    }

    /// Rents no machine for tasks that are still to arrive.
    pub(super) fn keep_no_warm_capacity(&mut self) {
        let settings = Arc::make_mut(&mut self.leader.scheduler.settings);
        (settings.operator.warm_per_zone, settings.operator.warm_share) = (0.0, 0.0);
    }

    /// Returns all workers' machines to the cloud.
    pub(super) fn return_workers(&mut self) {
        let machines = self.workers.drain(..).map(|worker| MachineId::new(worker.name)).collect();
        let event = CloudEvent::MachinesReturned(machines);
        self.leader.scheduler.on_cloud(event, &self.leader.store.cache, self.leader.now);
    }

    /// Has an operator drain a machine.
    pub(super) fn drain_machine(&mut self, name: &str) {
        let record = DrainRecord {
            kind: DrainKind::Machine,
            name: name.into(),
            by_ms: None,
            at_ms: 0,
            author: String::new(),
            reason: String::new(),
        };
        let drains = &mut self.leader.store.cache.drains;
        drains.insert(drain_key(record.kind, name), Versioned::new(record, Revision(9)));
    }

    /// Returns the number of machines that are requested from the cloud.
    pub(super) fn requested_machines(&self) -> u32 {
        self.leader.cloud.pending_rentals().iter().map(|rental| rental.count).sum()
    }

    /// Returns whether the leader has found a machine faulty.
    pub(super) fn is_found_faulty(&self, name: &str) -> bool {
        self.leader.scheduler.fleet.machines[&MachineId::new(name)].faulty
    }

    /// Returns the number of tasks that run on a worker.
    pub(super) fn running_on(&self, name: &str) -> usize {
        let workers = self.workers.iter().filter(|worker| worker.name == name);
        let tasks = workers.flat_map(|worker| &worker.tasks);
        tasks.filter(|(status, _)| status.state == TaskState::Running).count()
    }

    /// Has the cloud refuse machines for now, spot ones for `true` and ordinary ones for `false`.
    pub(super) fn refuse_rentals(&mut self, spot: &[bool]) {
        for zone in 0..self.leader.scheduler.fleet.zone_count() {
            for &spot in spot {
                let pool = MachinePool { machine_type: 0, zone, spot };
                let event = CloudEvent::CapacityExhausted(pool);
                self.leader.scheduler.on_cloud(event, &self.leader.store.cache, self.leader.now);
            }
        }
    }

    /// Allows no machine beside the workers' ones.
    pub(super) fn forbid_rentals(&mut self) {
        self.leader.scheduler.autoscaler.max_machines = self.workers.len() as u32;
    }

    pub(super) fn run_for(&mut self, time: Duration) {
        let end = self.leader.now + time;
        while self.leader.now < end {
            self.step();
        }
    }

    /// Advances all workers and the leader by [`STEP`].
    pub(super) fn step(&mut self) {
        self.leader.pass(STEP);
        (0..self.workers.len()).for_each(|n| self.advance_tasks(n));
        self.end_incomplete_gangs();
        for n in 0..self.workers.len() {
            let statuses = self.workers[n].tasks.iter().map(|(status, _)| status.clone());
            let statuses = statuses.collect();
            let Worker { name, zone, .. } = self.workers[n];
            self.leader.notice_s = self.notice_s;
            let commands = self.leader.heartbeat_in(zone, name, statuses);
            commands.iter().for_each(|command| self.execute(n, command));
        }
    }

    /// Returns whether each of the job's tasks runs or has completed.
    pub(super) fn is_served(&self, job: &JobId, tasks: u32) -> bool {
        (0..tasks).all(|index| {
            let task = TaskId { job: job.clone(), index };
            self.completed.contains(&task) || self.is_running(&task)
        })
    }

    fn is_running(&self, task: &TaskId) -> bool {
        let mut tasks = self.workers.iter().flat_map(|worker| &worker.tasks);
        tasks.any(|(status, _)| status.task == *task && status.state == TaskState::Running)
    }

    fn advance_tasks(&mut self, n: usize) {
        let now = self.leader.now;
        let is_faulty = self.faulty.contains(self.workers[n].name);
        for (status, started_at) in &mut self.workers[n].tasks {
            if status.state != TaskState::Running {
                continue;
            }
            let ran = now.duration_since(*started_at);
            let failures = self.failures_left.entry(status.task.clone()).or_default();
            let fails = *failures > 0 || is_faulty && self.run_times.contains_key(&status.task.job);
            if fails && ran >= FAILS_AFTER {
                *failures = failures.saturating_sub(1);
                self.last_failure = now;
                (status.state, status.exit_cause) = (TaskState::Exited, Some("error".into()));
            } else if self.run_times.get(&status.task.job).is_some_and(|time| ran >= *time) {
                self.completed.insert(status.task.clone());
                (status.state, status.exit_cause) = (TaskState::Exited, Some("done".into()));
            }
        }
    }

    fn end_incomplete_gangs(&mut self) {
        let statuses = || self.workers.iter().flat_map(|worker| &worker.tasks);
        let is_failed = |status: &TaskStatus| status.exit_cause.as_deref() == Some("error");
        let failed = statuses().filter(|(status, _)| is_failed(status));
        let failed = failed.map(|(status, _)| (status.task.job.clone(), status.attempt));
        let failed: BTreeSet<_> = failed.filter(|(job, _)| self.gangs.contains(job)).collect();
        let tasks = self.workers.iter_mut().flat_map(|worker| &mut worker.tasks);
        for (status, _) in tasks.filter(|(status, _)| status.state == TaskState::Running) {
            if failed.contains(&(status.task.job.clone(), status.attempt)) {
                (status.state, status.exit_cause) = (TaskState::Exited, Some("peers".into()));
            }
        }
    }

    fn execute(&mut self, n: usize, command: &WorkerCommand) {
        let now = self.leader.now;
        let tasks = &mut self.workers[n].tasks;
        match command {
            WorkerCommand::Start { task, attempt } => {
                if tasks.iter().any(|(known, _)| (&known.task, &known.attempt) == (task, attempt)) {
                    return;
                }
                *self.starts.entry(task.clone()).or_default() += 1;
                let status = TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    state: TaskState::Running,
                    exit_cause: None,
                    saved: None,
                };
                tasks.push((status, now));
            }
            WorkerCommand::Stop { task, attempt, .. } => {
                let is_meant = |status: &TaskStatus| {
                    (&status.task, &status.attempt) == (task, attempt)
                        && status.state == TaskState::Running
                };
                for (status, _) in tasks.iter_mut().filter(|(status, _)| is_meant(status)) {
                    (status.state, status.exit_cause) = (TaskState::Exited, Some("halted".into()));
                }
            }
            WorkerCommand::Forget { task, attempt } => {
                tasks.retain(|(status, _)| (&status.task, &status.attempt) != (task, attempt));
            }
        }
    }
}
