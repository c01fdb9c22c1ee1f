use crate::admission::MACHINE_BYTES;
use crate::clock::WallClock;
use crate::cloud::{CloudClient, CloudEvent, MachinePool};
use crate::controller::TICK_MOST;
use crate::ids::{Amount, Attempt, ControllerId, FencingToken, JobId, MachineId, Revision, TaskId};
use crate::jobs;
use crate::jobs::{Job, JobBody};
use crate::scheduler::Scheduler;
use crate::scheduler::autoscaling::CapacityBackoff;
use crate::scheduler::autoscaling::{
    BOOT_TIMEOUT_FACTOR, BOOT_TIMEOUT_MARGIN, PROBE_REQUEST, RENTAL_SETTLE_TIME,
};
use crate::scheduler::direct_calls::OutgoingCall;
use crate::scheduler::fair_share::FairShare;
use crate::scheduler::planning_clock::{LATE, PACE_EVERY, PLAN_EVERY};
use crate::scheduler::preemption::MISSING_IMAGE_COST_S;
use crate::scheduler::reconciliation::SUCCESS_AFTER_RUNNING;
use crate::schema::{encoding, records};
use crate::settings::Settings;
use crate::settings::plain_flavor as flavor;
use crate::store::Versioned;
use crate::store::{MachineRecord, StoreClient, WriteOrigin, WriteOutcome, WritePriority};
use crate::wire::{Heartbeat, JobKind, Priority, StoreValue, TaskState, WorkerCommand, Write};
use crate::wire::{JobSpec, TaskStatus};
use crate::workers::command_delivery::DirectCall;
use crate::workers::machine::{JOB_FINISHED, Machine, MachineState, StopRequest};
use foldhash::{HashMap, HashMapExt};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use troutspindle_protocol::operator_api::FairShareReport;

/// A leader without peers, and the cores that it works with.
struct Bench {
    scheduler: Scheduler,
    state: StoreClient,
    cloud: CloudClient,
    now: Instant,
    seq: u64,
}

impl Bench {
    fn new() -> Bench {
        let teams = r#"[{"name":"t","cpus":4000.0,"cpus_max":8000.0}]"#;
        let settings = Arc::new(crate::settings::plain(teams));
        let now = Instant::now();
        let limits = settings.platform.params.state.kept();
        let mut state = StoreClient::new(limits, vec![ControllerId::new("n")], 1, now);
        state.cache.machine_types = Versioned::new(vec![flavor()], Revision(1));
        let wall = WallClock { at: now, ms: 0 };
        let scheduler =
            Scheduler::new(FencingToken(1), Revision(2), settings, &state.cache, wall, now);
        let mut cloud = CloudClient::new(5.0, now);
        cloud.begin_leadership(FencingToken(1), now);
        Bench { scheduler, state, cloud, now, seq: 0 }
    }

    fn job(&mut self, id: &str, shape: JobKind, tasks: u64) -> JobId {
        let spec = JobSpec {
            shape,
            cpus: 4.0,
            ram_gb: 4.0,
            spot: shape == JobKind::Array,
            ..jobs::fixtures::job_spec(id, tasks)
        };
        let layout = self.state.layout();
        let jobs::Acceptance::JobRecord(transaction) =
            jobs::accept(&Arc::new(spec), 1, &layout, &self.state.cache.jobs)
        else {
            panic!()
        };
        let [Write::Put { data, .. }] = &transaction.writes[..] else { panic!() };
        self.state.cache.jobs.apply_record(JobId::new(id), data, Revision(5));
        self.scheduler.on_jobs(&[JobId::new(id)], &self.state.cache, self.now);
        JobId::new(id)
    }

    /// A report of the machine with these tasks; gives the answer's orders.
    fn report(&mut self, machine: &str, tasks: Vec<TaskStatus>) -> Vec<WorkerCommand> {
        self.seq += 1;
        let report = Heartbeat {
            machine: MachineId::new(machine),
            address: "127.0.0.1:9000".into(),
            flavor: "f".into(),
            zone: "a".into(),
            spot: false,
            agent_epoch: 1,
            seq: self.seq,
            token: FencingToken(1),
            notice_s: None,
            tasks,
        };
        let orders = self.scheduler.on_report(&report, &self.state.cache, self.now).unwrap();
        for machine in self.scheduler.fleet.machines.values_mut() {
            machine.recorded = true;
        }
        orders.orders
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.scheduler.tick(&mut self.state, &mut self.cloud, self.now);
    }
}

/// What the worker shows of tasks that it was told to start.
fn shown(orders: &[WorkerCommand], state: TaskState) -> Vec<TaskStatus> {
    let show = |order: &WorkerCommand| match order {
        WorkerCommand::Start { task, attempt } => Some(TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state,
            why: (state == TaskState::Exited).then(|| "halted".into()),
            saved: None,
        }),
        _ => None,
    };
    orders.iter().filter_map(show).collect()
}

