use super::*;

fn unchanged(agent_epoch: u64, previous_seq: u64, seq: u64) -> UnchangedHeartbeat {
    UnchangedHeartbeat { machine: MachineId::new("i-1"), agent_epoch, previous_seq, seq }
}
use crate::wire::TaskStatus;

const OURS: FencingToken = FencingToken(4);

fn machine() -> Machine {
    let mut machine = Machine::new(MachineId::new("i-1"), 0, 0, false, 0, Instant::now());
    machine.recorded = true;
    machine
}

fn report(agent_epoch: u64, seq: u64, tasks: &[(u32, u64, TaskState)]) -> Heartbeat {
    Heartbeat {
        machine: MachineId::new("i-1"),
        address: "10.1.0.1:9000".into(),
        flavor: "f".into(),
        zone: "z".into(),
        spot: false,
        agent_epoch,
        seq,
        token: OURS,
        notice_s: None,
        tasks: tasks
            .iter()
            .map(|(index, attempt, state)| TaskStatus {
                task: task(*index),
                attempt: Attempt(*attempt),
                state: *state,
                why: (*state == TaskState::Exited).then(|| "no_room".into()),
                saved: None,
            })
            .collect(),
    }
}

fn task(index: u32) -> TaskId {
    TaskId { job: crate::ids::JobId::new("wk-1"), index }
}

fn place(machine: &mut Machine, index: u32, attempt: u64) {
    let entry = PlacedAttempt {
        need: Amount::need(4.0, 0.0, 1.0),
        team: 0,
        urgency: Priority::High,
        image: Arc::from("img"),
        seen: false,
        state: TaskState::Fetching,
        flying: 0,
        stop: None,
        placed: Instant::now(),
        running_since: None,
        began: None,
        ran_until: None,
        settled: false,
    };
    machine.entries.insert((task(index), Attempt(attempt)), entry);
}

fn facts(heard: HeartbeatEffect) -> Vec<TaskEvent> {
    match heard {
        HeartbeatEffect::News(facts) => facts,
        other => panic!("{other:?}"),
    }
}

#[test]
fn reports_that_arrive_late_change_nothing() {
    let mut machine = machine();
    let now = Instant::now();
    facts(machine.hear(&report(2, 9, &[(0, 1, TaskState::Running)]), OURS, now));
    assert!(matches!(machine.hear(&report(2, 8, &[]), OURS, now), HeartbeatEffect::Stale));
    assert!(matches!(machine.hear(&report(1, 99, &[]), OURS, now), HeartbeatEffect::Stale));
    assert!(!machine.is_empty());
}

/// A leader that could not act for a minute hears first, by an answer to a question of its own, that the
/// machine is in a new session: what it starts there is alive.
#[test]
fn the_lease_of_a_new_session_counts_from_when_it_is_heard_of() {
    let (mut machine, lease) = (machine(), Duration::from_secs(14));
    let start = machine.answered;
    machine.hear(&report(1, 1, &[]), OURS, start);
    let late = start + Duration::from_secs(60);
    assert!(machine.lease_over(None, lease, late));
    machine.hear(&report(2, 1, &[]), OURS, late);
    assert!(!machine.lease_over(None, lease, late + lease));
    assert!(machine.lease_over(None, lease, late + lease * 2));
}

#[test]
fn a_report_held_back_beyond_its_lease_shows_only_dead_tasks() {
    let mut machine = machine();
    let now = Instant::now();
    facts(machine.hear(&report(1, 1, &[(0, 5, TaskState::Running)]), OURS, now));
    machine.lose_all();
    machine.dead_below = Attempt(5);
    let late = report(1, 2, &[(0, 5, TaskState::Running), (1, 6, TaskState::Running)]);
    let found = facts(machine.hear(&late, OURS, now));
    assert_eq!(found[0], TaskEvent::Found(task(1), Attempt(6)));
    assert!(!machine.entries.contains_key(&(task(0), Attempt(5))));
}

#[test]
fn an_unseen_start_stays_booked_and_is_repeated_until_a_new_session() {
    let mut machine = machine();
    let now = Instant::now();
    facts(machine.hear(&report(1, 1, &[]), OURS, now));
    place(&mut machine, 0, 7);
    assert!(facts(machine.hear(&report(1, 2, &[]), OURS, now)).is_empty());
    assert_eq!(machine.orders().len(), 1);
    assert_eq!(
        facts(machine.hear(&report(2, 3, &[]), OURS, now)),
        [TaskEvent::Vanished(task(0), Attempt(7), None)]
    );
}

