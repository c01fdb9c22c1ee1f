//! Empties the machines and zones that operators drain.
//!
//! Nothing new is placed there. Replicas move one at a time per service, and only if there is free capacity for them
//! elsewhere; tasks that save their progress move too; all other tasks finish, or are stopped at the drain's deadline.
//! Only the drain itself is stored: a new leader continues with the tasks that it finds running.

use crate::clock::WallClock;
use crate::drains::{DrainRecord, DrainSet};
use crate::ids::{Amount, MachineId, TaskId};
use crate::jobs::{Job, LiveJob};
use crate::placement::Bin;
use crate::scheduler::Scheduler;
use crate::scheduler::consolidation::MAX_MOVED_REPLICA_SHARE;
use crate::scheduler::job_progress::{JobProgress, Placement};
use crate::scheduler::preemption::MOVED;
use crate::scheduler::task_attempt::TaskAttempt;
use crate::store::Cache;
use crate::wire::{JobKind, TaskState};
use crate::workers::machine::{Machine, MachineState, PlacedAttempt, StopRequest};
use std::time::Duration;
use tokio::time::Instant;
use troutspindle_protocol::operator_api::{Drain, DrainKind, Drains};

/// Interval between two rounds of moves off drained machines.
const EVACUATION_INTERVAL: Duration = Duration::from_secs(1);
/// Time in seconds that a task which saves its progress gets before a drain's deadline in addition to its save time,
/// for the delivery of the stop command and for the heartbeat that reports the exit.
const DRAIN_MARGIN_S: f64 = 5.0;

/// The drains of operators and the schedule of evacuation rounds.
#[derive(Debug, Default)]
pub(super) struct DrainState {
    /// Zones and machines that are drained.
    pub drained: DrainSet,
    /// Earliest time of the next evacuation round.
    next_evacuation: Option<Instant>,
}

impl Scheduler {
    /// Returns whether any drained machine still has tasks. While that is so, all other moves are suspended, because
    /// they could stop a second replica of a service.
    pub(super) fn is_draining(&self) -> bool {
        !self.drains.drained.is_empty()
            && self.fleet.machines.values().any(|m| !m.is_empty() && self.is_drained(m))
    }
}

/// A task to be stopped on a drained machine.
struct Evacuation {
    key: TaskAttempt,
    machine: MachineId,
    grace_s: f64,
}

impl Scheduler {
    /// Reads the drains from the cache and requests a planning pass if they changed.
    pub(super) fn read_drains(&mut self, cache: &Cache) {
        let drained = cache.active_drains().collect::<DrainSet>();
        if drained != self.drains.drained {
            self.drains.drained = drained;
            self.planning_clock.pass_requested = true;
        }
    }

    fn drain_of(&self, machine: &Machine) -> Option<&DrainRecord> {
        self.drains
            .drained
            .drain_of_machine(machine.id.as_str(), self.fleet.zone_name(machine.zone))
    }

    /// Returns whether a machine is drained, by itself or with its zone.
    pub(super) fn is_drained(&self, machine: &Machine) -> bool {
        self.drain_of(machine).is_some()
    }

    /// Returns, by zone, whether it is drained.
    pub(super) fn drained_zones(&self) -> Vec<bool> {
        let zones = &self.settings.platform.params.zones;
        zones.iter().map(|zone| self.drains.drained.covers_zone(zone)).collect()
    }

    /// Returns the seconds until a machine has to be empty; `None` if it is not drained or its drain has no deadline.
    fn drain_left_s(&self, machine: &Machine, now: Instant) -> Option<f64> {
        Some((self.drain_of(machine)?.by_ms? as f64 - self.wall_clock.ms(now) as f64) / 1000.0)
    }

    /// Runs one round of moves and stops. `bins` are the machines on which tasks may be placed, without the drained
    /// ones.
    pub(super) fn evacuate_drained(
        &mut self,
        bins: &[Bin],
        names: &[Option<MachineId>],
        cache: &Cache,
        now: Instant,
    ) {
        if self.drains.drained.is_empty() || self.drains.next_evacuation.is_some_and(|at| now < at)
        {
            return;
        }
        self.drains.next_evacuation = Some(now + EVACUATION_INTERVAL);
        let mut evacuations = self.tasks_to_move(bins, names, cache, now);
        evacuations.extend(self.tasks_to_stop(cache, now));
        for Evacuation { key, machine, grace_s } in evacuations {
            let Some(machine) = self.fleet.machines.get_mut(&machine) else { continue };
            tracing::info!(machine = %machine.id, task = %key.0, grace_s, "task evicted by a drain");
            machine.request_stop(&key, StopRequest { grace_s, reason: MOVED });
            self.statistics.stops += 1;
        }
    }

