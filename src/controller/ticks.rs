//! Periodic work of a controller: status messages, store probes, limits and metrics.

use super::{Controller, age_ms};
use crate::admission::OutgoingSockets;
use crate::api::Answer;
use crate::leadership::delegation::GrantId;
use crate::peers::mesh::PeerMessage;
use crate::scheduler::Scheduler;
use crate::store::STORE_UNAVAILABLE_AFTER;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum pause between two ticks.
pub const TICK_MAX: Duration = Duration::from_millis(200);
/// Minimum pause between two ticks.
pub(super) const TICK_MIN: Duration = Duration::from_millis(10);
/// Pause between two status messages to each peer.
pub const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between two log entries of the same metrics.
pub(super) const METRICS_INTERVAL: Duration = Duration::from_secs(5);
/// Pause between the leader's messages with the numbers of running tasks.
const RUNNING_TASKS_INTERVAL: Duration = STATUS_INTERVAL.saturating_mul(2);
/// Maximum number of jobs in one message with numbers of running tasks.
const RUNNING_TASKS_JOBS_MAX: usize = 1500;
/// Time since the last sync with the store after which this controller checks whether the store still responds.
const PROBE_STORE_AFTER: Duration =
    Duration::from_nanos(STORE_UNAVAILABLE_AFTER.as_nanos() as u64 / 3);
/// Ticket of the sync that checks whether the store still responds.
pub(super) const PROBE_TICKET: u64 = 1;
/// Maximum number of concurrent direct calls to workers while a leader of many machines is behind. A call costs
/// several times as much as a response to a heartbeat, which carries the same commands some seconds later.
pub(super) const WORKER_CALLS_WHEN_BEHIND: usize = 16;
/// Number of concurrent calls to workers that a leader is allowed beyond its own sockets if peers make them.
const RELAYED_CALLS_MAX: usize = 1000;

/// Due times of the periodic work.
#[derive(Debug)]
pub(super) struct Schedule {
    /// Time at which the next tick is expected; a later tick means that this process is late.
    tick_at: Instant,
    status_at: Instant,
    metrics_at: Instant,
    running_tasks_at: Instant,
    pub(super) scheduler_at: Instant,
    /// Earliest time of the next status message through the store.
    pub(super) store_relay_at: Instant,
}

impl Schedule {
    /// Creates a schedule in which all work is due immediately.
    pub(super) fn new(now: Instant) -> Schedule {
        Schedule {
            tick_at: now,
            status_at: now,
            metrics_at: now,
            running_tasks_at: now,
            scheduler_at: now,
            store_relay_at: now,
        }
    }
}

impl Controller {
    /// Returns the time of the next tick. A wake-up costs more than most of the work that it does, so an idle
    /// controller wakes up rarely.
    pub fn next_tick(&mut self, now: Instant) -> Instant {
        let scheduler = self.scheduler.as_ref().and_then(Scheduler::next_due);
        let scheduler = scheduler.map(|at| at.max(self.schedule.scheduler_at));
        let store = self.store.next_due().into_iter();
        let earliest = store.chain(scheduler).chain(self.sharding.next_due()).min();
        let tick_at =
            earliest.map_or(now + TICK_MAX, |at| at.clamp(now + TICK_MIN, now + TICK_MAX));
        self.schedule.tick_at = tick_at;
        tick_at
    }

    pub(super) fn on_tick(&mut self, now: Instant) {
        self.update_limits(now);
        if now >= self.schedule.status_at {
            self.schedule.status_at = now + STATUS_INTERVAL;
            self.send_status(now);
        }
        self.probe_store(now);
        self.log_cluster_format();
        if !self.settings.operator.hold_format {
            self.store.publish_version();
        }
        for Answer { ticket, response } in self.api.tick(&self.store, now) {
            self.respond(ticket, response);
        }
        self.retry_cancellations(now);
        if now >= self.schedule.metrics_at {
            self.schedule.metrics_at = now + METRICS_INTERVAL;
            self.log_metrics(now);
        }
        self.send_running_tasks(now);
        self.resign_if_unreachable(now);
        self.resign_if_drained(now);
    }

