//! Calls that the leader makes to workers of its own accord, beside the answers to their heartbeats.
//!
//! Few machines have anything pending at a time, so only those are looked at whose state changed
//! since the last round, or all of them where more changed.

use super::fleet::Fleet;
use crate::ids::{FencingToken, MachineId};
use crate::settings::Settings;
use crate::store::TokenBucket;
use crate::wire::{CommandBatch, WorkerCommand};
use crate::workers::command_delivery::DirectCall;
use crate::workers::machine::{Machine, MachineState};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// What a call to a worker takes of a whole core, with the connection that it may need.
const CALL_COST: Duration = Duration::from_micros(200);
/// Share of its allowance with which a new leader asks machines whether they have seen its token: most report by
/// themselves meanwhile, and each that does need not be asked.
const CONFIRM_SHARE: f64 = 0.4;
/// Seconds. Such calls that may go at once.
const CONFIRM_BURST_S: f64 = 0.2;
/// Count. PROTOCOL starts a worker's sessions at this.
const FIRST_AGENT_EPOCH: u64 = 1;

/// A call to a worker that is to be sent.
#[derive(Debug)]
pub struct OutgoingCall {
    /// The machine that the worker runs on.
    pub machine: MachineId,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it is asked or told.
    pub call: DirectCall,
}

/// What calls to workers depend on beside the machines themselves.
pub(super) struct CallRules {
    /// The leader's fencing token.
    pub(super) token: FencingToken,
    /// How long after its last heartbeat a worker is asked for its status.
    pub(super) heartbeat_late_after: Duration,
    /// The interval between heartbeats.
    pub(super) heartbeat_interval: Duration,
}

/// Decides which workers are called, and bounds how many calls are under way.
#[derive(Debug)]
pub(super) struct DirectCalls {
    /// Calls that are to be sent.
    outgoing: Vec<OutgoingCall>,
    /// How many calls may be under way at once.
    pub(super) max_in_flight: usize,
    /// How many are.
    pub(super) in_flight: usize,
    /// Calls to machines that have not confirmed what runs there to this leader yet.
    confirmation_budget: TokenBucket,
    /// Machines for which something may be pending.
    pub(super) dirty_machines: BTreeSet<MachineId>,
    /// Whether something may be pending for any machine.
    pub(super) all_dirty: bool,
    /// The machine at which the next round goes on, where not all calls could be under way at once.
    resume_from: Option<MachineId>,
}

impl DirectCalls {
    /// Nothing is under way, and any machine may be called.
    pub(super) fn new(settings: &Settings, now: Instant) -> DirectCalls {
        let allowed = &settings.platform.params.resources;
        let confirmations = allowed.fits(Duration::from_secs(1), CALL_COST) * CONFIRM_SHARE;
        DirectCalls {
            outgoing: Vec::new(),
            max_in_flight: usize::MAX,
            in_flight: 0,
            confirmation_budget: TokenBucket::new(confirmations, CONFIRM_BURST_S, now),
            dirty_machines: BTreeSet::new(),
            all_dirty: true,
            resume_from: None,
        }
    }

    /// The calls that are to be sent, taken out.
    pub(super) fn take_outgoing(&mut self) -> Vec<OutgoingCall> {
        std::mem::take(&mut self.outgoing)
    }

    /// Looks at this machine in the next round.
    pub(super) fn mark_dirty(&mut self, machine: &MachineId) {
        self.dirty_machines.insert(machine.clone());
    }

