//! How long a planning pass takes at 1,400 machines with 100,000 tasks waiting.

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use troutspindle::clock::WallClock;
use troutspindle::cloud::{CloudClient, CloudEvent, MachinePool};
use troutspindle::ids::{ControllerId, FencingToken, JobId, MachineId, Revision};
use troutspindle::scheduler::Scheduler;
use troutspindle::settings::Settings;
use troutspindle::store::StoreClient;
use troutspindle::store::records::{self, Record};
use troutspindle::wire::{
    Heartbeat, JobKind, JobSpec, MachineType, Priority, TaskState, TaskStatus, WorkerCommand,
};
use troutspindle::workers::machine::MachineState;

const MACHINES: u64 = 1400;
const WAITING: u64 = 100_000;
const TEAMS: usize = 20;
/// Machines in each set-up that have no task yet.
const FREE: u64 = 100;

struct Leader {
    scheduler: Scheduler,
    state: StoreClient,
    cloud: CloudClient,
    now: Instant,
    rev: u64,
    jobs: u64,
}

impl Leader {
    /// All machines but a few are full.
    fn new() -> Leader {
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
        let settings = Arc::new(Settings::parse(&text, Some("floor: 0.7")).expect("settings"));
        let now = Instant::now();
        let limits = settings.platform.params.state.kept();
        let mut state = StoreClient::new(limits, vec![ControllerId::new("n")], 1, now);
        state.cache.flavors = (
            vec![MachineType {
                name: "f".into(),
                cpus: 16.0,
                gpus: 0.0,
                ram_gb: 64.0,
                cache_gb: 25.0,
                fetch_gb_per_s: 0.5,
                price: 0.9,
                spot_price: 0.3,
                boot_s: 15.0,
                zones: ["a", "b", "c"].map(String::from).to_vec(),
            }],
            Revision(1),
        );
        let wall = WallClock { at: now, ms: 0 };
        let scheduler =
            Scheduler::new(FencingToken(1), Revision(2), settings, &state.cache, wall, now);
        let mut cloud = CloudClient::new(5.0, now);
        cloud.lead(FencingToken(1), now);
        let mut leader = Leader { scheduler, state, cloud, now, rev: 10, jobs: 0 };
        let full = MACHINES - FREE;
        for n in 0..full {
            leader.report(n, 1, vec![]);
        }
        for n in 0..full / 20 {
            leader.job(n as usize % TEAMS, 80, |_| {});
        }
        leader.pass();
        for n in 0..full {
            let id = MachineId::new(&format!("i-{n:06}"));
            let running = leader
                .scheduler
                .fleet
                .machines
                .get_mut(&id)
                .map(|m| m.orders())
                .into_iter()
                .flatten();
            let show = |order: WorkerCommand| match order {
                WorkerCommand::Start { task, attempt } => Some(TaskStatus {
                    task,
                    attempt,
                    state: TaskState::Running,
                    why: None,
                    saved: None,
                }),
                _ => None,
            };
            let tasks = running.filter_map(show).collect();
            leader.report(n, 2, tasks);
        }
        for n in full..MACHINES {
            leader.report(n, 1, vec![]);
        }
        leader
    }

    fn job(&mut self, team: usize, tasks: u64, with: impl FnOnce(&mut JobSpec)) {
        self.jobs += 1;
        self.rev += 1;
        let id = JobId::new(&format!("wk-{:06}", self.jobs));
        let mut spec = JobSpec {
            id: id.clone(),
            class: format!("c{}", self.jobs % 3),
            team: format!("t{team}"),
            shape: JobKind::Array,
            urgency: Priority::High,
            tasks,
            cpus: 4.0,
            gpus: 0.0,
            ram_gb: 14.0,
            image: format!("img-{}", self.jobs % 12),
            image_gb: 1.5,
            flavors: None,
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
        with(&mut spec);
        let record = records::data(&Record::live(self.jobs, Some(Arc::new(spec))));
        self.state.cache.jobs.put_job(id.clone(), &record, Revision(self.rev));
        self.scheduler.on_jobs(&[id], &self.state.cache, self.now);
    }

    fn report(&mut self, n: u64, seq: u64, tasks: Vec<TaskStatus>) {
        let report = Heartbeat {
            machine: MachineId::new(&format!("i-{n:06}")),
            address: "127.0.0.1:9000".into(),
            flavor: "f".into(),
            zone: ["a", "b", "c"][n as usize % 3].into(),
            spot: n.is_multiple_of(3),
            agent_epoch: 1,
            seq,
            token: FencingToken(1),
            notice_s: None,
            tasks,
        };
        self.scheduler.on_report(&report, &self.state.cache, self.now);
        if let Some(machine) = self.scheduler.fleet.machines.get_mut(&report.machine) {
            machine.recorded = true;
            assert_eq!(machine.life, MachineState::Up);
        }
    }

    fn pass(&mut self) {
        self.now += Duration::from_millis(600);
        self.scheduler.tick(&mut self.state, &mut self.cloud, self.now);
    }
}

type Load = (&'static str, fn(&mut Leader));

fn planning(criterion: &mut Criterion) {
    let loads: [Load; 5] = [
        ("1,000 arrays and 1,000 services while room is scarce", |leader| {
            for zone in 0..3 {
                for spot in [true, false] {
                    let refused = CloudEvent::Refused(MachinePool { flavor: 0, zone, spot });
                    leader.scheduler.on_cloud(refused, &leader.state.cache, leader.now);
                }
            }
            let listed = CloudEvent::ListedMachine(Vec::new(), leader.now);
            leader.scheduler.on_cloud(listed, &leader.state.cache, leader.now);
            for n in 0..1000 {
                leader.job(n % TEAMS, 60, |_| {});
                leader.job(n % TEAMS, 9, |spec| {
                    spec.class = "service".into();
                    spec.shape = JobKind::Service;
                    spec.urgency = Priority::Production;
                    spec.spread = true;
                    spec.spot = false;
                });
            }
            (0..8).for_each(|_| leader.pass());
            assert!(leader.scheduler.starving(leader.now).scarce_for_s.is_some());
        }),
        ("one job of 100,000 tasks", |leader| leader.job(0, WAITING, |_| {})),
        ("1,000 jobs of 100 tasks", |leader| {
            (0..1000).for_each(|n| leader.job(n % TEAMS, WAITING / 1000, |_| {}));
        }),
        ("5,000 jobs of 20 tasks of a guest", |leader| {
            for _ in 0..5000 {
                leader.job(0, WAITING / 5000, |spec| {
                    spec.team = "guest".into();
                    spec.urgency = Priority::Low;
                    spec.cpus = 0.5;
                    spec.ram_gb = 1.0;
                });
            }
        }),
        ("6,250 services of 16 replicas", |leader| {
            for n in 0..6250 {
                leader.job(n % TEAMS, 16, |spec| {
                    spec.shape = JobKind::Service;
                    spec.urgency = Priority::Production;
                    spec.spread = true;
                    spec.spot = false;
                });
            }
        }),
    ];
    let mut group = criterion.benchmark_group("a pass at 1,400 machines");
    group.sample_size(10);
    for (name, load) in loads {
        let set_up = || {
            let mut leader = Leader::new();
            load(&mut leader);
            leader
        };
        // The first pass starts what fits; the others find that nothing has changed.
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
