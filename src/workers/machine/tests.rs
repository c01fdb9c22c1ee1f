use super::{
    AttemptSpec, HeartbeatEffect, LeaderTokens, Machine, PlacedAttempt, StopRequest, TaskEvent,
};
use crate::cloud::MachinePool;
use crate::constants::TOKENS_PER_TERM;
use crate::ids::{Amount, Attempt, FencingToken, JobId, MachineId, TaskId};
use crate::peers::heartbeat_relay::UnchangedHeartbeat;
use crate::wire::{Heartbeat, Priority, TaskState, TaskStatus, WorkerCommand};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

fn unchanged(agent_epoch: u64, previous_seq: u64, seq: u64) -> UnchangedHeartbeat {
    UnchangedHeartbeat { machine: MachineId::new("i-1"), agent_epoch, previous_seq, seq }
}

const OUR_TOKEN: FencingToken = FencingToken(4 * TOKENS_PER_TERM);

fn tokens() -> LeaderTokens {
    LeaderTokens { leader: OUR_TOKEN, may_raise: true }
}

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
    assert_eq!(machine.answer(tokens()).commands.len(), 1);
    assert_eq!(
        events_of(machine.record_heartbeat(&heartbeat(2, 3, &[]), OUR_TOKEN, now)),
        [TaskEvent::Vanished(task(0), Attempt(7), None)]
    );
}

/// Reports the agent epoch, places an attempt, sends its start directly, and reports its exit, which is then processed.
fn run_directly(machine: &mut Machine, index: u32, attempt: u64) {
    events_of(machine.record_heartbeat(&heartbeat(1, 1, &[]), OUR_TOKEN, Instant::now()));
    place(machine, index, attempt);
    machine.commands_due = true;
    let call = machine.direct_call(tokens());
    machine.record_direct_call(&call.commands);
    let exited = heartbeat(1, 2, &[(index, attempt, TaskState::Exited)]);
    events_of(machine.record_heartbeat(&exited, OUR_TOKEN, Instant::now()));
    for entry in machine.attempts.values_mut() {
        entry.exit_handled = true;
    }
}

/// Whether the direct call was answered makes no difference: a copy of it may arrive later.
#[test]
fn attempt_that_was_started_directly_is_forgotten_under_a_token_above_that_of_its_start() {
    for is_answered in [false, true] {
        let mut machine = machine();
        run_directly(&mut machine, 0, 7);
        let start = WorkerCommand::Start { task: task(0), attempt: Attempt(7) };
        if is_answered {
            machine.record_direct_result(&[start]);
        }
        let sent_under = machine.fence.current(tokens());
        let answer = machine.answer(tokens());
        assert!(matches!(answer.commands[..], [WorkerCommand::Forget { .. }]));
        assert!(answer.token > sent_under && answer.token.is_of_leader(OUR_TOKEN));
        assert_eq!(machine.direct_call(tokens()).token, answer.token);
        assert!(machine.attempts.is_empty());
    }
}

#[test]
fn attempt_that_was_started_directly_is_not_forgotten_while_tokens_cannot_be_raised() {
    let mut machine = machine();
    run_directly(&mut machine, 0, 7);
    let fixed = LeaderTokens { may_raise: false, ..tokens() };
    let answer = machine.answer(fixed);
    assert_eq!((answer.token, answer.commands), (OUR_TOKEN, Vec::new()));
    assert_eq!(machine.attempts.len(), 1);
    // An attempt that was started by an answer is forgotten without a higher token.
    place(&mut machine, 1, 8);
    assert!(matches!(machine.answer(fixed).commands[..], [WorkerCommand::Start { .. }]));
    let exited = [(0, 7, TaskState::Exited), (1, 8, TaskState::Exited)];
    events_of(machine.record_heartbeat(&heartbeat(1, 3, &exited), OUR_TOKEN, Instant::now()));
    machine.attempts.values_mut().for_each(|entry| entry.exit_handled = true);
    let answer = machine.answer(fixed);
    assert_eq!(answer.token, OUR_TOKEN);
    assert_eq!(answer.commands, [WorkerCommand::Forget { task: task(1), attempt: Attempt(8) }]);
}

