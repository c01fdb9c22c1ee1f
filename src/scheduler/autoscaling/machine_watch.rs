//! Checks of machines for expired leases, failed boots, silence and idleness.
//!
//! Changes machines' states. The tasks of a machine whose lease has expired are reported as lost.

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

/// Multiple of the nominal boot time after which a machine that is not up is terminated. The limit
/// is doubled while no machine rented later is up.
pub(in crate::scheduler) const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
/// Time added to the limit given by [`BOOT_TIMEOUT_FACTOR`].
pub(in crate::scheduler) const BOOT_TIMEOUT_MARGIN: Duration = Duration::from_secs(20);
/// Multiple of the nominal boot time after which a machine that is not up is overdue, so that no
/// more tasks are reserved on it.
const BOOT_OVERDUE_FACTOR: f64 = 1.8;
/// Time added to the limit given by [`BOOT_OVERDUE_FACTOR`].
const BOOT_OVERDUE_MARGIN: Duration = Duration::from_secs(2);
/// Minimum number of overdue machines for which a common cause of the delay is presumed.
const COMMON_DELAY_MIN_MACHINES: usize = 3;
/// Minimum age at which an idle machine is terminated: at least a minute is billed, so the machine
/// is kept for nearly that long.
const MIN_SCALE_IN_AGE: Duration = Duration::from_secs(55);
/// Delay before a new leader terminates idle machines, as a multiple of [`RENTAL_SETTLE_TIME`].
const IDLE_WAIT_SETTLE_TIMES: u32 = 4;

/// Inputs for the checks of machines.
struct MachineChecks<'a> {
    settings: &'a Settings,
    delegations: &'a Delegations,
    term: &'a LeaderTerm,
    autoscaler: &'a Autoscaler,
    machine_types: &'a [MachineType],
    summary: &'a FleetSummary,
    /// True if a zone is or recently was unreachable as a whole; indexed by zone.
    unreachable_zones: &'a [bool],
    now: Instant,
}

impl MachineChecks<'_> {
    /// Checks one machine and returns events for the tasks that are lost with it.
    fn check(&self, machine: &mut Machine) -> Vec<TaskEvent> {
        let presumed_expired = self.is_lease_presumed_expired(machine);
        let lost = self.check_lease(machine, presumed_expired);
        self.check_boot(machine);
        if machine.state == MachineState::Up && machine.faulty && machine.is_empty() {
            terminate_machine(machine, "machine is faulty, terminating");
        }
        self.check_silence(machine, presumed_expired);
        self.check_idle(machine);
        lost
    }

    /// Returns whether a machine's lease has expired, as far as this leader and the followers'
    /// reports of renewals show, and the machine's zone is otherwise reachable.
    fn is_lease_presumed_expired(&self, machine: &Machine) -> bool {
        let last_acknowledged = self.delegations.last_answered(&machine.id);
        machine.state == MachineState::Up
            && machine.is_lease_expired(last_acknowledged, self.settings.worker_lease(), self.now)
            && !self.unreachable_zones[machine.zone]
    }

    fn check_lease(&self, machine: &mut Machine, presumed_expired: bool) -> Vec<TaskEvent> {
        if machine.confirmed && machine.attempts.is_empty() {
            // No task can be running on the machine.
            return Vec::new();
        }
        // The previous leader's lease had expired before this term began, and heartbeats that other
        // controllers acknowledge on behalf of this leader renew a lease for a bounded time only.
        // Once the lease has certainly expired, the worker has killed its tasks.
        let acknowledged_until =
            self.delegations.latest_possible_answer(&machine.id, machine.revoked_since);
        if machine.is_lease_expired(acknowledged_until, self.settings.worker_lease(), self.now) {
            tracing::info!(machine = %machine.id, "machine unreachable, lease expired");
            machine.confirmed = true;
            machine.terminated_up_to = self.term.latest_attempt();
            return machine.terminate_attempts();
        }
        if presumed_expired {
            // Another controller might still renew the lease. Deleting the machine proves that
            // nothing runs there. If its whole zone is unreachable, the machine is kept until the
            // zone is reachable again.
            terminate_machine(machine, "machine unreachable beyond its lease, terminating");
        }
        Vec::new()
    }

    fn check_boot(&self, machine: &mut Machine) {
        let machine_type = &self.machine_types[machine.machine_type];
        let mut boot_timeout = Duration::from_secs_f64(machine_type.boot_s * BOOT_TIMEOUT_FACTOR)
            + BOOT_TIMEOUT_MARGIN;
        if !self.summary.newer_machine_is_up()(machine) {
            // No machine rented later is up either: all are delayed, and replacements would be too.
            boot_timeout *= 2;
        }
        let age = self.now.saturating_duration_since(machine.rented_at);
        if machine.state == MachineState::Booting && age > boot_timeout {
            terminate_machine(machine, "machine did not boot in time, terminating");
        }
    }

    fn check_silence(&self, machine: &mut Machine, presumed_expired: bool) {
        if machine.state == MachineState::Up
            && presumed_expired
            && self.is_silent(machine)
            && machine.time_since_heartbeat(self.now) > self.settings.worker_lease() * 2
        {
            terminate_machine(machine, "machine unreachable for long, terminating");
        }
    }

    fn is_silent(&self, machine: &Machine) -> bool {
        machine.time_since_heartbeat(self.now) > self.settings.heartbeat_interval() * 2
    }

    fn check_idle(&self, machine: &mut Machine) {
        // A silent machine is not idle: otherwise a failover that finds a zone unreachable would
        // terminate all machines of that zone.
        let is_idle = machine.state == MachineState::Up
            && !self.is_silent(machine)
            && machine.is_empty()
            && machine.reclaim_at.is_none();
        if !is_idle {
            machine.idle_since = None;
            return;
        }
        let idle_since = *machine.idle_since.get_or_insert(self.now);
        let idle_for = self.now.saturating_duration_since(idle_since);
        let age = self.now.saturating_duration_since(machine.rented_at);
        if machine.confirmed
            && idle_for > self.idle_limit(machine)
            && age >= MIN_SCALE_IN_AGE
            && !self.autoscaler.reserved_machines.contains(&machine.id)
            && self.now > self.term.started_at + RENTAL_SETTLE_TIME * IDLE_WAIT_SETTLE_TIMES
        {
            terminate_machine(machine, "machine idle, scaling in");
        }
    }

    /// Returns how long a machine may be idle. Idle time costs less on a spot machine, while a boot
    /// delays its users just as long, so the limit grows with the price ratio.
    fn idle_limit(&self, machine: &Machine) -> Duration {
        let machine_type = &self.machine_types[machine.machine_type];
        let price_ratio = if machine.spot && machine_type.spot_price > 0.0 {
            (machine_type.price / machine_type.spot_price).max(1.0)
        } else {
            1.0
        };
        Duration::from_secs_f64(self.settings.operator.idle_return_s).mul_f64(price_ratio)
    }
}

