//! Reports shared out among the controllers: who takes whose, and what passes between them and the leader.
//!
//! The leader permits it for a short term at a time where its own sockets or processor would not do, and tells who
//! the members are. Members pass reports on ([`crate::peers::heartbeat_relay`]) and send commands for it ([`crate::workers::command_delivery`]).

use super::worker_heartbeats::redirect;
use super::*;
use crate::admission::Load;
use crate::peers::heartbeat_relay::{
    HeartbeatRelay, HeartbeatResult, OversizedHeartbeat, RELAY_RESUMES_WITHIN, RELAY_TERM,
    RelayedHeartbeat,
};
use crate::peers::membership::{
    LeaderLoad, MemberCandidate, Membership, Redirects, choose_members,
};
use crate::peers::mesh::{MESH_PROTOCOL, PeerCapabilities};
use crate::scheduler::direct_calls::OutgoingCall;
use crate::settings::ShardHeartbeats;
use crate::workers::command_delivery::{
    Delivery, DeliveryResult, ForwardedCalls, PendingDeliveries,
};

/// A leader that was not heard for this long and whose key still stands is out of reach of this controller alone: the key
/// outlives its leader by less ([`LEADER_LEASE`], and its end is told within a follow).
pub const LEADER_APART_AFTER: Duration = Duration::from_millis(4500);
/// For so long after its last message by way of the store a leader counts as alive though it is not heard otherwise.
pub const LEADER_BY_STORE_FOR: Duration = Duration::from_millis(5000);
/// How much longer a leader waits for workers before it gives up for want of them, if others passed their reports on:
/// those notice that they can't reach it and send workers to it, by way of the store in some seconds.
pub const SHARED_PATIENCE: Duration = Duration::from_millis(4000);
/// A controller counts as one that can take reports for this long after it was last heard.
pub const MEMBER_KNOWN_FOR: Duration = Duration::from_secs(120);
/// A member that was not heard for this long takes no reports.
pub const MEMBER_FRESH: Duration = Duration::from_millis(1600);
/// Count. Commands under way by other controllers at the most.
pub const DELIVERIES_MOST: usize = 4000;

/// All that this controller knows of shared reports, in whatever role.
pub(super) struct Sharing {
    pub(super) relay: HeartbeatRelay,
    pub(super) deliveries: PendingDeliveries,
    pub(super) forwarded: ForwardedCalls,
    /// As the leader: whether reports are shared, and by whom.
    load: Load,
    members: Membership,
    /// Whether the leader takes some itself, since the others have little room.
    leader_helps: bool,
    redirects: Redirects,
    /// As the leader: when others last passed reports on, as far as it permitted that.
    shared_at: Option<Instant>,
    /// The leader that sent a message by way of the store last, and when.
    by_store: Option<(FencingToken, Instant)>,
}

impl Sharing {
    pub(super) fn new(first: u64, settings: &Settings) -> Sharing {
        Sharing {
            relay: HeartbeatRelay::new(first),
            deliveries: PendingDeliveries::new(first),
            forwarded: ForwardedCalls::new(),
            load: Load::new(settings),
            members: Membership::default(),
            leader_helps: false,
            redirects: Redirects::default(),
            shared_at: None,
            by_store: None,
        }
    }

    /// A new leadership begins here.
    pub(super) fn lead(&mut self) {
        self.forwarded.clear();
        self.deliveries.clear();
    }

    /// Whether other controllers take reports for this leader.
    pub(super) fn is_shared(&self) -> bool {
        !self.members.is_empty()
    }

    /// A leader sent something by way of the store: it lives, and does not reach this controller otherwise.
    pub(super) fn heard_by_store(&mut self, token: FencingToken, now: Instant) {
        self.by_store = Some((token, now));
    }

    /// How much longer than usual a leader waits for workers to report to it.
    pub(super) fn patience(&self, now: Instant) -> Duration {
        let lately = |at: Instant| now.saturating_duration_since(at) < RELAY_RESUMES_WITHIN;
        if self.shared_at.is_some_and(lately) { SHARED_PATIENCE } else { Duration::ZERO }
    }

