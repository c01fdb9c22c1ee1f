use super::{
    ASSIGNMENT_VALIDITY, BATCH_DELAY, HeartbeatBatch, HeartbeatRelay, HeartbeatResult,
    RELAY_RESUME_WINDOW, RELAY_TIMEOUT, RelayedCommand, RelayedHeartbeat, UnchangedHeartbeat,
};
use crate::cloud::MachinePool;
use crate::constants::BODY_MAX;
use crate::ids::{Attempt, ControllerId, FencingToken, MachineId, TaskId};
use crate::peers::membership::{Member, Membership};
use crate::wire::{Heartbeat, TaskState, TaskStatus};
use crate::workers::machine::{HeartbeatEffect, Machine};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::Instant;

fn members() -> Membership {
    Membership::new(vec![Member { name: ControllerId::new("b"), zone: "a".into(), weight: 1000 }])
}

fn heartbeat(machine: &str, seq: u64, tasks: &[(&str, TaskState)]) -> Heartbeat {
    let task = |(name, state): &(&str, TaskState)| TaskStatus {
        task: TaskId::parse(name).unwrap(),
        attempt: Attempt(7),
        state: *state,
        exit_cause: (*state == TaskState::Exited).then(|| "done".into()),
        saved: None,
    };
    Heartbeat {
        machine: MachineId::new(machine),
        address: "127.0.0.1:9".into(),
        machine_type: "f".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: 1,
        seq,
        token: FencingToken(3),
        notice_s: None,
        tasks: tasks.iter().map(task).collect(),
    }
}

fn relay(now: Instant) -> HeartbeatRelay {
    let mut relay = HeartbeatRelay::new(100);
    relay.on_assignment(FencingToken(3), ControllerId::new("a"), members(), now);
    relay
}

/// Sends the queued heartbeats as one batch, accepts them all without commands, and returns the batch.
fn relay_and_accept(relay: &mut HeartbeatRelay, now: Instant) -> HeartbeatBatch {
    let mut batches = relay.take_batches(FencingToken(3), now + BATCH_DELAY);
    let batch = batches.pop().unwrap();
    assert!(batches.is_empty());
    relay.on_results(FencingToken(3), batch.number, Vec::new(), now + BATCH_DELAY);
    batch
}

#[test]
fn unchanged_heartbeat_is_relayed_as_its_sequence_number() {
    let now = Instant::now();
    let mut relay = relay(now);
    let running = [("wk-1/0", TaskState::Running)];
    assert!(relay.accept(1, heartbeat("i-1", 1, &running), now).is_ok());
    let first = relay_and_accept(&mut relay, now);
    assert_eq!((first.leader, first.token), (ControllerId::new("a"), FencingToken(3)));
    assert!(matches!(first.heartbeats[..], [RelayedHeartbeat::Full(_)]));
    relay.accept(2, heartbeat("i-1", 2, &running), now).unwrap();
    let machine = MachineId::new("i-1");
    let unchanged = UnchangedHeartbeat { machine, agent_epoch: 1, previous_seq: 1, seq: 2 };
    assert_eq!(
        relay_and_accept(&mut relay, now).heartbeats,
        [RelayedHeartbeat::Unchanged(unchanged)]
    );
    // A heartbeat is sent in full as long as it reports a finished task.
    for seq in 3..5 {
        relay.accept(seq, heartbeat("i-1", seq, &[("wk-1/0", TaskState::Exited)]), now).unwrap();
        assert!(matches!(
            relay_and_accept(&mut relay, now).heartbeats[..],
            [RelayedHeartbeat::Full(_)]
        ));
    }
}

/// The leader may have removed attempts that the worker still reports, so the heartbeat after an answer with commands
/// is sent in full.
#[test]
fn heartbeat_after_an_answer_with_commands_is_relayed_in_full() {
    let now = Instant::now();
    let mut relay = relay(now);
    relay.accept(1, heartbeat("i-1", 1, &[]), now).unwrap();
    let batch = relay.take_batches(FencingToken(3), now + BATCH_DELAY).pop().unwrap();
    let command = RelayedCommand::Start(TaskId::parse("wk-1/0").unwrap(), Attempt(9));
    let results = vec![(0, HeartbeatResult::Accepted(vec![command.clone()]))];
    let replies = relay.on_results(FencingToken(3), batch.number, results, now);
    let expected = RelayedCommand::into_batch(vec![command], FencingToken(3), None);
    assert_eq!(replies.len(), 1);
    assert_eq!((replies[0].ticket, replies[0].commands.commands.clone()), (1, expected.commands));
    relay.accept(2, heartbeat("i-1", 2, &[]), now).unwrap();
    assert!(matches!(
        relay_and_accept(&mut relay, now).heartbeats[..],
        [RelayedHeartbeat::Full(_)]
    ));
    // Results for a batch that already has results, or under another fencing token, are ignored.
    assert!(relay.on_results(FencingToken(3), batch.number, Vec::new(), now).is_empty());
    assert!(relay.on_results(FencingToken(2), batch.number, Vec::new(), now).is_empty());
}

