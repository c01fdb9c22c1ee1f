//! Faults that target a particular situation. Each counts how often it took effect, since a run in which a fault took
//! no effect proves nothing.

use crate::event::{Fault, SimEvent};
use crate::model::UserJob;
use crate::world::World;
use rand::Rng;
use std::collections::BTreeMap;
use troutspindle::ids::{MachineId, TaskId};
use troutspindle::wire::CommandBatch;

/// Shortest delay in milliseconds of a copy of direct commands.
const REPEATED_EARLIEST_MS: u64 = 500;
/// Longest delay in milliseconds of half of the copies of direct commands.
const REPEATED_SOON_MS: u64 = 6000;
/// Longest delay in milliseconds of the other copies of direct commands.
const REPEATED_LATE_MS: u64 = 90_000;

/// Active targeted faults, and the number of effects of each.
#[derive(Default)]
pub struct TargetedFaults {
    pub lost_responses: bool,
    pub slow_commits: bool,
    pub replayed_heartbeats: bool,
    /// Encoded heartbeats to be replayed to the next leader.
    pub kept_heartbeats: Vec<(MachineId, Vec<u8>)>,
    /// Zone whose workers cannot connect to any controller.
    pub unconnectable_zone: Option<usize>,
    pub delayed_commands: bool,
    pub repeated_commands: bool,
    pub rapid_requests: bool,
    pub cancel_at_completion: bool,
    pub invalid_requests: bool,
    pub fast_boots: bool,
    /// Controllers that were leader after their last event.
    pub last_leaders: Vec<usize>,
    effects: BTreeMap<&'static str, u64>,
}

/// Outcome of a transaction's delivery to the store.
pub enum CommitDelivery {
    /// Applied and answered normally.
    Usual,
    /// Applied at once; the response is lost.
    ResponseLost,
    /// Applied and answered after this many milliseconds.
    Later(u64),
}

impl TargetedFaults {
    /// Counts an effect of a fault.
    pub fn record_effect(&mut self, effect: &'static str) {
        *self.effects.entry(effect).or_default() += 1;
    }

    /// Returns how often a fault took effect.
    pub fn effects(&self, effect: &str) -> u64 {
        self.effects.get(effect).copied().unwrap_or(0)
    }
}

impl World {
    /// Begins or ends a targeted fault.
    pub fn apply_targeted_fault(&mut self, fault: Fault) {
        match fault {
            Fault::LoseCommitResponses(on) => self.targeted_faults.lost_responses = on,
            Fault::SlowCommits(on) => self.targeted_faults.slow_commits = on,
            Fault::ReplayHeartbeatsToNextLeader(on) => {
                self.targeted_faults.replayed_heartbeats = on
            }
            Fault::WorkersCannotConnect(zone, on) => {
                self.targeted_faults.unconnectable_zone = on.then_some(zone)
            }
            Fault::DelayedCommands(on) => self.targeted_faults.delayed_commands = on,
            Fault::RepeatedCommands(on) => self.targeted_faults.repeated_commands = on,
            Fault::RapidRequests(on) => self.targeted_faults.rapid_requests = on,
            Fault::CancelNow(count) => self.cancel_now(count),
            Fault::CancelAtCompletion(on) => self.targeted_faults.cancel_at_completion = on,
            Fault::InvalidRequests(on) => {
                self.targeted_faults.invalid_requests = on;
                self.send_invalid_request();
            }
            Fault::KillMachines(count) => {
                let busy =
                    self.workers.values_mut().filter(|w| !w.terminated && !w.tasks.is_empty());
                for worker in busy.take(count) {
                    worker.terminated = true;
                    worker.tasks.clear();
                    self.targeted_faults.record_effect("machines lost");
                }
            }
            Fault::CrashLeader(restart_after_ms) => {
                if let Some(leader) =
                    (0..self.controllers.len()).find(|controller| self.leads(*controller))
                {
                    self.targeted_faults.record_effect("leader crashed");
                    self.inject(Fault::CrashAndRestart(leader, restart_after_ms));
                }
            }
            Fault::FastBoots(on) => self.targeted_faults.fast_boots = on,
            _ => {}
        }
    }

