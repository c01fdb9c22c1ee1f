//! Reports that other controllers take and pass on to the leader, and the answers that come back.
//!
//! A controller that takes a report holds its request open, passes the report on in a batch, and answers with
//! what the leader says to just this report. It decides nothing: *every answer that renews a lease is the leader's
//! own, given after the report was sent*, so whatever happens on the way the leader's own record of its last answer
//! bounds the worker's lease. A report that says what the one before it said travels as its number alone.

use crate::constants::RELAY_FRAME;
use crate::ids::{Attempt, ControllerId, FencingToken, MachineId, TaskId};
use crate::peers::membership::Membership;
use crate::wire::{CommandBatch, Heartbeat, TaskState, TaskStatus, WorkerCommand};
use foldhash::{HashMap, HashMapExt};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// A controller passes reports on for so long after the leader last permitted it, three of its messages.
pub const RELAY_TERM: Duration = Duration::from_millis(1600);
/// Where reports were passed on within this time, a new leader is waited for: it tells within a second, and thousands
/// of workers sent straight to it would use up its sockets.
pub const RELAY_RESUMES_WITHIN: Duration = Duration::from_secs(12);
/// A report without an answer of the leader is dealt with otherwise after this long: by then a leader that is out of
/// reach counts as such ([`DELEGATION_AFTER`]), and the worker, which waits for 4 s, still does.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(1700);
/// Reports that say nothing new wait so long for others to go with them, and those that do.
pub const RELAY_PAUSE: Duration = Duration::from_millis(60);
pub const RELAY_PAUSE_NEWS: Duration = Duration::from_millis(12);
/// Count. Batches under way to the leader at the most: one that falls behind gets fewer and larger ones.
pub const RELAY_BATCHES: usize = 8;

/// A report in the form that travels between controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FullHeartbeat {
    machine: MachineId,
    address: String,
    flavor: String,
    zone: String,
    spot: bool,
    agent_epoch: u64,
    seq: u64,
    token: FencingToken,
    notice_s: Option<f64>,
    tasks: Vec<RelayedTaskStatus>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RelayedTaskStatus {
    task: TaskId,
    attempt: Attempt,
    state: TaskState,
    why: Option<String>,
    saved: Option<bool>,
}

impl FullHeartbeat {
    /// Bytes that it takes in a frame at the most.
    pub fn size(&self) -> usize {
        REPORT_BYTES + self.tasks.len() * TASK_BYTES
    }
}

impl From<Heartbeat> for FullHeartbeat {
    fn from(report: Heartbeat) -> FullHeartbeat {
        let task = |shown: TaskStatus| RelayedTaskStatus {
            task: shown.task,
            attempt: shown.attempt,
            state: shown.state,
            why: shown.why,
            saved: shown.saved,
        };
        FullHeartbeat {
            machine: report.machine,
            address: report.address,
            flavor: report.flavor,
            zone: report.zone,
            spot: report.spot,
            agent_epoch: report.agent_epoch,
            seq: report.seq,
            token: report.token,
            notice_s: report.notice_s,
            tasks: report.tasks.into_iter().map(task).collect(),
        }
    }
}

impl From<FullHeartbeat> for Heartbeat {
    fn from(report: FullHeartbeat) -> Heartbeat {
        let task = |shown: RelayedTaskStatus| TaskStatus {
            task: shown.task,
            attempt: shown.attempt,
            state: shown.state,
            why: shown.why,
            saved: shown.saved,
        };
        Heartbeat {
            machine: report.machine,
            address: report.address,
            flavor: report.flavor,
            zone: report.zone,
            spot: report.spot,
            agent_epoch: report.agent_epoch,
            seq: report.seq,
            token: report.token,
            notice_s: report.notice_s,
            tasks: report.tasks.into_iter().map(task).collect(),
        }
    }
}

/// One report of a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RelayedHeartbeat {
    Full(FullHeartbeat),
    /// The same as the report numbered `before` in the same session, under the number `seq`.
    Same {
        machine: MachineId,
        agent_epoch: u64,
        before: u64,
        seq: u64,
    },
}

