//! Placement requests of jobs, and reservations of warm capacity.
//!
//! Reads the jobs, the fleet and the settings; removes expired retry backoffs, and counts in the
//! statistics why tasks wait.

use crate::ids::{Amount, JobId, MachineTypeId, TeamId, ZoneId};
use crate::jobs::LiveJob;
use crate::placement::{Basket, PlacementRequest, PreemptionPolicy, ScaleOutPolicy, ZoneLimits};
use crate::scheduler::Scheduler;
use crate::scheduler::job_progress::JobProgress;
use crate::scheduler::planning::{FleetView, waiting_cause};
use crate::wire::{JobKind, Priority};
use crate::workers::machine::{Machine, MachineState};
use std::time::Duration;
use tokio::time::Instant;

/// Multiple of the nominal boot time within which most machines are up and have an image.
const TYPICAL_BOOT_FACTOR: f64 = 1.5;
/// Number of equal parts into which a machine of the first type is divided; warm capacity is
/// requested in such parts.
const WARM_PARTS_PER_MACHINE: u64 = 4;

/// Time for which a best-effort job waits for a spot machine if there is no machine at all that could
/// run its tasks. Then other machines may be rented for it, too.
const BEST_EFFORT_RENTAL_DELAY: Duration = Duration::from_secs(60);

/// Context shared by the requests of a pass.
pub(super) struct RequestContext<'a> {
    /// The fleet as the pass sees it.
    pub(super) fleet: &'a FleetView,
    /// Time at which the first retry backoff expires.
    pub(super) next_backoff_expiry: Option<Instant>,
    /// Time of the pass.
    pub(super) now: Instant,
}

impl RequestContext<'_> {
    fn note_backoff(&mut self, expiry: Option<Instant>) {
        self.next_backoff_expiry = self.next_backoff_expiry.iter().chain(&expiry).min().copied();
    }
}

impl Scheduler {
    /// Returns a request with the constraints of a job's specification and a task count of zero;
    /// `None` if the job's zone or team is unknown.
    pub(super) fn base_request(
        &mut self,
        id: &JobId,
        job: &LiveJob,
        capacities: &[Amount],
    ) -> Option<PlacementRequest> {
        let spec = &job.spec;
        let zone = match &spec.zone {
            Some(name) => Some(ZoneId::new(self.fleet.zone(name)?)),
            None => None,
        };
        let zone_limit = if spec.spread { (spec.tasks as u32).div_ceil(2) } else { u32::MAX };
        let priority = self.effective_priority(id, job);
        let is_best_effort = priority == Priority::Low && !self.has_objective(id, job);
        let heavy_threshold = self.settings.operator.heavy_threshold;
        Some(PlacementRequest {
            team: TeamId::new(*self.teams.get(&spec.team)?),
            priority,
            resources: job.request,
            basket: Basket::classify(&job.request, capacities, heavy_threshold),
            count: 0,
            zone,
            machine_types: spec.machine_types.as_ref().map(|names| self.machine_type_ids(names)),
            allows_spot: spec.spot,
            zone_limits: ZoneLimits::uniform(self.fleet.zone_count(), zone_limit),
            single_zone: spec.one_zone,
            image: self.fleet.image_ids.intern(&spec.image),
            excluded_machines: Vec::new(),
            last_resort_machines: Vec::new(),
            gang: spec.kind == JobKind::Gang,
            start_slo_s: self.settings.tightest_start_objective(&spec.class),
            slo_slack_s: None,
            scale_out: if is_best_effort { ScaleOutPolicy::Spot } else { ScaleOutPolicy::Any },
            preemption: PreemptionPolicy::Anywhere,
        })
    }

    fn machine_type_ids(&self, names: &[String]) -> Vec<MachineTypeId> {
        let types = &self.fleet.machine_types;
        let position = |name: &String| types.iter().position(|known| known.name == *name);
        names.iter().filter_map(position).map(MachineTypeId::new).collect()
    }

