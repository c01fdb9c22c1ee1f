//! Which other controllers may answer heartbeats on this leader's behalf.

use crate::ids::{ControllerId, FencingToken, MachineId};
use crate::leadership::delegation::GrantedMachines;
use crate::peers::mesh::PeerMessage;
use crate::scheduler::Scheduler;
use crate::workers::machine::MachineState;
use tokio::time::Instant;
impl Scheduler {
    /// The token to answer a heartbeat with once our right to act has ended, as those answer to whom we
    /// gave grants. A successor reckons with such answers for a full term from its start.
    pub fn answer_for_leader(&mut self, id: &MachineId, now: Instant) -> Option<FencingToken> {
        let every = self.settings.heartbeat_interval();
        let machine = self.fleet.machines.get_mut(id)?;
        // What is revoked since it was silent is none the less answered here: we reckon with our own answers.
        if machine.time_since_heartbeat(now) > every && machine.must_lose_lease() {
            return None;
        }
        // Should we lead on, its lease counts from here.
        machine.last_answered = now;
        Some(self.term.token)
    }

    /// A grant for another controller: it may answer for all machines that we hear.
    pub fn grant(&mut self, to: &ControllerId, seq: u64, now: Instant) -> Option<PeerMessage> {
        let number = self.delegations.next_number();
        // Late enough for a worker to find a controller that hears it, and soon enough for the bar
        // to be acknowledged before its lease is over.
        let quiet = self.settings.worker_lease() * 3 / 4;
        let survey = self.fleet_summary(now);
        let cut_off = self.recently_unreachable_zones(&survey, now);
        let mut granted = GrantedMachines::default();
        let every = self.settings.heartbeat_interval();
        for machine in self.fleet.machines.values_mut() {
            let told = self.delegations.last_answered(&machine.id);
            let answered_for_leader =
                told.is_some_and(|at| now.saturating_duration_since(at) < quiet);
            let dead = machine.time_since_heartbeat(now) > quiet
                && !cut_off[machine.zone]
                && !answered_for_leader;
            if dead || (machine.time_since_heartbeat(now) > every && machine.must_lose_lease()) {
                machine.revoked_since.get_or_insert(number);
                granted.revoked.push(machine.id.clone());
                continue;
            }
            machine.revoked_since = None;
            // Perhaps out of our reach alone: whoever hears it answers it, though we are near.
            machine.delegated = machine.state == MachineState::Up
                && machine.time_since_heartbeat(now) >= every * 3 / 2;
            if machine.delegated {
                self.direct_calls.dirty_machines.insert(machine.id.clone());
                granted.delegated.push(machine.id.clone());
            }
        }
        self.delegations.grant(to, seq, granted, now)
    }
}