/// An image at hand is no reason to throw minutes of work away: an array once lost 242 s.
#[test]
fn what_loses_little_is_stopped_even_where_the_image_is_missing() {
    let mut bench = Bench::new();
    let fill = |bench: &mut Bench, machine: &str, id: &str, image: &str| {
        bench.report(machine, vec![]);
        bench.job(id, JobKind::Array, 4);
        bench.pass(PLAN_EVERY * 5);
        let orders = bench.report(machine, vec![]);
        let shown = shown(&orders, TaskState::Running);
        assert_eq!(shown.len(), 4);
        bench.report(machine, shown.clone());
        let known = bench.scheduler.fleet.machines.get_mut(&MachineId::new(machine)).unwrap();
        known.images = vec![Arc::from(image)];
        known.image_ids = Default::default();
        shown
    };
    let first = fill(&mut bench, "i-1", "wk-1", "i");
    let long = Duration::from_secs_f64(MISSING_IMAGE_COST_S * 2.0);
    for entry in bench.scheduler.fleet.machines.values_mut().flat_map(|m| m.attempts.values_mut()) {
        entry.running_since = bench.now.checked_sub(long);
    }
    fill(&mut bench, "i-2", "wk-2", "other");
    bench.report("i-1", first);
    let id = bench.job("wk-3", JobKind::Service, 1);
    let Some(job) = bench.state.cache.jobs.all.get_mut(&id) else { panic!() };
    let JobBody::Live(live) = &mut job.body else { panic!() };
    Arc::make_mut(&mut live.spec).urgency = Priority::Production;
    bench.pass(PLAN_EVERY * 5);
    let stopped = |machine: &Machine| machine.attempts.values().any(|e| e.stop.is_some());
    let stopped: Vec<_> = bench.scheduler.fleet.machines.values().map(stopped).collect();
    assert_eq!(stopped, [false, true]);
}

/// The end of a task of a job that is known to be cancelled only by word of mouth must not
/// make the job new work: its other tasks, silent behind a cut, would be started twice.
#[test]
fn a_job_told_to_be_cancelled_is_never_started_again() {
    let mut bench = Bench::new();
    let id = bench.job("wk-1", JobKind::Service, 4);
    bench.report("i-1", vec![]);
    bench.pass(PLAN_EVERY * 5);
    let orders = bench.report("i-1", vec![]);
    assert_eq!(shown(&orders, TaskState::Running).len(), 4);
    bench.report("i-1", shown(&orders, TaskState::Running));
    bench.scheduler.on_told_cancelled(std::slice::from_ref(&id), &bench.state.cache);
    bench.report("i-1", shown(&orders, TaskState::Exited));
    bench.scheduler.on_jobs(&[id], &bench.state.cache, bench.now);
    for _ in 0..20 {
        bench.pass(PLAN_EVERY);
    }
    assert_eq!(bench.scheduler.statistics.starts, 4);
}

/// What the worker shows of tasks that it was told to start and that all failed.
fn failed(orders: &[WorkerCommand]) -> Vec<TaskStatus> {
    let mut tasks = shown(orders, TaskState::Exited);
    tasks.iter_mut().for_each(|task| task.why = Some("error".into()));
    tasks
}

/// Jobs submitted with a mistake once cost 247 good machines their place, and were tried 2,354
/// times on them.
#[test]
fn mistaken_jobs_cost_no_machine_its_place_and_are_tried_seldom() {
    let mut bench = Bench::new();
    let machines = ["i-1", "i-2", "i-3", "i-4"];
    machines.iter().for_each(|machine| drop(bench.report(machine, vec![])));
    for id in ["wk-1", "wk-2", "wk-3"] {
        bench.job(id, JobKind::Array, 16);
    }
    for _ in 0..400 {
        bench.pass(PLAN_EVERY);
        for machine in machines {
            let orders = bench.report(machine, vec![]);
            bench.report(machine, failed(&orders));
        }
    }
    assert!(bench.scheduler.fleet.machines.values().all(|m| !m.faulty));
    assert!(
        (48..80).contains(&bench.scheduler.statistics.starts),
        "{}",
        bench.scheduler.statistics.starts
    );
    // One that does well after all goes on with all its tasks at once.
    let before = bench.scheduler.statistics.starts;
    let mut running = Vec::new();
    while running.is_empty() {
        bench.pass(PLAN_EVERY);
        running = shown(&bench.report("i-1", vec![]), TaskState::Running);
    }
    bench.report("i-1", running.clone());
    bench.pass(SUCCESS_AFTER_RUNNING + PLAN_EVERY);
    bench.report("i-1", running);
    for _ in 0..10 {
        machines[1..].iter().for_each(|machine| drop(bench.report(machine, vec![])));
        bench.pass(PLAN_EVERY);
    }
    assert!(
        bench.scheduler.statistics.starts >= before + 15,
        "{} {before}",
        bench.scheduler.statistics.starts
    );
}

