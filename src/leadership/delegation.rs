//! Delegated leases, under which a follower answers workers for a leader that it cannot reach.
//!
//! The leader grants each peer, for a limited time, a lease to answer heartbeats with the leader's fencing token and
//! without starting any task. A follower uses the lease only while it receives nothing from the leader. The leader must
//! still be able to conclude that a silent machine's lease has expired. Therefore its grants revoke silent machines,
//! and followers acknowledge the grants that they received and report which machines they answered. A machine whose
//! heartbeats do not reach the leader may still reach followers. It is delegated: followers answer it even while they
//! can reach the leader.

use crate::constants::{DELEGATED_LEASE_TTL, MAX_CLOCK_DRIFT};
use crate::ids::{ControllerId, FencingToken, MachineId};
use crate::peers::mesh::PeerMessage;
use crate::peers::message_route::MessageRoute;
use foldhash::{HashMap, HashSet};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time without a message after which a peer counts as unreachable. A peer normally sends three messages in this time.
pub const PEER_UNREACHABLE_AFTER: Duration = Duration::from_millis(1600);
/// Time for which a follower continues to report that it answered a machine, as a multiple of [`DELEGATED_LEASE_TTL`].
const ANSWER_HISTORY_TERMS: u32 = 4;

/// Identifier of a grant. Grants are numbered separately for each fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct GrantId {
    /// Fencing token of the leader that gave the grant.
    pub token: FencingToken,
    /// Number of the grant among those with the same fencing token; 0 before the first grant.
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

/// Machines that a grant revokes or delegates.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GrantedMachines {
    /// Machines that the follower must not answer.
    pub revoked: Vec<MachineId>,
    /// Machines that the follower answers even while it can reach the leader.
    pub delegated: Vec<MachineId>,
}

/// Follower's side of delegation: the newest grant, and the machines that were answered under any grant.
#[derive(Debug, Default)]
pub struct DelegatedLease {
    grant: Option<LeaseGrant>,
    /// Time at which each machine was last answered, under any fencing token.
    answered: BTreeMap<MachineId, Instant>,
}

#[derive(Debug)]
struct LeaseGrant {
    id: GrantId,
    valid_until: Instant,
    /// Time at which a grant last arrived directly from the leader.
    received_directly: Option<Instant>,
    revoked: HashSet<MachineId>,
    delegated: HashSet<MachineId>,
}

impl DelegatedLease {
    /// Records a grant that responds to a request sent at `requested_at`, from which its validity is counted. A grant
    /// that was relayed through the store does not count as contact with the leader.
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

    /// Returns the newest grant that this controller received.
    pub fn acknowledged(&self) -> GrantId {
        self.grant.as_ref().map_or(GrantId::default(), |grant| grant.id)
    }

    /// Returns the machines that were answered for a leader, each with the milliseconds since its last answer.
    pub fn answered_for_leader(&mut self, now: Instant) -> Vec<(MachineId, u64)> {
        let history = DELEGATED_LEASE_TTL * ANSWER_HISTORY_TERMS;
        self.answered.retain(|_, at| now.saturating_duration_since(*at) < history);
        let age_ms = |at: &Instant| now.saturating_duration_since(*at).as_millis() as u64;
        self.answered.iter().map(|(id, at)| (id.clone(), age_ms(at))).collect()
    }

    /// Records that this controller answered the machine under its own token, although it no longer holds leadership.
    pub fn record_answer(&mut self, machine: &MachineId, now: Instant) {
        self.answered.insert(machine.clone(), now);
    }

    /// Returns the fencing token with which to answer a machine's heartbeat, if the lease allows it: the leader is
    /// unreachable or has delegated the machine, and `newest_token` shows no later leader than the one of the grant.
    /// Records the answer.
    pub fn answer(
        &mut self,
        machine: &MachineId,
        newest_token: FencingToken,
        now: Instant,
    ) -> Option<FencingToken> {
        let grant = self.grant.as_ref()?;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PEER_UNREACHABLE_AFTER;
        let leader_answers =
            grant.received_directly.is_some_and(is_recent) && !grant.delegated.contains(machine);
        let is_valid = grant.id.token >= newest_token && now < grant.valid_until;
        if !is_valid || leader_answers || grant.revoked.contains(machine) {
            return None;
        }
        self.answered.insert(machine.clone(), now);
        Some(grant.id.token)
    }
}

