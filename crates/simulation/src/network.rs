//! What controllers send, and whether it arrives.

use crate::event::{Due, Fault};
use crate::model::Ticket;
use crate::production;
use crate::world::World;
use rand::Rng;
use troutspindle::controller::{Effect, Event};
use troutspindle::http::Response;
use troutspindle::ids::ControllerId;
use troutspindle::peers::mesh::PeerMessage;

impl World {
    pub fn cut(&self, node: usize, zone: usize) -> bool {
        let zones = self.cut_zones || self.island;
        self.cut_node[node] || (zones && Self::node_zone(node) != zone)
    }

    /// Whether a node stands in a zone that is cut off from all that stands in none.
    pub fn on_island(&self, node: usize) -> bool {
        self.island && Self::node_zone(node) == 1
    }

    /// Whether a node and the workers of a zone cannot reach each other.
    pub fn apart(&self, node: usize, zone: usize) -> bool {
        let deaf = self.deaf == Some(node) || (self.cut_workers == Some(node) && zone == 1);
        self.cut(node, zone) || deaf
    }

    pub fn ticket(&mut self, node: usize, ticket: Ticket) -> u64 {
        self.next_ticket += 1;
        self.tickets[node].insert(self.next_ticket, ticket);
        self.next_ticket
    }

    pub fn tell(&mut self, node: usize, event: Event) {
        let now = self.now();
        let Some(core) = &mut self.nodes[node] else { return };
        core.handle(event, now);
        let effects = std::mem::take(&mut core.out);
        let leads = core.scheduler.is_some();
        if leads && !self.aims.led.contains(&node) {
            self.leader_begins();
        }
        self.aims.led.retain(|other| *other != node);
        self.aims.led.extend(leads.then_some(node));
        match self.unsent.iter_mut().find(|(other, _)| *other == node) {
            Some((_, unsent)) => unsent.extend(effects),
            None => self.carry_out(node, effects),
        }
    }

    pub fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        let incarnation = self.incarnation[node];
        for effect in effects {
            self.digest.effect(self.t, node, &effect);
            match effect {
                Effect::Reply(ticket, response) => match self.tickets[node].remove(&ticket) {
                    Some(Ticket::Hello(machine, id))
                        if !self.apart(node, self.workers[&machine].zone) =>
                    {
                        if response.status == 200 {
                            self.answered[node] = self.t;
                        }
                        if self.deaf_zone != Some(self.workers[&machine].zone) {
                            self.soon(Due::HelloAnswer(machine, id, response));
                        }
                    }
                    Some(Ticket::Look(asked)) if !self.cut_node[node] && !self.on_island(node) => {
                        self.soon(Due::LookAnswer(asked, response));
                    }
                    Some(Ticket::User(job, asked))
                        if !self.cut_node[node] && !self.on_island(node) =>
                    {
                        self.forget(node, job, &response);
                        self.soon(Due::UserAnswer(job, asked, response));
                    }
                    _ => {}
                },
                Effect::State(id, call) => self.soon(Due::State(node, incarnation, id, call)),
                Effect::Cloud(id, call) => self.soon(Due::Cloud(node, incarnation, id, call)),
                Effect::DirectCall(machine, _, direct) => {
                    self.soon(Due::DirectCall(node, incarnation, machine, direct));
                }
                Effect::Mesh(peer, message) => self.mesh(node, &peer, message),
            }
        }
    }

    /// A node that confirms a cancellation may end right afterwards, with all that it remembers.
    fn forget(&mut self, node: usize, job: u64, response: &Response) {
        let Some(back) = self.forgets else { return };
        let aborts = self.jobs[&job].asked.is_some_and(|(_, kind)| kind == 2);
        if aborts && response.status == 200 && self.refused != Some(node) {
            self.at(self.t, Due::Fault(Fault::Blink(node, back)));
        }
    }

    pub fn mesh(&mut self, from: usize, to: &ControllerId, message: PeerMessage) {
        let to: usize = to.as_str()[2..].parse().unwrap();
        let text = troutspindle::peers::mesh::encode_text(&message).unwrap();
        assert!(!self.old[to] || production::reads(&text), "production cannot read {message:?}");
        let copy = self.about_sharing(&message);
        let due = Due::Controller(to, self.incarnation[to], Event::Mesh(message));
        let alone = [Some(from), Some(to)].contains(&self.alone);
        if self.no_mesh || alone || self.mute == Some(from) || self.unhearing == Some(to) {
            return;
        }
        if self.cut(from, Self::node_zone(to)) || self.cut_node[to] {
            // Held back by the network, and delivered when the cut ends.
            self.held.push(due);
        } else {
            if let Some(copy) = copy {
                let later = self.t + self.random.random_range(500..9000);
                let event = Event::Mesh(copy);
                self.at(later, Due::Controller(to, self.incarnation[to], event));
            }
            self.soon(due);
        }
    }

    /// Counts messages about shared reports, and copies some of them.
    fn about_sharing(&mut self, message: &PeerMessage) -> Option<PeerMessage> {
        let what = match message {
            PeerMessage::RelayedHeartbeats { .. } => "reports passed on",
            PeerMessage::HeartbeatResults { .. } => "verdicts passed back",
            PeerMessage::RelayedCommands { .. } => "commands passed on",
            PeerMessage::CommandResults { .. } => "results passed back",
            _ => return None,
        };
        self.aims.took_effect(what);
        let copied = self.copied_batches && self.random.random_range(0..4) == 0;
        copied.then(|| message.clone())
    }
}
