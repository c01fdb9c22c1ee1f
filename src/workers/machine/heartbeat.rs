//! Processing of heartbeats, and expiry of the worker's lease.

use super::{AttemptSpec, JOB_FINISHED, Machine, MachineState, PlacedAttempt, TaskEvent};
use crate::constants::{MAX_CLOCK_DRIFT, WORKER_LEASE_MARGIN};
use crate::ids::{Amount, Attempt, FencingToken, TaskId};
use crate::peers::heartbeat_relay::UnchangedHeartbeat;
use crate::wire::{Heartbeat, Priority, TaskState, TaskStatus};
use foldhash::{HashSet, HashSetExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum reclamation notice in seconds; longer notices are clamped to it.
const MAX_NOTICE_S: f64 = 1e6;

/// Result of recording a heartbeat.
#[derive(Debug)]
pub enum HeartbeatEffect {
    /// Ignored: it is not newer than the last recorded heartbeat.
    Stale,
    /// Ignored: the worker has seen a higher fencing token than this leader's.
    Superseded,
    /// Recorded, with the resulting changes of attempts.
    Recorded(Vec<TaskEvent>),
}

impl Machine {
    /// Records a heartbeat; `token` is this leader's fencing token.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        token: FencingToken,
        now: Instant,
    ) -> HeartbeatEffect {
        if heartbeat.token > token && !heartbeat.token.is_of_leader(token) {
            return HeartbeatEffect::Superseded;
        }
        if (heartbeat.agent_epoch, heartbeat.seq) <= (self.agent_epoch, self.heartbeat_seq) {
            return HeartbeatEffect::Stale;
        }
        let mut events = Vec::new();
        if heartbeat.agent_epoch > self.agent_epoch {
            events.extend(self.begin_agent_epoch(heartbeat.agent_epoch, now));
        }
        self.heartbeat_seq = heartbeat.seq;
        self.fence.observe(heartbeat.token);
        if self.state == MachineState::Booting {
            self.state = MachineState::Up;
        }
        self.up_since.get_or_insert(now);
        let clamped_notice =
            |notice_s: f64| Duration::from_secs_f64(notice_s.clamp(0.0, MAX_NOTICE_S));
        self.reclaim_at = heartbeat.notice_s.map(|notice_s| now + clamped_notice(notice_s));
        self.record_heartbeat_time(now);
        let mut listed = HashSet::new();
        for status in &heartbeat.tasks {
            self.record_status(status, now, &mut listed, &mut events);
        }
        self.needs_full_heartbeat =
            heartbeat.tasks.iter().any(|task| task.state == TaskState::Exited);
        self.remove_vanished(&listed, &mut events);
        if self.fence.reported() >= token {
            self.confirmed = true;
        }
        HeartbeatEffect::Recorded(events)
    }

    /// Starts a new agent epoch. Its lease began after this leader's last answer, so it is counted from now on.
    fn begin_agent_epoch(&mut self, agent_epoch: u64, now: Instant) -> Vec<TaskEvent> {
        self.agent_epoch = agent_epoch;
        self.last_answered = self.last_answered.max(now);
        self.terminate_attempts()
    }

    fn record_heartbeat_time(&mut self, now: Instant) {
        self.commands_due = true;
        self.last_heartbeat = Some(now);
        self.unanswered_probe = None;
    }

    /// Records the status of one attempt in a heartbeat.
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
                // The start of an attempt that is already running when it is found was not observed.
                attempt.observed_start = is_known.then_some(now);
                let image = attempt.image.clone();
                self.add_cached_image(image);
                events.push(TaskEvent::Running(key.0, key.1));
            }
            TaskState::Exited if !attempt.exit_handled => events.push(TaskEvent::Exited {
                task: key.0,
                attempt: key.1,
                exit_cause: status.exit_cause.clone().unwrap_or_default(),
                saved: status.saved.unwrap_or(false),
            }),
            _ => {}
        }
    }

    /// Removes reported attempts that the heartbeat does not list, since they no longer exist. The start of an attempt
    /// that was never reported may still be in flight, so the attempt stays booked.
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
                self.needs_full_heartbeat = true;
                return true;
            }
            self.usage = None;
            events.push(TaskEvent::Vanished(key.0.clone(), key.1, attempt.observed_run_time()));
            false
        });
    }

    /// Records a heartbeat with the same content as an earlier one. Returns false if the complete heartbeat is needed,
    /// because the earlier one is not the last that was recorded here or doesn't suffice.
    pub fn record_unchanged_heartbeat(
        &mut self,
        unchanged: &UnchangedHeartbeat,
        token: FencingToken,
        now: Instant,
    ) -> bool {
        let UnchangedHeartbeat { agent_epoch, previous_seq, seq, .. } = *unchanged;
        let is_known = (self.agent_epoch, self.heartbeat_seq) == (agent_epoch, previous_seq)
            && previous_seq < seq;
        let is_booting = self.state == MachineState::Booting;
        if !is_known || self.needs_full_heartbeat || self.fence.reported() < token || is_booting {
            return false;
        }
        self.heartbeat_seq = seq;
        self.record_heartbeat_time(now);
        for attempt in self.attempts.values_mut() {
            if attempt.is_reported && attempt.state == TaskState::Running {
                attempt.last_seen_running = Some(now);
            }
        }
        self.confirmed = true;
        true
    }

    /// Completes the adoption of an earlier leader's attempt, once the caller has set its resources and image. If the
    /// attempt runs or ran, its image is cached on the machine.
    pub fn adopt_attempt(&mut self, key: &(TaskId, Attempt)) {
        self.usage = None;
        let Some(attempt) = self.attempts.get(key) else { return };
        if attempt.running_since.is_some() {
            self.add_cached_image(attempt.image.clone());
        }
    }

    /// Removes all attempts, because the agent epoch has ended or the machine has terminated.
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

    /// Returns whether its worker's lease must not be renewed: the start of a task of a finished job may be delayed on
    /// its way to the worker, and could be executed at any time while the agent epoch lasts.
    pub fn must_lose_lease(&self) -> bool {
        self.attempts.values().any(|attempt| {
            attempt.starts_in_flight > 0
                && !attempt.is_reported
                && attempt.stopped_for(JOB_FINISHED)
        })
    }

    /// Returns whether the worker's lease has certainly expired, provided that no other controller answered the worker
    /// after `answered_by_others`.
    pub fn is_lease_expired(
        &self,
        answered_by_others: Option<Instant>,
        lease: Duration,
        now: Instant,
    ) -> bool {
        let last_renewal =
            answered_by_others.map_or(self.last_answered, |at| at.max(self.last_answered));
        now > last_renewal + lease.mul_f64(1.0 + MAX_CLOCK_DRIFT) + WORKER_LEASE_MARGIN
    }

    /// Returns the time since the last heartbeat, or since this leader first knew of the machine if there was none.
    pub fn time_since_heartbeat(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_heartbeat.unwrap_or(self.known_since))
    }
}

/// Returns an attempt placed by an earlier leader, or forgotten by this one in an answer that was lost. Its resource
/// request, team, priority and image are not known yet. Direct calls with its start carry lower tokens than the next
/// answer.
fn found_attempt(state: TaskState, now: Instant) -> PlacedAttempt {
    let spec = AttemptSpec {
        request: Amount::default(),
        team: usize::MAX,
        priority: Priority::Production,
        image: Arc::from(""),
    };
    PlacedAttempt { state, ..PlacedAttempt::new(spec, now) }
}
