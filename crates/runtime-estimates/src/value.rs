//! Format of the stored values: many histories per value, in a bounded number of values.

use crate::constants::*;
use crate::history::{History, Run};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Unique identity of a write: the leader's fencing token and its count of writes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Fencing token of the leader that wrote the value.
    pub token: u64,
    /// Number of this write among those of that leader.
    pub count: u64,
}

/// Error that prevents a stored value from being decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The value has a later layout. It must be left untouched for the version that wrote it.
    #[error("unsupported layout version {0}")]
    LaterLayout(u8),
    /// The value is truncated, corrupted or contains invalid histories.
    #[error("value is truncated or corrupted")]
    Corrupted,
}

/// Histogram of the errors of past estimates, each in units of the estimate's standard deviation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ErrorHistogram(Vec<u32>);

impl ErrorHistogram {
    /// Counts an error of `z` standard deviations.
    pub fn add(&mut self, z: f64) {
        self.0.resize(ERROR_BINS, 0);
        let middle = (ERROR_BINS / 2) as f64;
        let bin = (z / ERROR_BIN_WIDTH + middle).round().clamp(0.0, middle * 2.0);
        self.0[bin as usize] += 1;
        self.fade();
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &ErrorHistogram) {
        if !other.0.is_empty() {
            self.0.resize(ERROR_BINS, 0);
        }
        self.0.iter_mut().zip(&other.0).for_each(|(own, added)| *own = own.saturating_add(*added));
        self.fade();
    }

    /// Halves all counts if their sum exceeds [`MAX_ERRORS`].
    fn fade(&mut self) {
        if self.0.iter().fold(0u32, |sum, n| sum.saturating_add(*n)) > MAX_ERRORS {
            self.0.iter_mut().for_each(|n| *n /= 2);
        }
    }

    /// Returns the quantile of errors at `probability`, in standard deviations. Counted errors are combined with a
    /// normal distribution that weighs [`ERROR_PRIOR_WEIGHT`].
    pub fn quantile(&self, probability: f64) -> f64 {
        let middle = (ERROR_BINS / 2) as f64;
        let edge = |bin: usize| (bin as f64 - 0.5 - middle) * ERROR_BIN_WIDTH;
        let total = ERROR_PRIOR_WEIGHT + self.0.iter().map(|n| f64::from(*n)).sum::<f64>();
        let mut cumulative = 0.0;
        for bin in 0..ERROR_BINS {
            let normal =
                crate::shape::normal_tail(edge(bin)) - crate::shape::normal_tail(edge(bin + 1));
            let counted = self.0.get(bin).map_or(0.0, |n| f64::from(*n));
            let bin_probability = (counted + ERROR_PRIOR_WEIGHT * normal) / total;
            if cumulative + bin_probability >= probability && bin_probability > 0.0 {
                return edge(bin) + (probability - cumulative) / bin_probability * ERROR_BIN_WIDTH;
            }
            cumulative += bin_probability;
        }
        edge(ERROR_BINS)
    }
}

/// Histories of one stored value, by hash of the profile.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Bucket {
    /// Identity of the write that stored the value.
    pub stamp: Stamp,
    pub(crate) histories: HashMap<u64, History>,
    /// Errors of well-founded estimates (index 0) and of all others (index 1); see `is_well_founded` in the learner.
    pub(crate) errors: [ErrorHistogram; 2],
}

/// Stored form of a bucket. Histories are sorted by key and packed; only non-empty error bins are stored.
#[derive(Serialize, Deserialize)]
struct Layout {
    stamp: Stamp,
    histories: Vec<(u64, History)>,
    errors: [Vec<(u8, u32)>; 2],
}

/// Returns the bucket that contains the history of `key`.
pub(crate) fn bucket_of(key: u64) -> u8 {
    (key % u64::from(BUCKETS)) as u8
}

