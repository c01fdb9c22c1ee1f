//! Moving work together, so that machines become empty and go back: the paper's consolidation.

use crate::constants::{EMPTIED_LOOKS, EMPTY_BELOW, MOVE_AFTER, MOVE_SHARE, SAVED_MOVE_SHARE};
use crate::ids::{Amount, JobId, MachineId};
use crate::jobs::{Job, LiveJob};
use crate::placement::Bin;
use crate::scheduler::Scheduler;
use crate::scheduler::preemption::MOVED;
use crate::scheduler::task_attempt::TaskAttempt;
use crate::store::Cache;
use crate::wire::{JobKind, JobSpec, TaskState};
use crate::workers::machine::{Machine, PlacedAttempt, Stop};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use tokio::time::Instant;
/// When work is moved together.
#[derive(Debug)]
pub(super) struct Consolidation {
    /// When the next round may begin.
    pub(super) next_round: Instant,
}

impl Consolidation {
    /// Nothing is moved until the first tasks have run for a while.
    pub(super) fn new(now: Instant) -> Consolidation {
        Consolidation { next_round: now + MOVE_AFTER }
    }
}

/// What a round may still move.
struct Budget {
    replicas: f64,
    savers: f64,
}

/// Where a task would go, and what it needs there.
type Target = (usize, Amount);

/// A machine that can be emptied: where its tasks go, and how many of them are replicas.
struct Emptied {
    targets: Vec<Target>,
    replicas: usize,
}

/// Whether a task of the job can be moved: a replica of a service, which is down for the moment
/// between two commands, or a task that saves its progress when it is stopped.
fn movable(job: &LiveJob) -> bool {
    let saves = job.spec.shape == JobKind::Array && job.spec.checkpoint_s > 0.0;
    (job.spec.shape == JobKind::Service || saves) && job.spec.flavors.is_none()
}

impl Scheduler {
    /// Empties the least used machines whose tasks all fit on others that have their images. How
    /// many moves are small beside what runs depends on how much does; one machine is emptied in
    /// any case.
    pub(super) fn consolidate(
        &mut self,
        bins: &[Bin],
        names: &[Option<MachineId>],
        cache: &Cache,
        now: Instant,
    ) {
        let mut order: Vec<usize> =
            (0..bins.len()).filter(|&i| bins[i].ready && bins[i].basket.is_some()).collect();
        let used =
            |i: usize| self.fleet.capacity(bins[i].machine_type.index()).cpu - bins[i].free.cpu;
        order.sort_by_key(|&i| (used(i), bins[i].spot, Reverse(bins[i].index)));
        let mut budget = Budget { replicas: 0.0, savers: 0.0 };
        for (id, work) in &self.jobs.progress {
            let Some(job) = cache.jobs.get(id).and_then(Job::live) else { continue };
            let placed = work.placed.len() as f64;
            match job.spec.shape {
                JobKind::Service => budget.replicas += placed * MOVE_SHARE,
                _ if movable(job) => budget.savers += placed * SAVED_MOVE_SHARE,
                _ => {}
            }
        }
        let mut bins = bins.to_vec();
        let mut first = true;
        let mut receiving = HashSet::new();
        for source in order.into_iter().take(EMPTIED_LOOKS) {
            if receiving.contains(&source) {
                continue;
            }
            let size = self.fleet.capacity(bins[source].machine_type.index());
            let used = size.cpu - bins[source].free.cpu;
            if used as f64 > size.cpu as f64 * EMPTY_BELOW {
                return;
            }
            let Some(id) = &names[source] else { continue };
            let Some(emptied) = self.can_empty(id, source, &bins, names, cache, now) else {
                continue;
            };
            let replicas = emptied.replicas as f64;
            let savers = emptied.targets.len() as f64 - replicas;
            if !first && (replicas > budget.replicas || savers > budget.savers) {
                return;
            }
            first = false;
            budget.replicas -= replicas;
            budget.savers -= savers;
            for (target, need) in emptied.targets {
                bins[target].free = bins[target].free.minus(&need);
                receiving.insert(target);
            }
            // Nothing moves onto what was just emptied.
            bins[source].ready = false;
            tracing::info!(machine = %id, replicas, savers, "emptied onto others");
            self.empty(id, cache, now);
        }
    }

