//! Capacity limits of this controller.

use crate::admission::{LoadEstimator, MachineLimit, SocketBudget};
use crate::scheduler::planning_clock::LATE_TICK;
use crate::settings::Resources;
use tokio::time::Instant;

/// Limits of this controller, derived from its settings and its current load.
#[derive(Debug)]
pub(super) struct ResourceLimits {
    pub(super) sockets: SocketBudget,
    pub(super) machine_limit: MachineLimit,
    /// Load since the load metrics were last logged.
    pub(super) load: LoadEstimator,
    /// Number of open public connections.
    pub(super) open_connections: usize,
    /// True if workers' connections use so many sockets that users should be sent to peers.
    pub(super) sheds_users: bool,
}

impl ResourceLimits {
    pub(super) fn new(resources: &Resources, now: Instant) -> ResourceLimits {
        ResourceLimits {
            sockets: SocketBudget::new(resources),
            machine_limit: MachineLimit::new(resources, now),
            load: LoadEstimator::default(),
            open_connections: 0,
            sheds_users: false,
        }
    }

    /// Adjusts the limits to the number of machines that the scheduler knows and to the lateness of this process.
    pub(super) fn observe(&mut self, machines: usize, lateness: std::time::Duration, now: Instant) {
        self.sheds_users = self.sockets.sheds_users(machines, self.sheds_users);
        let machines = u32::try_from(machines).unwrap_or(u32::MAX);
        self.machine_limit.observe(machines, lateness > LATE_TICK, now);
    }
}
