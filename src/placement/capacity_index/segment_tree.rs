//! Segment tree of maxima that finds the first sufficiently large value without a linear scan.

use crate::ids::Amount;

/// Binary tree in an array: each inner node holds the componentwise maximum of the leaves below it.
/// The root is node 1, and the leaves begin at node `width`.
#[derive(Debug, Default)]
pub(super) struct SegmentTree {
    width: usize,
    maxima: Vec<Amount>,
}

impl SegmentTree {
    /// Creates a tree of `width` leaves that are all zero; `width` must be a power of two.
    pub(super) fn new(width: usize) -> SegmentTree {
        SegmentTree { width, maxima: vec![Amount::default(); width * 2] }
    }

    pub(super) fn width(&self) -> usize {
        self.width
    }

    /// Sets a leaf without updating the nodes above it: call [`SegmentTree::rebuild`] afterwards.
    pub(super) fn set_leaf(&mut self, leaf: usize, value: Amount) {
        self.maxima[self.width + leaf] = value;
    }

    /// Computes all inner nodes from the leaves.
    pub(super) fn rebuild(&mut self) {
        for node in (1..self.width).rev() {
            self.maxima[node] = self.maximum_of_children(node);
        }
    }

    /// Sets a leaf and updates the nodes above it.
    pub(super) fn update(&mut self, leaf: usize, value: Amount) {
        let mut node = self.width + leaf;
        if self.maxima[node] == value {
            return;
        }
        self.maxima[node] = value;
        while node > 1 {
            node /= 2;
            let maximum = self.maximum_of_children(node);
            if self.maxima[node] == maximum {
                return;
            }
            self.maxima[node] = maximum;
        }
    }

    /// Returns the first leaf at or after `from` into which `resources` fit. The maxima of an inner
    /// node may come from different leaves, so `resources` may fit the node but no leaf below it.
    pub(super) fn first_fit(&self, resources: &Amount, from: usize) -> Option<usize> {
        if from >= self.width {
            return None;
        }
        let mut node = self.width + from;
        loop {
            if resources.fits(&self.maxima[node]) {
                if node >= self.width {
                    return Some(node - self.width);
                }
                node *= 2;
                continue;
            }
            // Continues with the next branch to the right.
            while node % 2 == 1 {
                node /= 2;
            }
            if node == 0 {
                return None;
            }
            node += 1;
        }
    }

    fn maximum_of_children(&self, node: usize) -> Amount {
        let (a, b) = (&self.maxima[node * 2], &self.maxima[node * 2 + 1]);
        Amount { cpu: a.cpu.max(b.cpu), gpu: a.gpu.max(b.gpu), ram: a.ram.max(b.ram) }
    }
}