#[test]
fn attempt_that_is_reported_again_after_a_lost_answer_is_forgotten_under_the_raised_token() {
    let mut machine = machine();
    let sent_under = machine.fence.current(tokens());
    run_directly(&mut machine, 0, 7);
    let lost = machine.answer(tokens());
    let again = heartbeat(1, 3, &[(0, 7, TaskState::Exited)]);
    events_of(machine.record_heartbeat(&again, OUR_TOKEN, Instant::now()));
    machine.attempts.values_mut().for_each(|entry| entry.exit_handled = true);
    let answer = machine.answer(tokens());
    assert!(matches!(answer.commands[..], [WorkerCommand::Forget { .. }]));
    assert!(answer.token == lost.token && answer.token > sent_under);
}

#[test]
fn tasks_start_by_answers_only_once_too_many_attempts_stay_on_the_worker() {
    let mut machine = machine();
    let fixed = LeaderTokens { may_raise: false, ..tokens() };
    let mut direct_starts = 0;
    events_of(machine.record_heartbeat(&heartbeat(1, 1, &[]), OUR_TOKEN, Instant::now()));
    for n in 0..200u32 {
        place(&mut machine, n, 100 + u64::from(n));
        machine.commands_due = true;
        let call = machine.direct_call(fixed);
        machine.record_direct_call(&call.commands);
        direct_starts += call.commands.len();
        let statuses: Vec<_> = machine
            .attempts
            .keys()
            .map(|(task, attempt)| (task.index, attempt.0, TaskState::Exited))
            .collect();
        let exited = heartbeat(1, u64::from(n) + 2, &statuses);
        events_of(machine.record_heartbeat(&exited, OUR_TOKEN, Instant::now()));
        machine.attempts.values_mut().for_each(|entry| entry.exit_handled = true);
        machine.answer(fixed);
    }
    assert_eq!((direct_starts, machine.attempts.len()), (64, 64));
}

#[test]
fn heartbeat_with_a_raised_token_of_this_leader_is_recorded_and_confirms_the_machine() {
    let now = Instant::now();
    let raised = OUR_TOKEN.raised(OUR_TOKEN).unwrap();
    let mut machine = machine();
    machine.confirmed = false;
    let own = Heartbeat { token: raised, ..heartbeat(1, 1, &[]) };
    events_of(machine.record_heartbeat(&own, OUR_TOKEN, now));
    assert!(machine.confirmed);
    assert_eq!(machine.answer(tokens()).token, raised);
    let incremented = FencingToken(OUR_TOKEN.0 + 1);
    for later in [incremented, OUR_TOKEN.of_next_leader()] {
        let superseded = Heartbeat { token: later, ..heartbeat(1, 2, &[]) };
        let effect = machine.record_heartbeat(&superseded, OUR_TOKEN, now);
        assert!(matches!(effect, HeartbeatEffect::Superseded), "{later}");
    }
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
        machine.answer(tokens()).commands[..],
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
    in_flight.record_direct_call(std::slice::from_ref(&start));
    in_flight.record_heartbeat(&heartbeat(1, 6, &[]), OUR_TOKEN, now);
    assert_eq!(in_flight.attempts.len(), 1);
    in_flight.record_direct_result(&[start]);
    assert!(
        !in_flight.record_unchanged_heartbeat(&unchanged(1, 6, 7), OUR_TOKEN, now),
        "the attempt would stay booked forever"
    );
    let events = events_of(in_flight.record_heartbeat(&heartbeat(1, 7, &[]), OUR_TOKEN, now));
    assert!(matches!(events[..], [TaskEvent::Vanished(..)]) && in_flight.attempts.is_empty());
}
