//! Policy for sharding workers' heartbeats over the controllers.

use crate::admission::{REQUEST_COST, SocketBudget};
use crate::settings::{Settings, ShardHeartbeats};

/// Share of one controller's capacity above which heartbeats are sharded.
const SHARD_ABOVE: f64 = 0.6;
/// Share of one controller's capacity at or below which the leader receives all heartbeats again.
const UNSHARD_BELOW: f64 = 0.4;
/// Number of workers above which heartbeats are sharded in any case. Otherwise the leader of a cluster with large
/// controllers would carry several times the load of the others before they receive any heartbeat.
const SHARD_ABOVE_WORKERS: f64 = 1500.0;

/// Policy that shards heartbeats if they are more than one controller should receive alone, by its sockets or by the
/// processor time that they cost.
#[derive(Debug)]
pub struct ShardingPolicy {
    machines_by_sockets: f64,
    machines_by_processor: f64,
    setting: ShardHeartbeats,
    is_needed: bool,
}

impl ShardingPolicy {
    /// Creates the policy of a deployment with these settings.
    pub fn new(settings: &Settings) -> ShardingPolicy {
        let resources = &settings.platform.params.resources;
        let heartbeat_interval = settings.heartbeat_interval();
        ShardingPolicy {
            machines_by_sockets: f64::from(SocketBudget::new(resources).max_machines),
            machines_by_processor: resources.fits(heartbeat_interval, REQUEST_COST),
            setting: settings.operator.share_reports,
            is_needed: false,
        }
    }

    /// Returns whether to shard the heartbeats of that many machines. Sharding stops clearly below where it starts.
    pub fn update(&mut self, machines: usize) -> bool {
        let capacity = self.machines_by_sockets.min(self.machines_by_processor);
        let share = machines as f64 / capacity.clamp(1.0, SHARD_ABOVE_WORKERS / SHARD_ABOVE);
        self.is_needed = share > if self.is_needed { UNSHARD_BELOW } else { SHARD_ABOVE };
        match self.setting {
            ShardHeartbeats::Auto => self.is_needed,
            ShardHeartbeats::Always => true,
            ShardHeartbeats::Never => false,
        }
    }
}
