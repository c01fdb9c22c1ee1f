//! Delegated leases: other controllers may answer heartbeats on this leader's behalf.

use crate::ids::{ControllerId, FencingToken, MachineId};
use crate::leadership::delegation::GrantedMachines;
use crate::peers::mesh::PeerMessage;
use crate::scheduler::Scheduler;
use crate::workers::machine::MachineState;
use tokio::time::Instant;

impl Scheduler {
    /// Returns the fencing token with which this controller may still answer a heartbeat after its leader lease has
    /// expired, as peers with a delegated lease may. A successor assumes that such answers are possible for a full
    /// delegation term after the start of its own term.
    pub fn answer_for_leader(&mut self, id: &MachineId, now: Instant) -> Option<FencingToken> {
        let interval = self.settings.heartbeat_interval();
        let machine = self.fleet.machines.get_mut(id)?;
        // A machine that was revoked because it was silent is still answered: this controller takes its own answers
        // into account.
        if machine.time_since_heartbeat(now) > interval && machine.must_lose_lease() {
            return None;
        }
        // If this controller stays the leader, the worker's lease counts from this answer.
        machine.last_answered = now;
        Some(self.term.token)
    }

    /// Creates a delegated lease for another controller, for the heartbeats of all machines but the revoked ones.
    pub fn delegate_leases(
        &mut self,
        to: &ControllerId,
        seq: u64,
        now: Instant,
    ) -> Option<PeerMessage> {
        let number = self.delegations.next_number();
        // Long enough for a worker to find a controller that receives its heartbeats, and short enough for the
        // revocation to be acknowledged before the worker's lease expires.
        let silent_after = self.settings.worker_lease() * 3 / 4;
        let summary = self.fleet_summary(now);
        let unreachable_zones = self.recently_unreachable_zones(&summary, now);
        let mut granted = GrantedMachines::default();
        let interval = self.settings.heartbeat_interval();
        for machine in self.fleet.machines.values_mut() {
            let delegated_answer = self.delegations.last_answered(&machine.id);
            let answered_for_leader =
                delegated_answer.is_some_and(|at| now.saturating_duration_since(at) < silent_after);
            let presumed_dead = machine.time_since_heartbeat(now) > silent_after
                && !unreachable_zones[machine.zone]
                && !answered_for_leader;
            if presumed_dead
                || (machine.time_since_heartbeat(now) > interval && machine.must_lose_lease())
            {
                machine.revoked_since.get_or_insert(number);
                granted.revoked.push(machine.id.clone());
                continue;
            }
            machine.revoked_since = None;
            // The machine may be unreachable from this controller alone, so peers answer it even while they reach the
            // leader.
            machine.delegated = machine.state == MachineState::Up
                && machine.time_since_heartbeat(now) >= interval * 3 / 2;
            if machine.delegated {
                self.direct_calls.dirty_machines.insert(machine.id.clone());
                granted.delegated.push(machine.id.clone());
            }
        }
        self.delegations.grant(to, seq, granted, now)
    }
}
