//! Machines in fixed index order, searchable: which is the next one with room for a task?
//!
//! First fit looks at machines one after the other; at hundreds of machines and hundreds of waiting
//! jobs that look is most of a planning pass. Here machines of one kind (zone, type, spot or not,
//! up or booting) stand on one room_tree in index order, and above each basket's machines stands a tree
//! of the most room that any below has. A search skips whole branches without room, and what it
//! finds is what first fit finds; the tests of [`crate::placement`] compare both.

use crate::ids::Amount;
use crate::placement::{Basket, Bin};
use std::collections::BTreeMap;

/// A basket, or the pool.
pub type Place = Option<Basket>;

const PLACES: usize = 3;

fn number(place: Place) -> usize {
    match place {
        Some(Basket::Light) => 0,
        Some(Basket::Heavy) => 1,
        None => 2,
    }
}

/// What stands together on a room_tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapacityTree {
    pub booting: bool,
    pub ordinary: bool,
    pub zone: usize,
    pub flavor: usize,
}

impl CapacityTree {
    fn of(bin: &Bin) -> CapacityTree {
        CapacityTree {
            booting: !bin.ready,
            ordinary: !bin.spot,
            zone: bin.zone,
            flavor: bin.flavor,
        }
    }
}

/// The most room below each node, over the machines of one basket; the root is node 1, leaves
/// follow from `width` on.
#[derive(Debug, Default)]
struct Tree {
    width: usize,
    most: Vec<Amount>,
}

impl Tree {
    fn new(width: usize) -> Tree {
        Tree { width, most: vec![Amount::default(); width * 2] }
    }

    fn set(&mut self, at: usize, room: Amount) {
        let mut node = self.width + at;
        if self.most[node] == room {
            return;
        }
        self.most[node] = room;
        while node > 1 {
            node /= 2;
            let most = larger(&self.most[node * 2], &self.most[node * 2 + 1]);
            if self.most[node] == most {
                return;
            }
            self.most[node] = most;
        }
    }

    /// The first leaf at or after `from` whose room fits, as far as single amounts tell.
    fn next(&self, need: &Amount, from: usize) -> Option<usize> {
        if from >= self.width {
            return None;
        }
        let mut node = self.width + from;
        loop {
            if need.fits(&self.most[node]) {
                if node >= self.width {
                    return Some(node - self.width);
                }
                node *= 2;
                continue;
            }
            // On to the next branch to the right.
            while node % 2 == 1 {
                node /= 2;
            }
            if node == 0 {
                return None;
            }
            node += 1;
        }
    }
}

fn larger(a: &Amount, b: &Amount) -> Amount {
    Amount { cpu: a.cpu.max(b.cpu), gpu: a.gpu.max(b.gpu), ram: a.ram.max(b.ram) }
}

#[derive(Debug, Default)]
struct Row {
    /// Numbers of the bins, in order of their index.
    bins: Vec<usize>,
    trees: [Tree; PLACES],
}

#[derive(Debug, Default)]
pub struct CapacityIndex {
    room_index: Vec<(CapacityTree, Row)>,
    /// Where each bin stands: room_tree and place on it.
    at: Vec<(usize, usize)>,
}

impl CapacityIndex {
    pub fn new(bins: &[Bin]) -> CapacityIndex {
        let mut rows: BTreeMap<CapacityTree, Vec<usize>> = BTreeMap::new();
        for (i, bin) in bins.iter().enumerate() {
            rows.entry(CapacityTree::of(bin)).or_default().push(i);
        }
        let mut room_index = CapacityIndex { room_index: Vec::new(), at: vec![(0, 0); bins.len()] };
        for (room_tree, mut row) in rows {
            row.sort_by_key(|&i| (bins[i].index, i));
            for (slot, i) in row.iter().enumerate() {
                room_index.at[*i] = (room_index.room_index.len(), slot);
            }
            room_index.room_index.push((room_tree, Row::default()));
            let last = room_index.room_index.len() - 1;
            room_index.room_index[last].1.bins = row;
            room_index.grow(last, bins);
        }
        room_index
    }

    /// Makes trees that have room for the row, and fills them.
    fn grow(&mut self, room_tree: usize, bins: &[Bin]) {
        let row = &mut self.room_index[room_tree].1;
        let width = row.bins.len().next_power_of_two();
        row.trees = std::array::from_fn(|_| Tree::new(width));
        for (slot, i) in row.bins.iter().enumerate() {
            let bin = &bins[*i];
            let tree = &mut row.trees[number(bin.basket)];
            tree.most[width + slot] = bin.free;
        }
        for tree in &mut row.trees {
            for node in (1..width).rev() {
                tree.most[node] = larger(&tree.most[node * 2], &tree.most[node * 2 + 1]);
            }
        }
    }

    /// Room, basket or both of a bin have changed.
    pub fn changed(&mut self, i: usize, bin: &Bin) {
        let (room_tree, slot) = self.at[i];
        let here = number(bin.basket);
        for (place, tree) in self.room_index[room_tree].1.trees.iter_mut().enumerate() {
            tree.set(slot, if place == here { bin.free } else { Amount::default() });
        }
    }

    /// The last bin is new; its index is beyond all others'.
    pub fn push(&mut self, bins: &[Bin]) {
        let Some((i, bin)) = bins.iter().enumerate().next_back() else { return };
        let kind = CapacityTree::of(bin);
        let room_tree = self.room_index.iter().position(|(room_tree, _)| *room_tree == kind);
        let room_tree = room_tree.unwrap_or_else(|| {
            self.room_index.push((kind, Row::default()));
            self.room_index.len() - 1
        });
        let row = &mut self.room_index[room_tree].1;
        row.bins.push(i);
        self.at.push((room_tree, row.bins.len() - 1));
        if row.bins.len() > row.trees[0].width {
            self.grow(room_tree, bins);
        } else {
            self.changed(i, bin);
        }
    }

    /// RoomIndex by their numbers.
    pub fn kinds(&self) -> impl Iterator<Item = (usize, &CapacityTree)> {
        self.room_index.iter().map(|(room_tree, _)| room_tree).enumerate()
    }

    /// The first bin of the room_tree, at or after a slot, that may have the room: its number and slot.
    pub fn next(
        &self,
        room_tree: usize,
        place: Place,
        need: &Amount,
        from: usize,
    ) -> Option<(usize, usize)> {
        let row = &self.room_index[room_tree].1;
        let slot = row.trees[number(place)].next(need, from)?;
        // Beyond the last bin a task that needs nothing would "fit".
        row.bins.get(slot).map(|bin| (*bin, slot))
    }
}
