//! Schedules writes of histories to the store, so that no observation counts twice and no written one is lost.
//!
//! A write replaces the whole value of a bucket: the stored value merged with this leader's observations since. Its
//! preconditions are the revision that it builds on and the leader's key, and it carries a unique stamp. While the
//! result of a write is unknown, its observations are neither added again nor dropped: the same write is sent again,
//! and the stamp of the value that is read later shows whether it was executed.

use crate::constants::*;
use crate::history::{History, Run};
use crate::value::{Bucket, DecodeError, ErrorHistogram, Stamp, bucket_of};
use std::borrow::Cow;

/// Write of one bucket, to be executed only if its key still has the given revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BucketWrite {
    /// Bucket to write.
    pub bucket: u8,
    /// Encoded value.
    pub value: String,
    /// Expected revision of the key, 0 if the key must not exist.
    pub rev: u64,
}

/// Result of a write as known to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The write was executed or failed a precondition. The value that is read next shows which.
    Settled,
    /// The write may have been executed, may still be executed, or was certainly not executed. It is sent again.
    Unknown,
    /// The write can never be executed, since it is too large or malformed.
    Invalid,
}

/// Write whose result has not been confirmed by a value read from the store.
#[derive(Debug)]
struct InFlightWrite {
    write: BucketWrite,
    stamp: Stamp,
    /// Observations that it adds to the stored value.
    added: Bucket,
    /// Whether it is due to be sent again.
    resend: bool,
}

/// State of one bucket.
#[derive(Debug, Default)]
struct BucketState {
    /// Value last read from the store.
    stored: Bucket,
    /// Revision of the key, 0 if it does not exist.
    rev: u64,
    /// Observations since that no write contains yet.
    unwritten: Bucket,
    in_flight: Option<InFlightWrite>,
    /// Whether the stored value has a later layout and must not be overwritten.
    has_later_layout: bool,
    /// Time of the last write of this bucket.
    written_ms: Option<u64>,
    /// Maximum size of a value in bytes: half the size of the last write that was rejected as invalid, if any.
    max_bytes: Option<usize>,
}

/// Write-back cache of the stored histories. Contains the values last read and the observations not written yet.
#[derive(Debug)]
pub struct HistoryCache {
    buckets: Vec<BucketState>,
    /// Errors of all buckets; indexed as [`Bucket::errors`].
    errors: [ErrorHistogram; 2],
    /// 10% and 90% quantiles of `errors`, recomputed on every change.
    error_quantiles: [(f64, f64); 2],
    /// Number of writes so far, for their stamps.
    write_count: u64,
    /// Time of the last write of any bucket.
    written_ms: Option<u64>,
}

impl Default for HistoryCache {
    fn default() -> HistoryCache {
        let buckets = std::iter::repeat_with(BucketState::default).take(BUCKETS.into()).collect();
        let errors = <[ErrorHistogram; 2]>::default();
        let error_quantiles = error_quantiles(&errors);
        HistoryCache { buckets, errors, error_quantiles, write_count: 0, written_ms: None }
    }
}

impl HistoryCache {
    fn bucket_state(&mut self, key: u64) -> &mut BucketState {
        &mut self.buckets[usize::from(bucket_of(key))]
    }

    fn unwritten(&mut self, key: u64) -> &mut Bucket {
        &mut self.bucket_state(key).unwritten
    }

    /// Adds an observed run to the history of `key`.
    pub(crate) fn add(&mut self, key: u64, run: Run) {
        self.unwritten(key).add(key, run);
    }

    /// Records that an estimate was off by `z` standard deviations. `kind`: as in [`HistoryCache::error_quantiles`].
    pub(crate) fn add_error(&mut self, key: u64, kind: usize, z: f64) {
        self.unwritten(key).errors[kind].add(z);
        self.errors[kind].add(z);
        self.error_quantiles = error_quantiles(&self.errors);
    }

    /// Returns the 10% and 90% quantiles of the errors of well-founded estimates (`kind` 0) or of others (1), in
    /// standard deviations.
    pub(crate) fn error_quantiles(&self, kind: usize) -> (f64, f64) {
        self.error_quantiles[kind]
    }

    /// Calls `read` with the complete history of `key`: stored, in flight and unwritten. Returns `None` if there is no
    /// history.
    pub(crate) fn with_history<T>(&self, key: u64, read: impl Fn(&History) -> T) -> Option<T> {
        let state = &self.buckets[usize::from(bucket_of(key))];
        let in_flight = state.in_flight.as_ref().map(|in_flight| &in_flight.added);
        let parts = [Some(&state.stored), in_flight, Some(&state.unwritten)];
        let mut merged: Option<Cow<History>> = None;
        for part in parts.into_iter().flatten().filter_map(|part| part.histories.get(&key)) {
            match &mut merged {
                None => merged = Some(Cow::Borrowed(part)),
                Some(history) => history.to_mut().merge(part),
            }
        }
        merged.map(|history| read(&history))
    }

