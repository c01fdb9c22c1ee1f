//! The exact bytes of everything that leaves the process and is read by another one, or by a later version: messages,
//! stored records and keys, requests. A name in the code may change freely, a line of the fixture never does.
//!
//! Each module builds plain values; the fixture, `tests/fixtures/wire_format.txt`, has their bytes. Bytes of the
//! version before this one's layouts are in `production.rs`.

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

/// Name and bytes of each line of the fixture.
fn golden() -> Vec<(&'static str, Vec<u8>)> {
    let lines = FIXTURE.lines().filter(|line| !line.starts_with('#'));
    let fields = lines.map(|line| line.split_once(' ').expect("a name and bytes"));
    fields.map(|(name, hex)| (name, wire::unhex(hex).expect("hexadecimal"))).collect()
}

/// The bytes of one line of the fixture.
fn golden_bytes(name: &str) -> Vec<u8> {
    let found = golden().into_iter().find(|(line, _)| *line == name);
    found.unwrap_or_else(|| panic!("no line {name}")).1
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
fn the_fixture_has_one_line_for_each_value_and_no_other() {
    let samples = samples();
    let names: BTreeSet<&str> = samples.iter().map(|sample| sample.name).collect();
    assert_eq!(names.len(), samples.len(), "a name stands twice");
    let lines: Vec<&str> = golden().into_iter().map(|(name, _)| name).collect();
    assert_eq!(lines, samples.iter().map(|sample| sample.name).collect::<Vec<_>>());
}

/// Run by hand after a value was added: the diff of the fixture may then show added lines only.
#[test]
#[ignore = "writes the fixture"]
fn write_the_fixture() {
    let head = FIXTURE.lines().filter(|line| line.starts_with('#')).map(str::to_owned);
    let line = |sample: &Sample| format!("{} {}", sample.name, wire::hex(&sample.bytes));
    let lines: Vec<String> = head.chain(samples().iter().map(line)).collect();
    std::fs::write(FIXTURE_PATH, lines.join("\n") + "\n").expect("the fixture can be written");
}
