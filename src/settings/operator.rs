//! The operators' settings file (YAML). Field names are its keys.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Default maximum share of machines in the heavy basket, from section 8.2.1 of the GRMU paper.
const HEAVY_CAP: f64 = 0.3;
/// Default share of the largest machine's CPUs or memory above which a task without GPUs is heavy.
const HEAVY_THRESHOLD: f64 = 0.5;
/// Default time, in seconds, that an empty machine stays in its basket before it returns to the pool.
const HOLD_S: f64 = 0.0;
/// Default time, in seconds, that an empty ordinary machine is kept before it is terminated.
const IDLE_RETURN_S: f64 = 10.0;
/// Default free capacity kept in each zone for tasks of the highest priority, in machines.
const WARM_PER_ZONE: f64 = 0.5;
/// Default free capacity kept in each zone as a share of the zone's machines, if that is more than [`WARM_PER_ZONE`].
const WARM_SHARE: f64 = 0.015;

/// The operators' settings file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Maximum share of machines in the heavy basket.
    pub heavy_cap: f64,
    /// Share of the largest machine's CPUs or memory above which a task without GPUs is heavy.
    pub heavy_threshold: f64,
    /// Time, in seconds, that an empty machine stays in its basket before it returns to the pool.
    pub hold_s: f64,
    /// Seconds that an empty ordinary machine is kept. For a spot machine they are multiplied by the price ratio.
    pub idle_return_s: f64,
    /// Free capacity kept in each zone for tasks of the highest priority, in machines.
    pub warm_per_zone: f64,
    /// Free capacity kept in each zone as a share of the zone's machines, if that is more than `warm_per_zone`.
    pub warm_share: f64,
    /// If true, this controller does not announce that it reads the newest stored format. While any controller has
    /// this setting, no controller writes a format that the previous version cannot read.
    pub hold_format: bool,
    /// Format of log lines on standard error.
    pub log_format: LogFormat,
    /// Key that authenticates requests to the operators' paths. If it is empty, these paths do not exist.
    pub operator_key: Secret,
    /// Uses of learned run times.
    pub estimates: EstimateSettings,
    /// Classes whose job arrays run as wide as free capacity allows, within the limits of each class.
    pub elastic: Vec<ElasticClass>,
    /// Share of the demand of each class of each team that is allocated before all other demand during scarcity.
    pub floor: f64,
    /// Condition for sharding heartbeats over the controllers.
    pub share_reports: ShardHeartbeats,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            heavy_cap: HEAVY_CAP,
            heavy_threshold: HEAVY_THRESHOLD,
            hold_s: HOLD_S,
            idle_return_s: IDLE_RETURN_S,
            warm_per_zone: WARM_PER_ZONE,
            warm_share: WARM_SHARE,
            hold_format: false,
            log_format: LogFormat::Text,
            share_reports: ShardHeartbeats::Auto,
            operator_key: Secret::default(),
            estimates: EstimateSettings::default(),
            elastic: Vec::new(),
            floor: 0.0,
        }
    }
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Condition under which workers' heartbeats are sharded over the controllers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ShardHeartbeats {
    /// Sharded if they are more than one controller should receive alone, by its sockets or processor.
    #[default]
    Auto,
    /// Always sharded.
    Always,
    /// Never sharded: the leader receives all heartbeats.
    Never,
}

/// Elastic widths of the job arrays of a class. Services and gangs are never elastic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ElasticClass {
    /// Class of the job arrays.
    pub class: String,
    /// Number of tasks scheduled like those of other jobs: machines are rented for them, and they are preempted last.
    #[serde(rename = "least")]
    pub min_width: u64,
    /// Maximum number of tasks that run at once. Tasks beyond `least` run only in capacity that has stayed free.
    #[serde(rename = "most")]
    pub max_width: u64,
}

/// Text that appears neither in logs nor in the output of `check`.
#[derive(Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(pub String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.is_empty() { "(none)" } else { "(hidden)" })
    }
}

impl Serialize for Secret {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{self:?}"))
    }
}

/// Uses of run times that are learned from finished tasks. Each field enables one of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EstimateSettings {
    /// Run times are learned and kept in the key-value store. Without this the other fields have no effect.
    pub learn: bool,
    /// Jobs that will probably be late cause warnings: a log line, a metric and the operators' path.
    pub warn: bool,
    /// Learned run times serve to pass due times on to dependencies and to find jobs that can still start in time.
    pub due: bool,
    /// Learned run times serve to reserve capacity for jobs whose dependencies will soon have completed.
    pub ahead: bool,
    /// Tasks that will soon end are not preempted.
    pub make_way: bool,
    /// A task that ends before its spot machine is reclaimed runs to its end.
    pub drain: bool,
}
