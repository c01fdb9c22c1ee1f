//! Submission of jobs: checks whether a job can run and commits its acceptance.

use crate::api::Api;
use crate::api::validation::{check_dependencies, check_runnable};
use crate::http::Response;
use crate::jobs::{self, Acceptance};
use crate::store::StoreClient;
use crate::wire::JobSpec;
use std::sync::Arc;
use tokio::time::Instant;

impl Api {
    /// Commits a new job or rejects it. `is_fresh` is true if the cache was synced for this request.
    pub(super) fn submit(
        &mut self,
        ticket: u64,
        spec: &Arc<JobSpec>,
        is_fresh: bool,
        store: &mut StoreClient,
        now: Instant,
    ) -> Option<Response> {
        let machine_types = &store.cache.machine_types.value;
        if machine_types.is_empty() {
            return Some(self.finish_with_retry(ticket));
        }
        let layout = store.layout();
        // A leader of the previous version would start the job before its dependencies have completed.
        let unsupported = spec.depends_on.is_some() && !layout.is_second();
        let check = check_runnable(spec, &self.settings, machine_types)
            .and_then(|()| check_dependencies(spec, &store.cache.jobs));
        // Another controller may have written a change that makes the job acceptable: read before a rejection.
        if !is_fresh && (unsupported || check.is_err()) {
            return self.sync(ticket, store);
        }
        if unsupported {
            tracing::info!(
                job = %spec.id,
                "submission rejected with Retry-After: not all controllers support dependencies yet"
            );
            return Some(self.finish_with_retry(ticket));
        }
        if let Err(reason) = check {
            tracing::info!(
                job = %spec.id,
                team = spec.team,
                %reason,
                "submission rejected permanently"
            );
            return Some(self.finish(ticket, Response::empty(422)));
        }
        tracing::debug!(job = %spec.id, ?spec, "job submitted");
        let accepted_ms = self.wall_clock.ms(now);
        let acceptance = jobs::accept(spec, accepted_ms, &layout, &store.cache.jobs);
        if let Some(pending) = self.pending.get_mut(&ticket) {
            pending.writes_spec_chunks = matches!(acceptance, Acceptance::SpecChunks(_));
        }
        let (Acceptance::SpecChunks(transaction) | Acceptance::JobRecord(transaction)) = acceptance;
        self.commit(ticket, transaction, is_fresh, store);
        None
    }
}
