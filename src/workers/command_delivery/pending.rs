//! The leader's side: calls that other controllers make on its behalf.

use super::{
    DELIVERY_MARGIN, DELIVERY_OVERHEAD_BYTES, Delivery, DeliveryResult, DirectCall, WORKER_TIMEOUT,
    split_into_frames,
};
use crate::http::CallError;
use crate::ids::{ControllerId, FencingToken, MachineId};
use crate::peers::heartbeat_relay::RelayedCommand;
use crate::wire::{CommandBatch, Heartbeat};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Maximum size in bytes of a command in a frame.
const MAX_COMMAND_BYTES: usize = 60;

/// A call whose result is outstanding.
#[derive(Debug)]
struct PendingCall {
    machine: MachineId,
    commands: Option<CommandBatch>,
    deadline: Instant,
}

/// A call that has a result, or that passed its deadline without one.
#[derive(Debug)]
pub struct CompletedCall {
    /// Machine of the worker.
    pub machine: MachineId,
    /// Commands that were sent; `None` if the call only requested a heartbeat.
    pub commands: Option<CommandBatch>,
    /// Heartbeat that the worker answered with; the error says whether the call may have been made.
    pub result: Result<Heartbeat, CallError>,
}

/// Deliveries for one controller that fit into one frame.
#[derive(Debug)]
pub struct DeliveryFrame {
    /// Controller that is to make the calls.
    pub to: ControllerId,
    /// Calls to make, in ascending order of their numbers.
    pub deliveries: Vec<Delivery>,
}

/// The leader's calls that other controllers make: unsent ones, and those whose result is outstanding.
#[derive(Debug)]
pub struct PendingDeliveries {
    /// Fencing token of this leader, which the receiver uses for commands without a token of their own.
    token: FencingToken,
    last_number: u64,
    calls: BTreeMap<u64, PendingCall>,
    unsent: BTreeMap<ControllerId, Vec<Delivery>>,
}

impl PendingDeliveries {
    /// Creates an empty table. Calls are numbered upwards from `first_number`, which must be random, so that results
    /// for an earlier incarnation of this process match no call.
    pub fn new(first_number: u64) -> PendingDeliveries {
        PendingDeliveries {
            token: FencingToken::default(),
            last_number: first_number,
            calls: BTreeMap::new(),
            unsent: BTreeMap::new(),
        }
    }

    /// Begins a term as leader with this fencing token and no call in flight.
    pub fn begin_term(&mut self, token: FencingToken) {
        self.token = token;
        self.calls.clear();
        self.unsent.clear();
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Queues a call to the machine at `address`, to be made by the controller `by`.
    pub fn push(
        &mut self,
        by: &ControllerId,
        machine: MachineId,
        address: SocketAddr,
        call: DirectCall,
        now: Instant,
    ) {
        self.last_number += 1;
        let number = self.last_number;
        let batch = match call {
            DirectCall::Status => None,
            DirectCall::Do(batch) => Some(batch),
        };
        let agent_epoch = batch.as_ref().and_then(|batch| batch.agent_epoch);
        let commands = batch.clone().map(|batch| RelayedCommand::from_batch(batch, self.token));
        let commands = commands.unwrap_or_default();
        let delivery =
            Delivery { number, machine: machine.clone(), address, agent_epoch, commands };
        self.unsent.entry(by.clone()).or_default().push(delivery);
        let deadline = now + WORKER_TIMEOUT + DELIVERY_MARGIN;
        self.calls.insert(number, PendingCall { machine, commands: batch, deadline });
    }

    /// Returns the queued deliveries, to be sent now.
    pub fn take_frames(&mut self) -> Vec<DeliveryFrame> {
        let size = |delivery: &Delivery| {
            DELIVERY_OVERHEAD_BYTES + delivery.commands.len() * MAX_COMMAND_BYTES
        };
        let mut frames = Vec::new();
        for (to, unsent) in std::mem::take(&mut self.unsent) {
            for deliveries in split_into_frames(unsent, size) {
                frames.push(DeliveryFrame { to: to.clone(), deliveries });
            }
        }
        frames
    }

    /// Records a result and returns the completed call; `None` if the call is no longer outstanding.
    pub fn on_result(&mut self, number: u64, result: DeliveryResult) -> Option<CompletedCall> {
        let PendingCall { machine, commands, .. } = self.calls.remove(&number)?;
        Some(CompletedCall { machine, commands, result: result.into() })
    }

    /// Removes and returns calls past their deadline. Their commands may have been executed, or may still be executed.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<CompletedCall> {
        let overdue: Vec<u64> = self
            .calls
            .iter()
            .take_while(|(_, call)| call.deadline <= now)
            .map(|(number, _)| *number)
            .collect();
        let calls = overdue.into_iter();
        calls.filter_map(|number| self.on_result(number, DeliveryResult::Unknown)).collect()
    }

    /// Returns the time at which the first call becomes overdue.
    pub fn next_due(&self) -> Option<Instant> {
        self.calls.values().next().map(|call| call.deadline)
    }
}
