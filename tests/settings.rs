//! Settings: errors name the faulty keys, and the example file contains the defaults.

use troutspindle::admission::max_unhandled_requests;
use troutspindle::settings::{OperatorSettings, Settings};

const PLATFORM: &str = r#"{
  "host_name": "n-0", "location": "a", "listen": "127.0.0.1:0", "mesh_addr": "127.0.0.1:0",
  "others": [], "external": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2"}, "later": {"x": 1},
  "params": {"zones": ["a"], "teams": [{"name": "t", "cpus": 1.0, "cpus_max": 2.0}],
    "workers": {"report_s": 3.0, "lease_s": 18.0, "cancel_s": 43.0},
    "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 12},
    "cloud": {"rps": 3.0, "list_lag_s": 4.0},
    "resources": {"cpu": 0.08, "memory_mb": 56.0, "max_sockets": 700}}
}"#;

#[test]
fn example_operator_settings_contain_every_default() {
    let text = include_str!("../deploy/operator.example.yaml");
    let example: OperatorSettings = serde_yaml_ng::from_str(text).unwrap();
    assert_eq!(example, OperatorSettings::default());
    let all = serde_yaml_ng::to_value(OperatorSettings::default()).unwrap();
    for key in all.as_mapping().unwrap().keys() {
        let key = key.as_str().unwrap();
        assert!(text.lines().any(|line| line.starts_with(&format!("{key}:"))), "{key}");
    }
}

/// `run` starts controllers with this file, so a fault in it would prevent every controller from starting.
#[test]
fn deployed_operator_settings_are_valid() {
    let service = include_str!("../deploy/service.toml");
    assert!(service.contains("--operator deploy/operator.yaml --config"));
    let settings = Settings::parse(PLATFORM, Some(include_str!("../deploy/operator.yaml")));
    assert!(settings.unwrap().operator.estimates.learn);
}

#[test]
fn unknown_platform_fields_are_ignored_and_operator_faults_are_named() {
    assert!(Settings::parse(PLATFORM, None).is_ok());
    let fault = |yaml: &str| Settings::parse(PLATFORM, Some(yaml)).unwrap_err().to_string();
    assert!(fault("heavy_kap: 0.2").contains("heavy_kap"));
    assert!(fault("heavy_cap: 1.5\nidle_return_s: -1").lines().count() == 2);
    assert!(fault("heavy_cap: x").contains("heavy_cap"));
    assert!(fault("operator_key: short").contains("operator_key"));
    assert!(fault("estimates: {lern: true}").contains("lern"));
    // The key appears neither in the output of `check` nor in debug output that may reach a log.
    let key = "a key that nobody sees";
    let settings = Settings::parse(PLATFORM, Some(&format!("operator_key: {key}"))).unwrap();
    let printed = serde_yaml_ng::to_string(&settings.operator).unwrap();
    assert!(!printed.contains(key) && !format!("{settings:?}").contains(key));
    let negative_lease = PLATFORM.replace("18.0", "-1.0");
    assert!(Settings::parse(&negative_lease, None).unwrap_err().to_string().contains("lease_s"));
}

#[test]
fn upcoming_store_limits_apply_at_once_and_their_faults_are_named() {
    let next = |text: &str| {
        let all = format!(r#""txn_ops": 12, "next": {{{text}}}"#);
        Settings::parse(&PLATFORM.replace(r#""txn_ops": 12"#, &all), None)
    };
    let limits = |settings: Settings| settings.platform.params.state.effective();
    let current = limits(Settings::parse(PLATFORM, None).unwrap());
    assert_eq!(limits(next(r#""later": 1"#).unwrap()), current);
    let effective = limits(next(r#""write_rps": 42.0, "value_kb": 2.0, "txn_ops": 40"#).unwrap());
    // Of each limit the smaller value applies; the size of the first layout's chunks of completed tasks is unchanged.
    assert_eq!((effective.rps, effective.write_rps, effective.txn_ops), (150.0, 42.0, 12));
    assert!(
        effective.value_max < 2048
            && effective.legacy_value_max == current.value_max
            && effective.legacy_chunk_tasks == 16_384
    );
    for (fault, name) in
        [(r#""txn_ops": 1"#, "next.txn_ops"), (r#""value_kb": 0.5"#, "next.value_kb")]
    {
        assert!(next(fault).unwrap_err().to_string().contains(name));
    }
    assert!(next(r#""write_rps": "x""#).is_err());
}

/// Resource limits of a controller: an absent or zero limit means no limit, errors name the faulty key, and even
/// with the smallest processor limit some requests are read ahead.
#[test]
fn absent_resource_limits_mean_no_limit_and_faults_are_named() {
    let resources = |text: &str| {
        let default_limits = r#""cpu": 0.08, "memory_mb": 56.0, "max_sockets": 700"#;
        Settings::parse(&PLATFORM.replace(default_limits, text), None)
    };
    let fault = |text: &str| resources(text).unwrap_err().to_string();
    assert!(fault(r#""cpu": -0.1, "max_sockets": 700"#).contains("params.resources.cpu"));
    assert!(fault(r#""memory_mb": -1, "max_sockets": 700"#).contains("params.resources.memory_mb"));
    assert!(fault(r#""cpu": 0.1, "max_sockets": 0"#).contains("params.resources.max_sockets"));
    assert!(fault(r#""cpu": 0.1"#).contains("max_sockets"));
    let unhandled =
        |text: &str| max_unhandled_requests(&resources(text).unwrap().platform.params.resources);
    let unlimited = unhandled(r#""max_sockets": 700"#);
    assert_eq!(unlimited, unhandled(r#""cpu": 0.0, "max_sockets": 700"#));
    assert_eq!(unlimited, unhandled(r#""cpu": 1.0, "max_sockets": 700"#));
    let cpu_limits = [1e-9, 0.02, 0.048, 0.08, 0.192, 0.264];
    let counts = cpu_limits.map(|cpu| unhandled(&format!(r#""cpu": {cpu}, "max_sockets": 700"#)));
    assert!(counts.is_sorted() && counts[0] >= 16 && counts[5] <= unlimited, "{counts:?}");
}
