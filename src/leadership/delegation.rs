//! Leases by which a follower answers workers for a leader that is out of its reach.
//!
//! The leader grants each peer, for a limited time, a lease to answer heartbeats with its fencing token and without
//! starting anything. A follower uses the lease only while it doesn't hear from the leader. So that the leader can
//! still conclude that a silent machine's lease has expired, its grants revoke silent machines; followers
//! acknowledge the grants that they have, and say which machines they answered. Machines that the leader alone
//! doesn't hear from are delegated: followers answer them though the leader is in reach.

use crate::constants::{DELEGATED_LEASE_TTL, MAX_CLOCK_DRIFT};
use crate::ids::{ControllerId, FencingToken, MachineId};
use crate::peers::mesh::PeerMessage;
use crate::peers::message_route::MessageRoute;
use foldhash::{HashMap, HashSet};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// A peer that was silent for this long, three of its messages, counts as out of reach.
pub const PEER_UNREACHABLE_AFTER: Duration = Duration::from_millis(1600);
/// For so many terms of a lease a follower keeps saying that it answered a machine.
const ANSWER_HISTORY_TERMS: u32 = 4;

/// Which of a leader's grants is meant: they are numbered under each fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct GrantId {
    /// The leader's fencing token.
    pub token: FencingToken,
    /// Counts the leader's grants; 0 before the first.
    pub number: u64,
}

impl From<(FencingToken, u64)> for GrantId {
    fn from((token, number): (FencingToken, u64)) -> GrantId {
        GrantId { token, number }
    }
}

impl From<GrantId> for (FencingToken, u64) {
    fn from(id: GrantId) -> (FencingToken, u64) {
        (id.token, id.number)
    }
}

/// The machines that a grant names.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GrantedMachines {
    /// Those that must not be answered.
    pub revoked: Vec<MachineId>,
    /// Those that are to be answered also while the leader is in reach.
    pub delegated: Vec<MachineId>,
}

/// The follower's side: the newest grant, and what was answered under any.
#[derive(Debug, Default)]
pub struct DelegatedLease {
    grant: Option<LeaseGrant>,
    /// When each machine was last answered, under whatever token.
    answered: BTreeMap<MachineId, Instant>,
}

#[derive(Debug)]
struct LeaseGrant {
    id: GrantId,
    valid_until: Instant,
    /// When a grant last came straight from the leader.
    received_directly: Option<Instant>,
    revoked: HashSet<MachineId>,
    delegated: HashSet<MachineId>,
}

impl DelegatedLease {
    /// Takes a grant that responds to a request sent at `requested_at`: its term counts from then. One that came
    /// by way of the store shows that the leader is out of reach.
    pub fn record_grant(
        &mut self,
        id: GrantId,
        machines: GrantedMachines,
        route: MessageRoute,
        requested_at: Instant,
        now: Instant,
    ) {
        if self.grant.as_ref().is_some_and(|grant| grant.id >= id) {
            return;
        }
        let received_directly = match route {
            MessageRoute::Direct => Some(now),
            MessageRoute::Store => {
                let same_leader = self.grant.as_ref().filter(|grant| grant.id.token == id.token);
                same_leader.and_then(|grant| grant.received_directly)
            }
        };
        self.grant = Some(LeaseGrant {
            id,
            valid_until: requested_at + DELEGATED_LEASE_TTL.mul_f64(1.0 - MAX_CLOCK_DRIFT),
            received_directly,
            revoked: machines.revoked.into_iter().collect(),
            delegated: machines.delegated.into_iter().collect(),
        });
    }

    /// The newest grant that this controller has.
    pub fn acknowledged(&self) -> GrantId {
        self.grant.as_ref().map_or(GrantId::default(), |grant| grant.id)
    }

    /// Which machines were answered for a leader, and how many milliseconds ago.
    pub fn answered_for_leader(&mut self, now: Instant) -> Vec<(MachineId, u64)> {
        let history = DELEGATED_LEASE_TTL * ANSWER_HISTORY_TERMS;
        self.answered.retain(|_, at| now.saturating_duration_since(*at) < history);
        let age_ms = |at: &Instant| now.saturating_duration_since(*at).as_millis() as u64;
        self.answered.iter().map(|(id, at)| (id.clone(), age_ms(at))).collect()
    }

    /// A leader without leadership answered the machine under its own token.
    pub fn record_answer(&mut self, machine: &MachineId, now: Instant) {
        self.answered.insert(machine.clone(), now);
    }

    /// The fencing token to answer a machine's heartbeat with, if the lease allows it: the leader is out of reach or
    /// has delegated the machine, and no later leader than that of the grant is known (`newest`).
    pub fn answer(
        &mut self,
        machine: &MachineId,
        newest: FencingToken,
        now: Instant,
    ) -> Option<FencingToken> {
        let grant = self.grant.as_ref()?;
        let in_reach = |at: Instant| now.saturating_duration_since(at) < PEER_UNREACHABLE_AFTER;
        let left_to_leader =
            grant.received_directly.is_some_and(in_reach) && !grant.delegated.contains(machine);
        let is_valid = grant.id.token >= newest && now < grant.valid_until;
        if !is_valid || left_to_leader || grant.revoked.contains(machine) {
            return None;
        }
        self.answered.insert(machine.clone(), now);
        Some(grant.id.token)
    }
}