/// An order in the form that travels between controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RelayedCommand {
    Start(TaskId, Attempt),
    Stop(TaskId, Attempt, f64),
    Forget(TaskId, Attempt),
}

impl From<WorkerCommand> for RelayedCommand {
    fn from(order: WorkerCommand) -> RelayedCommand {
        match order {
            WorkerCommand::Start { task, attempt } => RelayedCommand::Start(task, attempt),
            WorkerCommand::Stop { task, attempt, grace_s } => {
                RelayedCommand::Stop(task, attempt, grace_s)
            }
            WorkerCommand::Forget { task, attempt } => RelayedCommand::Forget(task, attempt),
        }
    }
}

impl From<RelayedCommand> for WorkerCommand {
    fn from(order: RelayedCommand) -> WorkerCommand {
        match order {
            RelayedCommand::Start(task, attempt) => WorkerCommand::Start { task, attempt },
            RelayedCommand::Stop(task, attempt, grace_s) => {
                WorkerCommand::Stop { task, attempt, grace_s }
            }
            RelayedCommand::Forget(task, attempt) => WorkerCommand::Forget { task, attempt },
        }
    }
}

/// What the leader says to a report of a batch. Reports that it does not mention are accepted without orders.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    CommandBatch(Vec<RelayedCommand>),
    /// What it knows of the worker is older or newer than the report meant: it has to see all of it.
    SendFull,
}

/// The leader's leave to pass reports on to it.
#[derive(Debug)]
struct Term {
    token: FencingToken,
    leader: ControllerId,
    members: Membership,
    received: Instant,
}

/// A report whose worker waits for the answer.
#[derive(Debug)]
struct Held {
    report: Heartbeat,
    taken: Instant,
    /// It must not be shortened.
    full: bool,
}

/// Reports that are passed on, at the controller that took them.
#[derive(Debug)]
pub struct HeartbeatRelay {
    term: Option<Term>,
    /// By the ticket of the request.
    held: BTreeMap<u64, Held>,
    /// Not sent yet, since when, and whether any of them says something new.
    queue: Vec<u64>,
    queued_at: Option<Instant>,
    news: bool,
    /// Batches without an answer.
    sent: BTreeMap<u64, Vec<u64>>,
    next_batch: u64,
    /// The last report of each worker that the leader accepted without any order.
    known: HashMap<MachineId, Heartbeat>,
}

/// A report that was held for too long, with the ticket of its request.
#[derive(Debug)]
pub struct Overdue {
    pub ticket: u64,
    pub report: Heartbeat,
}

/// A batch on its way to the leader.
#[derive(Debug, PartialEq)]
pub struct Batch {
    pub leader: ControllerId,
    pub token: FencingToken,
    pub number: u64,
    pub reports: Vec<RelayedHeartbeat>,
}

/// Bytes. What a report takes in a frame at the most, but for its tasks, and each task.
const REPORT_BYTES: usize = 200;
const TASK_BYTES: usize = 80;

fn size(report: &Heartbeat) -> usize {
    REPORT_BYTES + report.tasks.len() * TASK_BYTES
}

/// Whether a report says what the one before it said, so that hearing it again changes nothing but when the worker
/// was heard. A task that ended is told in full until it is forgotten, and so is a notice that runs out.
fn says_the_same(before: &Heartbeat, report: &Heartbeat) -> bool {
    let running = |task: &TaskStatus| task.state != TaskState::Exited;
    (before.agent_epoch, before.token) == (report.agent_epoch, report.token)
        && before.seq < report.seq
        && (before.notice_s, report.notice_s) == (None, None)
        && before.address == report.address
        && before.tasks == report.tasks
        && report.tasks.iter().all(running)
}

impl HeartbeatRelay {
    /// Batches are numbered from there on, so that answers to a former life of this process match none.
    pub fn new(first_batch: u64) -> HeartbeatRelay {
        HeartbeatRelay {
            term: None,
            held: BTreeMap::new(),
            queue: Vec::new(),
            queued_at: None,
            news: false,
            sent: BTreeMap::new(),
            next_batch: first_batch,
            known: HashMap::new(),
        }
    }

