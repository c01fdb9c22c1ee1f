//! Tests of the emulated worker against the rules of PROTOCOL.

use super::*;

fn worker(now: Instant) -> Worker {
    let settings = WorkerSettings {
        controllers: Vec::new(),
        report_s: 6.0,
        lease_s: 31.0,
        flavor: "standard".into(),
        cpus: 4.0,
        ram_gb: 8.0,
        cache_gb: 2.0,
        fetch_gb_per_s: 0.5,
        repeated_commands: 0.0,
        seed: 1,
    };
    let facts = MachineFacts {
        id: troutspindle_protocol::ids::MachineId::new("i-000001"),
        address: "127.10.0.1:9000".parse().unwrap(),
        zone: "a".into(),
        spot: false,
    };
    Worker::new(facts, settings, 1, now)
}

fn catalog() -> JobCatalog {
    let job = |id: &str, service: bool| JobFacts {
        id: JobId::new(id),
        tasks: 4,
        cpus: 2.0,
        ram_gb: 2.0,
        image: "image".into(),
        image_gb: 1.0,
        service,
        run_s: 10.0,
        failing: 0.0,
    };
    [job("wk-1", false), job("wk-2", true)].into_iter().map(|job| (job.id.clone(), job)).collect()
}

fn task(text: &str) -> TaskId {
    TaskId::parse(text).unwrap()
}

fn start(text: &str, attempt: u64) -> WorkerCommand {
    WorkerCommand::Start { task: task(text), attempt: Attempt(attempt) }
}

fn batch(token: u64, commands: Vec<WorkerCommand>) -> CommandBatch {
    CommandBatch { token: FencingToken(token), agent_epoch: Some(1), commands }
}

#[test]
fn lease_is_measured_from_sending_of_answered_heartbeat() {
    let now = Instant::now();
    let mut worker = worker(now);
    worker.take_heartbeat(now).unwrap();
    let answered_at = now + Duration::from_secs(3);
    worker.on_answer((now, 1), &batch(1, vec![start("wk-2/0", 1)]), &catalog(), answered_at);
    worker.advance(now + Duration::from_secs(31));
    assert_eq!(worker.agent_epoch(), 1);
    worker.advance(now + Duration::from_millis(31_001));
    assert_eq!((worker.agent_epoch(), worker.leases_lost), (2, 1));
    assert!(worker.heartbeat().tasks.is_empty());
}

#[test]
fn commands_with_lower_token_or_other_agent_epoch_are_rejected() {
    let now = Instant::now();
    let (mut worker, catalog) = (worker(now), catalog());
    assert!(worker.on_command(&batch(5, vec![start("wk-1/0", 1)]), &catalog, now));
    assert!(!worker.on_command(&batch(4, vec![start("wk-1/1", 2)]), &catalog, now));
    let other_epoch = CommandBatch { agent_epoch: Some(2), ..batch(6, vec![]) };
    assert!(!worker.on_command(&other_epoch, &catalog, now));
    worker.take_heartbeat(now).unwrap();
    let outcome = worker.on_answer((now, 1), &batch(4, vec![]), &catalog, now);
    assert_eq!(outcome, HeartbeatOutcome::Dropped);
    assert_eq!(worker.heartbeat().tasks.len(), 1);
}

#[test]
fn task_fetches_runs_completes_and_is_forgotten() {
    let now = Instant::now();
    let (mut worker, catalog) = (worker(now), catalog());
    let starts =
        vec![start("wk-1/0", 1), start("wk-1/0", 1), start("wk-1/1", 2), start("wk-1/2", 3)];
    assert!(worker.on_command(&batch(1, starts), &catalog, now));
    let states: Vec<TaskState> = worker.heartbeat().tasks.iter().map(|task| task.state).collect();
    assert_eq!(states, [TaskState::Fetching, TaskState::Fetching, TaskState::Exited]);
    assert_eq!(worker.heartbeat().tasks[2].exit_cause.as_deref(), Some("no_room"));
    worker.advance(now + Duration::from_secs(2));
    let ready = worker.events.iter().filter(|event| matches!(event, Happening::Ready(..)));
    assert_eq!(ready.count(), 2);
    worker.advance(now + Duration::from_secs(20));
    let done = worker.events.iter().filter(|event| matches!(event, Happening::Ended(.., true)));
    assert_eq!(done.count(), 2);
    let forget = WorkerCommand::Forget { task: task("wk-1/0"), attempt: Attempt(1) };
    worker.on_command(&batch(1, vec![forget]), &catalog, now + Duration::from_secs(20));
    assert_eq!(worker.heartbeat().tasks.len(), 2);
}

#[test]
fn changes_wait_half_a_second_and_for_the_heartbeat_in_flight() {
    let now = Instant::now();
    let (mut worker, catalog) = (worker(now), catalog());
    worker.take_heartbeat(now).unwrap();
    worker.on_command(&batch(1, vec![start("wk-2/0", 1)]), &catalog, now);
    assert!(worker.take_heartbeat(now + Duration::from_secs(3)).is_none());
    worker.on_answer((now, 1), &batch(1, vec![]), &catalog, now + Duration::from_millis(100));
    assert!(worker.take_heartbeat(now + Duration::from_millis(400)).is_none());
    assert!(worker.take_heartbeat(now + Duration::from_millis(500)).is_some());
}