/// What a follower's status says about its delegated lease.
#[derive(Debug)]
pub struct FollowerStatus<'a> {
    /// The newest grant that it has.
    pub acknowledged: GrantId,
    /// How long its process has been running.
    pub uptime: Duration,
    /// Which machines it answered for a leader, and how many milliseconds ago.
    pub answered_for_leader: &'a [(MachineId, u64)],
    /// How its status came here.
    pub route: MessageRoute,
}

/// The leader's side: the grants that it gave, and what followers say of their use.
#[derive(Debug)]
pub struct Delegations {
    token: FencingToken,
    leading_since: Instant,
    followers: HashMap<ControllerId, Follower>,
    last_number: u64,
}

#[derive(Debug)]
struct Follower {
    /// It answers nothing later than this under a grant of ours or of a predecessor.
    valid_until: Instant,
    acknowledged_number: u64,
    last_heard: Instant,
    started_at: Instant,
    answered: BTreeMap<MachineId, Instant>,
}

impl Follower {
    /// A predecessor's grant may last one full term from now.
    fn new(now: Instant) -> Follower {
        Follower {
            valid_until: now + DELEGATED_LEASE_TTL.mul_f64(1.0 + MAX_CLOCK_DRIFT),
            acknowledged_number: 0,
            last_heard: now,
            started_at: now,
            answered: BTreeMap::new(),
        }
    }
}

impl Delegations {
    /// Those of a leader that has given no grant yet.
    pub fn new(
        token: FencingToken,
        peers: impl Iterator<Item = ControllerId>,
        now: Instant,
    ) -> Delegations {
        Delegations {
            token,
            leading_since: now,
            followers: peers.map(|name| (name, Follower::new(now))).collect(),
            last_number: 0,
        }
    }

    /// A follower's status, with which it asks for a grant.
    pub fn record_status(
        &mut self,
        from: &ControllerId,
        status: &FollowerStatus<'_>,
        now: Instant,
    ) {
        let Some(follower) = self.followers.get_mut(from) else { return };
        if status.route == MessageRoute::Direct {
            follower.last_heard = now;
        }
        // Delays on the way make these times later than they were, which is the safe side.
        follower.started_at = now.checked_sub(status.uptime).unwrap_or(self.leading_since);
        for (machine, age_ms) in status.answered_for_leader {
            let age = Duration::from_millis(*age_ms);
            let at = now.checked_sub(age).unwrap_or(self.leading_since);
            let entry = follower.answered.entry(machine.clone()).or_insert(at);
            *entry = (*entry).max(at);
        }
        if status.acknowledged.token == self.token {
            follower.acknowledged_number =
                follower.acknowledged_number.max(status.acknowledged.number);
        }
    }

    /// When a follower last answered the machine, as far as followers have said.
    pub fn last_answered(&self, machine: &MachineId) -> Option<Instant> {
        self.followers.values().filter_map(|follower| follower.answered.get(machine)).max().copied()
    }

    /// Whether nothing has come straight from that peer for a while.
    pub fn is_unreachable(&self, peer: &ControllerId, now: Instant) -> bool {
        let is_silent = |follower: &Follower| {
            now.saturating_duration_since(follower.last_heard) > PEER_UNREACHABLE_AFTER
        };
        self.followers.get(peer).is_none_or(is_silent)
    }

    /// The number of the grant that is given next.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// The grant with the latest number, for one follower.
    pub fn grant(
        &mut self,
        to: &ControllerId,
        seq: u64,
        machines: GrantedMachines,
        now: Instant,
    ) -> Option<PeerMessage> {
        let follower = self.followers.get_mut(to)?;
        follower.valid_until = now + DELEGATED_LEASE_TTL.mul_f64(1.0 + MAX_CLOCK_DRIFT);
        Some(PeerMessage::LeaseGrant {
            seq,
            token: self.token,
            number: self.last_number,
            revoked: machines.revoked,
            delegated: machines.delegated,
        })
    }

    /// The latest time at which a follower may have answered the machine, which every grant from that number on
    /// has revoked.
    pub fn answered_until(
        &self,
        machine: &MachineId,
        revoked_since: Option<u64>,
    ) -> Option<Instant> {
        let latest = |follower: &Follower| match revoked_since {
            // It keeps to the revocation. Before that it answered when it says, or before it was started.
            Some(number) if follower.acknowledged_number >= number => {
                let started_at = follower.started_at;
                follower.answered.get(machine).map_or(started_at, |at| (*at).max(started_at))
            }
            _ => follower.valid_until,
        };
        self.followers.values().map(latest).max()
    }
}

#[cfg(test)]
mod tests;
