//! Which images machines have, kept at the state service for a leader to come.
//!
//! No report tells which images a machine has cached. A leader learns it from what ran there, and its
//! successor would know only the images of what runs at the moment of the take-over; the rest of a
//! fleet would be taken for cold. So the leader writes down what it knows, a few machines at a time
//! and after all else. It is a hint: a wrong or missing entry costs a fetch and nothing more.

use crate::constants::*;
use crate::ids::MachineId;
use crate::records;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// `t/i/<bucket>`: the machines of one bucket. Versions before this one pass it over.
pub const IMAGES_PREFIX: &str = "t/i/";

/// The machines that share a value: which one follows from the name alone, so that every leader
/// writes a machine to the same place.
pub fn bucket(machine: &MachineId) -> u8 {
    (xxhash_rust::xxh3::xxh3_64(machine.as_str().as_bytes()) % u64::from(IMAGE_BUCKETS)) as u8
}

pub fn key(bucket: u8) -> String {
    format!("{IMAGES_PREFIX}{bucket:02x}")
}

pub fn bucket_of_key(key: &str) -> Option<u8> {
    let bucket = u8::from_str_radix(key.strip_prefix(IMAGES_PREFIX)?, 16).ok()?;
    (bucket < IMAGE_BUCKETS).then_some(bucket)
}

/// The value of such a key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Names of images.
    pub n: Vec<Arc<str>>,
    /// Which of them each machine has: bit 0 stands for the first name, in hexadecimal.
    pub m: BTreeMap<MachineId, String>,
}

impl Record {
    /// What fits into a value: the images that most machines have, and of the machines those that come
    /// first.
    pub fn pack(machines: &[(&MachineId, &[Arc<str>])], fits: impl Fn(&Record) -> bool) -> Record {
        let mut holders: HashMap<&Arc<str>, usize> = HashMap::new();
        for image in machines.iter().flat_map(|(_, images)| images.iter()) {
            *holders.entry(image).or_default() += 1;
        }
        let mut names: Vec<(&Arc<str>, usize)> = holders.into_iter().collect();
        names.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(b.0)));
        names.truncate(IMAGES_KEPT);
        // The order by name does not change with every machine that fetches one more.
        let mut n: Vec<Arc<str>> = names.into_iter().map(|(name, _)| name.clone()).collect();
        n.sort();
        let bits = |images: &[Arc<str>]| {
            let has = |(at, name): (usize, &Arc<str>)| u64::from(images.contains(name)) << at;
            n.iter().enumerate().map(has).sum::<u64>()
        };
        let held = machines.iter().map(|(id, images)| ((*id).clone(), bits(images)));
        let m = held.filter(|(_, bits)| *bits > 0).map(|(id, bits)| (id, format!("{bits:x}")));
        let m = m.collect();
        let mut record = Record { n, m };
        while !record.m.is_empty() && !fits(&record) {
            // By a tenth at a time: which machines are left out matters little.
            let keep = record.m.len() * 9 / 10;
            record.m = std::mem::take(&mut record.m).into_iter().take(keep).collect();
        }
        record
    }

    /// What it says of each machine; what can't be read says nothing.
    pub fn unpack(&self) -> impl Iterator<Item = (&MachineId, Vec<Arc<str>>)> {
        self.m.iter().map(|(id, bits)| {
            let bits = u64::from_str_radix(bits, 16).unwrap_or(0);
            let names = self.n.iter().take(IMAGES_KEPT).enumerate();
            let held = names.filter(|(at, _)| bits >> at & 1 == 1);
            (id, held.map(|(_, name)| name.clone()).collect())
        })
    }

    /// How many pairs of a machine and an image it lacks.
    fn lacks(&self, machines: &[(&MachineId, &[Arc<str>])]) -> usize {
        let known = |id: &MachineId| {
            let bits = self.m.get(id).and_then(|bits| u64::from_str_radix(bits, 16).ok());
            bits.unwrap_or(0).count_ones() as usize
        };
        machines.iter().map(|(id, images)| images.len().saturating_sub(known(id))).sum()
    }
}

