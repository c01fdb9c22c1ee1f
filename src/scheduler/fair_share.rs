//! Fair shares of a scarce fleet: which tasks are placed first, and which may be preempted.
//!
//! While capacity is scarce, each group of work (a job class of a team) has a floor. What is owed
//! to a group below its floor is placed first, and what a group holds up to its floor is not
//! preempted. While nothing is scarce this module changes nothing.
//!
//! Owns [`FairShare`]; reads the jobs, the fleet and the settings. It starts, stops and rents
//! nothing. Nothing is stored: a new leader derives it from records and heartbeats.

mod demand_report;
mod priority;
mod scarcity;

pub(super) use priority::FairShareWeight;

use crate::ids::{Amount, JobId, TeamId};
use crate::jobs::LiveJob;
use crate::scheduler::Scheduler;
use crate::scheduler::dependencies::STAGE_OVERHEAD;
use crate::scheduler::interner::Interner;
use std::collections::{BTreeMap, BTreeSet};
use troutspindle_fair_share::constants::UNITS_PER_MACHINE;
use troutspindle_fair_share::{Capacity, Demand, ScarcityTracker, Supply};

/// Work that shares a floor: the jobs of one class that one team owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DemandGroup {
    /// The class, as [`FairShare`] numbers it.
    class: u32,
    team: TeamId,
}

/// Why tasks of a group wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingCause {
    group: DemandGroup,
    cause: &'static str,
}

/// The leader's view of all accepted work beside the fleet.
pub(super) struct FairShare {
    scarcity: ScarcityTracker<DemandGroup>,
    /// The numbers of the job classes.
    classes: Interner,
    /// What each group demanded in the last planning pass.
    demands: BTreeMap<DemandGroup, Demand>,
    /// What there was in the last planning pass.
    supply: Supply,
    /// Tasks that waited after the last planning pass while capacity was scarce.
    waiting: BTreeMap<WaitingCause, u64>,
    /// Whether the cloud has granted or refused a rental to this leader.
    cloud_responded: bool,
    /// Machine-seconds of each group's arrays that arrived under this leader.
    arrived: BTreeMap<DemandGroup, f64>,
    /// Groups that have services.
    service_groups: BTreeSet<DemandGroup>,
}

impl FairShare {
    /// Nothing is scarce; `floor` is the share of an equal division that a group is entitled to.
    pub(super) fn new(floor: f64) -> FairShare {
        FairShare {
            scarcity: ScarcityTracker::new(floor),
            classes: Interner::default(),
            demands: BTreeMap::new(),
            supply: Supply::default(),
            waiting: BTreeMap::new(),
            cloud_responded: false,
            arrived: BTreeMap::new(),
            service_groups: BTreeSet::new(),
        }
    }

    /// Records that the cloud granted or refused a rental.
    pub(super) fn record_cloud_response(&mut self) {
        self.cloud_responded = true;
    }

    /// Whether capacity is scarce.
    pub(super) fn is_scarce(&self) -> bool {
        self.scarcity.scarce_since().is_some()
    }

    /// What each group holds above its floor; none while nothing is scarce.
    pub(super) fn surplus(&self) -> Option<BTreeMap<DemandGroup, Capacity>> {
        let group_shares = self.scarcity.group_shares();
        self.is_scarce().then(|| {
            group_shares.map(|(group, group_share)| (*group, group_share.preemptible)).collect()
        })
    }
}

/// What a task takes of its group's share.
#[derive(Debug, Clone, Copy)]
pub(super) struct GroupShare {
    /// The task's group.
    pub(super) group: DemandGroup,
    /// The part of a machine that the task takes.
    pub(super) room: Capacity,
}

/// The part that an amount takes of a machine with the `largest` amount of each resource.
fn room(amount: &Amount, largest: &Amount) -> Capacity {
    let part = |amount: u64, whole: u64| match u128::from(whole) {
        0 => 0,
        whole => (u128::from(amount) * u128::from(UNITS_PER_MACHINE) / whole) as Capacity,
    };
    part(amount.cpu, largest.cpu)
        .max(part(amount.gpu, largest.gpu))
        .max(part(amount.ram, largest.ram))
}

/// The most of each resource that any machine type has.
pub(super) fn largest_capacity(capacities: &[Amount]) -> Amount {
    let most = |field: fn(&Amount) -> u64| capacities.iter().map(field).max().unwrap_or(0);
    Amount { cpu: most(|a| a.cpu), gpu: most(|a| a.gpu), ram: most(|a| a.ram) }
}

impl Scheduler {
    fn demand_group(&mut self, job: &LiveJob) -> DemandGroup {
        let class = self.fair_share.classes.intern(&job.spec.class);
        DemandGroup { class, team: TeamId::new(self.team_of(&job.spec.team)) }
    }

    fn known_demand_group(&self, job: &LiveJob) -> Option<DemandGroup> {
        let class = self.fair_share.classes.get(&job.spec.class)?;
        Some(DemandGroup { class, team: TeamId::new(self.team_of(&job.spec.team)) })
    }

    /// Seconds for which a task of the job takes up its room, with the time between two tasks.
    fn task_occupancy_s(&self, id: &JobId, job: &LiveJob) -> f64 {
        self.run_s(id, job, self.settings.operator.estimates.learn) + STAGE_OVERHEAD.as_secs_f64()
    }

    /// What stopping a task that needs `resources` would take from its group.
    pub(super) fn group_share(
        &self,
        job: &LiveJob,
        resources: &Amount,
        largest: &Amount,
    ) -> Option<GroupShare> {
        Some(GroupShare { group: self.known_demand_group(job)?, room: room(resources, largest) })
    }
}
