//! Applies heartbeats that other controllers relay to the leader.
//!
//! Each is applied and answered as if the worker had sent it to the leader at the time of its arrival here. Only the
//! leader makes decisions about a worker.

use crate::ids::{ControllerId, FencingToken, MachineId};
use crate::peers::heartbeat_relay::{
    HeartbeatResult, RelayedCommand, RelayedHeartbeat, UnchangedHeartbeat,
};
use crate::scheduler::Scheduler;
use crate::store::Cache;
use crate::wire::Heartbeat;
use crate::workers::machine::{Machine, Relayer};
use tokio::time::Instant;

impl Scheduler {
    /// Applies a batch of heartbeats that a controller relayed. Returns the results that differ from the default, with
    /// the position of the heartbeat in the batch, or `None` if a later leader exists.
    pub fn on_relayed_heartbeats(
        &mut self,
        from: &ControllerId,
        heartbeats: Vec<RelayedHeartbeat>,
        cache: &Cache,
        now: Instant,
    ) -> Option<Vec<(u32, HeartbeatResult)>> {
        let mut results = Vec::new();
        for (position, relayed) in (0u32..).zip(heartbeats) {
            let result = match relayed {
                RelayedHeartbeat::Full(heartbeat) => {
                    let heartbeat = Heartbeat::from(heartbeat);
                    let batch = self.on_heartbeat(&heartbeat, cache, now)?;
                    let default_token = FencingToken::for_answer(self.term.token, heartbeat.token);
                    if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
                        machine.relayed_by =
                            Some(Relayer { controller: from.clone(), received_at: now });
                    }
                    HeartbeatResult::Accepted(RelayedCommand::from_batch(batch, default_token))
                }
                RelayedHeartbeat::Unchanged(unchanged) => self.on_unchanged(from, &unchanged, now),
            };
            if !result.is_default() {
                results.push((position, result));
            }
        }
        Some(results)
    }

    /// Applies a heartbeat that repeats the worker's previous one.
    fn on_unchanged(
        &mut self,
        from: &ControllerId,
        unchanged: &UnchangedHeartbeat,
        now: Instant,
    ) -> HeartbeatResult {
        let id = &unchanged.machine;
        let (token, silent_after) = (self.term.token, self.settings.heartbeat_interval() * 2);
        let record =
            |machine: &mut Machine| machine.record_unchanged_heartbeat(unchanged, token, now);
        let Some(machine) = self.fleet.machines.get_mut(id) else {
            return HeartbeatResult::ResendInFull;
        };
        let was_silent = machine.time_since_heartbeat(now) > silent_after;
        if !record(machine) {
            return HeartbeatResult::ResendInFull;
        }
        // No task is placed on a silent machine, so it may have free capacity for waiting tasks now.
        self.planning_clock.pass_requested |= was_silent;
        machine.relayed_by = Some(Relayer { controller: from.clone(), received_at: now });
        self.fleet.zone_last_heartbeat[machine.zone] = Some(now);
        self.statistics.last_heartbeat = now;
        self.statistics.heartbeats += 1;
        let default_token = FencingToken::for_answer(token, machine.fence.reported());
        let Some(batch) = self.answer(id, now) else { return HeartbeatResult::ResendInFull };
        HeartbeatResult::Accepted(RelayedCommand::from_batch(batch, default_token))
    }

    /// Returns the controller that relayed the worker's last heartbeat, unless the next heartbeat is already late.
    pub fn relay_of(&self, id: &MachineId, now: Instant) -> Option<&ControllerId> {
        let relayer = self.fleet.machines.get(id)?.relayed_by.as_ref()?;
        let is_recent =
            now.saturating_duration_since(relayer.received_at) < self.heartbeat_late_after();
        is_recent.then_some(&relayer.controller)
    }
}
