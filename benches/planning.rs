//! Benchmark of a planning pass at 1,400 machines with 100,000 waiting tasks.

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use troutspindle::clock::WallClock;
use troutspindle::cloud::{CloudClient, CloudEvent, MachineListing, MachinePool};
use troutspindle::ids::{ControllerId, FencingToken, JobId, MachineId, Revision};
use troutspindle::scheduler::Scheduler;
use troutspindle::schema::encoding;
use troutspindle::schema::records::JobRecord;
use troutspindle::settings::Settings;
use troutspindle::store::{StoreClient, Versioned};
use troutspindle::wire::{
    Heartbeat, JobKind, JobSpec, MachineType, Priority, TaskState, TaskStatus, WorkerCommand,
};
use troutspindle::workers::machine::{LeaderTokens, MachineState};

/// Number of machines in the fleet.
const MACHINES: u64 = 1400;
/// Number of machines that run no task at first.
const IDLE_MACHINES: u64 = 100;
/// Number of waiting tasks in most scenarios.
const WAITING_TASKS: u64 = 100_000;
const TEAMS: usize = 20;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Time between two planning passes.
const PASS_INTERVAL: Duration = Duration::from_millis(600);
/// Number of passes after which the leader considers capacity scarce.
const PASSES_UNTIL_SCARCE: u32 = 8;

/// Leader of a fleet in which all but [`IDLE_MACHINES`] machines run tasks.
struct Leader {
    scheduler: Scheduler,
    state: StoreClient,
    cloud: CloudClient,
    now: Instant,
    revision: u64,
    jobs: u64,
}