    pub(super) fn next_due(&self) -> Option<Instant> {
        let dues = [self.relay.next_due(), self.deliveries.next_due(), self.forwarded.next_due()];
        dues.into_iter().flatten().min()
    }
}

impl Controller {
    /// What this controller tells of itself beside its status.
    pub(super) fn peer_extra(&self) -> PeerCapabilities {
        if self.settings.operator.hold_format {
            return PeerCapabilities::default();
        }
        let public = self.sockets.public.max(1);
        let free_sockets_permille = (public.saturating_sub(self.open) * 1000 / public) as u16;
        PeerCapabilities { protocol: MESH_PROTOCOL, free_sockets_permille }
    }

    /// Whether a peer understands messages about shared reports, and was heard a moment ago.
    fn shares(&self, name: &ControllerId, now: Instant) -> bool {
        let fresh = |view: &PeerView| now.saturating_duration_since(view.heard) < MEMBER_FRESH;
        let known = self.peers.get(name);
        known.is_some_and(|view| view.extra.protocol >= MESH_PROTOCOL && fresh(view))
    }

    /// Whether this controller may share reports out at all.
    fn may_share(&self) -> bool {
        let operator = &self.settings.operator;
        !operator.hold_format && operator.share_reports != ShardHeartbeats::Never
    }

    /// How many other controllers could take reports, those included that are away for a moment.
    pub(super) fn sharers(&self, now: Instant) -> usize {
        if !self.may_share() {
            return 0;
        }
        let lately = |at: Instant| now.saturating_duration_since(at) < MEMBER_KNOWN_FOR;
        let able = |view: &&PeerView| view.extra.protocol >= MESH_PROTOCOL && lately(view.heard);
        self.peers.values().filter(able).count()
    }

    /// The leader looks whether reports are to be shared, and tells the others.
    pub(super) fn tell_sharing(&mut self, now: Instant) {
        self.sharing.redirects.expire(now);
        let Some(scheduler) = self.scheduler.as_ref().filter(|_| self.may_act(now)) else { return };
        let (token, machines) = (scheduler.token(), scheduler.machine_count());
        let was = self.sharing.is_shared();
        let wanted = self.sharing.load.look(machines) && self.may_share();
        self.sharing.members =
            if wanted { self.find_members(machines, now) } else { Membership::default() };
        let on = self.sharing.is_shared();
        if on {
            self.sharing.shared_at = Some(now);
        }
        if was != on {
            tracing::info!(on, machines, "reports are shared out");
        }
        if !was && !on {
            return;
        }
        let (from, members) = (self.settings.platform.host_name.clone(), &self.sharing.members);
        let message = PeerMessage::ShardAssignment { from, token, members: members.clone() };
        for peer in self.settings.platform.others.iter().map(|peer| &peer.host_name) {
            if self.shares(peer, now) {
                self.out.push(Effect::Mesh(peer.clone(), message.clone()));
            }
        }
    }

    /// Who takes reports.
    pub(super) fn find_members(&mut self, machines: usize, now: Instant) -> Membership {
        let platform = &self.settings.platform;
        let drained = |name: &ControllerId| self.state.cache.is_controller_drained(name);
        let candidates = platform.others.iter().filter_map(|peer| {
            let view = self.peers.get(&peer.host_name)?;
            let (name, zone) = (peer.host_name.clone(), peer.location.clone());
            // Whether it has the store is nothing to it: what it passes back is the leader's word. In an outage
            // every worker was once sent to the leader, since nobody had the store.
            let is_available = self.shares(&name, now) && !drained(&name);
            let free_sockets_permille = view.extra.free_sockets_permille;
            Some(MemberCandidate { name, zone, free_sockets_permille, is_available })
        });
        let candidates: Vec<MemberCandidate> = candidates.collect();
        let leader = LeaderLoad {
            name: platform.host_name.clone(),
            zone: platform.location.clone(),
            workers: machines,
            workers_per_controller: self.sockets.machines,
            is_member: self.sharing.leader_helps,
        };
        let choice = choose_members(&candidates, &leader);
        self.sharing.leader_helps = choice.includes_leader;
        choice.membership
    }

