//! Handling of operators' queries and drains.

use super::Controller;
use crate::drains::{self, DrainRecord};
use crate::http::Response;
use crate::ids::MachineId;
use crate::scheduler::Scheduler;
use crate::schema::{encoding, keys};
use crate::store::{PendingWrite, WriteOrigin, WriteOutcome, WritePriority};
use crate::wire::{Precondition, StoreValue, Transaction, Write};
use serde::Serialize;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;
use tokio::time::Instant;
use troutspindle_protocol::operator_api;

/// Maximum length in bytes of the author, and of the reason, in a drain request.
const NOTE_BYTES_MAX: usize = 200;
/// Exclusive upper bound, in seconds, of the time in which a drain is to finish.
const DRAIN_TIME_MAX_S: f64 = 1e8;

impl Controller {
    /// Returns the request if it contains the operator key. Callers respond with 404 otherwise, so that a client
    /// without the key can't find out that the path exists.
    fn authorize<T: DeserializeOwned>(
        &self,
        body: &[u8],
        key_of: impl Fn(&T) -> &str,
    ) -> Option<T> {
        let key = self.settings.operator.operator_key.0.as_bytes();
        let request: T = serde_json::from_slice(body).ok()?;
        let is_authorized = !key.is_empty() && bool::from(key_of(&request).as_bytes().ct_eq(key));
        is_authorized.then_some(request)
    }

    pub(super) fn on_jobs_at_risk(&self, body: &[u8], now: Instant) -> Response {
        self.respond_from_scheduler(body, now, |scheduler| {
            scheduler.at_risk(&self.store.cache, now)
        })
    }

    pub(super) fn on_fair_share_report(&self, body: &[u8], now: Instant) -> Response {
        self.respond_from_scheduler(body, now, |scheduler| scheduler.fair_share_report(now))
    }

    /// Responds to a query that only the leader can answer; other controllers respond with 421.
    fn respond_from_scheduler<T: Serialize>(
        &self,
        body: &[u8],
        now: Instant,
        query: impl Fn(&Scheduler) -> T,
    ) -> Response {
        if self.authorize(body, |request: &operator_api::OperatorQuery| &request.key).is_none() {
            return Response::empty(404);
        }
        match &self.scheduler {
            Some(scheduler) if self.holds_leadership(now) => json_response(&query(scheduler)),
            _ => Response::empty(421),
        }
    }

    pub(super) fn on_list_drains(&self, body: &[u8], now: Instant) -> Response {
        if self.authorize(body, |request: &operator_api::OperatorQuery| &request.key).is_none() {
            return Response::empty(404);
        }
        let cache = &self.store.cache;
        let listed = match &self.scheduler {
            Some(scheduler) if self.holds_leadership(now) => scheduler.drains(cache, now),
            _ => crate::scheduler::drains::list(cache, self.api.wall_clock, now),
        };
        json_response(&listed)
    }

    /// Stores a drain, on any controller. The response follows once the drain is committed.
    pub(super) fn on_drain(&mut self, ticket: u64, body: &[u8], now: Instant) -> Option<Response> {
        let Some(request) =
            self.authorize(body, |request: &operator_api::DrainRequest| &request.key)
        else {
            return Some(Response::empty(404));
        };
        if !self.target_exists(&request) || !is_well_formed(&request) {
            return Some(Response::empty(422));
        }
        let at_ms = self.api.wall_clock.ms(now);
        let record = DrainRecord {
            kind: request.kind,
            name: request.name,
            by_ms: request.by_s.map(|by_s| at_ms.saturating_add((by_s * 1000.0) as u64)),
            at_ms,
            author: request.author,
            reason: request.reason,
        };
        let key = keys::drain_key(record.kind, &record.name);
        self.store_drain(ticket, key, encoding::to_value(&record))
    }

    pub(super) fn on_undrain(&mut self, ticket: u64, body: &[u8]) -> Option<Response> {
        let Some(request) =
            self.authorize(body, |request: &operator_api::UndrainRequest| &request.key)
        else {
            return Some(Response::empty(404));
        };
        let key = keys::drain_key(request.kind, &request.name);
        if !self.store.cache.drains.contains_key(&key) {
            return Some(Response::empty(422));
        }
        self.store_drain(ticket, key, drains::WITHDRAWN)
    }

    fn target_exists(&self, request: &operator_api::DrainRequest) -> bool {
        let platform = &self.settings.platform;
        match request.kind {
            operator_api::DrainKind::Zone => platform.params.zones.contains(&request.name),
            operator_api::DrainKind::Controller => {
                let peers = platform.others.iter().map(|peer| &peer.host_name);
                std::iter::once(&platform.host_name)
                    .chain(peers)
                    .any(|controller| controller.as_str() == request.name)
            }
            operator_api::DrainKind::Machine => {
                self.store.cache.machines.contains_key(&MachineId::new(&request.name))
            }
        }
    }

    /// Writes a drain or its withdrawal if the key still has the revision that this controller knows. If two operators
    /// write at the same time, one of them gets a conflict.
    fn store_drain(&mut self, ticket: u64, key: String, data: StoreValue) -> Option<Response> {
        if !self.store.cache.loaded {
            return Some(Response::retry_later(503));
        }
        let revision = self.store.cache.drain_key_revisions.get(&key).copied().unwrap_or_default();
        let preconditions = vec![Precondition { key: key.clone(), rev: revision }];
        let transaction =
            Transaction { preconditions, writes: vec![Write::Put { key, data, lease: None }] };
        self.store.enqueue(PendingWrite {
            priority: WritePriority::Blocking,
            origin: WriteOrigin::Operator(ticket),
            transaction,
        });
        None
    }

    pub(super) fn on_drain_outcome(&mut self, ticket: u64, outcome: WriteOutcome) {
        let response = match outcome {
            WriteOutcome::Committed => Response::empty(200),
            WriteOutcome::Conflict => Response::empty(409),
            WriteOutcome::Invalid => Response::empty(422),
            WriteOutcome::NotExecuted | WriteOutcome::Unknown => Response::retry_later(503),
        };
        self.respond(ticket, response);
    }
}

fn is_well_formed(request: &operator_api::DrainRequest) -> bool {
    [&request.author, &request.reason].iter().all(|text| text.len() <= NOTE_BYTES_MAX)
        && request.by_s.is_none_or(|by_s| (0.0..DRAIN_TIME_MAX_S).contains(&by_s))
}

fn json_response<T: Serialize>(content: &T) -> Response {
    Response::with(200, serde_json::to_vec(content).unwrap_or_default())
}
