//! One planning pass: what waits is turned into asks, asks into starts, rentals and stops.
//!
//! Owns the order of service and what a team may still use. It is the only place that starts a task. Where an ask goes
//! `placement` decides; it changes no machine's life and writes nothing.

use crate::cloud::{CloudClient, MachinePool};
use crate::constants::{CONSOLIDATE_EVERY, HIRE_SETTLE, PLAN_EVERY, VACATED};
use crate::ids::{Amount, JobId, MachineId, MachineTypeId, TaskId, TeamId, ZoneId};
use crate::jobs::{Job, LiveJob};
use crate::placement::{
    self, Basket, Bin, PlacementInput, PlacementRequest, PlannedStart, QueuedJob, ScaleOutPolicy,
};
use crate::scheduler::fleet::FleetSummary;
use crate::scheduler::job_progress::{JobProgress, Placement};
use crate::scheduler::preemption::Stoppable;
use crate::scheduler::{Scheduler, fair_share};
use crate::store::Cache;
use crate::wire::{JobKind, Priority};
use crate::workers::machine::{Machine, MachineState, PlacedAttempt};
use foldhash::HashMap;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
/// A job that asks for machines in a planning pass, and how many of its tasks are still to be placed.
pub(super) struct PendingDemand {
    pub(super) job: JobId,
    pub(super) left: u32,
}

impl Scheduler {
    /// Whether work may be placed on a machine now, and will stay there.
    pub(super) fn takes_work(&self, machine: &Machine, now: Instant) -> bool {
        machine.life == MachineState::Up
            && machine.confirmed
            && machine.recorded
            && machine.recall_at.is_none()
            && !machine.faulty
            && machine.silent_for(now) < self.settings.report_every() * 2
            && !self.is_drained(machine)
    }

    /// What each team's tasks may be using.
    pub(super) fn team_use(&mut self, sizes: &[Amount]) -> Vec<Amount> {
        let threshold = self.settings.operator.heavy_threshold;
        let mut used = vec![Amount::default(); self.teams.len()];
        for machine in self.fleet.machines.values_mut() {
            let usage = machine.usage(|need| Basket::classify(need, sizes, threshold));
            for (team, amount) in &usage.teams {
                if let Some(sum) = used.get_mut(*team) {
                    *sum = sum.plus(amount);
                }
            }
        }
        used
    }

    /// What each live job (in order of age) may claim, in order of service; and what each team's
    /// tasks may be using on machines that no report has shown yet.
    pub(super) fn claims(
        &self,
        live: &[(&JobId, &LiveJob)],
        unsure: bool,
        now: Instant,
    ) -> (Vec<QueuedJob>, Vec<Amount>) {
        let settings = &self.settings;
        let params = &settings.platform.params;
        let mut claimed = vec![Amount::default(); params.teams.len()];
        let mut hidden = vec![Amount::default(); params.teams.len()];
        let mut order: Vec<QueuedJob> = Vec::new();
        for (at, (id, job)) in live.iter().enumerate() {
            let Some(&team) = self.teams.get(&job.spec.team) else { continue };
            claimed[team] = claimed[team].plus(&job.need.times(job.spec.tasks));
            let beyond = !claimed[team].fits(&params.teams[team].guarantee());
            let work = &self.jobs.progress[*id];
            let started = job.done_count() + work.placed.len() as u64;
            let turn = placement::max_copies(&params.teams[team].most(), &job.need);
            let waited =
                work.first_seen.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            let (due, overdue) = self.due_aims(id, job, now);
            let aims = settings.waits(&job.spec.class).count() + due;
            let missed = settings.missed_waits(&job.spec.class, waited) + overdue;
            order.push(QueuedJob {
                priority: self.urgency(id, job),
                first_start: job.spec.shape != JobKind::Service || work.retries.is_empty(),
                over_quota: beyond,
                without_slo: !self.has_aim(id, job),
                had_turn: started >= turn,
                missed_slos: missed,
                size: if missed > 0 && missed == aims { 0 } else { job.spec.tasks },
                age_rank: at,
                team: TeamId::new(team),
            });
            if work.predates_leadership && unsure {
                hidden[team] = hidden[team].plus(&job.need.times(work.waiting(job)));
            }
        }
        placement::sort_by_service_order(&mut order);
        (order, hidden)
    }

