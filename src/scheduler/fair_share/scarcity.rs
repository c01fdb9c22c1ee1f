//! Detection of scarcity: compares the demand of all jobs that may run with the fleet's capacity.

use super::{DemandGroup, largest_capacity, machine_share};
use crate::cloud::{CloudClient, MachinePool};
use crate::ids::{Amount, JobId};
use crate::jobs::LiveJob;
use crate::scheduler::Scheduler;
use crate::scheduler::planning::FleetView;
use crate::wire::{JobKind, TaskState};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;
use troutspindle_fair_share::constants::UNITS_PER_MACHINE;
use troutspindle_fair_share::{Capacity, Demand, ScarcityChange, Supply};

/// Target time to finish arrays without a completion objective, in seconds.
const DEFAULT_FINISH_S: f64 = 300.0;
/// Multiple of the jobs' completion objective within which a backlog is to be finished. A factor of
/// 1 would take all capacity from services.
const BACKLOG_TIME_FACTOR: f64 = 3.0;
/// Share of the arrays' need that counts as demand: an array can later make up for capacity that it
/// lacks now, a service can't.
const ARRAY_DEMAND_SHARE: f64 = 0.7;
/// Maximum time during which a new leader presumes that capacity is scarce if demand exceeds supply
/// and the cloud has not responded yet: its first machine list and first rentals take this long.
const SCARCITY_PRESUMED_FOR: Duration = Duration::from_secs(15);

/// Running totals of the demand of all jobs.
struct DemandTotals {
    /// Largest amount of each resource that any machine type has. Demand is measured as a share of
    /// a machine of this size.
    largest: Amount,
    /// Time since this leader's term began.
    elapsed: Duration,
    /// Current time in milliseconds since the Unix epoch.
    now_ms: u64,
    /// True if unconfirmed machines have free capacity.
    has_unconfirmed: bool,
    demands: BTreeMap<DemandGroup, Demand>,
    /// Capacity needed to finish each group's arrays within the backlog's target time.
    backlog: BTreeMap<DemandGroup, f64>,
    /// Capacity for waiting tasks that a previous leader may have started.
    maybe_started: BTreeMap<DemandGroup, Capacity>,
}

impl Scheduler {
    /// Compares the demand of all jobs that may run with the fleet's capacity, and records whether
    /// capacity has become scarce or is no longer scarce.
    pub(in crate::scheduler) fn update_scarcity(
        &mut self,
        jobs: &[(&JobId, &LiveJob)],
        fleet: &FleetView,
        cloud: &CloudClient,
        now: Instant,
    ) {
        if self.settings.operator.floor <= 0.0 {
            return;
        }
        let mut totals = DemandTotals {
            largest: largest_capacity(&fleet.capacities),
            elapsed: self.term.elapsed(now),
            now_ms: self.wall_clock.ms(now),
            has_unconfirmed: !fleet.unconfirmed.free.is_zero(),
            demands: BTreeMap::new(),
            backlog: BTreeMap::new(),
            maybe_started: BTreeMap::new(),
        };
        for (id, job) in jobs {
            self.add_job_demand(id, job, &mut totals);
        }
        let (largest, elapsed) = (totals.largest, totals.elapsed);
        let mut demands = self.group_demands(totals, fleet);
        if self.fair_share.is_scarce() {
            self.exclude_stopping_tasks(&mut demands, &largest);
        }
        let supply = self.supply(fleet, &largest, cloud, elapsed);
        let change = self.fair_share.scarcity.update(&demands, &supply, elapsed);
        (self.fair_share.demands, self.fair_share.supply) = (demands, supply);
        match change {
            Some(ScarcityChange::Began) => tracing::info!(
                machines = supply.total() as f64 / UNITS_PER_MACHINE as f64,
                held_floor_needed = ?self.group_shares(),
                waiting_for = ?self.statistics.waiting_by_cause,
                "capacity is scarce"
            ),
            Some(ScarcityChange::Ended) => {
                tracing::info!(exhausted = supply.exhausted, "capacity is no longer scarce");
                self.fair_share.waiting.clear();
            }
            None => {}
        }
    }

    fn add_job_demand(&mut self, id: &JobId, job: &LiveJob, totals: &mut DemandTotals) {
        let known_group = self.jobs.progress.get(id).and_then(|progress| progress.demand_group);
        let group = known_group.unwrap_or_else(|| self.demand_group(job));
        let teams = &self.settings.platform.params.teams;
        let Some(team) = teams.get(group.team.index()) else { return };
        let unguaranteed = team.guarantee().is_zero();
        let task_capacity = machine_share(&job.request, &totals.largest);
        let occupancy_s = self.task_occupancy_s(id, job);
        let Some(progress) = self.jobs.progress.get_mut(id) else { return };
        progress.demand_group = Some(group);
        if progress.failures.is_job_faulty() {
            return;
        }
        let (placed, waiting) = (progress.placed.len() as u64, progress.waiting(job));
        let empty = Demand { ordinary: true, unguaranteed, ..Demand::default() };
        let demand = totals.demands.entry(group).or_insert(empty);
        demand.ordinary &= !job.spec.spot;
        demand.allocated += task_capacity * placed;
        demand.waiting += task_capacity * waiting;
        if progress.predates_term && totals.has_unconfirmed {
            *totals.maybe_started.entry(group).or_default() += task_capacity * waiting;
        }
        if job.spec.kind == JobKind::Service {
            demand.offered_load += task_capacity * (placed + waiting);
            self.fair_share.service_groups.insert(group);
            return;
        }
        let finish_s = self.settings.finish_objective(&job.spec.class).unwrap_or(DEFAULT_FINISH_S);
        *totals.backlog.entry(group).or_default() += (task_capacity * (placed + waiting)) as f64
            * occupancy_s
            / (finish_s * BACKLOG_TIME_FACTOR);
        if !std::mem::replace(&mut progress.counted_as_demand, true) {
            let tasks = job.spec.tasks - job.completed_count().min(job.spec.tasks);
            let work = (task_capacity * tasks) as f64 * occupancy_s / UNITS_PER_MACHINE as f64;
            self.record_arrival(group, work, job, totals);
        }
    }

