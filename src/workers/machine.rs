//! A rented machine and its worker, as the leader knows them: heartbeats, lease, commands, and what may run there.
//!
//! An attempt is *reported* once a heartbeat shows it. Until then it may or may not have arrived, and stays booked on
//! its machine. A start that was sent straight to the worker and got no answer is *in flight*: the network may deliver
//! it minutes later, so such an attempt is never forgotten within its agent epoch (a forgotten attempt would run
//! again).

mod attempt;
mod commands;
mod heartbeat;
mod usage;

pub use attempt::{AttemptSpec, JOB_FINISHED, PlacedAttempt, StopRequest, TaskEvent};
pub use commands::MAX_COMMANDS_PER_ANSWER;
pub use heartbeat::HeartbeatEffect;
pub use usage::{TeamUsage, Usage};

use crate::cloud::MachinePool;
use crate::ids::{Attempt, ControllerId, FencingToken, JobId, MachineId, TaskId};
use crate::placement::{Basket, Images};
use foldhash::{HashSet, HashSetExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// Where a machine is in its life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Rented, without a heartbeat so far.
    Booting,
    /// Its worker has sent a heartbeat.
    Up,
    /// Its deletion was decided; nothing is placed on it.
    Returning,
}

/// The controller that relayed a machine's last heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relayer {
    /// The controller.
    pub controller: ControllerId,
    /// When the heartbeat came.
    pub at: Instant,
}

/// A rented machine and its worker.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Where its worker takes direct calls.
    pub address: Option<SocketAddr>,
    /// Index of its type.
    pub flavor: usize,
    /// Index of its zone.
    pub zone: usize,
    /// It is a spot machine.
    pub spot: bool,
    /// Where it is in its life cycle.
    pub state: MachineState,
    /// Its number in its zone.
    pub index: u64,
    /// Its record is committed, so that a later leader will know of it.
    pub recorded: bool,
    /// No command of an earlier leader can reach it any more, and all that it runs is known.
    pub confirmed: bool,
    /// Since when this leader knows it.
    pub known_since: Instant,
    /// When it was rented, which may be before this leader knew it.
    pub rented: Instant,
    /// When this leader had its first heartbeat.
    pub up_since: Option<Instant>,
    /// Its worker's agent epoch.
    pub agent_epoch: u64,
    seq: u64,
    /// The highest fencing token that its worker is known to have seen.
    pub token: FencingToken,
    /// When its last heartbeat was answered, or its agent epoch first heard of if that was later: its lease cannot
    /// have been renewed later by us.
    pub last_answered: Instant,
    /// When its last heartbeat came.
    pub last_heartbeat: Option<Instant>,
    /// Other controllers may not answer it, without a break since the lease grant of this number.
    pub revoked_since: Option<u64>,
    /// When its cloud takes it back, if it gave notice.
    pub reclaim_at: Option<Instant>,
    /// Other controllers may answer it though they reach the leader, which itself has no heartbeats of it.
    pub delegated: bool,
    /// What may run on it.
    pub attempts: BTreeMap<(TaskId, Attempt), PlacedAttempt>,
    /// Attempts up to this one ended with a lease that has surely run out. A heartbeat that still shows them was held
    /// back by the network and is as old as they are.
    pub terminated_up_to: Attempt,
    /// Since when nothing runs on it.
    pub idle_since: Option<Instant>,
    /// When a task above low priority last ended here.
    pub vacated_at: Option<Instant>,
    /// When its tasks were last moved elsewhere to empty it.
    pub last_consolidated: Option<Instant>,
    /// The basket that it is in, or was in before it became empty.
    pub basket: Option<Basket>,
    /// Images that it has fetched.
    pub images: Vec<Arc<str>>,
    /// The same by placement's numbers, as far as placement has asked.
    pub image_ids: Images,
    /// Jobs that failed here, whatever the cause.
    pub failed_jobs: HashSet<JobId>,
    /// Enough jobs failed here that succeed elsewhere.
    pub faulty: bool,
    /// When the last direct call without an answer was made, if it sent no heartbeat since.
    pub unanswered_probe: Option<Instant>,
    /// A direct call is under way.
    pub direct_in_flight: bool,
    /// When the last direct call was made.
    pub direct_sent_at: Instant,
    /// At that time, other machines of its zone sent heartbeats: the zone was in reach.
    pub probe_zone_reachable: bool,
    /// The next direct call is not made before this.
    pub next_direct_at: Instant,
    /// The next heartbeat has to be complete: the last one showed an attempt that ended, or left one out whose start
    /// may still be in flight.
    needs_full: bool,
    /// The controller that relayed its last heartbeat; none if the heartbeat came here.
    pub relayed_by: Option<Relayer>,
    /// It may have to be sent a start or a stop. Few machines have any due, and looking for them costs a pass over all
    /// attempts.
    pub commands_due: bool,
    /// What its attempts add up to, until they change.
    usage: Option<Usage>,
}

impl Machine {
    /// A machine that was just rented, or that a listing shows.
    pub fn new(id: MachineId, pool: MachinePool, index: u64, now: Instant) -> Machine {
        Machine {
            id,
            address: None,
            flavor: pool.flavor,
            zone: pool.zone,
            spot: pool.spot,
            state: MachineState::Booting,
            index,
            recorded: false,
            confirmed: true,
            known_since: now,
            rented: now,
            up_since: None,
            agent_epoch: 0,
            seq: 0,
            token: FencingToken(0),
            last_answered: now,
            last_heartbeat: None,
            revoked_since: None,
            reclaim_at: None,
            delegated: false,
            attempts: BTreeMap::new(),
            terminated_up_to: Attempt(0),
            idle_since: None,
            vacated_at: None,
            last_consolidated: None,
            basket: None,
            images: Vec::new(),
            image_ids: Images::default(),
            failed_jobs: HashSet::new(),
            faulty: false,
            unanswered_probe: None,
            direct_in_flight: false,
            direct_sent_at: now,
            probe_zone_reachable: false,
            next_direct_at: now,
            needs_full: true,
            relayed_by: None,
            commands_due: true,
            usage: None,
        }
    }
}

#[cfg(test)]
mod tests;
