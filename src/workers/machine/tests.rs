use super::{AttemptSpec, HeartbeatEffect, Machine, PlacedAttempt, StopRequest, TaskEvent};
use crate::cloud::MachinePool;
use crate::ids::{Amount, Attempt, FencingToken, JobId, MachineId, TaskId};
use crate::peers::heartbeat_relay::UnchangedHeartbeat;
use crate::wire::{Heartbeat, Priority, TaskState, TaskStatus, WorkerCommand};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

fn unchanged(agent_epoch: u64, previous_seq: u64, seq: u64) -> UnchangedHeartbeat {
    UnchangedHeartbeat { machine: MachineId::new("i-1"), agent_epoch, previous_seq, seq }
}

const OURS: FencingToken = FencingToken(4);

fn machine() -> Machine {
    let pool = MachinePool { flavor: 0, zone: 0, spot: false };
    let mut machine = Machine::new(MachineId::new("i-1"), pool, 0, Instant::now());
    machine.recorded = true;
    machine
}

fn heartbeat(agent_epoch: u64, seq: u64, tasks: &[(u32, u64, TaskState)]) -> Heartbeat {
    Heartbeat {
        machine: MachineId::new("i-1"),
        address: "10.1.0.1:9000".into(),
        machine_type: "f".into(),
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
                exit_cause: (*state == TaskState::Exited).then(|| "no_room".into()),
                saved: None,
            })
            .collect(),
    }
}

fn task(index: u32) -> TaskId {
    TaskId { job: JobId::new("wk-1"), index }
}

fn place(machine: &mut Machine, index: u32, attempt: u64) {
    let spec = AttemptSpec {
        need: Amount::request(4.0, 0.0, 1.0),
        team: 0,
        urgency: Priority::High,
        image: Arc::from("img"),
    };
    let placed = PlacedAttempt::new(spec, Instant::now());
    machine.attempts.insert((task(index), Attempt(attempt)), placed);
}

fn events_of(effect: HeartbeatEffect) -> Vec<TaskEvent> {
    match effect {
        HeartbeatEffect::Recorded(events) => events,
        other => panic!("{other:?}"),
    }
}

#[test]
fn late_heartbeats_change_nothing() {
    let mut machine = machine();
    let now = Instant::now();
    events_of(machine.record_heartbeat(&heartbeat(2, 9, &[(0, 1, TaskState::Running)]), OURS, now));
    assert!(matches!(
        machine.record_heartbeat(&heartbeat(2, 8, &[]), OURS, now),
        HeartbeatEffect::Stale
    ));
    assert!(matches!(
        machine.record_heartbeat(&heartbeat(1, 99, &[]), OURS, now),
        HeartbeatEffect::Stale
    ));
    assert!(!machine.is_empty());
}

/// A leader that could not act for a minute hears first, by an answer to a question of its own, that the
/// machine is in a new session: what it starts there is alive.
#[test]
fn lease_of_a_new_agent_epoch_counts_from_its_first_heartbeat() {
    let (mut machine, lease) = (machine(), Duration::from_secs(14));
    let start = machine.last_answered;
    machine.record_heartbeat(&heartbeat(1, 1, &[]), OURS, start);
    let late = start + Duration::from_secs(60);
    assert!(machine.is_lease_expired(None, lease, late));
    machine.record_heartbeat(&heartbeat(2, 1, &[]), OURS, late);
    assert!(!machine.is_lease_expired(None, lease, late + lease));
    assert!(machine.is_lease_expired(None, lease, late + lease * 2));
}

#[test]
fn a_heartbeat_delayed_beyond_lease_expiry_adopts_no_terminated_attempts() {
    let mut machine = machine();
    let now = Instant::now();
    events_of(machine.record_heartbeat(&heartbeat(1, 1, &[(0, 5, TaskState::Running)]), OURS, now));
    machine.terminate_attempts();
    machine.terminated_up_to = Attempt(5);
    let late = heartbeat(1, 2, &[(0, 5, TaskState::Running), (1, 6, TaskState::Running)]);
    let found = events_of(machine.record_heartbeat(&late, OURS, now));
    assert_eq!(found[0], TaskEvent::Found(task(1), Attempt(6)));
    assert!(!machine.attempts.contains_key(&(task(0), Attempt(5))));
}

#[test]
fn an_unreported_start_stays_booked_and_is_repeated_until_a_new_agent_epoch() {
    let mut machine = machine();
    let now = Instant::now();
    events_of(machine.record_heartbeat(&heartbeat(1, 1, &[]), OURS, now));
    place(&mut machine, 0, 7);
    assert!(events_of(machine.record_heartbeat(&heartbeat(1, 2, &[]), OURS, now)).is_empty());
    assert_eq!(machine.commands_for_answer().len(), 1);
    assert_eq!(
        events_of(machine.record_heartbeat(&heartbeat(2, 3, &[]), OURS, now)),
        [TaskEvent::Vanished(task(0), Attempt(7), None)]
    );
}

