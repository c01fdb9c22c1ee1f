//! Settings of a controller, read from the platform's file (JSON) and the operators' file (YAML) and validated.

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

/// Error that makes settings unusable.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Read {
        /// Path of the unreadable file.
        path: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// The platform's file is not JSON of the expected form.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The operators' file is not YAML of the expected form.
    #[error("operator settings: {0}")]
    Yaml(#[from] serde_yaml_ng::Error),
    /// The files are well-formed but contain forbidden values.
    #[error("{0}")]
    Invalid(SettingsFaults),
}

/// All settings of a controller.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Settings from the platform's file.
    pub platform: PlatformSettings,
    /// Settings from the operators' file, or their defaults.
    pub operator: OperatorSettings,
}

impl Settings {
    /// Reads and validates both files. Without an operators' file its defaults apply.
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

    /// Returns the elastic widths of jobs of the class, if the class is elastic.
    pub fn elastic_class(&self, class: &str) -> Option<&ElasticClass> {
        self.operator.elastic.iter().find(|elastic| elastic.class == class)
    }

    /// Returns the duration of a worker's lease, which each response to a heartbeat renews.
    pub fn worker_lease(&self) -> Duration {
        Duration::from_secs_f64(self.platform.params.workers.lease_s)
    }

    /// Returns the time between two heartbeats of a worker.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.platform.params.workers.report_s)
    }
}
