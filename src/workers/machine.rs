//! The leader's view of a rented machine and its worker: heartbeats, lease, commands, and attempts that may run there.
//!
//! An attempt is *reported* once a heartbeat lists it. Until then its start may or may not have arrived, and the
//! attempt stays booked on its machine. The network may deliver a direct call, or a copy of one that was answered,
//! minutes later, and its start would run a forgotten attempt again. So the answer that lets a worker forget an attempt
//! carries a fencing token above those of all direct calls with its start ([`WorkerFence`]).

mod attempt;
mod commands;
mod fault;
mod fence;
mod heartbeat;
mod usage;
mod vacated;

pub use attempt::{AttemptSpec, JOB_FINISHED, PlacedAttempt, StopRequest, TaskEvent};
pub use commands::MAX_COMMANDS_PER_ANSWER;
pub use fault::FAULTY_MACHINE_AVOIDANCE;
pub use fence::{LeaderTokens, WorkerFence};
pub use heartbeat::HeartbeatEffect;
pub use usage::{TeamUsage, Usage};
use vacated::VacatedSeries;

use crate::cloud::MachinePool;
use crate::ids::{Attempt, ControllerId, JobId, MachineId, TaskId};
use crate::placement::{Basket, Images};
use foldhash::{HashSet, HashSetExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// Phase of a machine's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Rented; no heartbeat has been received yet.
    Booting,
    /// The worker has sent a heartbeat.
    Up,
    /// To be terminated; nothing is placed on it any more.
    Terminating,
}

/// The controller that relayed a machine's last heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relayer {
    /// Id of the relaying controller.
    pub controller: ControllerId,
    /// Time at which the heartbeat was received.
    pub received_at: Instant,
}

/// A rented machine and its worker.
#[derive(Debug)]
pub struct Machine {
    /// Id of the machine in the cloud's listings and in heartbeats.
    pub id: MachineId,
    /// Address at which its worker accepts direct calls.
    pub address: Option<SocketAddr>,
    /// Index of its machine type.
    pub machine_type: usize,
    /// Index of its zone.
    pub zone: usize,
    /// True if it is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Phase of its life cycle.
    pub state: MachineState,
    /// Number of the machine within its zone.
    pub index: u64,
    /// True if its record is committed, so that a later leader will know the machine.
    pub recorded: bool,
    /// True if no command of an earlier leader can reach it any more and everything that it runs is known.
    pub confirmed: bool,
    /// Time at which this leader first knew of it.
    pub known_since: Instant,
    /// Time at which it was rented, which may be before this leader knew of it.
    pub rented_at: Instant,
    /// Time at which this leader received its first heartbeat.
    pub up_since: Option<Instant>,
    /// Agent epoch of its worker, as last reported.
    pub agent_epoch: u64,
    /// Sequence number of its last heartbeat within the agent epoch.
    heartbeat_seq: u64,
    /// Fencing tokens of the commands to its worker.
    pub fence: WorkerFence,
    /// Latest time at which this leader may have renewed its lease: when its last heartbeat was answered, or when its
    /// agent epoch was first reported if that was later.
    pub last_answered: Instant,
    /// Time at which its last heartbeat was received.
    pub last_heartbeat: Option<Instant>,
    /// Number of the lease grant since which no other controller may answer its heartbeats; `None` if others may.
    pub revoked_since: Option<u64>,
    /// Time at which the cloud will reclaim it, if a notice was given.
    pub reclaim_at: Option<Instant>,
    /// True if other controllers may answer its heartbeats even while they reach the leader, because the leader itself
    /// receives none.
    pub delegated: bool,
    /// Attempts that may be running on it, or whose end is not fully processed.
    pub attempts: BTreeMap<(TaskId, Attempt), PlacedAttempt>,
    /// Highest attempt number that existed when its lease last certainly expired, which ended all attempts up to this
    /// number. A heartbeat that still lists one of them was delayed by the network and sent before that expiry.
    pub terminated_up_to: Attempt,
    /// Time since which nothing runs on it.
    pub idle_since: Option<Instant>,
    /// Series of the last tasks above low priority that ended on it.
    vacated: Option<VacatedSeries>,
    /// Time at which its tasks were last moved elsewhere by consolidation.
    pub last_consolidated: Option<Instant>,
    /// Basket that it belongs to, or belonged to before it became empty.
    pub basket: Option<Basket>,
    /// Images that it is known to have fetched.
    pub images: Vec<Arc<str>>,
    /// The same images as numbers assigned by placement, as of the last planning pass that used them.
    pub image_ids: Images,
    /// Jobs of which a task failed on it, whatever the cause.
    pub failed_jobs: HashSet<JobId>,
    /// Time of the last failure of a task on it.
    pub last_failure: Option<Instant>,
    /// True if at least `MACHINE_FAULT_JOBS` jobs that succeed elsewhere have failed on it.
    pub faulty: bool,
    /// Time of the last unanswered direct call that was made while its zone was reachable; cleared by a heartbeat.
    pub unanswered_probe: Option<Instant>,
    /// True if a direct call is in flight.
    pub direct_in_flight: bool,
    /// Time at which the last direct call was made.
    pub direct_sent_at: Instant,
    /// True if its zone was reachable at the last direct call: other machines there were sending heartbeats.
    pub probe_zone_reachable: bool,
    /// Earliest time for the next direct call.
    pub next_direct_at: Instant,
    /// True if the next heartbeat has to be complete, because the last one listed an attempt that had ended, or omitted
    /// one whose start may still be in flight.
    needs_full_heartbeat: bool,
    /// Controller that relayed its last heartbeat; `None` if the heartbeat was sent to the leader.
    pub relayed_by: Option<Relayer>,
    /// True if a start or stop may be due. Few machines have one, and finding out takes a pass over all attempts.
    pub commands_due: bool,
    /// Cached sum over its attempts; cleared when an attempt changes.
    usage: Option<Usage>,
}

impl Machine {
    /// Creates a machine that was just rented or found in a listing.
    pub fn new(id: MachineId, pool: MachinePool, index: u64, now: Instant) -> Machine {
        Machine {
            id,
            address: None,
            machine_type: pool.machine_type,
            zone: pool.zone,
            spot: pool.spot,
            state: MachineState::Booting,
            index,
            recorded: false,
            confirmed: true,
            known_since: now,
            rented_at: now,
            up_since: None,
            agent_epoch: 0,
            heartbeat_seq: 0,
            fence: WorkerFence::default(),
            last_answered: now,
            last_heartbeat: None,
            revoked_since: None,
            reclaim_at: None,
            delegated: false,
            attempts: BTreeMap::new(),
            terminated_up_to: Attempt(0),
            idle_since: None,
            vacated: None,
            last_consolidated: None,
            basket: None,
            images: Vec::new(),
            image_ids: Images::default(),
            failed_jobs: HashSet::new(),
            last_failure: None,
            faulty: false,
            unanswered_probe: None,
            direct_in_flight: false,
            direct_sent_at: now,
            probe_zone_reachable: false,
            next_direct_at: now,
            needs_full_heartbeat: true,
            relayed_by: None,
            commands_due: true,
            usage: None,
        }
    }
}

#[cfg(test)]
mod tests;
