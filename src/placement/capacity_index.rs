//! Finds the next machine, in index order, that has room for a task.
//!
//! First fit scans machines one after the other, which is most of a planning pass at hundreds of
//! machines and hundreds of waiting jobs. Here the machines of one zone, type and kind form a
//! group in index order, with a segment tree of their free resources for each basket. A search
//! skips branches without room and finds exactly what a scan finds.

mod segment_tree;

use super::basket::Basket;
use super::model::{Bin, BinIndex};
use crate::ids::{Amount, MachineTypeId, ZoneId};
use segment_tree::SegmentTree;
use std::collections::BTreeMap;

/// One for each basket and one for the pool.
const TREES: usize = 3;

/// The tree of a basket; none is the pool.
fn tree_number(basket: Option<Basket>) -> usize {
    match basket {
        Some(Basket::Light) => 0,
        Some(Basket::Heavy) => 1,
        None => 2,
    }
}

/// What the machines of a group have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct GroupKey {
    pub(super) booting: bool,
    pub(super) on_demand: bool,
    pub(super) zone: ZoneId,
    pub(super) machine_type: MachineTypeId,
}

impl GroupKey {
    fn of(bin: &Bin) -> GroupKey {
        GroupKey {
            booting: !bin.ready,
            on_demand: !bin.spot,
            zone: bin.zone,
            machine_type: bin.machine_type,
        }
    }
}

/// Position of a group in the index.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GroupNumber(usize);

/// A machine with room for a task, and its slot in its group.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) bin: BinIndex,
    pub(super) slot: usize,
}

#[derive(Debug)]
struct Group {
    key: GroupKey,
    /// The group's machines, in order of their index.
    bins: Vec<BinIndex>,
    trees: [SegmentTree; TREES],
}

impl Group {
    fn new(key: GroupKey, members: Vec<BinIndex>, bins: &[Bin]) -> Group {
        let mut group = Group { key, bins: members, trees: Default::default() };
        group.rebuild(bins);
        group
    }

    /// Builds trees that have a leaf for each machine.
    fn rebuild(&mut self, bins: &[Bin]) {
        let width = self.bins.len().next_power_of_two();
        self.trees = std::array::from_fn(|_| SegmentTree::new(width));
        for (slot, index) in self.bins.iter().enumerate() {
            let bin = &bins[index.0];
            self.trees[tree_number(bin.basket)].set_leaf(slot, bin.free);
        }
        self.trees.iter_mut().for_each(SegmentTree::rebuild);
    }

    fn update(&mut self, slot: usize, bin: &Bin) {
        let own = tree_number(bin.basket);
        for (number, tree) in self.trees.iter_mut().enumerate() {
            tree.update(slot, if number == own { bin.free } else { Amount::default() });
        }
    }
}

/// Where a machine stands in the index.
#[derive(Debug, Clone, Copy, Default)]
struct Position {
    group: GroupNumber,
    slot: usize,
}

/// Machines by group, basket and free resources.
#[derive(Debug)]
pub(super) struct CapacityIndex {
    groups: Vec<Group>,
    positions: Vec<Position>,
}

impl CapacityIndex {
    pub(super) fn new(bins: &[Bin]) -> CapacityIndex {
        let mut members: BTreeMap<GroupKey, Vec<BinIndex>> = BTreeMap::new();
        for (i, bin) in bins.iter().enumerate() {
            members.entry(GroupKey::of(bin)).or_default().push(BinIndex(i));
        }
        let mut groups = Vec::with_capacity(members.len());
        let mut positions = vec![Position::default(); bins.len()];
        for (key, mut members) in members {
            members.sort_by_key(|index| (bins[index.0].index, *index));
            for (slot, index) in members.iter().enumerate() {
                positions[index.0] = Position { group: GroupNumber(groups.len()), slot };
            }
            groups.push(Group::new(key, members, bins));
        }
        CapacityIndex { groups, positions }
    }

    /// Takes in that free resources or basket of a machine have changed.
    pub(super) fn update(&mut self, index: usize, bin: &Bin) {
        let Position { group, slot } = self.positions[index];
        self.groups[group.0].update(slot, bin);
    }

    /// Adds the last of the machines, whose index is beyond those of all others.
    pub(super) fn push(&mut self, bins: &[Bin]) {
        let Some((last, bin)) = bins.iter().enumerate().next_back() else { return };
        let key = GroupKey::of(bin);
        let number = self.groups.iter().position(|group| group.key == key);
        let number = number.unwrap_or_else(|| {
            self.groups.push(Group::new(key, Vec::new(), bins));
            self.groups.len() - 1
        });
        let group = &mut self.groups[number];
        let slot = group.bins.len();
        group.bins.push(BinIndex(last));
        self.positions.push(Position { group: GroupNumber(number), slot });
        if slot < group.trees[0].width() {
            group.update(slot, bin);
        } else {
            group.rebuild(bins);
        }
    }

    /// All groups, with what their machines have in common.
    pub(super) fn groups(&self) -> impl Iterator<Item = (GroupNumber, &GroupKey)> {
        self.groups.iter().enumerate().map(|(n, group)| (GroupNumber(n), &group.key))
    }

    /// The first machine of a group and basket (none: the pool), at or after a slot, that has room
    /// for the resources.
    pub(super) fn first_fit(
        &self,
        group: GroupNumber,
        basket: Option<Basket>,
        resources: &Amount,
        from: usize,
    ) -> Option<Candidate> {
        let group = &self.groups[group.0];
        let slot = group.trees[tree_number(basket)].first_fit(resources, from)?;
        // A task that needs nothing would fit beyond the last machine.
        group.bins.get(slot).map(|bin| Candidate { bin: *bin, slot })
    }
}
