//! What controllers send, and whether it arrives.

use crate::event::{Fault, SimEvent};
use crate::model::Ticket;
use crate::previous_version;
use crate::world::World;
use rand::Rng;
use troutspindle::controller::{Effect, Event};
use troutspindle::http::Response;
use troutspindle::ids::ControllerId;
use troutspindle::peers::mesh::PeerMessage;

impl World {
    pub fn is_partitioned(&self, node: usize, zone: usize) -> bool {
        let zones = self.cut_zones || self.isolated_zone;
        self.cut_node[node] || (zones && Self::node_zone(node) != zone)
    }

    /// Whether a node stands in a zone that is cut off from all that stands in none.
    pub fn is_isolated(&self, node: usize) -> bool {
        self.isolated_zone && Self::node_zone(node) == 1
    }

    /// Whether a node and the workers of a zone cannot reach each other.
    pub fn is_cut_off(&self, node: usize, zone: usize) -> bool {
        let deaf = self.deaf == Some(node) || (self.cut_workers == Some(node) && zone == 1);
        self.is_partitioned(node, zone) || deaf
    }

    pub fn ticket(&mut self, node: usize, ticket: Ticket) -> u64 {
        self.next_ticket += 1;
        self.tickets[node].insert(self.next_ticket, ticket);
        self.next_ticket
    }

    pub fn deliver(&mut self, node: usize, event: Event) {
        let now = self.now();
        let Some(core) = &mut self.nodes[node] else { return };
        core.handle(event, now);
        let effects = std::mem::take(&mut core.effects);
        let leads = core.scheduler.is_some();
        if leads && !self.targeted_faults.led.contains(&node) {
            self.on_leader_change();
        }
        self.targeted_faults.led.retain(|other| *other != node);
        self.targeted_faults.led.extend(leads.then_some(node));
        match self.unsent_effects.iter_mut().find(|(other, _)| *other == node) {
            Some((_, unsent_effects)) => unsent_effects.extend(effects),
            None => self.carry_out(node, effects),
        }
    }

    pub fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        let incarnation = self.incarnation[node];
        for effect in effects {
            self.digest.effect(self.now_ms, node, &effect);
            match effect {
                Effect::Respond { ticket, response } => match self.tickets[node].remove(&ticket) {
                    Some(Ticket::Heartbeat(machine, id))
                        if !self.is_cut_off(node, self.workers[&machine].zone) =>
                    {
                        if response.status == 200 {
                            self.answered[node] = self.now_ms;
                        }
                        if self.deaf_zone != Some(self.workers[&machine].zone) {
                            self.schedule_soon(SimEvent::HeartbeatResponse(machine, id, response));
                        }
                    }
                    Some(Ticket::ExtraRequest(asked))
                        if !self.cut_node[node] && !self.is_isolated(node) =>
                    {
                        self.schedule_soon(SimEvent::ExtraResponse(asked, response));
                    }
                    Some(Ticket::User(job, asked))
                        if !self.cut_node[node] && !self.is_isolated(node) =>
                    {
                        self.forget(node, job, &response);
                        self.schedule_soon(SimEvent::UserResponse(job, asked, response));
                    }
                    _ => {}
                },
                Effect::CallStore { id, request: call } => {
                    self.schedule_soon(SimEvent::State(node, incarnation, id, call))
                }
                Effect::CallCloud { id, request: call } => {
                    self.schedule_soon(SimEvent::Cloud(node, incarnation, id, call))
                }
                Effect::CallWorker { machine, call: direct, .. } => {
                    self.schedule_soon(SimEvent::DirectCall(node, incarnation, machine, direct));
                }
                Effect::SendToPeer { to: peer, message } => self.mesh(node, &peer, message),
            }
        }
    }

    /// A node that confirms a cancellation may end right afterwards, with all that it remembers.
    fn forget(&mut self, node: usize, job: u64, response: &Response) {
        let Some(back) = self.restarts_after_cancellation else { return };
        let aborts = self.jobs[&job].asked.is_some_and(|(_, kind)| kind == 2);
        if aborts && response.status == 200 && self.refused != Some(node) {
            self.at(self.now_ms, SimEvent::Fault(Fault::CrashAndRestart(node, back)));
        }
    }

    pub fn mesh(&mut self, from: usize, to: &ControllerId, message: PeerMessage) {
        let to: usize = to.as_str()[2..].parse().unwrap();
        let text = troutspindle::peers::mesh::encode_text(&message).unwrap();
        assert!(
            !self.old[to] || previous_version::reads(&text),
            "production cannot read {message:?}"
        );
        let copy = self.count_relayed(&message);
        let due = SimEvent::Controller(to, self.incarnation[to], Event::PeerMessage(message));
        let isolated = [Some(from), Some(to)].contains(&self.isolated);
        if self.no_mesh
            || isolated
            || self.drops_outgoing == Some(from)
            || self.drops_incoming == Some(to)
        {
            return;
        }
        if self.is_partitioned(from, Self::node_zone(to)) || self.cut_node[to] {
            // Held back by the network, and delivered when the cut ends.
            self.held.push(due);
        } else {
            if let Some(copy) = copy {
                let later = self.now_ms + self.random.random_range(500..9000);
                let event = Event::PeerMessage(copy);
                self.at(later, SimEvent::Controller(to, self.incarnation[to], event));
            }
            self.schedule_soon(due);
        }
    }

    /// Counts messages about shared reports, and copies some of them.
    fn count_relayed(&mut self, message: &PeerMessage) -> Option<PeerMessage> {
        let what = match message {
            PeerMessage::RelayedHeartbeats { .. } => "reports passed on",
            PeerMessage::HeartbeatResults { .. } => "verdicts passed back",
            PeerMessage::RelayedCommands { .. } => "commands passed on",
            PeerMessage::CommandResults { .. } => "results passed back",
            _ => return None,
        };
        self.targeted_faults.record_effect(what);
        let copied = self.copied_batches && self.random.random_range(0..4) == 0;
        copied.then(|| message.clone())
    }
}