    fn cancel_now(&mut self, count: usize) {
        let running_number = |(number, job): (&u64, &UserJob)| {
            let is_open = job.accepted
                && !job.completion_confirmed
                && job.cancellation_confirmed_ms.is_none();
            (is_open && self.on_machines(*number) > 0).then_some(*number)
        };
        let mut running: Vec<u64> = self.jobs.iter().filter_map(running_number).collect();
        for _ in 0..count.min(running.len()) {
            let number = running.swap_remove(self.random.random_range(0..running.len()));
            let at = self.now_ms + self.random.random_range(0..200);
            self.targeted_faults.record_effect("cancel now");
            self.cancel_job(number, at);
        }
    }

    /// Cancels the job of a completed task at once, if it was the last task and the fault is active.
    pub fn on_task_completed(&mut self, task: &TaskId) {
        let number = Self::job_number(&task.job);
        let tasks = self.jobs[&number].spec.tasks as u32;
        let done = |index| self.finished.contains_key(&TaskId { job: task.job.clone(), index });
        if self.targeted_faults.cancel_at_completion && (0..tasks).all(done) && self.random.random()
        {
            self.targeted_faults.record_effect("cancel at completion");
            let at = self.now_ms + self.random.random_range(0..60);
            self.cancel_job(number, at);
        }
    }

    /// Replays kept heartbeats to all controllers within 40 ms after a leader has started.
    pub fn on_leader_change(&mut self) {
        for (machine, body) in std::mem::take(&mut self.targeted_faults.kept_heartbeats) {
            self.targeted_faults.record_effect("replayed heartbeats");
            for controller in 0..self.controllers.len() {
                let at = self.now_ms + self.random.random_range(0..40);
                self.schedule(
                    at,
                    SimEvent::Heartbeat(controller, machine.clone(), body.clone(), 0),
                );
            }
        }
    }

    /// Keeps a copy of a third of the heartbeats while the fault is active.
    pub fn keep_heartbeat_copy(&mut self, machine: &MachineId, body: &[u8]) {
        if self.targeted_faults.replayed_heartbeats && self.random.random_range(0..3) == 0 {
            self.targeted_faults.kept_heartbeats.push((machine.clone(), body.to_vec()));
        }
    }

    /// Chooses the delivery of the next transaction.
    pub fn choose_commit_delivery(&mut self) -> CommitDelivery {
        if self.targeted_faults.lost_responses && self.random.random_range(0..3) == 0 {
            self.targeted_faults.record_effect("lost commit responses");
            return CommitDelivery::ResponseLost;
        }
        if self.targeted_faults.slow_commits {
            self.targeted_faults.record_effect("slow commits");
            return CommitDelivery::Later(self.random.random_range(200..1450));
        }
        CommitDelivery::Usual
    }

    /// Delivers direct commands after their sender has timed out.
    pub fn execute_delayed_commands(&mut self, id: &MachineId, batch: CommandBatch) {
        if self.execute_unanswered(id, &batch) {
            self.targeted_faults.record_effect("delayed commands");
        }
    }

    /// Schedules the arrival of a copy of direct commands that were executed and answered, if the fault is active.
    pub fn repeat_commands(&mut self, id: &MachineId, batch: &CommandBatch) {
        if !self.targeted_faults.repeated_commands || self.random.random() {
            return;
        }
        let latest_ms = if self.random.random() { REPEATED_SOON_MS } else { REPEATED_LATE_MS };
        let delay_ms = self.random.random_range(REPEATED_EARLIEST_MS..latest_ms);
        let event = SimEvent::RepeatedCommands(id.clone(), batch.clone());
        self.schedule(self.now_ms + delay_ms, event);
    }

    /// Delivers a copy of direct commands that were executed and answered.
    pub fn execute_repeated_commands(&mut self, id: &MachineId, batch: CommandBatch) {
        let zone = self.workers.get(id).map(|worker| worker.zone);
        if zone.is_some() && self.hung_zone == zone {
            let event = SimEvent::RepeatedCommands(id.clone(), batch);
            return self.blocked_messages.push(event);
        }
        let effect = if self.execute_unanswered(id, &batch) {
            "repeated commands"
        } else {
            "rejected repeated commands"
        };
        self.targeted_faults.record_effect(effect);
    }

    /// Lets a worker execute direct commands whose response nobody awaits. Returns false if it rejects them.
    fn execute_unanswered(&mut self, id: &MachineId, batch: &CommandBatch) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        if worker.terminated || !self.accept_commands(id, batch) {
            return false;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.changed = true;
        }
        true
    }
}
