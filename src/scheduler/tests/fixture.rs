//! Fixture of the scheduler's unit tests: a leader without peers, with its store and cloud clients.

use crate::clock::WallClock;
use crate::cloud::CloudClient;
use crate::ids::{Attempt, ControllerId, FencingToken, JobId, MachineId, Revision, TaskId};
use crate::jobs;
use crate::scheduler::Scheduler;
use crate::settings::fixtures::machine_type;
use crate::store::{MachineRecord, StoreClient, Versioned};
use crate::wire::{Heartbeat, JobKind, JobSpec, TaskState, TaskStatus, WorkerCommand, Write};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A leader without peers whose clock the test advances.
pub(super) struct TestLeader {
    pub(super) scheduler: Scheduler,
    pub(super) store: StoreClient,
    pub(super) cloud: CloudClient,
    pub(super) now: Instant,
    /// Sequence number of the last heartbeat of any machine.
    pub(super) seq: u64,
    /// Notice that heartbeats report, in seconds.
    pub(super) notice_s: Option<f64>,
}

impl TestLeader {
    pub(super) fn new() -> TestLeader {
        let teams = r#"[{"name":"t","cpus":4000.0,"cpus_max":8000.0}]"#;
        let settings = Arc::new(crate::settings::fixtures::settings(teams));
        let now = Instant::now();
        let limits = settings.platform.params.state.effective();
        let mut store = StoreClient::new(limits, vec![ControllerId::new("n")], 1, now);
        store.cache.machine_types = Versioned::new(vec![machine_type()], Revision(1));
        let wall = WallClock { at: now, ms: 0 };
        let scheduler =
            Scheduler::new(FencingToken(1), Revision(2), settings, &store.cache, wall, now);
        let mut cloud = CloudClient::new(5.0, now);
        cloud.begin_leadership(FencingToken(1), now);
        TestLeader { scheduler, store, cloud, now, seq: 0, notice_s: None }
    }

    /// Adds an accepted job to the cache and to the scheduler.
    pub(super) fn job(&mut self, id: &str, kind: JobKind, tasks: u64) -> JobId {
        self.accept(JobSpec {
            kind,
            cpus: 4.0,
            ram_gb: 4.0,
            spot: kind == JobKind::Array,
            ..jobs::fixtures::job_spec(id, tasks)
        })
    }

    /// Adds an accepted job with this specification to the cache and to the scheduler.
    pub(super) fn accept(&mut self, spec: JobSpec) -> JobId {
        let id = spec.id.clone();
        let layout = self.store.layout();
        let jobs::Acceptance::JobRecord(transaction) =
            jobs::accept(&Arc::new(spec), 1, &layout, &self.store.cache.jobs)
        else {
            panic!()
        };
        let [Write::Put { data, .. }] = &transaction.writes[..] else { panic!() };
        self.store.cache.jobs.apply_record(id.clone(), data, Revision(5));
        self.scheduler.on_jobs(std::slice::from_ref(&id), &self.store.cache, self.now);
        id
    }

    /// Applies a heartbeat with these tasks, marks all machines as recorded and returns the answer's commands.
    pub(super) fn heartbeat(
        &mut self,
        machine: &str,
        tasks: Vec<TaskStatus>,
    ) -> Vec<WorkerCommand> {
        self.heartbeat_in("a", machine, tasks)
    }

    /// Does the same for a machine of this zone.
    pub(super) fn heartbeat_in(
        &mut self,
        zone: &str,
        machine: &str,
        tasks: Vec<TaskStatus>,
    ) -> Vec<WorkerCommand> {
        self.seq += 1;
        let heartbeat = Heartbeat {
            machine: MachineId::new(machine),
            address: "127.0.0.1:9000".into(),
            machine_type: "f".into(),
            zone: zone.into(),
            spot: false,
            agent_epoch: 1,
            seq: self.seq,
            token: FencingToken(1),
            notice_s: self.notice_s,
            tasks,
        };
        let answer = self.scheduler.on_heartbeat(&heartbeat, &self.store.cache, self.now).unwrap();
        for machine in self.scheduler.fleet.machines.values_mut() {
            machine.recorded = true;
        }
        answer.commands
    }

    /// Advances the clock by `time` and runs the scheduler once.
    pub(super) fn pass(&mut self, time: Duration) {
        self.now += time;
        self.scheduler.tick(&mut self.store, &mut self.cloud, self.now);
    }
}

/// Returns the statuses of the tasks that these commands start; exited ones were stopped on command.
pub(super) fn task_statuses(commands: &[WorkerCommand], state: TaskState) -> Vec<TaskStatus> {
    let status = |command: &WorkerCommand| match command {
        WorkerCommand::Start { task, attempt } => Some(TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state,
            exit_cause: (state == TaskState::Exited).then(|| "halted".into()),
            saved: None,
        }),
        _ => None,
    };
    commands.iter().filter_map(status).collect()
}

/// Returns the statuses of the tasks that these commands start, all of them failed.
pub(super) fn failed_statuses(commands: &[WorkerCommand]) -> Vec<TaskStatus> {
    let mut tasks = task_statuses(commands, TaskState::Exited);
    tasks.iter_mut().for_each(|task| task.exit_cause = Some("error".into()));
    tasks
}

/// Returns a new leader with a job of `tasks` tasks and two recorded machines that are unconfirmed.
pub(super) fn after_failover(tasks: u64) -> (TestLeader, JobId) {
    let mut leader = TestLeader::new();
    for name in ["i-1", "i-2"] {
        let record = MachineRecord {
            address: "127.0.0.1:9000".into(),
            machine_type: "f".into(),
            zone: "a".into(),
            spot: false,
        };
        leader
            .store
            .cache
            .machines
            .insert(MachineId::new(name), Versioned::new(record, Revision(3)));
    }
    let job = leader.job("wk-1", JobKind::Array, tasks);
    leader.begin_new_term();
    (leader, job)
}

impl TestLeader {
    /// Replaces the scheduler with that of a new term, created from the cache.
    pub(super) fn begin_new_term(&mut self) {
        let settings = self.scheduler.settings.clone();
        let wall = WallClock { at: self.now, ms: 1_000_000 };
        let cache = &self.store.cache;
        self.scheduler =
            Scheduler::new(FencingToken(1), Revision(2), settings, cache, wall, self.now);
    }
}

/// Returns the status of the job's task 0, running as this attempt.
pub(super) fn running_status(job: &JobId, attempt: u64) -> TaskStatus {
    TaskStatus {
        task: TaskId { job: job.clone(), index: 0 },
        attempt: Attempt(attempt),
        state: TaskState::Running,
        exit_cause: None,
        saved: None,
    }
}
