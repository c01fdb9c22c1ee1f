//! Settings: faults are named, the example file equals the defaults.

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
fn the_example_of_operator_settings_holds_every_default() {
    let text = include_str!("../deploy/operator.example.yaml");
    let example: OperatorSettings = serde_yaml_ng::from_str(text).unwrap();
    assert_eq!(example, OperatorSettings::default());
    let all = serde_yaml_ng::to_value(OperatorSettings::default()).unwrap();
    for key in all.as_mapping().unwrap().keys() {
        let key = key.as_str().unwrap();
        assert!(text.lines().any(|line| line.starts_with(&format!("{key}:"))), "{key}");
    }
}

/// What `run` starts with: a fault in it would keep every controller from starting.
#[test]
fn the_operators_file_that_run_uses_is_sound() {
    let service = include_str!("../deploy/service.toml");
    assert!(service.contains("--operator deploy/operator.yaml --config"));
    let settings = Settings::parse(PLATFORM, Some(include_str!("../deploy/operator.yaml")));
    assert!(settings.unwrap().operator.estimates.learn);
}

#[test]
fn unknown_fields_of_the_platform_are_ignored_and_faults_of_the_operators_named() {
    assert!(Settings::parse(PLATFORM, None).is_ok());
    let fault = |yaml: &str| Settings::parse(PLATFORM, Some(yaml)).unwrap_err().to_string();
    assert!(fault("heavy_kap: 0.2").contains("heavy_kap"));
    assert!(fault("heavy_cap: 1.5\nidle_return_s: -1").lines().count() == 2);
    assert!(fault("heavy_cap: x").contains("heavy_cap"));
    assert!(fault("operator_key: short").contains("operator_key"));
    assert!(fault("estimates: {lern: true}").contains("lern"));
    // What `check` prints and a log may show.
    let key = "a key that nobody sees";
    let settings = Settings::parse(PLATFORM, Some(&format!("operator_key: {key}"))).unwrap();
    let printed = serde_yaml_ng::to_string(&settings.operator).unwrap();
    assert!(!printed.contains(key) && !format!("{settings:?}").contains(key));
    let broken = PLATFORM.replace("18.0", "-1.0");
    assert!(Settings::parse(&broken, None).unwrap_err().to_string().contains("lease_s"));
}

#[test]
fn limits_to_come_are_kept_to_from_the_start_and_their_faults_are_named() {
    let next = |text: &str| {
        let all = format!(r#""txn_ops": 12, "next": {{{text}}}"#);
        Settings::parse(&PLATFORM.replace(r#""txn_ops": 12"#, &all), None)
    };
    let limits = |settings: Settings| settings.platform.params.state.effective();
    let now = limits(Settings::parse(PLATFORM, None).unwrap());
    assert_eq!(limits(next(r#""later": 1"#).unwrap()), now);
    let kept = limits(next(r#""write_rps": 42.0, "value_kb": 2.0, "txn_ops": 40"#).unwrap());
    // The lesser of both in each dimension; where marks stand does not move.
    assert_eq!((kept.rps, kept.write_rps, kept.txn_ops), (150.0, 42.0, 12));
    assert!(
        kept.value_max < 2048
            && kept.legacy_value_max == now.value_max
            && kept.legacy_chunk_tasks == 16_384
    );
    for (fault, name) in
        [(r#""txn_ops": 1"#, "next.txn_ops"), (r#""value_kb": 0.5"#, "next.value_kb")]
    {
        assert!(next(fault).unwrap_err().to_string().contains(name));
    }
    assert!(next(r#""write_rps": "x""#).is_err());
}

/// A controller's allowance: nothing named is no limit, what can't be is told by its name, and however small it is
/// something is read and asked.
#[test]
fn an_allowance_is_a_limit_only_where_it_is_named() {
    let resources = |text: &str| {
        let named = r#""cpu": 0.08, "memory_mb": 56.0, "max_sockets": 700"#;
        Settings::parse(&PLATFORM.replace(named, text), None)
    };
    let fault = |text: &str| resources(text).unwrap_err().to_string();
    assert!(fault(r#""cpu": -0.1, "max_sockets": 700"#).contains("params.resources.cpu"));
    assert!(fault(r#""memory_mb": -1, "max_sockets": 700"#).contains("params.resources.memory_mb"));
    assert!(fault(r#""cpu": 0.1, "max_sockets": 0"#).contains("params.resources.max_sockets"));
    assert!(fault(r#""cpu": 0.1"#).contains("max_sockets"));
    let together =
        |text: &str| max_unhandled_requests(&resources(text).unwrap().platform.params.resources);
    let whole = together(r#""max_sockets": 700"#);
    assert_eq!(whole, together(r#""cpu": 0.0, "max_sockets": 700"#));
    assert_eq!(whole, together(r#""cpu": 1.0, "max_sockets": 700"#));
    let shares = [1e-9, 0.02, 0.048, 0.08, 0.192, 0.264];
    let read = shares.map(|cpu| together(&format!(r#""cpu": {cpu}, "max_sockets": 700"#)));
    assert!(read.is_sorted() && read[0] >= 16 && read[5] <= whole, "{read:?}");
}
