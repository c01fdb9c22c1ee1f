//! Cancellation of jobs: other controllers acknowledge a cancellation before it is committed.

use crate::api::{Answer, Api};
use crate::http::Response;
use crate::ids::{ControllerId, JobId};
use crate::jobs;
use crate::leadership::cancellation_acks::CancellationBlocked;
use crate::store::StoreClient;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time that a cancellation waits for acknowledgements. Reachable controllers normally answer within
/// milliseconds; after this time the request is rejected with Retry-After.
const ACK_WAIT: Duration = Duration::from_millis(800);
/// Pause before the acknowledgement request to a controller that has not answered is repeated.
const ACK_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

impl Api {
    /// Commits the cancellation of a live job once every controller whose acknowledgement is required has given it.
    pub(super) fn cancel(
        &mut self,
        ticket: u64,
        id: &JobId,
        is_fresh: bool,
        store: &mut StoreClient,
        now: Instant,
    ) -> Option<Response> {
        let job = store.cache.jobs.get(id)?;
        let mut transaction = jobs::cancel(id, job, self.wall_clock.ms(now), &store.layout())?;
        let zone_of = |peer: &ControllerId| self.zone_of(peer);
        match self.cancellation_acks.preconditions(id, &store.cache, zone_of, now) {
            Ok(preconditions) => transaction.preconditions.extend(preconditions),
            Err(blocked) => return self.await_acks(ticket, id.clone(), blocked, now),
        }
        // The store may apply the transaction late; by then this controller may itself be the one that is cut off.
        self.acknowledged_cancellations.acknowledge(std::slice::from_ref(id));
        self.commit(ticket, transaction, is_fresh, store);
        None
    }

    fn zone_of(&self, peer: &ControllerId) -> Option<String> {
        let others = &self.settings.platform.others;
        others.iter().find(|other| other.host_name == *peer).map(|other| other.location.clone())
    }

    /// Requests missing acknowledgements. The user gets Retry-After after [`ACK_WAIT`], or at once if a quarantined
    /// controller blocks the cancellation although the leader has reported the zones of the job's tasks.
    fn await_acks(
        &mut self,
        ticket: u64,
        id: JobId,
        blocked: CancellationBlocked,
        now: Instant,
    ) -> Option<Response> {
        let peers = match &blocked {
            CancellationBlocked::AwaitingAcks(peers) => peers.clone(),
            // The leader may know that the job has no tasks in the zone of the quarantined controller.
            CancellationBlocked::InQuarantine => {
                let others = &self.settings.platform.others;
                others.iter().map(|other| other.host_name.clone()).collect()
            }
        };
        for peer in peers {
            let key = (peer.clone(), id.clone());
            let last_request = self.last_ack_requests.get(&key);
            if last_request.is_none_or(|at| now >= *at + ACK_REQUEST_INTERVAL) {
                self.last_ack_requests.insert(key, now);
                self.ack_requests.push((peer, id.clone()));
            }
        }
        let pending = self.pending.get_mut(&ticket)?;
        let acks_deadline = *pending.acks_deadline.get_or_insert(now + ACK_WAIT);
        let cannot_unblock = blocked == CancellationBlocked::InQuarantine
            && self.cancellation_acks.has_reported_zones(&id);
        if now < acks_deadline && !cannot_unblock {
            return None;
        }
        tracing::info!(job = %id, ?blocked, "job cannot be cancelled yet, acknowledgements are missing");
        Some(self.finish_with_retry(ticket))
    }

    /// Retries cancellations that wait for acknowledgements.
    pub fn retry_cancellations(&mut self, store: &mut StoreClient, now: Instant) -> Vec<Answer> {
        let waiting = self.pending.iter().filter(|(_, pending)| pending.acks_deadline.is_some());
        let waiting: Vec<u64> = waiting.map(|(ticket, _)| *ticket).collect();
        let mut answers = Vec::new();
        for ticket in waiting {
            if self.pending.get(&ticket).is_some_and(|pending| !pending.committing)
                && let Some(response) = self.decide(ticket, false, store, now)
            {
                answers.push(Answer { ticket, response });
            }
        }
        answers
    }

    /// Removes acknowledgement requests that may be repeated, and cancellations that every task must know by now.
    pub(super) fn remove_old_cancellations(&mut self, now: Instant) {
        let retention_s = self.settings.platform.params.workers.cancel_s * 2.0;
        self.last_ack_requests.retain(|_, at| now < *at + ACK_REQUEST_INTERVAL);
        self.cancelled
            .retain(|(_, at)| now.saturating_duration_since(*at).as_secs_f64() < retention_s);
    }
}
