//! Consolidation: moves tasks to fewer machines, so that the emptied ones can be terminated.
//!
//! Owns [`Consolidation`]; reads the jobs, the fleet and a pass's bins. It stops the tasks that
//! move; the planner then starts them elsewhere.

use crate::ids::{Amount, JobId, MachineId, ZoneId};
use crate::jobs::{Job, LiveJob};
use crate::placement::Bin;
use crate::scheduler::Scheduler;
use crate::scheduler::job_progress::JobProgress;
use crate::scheduler::planning::MachineBins;
use crate::scheduler::preemption::MOVED;
use crate::scheduler::task_attempt::TaskAttempt;
use crate::store::Cache;
use crate::wire::{JobKind, JobSpec, TaskState};
use crate::workers::machine::{Machine, PlacedAttempt, StopRequest};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between rounds, so that each shows its effect before the next.
pub(super) const CONSOLIDATION_INTERVAL: Duration = Duration::from_secs(10);
/// Share of all running service replicas that one round may move.
pub(super) const MAX_MOVED_REPLICA_SHARE: f64 = 0.02;
/// Share of all running tasks with checkpoints that one round may move. It is larger than
/// [`MAX_MOVED_REPLICA_SHARE`] because such a task loses only a few seconds of work.
const MAX_MOVED_CHECKPOINTING_SHARE: f64 = 0.1;
/// Maximum number of machines that one round searches, least used first, to bound its duration.
const MAX_MACHINES_SEARCHED: usize = 60;
/// Minimum run time before a move: to users, a start that is undone within half a minute doesn't
/// count as a start.
const MIN_RUN_BEFORE_MOVE: Duration = Duration::from_secs(45);
/// Maximum used share of a machine's CPU for it to be emptied.
const MAX_USED_CPU_SHARE: f64 = 0.55;

/// Schedule of consolidation rounds.
#[derive(Debug)]
pub(super) struct Consolidation {
    /// Earliest time of the next round.
    pub(super) next_round: Instant,
}

impl Consolidation {
    /// Schedules the first round for when the first tasks have run long enough to be moved.
    pub(super) fn new(now: Instant) -> Consolidation {
        Consolidation { next_round: now + MIN_RUN_BEFORE_MOVE }
    }
}

/// Number of tasks that a round may still move.
struct MoveBudget {
    /// Replicas of services.
    replicas: f64,
    /// Tasks that save their progress.
    checkpointing: f64,
}

/// A move of one task.
struct TaskMove {
    /// Position of the bin that the task moves to.
    target: usize,
    resources: Amount,
}

/// A machine that can be emptied, with the moves of its tasks.
struct Evacuation {
    machine: MachineId,
    moves: Vec<TaskMove>,
    /// Number of moved tasks that are replicas of services.
    replicas: usize,
}

/// Free capacity of a bin that tasks may move to.
struct MoveTarget {
    bin: usize,
    free: Amount,
}

/// Key for counting a job's tasks that would move to a zone.
#[derive(PartialEq, Eq, Hash)]
struct JobInZone {
    job: JobId,
    zone: ZoneId,
}

/// Search for a target for each task of a machine.
struct EvacuationSearch<'a> {
    machine: &'a Machine,
    /// Position of the machine's bin.
    source: usize,
    bins: &'a [Bin],
    ids: &'a [Option<MachineId>],
    cache: &'a Cache,
    moved: HashMap<JobInZone, u32>,
}

/// Returns whether a task of the job can be moved: a replica of a service, which is down only
/// between the stop and start commands, or a task that saves its progress when it is stopped. Jobs
/// that are restricted to certain machine types are not moved.
fn is_movable(job: &LiveJob) -> bool {
    let saves = job.spec.kind == JobKind::Array && job.spec.checkpoint_s > 0.0;
    (job.spec.kind == JobKind::Service || saves) && job.spec.machine_types.is_none()
}

impl Scheduler {
    /// Empties the least used machines whose tasks all fit on others that have their images. A
    /// round moves a limited share of the running tasks, but may always empty one machine.
    pub(super) fn consolidate(&mut self, machines: &MachineBins, cache: &Cache, now: Instant) {
        for evacuation in self.choose_evacuations(machines, cache, now) {
            self.evacuate(&evacuation.machine, cache, now);
        }
    }

