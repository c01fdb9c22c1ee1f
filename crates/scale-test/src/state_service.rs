//! The store of the protocol ("state service") over HTTP: the in-memory store of `troutspindle-simulation` with real
//! time, rate limits, watches and planned outages.

use crate::constants::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use troutspindle::store::{LEADER_KEY, LeaderRecord, TokenBucket};
use troutspindle_protocol::http::{self, Incoming, Method, Request, Response};
use troutspindle_protocol::ids::{ControllerId, LeaseId, Revision};
use troutspindle_protocol::wire::{
    self, CommitResponse, KeyValue, LeaseCreated, LeaseTtl, RangeResponse, Transaction,
};
use troutspindle_simulation::{CommitError, Store};

/// Maximum number of connections to the service.
const CONNECTIONS: usize = 2000;
/// Maximum number of requests read ahead on all connections.
const READ_AHEAD: usize = 512;
/// Interval between two checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Faults that the run injects into the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateFault {
    /// Rejects all requests for this duration; watches with a wait time stay open until it ends.
    Out(Duration),
}

/// Limits of the store, as the protocol and the scenario define them.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second, over all transactions.
    pub write_rps: f64,
    /// Maximum size of a value in bytes.
    pub value_bytes: usize,
    /// Maximum number of operations in a transaction.
    pub txn_ops: usize,
}

/// Requests and bytes since the start, the number of keys, and the current leader.
#[derive(Debug, Clone, Default, Serialize)]
pub struct StateCounters {
    /// Number of requests by kind.
    pub requests: BTreeMap<&'static str, u64>,
    /// Number of answers with status 429 or 503.
    pub refused: u64,
    /// Number of single writes in transactions within the rate limit.
    pub writes: u64,
    /// Bytes of requests, with an estimate of their heads.
    pub bytes_in: u64,
    /// Bytes of answers, with an estimate of their heads.
    pub bytes_out: u64,
    /// Number of keys now.
    pub keys: u64,
    /// Always 0; reports keep the field.
    pub key_bytes: u64,
    /// Controller in the leader record, if there is one.
    #[serde(skip)]
    pub leader: Option<ControllerId>,
}

/// A watch that waits for changes after a revision of keys with a prefix.
struct Watch {
    prefix: String,
    after: u64,
    until: Instant,
    reply: oneshot::Sender<Response>,
}

struct Service {
    store: Store,
    limits: Limits,
    requests: TokenBucket,
    writes: TokenBucket,
    watches: Vec<Watch>,
    started: Instant,
    outage_until: Option<Instant>,
    counters: StateCounters,
    published: watch::Sender<StateCounters>,
}

/// Runs the service until its task is aborted, and publishes the counters after each request.
pub async fn serve(
    listener: TcpListener,
    limits: Limits,
    mut faults: mpsc::UnboundedReceiver<StateFault>,
    published: watch::Sender<StateCounters>,
) {
    let (to, mut requests) = mpsc::channel::<Incoming>(READ_AHEAD);
    let (count, _) = watch::channel(0usize);
    tokio::spawn(http::serve(listener, CONNECTIONS, READ_AHEAD, to, count));
    let now = Instant::now();
    let mut service = Service {
        store: Store { rev: 1, ..Store::default() },
        limits,
        requests: TokenBucket::new(limits.rps, 1.0, now),
        writes: TokenBucket::new(limits.write_rps, 1.0, now),
        watches: Vec::new(),
        started: now,
        outage_until: None,
        counters: StateCounters::default(),
        published,
    };
    let mut lease_check_at = now;
    loop {
        tokio::select! {
            Some(incoming) = requests.recv() => service.handle(incoming),
            Some(StateFault::Out(time)) = faults.recv() => {
                service.outage_until = Some(Instant::now() + time);
            }
            _ = tokio::time::sleep_until(lease_check_at) => {
                lease_check_at = Instant::now() + LEASE_CHECK_INTERVAL;
                service.on_timer();
            }
        }
    }
}

impl Service {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn handle(&mut self, incoming: Incoming) {
        let Incoming { request, reply, permit } = incoming;
        drop(permit);
        self.counters.bytes_in += request.body.len() as u64 + HEAD_BYTES;
        let now = Instant::now();
        if request.target.starts_with("/follow") {
            return self.watch(&request, reply, now);
        }
        let response = self.answer(&request, now);
        self.send(reply, response);
    }

    fn send(&mut self, reply: oneshot::Sender<Response>, response: Response) {
        self.counters.refused += u64::from(matches!(response.status, 429 | 503));
        self.counters.bytes_out += response.body.len() as u64 + HEAD_BYTES;
        let _ = reply.send(response);
        self.publish();
    }

    fn publish(&mut self) {
        let leader = self.store.keys.get(LEADER_KEY);
        let leader = leader.and_then(|(data, ..)| data.deserialized::<LeaderRecord>().ok());
        self.counters.leader = leader.map(|record| record.controller);
        self.counters.keys = self.store.keys.len() as u64;
        self.published.send_replace(self.counters.clone());
    }

    fn count(&mut self, kind: &'static str) {
        *self.counters.requests.entry(kind).or_default() += 1;
    }

    fn answer(&mut self, request: &Request, now: Instant) -> Response {
        if self.outage_until.is_some() {
            return Response::empty(503);
        }
        if !self.requests.has(1.0, now) {
            return Response::empty(429);
        }
        self.requests.take(1.0, now);
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let lease = path.strip_prefix("/leases/").map(|rest| rest.trim_end_matches("/touch"));
        let lease = lease.and_then(|text| text.parse::<u64>().ok());
        match (request.method, path, lease) {
            (Method::Post, "/commit", _) => self.commit(&request.body, now),
            (Method::Post, "/leases", _) => self.new_lease(&request.body),
            (Method::Post, _, Some(lease)) => self.renew_lease(lease),
            (Method::Delete, _, Some(lease)) => {
                self.count("lease end");
                self.store.end_lease(lease);
                self.answer_watches(now);
                Response::empty(200)
            }
            (Method::Get, "/kv", _) => self.range(query),
            _ => Response::empty(400),
        }
    }

