//! Types of the version in production, which read what the new version writes before all controllers are upgraded.
//! They are deliberate copies and must not change with the code.

use serde::{Deserialize, Serialize};

/// Job description as production reads it.
#[derive(Debug, Deserialize)]
pub struct Spec {
    #[serde(rename = "nameId")]
    _id: String,
    #[serde(rename = "runKind")]
    _class: String,
    #[serde(rename = "owner")]
    _team: String,
    #[serde(rename = "shape")]
    _shape: String,
    #[serde(rename = "urgency")]
    _urgency: String,
    #[serde(rename = "legs")]
    _tasks: u64,
}

/// Phase of a job record.
#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Live,
    Done,
    Cancelled,
}

/// Job record as production reads it.
#[derive(Debug, Deserialize)]
pub struct Record {
    pub p: Phase,
    #[serde(default, rename = "at")]
    pub _at: u64,
    pub s: Option<Spec>,
    #[serde(default, rename = "d")]
    pub _d: String,
    #[serde(default, rename = "n")]
    pub _n: u64,
    #[serde(rename = "w")]
    pub _w: Option<(String, f64, f64, f64)>,
}

/// Messages between controllers that production knows.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    Beat {
        from: String,
        seq: u64,
        leading: Option<u64>,
        state_lost: bool,
        ack: (u64, u64),
        up_ms: u64,
        vouched: Vec<(String, u64)>,
        worker_ms: Option<u64>,
    },
    Grant {
        seq: u64,
        token: u64,
        number: u64,
        revoked: Vec<String>,
        delegated: Vec<String>,
    },
    Pledge {
        from: String,
        seq: u64,
        token: u64,
        cancelled: Vec<String>,
    },
    RunningTask {
        token: u64,
        counts: Vec<(String, u32)>,
    },
}

/// Returns whether production decodes the message completely: encoding it again must give the same bytes.
pub fn can_read(text: &str) -> bool {
    let Some(bytes) = troutspindle::wire::unhex(text) else { return false };
    let message: Result<PeerMessage, _> = postcard::from_bytes(&bytes);
    message.is_ok_and(|message| postcard::to_stdvec(&message).is_ok_and(|encoded| encoded == bytes))
}

/// Fields that production drops when it reads or rewrites a job record.
pub const UNKNOWN_FIELDS: [&str; 4] = ["e", "t", "x", "waitsOn"];