    fn choose_evacuations(
        &self,
        machines: &MachineBins,
        cache: &Cache,
        now: Instant,
    ) -> Vec<Evacuation> {
        let mut budget = self.move_budget(cache);
        let mut bins = machines.bins.clone();
        let mut receiving = HashSet::new();
        let mut chosen: Vec<Evacuation> = Vec::new();
        for source in self.least_used_first(&bins).into_iter().take(MAX_MACHINES_SEARCHED) {
            if receiving.contains(&source) {
                continue;
            }
            if !self.is_underused(&bins[source]) {
                break;
            }
            let found = self.find_evacuation(source, &bins, &machines.ids, cache, now);
            let Some(evacuation) = found else { continue };
            let replicas = evacuation.replicas as f64;
            let checkpointing = evacuation.moves.len() as f64 - replicas;
            let within_budget =
                replicas <= budget.replicas && checkpointing <= budget.checkpointing;
            if !chosen.is_empty() && !within_budget {
                break;
            }
            budget.replicas -= replicas;
            budget.checkpointing -= checkpointing;
            for TaskMove { target, resources } in &evacuation.moves {
                bins[*target].free = bins[*target].free.minus(resources);
                receiving.insert(*target);
            }
            // No task moves onto the machine that was just emptied.
            bins[source].ready = false;
            let machine = &evacuation.machine;
            tracing::info!(%machine, replicas, checkpointing, "moving tasks to other machines");
            chosen.push(evacuation);
        }
        chosen
    }

    fn least_used_first(&self, bins: &[Bin]) -> Vec<usize> {
        let is_candidate =
            |i: &usize| bins[*i].ready && !bins[*i].last_resort && bins[*i].basket.is_some();
        let mut order: Vec<usize> = (0..bins.len()).filter(is_candidate).collect();
        order.sort_by_key(|&i| (self.used_cpu(&bins[i]), bins[i].spot, Reverse(bins[i].index)));
        order
    }

    fn used_cpu(&self, bin: &Bin) -> u64 {
        self.fleet.capacity(bin.machine_type.index()).cpu - bin.free.cpu
    }

    fn is_underused(&self, bin: &Bin) -> bool {
        let capacity = self.fleet.capacity(bin.machine_type.index()).cpu;
        self.used_cpu(bin) as f64 <= capacity as f64 * MAX_USED_CPU_SHARE
    }

    fn move_budget(&self, cache: &Cache) -> MoveBudget {
        let mut budget = MoveBudget { replicas: 0.0, checkpointing: 0.0 };
        for (id, progress) in &self.jobs.progress {
            let Some(job) = cache.jobs.get(id).and_then(Job::live) else { continue };
            let placed = progress.placed.len() as f64;
            match job.spec.kind {
                JobKind::Service => budget.replicas += placed * MAX_MOVED_REPLICA_SHARE,
                _ if is_movable(job) => {
                    budget.checkpointing += placed * MAX_MOVED_CHECKPOINTING_SHARE
                }
                _ => {}
            }
        }
        budget
    }

    /// Returns whether a job's constraints on zone, machine type and spot machines allow a bin.
    pub(super) fn allows_bin(&self, spec: &JobSpec, bin: &Bin) -> bool {
        let zone = self.fleet.zone_name(bin.zone.index());
        let machine_type = &self.fleet.machine_types[bin.machine_type.index()].name;
        (spec.spot || !bin.spot)
            && spec.zone.as_ref().is_none_or(|required| required == zone)
            && spec.machine_types.as_ref().is_none_or(|types| types.contains(machine_type))
    }

    fn evacuate(&mut self, id: &MachineId, cache: &Cache, now: Instant) {
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        machine.last_consolidated = Some(now);
        let is_running =
            |(_, entry): &(&TaskAttempt, &PlacedAttempt)| entry.state == TaskState::Running;
        let running = machine.attempts.iter().filter(is_running);
        let attempts: Vec<TaskAttempt> = running.map(|(attempt, _)| attempt.clone()).collect();
        for attempt in attempts {
            let job = cache.jobs.get(&attempt.0.job).and_then(Job::live);
            let grace_s = job.map_or(0.0, |job| job.spec.save_s);
            machine.request_stop(&attempt, StopRequest { grace_s, reason: MOVED });
            self.statistics.stops += 1;
        }
    }

    /// Returns a target for each task of a machine; `None` unless all of them fit elsewhere.
    fn find_evacuation(
        &self,
        source: usize,
        bins: &[Bin],
        ids: &[Option<MachineId>],
        cache: &Cache,
        now: Instant,
    ) -> Option<Evacuation> {
        let id = ids[source].as_ref()?;
        let machine = self.fleet.machines.get(id)?;
        if !all_tasks_movable(machine, cache, now)
            || !self.keeps_warm_capacity(machine, source, bins)
        {
            return None;
        }
        let moved = HashMap::new();
        EvacuationSearch { machine, source, bins, ids, cache, moved }.run(self)
    }

