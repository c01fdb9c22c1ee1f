//! The leader's side: calls that other controllers make for it.

use super::{
    DELIVERY_BYTES, DELIVERY_MARGIN, Delivery, DeliveryResult, DirectCall, WORKER_TIMEOUT,
    split_into_frames,
};
use crate::http::CallError;
use crate::ids::{ControllerId, MachineId};
use crate::peers::heartbeat_relay::RelayedCommand;
use crate::wire::{CommandBatch, Heartbeat};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Bytes. What a command takes in a frame at the most.
const COMMAND_BYTES: usize = 60;

/// A call without a result.
#[derive(Debug)]
struct PendingCall {
    machine: MachineId,
    commands: Option<CommandBatch>,
    deadline: Instant,
}

/// A call that is over.
#[derive(Debug)]
pub struct CompletedCall {
    /// The worker's machine.
    pub machine: MachineId,
    /// What it was told; none if it was only asked for a heartbeat.
    pub commands: Option<CommandBatch>,
    /// The worker's heartbeat.
    pub result: Result<Heartbeat, CallError>,
}

/// Deliveries for one controller, which fit a frame.
#[derive(Debug)]
pub struct DeliveryFrame {
    /// The controller that makes the calls.
    pub to: ControllerId,
    /// The calls.
    pub deliveries: Vec<Delivery>,
}

/// A leader's calls that other controllers make.
#[derive(Debug)]
pub struct PendingDeliveries {
    last_number: u64,
    calls: BTreeMap<u64, PendingCall>,
    unsent: BTreeMap<ControllerId, Vec<Delivery>>,
}

impl PendingDeliveries {
    /// No calls. They are numbered from `first_number` on: random, so that results for an earlier incarnation of this
    /// process match none.
    pub fn new(first_number: u64) -> PendingDeliveries {
        PendingDeliveries {
            last_number: first_number,
            calls: BTreeMap::new(),
            unsent: BTreeMap::new(),
        }
    }

    /// A new leadership begins: no call is in flight for it.
    pub fn clear(&mut self) {
        self.calls.clear();
        self.unsent.clear();
    }

    /// How many calls are in flight.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Has the controller `by` make a call to the machine at that address.
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
        let commands = batch.iter().flat_map(|batch| batch.commands.iter().cloned());
        let commands = commands.map(RelayedCommand::from).collect();
        let delivery =
            Delivery { number, machine: machine.clone(), address, agent_epoch, commands };
        self.unsent.entry(by.clone()).or_default().push(delivery);
        let deadline = now + WORKER_TIMEOUT + DELIVERY_MARGIN;
        self.calls.insert(number, PendingCall { machine, commands: batch, deadline });
    }

    /// What is to be sent.
    pub fn take_frames(&mut self) -> Vec<DeliveryFrame> {
        let size = |delivery: &Delivery| DELIVERY_BYTES + delivery.commands.len() * COMMAND_BYTES;
        let mut frames = Vec::new();
        for (to, unsent) in std::mem::take(&mut self.unsent) {
            for deliveries in split_into_frames(unsent, size) {
                frames.push(DeliveryFrame { to: to.clone(), deliveries });
            }
        }
        frames
    }

    /// A result came; `None` if nobody waits for it any more.
    pub fn on_result(&mut self, number: u64, result: DeliveryResult) -> Option<CompletedCall> {
        let PendingCall { machine, commands, .. } = self.calls.remove(&number)?;
        Some(CompletedCall { machine, commands, result: result.into() })
    }

    /// Calls whose time is up: their commands may have been carried out, or may yet be.
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

    /// When the first call is overdue.
    pub fn next_due(&self) -> Option<Instant> {
        self.calls.values().next().map(|call| call.deadline)
    }
}
