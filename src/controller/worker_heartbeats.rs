//! Reports of workers: answered by the leader, or on its behalf while it is out of reach.

use super::*;
use crate::leadership::controller_lease::DELEGATION_MARGIN;
use crate::leadership::delegation::DELEGATION_AFTER;
use crate::workers::machine::MAX_COMMANDS_PER_ANSWER;

impl Controller {
    /// A worker's report; None: its answer comes later.
    pub(super) fn on_hello(&mut self, ticket: u64, body: &[u8], now: Instant) -> Option<Response> {
        let Ok(report) = wire::decode::<Heartbeat>(body) else { return Some(Response::empty(400)) };
        if now > self.woke + STOOD_STILL {
            self.worker_here = Some(now);
        }
        // Checked anew for each answer: time has passed since the last look.
        if self.may_act(now) && self.scheduler.is_some() {
            return Some(self.on_report_as_leader(&report, now));
        }
        self.share_report(ticket, report, now)
    }

    /// The leader answers, or sends the worker to the controller that takes its reports.
    pub(super) fn on_report_as_leader(&mut self, report: &Heartbeat, now: Instant) -> Response {
        if let Some(other) = self.other_owner(report, now) {
            return redirect(&other);
        }
        let Some(scheduler) = &mut self.scheduler else { return Response::later(503) };
        match scheduler.on_report(report, &self.state.cache, now) {
            Some(orders) => Response::with(200, wire::encode(&orders)),
            None => {
                tracing::info!(machine = %report.machine, "a worker has seen a higher token");
                self.step_down(now);
                Response::later(503)
            }
        }
    }

    /// Whoever does not lead and can't pass the report on answers for the leader, or names it.
    pub(super) fn answer_without_leader(&mut self, report: &Heartbeat, now: Instant) -> Response {
        if let Some(orders) = self.answer_for_leader(report, now) {
            return Response::with(200, wire::encode(&orders));
        }
        let leader = self.state.cache.leader.as_ref().map(|leader| &leader.value.controller);
        match self.later_leader(now).or(leader) {
            Some(node) if *node != self.settings.platform.host_name => redirect(node),
            _ => Response::later(503),
        }
    }

    /// How old news of the store may be for any worker to be answered: whatever was cancelled since still has
    /// its time.
    pub(super) fn has_news(&self, now: Instant) -> bool {
        let workers = &self.settings.platform.params.workers;
        let blind = Duration::from_secs_f64((workers.cancel_s - workers.lease_s).max(0.0));
        let within = blind.saturating_sub(DELEGATION_MARGIN);
        self.state.synced_at.is_some_and(|at| now.saturating_duration_since(at) <= within)
    }

    /// An answer on behalf of a leader that is out of reach, which keeps the worker's lease. It
    /// starts nothing, and stops what is known to be cancelled: else tasks could outlive their
    /// cancellation. So it takes recent news of the store or, for the workers of this zone, a sign of
    /// life there not too long ago: nothing was cancelled since without our promise.
    pub(super) fn answer_for_leader(
        &mut self,
        report: &Heartbeat,
        now: Instant,
    ) -> Option<CommandBatch> {
        let sign = self.heartbeat.answers_until(self.state.synced_at);
        let sign = sign.is_some_and(|until| now < until);
        if !(self.has_news(now) || sign && report.zone == self.settings.platform.location) {
            return None;
        }
        let newest = self.state.cache.token.value;
        let near = |view: &PeerView| now.saturating_duration_since(view.heard) < DELEGATION_AFTER;
        let alone = !self.peers.values().any(near)
            || self.state.is_unavailable(now) && self.later_leader(now).is_none();
        // Whoever holds a later leader's grant keeps to it, and to its bars, though it led itself.
        let latest = newest.max(self.delegated_lease.ack().0);
        let token = match &mut self.scheduler {
            // A leader that lost its right answers as those do to whom it gave theirs, but only where it
            // is alone or out of the store's reach: else it would hold workers that others can serve.
            Some(scheduler) if scheduler.token() >= latest => {
                if !alone {
                    return None;
                }
                let token = scheduler.answer_for_leader(&report.machine, now)?;
                // A successor has to learn of it.
                self.delegated_lease.note(&report.machine, now);
                token
            }
            _ => self.delegated_lease.answer(&report.machine, newest, now)?,
        };
        let cache = &self.state.cache;
        let over =
            |id| self.api.given.has(id) || cache.jobs.get(id).is_some_and(|job| job.is_finished());
        let stop = |task: &wire::TaskStatus| wire::WorkerCommand::Stop {
            task: task.task.clone(),
            attempt: task.attempt,
            grace_s: 0.0,
        };
        let running = |task: &&wire::TaskStatus| task.state != wire::TaskState::Exited;
        let tasks = report.tasks.iter().filter(running).filter(|task| over(&task.task.job));
        let orders = tasks.take(MAX_COMMANDS_PER_ANSWER).map(stop).collect();
        tracing::debug!(machine = %report.machine, %token, "answered for the leader");
        Some(CommandBatch { token, agent_epoch: None, orders })
    }
}

/// Sends a worker to another controller.
pub(super) fn redirect(to: &ControllerId) -> Response {
    Response::with(421, wire::encode(&NotLeader { leader: to.to_string() }))
}
