//! The operators' settings file (YAML): field names are its keys.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Default share of machines that the heavy basket may hold; the paper's section 8.2.1.
const HEAVY_CAP: f64 = 0.3;
/// Default share of a machine above which a task is heavy.
const HEAVY_THRESHOLD: f64 = 0.5;
/// Default seconds that an empty machine stays in its basket before the pool takes it back.
const HOLD_S: f64 = 0.0;
/// Default seconds that an empty ordinary machine is kept before it is returned to the cloud.
const IDLE_RETURN_S: f64 = 10.0;
/// Default machines' worth of free room kept ready in each zone for work of the highest priority.
const WARM_PER_ZONE: f64 = 0.5;
/// Default share of a zone's machines that is kept free in it, if that is more.
const WARM_SHARE: f64 = 0.015;

/// The operators' settings file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Share of machines that the heavy basket may hold.
    pub heavy_cap: f64,
    /// Share of a machine above which a task is heavy.
    pub heavy_threshold: f64,
    /// Seconds that an empty machine stays in its basket before the pool takes it back.
    pub hold_s: f64,
    /// Seconds that an empty ordinary machine is kept before it is returned to the cloud.
    pub idle_return_s: f64,
    /// Machines' worth of free room kept ready in each zone for work of the highest priority.
    pub warm_per_zone: f64,
    /// Share of a zone's machines that is kept free in it, if that is more.
    pub warm_share: f64,
    /// Whether stored formats that the previous version does not know are held back.
    pub hold_format: bool,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// Opens the operators' paths to whoever shows it; empty: they are shut.
    pub operator_key: Secret,
    /// What learned run times are used for.
    pub estimates: EstimateSettings,
    /// Classes whose jobs run as wide as room allows.
    pub elastic: Vec<ElasticClass>,
    /// Share of its need that each class of each team gets before all others while capacity is scarce.
    pub floor: f64,
    /// Whether heartbeats are divided among the controllers.
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

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// A JSON object a line.
    Json,
}

/// When workers' heartbeats are divided among the controllers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ShardHeartbeats {
    /// Where they are more than one controller should take alone.
    #[default]
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// How wide the jobs of a class run: job arrays only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ElasticClass {
    /// The class.
    pub class: String,
    /// Tasks for which a job is served as any is: machines are rented for them, and they are preempted last.
    #[serde(rename = "least")]
    pub min_width: u64,
    /// Tasks that run at once at the most, in room that has stayed free.
    #[serde(rename = "most")]
    pub max_width: u64,
}

/// A text that neither a log nor `check` shows.
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

/// What learned run times are used for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EstimateSettings {
    /// They are learned, and kept in the key-value store. Without it nothing else here has any effect.
    pub learn: bool,
    /// Jobs that will probably be late are named in the log.
    pub warn: bool,
    /// Due times are passed to dependencies, and what can still start in time is found, by them.
    pub due: bool,
    /// Room for jobs that wait for their dependencies is kept ready by them.
    pub ahead: bool,
    /// A task that is about to end is not preempted.
    pub make_way: bool,
    /// A task that ends before its spot machine is reclaimed is left to end.
    pub drain: bool,
}