/// While mistaken jobs are about, a faulty machine is still found: by what does well elsewhere.
#[test]
fn a_faulty_machine_is_found_by_jobs_that_do_well_elsewhere() {
    let mut bench = Bench::new();
    for (id, tasks) in [("wk-1", 8), ("wk-2", 24), ("wk-3", 8)] {
        bench.job(id, JobKind::Array, tasks);
    }
    let is_job_faulty = |task: &TaskStatus| task.task.job == JobId::new("wk-3");
    let mut held: BTreeMap<&str, Vec<TaskStatus>> = BTreeMap::new();
    for step in 0..200 {
        bench.pass(PLAN_EVERY);
        for machine in ["i-1", "i-2", "i-3", "i-4"] {
            let tasks = held.remove(machine).unwrap_or_default();
            let orders = bench.report(machine, tasks.clone());
            let mut tasks = [tasks, shown(&orders, TaskState::Running)].concat();
            tasks.retain(|task| task.state == TaskState::Running);
            for task in tasks.iter_mut().filter(|task| machine == "i-1" || is_job_faulty(task)) {
                (task.state, task.why) = (TaskState::Exited, Some("error".into()));
            }
            held.insert(machine, tasks);
        }
        if step == 50 {
            assert!(bench.scheduler.fleet.machines.values().all(|m| !m.faulty));
        }
    }
    let faulty: Vec<bool> = bench.scheduler.fleet.machines.values().map(|m| m.faulty).collect();
    assert_eq!(faulty, [true, false, false, false]);
}

/// Where new machines come late all together, giving them back only begins the wait anew; one
/// that others have overtaken is given up in time.
#[test]
fn machines_that_come_late_together_are_waited_for() {
    let mut bench = Bench::new();
    bench.report("i-0", vec![]);
    bench.job("wk-1", JobKind::Array, 4);
    let names: Vec<String> = (1..6).map(|n| format!("i-{n}")).collect();
    let rented = names.iter().map(|name| MachineId::new(name)).collect();
    let kind = MachinePool { flavor: 0, zone: 1, spot: true };
    bench.pass(PLAN_EVERY);
    let hired = CloudEvent::MachinesRented(kind, rented);
    bench.scheduler.on_cloud(hired, &bench.state.cache, bench.now);
    let booting = |bench: &Bench| {
        bench.scheduler.fleet.machines.values().filter(|m| m.state == MachineState::Booting).count()
    };
    let patience =
        Duration::from_secs_f64(flavor().boot_s * BOOT_TIMEOUT_FACTOR) + BOOT_TIMEOUT_MARGIN;
    bench.pass(patience / 2);
    let flavor = flavor();
    let overdue = |bench: &Bench| {
        let survey = bench.scheduler.fleet_summary(bench.now);
        let overdue = bench.scheduler.overdue(&survey, bench.now);
        bench
            .scheduler
            .fleet
            .machines
            .values()
            .filter(|m| m.up_since.is_none() && overdue(m, &flavor))
            .count()
    };
    assert_eq!(overdue(&bench), 0);
    bench.pass(patience / 2 + PLAN_EVERY);
    assert_eq!(booting(&bench), 5);
    // One that was rented later is up.
    bench.report("i-9", vec![]);
    assert_eq!(overdue(&bench), 5);
    bench.pass(PLAN_EVERY * 2);
    assert_eq!(booting(&bench), 0);
}

/// The thousands of small tasks of a guest's array must not cost the others their leader.
#[test]
fn starts_of_least_urgent_tasks_slow_down_where_the_leader_falls_behind() {
    let started = |late: Duration| {
        let mut bench = Bench::new();
        for n in 0..100 {
            bench.report(&format!("i-{n}"), vec![]);
        }
        let id = bench.job("wk-1", JobKind::Array, 400);
        let Some(job) = bench.state.cache.jobs.all.get_mut(&id) else { panic!() };
        let JobBody::Live(live) = &mut job.body else { panic!() };
        Arc::make_mut(&mut live.spec).urgency = Priority::Low;
        for _ in 0..20 {
            bench.scheduler.adjust_pace(late, bench.now);
            bench.pass(PACE_EVERY);
        }
        bench.scheduler.statistics.starts
    };
    assert_eq!(started(Duration::ZERO), 400);
    let slow = started(LATE * 2);
    assert!((50..200).contains(&slow), "{slow}");
}

/// A machine with replicas that answers nobody is given back long before its lease is over, if the
/// way to its zone was open when it was asked; what was asked during a cut proves nothing.
#[test]
fn a_machine_that_answers_nobody_is_given_back_only_if_others_are_heard() {
    for open in [true, false] {
        let mut bench = Bench::new();
        let mut settings = Settings::clone(&bench.scheduler.settings);
        settings.platform.params.workers.lease_s = 60.0;
        bench.scheduler.settings = Arc::new(settings);
        let machines = ["i-1", "i-2", "i-3"];
        machines.iter().for_each(|machine| drop(bench.report(machine, vec![])));
        bench.job("wk-1", JobKind::Service, 1);
        bench.pass(PLAN_EVERY * 5);
        let orders = bench.report("i-1", vec![]);
        let running = shown(&orders, TaskState::Running);
        assert_eq!(running.len(), 1);
        bench.report("i-1", running);
        let late = bench.scheduler.late_after();
        let until = bench.now + late * 3;
        while bench.now < until {
            // Behind a cut nobody is heard, until it ends.
            if open || bench.now + TICK_MOST * 2 >= until {
                machines[1..].iter().for_each(|machine| drop(bench.report(machine, vec![])));
            }
            bench.pass(TICK_MOST);
            for OutgoingCall { machine: id, call: direct, .. } in
                bench.scheduler.take_direct_calls()
            {
                let sent = match direct {
                    DirectCall::Do(orders) => Some(orders),
                    DirectCall::Status => None,
                };
                let gave_up = Err(crate::http::CallError::Unknown);
                let (cache, now) = (&bench.state.cache, bench.now);
                bench.scheduler.on_direct(&id, sent.as_ref(), gave_up, cache, now);
            }
        }
        let life = bench.scheduler.fleet.machines[&MachineId::new("i-1")].state;
        assert_eq!(life == MachineState::Returning, open);
    }
}

