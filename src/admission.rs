//! What a controller can hold: how its sockets are shared out, how many machines may be rented, and which
//! requests go first, or are refused, where it falls behind.
//!
//! Cores without clock or I/O. They own no request's meaning: who is a worker and who a user is told to them.

use crate::constants::{CHANGE_DEADLINE, READ_TOGETHER, USER_DEADLINE};
use crate::settings::{Resources, Settings, ShardHeartbeats};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Share of the platform's socket limit that the public listener may hold; the rest is for the
/// mesh and our own calls, which need more only while few workers report here.
pub const PUBLIC_SOCKET_SHARE: f64 = 0.88;
/// Share of those that machines rented may take up: a twentieth is for workers that change over while
/// their old connections are not closed yet, for health checks, and for users who have nobody else.
pub const MACHINE_SOCKET_SHARE: f64 = 0.95;
/// Share of the platform's socket limit that nothing else may take: the mesh, the state service, the cloud.
pub const KEPT_SOCKET_SHARE: f64 = 0.03;
/// Share of the platform's socket limit for calls to workers under way, however many connections are open.
pub const DIRECT_SOCKET_LEAST: f64 = 0.04;
/// What a request or a report takes of a whole core, with its packets: measured over days of all sizes.
pub const REQUEST_COST: Duration = Duration::from_micros(160);
/// Requests are read and not handled for so long at the most, by what they cost and what this controller is allowed.
pub const READ_AHEAD: Duration = Duration::from_millis(100);
/// Count. And at least so many at once.
pub const READ_LEAST: usize = 16;
/// Shares of public sockets that machines take up from which on a leader sends its users to other
/// controllers, and below which it takes them again.
pub const CROWDED_SHARE: f64 = 0.65;
pub const UNCROWDED_SHARE: f64 = 0.5;
/// Share of public sockets in use from which on users' connections are closed after each answer.
pub const TIGHT_SHARE: f64 = 0.9;
/// Share of public sockets in use from which on every connection is closed after an answer, workers' too: a worker
/// needs one for some milliseconds in each of its intervals, and one that finds none for a lease loses its tasks.
pub const FULL_SHARE: f64 = 0.98;
/// Share of the platform's memory limit that what is known of machines may take up.
pub const MACHINE_MEMORY_SHARE: f64 = 0.5;
/// Bytes. What a leader holds for a machine with its tasks, connection and part of the jobs: 6,000 were measured
/// at 4,100 machines.
pub const MACHINE_BYTES: f64 = 12_000.0;
/// Pause between two decisions about how many machines a leader can hold: longer than a take-over keeps it busy.
pub const CEILING_EVERY: Duration = Duration::from_secs(15);
/// Share of the machines that sockets allow below which lateness is no reason to rent fewer.
pub const CEILING_LEAST: f64 = 0.5;
/// Count. Steps in which such a ceiling rises again from nothing.
pub const CEILING_STEPS: u32 = 40;
/// Count. Requests waiting for each second over which those who are refused are spread.
pub const COME_BACK_EACH: u64 = 100;
/// Seconds. The longest such time; PROTOCOL's users wait no longer than 30 s.
pub const COME_BACK_MOST_S: u64 = 15;
/// Share of the platform's socket limit that idle connections of ours to workers may hold: opening one costs two more
/// wake-ups and ten more system calls than using it again.
pub const IDLE_SOCKET_SHARE: f64 = 0.25;
/// Share of what a controller can hold alone, in sockets or processor time for reports, from which on others take
/// reports as well, and below which the leader takes them all again.
pub const SHARE_ABOVE: f64 = 0.6;
pub const SHARE_BELOW: f64 = 0.4;
/// Count. Workers from which on that is so whatever one controller could hold: else the leader of many large controllers
/// would fill to six times what the others have before they take anything.
pub const SHARE_WORKERS: f64 = 1500.0;

/// How a controller's sockets are shared out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sockets {
    /// Connections of workers, users and health checks.
    pub public: usize,
    /// Machines whose reports one controller can take: what is left of those is for workers that change
    /// over, health checks, and users that have nobody else.
    pub machines: u32,
    /// All that we open or accept, but for a few kept for the mesh and the state service.
    all: usize,
    idle_most: usize,
    direct_least: usize,
}

