//! Floors while capacity is scarce.

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

/// Four machines, all that there are, full of an array's tasks and a service that wants all of it. Without
/// floors it takes all; with them the array keeps what is above nothing of its floor, and what others
/// give up goes first to whoever is below.
#[test]
fn holdings_up_to_the_floor_stay_and_freed_capacity_goes_to_groups_below() {
    let running = |bench: &TestLeader, id: &JobId| {
        let machines = bench.scheduler.fleet.machines.values();
        let entries = machines.flat_map(|m| m.attempts.iter());
        entries.filter(|((task, _), e)| task.job == *id && e.stop.is_none()).count()
    };
    let play = |floor: f64| {
        let mut bench = TestLeader::new();
        Arc::make_mut(&mut bench.scheduler.settings).operator.floor = floor;
        bench.scheduler.fair_share = FairShare::new(floor);
        let names = ["i-1", "i-2", "i-3", "i-4"];
        names.iter().for_each(|name| drop(bench.report(name, vec![])));
        bench.scheduler.fleet.listed_once = true;
        bench.now += RENTAL_SETTLE_TIME * 2;
        names.iter().for_each(|name| drop(bench.report(name, vec![])));
        for (zone, spot) in [(0, true), (0, false), (1, true), (1, false)] {
            let kind = MachinePool { flavor: 0, zone, spot };
            let backoff = CapacityBackoff { not_before: bench.now, max_request: PROBE_REQUEST };
            bench.scheduler.autoscaler.capacity_backoff.insert(kind, backoff);
        }
        let array = bench.job("wk-1", JobKind::Array, 400);
        let second = |bench: &mut TestLeader| {
            bench.pass(Duration::from_secs(1));
            for name in names {
                let orders = bench.report(name, vec![]);
                bench.report(name, task_statuses(&orders, TaskState::Running));
            }
        };
        second(&mut bench);
        assert_eq!(running(&bench, &array), 16);
        for _ in 0..5 {
            second(&mut bench);
        }
        let service = bench.job("wk-2", JobKind::Service, 16);
        let live = bench.store.cache.jobs.all.get_mut(&service);
        let Some(JobBody::Live(live)) = live.map(|job| &mut job.body) else { panic!() };
        let spec = Arc::make_mut(&mut live.spec);
        (spec.priority, spec.class) = (Priority::Production, "urgent".into());
        for _ in 0..5 {
            bench.pass(Duration::from_millis(500));
        }
        let starving = bench.scheduler.starving(bench.now);
        (running(&bench, &array), running(&bench, &service), starving)
    };
    let (array, _, starving) = play(0.0);
    let leader = starving.leader.clone();
    assert_eq!((array, starving), (0, FairShareReport { leader, ..FairShareReport::default() }));
    let (array, _, starving) = play(0.5);
    // By the rate at which its 400 tasks of 10 s came the array needs 13 machines and the service needs
    // 4, so the array's floor is three quarters of what there is.
    assert_eq!(array, 12, "{starving:?}");
    assert!(starving.scarce_for_s.is_some() && starving.exhausted);
    let below: Vec<&str> = starving.groups.iter().map(|group| group.class.as_str()).collect();
    assert_eq!(below, ["urgent"], "its room is not free yet");
}