fn terminate_machine(machine: &mut Machine, message: &'static str) {
    tracing::info!(machine = %machine.id, "{message}");
    machine.state = MachineState::Terminating;
}

impl Scheduler {
    /// Returns a predicate for overdue machines: those that have been booting for so long that no
    /// more tasks are reserved on them. If several are overdue at once and no machine rented later
    /// is up, all are delayed, and renting replacements would pay twice for the same wait.
    pub(in crate::scheduler) fn boot_overdue(
        &self,
        summary: &FleetSummary,
        now: Instant,
    ) -> impl Fn(&Machine, &MachineType) -> bool + use<> {
        let is_beyond_limit = move |machine: &Machine, machine_type: &MachineType| {
            let overdue_after = Duration::from_secs_f64(machine_type.boot_s * BOOT_OVERDUE_FACTOR)
                + BOOT_OVERDUE_MARGIN;
            now.saturating_duration_since(machine.rented_at) >= overdue_after
        };
        let newer_is_up = summary.newer_machine_is_up();
        let late_machines = self.fleet.machines.values().filter(|machine| {
            machine.state == MachineState::Booting
                && is_beyond_limit(machine, &self.fleet.machine_types[machine.machine_type])
                && !newer_is_up(machine)
        });
        let has_common_delay =
            summary.booting && late_machines.count() >= COMMON_DELAY_MIN_MACHINES;
        move |machine, machine_type| {
            is_beyond_limit(machine, machine_type) && (!has_common_delay || newer_is_up(machine))
        }
    }

    /// Checks all machines, and terminates those that are faulty, lost, idle or boot too late.
    pub(in crate::scheduler) fn check_machines(
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
        let checks = MachineChecks {
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
            let lost = checks.check(machine);
            events.extend(lost.into_iter().map(|event| (machine.id.clone(), event)));
            if machine.state == MachineState::Terminating {
                cloud.scale_in(&machine.id, now);
            }
        }
        for (machine, event) in events {
            self.on_task_event(&machine, event, cache, now);
        }
    }
}