    /// Returns whether the warm capacity of the machine's zone remains available without it.
    fn keeps_warm_capacity(&self, machine: &Machine, source: usize, bins: &[Bin]) -> bool {
        if machine.spot {
            return true;
        }
        let zone = bins[source].zone;
        let others = bins
            .iter()
            .enumerate()
            .filter(|(i, bin)| *i != source && bin.ready && !bin.spot && bin.zone == zone);
        let free_cpu: u64 = others.map(|(_, bin)| bin.free.cpu).sum();
        let capacity = self.fleet.capacity(machine.machine_type).cpu;
        let warm_cpu = capacity as f64 * self.settings.operator.warm_per_zone;
        free_cpu.saturating_sub(machine.used().cpu) as f64 >= warm_cpu
    }
}

/// Returns the attempts that have not exited.
fn remaining_tasks(
    machine: &Machine,
) -> impl Iterator<Item = (&TaskAttempt, &PlacedAttempt)> + use<'_> {
    machine.attempts.iter().filter(|(_, entry)| entry.state != TaskState::Exited)
}

fn all_tasks_movable(machine: &Machine, cache: &Cache, now: Instant) -> bool {
    remaining_tasks(machine).all(|((task, _), entry)| {
        let job = cache.jobs.get(&task.job).and_then(Job::live);
        entry.state == TaskState::Running
            && entry.stop.is_none()
            && entry.running_since.is_some_and(|at| now >= at + MIN_RUN_BEFORE_MOVE)
            && job.is_some_and(is_movable)
    })
}

impl EvacuationSearch<'_> {
    fn run(mut self, scheduler: &Scheduler) -> Option<Evacuation> {
        let mut targets = self.targets();
        let mut evacuation =
            Evacuation { machine: self.machine.id.clone(), moves: Vec::new(), replicas: 0 };
        for ((task, _), entry) in remaining_tasks(self.machine) {
            let spec = &self.cache.jobs.get(&task.job).and_then(Job::live)?.spec;
            let progress = scheduler.jobs.progress.get(&task.job)?;
            let target = targets.values_mut().find(|target| {
                entry.request.fits(&target.free)
                    && self.may_move_to(scheduler, &self.bins[target.bin], &task.job, spec)
                    && self.has_image(scheduler, target.bin, entry)
                    && !self.is_suspected(progress, target.bin)
            })?;
            target.free = target.free.minus(&entry.request);
            evacuation.moves.push(TaskMove { target: target.bin, resources: entry.request });
            evacuation.replicas += usize::from(spec.kind == JobKind::Service);
            let zone = self.bins[target.bin].zone;
            *self.moved.entry(JobInZone { job: task.job.clone(), zone }).or_default() += 1;
        }
        Some(evacuation)
    }

    /// Returns the bins that tasks may move to, by their index.
    fn targets(&self) -> BTreeMap<u64, MoveTarget> {
        let basket = self.bins[self.source].basket;
        let is_target = |(i, bin): &(usize, &Bin)| {
            *i != self.source && bin.ready && !bin.last_resort && bin.basket == basket
        };
        let targets = self.bins.iter().enumerate().filter(is_target);
        targets.map(|(bin, b)| (b.index, MoveTarget { bin, free: b.free })).collect()
    }

    fn has_image(&self, scheduler: &Scheduler, bin: usize, entry: &PlacedAttempt) -> bool {
        let machine = self.ids[bin].as_ref().and_then(|id| scheduler.fleet.machines.get(id));
        machine.is_some_and(|machine| machine.images.contains(&entry.image))
    }

    /// Returns whether tasks of the job failed on the bin's machine, so that the planner would not
    /// start the moved task there.
    fn is_suspected(&self, progress: &JobProgress, bin: usize) -> bool {
        self.ids[bin].as_ref().is_some_and(|id| progress.failures.suspects(id))
    }

    /// Returns whether a task of the job may run on a bin, given where the job's other tasks are.
    fn may_move_to(&self, scheduler: &Scheduler, bin: &Bin, job: &JobId, spec: &JobSpec) -> bool {
        if !scheduler.allows_bin(spec, bin) {
            return false;
        }
        if spec.one_zone && bin.zone.index() != self.machine.zone {
            return false;
        }
        let zone_limit = (spec.tasks as u32).div_ceil(2);
        !spec.spread || self.tasks_in_zone(scheduler, bin.zone, job) < zone_limit
    }

    /// Returns how many of a job's tasks run in a zone or would move there. Tasks that still run on
    /// the machine to empty are not counted.
    fn tasks_in_zone(&self, scheduler: &Scheduler, zone: ZoneId, job: &JobId) -> u32 {
        let progress = scheduler.jobs.progress.get(job);
        let placed = progress.into_iter().flat_map(|progress| progress.placed.values());
        let others = placed.filter(|placed| {
            let machine = scheduler.fleet.machines.get(&placed.machine);
            placed.machine != self.machine.id
                && machine.is_some_and(|machine| machine.zone == zone.index())
        });
        let key = JobInZone { job: job.clone(), zone };
        others.count() as u32 + self.moved.get(&key).copied().unwrap_or(0)
    }
}