    /// Records the arrival of an array's work, in machine-seconds. Called once per array.
    fn record_arrival(
        &mut self,
        group: DemandGroup,
        work: f64,
        job: &LiveJob,
        totals: &DemandTotals,
    ) {
        let age = Duration::from_millis(totals.now_ms.saturating_sub(job.eligible_ms()));
        self.fair_share.scarcity.record_arrival(&group, work, age, totals.elapsed);
        // Work that arrived under a previous leader is in that leader's log.
        if age <= totals.elapsed || !self.term.token.has_predecessor() {
            *self.fair_share.arrived.entry(group).or_default() += work;
        }
    }

    fn group_demands(
        &self,
        totals: DemandTotals,
        fleet: &FleetView,
    ) -> BTreeMap<DemandGroup, Demand> {
        let DemandTotals { largest, elapsed, mut demands, backlog, maybe_started, .. } = totals;
        let total_maybe_started = maybe_started.values().sum::<Capacity>().max(1) as f64;
        let unconfirmed = machine_share(&fleet.unconfirmed.free, &largest) as f64;
        let started_share = (unconfirmed / total_maybe_started).min(1.0);
        for (group, demand) in &mut demands {
            let maybe_started = maybe_started.get(group).copied().unwrap_or(0);
            let presumed_started = (maybe_started as f64 * started_share) as Capacity;
            demand.allocated += presumed_started;
            demand.waiting -= presumed_started;
            let arrival_rate = self.fair_share.scarcity.arrival_rate(group, elapsed);
            // A backlog still needs capacity when no more work arrives.
            let backlog = backlog.get(group).map_or(0, |backlog| *backlog as Capacity);
            demand.offered_load +=
                (arrival_rate.max(backlog) as f64 * ARRAY_DEMAND_SHARE) as Capacity;
            let headroom = fleet.team_headroom.get(group.team.index());
            let limit = headroom.map_or(0, |headroom| machine_share(headroom, &largest));
            demand.waiting = demand.waiting.min(limit);
        }
        demands
    }

    /// Counts the capacity of tasks that are being stopped as waiting instead of held.
    fn exclude_stopping_tasks(
        &self,
        demands: &mut BTreeMap<DemandGroup, Demand>,
        largest: &Amount,
    ) {
        for machine in self.fleet.machines.values() {
            for ((task, attempt), entry) in &machine.attempts {
                if entry.stop.is_none() || entry.state == TaskState::Exited {
                    continue;
                }
                let Some(progress) = self.jobs.progress.get(&task.job) else { continue };
                let placed = progress.placed.get(&task.index);
                if placed.is_none_or(|placed| placed.attempt != *attempt) {
                    continue;
                }
                let Some(group) = progress.demand_group else { continue };
                if let Some(demand) = demands.get_mut(&group) {
                    let task_capacity = machine_share(&entry.request, largest);
                    demand.allocated = demand.allocated.saturating_sub(task_capacity);
                    demand.waiting += task_capacity;
                }
            }
        }
    }

    fn supply(
        &self,
        fleet: &FleetView,
        largest: &Amount,
        cloud: &CloudClient,
        elapsed: Duration,
    ) -> Supply {
        let rental = &fleet.rental;
        let is_exhausted = || rental.remaining == 0 || self.are_rentals_impossible(fleet, cloud);
        let mut supply = Supply {
            exhausted: rental.allowed && is_exhausted(),
            presumed_exhausted: !self.fair_share.cloud_responded
                && self.term.token.has_predecessor()
                && elapsed < SCARCITY_PRESUMED_FOR,
            ..Supply::default()
        };
        for bin in &fleet.machines.bins {
            let size = machine_share(&fleet.capacities[bin.machine_type.index()], largest);
            *(if bin.spot { &mut supply.spot } else { &mut supply.ordinary }) += size;
        }
        supply
    }

    /// Returns whether no more machines can be rented now: each pool has refused a request or is
    /// closed, or the cloud is unavailable.
    fn are_rentals_impossible(&self, fleet: &FleetView, cloud: &CloudClient) -> bool {
        let refuses = |pool: MachinePool| {
            fleet.closed_zones[pool.zone] || self.autoscaler.capacity_backoff.contains_key(&pool)
        };
        let types = self.fleet.machine_types.iter().enumerate();
        let mut pools = types.flat_map(|(index, machine_type)| {
            let zones = machine_type.zones.iter().filter_map(|name| self.fleet.zone(name));
            zones.flat_map(move |zone| {
                [true, false].map(|spot| MachinePool { machine_type: index, zone, spot })
            })
        });
        cloud.is_unavailable() || pools.all(refuses)
    }
}
