//! Machines that boot late or cannot be reached.

use super::fixture::{TestLeader, task_statuses};
use crate::cloud::{CloudEvent, MachinePool};
use crate::controller::TICK_MAX;
use crate::ids::MachineId;
use crate::scheduler::autoscaling::{BOOT_TIMEOUT_FACTOR, BOOT_TIMEOUT_MARGIN};
use crate::scheduler::direct_calls::OutgoingCall;
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::settings::Settings;
use crate::settings::fixtures::machine_type as flavor;
use crate::wire::{JobKind, TaskState};
use crate::workers::command_delivery::DirectCall;
use crate::workers::machine::MachineState;
use std::sync::Arc;
use std::time::Duration;

/// Where new machines come late all together, giving them back only begins the wait anew; one
/// that others have overtaken is given up in time.
#[test]
fn machines_that_boot_late_together_are_waited_for() {
    let mut bench = TestLeader::new();
    bench.report("i-0", vec![]);
    bench.job("wk-1", JobKind::Array, 4);
    let names: Vec<String> = (1..6).map(|n| format!("i-{n}")).collect();
    let rented = names.iter().map(|name| MachineId::new(name)).collect();
    let kind = MachinePool { flavor: 0, zone: 1, spot: true };
    bench.pass(MIN_PASS_INTERVAL);
    let hired = CloudEvent::MachinesRented(kind, rented);
    bench.scheduler.on_cloud(hired, &bench.store.cache, bench.now);
    let booting = |bench: &TestLeader| {
        bench.scheduler.fleet.machines.values().filter(|m| m.state == MachineState::Booting).count()
    };
    let patience =
        Duration::from_secs_f64(flavor().boot_s * BOOT_TIMEOUT_FACTOR) + BOOT_TIMEOUT_MARGIN;
    bench.pass(patience / 2);
    let flavor = flavor();
    let overdue = |bench: &TestLeader| {
        let survey = bench.scheduler.fleet_summary(bench.now);
        let overdue = bench.scheduler.overdue(&survey, bench.now);
        bench
            .scheduler
            .fleet
            .machines
            .values()
            .filter(|m| m.up_since.is_none() && overdue(m, &flavor))
            .count()
    };
    assert_eq!(overdue(&bench), 0);
    bench.pass(patience / 2 + MIN_PASS_INTERVAL);
    assert_eq!(booting(&bench), 5);
    // One that was rented later is up.
    bench.report("i-9", vec![]);
    assert_eq!(overdue(&bench), 5);
    bench.pass(MIN_PASS_INTERVAL * 2);
    assert_eq!(booting(&bench), 0);
}

/// A machine with replicas that answers nobody is terminated long before its lease is over, if the
/// way to its zone was open when it was asked; what was asked during a cut proves nothing.
#[test]
fn unreachable_machine_is_terminated_only_if_others_are_reachable() {
    for open in [true, false] {
        let mut bench = TestLeader::new();
        let mut settings = Settings::clone(&bench.scheduler.settings);
        settings.platform.params.workers.lease_s = 60.0;
        bench.scheduler.settings = Arc::new(settings);
        let machines = ["i-1", "i-2", "i-3"];
        machines.iter().for_each(|machine| drop(bench.report(machine, vec![])));
        bench.job("wk-1", JobKind::Service, 1);
        bench.pass(MIN_PASS_INTERVAL * 5);
        let orders = bench.report("i-1", vec![]);
        let running = task_statuses(&orders, TaskState::Running);
        assert_eq!(running.len(), 1);
        bench.report("i-1", running);
        let late = bench.scheduler.heartbeat_late_after();
        let until = bench.now + late * 3;
        while bench.now < until {
            // Behind a cut nobody is heard, until it ends.
            if open || bench.now + TICK_MAX * 2 >= until {
                machines[1..].iter().for_each(|machine| drop(bench.report(machine, vec![])));
            }
            bench.pass(TICK_MAX);
            for OutgoingCall { machine: id, call: direct, .. } in
                bench.scheduler.take_direct_calls()
            {
                let sent = match direct {
                    DirectCall::Do(orders) => Some(orders),
                    DirectCall::Status => None,
                };
                let gave_up = Err(crate::http::CallError::Unknown);
                let (cache, now) = (&bench.store.cache, bench.now);
                bench.scheduler.on_worker_response(&id, sent.as_ref(), gave_up, cache, now);
            }
        }
        let life = bench.scheduler.fleet.machines[&MachineId::new("i-1")].state;
        assert_eq!(life == MachineState::Terminating, open);
    }
}
