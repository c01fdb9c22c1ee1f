//! Injection of faults, queries on the simulation's state, and the standard simulated day.

use crate::event::{Fault, SimEvent};
use crate::world::World;
use troutspindle::wire::{JobKind, TaskState};
use troutspindle_runtime_estimates::Bucket;

impl World {
    /// Begins or ends a fault now.
    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(controller) => self.inject(Fault::CrashAndRestart(controller, 4000)),
            Fault::CrashAndRestart(controller, restart_after_ms) => {
                self.controllers[controller] = None;
                self.incarnation[controller] += 1;
                self.tickets[controller].clear();
                self.schedule(self.now_ms + restart_after_ms, SimEvent::Restart(controller));
            }
            Fault::PartitionController(controller, on) => {
                self.partitioned_controllers[controller] = on
            }
            Fault::PartitionZones(on) => self.zones_partitioned = on,
            Fault::IsolateZone(on) => self.isolated_zone = on,
            Fault::CutLeaderFromWorkers(on) => {
                let leader = (0..self.controllers.len()).find(|controller| self.leads(*controller));
                self.cut_off_from_zone_b = leader.filter(|_| on);
            }
            Fault::CutControllerFromWorkers(controller, on) => {
                self.cut_off_from_workers = on.then_some(controller)
            }
            Fault::StoreOutage(on) => {
                self.store.unavailable = on;
                let now_ms = self.now_ms;
                for (ms, until) in self.store.leases.values_mut() {
                    *until = now_ms + *ms;
                }
            }
            Fault::StoreRejects(controller, on) => {
                self.rejected_by_store = on.then_some(controller)
            }
            Fault::CloudOutage(on) => self.cloud_unavailable = on,
            Fault::Capacity(machines) => self.capacity = machines,
            Fault::FailedBoots(on) => self.failed_boots = on,
            Fault::RefusePeerConnections(on) => self.peer_connections_rejected = on,
            Fault::SlowController(controller, on) => {
                self.slow_controller = on.then_some(controller)
            }
            Fault::SlowMachines(on) => self.slow_machines = on,
            Fault::PollStorm(on) => self.poll_storm = on,
            Fault::Stall(controller, on) => {
                self.stalled[controller] = on;
                let is_resumed = |(other, _): &mut (usize, _)| !on && *other == controller;
                for (controller, effects) in
                    self.unsent_effects.extract_if(.., is_resumed).collect::<Vec<_>>()
                {
                    if self.controllers[controller].is_some() {
                        self.apply_effects(controller, effects);
                    }
                }
                // Handles the queued events at once and in order; events of other stalled controllers keep waiting.
                for event in std::mem::take(&mut self.stalled_events) {
                    self.step(event);
                }
            }
            Fault::SwitchOff(controller) => {
                self.controllers[controller] = None;
                self.incarnation[controller] += 1;
                self.tickets[controller].clear();
                self.down[controller] = true;
                self.schedule(self.now_ms + 60_000, SimEvent::Restart(controller));
            }
            Fault::Upgrade(controller) => {
                self.runs_previous_version[controller] = false;
                self.inject(Fault::Crash(controller));
            }
            Fault::EventCost(cost) => self.event_cost_ms = cost,
            Fault::DelayedCommits(on) => self.delayed_commits = on,
            Fault::DelayedHeartbeats(on) => self.delayed_heartbeats = on,
            Fault::DropResponsesToWorkers(zone, on) => {
                self.zone_without_responses = on.then_some(zone)
            }
            Fault::HangWorkers(zone, on) => self.hung_zone = on.then_some(zone),
            Fault::IsolateController(controller, on) => {
                self.isolated_controller = on.then_some(controller)
            }
            Fault::DropOutgoingPeerMessages(controller, on) => {
                self.drops_outgoing = on.then_some(controller)
            }
            Fault::DropIncomingPeerMessages(controller, on) => {
                self.drops_incoming = on.then_some(controller)
            }
            Fault::TightenStoreLimits => self.limits = (4, 2048),
            Fault::ReclaimSpotMachines => {
                for worker in self.workers.values_mut().filter(|w| w.spot) {
                    worker.terminated = true;
                    worker.tasks.clear();
                }
            }
            fault @ (Fault::LoseCommitResponses(_)
            | Fault::SlowCommits(_)
            | Fault::ReplayHeartbeatsToNextLeader(_)
            | Fault::WorkersCannotConnect(..)
            | Fault::DelayedCommands(_)
            | Fault::RepeatedCommands(_)
            | Fault::RapidRequests(_)
            | Fault::CancelNow(_)
            | Fault::CancelAtCompletion(_)
            | Fault::InvalidRequests(_)
            | Fault::KillMachines(_)
            | Fault::CrashLeader(_)
            | Fault::FastBoots(_)) => self.apply_targeted_fault(fault),
            Fault::ReclaimMachine => {
                if let Some(worker) = self.workers.values_mut().find(|w| !w.terminated && w.spot) {
                    worker.terminated = true;
                    worker.tasks.clear();
                }
            }
        }
        // Delivers the messages that a partition kept back; those that are still blocked are kept back again.
        for event in std::mem::take(&mut self.blocked_messages) {
            self.schedule_soon(event);
        }
    }

    /// Returns the leader. Panics if there is none.
    pub fn leader(&self) -> usize {
        (0..self.controllers.len()).find(|controller| self.leads(*controller)).unwrap()
    }

    /// Returns whether a controller acts as leader.
    pub fn leads(&self, controller: usize) -> bool {
        self.controllers[controller]
            .as_ref()
            .is_some_and(|controller| controller.scheduler.is_some())
    }

    /// Returns the number of running tasks of a job.
    pub fn running(&self, number: u64) -> usize {
        self.tasks(number, |state| state == TaskState::Running)
    }

    /// Returns the number of a job's tasks on machines that have not exited.
    pub fn on_machines(&self, number: u64) -> usize {
        self.tasks(number, |state| state != TaskState::Exited)
    }

    fn tasks(&self, number: u64, counts: impl Fn(TaskState) -> bool) -> usize {
        let id = &self.jobs[&number].spec.id;
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        tasks.filter(|(task, r)| task.job == *id && counts(r.state)).count()
    }

    /// Checks that the stored run times are readable and that no run counts more tasks than the largest array has, and
    /// returns the number of runs.
    pub fn check_stored_estimates(&self) -> usize {
        let kept = self.store.keys.range("t/e/".to_owned().."t/e0".to_owned());
        let arrays = self.jobs.values().filter(|job| job.spec.kind != JobKind::Service);
        let max_tasks = arrays.map(|job| job.spec.tasks).max().unwrap_or(0);
        let mut runs = 0;
        for (key, (data, ..)) in kept {
            let bucket = Bucket::decode(data.as_text().unwrap()).expect(key);
            for run in bucket.runs() {
                assert!(u64::from(run.tasks) <= max_tasks, "{key}: {run:?}");
                runs += 1;
            }
        }
        runs
    }

    /// Runs a standard day of three services and fifteen arrays with these faults, and checks that no rule is
    /// violated and that every job finishes or keeps running.
    pub fn day(seed: u64, faults: &[(u64, Fault)]) -> World {
        let mut world = World::new(seed);
        for n in 0..3 {
            world.submit_at(3000, n, true, (n == 2).then_some(70_000));
        }
        for n in 3..18 {
            let cancel_at = (n % 5 == 0).then_some(n * 3000 + 6000);
            world.submit_at(n * 3000, n, false, cancel_at);
        }
        for (at_ms, fault) in faults {
            world.schedule(*at_ms, SimEvent::Fault(*fault));
        }
        world.run(170_000);
        assert!(world.violations.is_empty(), "seed {seed}, {faults:?}: {:#?}", world.violations);
        for (number, job) in &world.jobs {
            let cancelled = job.cancellation_confirmed_ms.is_some();
            match job.spec.kind {
                JobKind::Service if !cancelled => {
                    assert_eq!(world.running(*number), 4, "seed {seed}: service {number}");
                }
                _ => assert!(
                    job.completion_confirmed || cancelled,
                    "seed {seed}: {number} is not finished"
                ),
            }
        }
        let runs = world.check_stored_estimates();
        assert!(runs > 0 || !faults.is_empty(), "seed {seed}: nothing was learned");
        world
    }
}

/// Returns the range of seeds in the environment variable SEEDS, or the default.
pub fn seeds_requested(default: &str) -> std::ops::Range<u64> {
    let seeds = std::env::var("SEEDS").unwrap_or(default.into());
    let (from, to) = seeds.split_once("..").unwrap();
    from.parse().unwrap()..to.parse().unwrap()
}