    /// Returns a job's request for at most `max_tasks` of its waiting tasks; `None` if none may
    /// start now. Waiting tasks are counted without iterating over them.
    pub(super) fn job_request(
        &mut self,
        id: &JobId,
        job: &LiveJob,
        max_tasks: u64,
        context: &mut RequestContext<'_>,
    ) -> Option<PlacementRequest> {
        let is_gang = job.spec.kind == JobKind::Gang;
        let mut request = self.base_request(id, job, &context.fleet.capacities)?;
        let progress = self.jobs.progress.get(id)?;
        if progress.predates_term && may_run_on_unconfirmed(&request, context.fleet) {
            let waiting = progress.waiting(job);
            self.statistics.add_waiting(waiting_cause::UNCONFIRMED_MACHINE, waiting);
            return None;
        }
        if is_gang && !progress.placed.is_empty() {
            // A generation of a gang starts as a whole: when one of its tasks is lost, the others
            // exit by themselves and all start again under a new attempt.
            return None;
        }
        let max_tasks = match progress.failures.allowed_starts(progress.placed.len(), context.now) {
            // A gang starts as a whole, also on trial after failures.
            Ok(allowed) if !is_gang => max_tasks.min(allowed as u64),
            Ok(_) => max_tasks,
            Err(expiry) => {
                let waiting = progress.waiting(job);
                self.statistics.add_waiting(waiting_cause::FAILS_EVERYWHERE, waiting);
                context.note_backoff(expiry);
                return None;
            }
        };
        let count = self.startable_tasks(id, job, max_tasks, context)?;
        request.count = u32::try_from(count).unwrap_or(u32::MAX);
        self.apply_progress(&mut request, id, job, context)?;
        Some(request)
    }

    /// Returns how many waiting tasks of a job are not in backoff, at most `max_tasks`; `None` if
    /// no task may start.
    fn startable_tasks(
        &mut self,
        id: &JobId,
        job: &LiveJob,
        max_tasks: u64,
        context: &mut RequestContext<'_>,
    ) -> Option<u64> {
        let is_gang = job.spec.kind == JobKind::Gang;
        let progress = self.jobs.progress.get_mut(id)?;
        progress.expire_backoffs(context.now);
        let waiting = progress.waiting(job);
        let all_in_backoff = waiting > 0 && waiting <= progress.backing_off.len() as u64;
        if progress.failures.is_job_faulty() && !is_gang && all_in_backoff {
            // The job's own backoff has expired, so the backoff of its next task is ignored.
            let first = progress.backing_off.pop_first();
            progress.requeued.extend(first.map(|expiry| expiry.task));
        }
        let backing_off = progress.backing_off.len() as u64;
        if let Some(first) = progress.backing_off.first() {
            self.statistics.add_waiting(waiting_cause::RETRY_BACKOFF, backing_off);
            context.note_backoff(Some(first.at));
        }
        let count = max_tasks.min(waiting.saturating_sub(backing_off));
        // A gang that runs without one of its tasks would wait for that task forever.
        let is_incomplete_gang = is_gang && count < waiting;
        (count > 0 && !is_incomplete_gang).then_some(count)
    }

    /// Restricts a request by where the job's tasks run and where they failed, and sets what may be
    /// rented and preempted for it.
    fn apply_progress(
        &self,
        request: &mut PlacementRequest,
        id: &JobId,
        job: &LiveJob,
        context: &RequestContext<'_>,
    ) -> Option<()> {
        let spec = &job.spec;
        let progress = self.jobs.progress.get(id)?;
        // Tens of thousands of tasks may be placed, so they are visited only if their zones matter.
        let zones_matter = spec.spread || spec.one_zone;
        for placed in progress.placed.values().filter(|_| zones_matter) {
            let Some(machine) = self.fleet.machines.get(&placed.machine) else { continue };
            let zone = ZoneId::new(machine.zone);
            if spec.spread {
                request.zone_limits.consume(zone, 1);
            }
            if spec.one_zone && spec.zone.is_none() {
                request.zone = Some(zone);
            }
        }
        self.exclude_suspected_machines(request, id, &progress.failures, context.now);
        adjust_scale_out(request, progress, context);
        request.preemption = progress.failures.preemption_policy();
        Some(())
    }

    /// Returns the seconds until the job misses its next start objective or its deadline; `None` if
    /// it has missed all of them.
    pub(super) fn slo_slack_s(
        &self,
        id: &JobId,
        job: &LiveJob,
        over_quota: bool,
        now: Instant,
    ) -> Option<f64> {
        let first_seen = self.jobs.progress.get(id)?.first_seen?;
        let waited_s = now.saturating_duration_since(first_seen).as_secs_f64();
        let quota_slo = self.settings.guarantee_start_objective().filter(|_| !over_quota);
        let slos = self.settings.start_objectives(&job.spec.class).chain(quota_slo);
        let until_deadline = self.latest_start_in_s(id, job, now).filter(|left| *left > 0.0);
        let slack = slos.map(|within_s| within_s - waited_s).filter(|left| *left > 0.0);
        slack.chain(until_deadline).min_by(f64::total_cmp)
    }

