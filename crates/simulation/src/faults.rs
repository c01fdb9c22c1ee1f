//! Troubles, and days made of them.

use crate::event::{Fault, SimEvent};
use crate::world::World;
use troutspindle::wire::{JobKind, TaskState};
use troutspindle_runtime_estimates::Bucket;

impl World {
    pub fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(node) => self.fault(Fault::CrashAndRestart(node, 4000)),
            Fault::CrashAndRestart(node, back) => {
                self.nodes[node] = None;
                self.incarnation[node] += 1;
                self.tickets[node].clear();
                self.at(self.now_ms + back, SimEvent::Restart(node));
            }
            Fault::CutNode(node, on) => self.cut_node[node] = on,
            Fault::CutZones(on) => self.cut_zones = on,
            Fault::IsolateZone(on) => self.isolated_zone = on,
            Fault::CutWorkers(on) => {
                let leader = (0..self.nodes.len()).find(|node| self.leads(*node));
                self.cut_workers = leader.filter(|_| on);
            }
            Fault::CutControllerFromWorkers(node, on) => self.deaf = on.then_some(node),
            Fault::Outage(on) => {
                self.store.out = on;
                let t = self.now_ms;
                for (ms, until) in self.store.leases.values_mut() {
                    *until = t + *ms;
                }
            }
            Fault::StoreRefuses(node, on) => self.refused = on.then_some(node),
            Fault::CloudOutage(on) => self.cloud_out = on,
            Fault::Capacity(machines) => self.capacity = machines,
            Fault::FailedBoots(on) => self.bad_boots = on,
            Fault::RefusePeerConnections(on) => self.no_mesh = on,
            Fault::SlowNode(node, on) => self.slow_node = on.then_some(node),
            Fault::SlowMachines(on) => self.slow_machines = on,
            Fault::PollStorm(on) => self.polls = on,
            Fault::Stall(node, on) => {
                self.stalled[node] = on;
                let woken = |(other, _): &mut (usize, _)| !on && *other == node;
                for (node, effects) in self.unsent_effects.extract_if(.., woken).collect::<Vec<_>>()
                {
                    if self.nodes[node].is_some() {
                        self.carry_out(node, effects);
                    }
                }
                // Whatever queued up comes at once, in order; what is for others waits on.
                for due in std::mem::take(&mut self.stalled_events) {
                    self.step(due);
                }
            }
            Fault::Down(node) => {
                self.nodes[node] = None;
                self.incarnation[node] += 1;
                self.tickets[node].clear();
                self.down[node] = true;
                self.at(self.now_ms + 60_000, SimEvent::Restart(node));
            }
            Fault::Upgrade(node) => {
                self.old[node] = false;
                self.fault(Fault::Crash(node));
            }
            Fault::EventCost(cost) => self.cost = cost,
            Fault::DelayedCommits(on) => self.late_writes = on,
            Fault::DelayedHeartbeats(on) => self.late_reports = on,
            Fault::DropResponsesToWorkers(zone, on) => self.deaf_zone = on.then_some(zone),
            Fault::HangWorkers(zone, on) => self.hung_zone = on.then_some(zone),
            Fault::IsolateController(node, on) => self.isolated = on.then_some(node),
            Fault::DropOutgoingPeerMessages(node, on) => self.drops_outgoing = on.then_some(node),
            Fault::DropIncomingPeerMessages(node, on) => self.drops_incoming = on.then_some(node),
            Fault::TightenStoreLimits => self.limits = (4, 2048),
            Fault::ReclaimSpotMachines => {
                for worker in self.workers.values_mut().filter(|w| w.spot) {
                    worker.gone = true;
                    worker.tasks.clear();
                }
            }
            fault @ (Fault::LoseCommitResponses(_)
            | Fault::SlowCommits(_)
            | Fault::ReplayHeartbeatsToNextLeader(_)
            | Fault::WorkersCannotConnect(..)
            | Fault::DelayedCommands(_)
            | Fault::RapidRequests(_)
            | Fault::CancelNow(_)
            | Fault::CancelAtEnd(_)
            | Fault::InvalidRequests(_)
            | Fault::KillMachines(_)
            | Fault::CrashLeader(_)
            | Fault::FastBoots(_)) => self.aim(fault),
            Fault::ReclaimMachine => {
                if let Some(worker) = self.workers.values_mut().find(|w| !w.gone && w.spot) {
                    worker.gone = true;
                    worker.tasks.clear();
                }
            }
        }
        // Whatever was held back comes once its way is open again; what isn't is held anew.
        for due in std::mem::take(&mut self.held) {
            self.schedule_soon(due);
        }
    }

    pub fn leader(&self) -> usize {
        (0..self.nodes.len()).find(|node| self.leads(*node)).unwrap()
    }

    pub fn leads(&self, node: usize) -> bool {
        self.nodes[node].as_ref().is_some_and(|node| node.scheduler.is_some())
    }

    pub fn running(&self, number: u64) -> usize {
        self.tasks(number, |state| state == TaskState::Running)
    }

    /// Tasks of a job that are on machines, whatever they do there.
    pub fn on_machines(&self, number: u64) -> usize {
        self.tasks(number, |state| state != TaskState::Exited)
    }

    fn tasks(&self, number: u64, counts: impl Fn(TaskState) -> bool) -> usize {
        let id = &self.jobs[&number].spec.id;
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        tasks.filter(|(task, r)| task.job == *id && counts(r.state)).count()
    }

    /// Whoever led, crashed or wrote late: values are whole, and no run counts more tasks than its job has.
    pub fn check_learned(&self) -> usize {
        let kept = self.store.keys.range("t/e/".to_owned().."t/e0".to_owned());
        let arrays = self.jobs.values().filter(|job| job.spec.kind != JobKind::Service);
        let most = arrays.map(|job| job.spec.tasks).max().unwrap_or(0);
        let mut runs = 0;
        for (key, (data, ..)) in kept {
            let bucket = Bucket::decode(data.as_text().unwrap()).expect(key);
            for run in bucket.runs() {
                assert!(u64::from(run.tasks) <= most, "{key}: {run:?}");
                runs += 1;
            }
        }
        runs
    }

    pub fn day(seed: u64, faults: &[(u64, Fault)]) -> World {
        let mut world = World::new(seed);
        for n in 0..3 {
            world.submit_at(3000, n, true, (n == 2).then_some(70_000));
        }
        for n in 3..18 {
            let cancel_at = (n % 5 == 0).then_some(n * 3000 + 6000);
            world.submit_at(n * 3000, n, false, cancel_at);
        }
        for (t, fault) in faults {
            world.at(*t, SimEvent::Fault(*fault));
        }
        world.run(170_000);
        assert!(world.violations.is_empty(), "seed {seed}, {faults:?}: {:#?}", world.violations);
        for (number, job) in &world.jobs {
            let cancelled = job.cancellation_confirmed_ms.is_some();
            match job.spec.kind {
                JobKind::Service if !cancelled => {
                    assert_eq!(world.running(*number), 4, "seed {seed}: service {number}");
                }
                _ => assert!(job.told_done || cancelled, "seed {seed}: {number} is not over"),
            }
        }
        let runs = world.check_learned();
        assert!(runs > 0 || !faults.is_empty(), "seed {seed}: nothing was learned");
        world
    }
}

/// Which seeds a person asked for in SEEDS, from which to which.
pub fn seeds_requested(usual: &str) -> std::ops::Range<u64> {
    let seeds = std::env::var("SEEDS").unwrap_or(usual.into());
    let (from, to) = seeds.split_once("..").unwrap();
    from.parse().unwrap()..to.parse().unwrap()
}
