//! Stopping less urgent work for urgent work that finds no room.

use crate::constants::{ENDS_SOON_S, FETCH_SHARE, IMAGE_WORTH_S, SAVE_SHARE};
use crate::ids::{Amount, JobId, MachineId, MachineTypeId, ZoneId};
use crate::jobs::Job;
use crate::placement::{self, PlacementRequest};
use crate::scheduler::task_attempt::TaskAttempt;
use crate::scheduler::{Scheduler, fair_share};
use crate::store::Cache;
use crate::wire::{JobKind, Priority, TaskState};
use crate::workers::machine::Stop;
use ordered_float::OrderedFloat;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// The reason of a stop that makes room for more urgent work.
pub(super) const PREEMPTED: &str = "preempted";
/// The reason of a stop that moves a task elsewhere.
pub(super) const MOVED: &str = "moved";

/// A task that could make way.
struct Victim {
    key: TaskAttempt,
    urgency: Priority,
    need: Amount,
    /// Seconds of its work that are lost if it may save first, and if it may not; more for a job
    /// whose tasks made way before.
    saved_loss: f64,
    loss: f64,
    save_s: f64,
    /// Where room is scarce: whose floor it counts towards, and how much it takes up.
    of: Option<(fair_share::Group, u64)>,
}

/// A machine with tasks that could make way, those first that lose least for their size.
struct PendingDemand {
    id: MachineId,
    index: u64,
    zone: ZoneId,
    machine_type: MachineTypeId,
    spot: bool,
    free: Amount,
    images: placement::Images,
    victims: Vec<Victim>,
}

/// What could make way, looked up once for many asks and only if anything is to be stopped:
/// machines hold dozens of a guest's small tasks each.
#[derive(Default)]
pub(super) struct Stoppable {
    sources: Option<Vec<PendingDemand>>,
    /// What may make way of each group, where room is scarce.
    spare: fair_share::Spare,
    /// Asks for which nothing could make way: room for others alike was looked for in vain, and what
    /// could make way only gets less within a pass.
    hopeless: Vec<PlacementRequest>,
}

/// Whether what nothing makes way for on behalf of one has nothing for the other either.
fn alike(a: &PlacementRequest, b: &PlacementRequest) -> bool {
    (a.priority, a.resources, a.zone, a.allows_spot)
        == (b.priority, b.resources, b.zone, b.allows_spot)
        && a.machine_types == b.machine_types
        && a.excluded_machines == b.excluded_machines
        && a.zone_limits.same_open_zones(&b.zone_limits)
}

/// Whether a group has so much above its floor.
fn has_spare(spare: &fair_share::Spare, group: fair_share::Group, room: u64) -> bool {
    spare.as_ref().is_none_or(|spare| spare.get(&group).is_some_and(|spare| *spare >= room))
}

/// Takes what these take up from what their groups have above their floors, if it is there for all.
fn spare_takes(
    spare: &mut fair_share::Spare,
    victims: impl Iterator<Item = (fair_share::Group, u64)>,
) -> bool {
    let Some(spare) = spare else { return true };
    let mut sums: BTreeMap<fair_share::Group, u64> = BTreeMap::new();
    victims.for_each(|(group, room)| *sums.entry(group).or_default() += room);
    if sums.iter().any(|(group, room)| spare.get(group).is_none_or(|left| left < room)) {
        return false;
    }
    for (group, room) in sums {
        spare.entry(group).and_modify(|left| *left -= room);
    }
    true
}

impl Scheduler {
    /// Stops less urgent tasks where that makes room for urgent ones that found none: on a
    /// machine that has the image if there is one, and those that lose least.
    pub(super) fn preempt(
        &mut self,
        unplaced: Vec<(u32, PlacementRequest)>,
        room: &[Amount],
        cache: &Cache,
        now: Instant,
    ) {
        if unplaced.iter().all(|(count, ask)| *count == 0 || ask.gang) {
            return;
        }
        // Room that earlier stops are about to free. Its size counts: sixteen small tasks may
        // make room for one.
        let mut coming = self
            .fleet
            .machines
            .values()
            .flat_map(|machine| machine.entries.values())
            .filter(|entry| entry.state != TaskState::Exited)
            .filter(|entry| entry.stopped_for(PREEMPTED))
            .fold(Amount::default(), |sum, entry| sum.plus(&entry.need));
        // Looked up anew: the starts of this pass have taken room.
        let mut stoppable = Stoppable::default();
        for (count, ask) in unplaced {
            if ask.gang {
                continue;
            }
            let count = u64::from(count)
                .min(placement::max_copies(&room[ask.team.index()], &ask.resources));
            let served = count.min(placement::max_copies(&coming, &ask.resources));
            coming = coming.minus(&ask.resources.times(served));
            self.make_way(&ask, count - served, false, &mut stoppable, cache, now);
        }
    }

