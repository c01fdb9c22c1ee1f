//! Digest of all messages that the controllers of a simulation send, to check that a refactoring changes no behaviour.
//!
//! With `WORLD_DIGESTS=FILE` in the environment, every [`World`] appends one line to that file when it is dropped: its
//! seed, the number of messages, and their digest. Two runs of the same test give the same lines in any order.

use crate::World;
use std::fs::OpenOptions;
use std::io::Write as _;
use troutspindle::controller::Effect;
use troutspindle::http::{Method, Request, Response};
use troutspindle::peers::mesh;
use troutspindle::wire;
use troutspindle::workers::command_delivery::DirectCall;
use xxhash_rust::xxh3::Xxh3;

/// Environment variable with the path of the file to which digests are appended.
const FILE_VARIABLE: &str = "WORLD_DIGESTS";

/// Running digest of one simulation; `None` if digests are not requested.
pub struct Digest(Option<Box<Trace>>);

struct Trace {
    path: String,
    seed: u64,
    messages: u64,
    hasher: Xxh3,
}

impl Trace {
    fn add(&mut self, kind: &str, at_ms: u64, parts: &[&[u8]]) {
        self.messages += 1;
        self.hasher.update(kind.as_bytes());
        self.hasher.update(&at_ms.to_le_bytes());
        for part in parts {
            self.hasher.update(&(part.len() as u64).to_le_bytes());
            self.hasher.update(part);
        }
    }

    fn request(&mut self, kind: &str, at_ms: u64, controller: &[u8], request: &Request) {
        let method: &[u8] = match request.method {
            Method::Get => b"GET",
            Method::Post => b"POST",
            Method::Delete => b"DELETE",
            Method::Other => b"other",
        };
        self.add(kind, at_ms, &[controller, method, request.target.as_bytes(), &request.body]);
    }

    fn response(&mut self, at_ms: u64, controller: &[u8], ticket: u64, response: &Response) {
        let retry_after = response.retry_after_s.map_or(0, |seconds| seconds + 1);
        let head = [u64::from(response.status), retry_after, u64::from(response.close), ticket];
        let head: Vec<u8> = head.iter().flat_map(|number| number.to_le_bytes()).collect();
        self.add("response", at_ms, &[controller, &head, &response.body]);
    }
}

impl Digest {
    /// Creates the digest of a simulation with this seed.
    pub fn new(seed: u64) -> Digest {
        let path = std::env::var(FILE_VARIABLE).ok();
        let trace = |path| Box::new(Trace { path, seed, messages: 0, hasher: Xxh3::new() });
        Digest(path.map(trace))
    }

    /// Adds a message that a controller sends.
    pub fn effect(&mut self, at_ms: u64, controller: usize, effect: &Effect) {
        let Some(trace) = &mut self.0 else { return };
        let controller = &controller.to_le_bytes();
        match effect {
            Effect::Respond { ticket, response } => {
                trace.response(at_ms, controller, *ticket, response)
            }
            Effect::CallStore { request: call, .. } => {
                trace.request("state", at_ms, controller, &call.to_http().request)
            }
            Effect::CallCloud { request: call, .. } => {
                trace.request("cloud", at_ms, controller, &call.request())
            }
            Effect::CallWorker { machine, address, call: direct } => {
                let target = format!("{machine} {address}");
                let body = match direct {
                    DirectCall::Status => Vec::new(),
                    DirectCall::Do(batch) => wire::encode(batch),
                };
                trace.add("direct", at_ms, &[controller, target.as_bytes(), &body]);
            }
            Effect::SendToPeer { to: peer, message } => {
                let text = mesh::encode_text(message).unwrap_or_default();
                trace.add("mesh", at_ms, &[controller, peer.as_str().as_bytes(), text.as_bytes()]);
            }
        }
    }

    /// Adds the result of a transaction.
    pub fn committed(&mut self, at_ms: u64, revision: u64, committed: bool) {
        let Some(trace) = &mut self.0 else { return };
        trace.add("commit", at_ms, &[&revision.to_le_bytes(), &[u8::from(committed)]]);
    }
}

impl Drop for Digest {
    fn drop(&mut self) {
        let Some(trace) = &self.0 else { return };
        let line = format!("{} {} {:016x}\n", trace.seed, trace.messages, trace.hasher.digest());
        let file = OpenOptions::new().create(true).append(true).open(&trace.path);
        if let Err(error) = file.and_then(|mut file| file.write_all(line.as_bytes())) {
            eprintln!("{FILE_VARIABLE}: {}: {error}", trace.path);
        }
    }
}

impl World {
    /// Adds all keys and values in the store.
    pub fn digest_store(&mut self) {
        let Some(trace) = &mut self.digest.0 else { return };
        for (key, (data, revision, lease)) in &self.store.keys {
            let head = [*revision, lease.map_or(0, |lease| lease + 1)];
            let head: Vec<u8> = head.iter().flat_map(|number| number.to_le_bytes()).collect();
            trace.add("stored", self.now_ms, &[key.as_bytes(), &head, &wire::encode(data)]);
        }
    }
}
