//! Validation of settings: reports every fault, with the key and the allowed range.

use super::operator::OperatorSettings;
use super::platform::{ClusterParams, PlatformSettings, StoreParams};
use crate::constants::MAX_TASKS_PER_JOB;
use crate::ids::ControllerId;
use std::fmt;

/// Minimum length of the operators' key, in bytes. A shorter key can be guessed.
const MIN_KEY_BYTES: f64 = 16.0;
/// Maximum length of the operators' key, in bytes. A longer key is taken for a mistake.
const MAX_KEY_BYTES: f64 = 200.0;

/// Fault in the settings.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsFault {
    /// A value is outside its allowed range.
    #[error("{key}: {value} is not between {min} and {max}")]
    OutOfRange {
        /// Path of the settings key.
        key: String,
        /// Value in the settings.
        value: f64,
        /// Smallest allowed value.
        min: f64,
        /// Largest allowed value.
        max: f64,
    },
    /// The list of zones is empty.
    #[error("params.zones: at least one zone is required")]
    NoZones,
    /// The controller is listed among its own peers.
    #[error("others: lists this controller itself, {0}")]
    ListsItselfAsPeer(ControllerId),
}

/// All faults of a pair of settings files, displayed one per line.
#[derive(Debug, Clone, PartialEq)]
pub struct SettingsFaults(pub Vec<SettingsFault>);

impl fmt::Display for SettingsFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

pub(super) fn validate(
    platform: &PlatformSettings,
    operator: &OperatorSettings,
) -> Vec<SettingsFault> {
    let mut checks = RangeChecks::default();
    checks.params(&platform.params);
    checks.operator(operator);
    checks.teams(&platform.params);
    let mut faults = checks.faults;
    if platform.params.zones.is_empty() {
        faults.push(SettingsFault::NoZones);
    }
    if platform.others.iter().any(|peer| peer.host_name == platform.host_name) {
        faults.push(SettingsFault::ListsItselfAsPeer(platform.host_name.clone()));
    }
    faults
}

/// Faults found by range checks.
#[derive(Default)]
struct RangeChecks {
    faults: Vec<SettingsFault>,
}

impl RangeChecks {
    fn check(&mut self, key: impl Into<String>, value: f64, min: f64, max: f64) {
        // Written so that NaN, which compares false with everything, is out of range.
        if !(value >= min && value <= max) {
            self.faults.push(SettingsFault::OutOfRange { key: key.into(), value, min, max });
        }
    }

    fn params(&mut self, params: &ClusterParams) {
        self.check("params.workers.report_s", params.workers.report_s, 0.1, 600.0);
        self.check("params.workers.lease_s", params.workers.lease_s, 1.0, 3600.0);
        self.check("params.workers.cancel_s", params.workers.cancel_s, 1.0, 3600.0);
        self.store(&params.state);
        self.check("params.cloud.rps", params.cloud.rps, 0.1, 1e5);
        self.check("params.cloud.list_lag_s", params.cloud.list_lag_s, 0.0, 600.0);
        let resources = &params.resources;
        self.check("params.resources.cpu", resources.cpu, 0.0, 1e4);
        self.check("params.resources.memory_mb", resources.memory_mb, 0.0, 1e9);
        self.check("params.resources.max_sockets", resources.max_sockets as f64, 20.0, 1e6);
    }

    fn store(&mut self, state: &StoreParams) {
        let next = state.next.clone().unwrap_or_default();
        let limits = [
            ("", state.rps, state.write_rps, state.value_kb, state.txn_ops),
            (
                "next.",
                next.rps.unwrap_or(state.rps),
                next.write_rps.unwrap_or(state.write_rps),
                next.value_kb.unwrap_or(state.value_kb),
                next.txn_ops.unwrap_or(state.txn_ops),
            ),
        ];
        for (prefix, rps, write_rps, value_kb, txn_ops) in limits {
            self.check(format!("params.state.{prefix}rps"), rps, 1.0, 1e6);
            self.check(format!("params.state.{prefix}write_rps"), write_rps, 1.0, 1e6);
            self.check(format!("params.state.{prefix}value_kb"), value_kb, 2.0, 60.0);
            self.check(format!("params.state.{prefix}txn_ops"), txn_ops as f64, 2.0, 1e5);
        }
    }

    fn operator(&mut self, operator: &OperatorSettings) {
        self.check("heavy_cap", operator.heavy_cap, 0.0, 1.0);
        self.check("heavy_threshold", operator.heavy_threshold, 0.0, 1.0);
        self.check("hold_s", operator.hold_s, 0.0, 3600.0);
        self.check("idle_return_s", operator.idle_return_s, 0.0, 86_400.0);
        self.check("warm_per_zone", operator.warm_per_zone, 0.0, 1000.0);
        self.check("warm_share", operator.warm_share, 0.0, 1.0);
        self.check("floor", operator.floor, 0.0, 1.0);
        let key_bytes = operator.operator_key.0.len();
        if key_bytes > 0 {
            let key = "operator_key (length in bytes)";
            self.check(key, key_bytes as f64, MIN_KEY_BYTES, MAX_KEY_BYTES);
        }
        let max_tasks = MAX_TASKS_PER_JOB as f64;
        for elastic in &operator.elastic {
            let class = &elastic.class;
            let (least, most) = (elastic.min_width as f64, elastic.max_width as f64);
            self.check(format!("elastic {class} least"), least, 1.0, max_tasks);
            self.check(format!("elastic {class} most"), most, least, max_tasks);
            let count = operator.elastic.iter().filter(|other| other.class == *class).count();
            let key = format!("elastic {class} (number of entries)");
            self.check(key, count as f64, 1.0, 1.0);
        }
    }

    fn teams(&mut self, params: &ClusterParams) {
        for team in &params.teams {
            let name = &team.name;
            self.check(format!("team {name} cpus"), team.cpus, 0.0, 1e9);
            self.check(format!("team {name} cpus_max"), team.cpus_max, 0.0, 1e9);
            self.check(format!("team {name} gpus"), team.gpus, 0.0, 1e9);
            self.check(format!("team {name} gpus_max"), team.gpus_max, 0.0, 1e9);
        }
    }
}
