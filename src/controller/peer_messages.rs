//! What controllers say to each other, over the mesh or by way of the state service.

use super::*;
use crate::leadership::delegation::DELEGATION_AFTER;
use crate::store::RelayedMessage;

/// Pause between messages that go by way of the store to a controller out of reach.
pub const RELAY_EVERY: Duration = Duration::from_secs(3);

impl Controller {
    /// A later leader than the store told of so far, which spoke for itself a moment ago.
    pub(super) fn later_leader(&self, now: Instant) -> Option<&ControllerId> {
        let (token, node) = self.leads.as_ref()?;
        let near = |view: &PeerView| now.saturating_duration_since(view.heard) < DELEGATION_AFTER;
        (*token > self.state.cache.token.value && self.peers.get(node).is_some_and(near))
            .then_some(node)
    }

    /// Users of another controller ask to cancel these jobs. Nobody has any use for them from here on
    /// (PROTOCOL), so the promise costs nothing even if the cancellation never comes.
    pub(super) fn on_cancelling(
        &mut self,
        (from, seq): (ControllerId, u64),
        jobs: Vec<JobId>,
        direct: bool,
        now: Instant,
    ) {
        self.api.given.promise(&jobs);
        let acts = self.may_act(now);
        let placed = self.scheduler.as_ref().filter(|_| acts).map(|scheduler| {
            let zones = jobs.iter().map(|id| scheduler.zones_of(id, &self.state.cache)).collect();
            (scheduler.leader_revision(), zones)
        });
        let me = self.settings.platform.host_name.clone();
        let under = self.heartbeat.revision();
        self.send(
            &from,
            PeerMessage::CancellationAck { from: me, seq, under, jobs, placed },
            direct,
        );
    }

    pub(super) fn send(&mut self, to: &ControllerId, message: PeerMessage, direct: bool) {
        if direct {
            self.out.push(Effect::Mesh(to.clone(), message));
        } else {
            self.relay(to, &message);
        }
    }

    /// Asks other controllers for promises, over the mesh or, where that is cut, by way of the store.
    pub(super) fn ask_promises(&mut self, now: Instant) {
        let mut by_peer: BTreeMap<ControllerId, Vec<JobId>> = BTreeMap::new();
        let mut jobs: BTreeSet<JobId> = BTreeSet::new();
        for (peer, job) in std::mem::take(&mut self.api.asks) {
            jobs.insert(job.clone());
            by_peer.entry(peer).or_default().push(job);
        }
        if self.may_act(now)
            && let Some(scheduler) = &self.scheduler
        {
            // The leader need not ask itself where their tasks are.
            self.mesh_seq += 1;
            self.api.promises.ask(self.mesh_seq, now);
            for id in &jobs {
                let zones = scheduler.zones_of(id, &self.state.cache);
                self.api.promises.placed(scheduler.leader_revision(), self.mesh_seq, id, zones);
            }
            self.look_at_promises(now);
        }
        for (peer, jobs) in by_peer {
            if !self.state.cache.controller_leases.contains_key(&peer) {
                // Nothing reaches it that it would understand for sure.
                continue;
            }
            let heard = self.peers.get(&peer).map(|view| view.heard);
            let near = heard.is_some_and(|at| now.saturating_duration_since(at) < DELEGATION_AFTER);
            let from = self.settings.platform.host_name.clone();
            self.mesh_seq += 1;
            let seq = self.mesh_seq;
            self.api.promises.ask(seq, now);
            self.send(&peer, PeerMessage::CancellationRequest { from, seq, jobs }, near);
        }
    }

