//! Direct calls to workers that peers make on behalf of the leader.

use super::{Controller, Effect};
use crate::ids::{ControllerId, FencingToken, MachineId};
use crate::peers::mesh::PeerMessage;
use crate::scheduler::direct_calls::OutgoingCall;
use crate::workers::command_delivery::{CommandResultFrame, Delivery, DeliveryResult, DirectCall};
use crate::workers::command_log::{CommandRoute, log_commands};
use tokio::time::Instant;

/// Maximum number of concurrent calls that peers make for a leader.
const RELAYED_CALLS_IN_FLIGHT_MAX: usize = 4000;

impl Controller {
    /// Sends the leader's calls to workers, either directly or through the peer that takes the worker's heartbeats.
    pub(super) fn send_worker_calls(&mut self, now: Instant) {
        let Some(scheduler) = &mut self.scheduler else { return };
        let token = scheduler.token();
        let calls = scheduler.take_direct_calls();
        for OutgoingCall { machine, address, call } in calls {
            let relay =
                self.scheduler.as_ref().and_then(|scheduler| scheduler.relay_of(&machine, now));
            let below_limit = self.sharding.deliveries.in_flight() < RELAYED_CALLS_IN_FLIGHT_MAX;
            let relay =
                relay.filter(|name| below_limit && self.can_take_heartbeats(name, now)).cloned();
            let route =
                if relay.is_some() { CommandRoute::Forwarded } else { CommandRoute::Direct };
            log_call(&machine, &call, route);
            match relay {
                Some(peer) => {
                    self.sharding.deliveries.push(&peer, machine, address, call, now);
                }
                None => self.effects.push(Effect::CallWorker { machine, address, call }),
            }
        }
        let own_name = self.name().clone();
        for frame in self.sharding.deliveries.take_frames() {
            let (from, commands) = (own_name.clone(), frame.deliveries);
            self.send_to_peer(frame.to, PeerMessage::RelayedCommands { from, token, commands });
        }
    }

    /// Calls workers on behalf of a leader.
    pub(super) fn on_relayed_commands(
        &mut self,
        from: &ControllerId,
        token: FencingToken,
        commands: Vec<Delivery>,
        now: Instant,
    ) {
        let is_leader = self.scheduler.is_some() && self.holds_leadership(now);
        if token < self.store.cache.token.value || is_leader {
            return;
        }
        for delivery in commands {
            if !self.sharding.forwarded.begin(from, token, &delivery) {
                continue;
            }
            let machine = delivery.machine.clone();
            let address = delivery.address;
            let call = delivery.into_direct_call(token);
            log_call(&machine, &call, CommandRoute::Forwarded);
            self.effects.push(Effect::CallWorker { machine, address, call });
        }
    }

    /// Handles the results of calls that a peer made for this leader, identified by their numbers.
    pub(super) fn on_command_results(
        &mut self,
        token: FencingToken,
        results: Vec<(u64, DeliveryResult)>,
        now: Instant,
    ) {
        if self.scheduler.as_ref().is_none_or(|scheduler| scheduler.token() != token) {
            return;
        }
        for (number, result) in results {
            if let Some(call) = self.sharding.deliveries.on_result(number, result) {
                self.on_worker_response(call, now);
            }
        }
    }

    /// Sends due call results to the leaders that requested them, and gives up this leader's overdue calls.
    pub(super) fn advance_relayed_commands(&mut self, now: Instant) {
        for CommandResultFrame { to, token, results } in self.sharding.forwarded.take_results(now) {
            self.send_to_peer(to, PeerMessage::CommandResults { token, results });
        }
        for call in self.sharding.deliveries.take_overdue(now) {
            self.on_worker_response(call, now);
        }
    }
}

fn log_call(machine: &MachineId, call: &DirectCall, route: CommandRoute) {
    if let DirectCall::Do(batch) = call {
        log_commands(machine, batch.agent_epoch.unwrap_or_default(), batch, route);
    }
}
