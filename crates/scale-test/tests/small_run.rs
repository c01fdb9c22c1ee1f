//! Small scale runs with real processes. They are judged by counts and never by times, so a slow machine gives the same
//! verdict. All scale runs use the same ports, so the runs that start processes share one test.

use std::path::{Path, PathBuf};
use std::process::Command;
use troutspindle_scale_test::report::Report;
use troutspindle_scale_test::scenario::Scenario;

/// Returns the path of the controller binary in the target folder of this test.
fn controller() -> PathBuf {
    let scale = Path::new(env!("CARGO_BIN_EXE_troutspindle-scale-test"));
    let path = scale.with_file_name("troutspindle");
    assert!(path.is_file(), "{} is missing: run `cargo build` first", path.display());
    path
}

fn scenario(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(name)
}

fn run(name: &str, more: &[&str]) -> (std::process::Output, PathBuf) {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let out = dir.with_extension("report.json");
    let output = Command::new(env!("CARGO_BIN_EXE_troutspindle-scale-test"))
        .arg("run")
        .arg(scenario("small.yaml"))
        .arg("--controller")
        .arg(controller())
        .arg("--dir")
        .arg(&dir)
        .arg("--out")
        .arg(&out)
        .args(more)
        .output()
        .unwrap();
    (output, out)
}

/// Returns the number of terms as leader in a controller's log in which it sharded heartbeats.
fn count_sharded_terms(log: &str) -> usize {
    let is_sharded =
        |line: &str| line.contains("heartbeat sharding changed") && line.contains("sharded=true");
    let terms = log.split("leadership started").skip(1);
    terms.filter(|term| term.lines().any(is_sharded)).count()
}

#[test]
fn small_run_breaks_no_rule_and_planted_fault_is_detected() {
    let operator = Path::new(env!("CARGO_TARGET_TMPDIR")).join("share.yaml");
    std::fs::write(&operator, "share_reports: always\n").unwrap();
    let operator = operator.to_str().unwrap();
    let (output, out) = run("clean", &["--operator", operator]);
    let printed = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{printed}{}", String::from_utf8_lossy(&output.stderr));
    let report: Report = serde_json::from_str(&std::fs::read_to_string(out).unwrap()).unwrap();
    assert!(report.is_clean());
    assert!(report.workers_up > 100.0 && report.starts_per_s > 0.0, "{printed}");
    assert!(report.user_rates["jobs done"] > 0.0, "{printed}");
    // Heartbeats were sharded under the leader that ended and under its successor, which may be the same controller
    // after its restart.
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("clean");
    let sharded_terms: usize = (0..3)
        .map(|number| {
            let log = std::fs::read_to_string(dir.join(format!("spindle-{number}.log"))).unwrap();
            count_sharded_terms(&log)
        })
        .sum();
    assert!(sharded_terms >= 2, "{printed}");

    let (output, _) = run("planted", &["--planted-fault"]);
    let printed = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(1), "{printed}");
    assert!(printed.contains("ran_twice"), "{printed}");
}

#[test]
fn invalid_scenario_and_missing_controller_are_reported_with_remedy() {
    for name in ["small.yaml", "planned-size.yaml"] {
        assert!(Scenario::read(&scenario(name)).is_ok(), "{name}");
    }
    let mut wrong = Scenario::read(&scenario("small.yaml")).unwrap();
    (wrong.controllers, wrong.lease_s) = (0, 1.0);
    wrong.classes[0].cpus = 900.0;
    let found = wrong.faults_found().join("; ");
    for text in ["controllers: from 1 to 20", "lease_s", "class service: cpus"] {
        assert!(found.contains(text), "{found}");
    }
    let output = Command::new(env!("CARGO_BIN_EXE_troutspindle-scale-test"))
        .args(["run", scenario("small.yaml").to_str().unwrap(), "--controller", "/nowhere"])
        .output()
        .unwrap();
    let printed = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.code() == Some(2) && printed.contains("cargo build"), "{printed}");
}
