//! What silence, age and idleness do to machines.
//!
//! Changes machines' lives; what ran on a machine whose lease has expired is reported as lost.

use crate::cloud::CloudClient;
use crate::leadership::delegation::Delegations;
use crate::scheduler::Scheduler;
use crate::scheduler::autoscaling::{Autoscaler, RENTAL_SETTLE_TIME};
use crate::scheduler::fleet::FleetSummary;
use crate::scheduler::term::LeaderTerm;
use crate::settings::Settings;
use crate::store::Cache;
use crate::wire::MachineType;
use crate::workers::machine::{Machine, MachineState, TaskEvent};
use std::time::Duration;
use tokio::time::Instant;

/// A machine that is not up after this many times its nominal boot time is returned.
pub(in crate::scheduler) const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
/// Added to the above.
pub(in crate::scheduler) const BOOT_TIMEOUT_MARGIN: Duration = Duration::from_secs(20);
/// A machine that is not up after this many times its nominal boot time is overdue.
const BOOT_OVERDUE_FACTOR: f64 = 1.8;
/// Added to the above.
const BOOT_OVERDUE_MARGIN: Duration = Duration::from_secs(2);
/// From so many overdue machines on, all are taken to be delayed.
const COMMON_DELAY_MACHINES: usize = 3;
/// A machine is billed for a minute at the least, so that it is kept for nearly that long.
const MINIMUM_BILLED: Duration = Duration::from_secs(55);
/// How many settling times a new leader waits before it returns idle machines.
const IDLE_SETTLE_TIMES: u32 = 4;

/// What machines are checked by.
struct MachineWatch<'a> {
    settings: &'a Settings,
    delegations: &'a Delegations,
    term: &'a LeaderTerm,
    autoscaler: &'a Autoscaler,
    machine_types: &'a [MachineType],
    summary: &'a FleetSummary,
    /// By zone: whether it is or was lately unreachable as a whole.
    unreachable_zones: &'a [bool],
    now: Instant,
}

impl MachineWatch<'_> {
    /// Checks one machine and returns what is lost of its tasks.
    fn check(&self, machine: &mut Machine) -> Vec<TaskEvent> {
        let expired = self.is_beyond_any_lease(machine);
        let lost = self.check_lease(machine, expired);
        self.check_boot(machine);
        if machine.state == MachineState::Up && machine.faulty && machine.is_empty() {
            return_machine(machine, "machine is faulty, terminating");
        }
        self.check_silence(machine, expired);
        self.check_idle(machine);
        lost
    }

    /// Whether the lease of a machine has expired, whoever may have renewed it, and its zone is
    /// reachable otherwise.
    fn is_beyond_any_lease(&self, machine: &Machine) -> bool {
        let answered = self.delegations.last_answered(&machine.id);
        machine.state == MachineState::Up
            && machine.is_lease_expired(answered, self.settings.worker_lease(), self.now)
            && !self.unreachable_zones[machine.zone]
    }

    fn check_lease(&self, machine: &mut Machine, expired: bool) -> Vec<TaskEvent> {
        if machine.confirmed && machine.attempts.is_empty() {
            // Nothing can be running there.
            return Vec::new();
        }
        // A predecessor's right had ended when ours began, and what others may answer on our behalf
        // is bounded: once the lease has surely expired, the worker has killed what it had.
        let others = self.delegations.latest_possible_answer(&machine.id, machine.revoked_since);
        if machine.is_lease_expired(others, self.settings.worker_lease(), self.now) {
            tracing::info!(machine = %machine.id, "machine unreachable, lease expired");
            machine.confirmed = true;
            machine.terminated_up_to = self.term.latest_attempt();
            return machine.terminate_attempts();
        }
        if expired {
            // Another controller might still answer it. Its deletion proves that nothing runs
            // there, unless its whole zone is unreachable: that one is waited for.
            return_machine(machine, "machine unreachable beyond its lease, terminating");
        }
        Vec::new()
    }

    fn check_boot(&self, machine: &mut Machine) {
        let machine_type = &self.machine_types[machine.flavor];
        let mut patience = Duration::from_secs_f64(machine_type.boot_s * BOOT_TIMEOUT_FACTOR)
            + BOOT_TIMEOUT_MARGIN;
        if !self.summary.overtaken()(machine) {
            // None that was rented later is up either: all come late, and those that would replace
            // it come no sooner.
            patience *= 2;
        }
        let age = self.now.saturating_duration_since(machine.rented);
        if machine.state == MachineState::Booting && age > patience {
            return_machine(machine, "machine did not boot in time, terminating");
        }
    }

    fn check_silence(&self, machine: &mut Machine, expired: bool) {
        if machine.state == MachineState::Up
            && expired
            && self.is_quiet(machine)
            && machine.time_since_heartbeat(self.now) > self.settings.worker_lease() * 2
        {
            return_machine(machine, "machine unreachable for long, terminating");
        }
    }

    fn is_quiet(&self, machine: &Machine) -> bool {
        machine.time_since_heartbeat(self.now) > self.settings.heartbeat_interval() * 2
    }

    fn check_idle(&self, machine: &mut Machine) {
        // A silent machine is not idle: after a failover that finds a zone unreachable, all its
        // machines would be returned.
        let idle = machine.state == MachineState::Up
            && !self.is_quiet(machine)
            && machine.is_empty()
            && machine.reclaim_at.is_none();
        if !idle {
            machine.idle_since = None;
            return;
        }
        let idle_since = *machine.idle_since.get_or_insert(self.now);
        let idle_for = self.now.saturating_duration_since(idle_since);
        let age = self.now.saturating_duration_since(machine.rented);
        if machine.confirmed
            && idle_for > self.idle_limit(machine)
            && age >= MINIMUM_BILLED
            && !self.autoscaler.reserved_machines.contains(&machine.id)
            && self.now > self.term.started_at + RENTAL_SETTLE_TIME * IDLE_SETTLE_TIMES
        {
            return_machine(machine, "machine idle, scaling in");
        }
    }

    /// For how long a machine may be idle: idle time costs less on a spot machine, and a boot costs
    /// its users the same.
    fn idle_limit(&self, machine: &Machine) -> Duration {
        let machine_type = &self.machine_types[machine.flavor];
        let price_ratio = if machine.spot && machine_type.spot_price > 0.0 {
            (machine_type.price / machine_type.spot_price).max(1.0)
        } else {
            1.0
        };
        Duration::from_secs_f64(self.settings.operator.idle_return_s).mul_f64(price_ratio)
    }
}