    /// A message of another controller, straight from it (`direct`) or by way of the store.
    pub(super) fn on_mesh(&mut self, message: PeerMessage, direct: bool, now: Instant) {
        match message {
            PeerMessage::PeerStatus {
                from,
                seq,
                leading,
                state_lost,
                ack,
                up_ms,
                answered_for_leader,
                worker_ms,
                extra,
            } => {
                let heard = worker_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
                self.worker_elsewhere = self.worker_elsewhere.max(heard);
                if direct {
                    self.peers.insert(
                        from.clone(),
                        PeerView {
                            heard: now,
                            state_lost,
                            up: Duration::from_millis(up_ms),
                            extra,
                        },
                    );
                }
                if let Some(token) = leading
                    && self.leads.as_ref().is_none_or(|(newest, _)| *newest < token)
                {
                    self.leads = Some((token, from.clone()));
                }
                if self.may_act(now)
                    && let Some(scheduler) = &mut self.scheduler
                {
                    let up = Duration::from_millis(up_ms);
                    scheduler.delegations.on_peer_status(
                        &from,
                        ack,
                        up,
                        &answered_for_leader,
                        direct,
                        now,
                    );
                    if let Some(grant) = scheduler.grant(&from, seq, now) {
                        if direct {
                            self.out.push(Effect::Mesh(from.clone(), grant));
                        } else {
                            self.relay(&from, &grant);
                        }
                    }
                }
                if let Some(token) = leading
                    && direct
                    && self.pledge(token, &from, now)
                {
                    let cancelled = self.api.cancelled.iter().map(|(id, _)| id.clone());
                    let pledge = PeerMessage::LeaseExtension {
                        from: self.settings.platform.host_name.clone(),
                        seq,
                        token,
                        cancelled: cancelled.take(1000).collect(),
                    };
                    self.out.push(Effect::Mesh(from, pledge));
                }
            }
            PeerMessage::LeaseExtension { from, seq, token, cancelled } => {
                let asked = self.asked.iter().find(|(s, _)| *s == seq).map(|(_, at)| *at);
                let ours = self.election.token() == Some(token);
                if let (Some(asked), true) = (asked, ours) {
                    self.api.given.promise(&cancelled);
                    self.election.pledged_by(&from, asked);
                }
            }
            PeerMessage::LeaseGrant { seq, token, number, revoked, delegated } => {
                if !direct {
                    self.sharing.heard_by_store(token, now);
                }
                let asked = self.asked.iter().find(|(s, _)| *s == seq).map(|(_, at)| *at);
                if let Some(asked) = asked {
                    let lists = (revoked, delegated);
                    self.delegated_lease.take((token, number), lists, direct, asked, now);
                }
            }
            PeerMessage::CancellationRequest { from, seq, jobs } => {
                self.on_cancelling((from, seq), jobs, direct, now);
            }
            PeerMessage::CancellationAck { from, seq, under, jobs, placed } => {
                self.api.promises.promised(&from, seq, under, &jobs);
                if let Some((leader, zones)) = placed {
                    for (id, zones) in jobs.iter().zip(zones) {
                        self.api.promises.placed(leader, seq, id, zones);
                    }
                }
                self.look_at_promises(now);
            }
            PeerMessage::ShardAssignment { from, token, members } => {
                self.on_sharing(from, token, members, now);
            }
            PeerMessage::RelayedHeartbeats { from, token, batch, heartbeats } => {
                self.on_reports(&from, (token, batch), heartbeats, now);
            }
            PeerMessage::HeartbeatResults { token, batch, results } => {
                self.on_heartbeat_results(token, batch, results, now);
            }
            PeerMessage::RelayedCommands { from, token, commands } => {
                self.on_deliver(&from, token, commands, now);
            }
            PeerMessage::CommandResults { token, results } => {
                self.on_delivered(token, results, now)
            }
            PeerMessage::RunningTasks { token, counts } => {
                if token >= self.state.cache.token.value && self.scheduler.is_none() {
                    self.api.running = counts.into_iter().collect();
                }
            }
        }
    }

    /// Whether we promise a leader that asks not to campaign. All controllers read heartbeats by then, or it
    /// is not asked for its own.
    pub(super) fn pledge(&mut self, token: FencingToken, to: &ControllerId, now: Instant) -> bool {
        let cache = &self.state.cache;
        let shown = self.state.layout().format < FORMAT_HEARTBEAT
            || cache.controller_leases.contains_key(to);
        self.election.pledge(token, cache, shown, now)
    }

