//! What the attempts on a machine add up to.

use super::{Machine, PlacedAttempt};
use crate::ids::Amount;
use crate::placement::Basket;
use crate::wire::{Priority, TaskState};

/// Resources that a team's attempts take on a machine.
#[derive(Debug, Clone, Copy)]
pub struct TeamUsage {
    /// Index of the team.
    pub team: usize,
    /// What its attempts take.
    pub used: Amount,
}

/// What the attempts on a machine add up to.
#[derive(Debug, Clone, Default)]
pub struct Usage {
    /// Resources in use.
    pub used: Amount,
    /// The same by team.
    pub teams: Vec<TeamUsage>,
    /// Heavy if any attempt is; none if there are none.
    pub basket: Option<Basket>,
    /// CPU of running tasks of low priority.
    pub low_priority_cpu: u64,
}

impl Usage {
    fn add(&mut self, attempt: &PlacedAttempt, basket_of: &impl Fn(&Amount) -> Basket) {
        self.used = self.used.plus(&attempt.need);
        match self.teams.iter_mut().find(|usage| usage.team == attempt.team) {
            Some(usage) => usage.used = usage.used.plus(&attempt.need),
            None => self.teams.push(TeamUsage { team: attempt.team, used: attempt.need }),
        }
        if self.basket != Some(Basket::Heavy) {
            self.basket = Some(basket_of(&attempt.need));
        }
        if attempt.urgency == Priority::Low && attempt.state == TaskState::Running {
            self.low_priority_cpu += attempt.need.cpu;
        }
    }
}

impl Machine {
    /// Resources of all attempts that may be running here.
    pub fn used(&self) -> Amount {
        self.attempts
            .values()
            .filter(|attempt| attempt.state != TaskState::Exited)
            .fold(Amount::default(), |sum, attempt| sum.plus(&attempt.need))
    }

    /// Must be called whenever an attempt was added or changed in place.
    pub fn invalidate_usage(&mut self) {
        self.usage = None;
    }

    /// What its attempts add up to, recomputed only when they have changed: few of thousands of tasks change from one
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

    /// CPU of running tasks of low priority, as last computed.
    pub fn low_priority_cpu(&self) -> u64 {
        self.usage.as_ref().map_or(0, |usage| usage.low_priority_cpu)
    }

    /// Whether no attempt may be running here.
    pub fn is_empty(&self) -> bool {
        self.attempts.values().all(|attempt| attempt.state == TaskState::Exited)
    }
}
