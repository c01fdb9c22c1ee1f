//! Controller processes: their settings, start, termination and restart.

use crate::constants::*;
use crate::error::RunError;
use crate::scenario::Scenario;
use crate::users::team_name;
use serde_json::json;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};
use troutspindle_protocol::ids::ControllerId;

/// The controllers of a run.
pub struct Controllers {
    binary: PathBuf,
    operator: Option<PathBuf>,
    dir: PathBuf,
    list: Vec<Controller>,
}

/// A controller and, while it is running, its process.
pub struct Controller {
    pub name: ControllerId,
    pub public: SocketAddr,
    child: Option<Child>,
}

impl Controller {
    /// Returns the process id, or `None` if the controller is not running.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }
}

/// Returns the name of the controller with this number.
fn name_of(number: u32) -> ControllerId {
    ControllerId::new(&format!("spindle-{number}"))
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns the addresses on which a controller listens: for users and workers, and for its peers.
pub fn addresses(number: u32) -> (SocketAddr, SocketAddr) {
    let number = number as u16;
    (loopback(CONTROLLER_PORT + number), loopback(MESH_PORT + number))
}

/// Returns the addresses on which the store and the cloud listen.
pub fn external() -> (SocketAddr, SocketAddr) {
    (loopback(STATE_PORT), loopback(CLOUD_PORT))
}

/// Returns the guarantee and the limit of a team, in CPUs, computed from an even share of all machines.
pub fn team_limits(scenario: &Scenario) -> (f64, f64) {
    let all = f64::from(scenario.workers) * scenario.machine.cpus;
    let even_share = all / f64::from(scenario.teams.count);
    ((even_share * 0.5).floor(), (even_share * scenario.teams.limit).ceil())
}

/// Returns the settings of one controller, in the format of the platform's settings file.
fn settings(scenario: &Scenario, number: u32) -> serde_json::Value {
    let zones = scenario.zones();
    let zone = |n: u32| zones[n as usize % zones.len()].clone();
    let (public, mesh) = addresses(number);
    let (state, cloud) = external();
    let others: Vec<_> = (0..scenario.controllers)
        .filter(|n| *n != number)
        .map(|n| json!({"host_name": name_of(n), "location": zone(n), "peer_addr": addresses(n).1}))
        .collect();
    let (guarantee, limit) = team_limits(scenario);
    let teams: Vec<_> = (0..scenario.teams.count as usize)
        .map(|n| json!({"name": team_name(n), "cpus": guarantee, "cpus_max": limit}))
        .collect();
    let objectives = scenario.classes.iter().filter_map(|class| {
        let within = class.start_within_s?;
        Some(json!({"kind": "wait", "class": class.name, "within_s": within, "share": 0.99}))
    });
    let objectives: Vec<_> = objectives.collect();
    json!({
        "host_name": name_of(number),
        "location": zone(number),
        "listen": public,
        "mesh_addr": mesh,
        "others": others,
        "external": {"cloud": cloud, "state": state},
        "params": {
            "initial_size": scenario.workers,
            "zones": zones,
            "teams": teams,
            "objectives": objectives,
            "workers": {"report_s": scenario.report_s, "lease_s": scenario.lease_s,
                        "gang_wait_s": 50.0, "gang_peer_s": 5.0, "cancel_s": scenario.cancel_s},
            "state": {"rps": scenario.state.rps, "write_rps": scenario.state.write_rps,
                      "value_kb": scenario.state.value_kb, "txn_ops": scenario.state.txn_ops},
            "cloud": {"rps": scenario.cloud.rps, "list_lag_s": scenario.cloud.list_lag_s},
            "resources": {"cpu": scenario.cpu, "memory_mb": scenario.memory_mb,
                          "max_sockets": scenario.max_sockets},
            "time_bound_ms": 250.0
        }
    })
}

impl Controllers {
    /// Writes the settings of all controllers without starting them.
    pub fn prepare(
        scenario: &Scenario,
        binary: &Path,
        operator: Option<&Path>,
        dir: &Path,
    ) -> Result<Controllers, RunError> {
        let mut list = Vec::new();
        for number in 0..scenario.controllers {
            let name = name_of(number);
            let path = dir.join(format!("{name}.json"));
            // `mesh_rates` reads the log, which must not contain lines of an earlier run.
            let _ = std::fs::remove_file(dir.join(format!("{name}.log")));
            let text = settings(scenario, number).to_string();
            std::fs::write(&path, text).map_err(|error| RunError::Write(path.clone(), error))?;
            list.push(Controller { name, public: addresses(number).0, child: None });
        }
        Ok(Controllers {
            binary: binary.to_owned(),
            operator: operator.map(Path::to_owned),
            dir: dir.to_owned(),
            list,
        })
    }

    /// Returns the frames and bytes per second written to peers, from the controller's last log line on them.
    pub fn mesh_rates(&self, number: usize) -> Option<(f64, f64)> {
        let log = self.dir.join(format!("{}.log", self.list[number].name));
        let text = std::fs::read_to_string(log).ok()?;
        let line = text.lines().rev().find(|line| line.contains("peer traffic"))?;
        let value = |name: &str| {
            let mut words = line.split_whitespace();
            words.find_map(|word| word.strip_prefix(name)?.parse::<f64>().ok())
        };
        Some((value("frames_per_s=")?, value("bytes_per_s=")?))
    }

    /// Returns all controllers, ordered by number.
    pub fn list(&self) -> &[Controller] {
        &self.list
    }

    /// Starts a controller that is not running. It is killed when the run ends, also on an error.
    pub fn start(&mut self, number: usize) -> Result<(), RunError> {
        let name = self.list[number].name.clone();
        let log = self.dir.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(|error| RunError::Write(log, error))?;
        let mut command = Command::new(&self.binary);
        command.arg("serve");
        if let Some(operator) = &self.operator {
            command.arg("--operator").arg(operator);
        }
        command.arg("--config").arg(self.dir.join(format!("{name}.json")));
        command.env("LOG_LEVEL", "info").stdin(Stdio::null()).stdout(Stdio::null()).stderr(file);
        self.list[number].child = Some(command.kill_on_drop(true).spawn()?);
        Ok(())
    }

    /// Kills a controller without warning.
    pub async fn end(&mut self, number: usize) {
        if let Some(mut child) = self.list[number].child.take() {
            let _ = child.kill().await;
        }
    }

    /// Kills all controllers.
    pub async fn end_all(&mut self) {
        for number in 0..self.list.len() {
            self.end(number).await;
        }
    }

    /// Returns the number of the controller with this name.
    pub fn number_of(&self, name: &ControllerId) -> Option<usize> {
        self.list.iter().position(|controller| controller.name == *name)
    }
}