    /// The controller to which a worker is to be sent from here.
    pub(super) fn other_owner(&mut self, report: &Heartbeat, now: Instant) -> Option<ControllerId> {
        let me = &self.settings.platform.host_name;
        let members = match &self.scheduler {
            Some(_) => &self.sharing.members,
            None => self.sharing.relay.members(self.state.cache.token.value, now)?,
        };
        let owner = members.owner(&report.machine, &report.zone)?;
        if owner == me || !self.shares(owner, now) {
            return None;
        }
        let owner = owner.clone();
        self.sharing.redirects.try_redirect(&report.machine, now).then_some(owner)
    }

    /// A controller that does not lead takes a report: it passes it on if the leader permits that, or answers as one
    /// that can't.
    pub(super) fn share_report(
        &mut self,
        ticket: u64,
        report: Heartbeat,
        now: Instant,
    ) -> Option<Response> {
        let newest = self.state.cache.token.value;
        if self.sharing.relay.members(newest, now).is_some() {
            if let Some(other) = self.other_owner(&report, now) {
                return Some(redirect(&other));
            }
            return self.hold_or_answer(ticket, report, now);
        }
        // The leader starts nothing on a worker that it does not hear: who can reach it goes there, as far as it has
        // sockets, and who comes back is kept alive here.
        if let Some(leader) = self.leader_apart(now)
            && self.sharing.redirects.try_redirect(&report.machine, now)
        {
            return Some(redirect(&leader));
        }
        if let Some(orders) = self.answer_for_leader(&report, now) {
            return Some(Response::with(200, wire::encode(&orders)));
        }
        // The leader has changed, or its last message was lost: its next comes within a second.
        if self.sharing.relay.may_resume(now) && self.scheduler.is_none() {
            return self.hold_or_answer(ticket, report, now);
        }
        Some(self.answer_without_leader(&report, now))
    }

    /// Holds a report to pass it on; one that is too large is answered as if it could not be passed on.
    fn hold_or_answer(&mut self, ticket: u64, report: Heartbeat, now: Instant) -> Option<Response> {
        let oversized = self.sharing.relay.accept(ticket, report, now);
        let OversizedHeartbeat(heartbeat) = oversized.err()?;
        Some(self.answer_without_leader(&heartbeat, now))
    }

    /// The leader to which reports were passed on, where it is cut off from this controller and not from the store.
    fn leader_apart(&self, now: Instant) -> Option<ControllerId> {
        let leader = &self.state.cache.leader.as_ref()?.value;
        let lapsed = self.sharing.relay.time_since_assignment(leader.token, now)?;
        let silence = match self.peers.get(&leader.controller) {
            Some(view) => now.saturating_duration_since(view.heard).min(lapsed),
            None => lapsed,
        };
        let lives = self.sharing.by_store.is_some_and(|(token, at)| {
            token == leader.token && now.saturating_duration_since(at) < LEADER_BY_STORE_FOR
        });
        let apart = silence >= if lives { RELAY_TERM } else { LEADER_APART_AFTER };
        let synced = self.state.synced_at;
        let fresh =
            synced.is_some_and(|at| now.saturating_duration_since(at) < STORE_UNAVAILABLE_AFTER);
        let alive = fresh && !self.state.is_unavailable(now);
        (apart && alive).then(|| leader.controller.clone())
    }

    pub(super) fn on_sharing(
        &mut self,
        from: ControllerId,
        token: FencingToken,
        members: Membership,
        now: Instant,
    ) {
        if token >= self.state.cache.token.value && self.scheduler.is_none() {
            self.sharing.relay.on_assignment(token, from, members, now);
        }
    }

    /// A batch of reports for this leader.
    pub(super) fn on_reports(
        &mut self,
        from: &ControllerId,
        (token, batch): (FencingToken, u64),
        reports: Vec<RelayedHeartbeat>,
        now: Instant,
    ) {
        if !self.may_act(now) {
            return;
        }
        let Some(scheduler) = self.scheduler.as_mut().filter(|found| found.token() == token) else {
            return;
        };
        match scheduler.on_relayed(from, reports, &self.state.cache, now) {
            Some(results) => {
                let message = PeerMessage::HeartbeatResults { token, batch, results };
                self.out.push(Effect::Mesh(from.clone(), message));
            }
            None => {
                tracing::info!(%from, "a worker has seen a higher token");
                self.step_down(now);
            }
        }
    }

