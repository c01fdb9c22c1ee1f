//! Shards: which controller takes the heartbeats of which worker.
//!
//! Weighted rendezvous hashing over the members: whoever knows them computes the same owner without a table, and a
//! controller that comes or goes moves only its own shard.

use crate::ids::{ControllerId, MachineId};
use foldhash::HashMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Times as likely as another a controller owns a worker of its own zone, so that most workers behind a cut can reach
/// their owner, and zones of unlike size still load their controllers much alike.
const SAME_ZONE_WEIGHT: f64 = 4.0;
/// Thousandths. Weight of a controller with enough free sockets.
const MEMBER_WEIGHT: u32 = 1000;
/// Thousandths. Weight of a leader that is a member.
const LEADER_WEIGHT: u32 = 400;
/// Share of the other controllers' capacity in use from which on the leader is a member.
const LEADER_JOINS_ABOVE: f64 = 0.4;
/// Share below which it is none again.
const LEADER_LEAVES_BELOW: f64 = 0.32;
/// Share of public sockets free below which a controller's weight falls to a quarter.
const FREE_SOCKETS_LOW: f64 = 0.12;
/// Share below which it falls to none.
const FREE_SOCKETS_EXHAUSTED: f64 = 0.05;
/// A worker is redirected at most once in this time.
const REDIRECT_INTERVAL: Duration = Duration::from_secs(10);

/// A controller that takes heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The controller.
    pub name: ControllerId,
    /// Its zone.
    pub zone: String,
    /// Its share relative to the others', in thousandths; with 0 it has no shard.
    pub weight: u32,
}

/// The controllers that take heartbeats, as the leader assigned them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership(Vec<Member>);

impl Membership {
    /// A membership of these controllers.
    pub fn new(members: Vec<Member>) -> Membership {
        Membership(members)
    }

    /// The members, those without a shard included.
    pub fn members(&self) -> &[Member] {
        &self.0
    }

    /// Whether there are no members, so that only the leader takes heartbeats.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The controller that takes a worker's heartbeats; one in the worker's zone is more likely.
    pub fn owner(&self, worker: &MachineId, zone: &str) -> Option<&ControllerId> {
        let mut best: Option<(f64, &ControllerId)> = None;
        for member in self.0.iter().filter(|member| member.weight > 0) {
            let zone_factor = if member.zone == zone { SAME_ZONE_WEIGHT } else { 1.0 };
            let weight = f64::from(member.weight) * zone_factor;
            let score = -unit_hash(&member.name, worker).ln() / weight;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, &member.name));
            }
        }
        best.map(|(_, name)| name)
    }

    /// Whether that controller has a shard.
    pub fn contains(&self, name: &ControllerId) -> bool {
        self.0.iter().any(|member| member.name == *name && member.weight > 0)
    }
}

/// A controller that might take heartbeats, as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberCandidate {
    /// The controller.
    pub name: ControllerId,
    /// Its zone.
    pub zone: String,
    /// Thousandths of its public sockets that are free.
    pub free_sockets_permille: u16,
    /// It is in reach, understands relayed heartbeats, and is not drained.
    pub is_available: bool,
}

/// The leader's own part in the choice of members.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaderLoad {
    /// The leader.
    pub name: ControllerId,
    /// Its zone.
    pub zone: String,
    /// Workers of the cluster.
    pub workers: usize,
    /// Workers that one controller can hold.
    pub workers_per_controller: u32,
    /// Whether the leader has a shard so far.
    pub is_member: bool,
}

/// The members that the leader chose.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberChoice {
    /// The members.
    pub membership: Membership,
    /// Whether the leader is one of them.
    pub includes_leader: bool,
}

/// Chooses the members: controllers that are available, weighted by their free sockets, and the leader itself where
/// the workers would fill much of what the others can hold. None if no other controller can take any.
pub fn choose_members(candidates: &[MemberCandidate], leader: &LeaderLoad) -> MemberChoice {
    let available = candidates.iter().filter(|candidate| candidate.is_available);
    let mut members: Vec<Member> = available
        .map(|candidate| Member {
            name: candidate.name.clone(),
            zone: candidate.zone.clone(),
            weight: weight_for(candidate.free_sockets_permille),
        })
        .collect();
    if members.iter().all(|member| member.weight == 0) {
        return MemberChoice::default();
    }
    let capacity = members.len() as f64 * f64::from(leader.workers_per_controller.max(1));
    let load = leader.workers as f64 / capacity;
    let threshold = if leader.is_member { LEADER_LEAVES_BELOW } else { LEADER_JOINS_ABOVE };
    let includes_leader = load > threshold;
    if includes_leader {
        let (name, zone) = (leader.name.clone(), leader.zone.clone());
        members.push(Member { name, zone, weight: LEADER_WEIGHT });
    }
    MemberChoice { membership: Membership(members), includes_leader }
}

/// Weight of a controller by its free sockets.
fn weight_for(free_sockets_permille: u16) -> u32 {
    let free_share = f64::from(free_sockets_permille) / 1000.0;
    if free_share < FREE_SOCKETS_EXHAUSTED {
        0
    } else if free_share < FREE_SOCKETS_LOW {
        MEMBER_WEIGHT / 4
    } else {
        MEMBER_WEIGHT
    }
}

/// Workers that were redirected to another controller a moment ago.
#[derive(Debug, Default)]
pub struct Redirects {
    last_redirect: HashMap<MachineId, Instant>,
}

impl Redirects {
    /// Records a redirect, unless the worker was redirected a moment ago: controllers that know different members
    /// would send it back and forth for ever.
    pub fn try_redirect(&mut self, worker: &MachineId, now: Instant) -> bool {
        let last = self.last_redirect.get(worker);
        if last.is_some_and(|at| now.saturating_duration_since(*at) < REDIRECT_INTERVAL) {
            return false;
        }
        self.last_redirect.insert(worker.clone(), now);
        true
    }

    /// Drops records of redirects that do not matter any more.
    pub fn expire(&mut self, now: Instant) {
        self.last_redirect.retain(|_, at| now.saturating_duration_since(*at) < REDIRECT_INTERVAL);
    }
}

/// A number above 0 and up to 1 that is the same in every process.
fn unit_hash(member: &ControllerId, worker: &MachineId) -> f64 {
    let mut bytes = Vec::with_capacity(64);
    bytes.extend_from_slice(member.as_str().as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(worker.as_str().as_bytes());
    let bits = xxh3_64(&bytes) >> 11;
    (bits as f64 + 1.0) / (1u64 << 53) as f64
}

#[cfg(test)]
mod tests;
