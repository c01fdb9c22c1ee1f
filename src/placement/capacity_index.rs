//! Search for the next machine, in index order, that has enough free capacity for a task.
//!
//! A linear first-fit scan would take most of a planning pass at hundreds of machines and hundreds
//! of waiting jobs. This index groups the machines that agree in every field of [`GroupKey`], sorts
//! each group by machine index, and keeps a segment tree of free resources for each basket. A
//! search skips branches without enough capacity and finds the same machine as a scan.

mod segment_tree;

use super::basket::Basket;
use super::model::{Bin, BinIndex};
use crate::ids::{Amount, MachineTypeId, ZoneId};
use segment_tree::SegmentTree;
use std::collections::BTreeMap;

/// Number of segment trees in a group: one for each basket and one for the pool.
const TREES: usize = 3;

/// Returns the position of a basket's tree in [`Group::trees`]; `None` stands for the pool.
fn tree_number(basket: Option<Basket>) -> usize {
    match basket {
        Some(Basket::Light) => 0,
        Some(Basket::Heavy) => 1,
        None => 2,
    }
}

/// Properties that all machines of a group share.
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

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GroupNumber(usize);

/// Machine with enough free capacity for a task, and its slot in its group.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) bin: BinIndex,
    pub(super) slot: usize,
}

#[derive(Debug)]
struct Group {
    key: GroupKey,
    /// Machines of the group, in order of their index; the position is the machine's slot.
    bins: Vec<BinIndex>,
    trees: [SegmentTree; TREES],
}

impl Group {
    fn new(key: GroupKey, members: Vec<BinIndex>, bins: &[Bin]) -> Group {
        let mut group = Group { key, bins: members, trees: Default::default() };
        group.rebuild(bins);
        group
    }

    /// Builds the trees from scratch, wide enough to have a leaf for each machine.
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
        let own_tree = tree_number(bin.basket);
        for (number, tree) in self.trees.iter_mut().enumerate() {
            tree.update(slot, if number == own_tree { bin.free } else { Amount::default() });
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Position {
    group: GroupNumber,
    slot: usize,
}

/// Index of machines by group, basket and free resources.
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

    /// Updates a machine whose free resources or basket have changed.
    pub(super) fn update(&mut self, index: usize, bin: &Bin) {
        let Position { group, slot } = self.positions[index];
        self.groups[group.0].update(slot, bin);
    }

    /// Adds the last machine of `bins`; its machine index must not precede that of any other.
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

    pub(super) fn groups(&self) -> impl Iterator<Item = (GroupNumber, &GroupKey)> {
        self.groups.iter().enumerate().map(|(n, group)| (GroupNumber(n), &group.key))
    }

    /// Returns the first machine at or after slot `from` of a group that belongs to `basket` (`None`
    /// stands for the pool) and has at least `resources` free.
    pub(super) fn first_fit(
        &self,
        group: GroupNumber,
        basket: Option<Basket>,
        resources: &Amount,
        from: usize,
    ) -> Option<Candidate> {
        let group = &self.groups[group.0];
        let slot = group.trees[tree_number(basket)].first_fit(resources, from)?;
        // A task that needs no resources also fits the empty leaves after the last machine.
        group.bins.get(slot).map(|bin| Candidate { bin: *bin, slot })
    }
}
