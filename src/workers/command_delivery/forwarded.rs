//! The side of a controller that makes calls for a leader.

use super::{DELIVERY_BYTES, DELIVERY_PAUSE, Delivery, DeliveryResult, split_into_frames};
use crate::http::CallError;
use crate::ids::{ControllerId, FencingToken, MachineId};
use crate::wire::{CommandBatch, Heartbeat};
use foldhash::HashMap;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Bytes. What a result is taken to need in a frame at the most.
const RESULT_BYTES: usize = 16 * 1024;

/// Results for a leader, which fit a frame.
#[derive(Debug)]
pub struct CommandResultFrame {
    /// The leader.
    pub to: ControllerId,
    /// Its token.
    pub token: FencingToken,
    /// Results by the number of their call.
    pub results: Vec<(u64, DeliveryResult)>,
}

/// Who asked for a call, and under which number.
#[derive(Debug, Clone)]
struct Requester {
    controller: ControllerId,
    token: FencingToken,
    number: u64,
}

/// What identifies a call under way. A request for a heartbeat has the token 0.
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

/// Calls that this controller makes for a leader.
#[derive(Debug, Default)]
pub struct ForwardedCalls {
    /// Each leader has at most one call under way to a machine.
    under_way: HashMap<CallKey, Requester>,
    /// The highest token of a leader that asked, and the highest number under it.
    newest: (FencingToken, u64),
    results: BTreeMap<(ControllerId, FencingToken), Vec<(u64, DeliveryResult)>>,
    due: Option<Instant>,
}

impl ForwardedCalls {
    /// No calls.
    pub fn new() -> ForwardedCalls {
        ForwardedCalls::default()
    }

    /// A leader asks for a call. False if the request is an old one, which may have been served already: the start of
    /// an attempt that was forgotten since would run it again, so *a controller makes each call at most once*, and
    /// none that comes after a later one; its leader counts it as unknown.
    pub fn begin(&mut self, from: &ControllerId, token: FencingToken, delivery: &Delivery) -> bool {
        if (token, delivery.number) <= self.newest {
            return false;
        }
        self.newest = (token, delivery.number);
        let requester = Requester { controller: from.clone(), token, number: delivery.number };
        let command_token = delivery.agent_epoch.map(|_| token);
        self.under_way.insert(CallKey::new(&delivery.machine, command_token), requester);
        true
    }

    /// A call of this controller ended. False if no leader had asked for it.
    pub fn end(
        &mut self,
        machine: &MachineId,
        commands: Option<&CommandBatch>,
        result: &Result<Heartbeat, CallError>,
        now: Instant,
    ) -> bool {
        let key = CallKey::new(machine, commands.map(|batch| batch.token));
        let Some(requester) = self.under_way.remove(&key) else { return false };
        let result = DeliveryResult::from(result.clone());
        let leader = (requester.controller, requester.token);
        self.results.entry(leader).or_default().push((requester.number, result));
        self.due.get_or_insert(now + DELIVERY_PAUSE);
        true
    }

    /// This controller leads: from now on its calls are its own.
    pub fn clear(&mut self) {
        self.under_way.clear();
        self.results.clear();
        self.due = None;
    }

    /// When results are due to be sent.
    pub fn next_due(&self) -> Option<Instant> {
        self.due
    }

    /// Results that are due.
    pub fn take_results(&mut self, now: Instant) -> Vec<CommandResultFrame> {
        if self.due.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.due = None;
        let size = |(_, result): &(u64, DeliveryResult)| match result {
            DeliveryResult::Heartbeat(heartbeat) => heartbeat.encoded_size().min(RESULT_BYTES),
            _ => DELIVERY_BYTES,
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
