//! Commands that the leader has other controllers send to the workers whose reports they take.
//!
//! A command that is passed on may be carried out late or not at all, as one that is sent straight over a bad
//! network: who asked counts it as under way until its result comes, or for good.

use crate::constants::RELAY_FRAME;
use crate::http::CallError;
use crate::ids::{ControllerId, FencingToken, MachineId};
use crate::peers::heartbeat_relay::{FullHeartbeat, RelayedCommand};
use crate::wire::{CommandBatch, Heartbeat, WorkerCommand};
use foldhash::{HashMap, HashMapExt};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout of a direct command to a worker.
pub const WORKER_TIMEOUT: Duration = Duration::from_millis(3000);
/// Results of commands that were passed on wait so long for others to go with them.
pub const DELIVERY_PAUSE: Duration = Duration::from_millis(8);
/// Added to a command's timeout where another controller carries it out: the way there and back.
pub const DELIVERY_MARGIN: Duration = Duration::from_millis(1500);

/// A message to a worker.
#[derive(Debug)]
pub enum DirectCall {
    Status,
    Do(CommandBatch),
}

/// A command for a worker; without a session it only asks for the worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delivery {
    pub number: u64,
    pub machine: MachineId,
    pub address: SocketAddr,
    pub agent_epoch: Option<u64>,
    pub orders: Vec<RelayedCommand>,
}

/// What came of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DeliveryResult {
    Heartbeat(FullHeartbeat),
    /// It was surely not sent.
    NotSent,
    /// It may have been carried out, or may yet be.
    Unknown,
}

impl Delivery {
    /// The call that its receiver makes.
    pub fn into_direct(self, token: FencingToken) -> DirectCall {
        match self.agent_epoch {
            None => DirectCall::Status,
            Some(agent_epoch) => {
                let orders = self.orders.into_iter().map(WorkerCommand::from).collect();
                DirectCall::Do(CommandBatch { token, agent_epoch: Some(agent_epoch), orders })
            }
        }
    }
}

impl DeliveryResult {
    /// Of a call that was made for somebody else.
    pub fn of(result: Result<Heartbeat, CallError>) -> DeliveryResult {
        match result {
            Ok(report) => DeliveryResult::Heartbeat(report.into()),
            Err(CallError::NotSent) => DeliveryResult::NotSent,
            Err(CallError::Unknown) => DeliveryResult::Unknown,
        }
    }

    /// As if the call had been made here.
    pub fn into_result(self) -> Result<Heartbeat, CallError> {
        match self {
            DeliveryResult::Heartbeat(report) => Ok(report.into()),
            DeliveryResult::NotSent => Err(CallError::NotSent),
            DeliveryResult::Unknown => Err(CallError::Unknown),
        }
    }
}

/// A command without a result.
#[derive(Debug)]
struct Pending {
    machine: MachineId,
    sent: Option<CommandBatch>,
    until: Instant,
}

/// A leader's commands that others carry out.
#[derive(Debug)]
pub struct Deliveries {
    next: u64,
    pending: BTreeMap<u64, Pending>,
    /// Not sent yet.
    waiting: BTreeMap<ControllerId, Vec<Delivery>>,
}

/// The end of a command: the machine, what it was told, and what came of it.
pub type DeliveryEnd = (MachineId, Option<CommandBatch>, Result<Heartbeat, CallError>);

impl Deliveries {
    /// Commands are numbered from there on, so that results for a former life of this process match none.
    pub fn new(first: u64) -> Deliveries {
        Deliveries { next: first, pending: BTreeMap::new(), waiting: BTreeMap::new() }
    }

    /// A new leadership begins: nothing is under way for it.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.waiting.clear();
    }

    /// How many are under way.
    pub fn under_way(&self) -> usize {
        self.pending.len()
    }

    /// Has a controller make this call.
    pub fn push(
        &mut self,
        by: &ControllerId,
        (machine, address): (MachineId, SocketAddr),
        direct: DirectCall,
        now: Instant,
    ) {
        self.next += 1;
        let number = self.next;
        let (sent, agent_epoch, orders) = match direct {
            DirectCall::Status => (None, None, Vec::new()),
            DirectCall::Do(orders) => {
                let relayed = orders.orders.iter().cloned().map(RelayedCommand::from).collect();
                (Some(orders.clone()), orders.agent_epoch, relayed)
            }
        };
        let until = now + WORKER_TIMEOUT + DELIVERY_MARGIN;
        self.pending.insert(number, Pending { machine: machine.clone(), sent, until });
        let delivery = Delivery { number, machine, address, agent_epoch, orders };
        self.waiting.entry(by.clone()).or_default().push(delivery);
    }

    /// What is to be sent, to whom, in frames of bounded size.
    pub fn take_frames(&mut self) -> Vec<(ControllerId, Vec<Delivery>)> {
        let mut frames = Vec::new();
        for (name, deliveries) in std::mem::take(&mut self.waiting) {
            let size = |delivery: &Delivery| DELIVERY_BYTES + delivery.orders.len() * ORDER_BYTES;
            for part in in_frames(deliveries, size) {
                frames.push((name.clone(), part));
            }
        }
        frames
    }

    /// A result came; None: nobody waits for it any more.
    pub fn on_result(&mut self, number: u64, result: DeliveryResult) -> Option<DeliveryEnd> {
        let pending = self.pending.remove(&number)?;
        Some((pending.machine, pending.sent, result.into_result()))
    }

    /// Those whose time is up: they may have been carried out, or may yet be.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<DeliveryEnd> {
        let overdue: Vec<u64> = self
            .pending
            .iter()
            .take_while(|(_, pending)| pending.until <= now)
            .map(|(number, _)| *number)
            .collect();
        overdue.iter().filter_map(|n| self.on_result(*n, DeliveryResult::Unknown)).collect()
    }

    /// When the first is overdue.
    pub fn next_due(&self) -> Option<Instant> {
        self.pending.values().next().map(|pending| pending.until)
    }
}

