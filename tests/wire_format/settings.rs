//! Keys of the platform's settings (JSON) and of the operators' (YAML). A full example of each, with no value at its
//! default, is parsed, and every field is checked.

use std::time::Duration;
use troutspindle::ids::ControllerId;
use troutspindle::settings::{
    ElasticClass, EstimateSettings, LogFormat, OperatorSettings, Secret, Settings, ShardHeartbeats,
};

const PLATFORM: &str = r#"{
  "host_name": "n-0",
  "location": "a",
  "listen": "127.0.0.1:8000",
  "mesh_addr": "127.0.0.1:8001",
  "others": [{"host_name": "n-1", "location": "b", "peer_addr": "127.0.0.2:8001"}],
  "external": {"cloud": "127.0.0.3:1", "state": "127.0.0.3:2"},
  "params": {
    "zones": ["a", "b"],
    "teams": [{"name": "team-a", "cpus": 1.5, "cpus_max": 2.5, "gpus": 3.5, "gpus_max": 4.5}],
    "objectives": [
      {"kind": "wait", "class": "nightly", "within_s": 5.5},
      {"kind": "finished", "class": "nightly", "within_s": 600.5},
      {"kind": "deadline", "class": "release"},
      {"kind": "guarantee", "within_s": 30.5}
    ],
    "workers": {"report_s": 2.5, "lease_s": 14.5, "cancel_s": 32.5},
    "state": {
      "rps": 150.5, "write_rps": 60.5, "value_kb": 16.5, "txn_ops": 12,
      "next": {"rps": 140.5, "write_rps": 50.5, "value_kb": 8.5, "txn_ops": 10}
    },
    "cloud": {"rps": 5.5, "list_lag_s": 3.5},
    "resources": {"cpu": 0.25, "memory_mb": 56.5, "max_sockets": 700}
  }
}"#;

const OPERATOR: &str = "
heavy_cap: 0.25
heavy_threshold: 0.75
hold_s: 1.5
idle_return_s: 20.5
warm_per_zone: 1.25
warm_share: 0.125
hold_format: true
log_format: json
operator_key: a key of sixteen or more
estimates:
  learn: true
  warn: false
  due: true
  ahead: false
  make_way: true
  drain: false
elastic:
  - class: float-audit
    least: 4
    most: 60
floor: 0.375
share_reports: always
";

fn settings() -> Settings {
    Settings::parse(PLATFORM, Some(OPERATOR)).unwrap()
}

#[test]
fn every_platform_key_is_read() {
    let platform = settings().platform;
    assert_eq!((platform.host_name.as_str(), &*platform.location), ("n-0", "a"));
    assert_eq!(platform.listen.to_string(), "127.0.0.1:8000");
    assert_eq!(platform.mesh_addr.to_string(), "127.0.0.1:8001");
    let [peer] = &platform.others[..] else { panic!("{:?}", platform.others) };
    assert_eq!((&peer.host_name, &*peer.location), (&ControllerId::new("n-1"), "b"));
    assert_eq!(peer.peer_addr.to_string(), "127.0.0.2:8001");
    assert_eq!(platform.external.cloud.to_string(), "127.0.0.3:1");
    assert_eq!(platform.external.state.to_string(), "127.0.0.3:2");
}

#[test]
fn every_platform_parameter_is_read() {
    let params = settings().platform.params;
    assert_eq!(params.zones, ["a", "b"]);
    let [team] = &params.teams[..] else { panic!("{:?}", params.teams) };
    assert_eq!((&*team.name, team.cpus, team.cpus_max), ("team-a", 1.5, 2.5));
    assert_eq!((team.gpus, team.gpus_max), (3.5, 4.5));
    let workers = &params.workers;
    assert_eq!((workers.report_s, workers.lease_s, workers.cancel_s), (2.5, 14.5, 32.5));
    let state = &params.state;
    assert_eq!((state.rps, state.write_rps), (150.5, 60.5));
    assert_eq!((state.value_kb, state.txn_ops), (16.5, 12));
    let next = state.next.as_ref().unwrap();
    assert_eq!((next.rps, next.write_rps), (Some(140.5), Some(50.5)));
    assert_eq!((next.value_kb, next.txn_ops), (Some(8.5), Some(10)));
    assert_eq!((params.cloud.rps, params.cloud.list_lag_s), (5.5, 3.5));
    let resources = &params.resources;
    assert_eq!((resources.cpu, resources.memory_mb), (0.25, 56.5));
    assert_eq!(resources.max_sockets, 700);
}