    /// Returns whether a task can wait for a booting machine on which capacity is reserved for it:
    /// it starts in time there, or has already missed its objectives. Production tasks never wait.
    pub(super) fn can_wait_for_boot(&self, request: &PlacementRequest) -> bool {
        let boot_s = self.typical_boot_s();
        request.priority > Priority::Production
            && request.slo_slack_s.is_none_or(|slack| boot_s < slack)
    }

    /// Returns the seconds within which most machines rented now are up and have an image.
    pub(super) fn typical_boot_s(&self) -> f64 {
        let types = self.fleet.machine_types.iter();
        types.map(|machine_type| machine_type.boot_s * TYPICAL_BOOT_FACTOR).fold(0.0, f64::max)
    }

    /// Adds reservations of warm capacity for production work. Capacity used by low-priority tasks
    /// counts as free: such tasks are preempted at once, and if their capacity did not count, they
    /// would fill each machine that is rented as warm capacity.
    pub(super) fn reserve_warm_capacity(
        &self,
        reservations: &mut Vec<PlacementRequest>,
        fleet: &FleetView,
    ) {
        let Some(size) = fleet.capacities.first() else { return };
        let resources = Amount {
            cpu: size.cpu / WARM_PARTS_PER_MACHINE,
            gpu: 0,
            ram: size.ram / WARM_PARTS_PER_MACHINE,
        };
        let zones = fleet.closed_zones.len();
        let mut reclaimable_cpu = vec![0u64; zones];
        let is_up = |machine: &&Machine| machine.state == MachineState::Up && !machine.spot;
        for machine in self.fleet.machines.values().filter(is_up) {
            reclaimable_cpu[machine.zone] += machine.low_priority_cpu();
        }
        for zone in (0..zones).filter(|zone| !fleet.closed_zones[*zone]) {
            let reclaimable = reclaimable_cpu[zone] / resources.cpu.max(1);
            let count = self.warm_parts(fleet.summary.up[zone]).saturating_sub(reclaimable) as u32;
            if count == 0 {
                continue;
            }
            reservations.push(PlacementRequest {
                // The entry after all teams, which has no limit.
                team: TeamId::new(fleet.team_headroom.len() - 1),
                priority: Priority::Low,
                resources,
                basket: Basket::Light,
                count,
                zone: Some(ZoneId::new(zone)),
                machine_types: None,
                allows_spot: false,
                zone_limits: ZoneLimits::unlimited(zones),
                single_zone: false,
                image: u32::MAX,
                excluded_machines: Vec::new(),
                last_resort_machines: Vec::new(),
                gang: false,
                start_slo_s: None,
                slo_slack_s: None,
                scale_out: ScaleOutPolicy::Any,
                preemption: PreemptionPolicy::Nowhere,
            });
        }
    }

    /// Returns the warm capacity to keep in a zone, in parts of a machine.
    fn warm_parts(&self, machines_up: usize) -> u64 {
        // The number of tasks that arrive at once grows with the fleet, and so does warm capacity.
        let share = self.settings.operator.warm_share * machines_up as f64;
        let machines = self.settings.operator.warm_per_zone.max(share);
        (machines * WARM_PARTS_PER_MACHINE as f64).round() as u64
    }
}

/// Adjusts what may be rented for a request to how long its job or its job's next trial has waited.
fn adjust_scale_out(
    request: &mut PlacementRequest,
    progress: &JobProgress,
    context: &RequestContext<'_>,
) {
    if request.scale_out == ScaleOutPolicy::Spot
        && progress.waited(context.now) >= BEST_EFFORT_RENTAL_DELAY
        && !context.fleet.has_machine_for(request)
    {
        request.scale_out = ScaleOutPolicy::Any;
    }
    if !progress.failures.may_rent(context.now) {
        // A trial of a job that fails everywhere uses existing free capacity first.
        request.scale_out = ScaleOutPolicy::Nothing;
    }
}

/// Returns whether a previous leader may have started tasks of the request that no heartbeat has
/// shown yet.
fn may_run_on_unconfirmed(request: &PlacementRequest, fleet: &FleetView) -> bool {
    fleet.unconfirmed.pools.iter().any(|pool| {
        request.allows(ZoneId::new(pool.zone), MachineTypeId::new(pool.machine_type), pool.spot)
    })
}
