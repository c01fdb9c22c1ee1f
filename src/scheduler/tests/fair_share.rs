//! Floors of groups while capacity is scarce.

use super::fixture::{TestLeader, task_statuses};
use crate::cloud::MachinePool;
use crate::ids::JobId;
use crate::jobs::JobBody;
use crate::scheduler::autoscaling::{CapacityBackoff, PROBE_REQUEST, RENTAL_SETTLE_TIME};
use crate::scheduler::fair_share::FairShare;
use crate::wire::{JobKind, Priority, TaskState};
use std::sync::Arc;
use std::time::Duration;
use troutspindle_protocol::operator_api::FairShareReport;

/// An array fills the only four machines, then a service requests all of them. Without floors the
/// service preempts the whole array. With floors the array keeps the capacity up to its floor, and
/// the capacity above goes first to the group that is below its floor.
#[test]
fn preemption_stops_at_a_group_floor_and_serves_groups_below_their_floor() {
    let running_count = |leader: &TestLeader, id: &JobId| {
        let machines = leader.scheduler.fleet.machines.values();
        let entries = machines.flat_map(|m| m.attempts.iter());
        entries.filter(|((task, _), e)| task.job == *id && e.stop.is_none()).count()
    };
    let run_with_floor = |floor: f64| {
        let mut leader = TestLeader::new();
        Arc::make_mut(&mut leader.scheduler.settings).operator.floor = floor;
        leader.scheduler.fair_share = FairShare::new(floor);
        let names = ["i-1", "i-2", "i-3", "i-4"];
        names.iter().for_each(|name| drop(leader.heartbeat(name, vec![])));
        leader.scheduler.fleet.listed_once = true;
        leader.now += RENTAL_SETTLE_TIME * 2;
        names.iter().for_each(|name| drop(leader.heartbeat(name, vec![])));
        for (zone, spot) in [(0, true), (0, false), (1, true), (1, false)] {
            let pool = MachinePool { machine_type: 0, zone, spot };
            let backoff = CapacityBackoff { not_before: leader.now, max_request: PROBE_REQUEST };
            leader.scheduler.autoscaler.capacity_backoff.insert(pool, backoff);
        }
        let array = leader.job("wk-1", JobKind::Array, 400);
        let run_one_second = |leader: &mut TestLeader| {
            leader.pass(Duration::from_secs(1));
            for name in names {
                let commands = leader.heartbeat(name, vec![]);
                leader.heartbeat(name, task_statuses(&commands, TaskState::Running));
            }
        };
        run_one_second(&mut leader);
        assert_eq!(running_count(&leader, &array), 16);
        for _ in 0..5 {
            run_one_second(&mut leader);
        }
        let service = leader.job("wk-2", JobKind::Service, 16);
        let live = leader.store.cache.jobs.all.get_mut(&service);
        let Some(JobBody::Live(live)) = live.map(|job| &mut job.body) else { panic!() };
        let spec = Arc::make_mut(&mut live.spec);
        (spec.priority, spec.class) = (Priority::Production, "urgent".into());
        for _ in 0..5 {
            leader.pass(Duration::from_millis(500));
        }
        let report = leader.scheduler.fair_share_report(leader.now);
        (running_count(&leader, &array), running_count(&leader, &service), report)
    };
    let (array_tasks, _, report) = run_with_floor(0.0);
    let leader = report.leader.clone();
    assert_eq!(
        (array_tasks, report),
        (0, FairShareReport { leader, ..FairShareReport::default() })
    );
    let (array_tasks, _, report) = run_with_floor(0.5);
    // By the arrival rate of its 400 tasks of 10 s, the array needs 13 machines; the service needs
    // 4. The array's floor is therefore three quarters of the fleet.
    assert_eq!(array_tasks, 12, "{report:?}");
    assert!(report.scarce_for_s.is_some() && report.exhausted);
    let below: Vec<&str> = report.groups.iter().map(|group| group.class.as_str()).collect();
    assert_eq!(below, ["urgent"], "the capacity preempted for the service is not free yet");
}
