//! Checks that the tables of the capacity page match the reports.

use std::path::PathBuf;
use troutspindle_scale_test::capacity::{read, tables};

#[test]
fn capacity_page_contains_the_tables_of_its_reports() {
    let docs = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs"));
    let found = std::fs::read_dir(docs.join("scale/reports")).unwrap();
    let mut paths: Vec<PathBuf> = found.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    let tables = tables(&read(&paths).unwrap());
    let page = std::fs::read_to_string(docs.join("CAPACITY.md")).unwrap();
    assert!(page.contains(tables.trim_end()), "the page should hold:\n{tables}");
}