    /// Whether a start on a machine without the image misses its class's tightest aim.
    pub(super) fn fetch_is_late(&self, job: &JobId, machine: &MachineId, cache: &Cache) -> bool {
        let Some(live) = cache.jobs.get(job).and_then(Job::live) else { return false };
        let Some(machine) = self.fleet.machines.get(machine) else { return false };
        let rate = self.fleet.machine_types[machine.flavor].fetch_gb_per_s;
        let Some(within_s) = self.settings.tightest_wait(&live.spec.class) else { return false };
        live.spec.urgency == Priority::Production
            && rate > 0.0
            && live.spec.image_gb / rate > within_s * FETCH_SHARE
    }

    fn sources(
        &self,
        spare: &fair_share::Spare,
        cache: &Cache,
        now: Instant,
    ) -> Vec<PendingDemand> {
        let sizes: Vec<Amount> =
            (0..self.fleet.machine_types.len()).map(|f| self.fleet.capacity(f)).collect();
        let largest = fair_share::largest(&sizes);
        let knows = self.settings.operator.estimates.make_way;
        let mut sources = Vec::new();
        for machine in self.fleet.machines.values().filter(|m| self.takes_work(m, now)) {
            let mut victims: Vec<Victim> = machine
                .entries
                .iter()
                .filter(|(_, entry)| {
                    entry.urgency > Priority::Production
                        && entry.stop.is_none()
                        && matches!(entry.state, TaskState::Running | TaskState::Fetching)
                })
                .filter_map(|(key, entry)| {
                    let live = cache.jobs.get(&key.0.job).and_then(Job::live)?;
                    let spec = &live.spec;
                    if spec.shape != JobKind::Array {
                        return None;
                    }
                    let ran = entry
                        .running_since
                        .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
                    // What ends by itself in a moment gives its room up anyway, and loses all if stopped.
                    let known = self.runtime_predictor.rest_s(&key.0.job, ran).filter(|_| knows);
                    if known.is_some_and(|rest_s| rest_s < ENDS_SOON_S) {
                        return None;
                    }
                    let of =
                        spare.as_ref().and_then(|_| self.taken_from(live, &entry.need, &largest));
                    // What a group holds up to its floor stays, whoever waits.
                    if of.is_some_and(|(group, room)| !has_spare(spare, group, room)) {
                        return None;
                    }
                    let saves = spec.checkpoint_s > 0.0;
                    // What made way before has lost enough: else the same small jobs are stopped
                    // again and again until they end late.
                    let before =
                        self.jobs.progress.get(&key.0.job).map_or(0, |work| work.preemptions);
                    let weight = 1.0 + f64::from(before) / spec.tasks as f64;
                    let least = self.least_width_s(&key.0.job, live);
                    Some(Victim {
                        key: key.clone(),
                        urgency: entry.urgency,
                        need: entry.need,
                        saved_loss: least + weight * if saves { spec.save_s } else { ran },
                        loss: least
                            + weight * if saves { ran.min(spec.checkpoint_s / 2.0) } else { ran },
                        save_s: if saves { spec.save_s } else { 0.0 },
                        of,
                    })
                })
                .collect();
            if victims.is_empty() {
                continue;
            }
            victims.sort_by(|a, b| a.saved_loss.min(a.loss).total_cmp(&b.saved_loss.min(b.loss)));
            sources.push(PendingDemand {
                id: machine.id.clone(),
                index: machine.index,
                zone: ZoneId::new(machine.zone),
                machine_type: MachineTypeId::new(machine.flavor),
                spot: machine.spot,
                free: self.fleet.capacity(machine.flavor).minus(&machine.used()),
                images: machine.image_ids.clone(),
                victims,
            });
        }
        sources
    }

    /// Makes room for one task on a machine that has its image.
    pub(super) fn make_warm_way(
        &mut self,
        ask: &PlacementRequest,
        stoppable: &mut Stoppable,
        cache: &Cache,
        now: Instant,
    ) -> bool {
        self.make_way(ask, 1, true, stoppable, cache, now) > 0
    }

