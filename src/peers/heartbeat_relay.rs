//! Relay of heartbeats: a controller receives its workers' heartbeats and sends them on to the leader.
//!
//! The relay keeps the worker's request open under a number, its ticket, sends the heartbeat in a batch, and answers
//! with the leader's result for exactly this heartbeat. It makes no decisions: *every answer that renews a lease is the
//! leader's own, given after the heartbeat was sent*. The leader's record of its last answer therefore bounds the
//! worker's lease, despite delays and losses. An unchanged heartbeat is sent as its sequence number only.

mod messages;

pub use messages::{
    FullHeartbeat, HeartbeatResult, RelayedCommand, RelayedHeartbeat, UnchangedHeartbeat,
};

use crate::constants::MAX_RELAY_BATCH_BYTES;
use crate::ids::{ControllerId, FencingToken, MachineId};
use crate::peers::membership::Membership;
use crate::wire::{CommandBatch, Heartbeat, TaskState, TaskStatus};
use foldhash::{HashMap, HashMapExt};
use messages::{HEARTBEAT_BYTES, encoded_size};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time that an assignment remains valid after it was received, long enough for three of the leader's messages.
pub const ASSIGNMENT_VALIDITY: Duration = Duration::from_millis(1600);
/// Time after the last assignment during which heartbeats wait for a new leader's assignment. Redirecting thousands of
/// workers to the new leader at once would exhaust its sockets.
pub const RELAY_RESUME_WINDOW: Duration = Duration::from_secs(12);
/// Timeout for the leader's result for a heartbeat. The worker waits for 4 s, so its request is still open then.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(1700);
/// Time that unchanged heartbeats wait for others to join their batch.
pub const BATCH_DELAY: Duration = Duration::from_millis(60);
/// Time that heartbeats wait for others to join their batch if at least one of them has changed.
pub const CHANGED_BATCH_DELAY: Duration = Duration::from_millis(12);
/// Maximum number of batches in flight, so that a leader that falls behind receives fewer and larger batches.
pub const MAX_BATCHES_IN_FLIGHT: usize = 8;

/// The leader's permission to relay heartbeats to it, with the controllers that do so.
#[derive(Debug)]
struct Assignment {
    token: FencingToken,
    leader: ControllerId,
    members: Membership,
    received: Instant,
}

impl Assignment {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.received)
    }
}

/// Heartbeat whose worker waits for the answer.
#[derive(Debug)]
struct PendingHeartbeat {
    heartbeat: Heartbeat,
    received: Instant,
    /// True if the heartbeat has to be sent in full.
    in_full: bool,
}

impl PendingHeartbeat {
    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received) >= RELAY_TIMEOUT
    }
}

/// Tickets of heartbeats that are not yet sent.
#[derive(Debug, Default)]
struct SendQueue {
    tickets: Vec<u64>,
    since: Option<Instant>,
    /// True if at least one of the heartbeats has changed.
    has_changes: bool,
}

impl SendQueue {
    fn push(&mut self, ticket: u64, is_change: bool, now: Instant) {
        self.tickets.push(ticket);
        self.has_changes |= is_change;
        self.since.get_or_insert(now);
    }

    /// Returns the time at which the next batches are due; it is earlier if a heartbeat has changed.
    fn due(&self) -> Option<Instant> {
        let pause = if self.has_changes { CHANGED_BATCH_DELAY } else { BATCH_DELAY };
        self.since.map(|since| since + pause)
    }
}

/// Error for a heartbeat that is too large to be relayed; it contains the heartbeat.
#[derive(Debug, thiserror::Error)]
#[error("a heartbeat is too large to be relayed")]
pub struct OversizedHeartbeat(pub Box<Heartbeat>);

/// Heartbeat that the leader did not answer in time.
#[derive(Debug)]
pub struct OverdueHeartbeat {
    /// Ticket of the worker's request.
    pub ticket: u64,
    /// Heartbeat as the worker sent it.
    pub heartbeat: Heartbeat,
}

