//! Cancellations of jobs, which other controllers acknowledge before they are committed.

use crate::api::{Answer, Api};
use crate::http::Response;
use crate::ids::{ControllerId, JobId};
use crate::jobs;
use crate::leadership::cancellation_acks::CancellationBlocked;
use crate::store::StoreClient;
use std::time::Duration;
use tokio::time::Instant;

/// How long a cancellation waits for controllers that are in reach, some milliseconds as a rule;
/// beyond it the user is told to come back.
const ACK_WAIT: Duration = Duration::from_millis(800);
/// Pause before a controller that has not answered is asked again.
const ACK_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

impl Api {
    /// Commits the end of a live job, once all controllers that have to know acknowledged it.
    pub(super) fn cancel(
        &mut self,
        ticket: u64,
        id: &JobId,
        is_fresh: bool,
        store: &mut StoreClient,
        now: Instant,
    ) -> Option<Response> {
        let job = store.cache.jobs.get(id)?;
        let mut transaction = jobs::cancel(id, job, self.wall.ms(now), &store.layout())?;
        let zone_of = |peer: &ControllerId| self.zone_of(peer);
        match self.cancellation_acks.preconditions(id, &store.cache, zone_of, now) {
            Ok(preconditions) => transaction.preconditions.extend(preconditions),
            Err(missing) => return self.await_acks(ticket, id.clone(), missing, now),
        }
        // Should it be applied late, this controller may be the one cut off by then.
        self.acknowledged_cancellations.acknowledge(std::slice::from_ref(id));
        self.commit(ticket, transaction, is_fresh, store);
        None
    }

    fn zone_of(&self, peer: &ControllerId) -> Option<String> {
        let others = &self.settings.platform.others;
        others.iter().find(|other| other.host_name == *peer).map(|other| other.location.clone())
    }

    /// A cancellation that can't be committed yet: asks the controllers that it takes, or tells the
    /// user at once to come back.
    fn await_acks(
        &mut self,
        ticket: u64,
        id: JobId,
        missing: CancellationBlocked,
        now: Instant,
    ) -> Option<Response> {
        let peers = match &missing {
            CancellationBlocked::AwaitingAcks(peers) => peers.clone(),
            // The leader may know that the job has nothing where that one is.
            CancellationBlocked::InQuarantine => {
                let others = &self.settings.platform.others;
                others.iter().map(|other| other.host_name.clone()).collect()
            }
        };
        for peer in peers {
            let key = (peer.clone(), id.clone());
            if self.asked.get(&key).is_none_or(|at| now >= *at + ACK_REQUEST_INTERVAL) {
                self.asked.insert(key, now);
                self.ack_requests.push((peer, id.clone()));
            }
        }
        let pending = self.pending.get_mut(&ticket)?;
        let until = *pending.acks_deadline.get_or_insert(now + ACK_WAIT);
        let hopeless = missing == CancellationBlocked::InQuarantine
            && self.cancellation_acks.has_reported_zones(&id);
        if now < until && !hopeless {
            return None;
        }
        tracing::info!(job = %id, ?missing, "job cannot be cancelled yet");
        Some(self.finish_with_retry(ticket))
    }

    /// Decides again on cancellations that wait for other controllers.
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

    /// Forgets whom it asked a while ago, and cancellations that every task has heard of by now.
    pub(super) fn forget_old_cancellations(&mut self, now: Instant) {
        let keep_s = self.settings.platform.params.workers.cancel_s * 2.0;
        self.asked.retain(|_, at| now < *at + ACK_REQUEST_INTERVAL);
        self.cancelled.retain(|(_, at)| now.saturating_duration_since(*at).as_secs_f64() < keep_s);
    }
}
