//! Limit of the machines that may be rented for one leader.

use crate::admission::SocketBudget;
use crate::settings::Resources;
use std::time::Duration;
use tokio::time::Instant;

/// Share of the platform's memory limit that the state of machines may take up.
const MACHINE_MEMORY_SHARE: f64 = 0.5;
/// Memory of a leader for one machine, in bytes: its tasks, its connection and its part of the jobs.
pub const MACHINE_BYTES: f64 = 12_000.0;
/// Pause between two adjustments, longer than the time for which a failover keeps a leader busy.
const ADJUSTMENT_INTERVAL: Duration = Duration::from_secs(15);
/// Share of `by_resources` that the number of machines must exceed before lateness limits scale-out.
const LARGE_FLEET_SHARE: f64 = 0.5;
/// Number of adjustments in which the limit rises from zero to the machines allowed by resources.
const RECOVERY_STEPS: u32 = 40;

/// Maximum number of machines of a leader: by sockets and memory, and by its processor if the leader has fallen behind
/// for a long time.
#[derive(Debug)]
pub struct MachineLimit {
    /// Machines allowed by the sockets of one controller.
    by_sockets: u32,
    by_memory: u32,
    /// Machines allowed by sockets and memory, given the controllers that currently receive heartbeats.
    by_resources: u32,
    current: u32,
    /// Observations since the last adjustment.
    observations: u32,
    late_observations: u32,
    adjust_at: Instant,
}

impl MachineLimit {
    /// Creates the limit of a leader whose load has not been observed yet.
    pub fn new(resources: &Resources, now: Instant) -> MachineLimit {
        let by_sockets = SocketBudget::new(resources).max_machines;
        let bytes = resources.memory_mb * 1e6 * MACHINE_MEMORY_SHARE;
        // 0 in the settings means no memory limit.
        let by_memory = if bytes > 0.0 { (bytes / MACHINE_BYTES) as u32 } else { u32::MAX };
        let by_resources = by_sockets.min(by_memory);
        MachineLimit {
            by_sockets,
            by_memory,
            by_resources,
            current: by_resources,
            observations: 0,
            late_observations: 0,
            adjust_at: now + ADJUSTMENT_INTERVAL,
        }
    }

    /// Returns the number of machines that may be rented.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Sets the number of controllers that workers are connected to.
    pub fn set_controllers(&mut self, controllers: u32) {
        let by_resources = self.by_sockets.saturating_mul(controllers).min(self.by_memory);
        if by_resources != self.by_resources {
            // A limit that was reduced because the leader fell behind rises from its current value.
            let is_reduced = self.current != self.by_resources;
            self.current = if is_reduced { self.current.min(by_resources) } else { by_resources };
            self.by_resources = by_resources;
        }
    }

    /// Returns whether that many machines can overload a leader by themselves. The leader of a smaller fleet is late
    /// for another reason, such as a slow controller or a burst.
    pub fn is_large_fleet(&self, machines: usize) -> bool {
        machines as f64 > f64::from(self.by_resources) * LARGE_FLEET_SHARE
    }

    /// Records whether this process is late. If it is late in more than half of the observations of an interval and
    /// the fleet is large, no more machines may be rented; afterwards the limit rises again in steps.
    pub fn observe(&mut self, machines: u32, is_late: bool, now: Instant) {
        self.observations += 1;
        self.late_observations += u32::from(is_late);
        if now < self.adjust_at {
            return;
        }
        let falls_behind = self.late_observations * 2 > self.observations;
        if falls_behind && self.is_large_fleet(machines as usize) {
            if machines < self.current {
                tracing::info!(
                    machines,
                    "leader falls behind, scale-out limited to the current number of machines"
                );
            }
            self.current = machines.min(self.current);
        } else if self.current < self.by_resources {
            let step = (self.by_resources / RECOVERY_STEPS).max(1);
            self.current = self.by_resources.min(self.current + step);
        }
        self.observations = 0;
        self.late_observations = 0;
        self.adjust_at = now + ADJUSTMENT_INTERVAL;
    }
}