/// Part of a follower's status that concerns its delegated lease.
#[derive(Debug)]
pub struct FollowerStatus<'a> {
    /// Newest grant that the follower received.
    pub acknowledged: GrantId,
    /// Time for which the follower's process has been running.
    pub uptime: Duration,
    /// Machines that the follower answered for a leader, each with the milliseconds since its last answer.
    pub answered_for_leader: &'a [(MachineId, u64)],
    /// Route by which the status arrived: direct, or relayed through the store.
    pub route: MessageRoute,
}

/// Leader's side of delegation: the grants that it gave, and the use of them that followers reported.
#[derive(Debug)]
pub struct Delegations {
    token: FencingToken,
    leading_since: Instant,
    followers: HashMap<ControllerId, Follower>,
    last_number: u64,
}

#[derive(Debug)]
struct Follower {
    /// Latest time at which the follower answers a machine under a grant of this leader or of a previous one.
    valid_until: Instant,
    acknowledged_number: u64,
    last_direct_status_at: Instant,
    /// Latest start of its process that any status implies; `None` before the first status.
    started_at: Option<Instant>,
    answered: BTreeMap<MachineId, Instant>,
}

impl Follower {
    /// Creates the state of a follower that has sent no status yet. A grant of a previous leader may be valid for
    /// the full [`DELEGATED_LEASE_TTL`] from now.
    fn new(now: Instant) -> Follower {
        Follower {
            valid_until: now + DELEGATED_LEASE_TTL.mul_f64(1.0 + MAX_CLOCK_DRIFT),
            acknowledged_number: 0,
            last_direct_status_at: now,
            started_at: None,
            answered: BTreeMap::new(),
        }
    }
}

impl Delegations {
    /// Creates the state of a leader that has given no grant yet.
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

    /// Records the status with which a follower requests a grant.
    pub fn record_status(
        &mut self,
        from: &ControllerId,
        status: &FollowerStatus<'_>,
        now: Instant,
    ) {
        let Some(follower) = self.followers.get_mut(from) else { return };
        if status.route == MessageRoute::Direct {
            follower.last_direct_status_at = now;
        }
        // Network delays make these times later than they really were, which is safe. A status from before a restart
        // may arrive after one from after it.
        let started_at = now.checked_sub(status.uptime).unwrap_or(self.leading_since);
        follower.started_at = follower.started_at.max(Some(started_at));
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

    /// Returns the time at which any follower last answered the machine, as far as followers have reported it.
    pub fn last_answered(&self, machine: &MachineId) -> Option<Instant> {
        self.followers.values().filter_map(|follower| follower.answered.get(machine)).max().copied()
    }

    /// Returns whether no status has arrived directly from the peer for longer than [`PEER_UNREACHABLE_AFTER`].
    pub fn is_unreachable(&self, peer: &ControllerId, now: Instant) -> bool {
        let is_silent = |follower: &Follower| {
            now.saturating_duration_since(follower.last_direct_status_at) > PEER_UNREACHABLE_AFTER
        };
        self.followers.get(peer).is_none_or(is_silent)
    }

    /// Increments the grant number and returns it.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the grant with the current number for one follower, and records until when that follower may answer.
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

    /// Returns the latest time at which a follower may have answered the machine. `revoked_since` is the number of the
    /// first grant since which every grant has revoked the machine, or `None` if the machine is not revoked.
    pub fn latest_possible_answer(
        &self,
        machine: &MachineId,
        revoked_since: Option<u64>,
    ) -> Option<Instant> {
        let latest = |follower: &Follower| match revoked_since {
            // The follower obeys the revocation. It last answered at the reported time, or before its process started.
            Some(number) if follower.acknowledged_number >= number => {
                let started_at = follower.started_at.unwrap_or(follower.valid_until);
                follower.answered.get(machine).map_or(started_at, |at| (*at).max(started_at))
            }
            _ => follower.valid_until,
        };
        self.followers.values().map(latest).max()
    }
}

#[cfg(test)]
mod tests;
