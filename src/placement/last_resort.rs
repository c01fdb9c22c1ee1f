//! Placement on machines that are a last resort: those on which tasks of the job failed, and those that may be faulty.

use super::model::{BinIndex, PlacementRequest};
use super::packing::{Allocation, Packer};

impl Packer {
    /// Assigns tasks to machines that are up and a last resort, in index order: one to each, or any number of a gang's.
    pub(super) fn fill_last_resort(&mut self, allocation: &mut Allocation<'_>) {
        if !self.can_place_more(allocation) {
            return;
        }
        for index in self.last_resort_bins_of(allocation.request) {
            let bin = &self.bins[index.0];
            let request = &*allocation.request;
            if !bin.ready
                || !request.allows_basket(bin.basket)
                || !request.allows(bin.zone, bin.machine_type, bin.spot)
                || self.is_at_heavy_limit(allocation, bin.basket)
                || !self.can_place_more(allocation)
            {
                continue;
            }
            let max_tasks = if request.gang { u32::MAX } else { 1 };
            if self.assign_up_to(max_tasks, allocation, index) > 0 {
                self.record_trial(allocation.request, index);
            }
        }
    }

    /// Returns the machines that are a last resort for a request, in index order.
    fn last_resort_bins_of(&self, request: &PlacementRequest) -> Vec<BinIndex> {
        let mut found = self.last_resort_bins.clone();
        if !request.last_resort_machines.is_empty() {
            let is_own = |index: &BinIndex| {
                let bin = &self.bins[index.0];
                !bin.last_resort && request.last_resort_machines.contains(&bin.index)
            };
            found.extend((0..self.bins.len()).map(BinIndex).filter(is_own));
        }
        found.sort_by_key(|index| self.bins[index.0].index);
        found
    }

    /// Keeps other tasks off a machine on which a task was placed as a last resort. The heavy tasks
    /// that remain may be placed again in the same pass.
    fn record_trial(&mut self, request: &mut PlacementRequest, index: BinIndex) {
        self.last_resort_bins.retain(|bin| *bin != index);
        if !request.gang {
            let machine = self.bins[index.0].index;
            request.last_resort_machines.retain(|other| *other != machine);
            request.excluded_machines.push(machine);
        }
    }
}
