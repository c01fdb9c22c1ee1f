//! What the platform hands over (JSON) and what operators may tune (YAML), both checked.

use crate::constants::MAX_TASKS_PER_JOB;
use crate::ids::{Amount, ControllerId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Share of the state service's limit of a value that we fill: the rest is for its own counting.
pub const VALUE_SHARE: f64 = 0.9;
/// Bytes. An operators' key that is shorter can be guessed, one that is longer is a mistake.
pub const KEY_LEAST: f64 = 16.0;
pub const KEY_MOST: f64 = 200.0;
/// Default share of machines that the heavy basket may hold; the paper's section 8.2.1.
pub const HEAVY_CAP: f64 = 0.3;
/// Default share of a machine above which a task is heavy.
pub const HEAVY_THRESHOLD: f64 = 0.5;
/// Default seconds that an empty machine stays in its basket before the pool takes it back.
pub const HOLD_S: f64 = 0.0;
/// Default seconds that an empty ordinary machine is kept before it is returned to the cloud.
pub const IDLE_RETURN_S: f64 = 10.0;
/// Default machines' worth of free room kept ready in each zone for critical work.
pub const WARM_PER_ZONE: f64 = 0.5;
/// Default share of a zone's machines that is kept free in it, if that is more.
pub const WARM_SHARE: f64 = 0.015;

#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    pub host_name: ControllerId,
    #[serde(default)]
    pub location: String,
    pub peer_addr: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct External {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// The team's limit. Zero stands for no limit: guests come with neither guarantee nor limit,
    /// and taking it for a limit of nothing refused every job of theirs for good.
    pub fn most(&self) -> Amount {
        let Amount { cpu, gpu, .. } = Amount::room(self.cpus_max, self.gpus_max, 0.0);
        let limit = |most: u64| if most == 0 { u64::MAX } else { most };
        Amount { cpu: limit(cpu), gpu: limit(gpu), ram: u64::MAX }
    }
    pub fn guarantee(&self) -> Amount {
        Amount { ram: u64::MAX, ..Amount::room(self.cpus, self.gpus, 0.0) }
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Limits that come into force at some moment that nobody is told.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Those of the state service's limits that will change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// The limits that this program keeps to, from its start: in each dimension the lesser of what is
/// in force and what will be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeptLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub txn_ops: usize,
    /// Bytes of a value, with room to spare.
    pub value_max: usize,
    /// The same by the limit in force. What the version before this one has to read cannot be made
    /// smaller, and no limit changes while it serves.
    pub first_max: usize,
    /// Tasks to a chunk of the first layout of done marks ([`crate::schema::records`]): a mark takes a quarter
    /// of a byte in hexadecimal, and a quarter of the value is planned for them. The version before
    /// this one reckons so, and does not know of limits to come.
    pub chunk: u32,
}

impl StateLimits {
    pub fn kept(&self) -> KeptLimits {
        let next = self.next.clone().unwrap_or_default();
        let least = |now: f64, next: Option<f64>| next.map_or(now, |next| next.min(now));
        let bytes = |kb: f64| (kb * 1024.0 * VALUE_SHARE) as usize;
        KeptLimits {
            rps: least(self.rps, next.rps),
            write_rps: least(self.write_rps, next.write_rps),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |next| next.min(self.txn_ops)),
            value_max: bytes(least(self.value_kb, next.value_kb)),
            first_max: bytes(self.value_kb),
            chunk: (self.value_kb * 1024.0) as u32,
        }
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Resources {
    /// Share of a core; zero where the platform names no limit.
    #[serde(default)]
    pub cpu: f64,
    #[serde(default)]
    pub memory_mb: f64,
    pub max_sockets: usize,
}

impl Resources {
    /// How many times so long a piece of work may take as the allowance has in it: `each` is what one takes of
    /// a whole core.
    pub fn fits(&self, within: Duration, each: Duration) -> f64 {
        let cores = if self.cpu > 0.0 { self.cpu } else { 1.0 };
        within.as_secs_f64() * cores / each.as_secs_f64()
    }
}

/// An aim, as the platform restates it.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub resources: Resources,
}

/// The platform's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    pub host_name: ControllerId,
    #[serde(default)]
    pub location: String,
    pub listen: SocketAddr,
    pub mesh_addr: SocketAddr,
    #[serde(default)]
    pub others: Vec<Peer>,
    pub external: External,
    pub params: Params,
}

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    Text,
    Json,
}

/// The operators' own settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    pub heavy_cap: f64,
    pub heavy_threshold: f64,
    pub hold_s: f64,
    pub idle_return_s: f64,
    pub warm_per_zone: f64,
    pub warm_share: f64,
    pub hold_format: bool,
    pub log_format: LogFormat,
    /// Opens the operators' paths to whoever shows it; empty: they are shut.
    pub operator_key: Secret,
    pub estimates: Estimates,
    /// Classes whose jobs run as wide as room allows.
    pub elastic: Vec<ElasticClass>,
    /// Share of what each class of each team needs that it gets before all others while room is scarce.
    pub floor: f64,
    /// Whether other controllers take workers' reports and pass them on to the leader.
    pub share_reports: ShardHeartbeats,
}

