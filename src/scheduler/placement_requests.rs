//! What jobs ask of placement, and what could be rented for them.

use crate::cloud::MachinePool;
use crate::constants::{BOOT_USUAL, HIRE_MAX};
use crate::ids::{Amount, JobId, MachineTypeId, TeamId, ZoneId};
use crate::jobs::LiveJob;
use crate::placement::{Basket, MachineTypeOffer, PlacementRequest, ScaleOutPolicy, ZoneLimits};
use crate::scheduler::Scheduler;
use crate::scheduler::fleet::FleetSummary;
use crate::scheduler::job_progress::BackoffExpiry;
use crate::wire::{JobKind, Priority};
use crate::workers::machine::{Machine, MachineState};
use tokio::time::Instant;

impl Scheduler {
    /// What a job asks for by its description alone, for no task yet; none if it names a zone that
    /// there is not.
    pub(super) fn bare_ask(
        &mut self,
        id: &JobId,
        job: &LiveJob,
        sizes: &[Amount],
    ) -> Option<PlacementRequest> {
        let spec = &job.spec;
        let flavors = spec.flavors.as_ref().map(|names| {
            let at = |name: &String| self.fleet.machine_types.iter().position(|f| f.name == *name);
            names.iter().filter_map(at).map(MachineTypeId::new).collect()
        });
        let zone = match &spec.zone {
            Some(name) => Some(ZoneId::new(self.fleet.zone(name)?)),
            None => None,
        };
        let half = if spec.spread { (spec.tasks as u32).div_ceil(2) } else { u32::MAX };
        let urgency = self.urgency(id, job);
        let idle_time = urgency == Priority::Low && !self.has_aim(id, job);
        Some(PlacementRequest {
            team: TeamId::new(*self.teams.get(&spec.team)?),
            priority: urgency,
            resources: job.need,
            basket: Basket::classify(&job.need, sizes, self.settings.operator.heavy_threshold),
            count: 0,
            zone,
            machine_types: flavors,
            allows_spot: spec.spot,
            zone_limits: ZoneLimits::uniform(self.settings.platform.params.zones.len(), half),
            single_zone: spec.one_zone,
            image: self.fleet.image_ids.intern(&spec.image),
            excluded_machines: Vec::new(),
            gang: spec.shape == JobKind::Gang,
            start_slo_s: self.settings.tightest_wait(&spec.class),
            slo_slack_s: None,
            scale_out: if idle_time { ScaleOutPolicy::Spot } else { ScaleOutPolicy::Any },
        })
    }