    /// A leader tells that reports may be passed on to it, and who does so.
    pub fn on_term(
        &mut self,
        token: FencingToken,
        leader: ControllerId,
        members: Membership,
        now: Instant,
    ) {
        if self.term.as_ref().is_some_and(|term| term.token > token) {
            return;
        }
        if self.term.as_ref().is_none_or(|term| term.token < token) {
            // Nothing that was said to its predecessor counts, and no answer of that one is waited for.
            self.known.clear();
            let unanswered = std::mem::take(&mut self.sent);
            self.queue.extend(unanswered.into_values().flatten());
            self.held.values_mut().for_each(|held| held.full = true);
            self.queued_at = self.queued_at.or_else(|| (!self.queue.is_empty()).then_some(now));
        }
        self.term = Some(Term { token, leader, members, received: now });
    }

    fn term(&self, newest: FencingToken, now: Instant) -> Option<&Term> {
        self.term.as_ref().filter(|term| {
            term.token >= newest
                && !term.members.0.is_empty()
                && now.saturating_duration_since(term.received) < RELAY_TERM
        })
    }

    /// The members under a term that holds, where `newest` is the latest token that is known.
    pub fn members(&self, newest: FencingToken, now: Instant) -> Option<&Membership> {
        self.term(newest, now).map(|term| &term.members)
    }

    /// How long ago the leader with that token last permitted that reports are passed on, if it did.
    pub fn lapsed(&self, token: FencingToken, now: Instant) -> Option<Duration> {
        let term = self.term.as_ref()?;
        (term.token == token && !term.members.0.is_empty())
            .then(|| now.saturating_duration_since(term.received))
    }

    /// Whether reports were passed on a moment ago: the next leader may say so, too.
    pub fn may_resume(&self, now: Instant) -> bool {
        self.term.as_ref().is_some_and(|term| {
            !term.members.0.is_empty()
                && now.saturating_duration_since(term.received) < RELAY_RESUMES_WITHIN
        })
    }

    /// Takes a report whose worker waits under this ticket; gives it back if it is too large to be passed on.
    pub fn hold(&mut self, ticket: u64, report: Heartbeat, now: Instant) -> Option<Heartbeat> {
        if size(&report) > RELAY_FRAME {
            return Some(report);
        }
        let held = Held { report, taken: now, full: false };
        let news = !self.is_same(&held);
        self.held.insert(ticket, held);
        self.enqueue(ticket, news, now);
        None
    }

    fn enqueue(&mut self, ticket: u64, news: bool, now: Instant) {
        self.queue.push(ticket);
        self.news |= news;
        self.queued_at.get_or_insert(now);
    }

    /// When the next batch is due, or a report overdue.
    pub fn next_due(&self) -> Option<Instant> {
        let batch = self.queued_at.map(|at| at + self.pause());
        let oldest = self.held.values().next().map(|held| held.taken + RELAY_TIMEOUT);
        batch.into_iter().chain(oldest).min()
    }

    /// Reports that change something wait less for others to go with them.
    fn pause(&self) -> Duration {
        if self.news { RELAY_PAUSE_NEWS } else { RELAY_PAUSE }
    }

    fn is_same(&self, held: &Held) -> bool {
        let before = self.known.get(&held.report.machine);
        !held.full && before.is_some_and(|before| says_the_same(before, &held.report))
    }