/// Answer to a worker's request.
#[derive(Debug)]
pub struct WorkerReply {
    /// Ticket of the request.
    pub ticket: u64,
    /// Commands from the leader, with its fencing token.
    pub commands: CommandBatch,
}

/// Batch of heartbeats to be sent to the leader.
#[derive(Debug, PartialEq)]
pub struct HeartbeatBatch {
    /// Leader to which the batch is sent.
    pub leader: ControllerId,
    /// Fencing token of the leader.
    pub token: FencingToken,
    /// Number of the batch, which the results repeat.
    pub number: u64,
    /// Heartbeats of the batch; results refer to them by index.
    pub heartbeats: Vec<RelayedHeartbeat>,
}

/// Heartbeats that this controller received and relays to the leader.
#[derive(Debug)]
pub struct HeartbeatRelay {
    assignment: Option<Assignment>,
    /// Heartbeats without an answer, by the ticket of the request.
    pending: BTreeMap<u64, PendingHeartbeat>,
    queue: SendQueue,
    /// Tickets of the batches that have no results yet, by batch number.
    in_flight: BTreeMap<u64, Vec<u64>>,
    last_batch: u64,
    /// Last heartbeat of each worker, if the leader accepted it without commands.
    accepted: HashMap<MachineId, Heartbeat>,
}

impl HeartbeatRelay {
    /// Creates a relay whose first batch has the number after `first_batch`. The caller passes a random number, so that
    /// results for an earlier run of this process match no batch.
    pub fn new(first_batch: u64) -> HeartbeatRelay {
        HeartbeatRelay {
            assignment: None,
            pending: BTreeMap::new(),
            queue: SendQueue::default(),
            in_flight: BTreeMap::new(),
            last_batch: first_batch,
            accepted: HashMap::new(),
        }
    }

    /// Records that a leader permits these members to relay heartbeats to it, unless its fencing token is outdated.
    pub fn on_assignment(
        &mut self,
        token: FencingToken,
        leader: ControllerId,
        members: Membership,
        now: Instant,
    ) {
        let current = self.assignment.as_ref().map(|assignment| assignment.token);
        if current.is_some_and(|current| current > token) {
            return;
        }
        if current.is_none_or(|current| current < token) {
            self.on_new_leader(now);
        }
        self.assignment = Some(Assignment { token, leader, members, received: now });
    }

    /// Queues all unanswered heartbeats in full, because the new leader does not know those sent to its predecessor.
    /// Results of the predecessor are no longer expected.
    fn on_new_leader(&mut self, now: Instant) {
        self.accepted.clear();
        let unanswered = std::mem::take(&mut self.in_flight);
        self.queue.tickets.extend(unanswered.into_values().flatten());
        self.pending.values_mut().for_each(|pending| pending.in_full = true);
        if !self.queue.tickets.is_empty() {
            self.queue.since.get_or_insert(now);
        }
    }

    fn current_assignment(&self, newest: FencingToken, now: Instant) -> Option<&Assignment> {
        self.assignment.as_ref().filter(|assignment| {
            assignment.token >= newest
                && !assignment.members.is_empty()
                && assignment.age(now) < ASSIGNMENT_VALIDITY
        })
    }

    /// Returns the members of the current assignment; `newest` is the highest fencing token known to this controller.
    pub fn members(&self, newest: FencingToken, now: Instant) -> Option<&Membership> {
        self.current_assignment(newest, now).map(|assignment| &assignment.members)
    }

    /// Returns the age of the last assignment if it has members and is from the leader with this fencing token.
    pub fn time_since_assignment(&self, token: FencingToken, now: Instant) -> Option<Duration> {
        let assignment = self.assignment.as_ref()?;
        let permits = assignment.token == token && !assignment.members.is_empty();
        permits.then(|| assignment.age(now))
    }

    /// Returns whether the relay was permitted recently, so that the next leader is likely to permit it soon.
    pub fn may_resume(&self, now: Instant) -> bool {
        self.assignment.as_ref().is_some_and(|assignment| {
            !assignment.members.is_empty() && assignment.age(now) < RELAY_RESUME_WINDOW
        })
    }