#[test]
fn an_attempt_whose_direct_start_had_no_answer_is_never_forgotten() {
    let mut machine = machine();
    let now = Instant::now();
    events_of(machine.record_heartbeat(&heartbeat(1, 1, &[]), OURS, now));
    place(&mut machine, 0, 7);
    let orders = machine.direct_commands();
    machine.track_starts_in_flight(&orders, 1);
    events_of(machine.record_heartbeat(&heartbeat(1, 2, &[(0, 7, TaskState::Exited)]), OURS, now));
    for entry in machine.attempts.values_mut() {
        entry.exit_handled = true;
    }
    assert!(machine.commands_for_answer().is_empty());
    machine.track_starts_in_flight(&orders, -1);
    assert!(matches!(machine.commands_for_answer()[..], [WorkerCommand::Forget { .. }]));
    assert!(machine.attempts.is_empty());
}

/// After a failover most of a fleet was fetched anew: no heartbeat says which images a machine has.
#[test]
fn an_adopted_attempt_shows_its_image_once_it_runs() {
    let mut machine = machine();
    let now = Instant::now();
    let found = [(0, 5, TaskState::Running), (1, 6, TaskState::Fetching)];
    events_of(machine.record_heartbeat(&heartbeat(1, 1, &found), OURS, now));
    for (index, attempt, image) in [(0, 5, "warm"), (1, 6, "cold")] {
        let key = (task(index), Attempt(attempt));
        machine.attempts.get_mut(&key).unwrap().image = Arc::from(image);
        machine.adopt_attempt(&key);
    }
    assert_eq!(machine.images, [Arc::from("warm")]);
    let both = [(0, 5, TaskState::Running), (1, 6, TaskState::Running)];
    events_of(machine.record_heartbeat(&heartbeat(1, 2, &both), OURS, now));
    assert_eq!(machine.images, [Arc::from("warm"), Arc::from("cold")]);
}

#[test]
fn a_cancelled_start_in_flight_is_delivered_and_stopped() {
    let mut machine = machine();
    place(&mut machine, 0, 7);
    for entry in machine.attempts.values_mut() {
        entry.stop = Some(StopRequest { grace_s: 0.0, reason: "cancelled" });
    }
    assert!(matches!(
        machine.commands_for_answer()[..],
        [WorkerCommand::Start { .. }, WorkerCommand::Stop { .. }]
    ));
}

/// A heartbeat that says nothing new counts as heard only where all of the one before it is known: a worker that ended its
/// session, was heard otherwise meanwhile, has shown a task that ended, or one whose start was still on its way, has
/// to be heard in full.
#[test]
fn an_unchanged_heartbeat_counts_only_if_the_previous_one_is_known() {
    let now = Instant::now();
    let running = [(0, 9, TaskState::Running)];
    let reported = || {
        let mut machine = machine();
        place(&mut machine, 0, 9);
        assert!(matches!(
            machine.record_heartbeat(&heartbeat(1, 5, &running), OURS, now),
            HeartbeatEffect::Recorded(_)
        ));
        machine
    };
    assert!(reported().record_unchanged_heartbeat(&unchanged(1, 5, 6), OURS, now));
    for (agent_epoch, before, seq) in [(1, 4, 6), (1, 6, 7), (2, 5, 6), (1, 5, 5)] {
        assert!(!reported().record_unchanged_heartbeat(
            &unchanged(agent_epoch, before, seq),
            OURS,
            now
        ));
    }
    // Nor under another token than the one that the heartbeat was heard with.
    assert!(!reported().record_unchanged_heartbeat(
        &unchanged(1, 5, 6),
        FencingToken(OURS.0 + 1),
        now
    ));
    let mut ended = machine();
    ended.record_heartbeat(&heartbeat(1, 5, &[(0, 9, TaskState::Exited)]), OURS, now);
    assert!(!ended.record_unchanged_heartbeat(&unchanged(1, 5, 6), OURS, now));
    // Seen once and left out while a copy of its start has no answer: it stays booked until a heartbeat after that answer.
    let mut in_flight = reported();
    let start = WorkerCommand::Start { task: task(0), attempt: Attempt(9) };
    in_flight.track_starts_in_flight(std::slice::from_ref(&start), 1);
    in_flight.record_heartbeat(&heartbeat(1, 6, &[]), OURS, now);
    assert_eq!(in_flight.attempts.len(), 1);
    in_flight.track_starts_in_flight(&[start], -1);
    assert!(
        !in_flight.record_unchanged_heartbeat(&unchanged(1, 6, 7), OURS, now),
        "it would stay booked for ever"
    );
    let events = events_of(in_flight.record_heartbeat(&heartbeat(1, 7, &[]), OURS, now));
    assert!(matches!(events[..], [TaskEvent::Vanished(..)]) && in_flight.attempts.is_empty());
}
