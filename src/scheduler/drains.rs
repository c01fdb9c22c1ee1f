//! Emptying what operators drain: nothing new starts there, replicas move one of a service at a time and only
//! where there is room for them, tasks that save move too, others end or are stopped when the time is up.
//!
//! Nothing of this is kept but the order itself: a new leader goes on from what it finds running.

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

/// Pause between two rounds of moves off what is drained.
const EVACUATION_INTERVAL: Duration = Duration::from_secs(1);
/// Seconds. A task that saves is told so much earlier than its time is up: for the command and its heartbeat.
const DRAIN_MARGIN_S: f64 = 5.0;

/// What operators drain, and when tasks are moved off next.
#[derive(Debug, Default)]
pub(super) struct DrainState {
    /// The zones and machines that are drained.
    pub drained: DrainSet,
    at: Option<Instant>,
}

impl Scheduler {
    /// Whether anything is still to leave: no other moves are made meanwhile, that might take a second
    /// replica of a service.
    pub(super) fn is_draining(&self) -> bool {
        !self.drains.drained.is_empty()
            && self.fleet.machines.values().any(|m| !m.is_empty() && self.is_drained(m))
    }
}

/// A task that could leave, and what it needs elsewhere.
struct Evacuation {
    key: TaskAttempt,
    machine: MachineId,
    grace_s: f64,
}