#[test]
fn heartbeat_is_resent_in_full_when_the_leader_requests_it() {
    let now = Instant::now();
    let mut relay = relay(now);
    relay.accept(1, heartbeat("i-1", 1, &[]), now).unwrap();
    relay_and_accept(&mut relay, now);
    relay.accept(2, heartbeat("i-1", 2, &[]), now).unwrap();
    let batch = relay.take_batches(FencingToken(3), now + BATCH_DELAY).pop().unwrap();
    let replies = relay.on_results(
        FencingToken(3),
        batch.number,
        vec![(0, HeartbeatResult::ResendInFull)],
        now,
    );
    assert!(replies.is_empty());
    assert!(matches!(
        relay_and_accept(&mut relay, now).heartbeats[..],
        [RelayedHeartbeat::Full(_)]
    ));
}

/// Heartbeats that one leader accepted are no reference for its successor. Those that it did not answer are sent to the
/// successor immediately.
#[test]
fn new_leader_gets_full_heartbeats_and_results_of_the_previous_one_are_ignored() {
    let now = Instant::now();
    let mut relay = relay(now);
    relay.accept(1, heartbeat("i-1", 1, &[]), now).unwrap();
    relay_and_accept(&mut relay, now);
    relay.accept(2, heartbeat("i-1", 2, &[]), now).unwrap();
    let unanswered = relay.take_batches(FencingToken(3), now + BATCH_DELAY).pop().unwrap();
    relay.on_assignment(FencingToken(4), ControllerId::new("c"), members(), now);
    assert!(relay.on_results(FencingToken(3), unanswered.number, Vec::new(), now).is_empty());
    assert!(relay.members(FencingToken(5), now).is_none());
    let resent = relay.take_batches(FencingToken(4), now + BATCH_DELAY).pop().unwrap();
    assert_eq!(resent.leader, ControllerId::new("c"));
    assert!(matches!(resent.heartbeats[..], [RelayedHeartbeat::Full(_)]));
    relay.on_assignment(FencingToken(3), ControllerId::new("a"), members(), now);
    assert_eq!(relay.on_results(FencingToken(4), resent.number, Vec::new(), now).len(), 1);
}

#[test]
fn assignment_expires_and_unanswered_heartbeats_become_overdue() {
    let now = Instant::now();
    let mut relay = relay(now);
    assert!(relay.members(FencingToken(3), now).is_some());
    assert!(relay.members(FencingToken(3), now + ASSIGNMENT_VALIDITY).is_none());
    assert!(relay.may_resume(now + ASSIGNMENT_VALIDITY));
    assert!(!relay.may_resume(now + RELAY_RESUME_WINDOW));
    relay.accept(1, heartbeat("i-1", 1, &[]), now).unwrap();
    relay.take_batches(FencingToken(3), now + BATCH_DELAY);
    relay.accept(2, heartbeat("i-2", 1, &[]), now + BATCH_DELAY).unwrap();
    assert!(relay.take_overdue(now + RELAY_TIMEOUT / 2).is_empty());
    let overdue = relay.take_overdue(now + RELAY_TIMEOUT);
    assert_eq!(overdue.iter().map(|overdue| overdue.ticket).collect::<Vec<u64>>(), [1]);
    assert_eq!(relay.take_overdue(now + RELAY_TIMEOUT * 2).len(), 1);
    assert_eq!(relay.next_due(), None);
    // An assignment without members ends the relay.
    relay.on_assignment(FencingToken(3), ControllerId::new("a"), Membership::default(), now);
    assert!(relay.members(FencingToken(3), now).is_none() && !relay.may_resume(now));
}

#[test]
fn batches_fit_a_frame_and_the_number_in_flight_is_limited() {
    let now = Instant::now();
    let mut relay = relay(now);
    let names: Vec<String> = (0..300).map(|n| format!("wk-1/{n}")).collect();
    let tasks: Vec<(&str, TaskState)> =
        names.iter().map(|name| (name.as_str(), TaskState::Running)).collect();
    for ticket in 0..40 {
        assert!(relay.accept(ticket, heartbeat(&format!("i-{ticket}"), 1, &tasks), now).is_ok());
    }
    let batches = relay.take_batches(FencingToken(3), now + BATCH_DELAY);
    assert_eq!(batches.iter().map(|batch| batch.heartbeats.len()).sum::<usize>(), 40);
    for batch in batches {
        assert!(postcard::to_stdvec(&batch.heartbeats).unwrap().len() < BODY_MAX);
    }
    relay.accept(50, heartbeat("i-1", 2, &tasks), now).unwrap();
    assert!(relay.take_batches(FencingToken(3), now + BATCH_DELAY * 2).is_empty());
    let oversized: Vec<(&str, TaskState)> = tasks.iter().cycle().take(700).copied().collect();
    assert!(relay.accept(60, heartbeat("i-9", 1, &oversized), now).is_err());
}

