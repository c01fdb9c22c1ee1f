//! How the simulated controllers, zones and teams are set up.

use crate::previous_version;
use crate::world::World;
use std::sync::Arc;
use troutspindle::settings::Settings;
use troutspindle::wire::StoreValue;

pub const LEASE_MS: u64 = 14_000;

pub const REPORT_MS: u64 = 2000;

pub const CANCEL_MS: u64 = 32_000;

/// Controllers on a usual day.
pub const CONTROLLERS: usize = 3;

pub const ZONES: [&str; 2] = ["a", "b"];

/// Ordinary and spot machines of a zone on a usual day.
pub const DEFAULT_CAPACITY: [usize; 2] = [6, 6];

/// Floors are on in every play, as in `run`: no rule may depend on them.
pub const FLOOR: f64 = 0.7;

/// Teams with their guarantee and limit in CPUs.
pub const TEAMS: [(&str, f64, f64); 3] = [("t", 40.0, 48.0), ("u", 8.0, 24.0), ("v", 8.0, 16.0)];

fn teams() -> String {
    let team = |(name, cpus, most): &(&str, f64, f64)| {
        format!(r#"{{"name":"{name}","cpus":{cpus},"cpus_max":{most}}}"#)
    };
    TEAMS.iter().map(team).collect::<Vec<String>>().join(",")
}

/// How a controller is set up; `old` stands for one of the version before this one.
pub fn settings(count: usize, node: usize, old: bool, floor: f64) -> Arc<Settings> {
    settings_with_sharding(count, node, old, floor, sharding_requested())
}

/// Whether a person asked in SHARE for days on which reports are shared out.
pub fn sharding_requested() -> bool {
    std::env::var("SHARE").is_ok()
}

/// The same, where the leader shares workers' reports out or keeps to the usual rule.
pub fn settings_with_sharding(
    count: usize,
    node: usize,
    old: bool,
    floor: f64,
    share: bool,
) -> Arc<Settings> {
    let others: Vec<String> = (0..count)
        .filter(|n| *n != node)
        .map(|n| {
            let zone = ZONES[World::node_zone(n)];
            let port = 2 + n;
            format!(r#"{{"host_name":"n-{n}","location":"{zone}","peer_addr":"127.0.0.1:{port}"}}"#)
        })
        .collect();
    let text = format!(
        r#"{{"host_name":"n-{node}","location":"{}","listen":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
        "others":[{}],"external":{{"cloud":"127.0.0.1:8","state":"127.0.0.1:9"}},
        "params":{{"zones":["a","b"],"teams":[TEAMS],
        "workers":{{"report_s":2.0,"lease_s":14.0,"cancel_s":32.0}},
        "state":{{"rps":150.0,"write_rps":60.0,"value_kb":16.0,"txn_ops":12,
        "next":{{"write_rps":42.0,"value_kb":2.0,"txn_ops":4}}}},
        "cloud":{{"rps":5.0,"list_lag_s":3.0}},"resources":{{"max_sockets":700}}}}}}"#,
        ZONES[World::node_zone(node)],
        others.join(",")
    );
    let text = text.replace("TEAMS", &teams());
    let operator =
        if old { "hold_format: true".to_owned() } else { format!("{LEARNING}floor: {floor}") };
    let operator =
        if share && !old { format!("{operator}\nshare_reports: always") } else { operator };
    Arc::new(Settings::parse(&text, Some(&operator)).unwrap())
}

/// All that learned run times are used for, and arrays that grow and make way: no rule may depend on either.
pub const LEARNING: &str = "
estimates: {learn: true, warn: true, due: true, ahead: true, make_way: true, drain: true}
elastic: [{class: c, least: 4, most: 7}]
";

/// A value as production keeps it: without the fields that it doesn't know.
pub fn as_production(data: &StoreValue) -> StoreValue {
    let StoreValue::Map(fields) = data else { return data.clone() };
    let known =
        |key: &StoreValue| key.as_text().is_none_or(|k| !previous_version::UNKNOWN.contains(&k));
    let kept = fields.iter().filter(|(key, _)| known(key));
    StoreValue::Map(kept.map(|(key, value)| (key.clone(), as_production(value))).collect())
}
