//! Direct calls from the leader to workers, in addition to the answers to their heartbeats.
//!
//! Few machines have anything pending at a time, so a round examines only machines whose state changed since the
//! last one, or all of them after larger changes.

use super::fleet::Fleet;
use crate::ids::MachineId;
use crate::settings::Settings;
use crate::store::TokenBucket;
use crate::wire::CommandBatch;
use crate::workers::command_delivery::DirectCall;
use crate::workers::machine::{LeaderTokens, Machine, MachineState};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// CPU time of one call to a worker on a whole core, including the connection that it may have to open.
const CALL_COST: Duration = Duration::from_micros(200);
/// Share of its CPU allowance that a new leader spends on calls that confirm machines, i.e. show that their workers
/// have seen its fencing token. Most machines send a heartbeat in the meantime, which makes the call unnecessary.
const CONFIRM_SHARE: f64 = 0.4;
/// Maximum burst of these calls: as many as their mean rate allows in this number of seconds.
const CONFIRM_BURST_S: f64 = 0.2;
/// Agent epoch of a worker whose lease has never expired: PROTOCOL starts a worker's epochs at this number.
const FIRST_AGENT_EPOCH: u64 = 1;

/// A call to a worker that is ready to be sent.
#[derive(Debug)]
pub struct OutgoingCall {
    /// The machine that the worker runs on.
    pub machine: MachineId,
    /// Address at which the worker takes direct calls.
    pub address: SocketAddr,
    /// Commands or a status request.
    pub call: DirectCall,
}

/// Parameters by which the leader decides which workers to call.
pub(super) struct CallRules {
    pub(super) tokens: LeaderTokens,
    /// Time since a worker's last heartbeat after which its status is requested.
    pub(super) heartbeat_late_after: Duration,
    pub(super) heartbeat_interval: Duration,
}

/// Decides which workers are called and bounds the number of calls in flight.
#[derive(Debug)]
pub(super) struct DirectCalls {
    /// Calls that are ready to be sent.
    outgoing: Vec<OutgoingCall>,
    /// Maximum number of calls in flight.
    pub(super) max_in_flight: usize,
    /// Number of calls in flight.
    pub(super) in_flight: usize,
    /// Rate limit of calls to unconfirmed machines.
    confirmation_budget: TokenBucket,
    /// Machines for which a call may be pending.
    pub(super) dirty_machines: BTreeSet<MachineId>,
    /// True if a call may be pending for any machine.
    pub(super) all_dirty: bool,
    /// Machine at which the next round resumes, if the last one reached `max_in_flight`.
    resume_from: Option<MachineId>,
}

impl DirectCalls {
    /// Creates the state of a new leader: no call is in flight, and any machine may have one pending.
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

    pub(super) fn take_outgoing(&mut self) -> Vec<OutgoingCall> {
        std::mem::take(&mut self.outgoing)
    }

    /// Marks a machine to be examined in the next round.
    pub(super) fn mark_dirty(&mut self, machine: &MachineId) {
        self.dirty_machines.insert(machine.clone());
    }

    /// Runs one round: prepares the pending calls, up to `max_in_flight`.
    pub(super) fn dispatch(&mut self, fleet: &mut Fleet, rules: &CallRules, now: Instant) {
        // Machines that the last round did not reach come first; the others are examined in a later round.
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

    /// Prepares a call to the machine if one is pending. Returns false if `max_in_flight` is reached.
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
            machine.record_direct_call(&batch.commands);
        }
        machine.probe_zone_reachable =
            zone_heartbeat.is_some_and(|at| now < at + rules.heartbeat_interval);
        (machine.direct_in_flight, machine.direct_sent_at) = (true, now);
        self.in_flight += 1;
        self.outgoing.push(OutgoingCall { machine: machine.id.clone(), address, call });
        true
    }
}

/// The next direct call to a machine.
enum NextDirectCall {
    /// No call is pending.
    Nothing,
    /// Commands are due, but no call may be made before the machine's `next_direct_at`.
    Later,
    /// This call to this address may be made now.
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
        if machine.agent_epoch == 0 {
            // The machine's agent epoch is not known yet. Few leases ever expire, so most workers are in their first
            // epoch and are confirmed by the response to this call. Any other worker rejects it, and the rejection
            // contains its epoch. Requesting the epoch first would delay a failover by most of a second.
            return if machine.confirmed {
                NextDirectCall::Nothing
            } else {
                let token = machine.fence.current(rules.tokens);
                let agent_epoch = Some(FIRST_AGENT_EPOCH);
                let batch = CommandBatch { token, agent_epoch, commands: Vec::new() };
                NextDirectCall::Call(address, DirectCall::Do(batch))
            };
        }
        let batch = machine.direct_call(rules.tokens);
        machine.commands_due = !batch.commands.is_empty();
        if machine.commands_due || !machine.confirmed {
            NextDirectCall::Call(address, DirectCall::Do(batch))
        } else if machine.delegated
            || machine.time_since_heartbeat(now) > rules.heartbeat_late_after
        {
            // A response shows that a delegated machine is reachable from this leader again, or that the worker of a
            // silent machine is alive.
            NextDirectCall::Call(address, DirectCall::Status)
        } else {
            NextDirectCall::Nothing
        }
    }
}