    /// Whether a job may use a machine of this zone, type and kind.
    pub(super) fn suits(&self, spec: &JobSpec, bin: &Bin) -> bool {
        let zone = &self.settings.platform.params.zones[bin.zone.index()];
        (spec.spot || !bin.spot)
            && spec.zone.as_ref().is_none_or(|name| name == zone)
            && spec.flavors.as_ref().is_none_or(|f| {
                f.contains(&self.fleet.machine_types[bin.machine_type.index()].name)
            })
    }

    fn empty(&mut self, id: &MachineId, cache: &Cache, now: Instant) {
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        machine.emptied_at = Some(now);
        let running =
            |(_, entry): &(&TaskAttempt, &PlacedAttempt)| entry.state == TaskState::Running;
        let keys: Vec<_> = machine.entries.iter().filter(running).map(|(k, _)| k.clone()).collect();
        for key in keys {
            let job = cache.jobs.get(&key.0.job).and_then(Job::live);
            let grace_s = job.map_or(0.0, |job| job.spec.save_s);
            machine.stop(&key, Stop { grace_s, reason: MOVED });
            self.statistics.stops += 1;
        }
    }

    /// Where each task of the machine would go, if all of them find room.
    fn can_empty(
        &self,
        id: &MachineId,
        source: usize,
        bins: &[Bin],
        names: &[Option<MachineId>],
        cache: &Cache,
        now: Instant,
    ) -> Option<Emptied> {
        let machine = self.fleet.machines.get(id)?;
        let tasks = || machine.entries.iter().filter(|(_, e)| e.state != TaskState::Exited);
        for ((task, _), entry) in tasks() {
            let job = cache.jobs.get(&task.job).and_then(Job::live)?;
            let ran = entry.running_since.is_some_and(|at| now >= at + MOVE_AFTER);
            if !ran || !movable(job) || entry.stop.is_some() || entry.state != TaskState::Running {
                return None;
            }
        }
        let usable = |i: &usize| {
            let bin = &bins[*i];
            *i != source && bin.ready && bin.basket == bins[source].basket
        };
        let mut free: BTreeMap<u64, Target> =
            (0..bins.len()).filter(usable).map(|i| (bins[i].index, (i, bins[i].free))).collect();
        if !machine.spot {
            // The room that is kept warm in its zone must remain.
            let zone = bins[source].zone;
            let spare: u64 = (0..bins.len())
                .filter(|&i| i != source && bins[i].ready && !bins[i].spot && bins[i].zone == zone)
                .map(|i| bins[i].free.cpu)
                .sum();
            let size = self.fleet.capacity(machine.flavor).cpu;
            let warm = size as f64 * self.settings.operator.warm_per_zone;
            if (spare.saturating_sub(machine.used().cpu) as f64) < warm {
                return None;
            }
        }
        let mut emptied = Emptied { targets: Vec::new(), replicas: 0 };
        let mut moved: HashMap<(JobId, usize), u32> = HashMap::new();
        for ((task, _), entry) in tasks() {
            let spec = &cache.jobs.get(&task.job).and_then(Job::live)?.spec;
            let work = self.jobs.progress.get(&task.job)?;
            let half = (spec.tasks as u32).div_ceil(2);
            let target = free.values_mut().find(|(i, room)| {
                let bin = &bins[*i];
                let zone = bin.zone.index();
                if !entry.need.fits(room) || !self.suits(spec, bin) {
                    return false;
                }
                let image = |m: &Machine| m.images.contains(&entry.image);
                let warm =
                    names[*i].as_ref().and_then(|m| self.fleet.machines.get(m)).is_some_and(image);
                let same = !spec.one_zone || zone == machine.zone;
                if !(warm && same) {
                    return false;
                }
                let there = || {
                    let others = work.placed.values().filter(|placed| {
                        let there = self.fleet.machines.get(&placed.machine);
                        placed.machine != *id && there.is_some_and(|m| m.zone == zone)
                    });
                    let moved = moved.get(&(task.job.clone(), zone)).copied().unwrap_or(0);
                    others.count() as u32 + moved
                };
                !spec.spread || there() < half
            });
            let (i, room) = target?;
            *room = room.minus(&entry.need);
            emptied.targets.push((*i, entry.need));
            emptied.replicas += usize::from(spec.shape == JobKind::Service);
            *moved.entry((task.job.clone(), bins[*i].zone.index())).or_default() += 1;
        }
        Some(emptied)
    }
}
