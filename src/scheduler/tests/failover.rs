//! A new leader's handling of the tasks and commands of its predecessor.

use super::fixture::{TestLeader, after_failover, running_status};
use crate::ids::{Amount, Attempt, ControllerId, FencingToken, MachineId, Revision};
use crate::jobs;
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::schema::records;
use crate::wire::{JobKind, StoreValue, WorkerCommand, Write};
use crate::workers::machine::{JOB_FINISHED, StopRequest};

/// A stale heartbeat of a task's previous machine may reach a new leader before the heartbeat of the machine on which
/// the task runs. The leader must not stop the running attempt; otherwise the task would be started a third time.
#[test]
fn latest_attempt_continues_when_a_stale_heartbeat_shows_an_earlier_one() {
    for stale_first in [true, false] {
        let (mut leader, job) = after_failover(1);
        let mut heartbeats = [("i-1", running_status(&job, 5)), ("i-2", running_status(&job, 9))];
        if !stale_first {
            heartbeats.reverse();
        }
        for (machine, task) in heartbeats {
            leader.heartbeat(machine, vec![task]);
        }
        for round in 0..20 {
            leader.pass(MIN_PASS_INTERVAL * 5);
            let is_start = |command: &WorkerCommand| matches!(command, WorkerCommand::Start { .. });
            let commands = leader.heartbeat("i-1", vec![]);
            assert!(!commands.iter().any(is_start), "round {round}: {commands:?}");
            let commands = leader.heartbeat("i-2", vec![running_status(&job, 9)]);
            assert!(commands.is_empty(), "round {round}: {commands:?}");
        }
        // The task is free only once no heartbeat shows an attempt at it.
        leader.heartbeat("i-2", vec![]);
        leader.pass(MIN_PASS_INTERVAL * 5);
        let placed = &leader.scheduler.jobs.progress[&job].placed;
        assert!(placed.len() == 1 && placed[&0].attempt > Attempt(9), "{placed:?}");
    }
}

/// Tasks of a job that was cancelled before the failover may still run on unconfirmed machines.
#[test]
fn orphaned_tasks_count_until_every_machine_is_confirmed() {
    let wall_ms = 1_000_000;
    let cases = [
        (Some(wall_ms), 2, "cancelled a moment ago"),
        (Some(wall_ms - 900_000), 0, "cancelled long ago"),
        // The previous version stores neither the time nor the number of tasks, so they count as unlimited.
        (None, u64::MAX, "cancelled by the previous version"),
    ];
    for (at_ms, tasks, case) in cases {
        let (mut leader, id) = after_failover(2);
        let job = leader.store.cache.jobs.get(&id).unwrap();
        let layout = records::Layout { format: records::FORMAT, ..leader.store.layout() };
        let transaction = jobs::cancel(&id, job, at_ms.unwrap_or_default(), &layout).unwrap();
        let [Write::Put { data, .. }] = &transaction.writes[..] else { panic!() };
        let mut data = data.clone();
        if let (None, StoreValue::Map(fields)) = (at_ms, &mut data) {
            fields.retain(|(key, _)| !["e", "t"].contains(&key.as_text().unwrap()));
        }
        leader.store.cache.jobs.apply_record(id.clone(), &data, Revision(9));
        leader.begin_new_term();
        let request = Amount::request(4.0, 0.0, 4.0);
        assert_eq!(leader.scheduler.jobs.orphaned_capacity.of(0), request.times(tasks), "{case}");
        leader.heartbeat("i-1", vec![]);
        leader.pass(MIN_PASS_INTERVAL * 5);
        assert_eq!(
            leader.scheduler.jobs.orphaned_capacity.of(0),
            request.times(tasks),
            "{case}: one machine unconfirmed"
        );
        leader.heartbeat("i-2", vec![]);
        leader.pass(MIN_PASS_INTERVAL * 5);
        assert_eq!(
            leader.scheduler.jobs.orphaned_capacity.of(0),
            Amount::default(),
            "{case}: all machines confirmed"
        );
    }
}

/// During a store outage, a leader whose lease has expired still answers a worker that reconnects to it, even if the
/// leader revoked the worker's machine itself. The exception is a machine that a delayed start of a cancelled job may
/// still reach: its lease has to expire.
#[test]
fn leader_without_lease_answers_revoked_machines_unless_a_delayed_start_may_reach_them() {
    let mut leader = TestLeader::new();
    leader.heartbeat("i-1", vec![]);
    let id = leader.job("wk-1", JobKind::Array, 1);
    leader.pass(MIN_PASS_INTERVAL * 5);
    let machine = MachineId::new("i-1");
    let set_start_in_flight = |leader: &mut TestLeader, job_finished: bool| {
        let known = leader.scheduler.fleet.machines.get_mut(&machine).unwrap();
        for entry in known.attempts.values_mut() {
            let reason = if job_finished { JOB_FINISHED } else { "moved" };
            (entry.starts_in_flight, entry.is_reported) = (1, false);
            entry.stop = Some(StopRequest { grace_s: 0.0, reason });
        }
        assert_eq!(known.attempts.len(), 1);
    };
    set_start_in_flight(&mut leader, false);
    leader.now += leader.scheduler.settings.worker_lease();
    leader.scheduler.delegate_leases(&ControllerId::new("n-1"), 1, leader.now);
    assert!(leader.scheduler.fleet.machines[&machine].revoked_since.is_some());
    assert_eq!(leader.scheduler.answer_for_leader(&machine, leader.now), Some(FencingToken(1)));
    assert_eq!(leader.scheduler.fleet.machines[&machine].last_answered, leader.now);
    set_start_in_flight(&mut leader, true);
    assert_eq!(leader.scheduler.answer_for_leader(&machine, leader.now), None, "{id}");
}
