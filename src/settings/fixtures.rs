//! Settings for unit tests of the whole package.

use super::Settings;
use crate::wire::MachineType;

/// Returns settings without peers and with two zones; `teams` is the JSON array of teams.
pub(crate) fn settings(teams: &str) -> Settings {
    let text = r#"{"host_name":"n","listen":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
        "external":{"cloud":"127.0.0.1:8","state":"127.0.0.1:9"},
        "params":{"zones":["a","b"],"teams":TEAMS,
        "workers":{"report_s":2.0,"lease_s":14.0,"cancel_s":32.0},
        "state":{"rps":150.0,"write_rps":60.0,"value_kb":16.0,"txn_ops":12},
        "cloud":{"rps":5.0,"list_lag_s":3.0},"resources":{"max_sockets":700}}}"#;
    Settings::parse(&text.replace("TEAMS", teams), None).unwrap()
}

/// Returns a machine type without GPUs in the zones of [`settings`].
pub(crate) fn machine_type() -> MachineType {
    MachineType {
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
