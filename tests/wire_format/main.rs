//! Checks the exact bytes of everything that another process or a later version reads: messages, stored records and
//! keys, requests. Names in the code may change freely, but lines of the fixture must not.
//!
//! Each module builds values; the fixture, `tests/fixtures/wire_format.txt`, holds their bytes. The bytes of the
//! previous version's layouts are checked in `tests/previous_version.rs`.

mod mesh;
mod operators;
mod protocol;
mod requests;
mod sample;
mod settings;
mod stored;

use sample::Sample;
use std::collections::BTreeSet;
use troutspindle::wire;

const FIXTURE: &str = include_str!("../fixtures/wire_format.txt");
const FIXTURE_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/wire_format.txt");

fn samples() -> Vec<Sample> {
    [
        protocol::samples(),
        mesh::samples(),
        stored::samples(),
        requests::samples(),
        operators::samples(),
    ]
    .into_iter()
    .flatten()
    .collect()
}

/// Returns name and bytes of each line of the fixture.
fn golden() -> Vec<(&'static str, Vec<u8>)> {
    let lines = FIXTURE.lines().filter(|line| !line.starts_with('#'));
    let fields = lines.map(|line| line.split_once(' ').expect("a name and bytes"));
    fields.map(|(name, hex)| (name, wire::unhex(hex).expect("hexadecimal"))).collect()
}

/// Returns the bytes of the fixture line with this name.
fn golden_bytes(name: &str) -> Vec<u8> {
    let found = golden().into_iter().find(|(line, _)| *line == name);
    found.unwrap_or_else(|| panic!("the fixture has no line {name}")).1
}

#[test]
fn every_value_is_written_with_its_golden_bytes() {
    for sample in samples() {
        let expected = wire::hex(&golden_bytes(sample.name));
        assert_eq!(wire::hex(&sample.bytes), expected, "{}", sample.name);
    }
}

#[test]
fn every_value_is_read_from_its_golden_bytes() {
    for sample in samples() {
        sample.assert_reads(&golden_bytes(sample.name));
    }
}

#[test]
fn the_fixture_has_exactly_one_line_per_value() {
    let samples = samples();
    let names: BTreeSet<&str> = samples.iter().map(|sample| sample.name).collect();
    assert_eq!(names.len(), samples.len(), "duplicate sample name");
    let lines: Vec<&str> = golden().into_iter().map(|(name, _)| name).collect();
    assert_eq!(lines, samples.iter().map(|sample| sample.name).collect::<Vec<_>>());
}

/// Rewrites the fixture. Run it by hand after adding a value; the diff of the fixture must show added lines only.
#[test]
#[ignore = "writes the fixture"]
fn write_the_fixture() {
    let comments = FIXTURE.lines().filter(|line| line.starts_with('#')).map(str::to_owned);
    let line = |sample: &Sample| format!("{} {}", sample.name, wire::hex(&sample.bytes));
    let lines: Vec<String> = comments.chain(samples().iter().map(line)).collect();
    std::fs::write(FIXTURE_PATH, lines.join("\n") + "\n").expect("the fixture can be written");
}
