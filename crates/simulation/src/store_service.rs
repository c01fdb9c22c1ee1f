//! The simulated store service: delivers requests to the in-memory store and applies its faults.

use crate::config::as_stored_by_production;
use crate::event::SimEvent;
use crate::in_memory_store::CommitError;
use crate::previous_version;
use crate::targeted_faults::CommitDelivery;
use crate::world::World;
use rand::Rng;
use troutspindle::controller::Event;
use troutspindle::ids::{LeaseId, Revision};
use troutspindle::store::{StoreRequest, StoreResponse};
use troutspindle::wire;
use troutspindle::wire::{KeyValue, RangeResponse, StoreValue, WatchResponse, Write};

impl World {
    /// Applies a delayed transaction and responds.
    pub fn finish_slow_commit(
        &mut self,
        controller: usize,
        incarnation: u32,
        id: u64,
        txn: wire::Transaction,
    ) {
        let rejects = self.store.unavailable || self.rejected_by_store == Some(controller);
        let reply = if rejects { StoreResponse::Unavailable } else { self.commit(txn) };
        self.schedule(
            self.now_ms + 3,
            SimEvent::Controller(
                controller,
                incarnation,
                Event::StoreResponse { id, response: reply },
            ),
        );
    }

    /// Handles a controller's request.
    pub fn on_store_request(
        &mut self,
        controller: usize,
        incarnation: u32,
        id: u64,
        call: StoreRequest,
    ) {
        if self.is_isolated(controller) || self.isolated_controller == Some(controller) {
            let timeout = Event::StoreResponse { id, response: StoreResponse::Unknown };
            if matches!(call, StoreRequest::Commit(_)) {
                // The network delivers the transaction when the partition ends.
                self.blocked_messages.push(SimEvent::Store(controller, incarnation, id, call));
            }
            return self.schedule(
                self.now_ms + 1500,
                SimEvent::Controller(controller, incarnation, timeout),
            );
        }
        if self.delayed_commits
            && !self.store.unavailable
            && self.rejected_by_store != Some(controller)
            && matches!(call, StoreRequest::Commit(_))
            && self.random.random_range(0..3) == 0
        {
            let StoreRequest::Commit(txn) = call else { return };
            let later = self.now_ms + self.random.random_range(2000..12_000);
            self.schedule(later, SimEvent::DelayedCommit(txn));
            let timeout = Event::StoreResponse { id, response: StoreResponse::Unknown };
            return self.schedule(
                self.now_ms + 1500,
                SimEvent::Controller(controller, incarnation, timeout),
            );
        }
        let reply = if self.store.unavailable || self.rejected_by_store == Some(controller) {
            if let StoreRequest::Watch { after, wait } = &call
                && !wait.is_zero()
            {
                let until = self.now_ms + wait.as_millis() as u64;
                self.store.pending_watches.push((controller, incarnation, id, after.0, until));
                return;
            }
            StoreResponse::Unavailable
        } else {
            match call {
                StoreRequest::Watch { after, wait } => {
                    if !wait.is_zero() && self.store.rev <= after.0 {
                        let until = self.now_ms + wait.as_millis() as u64;
                        self.store.pending_watches.push((
                            controller,
                            incarnation,
                            id,
                            after.0,
                            until,
                        ));
                        return;
                    }
                    StoreResponse::Watch(self.changes_for(controller, after.0))
                }
                StoreRequest::Range { .. } => {
                    let rows = self.store.keys.iter().map(|(key, (data, rev, _))| KeyValue {
                        key: key.clone(),
                        data: data.clone(),
                        rev: Revision(*rev),
                    });
                    let mut rows: Vec<KeyValue> = rows.collect();
                    if self.runs_previous_version[controller] {
                        rows.iter_mut().for_each(|row| {
                            row.data = self.as_seen_by_previous_version(&row.key, &row.data)
                        });
                    }
                    StoreResponse::Range(RangeResponse {
                        rows,
                        truncated: false,
                        rev: Revision(self.store.rev),
                    })
                }
                StoreRequest::GrantLease(life) => {
                    self.store.next_lease += 1;
                    let ms = life.as_millis() as u64;
                    self.store.leases.insert(self.store.next_lease, (ms, self.now_ms + ms));
                    StoreResponse::LeaseGranted(LeaseId(self.store.next_lease))
                }
                StoreRequest::KeepAlive(lease) => match self.store.leases.get_mut(&lease.0) {
                    Some((ms, until)) => {
                        *until = self.now_ms + *ms;
                        StoreResponse::Done
                    }
                    None => StoreResponse::Gone,
                },
                StoreRequest::RevokeLease(lease) => {
                    self.end_lease(lease.0);
                    StoreResponse::Done
                }
                StoreRequest::Commit(mut txn) => {
                    for write in
                        txn.writes.iter_mut().filter(|_| self.runs_previous_version[controller])
                    {
                        if let Write::Put { data, .. } = write {
                            *data = as_stored_by_production(data);
                        }
                    }
                    match self.choose_commit_delivery() {
                        CommitDelivery::Usual => self.commit(txn),
                        CommitDelivery::ResponseLost => {
                            self.commit(txn);
                            let timeout =
                                Event::StoreResponse { id, response: StoreResponse::Unknown };
                            return self.schedule(
                                self.now_ms + 1500,
                                SimEvent::Controller(controller, incarnation, timeout),
                            );
                        }
                        CommitDelivery::Later(ms) => {
                            return self.schedule(
                                self.now_ms + ms,
                                SimEvent::SlowCommit(controller, incarnation, id, txn),
                            );
                        }
                    }
                }
            }
        };
        // One response in 200 is lost after the request was handled.
        let response_lost = self.random.random_range(0..200) == 0;
        let reply = if response_lost { StoreResponse::Unknown } else { reply };
        self.schedule_soon(SimEvent::Controller(
            controller,
            incarnation,
            Event::StoreResponse { id, response: reply },
        ));
    }

