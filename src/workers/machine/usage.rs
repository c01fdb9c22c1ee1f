//! Resources in use on a machine, summed over its attempts.

use super::{Machine, PlacedAttempt};
use crate::ids::Amount;
use crate::placement::Basket;
use crate::wire::{Priority, TaskState};

/// Resources used by a team's attempts on a machine.
#[derive(Debug, Clone, Copy)]
pub struct TeamUsage {
    /// Index of the team.
    pub team: usize,
    /// Sum over the team's attempts.
    pub used: Amount,
}

/// Sums over the attempts on a machine that have not exited.
#[derive(Debug, Clone, Default)]
pub struct Usage {
    /// Resources used by all attempts.
    pub used: Amount,
    /// Resources used by the attempts of each team.
    pub teams: Vec<TeamUsage>,
    /// Basket of the machine: heavy if any attempt is heavy, `None` without attempts.
    pub basket: Option<Basket>,
    /// CPU used by running tasks of low priority.
    pub low_priority_cpu: u64,
}

impl Usage {
    fn add(&mut self, attempt: &PlacedAttempt, basket_of: &impl Fn(&Amount) -> Basket) {
        self.used = self.used.plus(&attempt.request);
        match self.teams.iter_mut().find(|usage| usage.team == attempt.team) {
            Some(usage) => usage.used = usage.used.plus(&attempt.request),
            None => self.teams.push(TeamUsage { team: attempt.team, used: attempt.request }),
        }
        if self.basket != Some(Basket::Heavy) {
            self.basket = Some(basket_of(&attempt.request));
        }
        if attempt.priority == Priority::Low && attempt.state == TaskState::Running {
            self.low_priority_cpu += attempt.request.cpu;
        }
    }
}

impl Machine {
    /// Returns the resources used by all attempts that may be running.
    pub fn used(&self) -> Amount {
        self.attempts
            .values()
            .filter(|attempt| attempt.state != TaskState::Exited)
            .fold(Amount::default(), |sum, attempt| sum.plus(&attempt.request))
    }

    /// Discards the cached usage. Must be called whenever an attempt was added or changed in place.
    pub fn invalidate_usage(&mut self) {
        self.usage = None;
    }

    /// Returns the sums over its attempts, recomputed only after a change: of thousands of tasks, few change from one
    /// planning pass to the next.
    pub fn usage(&mut self, basket_of: impl Fn(&Amount) -> Basket) -> &Usage {
        let attempts = &self.attempts;
        self.usage.get_or_insert_with(|| {
            let mut usage = Usage::default();
            for attempt in attempts.values().filter(|attempt| attempt.state != TaskState::Exited) {
                usage.add(attempt, &basket_of);
            }
            usage
        })
    }

    /// Returns the CPU used by running tasks of low priority, as last computed by [`Machine::usage`].
    pub fn low_priority_cpu(&self) -> u64 {
        self.usage.as_ref().map_or(0, |usage| usage.low_priority_cpu)
    }

    /// Returns whether no attempt may be running.
    pub fn is_empty(&self) -> bool {
        self.attempts.values().all(|attempt| attempt.state == TaskState::Exited)
    }
}
