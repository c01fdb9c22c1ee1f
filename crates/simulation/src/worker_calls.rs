//! Direct calls of controllers to simulated workers.

use crate::event::SimEvent;
use crate::world::World;
use rand::Rng;
use troutspindle::controller::Event;
use troutspindle::http::CallError;
use troutspindle::ids::MachineId;
use troutspindle::wire::{CommandBatch, Heartbeat, TaskState, WorkerCommand};
use troutspindle::workers::command_delivery::DirectCall;

/// Time in milliseconds after which a controller gives up a direct call.
const CALL_TIMEOUT_MS: u64 = 3000;

/// A direct call whose result the controller awaits.
struct AwaitedCall {
    controller: usize,
    incarnation: u32,
    machine: MachineId,
    sent: Option<CommandBatch>,
}

impl AwaitedCall {
    /// Returns the event that tells the controller the result.
    fn result(self, result: Result<Heartbeat, CallError>) -> SimEvent {
        let AwaitedCall { controller, incarnation, machine, sent } = self;
        let event = Event::WorkerResponse { machine, sent, result };
        SimEvent::Controller(controller, incarnation, event)
    }
}

impl World {
    /// Delivers a controller's direct call to a worker.
    pub fn on_direct_call(
        &mut self,
        controller: usize,
        incarnation: u32,
        id: MachineId,
        call: DirectCall,
    ) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let sent = match &call {
            DirectCall::Do(batch) => Some(batch.clone()),
            DirectCall::Status => None,
        };
        let awaited =
            AwaitedCall { controller, incarnation, machine: id.clone(), sent: sent.clone() };
        let zone = worker.zone;
        let is_down = worker.terminated || worker.booted_at > self.now_ms;
        if is_down || self.zone_without_responses == Some(zone) {
            return self.time_out(awaited);
        }
        if self.is_cut_off(controller, zone) || self.hung_zone == Some(zone) {
            self.blocked_messages.push(SimEvent::DirectCall(controller, incarnation, id, call));
            return self.time_out(awaited);
        }
        let is_delayed =
            self.targeted_faults.delayed_commands && self.random.random_range(0..3) == 0;
        if is_delayed && self.random.random() {
            // The command is delayed, and executed after its sender has timed out.
            if let Some(batch) = sent {
                let later = self.now_ms + self.random.random_range(1000..9000);
                self.schedule(later, SimEvent::DelayedCommands(id, batch));
            }
            return self.time_out(awaited);
        }
        if let Some(batch) = &sent
            && self.accept_commands(&id, batch)
            && !is_delayed
        {
            self.repeat_commands(&id, batch);
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.seq += 1;
        let heartbeat = Self::heartbeat(&id, worker);
        if is_delayed {
            // The command was executed, and its response is delayed.
            return self.time_out(awaited);
        }
        self.schedule_soon(awaited.result(Ok(heartbeat)));
    }

    /// Lets the controller give up the call.
    fn time_out(&mut self, awaited: AwaitedCall) {
        let event = awaited.result(Err(CallError::Unknown));
        self.schedule(self.now_ms + CALL_TIMEOUT_MS, event);
    }

    /// Lets a worker execute direct commands. Returns false if it rejects their fencing token or agent epoch.
    pub fn accept_commands(&mut self, id: &MachineId, batch: &CommandBatch) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        if batch.token < worker.token || batch.agent_epoch != Some(worker.agent_epoch) {
            return false;
        }
        worker.token = batch.token;
        self.execute(id, batch.commands.clone());
        true
    }

    /// Executes commands that a worker has accepted.
    pub fn execute(&mut self, id: &MachineId, commands: Vec<WorkerCommand>) {
        for command in commands {
            match command {
                WorkerCommand::Start { task, attempt } => self.start(id, task, attempt),
                WorkerCommand::Stop { task, attempt, .. } => {
                    let worker = self.workers.get_mut(id).unwrap();
                    if let Some(running) = worker.tasks.get_mut(&task)
                        && running.attempt == attempt
                        && running.state != TaskState::Exited
                    {
                        running.state = TaskState::Exited;
                        running.exit_cause = Some("halted".into());
                        worker.changed = true;
                        self.targeted_faults.record_effect("stopped tasks");
                    }
                }
                WorkerCommand::Forget { task, attempt } => {
                    let worker = self.workers.get_mut(id).unwrap();
                    if worker
                        .tasks
                        .get(&task)
                        .is_some_and(|r| r.attempt == attempt && r.state == TaskState::Exited)
                    {
                        worker.tasks.remove(&task);
                    }
                }
            }
        }
    }
}
