//! How much this controller can take now.

use crate::admission::{LoadEstimator, MachineLimit, SocketBudget};
use crate::scheduler::planning_clock::LATE_TICK;
use crate::settings::Resources;
use tokio::time::Instant;

/// What this controller can take, by its settings and by how busy it is.
#[derive(Debug)]
pub(super) struct ResourceLimits {
    pub(super) sockets: SocketBudget,
    pub(super) machine_limit: MachineLimit,
    /// The load since it was last logged.
    pub(super) load: LoadEstimator,
    /// Public connections that are open.
    pub(super) open_connections: usize,
    /// Workers' connections take up so much that users should go elsewhere.
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

    /// Records how late this process is with that many machines.
    pub(super) fn observe(&mut self, machines: usize, lateness: std::time::Duration, now: Instant) {
        self.sheds_users = self.sockets.sheds_users(machines, self.sheds_users);
        let machines = u32::try_from(machines).unwrap_or(u32::MAX);
        self.machine_limit.observe(machines, lateness > LATE_TICK, now);
    }
}
