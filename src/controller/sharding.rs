//! Assignment of workers' heartbeats to controllers: the leader chooses the members and announces them, each time for
//! a short period.

use super::Controller;
use crate::admission::ShardingPolicy;
use crate::ids::{ControllerId, FencingToken};
use crate::peers::heartbeat_relay::{HeartbeatRelay, RELAY_RESUME_WINDOW};
use crate::peers::membership::{
    LeaderLoad, MemberCandidate, Membership, Redirects, choose_members,
};
use crate::peers::mesh::{MESH_PROTOCOL, PeerCapabilities, PeerMessage};
use crate::settings::{Settings, ShardHeartbeats};
use crate::wire::Heartbeat;
use crate::workers::command_delivery::{ForwardedCalls, PendingDeliveries};
use std::time::Duration;
use tokio::time::Instant;

/// Additional time without heartbeats before a leader resigns, if peers recently relayed heartbeats. The peers need it
/// to detect that they can't reach the leader and to redirect workers to it; through the store this takes seconds.
const EXTRA_SILENCE_ALLOWED: Duration = Duration::from_millis(4000);
/// Time since its last status within which a peer counts toward the capacity that limits the number of machines.
const PEER_CAPACITY_RETENTION: Duration = Duration::from_secs(120);
/// Time since its last status after which a peer is assigned no heartbeats.
pub(super) const MEMBER_UNREACHABLE_AFTER: Duration = Duration::from_millis(1600);
/// Denominator of shares in thousandths.
const PERMILLE: usize = 1000;

/// Receipt of a leader's message through the store.
#[derive(Debug)]
struct StoreContact {
    token: FencingToken,
    at: Instant,
}

/// State of heartbeat sharding, for the leader and for members.
pub(super) struct HeartbeatSharding {
    pub(super) relay: HeartbeatRelay,
    pub(super) deliveries: PendingDeliveries,
    pub(super) forwarded: ForwardedCalls,
    pub(super) redirects: Redirects,
    policy: ShardingPolicy,
    /// Members that this leader chose to take heartbeats. If empty, only the leader takes them.
    members: Membership,
    /// True if this leader is a member itself, because the peers have little free capacity.
    leader_is_member: bool,
    /// Time at which this leader last allowed peers to relay heartbeats.
    last_sharded: Option<Instant>,
    /// Newest message of a leader through the store.
    store_contact: Option<StoreContact>,
}

impl HeartbeatSharding {
    /// Creates the state of a follower that numbers its batches and commands from `first_number` on.
    pub(super) fn new(first_number: u64, settings: &Settings) -> HeartbeatSharding {
        HeartbeatSharding {
            relay: HeartbeatRelay::new(first_number),
            deliveries: PendingDeliveries::new(first_number),
            forwarded: ForwardedCalls::new(),
            redirects: Redirects::default(),
            policy: ShardingPolicy::new(settings),
            members: Membership::default(),
            leader_is_member: false,
            last_sharded: None,
            store_contact: None,
        }
    }

    /// Drops all forwarded and pending calls at the start of this controller's leadership.
    pub(super) fn begin_leadership(&mut self, token: FencingToken) {
        self.forwarded.clear();
        self.deliveries.begin_term(token);
    }

    /// Returns whether peers take heartbeats for this leader.
    pub(super) fn is_sharded(&self) -> bool {
        !self.members.is_empty()
    }

    /// Records a leader's message through the store: the leader is alive, but can't reach this controller directly.
    pub(super) fn record_store_contact(&mut self, token: FencingToken, now: Instant) {
        self.store_contact = Some(StoreContact { token, at: now });
    }

    /// Returns whether the leader with that token sent a message through the store within the period.
    pub(super) fn has_store_contact(
        &self,
        token: FencingToken,
        within: Duration,
        now: Instant,
    ) -> bool {
        self.store_contact.as_ref().is_some_and(|contact| {
            contact.token == token && now.saturating_duration_since(contact.at) < within
        })
    }

    /// Returns the additional time without heartbeats before this leader resigns.
    pub(super) fn extra_silence_allowed(&self, now: Instant) -> Duration {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RELAY_RESUME_WINDOW;
        if self.last_sharded.is_some_and(is_recent) {
            EXTRA_SILENCE_ALLOWED
        } else {
            Duration::ZERO
        }
    }

    pub(super) fn next_due(&self) -> Option<Instant> {
        let deadlines =
            [self.relay.next_due(), self.deliveries.next_due(), self.forwarded.next_due()];
        deadlines.into_iter().flatten().min()
    }
}

impl Controller {
    /// Returns the capabilities that this controller adds to its status messages.
    pub(super) fn capabilities(&self) -> PeerCapabilities {
        if self.settings.operator.hold_format {
            return PeerCapabilities::default();
        }
        let public = self.limits.sockets.public.max(1);
        let free = public.saturating_sub(self.limits.open_connections);
        let free_sockets_permille = (free * PERMILLE / public) as u16;
        PeerCapabilities { protocol: MESH_PROTOCOL, free_sockets_permille }
    }