    /// The machines that placement may use, up or booting, each with its name.
    pub(super) fn bins(
        &mut self,
        sizes: &[Amount],
        survey: &FleetSummary,
        now: Instant,
    ) -> (Vec<Bin>, Vec<Option<MachineId>>) {
        let settings = self.settings.clone();
        let threshold = settings.operator.heavy_threshold;
        let quiet = settings.report_every() * 2 + Duration::from_secs(1);
        let mut bins = Vec::with_capacity(self.fleet.machines.len());
        let mut names = Vec::with_capacity(self.fleet.machines.len());
        let hold = Duration::from_secs_f64(settings.operator.hold_s);
        let overdue = self.overdue(survey, now);
        let drained = self.drains.drained.clone();
        for machine in self.fleet.machines.values_mut() {
            let flavor = &self.fleet.machine_types[machine.flavor];
            let booting = machine.life == MachineState::Booting && !overdue(machine, flavor);
            // What is being emptied takes nothing until it is empty.
            let emptying = machine.emptied_at.is_some_and(|at| now < at + CONSOLIDATE_EVERY);
            let name = &settings.platform.params.zones[machine.zone];
            if drained.of(machine.id.as_str(), name).is_some() {
                continue;
            }
            let up = machine.life == MachineState::Up
                && (!emptying || machine.is_empty())
                && machine.recall_at.is_none()
                && !machine.faulty
                && machine.heard.is_some()
                && machine.silent_for(now) < quiet;
            let coming = machine.life == MachineState::Up && !machine.confirmed;
            if !(booting || up || coming) {
                continue;
            }
            let usage = machine.usage(|need| Basket::classify(need, sizes, threshold));
            let (used, basket) = (usage.used, usage.basket);
            if machine.images.len() > machine.image_ids.len() {
                let images = machine.images.iter();
                machine.image_ids =
                    images.map(|image| self.fleet.image_ids.intern(image)).collect();
            }
            let held = machine.idle_since.is_some_and(|at| now < at + hold);
            if basket.is_some() || !held {
                machine.basket = basket;
            }
            bins.push(Bin {
                index: machine.index,
                zone: ZoneId::new(machine.zone),
                machine_type: MachineTypeId::new(machine.flavor),
                spot: machine.spot,
                free: sizes[machine.flavor].minus(&used),
                basket: machine.basket,
                ready: up && machine.confirmed && machine.recorded,
                images: machine.image_ids.clone(),
                recently_vacated: machine.vacated_at.is_some_and(|at| now < at + VACATED),
            });
            names.push(Some(machine.id.clone()));
        }
        (bins, names)
    }

