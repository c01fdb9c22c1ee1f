//! Heartbeats that other controllers passed on.
//!
//! Each is taken in and answered as if the worker had sent it here, at the time at which it arrives here. Nothing
//! about a worker is decided anywhere else.

use crate::ids::{ControllerId, MachineId};
use crate::peers::heartbeat_relay::{
    HeartbeatResult, RelayedCommand, RelayedHeartbeat, UnchangedHeartbeat,
};
use crate::scheduler::Scheduler;
use crate::store::Cache;
use crate::wire::Heartbeat;
use crate::workers::machine::{Machine, Relayer};
use tokio::time::Instant;

impl Scheduler {
    /// A batch that came from that controller; what to say to its reports, by their place. None: a later leader exists.
    pub fn on_relayed_heartbeats(
        &mut self,
        from: &ControllerId,
        reports: Vec<RelayedHeartbeat>,
        cache: &Cache,
        now: Instant,
    ) -> Option<Vec<(u32, HeartbeatResult)>> {
        let mut results = Vec::new();
        for (place, relayed) in (0u32..).zip(reports) {
            let result = match relayed {
                RelayedHeartbeat::Full(report) => {
                    let report = Heartbeat::from(report);
                    let orders = self.on_heartbeat(&report, cache, now)?.commands;
                    if let Some(machine) = self.fleet.machines.get_mut(&report.machine) {
                        machine.relayed_by = Some(Relayer { controller: from.clone(), at: now });
                    }
                    HeartbeatResult::Accepted(
                        orders.into_iter().map(RelayedCommand::from).collect(),
                    )
                }
                RelayedHeartbeat::Unchanged(unchanged) => self.on_unchanged(from, &unchanged, now),
            };
            if !result.is_default() {
                results.push((place, result));
            }
        }
        Some(results)
    }

    /// A worker reports what it reported before.
    fn on_unchanged(
        &mut self,
        from: &ControllerId,
        unchanged: &UnchangedHeartbeat,
        now: Instant,
    ) -> HeartbeatResult {
        let id = &unchanged.machine;
        let (token, quiet) = (self.term.token, self.settings.heartbeat_interval() * 2);
        let known =
            |machine: &mut Machine| machine.record_unchanged_heartbeat(unchanged, token, now);
        let Some(machine) = self.fleet.machines.get_mut(id) else {
            return HeartbeatResult::ResendInFull;
        };
        let was_silent = machine.time_since_heartbeat(now) > quiet;
        if !known(machine) {
            return HeartbeatResult::ResendInFull;
        }
        // Nothing was placed on it meanwhile.
        self.planning_clock.pass_requested |= was_silent;
        machine.relayed_by = Some(Relayer { controller: from.clone(), at: now });
        self.fleet.zone_last_heartbeat[machine.zone] = Some(now);
        self.statistics.last_heartbeat = now;
        self.statistics.heartbeats += 1;
        let orders = self.commands_in_response(id, now).unwrap_or_default();
        HeartbeatResult::Accepted(orders.into_iter().map(RelayedCommand::from).collect())
    }

    /// The controller that takes a worker's reports, if it passed one on lately.
    pub fn relay_of(&self, id: &MachineId, now: Instant) -> Option<&ControllerId> {
        let relayer = self.fleet.machines.get(id)?.relayed_by.as_ref()?;
        let is_recent = now.saturating_duration_since(relayer.at) < self.heartbeat_late_after();
        is_recent.then_some(&relayer.controller)
    }
}
