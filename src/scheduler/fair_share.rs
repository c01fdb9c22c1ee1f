//! Floors while room is scarce: what is placed next, and what makes way.
//!
//! Owns the leader's view of what all accepted work asks for beside the machines that there are. It decides
//! the order of asks and what may be stopped; it starts, stops and rents nothing itself, and while nothing is
//! scarce it changes nothing. Nothing is stored: a new leader works it out from records and reports.

use crate::cloud::{CloudClient, MachinePool};
use crate::constants::{ARRAYS_NOW, DONE_WITHIN_S, LATE_WITHIN, PRESUMED_FOR, STAGE_MORE};
use crate::ids::{Amount, JobId};
use crate::jobs::LiveJob;
use crate::placement::{Bin, PlacementPlan, PlacementRequest, RequestTasks};
use crate::scheduler::Scheduler;
use crate::scheduler::interner::Interner;
use crate::scheduler::planning::PendingDemand;
use crate::wire::{JobKind, TaskState};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;
use troutspindle_fair_share::constants::MACHINE;
use troutspindle_fair_share::{Demand, Room, Scarcity, Standing, Supply, Turn};
use troutspindle_protocol::ops::{DemandLine, GroupDemand, Starving, StarvingGroup};

/// A class, numbered, and a team.
pub(super) type Group = (u32, usize);

