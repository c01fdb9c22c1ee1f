//! The receiving controller's side: calls that it makes on behalf of a leader.

use super::{DELIVERY_OVERHEAD_BYTES, DELIVERY_PAUSE, Delivery, DeliveryResult, split_into_frames};
use crate::http::CallError;
use crate::ids::{ControllerId, FencingToken, MachineId};
use crate::wire::{CommandBatch, Heartbeat};
use foldhash::HashMap;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Maximum size in bytes that is assumed for a result when results are divided into frames.
const MAX_RESULT_BYTES: usize = 16 * 1024;

/// Results for a leader that fit into one frame.
#[derive(Debug)]
pub struct CommandResultFrame {
    /// Leader that requested the calls.
    pub to: ControllerId,
    /// Fencing token of that leader.
    pub token: FencingToken,
    /// Results, each with the number of its call.
    pub results: Vec<(u64, DeliveryResult)>,
}

/// Leader that requested a call, and the number of the call.
#[derive(Debug, Clone)]
struct Requester {
    controller: ControllerId,
    token: FencingToken,
    number: u64,
}

/// Identifies a call in flight. A request for a heartbeat has the fencing token 0.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CallKey {
    machine: MachineId,
    token: FencingToken,
}

impl CallKey {
    fn new(machine: &MachineId, token: Option<FencingToken>) -> CallKey {
        CallKey { machine: machine.clone(), token: token.unwrap_or_default() }
    }
}

/// Calls that this controller makes on behalf of leaders.
#[derive(Debug, Default)]
pub struct ForwardedCalls {
    /// Calls in flight. Each leader has at most one call to a machine.
    in_flight: HashMap<CallKey, Requester>,
    /// Highest fencing token of a leader that requested a call, and the highest number of a call under that token.
    newest_request: (FencingToken, u64),
    results: BTreeMap<(ControllerId, FencingToken), Vec<(u64, DeliveryResult)>>,
    /// Time at which `results` are due to be sent.
    results_due: Option<Instant>,
}

impl ForwardedCalls {
    /// Creates an empty table.
    pub fn new() -> ForwardedCalls {
        ForwardedCalls::default()
    }

    /// Registers a leader's request for a call. Returns false if the request is not newer than the newest one, since it
    /// may have been served already: repeating the start of an attempt that has been forgotten since would run the
    /// attempt again. So *a controller makes each call at most once*, and skips a request that arrives after a later
    /// one; the leader counts the result of a skipped call as unknown.
    pub fn begin(&mut self, from: &ControllerId, token: FencingToken, delivery: &Delivery) -> bool {
        if (token, delivery.number) <= self.newest_request {
            return false;
        }
        self.newest_request = (token, delivery.number);
        let requester = Requester { controller: from.clone(), token, number: delivery.number };
        self.in_flight.insert(CallKey::new(&delivery.machine, delivery.token(token)), requester);
        true
    }

    /// Records the result of a call by this controller. Returns false if no leader requested the call.
    pub fn end(
        &mut self,
        machine: &MachineId,
        commands: Option<&CommandBatch>,
        result: &Result<Heartbeat, CallError>,
        now: Instant,
    ) -> bool {
        let key = CallKey::new(machine, commands.map(|batch| batch.token));
        let Some(requester) = self.in_flight.remove(&key) else { return false };
        let result = DeliveryResult::from(result.clone());
        let leader = (requester.controller, requester.token);
        self.results.entry(leader).or_default().push((requester.number, result));
        self.results_due.get_or_insert(now + DELIVERY_PAUSE);
        true
    }

    /// Discards all calls, because this controller is now the leader and makes calls only for itself.
    pub fn clear(&mut self) {
        self.in_flight.clear();
        self.results.clear();
        self.results_due = None;
    }

    /// Returns the time at which results are due to be sent.
    pub fn next_due(&self) -> Option<Instant> {
        self.results_due
    }

    /// Returns the results if they are due.
    pub fn take_results(&mut self, now: Instant) -> Vec<CommandResultFrame> {
        if self.results_due.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.results_due = None;
        let size = |(_, result): &(u64, DeliveryResult)| match result {
            DeliveryResult::Heartbeat(heartbeat) => heartbeat.encoded_size().min(MAX_RESULT_BYTES),
            _ => DELIVERY_OVERHEAD_BYTES,
        };
        let mut frames = Vec::new();
        for ((to, token), results) in std::mem::take(&mut self.results) {
            for results in split_into_frames(results, size) {
                frames.push(CommandResultFrame { to: to.clone(), token, results });
            }
        }
        frames
    }
}
