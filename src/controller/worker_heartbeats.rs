//! Handling of heartbeats that workers send directly to this controller.

use super::Controller;
use crate::http::Response;
use crate::ids::ControllerId;
use crate::wire::{self, Heartbeat, NotLeader};
use tokio::time::Instant;

impl Controller {
    /// Handles a worker's heartbeat. Returns the response, or `None` if it follows later.
    pub(super) fn on_worker_heartbeat(
        &mut self,
        ticket: u64,
        body: &[u8],
        now: Instant,
    ) -> Option<Response> {
        let Ok(heartbeat) = wire::decode::<Heartbeat>(body) else {
            return Some(Response::empty(400));
        };
        if !self.stalls.may_be_stale(now) {
            self.last_worker_heartbeat = Some(now);
        }
        // Checked for each response, because the leader lease may have expired since the last check.
        if self.scheduler.is_some() && self.holds_leadership(now) {
            return Some(self.respond_as_leader(&heartbeat, now));
        }
        self.respond_as_follower(ticket, heartbeat, now)
    }

    /// Responds as the leader, or redirects the worker to the controller that takes its heartbeats.
    pub(super) fn respond_as_leader(&mut self, heartbeat: &Heartbeat, now: Instant) -> Response {
        if let Some(owner) = self.redirect_target(heartbeat, now) {
            return redirect(&owner);
        }
        let Some(scheduler) = &mut self.scheduler else { return Response::retry_later(503) };
        match scheduler.on_heartbeat(heartbeat, &self.store.cache, now) {
            Some(commands) => Response::with(200, wire::encode(&commands)),
            None => {
                tracing::info!(
                    machine = %heartbeat.machine,
                    "worker has seen a higher fencing token, resigning"
                );
                self.resign(now);
                Response::retry_later(503)
            }
        }
    }
}

/// Returns the response that redirects a worker to another controller.
pub(super) fn redirect(to: &ControllerId) -> Response {
    Response::with(421, wire::encode(&NotLeader { leader: to.to_string() }))
}