impl Sockets {
    pub fn new(resources: &Resources) -> Sockets {
        let part = |share: f64| (resources.max_sockets as f64 * share) as usize;
        let public = part(PUBLIC_SOCKET_SHARE);
        Sockets {
            public,
            machines: (public as f64 * MACHINE_SOCKET_SHARE) as u32,
            all: part(1.0 - KEPT_SOCKET_SHARE),
            idle_most: part(IDLE_SOCKET_SHARE),
            direct_least: part(DIRECT_SOCKET_LEAST),
        }
    }

    /// With so many public connections open: how many idle connections to workers may be kept, and how many
    /// calls to workers may be under way at once.
    pub fn ours(&self, open: usize) -> (usize, usize) {
        let free = self.all.saturating_sub(open);
        let idle = self.idle_most.min(free / 2);
        (idle, free.saturating_sub(idle).max(self.direct_least))
    }

    /// Whether users had better go elsewhere, since workers' connections take up most of what there is.
    pub fn crowded(&self, machines: usize, was: bool) -> bool {
        let share = if was { UNCROWDED_SHARE } else { CROWDED_SHARE };
        machines as f64 > self.public as f64 * share
    }

    /// Whether connections are so many that those of users are closed after each answer.
    pub fn tight(&self, open: usize) -> bool {
        open as f64 > self.public as f64 * TIGHT_SHARE
    }
}

impl Sockets {
    /// Whether there is no room for one who is not connected yet: whoever is answered then makes room, also a worker,
    /// so that more workers than there are sockets get their turns within a lease.
    pub fn full(&self, open: usize) -> bool {
        open as f64 > self.public as f64 * FULL_SHARE
    }
}

/// How many machines a leader can hold: by sockets and memory, and by its processor where that shows to
/// fall behind for long.
#[derive(Debug)]
pub struct MachineLimit {
    /// By sockets of one controller, and by memory.
    by_sockets: u32,
    by_memory: u32,
    /// The lesser of the two, where so many controllers take reports.
    fixed: u32,
    now: u32,
    /// Looks since it last changed, and how many of them were late.
    looks: u32,
    late: u32,
    until: Instant,
}

impl MachineLimit {
    pub fn new(resources: &Resources, now: Instant) -> MachineLimit {
        let by_sockets = Sockets::new(resources).machines;
        let bytes = resources.memory_mb * 1e6 * MACHINE_MEMORY_SHARE;
        // Settings that name no limit have none.
        let by_memory = if bytes > 0.0 { (bytes / MACHINE_BYTES) as u32 } else { u32::MAX };
        let fixed = by_sockets.min(by_memory);
        MachineLimit {
            by_sockets,
            by_memory,
            fixed,
            now: fixed,
            looks: 0,
            late: 0,
            until: now + CEILING_EVERY,
        }
    }

    pub fn most(&self) -> u32 {
        self.now
    }

    /// Told by how many controllers workers' connections are held.
    pub fn shared_by(&mut self, controllers: u32) {
        let fixed = self.by_sockets.saturating_mul(controllers).min(self.by_memory);
        if fixed != self.fixed {
            // A ceiling that had come down since its leader fell behind rises from there.
            self.now = if self.now == self.fixed { fixed } else { self.now.min(fixed) };
            self.fixed = fixed;
        }
    }

    /// Whether so many machines are enough to keep a leader busy by themselves. A small fleet that finds its leader
    /// late has another cause: a slow controller, a burst.
    pub fn is_large(&self, machines: usize) -> bool {
        machines as f64 > f64::from(self.fixed) * CEILING_LEAST
    }

    /// One look, with so many machines held, and whether this process was late. Where half of the looks are, nothing
    /// more is rented; afterwards the ceiling rises again, a little at a time.
    pub fn look(&mut self, machines: u32, late: bool, now: Instant) {
        self.looks += 1;
        self.late += u32::from(late);
        if now < self.until {
            return;
        }
        let behind = self.late * 2 > self.looks;
        if behind && self.is_large(machines as usize) {
            if machines < self.now {
                tracing::info!(machines, "falls behind, rents no more than there are");
            }
            self.now = machines.min(self.now);
        } else if self.now < self.fixed {
            self.now = self.fixed.min(self.now + (self.fixed / CEILING_STEPS).max(1));
        }
        (self.looks, self.late, self.until) = (0, 0, now + CEILING_EVERY);
    }
}

