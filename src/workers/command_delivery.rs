//! Delivery of commands to workers by other controllers.
//!
//! The leader has the controller that takes a worker's heartbeats call the worker ([`PendingDeliveries`]); that
//! controller makes the call and sends the result back ([`ForwardedCalls`]). Such a call may be made late or not at
//! all, as one that goes straight to the worker over a bad network: the leader counts it as in flight until its result
//! comes, or for good.

mod forwarded;
mod pending;

pub use forwarded::{CommandResultFrame, ForwardedCalls};
pub use pending::{CompletedCall, DeliveryFrame, PendingDeliveries};

use crate::constants::RELAY_FRAME;
use crate::http::CallError;
use crate::ids::{FencingToken, MachineId};
use crate::peers::heartbeat_relay::{FullHeartbeat, RelayedCommand};
use crate::wire::{CommandBatch, Heartbeat, WorkerCommand};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a direct call to a worker.
pub const WORKER_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long results wait for others to go with them.
pub const DELIVERY_PAUSE: Duration = Duration::from_millis(8);
/// Added to the timeout of a call that another controller makes: the way there and back.
pub const DELIVERY_MARGIN: Duration = Duration::from_millis(1500);
/// Bytes. What a command without its orders takes in a frame at the most, or a result without a heartbeat.
const DELIVERY_BYTES: usize = 100;

/// A call from a controller to a worker.
#[derive(Debug)]
pub enum DirectCall {
    /// Asks for its heartbeat.
    Status,
    /// Gives it commands.
    Do(CommandBatch),
}

/// A call that another controller is to make. The wire form is postcard: the order of fields is part of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delivery {
    /// Number of the call, which its result repeats.
    pub number: u64,
    /// The worker's machine.
    pub machine: MachineId,
    /// The worker's address.
    pub address: SocketAddr,
    /// The agent epoch that the commands are for; without one the call only asks for a heartbeat.
    pub agent_epoch: Option<u64>,
    /// The commands.
    pub commands: Vec<RelayedCommand>,
}

impl Delivery {
    /// The call that its receiver makes for the leader with that token.
    pub fn into_direct_call(self, token: FencingToken) -> DirectCall {
        match self.agent_epoch {
            None => DirectCall::Status,
            Some(agent_epoch) => {
                let orders = self.commands.into_iter().map(WorkerCommand::from).collect();
                DirectCall::Do(CommandBatch {
                    token,
                    agent_epoch: Some(agent_epoch),
                    commands: orders,
                })
            }
        }
    }
}

/// What came of a call. The wire form is postcard: the order of variants is part of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DeliveryResult {
    /// The worker answered with its heartbeat.
    Heartbeat(FullHeartbeat),
    /// The call was surely not made.
    NotSent,
    /// The commands may have been carried out, or may yet be.
    Unknown,
}

impl From<Result<Heartbeat, CallError>> for DeliveryResult {
    fn from(result: Result<Heartbeat, CallError>) -> DeliveryResult {
        match result {
            Ok(heartbeat) => DeliveryResult::Heartbeat(heartbeat.into()),
            Err(CallError::NotSent) => DeliveryResult::NotSent,
            Err(CallError::Unknown) => DeliveryResult::Unknown,
        }
    }
}

impl From<DeliveryResult> for Result<Heartbeat, CallError> {
    fn from(result: DeliveryResult) -> Result<Heartbeat, CallError> {
        match result {
            DeliveryResult::Heartbeat(heartbeat) => Ok(heartbeat.into()),
            DeliveryResult::NotSent => Err(CallError::NotSent),
            DeliveryResult::Unknown => Err(CallError::Unknown),
        }
    }
}

/// Divides a list into parts that fit a frame each.
fn split_into_frames<T>(list: Vec<T>, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut frames: Vec<Vec<T>> = Vec::new();
    let mut free = 0;
    for item in list {
        let bytes = size(&item);
        if bytes > free || frames.is_empty() {
            frames.push(Vec::new());
            free = RELAY_FRAME;
        }
        free = free.saturating_sub(bytes);
        if let Some(frame) = frames.last_mut() {
            frame.push(item);
        }
    }
    frames
}

#[cfg(test)]
mod tests;
