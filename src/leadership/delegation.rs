//! Keeping leases alive where the leader cannot be reached.
//!
//! The leader grants each other controller, over the mesh and for a limited time, the right to
//! answer reports with its token and without starts. A controller uses that right only when it
//! has stopped hearing from the leader. So that the leader can still conclude that a silent
//! machine's lease has run out, it bars silent machines in its grants, and controllers
//! acknowledge the grants they have and tell whom they answered. Machines that the leader alone
//! does not hear are lent: they are answered though the leader is near.

use crate::constants::{DELEGATION_TERM, DRIFT};
use crate::ids::{ControllerId, FencingToken, MachineId};
use crate::peers::mesh::PeerMessage;
use foldhash::{HashMap, HashSet};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// A controller answers on the leader's behalf after this long without a grant, three beats.
pub const DELEGATION_AFTER: Duration = Duration::from_millis(1600);

/// What a follower holds.
#[derive(Debug, Default)]
pub struct DelegatedLease {
    grant: Option<Grant>,
    /// When it answered which machine last, under whatever token.
    answered: BTreeMap<MachineId, Instant>,
}

#[derive(Debug)]
struct Grant {
    token: FencingToken,
    number: u64,
    until: Instant,
    /// When one came over the mesh last.
    received: Option<Instant>,
    revoked: HashSet<MachineId>,
    /// Those that the leader does not hear itself: they are answered though it is in reach.
    delegated: HashSet<MachineId>,
}

impl DelegatedLease {
    /// Takes a grant that answers a question of ours asked at `asked`: its time counts from then.
    /// One that came by way of the store (not `direct`) shows that the leader is out of reach.
    pub fn take(
        &mut self,
        (token, number): (FencingToken, u64),
        (revoked, delegated): (Vec<MachineId>, Vec<MachineId>),
        direct: bool,
        asked: Instant,
        now: Instant,
    ) {
        if self.grant.as_ref().is_some_and(|g| (g.token, g.number) >= (token, number)) {
            return;
        }
        let until = asked + DELEGATION_TERM.mul_f64(1.0 - DRIFT);
        let revoked = revoked.into_iter().collect();
        let delegated = delegated.into_iter().collect();
        let before = self.grant.as_ref().filter(|g| g.token == token).and_then(|g| g.received);
        let received = if direct { Some(now) } else { before };
        self.grant = Some(Grant { token, number, until, received, revoked, delegated });
    }

    pub fn ack(&self) -> (FencingToken, u64) {
        self.grant.as_ref().map_or((FencingToken(0), 0), |grant| (grant.token, grant.number))
    }

    /// Whom we answered and how long ago.
    pub fn answered_for_leader(&mut self, now: Instant) -> Vec<(MachineId, u64)> {
        self.answered.retain(|_, at| now.saturating_duration_since(*at) < DELEGATION_TERM * 4);
        let age = |at: &Instant| now.saturating_duration_since(*at).as_millis() as u64;
        self.answered.iter().map(|(id, at)| (id.clone(), age(at))).collect()
    }

    /// A leader that lost its right answered the machine.
    pub fn note(&mut self, machine: &MachineId, now: Instant) {
        self.answered.insert(machine.clone(), now);
    }

    /// The token to answer a report with, if we may: the leader grants it, is out of our reach,
    /// and no later one is known (`newest`).
    pub fn answer(
        &mut self,
        machine: &MachineId,
        newest: FencingToken,
        now: Instant,
    ) -> Option<FencingToken> {
        let grant = self.grant.as_ref()?;
        let near =
            grant.received.is_some_and(|at| now.saturating_duration_since(at) < DELEGATION_AFTER);
        let near = near && !grant.delegated.contains(machine);
        if grant.token < newest || now >= grant.until || near || grant.revoked.contains(machine) {
            return None;
        }
        self.answered.insert(machine.clone(), now);
        Some(grant.token)
    }
}

/// What the leader knows of the grants it gave.
#[derive(Debug)]
pub struct Delegations {
    token: FencingToken,
    since: Instant,
    peers: HashMap<ControllerId, Peer>,
    pub number: u64,
}

#[derive(Debug)]
struct Peer {
    /// No answer on a grant of ours, or of a predecessor, comes later than this.
    until: Instant,
    acked: u64,
    heard: Instant,
    started: Instant,
    answered: BTreeMap<MachineId, Instant>,
}

impl Delegations {
    pub fn new(
        token: FencingToken,
        peers: impl Iterator<Item = ControllerId>,
        now: Instant,
    ) -> Delegations {
        // A predecessor's grants may last one full term from now.
        let peer = || Peer {
            until: now + DELEGATION_TERM.mul_f64(1.0 + DRIFT),
            acked: 0,
            heard: now,
            started: now,
            answered: BTreeMap::new(),
        };
        Delegations {
            token,
            since: now,
            peers: peers.map(|name| (name, peer())).collect(),
            number: 0,
        }
    }

    /// A beat of another controller, which asks for a grant and tells what it did.
    pub fn on_peer_status(
        &mut self,
        from: &ControllerId,
        ack: (FencingToken, u64),
        up: Duration,
        answered_for_leader: &[(MachineId, u64)],
        direct: bool,
        now: Instant,
    ) {
        let Some(peer) = self.peers.get_mut(from) else { return };
        if direct {
            peer.heard = now;
        }
        // Delays on the way make these times later than they were, which is the safe side.
        peer.started = now.checked_sub(up).unwrap_or(self.since);
        for (machine, age_ms) in answered_for_leader {
            let age = Duration::from_millis(*age_ms);
            let at = now.checked_sub(age).unwrap_or(self.since);
            let entry = peer.answered.entry(machine.clone()).or_insert(at);
            *entry = (*entry).max(at);
        }
        if ack.0 == self.token {
            peer.acked = peer.acked.max(ack.1);
        }
    }

    /// When another controller answered the machine last, as far as it told.
    pub fn told(&self, machine: &MachineId) -> Option<Instant> {
        self.peers.values().filter_map(|peer| peer.answered.get(machine)).max().copied()
    }

    /// Whether nothing has come from that controller for a while.
    pub fn unheard(&self, peer: &ControllerId, now: Instant) -> bool {
        let silent = |peer: &Peer| now.saturating_duration_since(peer.heard) > DELEGATION_AFTER;
        self.peers.get(peer).is_none_or(silent)
    }

    pub fn give(
        &mut self,
        to: &ControllerId,
        seq: u64,
        (revoked, delegated): (Vec<MachineId>, Vec<MachineId>),
        now: Instant,
    ) -> Option<PeerMessage> {
        let peer = self.peers.get_mut(to)?;
        peer.until = now + DELEGATION_TERM.mul_f64(1.0 + DRIFT);
        let (token, number) = (self.token, self.number);
        Some(PeerMessage::LeaseGrant { seq, token, number, revoked, delegated })
    }

    /// The latest time at which another controller may have answered the machine, which has been
    /// barred without a break since the grant of that number.
    pub fn answered_until(
        &self,
        machine: &MachineId,
        revoked_since: Option<u64>,
    ) -> Option<Instant> {
        let latest = |peer: &Peer| match revoked_since {
            // It keeps to the bar; before, it answered when it says, or before it was started.
            Some(number) if peer.acked >= number => {
                peer.answered.get(machine).map_or(peer.started, |at| (*at).max(peer.started))
            }
            _ => peer.until,
        };
        self.peers.values().map(latest).max()
    }
}

#[cfg(test)]
mod tests;