/// Of all machines, the bucket whose value is most worth writing anew, with that value.
pub fn stalest<'a>(
    machines: impl Iterator<Item = (&'a MachineId, &'a [Arc<str>])>,
    kept: impl Fn(u8) -> Option<&'a Record>,
    layout: &records::Layout,
) -> Option<(u8, Record)> {
    let mut buckets: Vec<Vec<(&MachineId, &[Arc<str>])>> = vec![Vec::new(); IMAGE_BUCKETS.into()];
    for (id, images) in machines {
        buckets[usize::from(bucket(id))].push((id, images));
    }
    let empty = Record::default();
    let worth = |(n, machines): &(u8, Vec<_>)| {
        let kept = kept(*n).unwrap_or(&empty);
        // Entries of machines that are gone only take room.
        kept.lacks(machines) + kept.m.len().saturating_sub(machines.len())
    };
    let buckets = (0u8..).zip(buckets);
    let (n, machines) = buckets.max_by_key(|bucket| worth(bucket))?;
    let record = Record::pack(&machines, |record| layout.fits(record));
    (kept(n).unwrap_or(&empty) != &record).then_some((n, record))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn layout(value_max: usize) -> records::Layout {
        records::Layout { format: 2, chunk: 16_384, txn_ops: 12, value_max }
    }

    /// A successor reads from the store what its predecessor knew, after as many writes as there are
    /// buckets; where values are small it knows a part of it, and never anything wrong.
    #[test]
    fn a_successor_knows_what_its_predecessor_knew() {
        let image = |n: usize| Arc::<str>::from(format!("img-{n:02}"));
        let fleet: BTreeMap<MachineId, Vec<Arc<str>>> = (0..300)
            .map(|n| {
                let images = (0..24).filter(|image| (n * 7 + image * 13) % 5 < 3).map(image);
                (MachineId::new(&format!("i-{n:06}")), images.collect())
            })
            .collect();
        for (value_max, all) in [(1800, true), (300, false)] {
            let mut store: BTreeMap<u8, Record> = BTreeMap::new();
            let look = |store: &BTreeMap<u8, Record>| {
                let machines = fleet.iter().map(|(id, images)| (id, images.as_slice()));
                let kept: BTreeMap<u8, &Record> = store.iter().map(|(n, r)| (*n, r)).collect();
                stalest(machines, |n| kept.get(&n).copied(), &layout(value_max))
            };
            for _ in 0..IMAGE_BUCKETS {
                let Some((n, record)) = look(&store) else { break };
                assert!(layout(value_max).fits(&record));
                store.insert(n, record);
            }
            let read: BTreeMap<&MachineId, Vec<Arc<str>>> =
                store.values().flat_map(Record::unpack).collect();
            for (id, images) in &read {
                assert!(images.iter().all(|image| fleet[*id].contains(image)));
            }
            assert_eq!(read.len() == fleet.len(), all);
            if all {
                assert!(fleet.iter().all(|(id, images)| read[id] == *images));
                assert_eq!(look(&store), None, "nothing more is written while nothing changes");
            }
        }
    }

    #[test]
    fn hostile_values_say_nothing() {
        let m = BTreeMap::from([
            (MachineId::new("i-1"), "ffffffffffffffffff".to_owned()),
            (MachineId::new("i-2"), "-1".to_owned()),
            (MachineId::new("i-3"), "3".to_owned()),
        ]);
        let record = Record { n: vec!["a".into(); 200], m };
        let held: Vec<usize> = record.unpack().map(|(_, images)| images.len()).collect();
        assert_eq!(held, [0, 0, 2]);
        assert_eq!(bucket_of_key("t/i/ff"), None);
        assert_eq!(bucket_of_key("t/i/x"), None);
        assert_eq!(bucket_of_key(&key(IMAGE_BUCKETS - 1)), Some(IMAGE_BUCKETS - 1));
    }
}
