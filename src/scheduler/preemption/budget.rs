//! How much may be preempted of each group while capacity is scarce: what it holds above its floor.

use crate::scheduler::fair_share::{DemandGroup, GroupShare};
use std::collections::BTreeMap;
use troutspindle_fair_share::Capacity;

/// What may still be preempted of each group; unlimited while nothing is scarce.
#[derive(Default)]
pub(super) struct PreemptionBudget(Option<BTreeMap<DemandGroup, Capacity>>);

impl PreemptionBudget {
    /// A budget of what each group holds above its floor; none: unlimited.
    pub(super) fn new(surplus: Option<BTreeMap<DemandGroup, Capacity>>) -> PreemptionBudget {
        PreemptionBudget(surplus)
    }

    /// Whether capacity is scarce, so that there are limits.
    pub(super) fn is_limited(&self) -> bool {
        self.0.is_some()
    }

    /// Whether a task may be preempted.
    pub(super) fn covers(&self, share: GroupShare) -> bool {
        self.0.as_ref().is_none_or(|budget| {
            budget.get(&share.group).is_some_and(|remaining| *remaining >= share.room)
        })
    }

    /// Takes what these tasks use from their groups' budgets, if it is there for all of them.
    pub(super) fn spend(&mut self, shares: impl Iterator<Item = GroupShare>) -> bool {
        let Some(budget) = &mut self.0 else { return true };
        let mut sums: BTreeMap<DemandGroup, Capacity> = BTreeMap::new();
        shares.for_each(|share| *sums.entry(share.group).or_default() += share.room);
        let is_short = |(group, room): (&DemandGroup, &Capacity)| {
            budget.get(group).is_none_or(|remaining| remaining < room)
        };
        if sums.iter().any(is_short) {
            return false;
        }
        for (group, room) in sums {
            budget.entry(group).and_modify(|remaining| *remaining -= room);
        }
        true
    }
}
