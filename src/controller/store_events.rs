//! Handling of events from the store client.

use super::leader::LEADERSHIP_SYNC_TICKET;
use super::ticks::PROBE_TICKET;
use super::{Controller, age_ms};
use crate::http::Response;
use crate::leadership::election::ElectionStep;
use crate::store::{StoreEvent, WriteOrigin, WriteOutcome};
use tokio::time::Instant;

impl Controller {
    pub(super) fn on_store_event(&mut self, event: StoreEvent, now: Instant) {
        match event {
            StoreEvent::Loaded => {
                tracing::info!(jobs = self.store.cache.jobs.all.len(), "store cache loaded");
            }
            StoreEvent::JobsChanged(ids) => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.on_jobs(&ids, &self.store.cache, now);
                }
            }
            StoreEvent::Synced(ticket) => self.on_store_synced(ticket, now),
            StoreEvent::WriteSettled(origin, outcome) => self.on_outcome(origin, outcome, now),
            StoreEvent::ControllerLease { request, sent_at, response } => {
                self.controller_lease.on_response(&request, sent_at, &response, now);
            }
            StoreEvent::Election { request, sent_at, response } => {
                let cache = &self.store.cache;
                let step = self.election.on_response(&request, sent_at, &response, cache, now);
                self.on_election_step(step, now);
            }
        }
    }

    fn on_store_synced(&mut self, ticket: u64, now: Instant) {
        let requested_ms_ago = self.store.synced_at.map(|at| age_ms(at, now));
        tracing::debug!(revision = %self.store.cache.rev, requested_ms_ago, "store read");
        match ticket {
            LEADERSHIP_SYNC_TICKET => self.start_leading(now),
            PROBE_TICKET => self.is_probing_store = false,
            ticket => {
                let response = self.api.on_synced(ticket, &mut self.store, now);
                self.respond_if_ready(ticket, response);
            }
        }
    }

    fn on_outcome(&mut self, origin: WriteOrigin, outcome: WriteOutcome, now: Instant) {
        match origin {
            WriteOrigin::Operator(ticket) => self.on_drain_outcome(ticket, outcome),
            WriteOrigin::User(ticket) => {
                let response = self.api.on_outcome(ticket, outcome, &mut self.store, now);
                self.respond_if_ready(ticket, response);
            }
            origin => {
                if outcome != WriteOutcome::Committed {
                    tracing::debug!(?origin, ?outcome, "transaction not committed");
                }
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.on_outcome(&origin, outcome, &mut self.store);
                }
            }
        }
    }

    fn on_election_step(&mut self, step: ElectionStep, now: Instant) {
        for request in step.requests {
            self.store.send_election_request(request, now);
        }
        if let Some(event) = step.event {
            self.on_election_event(event, now);
        }
    }

    fn respond_if_ready(&mut self, ticket: u64, response: Option<Response>) {
        if let Some(response) = response {
            self.respond(ticket, response);
        }
    }
}