/// A trial of one task would leave a gang's other tasks out.
#[test]
fn a_gang_that_fails_everywhere_is_tried_as_a_whole() {
    let mut bench = Bench::new();
    bench.job("wk-1", JobKind::Gang, 6);
    for step in 0..300 {
        bench.pass(PLAN_EVERY);
        for machine in ["i-1", "i-2", "i-3", "i-4"] {
            let orders = bench.report(machine, vec![]);
            bench.report(machine, failed(&orders));
        }
        assert_eq!(bench.scheduler.statistics.starts % 6, 0, "step {step}");
    }
    let evidence = &bench.scheduler.jobs.progress[&JobId::new("wk-1")].failures;
    assert!(
        evidence.is_job_faulty() && bench.scheduler.statistics.starts >= 18,
        "{}",
        bench.scheduler.statistics.starts
    );
}

/// A leader that learns run times.
fn learning_bench() -> Bench {
    let mut bench = Bench::new();
    let settings = Arc::make_mut(&mut bench.scheduler.settings);
    settings.operator.estimates.learn = true;
    bench
}

/// An array of four tasks that are started and run for so long; what the worker shows in the end.
fn run_array(bench: &mut Bench, id: &str, run_s: u64) -> Vec<TaskStatus> {
    bench.report("i-1", vec![]);
    bench.job(id, JobKind::Array, 4);
    bench.pass(PLAN_EVERY * 5);
    let orders = bench.report("i-1", vec![]);
    assert_eq!(shown(&orders, TaskState::Fetching).len(), 4);
    bench.report("i-1", shown(&orders, TaskState::Fetching));
    bench.now += Duration::from_secs(7);
    bench.report("i-1", shown(&orders, TaskState::Running));
    bench.now += Duration::from_secs(run_s);
    let mut ended = shown(&orders, TaskState::Exited);
    ended.iter_mut().for_each(|task| task.why = Some("done".into()));
    ended
}

fn over(bench: &mut Bench, id: &str) {
    let done = records::JobRecord {
        phase: records::JobPhase::Done,
        completed_count: 4,
        ..records::JobRecord::live(1, None)
    };
    let rev = Revision(bench.state.cache.rev.0.max(10) + 1);
    bench.state.cache.jobs.apply_record(JobId::new(id), &encoding::to_value(&done), rev);
    bench.scheduler.on_jobs(&[JobId::new(id)], &bench.state.cache, bench.now);
}

/// What the store would hold after all writes that are due were done.
fn write_estimates(bench: &mut Bench) -> usize {
    let mut written = 0;
    for n in 0..40 {
        bench.now += Duration::from_millis(300);
        bench.scheduler.store_estimates(&mut bench.state, bench.now);
        for item in bench.state.take_queued_writes() {
            let (WriteOrigin::RuntimeEstimates(bucket), [Write::Put { data, .. }]) =
                (&item.origin, &item.transaction.writes[..])
            else {
                continue;
            };
            assert_eq!(item.priority, WritePriority::Background);
            let text = data.as_text().map(str::to_owned);
            bench.state.cache.estimates.insert(*bucket, Versioned::new(text, Revision(100 + n)));
            bench.scheduler.on_outcome(&item.origin, WriteOutcome::Committed, &mut bench.state);
            written += 1;
        }
    }
    written
}

fn estimated(bench: &mut Bench, id: &str) -> Option<f64> {
    let id = bench.job(id, JobKind::Array, 4);
    let live = bench.state.cache.jobs.get(&id).and_then(Job::live).unwrap();
    let spec = &live.spec;
    let profile = troutspindle_runtime_estimates::Profile {
        job: "x",
        class: &spec.class,
        team: &spec.team,
        image: &spec.image,
        size: [live.need.cpu, live.need.gpu, live.need.ram],
        expect_s: 0.0,
        tasks: 4,
    };
    bench.scheduler.estimate_of(&profile).map(|estimate| estimate.p50_s)
}

