//! Troubles that bring a meeting about on purpose. Each counts how often it took effect: a day in which
//! one did not shows nothing.

use crate::event::{Fault, SimEvent};
use crate::model::UserJob;
use crate::world::World;
use rand::Rng;
use std::collections::BTreeMap;
use troutspindle::ids::{MachineId, TaskId};
use troutspindle::wire::CommandBatch;

#[derive(Default)]
pub struct TargetedFaults {
    pub lost_answers: bool,
    pub slow_writes: bool,
    pub copies_for_next: bool,
    pub kept: Vec<(MachineId, Vec<u8>)>,
    pub mute_zone: Option<usize>,
    pub held_commands: bool,
    pub close_looks: bool,
    pub cancel_at_end: bool,
    pub odd_requests: bool,
    pub quick_boots: bool,
    /// Nodes that led when they were told anything last.
    pub led: Vec<usize>,
    effects: BTreeMap<&'static str, u64>,
}

/// What becomes of a transaction.
pub enum CommitDelivery {
    Usual,
    /// At once, and its answer is lost.
    ResponseLost,
    /// After so many milliseconds.
    Later(u64),
}

impl TargetedFaults {
    pub fn record_effect(&mut self, what: &'static str) {
        *self.effects.entry(what).or_default() += 1;
    }

    pub fn effects(&self, what: &str) -> u64 {
        self.effects.get(what).copied().unwrap_or(0)
    }
}

impl World {
    pub fn aim(&mut self, fault: Fault) {
        match fault {
            Fault::LoseCommitResponses(on) => self.targeted_faults.lost_answers = on,
            Fault::SlowCommits(on) => self.targeted_faults.slow_writes = on,
            Fault::ReplayHeartbeatsToNextLeader(on) => self.targeted_faults.copies_for_next = on,
            Fault::WorkersCannotConnect(zone, on) => {
                self.targeted_faults.mute_zone = on.then_some(zone)
            }
            Fault::DelayedCommands(on) => self.targeted_faults.held_commands = on,
            Fault::RapidRequests(on) => self.targeted_faults.close_looks = on,
            Fault::CancelNow(count) => self.cancel_now(count),
            Fault::CancelAtEnd(on) => self.targeted_faults.cancel_at_end = on,
            Fault::InvalidRequests(on) => {
                self.targeted_faults.odd_requests = on;
                self.send_invalid_request();
            }
            Fault::KillMachines(count) => {
                let busy = self.workers.values_mut().filter(|w| !w.gone && !w.tasks.is_empty());
                for worker in busy.take(count) {
                    worker.gone = true;
                    worker.tasks.clear();
                    self.targeted_faults.record_effect("machines lost");
                }
            }
            Fault::CrashLeader(back) => {
                if let Some(leader) = (0..self.nodes.len()).find(|node| self.leads(*node)) {
                    self.targeted_faults.record_effect("leader ends");
                    self.fault(Fault::CrashAndRestart(leader, back));
                }
            }
            Fault::FastBoots(on) => self.targeted_faults.quick_boots = on,
            _ => {}
        }
    }

    fn cancel_now(&mut self, count: usize) {
        let open = |(number, job): (&u64, &UserJob)| {
            let open = job.accepted && !job.told_done && job.cancellation_confirmed_ms.is_none();
            (open && self.on_machines(*number) > 0).then_some(*number)
        };
        let mut running: Vec<u64> = self.jobs.iter().filter_map(open).collect();
        for _ in 0..count.min(running.len()) {
            let number = running.swap_remove(self.random.random_range(0..running.len()));
            let at = self.now_ms + self.random.random_range(0..200);
            self.targeted_faults.record_effect("cancel now");
            self.cancel_job(number, at);
        }
    }

    /// The last of a job's tasks has ended, or one of several.
    pub fn ended(&mut self, task: &TaskId) {
        let number = Self::number(&task.job);
        let tasks = self.jobs[&number].spec.tasks as u32;
        let done = |index| self.finished.contains_key(&TaskId { job: task.job.clone(), index });
        if self.targeted_faults.cancel_at_end && (0..tasks).all(done) && self.random.random() {
            self.targeted_faults.record_effect("cancel at end");
            let at = self.now_ms + self.random.random_range(0..60);
            self.cancel_job(number, at);
        }
    }

    /// Copies that were kept reach all controllers in the milliseconds in which a leader begins.
    pub fn on_leader_change(&mut self) {
        for (machine, body) in std::mem::take(&mut self.targeted_faults.kept) {
            self.targeted_faults.record_effect("copies for next");
            for node in 0..self.nodes.len() {
                let at = self.now_ms + self.random.random_range(0..40);
                self.at(at, SimEvent::Heartbeat(node, machine.clone(), body.clone(), 0));
            }
        }
    }

    pub fn keep_heartbeat_copy(&mut self, machine: &MachineId, body: &[u8]) {
        if self.targeted_faults.copies_for_next && self.random.random_range(0..3) == 0 {
            self.targeted_faults.kept.push((machine.clone(), body.to_vec()));
        }
    }

    pub fn choose_commit_delivery(&mut self) -> CommitDelivery {
        if self.targeted_faults.lost_answers && self.random.random_range(0..3) == 0 {
            self.targeted_faults.record_effect("lost answers");
            return CommitDelivery::ResponseLost;
        }
        if self.targeted_faults.slow_writes {
            self.targeted_faults.record_effect("slow writes");
            return CommitDelivery::Later(self.random.random_range(200..1450));
        }
        CommitDelivery::Usual
    }

    /// Orders that come when their sender has long given up.
    pub fn execute_delayed_commands(&mut self, id: &MachineId, orders: CommandBatch) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let valid = orders.token >= worker.token && orders.agent_epoch == Some(worker.agent_epoch);
        if valid && !worker.gone {
            worker.token = orders.token;
            worker.changed = true;
            self.targeted_faults.record_effect("held commands");
            self.execute(id, orders.commands);
        }
    }
}
