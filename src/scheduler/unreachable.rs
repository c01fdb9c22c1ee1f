//! Detects unreachable machines and zones, and terminates unreachable machines.
//!
//! A confirmed deletion proves that nothing runs on a machine, long before its lease is certain to have expired.

use crate::constants::WORKER_LEASE_MARGIN;
use crate::jobs::Job;
use crate::scheduler::Scheduler;
use crate::scheduler::fleet::FleetSummary;
use crate::store::Cache;
use crate::wire::{JobKind, TaskState};
use crate::workers::machine::{Machine, MachineState};
use std::time::Duration;
use tokio::time::Instant;

/// Number of heartbeat intervals after which a heartbeat is late: PROTOCOL varies each interval by a quarter.
const HEARTBEAT_LATE_FACTOR: f64 = 1.25;
/// Time added to these intervals before a heartbeat is late, for a lost packet and its retransmission.
const HEARTBEAT_LATE_MARGIN: Duration = Duration::from_millis(1000);
/// Remaining lease above which an unreachable, unconfirmed machine is terminated at once instead of waiting for its
/// lease to expire: about twice the time that its tasks take to start elsewhere, including the image fetch.
const EARLY_TERMINATION_GAIN: Duration = Duration::from_secs(8);
/// The same threshold for a confirmed machine with service replicas. If only its network is cut, the replicas run
/// until the lease expires, and termination costs them a restart; with short leases, waiting loses less.
const EARLY_TERMINATION_GAIN_OF_REPLICAS: Duration = Duration::from_secs(15);

impl Scheduler {
    /// Returns the time since a worker's last heartbeat after which its status is requested.
    pub(super) fn heartbeat_late_after(&self) -> Duration {
        self.settings.heartbeat_interval().mul_f64(HEARTBEAT_LATE_FACTOR) + HEARTBEAT_LATE_MARGIN
    }

    pub(super) fn fleet_summary(&self, now: Instant) -> FleetSummary {
        let silent_after = self.settings.heartbeat_interval() * 2 + Duration::from_secs(1);
        self.fleet.summary(silent_after, now)
    }

    /// Terminates single machines that hang, are dead or lost their network, where waiting for their lease to expire
    /// would cost more: service replicas stay down until then, and after a failover so does every older job that may
    /// have tasks there. Machines of an unreachable zone are not terminated, and neither is any machine while this
    /// process itself is behind.
    pub(super) fn terminate_unreachable(
        &mut self,
        unreachable_zones: &[bool],
        cache: &Cache,
        now: Instant,
    ) {
        if self.start_pacer.is_behind(now) {
            return;
        }
        let late_after = self.heartbeat_late_after();
        let zones = unreachable_zones.len();
        // Per zone, the number of machines that are up and the number of those with a late heartbeat.
        let (mut up, mut silent) = (vec![0usize; zones], vec![0usize; zones]);
        for machine in self.fleet.machines.values().filter(|m| m.state == MachineState::Up) {
            up[machine.zone] += 1;
            silent[machine.zone] += usize::from(machine.time_since_heartbeat(now) > late_after);
        }
        let lease = self.settings.worker_lease() + WORKER_LEASE_MARGIN;
        let mut to_terminate = Vec::new();
        for machine in self.fleet.machines.values() {
            let Some(probed_at) = machine.unanswered_probe else { continue };
            let zone = machine.zone;
            let silence = machine.time_since_heartbeat(now);
            // Other machines of its zone sent heartbeats after the unanswered probe, so the network path to the zone
            // works; and no other controller has answered a heartbeat of this machine since its last one here.
            let only_machine_silent = self.fleet.zone_last_heartbeat[zone]
                .is_some_and(|at| at > probed_at)
                && silent[zone] * 2 <= up[zone]
                && !unreachable_zones[zone];
            let delegated_answer = self.delegations.last_answered(&machine.id);
            let reaches_peer = delegated_answer
                .is_some_and(|at| machine.last_heartbeat.is_none_or(|heartbeat| at > heartbeat));
            let min_gain = if machine.confirmed {
                EARLY_TERMINATION_GAIN_OF_REPLICAS
            } else {
                EARLY_TERMINATION_GAIN
            };
            let saves_time = lease.saturating_sub(silence) > min_gain;
            if machine.state == MachineState::Up
                && silence > late_after
                && only_machine_silent
                && !reaches_peer
                && saves_time
                && (!machine.confirmed || self.runs_replicas(machine, cache))
            {
                to_terminate.push(machine.id.clone());
            }
        }
        for id in to_terminate {
            let Some(machine) = self.fleet.machines.get_mut(&id) else { continue };
            tracing::info!(machine = %id, confirmed = machine.confirmed, "machine unreachable, terminating");
            machine.state = MachineState::Terminating;
        }
    }

    fn runs_replicas(&self, machine: &Machine, cache: &Cache) -> bool {
        machine.attempts.iter().any(|((task, _), entry)| {
            let job = cache.jobs.get(&task.job).and_then(Job::live);
            entry.state != TaskState::Exited
                && job.is_some_and(|job| job.spec.kind == JobKind::Service)
        })
    }

    /// Returns, by zone, whether it is unreachable as a whole: fewer than a quarter of its machines send heartbeats, so
    /// the network is cut rather than each machine dead.
    pub(super) fn unreachable_zones(&self, summary: &FleetSummary, now: Instant) -> Vec<bool> {
        let (up, reachable) = (&summary.up, &summary.reachable);
        // A single silent machine may be dead, unless the zone's controllers are unreachable too.
        let names = &self.settings.platform.params.zones;
        let controllers_unreachable = |zone: usize| {
            let peers = &self.settings.platform.others;
            let mut in_zone = peers.iter().filter(|peer| peer.location == names[zone]).peekable();
            in_zone.peek().is_some()
                && in_zone.all(|peer| self.delegations.is_unreachable(&peer.host_name, now))
        };
        (0..up.len())
            .map(|zone| {
                up[zone] > 0
                    && reachable[zone] * 4 < up[zone]
                    && (up[zone] >= 2 || controllers_unreachable(zone))
            })
            .collect()
    }

    /// Returns, by zone, whether it is unreachable or was within the last four heartbeat intervals. When a network
    /// partition ends, machines reconnect one by one; the last ones must not be taken for dead because others have
    /// already reported.
    pub(super) fn recently_unreachable_zones(
        &mut self,
        summary: &FleetSummary,
        now: Instant,
    ) -> Vec<bool> {
        for (zone, unreachable) in self.unreachable_zones(summary, now).into_iter().enumerate() {
            if unreachable {
                self.fleet.zone_unreachable_at[zone] = Some(now);
            }
        }
        let recovery_time = self.settings.heartbeat_interval() * 4;
        self.fleet
            .zone_unreachable_at
            .iter()
            .map(|at| at.is_some_and(|at| now < at + recovery_time))
            .collect()
    }
}
