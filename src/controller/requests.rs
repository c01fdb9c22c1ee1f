//! Dispatch of public HTTP requests by route.

use super::Controller;
use crate::api::{Route, route};
use crate::http::{Request, Response};
use tokio::time::Instant;

impl Controller {
    pub(super) fn on_request(&mut self, ticket: u64, request: &Request, now: Instant) {
        let body = &request.body;
        let response = match route(request) {
            Route::Health => Some(Response::empty(if self.is_ready(now) { 200 } else { 503 })),
            Route::Heartbeat => self.on_worker_heartbeat(ticket, body, now),
            Route::Unknown => Some(Response::empty(404)),
            Route::WrongMethod => Some(Response::empty(405)),
            Route::JobsAtRisk => Some(self.on_jobs_at_risk(body, now)),
            Route::FairShareReport => Some(self.on_fair_share_report(body, now)),
            Route::Drains => Some(self.on_list_drains(body, now)),
            Route::Drain => self.on_drain(ticket, body, now),
            Route::Undrain => self.on_undrain(ticket, body),
            user => self.api.on_request(ticket, user, body, &mut self.store, now),
        };
        if let Some(response) = response {
            self.respond(ticket, response);
        }
    }
}