    fn commit(&mut self, body: &[u8], now: Instant) -> Response {
        self.count("commit");
        let Ok(txn) = wire::decode::<Transaction>(body) else { return Response::empty(400) };
        let writes = txn.writes.len() as f64;
        if !self.writes.has(writes, now) {
            return Response::empty(429);
        }
        self.writes.take(writes, now);
        self.counters.writes += writes as u64;
        let limits = (self.limits.txn_ops, self.limits.value_bytes);
        let committed = self.store.commit(txn, limits);
        if self.store.log.len() > CHANGES_KEPT * 2 {
            self.store.log.drain(..CHANGES_KEPT);
        }
        let rev = Revision(self.store.rev);
        match committed {
            Ok(rev) => {
                self.answer_watches(now);
                Response::with(200, wire::encode(&CommitResponse { rev, failed: Vec::new() }))
            }
            Err(CommitError::Conflict(failed)) => {
                Response::with(409, wire::encode(&CommitResponse { rev, failed }))
            }
            Err(CommitError::TooLarge | CommitError::NoSuchLease) => Response::empty(400),
        }
    }

    fn new_lease(&mut self, body: &[u8]) -> Response {
        self.count("lease");
        let Ok(ttl) = wire::decode::<LeaseTtl>(body) else { return Response::empty(400) };
        self.store.next_lease += 1;
        let lease = self.store.next_lease;
        self.store.leases.insert(lease, (ttl.ttl_ms, self.now_ms() + ttl.ttl_ms));
        Response::with(200, wire::encode(&LeaseCreated { lease: LeaseId(lease) }))
    }

    fn renew_lease(&mut self, lease: u64) -> Response {
        self.count("lease renewal");
        let now_ms = self.now_ms();
        match self.store.leases.get_mut(&lease) {
            Some((ttl_ms, expires_ms)) => {
                *expires_ms = now_ms + *ttl_ms;
                Response::empty(200)
            }
            None => Response::empty(404),
        }
    }

    fn range(&mut self, query: &str) -> Response {
        self.count("range");
        let prefix = parameter(query, "starts").unwrap_or_default();
        let after = parameter(query, "after").unwrap_or_default();
        let limit = parameter(query, "most").and_then(|text| text.parse().ok()).unwrap_or(1000);
        let from = if after.is_empty() { prefix.clone() } else { after.clone() };
        let found = self.store.keys.range(from..).filter(|(key, _)| **key > after);
        let mut found = found.take_while(|(key, _)| key.starts_with(&prefix));
        let taken = found.by_ref().take(limit).map(|(key, (data, rev, _))| KeyValue {
            key: key.clone(),
            data: data.clone(),
            rev: Revision(*rev),
        });
        let rows: Vec<KeyValue> = taken.collect();
        let truncated = found.next().is_some();
        Response::with(
            200,
            wire::encode(&RangeResponse { rows, truncated, rev: Revision(self.store.rev) }),
        )
    }

    fn watch(&mut self, request: &Request, reply: oneshot::Sender<Response>, now: Instant) {
        self.count("follow");
        let query = request.target.split_once('?').map_or("", |(_, query)| query);
        let number = |name: &str| parameter(query, name).and_then(|text| text.parse::<u64>().ok());
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        let after = number("after").unwrap_or(0);
        let prefix = parameter(query, "starts").unwrap_or_default();
        if self.outage_until.is_some() && wait.is_zero() {
            return self.send(reply, Response::empty(503));
        }
        if !self.requests.has(1.0, now) {
            return self.send(reply, Response::empty(429));
        }
        self.requests.take(1.0, now);
        let watch = Watch { prefix, after, until: now + wait, reply };
        self.watches.push(watch);
        self.answer_watches(now);
    }

    /// Answers the watches that have changes to return or whose wait time is over.
    fn answer_watches(&mut self, now: Instant) {
        if self.outage_until.is_some() {
            return;
        }
        let rev = self.store.rev;
        let ready = self.watches.extract_if(.., |watch| watch.after < rev || watch.until <= now);
        for watch in ready.collect::<Vec<Watch>>() {
            let oldest = self.store.log.first().map_or(0, |(rev, ..)| *rev);
            let response = if watch.after + 1 < oldest && self.store.log.len() > CHANGES_KEPT / 2 {
                Response::empty(410)
            } else {
                let mut changes = self.store.news(watch.after);
                changes.events.retain(|change| {
                    let key = change.put.as_ref().or(change.delete.as_ref());
                    key.is_some_and(|key| key.starts_with(&watch.prefix))
                });
                Response::with(200, wire::encode(&changes))
            };
            self.send(watch.reply, response);
        }
    }

    fn on_timer(&mut self) {
        let now = Instant::now();
        if let Some(until) = self.outage_until {
            if now < until {
                return;
            }
            self.outage_until = None;
            // PROTOCOL: after an outage every lease starts again with its full TTL.
            let now_ms = self.now_ms();
            for (ttl_ms, expires_ms) in self.store.leases.values_mut() {
                *expires_ms = now_ms + *ttl_ms;
            }
        }
        let now_ms = self.now_ms();
        self.store.end_expired_leases(now_ms);
        self.answer_watches(now);
        self.publish();
    }
}

/// Returns the value of a parameter in the query part of a request target.
fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}