    /// Returns whether a peer understands heartbeat sharding and was heard within [`MEMBER_UNREACHABLE_AFTER`].
    pub(super) fn can_take_heartbeats(&self, name: &ControllerId, now: Instant) -> bool {
        self.peers.get(name).is_some_and(|peer| {
            peer.capabilities.protocol >= MESH_PROTOCOL
                && peer.was_heard_within(MEMBER_UNREACHABLE_AFTER, now)
        })
    }

    /// Returns whether the operator's settings allow heartbeat sharding.
    fn is_sharding_allowed(&self) -> bool {
        let operator = &self.settings.operator;
        !operator.hold_format && operator.share_reports != ShardHeartbeats::Never
    }

    /// Returns the number of peers that can take heartbeats, including those that are briefly unreachable.
    pub(super) fn count_sharding_peers(&self, now: Instant) -> usize {
        if !self.is_sharding_allowed() {
            return 0;
        }
        let peers = self.peers.views().filter(|peer| {
            peer.capabilities.protocol >= MESH_PROTOCOL
                && peer.was_heard_within(PEER_CAPACITY_RETENTION, now)
        });
        peers.count()
    }

    /// Decides, as the leader, whether heartbeats are sharded, and announces the members to the peers.
    pub(super) fn announce_shards(&mut self, now: Instant) {
        self.sharding.redirects.expire(now);
        if !self.holds_leadership(now) {
            return;
        }
        let Some(scheduler) = &self.scheduler else { return };
        let (token, machines) = (scheduler.token(), scheduler.machine_count());
        let was_sharded = self.sharding.is_sharded();
        let should_shard = self.sharding.policy.update(machines) && self.is_sharding_allowed();
        self.sharding.members =
            if should_shard { self.choose_members(machines, now) } else { Membership::default() };
        let sharded = self.sharding.is_sharded();
        if sharded {
            self.sharding.last_sharded = Some(now);
        }
        if was_sharded != sharded {
            tracing::info!(sharded, machines, "heartbeat sharding changed");
        }
        if was_sharded || sharded {
            self.send_members(token, now);
        }
    }

    fn send_members(&mut self, token: FencingToken, now: Instant) {
        let from = self.name().clone();
        let members = self.sharding.members.clone();
        let message = PeerMessage::ShardAssignment { from, token, members };
        let settings = self.settings.clone();
        for peer in &settings.platform.others {
            if self.can_take_heartbeats(&peer.host_name, now) {
                self.send_to_peer(peer.host_name.clone(), message.clone());
            }
        }
    }

    /// Returns the controllers that are to take heartbeats.
    pub(super) fn choose_members(&mut self, machines: usize, now: Instant) -> Membership {
        let platform = &self.settings.platform;
        let candidates = platform.others.iter().filter_map(|peer| {
            let view = self.peers.get(&peer.host_name)?;
            let name = peer.host_name.clone();
            // A member needs no access to the store, since it only passes the leader's results to workers.
            let is_available = self.can_take_heartbeats(&name, now)
                && !self.store.cache.is_controller_drained(&name);
            let zone = peer.location.clone();
            let free_sockets_permille = view.capabilities.free_sockets_permille;
            Some(MemberCandidate { name, zone, free_sockets_permille, is_available })
        });
        let candidates: Vec<MemberCandidate> = candidates.collect();
        let leader = LeaderLoad {
            name: platform.host_name.clone(),
            zone: platform.location.clone(),
            workers: machines,
            workers_per_controller: self.limits.sockets.max_machines,
            is_member: self.sharding.leader_is_member,
        };
        let choice = choose_members(&candidates, &leader);
        self.sharding.leader_is_member = choice.includes_leader;
        choice.membership
    }

    /// Returns the other controller that takes this worker's heartbeats, if the worker is to be redirected there now.
    pub(super) fn redirect_target(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Option<ControllerId> {
        let members = match &self.scheduler {
            Some(_) => &self.sharding.members,
            None => self.sharding.relay.members(self.store.cache.token.value, now)?,
        };
        let owner = members.owner(&heartbeat.machine, &heartbeat.zone)?;
        if owner == self.name() || !self.can_take_heartbeats(owner, now) {
            return None;
        }
        let owner = owner.clone();
        self.sharding.redirects.try_redirect(&heartbeat.machine, now).then_some(owner)
    }

    /// Handles a leader's announcement of the members that take heartbeats.
    pub(super) fn on_shard_assignment(
        &mut self,
        from: ControllerId,
        token: FencingToken,
        members: Membership,
        now: Instant,
    ) {
        if token >= self.store.cache.token.value && self.scheduler.is_none() {
            self.sharding.relay.on_assignment(token, from, members, now);
        }
    }
}