fn settings() -> Arc<Settings> {
    let teams: Vec<String> = (0..TEAMS)
        .map(|n| format!(r#"{{"name":"t{n}","cpus":2000.0,"cpus_max":30000.0}}"#))
        .chain([r#"{"name":"guest"}"#.to_owned()])
        .collect();
    let text = format!(
        r#"{{"host_name":"n","location":"a","listen":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
        "others":[],"external":{{"cloud":"127.0.0.1:8","state":"127.0.0.1:9"}},
        "params":{{"zones":["a","b","c"],"teams":[{}],
        "workers":{{"report_s":6.0,"lease_s":31.0,"cancel_s":51.0}},
        "state":{{"rps":400.0,"write_rps":150.0,"value_kb":16.0,"txn_ops":48}},
        "cloud":{{"rps":5.0,"list_lag_s":6.0}},"resources":{{"max_sockets":3600}}}}}}"#,
        teams.join(",")
    );
    Arc::new(Settings::parse(&text, Some("floor: 0.7")).expect("settings"))
}

fn machine_type() -> MachineType {
    MachineType {
        name: "f".into(),
        cpus: 16.0,
        gpus: 0.0,
        ram_gb: 64.0,
        cache_gb: 25.0,
        fetch_gb_per_s: 0.5,
        price: 0.9,
        spot_price: 0.3,
        boot_s: 15.0,
        zones: ZONES.map(String::from).to_vec(),
    }
}

fn machine_id(n: u64) -> MachineId {
    MachineId::new(&format!("i-{n:06}"))
}

/// Returns the task status with which a worker acknowledges a start command.
fn running_status(command: WorkerCommand) -> Option<TaskStatus> {
    let WorkerCommand::Start { task, attempt } = command else { return None };
    Some(TaskStatus { task, attempt, state: TaskState::Running, exit_cause: None, saved: None })
}

impl Leader {
    /// Creates the leader, its machines and the tasks that run on them.
    fn new() -> Leader {
        let settings = settings();
        let now = Instant::now();
        let limits = settings.platform.params.state.effective();
        let mut state = StoreClient::new(limits, vec![ControllerId::new("n")], 1, now);
        state.cache.machine_types = Versioned::new(vec![machine_type()], Revision(1));
        let wall = WallClock { at: now, ms: 0 };
        let scheduler =
            Scheduler::new(FencingToken(1), Revision(2), settings, &state.cache, wall, now);
        let mut cloud = CloudClient::new(5.0, now);
        cloud.begin_leadership(FencingToken(1), now);
        let mut leader = Leader { scheduler, state, cloud, now, revision: 10, jobs: 0 };
        let busy = MACHINES - IDLE_MACHINES;
        for n in 0..busy {
            leader.send_heartbeat(n, 1, vec![]);
        }
        for n in 0..busy / 20 {
            leader.submit(n as usize % TEAMS, 80, |_| {});
        }
        leader.pass();
        for n in 0..busy {
            let tasks = leader.commands(n).into_iter().filter_map(running_status).collect();
            leader.send_heartbeat(n, 2, tasks);
        }
        for n in busy..MACHINES {
            leader.send_heartbeat(n, 1, vec![]);
        }
        leader
    }

    /// Takes the commands with which the leader answers a worker's heartbeat.
    fn commands(&mut self, n: u64) -> Vec<WorkerCommand> {
        let tokens = LeaderTokens { leader: self.scheduler.token(), may_raise: true };
        let machine = self.scheduler.fleet.machines.get_mut(&machine_id(n));
        machine.map(|machine| machine.answer(tokens).commands).unwrap_or_default()
    }

    /// Submits a job; `adapt` modifies the default specification, which is a small array.
    fn submit(&mut self, team: usize, tasks: u64, adapt: impl FnOnce(&mut JobSpec)) {
        self.jobs += 1;
        self.revision += 1;
        let id = JobId::new(&format!("wk-{:06}", self.jobs));
        let mut spec = JobSpec {
            id: id.clone(),
            class: format!("c{}", self.jobs % 3),
            team: format!("t{team}"),
            kind: JobKind::Array,
            priority: Priority::High,
            tasks,
            cpus: 4.0,
            gpus: 0.0,
            ram_gb: 14.0,
            image: format!("img-{}", self.jobs % 12),
            image_gb: 1.5,
            machine_types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            expect_s: 40.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            due_s: None,
            depends_on: None,
        };
        adapt(&mut spec);
        let record = encoding::to_value(&JobRecord::live(self.jobs, Some(Arc::new(spec))));
        self.state.cache.jobs.apply_record(id.clone(), &record, Revision(self.revision));
        self.scheduler.on_jobs(&[id], &self.state.cache, self.now);
    }

    /// Delivers a worker's heartbeat and marks the machine's record as committed.
    fn send_heartbeat(&mut self, n: u64, seq: u64, tasks: Vec<TaskStatus>) {
        let heartbeat = Heartbeat {
            machine: machine_id(n),
            address: "127.0.0.1:9000".into(),
            machine_type: "f".into(),
            zone: ZONES[n as usize % ZONES.len()].into(),
            spot: n.is_multiple_of(3),
            agent_epoch: 1,
            seq,
            token: FencingToken(1),
            notice_s: None,
            tasks,
        };
        self.scheduler.on_heartbeat(&heartbeat, &self.state.cache, self.now);
        if let Some(machine) = self.scheduler.fleet.machines.get_mut(&heartbeat.machine) {
            machine.recorded = true;
            assert_eq!(machine.state, MachineState::Up);
        }
    }

    /// Runs a planning pass.
    fn pass(&mut self) {
        self.now += PASS_INTERVAL;
        self.scheduler.tick(&mut self.state, &mut self.cloud, self.now);
    }
}

/// Set of jobs that wait when the pass is measured.
struct Scenario {
    name: &'static str,
    prepare: fn(&mut Leader),
}

const SCENARIOS: [Scenario; 5] = [
    Scenario {
        name: "1,000 arrays and 1,000 services while room is scarce",
        prepare: submit_beyond_capacity,
    },
    Scenario {
        name: "one job of 100,000 tasks",
        prepare: |leader| leader.submit(0, WAITING_TASKS, |_| {}),
    },
    Scenario { name: "1,000 jobs of 100 tasks", prepare: submit_arrays },
    Scenario { name: "5,000 jobs of 20 tasks of a guest", prepare: submit_guest_arrays },
    Scenario { name: "6,250 services of 16 replicas", prepare: submit_services },
];

fn make_service(spec: &mut JobSpec) {
    spec.kind = JobKind::Service;
    spec.priority = Priority::Production;
    spec.spread = true;
    spec.spot = false;
}

fn submit_arrays(leader: &mut Leader) {
    (0..1000).for_each(|n| leader.submit(n % TEAMS, WAITING_TASKS / 1000, |_| {}));
}

fn submit_guest_arrays(leader: &mut Leader) {
    for _ in 0..5000 {
        leader.submit(0, WAITING_TASKS / 5000, |spec| {
            spec.team = "guest".into();
            spec.priority = Priority::Low;
            spec.cpus = 0.5;
            spec.ram_gb = 1.0;
        });
    }
}

fn submit_services(leader: &mut Leader) {
    (0..6250).for_each(|n| leader.submit(n % TEAMS, 16, make_service));
}

/// Submits more than the fleet can run while the cloud has no capacity in any pool.
fn submit_beyond_capacity(leader: &mut Leader) {
    for zone in 0..ZONES.len() {
        for spot in [true, false] {
            let exhausted =
                CloudEvent::CapacityExhausted(MachinePool { machine_type: 0, zone, spot });
            leader.scheduler.on_cloud(exhausted, &leader.state.cache, leader.now);
        }
    }
    let listing = MachineListing { machines: Vec::new(), requested_at: leader.now };
    let listed = CloudEvent::Listed(listing);
    leader.scheduler.on_cloud(listed, &leader.state.cache, leader.now);
    for n in 0..1000 {
        leader.submit(n % TEAMS, 60, |_| {});
        leader.submit(n % TEAMS, 9, |spec| {
            spec.class = "service".into();
            make_service(spec);
        });
    }
    (0..PASSES_UNTIL_SCARCE).for_each(|_| leader.pass());
    assert!(leader.scheduler.fair_share_report(leader.now).scarce_for_s.is_some());
}

fn planning(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a pass at 1,400 machines");
    group.sample_size(10);
    for Scenario { name, prepare } in SCENARIOS {
        let set_up = || {
            let mut leader = Leader::new();
            prepare(&mut leader);
            leader
        };
        // The first pass starts the tasks that fit; the following passes find nothing to start.
        group.bench_function(format!("{name}, first"), |bench| {
            bench.iter_batched_ref(set_up, Leader::pass, BatchSize::PerIteration);
        });
        group.bench_function(format!("{name}, next"), |bench| {
            let set_up = || {
                let mut leader = set_up();
                leader.pass();
                leader
            };
            bench.iter_batched_ref(set_up, Leader::pass, BatchSize::PerIteration);
        });
    }
    group.finish();
}

criterion_group!(benches, planning);
criterion_main!(benches);
