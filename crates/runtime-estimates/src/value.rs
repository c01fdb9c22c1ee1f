//! What is kept at the state service: many histories to a value, in a bounded number of values.

use crate::constants::*;
use crate::history::{History, Run};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Which write a value is of: the leader's token and its own count. No two writes share one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    pub token: u64,
    pub count: u64,
}

/// Why a value says nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// It belongs to a later version, which will want it back.
    #[error("of layout {0}, which this version does not read")]
    Later(u8),
    #[error("cut short or damaged")]
    Damaged,
}

/// How far off estimates were, in their own standard deviations: how often in each bin.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Errors(Vec<u32>);

impl Errors {
    pub fn add(&mut self, z: f64) {
        self.0.resize(ERROR_BINS, 0);
        let middle = (ERROR_BINS / 2) as f64;
        let bin = (z / ERROR_BIN_WIDTH + middle).round().clamp(0.0, middle * 2.0);
        self.0[bin as usize] += 1;
        self.fade();
    }

    pub fn merge(&mut self, other: &Errors) {
        if !other.0.is_empty() {
            self.0.resize(ERROR_BINS, 0);
        }
        self.0.iter_mut().zip(&other.0).for_each(|(mine, more)| *mine = mine.saturating_add(*more));
        self.fade();
    }

    fn fade(&mut self) {
        if self.0.iter().fold(0u32, |sum, n| sum.saturating_add(*n)) > MAX_ERRORS {
            self.0.iter_mut().for_each(|n| *n /= 2);
        }
    }

    /// The standard deviations below which a share of outcomes lies, by what came together with an
    /// assumption of normal errors.
    pub fn point(&self, share: f64) -> f64 {
        let middle = (ERROR_BINS / 2) as f64;
        let edge = |bin: usize| (bin as f64 - 0.5 - middle) * ERROR_BIN_WIDTH;
        let total = ERROR_PRIOR_WEIGHT + self.0.iter().map(|n| f64::from(*n)).sum::<f64>();
        let mut sum = 0.0;
        for bin in 0..ERROR_BINS {
            let normal = crate::shape::above(edge(bin)) - crate::shape::above(edge(bin + 1));
            let seen = self.0.get(bin).map_or(0.0, |n| f64::from(*n));
            let here = (seen + ERROR_PRIOR_WEIGHT * normal) / total;
            if sum + here >= share && here > 0.0 {
                return edge(bin) + (share - sum) / here * ERROR_BIN_WIDTH;
            }
            sum += here;
        }
        edge(ERROR_BINS)
    }
}

/// The histories of one value.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Bucket {
    pub stamp: Stamp,
    pub(crate) histories: HashMap<u64, History>,
    /// Of estimates that rest on enough runs, and of all others.
    pub(crate) errors: [Errors; 2],
}

#[derive(Serialize, Deserialize)]
struct Layout {
    stamp: Stamp,
    histories: Vec<(u64, History)>,
    errors: [Vec<(u8, u32)>; 2],
}

/// The value that a key's histories are in.
pub(crate) fn bucket_of(key: u64) -> u8 {
    (key % u64::from(BUCKETS)) as u8
}

impl Bucket {
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty() && self.errors.iter().all(|errors| errors.0.is_empty())
    }
    /// All runs that it remembers.
    pub fn runs(&self) -> impl Iterator<Item = &Run> {
        self.histories.values().flat_map(|known| known.runs())
    }
    /// How many histories it holds.
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    pub(crate) fn add(&mut self, key: u64, run: Run) {
        self.histories.entry(key).or_default().add(run);
        self.trim(MAX_HISTORIES_PER_BUCKET);
    }

    /// Takes in all that another one knows, each observation of which is new.
    pub fn merge(&mut self, other: &Bucket) {
        for (key, history) in &other.histories {
            self.histories.entry(*key).or_default().merge(history);
        }
        self.errors.iter_mut().zip(&other.errors).for_each(|(mine, more)| mine.merge(more));
        self.trim(MAX_HISTORIES_PER_BUCKET);
    }

    /// Forgets those that were not used for longest.
    fn trim(&mut self, most: usize) {
        let over = self.histories.len().saturating_sub(most);
        if over == 0 {
            return;
        }
        let mut oldest: Vec<(u32, u64)> =
            self.histories.iter().map(|(key, known)| (known.newest(), *key)).collect();
        oldest.sort_unstable();
        for (_, key) in oldest.into_iter().take(over) {
            self.histories.remove(&key);
        }
    }

    /// The value, of at most so many bytes; what was not used for longest is forgotten to make it fit.
    pub fn encode(&mut self, most: usize) -> String {
        loop {
            let text = self.spell();
            if text.len() <= most || self.histories.is_empty() {
                return text;
            }
            let keep = self.histories.len() * most / text.len();
            self.trim(keep.min(self.histories.len() - 1));
        }
    }

    fn spell(&self) -> String {
        let mut histories: Vec<(u64, History)> =
            self.histories.iter().map(|(key, known)| (*key, known.packed())).collect();
        histories.sort_by_key(|(key, _)| *key);
        let sparse = |errors: &Errors| {
            let bins = (0u8..).zip(errors.0.iter().copied());
            bins.filter(|(_, n)| *n > 0).collect()
        };
        let errors = [sparse(&self.errors[0]), sparse(&self.errors[1])];
        let layout = Layout { stamp: self.stamp, histories, errors };
        let mut bytes = vec![FORMAT];
        bytes.extend(postcard::to_stdvec(&layout).unwrap_or_default());
        let sum = check(&bytes);
        bytes.extend(sum);
        BASE64.encode(bytes)
    }

    /// Reads a value, whoever wrote it.
    pub fn decode(text: &str) -> Result<Bucket, Unreadable> {
        let bytes = BASE64.decode(text).map_err(|_| Unreadable::Damaged)?;
        let (body, sum) = bytes.split_last_chunk::<4>().ok_or(Unreadable::Damaged)?;
        if check(body) != *sum {
            return Err(Unreadable::Damaged);
        }
        let (format, body) = body.split_first().ok_or(Unreadable::Damaged)?;
        if *format != FORMAT {
            return Err(Unreadable::Later(*format));
        }
        let layout: Layout = postcard::from_bytes(body).map_err(|_| Unreadable::Damaged)?;
        let mut bucket = Bucket { stamp: layout.stamp, ..Bucket::default() };
        for (key, history) in layout.histories {
            let history = history.unpacked().ok_or(Unreadable::Damaged)?;
            bucket.histories.insert(key, history);
        }
        for (errors, bins) in bucket.errors.iter_mut().zip(layout.errors) {
            if !bins.is_empty() {
                errors.0 = vec![0; ERROR_BINS];
            }
            for (bin, n) in bins {
                *errors.0.get_mut(usize::from(bin)).ok_or(Unreadable::Damaged)? = n;
            }
            errors.fade();
        }
        bucket.trim(MAX_HISTORIES_PER_BUCKET);
        Ok(bucket)
    }
}

fn check(bytes: &[u8]) -> [u8; 4] {
    let [a, b, c, d, ..] = xxh3_64_with_seed(bytes, u64::from(FORMAT)).to_le_bytes();
    [a, b, c, d]
}

/// A hash that is the same in every process and version.
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