impl Bucket {
    /// Returns whether it contains neither histories nor errors.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty() && self.errors.iter().all(|errors| errors.0.is_empty())
    }
    /// Returns the runs of all histories, in no particular order.
    pub fn runs(&self) -> impl Iterator<Item = &Run> {
        self.histories.values().flat_map(|history| history.runs())
    }
    /// Returns the number of histories.
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Adds a run to the history of `key`.
    pub(crate) fn add(&mut self, key: u64, run: Run) {
        self.histories.entry(key).or_default().add(run);
        self.trim(MAX_HISTORIES_PER_BUCKET);
    }

    /// Adds all histories and errors of `other`, whose observations must not be included here yet.
    pub fn merge(&mut self, other: &Bucket) {
        for (key, history) in &other.histories {
            self.histories.entry(*key).or_default().merge(history);
        }
        self.errors.iter_mut().zip(&other.errors).for_each(|(own, added)| own.merge(added));
        self.trim(MAX_HISTORIES_PER_BUCKET);
    }

    /// Removes the least recently used histories beyond `max`.
    fn trim(&mut self, max: usize) {
        let excess = self.histories.len().saturating_sub(max);
        if excess == 0 {
            return;
        }
        let mut oldest: Vec<(u32, u64)> =
            self.histories.iter().map(|(key, history)| (history.newest(), *key)).collect();
        oldest.sort_unstable();
        for (_, key) in oldest.into_iter().take(excess) {
            self.histories.remove(&key);
        }
    }

    /// Encodes the value in at most `max_bytes`, removing the least recently used histories until it fits.
    pub fn encode(&mut self, max_bytes: usize) -> String {
        loop {
            let text = self.encode_all();
            if text.len() <= max_bytes || self.histories.is_empty() {
                return text;
            }
            let keep = self.histories.len() * max_bytes / text.len();
            self.trim(keep.min(self.histories.len() - 1));
        }
    }

    /// Encodes the complete bucket: format version, layout, checksum; as Base64.
    fn encode_all(&self) -> String {
        let mut histories: Vec<(u64, History)> =
            self.histories.iter().map(|(key, history)| (*key, history.packed())).collect();
        histories.sort_by_key(|(key, _)| *key);
        let sparse = |errors: &ErrorHistogram| {
            let bins = (0u8..).zip(errors.0.iter().copied());
            bins.filter(|(_, n)| *n > 0).collect()
        };
        let errors = [sparse(&self.errors[0]), sparse(&self.errors[1])];
        let layout = Layout { stamp: self.stamp, histories, errors };
        let mut bytes = vec![FORMAT];
        bytes.extend(postcard::to_stdvec(&layout).unwrap_or_default());
        let sum = checksum(&bytes);
        bytes.extend(sum);
        BASE64.encode(bytes)
    }

    /// Decodes a value. Never panics, also for arbitrary text.
    pub fn decode(text: &str) -> Result<Bucket, DecodeError> {
        let bytes = BASE64.decode(text).map_err(|_| DecodeError::Corrupted)?;
        let (body, sum) = bytes.split_last_chunk::<4>().ok_or(DecodeError::Corrupted)?;
        if checksum(body) != *sum {
            return Err(DecodeError::Corrupted);
        }
        let (format, body) = body.split_first().ok_or(DecodeError::Corrupted)?;
        if *format != FORMAT {
            return Err(DecodeError::LaterLayout(*format));
        }
        let layout: Layout = postcard::from_bytes(body).map_err(|_| DecodeError::Corrupted)?;
        let mut bucket = Bucket { stamp: layout.stamp, ..Bucket::default() };
        for (key, history) in layout.histories {
            let history = history.unpacked().ok_or(DecodeError::Corrupted)?;
            bucket.histories.insert(key, history);
        }
        for (errors, bins) in bucket.errors.iter_mut().zip(layout.errors) {
            if !bins.is_empty() {
                errors.0 = vec![0; ERROR_BINS];
            }
            for (bin, n) in bins {
                *errors.0.get_mut(usize::from(bin)).ok_or(DecodeError::Corrupted)? = n;
            }
            errors.fade();
        }
        bucket.trim(MAX_HISTORIES_PER_BUCKET);
        Ok(bucket)
    }
}

/// Returns the checksum of a value's bytes.
fn checksum(bytes: &[u8]) -> [u8; 4] {
    let [a, b, c, d, ..] = xxh3_64_with_seed(bytes, u64::from(FORMAT)).to_le_bytes();
    [a, b, c, d]
}

/// Returns a hash that is stable across processes and versions. Every part is preceded by its length.
pub(crate) fn hash(parts: &[&[u8]]) -> u64 {
    let mut bytes = Vec::with_capacity(96);
    for part in parts {
        bytes.extend((part.len() as u32).to_le_bytes());
        bytes.extend(*part);
    }
    xxh3_64(&bytes)
}

#[cfg(test)]
mod tests;