/// Bytes. What a command, an order and a task of a result take in a frame at the most.
const DELIVERY_BYTES: usize = 100;
const ORDER_BYTES: usize = 60;
const RESULT_BYTES: usize = 16 * 1024;

/// Cuts a list into parts that fit a frame each.
fn in_frames<T>(list: Vec<T>, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut room = 0;
    for item in list {
        let more = size(&item);
        if more > room || parts.is_empty() {
            parts.push(Vec::new());
            room = RELAY_FRAME;
        }
        room = room.saturating_sub(more);
        if let Some(part) = parts.last_mut() {
            part.push(item);
        }
    }
    parts
}

/// Results for the leader with that token, by the numbers of their commands.
pub type ResultFrame = (ControllerId, FencingToken, Vec<(u64, DeliveryResult)>);

/// Who asked for a call and under which number.
#[derive(Debug, Clone)]
struct Asker {
    from: ControllerId,
    token: FencingToken,
    number: u64,
}

/// What a call is known by: a question for a report names no token.
fn call_key(machine: &MachineId, token: Option<FencingToken>) -> (MachineId, FencingToken) {
    (machine.clone(), token.unwrap_or_default())
}

/// Commands that this controller carries out for a leader.
#[derive(Debug, Default)]
pub struct ForwardedCommands {
    /// By machine and by the token of what it is told: of two leaders each has one call under way to a machine.
    under_way: HashMap<(MachineId, FencingToken), Asker>,
    /// The highest token of a leader that asked, and the highest number that it gave a command.
    newest: (FencingToken, u64),
    results: BTreeMap<(ControllerId, FencingToken), Vec<(u64, DeliveryResult)>>,
    due: Option<Instant>,
}

impl ForwardedCommands {
    /// None.
    pub fn new() -> ForwardedCommands {
        ForwardedCommands { under_way: HashMap::new(), ..ForwardedCommands::default() }
    }

    /// A leader asks for a call. False: it is an old one, which may have been made already. A start that is repeated
    /// after its attempt was forgotten would run again, so *a controller passes each command on at most once*, and
    /// leaves out what comes after a later one; who asked counts it as unknown.
    pub fn begin(&mut self, from: &ControllerId, token: FencingToken, delivery: &Delivery) -> bool {
        if (token, delivery.number) <= self.newest {
            return false;
        }
        self.newest = (token, delivery.number);
        let asker = Asker { from: from.clone(), token, number: delivery.number };
        let told = delivery.agent_epoch.map(|_| token);
        self.under_way.insert(call_key(&delivery.machine, told), asker);
        true
    }

    /// A call ended; false: nobody else had asked for it.
    pub fn end(
        &mut self,
        machine: &MachineId,
        sent: Option<&CommandBatch>,
        result: &Result<Heartbeat, CallError>,
        now: Instant,
    ) -> bool {
        let key = call_key(machine, sent.map(|orders| orders.token));
        let Some(Asker { from, token, number }) = self.under_way.remove(&key) else { return false };
        let result = DeliveryResult::of(result.clone());
        self.results.entry((from, token)).or_default().push((number, result));
        self.due.get_or_insert(now + DELIVERY_PAUSE);
        true
    }

    /// This controller leads: from here on its calls are its own.
    pub fn clear(&mut self) {
        self.under_way.clear();
        self.results.clear();
        self.due = None;
    }

    /// When results are due to be sent.
    pub fn next_due(&self) -> Option<Instant> {
        self.due
    }

    /// Results that are due, by who asked.
    pub fn take_results(&mut self, now: Instant) -> Vec<ResultFrame> {
        if self.due.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.due = None;
        let mut frames = Vec::new();
        for ((from, token), results) in std::mem::take(&mut self.results) {
            let size = |(_, result): &(u64, DeliveryResult)| match result {
                DeliveryResult::Heartbeat(report) => report.encoded_size().min(RESULT_BYTES),
                _ => DELIVERY_BYTES,
            };
            for part in in_frames(results, size) {
                frames.push((from.clone(), token, part));
            }
        }
        frames
    }
}

#[cfg(test)]
mod tests;
