//! The relay of heartbeats: a controller takes its workers' heartbeats and passes them on to the leader.
//!
//! It keeps the worker's request open, sends the heartbeat in a batch, and answers with the leader's result for
//! just this heartbeat. It decides nothing: *every answer that renews a lease is the leader's own, given after the
//! heartbeat was sent*, so whatever happens on the way, the leader's own record of its last answer bounds the
//! worker's lease. A heartbeat that says what the one before it said travels as its number alone.

mod messages;

pub use messages::{
    FullHeartbeat, HeartbeatResult, RelayedCommand, RelayedHeartbeat, UnchangedHeartbeat,
};

use crate::constants::RELAY_FRAME;
use crate::ids::{ControllerId, FencingToken, MachineId};
use crate::peers::membership::Membership;
use crate::wire::{CommandBatch, Heartbeat, TaskState, TaskStatus, WorkerCommand};
use foldhash::{HashMap, HashMapExt};
use messages::{HEARTBEAT_BYTES, encoded_size};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long an assignment holds after it was received: three of the leader's messages.
pub const RELAY_TERM: Duration = Duration::from_millis(1600);
/// How long after the last assignment a new leader is waited for: thousands of workers redirected to it at once would
/// use up its sockets.
pub const RELAY_RESUMES_WITHIN: Duration = Duration::from_secs(12);
/// How long the leader's result for a heartbeat is waited for. The worker, which waits for 4 s, still does by then.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(1700);
/// How long unchanged heartbeats wait for others to go with them.
pub const RELAY_PAUSE: Duration = Duration::from_millis(60);
/// How long heartbeats wait of which one says something new.
pub const RELAY_PAUSE_NEWS: Duration = Duration::from_millis(12);
/// Count. Batches in flight at the most, so that a leader that falls behind gets fewer and larger ones.
pub const RELAY_BATCHES: usize = 8;

/// The leader's permission to relay heartbeats to it, and the controllers that do.
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

/// A heartbeat whose worker waits for the answer.
#[derive(Debug)]
struct PendingHeartbeat {
    heartbeat: Heartbeat,
    received: Instant,
    /// It has to be sent in full.
    in_full: bool,
}

impl PendingHeartbeat {
    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received) >= RELAY_TIMEOUT
    }
}

/// Tickets of heartbeats that are not sent yet.
#[derive(Debug, Default)]
struct SendQueue {
    tickets: Vec<u64>,
    since: Option<Instant>,
    /// Some of them say something new.
    has_changes: bool,
}

impl SendQueue {
    fn push(&mut self, ticket: u64, is_change: bool, now: Instant) {
        self.tickets.push(ticket);
        self.has_changes |= is_change;
        self.since.get_or_insert(now);
    }

    /// When the next batches are due; changes wait less for others to go with them.
    fn due(&self) -> Option<Instant> {
        let pause = if self.has_changes { RELAY_PAUSE_NEWS } else { RELAY_PAUSE };
        self.since.map(|since| since + pause)
    }
}

/// A heartbeat that is too large to be relayed.
#[derive(Debug, thiserror::Error)]
#[error("a heartbeat is too large to be relayed")]
pub struct OversizedHeartbeat(pub Box<Heartbeat>);

/// A heartbeat that the leader did not answer in time.
#[derive(Debug)]
pub struct OverdueHeartbeat {
    /// Ticket of the worker's request.
    pub ticket: u64,
    /// The heartbeat.
    pub heartbeat: Heartbeat,
}

/// The answer to a worker's request.
#[derive(Debug)]
pub struct WorkerReply {
    /// Ticket of the request.
    pub ticket: u64,
    /// What the leader says.
    pub commands: CommandBatch,
}

/// A batch on its way to the leader.
#[derive(Debug, PartialEq)]
pub struct HeartbeatBatch {
    /// The leader.
    pub leader: ControllerId,
    /// Its token.
    pub token: FencingToken,
    /// Number of the batch.
    pub number: u64,
    /// The heartbeats.
    pub heartbeats: Vec<RelayedHeartbeat>,
}

/// Heartbeats on their way to the leader, at the controller that took them.
#[derive(Debug)]
pub struct HeartbeatRelay {
    assignment: Option<Assignment>,
    /// By the ticket of the request.
    pending: BTreeMap<u64, PendingHeartbeat>,
    queue: SendQueue,
    /// Tickets of batches without results, by the number of the batch.
    in_flight: BTreeMap<u64, Vec<u64>>,
    last_batch: u64,
    /// The last heartbeat of each worker that the leader accepted without any command.
    accepted: HashMap<MachineId, Heartbeat>,
}

impl HeartbeatRelay {
    /// A relay that numbers its batches from `first_batch` on: random, so that results for an earlier incarnation
    /// of this process match none.
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

    /// A leader permits that heartbeats are relayed to it, by these members.
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