    /// What is due to be sent.
    pub fn take_batches(&mut self, newest: FencingToken, now: Instant) -> Vec<Batch> {
        let due = self.queued_at.is_some_and(|at| now >= at + self.pause());
        if !due || self.sent.len() >= RELAY_BATCHES {
            return Vec::new();
        }
        let Some(term) = self.term(newest, now) else { return Vec::new() };
        let (leader, token) = (term.leader.clone(), term.token);
        let mut batches = Vec::new();
        let mut tickets = std::mem::take(&mut self.queue).into_iter().peekable();
        while tickets.peek().is_some() {
            let (mut reports, mut inside, mut bytes) = (Vec::new(), Vec::new(), 0);
            while let Some(ticket) = tickets.peek().copied() {
                let Some(held) = self.held.get(&ticket) else {
                    tickets.next();
                    continue;
                };
                let same = self.is_same(held);
                let more = if same { REPORT_BYTES } else { size(&held.report) };
                if bytes + more > RELAY_FRAME {
                    break;
                }
                bytes += more;
                reports.push(self.relayed(held, same));
                inside.push(ticket);
                tickets.next();
            }
            if reports.is_empty() {
                break;
            }
            self.next_batch += 1;
            self.sent.insert(self.next_batch, inside);
            let (leader, number) = (leader.clone(), self.next_batch);
            batches.push(Batch { leader, token, number, reports });
        }
        (self.queued_at, self.news) = (None, false);
        batches
    }

    fn relayed(&self, held: &Held, same: bool) -> RelayedHeartbeat {
        let report = &held.report;
        match self.known.get(&report.machine).filter(|_| same) {
            Some(before) => RelayedHeartbeat::Same {
                machine: report.machine.clone(),
                agent_epoch: report.agent_epoch,
                before: before.seq,
                seq: report.seq,
            },
            None => RelayedHeartbeat::Full(report.clone().into()),
        }
    }

    /// The leader's answer to a batch: what to tell which worker.
    pub fn on_answers(
        &mut self,
        token: FencingToken,
        number: u64,
        verdicts: Vec<(u32, Verdict)>,
        now: Instant,
    ) -> Vec<(u64, CommandBatch)> {
        if self.term.as_ref().is_none_or(|term| term.token != token) {
            return Vec::new();
        }
        let Some(tickets) = self.sent.remove(&number) else { return Vec::new() };
        let mut verdicts: BTreeMap<u32, Verdict> = verdicts.into_iter().collect();
        let mut answers = Vec::new();
        for (index, ticket) in (0u32..).zip(tickets) {
            let verdict = verdicts.remove(&index).unwrap_or(Verdict::CommandBatch(Vec::new()));
            match verdict {
                Verdict::SendFull => {
                    if let Some(held) = self.held.get_mut(&ticket) {
                        held.full = true;
                        self.enqueue(ticket, true, now);
                    }
                }
                Verdict::CommandBatch(orders) => {
                    let Some(held) = self.held.remove(&ticket) else { continue };
                    self.remember(held.report, orders.is_empty());
                    let orders = orders.into_iter().map(WorkerCommand::from).collect();
                    answers.push((ticket, CommandBatch { token, agent_epoch: None, orders }));
                }
            }
        }
        answers
    }

    fn remember(&mut self, report: Heartbeat, accepted: bool) {
        if accepted {
            self.known.insert(report.machine.clone(), report);
        } else {
            self.known.remove(&report.machine);
        }
    }

    /// Reports that nobody answered in time; whatever comes later to them is passed over.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<Overdue> {
        let late = |held: &Held| now.saturating_duration_since(held.taken) >= RELAY_TIMEOUT;
        // Tickets rise with time.
        let oldest = self.held.iter().take_while(|(_, held)| late(held));
        let overdue: Vec<u64> = oldest.map(|(ticket, _)| *ticket).collect();
        if overdue.is_empty() {
            return Vec::new();
        }
        self.queue.retain(|ticket| !overdue.contains(ticket));
        if self.queue.is_empty() {
            self.queued_at = None;
        }
        let held = &self.held;
        self.sent.retain(|_, tickets| {
            tickets.iter().any(|ticket| held.contains_key(ticket) && !overdue.contains(ticket))
        });
        let mut reports = Vec::new();
        for ticket in overdue {
            let Some(held) = self.held.remove(&ticket) else { continue };
            self.known.remove(&held.report.machine);
            reports.push(Overdue { ticket, report: held.report });
        }
        reports
    }

    /// Forgets workers that report elsewhere by now, where there are many more than are held.
    pub fn forget_beyond(&mut self, most: usize) {
        if self.known.len() > most {
            self.known.clear();
        }
    }
}

#[cfg(test)]
mod tests;
