//! Which controller takes the reports of which worker.
//!
//! Weighted rendezvous hashing over the controllers that serve: everybody who knows the members works out the same
//! owner without a table, and a controller that comes or goes moves only its own share of the workers.

use crate::ids::{ControllerId, MachineId};
use foldhash::HashMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Times as likely as another a controller takes the reports of a worker in its own zone: behind a cut most workers are
/// then with a controller that can answer them, and zones of unlike size still load their controllers much alike.
pub const SAME_ZONE_WEIGHT: f64 = 4.0;
/// Thousandths. Weight of a controller that takes reports, and of the leader where the others have little room.
pub const MEMBER_WEIGHT: u32 = 1000;
pub const LEADER_WEIGHT: u32 = 400;
/// Share of the others' sockets that workers take up from which on the leader takes some, too.
pub const LEADER_HELPS_ABOVE: f64 = 0.4;
/// And below which it takes none again.
pub const LEADER_HELPS_BELOW: f64 = 0.32;
/// Shares of public sockets still free below which a controller's weight falls to a quarter, and to none.
pub const ROOM_SHORT: f64 = 0.12;
pub const ROOM_NONE: f64 = 0.05;
/// A worker that was sent elsewhere and comes back within this time is taken: two controllers may know different members.
pub const REDIRECT_ONCE_IN: Duration = Duration::from_secs(10);

/// A controller that takes reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: ControllerId,
    pub zone: String,
    /// Its share relative to the others', in thousandths. None at 0.
    pub weight: u32,
}

/// The controllers that take reports, as the leader sees them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership(pub Vec<Member>);

impl Membership {
    /// The controller that takes a worker's reports; one in its own zone is more likely.
    pub fn owner(&self, worker: &MachineId, zone: &str) -> Option<&ControllerId> {
        let mut best: Option<(f64, &ControllerId)> = None;
        for member in self.0.iter().filter(|member| member.weight > 0) {
            let near = if member.zone == zone { SAME_ZONE_WEIGHT } else { 1.0 };
            let weight = f64::from(member.weight) * near;
            let score = -unit_hash(&member.name, worker).ln() / weight;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, &member.name));
            }
        }
        best.map(|(_, name)| name)
    }

    /// Whether that controller takes any.
    pub fn contains(&self, name: &ControllerId) -> bool {
        self.0.iter().any(|member| member.name == *name && member.weight > 0)
    }
}

/// A controller that might take reports, as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub name: ControllerId,
    pub zone: String,
    /// Thousandths of its public sockets that are free.
    pub room: u16,
    /// It is heard, understands what passes on, and is not drained.
    pub serves: bool,
}

/// What the leader reckons with when it says who the members are.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaderView {
    pub name: ControllerId,
    pub zone: String,
    /// Workers, and how many of them one controller can hold.
    pub workers: usize,
    pub each: u32,
    /// Whether the leader has taken some so far.
    pub helps: bool,
}

/// The members: who serves, by its room, and the leader itself where the others would hold much of what they can.
/// Nobody if no other serves. Also tells whether the leader is among them.
pub fn choose(candidates: &[Candidate], leader: &LeaderView) -> (Membership, bool) {
    let serving = candidates.iter().filter(|candidate| candidate.serves);
    let mut members: Vec<Member> = serving
        .map(|candidate| Member {
            name: candidate.name.clone(),
            zone: candidate.zone.clone(),
            weight: weight_of(candidate.room),
        })
        .collect();
    if members.iter().all(|member| member.weight == 0) {
        return (Membership::default(), false);
    }
    let held = leader.workers as f64 / (members.len() as f64 * f64::from(leader.each.max(1)));
    let above = if leader.helps { LEADER_HELPS_BELOW } else { LEADER_HELPS_ABOVE };
    let helps = held > above;
    if helps {
        let (name, zone) = (leader.name.clone(), leader.zone.clone());
        members.push(Member { name, zone, weight: LEADER_WEIGHT });
    }
    (Membership(members), helps)
}

/// Weight of a controller with so many thousandths of its sockets free.
fn weight_of(room: u16) -> u32 {
    let free = f64::from(room) / 1000.0;
    if free < ROOM_NONE {
        0
    } else if free < ROOM_SHORT {
        MEMBER_WEIGHT / 4
    } else {
        MEMBER_WEIGHT
    }
}

/// Workers that were sent to another controller a moment ago.
#[derive(Debug, Default)]
pub struct Redirects {
    sent: HashMap<MachineId, Instant>,
}

impl Redirects {
    /// Whether a worker may be sent away now. One that was a moment ago and is back is taken: its next controller may
    /// know other members, and would send it back for ever.
    pub fn try_send(&mut self, worker: &MachineId, now: Instant) -> bool {
        let sent_at = self.sent.get(worker);
        if sent_at.is_some_and(|at| now.saturating_duration_since(*at) < REDIRECT_ONCE_IN) {
            return false;
        }
        self.sent.insert(worker.clone(), now);
        true
    }

    /// Forgets those that were sent long ago.
    pub fn tidy(&mut self, now: Instant) {
        self.sent.retain(|_, at| now.saturating_duration_since(*at) < REDIRECT_ONCE_IN);
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