/// Tasks of a group that wait, by cause.
type Causes = BTreeMap<(Group, &'static str), u64>;

pub(super) struct FairShare {
    scarcity: Scarcity<Group>,
    classes: Interner,
    /// What is asked for, and of it what is needed at once, as it was last looked at.
    demands: BTreeMap<Group, Demand>,
    supply: Supply,
    waits: Causes,
    /// The cloud has given or refused something to this leader.
    told: bool,
    /// Machine-seconds of each group's arrays that came under this leader, and groups of services.
    came: BTreeMap<Group, f64>,
    services: BTreeSet<Group>,
}

impl FairShare {
    pub(super) fn new(floor: f64) -> FairShare {
        FairShare {
            told: false,
            came: BTreeMap::new(),
            services: BTreeSet::new(),
            scarcity: Scarcity::new(floor),
            classes: Interner::default(),
            demands: BTreeMap::new(),
            supply: Supply::default(),
            waits: Causes::new(),
        }
    }

    /// The cloud gave or refused something.
    pub(super) fn cloud_told(&mut self) {
        self.told = true;
    }

    pub(super) fn is_scarce(&self) -> bool {
        self.scarcity.since().is_some()
    }
}

/// How an ask is reckoned while room is scarce.
pub(super) struct Weight {
    pub group: Group,
    /// Machine-seconds that its job still takes: of an array those with least left go first, so that
    /// many are done rather than all half done.
    left: u64,
    /// It must stay one ask: what its zones may still hold is counted in it.
    whole: bool,
}

/// What may make way of each group; none: nothing is scarce.
pub(super) type Spare = Option<BTreeMap<Group, Room>>;

/// The share that an amount takes of a machine as large as the largest in each resource.
fn room(amount: &Amount, largest: &Amount) -> Room {
    let part = |amount: u64, whole: u64| match u128::from(whole) {
        0 => 0,
        whole => (u128::from(amount) * u128::from(MACHINE) / whole) as Room,
    };
    part(amount.cpu, largest.cpu)
        .max(part(amount.gpu, largest.gpu))
        .max(part(amount.ram, largest.ram))
}

pub(super) fn largest(sizes: &[Amount]) -> Amount {
    let most = |f: fn(&Amount) -> u64| sizes.iter().map(f).max().unwrap_or(0);
    Amount { cpu: most(|a| a.cpu), gpu: most(|a| a.gpu), ram: most(|a| a.ram) }
}

impl Scheduler {
    pub(super) fn group(&mut self, job: &LiveJob) -> Group {
        let class = self.fair_share.classes.intern(&job.spec.class);
        (class, self.team_of(&job.spec.team))
    }

    fn known_group(&self, job: &LiveJob) -> Option<Group> {
        let class = self.fair_share.classes.get(&job.spec.class)?;
        Some((class, self.team_of(&job.spec.team)))
    }

    /// Seconds that a task of the job keeps its room, with what lies between two tasks.
    fn task_s(&self, id: &JobId, job: &LiveJob) -> f64 {
        self.run_s(id, job, self.settings.operator.estimates.learn) + STAGE_MORE.as_secs_f64()
    }

    /// Whether nothing more can be rented now, as far as refusals tell.
    fn is_exhausted(&self, silent: &[bool], cloud: &CloudClient) -> bool {
        let mut kinds = self.fleet.machine_types.iter().enumerate().flat_map(|(flavor, info)| {
            let zones = info.zones.iter().filter_map(|name| self.fleet.zone(name));
            zones.flat_map(move |zone| [true, false].map(|spot| MachinePool { flavor, zone, spot }))
        });
        cloud.is_out()
            || kinds.all(|kind| {
                silent[kind.zone] || self.autoscaler.capacity_backoff.contains_key(&kind)
            })
    }

    /// Looks at what all jobs that may run ask for, and at what there is. `room_left` is what each team may
    /// still use, `unsure` the room on machines whose tasks are not all known yet, `may_rent` whether this leader knows enough to rent at all, and `most` how many more
    /// machines controllers can hold.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn look_for_shortage(
        &mut self,
        live: &[(&JobId, &LiveJob)],
        bins: &[Bin],
        sizes: &[Amount],
        room_left: &[Amount],
        silent: &[bool],
        unsure: &Amount,
        may_rent: bool,
        most: u32,
        cloud: &CloudClient,
        now: Instant,
    ) {
        if self.settings.operator.floor <= 0.0 {
            return;
        }
        let largest = largest(sizes);
        let since = self.term.elapsed(now);
        let now_ms = self.wall_clock.ms(now);
        let mut demands: BTreeMap<Group, Demand> = BTreeMap::new();
        // Machine-seconds that are left of each group's arrays, over the time that they may take.
        let mut late: BTreeMap<Group, f64> = BTreeMap::new();
        // Of what waits, that which a predecessor may have started.
        let mut hidden: BTreeMap<Group, Room> = BTreeMap::new();
        for (id, job) in live {
            let known = self.jobs.progress.get(*id).and_then(|work| work.demand_group);
            let group = known.unwrap_or_else(|| self.group(job));
            let Some(team) = self.settings.platform.params.teams.get(group.1) else { continue };
            let guest = team.guarantee().is_zero();
            let each = room(&job.need, &largest);
            let run_s = self.task_s(id, job);
            let Some(work) = self.jobs.progress.get_mut(*id) else { continue };
            work.demand_group = Some(group);
            if work.failures.mistaken() {
                continue;
            }
            let (held, waiting) = (work.placed.len() as u64, work.waiting(job));
            let alone = Demand { ordinary: true, guest, ..Demand::default() };
            let demand = demands.entry(group).or_insert(alone);
            demand.ordinary &= !job.spec.spot;
            demand.held += each * held;
            demand.waiting += each * waiting;
            if work.predates_leadership && !unsure.is_zero() {
                *hidden.entry(group).or_default() += each * waiting;
            }
            if job.spec.shape == JobKind::Service {
                demand.offered += each * (held + waiting);
                self.fair_share.services.insert(group);
                continue;
            }
            let within_s = self.settings.finish_within(&job.spec.class).unwrap_or(DONE_WITHIN_S);
            *late.entry(group).or_default() +=
                (each * (held + waiting)) as f64 * run_s / (within_s * LATE_WITHIN);
            if !std::mem::replace(&mut work.counted_as_demand, true) {
                let age = Duration::from_millis(now_ms.saturating_sub(job.since_ms()));
                let tasks = job.spec.tasks - job.done_count().min(job.spec.tasks);
                let work = (each * tasks) as f64 * run_s / MACHINE as f64;
                self.fair_share.scarcity.came(&group, work, age, since);
                // What came under a predecessor it has told of.
                if age <= since || self.term.token.0 <= 1 {
                    *self.fair_share.came.entry(group).or_default() += work;
                }
            }
        }
        let all_hidden = hidden.values().sum::<Room>().max(1) as f64;
        let part = (room(unsure, &largest) as f64 / all_hidden).min(1.0);
        for (group, demand) in &mut demands {
            let seen_soon = hidden.get(group).map_or(0, |room| (*room as f64 * part) as Room);
            demand.held += seen_soon;
            demand.waiting -= seen_soon;
            let arriving = self.fair_share.scarcity.arriving(group, since);
            // What has waited long is still owed when nothing more comes.
            let late = late.get(group).map_or(0, |late| *late as Room);
            demand.offered += (arriving.max(late) as f64 * ARRAYS_NOW) as Room;
            let limit = room_left.get(group.1).map_or(0, |left| room(left, &largest));
            demand.waiting = demand.waiting.min(limit);
        }
        if self.fair_share.is_scarce() {
            self.leave_out_stopping(&mut demands, &largest);
        }
        let mut supply = Supply {
            exhausted: may_rent && (most == 0 || self.is_exhausted(silent, cloud)),
            presumed: !self.fair_share.told && self.term.token.0 > 1 && since < PRESUMED_FOR,
            ..Supply::default()
        };
        for bin in bins {
            let size = room(&sizes[bin.machine_type.index()], &largest);
            *(if bin.spot { &mut supply.spot } else { &mut supply.ordinary }) += size;
        }
        let turn = self.fair_share.scarcity.look(&demands, &supply, since);
        (self.fair_share.demands, self.fair_share.supply) = (demands, supply);
        match turn {
            Some(Turn::Began) => tracing::info!(
                machines = supply.all() as f64 / MACHINE as f64,
                held_floor_needed = ?self.shares(),
                waits_for = ?self.statistics.waiting_by_cause,
                "room is scarce"
            ),
            Some(Turn::Ended) => {
                tracing::info!(exhausted = supply.exhausted, "room is scarce no longer");
                self.fair_share.waits.clear();
            }
            None => {}
        }
    }

    /// What was told to stop makes way already and is held no longer.
    fn leave_out_stopping(&self, demands: &mut BTreeMap<Group, Demand>, largest: &Amount) {
        for machine in self.fleet.machines.values() {
            for ((task, attempt), entry) in &machine.entries {
                if entry.stop.is_none() || entry.state == TaskState::Exited {
                    continue;
                }
                let placed =
                    self.jobs.progress.get(&task.job).and_then(|work| work.placed.get(&task.index));
                if placed.is_none_or(|placed| placed.attempt != *attempt) {
                    continue;
                }
                let Some((class, team)) = self.shortage_group_of(&task.job) else { continue };
                if let Some(demand) = demands.get_mut(&(class, team)) {
                    let each = room(&entry.need, largest);
                    demand.held = demand.held.saturating_sub(each);
                    demand.waiting += each;
                }
            }
        }
    }

    fn shortage_group_of(&self, id: &JobId) -> Option<Group> {
        self.jobs.progress.get(id)?.demand_group
    }

    /// Machines' worth that each group holds, its floor, and what it needs.
    fn shares(&self) -> BTreeMap<String, [f64; 3]> {
        let machines = |room: Room| (room as f64 / MACHINE as f64 * 10.0).round() / 10.0;
        let row = |(group, standing): (&Group, &Standing)| {
            let needed = self.fair_share.demands.get(group).map_or(0, Demand::needed);
            let row = [standing.held, standing.floor, needed].map(machines);
            (self.group_name(group).join(" of "), row)
        };
        self.fair_share.scarcity.standings().map(row).collect()
    }

    fn group_name(&self, (class, team): &Group) -> [String; 2] {
        let class = self.fair_share.classes.name(*class).unwrap_or_default().to_owned();
        let team = self.settings.platform.params.teams.get(*team);
        [class, team.map_or(String::new(), |team| team.name.clone())]
    }

    /// How an ask is reckoned, if anything is scarce.
    pub(super) fn weight(
        &mut self,
        id: &JobId,
        job: &LiveJob,
        ask: &PlacementRequest,
    ) -> Option<Weight> {
        if !self.fair_share.is_scarce() {
            return None;
        }
        let group = self.group(job);
        let spec = &job.spec;
        let run_s = self.task_s(id, job);
        let tasks = spec.tasks.saturating_sub(job.done_count()) as f64;
        let left = if spec.shape == JobKind::Service {
            0.0
        } else {
            tasks * run_s * ask.resources.cpu as f64
        };
        let whole = spec.spread || spec.one_zone || ask.gang;
        Some(Weight { group, left: left as u64, whole })
    }

    /// Brings forward what is owed to groups below their floors, those that have least of it first. An ask
    /// is divided where only a part of it is owed.
    pub(super) fn owed_first(
        &self,
        sources: &mut Vec<PendingDemand>,
        asks: &mut Vec<PlacementRequest>,
        weights: &mut Vec<Option<Weight>>,
        sizes: &[Amount],
    ) {
        if !self.fair_share.is_scarce() {
            return;
        }
        let largest = largest(sizes);
        let mut owed: BTreeMap<Group, Room> = BTreeMap::new();
        let mut reached = BTreeMap::new();
        for (group, standing) in self.fair_share.scarcity.standings() {
            owed.insert(*group, standing.owed);
            reached.insert(*group, standing.reached());
        }
        let mut order: Vec<usize> = (0..asks.len()).collect();
        order.retain(|n| weights[*n].as_ref().is_some_and(|w| owed.get(&w.group) > Some(&0)));
        order.sort_by_key(|n| {
            let weight = weights[*n].as_ref();
            weight.map(|w| (reached.get(&w.group).copied(), w.left, *n))
        });
        let mut first = (Vec::new(), Vec::new(), Vec::new());
        let mut taken = vec![false; asks.len()];
        for n in order {
            let Some(Weight { group, left, whole }) = &weights[n] else { continue };
            let Some(owed) = owed.get_mut(group).filter(|owed| **owed > 0) else { continue };
            let each = room(&asks[n].resources, &largest).max(1);
            let count = u32::try_from(owed.div_ceil(each)).unwrap_or(u32::MAX);
            let count = if *whole { asks[n].count } else { count.min(asks[n].count) };
            *owed = owed.saturating_sub(each * u64::from(count));
            first.0.push(PendingDemand { job: sources[n].job.clone(), left: count });
            first.1.push(PlacementRequest { count, ..asks[n].clone() });
            first.2.push(Some(Weight { group: *group, left: *left, whole: *whole }));
            asks[n].count -= count;
            sources[n].left -= count;
            taken[n] = asks[n].count == 0;
        }
        let kept = |n: &mut usize| {
            *n += 1;
            !taken[*n - 1]
        };
        let (mut a, mut b, mut c) = (0, 0, 0);
        sources.retain(|_| kept(&mut a));
        asks.retain(|_| kept(&mut b));
        weights.retain(|_| kept(&mut c));
        sources.splice(0..0, first.0);
        asks.splice(0..0, first.1);
        weights.splice(0..0, first.2);
    }

    /// Notes why tasks wait, for whoever asks.
    pub(super) fn note_causes(&mut self, weights: &[Option<Weight>], plan: &PlacementPlan) {
        self.fair_share.waits.clear();
        for (why, left) in [("machine to come", &plan.booked), ("no room", &plan.unplaceable)] {
            for RequestTasks { request, tasks } in left {
                let Some(Some(weight)) = weights.get(request.0) else { continue };
                *self.fair_share.waits.entry((weight.group, why)).or_default() += u64::from(*tasks);
            }
        }
    }

    /// What may make way of each group: what it holds above its floor.
    pub(super) fn spare(&self) -> Spare {
        let standings = self.fair_share.scarcity.standings();
        self.fair_share
            .is_scarce()
            .then(|| standings.map(|(group, standing)| (*group, standing.spare)).collect())
    }

    /// The group of a task that could make way, and what stopping it takes from that.
    pub(super) fn taken_from(
        &self,
        job: &LiveJob,
        need: &Amount,
        largest: &Amount,
    ) -> Option<(Group, Room)> {
        Some((self.known_group(job)?, room(need, largest)))
    }

    /// What is asked for beside what there is, for the log; none while floors are off.
    pub(super) fn demand_line(&self, now: Instant) -> Option<String> {
        if self.settings.operator.floor <= 0.0 {
            return None;
        }
        let machines = |room: Room| (room as f64 / MACHINE as f64 * 100.0).round() / 100.0;
        let since = self.term.elapsed(now);
        let shortage = &self.fair_share;
        let group = |(group, demand): (&Group, &Demand)| {
            let [class, team] = self.group_name(group);
            GroupDemand {
                class,
                team,
                service: shortage.services.contains(group),
                ordinary: demand.ordinary,
                held: machines(demand.held),
                waiting: machines(demand.waiting),
                came: shortage.came.get(group).map_or(0.0, |came| came.round()),
                floor: machines(shortage.scarcity.standing(group).map_or(0, |s| s.floor)),
            }
        };
        let line = DemandLine {
            token: self.term.token.0,
            at_s: since.as_secs_f64(),
            ordinary: machines(shortage.supply.ordinary),
            spot: machines(shortage.supply.spot),
            exhausted: shortage.supply.exhausted,
            scarce: shortage.is_scarce(),
            groups: shortage.demands.iter().map(group).collect(),
        };
        serde_json::to_string(&line).ok()
    }

    /// What operators are told of groups below their floors.
    pub fn starving(&self, now: Instant) -> Starving {
        let machines = |room: Room| room as f64 / MACHINE as f64;
        let below = self.fair_share.scarcity.standings().filter(|(_, s)| s.owed > 0);
        let groups = below.map(|(group, standing)| {
            let [class, team] = self.group_name(group);
            let needed = self.fair_share.demands.get(group).map_or(0, Demand::needed);
            let causes = self.fair_share.waits.iter().filter(|((of, _), _)| of == group);
            StarvingGroup {
                class,
                team,
                held: machines(standing.held),
                floor: machines(standing.floor),
                needed: machines(needed),
                waits_for: causes.map(|((_, why), n)| ((*why).to_owned(), *n)).collect(),
            }
        });
        let since = self.fair_share.scarcity.since();
        Starving {
            leader: self.settings.platform.host_name.to_string(),
            scarce_for_s: since.map(|at| self.term.elapsed(now).saturating_sub(at).as_secs_f64()),
            machines: machines(self.fair_share.supply.all()),
            nothing_to_rent: self.fair_share.supply.exhausted,
            groups: groups.collect(),
        }
    }
}
