//! Machines that boot late or are unreachable.

use super::fixture::{TestLeader, task_statuses};
use crate::cloud::{CloudEvent, MachinePool};
use crate::controller::TICK_MAX;
use crate::ids::MachineId;
use crate::scheduler::autoscaling::{BOOT_TIMEOUT_FACTOR, BOOT_TIMEOUT_MARGIN};
use crate::scheduler::direct_calls::OutgoingCall;
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::settings::Settings;
use crate::settings::fixtures::machine_type;
use crate::wire::{JobKind, TaskState};
use crate::workers::command_delivery::DirectCall;
use crate::workers::machine::MachineState;
use std::sync::Arc;
use std::time::Duration;

/// If all new machines are delayed, terminating them would only restart the wait. Once a machine
/// that was rented later is up, the delayed ones are overdue and are terminated.
#[test]
fn machines_delayed_together_are_kept_until_one_rented_later_is_up() {
    let mut leader = TestLeader::new();
    leader.heartbeat("i-0", vec![]);
    leader.job("wk-1", JobKind::Array, 4);
    let names: Vec<String> = (1..6).map(|n| format!("i-{n}")).collect();
    let machine_ids = names.iter().map(|name| MachineId::new(name)).collect();
    let pool = MachinePool { machine_type: 0, zone: 1, spot: true };
    leader.pass(MIN_PASS_INTERVAL);
    let rented_event = CloudEvent::MachinesRented(pool, machine_ids);
    leader.scheduler.on_cloud(rented_event, &leader.store.cache, leader.now);
    let booting = |leader: &TestLeader| {
        leader
            .scheduler
            .fleet
            .machines
            .values()
            .filter(|m| m.state == MachineState::Booting)
            .count()
    };
    let boot_timeout =
        Duration::from_secs_f64(machine_type().boot_s * BOOT_TIMEOUT_FACTOR) + BOOT_TIMEOUT_MARGIN;
    leader.pass(boot_timeout / 2);
    let machine_type = machine_type();
    let overdue_count = |leader: &TestLeader| {
        let summary = leader.scheduler.fleet_summary(leader.now);
        let is_overdue = leader.scheduler.boot_overdue(&summary, leader.now);
        leader
            .scheduler
            .fleet
            .machines
            .values()
            .filter(|m| m.up_since.is_none() && is_overdue(m, &machine_type))
            .count()
    };
    assert_eq!(overdue_count(&leader), 0);
    leader.pass(boot_timeout / 2 + MIN_PASS_INTERVAL);
    assert_eq!(booting(&leader), 5);
    // A machine that was rented later is up.
    leader.heartbeat("i-9", vec![]);
    assert_eq!(overdue_count(&leader), 5);
    leader.pass(MIN_PASS_INTERVAL * 2);
    assert_eq!(booting(&leader), 0);
}

/// A machine with replicas that answers no controller is terminated long before its lease expires,
/// but only if other machines of its zone were reachable when it was called: unanswered calls
/// during a network partition prove nothing.
#[test]
fn unreachable_machine_is_terminated_before_lease_expiry_only_if_others_are_reachable() {
    for others_reachable in [true, false] {
        let mut leader = TestLeader::new();
        let mut settings = Settings::clone(&leader.scheduler.settings);
        settings.platform.params.workers.lease_s = 60.0;
        leader.scheduler.settings = Arc::new(settings);
        let machines = ["i-1", "i-2", "i-3"];
        machines.iter().for_each(|machine| drop(leader.heartbeat(machine, vec![])));
        leader.job("wk-1", JobKind::Service, 1);
        leader.pass(MIN_PASS_INTERVAL * 5);
        let commands = leader.heartbeat("i-1", vec![]);
        let running = task_statuses(&commands, TaskState::Running);
        assert_eq!(running.len(), 1);
        leader.heartbeat("i-1", running);
        let heartbeat_late_after = leader.scheduler.heartbeat_late_after();
        let until = leader.now + heartbeat_late_after * 3;
        while leader.now < until {
            // During a partition the leader receives no heartbeat until the partition ends.
            if others_reachable || leader.now + TICK_MAX * 2 >= until {
                machines[1..].iter().for_each(|machine| drop(leader.heartbeat(machine, vec![])));
            }
            leader.pass(TICK_MAX);
            for OutgoingCall { machine: id, call: direct, .. } in
                leader.scheduler.take_direct_calls()
            {
                let sent = match direct {
                    DirectCall::Do(commands) => Some(commands),
                    DirectCall::Status => None,
                };
                let no_response = Err(crate::http::CallError::Unknown);
                let (cache, now) = (&leader.store.cache, leader.now);
                leader.scheduler.on_worker_response(&id, sent.as_ref(), no_response, cache, now);
            }
        }
        let state = leader.scheduler.fleet.machines[&MachineId::new("i-1")].state;
        assert_eq!(state == MachineState::Terminating, others_reachable);
    }
}
