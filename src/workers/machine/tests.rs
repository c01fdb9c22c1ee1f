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

const OUR_TOKEN: FencingToken = FencingToken(4);

fn machine() -> Machine {
    let pool = MachinePool { machine_type: 0, zone: 0, spot: false };
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
        token: OUR_TOKEN,
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
        request: Amount::request(4.0, 0.0, 1.0),
        team: 0,
        priority: Priority::High,
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
fn heartbeats_older_than_the_last_one_are_ignored() {
    let mut machine = machine();
    let now = Instant::now();
    events_of(machine.record_heartbeat(
        &heartbeat(2, 9, &[(0, 1, TaskState::Running)]),
        OUR_TOKEN,
        now,
    ));
    assert!(matches!(
        machine.record_heartbeat(&heartbeat(2, 8, &[]), OUR_TOKEN, now),
        HeartbeatEffect::Stale
    ));
    assert!(matches!(
        machine.record_heartbeat(&heartbeat(1, 99, &[]), OUR_TOKEN, now),
        HeartbeatEffect::Stale
    ));
    assert!(!machine.is_empty());
}

/// A leader that could not act for a minute first learns of a new agent epoch from the answer to its own direct call.
/// The lease of that epoch must not count as expired: attempts that the leader starts there are alive.
#[test]
fn lease_of_a_new_agent_epoch_counts_from_its_first_heartbeat() {
    let (mut machine, lease) = (machine(), Duration::from_secs(14));
    let start = machine.last_answered;
    machine.record_heartbeat(&heartbeat(1, 1, &[]), OUR_TOKEN, start);
    let late = start + Duration::from_secs(60);
    assert!(machine.is_lease_expired(None, lease, late));
    machine.record_heartbeat(&heartbeat(2, 1, &[]), OUR_TOKEN, late);
    assert!(!machine.is_lease_expired(None, lease, late + lease));
    assert!(machine.is_lease_expired(None, lease, late + lease * 2));
}

#[test]
fn heartbeat_delayed_beyond_lease_expiry_adopts_no_terminated_attempts() {
    let mut machine = machine();
    let now = Instant::now();
    events_of(machine.record_heartbeat(
        &heartbeat(1, 1, &[(0, 5, TaskState::Running)]),
        OUR_TOKEN,
        now,
    ));
    machine.terminate_attempts();
    machine.terminated_up_to = Attempt(5);
    let late = heartbeat(1, 2, &[(0, 5, TaskState::Running), (1, 6, TaskState::Running)]);
    let found = events_of(machine.record_heartbeat(&late, OUR_TOKEN, now));
    assert_eq!(found[0], TaskEvent::Found(task(1), Attempt(6)));
    assert!(!machine.attempts.contains_key(&(task(0), Attempt(5))));
}

#[test]
fn unreported_start_stays_booked_and_is_repeated_until_a_new_agent_epoch() {
    let mut machine = machine();
    let now = Instant::now();
    events_of(machine.record_heartbeat(&heartbeat(1, 1, &[]), OUR_TOKEN, now));
    place(&mut machine, 0, 7);
    assert!(events_of(machine.record_heartbeat(&heartbeat(1, 2, &[]), OUR_TOKEN, now)).is_empty());
    assert_eq!(machine.commands_for_answer().len(), 1);
    assert_eq!(
        events_of(machine.record_heartbeat(&heartbeat(2, 3, &[]), OUR_TOKEN, now)),
        [TaskEvent::Vanished(task(0), Attempt(7), None)]
    );
}

#[test]
fn attempt_with_an_unanswered_direct_start_is_never_forgotten() {
    let mut machine = machine();
    let now = Instant::now();
    events_of(machine.record_heartbeat(&heartbeat(1, 1, &[]), OUR_TOKEN, now));
    place(&mut machine, 0, 7);
    let commands = machine.direct_commands();
    machine.track_starts_in_flight(&commands, 1);
    events_of(machine.record_heartbeat(
        &heartbeat(1, 2, &[(0, 7, TaskState::Exited)]),
        OUR_TOKEN,
        now,
    ));
    for entry in machine.attempts.values_mut() {
        entry.exit_handled = true;
    }
    assert!(machine.commands_for_answer().is_empty());
    machine.track_starts_in_flight(&commands, -1);
    assert!(matches!(machine.commands_for_answer()[..], [WorkerCommand::Forget { .. }]));
    assert!(machine.attempts.is_empty());
}

/// Heartbeats don't list cached images. If a new leader didn't learn them from adopted attempts, most of the fleet
/// would fetch its images again after a failover.
#[test]
fn image_of_an_adopted_attempt_is_cached_once_the_attempt_runs() {
    let mut machine = machine();
    let now = Instant::now();
    let found = [(0, 5, TaskState::Running), (1, 6, TaskState::Fetching)];
    events_of(machine.record_heartbeat(&heartbeat(1, 1, &found), OUR_TOKEN, now));
    for (index, attempt, image) in [(0, 5, "warm"), (1, 6, "cold")] {
        let key = (task(index), Attempt(attempt));
        machine.attempts.get_mut(&key).unwrap().image = Arc::from(image);
        machine.adopt_attempt(&key);
    }
    assert_eq!(machine.images, [Arc::from("warm")]);
    let both = [(0, 5, TaskState::Running), (1, 6, TaskState::Running)];
    events_of(machine.record_heartbeat(&heartbeat(1, 2, &both), OUR_TOKEN, now));
    assert_eq!(machine.images, [Arc::from("warm"), Arc::from("cold")]);
}

#[test]
fn cancelled_start_in_flight_is_sent_again_and_stopped() {
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

/// An unchanged heartbeat counts only if everything in the previous one is known. A complete heartbeat is required
/// after a new agent epoch, after another heartbeat in between, after one that listed an exited task, and after one
/// that omitted an attempt whose start was still in flight.
#[test]
fn unchanged_heartbeat_counts_only_if_the_previous_one_is_known() {
    let now = Instant::now();
    let running = [(0, 9, TaskState::Running)];
    let reported = || {
        let mut machine = machine();
        place(&mut machine, 0, 9);
        assert!(matches!(
            machine.record_heartbeat(&heartbeat(1, 5, &running), OUR_TOKEN, now),
            HeartbeatEffect::Recorded(_)
        ));
        machine
    };
    assert!(reported().record_unchanged_heartbeat(&unchanged(1, 5, 6), OUR_TOKEN, now));
    for (agent_epoch, previous_seq, seq) in [(1, 4, 6), (1, 6, 7), (2, 5, 6), (1, 5, 5)] {
        assert!(!reported().record_unchanged_heartbeat(
            &unchanged(agent_epoch, previous_seq, seq),
            OUR_TOKEN,
            now
        ));
    }
    // A fencing token other than that of the previous heartbeat requires a complete heartbeat too.
    assert!(!reported().record_unchanged_heartbeat(
        &unchanged(1, 5, 6),
        FencingToken(OUR_TOKEN.0 + 1),
        now
    ));
    let mut exited = machine();
    exited.record_heartbeat(&heartbeat(1, 5, &[(0, 9, TaskState::Exited)]), OUR_TOKEN, now);
    assert!(!exited.record_unchanged_heartbeat(&unchanged(1, 5, 6), OUR_TOKEN, now));
    // A reported attempt that is omitted while a copy of its start is unanswered stays booked until a heartbeat after
    // that answer.
    let mut in_flight = reported();
    let start = WorkerCommand::Start { task: task(0), attempt: Attempt(9) };
    in_flight.track_starts_in_flight(std::slice::from_ref(&start), 1);
    in_flight.record_heartbeat(&heartbeat(1, 6, &[]), OUR_TOKEN, now);
    assert_eq!(in_flight.attempts.len(), 1);
    in_flight.track_starts_in_flight(&[start], -1);
    assert!(
        !in_flight.record_unchanged_heartbeat(&unchanged(1, 6, 7), OUR_TOKEN, now),
        "the attempt would stay booked forever"
    );
    let events = events_of(in_flight.record_heartbeat(&heartbeat(1, 7, &[]), OUR_TOKEN, now));
    assert!(matches!(events[..], [TaskEvent::Vanished(..)]) && in_flight.attempts.is_empty());
}