#[test]
fn a_successor_knows_what_was_learned_without_the_fetch_and_damage_costs_only_that() {
    let mut bench = learning_bench();
    let ended = run_array(&mut bench, "wk-1", 30);
    // Shown twice, counted once.
    bench.report("i-1", ended.clone());
    bench.report("i-1", ended);
    over(&mut bench, "wk-1");
    let known = estimated(&mut bench, "wk-2").unwrap();
    assert!((known - 30.0).abs() < 2.5, "{known}");
    // Exact, team, class and owner, in as many values at the most.
    assert!((1..=4).contains(&write_estimates(&mut bench)));
    assert_eq!(write_estimates(&mut bench), 0, "nothing new, nothing written");
    let mut next = learning_bench();
    next.state.cache.estimates = bench.state.cache.estimates.clone();
    next.scheduler.store_estimates(&mut next.state, next.now);
    assert!((estimated(&mut next, "wk-2").unwrap() - known).abs() < 0.5);
    let mut damaged = learning_bench();
    for (bucket, known) in &bench.state.cache.estimates {
        let text = known.value.as_ref().map(|text| text[..text.len() / 2].to_owned());
        damaged.state.cache.estimates.insert(*bucket, Versioned::new(text, known.revision));
    }
    damaged.scheduler.store_estimates(&mut damaged.state, damaged.now);
    assert_eq!(estimated(&mut damaged, "wk-2"), None);
    run_array(&mut damaged, "wk-3", 1);
}

/// It is not known when a task began that was found running, so its end tells nothing.
#[test]
fn a_task_that_was_found_running_teaches_nothing_wrong() {
    let mut first = learning_bench();
    let ended = run_array(&mut first, "wk-1", 300);
    let mut bench = learning_bench();
    bench.job("wk-1", JobKind::Array, 4);
    let running = ended.iter().cloned().map(|task| TaskStatus {
        state: TaskState::Running,
        why: None,
        ..task
    });
    bench.report("i-1", running.collect());
    bench.now += Duration::from_secs(2);
    bench.report("i-1", ended);
    over(&mut bench, "wk-1");
    assert_eq!(estimated(&mut bench, "wk-2"), None);
}

/// Four machines, all that there are, full of an array's tasks and a service that wants all of it. Without
/// floors it takes all; with them the array keeps what is above nothing of its floor, and what others
/// give up goes first to whoever is below.
#[test]
fn what_a_class_holds_up_to_its_floor_stays_and_what_is_freed_goes_to_who_is_below() {
    let running = |bench: &Bench, id: &JobId| {
        let machines = bench.scheduler.fleet.machines.values();
        let entries = machines.flat_map(|m| m.attempts.iter());
        entries.filter(|((task, _), e)| task.job == *id && e.stop.is_none()).count()
    };
    let play = |floor: f64| {
        let mut bench = Bench::new();
        Arc::make_mut(&mut bench.scheduler.settings).operator.floor = floor;
        bench.scheduler.fair_share = FairShare::new(floor);
        let names = ["i-1", "i-2", "i-3", "i-4"];
        names.iter().for_each(|name| drop(bench.report(name, vec![])));
        bench.scheduler.fleet.listed_once = true;
        bench.now += RENTAL_SETTLE_TIME * 2;
        names.iter().for_each(|name| drop(bench.report(name, vec![])));
        for (zone, spot) in [(0, true), (0, false), (1, true), (1, false)] {
            let kind = MachinePool { flavor: 0, zone, spot };
            let backoff = CapacityBackoff { not_before: bench.now, max_request: PROBE_REQUEST };
            bench.scheduler.autoscaler.capacity_backoff.insert(kind, backoff);
        }
        let array = bench.job("wk-1", JobKind::Array, 400);
        let second = |bench: &mut Bench| {
            bench.pass(Duration::from_secs(1));
            for name in names {
                let orders = bench.report(name, vec![]);
                bench.report(name, shown(&orders, TaskState::Running));
            }
        };
        second(&mut bench);
        assert_eq!(running(&bench, &array), 16);
        for _ in 0..5 {
            second(&mut bench);
        }
        let service = bench.job("wk-2", JobKind::Service, 16);
        let live = bench.state.cache.jobs.all.get_mut(&service);
        let Some(JobBody::Live(live)) = live.map(|job| &mut job.body) else { panic!() };
        let spec = Arc::make_mut(&mut live.spec);
        (spec.urgency, spec.class) = (Priority::Production, "urgent".into());
        for _ in 0..5 {
            bench.pass(Duration::from_millis(500));
        }
        let starving = bench.scheduler.starving(bench.now);
        (running(&bench, &array), running(&bench, &service), starving)
    };
    let (array, _, starving) = play(0.0);
    let leader = starving.leader.clone();
    assert_eq!((array, starving), (0, FairShareReport { leader, ..FairShareReport::default() }));
    let (array, _, starving) = play(0.5);
    // By the rate at which its 400 tasks of 10 s came the array needs 13 machines and the service needs
    // 4, so the array's floor is three quarters of what there is.
    assert_eq!(array, 12, "{starving:?}");
    assert!(starving.scarce_for_s.is_some() && starving.nothing_to_rent);
    let below: Vec<&str> = starving.groups.iter().map(|group| group.class.as_str()).collect();
    assert_eq!(below, ["urgent"], "its room is not free yet");
}

