//! Commands that the leader has other controllers send to the workers whose reports they take.
//!
//! A command that is passed on may be carried out late or not at all, as one that is sent straight over a bad
//! network: who asked counts it as under way until its result comes, or for good.

use crate::constants::*;
use crate::http::CallError;
use crate::ids::{MachineId, NodeName, Token};
use crate::peers::heartbeat_relay::{FullReport, RelayedOrder};
use crate::wire::{Order, Orders, Report};
use foldhash::{HashMap, HashMapExt};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::time::Instant;

/// A message to a worker.
#[derive(Debug)]
pub enum Direct {
    Status,
    Do(Orders),
}

/// A command for a worker; without a session it only asks for the worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delivery {
    pub number: u64,
    pub machine: MachineId,
    pub address: SocketAddr,
    pub session: Option<u64>,
    pub orders: Vec<RelayedOrder>,
}

/// What came of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DeliveryResult {
    Report(FullReport),
    /// It was surely not sent.
    NotSent,
    /// It may have been carried out, or may yet be.
    Unknown,
}

impl Delivery {
    /// The call that its receiver makes.
    pub fn into_direct(self, token: Token) -> Direct {
        match self.session {
            None => Direct::Status,
            Some(session) => {
                let orders = self.orders.into_iter().map(Order::from).collect();
                Direct::Do(Orders { token, session: Some(session), orders })
            }
        }
    }
}

impl DeliveryResult {
    /// Of a call that was made for somebody else.
    pub fn of(result: Result<Report, CallError>) -> DeliveryResult {
        match result {
            Ok(report) => DeliveryResult::Report(report.into()),
            Err(CallError::NotSent) => DeliveryResult::NotSent,
            Err(CallError::Unknown) => DeliveryResult::Unknown,
        }
    }

    /// As if the call had been made here.
    pub fn into_result(self) -> Result<Report, CallError> {
        match self {
            DeliveryResult::Report(report) => Ok(report.into()),
            DeliveryResult::NotSent => Err(CallError::NotSent),
            DeliveryResult::Unknown => Err(CallError::Unknown),
        }
    }
}

/// A command without a result.
#[derive(Debug)]
struct Pending {
    machine: MachineId,
    sent: Option<Orders>,
    until: Instant,
}

/// A leader's commands that others carry out.
#[derive(Debug)]
pub struct Deliveries {
    next: u64,
    pending: BTreeMap<u64, Pending>,
    /// Not sent yet.
    waiting: BTreeMap<NodeName, Vec<Delivery>>,
}

/// The end of a command: the machine, what it was told, and what came of it.
pub type DeliveryEnd = (MachineId, Option<Orders>, Result<Report, CallError>);

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
        by: &NodeName,
        (machine, address): (MachineId, SocketAddr),
        direct: Direct,
        now: Instant,
    ) {
        self.next += 1;
        let number = self.next;
        let (sent, session, orders) = match direct {
            Direct::Status => (None, None, Vec::new()),
            Direct::Do(orders) => {
                let relayed = orders.orders.iter().cloned().map(RelayedOrder::from).collect();
                (Some(orders.clone()), orders.session, relayed)
            }
        };
        let until = now + WORKER_TIMEOUT + DELIVERY_MARGIN;
        self.pending.insert(number, Pending { machine: machine.clone(), sent, until });
        let delivery = Delivery { number, machine, address, session, orders };
        self.waiting.entry(by.clone()).or_default().push(delivery);
    }

    /// What is to be sent, to whom, in frames of bounded size.
    pub fn take_frames(&mut self) -> Vec<(NodeName, Vec<Delivery>)> {
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
pub type ResultFrame = (NodeName, Token, Vec<(u64, DeliveryResult)>);

/// Who asked for a call and under which number.
#[derive(Debug, Clone)]
struct Asker {
    from: NodeName,
    token: Token,
    number: u64,
}

/// What a call is known by: a question for a report names no token.
fn call_key(machine: &MachineId, token: Option<Token>) -> (MachineId, Token) {
    (machine.clone(), token.unwrap_or_default())
}

/// Commands that this controller carries out for a leader.
#[derive(Debug, Default)]
pub struct ForwardedCommands {
    /// By machine and by the token of what it is told: of two leaders each has one call under way to a machine.
    under_way: HashMap<(MachineId, Token), Asker>,
    /// The highest token of a leader that asked, and the highest number that it gave a command.
    newest: (Token, u64),
    results: BTreeMap<(NodeName, Token), Vec<(u64, DeliveryResult)>>,
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
    pub fn begin(&mut self, from: &NodeName, token: Token, delivery: &Delivery) -> bool {
        if (token, delivery.number) <= self.newest {
            return false;
        }
        self.newest = (token, delivery.number);
        let asker = Asker { from: from.clone(), token, number: delivery.number };
        let told = delivery.session.map(|_| token);
        self.under_way.insert(call_key(&delivery.machine, told), asker);
        true
    }

    /// A call ended; false: nobody else had asked for it.
    pub fn end(
        &mut self,
        machine: &MachineId,
        sent: Option<&Orders>,
        result: &Result<Report, CallError>,
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
                DeliveryResult::Report(report) => report.size().min(RESULT_BYTES),
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
