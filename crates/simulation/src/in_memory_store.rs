//! In-memory key-value store with revisions, leases and a change log, without clock and network.
//!
//! The simulation and the scale test add their own time and transport.

use std::collections::{BTreeMap, HashMap};
use troutspindle::ids::Revision;
use troutspindle::schema::encoding::json_len;
use troutspindle::wire::{StoreValue, Transaction, WatchEvent, WatchResponse, Write};

/// A value, the revision of its last change, and the lease that it is attached to.
type Stored = (StoreValue, u64, Option<u64>);

/// Reason why a transaction was not applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitError {
    /// The preconditions on these keys failed.
    Conflict(Vec<String>),
    /// More writes, preconditions or bytes than the limits permit.
    TooLarge,
    /// A write refers to a lease that does not exist or has expired.
    NoSuchLease,
}

/// Keys, leases and the change log.
#[derive(Default)]
pub struct Store {
    /// Current values by key.
    pub keys: BTreeMap<String, Stored>,
    /// Revision of the last change.
    pub rev: u64,
    /// Changes in order of their revision; `None` is a deletion.
    pub log: Vec<(u64, String, Option<StoreValue>)>,
    /// Duration in milliseconds and expiry time of each lease.
    pub leases: HashMap<u64, (u64, u64)>,
    /// Number of the lease created last.
    pub next_lease: u64,
    /// Whether the store is unavailable to all clients.
    pub unavailable: bool,
    /// Watches that wait for a change in the simulation: controller, incarnation, call, revision, deadline.
    pub pending_watches: Vec<(usize, u32, u64, u64, u64)>,
}

impl Store {
    /// Applies a transaction if its preconditions hold and it stays within the limits (writes, bytes of a value).
    /// At most four times as many preconditions as writes are permitted.
    pub fn commit(
        &mut self,
        txn: Transaction,
        (ops, bytes): (usize, usize),
    ) -> Result<Revision, CommitError> {
        let failed: Vec<String> = txn
            .preconditions
            .iter()
            .filter(|precondition| {
                self.keys.get(&precondition.key).map_or(0, |(_, rev, _)| *rev) != precondition.rev.0
            })
            .map(|precondition| precondition.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(CommitError::Conflict(failed));
        }
        let is_too_large = |write: &Write| match write {
            Write::Put { data, .. } => json_len(data) > bytes,
            Write::Delete { .. } => false,
        };
        if txn.writes.len() > ops
            || txn.preconditions.len() > ops * 4
            || txn.writes.iter().any(is_too_large)
        {
            return Err(CommitError::TooLarge);
        }
        for write in &txn.writes {
            if let Write::Put { lease: Some(lease), .. } = write
                && !self.leases.contains_key(&lease.0)
            {
                return Err(CommitError::NoSuchLease);
            }
        }
        self.rev += 1;
        for write in txn.writes {
            let rev = self.rev;
            match write {
                Write::Put { key, data, lease } => {
                    self.log.push((rev, key.clone(), Some(data.clone())));
                    self.keys.insert(key, (data, rev, lease.map(|lease| lease.0)));
                }
                Write::Delete { key } => {
                    self.log.push((rev, key.clone(), None));
                    self.keys.remove(&key);
                }
            }
        }
        Ok(Revision(self.rev))
    }

    /// Returns all changes after a revision.
    pub fn news(&self, after: u64) -> WatchResponse {
        let first = self.log.partition_point(|(rev, ..)| *rev <= after);
        let events = self.log[first..].iter().map(|(rev, key, data)| {
            let (put, delete) =
                if data.is_some() { (Some(key.clone()), None) } else { (None, Some(key.clone())) };
            WatchEvent { put, delete, data: data.clone(), rev: Revision(*rev) }
        });
        WatchResponse { rev: Revision(self.rev), events: events.collect() }
    }

    /// Ends a lease and deletes the keys that are attached to it.
    pub fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, (_, _, attached_to))| *attached_to == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.rev += 1;
            self.keys.remove(&key);
            self.log.push((self.rev, key, None));
        }
    }

    /// Ends all expired leases and returns their number.
    pub fn end_expired_leases(&mut self, now_ms: u64) -> usize {
        let expired = self.leases.iter().filter(|(_, (_, until))| *until <= now_ms);
        let ended: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        ended.len()
    }
}