    /// Queues the heartbeat of the request with this ticket. Returns it in an error if it is too large to be relayed.
    pub fn accept(
        &mut self,
        ticket: u64,
        heartbeat: Heartbeat,
        now: Instant,
    ) -> Result<(), OversizedHeartbeat> {
        if encoded_size(&heartbeat) > MAX_RELAY_BATCH_BYTES {
            return Err(OversizedHeartbeat(Box::new(heartbeat)));
        }
        let pending = PendingHeartbeat { heartbeat, received: now, in_full: false };
        let is_change = self.unchanged_reference(&pending).is_none();
        self.pending.insert(ticket, pending);
        self.queue.push(ticket, is_change, now);
        Ok(())
    }

    /// Returns the time at which the next batch is due or the oldest heartbeat becomes overdue, whichever is earlier.
    pub fn next_due(&self) -> Option<Instant> {
        let oldest = self.pending.values().next().map(|pending| pending.received + RELAY_TIMEOUT);
        self.queue.due().into_iter().chain(oldest).min()
    }

    /// Returns the worker's last accepted heartbeat if this one is unchanged and need not be sent in full.
    fn unchanged_reference(&self, pending: &PendingHeartbeat) -> Option<&Heartbeat> {
        let previous = self.accepted.get(&pending.heartbeat.machine)?;
        (!pending.in_full && is_unchanged(previous, &pending.heartbeat)).then_some(previous)
    }

    /// Returns the batches that are due and records them as in flight.
    pub fn take_batches(&mut self, newest: FencingToken, now: Instant) -> Vec<HeartbeatBatch> {
        let due = self.queue.due().is_some_and(|due| now >= due);
        if !due || self.in_flight.len() >= MAX_BATCHES_IN_FLIGHT {
            return Vec::new();
        }
        let Some(assignment) = self.current_assignment(newest, now) else { return Vec::new() };
        let (leader, token) = (assignment.leader.clone(), assignment.token);
        let mut batches = Vec::new();
        let mut unsent = std::mem::take(&mut self.queue).tickets;
        unsent.retain(|ticket| self.pending.contains_key(ticket));
        let mut unsent = unsent.as_slice();
        while !unsent.is_empty() {
            let (tickets, rest) = unsent.split_at(self.tickets_per_frame(unsent));
            if tickets.is_empty() {
                break;
            }
            let pending = tickets.iter().filter_map(|ticket| self.pending.get(ticket));
            let heartbeats = pending.map(|pending| self.relayed(pending)).collect();
            self.last_batch += 1;
            self.in_flight.insert(self.last_batch, tickets.to_vec());
            let (leader, number) = (leader.clone(), self.last_batch);
            batches.push(HeartbeatBatch { leader, token, number, heartbeats });
            unsent = rest;
        }
        batches
    }

    /// Returns the number of leading tickets whose heartbeats fit into one frame.
    fn tickets_per_frame(&self, tickets: &[u64]) -> usize {
        let mut free_bytes = MAX_RELAY_BATCH_BYTES;
        let fits = |ticket: &&u64| {
            let size = self.pending.get(*ticket).map_or(0, |pending| self.relayed_size(pending));
            let fits = size <= free_bytes;
            free_bytes = free_bytes.saturating_sub(size);
            fits
        };
        tickets.iter().take_while(fits).count()
    }

    fn relayed_size(&self, pending: &PendingHeartbeat) -> usize {
        match self.unchanged_reference(pending) {
            Some(_) => HEARTBEAT_BYTES,
            None => encoded_size(&pending.heartbeat),
        }
    }

    fn relayed(&self, pending: &PendingHeartbeat) -> RelayedHeartbeat {
        let heartbeat = &pending.heartbeat;
        match self.unchanged_reference(pending) {
            Some(previous) => RelayedHeartbeat::Unchanged(UnchangedHeartbeat {
                machine: heartbeat.machine.clone(),
                agent_epoch: heartbeat.agent_epoch,
                previous_seq: previous.seq,
                seq: heartbeat.seq,
            }),
            None => RelayedHeartbeat::Full(heartbeat.clone().into()),
        }
    }