/// When workers' reports are shared out among the controllers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ShardHeartbeats {
    /// Where they are more than one controller should take alone.
    #[default]
    Auto,
    Always,
    Never,
}

/// How wide the jobs of a class run: arrays only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ElasticClass {
    pub class: String,
    /// Tasks for which a job is served as any is: machines are rented for them, and they make way last.
    pub least: u64,
    /// Tasks that run at once at the most, in room that has stayed free.
    pub most: u64,
}

/// What is shown to nobody: not in a log, nor by `check`.
#[derive(Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(pub String);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
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
pub struct Estimates {
    /// They are learned, and kept at the state service. Without it nothing else here has any effect.
    pub learn: bool,
    /// Jobs that will probably be late are told of.
    pub warn: bool,
    /// Due times are carried back, and what can still start in time is told, by them.
    pub due: bool,
    /// Room for jobs that wait for others is kept ready by them.
    pub ahead: bool,
    /// A task that is about to end is not stopped for urgent work.
    pub make_way: bool,
    /// A task that ends before a spot machine is taken is left to end.
    pub drain: bool,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
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
            estimates: Estimates::default(),
            elastic: Vec::new(),
            floor: 0.0,
        }
    }
}

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{0}: cannot be read: {1}")]
    Read(String, std::io::Error),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("operator settings: {0}")]
    Yaml(#[from] serde_yaml_ng::Error),
    #[error("{}", .0.join("\n"))]
    Faults(Vec<String>),
}

#[derive(Debug, Clone)]
pub struct Settings {
    pub platform: Platform,
    pub operator: Operator,
}

impl Settings {
    pub fn read(platform: &Path, operator: Option<&Path>) -> Result<Settings, SettingsError> {
        let text = |path: &Path| {
            std::fs::read_to_string(path)
                .map_err(|error| SettingsError::Read(path.display().to_string(), error))
        };
        let operator = operator.map(text).transpose()?;
        Settings::parse(&text(platform)?, operator.as_deref())
    }

