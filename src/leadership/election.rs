//! Who leads: the leader's lease, the token, and when one may act.

use crate::constants::{DRIFT, RETRY_PAUSE};
use crate::ids::{ControllerId, FencingToken, LeaseId, Revision};
use crate::store::{
    Cache, LEADER_KEY, LeaderRecord, StoreRequest, StoreResponse, TOKEN_KEY, Versioned,
};
use crate::wire::{Precondition, StoreValue, Transaction, Write};
use foldhash::{HashMap, HashMapExt};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::Instant;

/// Life of the leader's lease at the state service.
pub const LEADER_LEASE: Duration = Duration::from_millis(3000);
/// Pause between renewals of that lease.
pub const RENEW_EVERY: Duration = Duration::from_millis(700);
/// Subtracted from the lease's life besides drift: time between our check and the packet's
/// leaving.
pub const LEASE_MARGIN: Duration = Duration::from_millis(400);
/// How long a pledge not to campaign lasts. A restarted process sits this out as well.
pub const PLEDGE: Duration = Duration::from_millis(2000);
/// Upper bound of the random pause before a campaign.
pub const CAMPAIGN_JITTER: Duration = Duration::from_millis(120);
/// A drained controller does not campaign for this long after it last saw another that serves.
pub const STAND_ASIDE: Duration = Duration::from_secs(2);
/// A leader that gave up for want of workers does not campaign for this long.
pub const RESIGN_REST: Duration = Duration::from_secs(15);

#[derive(Debug, Clone, PartialEq, Eq)]
enum Role {
    Follower,
    /// A lease was asked for.
    Asking,
    /// The guarded transaction was sent and has no verdict yet. While this lasts no pledge is
    /// given: the transaction may be applied late.
    Campaigning {
        lease: LeaseId,
        sent: Instant,
        token: FencingToken,
    },
    /// Giving a lease back whose transaction had no verdict; its end settles the matter.
    Settling {
        lease: LeaseId,
    },
    Leading {
        lease: LeaseId,
        token: FencingToken,
    },
}