    /// Returns the approximate number of histories: per bucket the larger of stored and unwritten ones.
    pub fn len(&self) -> usize {
        self.buckets.iter().map(|state| state.stored.len().max(state.unwritten.len())).sum()
    }
    /// Returns whether no history is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies the current stored value of a bucket, or its absence. An undecodable value is treated as empty, so that
    /// only the histories in it are lost.
    pub fn on_stored_value(
        &mut self,
        bucket: u8,
        value: Option<&str>,
        rev: u64,
    ) -> Result<(), DecodeError> {
        let Some(state) = self.buckets.get_mut(usize::from(bucket)) else { return Ok(()) };
        if rev == state.rev {
            return Ok(());
        }
        let decoded = value.map_or(Ok(Bucket::default()), Bucket::decode);
        state.rev = rev;
        state.has_later_layout = matches!(decoded, Err(DecodeError::LaterLayout(_)));
        state.stored = decoded.as_ref().cloned().unwrap_or_default();
        if let Some(in_flight) = state.in_flight.take() {
            // Its precondition names an outdated revision, so it can no longer be executed.
            if state.stored.stamp != in_flight.stamp {
                state.unwritten.merge(&in_flight.added);
            }
        }
        self.errors = <[ErrorHistogram; 2]>::default();
        for part in self.buckets.iter().flat_map(|state| {
            [
                Some(&state.stored),
                state.in_flight.as_ref().map(|in_flight| &in_flight.added),
                Some(&state.unwritten),
            ]
        }) {
            let errors = part.into_iter().flat_map(|bucket| &bucket.errors);
            self.errors.iter_mut().zip(errors).for_each(|(total, errors)| total.merge(errors));
        }
        self.error_quantiles = error_quantiles(&self.errors);
        decoded.map(|_| ())
    }

    /// Handles the result of the bucket's write.
    pub fn on_write_result(&mut self, bucket: u8, result: WriteResult) {
        let Some(state) = self.buckets.get_mut(usize::from(bucket)) else { return };
        match result {
            WriteResult::Settled => {}
            WriteResult::Unknown => {
                if let Some(in_flight) = &mut state.in_flight {
                    in_flight.resend = true;
                }
            }
            WriteResult::Invalid => {
                if let Some(in_flight) = state.in_flight.take() {
                    state.max_bytes = Some(in_flight.write.value.len() / 2);
                    state.unwritten.merge(&in_flight.added);
                }
            }
        }
    }

    /// Returns the next write if one is due, of the bucket that was written least recently. `token`: fencing token of
    /// this leader; `max_bytes`: maximum size of a value.
    pub fn poll(&mut self, token: u64, max_bytes: usize, now_ms: u64) -> Option<BucketWrite> {
        if self.written_ms.is_some_and(|at| now_ms < at + WRITE_INTERVAL_MS) {
            return None;
        }
        let is_due = |state: &BucketState| {
            let interval_elapsed =
                state.written_ms.is_none_or(|at| now_ms >= at + REWRITE_INTERVAL_MS);
            let has_write = match &state.in_flight {
                Some(in_flight) => in_flight.resend,
                None => !state.unwritten.is_empty() && !state.has_later_layout,
            };
            interval_elapsed && has_write
        };
        let (bucket, state) = (0u8..)
            .zip(&mut self.buckets)
            .filter(|(_, state)| is_due(state))
            .min_by_key(|(bucket, state)| (state.written_ms, *bucket))?;
        state.written_ms = Some(now_ms);
        self.written_ms = Some(now_ms);
        if let Some(in_flight) = &mut state.in_flight {
            in_flight.resend = false;
            return Some(in_flight.write.clone());
        }
        self.write_count += 1;
        let stamp = Stamp { token, count: self.write_count };
        let added = std::mem::take(&mut state.unwritten);
        let mut merged = state.stored.clone();
        merged.merge(&added);
        merged.stamp = stamp;
        let value = merged.encode(max_bytes.min(state.max_bytes.unwrap_or(max_bytes)));
        let write = BucketWrite { bucket, value, rev: state.rev };
        state.in_flight = Some(InFlightWrite { write: write.clone(), stamp, added, resend: false });
        Some(write)
    }
}

/// Returns the 10% and 90% quantiles of each histogram.
fn error_quantiles(errors: &[ErrorHistogram; 2]) -> [(f64, f64); 2] {
    errors.each_ref().map(|errors| (errors.quantile(0.1), errors.quantile(0.9)))
}

#[cfg(test)]
mod tests;
