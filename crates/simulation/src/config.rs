//! Settings of the simulated controllers, zones and teams.

use crate::previous_version;
use crate::world::World;
use std::sync::Arc;
use troutspindle::settings::Settings;
use troutspindle::wire::StoreValue;

/// Duration of a worker's lease in milliseconds, as in the controllers' settings.
pub const LEASE_MS: u64 = 14_000;

/// Interval between a worker's heartbeats in milliseconds.
pub const HEARTBEAT_MS: u64 = 2000;

/// Maximum time in milliseconds that a task may run after its job was confirmed as cancelled.
pub const CANCEL_MS: u64 = 32_000;

/// Number of controllers by default.
pub const CONTROLLERS: usize = 3;

/// Names of the zones.
pub const ZONES: [&str; 2] = ["a", "b"];

/// Number of ordinary and of spot machines that each zone offers by default.
pub const DEFAULT_CAPACITY: [usize; 2] = [6, 6];

/// Floor under scarcity. Enabled in every simulation, as in production: no rule may depend on it.
pub const FLOOR: f64 = 0.7;

/// Names of the teams with their guarantee and limit in CPUs.
pub const TEAMS: [(&str, f64, f64); 3] = [("t", 40.0, 48.0), ("u", 8.0, 24.0), ("v", 8.0, 16.0)];

fn teams() -> String {
    let team = |(name, cpus, limit): &(&str, f64, f64)| {
        format!(r#"{{"name":"{name}","cpus":{cpus},"cpus_max":{limit}}}"#)
    };
    TEAMS.iter().map(team).collect::<Vec<String>>().join(",")
}

/// Returns the settings of a controller; `previous` selects those of the previous version.
pub fn settings(count: usize, controller: usize, previous: bool, floor: f64) -> Arc<Settings> {
    settings_with_sharding(count, controller, previous, floor, sharding_requested())
}

/// Returns whether the environment variable SHARE requests heartbeat sharding.
pub fn sharding_requested() -> bool {
    std::env::var("SHARE").is_ok()
}

/// Returns the settings of a controller. With `sharding` the leader always shards heartbeats, otherwise by the
/// default rule.
pub fn settings_with_sharding(
    count: usize,
    controller: usize,
    previous: bool,
    floor: f64,
    sharding: bool,
) -> Arc<Settings> {
    let others: Vec<String> = (0..count)
        .filter(|n| *n != controller)
        .map(|n| {
            let zone = ZONES[World::controller_zone(n)];
            let port = 2 + n;
            format!(r#"{{"host_name":"n-{n}","location":"{zone}","peer_addr":"127.0.0.1:{port}"}}"#)
        })
        .collect();
    let text = format!(
        r#"{{"host_name":"n-{controller}","location":"{}","listen":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
        "others":[{}],"external":{{"cloud":"127.0.0.1:8","state":"127.0.0.1:9"}},
        "params":{{"zones":["a","b"],"teams":[TEAMS],
        "workers":{{"report_s":2.0,"lease_s":14.0,"cancel_s":32.0}},
        "state":{{"rps":150.0,"write_rps":60.0,"value_kb":16.0,"txn_ops":12,
        "next":{{"write_rps":42.0,"value_kb":2.0,"txn_ops":4}}}},
        "cloud":{{"rps":5.0,"list_lag_s":3.0}},"resources":{{"max_sockets":700}}}}}}"#,
        ZONES[World::controller_zone(controller)],
        others.join(",")
    );
    let text = text.replace("TEAMS", &teams());
    let operator = if previous {
        "hold_format: true".to_owned()
    } else {
        format!("{ESTIMATE_SETTINGS}floor: {floor}")
    };
    let operator =
        if sharding && !previous { format!("{operator}\nshare_reports: always") } else { operator };
    Arc::new(Settings::parse(&text, Some(&operator)).unwrap())
}

/// Operators' settings that enable all uses of learned run times, and elastic arrays. No rule may depend on either.
pub const ESTIMATE_SETTINGS: &str = "
estimates: {learn: true, warn: true, due: true, ahead: true, make_way: true, drain: true}
elastic: [{class: c, least: 4, most: 7}]
";

/// Returns a value as production stores it: without the fields that it does not know.
pub fn as_stored_by_production(data: &StoreValue) -> StoreValue {
    let StoreValue::Map(fields) = data else { return data.clone() };
    let is_known = |key: &StoreValue| {
        key.as_text().is_none_or(|k| !previous_version::UNKNOWN_FIELDS.contains(&k))
    };
    let kept = fields.iter().filter(|(key, _)| is_known(key));
    StoreValue::Map(
        kept.map(|(key, value)| (key.clone(), as_stored_by_production(value))).collect(),
    )
}
