//! A follower's responses to workers, on behalf of a leader that is out of reach.

use super::Controller;
use super::worker_heartbeats::redirect;
use crate::http::Response;
use crate::ids::{FencingToken, MachineId};
use crate::leadership::cancellation_acks::CANCELLATION_MARGIN;
use crate::wire::{self, CommandBatch, Heartbeat, TaskState, TaskStatus, WorkerCommand};
use crate::workers::machine::MAX_COMMANDS_PER_ANSWER;
use std::time::Duration;
use tokio::time::Instant;

impl Controller {
    /// A controller that doesn't lead and can't relay the heartbeat responds for the leader, or names it.
    pub(super) fn respond_without_leader(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Response {
        if let Some(commands) = self.answer_for_leader(heartbeat, now) {
            return Response::with(200, wire::encode(&commands));
        }
        let stored_leader = self.store.cache.leader.as_ref().map(|leader| &leader.value.controller);
        match self.later_leader(now).or(stored_leader) {
            Some(leader) if leader != self.name() => redirect(leader),
            _ => Response::later(503),
        }
    }

    /// Whether news of the store are so recent that any worker may be answered: whatever was cancelled since still
    /// has its time.
    pub(super) fn has_news(&self, now: Instant) -> bool {
        let workers = &self.settings.platform.params.workers;
        let spare = Duration::from_secs_f64((workers.cancel_s - workers.lease_s).max(0.0));
        let max_age = spare.saturating_sub(CANCELLATION_MARGIN);
        self.store.synced_at.is_some_and(|at| now.saturating_duration_since(at) <= max_age)
    }

    /// The commands for a worker whose leader is out of reach, which keep its lease. They start nothing, and stop what
    /// is known to be cancelled: else tasks could outlive their cancellation. So this takes recent news of the store
    /// or, for the workers of this zone, a controller lease: nothing was cancelled since without our acknowledgement.
    pub(super) fn answer_for_leader(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Option<CommandBatch> {
        if !self.knows_cancellations_of(heartbeat, now) {
            return None;
        }
        let token = self.delegated_token(&heartbeat.machine, now)?;
        let stop = |task: &TaskStatus| WorkerCommand::Stop {
            task: task.task.clone(),
            attempt: task.attempt,
            grace_s: 0.0,
        };
        let is_stopped = |task: &&TaskStatus| {
            task.state != TaskState::Exited && self.is_finished_or_cancelling(task)
        };
        let orders = heartbeat
            .tasks
            .iter()
            .filter(is_stopped)
            .take(MAX_COMMANDS_PER_ANSWER)
            .map(stop)
            .collect();
        tracing::debug!(machine = %heartbeat.machine, fencing_token = %token, "answered for the leader");
        Some(CommandBatch { token, agent_epoch: None, orders })
    }

    fn knows_cancellations_of(&self, heartbeat: &Heartbeat, now: Instant) -> bool {
        let lease_until = self.controller_lease.answer_deadline(self.store.synced_at);
        let has_lease = lease_until.is_some_and(|until| now < until);
        self.has_news(now) || has_lease && heartbeat.zone == self.settings.platform.location
    }

    fn is_finished_or_cancelling(&self, task: &TaskStatus) -> bool {
        let job = &task.task.job;
        let is_finished = |id| self.store.cache.jobs.get(id).is_some_and(|job| job.is_finished());
        self.api.acknowledged_cancellations.contains(job) || is_finished(job)
    }

    /// The fencing token under which this controller may answer the machine without leadership.
    fn delegated_token(&mut self, machine: &MachineId, now: Instant) -> Option<FencingToken> {
        let newest = self.store.cache.token.value;
        let is_alone = !self.peers.is_any_reachable(now)
            || self.store.is_unavailable(now) && self.later_leader(now).is_none();
        // Whoever holds a later leader's grant keeps to it, and to its revocations, though it led itself.
        let latest = newest.max(self.delegated_lease.acknowledged().token);
        match &mut self.scheduler {
            // A leader that lost leadership answers as its followers do, but only where it is alone or out of the
            // store's reach: else it would hold workers that others can serve.
            Some(scheduler) if scheduler.token() >= latest => {
                if !is_alone {
                    return None;
                }
                let token = scheduler.answer_for_leader(machine, now)?;
                // A successor has to learn of it.
                self.delegated_lease.record_answer(machine, now);
                Some(token)
            }
            _ => self.delegated_lease.answer(machine, newest, now),
        }
    }
}