impl Scheduler {
    /// Takes in the drains that are stored by now.
    pub(super) fn read_drains(&mut self, cache: &Cache) {
        let drained = cache.drained().collect::<DrainSet>();
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

    /// Whether a machine is drained, by itself or with its zone.
    pub(super) fn is_drained(&self, machine: &Machine) -> bool {
        self.drain_of(machine).is_some()
    }

    /// By zone: whether it is drained.
    pub(super) fn drained_zones(&self) -> Vec<bool> {
        let zones = &self.settings.platform.params.zones;
        zones.iter().map(|zone| self.drains.drained.covers_zone(zone)).collect()
    }

    /// Seconds until a machine has to be empty; none if it is not drained, or by no time.
    fn drain_left_s(&self, machine: &Machine, now: Instant) -> Option<f64> {
        Some((self.drain_of(machine)?.by_ms? as f64 - self.wall_clock.ms(now) as f64) / 1000.0)
    }

    /// One round of moves and stops. `bins` are the machines that may take tasks: none that is drained.
    pub(super) fn evacuate_drained(
        &mut self,
        bins: &[Bin],
        names: &[Option<MachineId>],
        cache: &Cache,
        now: Instant,
    ) {
        if self.drains.drained.is_empty() || self.drains.at.is_some_and(|at| now < at) {
            return;
        }
        self.drains.at = Some(now + EVACUATION_INTERVAL);
        let mut evacuations = self.tasks_to_move(bins, names, cache, now);
        evacuations.extend(self.tasks_to_stop(cache, now));
        for Evacuation { key, machine, grace_s } in evacuations {
            let Some(machine) = self.fleet.machines.get_mut(&machine) else { continue };
            tracing::info!(machine = %machine.id, task = %key.0, grace_s, "task evicted by a drain");
            machine.request_stop(&key, StopRequest { grace_s, reason: MOVED });
            self.statistics.stops += 1;
        }
    }

    /// Replicas of services, one of each at a time and none while another is down, and tasks that save; as
    /// many as find room elsewhere.
    fn tasks_to_move(
        &self,
        bins: &[Bin],
        names: &[Option<MachineId>],
        cache: &Cache,
        now: Instant,
    ) -> Vec<Evacuation> {
        let mut free: Vec<Amount> = bins.iter().map(|bin| bin.free).collect();
        let mut evacuations = Vec::new();
        let (mut here, mut all, mut hurry_s) = (0u64, 0u64, f64::INFINITY);
        for machine in self.fleet.machines.values().filter(|m| m.state == MachineState::Up) {
            let tasks = machine.attempts.values().filter(|e| e.state == TaskState::Running);
            let tasks = tasks.count() as u64;
            all += tasks;
            if self.is_drained(machine) {
                here += tasks;
                hurry_s = hurry_s.min(self.drain_left_s(machine, now).unwrap_or(f64::INFINITY));
            }
        }
        // As gently as other moves, unless there is no time for that.
        let gentle = all as f64 * MAX_MOVED_REPLICA_SHARE;
        let hurried = here as f64 * EVACUATION_INTERVAL.as_secs_f64() / (hurry_s / 2.0).max(1.0);
        let most = gentle.max(hurried).ceil() as usize;
        for (id, work) in &self.jobs.progress {
            if evacuations.len() >= most {
                break;
            }
            let Some(live) = self.live(cache, id) else { continue };
            let service = live.spec.kind == JobKind::Service;
            let saves = live.spec.kind == JobKind::Array && live.spec.checkpoint_s > 0.0;
            let entry = |index: u32, placed: &Placement| {
                let machine = self.fleet.machines.get(&placed.machine)?;
                let key = (TaskId { job: id.clone(), index }, placed.attempt);
                let entry = machine.attempts.get(&key)?;
                let runs = entry.state == TaskState::Running && entry.stop.is_none();
                runs.then_some((key, machine))
            };
            let whole = || work.placed.iter().all(|(n, at)| entry(*n, at).is_some());
            if !(service || saves) || (service && (work.waiting(live) > 0 || !whole())) {
                continue;
            }
            for (index, at) in &work.placed {
                let Some((key, machine)) = entry(*index, at) else { continue };
                if !self.is_drained(machine) {
                    continue;
                }
                let Some(target) = self.room_for(live, work, *index, machine, bins, names, &free)
                else {
                    continue;
                };
                free[target] = free[target].minus(&live.need);
                let grace_s = if saves { live.spec.save_s } else { 0.0 };
                evacuations.push(Evacuation { key, machine: machine.id.clone(), grace_s });
                if service || evacuations.len() >= most {
                    break;
                }
            }
        }
        evacuations
    }

    /// A machine that would take the task in place of where it is, one with its image before others.
    #[allow(clippy::too_many_arguments)]
    fn room_for(
        &self,
        live: &LiveJob,
        work: &JobProgress,
        index: u32,
        from: &Machine,
        bins: &[Bin],
        names: &[Option<MachineId>],
        free: &[Amount],
    ) -> Option<usize> {
        let spec = &live.spec;
        let half = (spec.tasks as u32).div_ceil(2);
        let mut there = vec![0u32; self.settings.platform.params.zones.len()];
        for (_, placed) in work.placed.iter().filter(|(n, _)| **n != index) {
            if let Some(machine) = self.fleet.machines.get(&placed.machine) {
                there[machine.zone] += 1;
            }
        }
        let may = |bin: &Bin| {
            let zone = bin.zone.index();
            bin.ready
                && self.allows_bin(spec, bin)
                && (!spec.spread || there[zone] < half)
                // What has to be in one zone stays there as long as any of it does.
                && (!spec.one_zone || zone == from.zone || there[from.zone] == 0)
        };
        let fits = |at: &usize| may(&bins[*at]) && live.need.fits(&free[*at]);
        let warm = |at: usize| {
            let machine = names[at].as_ref().and_then(|id| self.fleet.machines.get(id));
            machine.is_some_and(|m| m.images.iter().any(|image| **image == *spec.image))
        };
        (0..bins.len()).filter(fits).min_by_key(|at| (!warm(*at), bins[*at].index))
    }

    /// Tasks of arrays and gangs whose time on what is drained is up; those that save are told early enough.
    /// Replicas that have no other place run on: nobody gains by stopping them.
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

    /// What is drained, and what is left there.
    pub fn drains(&self, cache: &Cache, now: Instant) -> Drains {
        let mut drains = list(cache, self.wall_clock, now);
        for drain in &mut drains.drains {
            let (mut left, mut stuck) = (0, 0);
            for machine in self.fleet.machines.values() {
                let here = match drain.kind {
                    DrainKind::Zone => self.fleet.zone_name(machine.zone) == drain.name,
                    DrainKind::Machine => machine.id.as_str() == drain.name,
                    DrainKind::Controller => false,
                };
                let tasks = machine.attempts.iter().filter(|(_, e)| e.state != TaskState::Exited);
                for ((task, _), entry) in tasks.filter(|_| here) {
                    left += 1;
                    stuck += u64::from(self.is_stuck(task, entry, drain.by_in_s, cache, now));
                }
            }
            (drain.remaining, drain.stuck) = (Some(left), Some(stuck));
        }
        drains
    }

    /// Whether a task can neither move nor, as far as is known, end in time.
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
            let open = self.drained_zones().iter().filter(|drained| !**drained).count();
            return pinned || open == 0 || (spec.spread && open == 1);
        }
        let ran_s =
            entry.running_since.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        let remaining_s =
            self.runtime_predictor.remaining_s(&task.job, ran_s).unwrap_or(spec.expect_s - ran_s);
        spec.checkpoint_s <= 0.0 && by_in_s.is_some_and(|left_s| remaining_s > left_s)
    }
}

/// What is drained, as any controller knows it.
pub fn list(cache: &Cache, wall: WallClock, now: Instant) -> Drains {
    let now_ms = wall.ms(now) as f64;
    let drains = cache.drained().map(|record| Drain {
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
