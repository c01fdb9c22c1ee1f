//! Division of a controller's sockets between its purposes.

use crate::settings::Resources;

/// Share of the platform's socket limit for the public listener. The rest is for peers and outgoing calls, which need
/// more only while few workers send their heartbeats here.
const PUBLIC_SHARE: f64 = 0.88;
/// Share of the public sockets for machines. The rest is for workers that reconnect before their old connections are
/// closed, for health checks, and for users that can reach no other controller.
const MACHINE_SHARE: f64 = 0.95;
/// Share of the platform's socket limit reserved for peers, the store and the cloud.
const RESERVED_SHARE: f64 = 0.03;
/// Minimum share of the platform's socket limit for calls to workers, however many connections are open.
const MIN_WORKER_CALL_SHARE: f64 = 0.04;
/// Maximum share of the platform's socket limit for idle outgoing connections to workers, which are kept because
/// reusing one is cheaper than opening another.
const MAX_IDLE_SHARE: f64 = 0.25;
/// Share of the public sockets used by machines above which a leader sends users to other controllers.
const SHED_USERS_ABOVE: f64 = 0.65;
/// Share of the public sockets used by machines at or below which a leader accepts users again.
const ACCEPT_USERS_BELOW: f64 = 0.5;
/// Share of the public sockets in use above which pressure is high.
const HIGH_PRESSURE_ABOVE: f64 = 0.9;
/// Share of the public sockets in use above which pressure is critical.
const CRITICAL_PRESSURE_ABOVE: f64 = 0.98;

/// Scarcity of public sockets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SocketPressure {
    /// Connections are kept open.
    Normal,
    /// Users' connections are closed after each response.
    High,
    /// Every connection is closed after a response, including workers' connections. A worker needs its connection only
    /// for some milliseconds of its heartbeat interval, so more workers than sockets can renew within a lease.
    Critical,
}

/// Sockets available for connections that this controller opens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutgoingSockets {
    /// Maximum number of idle connections to workers.
    pub idle: usize,
    /// Maximum number of calls to workers in flight.
    pub worker_calls: usize,
}

/// Shares of a controller's socket limit, in sockets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketBudget {
    /// Maximum number of connections of workers, users and health checks.
    pub public: usize,
    /// Maximum number of machines that can send their heartbeats to one controller.
    pub max_machines: u32,
    /// Sockets that are not reserved for peers, the store and the cloud.
    unreserved: usize,
    max_idle: usize,
    min_worker_calls: usize,
}

impl SocketBudget {
    /// Divides the platform's socket limit.
    pub fn new(resources: &Resources) -> SocketBudget {
        let part = |share: f64| (resources.max_sockets as f64 * share) as usize;
        let public = part(PUBLIC_SHARE);
        SocketBudget {
            public,
            max_machines: (public as f64 * MACHINE_SHARE) as u32,
            unreserved: part(1.0 - RESERVED_SHARE),
            max_idle: part(MAX_IDLE_SHARE),
            min_worker_calls: part(MIN_WORKER_CALL_SHARE),
        }
    }

    /// Returns the sockets available for outgoing connections with that many public connections open.
    pub fn outgoing(&self, open: usize) -> OutgoingSockets {
        let free = self.unreserved.saturating_sub(open);
        let idle = self.max_idle.min(free / 2);
        let worker_calls = free.saturating_sub(idle).max(self.min_worker_calls);
        OutgoingSockets { idle, worker_calls }
    }

    /// Returns whether users should be sent to other controllers because machines use most of the public sockets.
    pub fn sheds_users(&self, machines: usize, sheds_already: bool) -> bool {
        let share = if sheds_already { ACCEPT_USERS_BELOW } else { SHED_USERS_ABOVE };
        machines as f64 > self.public as f64 * share
    }

    /// Returns the scarcity of public sockets with that many connections open.
    pub fn pressure(&self, open: usize) -> SocketPressure {
        let exceeds = |share: f64| open as f64 > self.public as f64 * share;
        if exceeds(CRITICAL_PRESSURE_ABOVE) {
            SocketPressure::Critical
        } else if exceeds(HIGH_PRESSURE_ABOVE) {
            SocketPressure::High
        } else {
            SocketPressure::Normal
        }
    }

    /// Returns the smallest number of calls to workers that [`SocketBudget::outgoing`] allows.
    #[cfg(test)]
    pub(super) fn min_worker_calls(&self) -> usize {
        self.min_worker_calls
    }

    /// Returns the largest number of idle connections that [`SocketBudget::outgoing`] allows.
    #[cfg(test)]
    pub(super) fn max_idle(&self) -> usize {
        self.max_idle
    }
}
