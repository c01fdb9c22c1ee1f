//! Troubles that bring a meeting about on purpose. Each counts how often it took effect: a day in which
//! one did not shows nothing.

use crate::event::{Due, Fault};
use crate::model::UserJob;
use crate::world::World;
use rand::Rng;
use std::collections::BTreeMap;
use troutspindle::ids::{MachineId, TaskId};
use troutspindle::wire::CommandBatch;

#[derive(Default)]
pub struct Aims {
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
pub enum Carried {
    Usual,
    /// At once, and its answer is lost.
    Unheard,
    /// After so many milliseconds.
    Later(u64),
}

impl Aims {
    pub fn took_effect(&mut self, what: &'static str) {
        *self.effects.entry(what).or_default() += 1;
    }

    pub fn effects(&self, what: &str) -> u64 {
        self.effects.get(what).copied().unwrap_or(0)
    }
}

impl World {
    pub fn aim(&mut self, fault: Fault) {
        match fault {
            Fault::LostAnswers(on) => self.aims.lost_answers = on,
            Fault::SlowWrites(on) => self.aims.slow_writes = on,
            Fault::CopiesForNext(on) => self.aims.copies_for_next = on,
            Fault::MuteWorkers(zone, on) => self.aims.mute_zone = on.then_some(zone),
            Fault::HeldCommands(on) => self.aims.held_commands = on,
            Fault::CloseLooks(on) => self.aims.close_looks = on,
            Fault::CancelNow(count) => self.cancel_now(count),
            Fault::CancelAtEnd(on) => self.aims.cancel_at_end = on,
            Fault::OddRequests(on) => {
                self.aims.odd_requests = on;
                self.odd();
            }
            Fault::LoseMachines(count) => {
                let busy = self.workers.values_mut().filter(|w| !w.gone && !w.tasks.is_empty());
                for worker in busy.take(count) {
                    worker.gone = true;
                    worker.tasks.clear();
                    self.aims.took_effect("machines lost");
                }
            }
            Fault::LeaderEnds(back) => {
                if let Some(leader) = (0..self.nodes.len()).find(|node| self.leads(*node)) {
                    self.aims.took_effect("leader ends");
                    self.fault(Fault::Blink(leader, back));
                }
            }
            Fault::QuickBoots(on) => self.aims.quick_boots = on,
            _ => {}
        }
    }

    fn cancel_now(&mut self, count: usize) {
        let open = |(number, job): (&u64, &UserJob)| {
            let open = job.accepted && !job.told_done && job.told_cancelled.is_none();
            (open && self.on_machines(*number) > 0).then_some(*number)
        };
        let mut running: Vec<u64> = self.jobs.iter().filter_map(open).collect();
        for _ in 0..count.min(running.len()) {
            let number = running.swap_remove(self.random.random_range(0..running.len()));
            let at = self.t + self.random.random_range(0..200);
            self.aims.took_effect("cancel now");
            self.call_off(number, at);
        }
    }

    /// The last of a job's tasks has ended, or one of several.
    pub fn ended(&mut self, task: &TaskId) {
        let number = Self::number(&task.job);
        let tasks = self.jobs[&number].spec.tasks as u32;
        let done = |index| self.finished.contains_key(&TaskId { job: task.job.clone(), index });
        if self.aims.cancel_at_end && (0..tasks).all(done) && self.random.random() {
            self.aims.took_effect("cancel at end");
            let at = self.t + self.random.random_range(0..60);
            self.call_off(number, at);
        }
    }

    /// Copies that were kept reach all controllers in the milliseconds in which a leader begins.
    pub fn leader_begins(&mut self) {
        for (machine, body) in std::mem::take(&mut self.aims.kept) {
            self.aims.took_effect("copies for next");
            for node in 0..self.nodes.len() {
                let at = self.t + self.random.random_range(0..40);
                self.at(at, Due::Hello(node, machine.clone(), body.clone(), 0));
            }
        }
    }

    pub fn keep_copy(&mut self, machine: &MachineId, body: &[u8]) {
        if self.aims.copies_for_next && self.random.random_range(0..3) == 0 {
            self.aims.kept.push((machine.clone(), body.to_vec()));
        }
    }

    pub fn carried(&mut self) -> Carried {
        if self.aims.lost_answers && self.random.random_range(0..3) == 0 {
            self.aims.took_effect("lost answers");
            return Carried::Unheard;
        }
        if self.aims.slow_writes {
            self.aims.took_effect("slow writes");
            return Carried::Later(self.random.random_range(200..1450));
        }
        Carried::Usual
    }

    /// Orders that come when their sender has long given up.
    pub fn held_orders(&mut self, id: &MachineId, orders: CommandBatch) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let valid = orders.token >= worker.token && orders.agent_epoch == Some(worker.agent_epoch);
        if valid && !worker.gone {
            worker.token = orders.token;
            worker.changed = true;
            self.aims.took_effect("held commands");
            self.execute(id, orders.orders);
        }
    }
}