/// Nothing is rented beyond what controllers can hold, what waits says why, and calls to workers go round
/// where not all may be under way at once.
#[test]
fn no_more_is_rented_or_called_than_a_controller_can_hold() {
    let mut bench = Bench::new();
    (0..9).for_each(|n| drop(bench.report(&format!("i-{n}"), vec![])));
    bench.scheduler.fleet.listed_once = true;
    bench.scheduler.autoscaler.max_machines = 12;
    bench.job("wk-1", JobKind::Array, 400);
    for _ in 0..20 {
        bench.pass(PLAN_EVERY * 5);
    }
    let asked: u32 = bench.cloud.pending_rentals().iter().map(|rental| rental.count).sum();
    assert_eq!(asked, 3);
    assert!(bench.scheduler.statistics.waiting_by_cause["controllers hold no more machines"] > 300);
    bench.scheduler.direct_calls.max_in_flight = 2;
    let mut called: Vec<MachineId> = Vec::new();
    for _ in 0..5 {
        for machine in bench.scheduler.fleet.machines.values_mut() {
            (machine.direct_in_flight, machine.commands_due) = (false, true);
            machine.next_direct_at = bench.now;
        }
        (bench.scheduler.direct_calls.in_flight, bench.scheduler.direct_calls.all_dirty) =
            (0, true);
        bench.scheduler.take_direct_calls();
        bench.scheduler.send_direct_calls(bench.now);
        let calls = bench.scheduler.take_direct_calls();
        assert!(calls.len() <= 2);
        called.extend(calls.into_iter().map(|call| call.machine));
    }
    let different: BTreeSet<&MachineId> = called.iter().collect();
    assert_eq!(different.len(), 9, "{called:?}");
}

/// An elastic job starts at its least width, takes room that stayed free, makes way down to its least for
/// what is more urgent, and does not come back at once.
#[test]
fn an_elastic_job_grows_into_what_stays_free_and_makes_way_to_its_least() {
    let mut bench = Bench::new();
    let settings = Arc::make_mut(&mut bench.scheduler.settings);
    let class = jobs::fixtures::job_spec("wk-1", 1).class;
    settings.operator.elastic = vec![crate::settings::ElasticClass { class, least: 2, most: 20 }];
    let names = ["i-1", "i-2", "i-3", "i-4"];
    let mut running: BTreeMap<&str, Vec<TaskStatus>> = BTreeMap::new();
    // Each worker does at once what it is told.
    let mut second = |bench: &mut Bench| {
        bench.pass(Duration::from_secs(1));
        for name in names {
            let here = running.entry(name).or_default();
            for order in bench.report(name, here.clone()) {
                match order {
                    WorkerCommand::Start { task, attempt } => here.push(TaskStatus {
                        task,
                        attempt,
                        state: TaskState::Running,
                        why: None,
                        saved: None,
                    }),
                    WorkerCommand::Stop { task, attempt, .. } => {
                        let ended =
                            here.iter_mut().find(|t| (&t.task, t.attempt) == (&task, attempt));
                        if let Some(ended) = ended {
                            ended.state = TaskState::Exited;
                            ended.why = Some("halted".into());
                        }
                    }
                    WorkerCommand::Forget { task, attempt } => {
                        here.retain(|t| (&t.task, t.attempt) != (&task, attempt));
                    }
                }
            }
            bench.report(name, here.clone());
        }
    };
    let width = |bench: &Bench, id: &JobId| bench.scheduler.jobs.progress[id].placed.len();
    second(&mut bench);
    let wide = bench.job("wk-1", JobKind::Array, 40);
    for _ in 0..3 {
        second(&mut bench);
    }
    assert_eq!(width(&bench, &wide), 2);
    let mut before = 2;
    for _ in 0..20 {
        second(&mut bench);
        assert!(width(&bench, &wide) >= before, "it never turns back by itself");
        before = width(&bench, &wide);
    }
    // All but what is kept warm and what a half of a half leaves.
    assert!((8..=16).contains(&before), "{before}");
    let urgent = bench.job("wk-2", JobKind::Service, 14);
    let Some(job) = bench.state.cache.jobs.all.get_mut(&urgent) else { panic!() };
    let JobBody::Live(live) = &mut job.body else { panic!() };
    Arc::make_mut(&mut live.spec).urgency = Priority::Production;
    for _ in 0..4 {
        second(&mut bench);
    }
    assert_eq!((width(&bench, &urgent), width(&bench, &wide)), (14, 2));
    // The urgent one is gone, and the elastic one rests before it grows again.
    bench.state.cache.jobs.all.remove(&urgent);
    bench.scheduler.jobs.progress.remove(&urgent);
    bench.scheduler.stop_all(&urgent);
    for _ in 0..8 {
        second(&mut bench);
        assert_eq!(width(&bench, &wide), 2);
    }
    for _ in 0..25 {
        second(&mut bench);
    }
    assert!(width(&bench, &wide) >= 8, "{}", width(&bench, &wide));
}