    /// The new leader knows nothing of what its predecessor was told, and no result of that one is waited for.
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
                && assignment.age(now) < RELAY_TERM
        })
    }

    /// The members of the current assignment, where `newest` is the latest token that is known.
    pub fn members(&self, newest: FencingToken, now: Instant) -> Option<&Membership> {
        self.current_assignment(newest, now).map(|assignment| &assignment.members)
    }

    /// Time since the leader with that token last permitted that heartbeats are relayed, if it did.
    pub fn time_since_assignment(&self, token: FencingToken, now: Instant) -> Option<Duration> {
        let assignment = self.assignment.as_ref()?;
        let permits = assignment.token == token && !assignment.members.is_empty();
        permits.then(|| assignment.age(now))
    }

    /// Whether heartbeats were relayed a moment ago, so that the next leader may soon permit it as well.
    pub fn may_resume(&self, now: Instant) -> bool {
        self.assignment.as_ref().is_some_and(|assignment| {
            !assignment.members.is_empty() && assignment.age(now) < RELAY_RESUMES_WITHIN
        })
    }

    /// Takes a heartbeat whose worker waits under this ticket; gives it back if it is too large to be relayed.
    pub fn accept(
        &mut self,
        ticket: u64,
        heartbeat: Heartbeat,
        now: Instant,
    ) -> Result<(), OversizedHeartbeat> {
        if encoded_size(&heartbeat) > RELAY_FRAME {
            return Err(OversizedHeartbeat(Box::new(heartbeat)));
        }
        let pending = PendingHeartbeat { heartbeat, received: now, in_full: false };
        let is_change = self.unchanged_since(&pending).is_none();
        self.pending.insert(ticket, pending);
        self.queue.push(ticket, is_change, now);
        Ok(())
    }

    /// When the next batch is due, or a heartbeat overdue.
    pub fn next_due(&self) -> Option<Instant> {
        let oldest = self.pending.values().next().map(|pending| pending.received + RELAY_TIMEOUT);
        self.queue.due().into_iter().chain(oldest).min()
    }

    /// The accepted heartbeat that says the same, if this one need not be sent in full.
    fn unchanged_since(&self, pending: &PendingHeartbeat) -> Option<&Heartbeat> {
        let previous = self.accepted.get(&pending.heartbeat.machine)?;
        (!pending.in_full && is_unchanged(previous, &pending.heartbeat)).then_some(previous)
    }

    /// The batches that are due.
    pub fn take_batches(&mut self, newest: FencingToken, now: Instant) -> Vec<HeartbeatBatch> {
        let due = self.queue.due().is_some_and(|due| now >= due);
        if !due || self.in_flight.len() >= RELAY_BATCHES {
            return Vec::new();
        }
        let Some(assignment) = self.current_assignment(newest, now) else { return Vec::new() };
        let (leader, token) = (assignment.leader.clone(), assignment.token);
        let mut batches = Vec::new();
        let mut unsent = std::mem::take(&mut self.queue).tickets;
        unsent.retain(|ticket| self.pending.contains_key(ticket));
        let mut unsent = unsent.as_slice();
        while !unsent.is_empty() {
            let (tickets, rest) = unsent.split_at(self.tickets_in_a_frame(unsent));
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

    /// How many of the first tickets fit a frame.
    fn tickets_in_a_frame(&self, tickets: &[u64]) -> usize {
        let mut free = RELAY_FRAME;
        let fits = |ticket: &&u64| {
            let size = self.pending.get(*ticket).map_or(0, |pending| self.relayed_size(pending));
            let fits = size <= free;
            free = free.saturating_sub(size);
            fits
        };
        tickets.iter().take_while(fits).count()
    }

    fn relayed_size(&self, pending: &PendingHeartbeat) -> usize {
        match self.unchanged_since(pending) {
            Some(_) => HEARTBEAT_BYTES,
            None => encoded_size(&pending.heartbeat),
        }
    }

    fn relayed(&self, pending: &PendingHeartbeat) -> RelayedHeartbeat {
        let heartbeat = &pending.heartbeat;
        match self.unchanged_since(pending) {
            Some(previous) => RelayedHeartbeat::Unchanged(UnchangedHeartbeat {
                machine: heartbeat.machine.clone(),
                agent_epoch: heartbeat.agent_epoch,
                previous_seq: previous.seq,
                seq: heartbeat.seq,
            }),
            None => RelayedHeartbeat::Full(heartbeat.clone().into()),
        }
    }

    /// The leader's results for a batch: the replies to its workers.
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
                    self.record_accepted(pending.heartbeat, commands.is_empty());
                    let orders = commands.into_iter().map(WorkerCommand::from).collect();
                    let commands = CommandBatch { token, agent_epoch: None, commands: orders };
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

    /// A heartbeat that was answered with commands is no base for later ones: the leader may have dropped what
    /// the worker still shows.
    fn record_accepted(&mut self, heartbeat: Heartbeat, without_commands: bool) {
        if without_commands {
            self.accepted.insert(heartbeat.machine.clone(), heartbeat);
        } else {
            self.accepted.remove(&heartbeat.machine);
        }
    }

    /// Heartbeats that the leader did not answer in time; later results for them are ignored.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<OverdueHeartbeat> {
        // Tickets rise with time.
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

    /// Forgets accepted heartbeats once there are more than `limit`: most are of workers that moved elsewhere.
    pub fn evict_beyond(&mut self, limit: usize) {
        if self.accepted.len() > limit {
            self.accepted.clear();
        }
    }
}

/// Whether a heartbeat says what the previous one said, so that it changes nothing but the time of the last
/// heartbeat. A task that ended, or a notice of reclamation, is sent in full each time.
fn is_unchanged(previous: &Heartbeat, heartbeat: &Heartbeat) -> bool {
    let running = |task: &TaskStatus| task.state != TaskState::Exited;
    (previous.agent_epoch, previous.token) == (heartbeat.agent_epoch, heartbeat.token)
        && previous.seq < heartbeat.seq
        && (previous.notice_s, heartbeat.notice_s) == (None, None)
        && previous.address == heartbeat.address
        && previous.tasks == heartbeat.tasks
        && heartbeat.tasks.iter().all(running)
}

#[cfg(test)]
mod tests;
