//! Leadership of a controller: gaining it, running the scheduler, and resigning.

use super::Controller;
use super::ticks::TICK_MIN;
use crate::constants::FORMAT_CONTROLLER_LEASES;
use crate::leadership::election::{ElectionEvent, LeadershipLoss};
use crate::scheduler::Scheduler;
use crate::store::Versioned;
use std::time::Duration;
use tokio::time::Instant;

/// Ticket of the store sync after which a newly elected leader starts to schedule.
pub(super) const LEADERSHIP_SYNC_TICKET: u64 = 0;
/// Maximum time that a redirected worker takes to reach the leader: the pause that PROTOCOL prescribes, and a
/// connection with one retransmission.
const REDIRECT_TIME_MAX: Duration = Duration::from_millis(1200);
/// Time after which a worker tries the next controller if its controller doesn't respond, as PROTOCOL prescribes.
const WORKER_FAILOVER_TIME: Duration = Duration::from_millis(5000);
/// Time without heartbeats, at least half a heartbeat interval, after which a leader resigns if workers reach a peer.
const RESIGN_AFTER_SILENCE: Duration = Duration::from_millis(2000);
/// Number of known machines below which a leader without heartbeats doesn't resign.
const MIN_MACHINES_TO_RESIGN: usize = 3;
/// Pause between two runs of the scheduler.
const SCHEDULER_INTERVAL: Duration = TICK_MIN.saturating_mul(4);

impl Controller {
    /// Returns whether this process may act as the leader now. If the store is unreachable and the leader lease has
    /// expired, the leader must know every earlier cancellation. A controller lease ensures that: while its key exists
    /// in the store, no cancellation is committed without the leader's acknowledgement, and peers that no longer see
    /// the key don't extend the leader lease. Without a controller lease, the leader needs recent data from the store.
    pub(super) fn holds_leadership(&self, now: Instant) -> bool {
        let knows_cancellations =
            self.controller_lease.knows_all_cancellations(self.store.synced_at)
                || self.has_recent_store_data(now);
        self.election.holds_leadership(knows_cancellations, now)
    }

    pub(super) fn log_leadership(&mut self, is_leader: bool) {
        if is_leader == self.logged_leadership {
            return;
        }
        self.logged_leadership = is_leader;
        match (self.scheduler.is_some(), is_leader) {
            (true, true) => tracing::info!("leadership lease gained"),
            (true, false) => tracing::info!("leadership lease lost"),
            (false, _) => {}
        }
    }

    /// Renews this controller's lease, processes cancellations and sends the election request that is due.
    pub(super) fn advance_leadership(&mut self, now: Instant) {
        if let Some(ElectionEvent::Lost(reason)) = self.election.detect_successor(&self.store.cache)
        {
            self.on_leadership_lost(reason, now);
        }
        self.keep_controller_lease(now);
        self.advance_cancellations(now);
        let store_lost = self.store.is_unavailable(now);
        if let Some(request) = self.election.next_request(&self.store.cache, store_lost, now) {
            self.store.send_election_request(request, now);
        }
    }

    /// Obtains and renews this controller's lease at the store, once all controllers understand controller leases.
    fn keep_controller_lease(&mut self, now: Instant) {
        let cache = &self.store.cache;
        self.api.cancellation_acks.observe(cache, now);
        self.api.acknowledged_cancellations.forget_finished(cache);
        if self.store.layout().format < FORMAT_CONTROLLER_LEASES || !cache.loaded {
            return;
        }
        self.api.cancellation_acks.set_own_lease(&self.controller_lease);
        if let Some(request) = self.controller_lease.next_request(cache, now) {
            self.store.send_lease_request(request, now);
        }
    }

    pub(super) fn on_election_event(&mut self, event: ElectionEvent, now: Instant) {
        match event {
            ElectionEvent::Won(token) => {
                tracing::info!(fencing_token = %token, "elected as leader");
                self.store.set_leading(true, now);
                self.store.sync_urgently(LEADERSHIP_SYNC_TICKET);
            }
            ElectionEvent::Lost(reason) => self.on_leadership_lost(reason, now),
        }
    }

    pub(super) fn on_leadership_lost(&mut self, reason: LeadershipLoss, now: Instant) {
        tracing::info!(%reason, "leadership lost");
        self.scheduler = None;
        self.store.set_leading(false, now);
    }

