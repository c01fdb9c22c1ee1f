//! Heartbeats of a machine's worker, and the worker's lease.

use super::{AttemptSpec, JOB_FINISHED, Machine, MachineState, PlacedAttempt, TaskEvent};
use crate::constants::{DRIFT, WORKER_MARGIN};
use crate::ids::{Amount, Attempt, FencingToken, TaskId};
use crate::peers::heartbeat_relay::UnchangedHeartbeat;
use crate::wire::{Heartbeat, Priority, TaskState, TaskStatus};
use foldhash::{HashSet, HashSetExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The latest time, in seconds, that a notice of reclamation is taken to name.
const MAX_NOTICE_S: f64 = 1e6;

/// What became of a heartbeat.
#[derive(Debug)]
pub enum HeartbeatEffect {
    /// It is older than what is known, and ignored.
    Stale,
    /// The worker has seen a higher fencing token than ours.
    Superseded,
    /// It was recorded, and tells this.
    Recorded(Vec<TaskEvent>),
}

impl Machine {
    /// Records a heartbeat; `token` is this leader's.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        token: FencingToken,
        now: Instant,
    ) -> HeartbeatEffect {
        if heartbeat.token > token {
            return HeartbeatEffect::Superseded;
        }
        if (heartbeat.agent_epoch, heartbeat.seq) <= (self.agent_epoch, self.seq) {
            return HeartbeatEffect::Stale;
        }
        let mut events = Vec::new();
        if heartbeat.agent_epoch > self.agent_epoch {
            events.extend(self.begin_agent_epoch(heartbeat.agent_epoch, now));
        }
        self.seq = heartbeat.seq;
        self.token = self.token.max(heartbeat.token);
        if self.state == MachineState::Booting {
            self.state = MachineState::Up;
        }
        self.up_since.get_or_insert(now);
        let notice = |notice_s: f64| Duration::from_secs_f64(notice_s.clamp(0.0, MAX_NOTICE_S));
        self.reclaim_at = heartbeat.notice_s.map(|notice_s| now + notice(notice_s));
        self.note_heartbeat(now);
        let mut listed = HashSet::new();
        for status in &heartbeat.tasks {
            self.record_status(status, now, &mut listed, &mut events);
        }
        self.needs_full = heartbeat.tasks.iter().any(|task| task.state == TaskState::Exited);
        self.remove_vanished(&listed, &mut events);
        if self.token == token {
            self.confirmed = true;
        }
        HeartbeatEffect::Recorded(events)
    }

    /// The lease of a new agent epoch counts from its begin, which was after our last answer.
    fn begin_agent_epoch(&mut self, agent_epoch: u64, now: Instant) -> Vec<TaskEvent> {
        self.agent_epoch = agent_epoch;
        self.last_answered = self.last_answered.max(now);
        self.terminate_attempts()
    }

    fn note_heartbeat(&mut self, now: Instant) {
        self.commands_due = true;
        self.last_heartbeat = Some(now);
        self.unanswered_probe = None;
    }

    /// Records what a heartbeat says of one attempt.
    fn record_status(
        &mut self,
        status: &TaskStatus,
        now: Instant,
        listed: &mut HashSet<(TaskId, Attempt)>,
        events: &mut Vec<TaskEvent>,
    ) {
        let key = (status.task.clone(), status.attempt);
        let is_known = self.attempts.contains_key(&key);
        if status.attempt <= self.terminated_up_to && !is_known {
            return;
        }
        listed.insert(key.clone());
        if !is_known {
            events.push(TaskEvent::Found(status.task.clone(), status.attempt));
            self.usage = None;
            self.attempts.insert(key.clone(), found_attempt(status.state, now));
        }
        let Some(attempt) = self.attempts.get_mut(&key) else { return };
        attempt.is_reported = true;
        if attempt.state != status.state {
            self.usage = None;
        }
        attempt.state = status.state;
        if status.state == TaskState::Running {
            attempt.last_seen_running = Some(now);
        }
        match status.state {
            TaskState::Running if attempt.running_since.is_none() => {
                attempt.running_since = Some(now);
                // An attempt that runs when it is found began at some time before.
                attempt.observed_start = is_known.then_some(now);
                let image = attempt.image.clone();
                self.add_cached_image(image);
                events.push(TaskEvent::Running(key.0, key.1));
            }
            TaskState::Exited if !attempt.exit_handled => events.push(TaskEvent::Exited {
                task: key.0,
                attempt: key.1,
                why: status.exit_cause.clone().unwrap_or_default(),
                saved: status.saved.unwrap_or(false),
            }),
            _ => {}
        }
    }

    /// Removes reported attempts that the heartbeat does not list: they are not there any more. One that was never
    /// reported may still be on its way and stays booked.
    fn remove_vanished(
        &mut self,
        listed: &HashSet<(TaskId, Attempt)>,
        events: &mut Vec<TaskEvent>,
    ) {
        self.attempts.retain(|key, attempt| {
            if !attempt.is_reported || listed.contains(key) {
                return true;
            }
            if attempt.starts_in_flight > 0 {
                self.needs_full = true;
                return true;
            }
            self.usage = None;
            events.push(TaskEvent::Vanished(key.0.clone(), key.1, attempt.observed_run_time()));
            false
        });
    }

    /// Records a heartbeat that says what an earlier one said. False: that one is not what is known of the machine,
    /// so the complete heartbeat is needed.
    pub fn record_unchanged_heartbeat(
        &mut self,
        unchanged: &UnchangedHeartbeat,
        token: FencingToken,
        now: Instant,
    ) -> bool {
        let UnchangedHeartbeat { agent_epoch, previous_seq, seq, .. } = *unchanged;
        let is_known =
            (self.agent_epoch, self.seq) == (agent_epoch, previous_seq) && previous_seq < seq;
        let is_booting = self.state == MachineState::Booting;
        if !is_known || self.needs_full || self.token != token || is_booting {
            return false;
        }
        self.seq = seq;
        self.note_heartbeat(now);
        for attempt in self.attempts.values_mut() {
            if attempt.is_reported && attempt.state == TaskState::Running {
                attempt.last_seen_running = Some(now);
            }
        }
        self.confirmed = true;
        true
    }

    /// What an earlier leader's attempt that was found here needs is known by now. If it runs or ran, its image is
    /// here.
    pub fn adopt_attempt(&mut self, key: &(TaskId, Attempt)) {
        self.usage = None;
        let Some(attempt) = self.attempts.get(key) else { return };
        if attempt.running_since.is_some() {
            self.add_cached_image(attempt.image.clone());
        }
    }

    /// The agent epoch is over, or the machine is gone: none of its attempts exists any more.
    pub fn terminate_attempts(&mut self) -> Vec<TaskEvent> {
        self.usage = None;
        let attempts = std::mem::take(&mut self.attempts);
        attempts
            .into_iter()
            .filter(|(_, attempt)| !attempt.exit_handled)
            .map(|((task, attempt), placed)| {
                TaskEvent::Vanished(task, attempt, placed.observed_run_time())
            })
            .collect()
    }

    fn add_cached_image(&mut self, image: Arc<str>) {
        if !image.is_empty() && !self.images.contains(&image) {
            self.images.push(image);
        }
    }

    /// Whether its worker must lose its lease: the start of a job that finished may be held back on its way there,
    /// and could be carried out, however late, as long as the agent epoch lasts.
    pub fn must_lose_lease(&self) -> bool {
        self.attempts.values().any(|attempt| {
            attempt.starts_in_flight > 0
                && !attempt.is_reported
                && attempt.stopped_for(JOB_FINISHED)
        })
    }

    /// Whether the worker's lease has surely run out, if no other controller answered it after `answered_by_others`.
    pub fn is_lease_expired(
        &self,
        answered_by_others: Option<Instant>,
        lease: Duration,
        now: Instant,
    ) -> bool {
        let last = answered_by_others.map_or(self.last_answered, |at| at.max(self.last_answered));
        now > last + lease.mul_f64(1.0 + DRIFT) + WORKER_MARGIN
    }

    /// Time since the last heartbeat, or since this leader knows the machine.
    pub fn time_since_heartbeat(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_heartbeat.unwrap_or(self.known_since))
    }
}

/// An attempt that an earlier leader placed; what it needs is not known yet.
fn found_attempt(state: TaskState, now: Instant) -> PlacedAttempt {
    let spec = AttemptSpec {
        need: Amount::default(),
        team: usize::MAX,
        urgency: Priority::Production,
        image: Arc::from(""),
    };
    PlacedAttempt { state, ..PlacedAttempt::new(spec, now) }
}