    /// Starts what was placed, but not where urgent work would wait for an image while less
    /// urgent work can make way where the image is. Places of asks beyond the jobs' own are room
    /// that is kept warm.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn start_planned(
        &mut self,
        places: &[PlannedStart],
        names: &[Option<MachineId>],
        sources: &mut [PendingDemand],
        urgent: &mut BTreeMap<usize, PlacementRequest>,
        stoppable: &mut Stoppable,
        cache: &Cache,
        now: Instant,
    ) {
        self.autoscaler.reserved_machines.clear();
        for PlannedStart { request, bin } in places {
            let Some(Some(id)) = names.get(bin.0) else { continue };
            let Some(source) = sources.get_mut(request.0) else {
                self.autoscaler.reserved_machines.insert(id.clone());
                continue;
            };
            let job = &source.job;
            let id = id.clone();
            let Some(machine) = self.fleet.machines.get(&id) else { continue };
            let zone = ZoneId::new(machine.zone);
            if let Some(ask) = urgent.get_mut(&request.0) {
                let cold = !machine.image_ids.contains(&ask.image);
                if cold
                    && self.fetch_is_late(job, &id, cache)
                    && self.make_warm_way(ask, stoppable, cache, now)
                {
                    // It goes where its image is, as soon as that room is free.
                    continue;
                }
                ask.zone_limits.consume(zone, 1);
            }
            let live = cache.jobs.get(job).and_then(Job::live);
            let urgency = live.map(|live| self.urgency(job, live));
            if urgency == Some(Priority::Low) && !self.start_pacer.low_priority_starts.has(1.0, now)
            {
                // Hundreds of jobs may ask for one start each.
                self.planning_clock.pass_requested = true;
                continue;
            }
            let work = self.jobs.progress.get_mut(job);
            let Some(index) = live.zip(work).and_then(|(live, work)| work.next_task(live, now))
            else {
                continue;
            };
            source.left = source.left.saturating_sub(1);
            let task = TaskId { job: job.clone(), index };
            self.start(&id, task, cache, now);
        }
    }

    /// Whether a pass may do more than keep room warm and empty machines, which can wait for half a second: some task
    /// waits, or something is to be left. Most reports that ask for a pass tell of tasks that run.
    pub(super) fn waits_for_a_pass(&self, cache: &Cache) -> bool {
        let waits = |(id, work): (&JobId, &JobProgress)| {
            let live = cache.jobs.get(id).and_then(Job::live);
            live.is_some_and(|live| work.waiting(live) > 0)
        };
        let waiting = self.jobs.progress.iter().any(waits);
        waiting || self.dependencies.stale || !self.drains.drained.is_empty()
    }

    pub(super) fn plan(&mut self, cache: &Cache, cloud: &mut CloudClient, now: Instant) {
        let settings = self.settings.clone();
        let params = &settings.platform.params;
        let sizes: Vec<Amount> =
            (0..self.fleet.machine_types.len()).map(|f| self.fleet.capacity(f)).collect();

        // Machines on which tasks may run that no report has shown yet.
        let mut unsure: Vec<MachinePool> = Vec::new();
        let mut unsure_room = Amount::default();
        for machine in self.fleet.machines.values().filter(|m| !m.confirmed) {
            unsure.push(MachinePool {
                flavor: machine.flavor,
                zone: machine.zone,
                spot: machine.spot,
            });
            unsure_room =
                unsure_room.plus(&self.fleet.capacity(machine.flavor).minus(&machine.used()));
        }

        let known = |id| {
            let (id, job) = cache.jobs.all.get_key_value(id)?;
            Some((id, job.live()?))
        };
        let mut live: Vec<(&JobId, &LiveJob)> =
            self.jobs.progress.keys().filter_map(known).collect();
        self.estimate_all(&live, now);
        self.carry_back(&live);
        let coming = self.coming(&live, now);
        // What waits for other jobs starts nothing and holds no part of a limit or guarantee.
        live.retain(|(_, job)| job.ready());
        live.sort_by(|a, b| (a.1.since_ms(), a.0).cmp(&(b.1.since_ms(), b.0)));
        let (order, mut hidden) = self.claims(&live, !unsure.is_empty(), now);
        if unsure.is_empty() {
            self.jobs.orphaned_tasks.clear();
        }
        for (team, hidden) in hidden.iter_mut().enumerate() {
            *hidden = hidden.plus(&self.jobs.orphaned_tasks.of(team));
        }

        let used = self.team_use(&sizes);
        let mut team_room: Vec<Amount> = params
            .teams
            .iter()
            .enumerate()
            .map(|(t, team)| team.most().minus(&used[t]).minus(&hidden[t].least(&unsure_room)))
            .collect();
        let unlimited = Amount { cpu: u64::MAX, gpu: u64::MAX, ram: u64::MAX };
        team_room.push(unlimited);

        let survey = self.fleet_summary(now);
        let mut silent = self.unreachable_zones(&survey, now);
        // No room is kept, and nothing rented, where all is to leave.
        silent.iter_mut().zip(self.drained_zones()).for_each(|(shut, drained)| *shut |= drained);
        let (mut bins, mut names) = self.bins(&sizes, &survey, now);
        let pending = cloud.pending();
        let may_rent = now >= self.term.started_at + HIRE_SETTLE
            && (self.fleet.listed_once || now >= self.term.started_at + HIRE_SETTLE * 4);
        let coming_up: u32 = pending.iter().map(|(_, count)| count).sum();
        let held = u32::try_from(self.fleet.machines.len()).unwrap_or(u32::MAX);
        let rents_left =
            self.autoscaler.max_machines.saturating_sub(held.saturating_add(coming_up));
        self.look_for_shortage(
            &live,
            &bins,
            &sizes,
            &team_room,
            &silent,
            &unsure_room,
            may_rent,
            rents_left,
            cloud,
            now,
        );

        let mut asks: Vec<PlacementRequest> = Vec::new();
        let mut sources: Vec<PendingDemand> = Vec::new();
        let mut weights: Vec<Option<fair_share::Weight>> = Vec::new();
        let mut wake: Option<Instant> = None;
        let growth = self.growth(&live, now);
        // Elastic jobs beyond their least width come after all that is served as usual.
        let mut wider: Vec<(PendingDemand, PlacementRequest)> = Vec::new();
        self.statistics.waiting_by_cause.clear();
        for QueuedJob { age_rank: at, over_quota, .. } in order {
            let (id, job) = live[at];
            let team = self.teams[&job.spec.team];
            let within = placement::max_copies(&team_room[team], &job.need);
            let waiting = self.jobs.progress[id].waiting(job);
            if within < waiting {
                *self.statistics.waiting_by_cause.entry("team limit").or_default() +=
                    waiting - within;
            }
            let mut most = within;
            if self.urgency(id, job) == Priority::Low && job.spec.shape == JobKind::Array {
                let paced = self.start_pacer.low_priority_starts.room(now) as u64;
                if paced < most.min(waiting) {
                    *self.statistics.waiting_by_cause.entry("pace of starts").or_default() +=
                        most.min(waiting) - paced;
                    most = paced;
                    self.planning_clock.pass_requested = true;
                }
            }
            let grows = self.limit_width(id, job, &growth, &mut most);
            if let Some(mut ask) = self.ask_for(id, job, most, &unsure, &sizes, &mut wake, now) {
                ask.slo_slack_s = self.time_left(id, job, over_quota, now);
                if grows {
                    ask.scale_out = ScaleOutPolicy::Nothing;
                    wider.push((PendingDemand { job: id.clone(), left: ask.count }, ask));
                    continue;
                }
                sources.push(PendingDemand { job: id.clone(), left: ask.count });
                weights.push(self.weight(id, job, &ask));
                asks.push(ask);
            }
        }
        self.owed_first(&mut sources, &mut asks, &mut weights, &sizes);
        for (source, ask) in wider {
            sources.push(source);
            asks.push(ask);
        }
        let real_asks = asks.len();
        self.coming_asks(&mut asks, coming, cache, &sizes);
        self.warm_asks(&mut asks, &sizes, (&survey, &silent), params.teams.len());

        for (kind, count) in &pending {
            for _ in 0..*count {
                bins.push(Bin::booting(
                    ZoneId::new(kind.zone),
                    MachineTypeId::new(kind.flavor),
                    kind.spot,
                    sizes[kind.flavor],
                ));
                names.push(None);
            }
        }
        // Least urgent work that waits is no reason to leave others scattered: what is emptied it
        // can use, and room that it needs itself is not free.
        let quiet = asks[..real_asks].iter().all(|ask| ask.priority == Priority::Low);
        if quiet && unsure.is_empty() && now >= self.consolidation.next_round && !self.is_draining()
        {
            self.consolidation.next_round = now + CONSOLIDATE_EVERY;
            self.consolidate(&bins, &names, cache, now);
        }
        if unsure.is_empty() {
            self.move_off(&bins, &names, cache, now);
        }
        let total = bins.len();
        let heavy_cap = ((total as f64 * settings.operator.heavy_cap) as usize).max(1);
        let mut kinds = self.offers(&sizes, &pending, now);
        kinds.retain(|(kind, _)| !silent[kind.zone]);
        let offers = if may_rent { kinds.iter().map(|(_, o)| o.clone()).collect() } else { vec![] };
        let room: Vec<Amount> = team_room.clone();
        let mut urgent: BTreeMap<usize, PlacementRequest> = asks
            .iter()
            .take(real_asks)
            .enumerate()
            .filter(|(_, ask)| {
                ask.priority <= Priority::High && ask.scale_out == ScaleOutPolicy::Any
            })
            .map(|(n, ask)| (n, ask.clone()))
            .collect();
        let plan = placement::plan(PlacementInput {
            bins,
            requests: asks,
            team_headroom: team_room,
            offers,
            heavy_limit: heavy_cap,
            rental_limit: rents_left,
        });
        if self.fair_share.is_scarce() {
            self.note_causes(&weights, &plan);
        }
        let no_room = if rents_left == 0 { "controllers hold no more machines" } else { "no room" };
        for (why, left) in [("machine to come", &plan.booked), (no_room, &plan.unplaceable)] {
            let real = left.iter().filter(|left| left.request.0 < real_asks);
            let count: u32 = real.map(|left| left.tasks).sum();
            if count > 0 {
                self.statistics.waiting_by_cause.insert(why, u64::from(count));
            }
        }

        let mut stoppable = Stoppable::default();
        let places = &plan.starts;
        self.start_planned(places, &names, &mut sources, &mut urgent, &mut stoppable, cache, now);
        // What a machine to come serves in time stops nobody.
        let coming: HashMap<usize, u32> =
            plan.booked.iter().map(|booked| (booked.request.0, booked.tasks)).collect();
        let unplaced = urgent.into_iter().map(|(n, ask)| {
            let served = if self.can_wait(&ask) { coming.get(&n).copied().unwrap_or(0) } else { 0 };
            (sources[n].left.saturating_sub(served), ask)
        });
        let unplaced = unplaced.collect();
        self.preempt(unplaced, &room, cache, now);
        for (n, count) in plan.scale_out.iter().enumerate() {
            if *count > 0 {
                let (kind, _) = &kinds[n];
                let flavor = self.fleet.machine_types[kind.flavor].name.clone();
                cloud.hire(*kind, &flavor, &params.zones[kind.zone], *count, now);
            }
        }
        if wake.is_some() || !plan.unplaceable.is_empty() || !plan.booked.is_empty() {
            // Time alone may change the outcome: pauses end, refusals are forgotten.
            self.planning_clock.pass_requested = true;
            let pause = if wake.is_some_and(|at| at < now + PLAN_EVERY * 4) { 2 } else { 4 };
            self.planning_clock.next_pass = now + PLAN_EVERY * pause;
        }
    }

    pub(super) fn start(&mut self, id: &MachineId, task: TaskId, cache: &Cache, now: Instant) {
        let Some(live) = cache.jobs.get(&task.job).and_then(Job::live) else { return };
        if !live.ready() {
            // Nothing asks for it; this is the last place that could start it too early.
            tracing::error!(%task, "waits for other jobs and was to be started");
            return;
        }
        let team = self.team_of(&live.spec.team);
        let urgency = self.urgency(&task.job, live);
        self.jobs.machines.note(&task.job, id, &self.fleet.machines);
        let (Some(machine), Some(work)) =
            (self.fleet.machines.get_mut(id), self.jobs.progress.get_mut(&task.job))
        else {
            return;
        };
        // The tasks of a gang find each other by a common attempt: each generation has one.
        let gang = live.spec.shape == JobKind::Gang;
        let shared = || work.placed.values().map(|placed| placed.attempt).max();
        let attempt = match gang.then(shared).flatten() {
            Some(shared) => shared,
            _ => self.term.create_attempt(),
        };
        tracing::debug!(machine = %id, %task, %attempt, "start");
        self.statistics.starts += 1;
        if urgency == Priority::Low {
            self.start_pacer.low_priority_starts.take(1.0, now);
        }
        work.placed.insert(task.index, Placement { machine: id.clone(), attempt });
        let image = Arc::from(live.spec.image.as_str());
        let entry = PlacedAttempt::new(live.need, team, urgency, image, now);
        machine.entries.insert((task, attempt), entry);
        machine.entries_changed();
        machine.owed = true;
    }
}