    /// Returns the tasks to move off drained machines, as far as there is free capacity for them elsewhere: tasks that
    /// save their progress, and replicas, one per service at a time and none while another replica is down.
    fn tasks_to_move(
        &self,
        bins: &[Bin],
        names: &[Option<MachineId>],
        cache: &Cache,
        now: Instant,
    ) -> Vec<Evacuation> {
        let mut free: Vec<Amount> = bins.iter().map(|bin| bin.free).collect();
        let mut evacuations = Vec::new();
        let (mut drained, mut total, mut deadline_s) = (0u64, 0u64, f64::INFINITY);
        for machine in self.fleet.machines.values().filter(|m| m.state == MachineState::Up) {
            let tasks = machine.attempts.values().filter(|e| e.state == TaskState::Running);
            let tasks = tasks.count() as u64;
            total += tasks;
            if self.is_drained(machine) {
                drained += tasks;
                deadline_s =
                    deadline_s.min(self.drain_left_s(machine, now).unwrap_or(f64::INFINITY));
            }
        }
        // Tasks move at the rate of other moves, or at a higher rate if that is needed to empty the machines within
        // half of the time to the nearest deadline.
        let usual = total as f64 * MAX_MOVED_REPLICA_SHARE;
        let urgent =
            drained as f64 * EVACUATION_INTERVAL.as_secs_f64() / (deadline_s / 2.0).max(1.0);
        let max_evacuations = usual.max(urgent).ceil() as usize;
        for (id, progress) in &self.jobs.progress {
            if evacuations.len() >= max_evacuations {
                break;
            }
            let Some(live) = self.live(cache, id) else { continue };
            let is_service = live.spec.kind == JobKind::Service;
            let saves = live.spec.kind == JobKind::Array && live.spec.checkpoint_s > 0.0;
            let running_task = |index: u32, placed: &Placement| {
                let machine = self.fleet.machines.get(&placed.machine)?;
                let key = (TaskId { job: id.clone(), index }, placed.attempt);
                let entry = machine.attempts.get(&key)?;
                let is_running = entry.state == TaskState::Running && entry.stop.is_none();
                is_running.then_some((key, machine))
            };
            let all_running =
                || progress.placed.iter().all(|(index, at)| running_task(*index, at).is_some());
            if !(is_service || saves)
                || (is_service && (progress.waiting(live) > 0 || !all_running()))
            {
                continue;
            }
            for (index, at) in &progress.placed {
                let Some((key, machine)) = running_task(*index, at) else { continue };
                if !self.is_drained(machine) {
                    continue;
                }
                let target =
                    self.find_target(live, progress, *index, machine, bins, names, &free, now);
                let Some(target) = target else {
                    continue;
                };
                free[target] = free[target].minus(&live.request);
                let grace_s = if saves { live.spec.save_s } else { 0.0 };
                evacuations.push(Evacuation { key, machine: machine.id.clone(), grace_s });
                if is_service || evacuations.len() >= max_evacuations {
                    break;
                }
            }
        }
        evacuations
    }

    /// Returns the index in `bins` of the machine that the task can move to, preferably one that has its image.
    #[allow(clippy::too_many_arguments)]
    fn find_target(
        &self,
        live: &LiveJob,
        progress: &JobProgress,
        index: u32,
        from: &Machine,
        bins: &[Bin],
        names: &[Option<MachineId>],
        free: &[Amount],
        now: Instant,
    ) -> Option<usize> {
        let spec = &live.spec;
        let max_per_zone = (spec.tasks as u32).div_ceil(2);
        let mut others_in_zone = vec![0u32; self.settings.platform.params.zones.len()];
        for (_, placed) in progress.placed.iter().filter(|(other, _)| **other != index) {
            if let Some(machine) = self.fleet.machines.get(&placed.machine) {
                others_in_zone[machine.zone] += 1;
            }
        }
        let allowed = |bin: &Bin| {
            let zone = bin.zone.index();
            bin.ready
                && !bin.last_resort
                && self.allows_bin(spec, bin)
                && (!spec.spread || others_in_zone[zone] < max_per_zone)
                // A job that has to be in one zone stays in that zone as long as any of its tasks does.
                && (!spec.one_zone || zone == from.zone || others_in_zone[from.zone] == 0)
        };
        let is_avoided =
            |at: usize| names[at].as_ref().is_some_and(|id| progress.failures.avoids(id, now));
        let fits =
            |at: &usize| allowed(&bins[*at]) && live.request.fits(&free[*at]) && !is_avoided(*at);
        let has_image = |at: usize| {
            let machine = names[at].as_ref().and_then(|id| self.fleet.machines.get(id));
            machine.is_some_and(|m| m.images.iter().any(|image| **image == *spec.image))
        };
        (0..bins.len()).filter(fits).min_by_key(|at| (!has_image(*at), bins[*at].index))
    }