#[test]
fn every_kind_of_objective_is_read() {
    let settings = settings();
    let objectives = &settings.platform.params.objectives;
    let read = objectives.iter().map(|o| (&*o.kind, o.class.as_deref(), o.within_s));
    let expected = [
        ("wait", Some("nightly"), Some(5.5)),
        ("finished", Some("nightly"), Some(600.5)),
        ("deadline", Some("release"), None),
        ("guarantee", None, Some(30.5)),
    ];
    assert_eq!(read.collect::<Vec<_>>(), expected);
    assert_eq!(settings.tightest_start_objective("nightly"), Some(5.5));
    assert_eq!(settings.finish_objective("nightly"), Some(600.5));
    assert!(settings.has_deadline("release") && !settings.has_deadline("nightly"));
    assert_eq!(settings.guarantee_start_objective(), Some(30.5));
    assert_eq!(settings.worker_lease(), Duration::from_millis(14_500));
}

#[test]
fn every_operator_key_is_read() {
    let estimates = EstimateSettings {
        learn: true,
        warn: false,
        due: true,
        ahead: false,
        make_way: true,
        drain: false,
    };
    let expected = OperatorSettings {
        heavy_cap: 0.25,
        heavy_threshold: 0.75,
        hold_s: 1.5,
        idle_return_s: 20.5,
        warm_per_zone: 1.25,
        warm_share: 0.125,
        hold_format: true,
        log_format: LogFormat::Json,
        operator_key: Secret("a key of sixteen or more".into()),
        estimates,
        elastic: vec![ElasticClass { class: "float-audit".into(), min_width: 4, max_width: 60 }],
        floor: 0.375,
        share_reports: ShardHeartbeats::Always,
    };
    assert_eq!(settings().operator, expected);
}

/// Sets each switch alone, so that two swapped switches are detected.
#[test]
fn every_estimate_switch_has_its_own_key() {
    type Switch = fn(&EstimateSettings) -> bool;
    let switches: [(&str, Switch); 6] = [
        ("learn", |estimates| estimates.learn),
        ("warn", |estimates| estimates.warn),
        ("due", |estimates| estimates.due),
        ("ahead", |estimates| estimates.ahead),
        ("make_way", |estimates| estimates.make_way),
        ("drain", |estimates| estimates.drain),
    ];
    for (key, _) in switches {
        let text = format!("estimates: {{{key}: true}}");
        let estimates = Settings::parse(PLATFORM, Some(&text)).unwrap().operator.estimates;
        let on = switches.iter().filter(|(_, is_on)| is_on(&estimates));
        assert_eq!(on.map(|(name, _)| *name).collect::<Vec<_>>(), [key]);
    }
}

#[test]
fn every_operator_choice_has_its_value() {
    let parse = |text: &str| Settings::parse(PLATFORM, Some(text)).unwrap().operator;
    assert_eq!(parse("log_format: text").log_format, LogFormat::Text);
    assert_eq!(parse("log_format: json").log_format, LogFormat::Json);
    assert_eq!(parse("share_reports: auto").share_reports, ShardHeartbeats::Auto);
    assert_eq!(parse("share_reports: always").share_reports, ShardHeartbeats::Always);
    assert_eq!(parse("share_reports: never").share_reports, ShardHeartbeats::Never);
}
