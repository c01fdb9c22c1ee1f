//! Leadership: how a controller gains it, acts on it, and gives it up.

use super::Controller;
use super::ticks::TICK_MIN;
use crate::constants::FORMAT_CONTROLLER_LEASES;
use crate::leadership::election::{ElectionEvent, LeadershipLoss};
use crate::scheduler::Scheduler;
use crate::store::Versioned;
use std::time::Duration;
use tokio::time::Instant;

/// Ticket of the sync after which a new leader takes over.
pub(super) const TAKEOVER_TICKET: u64 = 0;
/// How long a worker that is redirected to the leader takes to reach it: PROTOCOL's pause and its connection, with a
/// resend.
const REDIRECT_TIME_MAX: Duration = Duration::from_millis(1200);
/// PROTOCOL's time after which a worker whose controller doesn't respond tries the next.
const WORKER_FAILOVER_TIME: Duration = Duration::from_millis(5000);
/// A leader without heartbeats for this long, or for half a heartbeat interval, resigns if workers reach a peer.
const RESIGN_AFTER_SILENCE: Duration = Duration::from_millis(2000);
/// Count. Known machines below which silence is no reason to resign.
const MIN_MACHINES_TO_RESIGN: usize = 3;
/// Pause between two runs of the scheduler.
const SCHEDULER_INTERVAL: Duration = TICK_MIN.saturating_mul(4);

impl Controller {
    /// Whether this process may act as the leader now. While the store is out of reach, the leader knows of every
    /// earlier cancellation if its own controller lease covers them, since peers acknowledge cancellations only
    /// while that stands; without the lease it needs recent news.
    pub(super) fn holds_leadership(&self, now: Instant) -> bool {
        let knows_cancellations =
            self.controller_lease.knows_cancellations(self.store.synced_at) || self.has_news(now);
        self.election.holds_leadership(knows_cancellations, now)
    }

    pub(super) fn log_leadership(&mut self, leads: bool) {
        if leads == self.held_leadership {
            return;
        }
        self.held_leadership = leads;
        match (self.scheduler.is_some(), leads) {
            (true, true) => tracing::info!("leadership lease gained"),
            (true, false) => tracing::info!("leadership lease lost"),
            (false, _) => {}
        }
    }

    /// Keeps this controller's own lease, and takes part in the election.
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

    /// Keeps this controller's lease at the store, once all controllers know what it means.
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
                self.store.sync_soon(TAKEOVER_TICKET);
            }
            ElectionEvent::Lost(reason) => self.on_leadership_lost(reason, now),
        }
    }

    pub(super) fn on_leadership_lost(&mut self, reason: LeadershipLoss, now: Instant) {
        tracing::info!(%reason, "leadership lost");
        self.scheduler = None;
        self.store.set_leading(false, now);
    }

    /// Gives up leadership.
    pub(super) fn resign(&mut self, now: Instant) {
        self.scheduler = None;
        self.store.set_leading(false, now);
        if let Some(request) = self.election.resign(now) {
            self.store.send_election_request(request, now);
        }
    }

    /// The cache now holds everything that any predecessor committed: the new leader begins to schedule.
    pub(super) fn take_over(&mut self, now: Instant) {
        let Some(token) = self.election.token() else { return };
        let Some(Versioned { value: leader, revision: leader_revision }) = &self.store.cache.leader
        else {
            return;
        };
        if leader.token != token || self.scheduler.is_some() {
            return;
        }
        if self.store.cache.machine_types.value.is_empty() {
            // Without machine types nothing can be placed; they come from the cloud soon.
            self.store.sync_soon(TAKEOVER_TICKET);
            return;
        }
        let cache = &self.store.cache;
        let (settings, wall) = (self.settings.clone(), self.api.wall_clock);
        let mut scheduler = Scheduler::new(token, *leader_revision, settings, cache, wall, now);
        scheduler.on_cancellation_acknowledged(&self.api.acknowledged_cancellations.all(), cache);
        let machines = scheduler.machine_count();
        tracing::info!(fencing_token = %token, machines, "leading");
        self.cloud.begin_leadership(token, now);
        self.scheduler = Some(scheduler);
        self.sharding.begin_leadership();
        // The peers hold heartbeats back until they hear of it.
        self.announce_shards(now);
    }

    /// Lets the leader's scheduler act, if it is due.
    pub(super) fn advance_scheduler(&mut self, now: Instant) {
        if now < self.schedule.scheduler_at {
            return;
        }
        let Some(scheduler) = &mut self.scheduler else { return };
        self.schedule.scheduler_at = now + SCHEDULER_INTERVAL;
        scheduler.tick(&mut self.store, &mut self.cloud, now);
        self.send_worker_calls(now);
    }

    /// A leader that no worker reaches resigns, if workers reach a peer. Silence alone is no reason: where the peers
    /// are down, workers take seconds to find the controller that is left, and once nobody led for so long that every
    /// lease expired.
    pub(super) fn resign_if_cut_off(&mut self, now: Instant) {
        let Some(scheduler) = &self.scheduler else { return };
        let silent_since = scheduler.last_heartbeat().max(self.stalls.resumed_at());
        let silence = now.saturating_duration_since(silent_since);
        let patience = if scheduler.heartbeats() > 0 {
            let usual = RESIGN_AFTER_SILENCE.max(self.settings.heartbeat_interval() / 2);
            usual + self.sharding.extra_patience(now)
        } else {
            // Those that asked its predecessor first give that up.
            RESIGN_AFTER_SILENCE + WORKER_FAILOVER_TIME
        };
        // A worker that reaches a peer is redirected here at once.
        let redirected_by = scheduler.last_heartbeat() + REDIRECT_TIME_MAX;
        let is_missing_workers =
            self.peers.last_worker_heartbeat().is_some_and(|at| at > redirected_by);
        if !is_missing_workers || silence <= patience || self.store.is_unavailable(now) {
            return;
        }
        let known =
            scheduler.fleet.machines.values().filter(|m| m.up_since.is_some() || m.recorded);
        let machines = known.count();
        if machines >= MIN_MACHINES_TO_RESIGN {
            tracing::info!(machines, "workers reach peers and not this leader, resigning");
            self.resign(now);
        }
    }

    /// A drained controller leaves leadership to a peer.
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
