//! The protocol's own words stay at the edge, in `crates/protocol/src/wire`; words that were withdrawn stay away.

use std::fs;
use std::path::{Path, PathBuf};

/// Words of the protocol that have a term of the field here.
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

/// Names that this code once had for what the field has a name for.
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

/// Files that have to write the protocol's words: the edge itself, and what pins or fakes the bytes on the wire.
const EDGE: [&str; 5] = [
    "crates/protocol/src/wire",
    "crates/simulation/src/previous_version.rs",
    "tests/wire_format",
    "tests/vocabulary.rs",
    "src/api/tests",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of the repository") {
        let path = entry.expect("an entry of it").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// The words of a line; the names of controllers in settings, such as `spindle-0`, are theirs.
fn words(line: &str) -> impl Iterator<Item = &str> {
    line.split(|c: char| !(c.is_alphanumeric() || c == '_' || c == '-'))
}

#[test]
fn withdrawn_words_and_those_of_the_protocol_stay_out_of_the_code() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["src", "crates", "tests", "benches"] {
        sources(&root.join(folder), &mut files);
    }
    let mut found = Vec::new();
    for file in files {
        let name = file.strip_prefix(root).expect("below the root").display().to_string();
        if EDGE.iter().any(|edge| name.starts_with(edge)) || name.contains("/target/") {
            continue;
        }
        let text = fs::read_to_string(&file).expect("a text");
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
