//! Reports that other controllers passed on.
//!
//! Each is taken in and answered as if the worker had sent it here, at the time at which it arrives here. Nothing
//! about a worker is decided anywhere else.

use crate::ids::{ControllerId, MachineId};
use crate::peers::heartbeat_relay::{RelayedCommand, RelayedHeartbeat, Verdict};
use crate::scheduler::Scheduler;
use crate::store::Cache;
use crate::wire::Heartbeat;
use crate::workers::machine::Machine;
use tokio::time::Instant;

impl Scheduler {
    /// A batch that came from that controller; what to say to its reports, by their place. None: a later leader exists.
    pub fn on_relayed(
        &mut self,
        from: &ControllerId,
        reports: Vec<RelayedHeartbeat>,
        cache: &Cache,
        now: Instant,
    ) -> Option<Vec<(u32, Verdict)>> {
        let mut verdicts = Vec::new();
        for (place, relayed) in (0u32..).zip(reports) {
            let verdict = match relayed {
                RelayedHeartbeat::Full(report) => {
                    let report = Heartbeat::from(report);
                    let orders = self.on_report(&report, cache, now)?.orders;
                    if let Some(machine) = self.fleet.machines.get_mut(&report.machine) {
                        machine.relayed_by = Some((from.clone(), now));
                    }
                    Verdict::CommandBatch(orders.into_iter().map(RelayedCommand::from).collect())
                }
                RelayedHeartbeat::Same { machine, agent_epoch, before, seq } => {
                    self.on_same(from, &machine, (agent_epoch, before, seq), now)
                }
            };
            if verdict != Verdict::CommandBatch(Vec::new()) {
                verdicts.push((place, verdict));
            }
        }
        Some(verdicts)
    }

    /// A worker reports what it reported before.
    fn on_same(
        &mut self,
        from: &ControllerId,
        id: &MachineId,
        (agent_epoch, before, seq): (u64, u64, u64),
        now: Instant,
    ) -> Verdict {
        let (token, quiet) = (self.term.token, self.settings.report_every() * 2);
        let known = |machine: &mut Machine| machine.hear_same(agent_epoch, before, seq, token, now);
        let Some(machine) = self.fleet.machines.get_mut(id) else { return Verdict::SendFull };
        let was_silent = machine.silent_for(now) > quiet;
        if !known(machine) {
            return Verdict::SendFull;
        }
        // Nothing was placed on it meanwhile.
        self.planning_clock.pass_requested |= was_silent;
        machine.relayed_by = Some((from.clone(), now));
        self.fleet.zone_last_heartbeat[machine.zone] = Some(now);
        self.statistics.last_heartbeat = now;
        self.statistics.heartbeats += 1;
        let orders = self.orders_in_answer(id, now).unwrap_or_default();
        Verdict::CommandBatch(orders.into_iter().map(RelayedCommand::from).collect())
    }

    /// The controller that takes a worker's reports, if it passed one on lately.
    pub fn relay_of(&self, id: &MachineId, now: Instant) -> Option<&ControllerId> {
        let (name, at) = self.fleet.machines.get(id)?.relayed_by.as_ref()?;
        (now.saturating_duration_since(*at) < self.late_after()).then_some(name)
    }
}