    /// Sends the status to each peer, to request a delegated lease from the leader or lease extensions from the peers.
    fn send_status(&mut self, now: Instant) {
        let GrantId { token, number } = self.delegated_lease.acknowledged();
        let status = PeerMessage::PeerStatus {
            from: self.name().clone(),
            seq: self.peer_requests.next_status(now),
            leading: self.scheduler.as_ref().and(self.election.token()),
            store_unavailable: self.store.is_unavailable(now),
            acknowledged_grant: (token, number),
            uptime_ms: age_ms(self.started_at, now),
            answered_for_leader: self.delegated_lease.answered_for_leader(now),
            last_heartbeat_age_ms: self.last_worker_heartbeat.map(|at| age_ms(at, now)),
            capabilities: self.capabilities(),
        };
        self.broadcast(&status);
        self.relay_status(&status, now);
        self.announce_shards(now);
    }

    fn probe_store(&mut self, now: Instant) {
        let is_outdated = |at: Instant| now.saturating_duration_since(at) > PROBE_STORE_AFTER;
        if !self.is_probing_store && self.store.synced_at.is_none_or(is_outdated) {
            self.is_probing_store = true;
            self.store.sync(PROBE_TICKET);
        }
    }

    fn log_cluster_format(&mut self) {
        let format = self.store.layout().format;
        if self.logged_format != Some(format) && self.store.cache.loaded {
            tracing::info!(format, "cluster version");
            self.logged_format = Some(format);
        }
    }

    /// Sends the number of running tasks of each job from the leader to its peers, for their responses to users.
    fn send_running_tasks(&mut self, now: Instant) {
        let Some(scheduler) = &self.scheduler else { return };
        if now < self.schedule.running_tasks_at {
            return;
        }
        self.schedule.running_tasks_at = now + RUNNING_TASKS_INTERVAL;
        let running = scheduler.running();
        let jobs = running.iter().take(RUNNING_TASKS_JOBS_MAX);
        let counts = jobs.map(|(id, tasks)| (id.clone(), *tasks)).collect();
        let token = scheduler.token();
        self.api.running = running;
        self.broadcast(&PeerMessage::RunningTasks { token, counts });
    }

    /// Records the lateness of this process and adjusts the limits of the scheduler.
    pub(super) fn update_limits(&mut self, now: Instant) {
        let lateness = now.saturating_duration_since(self.schedule.tick_at);
        self.limits.load.record_lateness(lateness);
        // This controller is not counted, so that the others can still take all workers if one controller fails.
        let controllers = u32::try_from(self.count_sharding_peers(now)).unwrap_or(u32::MAX);
        self.limits.machine_limit.set_controllers(controllers.max(1));
        let outgoing = self.limits.sockets.outgoing(self.limits.open_connections);
        let machines = self.update_scheduler_limits(outgoing, lateness, now);
        self.limits.observe(machines, lateness, now);
    }

    /// Sets the limits of the scheduler and returns the number of machines that it knows.
    fn update_scheduler_limits(
        &mut self,
        outgoing: OutgoingSockets,
        lateness: Duration,
        now: Instant,
    ) -> usize {
        let Some(scheduler) = &mut self.scheduler else { return 0 };
        let machine_limit = &self.limits.machine_limit;
        scheduler.adjust_pace(lateness, now);
        scheduler.set_max_machines(machine_limit.current());
        let machines = scheduler.machine_count();
        let is_sharded = self.sharding.is_sharded();
        let calls = outgoing.worker_calls + if is_sharded { RELAYED_CALLS_MAX } else { 0 };
        let falls_behind =
            !is_sharded && scheduler.is_behind(now) && machine_limit.is_large_fleet(machines);
        let max_calls = if falls_behind { calls.min(WORKER_CALLS_WHEN_BEHIND) } else { calls };
        scheduler.set_max_direct_calls(max_calls);
        machines
    }

    fn log_metrics(&mut self, now: Instant) {
        let latency = &self.api.latency_ms;
        tracing::info!(
            queue = self.store.queue_length(),
            rejected = self.api.rejected,
            p50_ms = latency.value_at_quantile(0.5),
            p99_ms = latency.value_at_quantile(0.99),
            store_lost = self.store.is_unavailable(now),
            revision = %self.store.cache.rev,
            "request metrics"
        );
        let load = std::mem::take(&mut self.limits.load);
        tracing::info!(
            events = load.events(),
            mean_us = load.mean_us(),
            busy = load.busy_share(METRICS_INTERVAL),
            max_lateness_ms = load.max_lateness().as_millis() as u64,
            machine_limit = self.limits.machine_limit.current(),
            "load metrics"
        );
        self.api.latency_ms.reset();
        if let Some(scheduler) = &self.scheduler {
            scheduler.log_counts(&self.store.cache, now);
        }
    }
}
