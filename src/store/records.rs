//! What is kept at the state service: keys, layouts and which of them may be written yet.
//!
//! Two layouts are about. The *first* one is all that the version before this one knows: a job's
//! record holds its description and the done marks of its first chunk of tasks, further chunks have
//! keys of their own, and how many tasks a chunk has follows from the limit of a value. The *second*
//! one has small values of a fixed geometry, and descriptions of any length. Both may hold marks of
//! the same job: marks are only ever added, so what is done is what either of them says.
//!
//! Nothing of the second layout is written before every controller has said that it reads it
//! ([`Layout::second`]). The first layout can go once no cluster runs a version before this one and
//! no job is live that such a version accepted.

use crate::ids::{Amount, ControllerId, JobId};
use crate::wire::{self, JobSpec, StoreValue};
use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

pub const JOB_PREFIX: &str = "t/j/";
/// Done marks of the first layout, from the second chunk on: `t/k/<job>/<chunk>`.
pub const CHUNK_PREFIX: &str = "t/k/";
/// Done marks of the second layout: `t/d/<job>/<piece>`.
pub const PIECE_PREFIX: &str = "t/d/";
/// Descriptions too long for their record: `t/s/<job>/<tag>/<part>`.
pub const PART_PREFIX: &str = "t/s/";
/// Which format a controller reads. Read before all else in key order: it says how many tasks a
/// chunk of the first layout has.
pub const VERSION_PREFIX: &str = "t/a/v/";

/// The newest format that this program reads and writes: 1 brought the second layout, 2 heartbeats
/// ([`crate::leadership::controller_lease`]). Production knows none: 0.
pub const FORMAT: u32 = crate::constants::FORMAT_HEARTBEAT;

/// Count. Tasks up to which the done marks stand in the job's record in both layouts.
pub const RECORD_TASKS: u64 = 1024;
/// Count. Tasks whose marks stand in one piece: 1 KiB of hexadecimal, half of the smallest limit that
/// settings may set. It belongs to the format and follows from no setting.
pub const PIECE_TASKS: u32 = 4096;

/// What a controller says of itself. Never removed: no controller goes back to an older version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    pub format: u32,
    /// Tasks to a chunk of the first layout, as it was when the cluster was upgraded: a limit that
    /// is changed later must not move a mark to another task.
    pub chunk: u32,
}

pub fn version_key(node: &ControllerId) -> String {
    format!("{VERSION_PREFIX}{node}")
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Live,
    Done,
    Cancelled,
}

/// Where a long description stands.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SpecChunks {
    pub tag: String,
    pub count: u32,
}

/// The value of a job's key; a finished job keeps only its last line.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    pub p: Phase,
    /// Milliseconds of the time of day when it was accepted.
    #[serde(default)]
    pub at: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub s: Option<Arc<JobSpec>>,
    /// Done marks while it is live.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub d: String,
    /// Count of done tasks when it is over.
    #[serde(default)]
    pub n: u64,
    /// Team and size of a task of a cancelled job, whose tasks may run on for a while and count
    /// against the team's limit until they are gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub w: Option<(String, f64, f64, f64)>,
    /// Milliseconds of the time of day when it was done, or was to be cancelled: from its end the times
    /// of jobs that need it count. Production ignores it and never rewrites the record of a job that is over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub e: Option<u64>,
    /// How many tasks may still be on machines of a job that is over. Production ignores it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub t: Option<u64>,
    /// Second layout: the description stands elsewhere. Production would take such a record for a
    /// job that is done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub x: Option<SpecChunks>,
}

impl JobRecord {
    pub fn live(at: u64, spec: Option<Arc<JobSpec>>) -> JobRecord {
        let d = String::new();
        JobRecord { p: Phase::Live, at, s: spec, d, n: 0, w: None, e: None, t: None, x: None }
    }
}

pub fn rest(spec: &JobSpec) -> (String, f64, f64, f64) {
    (spec.team.clone(), spec.cpus, spec.gpus, spec.ram_gb)
}

pub fn need(spec: &JobSpec) -> Amount {
    Amount::need(spec.cpus, spec.gpus, spec.ram_gb)
}

pub fn to_value<T: Serialize>(value: &T) -> StoreValue {
    // Our own records always serialize; Null would be refused on reading.
    StoreValue::serialized(value).unwrap_or(StoreValue::Null)
}

pub fn job_key(id: &JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}
pub fn chunk_key(id: &JobId, chunk: u32) -> String {
    format!("{CHUNK_PREFIX}{id}/{chunk}")
}
pub fn piece_key(id: &JobId, piece: u32) -> String {
    format!("{PIECE_PREFIX}{id}/{piece}")
}
pub fn part_key(id: &JobId, tag: &str, part: u32) -> String {
    format!("{PART_PREFIX}{id}/{tag}/{part}")
}

/// What may be written now.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    /// The least format that all controllers read: the cluster version.
    pub format: u32,
    /// Tasks to a chunk of the first layout.
    pub chunk: u32,
    /// Writes to a transaction.
    pub txn_ops: usize,
    /// Bytes of a value, with room to spare.
    pub value_max: usize,
}

impl Layout {
    /// Whether values of the second layout and jobs that wait for others may be written.
    pub fn second(&self) -> bool {
        self.format >= 1
    }
    pub fn fits<T: Serialize>(&self, value: &T) -> bool {
        json_len(value) <= self.value_max
    }
}

/// Bytes that a text takes in JSON at the most, whichever way it is spelled.
fn text_len(text: &str) -> usize {
    text.chars()
        .map(|c| match c {
            '"' | '\\' => 2,
            ' '..='~' => 1,
            _ => c.len_utf16() * 6,
        })
        .sum()
}

/// Bytes of a value in JSON, in which the limits are counted.
pub fn json_len<T: Serialize>(value: &T) -> usize {
    // What is written as JSON is escaped already but for what is not ASCII.
    let text = serde_json::to_string(value).unwrap_or_default();
    text.chars().map(|c| if c.is_ascii() { 1 } else { c.len_utf16() * 6 }).sum()
}

/// A text in pieces of at most so many bytes each, as JSON spells them.
pub fn split_text(text: &str, most: usize) -> Vec<String> {
    let mut parts = vec![String::new()];
    let mut room = most;
    for c in text.chars() {
        let size = text_len(c.encode_utf8(&mut [0; 4]));
        if size > room {
            parts.push(String::new());
            room = most;
        }
        room -= size.min(room);
        if let Some(part) = parts.last_mut() {
            part.push(c);
        }
    }
    parts
}

/// A short name, the same everywhere, for a part of a key that may hold no spaces.
pub fn key_hash<T: Hash>(value: &T) -> String {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    wire::hex(&hasher.finish().to_be_bytes())
}

/// A description in parts, and the tag by which its parts are known: the same description gets the
/// same tag everywhere, so that a submission begun at one controller goes on at another.
pub fn spec_parts(spec: &JobSpec, value_max: usize) -> (String, Vec<String>) {
    let text = serde_json::to_string(spec).unwrap_or_default();
    let tag = key_hash(&(&text, value_max));
    // The quotes of a text are part of it.
    (tag, split_text(&text, value_max.saturating_sub(2)))
}

pub fn spec_of<'a>(parts: impl Iterator<Item = &'a str>) -> Option<JobSpec> {
    serde_json::from_str(&parts.collect::<String>()).ok()
}

#[cfg(test)]
mod tests;