    /// What a job asks for: at most so many of its waiting tasks, counted and not looked at one by
    /// one. `unsure` are the kinds of
    /// machines on which a predecessor may have started what no report has shown yet; `wake` is
    /// when the first pause after a failure ends.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn ask_for(
        &mut self,
        id: &JobId,
        job: &LiveJob,
        most: u64,
        unsure: &[MachinePool],
        sizes: &[Amount],
        wake: &mut Option<Instant>,
        now: Instant,
    ) -> Option<PlacementRequest> {
        let spec = &job.spec;
        let mut ask = self.bare_ask(id, job, sizes)?;
        let work = self.jobs.progress.get(id)?;
        if work.predates_leadership
            && unsure.iter().any(|pool| {
                ask.allows(ZoneId::new(pool.zone), MachineTypeId::new(pool.flavor), pool.spot)
            })
        {
            *self.statistics.waiting_by_cause.entry("unconfirmed machine").or_default() +=
                work.waiting(job);
            return None;
        }
        if spec.shape == JobKind::Gang && !work.placed.is_empty() {
            // A generation of a gang starts as a whole: when one of its tasks is lost, the
            // others end by themselves and all start again under a new attempt.
            return None;
        }
        let most = match work.failures.allows(work.placed.len(), now) {
            // A gang starts as a whole, on trial too.
            Ok(allowed) if spec.shape != JobKind::Gang => most.min(allowed as u64),
            Ok(_) => most,
            Err(at) => {
                *self.statistics.waiting_by_cause.entry("fails everywhere").or_default() +=
                    work.waiting(job);
                *wake = wake.iter().chain(&at).min().copied();
                return None;
            }
        };
        let trial = work.failures.mistaken();
        let work = self.jobs.progress.get_mut(id)?;
        work.expire_backoffs(now);
        let waiting = work.waiting(job);
        if trial
            && spec.shape != JobKind::Gang
            && waiting > 0
            && waiting <= work.backing_off.len() as u64
        {
            // The job's own pause is over; that of its next task does not matter.
            work.requeued.extend(work.backing_off.pop_first().map(|expiry| expiry.task));
        }
        let paused = work.backing_off.len() as u64;
        if let Some(BackoffExpiry { at, .. }) = work.backing_off.first() {
            *self.statistics.waiting_by_cause.entry("pause after a failure").or_default() += paused;
            *wake = wake.iter().chain([at]).min().copied();
        }
        let count = most.min(waiting.saturating_sub(paused));
        // A gang that lacks a task would wait for it for ever once it runs.
        if count == 0 || (spec.shape == JobKind::Gang && paused > 0) {
            return None;
        }
        ask.count = u32::try_from(count).unwrap_or(u32::MAX);
        let work = self.jobs.progress.get(id)?;
        // Tens of thousands may be placed: they are counted only where their zones matter.
        let counted = spec.spread || spec.one_zone;
        for placed in work.placed.values().filter(|_| counted) {
            let Some(machine) = self.fleet.machines.get(&placed.machine) else { continue };
            let zone = ZoneId::new(machine.zone);
            if spec.spread {
                ask.zone_limits.consume(zone, 1);
            }
            if spec.one_zone && spec.zone.is_none() {
                ask.zone = Some(zone);
            }
        }
        let index = |id| self.fleet.machines.get(id).map(|m: &Machine| m.index);
        ask.excluded_machines = work.failures.avoided().iter().filter_map(index).collect();
        if trial {
            // A trial of a job that fails everywhere takes what room there is.
            ask.scale_out = ScaleOutPolicy::Nothing;
        }
        Some(ask)
    }

    /// Seconds until the job misses its next aim at start; none if it has missed them all.
    pub(super) fn time_left(
        &self,
        id: &JobId,
        job: &LiveJob,
        beyond: bool,
        now: Instant,
    ) -> Option<f64> {
        let known = self.jobs.progress.get(id)?.first_seen?;
        let waited = now.saturating_duration_since(known).as_secs_f64();
        let guarantee = self.settings.guarantee_wait().filter(|_| !beyond);
        let aims = self.settings.waits(&job.spec.class).chain(guarantee);
        let due = self.due_left(id, job, now).filter(|left| *left > 0.0);
        let left = aims.map(|within_s| within_s - waited).filter(|left| *left > 0.0);
        left.chain(due).min_by(f64::total_cmp)
    }

    /// Whether a task that has a machine to come starts in time there, or is late already.
    pub(super) fn can_wait(&self, ask: &PlacementRequest) -> bool {
        let boot_s = self.usual_boot_s();
        ask.priority > Priority::Production && ask.slo_slack_s.is_none_or(|left| boot_s < left)
    }

    /// Seconds within which most machines rented now are up, with an image.
    pub(super) fn usual_boot_s(&self) -> f64 {
        self.fleet.machine_types.iter().map(|flavor| flavor.boot_s * BOOT_USUAL).fold(0.0, f64::max)
    }

    /// Room kept free for critical work, as asks that come last and are never started.
    /// Room that least urgent work takes up counts as free: it makes way at once, and would
    /// otherwise fill each machine that was rented to keep room.
    pub(super) fn warm_asks(
        &self,
        asks: &mut Vec<PlacementRequest>,
        sizes: &[Amount],
        (survey, silent): (&FleetSummary, &[bool]),
        team: usize,
    ) {
        let Some(size) = sizes.first() else { return };
        let need = Amount { cpu: size.cpu / 4, gpu: 0, ram: size.ram / 4 };
        let zones = silent.len();
        let mut lent = vec![0u64; zones];
        for machine in
            self.fleet.machines.values().filter(|m| m.life == MachineState::Up && !m.spot)
        {
            lent[machine.zone] += machine.low_cpu();
        }
        let wanted = |zone: usize| {
            // What comes at once grows with the fleet, and so does the room that it finds.
            let share = self.settings.operator.warm_share * survey.up[zone] as f64;
            (self.settings.operator.warm_per_zone.max(share) * 4.0).round() as u64
        };
        for zone in (0..zones).filter(|zone| !silent[*zone]) {
            let count = wanted(zone).saturating_sub(lent[zone] / need.cpu.max(1)) as u32;
            if count == 0 {
                continue;
            }
            asks.push(PlacementRequest {
                team: TeamId::new(team),
                priority: Priority::Low,
                resources: need,
                basket: Basket::Light,
                count,
                zone: Some(ZoneId::new(zone)),
                machine_types: None,
                allows_spot: false,
                zone_limits: ZoneLimits::unlimited(zones),
                single_zone: false,
                image: u32::MAX,
                excluded_machines: Vec::new(),
                gang: false,
                start_slo_s: None,
                slo_slack_s: None,
                scale_out: ScaleOutPolicy::Any,
            });
        }
    }

    pub(super) fn offers(
        &self,
        sizes: &[Amount],
        pending: &[(MachinePool, u32)],
        now: Instant,
    ) -> Vec<(MachinePool, MachineTypeOffer)> {
        let mut offers = Vec::new();
        let mut held = vec![[0u32; 2]; self.settings.platform.params.zones.len()];
        for machine in self.fleet.machines.values() {
            held[machine.zone][usize::from(machine.spot)] += 1;
        }
        for (flavor, info) in self.fleet.machine_types.iter().enumerate() {
            for zone in info.zones.iter().filter_map(|name| self.fleet.zone(name)) {
                for spot in [true, false] {
                    let kind = MachinePool { flavor, zone, spot };
                    let scarce = self.autoscaler.capacity_backoff.get(&kind);
                    let asked = pending.iter().any(|(other, _)| *other == kind);
                    if scarce.is_some_and(|backoff| backoff.not_before > now || asked) {
                        continue;
                    }
                    let offer = MachineTypeOffer {
                        machine_type: MachineTypeId::new(flavor),
                        zone: ZoneId::new(zone),
                        spot,
                        price: if spot { info.spot_price } else { info.price },
                        capacity: sizes[flavor],
                        available: scarce.map_or(HIRE_MAX, |backoff| backoff.max_request),
                        held: held[zone][usize::from(spot)],
                    };
                    offers.push((kind, offer));
                }
            }
        }
        offers
    }
}