    /// Returns tasks of arrays and gangs on machines whose drain deadline is reached; tasks that save their progress
    /// are included early enough to save before it. Replicas that can't be placed elsewhere keep running, because
    /// nobody benefits from stopping them.
    fn tasks_to_stop(&self, cache: &Cache, now: Instant) -> Vec<Evacuation> {
        let mut evacuations = Vec::new();
        for machine in self.fleet.machines.values().filter(|m| m.state == MachineState::Up) {
            let Some(left_s) = self.drain_left_s(machine, now) else { continue };
            for (key, entry) in &machine.attempts {
                if entry.stop.is_some() || entry.state == TaskState::Exited {
                    continue;
                }
                let Some(live) = cache.jobs.get(&key.0.job).and_then(Job::live) else { continue };
                let spec = &live.spec;
                let save_s = if spec.checkpoint_s > 0.0 { spec.save_s } else { 0.0 };
                let early_s = if save_s > 0.0 { save_s + DRAIN_MARGIN_S } else { 0.0 };
                if spec.kind != JobKind::Service && left_s <= early_s {
                    let machine = machine.id.clone();
                    evacuations.push(Evacuation { key: key.clone(), machine, grace_s: save_s });
                }
            }
        }
        evacuations
    }

    /// Lists the drains, each with the number of tasks left on its machines and the number of those that are stuck.
    pub fn drains(&self, cache: &Cache, now: Instant) -> Drains {
        let mut drains = list(cache, self.wall_clock, now);
        for drain in &mut drains.drains {
            let (mut remaining, mut stuck) = (0, 0);
            for machine in self.fleet.machines.values() {
                let covered = match drain.kind {
                    DrainKind::Zone => self.fleet.zone_name(machine.zone) == drain.name,
                    DrainKind::Machine => machine.id.as_str() == drain.name,
                    DrainKind::Controller => false,
                };
                let tasks = machine.attempts.iter().filter(|(_, e)| e.state != TaskState::Exited);
                for ((task, _), entry) in tasks.filter(|_| covered) {
                    remaining += 1;
                    stuck += u64::from(self.is_stuck(task, entry, drain.by_in_s, cache, now));
                }
            }
            (drain.remaining, drain.stuck) = (Some(remaining), Some(stuck));
        }
        drains
    }

    /// Returns whether a task can neither move nor is expected to finish before the drain's deadline.
    fn is_stuck(
        &self,
        task: &TaskId,
        entry: &PlacedAttempt,
        by_in_s: Option<f64>,
        cache: &Cache,
        now: Instant,
    ) -> bool {
        let Some(live) = cache.jobs.get(&task.job).and_then(Job::live) else { return false };
        let spec = &live.spec;
        let pinned = spec.zone.as_ref().is_some_and(|zone| self.drains.drained.covers_zone(zone));
        if spec.kind == JobKind::Service {
            let open_zones = self.drained_zones().iter().filter(|drained| !**drained).count();
            return pinned || open_zones == 0 || (spec.spread && open_zones == 1);
        }
        let ran_s =
            entry.running_since.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        let remaining_s =
            self.runtime_predictor.remaining_s(&task.job, ran_s).unwrap_or(spec.expect_s - ran_s);
        spec.checkpoint_s <= 0.0 && by_in_s.is_some_and(|left_s| remaining_s > left_s)
    }
}

/// Lists the drains from the cache, without task counts, as any controller can.
pub fn list(cache: &Cache, wall: WallClock, now: Instant) -> Drains {
    let now_ms = wall.ms(now) as f64;
    let drains = cache.active_drains().map(|record| Drain {
        kind: record.kind,
        name: record.name.clone(),
        by_in_s: record.by_ms.map(|by| (by as f64 - now_ms) / 1000.0),
        since_s: (now_ms - record.at_ms as f64) / 1000.0,
        author: record.author.clone(),
        reason: record.reason.clone(),
        remaining: None,
        stuck: None,
    });
    Drains { drains: drains.collect() }
}
