//! Fair shares of a scarce fleet: which tasks are placed first, and which may be preempted.
//!
//! While capacity is scarce, each group of work (a job class of a team) has a floor. Requests of a
//! group below its floor are placed first, and preemption never takes a group below its floor.
//! While capacity is not scarce this module changes nothing.
//!
//! Owns [`FairShare`]; reads the jobs, the fleet and the settings. It starts, stops and rents
//! nothing. Its state is not stored: a new leader derives it from records and heartbeats.

mod demand_report;
mod priority;
mod scarcity;

pub(super) use priority::FairShareRank;

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
    /// The job class, as an index into [`FairShare::classes`].
    class: u32,
    team: TeamId,
}

/// A group, and a cause for which some of its tasks wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingCause {
    group: DemandGroup,
    cause: &'static str,
}

/// The leader's view of the demand of all accepted work, compared with the fleet's capacity.
pub(super) struct FairShare {
    scarcity: ScarcityTracker<DemandGroup>,
    /// Names of the job classes, interned as the indexes that [`DemandGroup`] uses.
    classes: Interner,
    /// Demand of each group in the last planning pass.
    demands: BTreeMap<DemandGroup, Demand>,
    /// Capacity of the fleet in the last planning pass.
    supply: Supply,
    /// Number of tasks that waited after the last planning pass; empty while capacity is not
    /// scarce.
    waiting: BTreeMap<WaitingCause, u64>,
    /// True if the cloud has granted or refused a rental to this leader.
    cloud_responded: bool,
    /// Machine-seconds of work in each group's arrays that arrived under this leader.
    arrived: BTreeMap<DemandGroup, f64>,
    /// Groups that have services.
    service_groups: BTreeSet<DemandGroup>,
}

impl FairShare {
    /// Creates the state in which capacity is not scarce. `floor` is the share of its need that
    /// each group is entitled to, as far as the supply covers it.
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

    /// Returns whether capacity is scarce.
    pub(super) fn is_scarce(&self) -> bool {
        self.scarcity.scarce_since().is_some()
    }

    /// Returns the capacity that each group holds above its floor; `None` while capacity is not
    /// scarce.
    pub(super) fn surplus(&self) -> Option<BTreeMap<DemandGroup, Capacity>> {
        let group_shares = self.scarcity.group_shares();
        self.is_scarce().then(|| {
            group_shares.map(|(group, group_share)| (*group, group_share.preemptible)).collect()
        })
    }
}

/// Capacity that one task uses, and the group that it counts towards.
#[derive(Debug, Clone, Copy)]
pub(super) struct GroupShare {
    /// Group that the task belongs to.
    pub(super) group: DemandGroup,
    /// Capacity that the task uses, as a share of the largest machine.
    pub(super) capacity: Capacity,
}

/// Returns the share of a machine that an amount uses, by its dominant resource, in parts of
/// [`UNITS_PER_MACHINE`]. `largest` is the largest amount of each resource that any machine type
/// has.
fn machine_share(amount: &Amount, largest: &Amount) -> Capacity {
    let share = |amount: u64, whole: u64| match u128::from(whole) {
        0 => 0,
        whole => (u128::from(amount) * u128::from(UNITS_PER_MACHINE) / whole) as Capacity,
    };
    share(amount.cpu, largest.cpu)
        .max(share(amount.gpu, largest.gpu))
        .max(share(amount.ram, largest.ram))
}

/// Returns the largest amount of each resource that any machine type has.
pub(super) fn largest_capacity(capacities: &[Amount]) -> Amount {
    let maximum = |field: fn(&Amount) -> u64| capacities.iter().map(field).max().unwrap_or(0);
    Amount { cpu: maximum(|a| a.cpu), gpu: maximum(|a| a.gpu), ram: maximum(|a| a.ram) }
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

    /// Returns the seconds for which a task occupies its capacity, including the gap before the
    /// next task starts.
    fn task_occupancy_s(&self, id: &JobId, job: &LiveJob) -> f64 {
        self.run_s(id, job, self.settings.operator.estimates.learn) + STAGE_OVERHEAD.as_secs_f64()
    }

    /// Returns the group and the capacity of a task that uses these resources; `None` for a job
    /// class that is not known yet.
    pub(super) fn group_share(
        &self,
        job: &LiveJob,
        resources: &Amount,
        largest: &Amount,
    ) -> Option<GroupShare> {
        Some(GroupShare {
            group: self.known_demand_group(job)?,
            capacity: machine_share(resources, largest),
        })
    }
}
