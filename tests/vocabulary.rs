//! Checks that the protocol's own terms are used only at the edge, in `crates/protocol/src/wire`, and that replaced
//! names do not return.

use std::fs;
use std::path::{Path, PathBuf};

/// Words of the protocol for which the code uses a standard term.
const PROTOCOL_WORDS: [&str; 17] = [
    "spindle",
    "baton",
    "tenure",
    "tally",
    "hall",
    "halls",
    "leg",
    "legs",
    "halt",
    "lendable",
    "foreman",
    "bundle",
    "ensemble",
    "recallS",
    "windDownS",
    "waitsOn",
    "runKind",
];

/// Former names in this code that were replaced by standard terms.
const WITHDRAWN_WORDS: [&str; 18] = [
    "standins",
    "emulator",
    "spindlectl",
    "pledge",
    "pledged",
    "buried",
    "scarce_kinds",
    "told_cancelled",
    "look_at",
    "made_way",
    "litter",
    "vouch",
    "vouched",
    "barred",
    "come_back_s",
    "Ceiling",
    "Inbox",
    "JobBook",
];

/// Paths in which the protocol's words are permitted: the edge itself, and code that checks or simulates bytes on the
/// wire.
const EDGE: [&str; 5] = [
    "crates/protocol/src/wire",
    "crates/simulation/src/previous_version.rs",
    "tests/wire_format",
    "tests/vocabulary.rs",
    "src/api/tests",
];

/// Collects all Rust files below a folder.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a readable folder") {
        let path = entry.expect("a readable entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Splits a line into words. Hyphens belong to words, so that controller names in settings such as `spindle-0` are
/// one word.
fn words(line: &str) -> impl Iterator<Item = &str> {
    line.split(|c: char| !(c.is_alphanumeric() || c == '_' || c == '-'))
}

#[test]
fn code_uses_no_replaced_names_and_no_protocol_words_outside_the_edge() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["src", "crates", "tests", "benches"] {
        sources(&root.join(folder), &mut files);
    }
    let mut found = Vec::new();
    for file in files {
        let name = file.strip_prefix(root).expect("a path below the root").display().to_string();
        if EDGE.iter().any(|edge| name.starts_with(edge)) || name.contains("/target/") {
            continue;
        }
        let text = fs::read_to_string(&file).expect("a UTF-8 file");
        for (number, line) in text.lines().enumerate() {
            for word in words(line) {
                if PROTOCOL_WORDS.contains(&word) || WITHDRAWN_WORDS.contains(&word) {
                    found.push(format!("{name}:{}: {word}", number + 1));
                }
            }
        }
    }
    assert!(found.is_empty(), "{}", found.join("\n"));
}
