//! What a new leader makes of what its predecessor left.

use super::fixture::{TestLeader, after_failover, running_status};
use crate::ids::{Amount, Attempt, ControllerId, FencingToken, MachineId, Revision};
use crate::jobs;
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::schema::records;
use crate::wire::{JobKind, StoreValue, WorkerCommand, Write};
use crate::workers::machine::{JOB_FINISHED, StopRequest};

/// An old heartbeat of the machine that a task has left reaches a new leader before the news of the one where it
/// runs. The one that ran was once told to stop, and its task started a third time at once.
#[test]
fn task_in_a_stale_heartbeat_goes_on_where_it_was_started_last() {
    for old_first in [true, false] {
        let (mut bench, job) = after_failover(1);
        let mut shown = [("i-1", running_status(&job, 5)), ("i-2", running_status(&job, 9))];
        if !old_first {
            shown.reverse();
        }
        for (machine, task) in shown {
            bench.report(machine, vec![task]);
        }
        for round in 0..20 {
            bench.pass(MIN_PASS_INTERVAL * 5);
            let starts = |order: &WorkerCommand| matches!(order, WorkerCommand::Start { .. });
            let orders = bench.report("i-1", vec![]);
            assert!(!orders.iter().any(starts), "round {round}: {orders:?}");
            let orders = bench.report("i-2", vec![running_status(&job, 9)]);
            assert!(orders.is_empty(), "round {round}: {orders:?}");
        }
        // Free only once it is shown nowhere.
        bench.report("i-2", vec![]);
        bench.pass(MIN_PASS_INTERVAL * 5);
        let placed = &bench.scheduler.jobs.progress[&job].placed;
        assert!(placed.len() == 1 && placed[&0].attempt > Attempt(9), "{placed:?}");
    }
}

/// Tasks of a job that was cancelled before the failover may run on machines that have not told yet.
#[test]
fn orphaned_tasks_count_until_every_machine_is_confirmed() {
    let wall_ms = 1_000_000;
    let cases = [
        (Some(wall_ms), 2, "cancelled a moment ago"),
        (Some(wall_ms - 900_000), 0, "long ago"),
        // The version before tells neither time nor number: all that is hidden may be its.
        (None, u64::MAX, "by the version before"),
    ];
    for (at_ms, tasks, what) in cases {
        let (mut bench, id) = after_failover(2);
        let job = bench.store.cache.jobs.get(&id).unwrap();
        let layout = records::Layout { format: records::FORMAT, ..bench.store.layout() };
        let transaction = jobs::cancel(&id, job, at_ms.unwrap_or_default(), &layout).unwrap();
        let [Write::Put { data, .. }] = &transaction.writes[..] else { panic!() };
        let mut data = data.clone();
        if let (None, StoreValue::Map(fields)) = (at_ms, &mut data) {
            fields.retain(|(key, _)| !["e", "t"].contains(&key.as_text().unwrap()));
        }
        bench.store.cache.jobs.apply_record(id.clone(), &data, Revision(9));
        bench.lead_anew();
        let need = Amount::request(4.0, 0.0, 4.0);
        assert_eq!(bench.scheduler.jobs.orphaned_capacity.of(0), need.times(tasks), "{what}");
        bench.report("i-1", vec![]);
        bench.pass(MIN_PASS_INTERVAL * 5);
        assert_eq!(
            bench.scheduler.jobs.orphaned_capacity.of(0),
            need.times(tasks),
            "{what}: one has not told"
        );
        bench.report("i-2", vec![]);
        bench.pass(MIN_PASS_INTERVAL * 5);
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
fn leader_without_lease_answers_revoked_machines_unless_a_late_start_may_reach_them() {
    let mut bench = TestLeader::new();
    bench.report("i-1", vec![]);
    let id = bench.job("wk-1", JobKind::Array, 1);
    bench.pass(MIN_PASS_INTERVAL * 5);
    let machine = MachineId::new("i-1");
    let flies = |bench: &mut TestLeader, over: bool| {
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