    /// Gives up leadership and revokes the leader lease.
    pub(super) fn resign(&mut self, now: Instant) {
        self.scheduler = None;
        self.store.set_leading(false, now);
        if let Some(request) = self.election.resign(now) {
            self.store.send_election_request(request, now);
        }
    }

    /// Creates the new leader's scheduler, after a sync that brought all commits of its predecessors into the cache.
    pub(super) fn start_leading(&mut self, now: Instant) {
        let Some(token) = self.election.token() else { return };
        let Some(Versioned { value: leader, revision: leader_revision }) = &self.store.cache.leader
        else {
            return;
        };
        if leader.token != token || self.scheduler.is_some() {
            return;
        }
        if self.store.cache.machine_types.value.is_empty() {
            // Nothing can be placed without machine types. The cloud delivers them soon; retries after another sync.
            self.store.sync_urgently(LEADERSHIP_SYNC_TICKET);
            return;
        }
        let cache = &self.store.cache;
        let (settings, wall) = (self.settings.clone(), self.api.wall_clock);
        let mut scheduler = Scheduler::new(token, *leader_revision, settings, cache, wall, now);
        scheduler.on_cancellation_acknowledged(&self.api.acknowledged_cancellations.all(), cache);
        let machines = scheduler.machine_count();
        let revision = self.store.cache.rev;
        tracing::info!(fencing_token = %token, machines, %revision, "leadership started");
        self.cloud.begin_leadership(token, now);
        self.scheduler = Some(scheduler);
        self.sharding.begin_leadership(token);
        // Peers delay heartbeats until they receive the new leader's announcement.
        self.announce_shards(now);
    }

    /// Runs the leader's scheduler and sends its direct calls, if a run is due.
    pub(super) fn advance_scheduler(&mut self, now: Instant) {
        if now < self.schedule.scheduler_at {
            return;
        }
        let Some(scheduler) = &mut self.scheduler else { return };
        self.schedule.scheduler_at = now + SCHEDULER_INTERVAL;
        scheduler.tick(&mut self.store, &mut self.cloud, now);
        self.send_worker_calls(now);
    }

    /// Resigns if workers reach a peer but not this leader. Missing heartbeats alone don't suffice: if the peers are
    /// down, workers take seconds to find the remaining controller, and resigning meanwhile could leave the cluster
    /// without a leader for so long that every worker's lease expires.
    pub(super) fn resign_if_unreachable(&mut self, now: Instant) {
        let Some(scheduler) = &self.scheduler else { return };
        let silent_since = scheduler.last_heartbeat().max(self.stalls.resumed_at());
        let silence = now.saturating_duration_since(silent_since);
        let max_silence = if scheduler.heartbeats() > 0 {
            let base = RESIGN_AFTER_SILENCE.max(self.settings.heartbeat_interval() / 2);
            base + self.sharding.extra_silence_allowed(now)
        } else {
            // Workers that still call the predecessor try another controller after the failover time.
            RESIGN_AFTER_SILENCE + WORKER_FAILOVER_TIME
        };
        // Peers redirect workers at once: a heartbeat at a peer after this deadline shows that they don't arrive here.
        let redirect_deadline = scheduler.last_heartbeat() + REDIRECT_TIME_MAX;
        let workers_reach_only_peers =
            self.peers.last_worker_heartbeat().is_some_and(|at| at > redirect_deadline);
        if !workers_reach_only_peers || silence <= max_silence || self.store.is_unavailable(now) {
            return;
        }
        let known =
            scheduler.fleet.machines.values().filter(|m| m.up_since.is_some() || m.recorded);
        let machines = known.count();
        if machines >= MIN_MACHINES_TO_RESIGN {
            tracing::info!(machines, "workers reach peers but not this leader, resigning");
            self.resign(now);
        }
    }

    /// Resigns and withholds candidacy if this controller is drained and a peer can lead.
    pub(super) fn resign_if_drained(&mut self, now: Instant) {
        if !self.defers_to_peers(now) {
            return;
        }
        if self.scheduler.is_some() {
            tracing::info!("controller drained, resigning");
            self.resign(now);
        }
        self.election.defer_candidacy(now);
    }
}
