//! The state service.

use crate::config::as_production;
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
    /// A transaction that took its time is carried out, and answered.
    pub fn slow_write(&mut self, node: usize, incarnation: u32, id: u64, txn: wire::Transaction) {
        let refuses = self.store.out || self.refused == Some(node);
        let reply = if refuses { StoreResponse::Unavailable } else { self.commit(txn) };
        self.at(
            self.now_ms + 3,
            SimEvent::Controller(node, incarnation, Event::StoreResponse { id, response: reply }),
        );
    }

    pub fn state(&mut self, node: usize, incarnation: u32, id: u64, call: StoreRequest) {
        if self.is_isolated(node) || self.isolated == Some(node) {
            let gives_up = Event::StoreResponse { id, response: StoreResponse::Unknown };
            if matches!(call, StoreRequest::Commit(_)) {
                // Held back, and applied when the cut ends.
                self.held.push(SimEvent::State(node, incarnation, id, call));
            }
            return self.at(self.now_ms + 1500, SimEvent::Controller(node, incarnation, gives_up));
        }
        if self.late_writes
            && !self.store.out
            && self.refused != Some(node)
            && matches!(call, StoreRequest::Commit(_))
            && self.random.random_range(0..3) == 0
        {
            let StoreRequest::Commit(txn) = call else { return };
            let later = self.now_ms + self.random.random_range(2000..12_000);
            self.at(later, SimEvent::DelayedCommit(txn));
            let gives_up = Event::StoreResponse { id, response: StoreResponse::Unknown };
            return self.at(self.now_ms + 1500, SimEvent::Controller(node, incarnation, gives_up));
        }
        let reply = if self.store.out || self.refused == Some(node) {
            if let StoreRequest::Watch { after, wait } = &call
                && !wait.is_zero()
            {
                let until = self.now_ms + wait.as_millis() as u64;
                self.store.waiting.push((node, incarnation, id, after.0, until));
                return;
            }
            StoreResponse::Unavailable
        } else {
            match call {
                StoreRequest::Watch { after, wait } => {
                    if !wait.is_zero() && self.store.rev <= after.0 {
                        let until = self.now_ms + wait.as_millis() as u64;
                        self.store.waiting.push((node, incarnation, id, after.0, until));
                        return;
                    }
                    StoreResponse::Watch(self.news_for(node, after.0))
                }
                StoreRequest::Range { .. } => {
                    let rows = self.store.keys.iter().map(|(key, (data, rev, _))| KeyValue {
                        key: key.clone(),
                        data: data.clone(),
                        rev: Revision(*rev),
                    });
                    let mut rows: Vec<KeyValue> = rows.collect();
                    if self.old[node] {
                        rows.iter_mut().for_each(|row| row.data = self.shown(&row.key, &row.data));
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
                    for write in txn.writes.iter_mut().filter(|_| self.old[node]) {
                        if let Write::Put { data, .. } = write {
                            *data = as_production(data);
                        }
                    }
                    match self.choose_commit_delivery() {
                        CommitDelivery::Usual => self.commit(txn),
                        CommitDelivery::ResponseLost => {
                            self.commit(txn);
                            let gives_up =
                                Event::StoreResponse { id, response: StoreResponse::Unknown };
                            return self.at(
                                self.now_ms + 1500,
                                SimEvent::Controller(node, incarnation, gives_up),
                            );
                        }
                        CommitDelivery::Later(ms) => {
                            return self.at(
                                self.now_ms + ms,
                                SimEvent::SlowCommit(node, incarnation, id, txn),
                            );
                        }
                    }
                }
            }
        };
        // Now and then an answer gets lost after the deed.
        let lost = self.random.random_range(0..200) == 0;
        let reply = if lost { StoreResponse::Unknown } else { reply };
        self.schedule_soon(SimEvent::Controller(
            node,
            incarnation,
            Event::StoreResponse { id, response: reply },
        ));
    }

    /// What a node of the old version makes of a value: it has to be able to read it, and drops the
    /// fields that it doesn't know.
    pub fn shown(&self, key: &str, data: &StoreValue) -> StoreValue {
        if key.starts_with("t/j/") {
            let record: previous_version::Record = data.deserialized().unwrap();
            // It takes a live record without a description for a job that is done.
            assert!(record.s.is_some() || record.p != previous_version::Phase::Live, "{key}");
        } else if key.starts_with("t/x/") && key.matches('/').count() == 3 {
            assert!(previous_version::reads(data.as_text().unwrap()), "{key}");
        }
        as_production(data)
    }

    pub fn news_for(&self, node: usize, after: u64) -> WatchResponse {
        let mut news = self.news(after);
        for change in news.events.iter_mut().filter(|_| self.old[node]) {
            if let (Some(key), Some(data)) = (&change.put, &mut change.data) {
                *data = self.shown(key, data);
            }
        }
        news
    }

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

    pub fn news(&self, after: u64) -> WatchResponse {
        self.store.news(after)
    }

    pub fn complete_watches(&mut self) {
        if self.store.out {
            return;
        }
        let (t, rev) = (self.now_ms, self.store.rev);
        let ready: Vec<_> = self
            .store
            .waiting
            .extract_if(.., |w| self.refused != Some(w.0) && (w.3 < rev || w.4 <= t))
            .collect();
        for (node, incarnation, id, after, _) in ready {
            let reply = StoreResponse::Watch(self.news_for(node, after));
            self.schedule_soon(SimEvent::Controller(
                node,
                incarnation,
                Event::StoreResponse { id, response: reply },
            ));
        }
    }

    pub fn end_lease(&mut self, lease: u64) {
        self.store.end_lease(lease);
        self.complete_watches();
    }

    pub fn end_leases(&mut self) {
        if !self.store.out {
            self.store.end_expired_leases(self.now_ms);
        }
        self.complete_watches();
    }
}
