//! The state service by itself: keys, revisions, leases and the log of changes, with no clock and no network.
//!
//! The simulated world and the scale run put their own time and transport around it.

use std::collections::{BTreeMap, HashMap};
use troutspindle::ids::Revision;
use troutspindle::schema::encoding::json_len;
use troutspindle::wire::{StoreValue, Transaction, WatchEvent, WatchResponse, Write};

/// A value with the revision of its last change and the lease that it is attached to.
type Stored = (StoreValue, u64, Option<u64>);

/// Why a transaction was not applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitError {
    /// The guards of these keys failed.
    Conflict(Vec<String>),
    /// More writes, guards or bytes than the limits permit.
    TooLarge,
    /// A write names a lease that has ended.
    NoSuchLease,
}

/// The keys and their history.
#[derive(Default)]
pub struct Store {
    pub keys: BTreeMap<String, Stored>,
    pub rev: u64,
    /// Changes in order of their revision; None stands for a removal.
    pub log: Vec<(u64, String, Option<StoreValue>)>,
    /// Life in milliseconds and the time of the end, by lease.
    pub leases: HashMap<u64, (u64, u64)>,
    pub next_lease: u64,
    /// Refuses everybody.
    pub out: bool,
    /// Follows that wait in the simulated world: node, its incarnation, call, revision, end.
    pub waiting: Vec<(usize, u32, u64, u64, u64)>,
}

impl Store {
    /// Applies a transaction whose guards hold, within limits of (writes, bytes of a value).
    pub fn commit(
        &mut self,
        txn: Transaction,
        (ops, bytes): (usize, usize),
    ) -> Result<Revision, CommitError> {
        let failed: Vec<String> = txn
            .preconditions
            .iter()
            .filter(|g| self.keys.get(&g.key).map_or(0, |(_, rev, _)| *rev) != g.rev.0)
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(CommitError::Conflict(failed));
        }
        let large = |write: &Write| match write {
            Write::Put { data, .. } => json_len(data) > bytes,
            Write::Delete { .. } => false,
        };
        if txn.writes.len() > ops
            || txn.preconditions.len() > ops * 4
            || txn.writes.iter().any(large)
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

    /// All changes later than a revision.
    pub fn news(&self, after: u64) -> WatchResponse {
        let first = self.log.partition_point(|(rev, ..)| *rev <= after);
        let news = self.log[first..].iter().map(|(rev, key, data)| {
            let (put, delete) =
                if data.is_some() { (Some(key.clone()), None) } else { (None, Some(key.clone())) };
            WatchEvent { put, delete, data: data.clone(), rev: Revision(*rev) }
        });
        WatchResponse { rev: Revision(self.rev), events: news.collect() }
    }

    /// Ends a lease and removes the keys that are attached to it.
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

    /// Ends the leases whose time is over; gives how many there were.
    pub fn end_expired_leases(&mut self, now_ms: u64) -> usize {
        let expired = self.leases.iter().filter(|(_, (_, until))| *until <= now_ms);
        let ended: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        ended.len()
    }
}