/// Whether reports are more than one controller should take alone: by its sockets, or by the processor time that taking
/// them costs. One rule for all deployments, from their settings and the number of machines.
#[derive(Debug)]
pub struct Load {
    machines_by_sockets: f64,
    machines_by_processor: f64,
    wanted: ShardHeartbeats,
    shared: bool,
}

impl Load {
    pub fn new(settings: &Settings) -> Load {
        let resources = &settings.platform.params.resources;
        let report_every = settings.report_every();
        Load {
            machines_by_sockets: f64::from(Sockets::new(resources).machines),
            machines_by_processor: resources.fits(report_every, REQUEST_COST),
            wanted: settings.operator.share_reports,
            shared: false,
        }
    }

    /// With so many machines; what is shared goes on being shared until it is clearly too little.
    pub fn look(&mut self, machines: usize) -> bool {
        let least = self.machines_by_sockets.min(self.machines_by_processor);
        let share = machines as f64 / least.clamp(1.0, SHARE_WORKERS / SHARE_ABOVE);
        self.shared = share > if self.shared { SHARE_BELOW } else { SHARE_ABOVE };
        match self.wanted {
            ShardHeartbeats::Auto => self.shared,
            ShardHeartbeats::Always => true,
            ShardHeartbeats::Never => false,
        }
    }
}

/// How busy a process is, as far as it can tell by itself: what handling events takes of the time that passes, which
/// does not contain what the system does for it.
#[derive(Debug, Default)]
pub struct LoadEstimator {
    pub events: u32,
    busy: Duration,
    /// The latest tick.
    pub late: Duration,
}

impl LoadEstimator {
    pub fn handled(&mut self, took: Duration) {
        self.events += 1;
        self.busy += took;
    }

    pub fn late(&mut self, late: Duration) {
        self.late = self.late.max(late);
    }

    pub fn mean_us(&self) -> u64 {
        (self.busy / self.events.max(1)).as_micros() as u64
    }

    /// Of this much time, in hundredths.
    pub fn share(&self, of: Duration) -> f64 {
        (self.busy.as_secs_f64() / of.as_secs_f64() * 100.0).round() / 100.0
    }
}

/// How many requests may be read and not handled yet: what this controller can handle in a tenth of a second. Those
/// of a take-over come all at once, and behind hundreds of them the leader's own calls would wait for seconds.
pub fn read_together(resources: &Resources) -> usize {
    let fit = resources.fits(READ_AHEAD, REQUEST_COST) as usize;
    fit.clamp(READ_LEAST, READ_TOGETHER)
}

/// What a request is about, the most needed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Need {
    /// Health checks, reports that keep leases, and cancellations.
    Keeps,
    Submits,
    Asks,
}

/// Requests that wait to be handled.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    queues: [VecDeque<(T, Instant)>; 3],
    most: usize,
}

impl<T> AdmissionQueue<T> {
    pub fn new(most: usize) -> AdmissionQueue<T> {
        AdmissionQueue { queues: Default::default(), most }
    }

    pub fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a request in; gives back the one that is refused for it where too many wait: the latest of those
    /// least needed, which have waited least.
    pub fn push(&mut self, need: Need, request: T, now: Instant) -> Option<T> {
        self.queues[need as usize].push_back((request, now));
        if self.len() <= self.most {
            return None;
        }
        let queue = self.queues.iter_mut().rev().find(|queue| !queue.is_empty())?;
        queue.pop_back().map(|(request, _)| request)
    }

    /// The next to be handled, and whether whoever sent it has given up by now.
    pub fn pop(&mut self, now: Instant) -> Option<(T, bool)> {
        let patience = [Duration::MAX, CHANGE_DEADLINE, USER_DEADLINE];
        let next = |(queue, patience): (&mut VecDeque<(T, Instant)>, Duration)| {
            let (request, at) = queue.pop_front()?;
            Some((request, now.saturating_duration_since(at) > patience))
        };
        self.queues.iter_mut().zip(patience).find_map(next)
    }
}

/// Seconds after which somebody who is refused may come again, spread by `salt` over as long as there is much to
/// do: all that were refused at once must not come back at once.
pub fn come_back_s(waiting: usize, salt: u64) -> u64 {
    let spread = (waiting as u64 / COME_BACK_EACH).min(COME_BACK_MOST_S - 1) + 1;
    1 + salt.wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(20) % spread
}

#[cfg(test)]
mod tests;