    pub(super) fn on_heartbeat_results(
        &mut self,
        token: FencingToken,
        batch: u64,
        results: Vec<(u32, HeartbeatResult)>,
        now: Instant,
    ) {
        for reply in self.sharing.relay.on_results(token, batch, results, now) {
            self.reply(reply.ticket, Response::with(200, wire::encode(&reply.commands)));
        }
    }

    /// A leader has this controller send commands.
    pub(super) fn on_deliver(
        &mut self,
        from: &ControllerId,
        token: FencingToken,
        commands: Vec<Delivery>,
        now: Instant,
    ) {
        if token < self.state.cache.token.value || self.scheduler.is_some() && self.may_act(now) {
            return;
        }
        for delivery in commands {
            if !self.sharing.forwarded.begin(from, token, &delivery) {
                continue;
            }
            let (machine, address) = (delivery.machine.clone(), delivery.address);
            self.out.push(Effect::DirectCall(machine, address, delivery.into_direct_call(token)));
        }
    }

    pub(super) fn on_delivered(
        &mut self,
        token: FencingToken,
        results: Vec<(u64, DeliveryResult)>,
        now: Instant,
    ) {
        if self.scheduler.as_ref().is_none_or(|scheduler| scheduler.token() != token) {
            return;
        }
        for (number, result) in results {
            if let Some(call) = self.sharing.deliveries.on_result(number, result) {
                self.on_direct(&call.machine, call.commands.as_ref(), call.result, now);
            }
        }
    }

    /// The leader's calls: by the controller that takes the worker's reports, or straight to the worker.
    pub(super) fn send_calls(&mut self, now: Instant) {
        let Some(scheduler) = &mut self.scheduler else { return };
        let calls = scheduler.take_direct_calls();
        for OutgoingCall { machine, address, call } in calls {
            let relay = self.scheduler.as_ref().and_then(|found| found.relay_of(&machine, now));
            let relay = relay.filter(|_| self.sharing.deliveries.in_flight() < DELIVERIES_MOST);
            match relay.filter(|name| self.shares(name, now)).cloned() {
                Some(by) => self.sharing.deliveries.push(&by, machine, address, call, now),
                None => self.out.push(Effect::DirectCall(machine, address, call)),
            }
        }
        let Some(token) = self.scheduler.as_ref().map(|scheduler| scheduler.token()) else {
            return;
        };
        let me = self.settings.platform.host_name.clone();
        for frame in self.sharing.deliveries.take_frames() {
            let (from, commands) = (me.clone(), frame.deliveries);
            let message = PeerMessage::RelayedCommands { from, token, commands };
            self.out.push(Effect::Mesh(frame.to, message));
        }
    }

    /// Sends what is due and gives up what is overdue.
    pub(super) fn pump_sharing(&mut self, now: Instant) {
        let from = self.settings.platform.host_name.clone();
        for batch in self.sharing.relay.take_batches(self.state.cache.token.value, now) {
            let message = PeerMessage::RelayedHeartbeats {
                from: from.clone(),
                token: batch.token,
                batch: batch.number,
                heartbeats: batch.heartbeats,
            };
            self.out.push(Effect::Mesh(batch.leader, message));
        }
        for overdue in self.sharing.relay.take_overdue(now) {
            let response = if self.may_act(now) && self.scheduler.is_some() {
                self.on_report_as_leader(&overdue.heartbeat, now)
            } else {
                self.answer_without_leader(&overdue.heartbeat, now)
            };
            self.reply(overdue.ticket, response);
        }
        self.sharing.relay.evict_beyond(self.sockets.public * 2);
        for frame in self.sharing.forwarded.take_results(now) {
            let message =
                PeerMessage::CommandResults { token: frame.token, results: frame.results };
            self.out.push(Effect::Mesh(frame.to, message));
        }
        for call in self.sharing.deliveries.take_overdue(now) {
            self.on_direct(&call.machine, call.commands.as_ref(), call.result, now);
        }
    }
}