/// Counts, not times: reports that say what is known leave no machine to look at, whatever there are of them, and one
/// that leaves something owed leaves itself alone.
#[test]
fn a_tick_looks_at_no_machine_that_did_not_change() {
    let mut bench = Bench::new();
    let names: Vec<String> = (0..40).map(|n| format!("i-{n:02}")).collect();
    for name in &names {
        bench.report(name, vec![]);
    }
    let job = bench.job("wk-1", JobKind::Service, 60);
    (0..3).for_each(|_| bench.pass(PLAN_EVERY * 5));
    assert_eq!(bench.scheduler.jobs.progress[&job].placed.len(), 60);
    let mut running = HashMap::new();
    for state in [TaskState::Fetching, TaskState::Running] {
        for name in &names {
            let starts: Vec<WorkerCommand> = bench.scheduler.fleet.machines[&MachineId::new(name)]
                .attempts
                .keys()
                .map(|(task, attempt)| WorkerCommand::Start {
                    task: task.clone(),
                    attempt: *attempt,
                })
                .collect();
            running.insert(name.clone(), shown(&starts, state));
            bench.report(name, running[name].clone());
        }
    }
    bench.pass(PLAN_EVERY * 5);
    assert!(
        !bench.scheduler.direct_calls.all_dirty
            && bench.scheduler.direct_calls.dirty_machines.is_empty()
    );
    // As they come all day.
    for name in &names {
        assert_eq!(bench.report(name, running[name].clone()), []);
    }
    assert!(!bench.scheduler.direct_calls.all_dirty);
    assert_eq!(bench.scheduler.direct_calls.dirty_machines, BTreeSet::new());
    // A job that is over has its tasks stopped, and each machine is looked at until it is told.
    bench.scheduler.on_told_cancelled(std::slice::from_ref(&job), &bench.state.cache);
    let one = &names[0];
    bench.report(one, running[one].clone());
    assert_eq!(bench.scheduler.direct_calls.dirty_machines.len(), 1);
    assert!(!bench.scheduler.has_pending_work(&bench.state.cache));
}

/// Bytes that a leader holds for a machine, by which the ceiling of machines reckons: counted, with a task for each two
/// CPUs of it, a job for each three tasks, and names and images of some length.
#[test]
fn a_machine_takes_less_memory_than_the_ceiling_reckons_with() {
    const MACHINES: usize = 300;
    let mut held = None;
    let info = allocation_counter::measure(|| {
        let mut bench = Bench::new();
        for n in 0..MACHINES {
            let task = |index: u32| TaskStatus {
                task: TaskId {
                    job: JobId::new(&format!("wk-{:09}", n * 3 + index as usize / 3)),
                    index,
                },
                attempt: Attempt(u64::from(index) + 1),
                state: TaskState::Running,
                why: None,
                saved: None,
            };
            (0..3).for_each(|job| {
                drop(bench.job(&format!("wk-{:09}", n * 3 + job), JobKind::Array, 9))
            });
            bench.report(&format!("i-{n:06}"), (0..8).map(task).collect());
        }
        bench.pass(PLAN_EVERY * 5);
        held = Some(bench);
    });
    let bench = held.unwrap();
    assert_eq!(
        bench.scheduler.fleet.machines.values().map(|m| m.attempts.len()).sum::<usize>(),
        MACHINES * 8
    );
    let each = info.bytes_current as f64 / MACHINES as f64;
    assert!((2000.0..MACHINE_BYTES).contains(&each), "{each}");
}

/// A new leader of a job with so many tasks, and of two machines with records that it has not heard.
fn taken_over(tasks: u64) -> (Bench, JobId) {
    let mut bench = Bench::new();
    for name in ["i-1", "i-2"] {
        let record = MachineRecord {
            address: "127.0.0.1:9000".into(),
            machine_type: "f".into(),
            zone: "a".into(),
            spot: false,
        };
        bench
            .state
            .cache
            .machines
            .insert(MachineId::new(name), Versioned::new(record, Revision(3)));
    }
    let job = bench.job("wk-1", JobKind::Array, tasks);
    bench.lead_anew();
    (bench, job)
}

impl Bench {
    fn lead_anew(&mut self) {
        let settings = self.scheduler.settings.clone();
        let wall = WallClock { at: self.now, ms: 1_000_000 };
        let cache = &self.state.cache;
        self.scheduler =
            Scheduler::new(FencingToken(1), Revision(2), settings, cache, wall, self.now);
    }
}

fn runs(job: &JobId, attempt: u64) -> TaskStatus {
    TaskStatus {
        task: TaskId { job: job.clone(), index: 0 },
        attempt: Attempt(attempt),
        state: TaskState::Running,
        why: None,
        saved: None,
    }
}

/// An old report of the machine that a task has left reaches a new leader before the news of the one where it
/// runs. The one that ran was once told to stop, and its task started a third time at once.
#[test]
fn a_task_that_an_old_report_shows_too_goes_on_where_it_was_started_last() {
    for old_first in [true, false] {
        let (mut bench, job) = taken_over(1);
        let mut shown = [("i-1", runs(&job, 5)), ("i-2", runs(&job, 9))];
        if !old_first {
            shown.reverse();
        }
        for (machine, task) in shown {
            bench.report(machine, vec![task]);
        }
        for round in 0..20 {
            bench.pass(PLAN_EVERY * 5);
            let starts = |order: &WorkerCommand| matches!(order, WorkerCommand::Start { .. });
            let orders = bench.report("i-1", vec![]);
            assert!(!orders.iter().any(starts), "round {round}: {orders:?}");
            let orders = bench.report("i-2", vec![runs(&job, 9)]);
            assert!(orders.is_empty(), "round {round}: {orders:?}");
        }
        // Free only once it is shown nowhere.
        bench.report("i-2", vec![]);
        bench.pass(PLAN_EVERY * 5);
        let placed = &bench.scheduler.jobs.progress[&job].placed;
        assert!(placed.len() == 1 && placed[&0].attempt > Attempt(9), "{placed:?}");
    }
}