#[derive(Debug, PartialEq, Eq)]
pub enum ElectionEvent {
    Won(FencingToken),
    Lost(&'static str),
}

pub struct Election {
    me: ControllerId,
    peers: usize,
    role: Role,
    /// Sure end of the state lease by our own clock.
    valid_until: Instant,
    renew_at: Instant,
    renew_in_flight: bool,
    campaign_at: Instant,
    /// Until when we have promised not to campaign, and for whom.
    pledged_until: Instant,
    /// Pledges that we hold, by peer: until when each surely lasts.
    pledges: HashMap<ControllerId, Instant>,
    random: StdRng,
}

/// What a lease or pledge of `life`, counted from when it was asked for, is surely worth.
fn sure(life: Duration) -> Duration {
    life.mul_f64(1.0 - DRIFT).saturating_sub(LEASE_MARGIN)
}

impl Election {
    pub fn new(me: ControllerId, peers: usize, seed: u64, now: Instant) -> Election {
        Election {
            me,
            peers,
            role: Role::Follower,
            valid_until: now,
            renew_at: now,
            renew_in_flight: false,
            // What this process promised before it was restarted is forgotten, so it first
            // sits out the time of one pledge.
            campaign_at: if peers == 0 { now } else { now + PLEDGE },
            pledged_until: now,
            pledges: HashMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    pub fn token(&self) -> Option<FencingToken> {
        match self.role {
            Role::Leading { token, .. } => Some(token),
            _ => None,
        }
    }

    pub fn by_lease(&self, now: Instant) -> bool {
        self.token().is_some() && now < self.valid_until
    }

    /// Whether every other controller has promised not to campaign. A controller that is alone
    /// needs no promise.
    fn by_pledge(&self, now: Instant) -> bool {
        self.token().is_some()
            && self.pledges.len() == self.peers
            && self.pledges.values().all(|until| now < *until)
    }

    /// Whether this process may act for the controllers now. Without its lease it takes the others' promises,
    /// and that it knows of all that was cancelled before (`informed`).
    pub fn may_act(&self, informed: bool, now: Instant) -> bool {
        self.by_lease(now) || (informed && self.by_pledge(now))
    }

    /// A leader asks for our promise not to campaign. The promise also tells it that nothing was cancelled
    /// that it can't know of, so it is refused while a campaign of ours has no verdict, when we know of a
    /// later leader, and when the leader's key is gone or its heartbeat is (`shown`: whether it is there):
    /// then others may have gone on without it. A process that has read nothing from the store since it
    /// started can't know what its earlier life and others did, and promises nothing.
    pub fn pledge(
        &mut self,
        token: FencingToken,
        cache: &Cache,
        shown: bool,
        now: Instant,
    ) -> bool {
        // One that led before, and has not heard of its successor from the store yet, won't campaign either.
        let open = match self.role {
            Role::Follower => true,
            Role::Leading { token: ours, .. } => ours < token,
            _ => false,
        };
        if !open || !cache.loaded {
            return false;
        }
        // What we know is older than a leader with a newer token, who has read all of it.
        let stands = token > cache.token.value
            || (shown && cache.leader.as_ref().is_some_and(|leader| leader.value.token == token));
        if stands {
            self.pledged_until = self.pledged_until.max(now + PLEDGE);
        }
        stands
    }

    pub fn pledged_by(&mut self, peer: &ControllerId, asked: Instant) {
        let until = asked + sure(PLEDGE);
        let entry = self.pledges.entry(peer.clone()).or_insert(until);
        *entry = (*entry).max(until);
    }

    /// Gives leadership up and stands back for a while.
    pub fn resign(&mut self, now: Instant) -> Option<StoreRequest> {
        let Role::Leading { lease, .. } = self.role else { return None };
        self.role = Role::Follower;
        self.campaign_at = now + RESIGN_REST;
        self.pledges.clear();
        Some(StoreRequest::RevokeLease(lease))
    }

    /// Lets others campaign first for a while: this controller is to be ended.
    pub fn stand_aside(&mut self, now: Instant) {
        if matches!(self.role, Role::Follower) {
            self.campaign_at = self.campaign_at.max(now + STAND_ASIDE);
        }
    }

    pub fn poll(&mut self, cache: &Cache, state_lost: bool, now: Instant) -> Vec<StoreRequest> {
        let mut calls = Vec::new();
        match &self.role {
            Role::Follower => {
                if !cache.loaded || cache.leader.is_some() || state_lost {
                    let jitter = CAMPAIGN_JITTER.mul_f64(self.random.random::<f64>());
                    self.campaign_at = self.campaign_at.max(now + jitter);
                } else if now >= self.campaign_at.max(self.pledged_until) {
                    self.role = Role::Asking;
                    calls.push(StoreRequest::GrantLease(LEADER_LEASE));
                }
            }
            Role::Settling { lease } => {
                if now >= self.renew_at && !self.renew_in_flight {
                    self.renew_in_flight = true;
                    calls.push(StoreRequest::RevokeLease(*lease));
                }
            }
            Role::Leading { lease, .. } => {
                if now >= self.renew_at && !self.renew_in_flight {
                    self.renew_in_flight = true;
                    calls.push(StoreRequest::KeepAlive(*lease));
                }
            }
            Role::Asking | Role::Campaigning { .. } => {}
        }
        calls
    }

    fn stand_back(&mut self, now: Instant) {
        self.role = Role::Follower;
        self.campaign_at = now + RETRY_PAUSE;
    }

    /// Whether the leader has lost its right for good: another one leads.
    pub fn check(&mut self, cache: &Cache) -> Option<ElectionEvent> {
        let token = self.token()?;
        (cache.token.value > token).then(|| {
            self.role = Role::Follower;
            self.pledges.clear();
            ElectionEvent::Lost("another leader has a higher token")
        })
    }

    pub fn on_response(
        &mut self,
        call: &StoreRequest,
        sent: Instant,
        reply: &StoreResponse,
        cache: &Cache,
        now: Instant,
    ) -> (Vec<StoreRequest>, Option<ElectionEvent>) {
        let mut calls = Vec::new();
        let mut event = None;
        match (self.role.clone(), call) {
            (Role::Asking, StoreRequest::GrantLease(_)) => match reply {
                StoreResponse::LeaseGranted(lease) => {
                    // The pledge may have been given, or a leader found, since we asked.
                    if cache.leader.is_some() || now < self.pledged_until {
                        self.stand_back(now);
                        calls.push(StoreRequest::RevokeLease(*lease));
                        return (calls, None);
                    }
                    let Versioned { value: old, revision: rev } = cache.token;
                    let token = FencingToken(old.0 + 1);
                    self.role = Role::Campaigning { lease: *lease, sent, token };
                    calls.push(StoreRequest::Commit(self.campaign(token, rev, *lease)));
                }
                _ => self.stand_back(now),
            },
            (Role::Campaigning { lease, sent, token }, StoreRequest::Commit(_)) => match reply {
                StoreResponse::Committed(_) => {
                    self.role = Role::Leading { lease, token };
                    self.valid_until = sent + sure(LEADER_LEASE);
                    self.renew_at = now;
                    self.renew_in_flight = false;
                    self.pledges.clear();
                    event = Some(ElectionEvent::Won(token));
                }
                StoreResponse::Unknown => {
                    self.role = Role::Settling { lease };
                    self.renew_at = now;
                    self.renew_in_flight = false;
                }
                _ => {
                    self.stand_back(now);
                    calls.push(StoreRequest::RevokeLease(lease));
                }
            },
            (Role::Settling { lease }, StoreRequest::RevokeLease(dropped)) if lease == *dropped => {
                self.renew_in_flight = false;
                match reply {
                    StoreResponse::Done | StoreResponse::Gone => self.stand_back(now),
                    _ => self.renew_at = now + RETRY_PAUSE,
                }
            }
            (Role::Leading { lease, .. }, StoreRequest::KeepAlive(touched))
                if lease == *touched =>
            {
                self.renew_in_flight = false;
                match reply {
                    StoreResponse::Done => {
                        self.valid_until = sent + sure(LEADER_LEASE);
                        self.renew_at = sent + RENEW_EVERY;
                    }
                    StoreResponse::Gone => {
                        self.stand_back(now);
                        self.pledges.clear();
                        event = Some(ElectionEvent::Lost("the lease ended"));
                    }
                    _ => self.renew_at = now + RETRY_PAUSE,
                }
            }
            _ => {}
        }
        (calls, event)
    }

    fn campaign(&self, token: FencingToken, token_rev: Revision, lease: LeaseId) -> Transaction {
        let record = LeaderRecord { controller: self.me.clone(), token };
        let put = |key: &str, data: StoreValue, lease| Write::Put { key: key.into(), data, lease };
        Transaction {
            preconditions: vec![
                Precondition { key: LEADER_KEY.into(), rev: Revision(0) },
                Precondition { key: TOKEN_KEY.into(), rev: token_rev },
            ],
            writes: vec![
                put(
                    LEADER_KEY,
                    StoreValue::serialized(&record).unwrap_or(StoreValue::Null),
                    Some(lease),
                ),
                put(TOKEN_KEY, StoreValue::from(token.0), None),
            ],
        }
    }
}

#[cfg(test)]
mod tests;
