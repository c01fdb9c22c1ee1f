//! How a controller's sockets are shared out.

use crate::settings::Resources;

/// Share of the platform's socket limit that the public listener may hold. The rest is for peers and our own calls,
/// which need more only while few workers send their heartbeats here.
const PUBLIC_SHARE: f64 = 0.88;
/// Share of the public sockets that machines may take up. The rest is for workers that reconnect while their old
/// connections are not closed yet, for health checks, and for users that have no other controller.
const MACHINE_SHARE: f64 = 0.95;
/// Share of the platform's socket limit that is reserved for peers, the store and the cloud.
const RESERVED_SHARE: f64 = 0.03;
/// Share of the platform's socket limit that calls to workers get, however many connections are open.
const MIN_WORKER_CALL_SHARE: f64 = 0.04;
/// Share of the platform's socket limit that idle connections of ours to workers may hold: it is cheaper to reuse one
/// than to open another.
const MAX_IDLE_SHARE: f64 = 0.25;
/// Share of the public sockets taken up by machines above which a leader sends users to other controllers.
const SHED_USERS_ABOVE: f64 = 0.65;
/// Share of the public sockets taken up by machines at which a leader takes users again.
const TAKE_USERS_BELOW: f64 = 0.5;
/// Share of the public sockets in use above which pressure is high.
const HIGH_PRESSURE_ABOVE: f64 = 0.9;
/// Share of the public sockets in use above which pressure is critical.
const CRITICAL_PRESSURE_ABOVE: f64 = 0.98;

/// How scarce public sockets are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SocketPressure {
    /// Connections are kept open.
    Normal,
    /// Users' connections are closed after each response.
    High,
    /// Every connection is closed after a response, also a worker's: more workers than there are sockets then get
    /// their turns within a lease, since each needs a connection for some milliseconds of its heartbeat interval.
    Critical,
}

/// What is left of the sockets for connections that this controller opens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutgoingSockets {
    /// Idle connections to workers that may be kept.
    pub idle: usize,
    /// Calls to workers that may be in flight.
    pub worker_calls: usize,
}

/// The shares of a controller's socket limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketBudget {
    /// Connections of workers, users and health checks.
    pub public: usize,
    /// Machines whose heartbeats one controller can take.
    pub max_machines: u32,
    /// All but what is reserved.
    unreserved: usize,
    max_idle: usize,
    min_worker_calls: usize,
}

impl SocketBudget {
    /// The shares of the platform's limit.
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

    /// What is left with that many public connections open.
    pub fn outgoing(&self, open: usize) -> OutgoingSockets {
        let free = self.unreserved.saturating_sub(open);
        let idle = self.max_idle.min(free / 2);
        let worker_calls = free.saturating_sub(idle).max(self.min_worker_calls);
        OutgoingSockets { idle, worker_calls }
    }

    /// Whether users should go to other controllers, since workers' connections take up most of the public sockets.
    pub fn sheds_users(&self, machines: usize, sheds_already: bool) -> bool {
        let share = if sheds_already { TAKE_USERS_BELOW } else { SHED_USERS_ABOVE };
        machines as f64 > self.public as f64 * share
    }

    /// How scarce public sockets are with that many connections open.
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

    /// The least number of calls to workers that [`SocketBudget::outgoing`] allows.
    #[cfg(test)]
    pub(super) fn min_worker_calls(&self) -> usize {
        self.min_worker_calls
    }

    /// The largest number of idle connections that [`SocketBudget::outgoing`] allows.
    #[cfg(test)]
    pub(super) fn max_idle(&self) -> usize {
        self.max_idle
    }
}
