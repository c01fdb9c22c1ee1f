//! Assignment of workers to the controllers that receive their heartbeats; a controller's workers are its shard.
//!
//! The owner is chosen by weighted rendezvous hashing over the members: every process that knows the members computes
//! the same owner without a table, and a controller that joins or leaves moves only its own shard.

use crate::ids::{ControllerId, MachineId};
use foldhash::HashMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Factor on the weight of a controller for workers in its own zone. It is large enough that most workers in a zone cut
/// off from the others can reach their owner, and small enough that zones of different sizes load their controllers
/// about equally.
const SAME_ZONE_WEIGHT: f64 = 4.0;
/// Weight of a controller with enough free sockets, in thousandths.
const MEMBER_WEIGHT: u32 = 1000;
/// Weight of a leader that is a member, in thousandths.
const LEADER_WEIGHT: u32 = 400;
/// Share of the other controllers' worker capacity in use above which the leader becomes a member.
const LEADER_JOINS_ABOVE: f64 = 0.4;
/// Share of the other controllers' worker capacity in use at or below which the leader stops being a member.
const LEADER_LEAVES_BELOW: f64 = 0.32;
/// Free share of a controller's public sockets below which its weight is reduced to a quarter.
const FREE_SOCKETS_LOW: f64 = 0.12;
/// Free share of a controller's public sockets below which its weight is 0.
const FREE_SOCKETS_EXHAUSTED: f64 = 0.05;
/// Minimum time between two redirects of a worker.
const REDIRECT_INTERVAL: Duration = Duration::from_secs(10);

/// Controller that may receive workers' heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the controller.
    pub name: ControllerId,
    /// Zone of the controller; it is more likely to own workers of this zone.
    pub zone: String,
    /// Weight relative to the other members, in thousandths; a member with weight 0 has no shard.
    pub weight: u32,
}

/// Controllers that the leader assigned to receive heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership(Vec<Member>);

impl Membership {
    /// Creates a membership of these controllers.
    pub fn new(members: Vec<Member>) -> Membership {
        Membership(members)
    }

    /// Returns all members, including those without a shard.
    pub fn members(&self) -> &[Member] {
        &self.0
    }

    /// Returns whether there are no members, so that only the leader receives heartbeats.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the controller that receives a worker's heartbeats; it is more likely to be in the worker's zone.
    pub fn owner(&self, worker: &MachineId, zone: &str) -> Option<&ControllerId> {
        let mut best: Option<(f64, &ControllerId)> = None;
        for member in self.0.iter().filter(|member| member.weight > 0) {
            let zone_factor = if member.zone == zone { SAME_ZONE_WEIGHT } else { 1.0 };
            let weight = f64::from(member.weight) * zone_factor;
            let score = -unit_hash(&member.name, worker).ln() / weight;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, &member.name));
            }
        }
        best.map(|(_, name)| name)
    }

    /// Returns whether the controller has a shard.
    pub fn contains(&self, name: &ControllerId) -> bool {
        self.0.iter().any(|member| member.name == *name && member.weight > 0)
    }
}

/// Controller that the leader may choose as a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberCandidate {
    /// Name of the controller.
    pub name: ControllerId,
    /// Zone of the controller.
    pub zone: String,
    /// Free share of its public sockets, in thousandths.
    pub free_sockets_permille: u16,
    /// True if the controller is reachable, supports relayed heartbeats, and is not drained.
    pub is_available: bool,
}

/// Leader and size of the cluster, as input to the choice of members.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaderLoad {
    /// Name of the leader.
    pub name: ControllerId,
    /// Zone of the leader.
    pub zone: String,
    /// Number of workers in the cluster.
    pub workers: usize,
    /// Number of workers that one controller can serve.
    pub workers_per_controller: u32,
    /// True if the leader is currently a member.
    pub is_member: bool,
}

/// Result of [`choose_members`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberChoice {
    /// Chosen members, including the leader if it is one.
    pub membership: Membership,
    /// True if the leader is a member.
    pub includes_leader: bool,
}

/// Chooses the available controllers as members, weighted by their free sockets. The leader is added if the workers
/// would use a large share of the others' capacity. Returns no members if no other controller can receive heartbeats.
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

/// Workers that were recently redirected to another controller.
#[derive(Debug, Default)]
pub struct Redirects {
    last_redirect: HashMap<MachineId, Instant>,
}

impl Redirects {
    /// Records a redirect and returns true, unless the worker was redirected within [`REDIRECT_INTERVAL`]. Without
    /// this limit, controllers that know different members would redirect it back and forth indefinitely.
    pub fn try_redirect(&mut self, worker: &MachineId, now: Instant) -> bool {
        let last = self.last_redirect.get(worker);
        if last.is_some_and(|at| now.saturating_duration_since(*at) < REDIRECT_INTERVAL) {
            return false;
        }
        self.last_redirect.insert(worker.clone(), now);
        true
    }

    /// Drops records of redirects older than [`REDIRECT_INTERVAL`].
    pub fn expire(&mut self, now: Instant) {
        self.last_redirect.retain(|_, at| now.saturating_duration_since(*at) < REDIRECT_INTERVAL);
    }
}

/// Returns a hash in the range (0, 1] that is the same in every process.
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