/// Tasks of a job that was cancelled before the take-over may run on machines that have not told yet.
#[test]
fn what_is_left_over_of_cancelled_jobs_counts_until_every_machine_has_told() {
    let wall_ms = 1_000_000;
    let cases = [
        (Some(wall_ms), 2, "cancelled a moment ago"),
        (Some(wall_ms - 900_000), 0, "long ago"),
        // The version before tells neither time nor number: all that is hidden may be its.
        (None, u64::MAX, "by the version before"),
    ];
    for (at_ms, tasks, what) in cases {
        let (mut bench, id) = taken_over(2);
        let job = bench.state.cache.jobs.get(&id).unwrap();
        let layout = records::Layout { format: records::FORMAT, ..bench.state.layout() };
        let transaction = jobs::cancel(&id, job, at_ms.unwrap_or_default(), &layout).unwrap();
        let [Write::Put { data, .. }] = &transaction.writes[..] else { panic!() };
        let mut data = data.clone();
        if let (None, StoreValue::Map(fields)) = (at_ms, &mut data) {
            fields.retain(|(key, _)| !["e", "t"].contains(&key.as_text().unwrap()));
        }
        bench.state.cache.jobs.apply_record(id.clone(), &data, Revision(9));
        bench.lead_anew();
        let need = Amount::need(4.0, 0.0, 4.0);
        assert_eq!(bench.scheduler.jobs.orphaned_capacity.of(0), need.times(tasks), "{what}");
        bench.report("i-1", vec![]);
        bench.pass(PLAN_EVERY * 5);
        assert_eq!(
            bench.scheduler.jobs.orphaned_capacity.of(0),
            need.times(tasks),
            "{what}: one has not told"
        );
        bench.report("i-2", vec![]);
        bench.pass(PLAN_EVERY * 5);
        assert_eq!(
            bench.scheduler.jobs.orphaned_capacity.of(0),
            Amount::default(),
            "{what}: all have"
        );
    }
}

/// In an outage its own bar is no reason for a leader to let a worker's lease run out that comes back to it; a start
/// of a cancelled job that may be on its way there is.
#[test]
fn a_leader_out_of_its_right_answers_what_it_barred_but_not_what_a_late_start_may_reach() {
    let mut bench = Bench::new();
    bench.report("i-1", vec![]);
    let id = bench.job("wk-1", JobKind::Array, 1);
    bench.pass(PLAN_EVERY * 5);
    let machine = MachineId::new("i-1");
    let flies = |bench: &mut Bench, over: bool| {
        let known = bench.scheduler.fleet.machines.get_mut(&machine).unwrap();
        for entry in known.attempts.values_mut() {
            let reason = if over { JOB_FINISHED } else { "moved" };
            (entry.starts_in_flight, entry.is_reported) = (1, false);
            entry.stop = Some(StopRequest { grace_s: 0.0, reason });
        }
        assert_eq!(known.attempts.len(), 1);
    };
    flies(&mut bench, false);
    bench.now += bench.scheduler.settings.worker_lease();
    bench.scheduler.grant(&ControllerId::new("n-1"), 1, bench.now);
    assert!(bench.scheduler.fleet.machines[&machine].revoked_since.is_some());
    assert_eq!(bench.scheduler.answer_for_leader(&machine, bench.now), Some(FencingToken(1)));
    assert_eq!(bench.scheduler.fleet.machines[&machine].last_answered, bench.now);
    flies(&mut bench, true);
    assert_eq!(bench.scheduler.answer_for_leader(&machine, bench.now), None, "{id}");
}

/// Every machine with a task of a job is among those noted for it, whether the task was started here or found in a
/// report; and the end of the job stops it there.
#[test]
fn all_machines_with_tasks_of_a_job_are_noted() {
    let mut bench = Bench::new();
    let job = bench.job("wk-1", JobKind::Array, 6);
    let found = TaskStatus {
        task: TaskId::parse("wk-1/5").unwrap(),
        attempt: Attempt(7),
        state: TaskState::Running,
        why: None,
        saved: None,
    };
    bench.report("i-1", vec![found]);
    for machine in ["i-2", "i-3"] {
        bench.report(machine, Vec::new());
    }
    for _ in 0..3 {
        bench.pass(Duration::from_secs(1));
    }
    let holding = |bench: &Bench| {
        let machines = bench.scheduler.fleet.machines.values();
        let with = machines.filter(|m| m.attempts.keys().any(|(task, _)| task.job == job));
        with.map(|machine| machine.id.clone()).collect::<Vec<MachineId>>()
    };
    let with = holding(&bench);
    assert!(with.len() > 1 && with.contains(&MachineId::new("i-1")), "{with:?}");
    let noted = bench.scheduler.jobs.machines.of(&job);
    assert!(with.iter().all(|id| noted.contains(id)), "{with:?} {noted:?}");
    bench.scheduler.stop_all(&job);
    for id in with {
        let entries = &bench.scheduler.fleet.machines[&id].attempts;
        assert!(entries.values().all(|e| e.stop.is_some() || e.state == TaskState::Exited));
    }
}
