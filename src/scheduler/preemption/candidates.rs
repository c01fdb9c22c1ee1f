//! Candidates for preemption, and the cost of preempting them on each machine.

use super::budget::PreemptionBudget;
use super::{CapacityNeeded, Preemption, VictimStop};
use crate::ids::{Amount, MachineId, MachineTypeId, ZoneId};
use crate::jobs::Job;
use crate::placement::Images;
use crate::scheduler::Scheduler;
use crate::scheduler::fair_share::{GroupShare, largest_capacity};
use crate::scheduler::task_attempt::TaskAttempt;
use crate::store::Cache;
use crate::wire::{JobKind, JobSpec, Priority, TaskState};
use crate::workers::machine::{Machine, PlacedAttempt};
use ordered_float::OrderedFloat;
use tokio::time::Instant;

/// Remaining run time in seconds below which a task is not preempted: stopping it and receiving the
/// heartbeat that confirms the stop take as long.
const MIN_REMAINING_RUN_S: f64 = 3.0;
/// Seconds of work that may be repeated so that a task starts where its image is. A fetch takes a
/// few seconds, while an array that repeats minutes of work finishes late.
pub(in crate::scheduler) const MISSING_IMAGE_COST_S: f64 = 30.0;

/// A task that can be preempted.
pub(super) struct Victim {
    attempt: TaskAttempt,
    priority: Priority,
    resources: Amount,
    /// Seconds of work lost if the task may save its progress; more if its job was preempted
    /// before.
    loss_with_save_s: f64,
    /// The same if the task may not save its progress.
    loss_without_save_s: f64,
    /// Time to save the progress, in seconds; 0 for a task that saves none.
    save_s: f64,
    /// Share of the task's group that the task uses; set while capacity is scarce.
    pub(super) share: Option<GroupShare>,
}

/// A machine with tasks that can be preempted, sorted by lost work, least first.
pub(super) struct VictimMachine {
    id: MachineId,
    index: u64,
    zone: ZoneId,
    machine_type: MachineTypeId,
    spot: bool,
    free: Amount,
    images: Images,
    pub(super) victims: Vec<Victim>,
}

/// Tasks of a machine to preempt for one task.
pub(super) struct PreemptionOption {
    /// Seconds of repeated work, plus [`MISSING_IMAGE_COST_S`] if the machine lacks the image.
    pub(super) cost_s: OrderedFloat<f64>,
    loss_s: f64,
    /// Ascending positions in the machine's list of victims.
    pub(super) victims: Vec<usize>,
}

/// Inputs for the choice of victims.
struct VictimRules<'a> {
    cache: &'a Cache,
    budget: &'a PreemptionBudget,
    largest: Amount,
    now: Instant,
}

impl Scheduler {
    /// Collects the machines with tasks that can be preempted.
    pub(super) fn victim_machines(
        &self,
        budget: &PreemptionBudget,
        cache: &Cache,
        now: Instant,
    ) -> Vec<VictimMachine> {
        let types = 0..self.fleet.machine_types.len();
        let capacities: Vec<Amount> = types.map(|index| self.fleet.capacity(index)).collect();
        let largest = largest_capacity(&capacities);
        let rules = VictimRules { cache, budget, largest, now };
        let machines = self.fleet.machines.values();
        machines
            .filter(|machine| self.accepts_tasks(machine, now))
            .filter_map(|machine| self.victim_machine(machine, &rules))
            .collect()
    }

    fn victim_machine(&self, machine: &Machine, rules: &VictimRules<'_>) -> Option<VictimMachine> {
        let entries = machine.attempts.iter();
        let mut victims: Vec<Victim> =
            entries.filter_map(|(attempt, entry)| self.victim(attempt, entry, rules)).collect();
        if victims.is_empty() {
            return None;
        }
        let least_loss = |victim: &Victim| victim.loss_with_save_s.min(victim.loss_without_save_s);
        victims.sort_by(|a, b| least_loss(a).total_cmp(&least_loss(b)));
        Some(VictimMachine {
            id: machine.id.clone(),
            index: machine.index,
            zone: ZoneId::new(machine.zone),
            machine_type: MachineTypeId::new(machine.machine_type),
            spot: machine.spot,
            free: self.fleet.capacity(machine.machine_type).minus(&machine.used()),
            images: machine.image_ids.clone(),
            victims,
        })
    }