    pub(super) fn look_at_promises(&mut self, now: Instant) {
        for Answer { ticket, response } in self.api.on_promised(&mut self.state, now) {
            self.reply(ticket, response);
        }
    }

    /// A follower that does not hear its leader asks for a grant by way of the store.
    pub(super) fn relay_status(&mut self, beat: &PeerMessage, now: Instant) {
        let Some(leader) = &self.state.cache.leader else { return };
        let leader = leader.value.controller.clone();
        let heard = self.peers.get(&leader).map_or(self.started, |peer| peer.heard);
        if leader == self.settings.platform.host_name
            || now < self.relay_at
            || now.saturating_duration_since(heard) < DELEGATION_AFTER
            || self.state.is_unavailable(now)
        {
            return;
        }
        self.relay_at = now + RELAY_EVERY;
        self.relay(&leader, beat);
    }

    pub(super) fn relay(&mut self, to: &ControllerId, message: &PeerMessage) {
        let Ok(text) = mesh::encode_text(message) else { return };
        let layout = self.state.layout();
        let key = format!("{RELAY_PREFIX}{}/{to}", self.settings.platform.host_name);
        let busy = |state: &StoreClient, n| state.is_pending(&WriteOrigin::Relay(to.clone(), n));
        let mut values = vec![(key.clone(), text)];
        if !layout.fits(&values[0].1) {
            if !layout.is_second() || busy(&self.state, 1) {
                // Production knows whole messages only.
                return;
            }
            // A number of its own: pieces of two grants under one would be put together, and a bar
            // be acknowledged that is not in the list.
            self.mesh_seq += 1;
            let pieces = mesh::split_into_chunks(&values[0].1, self.mesh_seq, layout.value_max);
            values = (0..).map(|n| format!("{key}/{n}")).zip(pieces).collect();
        } else if busy(&self.state, 0) {
            return;
        }
        let whole = values.len() == 1;
        for (n, some) in values.chunks(layout.max_operations).enumerate() {
            let rev = |key: &String| self.state.cache.relays.get(key).copied().unwrap_or_default();
            let guard =
                |(key, _): &(String, String)| Precondition { key: key.clone(), rev: rev(key) };
            let preconditions = some.iter().map(guard).collect();
            let write = |(key, text): &(String, String)| Write::Put {
                key: key.clone(),
                data: StoreValue::Text(text.clone()),
                lease: None,
            };
            let transaction =
                Transaction { preconditions, writes: some.iter().map(write).collect() };
            let origin = WriteOrigin::Relay(to.clone(), if whole { 0 } else { n + 1 });
            self.state.enqueue(PendingWrite {
                priority: WritePriority::Blocking,
                origin,
                transaction,
            });
        }
    }

    /// Takes messages in that came by way of the store.
    pub(super) fn take_relayed(&mut self, now: Instant) {
        let me = self.settings.platform.host_name.clone();
        for RelayedMessage { route, text } in std::mem::take(&mut self.state.cache.relayed) {
            let Some((from, to)) = route.split_once('/') else { continue };
            let (to, piece) = to.split_once('/').map_or((to, None), |(to, n)| (to, Some(n)));
            if to != me.as_str() {
                continue;
            }
            let whole = match piece {
                Some(_) => self.pieces.entry(ControllerId::new(from)).or_default().push(&text),
                None => Some(text),
            };
            if let Some(message) = whole.and_then(|text| mesh::decode_text(&text).ok()) {
                self.on_mesh(message, false, now);
            }
        }
    }

    pub(super) fn broadcast(&mut self, message: &PeerMessage) {
        for peer in &self.settings.platform.others {
            self.out.push(Effect::Mesh(peer.host_name.clone(), message.clone()));
        }
    }
}
