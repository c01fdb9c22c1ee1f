//! What is written to the state service and when, so that no observation counts twice and none that was
//! written is lost.
//!
//! A value is written whole: what was kept there, and on top of it what this leader saw since. The write is
//! guarded by the revision that it builds on and by the leader's key, and bears a stamp that no other write
//! bears. As long as it is not known whether it was done, what it added is neither added anew nor dropped:
//! the same write is sent again, and the stamp of what is found in the end tells which it was.

use crate::constants::*;
use crate::history::{History, Run};
use crate::value::{Bucket, Errors, Stamp, Unreadable, bucket_of};
use std::borrow::Cow;

/// A write that is to be done, guarded by the revision of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    pub bucket: u8,
    pub value: String,
    pub rev: u64,
}

/// What came of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// Done, or refused by a guard: the value that is there now tells which.
    Settled,
    /// Perhaps done, perhaps yet to be, or surely not.
    Unsure,
    /// Not to be done ever: too large, or malformed.
    Invalid,
}

#[derive(Debug)]
struct Flight {
    write: Write,
    stamp: Stamp,
    /// What it adds to what was kept.
    adds: Bucket,
    /// It is to be sent again.
    again: bool,
}

#[derive(Debug, Default)]
struct Slot {
    kept: Bucket,
    /// Revision of the key, 0 if there is none.
    rev: u64,
    /// Seen since and not written yet.
    delta: Bucket,
    flight: Option<Flight>,
    /// A later version's: not to be touched.
    later: bool,
    written_ms: Option<u64>,
    /// Bytes that a value may have here, once one was too large.
    most: Option<usize>,
}

/// What is kept at the state service, as far as it is known here, and what is to be written there.
#[derive(Debug)]
pub struct Keeper {
    slots: Vec<Slot>,
    all: [Errors; 2],
    /// The 10% and 90% points of these, reckoned when they change.
    points: [(f64, f64); 2],
    count: u64,
    written_ms: Option<u64>,
}

impl Default for Keeper {
    fn default() -> Keeper {
        let slots = std::iter::repeat_with(Slot::default).take(BUCKETS.into()).collect();
        let all = <[Errors; 2]>::default();
        let points = points(&all);
        Keeper { slots, all, points, count: 0, written_ms: None }
    }
}

impl Keeper {
    fn slot(&mut self, key: u64) -> &mut Slot {
        &mut self.slots[usize::from(bucket_of(key))]
    }

    fn delta(&mut self, key: u64) -> &mut Bucket {
        &mut self.slot(key).delta
    }

    pub(crate) fn add(&mut self, key: u64, run: Run) {
        self.delta(key).add(key, run);
    }

    /// An estimate was off by so many of its standard deviations; kinds as in [`Keeper::points`].
    pub(crate) fn add_error(&mut self, key: u64, kind: usize, z: f64) {
        self.delta(key).errors[kind].add(z);
        self.all[kind].add(z);
        self.points = points(&self.all);
    }

    /// Standard deviations by which estimates were off: the 10% and 90% points, of those that rest on
    /// enough runs (0) and of others (1).
    pub(crate) fn points(&self, kind: usize) -> (f64, f64) {
        self.points[kind]
    }

    /// Looks at all that is known under a key.
    pub(crate) fn look<T>(&self, key: u64, look: impl Fn(&History) -> T) -> Option<T> {
        let slot = &self.slots[usize::from(bucket_of(key))];
        let flying = slot.flight.as_ref().map(|flight| &flight.adds);
        let parts = [Some(&slot.kept), flying, Some(&slot.delta)];
        let mut all: Option<Cow<History>> = None;
        for part in parts.into_iter().flatten().filter_map(|part| part.histories.get(&key)) {
            match &mut all {
                None => all = Some(Cow::Borrowed(part)),
                Some(known) => known.to_mut().merge(part),
            }
        }
        all.map(|known| look(&known))
    }

    /// How many histories are known.
    pub fn len(&self) -> usize {
        self.slots.iter().map(|slot| slot.kept.len().max(slot.delta.len())).sum()
    }
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What stands at the state service now, or that nothing does. An unreadable value costs what was
    /// learned there and nothing else.
    pub fn on_kept(&mut self, bucket: u8, value: Option<&str>, rev: u64) -> Result<(), Unreadable> {
        let Some(slot) = self.slots.get_mut(usize::from(bucket)) else { return Ok(()) };
        if rev == slot.rev {
            return Ok(());
        }
        let found = value.map_or(Ok(Bucket::default()), Bucket::decode);
        slot.rev = rev;
        slot.later = matches!(found, Err(Unreadable::Later(_)));
        slot.kept = found.as_ref().cloned().unwrap_or_default();
        if let Some(flight) = slot.flight.take() {
            // Its guard names a revision that is past, so it will not be done any more.
            if slot.kept.stamp != flight.stamp {
                slot.delta.merge(&flight.adds);
            }
        }
        self.all = <[Errors; 2]>::default();
        for part in self.slots.iter().flat_map(|slot| {
            [Some(&slot.kept), slot.flight.as_ref().map(|f| &f.adds), Some(&slot.delta)]
        }) {
            let errors = part.into_iter().flat_map(|bucket| &bucket.errors);
            self.all.iter_mut().zip(errors).for_each(|(all, errors)| all.merge(errors));
        }
        self.points = points(&self.all);
        found.map(|_| ())
    }

    pub fn on_told(&mut self, bucket: u8, told: Told) {
        let Some(slot) = self.slots.get_mut(usize::from(bucket)) else { return };
        match told {
            Told::Settled => {}
            Told::Unsure => {
                if let Some(flight) = &mut slot.flight {
                    flight.again = true;
                }
            }
            Told::Invalid => {
                if let Some(flight) = slot.flight.take() {
                    slot.most = Some(flight.write.value.len() / 2);
                    slot.delta.merge(&flight.adds);
                }
            }
        }
    }

    /// The next write, if one is due: that which waits for longest. `most`: bytes of a value.
    pub fn poll(&mut self, token: u64, most: usize, now_ms: u64) -> Option<Write> {
        if self.written_ms.is_some_and(|at| now_ms < at + WRITE_INTERVAL_MS) {
            return None;
        }
        let due = |slot: &Slot| {
            let rested = slot.written_ms.is_none_or(|at| now_ms >= at + REWRITE_INTERVAL_MS);
            let wants = match &slot.flight {
                Some(flight) => flight.again,
                None => !slot.delta.is_empty() && !slot.later,
            };
            rested && wants
        };
        let (bucket, slot) = (0u8..)
            .zip(&mut self.slots)
            .filter(|(_, slot)| due(slot))
            .min_by_key(|(bucket, slot)| (slot.written_ms, *bucket))?;
        slot.written_ms = Some(now_ms);
        self.written_ms = Some(now_ms);
        if let Some(flight) = &mut slot.flight {
            flight.again = false;
            return Some(flight.write.clone());
        }
        self.count += 1;
        let stamp = Stamp { token, count: self.count };
        let adds = std::mem::take(&mut slot.delta);
        let mut whole = slot.kept.clone();
        whole.merge(&adds);
        whole.stamp = stamp;
        let value = whole.encode(most.min(slot.most.unwrap_or(most)));
        let write = Write { bucket, value, rev: slot.rev };
        slot.flight = Some(Flight { write: write.clone(), stamp, adds, again: false });
        Some(write)
    }
}

fn points(all: &[Errors; 2]) -> [(f64, f64); 2] {
    all.each_ref().map(|errors| (errors.point(0.1), errors.point(0.9)))
}

#[cfg(test)]
mod tests;
