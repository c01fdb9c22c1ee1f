//! Limits on preemption while capacity is scarce: a group loses only what it holds above its floor.

use crate::scheduler::fair_share::{DemandGroup, GroupShare};
use std::collections::BTreeMap;
use troutspindle_fair_share::Capacity;

/// Amount that may still be preempted from each group; unlimited while capacity is not scarce.
#[derive(Default)]
pub(super) struct PreemptionBudget(Option<BTreeMap<DemandGroup, Capacity>>);

impl PreemptionBudget {
    /// Creates a budget from each group's surplus above its floor; `None` means unlimited.
    pub(super) fn new(surplus: Option<BTreeMap<DemandGroup, Capacity>>) -> PreemptionBudget {
        PreemptionBudget(surplus)
    }

    /// Returns whether capacity is scarce, so that limits apply.
    pub(super) fn is_limited(&self) -> bool {
        self.0.is_some()
    }

    /// Returns whether the remaining budget of a task's group covers the task.
    pub(super) fn covers(&self, share: GroupShare) -> bool {
        self.0.as_ref().is_none_or(|budget| {
            budget.get(&share.group).is_some_and(|remaining| *remaining >= share.capacity)
        })
    }

    /// Deducts these tasks from their groups' budgets if the budgets cover all of them, and returns
    /// whether they do.
    pub(super) fn spend(&mut self, shares: impl Iterator<Item = GroupShare>) -> bool {
        let Some(budget) = &mut self.0 else { return true };
        let mut sums: BTreeMap<DemandGroup, Capacity> = BTreeMap::new();
        shares.for_each(|share| *sums.entry(share.group).or_default() += share.capacity);
        let exceeds_budget = |(group, capacity): (&DemandGroup, &Capacity)| {
            budget.get(group).is_none_or(|remaining| remaining < capacity)
        };
        if sums.iter().any(exceeds_budget) {
            return false;
        }
        for (group, capacity) in sums {
            budget.entry(group).and_modify(|remaining| *remaining -= capacity);
        }
        true
    }
}
