//! Delivery of commands to workers by other controllers.
//!
//! The leader asks the controller that receives a worker's heartbeats to call the worker ([`PendingDeliveries`]); that
//! controller makes the call and returns the result ([`ForwardedCalls`]). Like a direct call over an unreliable
//! network, such a call may be made late or not at all: the leader counts it as in flight until its result arrives, and
//! for good if none does.

mod forwarded;
mod pending;

pub use forwarded::{CommandResultFrame, ForwardedCalls};
pub use pending::{CompletedCall, DeliveryFrame, PendingDeliveries};

use crate::constants::MAX_RELAY_BATCH_BYTES;
use crate::http::CallError;
use crate::ids::{FencingToken, MachineId};
use crate::peers::heartbeat_relay::{FullHeartbeat, RelayedCommand};
use crate::wire::{CommandBatch, Heartbeat};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a direct call to a worker.
pub const WORKER_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time for which results are collected before they are sent together.
pub const DELIVERY_PAUSE: Duration = Duration::from_millis(8);
/// Added to the timeout of a call that another controller makes, for the transfer of the request and the result.
pub const DELIVERY_MARGIN: Duration = Duration::from_millis(1500);
/// Maximum size in bytes, within a frame, of a delivery without its commands or of a result without a heartbeat.
const DELIVERY_OVERHEAD_BYTES: usize = 100;

/// Direct call from a controller to a worker.
#[derive(Debug)]
pub enum DirectCall {
    /// Requests the worker's heartbeat.
    Status,
    /// Sends commands; the worker answers with its heartbeat.
    Do(CommandBatch),
}

/// Request for a call by another controller. Encoded as postcard: the order of fields is part of the format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delivery {
    /// Number of the call, repeated in its result.
    pub number: u64,
    /// Machine of the worker.
    pub machine: MachineId,
    /// Address at which the worker accepts direct calls.
    pub address: SocketAddr,
    /// Agent epoch that the commands are for; `None` if the call only requests a heartbeat.
    pub agent_epoch: Option<u64>,
    /// Commands to send; empty if the call only requests a heartbeat.
    pub commands: Vec<RelayedCommand>,
}

impl Delivery {
    /// Returns the fencing token of its commands, given that of the leader; `None` if it has no commands.
    pub fn token(&self, leader: FencingToken) -> Option<FencingToken> {
        self.agent_epoch.map(|_| RelayedCommand::token_of(&self.commands).unwrap_or(leader))
    }

    /// Returns the call that the receiving controller makes for the leader with this fencing token.
    pub fn into_direct_call(self, token: FencingToken) -> DirectCall {
        match self.agent_epoch {
            None => DirectCall::Status,
            Some(_) => {
                let batch = RelayedCommand::into_batch(self.commands, token, self.agent_epoch);
                DirectCall::Do(batch)
            }
        }
    }
}

/// Result of a forwarded call. Encoded as postcard: the order of variants is part of the format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DeliveryResult {
    /// The worker answered with its heartbeat.
    Heartbeat(FullHeartbeat),
    /// The call was certainly not made.
    NotSent,
    /// The commands may have been executed, or may still be executed.
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

/// Divides a list into parts that fit into one frame each, given the size of an item in bytes.
fn split_into_frames<T>(list: Vec<T>, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut frames: Vec<Vec<T>> = Vec::new();
    let mut free_bytes = 0;
    for item in list {
        let bytes = size(&item);
        if bytes > free_bytes || frames.is_empty() {
            frames.push(Vec::new());
            free_bytes = MAX_RELAY_BATCH_BYTES;
        }
        free_bytes = free_bytes.saturating_sub(bytes);
        if let Some(frame) = frames.last_mut() {
            frame.push(item);
        }
    }
    frames
}

#[cfg(test)]
mod tests;
