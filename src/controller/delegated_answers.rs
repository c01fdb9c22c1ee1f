//! Responses to workers on behalf of a leader that is unreachable.

use super::Controller;
use super::worker_heartbeats::redirect;
use crate::http::Response;
use crate::ids::{FencingToken, MachineId};
use crate::leadership::cancellation_acks::CANCELLATION_MARGIN;
use crate::wire::{self, CommandBatch, Heartbeat, TaskState, TaskStatus, WorkerCommand};
use crate::workers::command_log::{CommandRoute, log_commands};
use crate::workers::machine::MAX_COMMANDS_PER_ANSWER;
use std::time::Duration;
use tokio::time::Instant;

impl Controller {
    /// Responds to a heartbeat that can't be relayed: on behalf of the leader, or with a redirect to it.
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
            _ => Response::retry_later(503),
        }
    }

    /// Returns whether the store data is recent enough to answer any worker: a task that was cancelled since then still
    /// stops within `cancel_s`, even if its worker keeps its lease for another `lease_s`.
    pub(super) fn has_recent_store_data(&self, now: Instant) -> bool {
        let workers = &self.settings.platform.params.workers;
        let slack = Duration::from_secs_f64((workers.cancel_s - workers.lease_s).max(0.0));
        let max_age = slack.saturating_sub(CANCELLATION_MARGIN);
        self.store.synced_at.is_some_and(|at| now.saturating_duration_since(at) <= max_age)
    }

    /// Returns the commands that renew the lease of a worker whose leader is unreachable. They start no tasks, and stop
    /// tasks of jobs that are known to be cancelled or finished, since those could otherwise run beyond the deadline of
    /// the cancellation. This requires recent data from the store or, for workers of this zone, a controller lease
    /// before its `answer_deadline`: until then, cancellations of jobs in this zone are committed either with this
    /// controller's acknowledgement or so late that the workers' leases expire before the tasks must have stopped.
    pub(super) fn answer_for_leader(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Option<CommandBatch> {
        if !self.knows_cancellations_of(heartbeat, now) {
            return None;
        }
        let leader_token = self.delegated_token(&heartbeat.machine, now)?;
        let token = FencingToken::for_answer(leader_token, heartbeat.token);
        let stop = |task: &TaskStatus| WorkerCommand::Stop {
            task: task.task.clone(),
            attempt: task.attempt,
            grace_s: 0.0,
        };
        let must_stop = |task: &&TaskStatus| {
            task.state != TaskState::Exited && self.is_finished_or_cancelling(task)
        };
        let stops = heartbeat
            .tasks
            .iter()
            .filter(must_stop)
            .take(MAX_COMMANDS_PER_ANSWER)
            .map(stop)
            .collect();
        tracing::debug!(machine = %heartbeat.machine, fencing_token = %token, "answered on behalf of the leader");
        let batch = CommandBatch { token, agent_epoch: None, commands: stops };
        log_commands(&heartbeat.machine, heartbeat.agent_epoch, &batch, CommandRoute::Delegated);
        Some(batch)
    }

    fn knows_cancellations_of(&self, heartbeat: &Heartbeat, now: Instant) -> bool {
        let lease_until = self.controller_lease.answer_deadline(self.store.synced_at);
        let has_lease = lease_until.is_some_and(|until| now < until);
        self.has_recent_store_data(now)
            || has_lease && heartbeat.zone == self.settings.platform.location
    }

    fn is_finished_or_cancelling(&self, task: &TaskStatus) -> bool {
        let job = &task.task.job;
        let is_finished = |id| self.store.cache.jobs.get(id).is_some_and(|job| job.is_finished());
        self.api.acknowledged_cancellations.contains(job) || is_finished(job)
    }

    /// Returns the fencing token under which this controller may answer the machine without being the leader.
    fn delegated_token(&mut self, machine: &MachineId, now: Instant) -> Option<FencingToken> {
        let newest_token = self.store.cache.token.value;
        let is_isolated = !self.peers.is_any_peer_reachable(now)
            || self.store.is_unavailable(now) && self.later_leader(now).is_none();
        // A former leader that has acknowledged a later leader's grant follows that grant and its revocations.
        let latest_token = newest_token.max(self.delegated_lease.acknowledged().token);
        match &mut self.scheduler {
            // A leader that lost leadership answers like its followers, but only if no peer is reachable, or if the
            // store is unavailable and no later leader is known: otherwise it would keep workers that other controllers
            // can serve.
            Some(scheduler) if scheduler.token() >= latest_token => {
                if !is_isolated {
                    return None;
                }
                let token = scheduler.answer_for_leader(machine, now)?;
                // A successor learns from this record that the machine's lease was renewed.
                self.delegated_lease.record_answer(machine, now);
                Some(token)
            }
            _ => self.delegated_lease.answer(machine, newest_token, now),
        }
    }
}
