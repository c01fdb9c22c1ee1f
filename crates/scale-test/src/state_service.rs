//! The state service by PROTOCOL over HTTP: the store of `troutspindle-simulation` with real time, limits, follows
//! and outages around it.

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

/// Count. Connections to the service, and requests read ahead.
const CONNECTIONS: usize = 2000;
const READ_AHEAD: usize = 512;
/// Pause between two looks for leases that are over.
const LEASES_EVERY: Duration = Duration::from_millis(50);

/// What the run tells the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateFault {
    /// Refuses everybody for that long.
    Out(Duration),
}

/// Limits by PROTOCOL.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

/// Requests and bytes since the start, and who leads.
#[derive(Debug, Clone, Default, Serialize)]
pub struct StateCounters {
    pub requests: BTreeMap<&'static str, u64>,
    pub refused: u64,
    pub writes: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub keys: u64,
    pub key_bytes: u64,
    #[serde(skip)]
    pub leader: Option<ControllerId>,
}

struct Follow {
    starts: String,
    after: u64,
    until: Instant,
    reply: oneshot::Sender<Response>,
}

struct Service {
    store: Store,
    limits: Limits,
    requests: TokenBucket,
    writes: TokenBucket,
    follows: Vec<Follow>,
    began: Instant,
    out_until: Option<Instant>,
    counters: StateCounters,
    shown: watch::Sender<StateCounters>,
}

/// Serves until its task is ended.
pub async fn serve(
    listener: TcpListener,
    limits: Limits,
    mut faults: mpsc::UnboundedReceiver<StateFault>,
    shown: watch::Sender<StateCounters>,
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
        follows: Vec::new(),
        began: now,
        out_until: None,
        counters: StateCounters::default(),
        shown,
    };
    let mut leases_at = now;
    loop {
        tokio::select! {
            Some(incoming) = requests.recv() => service.take(incoming),
            Some(StateFault::Out(time)) = faults.recv() => {
                service.out_until = Some(Instant::now() + time);
            }
            _ = tokio::time::sleep_until(leases_at) => {
                leases_at = Instant::now() + LEASES_EVERY;
                service.on_time();
            }
        }
    }
}

impl Service {
    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn take(&mut self, incoming: Incoming) {
        let Incoming { request, reply, permit } = incoming;
        drop(permit);
        self.counters.bytes_in += request.body.len() as u64 + HEAD_BYTES;
        let now = Instant::now();
        if request.target.starts_with("/follow") {
            return self.follow(&request, reply, now);
        }
        let response = self.answer(&request, now);
        self.send(reply, response);
    }

    fn send(&mut self, reply: oneshot::Sender<Response>, response: Response) {
        self.counters.refused += u64::from(matches!(response.status, 429 | 503));
        self.counters.bytes_out += response.body.len() as u64 + HEAD_BYTES;
        let _ = reply.send(response);
        self.show();
    }

    fn show(&mut self) {
        let leader = self.store.keys.get(LEADER_KEY);
        let leader = leader.and_then(|(data, ..)| data.deserialized::<LeaderRecord>().ok());
        self.counters.leader = leader.map(|record| record.controller);
        self.counters.keys = self.store.keys.len() as u64;
        self.shown.send_replace(self.counters.clone());
    }

    fn count(&mut self, kind: &'static str) {
        *self.counters.requests.entry(kind).or_default() += 1;
    }

    fn answer(&mut self, request: &Request, now: Instant) -> Response {
        if self.out_until.is_some() {
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
            (Method::Post, _, Some(lease)) => self.touch(lease),
            (Method::Delete, _, Some(lease)) => {
                self.count("lease end");
                self.store.end_lease(lease);
                self.wake_follows(now);
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
                self.wake_follows(now);
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
        let Ok(life) = wire::decode::<LeaseTtl>(body) else { return Response::empty(400) };
        self.store.next_lease += 1;
        let lease = self.store.next_lease;
        self.store.leases.insert(lease, (life.ttl_ms, self.now_ms() + life.ttl_ms));
        Response::with(200, wire::encode(&LeaseCreated { lease: LeaseId(lease) }))
    }

    fn touch(&mut self, lease: u64) -> Response {
        self.count("lease renewal");
        let now_ms = self.now_ms();
        match self.store.leases.get_mut(&lease) {
            Some((life, until)) => {
                *until = now_ms + *life;
                Response::empty(200)
            }
            None => Response::empty(404),
        }
    }

    fn range(&mut self, query: &str) -> Response {
        self.count("range");
        let prefix = parameter(query, "starts").unwrap_or_default();
        let after = parameter(query, "after").unwrap_or_default();
        let most = parameter(query, "most").and_then(|text| text.parse().ok()).unwrap_or(1000);
        let from = if after.is_empty() { prefix.clone() } else { after.clone() };
        let found = self.store.keys.range(from..).filter(|(key, _)| **key > after);
        let mut found = found.take_while(|(key, _)| key.starts_with(&prefix));
        let taken = found.by_ref().take(most).map(|(key, (data, rev, _))| KeyValue {
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

    fn follow(&mut self, request: &Request, reply: oneshot::Sender<Response>, now: Instant) {
        self.count("follow");
        let query = request.target.split_once('?').map_or("", |(_, query)| query);
        let number = |name: &str| parameter(query, name).and_then(|text| text.parse::<u64>().ok());
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        let after = number("after").unwrap_or(0);
        let starts = parameter(query, "starts").unwrap_or_default();
        if self.out_until.is_some() && wait.is_zero() {
            return self.send(reply, Response::empty(503));
        }
        if !self.requests.has(1.0, now) {
            return self.send(reply, Response::empty(429));
        }
        self.requests.take(1.0, now);
        let follow = Follow { starts, after, until: now + wait, reply };
        self.follows.push(follow);
        self.wake_follows(now);
    }

    /// Answers the follows for which there is news, or whose time is up.
    fn wake_follows(&mut self, now: Instant) {
        if self.out_until.is_some() {
            return;
        }
        let rev = self.store.rev;
        let ready = self.follows.extract_if(.., |f| f.after < rev || f.until <= now);
        for follow in ready.collect::<Vec<Follow>>() {
            let oldest = self.store.log.first().map_or(0, |(rev, ..)| *rev);
            let response = if follow.after + 1 < oldest && self.store.log.len() > CHANGES_KEPT / 2 {
                Response::empty(410)
            } else {
                let mut news = self.store.news(follow.after);
                news.events.retain(|change| {
                    let key = change.put.as_ref().or(change.delete.as_ref());
                    key.is_some_and(|key| key.starts_with(&follow.starts))
                });
                Response::with(200, wire::encode(&news))
            };
            self.send(follow.reply, response);
        }
    }

    fn on_time(&mut self) {
        let now = Instant::now();
        if let Some(until) = self.out_until {
            if now < until {
                return;
            }
            self.out_until = None;
            // PROTOCOL: after an outage every lease has its full time again.
            let now_ms = self.now_ms();
            for (life, until) in self.store.leases.values_mut() {
                *until = now_ms + *life;
            }
        }
        let now_ms = self.now_ms();
        self.store.end_expired_leases(now_ms);
        self.wake_follows(now);
        self.show();
    }
}

/// The value of a parameter in the query of a target.
fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}