    /// One round: makes the calls that are pending, as far as more may be under way.
    pub(super) fn dispatch(&mut self, fleet: &mut Fleet, rules: &CallRules, now: Instant) {
        // Machines that were left out the last time come first, and the others after them.
        let resume_from = self.resume_from.take();
        let all = std::mem::replace(&mut self.all_dirty, resume_from.is_some());
        let dirty = std::mem::take(&mut self.dirty_machines);
        let last_heartbeats = &fleet.zone_last_heartbeat;
        if all || resume_from.is_some() {
            for (id, machine) in &mut fleet.machines {
                if resume_from.as_ref().is_some_and(|from| id < from) {
                    continue;
                }
                let zone_heartbeat = last_heartbeats[machine.zone];
                if !self.call_if_pending(machine, zone_heartbeat, rules, now) {
                    self.resume_from = Some(id.clone());
                    break;
                }
            }
            return;
        }
        let mut dirty = dirty.into_iter();
        while let Some(id) = dirty.next() {
            let Some(machine) = fleet.machines.get_mut(&id) else { continue };
            let zone_heartbeat = last_heartbeats[machine.zone];
            if !self.call_if_pending(machine, zone_heartbeat, rules, now) {
                self.dirty_machines.extend(dirty.chain([id]));
                break;
            }
        }
    }

    /// Calls the machine if anything is pending for it. False: no more calls may be under way.
    fn call_if_pending(
        &mut self,
        machine: &mut Machine,
        zone_heartbeat: Option<Instant>,
        rules: &CallRules,
        now: Instant,
    ) -> bool {
        if !machine.confirmed && !self.confirmation_budget.has(1.0, now) {
            self.mark_dirty(&machine.id);
            return true;
        }
        let (address, call) = match NextDirectCall::to(machine, rules, now) {
            NextDirectCall::Nothing => return true,
            NextDirectCall::Later => {
                self.mark_dirty(&machine.id);
                return true;
            }
            NextDirectCall::Call(address, call) => (address, call),
        };
        if self.in_flight >= self.max_in_flight {
            return false;
        }
        if !machine.confirmed {
            self.confirmation_budget.take(1.0, now);
        }
        if let DirectCall::Do(batch) = &call {
            machine.track_starts_in_flight(&batch.commands, 1);
        }
        machine.probe_zone_reachable =
            zone_heartbeat.is_some_and(|at| now < at + rules.heartbeat_interval);
        (machine.direct_in_flight, machine.direct_sent_at) = (true, now);
        self.in_flight += 1;
        self.outgoing.push(OutgoingCall { machine: machine.id.clone(), address, call });
        true
    }
}

/// What is to be sent straight to a machine.
enum NextDirectCall {
    /// Nothing is pending.
    Nothing,
    /// Something is, after a pause.
    Later,
    /// A call to this address.
    Call(SocketAddr, DirectCall),
}

impl NextDirectCall {
    fn to(machine: &mut Machine, rules: &CallRules, now: Instant) -> NextDirectCall {
        let Some(address) = machine.address else { return NextDirectCall::Nothing };
        if machine.direct_in_flight || machine.state == MachineState::Booting {
            return NextDirectCall::Nothing;
        }
        if now < machine.next_direct_at {
            return if machine.commands_due {
                NextDirectCall::Later
            } else {
                NextDirectCall::Nothing
            };
        }
        let command = |agent_epoch: u64, orders: Vec<WorkerCommand>| {
            let agent_epoch = Some(agent_epoch);
            let batch = CommandBatch { token: rules.token, agent_epoch, commands: orders };
            NextDirectCall::Call(address, DirectCall::Do(batch))
        };
        if machine.agent_epoch == 0 {
            // Few leases ever expire, so most machines are in their first agent epoch and confirm
            // themselves with this one answer. Any other refuses, and its refusal tells the epoch:
            // a question before would cost a failover most of a second.
            return if machine.confirmed {
                NextDirectCall::Nothing
            } else {
                command(FIRST_AGENT_EPOCH, Vec::new())
            };
        }
        let orders = if machine.commands_due { machine.direct_commands() } else { Vec::new() };
        machine.commands_due = !orders.is_empty();
        if !orders.is_empty() || !machine.confirmed {
            command(machine.agent_epoch, orders)
        } else if machine.delegated
            || machine.time_since_heartbeat(now) > rules.heartbeat_late_after
        {
            // Its answer shows that it is within our reach again, or that it lives.
            NextDirectCall::Call(address, DirectCall::Status)
        } else {
            NextDirectCall::Nothing
        }
    }
}
