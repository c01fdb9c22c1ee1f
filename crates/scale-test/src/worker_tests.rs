//! Tests of the emulated worker against PROTOCOL's sentences.

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

fn book() -> JobCatalog {
    let job = |id: &str, service: bool| JobFacts {
        id: JobId::new(id),
        tasks: 4,
        cpus: 2.0,
        ram_gb: 2.0,
        image: "image".into(),
        image_gb: 1.0,
        service,
        run_s: 10.0,
    };
    [job("wk-1", false), job("wk-2", true)].into_iter().map(|job| (job.id.clone(), job)).collect()
}

fn task(text: &str) -> TaskId {
    TaskId::parse(text).unwrap()
}

fn start(text: &str, attempt: u64) -> WorkerCommand {
    WorkerCommand::Start { task: task(text), attempt: Attempt(attempt) }
}

fn orders(token: u64, orders: Vec<WorkerCommand>) -> CommandBatch {
    CommandBatch { token: FencingToken(token), agent_epoch: Some(1), commands: orders }
}

#[test]
fn a_lease_counts_from_when_the_answered_report_was_sent() {
    let now = Instant::now();
    let mut worker = worker(now);
    worker.take_report(now).unwrap();
    let answered = now + Duration::from_secs(3);
    worker.on_answer((now, 1), &orders(1, vec![start("wk-2/0", 1)]), &book(), answered);
    worker.advance(now + Duration::from_secs(31));
    assert_eq!(worker.agent_epoch(), 1);
    worker.advance(now + Duration::from_millis(31_001));
    assert_eq!((worker.agent_epoch(), worker.leases_lost), (2, 1));
    assert!(worker.report().tasks.is_empty());
}

#[test]
fn lower_tokens_and_other_sessions_are_refused() {
    let now = Instant::now();
    let (mut worker, book) = (worker(now), book());
    assert!(worker.on_command(&orders(5, vec![start("wk-1/0", 1)]), &book, now));
    assert!(!worker.on_command(&orders(4, vec![start("wk-1/1", 2)]), &book, now));
    let other = CommandBatch { agent_epoch: Some(2), ..orders(6, vec![]) };
    assert!(!worker.on_command(&other, &book, now));
    worker.take_report(now).unwrap();
    let outcome = worker.on_answer((now, 1), &orders(4, vec![]), &book, now);
    assert_eq!(outcome, HeartbeatOutcome::Dropped);
    assert_eq!(worker.report().tasks.len(), 1);
}

#[test]
fn tasks_fetch_run_end_and_are_forgotten() {
    let now = Instant::now();
    let (mut worker, book) = (worker(now), book());
    let twice =
        vec![start("wk-1/0", 1), start("wk-1/0", 1), start("wk-1/1", 2), start("wk-1/2", 3)];
    assert!(worker.on_command(&orders(1, twice), &book, now));
    let states: Vec<TaskState> = worker.report().tasks.iter().map(|task| task.state).collect();
    assert_eq!(states, [TaskState::Fetching, TaskState::Fetching, TaskState::Exited]);
    assert_eq!(worker.report().tasks[2].exit_cause.as_deref(), Some("no_room"));
    worker.advance(now + Duration::from_secs(2));
    let ready = worker.events.iter().filter(|event| matches!(event, Happening::Ready(..)));
    assert_eq!(ready.count(), 2);
    worker.advance(now + Duration::from_secs(20));
    let done = worker.events.iter().filter(|event| matches!(event, Happening::Ended(.., true)));
    assert_eq!(done.count(), 2);
    let forget = WorkerCommand::Forget { task: task("wk-1/0"), attempt: Attempt(1) };
    worker.on_command(&orders(1, vec![forget]), &book, now + Duration::from_secs(20));
    assert_eq!(worker.report().tasks.len(), 2);
}

#[test]
fn changes_are_reported_after_half_a_second_and_one_at_a_time() {
    let now = Instant::now();
    let (mut worker, book) = (worker(now), book());
    worker.take_report(now).unwrap();
    worker.on_command(&orders(1, vec![start("wk-2/0", 1)]), &book, now);
    assert!(worker.take_report(now + Duration::from_secs(3)).is_none());
    worker.on_answer((now, 1), &orders(1, vec![]), &book, now + Duration::from_millis(100));
    assert!(worker.take_report(now + Duration::from_millis(400)).is_none());
    assert!(worker.take_report(now + Duration::from_millis(500)).is_some());
}
