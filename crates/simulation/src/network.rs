//! Delivery of the controllers' messages through simulated partitions.

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
    /// Returns whether a controller is partitioned from a zone.
    pub fn is_partitioned(&self, controller: usize, zone: usize) -> bool {
        let zones = self.zones_partitioned || self.isolated_zone;
        self.partitioned_controllers[controller]
            || (zones && Self::controller_zone(controller) != zone)
    }

    /// Returns whether a controller is in the isolated zone, and so cut off from the store, the cloud and users.
    pub fn is_isolated(&self, controller: usize) -> bool {
        self.isolated_zone && Self::controller_zone(controller) == 1
    }

    /// Returns whether a controller and the workers of a zone cannot reach each other.
    pub fn is_cut_off(&self, controller: usize, zone: usize) -> bool {
        let without_workers = self.cut_off_from_workers == Some(controller)
            || (self.cut_off_from_zone_b == Some(controller) && zone == 1);
        self.is_partitioned(controller, zone) || without_workers
    }

    /// Registers a request to a controller and returns its ticket.
    pub fn ticket(&mut self, controller: usize, ticket: Ticket) -> u64 {
        self.next_ticket += 1;
        self.tickets[controller].insert(self.next_ticket, ticket);
        self.next_ticket
    }

    /// Lets a controller handle an event and applies its effects, unless it has stalled before them.
    pub fn deliver(&mut self, controller: usize, event: Event) {
        let now = self.now();
        let Some(running) = &mut self.controllers[controller] else { return };
        running.handle(event, now);
        let effects = std::mem::take(&mut running.effects);
        let leads = running.scheduler.is_some();
        if leads && !self.targeted_faults.last_leaders.contains(&controller) {
            self.on_leader_change();
        }
        self.targeted_faults.last_leaders.retain(|other| *other != controller);
        self.targeted_faults.last_leaders.extend(leads.then_some(controller));
        match self.unsent_effects.iter_mut().find(|(other, _)| *other == controller) {
            Some((_, unsent_effects)) => unsent_effects.extend(effects),
            None => self.apply_effects(controller, effects),
        }
    }

    /// Sends the controller's messages and responses.
    pub fn apply_effects(&mut self, controller: usize, effects: Vec<Effect>) {
        let incarnation = self.incarnation[controller];
        for effect in effects {
            self.digest.effect(self.now_ms, controller, &effect);
            match effect {
                Effect::Respond { ticket, response } => match self.tickets[controller]
                    .remove(&ticket)
                {
                    Some(Ticket::Heartbeat(machine, id))
                        if !self.is_cut_off(controller, self.workers[&machine].zone) =>
                    {
                        if response.status == 200 {
                            self.last_answered_ms[controller] = self.now_ms;
                        }
                        if self.zone_without_responses != Some(self.workers[&machine].zone) {
                            self.schedule_soon(SimEvent::HeartbeatResponse(machine, id, response));
                        }
                    }
                    Some(Ticket::ExtraRequest(extra))
                        if !self.partitioned_controllers[controller]
                            && !self.is_isolated(controller) =>
                    {
                        self.schedule_soon(SimEvent::ExtraResponse(extra, response));
                    }
                    Some(Ticket::User(job, sent_ms))
                        if !self.partitioned_controllers[controller]
                            && !self.is_isolated(controller) =>
                    {
                        self.crash_after_cancellation(controller, job, &response);
                        self.schedule_soon(SimEvent::UserResponse(job, sent_ms, response));
                    }
                    _ => {}
                },
                Effect::CallStore { id, request: call } => {
                    self.schedule_soon(SimEvent::Store(controller, incarnation, id, call))
                }
                Effect::CallCloud { id, request: call } => {
                    self.schedule_soon(SimEvent::Cloud(controller, incarnation, id, call))
                }
                Effect::CallWorker { machine, call: direct_call, .. } => {
                    self.schedule_soon(SimEvent::DirectCall(
                        controller,
                        incarnation,
                        machine,
                        direct_call,
                    ));
                }
                Effect::SendToPeer { to: peer, message } => {
                    self.send_to_peer(controller, &peer, message)
                }
            }
        }
    }

    /// Crashes a controller right after it confirmed a cancellation, if the test requests it.
    fn crash_after_cancellation(&mut self, controller: usize, job: u64, response: &Response) {
        let Some(restart_after_ms) = self.restarts_after_cancellation else { return };
        let cancels = self.jobs[&job].pending_request.is_some_and(|(_, kind)| kind == 2);
        if cancels && response.status == 200 && self.rejected_by_store != Some(controller) {
            self.schedule(
                self.now_ms,
                SimEvent::Fault(Fault::CrashAndRestart(controller, restart_after_ms)),
            );
        }
    }

    /// Sends a message to a peer. Panics if the peer runs the previous version and cannot read it.
    pub fn send_to_peer(&mut self, from: usize, to: &ControllerId, message: PeerMessage) {
        let to: usize = to.as_str()[2..].parse().unwrap();
        let text = troutspindle::peers::mesh::encode_text(&message).unwrap();
        assert!(
            !self.runs_previous_version[to] || previous_version::can_read(&text),
            "production cannot read {message:?}"
        );
        let copy = self.count_relayed(&message);
        let delivery = SimEvent::Controller(to, self.incarnation[to], Event::PeerMessage(message));
        let isolated = [Some(from), Some(to)].contains(&self.isolated_controller);
        if self.peer_connections_rejected
            || isolated
            || self.drops_outgoing == Some(from)
            || self.drops_incoming == Some(to)
        {
            return;
        }
        if self.is_partitioned(from, Self::controller_zone(to)) || self.partitioned_controllers[to]
        {
            // The network delivers the message when the partition ends.
            self.blocked_messages.push(delivery);
        } else {
            if let Some(copy) = copy {
                let later = self.now_ms + self.random.random_range(500..9000);
                let event = Event::PeerMessage(copy);
                self.schedule(later, SimEvent::Controller(to, self.incarnation[to], event));
            }
            self.schedule_soon(delivery);
        }
    }

    /// Counts messages of heartbeat sharding, and returns a copy of some of them.
    fn count_relayed(&mut self, message: &PeerMessage) -> Option<PeerMessage> {
        let effect = match message {
            PeerMessage::RelayedHeartbeats { .. } => "heartbeats relayed",
            PeerMessage::HeartbeatResults { .. } => "heartbeat results returned",
            PeerMessage::RelayedCommands { .. } => "commands relayed",
            PeerMessage::CommandResults { .. } => "command results returned",
            _ => return None,
        };
        self.targeted_faults.record_effect(effect);
        let copied = self.duplicated_batches && self.random.random_range(0..4) == 0;
        copied.then(|| message.clone())
    }
}
