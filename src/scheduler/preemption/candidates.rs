//! Which tasks can be preempted, and what that costs on each machine.

use super::budget::PreemptionBudget;
use super::{Preemption, RoomNeeded, VictimStop};
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

/// Seconds. A task that ends this soon is not preempted: a stop and its heartbeat take as long.
const ENDS_SOON_S: f64 = 3.0;
/// Seconds of work that may be repeated so that a task starts where its image is: a fetch takes a
/// few seconds, and an array that repeats minutes of work ends late.
pub(in crate::scheduler) const MISSING_IMAGE_COST_S: f64 = 30.0;

/// A task that can be preempted.
pub(super) struct Victim {
    attempt: TaskAttempt,
    priority: Priority,
    resources: Amount,
    /// Seconds of work that are lost if it may save its progress; more for a job whose tasks were
    /// preempted before.
    loss_with_save_s: f64,
    /// The same if it may not.
    loss_without_save_s: f64,
    /// Seconds that saving takes.
    save_s: f64,
    /// While capacity is scarce: what it takes of its group's share.
    pub(super) share: Option<GroupShare>,
}

/// A machine with tasks that can be preempted, those first that lose least.
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

/// Which tasks of a machine to preempt for one task.
pub(super) struct PreemptionOption {
    /// Seconds of work that are repeated, and what a missing image adds.
    pub(super) cost_s: OrderedFloat<f64>,
    loss_s: f64,
    /// Positions of the tasks among the machine's victims, ascending.
    pub(super) victims: Vec<usize>,
}

/// What victims are chosen by.
struct VictimRules<'a> {
    cache: &'a Cache,
    budget: &'a PreemptionBudget,
    largest: Amount,
    now: Instant,
}

impl Scheduler {
    /// The machines with tasks that can be preempted.
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
            machine_type: MachineTypeId::new(machine.flavor),
            spot: machine.spot,
            free: self.fleet.capacity(machine.flavor).minus(&machine.used()),
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
        let is_preemptible = entry.urgency > Priority::Production
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
        if self.ends_soon(attempt, ran_s) {
            return None;
        }
        let share = if rules.budget.is_limited() {
            self.group_share(live, &entry.need, &rules.largest)
        } else {
            None
        };
        // What a group holds up to its floor is not preempted.
        if share.is_some_and(|share| !rules.budget.covers(share)) {
            return None;
        }
        // A job that was preempted before has lost enough: else the same small jobs are stopped
        // over and over until they end late.
        let preemptions = self.jobs.progress.get(id).map_or(0, |progress| progress.preemptions);
        let weight = 1.0 + f64::from(preemptions) / spec.tasks as f64;
        let bonus_s = self.minimum_width_bonus_s(id, live);
        let saves = spec.checkpoint_s > 0.0;
        Some(Victim {
            attempt: attempt.clone(),
            priority: entry.urgency,
            resources: entry.need,
            loss_with_save_s: bonus_s + weight * if saves { spec.save_s } else { ran_s },
            loss_without_save_s: bonus_s + weight * unsaved_work_s(spec, ran_s),
            save_s: if saves { spec.save_s } else { 0.0 },
            share,
        })
    }

    /// Whether a task is known to end by itself so soon that it frees its room anyway, while a stop
    /// would lose all its work.
    fn ends_soon(&self, attempt: &TaskAttempt, ran_s: f64) -> bool {
        self.settings.operator.estimates.make_way
            && self
                .runtime_predictor
                .remaining_s(&attempt.0.job, ran_s)
                .is_some_and(|remaining_s| remaining_s < ENDS_SOON_S)
    }
}

/// Seconds of work since the last checkpoint: on average half of the pause between two.
fn unsaved_work_s(spec: &JobSpec, ran_s: f64) -> f64 {
    if spec.checkpoint_s > 0.0 { ran_s.min(spec.checkpoint_s / 2.0) } else { ran_s }
}

impl VictimMachine {
    /// What to preempt here for one task, if that makes room for it.
    pub(super) fn option(&self, needed: &RoomNeeded<'_>) -> Option<PreemptionOption> {
        let request = needed.request;
        let has_image = self.images.contains(&request.image);
        if !request.allows(self.zone, self.machine_type, self.spot)
            || !request.zone_limits.is_open(self.zone)
            || request.excluded_machines.contains(&self.index)
            || (needed.with_image_only && !has_image)
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
                // What matters is the work that is lost, not how many tasks it came in.
                let share = victim.resources.cpu as f64 / request.resources.cpu.max(1) as f64;
                loss_s += share * victim.loss_s(needed.patience_s);
                free = free.plus(&victim.resources);
                victims.push(n);
            }
        }
        // An image at hand is worth some repeated work, but not any amount of it.
        if !request.resources.fits(&free)
            || victims.is_empty()
            || (needed.with_image_only && loss_s > MISSING_IMAGE_COST_S)
        {
            return None;
        }
        let cost_s = OrderedFloat(if has_image { loss_s } else { loss_s + MISSING_IMAGE_COST_S });
        Some(PreemptionOption { cost_s, loss_s, victims })
    }

    /// Takes the victims of an option out, and books the room for the task.
    pub(super) fn preempt(
        &mut self,
        option: &PreemptionOption,
        needed: &RoomNeeded<'_>,
    ) -> Preemption {
        let (tasks, loss_s) = (option.victims.len(), option.loss_s);
        tracing::info!(machine = %self.id, tasks, loss_s, "preempting tasks");
        let mut stops = Vec::with_capacity(tasks);
        for n in option.victims.iter().rev() {
            let victim = self.victims.remove(*n);
            self.free = self.free.plus(&victim.resources);
            let has_time = victim.save_s <= needed.patience_s;
            let grace_s = if has_time { victim.save_s } else { 0.0 };
            stops.push(VictimStop { attempt: victim.attempt, grace_s });
        }
        self.free = self.free.minus(&needed.request.resources);
        Preemption { machine: self.id.clone(), stops }
    }
}

impl Victim {
    /// Seconds of work that are lost. Saving goes on for as long as the other task can wait.
    fn loss_s(&self, patience_s: f64) -> f64 {
        if self.save_s <= patience_s { self.loss_with_save_s } else { self.loss_without_save_s }
    }
}
