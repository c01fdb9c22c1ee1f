use super::{
    HeartbeatBatch, HeartbeatRelay, HeartbeatResult, RELAY_PAUSE, RELAY_RESUMES_WITHIN, RELAY_TERM,
    RELAY_TIMEOUT, RelayedCommand, RelayedHeartbeat, UnchangedHeartbeat,
};
use crate::cloud::MachinePool;
use crate::constants::BODY_MAX;
use crate::ids::{Attempt, ControllerId, FencingToken, MachineId, TaskId};
use crate::peers::membership::{Member, Membership};
use crate::wire::{CommandBatch, Heartbeat, TaskState, TaskStatus};
use crate::workers::machine::{HeartbeatEffect, Machine};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::Instant;

fn members() -> Membership {
    Membership::new(vec![Member { name: ControllerId::new("b"), zone: "a".into(), weight: 1000 }])
}

fn report(machine: &str, seq: u64, tasks: &[(&str, TaskState)]) -> Heartbeat {
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

/// Sends what waits, answers all of it without orders, and gives the batch.
fn pass(relay: &mut HeartbeatRelay, now: Instant) -> HeartbeatBatch {
    let mut batches = relay.take_batches(FencingToken(3), now + RELAY_PAUSE);
    let batch = batches.pop().unwrap();
    assert!(batches.is_empty());
    relay.on_results(FencingToken(3), batch.number, Vec::new(), now + RELAY_PAUSE);
    batch
}

#[test]
fn what_says_nothing_new_travels_as_its_number() {
    let now = Instant::now();
    let mut relay = relay(now);
    let running = [("wk-1/0", TaskState::Running)];
    assert!(relay.accept(1, report("i-1", 1, &running), now).is_ok());
    let first = pass(&mut relay, now);
    assert_eq!((first.leader, first.token), (ControllerId::new("a"), FencingToken(3)));
    assert!(matches!(first.heartbeats[..], [RelayedHeartbeat::Full(_)]));
    relay.accept(2, report("i-1", 2, &running), now).unwrap();
    let machine = MachineId::new("i-1");
    let same = UnchangedHeartbeat { machine, agent_epoch: 1, previous_seq: 1, seq: 2 };
    assert_eq!(pass(&mut relay, now).heartbeats, [RelayedHeartbeat::Unchanged(same)]);
    // The end of a task is told in full as long as it is shown.
    for seq in 3..5 {
        relay.accept(seq, report("i-1", seq, &[("wk-1/0", TaskState::Exited)]), now).unwrap();
        assert!(matches!(pass(&mut relay, now).heartbeats[..], [RelayedHeartbeat::Full(_)]));
    }
}

/// What follows an answer with orders is told in full: the leader may have forgotten what the worker still shows.
#[test]
fn orders_make_the_next_report_full() {
    let now = Instant::now();
    let mut relay = relay(now);
    relay.accept(1, report("i-1", 1, &[]), now).unwrap();
    let batch = relay.take_batches(FencingToken(3), now + RELAY_PAUSE).pop().unwrap();
    let order = RelayedCommand::Start(TaskId::parse("wk-1/0").unwrap(), Attempt(9));
    let results = vec![(0, HeartbeatResult::Accepted(vec![order.clone()]))];
    let answers = relay.on_results(FencingToken(3), batch.number, results, now);
    let orders =
        CommandBatch { token: FencingToken(3), agent_epoch: None, commands: vec![order.into()] };
    assert_eq!(answers.len(), 1);
    assert_eq!((answers[0].ticket, answers[0].commands.commands.clone()), (1, orders.commands));
    relay.accept(2, report("i-1", 2, &[]), now).unwrap();
    assert!(matches!(pass(&mut relay, now).heartbeats[..], [RelayedHeartbeat::Full(_)]));
    // An answer to an answered batch, or under another token, changes nothing.
    assert!(relay.on_results(FencingToken(3), batch.number, Vec::new(), now).is_empty());
    assert!(relay.on_results(FencingToken(2), batch.number, Vec::new(), now).is_empty());
}

#[test]
fn a_leader_that_does_not_know_what_was_said_gets_all_of_it() {
    let now = Instant::now();
    let mut relay = relay(now);
    relay.accept(1, report("i-1", 1, &[]), now).unwrap();
    pass(&mut relay, now);
    relay.accept(2, report("i-1", 2, &[]), now).unwrap();
    let batch = relay.take_batches(FencingToken(3), now + RELAY_PAUSE).pop().unwrap();
    let answers = relay.on_results(
        FencingToken(3),
        batch.number,
        vec![(0, HeartbeatResult::ResendInFull)],
        now,
    );
    assert!(answers.is_empty());
    assert!(matches!(pass(&mut relay, now).heartbeats[..], [RelayedHeartbeat::Full(_)]));
}

/// Nothing that was said to one leader counts for the next, and what it did not answer goes to the next at once.
#[test]
fn a_new_leader_is_told_everything_and_an_old_one_is_not_believed() {
    let now = Instant::now();
    let mut relay = relay(now);
    relay.accept(1, report("i-1", 1, &[]), now).unwrap();
    pass(&mut relay, now);
    relay.accept(2, report("i-1", 2, &[]), now).unwrap();
    let lost = relay.take_batches(FencingToken(3), now + RELAY_PAUSE).pop().unwrap();
    relay.on_assignment(FencingToken(4), ControllerId::new("c"), members(), now);
    assert!(relay.on_results(FencingToken(3), lost.number, Vec::new(), now).is_empty());
    assert!(relay.members(FencingToken(5), now).is_none());
    let again = relay.take_batches(FencingToken(4), now + RELAY_PAUSE).pop().unwrap();
    assert_eq!(again.leader, ControllerId::new("c"));
    assert!(matches!(again.heartbeats[..], [RelayedHeartbeat::Full(_)]));
    relay.on_assignment(FencingToken(3), ControllerId::new("a"), members(), now);
    assert_eq!(relay.on_results(FencingToken(4), again.number, Vec::new(), now).len(), 1);
}

#[test]
fn the_term_ends_and_what_is_not_answered_is_given_back() {
    let now = Instant::now();
    let mut relay = relay(now);
    assert!(relay.members(FencingToken(3), now).is_some());
    assert!(relay.members(FencingToken(3), now + RELAY_TERM).is_none());
    assert!(relay.may_resume(now + RELAY_TERM));
    assert!(!relay.may_resume(now + RELAY_RESUMES_WITHIN));
    relay.accept(1, report("i-1", 1, &[]), now).unwrap();
    relay.take_batches(FencingToken(3), now + RELAY_PAUSE);
    relay.accept(2, report("i-2", 1, &[]), now + RELAY_PAUSE).unwrap();
    assert!(relay.take_overdue(now + RELAY_TIMEOUT / 2).is_empty());
    let overdue = relay.take_overdue(now + RELAY_TIMEOUT);
    assert_eq!(overdue.iter().map(|overdue| overdue.ticket).collect::<Vec<u64>>(), [1]);
    assert_eq!(relay.take_overdue(now + RELAY_TIMEOUT * 2).len(), 1);
    assert_eq!(relay.next_due(), None);
    // Nobody is told to stop sharing by a term without members.
    relay.on_assignment(FencingToken(3), ControllerId::new("a"), Membership::default(), now);
    assert!(relay.members(FencingToken(3), now).is_none() && !relay.may_resume(now));
}

#[test]
fn batches_fit_a_frame_and_few_are_under_way() {
    let now = Instant::now();
    let mut relay = relay(now);
    let names: Vec<String> = (0..300).map(|n| format!("wk-1/{n}")).collect();
    let many: Vec<(&str, TaskState)> =
        names.iter().map(|name| (name.as_str(), TaskState::Running)).collect();
    for ticket in 0..40 {
        assert!(relay.accept(ticket, report(&format!("i-{ticket}"), 1, &many), now).is_ok());
    }
    let batches = relay.take_batches(FencingToken(3), now + RELAY_PAUSE);
    assert_eq!(batches.iter().map(|batch| batch.heartbeats.len()).sum::<usize>(), 40);
    for batch in batches {
        assert!(postcard::to_stdvec(&batch.heartbeats).unwrap().len() < BODY_MAX);
    }
    relay.accept(50, report("i-1", 2, &many), now).unwrap();
    assert!(relay.take_batches(FencingToken(3), now + RELAY_PAUSE * 2).is_empty());
    let huge: Vec<(&str, TaskState)> = many.iter().cycle().take(700).copied().collect();
    assert!(relay.accept(60, report("i-9", 1, &huge), now).is_err());
}

/// Two leaders hear the same worker, one each report in full and one as it is passed on: they know the same, whatever
/// is lost, answered with orders, or heard by another way in between.
#[test]
fn a_leader_that_hears_differences_knows_what_one_that_hears_all_knows() {
    let states = [TaskState::Fetching, TaskState::Running, TaskState::Running, TaskState::Exited];
    let (mut passed, mut short) = (0, 0);
    for seed in 0..200 {
        let random = &mut StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut relay = relay(start);
        let pool = MachinePool { flavor: 0, zone: 0, spot: false };
        let new = || Machine::new(MachineId::new("i-1"), pool, 0, start);
        let (mut plain, mut differs) = (new(), new());
        let mut tasks: Vec<(String, TaskState)> = Vec::new();
        for seq in 1..60u64 {
            let now = start + Duration::from_secs(seq * 10);
            relay.on_assignment(FencingToken(3), ControllerId::new("a"), members(), now);
            if random.random_range(0..3) == 0 {
                let state = states[random.random_range(0..states.len())];
                let name = format!("wk-1/{}", random.random_range(0..4));
                tasks.retain(|(known, _)| *known != name);
                if random.random() {
                    tasks.push((name, state));
                    tasks.sort_by(|a, b| a.0.cmp(&b.0));
                }
            }
            let shown: Vec<(&str, TaskState)> =
                tasks.iter().map(|(name, state)| (name.as_str(), *state)).collect();
            let report = report("i-1", seq, &shown);
            match random.random_range(0..6) {
                // Heard by both, straight from the worker.
                0 => {
                    assert!(matches!(
                        plain.record_heartbeat(&report, FencingToken(3), now),
                        HeartbeatEffect::Recorded(_)
                    ));
                    assert!(matches!(
                        differs.record_heartbeat(&report, FencingToken(3), now),
                        HeartbeatEffect::Recorded(_)
                    ));
                    continue;
                }
                // Lost on its way to both.
                1 => {
                    relay.accept(seq, report, now).unwrap();
                    relay.take_batches(FencingToken(3), now + RELAY_PAUSE);
                    relay.take_overdue(now + RELAY_TIMEOUT);
                    continue;
                }
                _ => {}
            }
            plain.record_heartbeat(&report, FencingToken(3), now);
            relay.accept(seq, report, now).unwrap();
            loop {
                let batch = relay.take_batches(FencingToken(3), now + RELAY_PAUSE).pop().unwrap();
                passed += 1;
                let result = match batch.heartbeats.into_iter().next().unwrap() {
                    RelayedHeartbeat::Full(full) => {
                        differs.record_heartbeat(&full.into(), FencingToken(3), now);
                        HeartbeatResult::Accepted(Vec::new())
                    }
                    RelayedHeartbeat::Unchanged(unchanged) => {
                        short += 1;
                        match differs.record_unchanged_heartbeat(&unchanged, FencingToken(3), now) {
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
            let seen =
                |machine: &Machine| format!("{:?} {:?}", machine.attempts, machine.last_heartbeat);
            assert_eq!(seen(&plain), seen(&differs), "seed {seed} sequence {seq}");
        }
    }
    assert!(short > passed / 20 && short < passed, "{short} of {passed} were short");
}
