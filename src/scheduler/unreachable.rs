//! Machines that answer nobody: their deletion is the proof that nothing runs on them any more, and it
//! comes long before their lease is surely over.

use crate::constants::WORKER_MARGIN;
use crate::jobs::Job;
use crate::scheduler::Scheduler;
use crate::scheduler::fleet::FleetSummary;
use crate::store::Cache;
use crate::wire::{JobKind, TaskState};
use crate::workers::machine::{Machine, MachineState};
use std::time::Duration;
use tokio::time::Instant;

/// A heartbeat is late after so many of its intervals: PROTOCOL varies each by a quarter.
const HEARTBEAT_LATE_FACTOR: f64 = 1.25;
/// Added to the above: a lost packet and its resend.
const HEARTBEAT_LATE_MARGIN: Duration = Duration::from_millis(1000);
/// A machine that answers nobody is terminated at once if waiting for the end of its lease would take
/// longer than this: about twice what its tasks take to start elsewhere, with an image.
const EARLY_TERMINATION_GAIN: Duration = Duration::from_secs(8);
/// The same for replicas on a machine that may be cut off alone: they run on until its lease ends, and
/// being terminated costs them a start. Where leases are short, waiting is the smaller loss.
const EARLY_TERMINATION_GAIN_OF_REPLICAS: Duration = Duration::from_secs(15);

impl Scheduler {
    /// A worker whose report is later than its interval allows is asked whether it lives.
    pub(super) fn heartbeat_late_after(&self) -> Duration {
        self.settings.heartbeat_interval().mul_f64(HEARTBEAT_LATE_FACTOR) + HEARTBEAT_LATE_MARGIN
    }

    /// What all machines together show now.
    pub(super) fn fleet_summary(&self, now: Instant) -> FleetSummary {
        let quiet = self.settings.heartbeat_interval() * 2 + Duration::from_secs(1);
        self.fleet.summary(quiet, now)
    }

    /// Gives back machines that hang, are dead or cut off alone, where waiting for the end of their
    /// lease would cost more: replicas that are down until then, and after a failover every older
    /// job, of which something may run there. What is cut off with its zone is waited for, and
    /// nobody is given up by a process that falls behind itself.
    pub(super) fn terminate_unreachable(&mut self, cut_off: &[bool], cache: &Cache, now: Instant) {
        if self.start_pacer.is_behind(now) {
            return;
        }
        let late = self.heartbeat_late_after();
        let zones = cut_off.len();
        // How many machines of each zone are late.
        let (mut up, mut silent) = (vec![0usize; zones], vec![0usize; zones]);
        for machine in self.fleet.machines.values().filter(|m| m.state == MachineState::Up) {
            up[machine.zone] += 1;
            silent[machine.zone] += usize::from(machine.time_since_heartbeat(now) > late);
        }
        let lease = self.settings.worker_lease() + WORKER_MARGIN;
        let mut lost = Vec::new();
        for machine in self.fleet.machines.values() {
            let Some(asked) = machine.unanswered_probe else { continue };
            let zone = machine.zone;
            let silence = machine.time_since_heartbeat(now);
            // Others of its zone were heard after it had been asked in vain, so that it is not the way
            // there that is cut; and nobody tells that it answers elsewhere.
            let alone = self.fleet.zone_last_heartbeat[zone].is_some_and(|at| at > asked)
                && silent[zone] * 2 <= up[zone]
                && !cut_off[zone];
            let told = self.delegations.last_answered(&machine.id);
            let elsewhere =
                told.is_some_and(|at| machine.last_heartbeat.is_none_or(|heard| at > heard));
            let worth = if machine.confirmed {
                EARLY_TERMINATION_GAIN_OF_REPLICAS
            } else {
                EARLY_TERMINATION_GAIN
            };
            let waits = lease.saturating_sub(silence) > worth;
            if machine.state == MachineState::Up
                && silence > late
                && alone
                && !elsewhere
                && waits
                && (!machine.confirmed || self.holds_replicas(machine, cache))
            {
                lost.push(machine.id.clone());
            }
        }
        for id in lost {
            let Some(machine) = self.fleet.machines.get_mut(&id) else { continue };
            tracing::info!(machine = %id, confirmed = machine.confirmed, "machine unreachable, terminating");
            machine.state = MachineState::Returning;
        }
    }

    fn holds_replicas(&self, machine: &Machine, cache: &Cache) -> bool {
        machine.attempts.iter().any(|((task, _), entry)| {
            let job = cache.jobs.get(&task.job).and_then(Job::live);
            entry.state != TaskState::Exited
                && job.is_some_and(|job| job.spec.kind == JobKind::Service)
        })
    }

    /// Zones none of whose machines is heard: cut off from here rather than dead.
    pub(super) fn unreachable_zones(&self, survey: &FleetSummary, now: Instant) -> Vec<bool> {
        let (up, heard) = (&survey.up, &survey.reachable);
        // One silent machine alone may well be dead, unless its zone's controllers are silent too.
        let names = &self.settings.platform.params.zones;
        let deaf = |zone: usize| {
            let others = &self.settings.platform.others;
            let mut there = others.iter().filter(|peer| peer.location == names[zone]).peekable();
            there.peek().is_some()
                && there.all(|peer| self.delegations.is_unreachable(&peer.host_name, now))
        };
        (0..up.len())
            .map(|zone| up[zone] > 0 && heard[zone] * 4 < up[zone] && (up[zone] >= 2 || deaf(zone)))
            .collect()
    }

    /// Zones that are silent or were so a moment ago: when a cut ends, the machines behind it
    /// come back one by one, and the last to report is not dead because the first has reported.
    pub(super) fn recently_unreachable_zones(
        &mut self,
        survey: &FleetSummary,
        now: Instant,
    ) -> Vec<bool> {
        for (zone, silent) in self.unreachable_zones(survey, now).into_iter().enumerate() {
            if silent {
                self.fleet.zone_unreachable_at[zone] = Some(now);
            }
        }
        let back = self.settings.heartbeat_interval() * 4;
        self.fleet
            .zone_unreachable_at
            .iter()
            .map(|at| at.is_some_and(|at| now < at + back))
            .collect()
    }
}