/// One leader receives each heartbeat of a worker in full, and another receives it as relayed. Both must record the
/// same state, even if some heartbeats are lost or arrive directly from the worker.
#[test]
fn relayed_heartbeats_lead_to_the_same_state_as_full_ones() {
    let states = [TaskState::Fetching, TaskState::Running, TaskState::Running, TaskState::Exited];
    let (mut relayed_count, mut unchanged_count) = (0, 0);
    for seed in 0..200 {
        let random = &mut StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut relay = relay(start);
        let pool = MachinePool { machine_type: 0, zone: 0, spot: false };
        let new_machine = || Machine::new(MachineId::new("i-1"), pool, 0, start);
        let (mut from_full, mut from_relayed) = (new_machine(), new_machine());
        let mut tasks: Vec<(String, TaskState)> = Vec::new();
        for seq in 1..60u64 {
            let now = start + Duration::from_secs(seq * 10);
            relay.on_assignment(FencingToken(3), ControllerId::new("a"), members(), now);
            if random.random_range(0..3) == 0 {
                let state = states[random.random_range(0..states.len())];
                let name = format!("wk-1/{}", random.random_range(0..4));
                tasks.retain(|(task, _)| *task != name);
                if random.random() {
                    tasks.push((name, state));
                    tasks.sort_by(|a, b| a.0.cmp(&b.0));
                }
            }
            let statuses: Vec<(&str, TaskState)> =
                tasks.iter().map(|(name, state)| (name.as_str(), *state)).collect();
            let sent = heartbeat("i-1", seq, &statuses);
            match random.random_range(0..6) {
                // Both leaders receive it directly from the worker.
                0 => {
                    assert!(matches!(
                        from_full.record_heartbeat(&sent, FencingToken(3), now),
                        HeartbeatEffect::Recorded(_)
                    ));
                    assert!(matches!(
                        from_relayed.record_heartbeat(&sent, FencingToken(3), now),
                        HeartbeatEffect::Recorded(_)
                    ));
                    continue;
                }
                // Lost on the way to both leaders.
                1 => {
                    relay.accept(seq, sent, now).unwrap();
                    relay.take_batches(FencingToken(3), now + BATCH_DELAY);
                    relay.take_overdue(now + RELAY_TIMEOUT);
                    continue;
                }
                _ => {}
            }
            from_full.record_heartbeat(&sent, FencingToken(3), now);
            relay.accept(seq, sent, now).unwrap();
            loop {
                let batch = relay.take_batches(FencingToken(3), now + BATCH_DELAY).pop().unwrap();
                relayed_count += 1;
                let result = match batch.heartbeats.into_iter().next().unwrap() {
                    RelayedHeartbeat::Full(full) => {
                        from_relayed.record_heartbeat(&full.into(), FencingToken(3), now);
                        HeartbeatResult::Accepted(Vec::new())
                    }
                    RelayedHeartbeat::Unchanged(unchanged) => {
                        unchanged_count += 1;
                        match from_relayed.record_unchanged_heartbeat(
                            &unchanged,
                            FencingToken(3),
                            now,
                        ) {
                            true => HeartbeatResult::Accepted(Vec::new()),
                            false => HeartbeatResult::ResendInFull,
                        }
                    }
                };
                let results = vec![(0, result)];
                if !relay.on_results(FencingToken(3), batch.number, results, now).is_empty() {
                    break;
                }
            }
            let recorded_state =
                |machine: &Machine| format!("{:?} {:?}", machine.attempts, machine.last_heartbeat);
            assert_eq!(
                recorded_state(&from_full),
                recorded_state(&from_relayed),
                "seed {seed} sequence {seq}"
            );
        }
    }
    assert!(
        unchanged_count > relayed_count / 20 && unchanged_count < relayed_count,
        "{unchanged_count} of {relayed_count} heartbeats were relayed as unchanged"
    );
}

/// Otherwise the worker would drop the answer, and its lease would expire.
#[test]
fn worker_with_a_raised_token_is_answered_under_that_token_or_the_one_that_the_leader_names() {
    let now = Instant::now();
    let mut relay = relay(now);
    let leader = FencingToken(3);
    let raised = leader.raised(leader).unwrap();
    let higher = raised.raised(leader).unwrap();
    for seq in [1, 2] {
        let reported = Heartbeat { token: raised, ..heartbeat("i-1", seq, &[]) };
        relay.accept(seq, reported, now).unwrap();
        let batch = relay.take_batches(leader, now + BATCH_DELAY).pop().unwrap();
        let commands = vec![RelayedCommand::UseToken(higher)];
        let named = vec![(0, HeartbeatResult::Accepted(commands))];
        let results = if seq == 1 { Vec::new() } else { named };
        let replies = relay.on_results(leader, batch.number, results, now);
        let expected = if seq == 1 { raised } else { higher };
        assert_eq!(replies[0].commands.token, expected);
        assert!(replies[0].commands.commands.is_empty());
    }
}