    pub fn parse(platform: &str, operator: Option<&str>) -> Result<Settings, SettingsError> {
        let platform: Platform = serde_json::from_str(platform)?;
        let operator = match operator {
            Some(text) if !text.trim().is_empty() => serde_yaml_ng::from_str(text)?,
            _ => Operator::default(),
        };
        let settings = Settings { platform, operator };
        let faults = settings.faults();
        if faults.is_empty() { Ok(settings) } else { Err(SettingsError::Faults(faults)) }
    }

    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut range = |key: &str, value: f64, low: f64, high: f64| {
            if !(value >= low && value <= high) {
                faults.push(format!("{key}: {value} is not between {low} and {high}"));
            }
        };
        let p = &self.platform.params;
        range("params.workers.report_s", p.workers.report_s, 0.1, 600.0);
        range("params.workers.lease_s", p.workers.lease_s, 1.0, 3600.0);
        range("params.workers.cancel_s", p.workers.cancel_s, 1.0, 3600.0);
        range("params.state.rps", p.state.rps, 1.0, 1e6);
        range("params.state.write_rps", p.state.write_rps, 1.0, 1e6);
        range("params.state.value_kb", p.state.value_kb, 2.0, 60.0);
        range("params.state.txn_ops", p.state.txn_ops as f64, 2.0, 1e5);
        let next = p.state.next.clone().unwrap_or_default();
        range("params.state.next.rps", next.rps.unwrap_or(p.state.rps), 1.0, 1e6);
        let write_rps = next.write_rps.unwrap_or(p.state.write_rps);
        range("params.state.next.write_rps", write_rps, 1.0, 1e6);
        range("params.state.next.value_kb", next.value_kb.unwrap_or(p.state.value_kb), 2.0, 60.0);
        let txn_ops = next.txn_ops.unwrap_or(p.state.txn_ops);
        range("params.state.next.txn_ops", txn_ops as f64, 2.0, 1e5);
        range("params.cloud.rps", p.cloud.rps, 0.1, 1e5);
        range("params.cloud.list_lag_s", p.cloud.list_lag_s, 0.0, 600.0);
        range("params.resources.cpu", p.resources.cpu, 0.0, 1e4);
        range("params.resources.memory_mb", p.resources.memory_mb, 0.0, 1e9);
        range("params.resources.max_sockets", p.resources.max_sockets as f64, 20.0, 1e6);
        let o = &self.operator;
        range("heavy_cap", o.heavy_cap, 0.0, 1.0);
        range("heavy_threshold", o.heavy_threshold, 0.0, 1.0);
        range("hold_s", o.hold_s, 0.0, 3600.0);
        range("idle_return_s", o.idle_return_s, 0.0, 86_400.0);
        range("warm_per_zone", o.warm_per_zone, 0.0, 1000.0);
        range("warm_share", o.warm_share, 0.0, 1.0);
        range("floor", o.floor, 0.0, 1.0);
        let key = o.operator_key.0.len();
        if key > 0 {
            range("operator_key (its length in bytes)", key as f64, KEY_LEAST, KEY_MOST);
        }
        for elastic in &o.elastic {
            let name = &elastic.class;
            range(
                &format!("elastic {name} least"),
                elastic.least as f64,
                1.0,
                MAX_TASKS_PER_JOB as f64,
            );
            let least = elastic.least as f64;
            range(
                &format!("elastic {name} most"),
                elastic.most as f64,
                least,
                MAX_TASKS_PER_JOB as f64,
            );
            let same = o.elastic.iter().filter(|other| other.class == *name).count();
            range(&format!("elastic {name} (how often it is named)"), same as f64, 1.0, 1.0);
        }
        for team in &p.teams {
            range(&format!("team {} cpus", team.name), team.cpus, 0.0, 1e9);
            range(&format!("team {} cpus_max", team.name), team.cpus_max, 0.0, 1e9);
            range(&format!("team {} gpus", team.name), team.gpus, 0.0, 1e9);
            range(&format!("team {} gpus_max", team.name), team.gpus_max, 0.0, 1e9);
        }
        if p.zones.is_empty() {
            faults.push("params.zones: at least one zone is needed".into());
        }
        if self.platform.others.iter().any(|peer| peer.host_name == self.platform.host_name) {
            faults.push(format!("others: names this controller, {}", self.platform.host_name));
        }
        faults
    }

    /// How wide jobs of the class run, if they are elastic.
    pub fn elastic(&self, class: &str) -> Option<&ElasticClass> {
        self.operator.elastic.iter().find(|elastic| elastic.class == class)
    }

    /// Whether any aim is set for the class.
    pub fn has_aim(&self, class: &str) -> bool {
        self.platform.params.objectives.iter().any(|o| o.class.as_deref() == Some(class))
    }

    /// The aim at the end of a class's jobs, in seconds after they were accepted.
    pub fn finish_within(&self, class: &str) -> Option<f64> {
        let objectives = self.platform.params.objectives.iter();
        let ours = objectives.filter(|o| o.kind == "finished" && o.class.as_deref() == Some(class));
        ours.filter_map(|o| o.within_s).min_by(f64::total_cmp)
    }

    /// Whether jobs of the class are to be done by their due time.
    pub fn has_deadline(&self, class: &str) -> bool {
        let mut objectives = self.platform.params.objectives.iter();
        objectives.any(|o| o.kind == "deadline" && o.class.as_deref() == Some(class))
    }

    /// The aims at start of a class, in seconds.
    pub fn waits(&self, class: &str) -> impl Iterator<Item = f64> {
        self.platform
            .params
            .objectives
            .iter()
            .filter(move |o| o.kind == "wait" && o.class.as_deref() == Some(class))
            .filter_map(|o| o.within_s)
    }

    /// The aim at start of work within a guarantee, in seconds.
    pub fn guarantee_wait(&self) -> Option<f64> {
        let objectives = &self.platform.params.objectives;
        objectives.iter().filter(|o| o.kind == "guarantee").find_map(|o| o.within_s)
    }

    /// How many of its class's aims at start a job has missed that has waited this long.
    pub fn missed_waits(&self, class: &str, waited: Duration) -> usize {
        self.waits(class).filter(|within_s| waited.as_secs_f64() > *within_s).count()
    }

    /// The tightest aim at start of a class.
    pub fn tightest_wait(&self, class: &str) -> Option<f64> {
        self.waits(class).min_by(f64::total_cmp)
    }

    pub fn worker_lease(&self) -> Duration {
        Duration::from_secs_f64(self.platform.params.workers.lease_s)
    }
    pub fn report_every(&self) -> Duration {
        Duration::from_secs_f64(self.platform.params.workers.report_s)
    }
}

/// Plain settings without peers for tests here and elsewhere, with these teams as JSON.
#[cfg(test)]
pub(crate) fn plain(teams: &str) -> Settings {
    let text = r#"{"host_name":"n","listen":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
        "external":{"cloud":"127.0.0.1:8","state":"127.0.0.1:9"},
        "params":{"zones":["a","b"],"teams":TEAMS,
        "workers":{"report_s":2.0,"lease_s":14.0,"cancel_s":32.0},
        "state":{"rps":150.0,"write_rps":60.0,"value_kb":16.0,"txn_ops":12},
        "cloud":{"rps":5.0,"list_lag_s":3.0},"resources":{"max_sockets":700}}}"#;
    Settings::parse(&text.replace("TEAMS", teams), None).unwrap()
}

/// A plain machine type in the zones of [`plain`].
#[cfg(test)]
pub(crate) fn plain_flavor() -> crate::wire::MachineType {
    crate::wire::MachineType {
        name: "f".into(),
        cpus: 16.0,
        gpus: 0.0,
        ram_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 20.0,
        zones: ["a", "b"].map(str::to_owned).to_vec(),
    }
}