    /// Makes room for up to so many tasks, where it costs least first; gives for how many. With
    /// `warm`, only on machines that have the image.
    fn make_way(
        &mut self,
        ask: &PlacementRequest,
        count: u64,
        warm: bool,
        stoppable: &mut Stoppable,
        cache: &Cache,
        now: Instant,
    ) -> u64 {
        if count == 0 || (!warm && stoppable.hopeless.iter().any(|other| alike(ask, other))) {
            return 0;
        }
        // Saving goes on for as long as the urgent task waits for the room.
        let patience_s = ask.start_slo_s.unwrap_or(f64::INFINITY) * SAVE_SHARE;
        if stoppable.sources.is_none() {
            stoppable.spare = self.spare();
            stoppable.sources = Some(self.sources(&stoppable.spare, cache, now));
        }
        let Stoppable { sources: Some(sources), spare, .. } = stoppable else { return 0 };
        // Room that is made on one machine changes what it costs there alone, so each is looked at
        // once and again after each choice of it.
        let look = |source: &PendingDemand| {
            let cold = !source.images.contains(&ask.image);
            source.way(ask, patience_s, cold, warm)
        };
        let mut ways: BTreeMap<(OrderedFloat<f64>, usize), Way> = BTreeMap::new();
        for (at, source) in sources.iter().enumerate() {
            if let Some(way) = look(source) {
                ways.insert((way.price, at), way);
            }
        }
        let mut chosen = Vec::new();
        while (chosen.len() as u64) < count
            && let Some(((_, at), way)) = ways.pop_first()
        {
            let source = &mut sources[at];
            if !spare_takes(spare, way.victims.iter().filter_map(|n| source.victims[*n].of)) {
                // Others made way up to that floor.
                source.victims.retain(|v| v.of.is_none_or(|(g, room)| has_spare(spare, g, room)));
                if let Some(way) = look(source).filter(|other| other.victims != way.victims) {
                    ways.insert((way.price, at), way);
                }
                continue;
            }
            tracing::info!(machine = %source.id, tasks = way.victims.len(), loss = way.loss, "preempted");
            let mut stopped = Vec::new();
            for n in way.victims.into_iter().rev() {
                let victim = source.victims.remove(n);
                source.free = source.free.plus(&victim.need);
                let grace_s = if victim.save_s <= patience_s { victim.save_s } else { 0.0 };
                stopped.push((victim.key, grace_s));
            }
            source.free = source.free.minus(&ask.resources);
            chosen.push((source.id.clone(), stopped));
            if let Some(way) = look(source) {
                ways.insert((way.price, at), way);
            }
        }
        let made = chosen.len() as u64;
        if made < count && !warm {
            stoppable.hopeless.push(ask.clone());
        }
        let jobs: Vec<JobId> = chosen
            .iter()
            .flat_map(|(_, stopped)| stopped)
            .map(|(key, _)| key.0.job.clone())
            .collect();
        self.made_way(&jobs, now);
        for (id, stopped) in chosen {
            let Some(machine) = self.fleet.machines.get_mut(&id) else { continue };
            for (key, grace_s) in stopped {
                machine.stop(&key, Stop { grace_s, reason: PREEMPTED });
                self.statistics.stops += 1;
            }
        }
        made
    }
}

/// Which tasks of a machine would make way for one task, by their numbers.
struct Way {
    /// Seconds of work that are repeated, and what a missing image adds.
    price: OrderedFloat<f64>,
    loss: f64,
    victims: Vec<usize>,
}

impl PendingDemand {
    fn way(&self, ask: &PlacementRequest, patience_s: f64, cold: bool, warm: bool) -> Option<Way> {
        if !ask.allows(self.zone, self.machine_type, self.spot)
            || !ask.zone_limits.is_open(self.zone)
            || ask.excluded_machines.contains(&self.index)
            || (warm && cold)
        {
            return None;
        }
        let mut free = self.free;
        let mut victims = Vec::new();
        let mut loss = 0.0;
        for (n, victim) in self.victims.iter().enumerate() {
            if ask.resources.fits(&free) {
                break;
            }
            if victim.urgency > ask.priority {
                // What matters is the work that is lost, not how many tasks it came in.
                let share = victim.need.cpu as f64 / ask.resources.cpu.max(1) as f64;
                let saves = victim.save_s <= patience_s;
                loss += share * if saves { victim.saved_loss } else { victim.loss };
                free = free.plus(&victim.need);
                victims.push(n);
            }
        }
        // An image at hand is worth some repeated work, but not any amount of it.
        if !ask.resources.fits(&free) || victims.is_empty() || (warm && loss > IMAGE_WORTH_S) {
            return None;
        }
        let price = OrderedFloat(if cold { loss + IMAGE_WORTH_S } else { loss });
        Some(Way { price, loss, victims })
    }
}