fn return_machine(machine: &mut Machine, message: &'static str) {
    tracing::info!(machine = %machine.id, "{message}");
    machine.state = MachineState::Returning;
}

impl Scheduler {
    /// From what age on nothing is booked any more on a machine that is still booting. Where
    /// several are overdue at once and none that was rented later is up, all come late, and renting
    /// as many again would pay twice for the same wait.
    pub(in crate::scheduler) fn overdue(
        &self,
        summary: &FleetSummary,
        now: Instant,
    ) -> impl Fn(&Machine, &MachineType) -> bool + use<> {
        let is_late = move |machine: &Machine, machine_type: &MachineType| {
            let usual = Duration::from_secs_f64(machine_type.boot_s * BOOT_OVERDUE_FACTOR)
                + BOOT_OVERDUE_MARGIN;
            now.saturating_duration_since(machine.rented) >= usual
        };
        let overtaken = summary.overtaken();
        let late = self.fleet.machines.values().filter(|machine| {
            machine.state == MachineState::Booting
                && is_late(machine, &self.fleet.machine_types[machine.flavor])
                && !overtaken(machine)
        });
        let all_late = summary.booting && late.count() >= COMMON_DELAY_MACHINES;
        move |machine, machine_type| {
            is_late(machine, machine_type) && (!all_late || overtaken(machine))
        }
    }

    /// Checks all machines, and returns those that are faulty, lost or idle.
    pub(in crate::scheduler) fn watch_machines(
        &mut self,
        cache: &Cache,
        cloud: &mut CloudClient,
        now: Instant,
    ) {
        let summary = self.fleet_summary(now);
        let unreachable_zones = self.recently_unreachable_zones(&summary, now);
        self.attribute_failures(&summary, cache, now);
        if summary.status_unanswered {
            self.terminate_unreachable(&unreachable_zones, cache, now);
        }
        let watch = MachineWatch {
            settings: &self.settings,
            delegations: &self.delegations,
            term: &self.term,
            autoscaler: &self.autoscaler,
            machine_types: &self.fleet.machine_types,
            summary: &summary,
            unreachable_zones: &unreachable_zones,
            now,
        };
        let mut events = Vec::new();
        for machine in self.fleet.machines.values_mut() {
            let lost = watch.check(machine);
            events.extend(lost.into_iter().map(|event| (machine.id.clone(), event)));
            if machine.state == MachineState::Returning {
                cloud.scale_in(&machine.id, now);
            }
        }
        for (machine, event) in events {
            self.on_task_event(&machine, event, cache, now);
        }
    }
}
