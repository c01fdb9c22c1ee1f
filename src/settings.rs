//! Settings: the platform's file (JSON) and the operators' file (YAML), both validated.

mod objectives;
mod operator;
mod platform;
mod validation;

#[cfg(test)]
pub(crate) mod fixtures;

pub use operator::{
    ElasticClass, EstimateSettings, LogFormat, OperatorSettings, Secret, ShardHeartbeats,
};
pub use platform::{
    CloudLimits, ClusterParams, EffectiveStoreLimits, ExternalServices, Objective, PeerSettings,
    PlatformSettings, Resources, StoreParams, TeamSettings, UpcomingStoreParams, WorkerTiming,
};
pub use validation::{SettingsFault, SettingsFaults};

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The platform's file is not what it should be.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The operators' file is not what it should be.
    #[error("operator settings: {0}")]
    Yaml(#[from] serde_yaml_ng::Error),
    /// Values are not allowed.
    #[error("{0}")]
    Invalid(SettingsFaults),
}

/// All settings of a controller.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The platform's file.
    pub platform: PlatformSettings,
    /// The operators' file.
    pub operator: OperatorSettings,
}

impl Settings {
    /// Reads both files; without an operators' file its defaults hold.
    pub fn read(platform: &Path, operator: Option<&Path>) -> Result<Settings, SettingsError> {
        let read = |path: &Path| {
            std::fs::read_to_string(path)
                .map_err(|source| SettingsError::Read { path: path.to_owned(), source })
        };
        let operator = operator.map(read).transpose()?;
        Settings::parse(&read(platform)?, operator.as_deref())
    }

    /// Parses and validates the contents of both files.
    pub fn parse(platform: &str, operator: Option<&str>) -> Result<Settings, SettingsError> {
        let platform: PlatformSettings = serde_json::from_str(platform)?;
        let operator = match operator {
            Some(text) if !text.trim().is_empty() => serde_yaml_ng::from_str(text)?,
            _ => OperatorSettings::default(),
        };
        let faults = validation::validate(&platform, &operator);
        if faults.is_empty() {
            Ok(Settings { platform, operator })
        } else {
            Err(SettingsError::Invalid(SettingsFaults(faults)))
        }
    }

    /// How wide jobs of the class run, if they are elastic.
    pub fn elastic_class(&self, class: &str) -> Option<&ElasticClass> {
        self.operator.elastic.iter().find(|elastic| elastic.class == class)
    }

    /// How long a worker's lease lasts after an answer.
    pub fn worker_lease(&self) -> Duration {
        Duration::from_secs_f64(self.platform.params.workers.lease_s)
    }

    /// Time between two heartbeats of a worker.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.platform.params.workers.report_s)
    }
}