    fn victim(
        &self,
        attempt: &TaskAttempt,
        entry: &PlacedAttempt,
        rules: &VictimRules<'_>,
    ) -> Option<Victim> {
        let is_preemptible = entry.priority > Priority::Production
            && entry.stop.is_none()
            && matches!(entry.state, TaskState::Running | TaskState::Fetching);
        if !is_preemptible {
            return None;
        }
        let id = &attempt.0.job;
        let live = rules.cache.jobs.get(id).and_then(Job::live)?;
        let spec = &live.spec;
        if spec.kind != JobKind::Array {
            return None;
        }
        let running = entry.running_since.map(|at| rules.now.saturating_duration_since(at));
        let ran_s = running.map_or(0.0, |ran| ran.as_secs_f64());
        if self.completes_soon(attempt, ran_s) {
            return None;
        }
        let share = if rules.budget.is_limited() {
            self.group_share(live, &entry.request, &rules.largest)
        } else {
            None
        };
        // Preemption must not take the group below its floor.
        if share.is_some_and(|share| !rules.budget.covers(share)) {
            return None;
        }
        // Tasks of a job that was preempted before cost more: otherwise the same small jobs would
        // be stopped repeatedly until they finish late.
        let preemptions = self.jobs.progress.get(id).map_or(0, |progress| progress.preemptions);
        let repeat_weight = 1.0 + f64::from(preemptions) / spec.tasks as f64;
        let minimum_width_cost_s = self.minimum_width_cost_s(id, live);
        let saves = spec.checkpoint_s > 0.0;
        Some(Victim {
            attempt: attempt.clone(),
            priority: entry.priority,
            resources: entry.request,
            loss_with_save_s: minimum_width_cost_s
                + repeat_weight * if saves { spec.save_s } else { ran_s },
            loss_without_save_s: minimum_width_cost_s + repeat_weight * unsaved_work_s(spec, ran_s),
            save_s: if saves { spec.save_s } else { 0.0 },
            share,
        })
    }

    /// Returns whether a task is predicted to complete so soon that it frees its capacity anyway,
    /// while a stop would lose all its work.
    fn completes_soon(&self, attempt: &TaskAttempt, ran_s: f64) -> bool {
        self.settings.operator.estimates.make_way
            && self
                .runtime_predictor
                .remaining_s(&attempt.0.job, ran_s)
                .is_some_and(|remaining_s| remaining_s < MIN_REMAINING_RUN_S)
    }
}

/// Returns the expected seconds of work since the last checkpoint: on average half an interval.
fn unsaved_work_s(spec: &JobSpec, ran_s: f64) -> f64 {
    if spec.checkpoint_s > 0.0 { ran_s.min(spec.checkpoint_s / 2.0) } else { ran_s }
}

impl VictimMachine {
    /// Returns the tasks to preempt on this machine for one task, if that frees enough capacity.
    pub(super) fn option(&self, needed: &CapacityNeeded<'_>) -> Option<PreemptionOption> {
        let request = needed.request;
        let has_image = self.images.contains(&request.image);
        if !request.allows(self.zone, self.machine_type, self.spot)
            || !request.zone_limits.is_open(self.zone)
            || request.excluded_machines.contains(&self.index)
            || (needed.requires_image && !has_image)
        {
            return None;
        }
        let mut free = self.free;
        let mut victims = Vec::new();
        let mut loss_s = 0.0;
        for (n, victim) in self.victims.iter().enumerate() {
            if request.resources.fits(&free) {
                break;
            }
            if victim.priority > request.priority {
                // Weighted by CPU: the amount of lost work matters, not the number of tasks that
                // did it.
                let share = victim.resources.cpu as f64 / request.resources.cpu.max(1) as f64;
                loss_s += share * victim.loss_s(needed.max_save_s);
                free = free.plus(&victim.resources);
                victims.push(n);
            }
        }
        // Starting on a machine that has the image justifies only a limited amount of repeated
        // work.
        if !request.resources.fits(&free)
            || victims.is_empty()
            || (needed.requires_image && loss_s > MISSING_IMAGE_COST_S)
        {
            return None;
        }
        let cost_s = OrderedFloat(if has_image { loss_s } else { loss_s + MISSING_IMAGE_COST_S });
        Some(PreemptionOption { cost_s, loss_s, victims })
    }

    /// Removes an option's victims from the list, and allocates the freed capacity to the task.
    pub(super) fn preempt(
        &mut self,
        option: &PreemptionOption,
        needed: &CapacityNeeded<'_>,
    ) -> Preemption {
        let (tasks, loss_s) = (option.victims.len(), option.loss_s);
        tracing::info!(machine = %self.id, tasks, loss_s, "preempting tasks");
        let mut stops = Vec::with_capacity(tasks);
        for n in option.victims.iter().rev() {
            let victim = self.victims.remove(*n);
            self.free = self.free.plus(&victim.resources);
            let can_save = victim.save_s <= needed.max_save_s;
            let grace_s = if can_save { victim.save_s } else { 0.0 };
            stops.push(VictimStop { attempt: victim.attempt, grace_s });
        }
        self.free = self.free.minus(&needed.request.resources);
        Preemption { machine: self.id.clone(), stops }
    }
}

impl Victim {
    /// Returns the seconds of work lost. Victims may save their progress only within the time that
    /// the preempting task can wait.
    fn loss_s(&self, max_save_s: f64) -> f64 {
        if self.save_s <= max_save_s { self.loss_with_save_s } else { self.loss_without_save_s }
    }
}