    /// Returns a value as a controller of the previous version sees it, without the fields that it does not know.
    /// Panics if that version cannot read the value.
    pub fn as_seen_by_previous_version(&self, key: &str, data: &StoreValue) -> StoreValue {
        if key.starts_with("t/j/") {
            let record: previous_version::Record = data.deserialized().unwrap();
            // The previous version takes a live record without a description for a completed job.
            assert!(record.s.is_some() || record.p != previous_version::Phase::Live, "{key}");
        } else if key.starts_with("t/x/") && key.matches('/').count() == 3 {
            assert!(previous_version::can_read(data.as_text().unwrap()), "{key}");
        }
        as_stored_by_production(data)
    }

    /// Returns the changes after a revision as a controller sees them.
    pub fn changes_for(&self, controller: usize, after: u64) -> WatchResponse {
        let mut changes = self.changes_after(after);
        for change in changes.events.iter_mut().filter(|_| self.runs_previous_version[controller]) {
            if let (Some(key), Some(data)) = (&change.put, &mut change.data) {
                *data = self.as_seen_by_previous_version(key, data);
            }
        }
        changes
    }

    /// Commits a transaction and wakes pending watches.
    pub fn commit(&mut self, txn: wire::Transaction) -> StoreResponse {
        let outcome = self.store.commit(txn, self.limits);
        self.digest.committed(self.now_ms, self.store.rev, outcome.is_ok());
        match outcome {
            Ok(rev) => {
                self.complete_watches();
                StoreResponse::Committed(rev)
            }
            Err(CommitError::Conflict(failed)) => StoreResponse::Conflict(failed),
            Err(CommitError::TooLarge) => {
                self.too_large += 1;
                StoreResponse::Invalid
            }
            Err(CommitError::NoSuchLease) => StoreResponse::Invalid,
        }
    }

    /// Returns all changes after a revision.
    pub fn changes_after(&self, after: u64) -> WatchResponse {
        self.store.news(after)
    }

    /// Answers the watches that have changes to report or have timed out.
    pub fn complete_watches(&mut self) {
        if self.store.unavailable {
            return;
        }
        let (now_ms, rev) = (self.now_ms, self.store.rev);
        let ready: Vec<_> = self
            .store
            .pending_watches
            .extract_if(.., |w| self.rejected_by_store != Some(w.0) && (w.3 < rev || w.4 <= now_ms))
            .collect();
        for (controller, incarnation, id, after, _) in ready {
            let reply = StoreResponse::Watch(self.changes_for(controller, after));
            self.schedule_soon(SimEvent::Controller(
                controller,
                incarnation,
                Event::StoreResponse { id, response: reply },
            ));
        }
    }

    /// Ends a lease and deletes its keys.
    pub fn end_lease(&mut self, lease: u64) {
        self.store.end_lease(lease);
        self.complete_watches();
    }

    /// Ends expired leases unless the store is unavailable.
    pub fn end_expired_leases(&mut self) {
        if !self.store.unavailable {
            self.store.end_expired_leases(self.now_ms);
        }
        self.complete_watches();
    }
}