#[test]
fn an_attempt_whose_direct_start_had_no_answer_is_never_forgotten() {
    let mut machine = machine();
    let now = Instant::now();
    facts(machine.hear(&report(1, 1, &[]), OURS, now));
    place(&mut machine, 0, 7);
    let orders = machine.starts_and_stops();
    machine.note_flying(&orders, 1);
    facts(machine.hear(&report(1, 2, &[(0, 7, TaskState::Exited)]), OURS, now));
    for entry in machine.entries.values_mut() {
        entry.settled = true;
    }
    assert!(machine.orders().is_empty());
    machine.note_flying(&orders, -1);
    assert!(matches!(machine.orders()[..], [WorkerCommand::Forget { .. }]));
    assert!(machine.entries.is_empty());
}

/// After a take-over most of a fleet was fetched anew: no report says which images a machine has.
#[test]
fn a_task_that_a_predecessor_started_shows_its_image_once_it_runs() {
    let mut machine = machine();
    let now = Instant::now();
    let found = [(0, 5, TaskState::Running), (1, 6, TaskState::Fetching)];
    facts(machine.hear(&report(1, 1, &found), OURS, now));
    for (index, attempt, image) in [(0, 5, "warm"), (1, 6, "cold")] {
        let key = (task(index), Attempt(attempt));
        machine.entries.get_mut(&key).unwrap().image = Arc::from(image);
        machine.adopted(&key);
    }
    assert_eq!(machine.images, [Arc::from("warm")]);
    let both = [(0, 5, TaskState::Running), (1, 6, TaskState::Running)];
    facts(machine.hear(&report(1, 2, &both), OURS, now));
    assert_eq!(machine.images, [Arc::from("warm"), Arc::from("cold")]);
}

#[test]
fn a_cancelled_start_that_may_be_on_its_way_is_delivered_and_stopped() {
    let mut machine = machine();
    place(&mut machine, 0, 7);
    for entry in machine.entries.values_mut() {
        entry.stop = Some(Stop { grace_s: 0.0, reason: "cancelled" });
    }
    assert!(matches!(
        machine.orders()[..],
        [WorkerCommand::Start { .. }, WorkerCommand::Stop { .. }]
    ));
}

/// A report that says nothing new counts as heard only where all of the one before it is known: a worker that ended its
/// session, was heard otherwise meanwhile, has shown a task that ended, or one whose start was still on its way, has
/// to be heard in full.
#[test]
fn a_short_report_counts_only_if_all_that_it_stands_for_is_known() {
    let now = Instant::now();
    let running = [(0, 9, TaskState::Running)];
    let heard = || {
        let mut machine = machine();
        place(&mut machine, 0, 9);
        assert!(matches!(
            machine.hear(&report(1, 5, &running), OURS, now),
            HeartbeatEffect::News(_)
        ));
        machine
    };
    assert!(heard().hear_same(&unchanged(1, 5, 6), OURS, now));
    for (agent_epoch, before, seq) in [(1, 4, 6), (1, 6, 7), (2, 5, 6), (1, 5, 5)] {
        assert!(!heard().hear_same(&unchanged(agent_epoch, before, seq), OURS, now));
    }
    // Nor under another token than the one that the report was heard with.
    assert!(!heard().hear_same(&unchanged(1, 5, 6), FencingToken(OURS.0 + 1), now));
    let mut ended = machine();
    ended.hear(&report(1, 5, &[(0, 9, TaskState::Exited)]), OURS, now);
    assert!(!ended.hear_same(&unchanged(1, 5, 6), OURS, now));
    // Seen once and left out while a copy of its start has no answer: it stays booked until a report after that answer.
    let mut flying = heard();
    let start = WorkerCommand::Start { task: task(0), attempt: Attempt(9) };
    flying.note_flying(std::slice::from_ref(&start), 1);
    flying.hear(&report(1, 6, &[]), OURS, now);
    assert_eq!(flying.entries.len(), 1);
    flying.note_flying(&[start], -1);
    assert!(!flying.hear_same(&unchanged(1, 6, 7), OURS, now), "it would stay booked for ever");
    let facts = facts(flying.hear(&report(1, 7, &[]), OURS, now));
    assert!(matches!(facts[..], [TaskEvent::Vanished(..)]) && flying.entries.is_empty());
}
