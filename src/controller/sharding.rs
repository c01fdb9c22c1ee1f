//! Which controllers take workers' heartbeats: the leader decides, and announces it for a short term at a time.

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

/// How much longer a leader waits for workers before it resigns, if peers relayed their heartbeats: those notice that
/// they can't reach it and send workers to it, by way of the store in some seconds.
const EXTRA_PATIENCE: Duration = Duration::from_millis(4000);
/// A peer counts as one that can take heartbeats for this long after it was last heard.
const PEER_KNOWN_FOR: Duration = Duration::from_secs(120);
/// A peer that was not heard for this long takes no heartbeats.
pub(super) const MEMBER_UNREACHABLE_AFTER: Duration = Duration::from_millis(1600);
/// Thousandths. The whole of the public sockets.
const ALL_SOCKETS: usize = 1000;

/// A leader's message by way of the store.
#[derive(Debug)]
struct StoreContact {
    token: FencingToken,
    at: Instant,
}

/// What this controller knows of sharded heartbeats, in whatever role.
pub(super) struct HeartbeatSharding {
    pub(super) relay: HeartbeatRelay,
    pub(super) deliveries: PendingDeliveries,
    pub(super) forwarded: ForwardedCalls,
    pub(super) redirects: Redirects,
    policy: ShardingPolicy,
    /// As the leader: who takes heartbeats; nobody else if it is empty.
    members: Membership,
    /// As the leader: it takes some itself, since the peers have little room.
    leader_takes_part: bool,
    /// As the leader: when peers last relayed heartbeats, as far as it allowed that.
    last_sharded: Option<Instant>,
    /// The newest message of a leader by way of the store.
    store_contact: Option<StoreContact>,
}

impl HeartbeatSharding {
    /// Batches and commands are numbered from `first_number` on.
    pub(super) fn new(first_number: u64, settings: &Settings) -> HeartbeatSharding {
        HeartbeatSharding {
            relay: HeartbeatRelay::new(first_number),
            deliveries: PendingDeliveries::new(first_number),
            forwarded: ForwardedCalls::new(),
            redirects: Redirects::default(),
            policy: ShardingPolicy::new(settings),
            members: Membership::default(),
            leader_takes_part: false,
            last_sharded: None,
            store_contact: None,
        }
    }

    /// This controller begins to lead.
    pub(super) fn begin_leadership(&mut self) {
        self.forwarded.clear();
        self.deliveries.clear();
    }

    /// Whether peers take heartbeats for this leader.
    pub(super) fn is_sharded(&self) -> bool {
        !self.members.is_empty()
    }

    /// A leader sent something by way of the store: it lives, and doesn't reach this controller otherwise.
    pub(super) fn record_store_contact(&mut self, token: FencingToken, now: Instant) {
        self.store_contact = Some(StoreContact { token, at: now });
    }

    /// Whether that leader sent something by way of the store within a period.
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

    /// How much longer than usual a leader waits for workers' heartbeats.
    pub(super) fn extra_patience(&self, now: Instant) -> Duration {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RELAY_RESUME_WINDOW;
        if self.last_sharded.is_some_and(is_recent) { EXTRA_PATIENCE } else { Duration::ZERO }
    }

    pub(super) fn next_due(&self) -> Option<Instant> {
        let dues = [self.relay.next_due(), self.deliveries.next_due(), self.forwarded.next_due()];
        dues.into_iter().flatten().min()
    }
}

impl Controller {
    /// What this controller tells peers of itself beside its status.
    pub(super) fn capabilities(&self) -> PeerCapabilities {
        if self.settings.operator.hold_format {
            return PeerCapabilities::default();
        }
        let public = self.limits.sockets.public.max(1);
        let free = public.saturating_sub(self.limits.open_connections);
        let free_sockets_permille = (free * ALL_SOCKETS / public) as u16;
        PeerCapabilities { protocol: MESH_PROTOCOL, free_sockets_permille }
    }

    /// Whether a peer understands messages of sharded heartbeats, and was heard a moment ago.
    pub(super) fn takes_part_in_sharding(&self, name: &ControllerId, now: Instant) -> bool {
        self.peers.get(name).is_some_and(|peer| {
            peer.capabilities.protocol >= MESH_PROTOCOL
                && peer.is_heard_within(MEMBER_UNREACHABLE_AFTER, now)
        })
    }

    /// Whether this controller may shard heartbeats at all.
    fn may_shard(&self) -> bool {
        let operator = &self.settings.operator;
        !operator.hold_format && operator.share_reports != ShardHeartbeats::Never
    }

    /// How many peers could take heartbeats, those included that are away for a moment.
    pub(super) fn count_sharding_peers(&self, now: Instant) -> usize {
        if !self.may_shard() {
            return 0;
        }
        let peers = self.peers.views().filter(|peer| {
            peer.capabilities.protocol >= MESH_PROTOCOL && peer.is_heard_within(PEER_KNOWN_FOR, now)
        });
        peers.count()
    }

    /// The leader decides whether heartbeats are sharded, and tells its peers.
    pub(super) fn announce_shards(&mut self, now: Instant) {
        self.sharding.redirects.expire(now);
        if !self.holds_leadership(now) {
            return;
        }
        let Some(scheduler) = &self.scheduler else { return };
        let (token, machines) = (scheduler.token(), scheduler.machine_count());
        let was_sharded = self.sharding.is_sharded();
        let is_wanted = self.sharding.policy.update(machines) && self.may_shard();
        self.sharding.members =
            if is_wanted { self.choose_members(machines, now) } else { Membership::default() };
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
            if self.takes_part_in_sharding(&peer.host_name, now) {
                self.send_to_peer(peer.host_name.clone(), message.clone());
            }
        }
    }

    /// Who takes heartbeats.
    pub(super) fn choose_members(&mut self, machines: usize, now: Instant) -> Membership {
        let platform = &self.settings.platform;
        let candidates = platform.others.iter().filter_map(|peer| {
            let view = self.peers.get(&peer.host_name)?;
            let name = peer.host_name.clone();
            // Whether it has the store doesn't matter, since what it passes back is the leader's word.
            let is_available = self.takes_part_in_sharding(&name, now)
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
            is_member: self.sharding.leader_takes_part,
        };
        let choice = choose_members(&candidates, &leader);
        self.sharding.leader_takes_part = choice.includes_leader;
        choice.membership
    }

    /// The other controller that a worker is to be redirected to.
    pub(super) fn other_owner(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Option<ControllerId> {
        let members = match &self.scheduler {
            Some(_) => &self.sharding.members,
            None => self.sharding.relay.members(self.store.cache.token.value, now)?,
        };
        let owner = members.owner(&heartbeat.machine, &heartbeat.zone)?;
        if owner == self.name() || !self.takes_part_in_sharding(owner, now) {
            return None;
        }
        let owner = owner.clone();
        self.sharding.redirects.try_redirect(&heartbeat.machine, now).then_some(owner)
    }

    /// A leader announces who takes heartbeats.
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