    /// Processes the leader's results for a batch in flight and returns the replies to the workers.
    pub fn on_results(
        &mut self,
        token: FencingToken,
        batch: u64,
        results: Vec<(u32, HeartbeatResult)>,
        now: Instant,
    ) -> Vec<WorkerReply> {
        if self.assignment.as_ref().is_none_or(|assignment| assignment.token != token) {
            return Vec::new();
        }
        let Some(tickets) = self.in_flight.remove(&batch) else { return Vec::new() };
        let mut results: BTreeMap<u32, HeartbeatResult> = results.into_iter().collect();
        let mut replies = Vec::new();
        for (index, ticket) in (0u32..).zip(tickets) {
            let result = results.remove(&index).unwrap_or(HeartbeatResult::Accepted(Vec::new()));
            match result {
                HeartbeatResult::ResendInFull => self.resend_in_full(ticket, now),
                HeartbeatResult::Accepted(commands) => {
                    let Some(pending) = self.pending.remove(&ticket) else { continue };
                    let default_token = FencingToken::for_answer(token, pending.heartbeat.token);
                    self.record_accepted(pending.heartbeat, commands.is_empty());
                    let commands = RelayedCommand::into_batch(commands, default_token, None);
                    replies.push(WorkerReply { ticket, commands });
                }
            }
        }
        replies
    }

    fn resend_in_full(&mut self, ticket: u64, now: Instant) {
        if let Some(pending) = self.pending.get_mut(&ticket) {
            pending.in_full = true;
            self.queue.push(ticket, true, now);
        }
    }

    /// Stores a heartbeat that was accepted without commands as the reference for later ones. After an answer with
    /// commands there is no reference, because the leader may have removed attempts that the worker still reports.
    fn record_accepted(&mut self, heartbeat: Heartbeat, without_commands: bool) {
        if without_commands {
            self.accepted.insert(heartbeat.machine.clone(), heartbeat);
        } else {
            self.accepted.remove(&heartbeat.machine);
        }
    }

    /// Removes and returns the heartbeats that the leader did not answer in time; later results for them are ignored.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<OverdueHeartbeat> {
        // Tickets increase with time.
        let oldest = self.pending.iter().take_while(|(_, pending)| pending.is_overdue(now));
        let overdue: Vec<u64> = oldest.map(|(ticket, _)| *ticket).collect();
        if overdue.is_empty() {
            return Vec::new();
        }
        self.queue.tickets.retain(|ticket| !overdue.contains(ticket));
        if self.queue.tickets.is_empty() {
            self.queue.since = None;
        }
        let pending = &self.pending;
        self.in_flight.retain(|_, tickets| {
            tickets.iter().any(|ticket| pending.contains_key(ticket) && !overdue.contains(ticket))
        });
        let mut heartbeats = Vec::new();
        for ticket in overdue {
            let Some(PendingHeartbeat { heartbeat, .. }) = self.pending.remove(&ticket) else {
                continue;
            };
            self.accepted.remove(&heartbeat.machine);
            heartbeats.push(OverdueHeartbeat { ticket, heartbeat });
        }
        heartbeats
    }

    /// Drops all accepted heartbeats if there are more than `limit`: most then belong to workers that moved elsewhere.
    pub fn evict_beyond(&mut self, limit: usize) {
        if self.accepted.len() > limit {
            self.accepted.clear();
        }
    }
}

/// Returns whether a heartbeat has the same content as the previous one, so that it only updates the time of the last
/// heartbeat. A heartbeat with a finished task or a notice of reclamation is always sent in full.
fn is_unchanged(previous: &Heartbeat, heartbeat: &Heartbeat) -> bool {
    let is_not_finished = |task: &TaskStatus| task.state != TaskState::Exited;
    (previous.agent_epoch, previous.token) == (heartbeat.agent_epoch, heartbeat.token)
        && previous.seq < heartbeat.seq
        && (previous.notice_s, heartbeat.notice_s) == (None, None)
        && previous.address == heartbeat.address
        && previous.tasks == heartbeat.tasks
        && heartbeat.tasks.iter().all(is_not_finished)
}

#[cfg(test)]
mod tests;
